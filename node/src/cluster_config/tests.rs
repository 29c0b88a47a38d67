//! The operators' file compared with its example, its schema and a fixture of every key; value ranges; the configuration
//! of a member.

use juniperladder::{Micros, Settings};

use super::*;

const EXAMPLE: &str = include_str!("../../../deploy/operator.example.toml");

#[test]
fn the_example_has_every_key_at_its_default() {
    let example = ClusterConfigFile::parse(EXAMPLE).unwrap();
    let defaults = LimitsConfig::default();
    let LimitsConfig { lease_ms, clock_drift, arrival_spread_ms, .. } = example.limits;
    assert_eq!(
        (lease_ms, clock_drift, arrival_spread_ms),
        (defaults.lease_ms, defaults.clock_drift, defaults.arrival_spread_ms)
    );
    let schema = serde_json::to_value(schemars::schema_for!(ClusterConfigFile)).unwrap();
    let mut fields = Vec::new();
    for schema_part in [
        &schema["properties"],
        &schema["$defs"]["Peers"]["properties"],
        &schema["$defs"]["Limits"]["properties"],
        &schema["$defs"]["Second"]["properties"],
        &schema["$defs"]["Verdicts"]["properties"],
    ] {
        fields.extend(schema_part.as_object().unwrap().keys().cloned());
    }
    assert!(fields.len() >= 19);
    for field in fields {
        assert!(EXAMPLE.contains(&field), "the example does not name {field}");
    }
}

/// Guards against an outdated `deploy/operator.schema.json`; regenerate it with `JUNIPERLADDER_WRITE=1`.
#[test]
fn the_schema_file_matches_the_types() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/operator.schema.json");
    let schema = serde_json::to_string_pretty(&schemars::schema_for!(ClusterConfigFile)).unwrap() + "\n";
    if std::env::var_os("JUNIPERLADDER_WRITE").is_some() {
        std::fs::write(path, &schema).unwrap();
    }
    assert_eq!(std::fs::read_to_string(path).unwrap(), schema);
}

/// The example with all commented-out keys enabled.
fn example_with_all_keys() -> String {
    let uncomment = |line: &str| match line.strip_prefix("# ") {
        Some(rest) if rest.starts_with('[') || rest.contains(" = ") && !rest.contains('`') => rest.to_owned(),
        _ => line.to_owned(),
    };
    EXAMPLE.lines().map(|line| uncomment(line) + "\n").collect()
}

#[test]
fn commented_out_keys_of_the_example_have_their_defaults() {
    let config = ClusterConfigFile::parse(&example_with_all_keys()).unwrap();
    let budget = config.limits.retry_budget.unwrap();
    let budget_default = RetryBudgetConfig::default();
    assert_eq!(budget.retries_per_first_attempt, budget_default.retries_per_first_attempt);
    assert_eq!(budget.max_saved_credits, budget_default.max_saved_credits);
    let detector = config.failure_detector.unwrap();
    let detector_default = FailureDetectorConfig::default();
    assert_eq!(detector.min_reporters, detector_default.min_reporters);
    assert_eq!(detector.report_lifetime_ms, detector_default.report_lifetime_ms);
    assert_eq!(detector.max_suspected_share, detector_default.max_suspected_share);
    assert_eq!(detector.trials_per_s, detector_default.trials_per_s);
    assert_eq!(config.limits.slow_start_rate.unwrap().requests_per_s, 100);
}

#[test]
fn an_invalid_file_is_rejected_in_one_line_with_line_key_and_valid_values() {
    let example = example_with_all_keys();
    assert_eq!(ClusterConfigFile::parse(&example).unwrap().limits.origin_rate.unwrap().requests_per_s, 400);
    let cases = [
        ("lease_ms = 2000", "lease_ms = 5", "limits.lease_ms: a lease lasts from 500"),
        ("lease_ms = 2000", "leasems = 5", "unknown field `leasems`, expected one of"),
        ("per_s = 400", "per_s = -4", "invalid value"),
        ("per_s = 400", "per_s = 0", "limits.origin.per_s: from 1"),
        ("drift = 0.001", "drift = 2.0", "limits.drift: a relative difference in clock speed, from 0"),
        ("share = 0.4", "share = 40", "limits.second.share: retries per first attempt, from 0"),
        ("witnesses = 3", "witnesses = 1", "verdicts.witnesses: from 2 to 16; a single"),
        ("most = 0.34", "most = 0.9", "verdicts.most: a share of the servers"),
        ("expiry_ms = 6000", "expiry_ms = 100", "verdicts.expiry_ms: from 2000"),
    ];
    for (valid, invalid, expected_error) in cases {
        let line = example.lines().position(|line| line.starts_with(valid)).unwrap() + 1;
        let problem = ClusterConfigFile::parse(&example.replace(valid, invalid)).unwrap_err().to_string();
        assert!(
            problem.starts_with(&format!("line {line}: ")) && problem.contains(expected_error),
            "{problem}"
        );
        assert!(!problem.contains('\n'));
    }
    assert!(ClusterConfigFile::parse("").unwrap_err().to_string().contains("peers"));
}

