//! Operator overrides: servers that operators have taken offline, applied to every list from discovery.
//!
//! Guarantee: from [`OperatorOverrides::take_offline`] to [`OperatorOverrides::bring_online`] the server is draining,
//! whatever discovery reports. An override is keyed by the server's id and stored apart from the endpoint list, so that
//! no list, change or reset removes it. The caller passes the time; no I/O and no clock here.

use std::collections::VecDeque;

use juniperladder::{EndpointState, Micros, ServerId};
use rustc_hash::{FxHashMap, FxHashSet};
use thiserror::Error;

use crate::values::ListedServer;

/// Maximum number of remembered ids of servers that were ever listed; beyond it the oldest are forgotten.
const MAX_REMEMBERED_SERVERS: usize = 16_384;

/// The server is neither offline nor among the servers remembered from discovery's lists.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no such cache host has been listed; give an instanceId of the list")]
pub struct UnknownServer;

/// An override in force.
#[derive(Debug)]
struct OfflineOverride {
    name: String,
    since: Micros,
}

/// An ended override, kept until discovery reports a start of the server since the override began. Until then the
/// server's start time is taken to be the end of the override, as the operator may have restarted it.
#[derive(Clone, Copy, Debug)]
struct EndedOverride {
    since: Micros,
    ended: Micros,
}

/// The overrides, and the servers as discovery last listed them.
#[derive(Debug, Default)]
pub struct OperatorOverrides {
    offline: FxHashMap<ServerId, OfflineOverride>,
    ended: FxHashMap<ServerId, EndedOverride>,
    listed: FxHashMap<ServerId, ListedServer>,
    /// The ids of servers that were ever listed, and the same ids in the order of their first listing.
    remembered: FxHashSet<ServerId>,
    remembered_by_age: VecDeque<ServerId>,
}

impl OperatorOverrides {
    /// Records a complete list from discovery, or changes to one, and returns it with the overrides applied: a serving
    /// server that is offline is draining.
    pub fn apply_update(&mut self, is_complete: bool, servers: &[ListedServer]) -> Vec<ListedServer> {
        if is_complete {
            self.listed.clear();
        }
        for server in servers {
            self.record_endpoint(server);
        }
        servers.iter().map(|server| self.with_override(server)).collect()
    }

    fn record_endpoint(&mut self, listed: &ListedServer) {
        let endpoint = &listed.endpoint;
        let server = endpoint.server;
        self.remember(server);
        if self.ended.get(&server).is_some_and(|ended| endpoint.started >= ended.since) {
            self.ended.remove(&server);
        }
        if endpoint.state == EndpointState::Deleted {
            self.listed.remove(&server);
        } else {
            self.listed.insert(server, listed.clone());
        }
    }

    fn remember(&mut self, server: ServerId) {
        if !self.remembered.insert(server) {
            return;
        }
        self.remembered_by_age.push_back(server);
        if self.remembered_by_age.len() > MAX_REMEMBERED_SERVERS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.remembered_by_age.pop_front() {
            self.remembered.remove(&oldest);
            self.ended.remove(&oldest);
        }
    }

    fn with_override(&self, listed: &ListedServer) -> ListedServer {
        let mut listed = listed.clone();
        let endpoint = &mut listed.endpoint;
        if self.is_offline(endpoint.server) && endpoint.state == EndpointState::Serving {
            endpoint.state = EndpointState::Draining;
        }
        if let Some(ended) = self.ended.get(&endpoint.server) {
            endpoint.started = endpoint.started.max(ended.ended);
        }
        listed
    }

    /// Takes a server offline. Returns the server with the override applied if it is listed.
    ///
    /// # Errors
    /// The server is neither offline nor among the servers remembered from discovery's lists.
    pub fn take_offline(
        &mut self,
        server: ServerId,
        name: &str,
        now: Micros,
    ) -> Result<Option<ListedServer>, UnknownServer> {
        if !self.remembered.contains(&server) && !self.is_offline(server) {
            return Err(UnknownServer);
        }
        Ok(self.restore(server, name, now))
    }

    /// Restores the override of an earlier process, whether the server was ever listed here or not. Returns the
    /// server with the override applied if it is listed.
    pub fn restore(&mut self, server: ServerId, name: &str, now: Micros) -> Option<ListedServer> {
        let new_override = || OfflineOverride { name: name.to_owned(), since: now };
        self.offline.entry(server).or_insert_with(new_override);
        self.listed_with_override(server)
    }

    /// Ends an override, if there is one. Returns the server without the override if it is listed: its start time is
    /// `now`, unless discovery has reported a start since the override began.
    ///
    /// # Errors
    /// The server is neither offline nor among the servers remembered from discovery's lists.
    pub fn bring_online(
        &mut self,
        server: ServerId,
        now: Micros,
    ) -> Result<Option<ListedServer>, UnknownServer> {
        let Some(offline) = self.offline.remove(&server) else {
            return if self.remembered.contains(&server) { Ok(None) } else { Err(UnknownServer) };
        };
        let has_started_since =
            self.listed.get(&server).is_some_and(|listed| listed.endpoint.started >= offline.since);
        if !has_started_since {
            self.ended.insert(server, EndedOverride { since: offline.since, ended: now });
        }
        Ok(self.listed_with_override(server))
    }

    fn listed_with_override(&self, server: ServerId) -> Option<ListedServer> {
        self.listed.get(&server).map(|listed| self.with_override(listed))
    }

    /// Whether an operator has taken this server offline.
    pub fn is_offline(&self, server: ServerId) -> bool {
        self.offline.contains_key(&server)
    }

    /// The names of the servers that are offline, sorted.
    pub fn offline_servers(&self) -> Vec<String> {
        let mut names: Vec<String> = self.offline.values().map(|offline| offline.name.clone()).collect();
        names.sort();
        names
    }

    /// The servers that are listed, as last reported by discovery.
    pub fn discovered_servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.listed.values()
    }
}

#[cfg(test)]
mod tests;
