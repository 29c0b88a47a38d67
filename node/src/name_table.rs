//! The endpoint list: discovery's list in the decisions' terms.

use std::net::SocketAddr;

use juniperladder::{Endpoint, EndpointState};
pub use juniperladder_dispatch::identifiers::{hash, key, server_id};
use serde::Deserialize;
use slog::{warn, Logger};

use crate::clock::from_ms;
use crate::dispatcher::ListedServer;
use juniperladder_dispatch::log_throttle::LogThrottle;

/// The names that stand for the settings' numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

/// A list, or the changes to one, in discovery's form.
#[derive(Debug, Default, Deserialize)]
pub struct Catalog {
    #[serde(default)]
    pub(crate) generation: u64,
    #[serde(default)]
    pub(crate) reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u32,
    #[serde(default = "in_service")]
    lifecycle: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_at_ms: u64,
}

fn in_service() -> String {
    "in_service".into()
}

fn one() -> f64 {
    1.0
}

/// What a watch is called on all that changes after this version; without one, the whole list comes first.
pub(crate) fn watch_path(since: Option<u64>) -> String {
    match since {
        Some(generation) => format!("/catalog/members?follow=1&since={generation}"),
        None => "/catalog/members?follow=1".into(),
    }
}

/// Discovery's list in the decisions' terms.
#[derive(Debug, Default)]
pub struct NameTable {
    names: Names,
    log_throttle: LogThrottle,
}

impl NameTable {
    /// An empty table.
    pub fn new(names: Names) -> NameTable {
        NameTable { names, ..NameTable::default() }
    }

    /// The entries of a list or of its changes; those that make no sense are left out and told.
    pub fn read(&self, catalog: Catalog, log: &Logger) -> Vec<ListedServer> {
        let mut servers = Vec::with_capacity(catalog.instances.len());
        for instance in catalog.instances {
            let state = match instance.lifecycle.as_str() {
                "in_service" => EndpointState::Serving,
                "terminated" => EndpointState::Deleted,
                "terminating" => EndpointState::Draining,
                other => {
                    // A state this balancer does not know is no reason to send there.
                    if self.log_throttle.allows() {
                        warn!(log, "unknown lifecycle"; "host" => &instance.instance_id, "lifecycle" => other);
                    }
                    EndpointState::Draining
                }
            };
            let address: Option<SocketAddr> = instance.host_port.parse().ok();
            if address.is_none() && state != EndpointState::Deleted {
                if self.log_throttle.allows() {
                    warn!(log, "no address"; "host" => &instance.instance_id, "address" => &instance.host_port);
                }
                continue;
            }
            let place = |names: &[String], name: &str| {
                names.iter().position(|n| n == name).map_or(u32::MAX, |place| place as u32)
            };
            let endpoint = Endpoint {
                server: server_id(&instance.instance_id),
                zone: place(&self.names.zones, &instance.zone),
                kind: place(&self.names.kinds, &instance.machine_type),
                cell: instance.cell,
                state,
                weight: instance.weight,
                started: from_ms(instance.started_at_ms),
            };
            servers.push(ListedServer { endpoint, address });
        }
        servers
    }
}

#[cfg(test)]
mod tests;
