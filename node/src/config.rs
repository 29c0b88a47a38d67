//! The configuration, read once into the few values that the program uses.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use juniperladder::Settings;
use juniperladder_settings::SiteSettings;
use serde::Deserialize;
use slog::Level;

use crate::clock::duration;
use crate::cluster_config::ClusterConfig;
use crate::discovery::timing::pushed_list_backoff;
use crate::downstream::Labels;
use crate::endpoint_list::{EndpointList, SiteNames};
use crate::resource_limits::ConfiguredLimits;
use crate::transient_errors::retry_transient_blocking;

/// Everything that the file says.
#[derive(Debug)]
pub struct Config {
    /// The file that it came from, which a reload reads anew; none where it came from elsewhere.
    pub file: Option<OsString>,
    /// This balancer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call; none, no such listener.
    pub mgmt: Option<SocketAddr>,
    /// For random numbers, new with each start.
    pub seed: u64,
    /// What the process may take of its machine.
    pub limits: ConfiguredLimits,
    /// The list as this balancer last had it.
    pub known: EndpointList,
    /// What the decisions is told.
    pub settings: Settings,
    /// This balancer's place among all, where the settings name it.
    pub position: Option<u32>,
    /// The operators' file, read; none where none is named.
    pub cluster: Option<ClusterConfig>,
    /// The names that stand for the settings' numbers.
    pub names: SiteNames,
    /// The names that clients use.
    pub labels: Labels,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// How long a server keeps an idle connection.
    pub idle: Duration,
    /// From which level on lines go to the log.
    pub log_level: Level,
    /// Where discovery pushes its lists, how soon it is called again; none where it has to be asked.
    pub pushed: Option<Duration>,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    mgmt: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    log_level: Option<String>,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    known: EndpointList,
    settings: SiteSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    memory_mb: f64,
    sockets: usize,
}

impl Default for FileLimits {
    fn default() -> FileLimits {
        FileLimits { memory_mb: 192.0, sockets: 1024 }
    }
}