fn settings() -> Settings {
    Settings {
        balancers: 100,
        zone: 1,
        classes: vec![],
        tenants: vec![],
        mode: juniperladder::CacheMode::CacheAside(1),
        watches_discovery: true,
        has_comparable_weights: false,
        min_batch_interval: juniperladder::Micros(5_000),
        limits: juniperladder::Limits {
            max_attempts: 3,
            max_retry_after: juniperladder::Micros(0),
            sends_retry_after: false,
            may_duplicate: true,
        },
        rules: juniperladder::Rules {
            discovery_poll_interval: juniperladder::Micros(1),
            slow_start_initial_share: 0.25,
            slow_start_duration: juniperladder::Micros(10_000_000),
        },
    }
}

#[test]
fn the_member_config_has_all_values_of_the_file() {
    let config = ClusterConfigFile::parse(&example_with_all_keys()).unwrap();
    let member = config.member_config("127.0.0.1:7946".parse().unwrap(), None, &settings(), 1, 1).unwrap();
    let (slow_start, budget) = (member.slow_start.unwrap(), member.retry_budget.unwrap());
    assert_eq!(
        (slow_start.rate_limit.requests_per_s, slow_start.initial_share, slow_start.duration),
        (100, 0.25, Micros::from_secs(10))
    );
    assert_eq!(
        (budget.retries_per_first_attempt, budget.max_saved_credits, budget.holders),
        (0.4, 1_000.0, 100)
    );
    assert_eq!((member.failure_detector.unwrap().report_lifetime, member.zone), (Micros::from_secs(6), 1));
}

#[test]
fn the_member_config_takes_missing_values_from_the_settings() {
    let text =
        "[peers]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.1:7946\"]\n[limits.origin]\nper_s = 400\n";
    let config = ClusterConfigFile::parse(text).unwrap();
    let bound_address = "127.0.0.1:7946".parse().unwrap();
    let settings = settings();
    let member = config.member_config(bound_address, Some(3), &settings, 1, 1).unwrap();
    assert!(
        member.slow_start.is_none() && member.retry_budget.is_none() && member.failure_detector.is_none()
    );
    assert_eq!(
        (member.position, member.rate_limits[0].terms.owners, member.rate_limits[0].terms.owned_tokens(3)),
        (3, 100, 4)
    );
    assert!(config
        .member_config(bound_address, None, &settings, 1, 1)
        .unwrap_err()
        .to_string()
        .contains("position"));
    assert_eq!(config.guaranteed_rate_ratio(), 1.05);
}

/// An operators' file with every key, each with a distinct value.
const EVERY_KEY: &str = r#"
[peers]
listen = "127.0.0.1:7946"
address = "10.0.0.4:7947"
seeds = ["10.0.0.5:7946", "10.0.0.6:7946"]
position = 11

[limits]
holders = 12
lease_ms = 1300
drift = 0.014
spread_ms = 15

[limits.origin]
per_s = 16

[limits.cold]
per_s = 17

[limits.second]
share = 0.18
saved = 19.0

[verdicts]
witnesses = 4
expiry_ms = 2100
most = 0.22
tries_per_s = 2.3
"#;

/// Guards against a renamed or swapped key; operators' files depend on the keys.
#[test]
fn every_key_sets_its_field() {
    let config = ClusterConfigFile::parse(EVERY_KEY).unwrap();
    let PeerConfig { listen_address, advertised_address, seeds, position } = config.peers;
    assert_eq!(listen_address, "127.0.0.1:7946".parse().unwrap());
    assert_eq!(advertised_address, Some("10.0.0.4:7947".parse().unwrap()));
    assert_eq!(seeds, ["10.0.0.5:7946".parse().unwrap(), "10.0.0.6:7946".parse().unwrap()]);
    assert_eq!(position, Some(11));
    let limits = config.limits;
    assert_eq!((limits.owners, limits.lease_ms), (Some(12), 1300));
    assert_eq!((limits.clock_drift, limits.arrival_spread_ms), (0.014, 15));
    assert_eq!(limits.origin_rate.unwrap().requests_per_s, 16);
    assert_eq!(limits.slow_start_rate.unwrap().requests_per_s, 17);
    let budget = limits.retry_budget.unwrap();
    assert_eq!((budget.retries_per_first_attempt, budget.max_saved_credits), (0.18, 19.0));
    let detector = config.failure_detector.unwrap();
    assert_eq!((detector.min_reporters, detector.report_lifetime_ms), (4, 2100));
    assert_eq!((detector.max_suspected_share, detector.trials_per_s), (0.22, 2.3));
}
