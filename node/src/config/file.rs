//! The format of the configuration file: one JSON object, whose key `settings` holds the site's settings.

use juniperladder_dispatch::identifiers::hash;
use juniperladder_settings::SiteSettings;
use serde::Deserialize;
use slog::Level;

use super::{parse_address, parse_admin_address, parse_log_level, Config, InvalidConfig};
use crate::clock::duration;
use crate::discovery::timing::pushed_list_backoff;
use crate::downstream::Labels;
use crate::endpoint_list::{EndpointList, SiteNames};
use crate::resource_limits::ConfiguredLimits;

const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_SOCKETS: usize = 1024;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// The configuration file.
#[derive(Deserialize)]
pub(super) struct ConfigFile {
    name: String,
    #[serde(rename = "listen")]
    client_address: String,
    #[serde(rename = "discovery")]
    discovery_address: String,
    #[serde(default, rename = "mgmt")]
    admin_address: Option<String>,
    /// The random seed: a hexadecimal number, or any other text, which is hashed.
    #[serde(default)]
    seed: String,
    #[serde(default)]
    log_level: Option<String>,
    #[serde(default, rename = "limits")]
    resource_limits: FileLimits,
    #[serde(default, rename = "known")]
    last_known_endpoints: EndpointList,
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
        FileLimits { memory_mb: DEFAULT_MEMORY_MB, sockets: DEFAULT_SOCKETS }
    }
}

impl FileLimits {
    fn to_configured(&self) -> ConfiguredLimits {
        ConfiguredLimits { memory_bytes: (self.memory_mb * BYTES_PER_MB) as usize, descriptors: self.sockets }
    }
}

/// Parses the text of the file.
pub(super) fn parse(mut text: Vec<u8>) -> Result<ConfigFile, InvalidConfig> {
    let mut parser = simd_json::Deserializer::from_slice(&mut text)
        .map_err(|error| InvalidConfig::MalformedJson { message: one_line(&error.to_string()) })?;
    serde_path_to_error::deserialize(&mut parser).map_err(|error| InvalidConfig::InvalidValue {
        key: one_line(&error.path().to_string()),
        message: one_line(&error.inner().to_string()),
    })
}

/// Joins the lines of a parser's message, because a configuration error must be one line.
fn one_line(message: &str) -> String {
    message.replace(['\n', '\r'], " ")
}

fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| hash(text.as_bytes()))
}

impl ConfigFile {
    /// The configuration in this file, without the values from the environment.
    pub(super) fn into_config(self) -> Result<Config, InvalidConfig> {
        let site = self.settings;
        site.check()?;
        let settings = site.to_balancer_settings();
        let client_address = parse_address("listen", &self.client_address)?;
        let admin_address = match &self.admin_address {
            Some(text) => parse_admin_address(client_address, text)?,
            None => None,
        };
        let log_level = self.log_level.as_deref().map_or(Ok(Level::Info), parse_log_level)?;
        let discovery_address = parse_address("discovery", &self.discovery_address)?;
        let drain_grace = duration(site.drain_grace());
        let pushed_list_backoff = (!settings.watches_discovery).then(|| pushed_list_backoff(drain_grace));
        Ok(Config {
            path: None,
            name: self.name,
            client_address,
            discovery_address,
            admin_address,
            seed: parse_seed(&self.seed),
            resource_limits: self.resource_limits.to_configured(),
            last_known_endpoints: self.last_known_endpoints,
            settings,
            position: site.position,
            cluster: None,
            connect_timeout: duration(site.limits.connect_timeout),
            server_idle_timeout: duration(site.limits.connection_idle_timeout),
            labels: Labels {
                classes: site.classes.into_iter().map(|class| class.name).collect(),
                tenants: site.tenants.into_iter().map(|tenant| tenant.name).collect(),
            },
            site_names: SiteNames { zones: site.zones, kinds: site.kinds },
            log_level,
            pushed_list_backoff,
        })
    }
}
