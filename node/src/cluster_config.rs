//! The operators' file (TOML): how this balancer coordinates with others. Without the file no address is bound for peers, and
//! nothing of what it could switch on is spawned or allocated.
//!
//! Each key is mapped to the code's term once, by serde; an unknown key is an error. `deploy/operator.example.toml` has every
//! key at its default, with what it means, and `deploy/operator.schema.json` is derived from the types here: the `schemars`
//! attributes keep its names and descriptions, which operators' editors show.
//!
//! Keys end in `_ms` (milliseconds) or `_per_s` where they have a unit; the others are shares or counts. A file that can't be
//! used is a [`ClusterConfigError`] of one line, with the file's line, the key and what would be right.

mod check;
mod member_config;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

pub use member_config::{MissingPosition, ORIGIN_LIMIT};

/// The whole file.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema), schemars(rename = "Operator"))]
#[serde(deny_unknown_fields)]
pub struct ClusterConfigFile {
    /// How the balancers reach each other.
    #[cfg_attr(test, schemars(description = "Talk between balancers."))]
    pub peers: PeerConfig,
    /// Limits that hold for all balancers together.
    #[serde(default)]
    pub limits: LimitsConfig,
    /// The failure detector; without it each balancer goes by its own evidence alone.
    #[serde(rename = "verdicts")]
    #[cfg_attr(
        test,
        schemars(description = "Verdicts on hosts; left out, each balancer finds out for itself alone.")
    )]
    pub failure_detector: Option<FailureDetectorConfig>,
}

/// The failure detector: what one balancer finds out about a silent server spares the others. The same in every balancer's
/// file.
#[derive(Debug, Deserialize)]
#[cfg_attr(
    test,
    derive(schemars::JsonSchema),
    schemars(
        rename = "Verdicts",
        description = "Verdicts on hosts: what one balancer sees of a silent host spares the others. The same in every \
                       balancer's file."
    )
)]
#[serde(deny_unknown_fields, default)]
pub struct FailureDetectorConfig {
    /// How many balancers have to report a server silent before others avoid it.
    #[serde(rename = "witnesses")]
    #[cfg_attr(
        test,
        schemars(description = "How many balancers have to find a host silent before others pass it by.")
    )]
    pub min_reporters: usize,
    /// How long a report counts after what it reports was observed.
    #[serde(rename = "expiry_ms")]
    #[cfg_attr(
        test,
        schemars(
            description = "How long a word acts after its balancer saw what it tells, in milliseconds."
        )
    )]
    pub report_lifetime_ms: u64,
    /// The largest share of all servers that is avoided because of others' reports.
    #[serde(rename = "most")]
    #[cfg_attr(
        test,
        schemars(description = "The part of all hosts that is passed by on others' word at the most.")
    )]
    pub max_suspected_share: f64,
    /// How often all balancers together try a server that they avoid.
    #[serde(rename = "tries_per_s")]
    #[cfg_attr(
        test,
        schemars(description = "How often a second all balancers together try a host that they pass by.")
    )]
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

/// How the balancers reach each other.
#[derive(Debug, Deserialize)]
#[cfg_attr(
    test,
    derive(schemars::JsonSchema),
    schemars(rename = "Peers", description = "Talk between balancers.")
)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Where this balancer listens for the others: an address on a network that only balancers reach, and a UDP port.
    #[serde(rename = "listen")]
    #[cfg_attr(
        test,
        schemars(
            description = "Where this balancer hears the others: an address on a network that only balancers reach, and a \
                           UDP port."
        )
    )]
    pub listen_address: SocketAddr,
    /// The address at which the others reach it; by default the one that it listens at.
    #[serde(default, rename = "address")]
    #[cfg_attr(
        test,
        schemars(description = "The address that the others know it by; by default the one it listens at.")
    )]
    pub advertised_address: Option<SocketAddr>,
    /// Members to contact first; a few that are likely to be there.
    #[cfg_attr(
        test,
        schemars(description = "Members that are called first; a few that are likely to be there.")
    )]
    pub seeds: Vec<SocketAddr>,
    /// Its place in the fleet, from 0; by default `position` in the settings. No two processes may have the same.
    #[serde(default)]
    pub position: Option<u32>,
}