impl Config {
    /// Reads the file that the environment names, and the operators' file: the one given here, or the one that the
    /// environment names. A problem is told in one line.
    pub fn from_environment(operator: Option<OsString>) -> Result<Config, String> {
        let mut config = Config::read(std::env::var_os("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?)?;
        // The operators' address in the environment wins over the file's; an empty one turns it off.
        if let Ok(text) = std::env::var("NODE_MGMT") {
            config.mgmt = operators_address(config.listen, &text)?;
        }
        if let Some(text) = std::env::var("NODE_LOG_LEVEL").ok().filter(|text| !text.is_empty()) {
            config.log_level = log_level(&text)?;
        }
        // An empty name is none, as a unit file leaves it that sets the variable to nothing.
        let named = operator.or_else(|| std::env::var_os("NODE_OPERATOR")).filter(|path| !path.is_empty());
        let read = |path: OsString| ClusterConfig::read(Path::new(&path)).map_err(|error| error.to_string());
        config.cluster = named.map(read).transpose()?;
        Ok(config)
    }

    /// Reads this file. A problem is told in one line.
    pub fn read(path: OsString) -> Result<Config, String> {
        let text = retry_transient_blocking(|| std::fs::read(&path));
        Config::of_file(path, text)
    }

    /// The configuration that this file held. A problem is told in one line.
    pub fn of_file(path: OsString, text: std::io::Result<Vec<u8>>) -> Result<Config, String> {
        let shown = path.to_string_lossy().into_owned();
        let text = text.map_err(|e| format!("cannot read {shown}: {e}"))?;
        let config = Config::parse(text).map_err(|e| format!("{shown}: {e}"))?;
        Ok(Config { file: Some(path), ..config })
    }

    /// Reads a configuration's text.
    pub fn parse(mut text: Vec<u8>) -> Result<Config, String> {
        // A serde message may span lines; the start's one plain line must not.
        let plain = |problem: String| problem.replace(['\n', '\r'], " ");
        let mut parsed = simd_json::Deserializer::from_slice(&mut text)
            .map_err(|e| plain(format!("not JSON: {e}; write one object, whole")))?;
        let file: File = serde_path_to_error::deserialize(&mut parsed)
            .map_err(|e| plain(format!("{}: {}; give it a value of that kind", e.path(), e.inner())))?;
        let env = file.settings;
        env.check().map_err(|error| error.to_string())?;
        let listen = address("listen", &file.listen)?;
        let settings = env.to_decisions();
        Ok(Config {
            mgmt: file.mgmt.map_or(Ok(None), |text| operators_address(listen, &text))?,
            file: None,
            log_level: file.log_level.map_or(Ok(Level::Info), |text| log_level(&text))?,
            cluster: None,
            position: env.position,
            pushed: (!settings.subscribe).then(|| pushed_list_backoff(duration(env.drain_grace()))),
            settings,
            listen,
            discovery: address("discovery", &file.discovery)?,
            name: file.name,
            seed: u64::from_str_radix(&file.seed, 16)
                .unwrap_or_else(|_| juniperladder_dispatch::identifiers::hash(file.seed.as_bytes())),
            limits: ConfiguredLimits {
                memory_bytes: (file.limits.memory_mb * f64::from(1 << 20)) as usize,
                descriptors: file.limits.sockets,
            },
            known: file.known,
            labels: Labels {
                classes: env.classes.into_iter().map(|class| class.name).collect(),
                tenants: env.tenants.into_iter().map(|org| org.name).collect(),
            },
            connect_timeout: duration(env.limits.connect_timeout),
            idle: duration(env.limits.connection_idle_timeout),
            names: SiteNames { zones: env.zones, kinds: env.kinds },
        })
    }
}

/// The level that this word names: `debug` has a line for each step of each request, with its id.
fn log_level(text: &str) -> Result<Level, String> {
    match text {
        "warning" => Ok(Level::Warning),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        other => Err(format!("log_level: {other:?} is no level; give warning, info or debug")),
    }
}

/// An address and port, or one line that says which is not.
fn address(name: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse::<SocketAddr>().map_err(|_| format!("{name}: {text:?} is no address and port"))
}

/// The operators' address as given; none where it is empty. It must not be the clients' own.
fn operators_address(listen: SocketAddr, text: &str) -> Result<Option<SocketAddr>, String> {
    if text.trim().is_empty() {
        return Ok(None);
    }
    let mgmt = address("mgmt", text)?;
    if mgmt == listen && mgmt.port() != 0 {
        return Err(format!("mgmt: {listen} is the clients' address; give the operators another one"));
    }
    Ok(Some(mgmt))
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperladder::CacheMode;

    const SOUND: &str = r#"{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.2:2","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
        "known":{"generation":41,"reset":true,"instances":[]},
        "settings":{"az":1,"balancers":3,"categories":[{"aim":750000,"effect":"pure","give-up":1500000,"group":"all",
          "late-worth":0.0,"name":"read","stream":false,"window":5000000,"worth":1.0}],
        "extra":{"mode":"aside","origin-kind":2},"kinds":["a","b","origin"],"weights":"rough",
        "limits":{"conn-idle":5000000,"connect-timeout":250000,"max-attempts":3,"max-retry-after":2000000,
          "may-duplicate":true,"retry-after":true},"membership-mode":"subscribe","orgs":[],
        "rules":{"ask-within":10000000,"cold-share":0.32,"warm-up":9000000},"tick":5000,"zones":["x","y"]}}"#;

    #[test]
    fn a_sound_configuration_is_read() {
        let config = Config::parse(SOUND.into()).unwrap();
        assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
        assert_eq!(config.limits, ConfiguredLimits { memory_bytes: 192 << 20, descriptors: 512 });
        assert_eq!((config.settings.mode, config.settings.zone), (CacheMode::Aside(2), 1));
        assert_eq!(
            (config.idle, config.connect_timeout),
            (Duration::from_secs(5), Duration::from_millis(250))
        );
        assert!(config.settings.subscribe && config.settings.weighted);
    }

    #[test]
    fn the_log_level_is_info_unless_the_file_names_another() {
        let with = |level: &str| SOUND.replace("\"seed\"", &format!("\"log_level\":\"{level}\",\"seed\""));
        assert_eq!(Config::parse(SOUND.into()).unwrap().log_level, Level::Info);
        assert_eq!(Config::parse(with("debug").into()).unwrap().log_level, Level::Debug);
        let problem = Config::parse(with("loud").into()).unwrap_err();
        assert_eq!(problem, "log_level: \"loud\" is no level; give warning, info or debug");
    }

    #[test]
    fn a_broken_configuration_is_one_plain_line() {
        let no_port = SOUND.replace("127.0.0.1:1", "127.0.0.1");
        let no_rules = SOUND.replace("\"rules\"", "\"fools\"");
        for text in ["", "{", "[]", &no_port, &no_rules, &SOUND[..SOUND.len() / 2]] {
            let problem = Config::parse(text.into()).unwrap_err();
            assert!(!problem.is_empty() && !problem.contains('\n'), "{problem:?}");
        }
        for (from, to, key) in [
            ("\"max-attempts\":3", "\"max-attempts\":\"three\"", "settings.limits.max-attempts: "),
            ("\"give-up\":1500000", "\"give-up\":-1", "settings.categories[0].give-up: "),
            ("\"sockets\":512", "\"sockets\":null", "limits.sockets: "),
        ] {
            let problem = Config::parse(SOUND.replace(from, to).into()).unwrap_err();
            assert!(problem.starts_with(key) && problem.contains("; give"), "{problem}");
        }
    }
}
