//! The operators' file (TOML): configures how this balancer coordinates with others. Without the file no address is bound
//! for peers, and none of the features that it enables is started or allocated.
//!
//! Serde maps each key to the term used in the code; an unknown key is an error. `deploy/operator.example.toml` documents
//! every key with its default. `deploy/operator.schema.json`, which editors use for completion and help, is derived from
//! the types in this module: the `schemars` attributes keep the names in it, and the doc comments are its descriptions.
//!
//! Keys with a unit end in `_ms` (milliseconds) or `_per_s`; the others are shares or counts. An invalid file is reported
//! as a [`ClusterConfigError`] of one line, with the line in the file, the key and the valid values.

mod check;
mod member_config;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

pub use member_config::{MissingPosition, ORIGIN_LIMIT};

/// The operators' file.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema), schemars(rename = "Operator"))]
#[serde(deny_unknown_fields)]
pub struct ClusterConfigFile {
    /// The transport between balancers.
    pub peers: PeerConfig,
    /// Limits shared by all balancers.
    #[serde(default)]
    pub limits: LimitsConfig,
    /// The failure detector; without it each balancer relies on its own observations alone.
    #[serde(rename = "verdicts")]
    pub failure_detector: Option<FailureDetectorConfig>,
}

/// The failure detector: balancers share reports of silent servers. Must be the same in every balancer's file.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema), schemars(rename = "Verdicts"))]
#[serde(deny_unknown_fields, default)]
pub struct FailureDetectorConfig {
    /// The number of balancers that must report a server as silent before the others avoid it.
    #[serde(rename = "witnesses")]
    pub min_reporters: usize,
    /// How long a report is valid after the observation that it reports, in milliseconds.
    #[serde(rename = "expiry_ms")]
    pub report_lifetime_ms: u64,
    /// The maximum share of all servers that a balancer avoids because of other balancers' reports.
    #[serde(rename = "most")]
    pub max_suspected_share: f64,
    /// The number of trial requests per second that all balancers together send to an avoided server.
    #[serde(rename = "tries_per_s")]
    pub trials_per_s: f64,
}

impl Default for FailureDetectorConfig {
    fn default() -> FailureDetectorConfig {
        FailureDetectorConfig {
            min_reporters: 3,
            report_lifetime_ms: 6_000,
            max_suspected_share: 0.34,
            trials_per_s: 1.0,
        }
    }
}

/// The transport between balancers.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema), schemars(rename = "Peers"))]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// The address and UDP port on which this balancer listens for the others, in a network that only balancers reach.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// The address at which the others reach this balancer; by default the listen address.
    #[serde(default, rename = "address")]
    pub advertised_address: Option<SocketAddr>,
    /// The addresses of members to contact first; a few that are likely to be running.
    pub seeds: Vec<SocketAddr>,
    /// This balancer's position in the fleet, from 0 and unique; by default `position` in the settings.
    #[serde(default)]
    pub position: Option<u32>,
}

/// Limits shared by all balancers. Must be the same in every balancer's file: members whose files differ share nothing.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema), schemars(rename = "Limits"))]
#[serde(deny_unknown_fields, default)]
pub struct LimitsConfig {
    /// The number of positions among which each limit is divided; by default `balancers` in the settings.
    #[serde(rename = "holders")]
    pub owners: Option<u32>,
    /// How long a lease lasts after its last request, in milliseconds.
    pub lease_ms: u64,
    /// The maximum relative difference in speed between the balancers' clocks.
    #[serde(rename = "drift")]
    pub clock_drift: f64,
    /// The maximum difference in transit time between requests to the origin, in milliseconds. In any second, no more
    /// requests arrive than the rate allows in one second plus this time.
    #[serde(rename = "spread_ms")]
    pub arrival_spread_ms: u64,
    /// The rate limit on fetches and writes at the origin.
    #[serde(rename = "origin")]
    pub origin_rate: Option<RateConfig>,
    /// The rate limit on each server in slow start: the rate of a warm server. The settings have the initial share of it.
    #[serde(rename = "cold")]
    pub slow_start_rate: Option<RateConfig>,
    /// The retry budget; it also covers hedged requests.
    #[serde(rename = "second")]
    pub retry_budget: Option<RetryBudgetConfig>,
}