/// Limits that hold for all balancers together. The same in every balancer's file: members whose files differ share
/// nothing.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema), schemars(rename = "Limits"))]
#[serde(deny_unknown_fields, default)]
pub struct LimitsConfig {
    /// Among how many positions each limit is divided; by default `balancers` in the settings.
    #[serde(rename = "holders")]
    pub owners: Option<u32>,
    /// How long a lease lasts after it was last requested.
    #[cfg_attr(
        test,
        schemars(description = "How long a loan holds after it was last asked for, in milliseconds.")
    )]
    pub lease_ms: u64,
    /// The share by which clocks may run faster or slower than each other.
    #[serde(rename = "drift")]
    #[cfg_attr(
        test,
        schemars(description = "By which part clocks may run faster or slower than each other.")
    )]
    pub clock_drift: f64,
    /// By how much requests may differ in the time that they take to the origin: so much over a second is the stated bound.
    #[serde(rename = "spread_ms")]
    #[cfg_attr(
        test,
        schemars(
            description = "By how much sends may differ in the time that they take to the origin, in milliseconds: so much \
                           over a second is\nthe stated bound."
        )
    )]
    pub arrival_spread_ms: u64,
    /// Fetches and writes at the origin.
    #[serde(rename = "origin")]
    pub origin_rate: Option<RateConfig>,
    /// Requests to each server that warms up: the rate of a warm one; the share that a new one bears is in the settings.
    #[serde(rename = "cold")]
    #[cfg_attr(
        test,
        schemars(
            description = "Sends to each host that warms up: what a warm one bears; the part that a cold one bears is in the \
                           settings."
        )
    )]
    pub slow_start_rate: Option<RateConfig>,
    /// The retry budget, hedged requests included.
    #[serde(rename = "second")]
    #[cfg_attr(
        test,
        schemars(description = "Second tries, second copies included, as a budget over first tries.")
    )]
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
#[cfg_attr(
    test,
    derive(schemars::JsonSchema),
    schemars(rename = "Second", description = "A budget of second tries.")
)]
#[serde(deny_unknown_fields, default)]
pub struct RetryBudgetConfig {
    /// Retries for each first attempt.
    #[serde(rename = "share")]
    #[cfg_attr(test, schemars(description = "Second tries for each first try."))]
    pub retries_per_first_attempt: f64,
    /// How many credits for a retry a balancer may have saved up.
    #[serde(rename = "saved")]
    #[cfg_attr(test, schemars(description = "How many a balancer may have saved up."))]
    pub max_saved_credits: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> RetryBudgetConfig {
        RetryBudgetConfig { retries_per_first_attempt: 0.4, max_saved_credits: 10.0 }
    }
}

/// A rate for all balancers together.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema), schemars(rename = "Rate"))]
#[serde(deny_unknown_fields)]
pub struct RateConfig {
    /// Requests a second.
    #[serde(rename = "per_s")]
    #[cfg_attr(test, schemars(description = "Commands a second."))]
    pub requests_per_s: u32,
}

/// Why an operators' file can't be used.
#[derive(Debug, Error)]
pub enum ClusterConfigError {
    /// It can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// What it says can't be used.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: InvalidClusterConfig,
    },
}

/// What is wrong with the text of an operators' file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidClusterConfig {
    /// It is no TOML, or has a key or a kind of value that it may not have.
    #[error("{}{message}", line_prefix(*line))]
    Syntax {
        /// The line, from 1, where it is known.
        line: Option<usize>,
        /// What is wrong there, in one line.
        message: String,
    },
    /// A value is out of its range.
    #[error("{}{key}: {expected}", line_prefix(*line))]
    Value {
        /// The line, from 1, where the key stands in the text.
        line: Option<usize>,
        /// The key, with the tables that it stands in.
        key: &'static str,
        /// What would be right.
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
    /// The file can't be read, or what it says can't be used.
    pub fn read(path: &Path) -> Result<ClusterConfigFile, ClusterConfigError> {
        let path = path.to_owned();
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                ClusterConfigFile::parse(&text).map_err(|source| ClusterConfigError::Invalid { path, source })
            }
            Err(source) => Err(ClusterConfigError::Read { path, source }),
        }
    }

    /// Reads a file's text.
    ///
    /// # Errors
    /// The text has no form that is known, or a value is out of its range.
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
