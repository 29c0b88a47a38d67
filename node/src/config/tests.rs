//! Valid configurations, and the errors of invalid ones.

use juniperladder::CacheMode;

use super::*;

const VALID_CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.2:2","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
    "known":{"generation":41,"reset":true,"instances":[]},
    "settings":{"az":1,"balancers":3,"categories":[{"aim":750000,"effect":"pure","give-up":1500000,"group":"all",
      "late-worth":0.0,"name":"read","stream":false,"window":5000000,"worth":1.0}],
    "extra":{"mode":"aside","origin-kind":2},"kinds":["a","b","origin"],"weights":"rough",
    "limits":{"conn-idle":5000000,"connect-timeout":250000,"max-attempts":3,"max-retry-after":2000000,
      "may-duplicate":true,"retry-after":true},"membership-mode":"subscribe","orgs":[],
    "rules":{"ask-within":10000000,"cold-share":0.32,"warm-up":9000000},"tick":5000,"zones":["x","y"]}}"#;

#[test]
fn reads_a_valid_configuration() {
    let config = Config::parse(VALID_CONFIG.into()).unwrap();
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(config.resource_limits, ConfiguredLimits { memory_bytes: 192 << 20, descriptors: 512 });
    assert_eq!((config.settings.mode, config.settings.zone), (CacheMode::CacheAside(2), 1));
    assert_eq!(
        (config.server_idle_timeout, config.connect_timeout),
        (Duration::from_secs(5), Duration::from_millis(250))
    );
    assert!(config.settings.watches_discovery && config.settings.has_comparable_weights);
}

#[test]
fn the_log_level_is_info_unless_the_file_names_another() {
    let config_with_level =
        |level: &str| VALID_CONFIG.replace("\"seed\"", &format!("\"log_level\":\"{level}\",\"seed\""));
    assert_eq!(Config::parse(VALID_CONFIG.into()).unwrap().log_level, Level::Info);
    assert_eq!(Config::parse(config_with_level("debug").into()).unwrap().log_level, Level::Debug);
    let problem = Config::parse(config_with_level("loud").into()).unwrap_err().to_string();
    assert_eq!(problem, "log_level: \"loud\" is not a log level; use warning, info or debug");
}

#[test]
fn rejects_an_invalid_configuration_in_one_line() {
    let no_port = VALID_CONFIG.replace("127.0.0.1:1", "127.0.0.1");
    let no_rules = VALID_CONFIG.replace("\"rules\"", "\"fools\"");
    for text in ["", "{", "[]", &no_port, &no_rules, &VALID_CONFIG[..VALID_CONFIG.len() / 2]] {
        let problem = Config::parse(text.into()).unwrap_err().to_string();
        assert!(!problem.is_empty() && !problem.contains('\n'), "{problem:?}");
    }
    for (from, to, key) in [
        ("\"max-attempts\":3", "\"max-attempts\":\"three\"", "settings.limits.max-attempts: "),
        ("\"give-up\":1500000", "\"give-up\":-1", "settings.categories[0].give-up: "),
        ("\"sockets\":512", "\"sockets\":null", "limits.sockets: "),
    ] {
        let problem = Config::parse(VALID_CONFIG.replace(from, to).into()).unwrap_err().to_string();
        assert!(problem.starts_with(key) && problem.contains("; set it to"), "{problem}");
    }
}

/// The exact texts that operators see when a start or a reload fails.
#[test]
fn errors_name_the_file_the_key_and_the_remedy() {
    let error = |result: Result<Config, ConfigError>| result.unwrap_err().to_string();
    let read = |text: String| Config::from_file_content("n3.json".into(), Ok(text.into_bytes()));
    let missing = std::io::Error::from(std::io::ErrorKind::NotFound);
    assert_eq!(
        error(Config::from_file_content("n3.json".into(), Err(missing))),
        "cannot read n3.json: entity not found"
    );
    assert_eq!(
        error(read(VALID_CONFIG.replace("127.0.0.1:1", "127.0.0.1"))),
        "n3.json: listen: \"127.0.0.1\" is not an IP address and port"
    );
    assert_eq!(
        error(read(VALID_CONFIG.replace("\"seed\"", "\"mgmt\":\"127.0.0.1:1\",\"seed\""))),
        "n3.json: mgmt: 127.0.0.1:1 is already the address for clients; set another one for operators"
    );
    assert_eq!(
        error(read(VALID_CONFIG.replace("\"max-attempts\":3", "\"max-attempts\":0"))),
        "n3.json: settings: limits.max-attempts is missing or wrong; allow one attempt at least"
    );
}
