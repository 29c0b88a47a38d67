//! Parsing and validation of site settings: all keys, misspelt and missing keys, and values out of range.

use super::*;

const VALID_SETTINGS: &str = r#"{"az":1,"unknown-key":[1],"kinds":["a","b","origin"],"zones":["x","y"],"tick":5000,
    "categories":[{"name":"put","aim":1200000,"give-up":3000000,"effect":"token","group":"cell"}],
    "extra":{"mode":"aside","origin-kind":2},"weights":"rough","membership-mode":"subscribe",
    "limits":{"conn-idle":1,"connect-timeout":1,"max-attempts":3},"rules":{"ask-within":1,"warm-up":1}}"#;

fn parse(text: &str) -> SiteSettings {
    serde_json::from_str(text).unwrap()
}

#[test]
fn words_are_mapped_to_the_types_of_the_decision_core() {
    let settings = parse(VALID_SETTINGS).to_balancer_settings();
    let class = &settings.classes[0];
    assert_eq!(
        (class.idempotency, class.deduplication_scope, class.deadline),
        (Idempotency::WithIdempotencyKey, DeduplicationScope::Cell, Micros(3_000_000))
    );
    assert_eq!((settings.mode, settings.zone), (CacheMode::CacheAside(2), 1));
    assert!(settings.watches_discovery && settings.has_comparable_weights);
    assert_eq!(
        parse(&VALID_SETTINGS.replace("aside", "through")).to_balancer_settings().mode,
        CacheMode::ReadThrough
    );
}

/// Guards against a tenant with an empty name, which would match requests that name no tenant.
#[test]
fn rejects_a_tenant_with_a_missing_or_duplicate_name() {
    let check_with_tenants =
        |orgs: &str| parse(&VALID_SETTINGS.replacen('{', &format!("{{\"orgs\":{orgs},"), 1)).check();
    assert_eq!(check_with_tenants(r#"[{"name":"acme","allowance-per-s":3}]"#), Ok(()));
    assert!(check_with_tenants(r#"[{"nmae":"acme","allowance-per-s":3}]"#)
        .unwrap_err()
        .to_string()
        .contains("orgs[].name"));
    assert!(check_with_tenants(r#"[{"name":"acme"},{"name":"acme"}]"#)
        .unwrap_err()
        .to_string()
        .contains("a unique, non-empty name"));
}

#[test]
fn a_misspelt_key_is_rejected_by_name() {
    assert_eq!(parse(VALID_SETTINGS).check(), Ok(()));
    for (key, name) in [("rules", "rules.ask-within"), ("give-up", "give-up"), ("kinds", "kinds")] {
        let error = parse(&VALID_SETTINGS.replace(&format!("\"{key}\""), "\"misspelt\""))
            .check()
            .unwrap_err()
            .to_string();
        assert!(error.contains(name), "{error}");
    }
}

/// Guards against an inconsistent or out-of-range value that passes or is reported without a remedy, and against unknown
/// keys being rejected.
#[test]
fn an_out_of_range_value_is_rejected_with_a_remedy() {
    for (from, to, key) in [
        ("\"origin-kind\":2", "\"origin-kind\":3", "extra.origin-kind"),
        ("\"origin-kind\":2", "\"origin-kind\":null", "extra.origin-kind"),
        ("\"ask-within\":1", "\"ask-within\":1,\"cold-share\":32", "rules.cold-share"),
        ("\"max-attempts\":3", "\"max-attempts\":0", "limits.max-attempts"),
        ("\"zones\":[\"x\",\"y\"]", "\"zones\":[]", "zones"),
    ] {
        let error = parse(&VALID_SETTINGS.replace(from, to)).check().unwrap_err().to_string();
        assert!(error.contains(&format!("settings: {key} ")) && error.contains("; "), "{error}");
    }
    assert_eq!(parse(&VALID_SETTINGS.replace("\"tick\"", "\"more\":{\"new\":[]},\"tick\"")).check(), Ok(()));
}

/// A site's settings with every key, each with a distinct value.
const SETTINGS_WITH_EVERY_KEY: &str = r#"{
    "az": 1, "balancers": 7, "position": 3, "tick": 5000, "weights": "nominal", "membership-mode": "subscribe",
    "categories": [{"name": "read", "aim": 11, "aim-stretch": 0.5, "effect": "pure", "give-up": 12, "group": "zone",
        "late-worth": 0.25, "window": 13, "worth": 2.5}],
    "extra": {"mode": "aside", "origin-kind": 1}, "kinds": ["a", "origin"], "zones": ["x", "y"],
    "limits": {"conn-idle": 21, "connect-timeout": 22, "max-attempts": 4, "max-retry-after": 23, "may-duplicate": true,
        "retry-after": true},
    "orgs": [{"name": "acme", "allowance-per-s": 1.5}],
    "rules": {"ask-within": 31, "cold-share": 0.75, "warm-up": 32, "drain-grace": 33}}"#;

/// The keys are an interface used by sites and the simulator. Guards against a key that is renamed or mapped to the
/// wrong field.
#[test]
fn every_key_is_mapped_to_its_field() {
    let site = parse(SETTINGS_WITH_EVERY_KEY);
    assert_eq!(site.check(), Ok(()));
    assert_eq!((site.position, site.drain_grace()), (Some(3), Micros(33)));
    assert_eq!((site.kinds.join(" "), site.zones.join(" ")), ("a origin".into(), "x y".into()));
    assert_eq!((site.classes[0].name.as_str(), site.tenants[0].name.as_str()), ("read", "acme"));
    assert_eq!(site.limits.connection_idle_timeout, Micros(21));
    assert_eq!(site.limits.connect_timeout, Micros(22));
    let settings = site.to_balancer_settings();
    assert_eq!((settings.zone, settings.balancers, settings.min_batch_interval), (1, 7, Micros(5000)));
    assert_eq!(
        (settings.has_comparable_weights, settings.watches_discovery, settings.mode),
        (true, true, CacheMode::CacheAside(1))
    );
    let Limits { max_attempts, max_retry_after, sends_retry_after, may_duplicate } = settings.limits;
    assert_eq!(
        (max_attempts, max_retry_after, sends_retry_after, may_duplicate),
        (4, Micros(23), true, true)
    );
    let Rules { discovery_poll_interval, slow_start_initial_share, slow_start_duration } = settings.rules;
    assert_eq!((discovery_poll_interval, slow_start_duration), (Micros(31), Micros(32)));
    assert_eq!((slow_start_initial_share, settings.tenants[0].allowance_per_s), (0.75, 1.5));
    let class = &settings.classes[0];
    assert_eq!((class.latency_objective, class.deadline), (Micros(11), Micros(12)));
    assert_eq!((class.latency_objective_per_work, class.deduplication_window), (0.5, Micros(13)));
    assert_eq!(class.idempotency, Idempotency::Idempotent);
    assert_eq!(class.deduplication_scope, DeduplicationScope::Zone);
    assert_eq!((class.priority_weight, class.late_priority_weight), (2.5, 0.25));
}
