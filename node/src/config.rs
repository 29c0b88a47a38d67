//! The daemon's configuration, read once into the few values that it uses.
//!
//! The file is one JSON object (`config/file.rs` has its form); the environment may name it (`NODE_CONFIG`), the operators' file
//! (`NODE_OPERATOR`), the operators' address (`NODE_MGMT`) and the log level (`NODE_LOG_LEVEL`). What the environment says wins
//! over the file.
//!
//! Guarantee: a configuration that can't be used is an error of one line that names the file, the key and what to do. Nothing
//! is guessed but the values that the site's settings permit to be absent.

mod file;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use juniperladder::Settings;
use juniperladder_settings::SettingsError;
use slog::Level;
use thiserror::Error;

use crate::cluster_config::{ClusterConfigError, ClusterConfigFile};
use crate::downstream::Labels;
use crate::endpoint_list::{EndpointList, SiteNames};
use crate::resource_limits::ConfiguredLimits;
use crate::transient_errors::retry_transient_blocking;

/// The configuration of a balancer.
#[derive(Debug)]
pub struct Config {
    /// The path of the file that it came from, which a reload reads again; none where it came from elsewhere.
    pub path: Option<OsString>,
    /// This balancer's name.
    pub name: String,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where discovery answers.
    pub discovery_address: SocketAddr,
    /// Where operators call; none, there is no such listener.
    pub admin_address: Option<SocketAddr>,
    /// For random numbers, another one at each start.
    pub seed: u64,
    /// What the process may take of its machine.
    pub resource_limits: ConfiguredLimits,
    /// The endpoint list as this balancer last had it.
    pub last_known_endpoints: EndpointList,
    /// The settings of the decisions.
    pub settings: Settings,
    /// This balancer's place among all, from 0, where the settings have it.
    pub position: Option<u32>,
    /// The operators' file; none where none is named.
    pub cluster: Option<ClusterConfigFile>,
    /// The names of zones and kinds, whose places are the settings' numbers.
    pub site_names: SiteNames,
    /// The names of classes and tenants that clients use.
    pub labels: Labels,
    /// How long a connection to a server may take to be established.
    pub connect_timeout: Duration,
    /// How long a server keeps an idle connection.
    pub server_idle_timeout: Duration,
    /// From which level on lines are logged.
    pub log_level: Level,
    /// Where discovery pushes its lists, how soon after a failure it is polled again; none where it has to be polled.
    pub pushed_list_backoff: Option<Duration>,
}

/// Why there is no configuration. The text is one line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("NODE_CONFIG is not set")]
    NoFileNamed,
    /// The file can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// What the file says can't be used.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: InvalidConfig,
    },
    /// What the environment says can't be used.
    #[error(transparent)]
    Environment(#[from] InvalidConfig),
    /// The operators' file can't be used.
    #[error(transparent)]
    Cluster(#[from] ClusterConfigError),
}

/// What is wrong with a configuration. The text is one line.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidConfig {
    /// It is no JSON.
    #[error("not JSON: {message}; write one object, whole")]
    NotJson {
        /// What the parser says.
        message: String,
    },
    /// A key is missing, or its value is of another kind.
    #[error("{key}: {message}; give it a value of that kind")]
    WrongKind {
        /// The key, with those that it stands in.
        key: String,
        /// What the parser says.
        message: String,
    },
    /// A setting of the site can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A value is no address with a port.
    #[error("{key}: {text:?} is no address and port")]
    Address {
        /// The key.
        key: &'static str,
        /// The value.
        text: String,
    },
    /// The operators' address is that of the clients.
    #[error("mgmt: {0} is the clients' address; give the operators another one")]
    SharedAddress(SocketAddr),
    /// A word is no log level.
    #[error("log_level: {0:?} is no level; give warning, info or debug")]
    LogLevel(String),
}

impl Config {
    /// Reads the file that the environment names, and the operators' file: the one given here, or the one that the environment
    /// names.
    ///
    /// # Errors
    /// A file can't be read or used, or a value of the environment can't.
    pub fn from_environment(cluster_config_path: Option<OsString>) -> Result<Config, ConfigError> {
        let file = std::env::var_os("NODE_CONFIG").ok_or(ConfigError::NoFileNamed)?;
        let mut config = Config::read(file)?;
        // An empty address turns the operators' listener off.
        if let Ok(text) = std::env::var("NODE_MGMT") {
            config.admin_address = parse_admin_address(config.client_address, &text)?;
        }
        if let Some(text) = std::env::var("NODE_LOG_LEVEL").ok().filter(|text| !text.is_empty()) {
            config.log_level = parse_log_level(&text)?;
        }
        let cluster_config_path = cluster_config_path.or_else(|| std::env::var_os("NODE_OPERATOR"));
        // An empty name is none, as a unit file leaves it that sets the variable to nothing.
        if let Some(path) = cluster_config_path.filter(|path| !path.is_empty()) {
            config.cluster = Some(ClusterConfigFile::read(Path::new(&path))?);
        }
        Ok(config)
    }

    /// Reads this file; an error that may pass is tried again for a moment.
    ///
    /// # Errors
    /// The file can't be read or used.
    pub fn read(path: OsString) -> Result<Config, ConfigError> {
        let content = retry_transient_blocking(|| std::fs::read(&path));
        Config::from_file_content(path, content)
    }

    /// The configuration that this file held, or was to hold.
    ///
    /// # Errors
    /// The file could not be read, or what it says can't be used.
    pub fn from_file_content(
        path: OsString,
        content: std::io::Result<Vec<u8>>,
    ) -> Result<Config, ConfigError> {
        let shown_path = PathBuf::from(&path);
        let text = match content {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Read { path: shown_path, source }),
        };
        match Config::parse(text) {
            Ok(config) => Ok(Config { path: Some(path), ..config }),
            Err(source) => Err(ConfigError::File { path: shown_path, source }),
        }
    }

    /// Reads a configuration's text.
    ///
    /// # Errors
    /// The text can't be used; the first problem is named.
    pub fn parse(text: Vec<u8>) -> Result<Config, InvalidConfig> {
        file::parse(text)?.into_config()
    }
}

/// The level that this word names: `debug` has a line for each step of each request, with its id.
fn parse_log_level(text: &str) -> Result<Level, InvalidConfig> {
    match text {
        "warning" => Ok(Level::Warning),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        other => Err(InvalidConfig::LogLevel(other.to_owned())),
    }
}

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, InvalidConfig> {
    text.parse().map_err(|_| InvalidConfig::Address { key, text: text.to_owned() })
}

/// The operators' address; none where the text is empty. It must not be the clients' own, unless the system picks the port.
fn parse_admin_address(client_address: SocketAddr, text: &str) -> Result<Option<SocketAddr>, InvalidConfig> {
    if text.trim().is_empty() {
        return Ok(None);
    }
    let address = parse_address("mgmt", text)?;
    if address == client_address && address.port() != 0 {
        return Err(InvalidConfig::SharedAddress(client_address));
    }
    Ok(Some(address))
}

#[cfg(test)]
mod tests;
