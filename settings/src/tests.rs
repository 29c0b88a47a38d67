use super::*;

const SOUND: &str = r#"{"az":1,"unknown-key":[1],"kinds":["a","b","origin"],"zones":["x","y"],"tick":5000,
    "categories":[{"name":"put","aim":1200000,"give-up":3000000,"effect":"token","group":"cell"}],
    "extra":{"mode":"aside","origin-kind":2},"weights":"rough","membership-mode":"subscribe",
    "limits":{"conn-idle":1,"connect-timeout":1,"max-attempts":3},"rules":{"ask-within":1,"warm-up":1}}"#;

fn read(text: &str) -> Env {
    serde_json::from_str(text).unwrap()
}

#[test]
fn words_are_mapped_to_the_modules_values() {
    let settings = read(SOUND).settings();
    let class = &settings.classes[0];
    assert_eq!(
        (class.idempotency, class.deduplication_scope, class.deadline),
        (Idempotency::WithIdempotencyKey, DeduplicationScope::Cell, Micros(3_000_000))
    );
    assert_eq!((settings.mode, settings.zone), (CacheMode::Aside(2), 1));
    assert!(settings.subscribe && settings.weighted);
    assert_eq!(read(&SOUND.replace("aside", "through")).settings().mode, CacheMode::ReadThrough);
}

/// A tenant without a name would be whoever names none.
#[test]
fn a_tenant_has_a_name() {
    let with = |orgs: &str| read(&SOUND.replacen('{', &format!("{{\"orgs\":{orgs},"), 1)).check();
    assert_eq!(with(r#"[{"name":"acme","allowance-per-s":3}]"#), Ok(()));
    assert!(with(r#"[{"nmae":"acme","allowance-per-s":3}]"#).unwrap_err().contains("orgs[].name"));
    assert!(with(r#"[{"name":"acme"},{"name":"acme"}]"#).unwrap_err().contains("a name of its own"));
}

#[test]
fn a_misspelt_key_is_named() {
    assert_eq!(read(SOUND).check(), Ok(()));
    for (key, name) in [("rules", "rules.ask-within"), ("give-up", "give-up"), ("kinds", "kinds")] {
        let problem = read(&SOUND.replace(&format!("\"{key}\""), "\"misspelt\"")).check().unwrap_err();
        assert!(problem.contains(name), "{problem}");
    }
}

/// What contradicts itself or is out of its range is named with what to do, and keys that are new are no error.
#[test]
fn what_makes_no_sense_is_named_with_its_remedy() {
    for (from, to, told) in [
        ("\"origin-kind\":2", "\"origin-kind\":3", "extra.origin-kind"),
        ("\"origin-kind\":2", "\"origin-kind\":null", "extra.origin-kind"),
        ("\"ask-within\":1", "\"ask-within\":1,\"cold-share\":32", "rules.cold-share"),
        ("\"max-attempts\":3", "\"max-attempts\":0", "limits.max-attempts"),
        ("\"zones\":[\"x\",\"y\"]", "\"zones\":[]", "zones"),
    ] {
        let problem = read(&SOUND.replace(from, to)).check().unwrap_err();
        assert!(problem.contains(&format!("settings: {told} ")) && problem.contains("; "), "{problem}");
    }
    assert_eq!(read(&SOUND.replace("\"tick\"", "\"more\":{\"new\":[]},\"tick\"")).check(), Ok(()));
}
