//! The daemon's configuration.
//!
//! The configuration file is one JSON object (see `config/file.rs`), whose path is in `NODE_CONFIG`. The environment can
//! also set the path of the operators' file (`NODE_OPERATOR`), the admin address (`NODE_MGMT`) and the log level
//! (`NODE_LOG_LEVEL`), which take precedence over the file.
//!
//! Guarantee: an invalid configuration is reported as an error of one line that names the file, the key and the remedy.
//! Only values that the site's settings declare optional have defaults.

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
    /// The path of the configuration file, which a reload reads again; none if the configuration was not read from a file.
    pub path: Option<OsString>,
    /// The balancer's name.
    pub name: String,
    /// The address on which clients connect.
    pub client_address: SocketAddr,
    /// The address of discovery.
    pub discovery_address: SocketAddr,
    /// The address of the admin interface; none to disable it.
    pub admin_address: Option<SocketAddr>,
    /// The random seed, which should differ at each start.
    pub seed: u64,
    /// The memory and descriptors that the process may use.
    pub resource_limits: ConfiguredLimits,
    /// The last known endpoint list, used until discovery has sent one.
    pub last_known_endpoints: EndpointList,
    /// The settings of the decision core.
    pub settings: Settings,
    /// This balancer's position in the fleet, from 0, if the settings have it.
    pub position: Option<u32>,
    /// The operators' file, if one is configured.
    pub cluster: Option<ClusterConfigFile>,
    /// The names of zones and kinds; their indices are the numbers in the settings.
    pub site_names: SiteNames,
    /// The names of classes and tenants that clients use.
    pub labels: Labels,
    /// The timeout for establishing a connection to a server.
    pub connect_timeout: Duration,
    /// How long a server keeps an idle connection open.
    pub server_idle_timeout: Duration,
    /// The least severe level that is logged.
    pub log_level: Level,
    /// The backoff after a failed poll where discovery pushes its lists; none where it must be polled.
    pub pushed_list_backoff: Option<Duration>,
}

/// Why the configuration cannot be loaded. The text is one line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `NODE_CONFIG` is not set.
    #[error("NODE_CONFIG is not set")]
    PathNotSet,
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of the read.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error in the content.
        source: InvalidConfig,
    },
    /// A value from the environment is invalid.
    #[error(transparent)]
    Environment(#[from] InvalidConfig),
    /// The operators' file cannot be loaded.
    #[error(transparent)]
    Cluster(#[from] ClusterConfigError),
}

/// An error in a configuration. The text is one line.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidConfig {
    /// The text is not valid JSON.
    #[error("not valid JSON: {message}; the file must be one complete object")]
    MalformedJson {
        /// The parser's message.
        message: String,
    },
    /// A key is missing, or its value has the wrong type.
    #[error("{key}: {message}; set it to a value of the expected type")]
    InvalidValue {
        /// The path of the key.
        key: String,
        /// The parser's message.
        message: String,
    },
    /// A site setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A value is not an IP address and port.
    #[error("{key}: {text:?} is not an IP address and port")]
    Address {
        /// The key.
        key: &'static str,
        /// The value.
        text: String,
    },
    /// The admin address is the same as the client address.
    #[error("mgmt: {0} is already the address for clients; set another one for operators")]
    SameAsClientAddress(SocketAddr),
    /// The log level is unknown.
    #[error("log_level: {0:?} is not a log level; use warning, info or debug")]
    LogLevel(String),
}

impl Config {
    /// Reads the configuration file named by the environment, and the operators' file at `cluster_config_path` or, if that
    /// is none, the one named by the environment.
    ///
    /// # Errors
    /// A file cannot be read or is invalid, or a value from the environment is invalid.
    pub fn from_environment(cluster_config_path: Option<OsString>) -> Result<Config, ConfigError> {
        let file = std::env::var_os("NODE_CONFIG").ok_or(ConfigError::PathNotSet)?;
        let mut config = Config::read(file)?;
        // An empty address disables the admin interface.
        if let Ok(text) = std::env::var("NODE_MGMT") {
            config.admin_address = parse_admin_address(config.client_address, &text)?;
        }
        if let Some(text) = std::env::var("NODE_LOG_LEVEL").ok().filter(|text| !text.is_empty()) {
            config.log_level = parse_log_level(&text)?;
        }
        let cluster_config_path = cluster_config_path.or_else(|| std::env::var_os("NODE_OPERATOR"));
        // An empty path means no operators' file, so that a systemd unit may set the variable to an empty value.
        if let Some(path) = cluster_config_path.filter(|path| !path.is_empty()) {
            config.cluster = Some(ClusterConfigFile::read(Path::new(&path))?);
        }
        Ok(config)
    }

    /// Reads this file; transient errors are retried for a short time.
    ///
    /// # Errors
    /// The file cannot be read, or its content is invalid.
    pub fn read(path: OsString) -> Result<Config, ConfigError> {
        let content = retry_transient_blocking(|| std::fs::read(&path));
        Config::from_file_content(path, content)
    }

    /// Parses the result of reading this file.
    ///
    /// # Errors
    /// The file could not be read, or its content is invalid.
    pub fn from_file_content(
        path: OsString,
        content: std::io::Result<Vec<u8>>,
    ) -> Result<Config, ConfigError> {
        let error_path = PathBuf::from(&path);
        let text = match content {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Read { path: error_path, source }),
        };
        match Config::parse(text) {
            Ok(config) => Ok(Config { path: Some(path), ..config }),
            Err(source) => Err(ConfigError::File { path: error_path, source }),
        }
    }

    /// Parses the text of a configuration.
    ///
    /// # Errors
    /// The text is invalid; only the first problem is reported.
    pub fn parse(text: Vec<u8>) -> Result<Config, InvalidConfig> {
        file::parse(text)?.into_config()
    }
}

/// Parses a log level. At level `debug` each step of each request is logged with the request's id.
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

/// Parses the admin address; none if the text is empty. It must differ from the client address, unless the operating
/// system picks the port.
fn parse_admin_address(client_address: SocketAddr, text: &str) -> Result<Option<SocketAddr>, InvalidConfig> {
    if text.trim().is_empty() {
        return Ok(None);
    }
    let address = parse_address("mgmt", text)?;
    if address == client_address && address.port() != 0 {
        return Err(InvalidConfig::SameAsClientAddress(client_address));
    }
    Ok(Some(address))
}

#[cfg(test)]
mod tests;
