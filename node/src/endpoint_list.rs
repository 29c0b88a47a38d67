//! The endpoint list in discovery's format, and its conversion for the decision core.
//!
//! Guarantee: no request is sent to a server whose entry is invalid. A server with an unknown lifecycle is treated as
//! draining and an entry without a valid address is ignored; both are logged, at most once per second. A zone or kind that
//! is not in the settings gets the number `u32::MAX`.
//!
//! The list's version is discovery's `generation`; its times are Unix time in milliseconds.

use std::net::SocketAddr;

use juniperladder::{Endpoint, EndpointState};
use juniperladder_dispatch::identifiers;
use juniperladder_dispatch::log_throttle::LogThrottle;
use serde::Deserialize;
use slog::{warn, Logger};

use crate::clock::from_ms;
use crate::dispatcher::ListedServer;

/// The names of zones and kinds in the settings; the decision core uses their indices.
#[derive(Clone, Debug, Default)]
pub struct SiteNames {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the kinds of machine.
    pub kinds: Vec<String>,
}

impl SiteNames {
    fn zone_number(&self, name: &str) -> u32 {
        index_or_max(&self.zones, name)
    }

    fn kind_number(&self, name: &str) -> u32 {
        index_or_max(&self.kinds, name)
    }
}

fn index_or_max(names: &[String], name: &str) -> u32 {
    names.iter().position(|known| known == name).map_or(u32::MAX, |index| index as u32)
}

/// A complete endpoint list or changes to one, in discovery's format.
#[derive(Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The version of the list. It increases until discovery restarts its numbering.
    #[serde(default, rename = "generation")]
    pub(crate) version: u64,
    /// Whether this is a complete list rather than changes.
    #[serde(default, rename = "reset")]
    pub(crate) is_complete: bool,
    #[serde(default, rename = "instances")]
    entries: Vec<ListEntry>,
}

/// One server in discovery's format.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListEntry {
    #[serde(rename = "instanceId")]
    name: String,
    #[serde(rename = "hostPort")]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "machineType")]
    kind: String,
    #[serde(default)]
    cell: u32,
    #[serde(default = "default_lifecycle")]
    lifecycle: String,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    started_at_ms: u64,
}

fn default_lifecycle() -> String {
    "in_service".into()
}

fn default_weight() -> f64 {
    1.0
}

/// The path of a watch on all changes after this version. Without a version discovery sends the complete list first.
pub(crate) fn watch_path(since: Option<u64>) -> String {
    match since {
        Some(version) => format!("/catalog/members?follow=1&since={version}"),
        None => "/catalog/members?follow=1".into(),
    }
}

/// Converts discovery's lists for the decision core.
#[derive(Debug, Default)]
pub struct EndpointListReader {
    names: SiteNames,
    log_throttle: LogThrottle,
}

impl EndpointListReader {
    /// A reader for the site with these names.
    pub fn new(names: SiteNames) -> EndpointListReader {
        EndpointListReader { names, ..EndpointListReader::default() }
    }

    /// The servers in a list or in changes to one. Entries without a valid address are ignored and logged.
    pub fn read(&self, list: EndpointList, log: &Logger) -> Vec<ListedServer> {
        list.entries.iter().filter_map(|entry| self.read_entry(entry, log)).collect()
    }

    fn read_entry(&self, entry: &ListEntry, log: &Logger) -> Option<ListedServer> {
        let state = self.read_state(entry, log);
        let address: Option<SocketAddr> = entry.address.parse().ok();
        if address.is_none() && state != EndpointState::Deleted {
            if self.log_throttle.try_acquire() {
                warn!(log, "endpoint list entry without a valid address ignored"; "server" => &entry.name,
                    "address" => &entry.address);
            }
            return None;
        }
        let endpoint = Endpoint {
            server: identifiers::server_id(&entry.name),
            zone: self.names.zone_number(&entry.zone),
            kind: self.names.kind_number(&entry.kind),
            cell: entry.cell,
            state,
            weight: entry.weight,
            started: from_ms(entry.started_at_ms),
        };
        Some(ListedServer { endpoint, address })
    }

    fn read_state(&self, entry: &ListEntry, log: &Logger) -> EndpointState {
        match entry.lifecycle.as_str() {
            "in_service" => EndpointState::Serving,
            "terminated" => EndpointState::Deleted,
            "terminating" => EndpointState::Draining,
            unknown => {
                // No new requests are sent to a server in an unknown state.
                if self.log_throttle.try_acquire() {
                    warn!(log, "server with unknown lifecycle treated as draining"; "server" => &entry.name,
                        "lifecycle" => unknown);
                }
                EndpointState::Draining
            }
        }
    }
}

#[cfg(test)]
mod tests;
