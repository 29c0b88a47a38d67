//! Operator overrides: the servers that operators have put offline, laid over every list that discovery sends.
//!
//! Guarantee: from [`OperatorOverrides::take_offline`] on the server drains, whatever discovery says, until
//! [`OperatorOverrides::bring_online`]. An override belongs to the server's id and stands outside the list's entries: no list,
//! change or reset touches it. Times are on the caller's clock; no I/O and no clock here.

use std::collections::VecDeque;

use juniperladder::{EndpointState, Micros, ServerId};
use rustc_hash::{FxHashMap, FxHashSet};
use thiserror::Error;

use crate::values::ListedServer;

/// How many ids of servers that have been listed are remembered; beyond it the oldest are forgotten.
const MAX_REMEMBERED_SERVERS: usize = 16_384;

/// The server has never been listed, and is not offline either.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no such cache host has been listed; give an instanceId of the list")]
pub struct UnknownServer;

/// An override in force.
#[derive(Debug)]
struct OfflineOverride {
    name: String,
    since: Micros,
}

/// An ended override, kept until discovery reports that the server has started since the override began. Until then the server
/// counts as started when the override ended.
#[derive(Clone, Copy, Debug)]
struct EndedOverride {
    since: Micros,
    ended: Micros,
}

/// The overrides, and the servers as discovery last listed them.
#[derive(Debug, Default)]
pub struct OperatorOverrides {
    offline: FxHashMap<ServerId, OfflineOverride>,
    /// Whatever an operator did to such a server, it counts as started when its override ended, until discovery reports a
    /// start since the override began.
    ended: FxHashMap<ServerId, EndedOverride>,
    listed: FxHashMap<ServerId, ListedServer>,
    /// The ids that have ever been listed, and the same in the order in which they first were.
    known: FxHashSet<ServerId>,
    known_in_order: VecDeque<ServerId>,
}

impl OperatorOverrides {
    /// Takes in a list of discovery, or the changes to one, and returns it as the decisions are to see it: a server that is
    /// offline drains.
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
        if !self.known.insert(server) {
            return;
        }
        self.known_in_order.push_back(server);
        if self.known_in_order.len() > MAX_REMEMBERED_SERVERS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.known_in_order.pop_front() {
            self.known.remove(&oldest);
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

    /// Takes a server offline. Returns it as the decisions are to see it if it is listed now.
    ///
    /// # Errors
    /// The server has never been listed, as far as that is remembered, and is not offline already.
    pub fn take_offline(
        &mut self,
        server: ServerId,
        name: &str,
        now: Micros,
    ) -> Result<Option<ListedServer>, UnknownServer> {
        if !self.known.contains(&server) && !self.is_offline(server) {
            return Err(UnknownServer);
        }
        Ok(self.restore(server, name, now))
    }

    /// Takes a server offline as an earlier process had it, whether it was ever listed here or not. Returns it as the decisions
    /// are to see it if it is listed now.
    pub fn restore(&mut self, server: ServerId, name: &str, now: Micros) -> Option<ListedServer> {
        let new = || OfflineOverride { name: name.to_owned(), since: now };
        self.offline.entry(server).or_insert_with(new);
        self.current(server)
    }

    /// Ends an override, if there is one. Returns the server as the decisions are to see it if it is listed: it comes back as one
    /// that has just started, unless discovery has reported a start since the override began.
    ///
    /// # Errors
    /// The server is not offline, and has never been listed as far as that is remembered.
    pub fn bring_online(
        &mut self,
        server: ServerId,
        now: Micros,
    ) -> Result<Option<ListedServer>, UnknownServer> {
        let Some(offline) = self.offline.remove(&server) else {
            return if self.known.contains(&server) { Ok(None) } else { Err(UnknownServer) };
        };
        let has_started_since =
            self.listed.get(&server).is_some_and(|listed| listed.endpoint.started >= offline.since);
        if !has_started_since {
            self.ended.insert(server, EndedOverride { since: offline.since, ended: now });
        }
        Ok(self.current(server))
    }

    fn current(&self, server: ServerId) -> Option<ListedServer> {
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

    /// The servers listed now, as discovery has them.
    pub fn discovered_servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.listed.values()
    }
}

#[cfg(test)]
mod tests;
