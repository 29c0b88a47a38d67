//! The endpoint list in discovery's form, and its translation into the decisions' terms.
//!
//! Guarantee: a server that can't be understood is never sent to. An unknown lifecycle counts as draining, an entry without
//! a usable address is left out, and each is logged, once a second at most. A zone or kind that the settings do not name has
//! the number `u32::MAX`.
//!
//! Versions of the list are discovery's `generation`; times in it are milliseconds of Unix time.

use std::net::SocketAddr;

use juniperladder::{Endpoint, EndpointState};
use juniperladder_dispatch::identifiers;
use juniperladder_dispatch::log_throttle::LogThrottle;
use serde::Deserialize;
use slog::{warn, Logger};

use crate::clock::from_ms;
use crate::dispatcher::ListedServer;

/// The names whose places in the settings are the numbers that the decisions know.
#[derive(Clone, Debug, Default)]
pub struct SiteNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

impl SiteNames {
    fn zone_number(&self, name: &str) -> u32 {
        position_or_max(&self.zones, name)
    }

    fn kind_number(&self, name: &str) -> u32 {
        position_or_max(&self.kinds, name)
    }
}

fn position_or_max(names: &[String], name: &str) -> u32 {
    names.iter().position(|known| known == name).map_or(u32::MAX, |position| position as u32)
}

/// A list, or the changes to one, as discovery writes it.
#[derive(Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The list's version; later ones are greater until discovery counts anew.
    #[serde(default, rename = "generation")]
    pub(crate) version: u64,
    /// Whether this is the complete list, not changes.
    #[serde(default, rename = "reset")]
    pub(crate) is_complete: bool,
    #[serde(default, rename = "instances")]
    entries: Vec<ListEntry>,
}

/// One server as discovery writes it.
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

/// The path of a watch on all changes after this version; without one discovery sends the complete list first.
pub(crate) fn watch_path(since: Option<u64>) -> String {
    match since {
        Some(version) => format!("/catalog/members?follow=1&since={version}"),
        None => "/catalog/members?follow=1".into(),
    }
}

/// Translates discovery's lists into the decisions' terms.
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

    /// The servers of a list or of its changes; entries without a usable address are left out and logged.
    pub fn read(&self, list: EndpointList, log: &Logger) -> Vec<ListedServer> {
        list.entries.iter().filter_map(|entry| self.read_entry(entry, log)).collect()
    }

    fn read_entry(&self, entry: &ListEntry, log: &Logger) -> Option<ListedServer> {
        let state = self.read_state(entry, log);
        let address: Option<SocketAddr> = entry.address.parse().ok();
        if address.is_none() && state != EndpointState::Deleted {
            if self.log_throttle.allows() {
                warn!(log, "server without a usable address left out"; "server" => &entry.name,
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
                // A state that this balancer does not know is no reason to send there.
                if self.log_throttle.allows() {
                    warn!(log, "server of unknown lifecycle counts as draining"; "server" => &entry.name,
                        "lifecycle" => unknown);
                }
                EndpointState::Draining
            }
        }
    }
}

#[cfg(test)]
mod tests;