impl Default for LimitsConfig {
    fn default() -> LimitsConfig {
        LimitsConfig {
            owners: None,
            lease_ms: 2_000,
            clock_drift: 0.001,
            arrival_spread_ms: 50,
            origin_rate: None,
            slow_start_rate: None,
            retry_budget: None,
        }
    }
}

/// The retry budget of all balancers together.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema), schemars(rename = "Second"))]
#[serde(deny_unknown_fields, default)]
pub struct RetryBudgetConfig {
    /// The number of retries allowed per first attempt.
    #[serde(rename = "share")]
    pub retries_per_first_attempt: f64,
    /// The maximum number of retry credits that a balancer may have saved up.
    #[serde(rename = "saved")]
    pub max_saved_credits: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> RetryBudgetConfig {
        RetryBudgetConfig { retries_per_first_attempt: 0.4, max_saved_credits: 10.0 }
    }
}

/// A rate limit on all balancers together.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema), schemars(rename = "Rate"))]
#[serde(deny_unknown_fields)]
pub struct RateConfig {
    /// The number of requests per second.
    #[serde(rename = "per_s")]
    pub requests_per_s: u32,
}

/// Why the operators' file cannot be loaded.
#[derive(Debug, Error)]
pub enum ClusterConfigError {
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
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The error in the content.
        source: InvalidClusterConfig,
    },
}

/// An error in the text of an operators' file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidClusterConfig {
    /// The text is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{}{message}", line_prefix(*line))]
    Syntax {
        /// The line number, from 1, if known.
        line: Option<usize>,
        /// The parser's message, in one line.
        message: String,
    },
    /// A value is out of range.
    #[error("{}{key}: {expected}", line_prefix(*line))]
    Value {
        /// The line number, from 1, if the text sets the key.
        line: Option<usize>,
        /// The key, including its tables.
        key: &'static str,
        /// The valid values.
        expected: String,
    },
}

fn line_prefix(line: Option<usize>) -> String {
    line.map_or(String::new(), |line| format!("line {line}: "))
}

impl ClusterConfigFile {
    /// Reads the file.
    ///
    /// # Errors
    /// The file cannot be read, or its content is invalid.
    pub fn read(path: &Path) -> Result<ClusterConfigFile, ClusterConfigError> {
        let path = path.to_owned();
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                ClusterConfigFile::parse(&text).map_err(|source| ClusterConfigError::Invalid { path, source })
            }
            Err(source) => Err(ClusterConfigError::Read { path, source }),
        }
    }

    /// Parses the text of the file.
    ///
    /// # Errors
    /// The text does not match the file's schema, or a value is out of range.
    pub fn parse(text: &str) -> Result<ClusterConfigFile, InvalidClusterConfig> {
        let config: ClusterConfigFile = toml::from_str(text).map_err(|error| syntax_error(text, &error))?;
        check::check(&config).map_err(|invalid| InvalidClusterConfig::Value {
            line: line_of_key(text, invalid.key),
            key: invalid.key,
            expected: invalid.expected,
        })?;
        Ok(config)
    }
}

fn syntax_error(text: &str, error: &toml::de::Error) -> InvalidClusterConfig {
    let line = error.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
    InvalidClusterConfig::Syntax { line, message: error.message().replace('\n', " ") }
}

/// The first line, from 1, that sets a key of this name in any table.
fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let name = key.rsplit('.').next().unwrap_or(key);
    let sets_key = |line: &str| line.split('=').next().is_some_and(|word| word.trim() == name);
    text.lines().position(sets_key).map(|index| index + 1)
}

#[cfg(test)]
mod tests;
