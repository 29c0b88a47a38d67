//! Servers whose address has passed on to another server.
//!
//! Two servers cannot listen at one address: if a list has two serving servers there, the one that started earlier has gone,
//! and discovery has only not said so yet. Guarantee: nothing is sent to the address for a server that has gone, so that
//! the new one gets no more than its own share, which is small while it is cold.

use std::net::SocketAddr;

use juniperladder::{EndpointState, Micros, ServerId};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::dispatcher::KnownServer;
use crate::values::ListedServer;

/// The server of an update that holds an address.
#[derive(Clone, Debug)]
struct Holder {
    listed: ListedServer,
    is_new: bool,
}

/// Marks the servers of this update as deleted whose address another one holds by now, and adds known ones, unless the
/// update is complete and they are not listed any more.
pub(crate) fn end_replaced_servers(
    is_complete: bool,
    servers: &mut Vec<ListedServer>,
    known: &FxHashMap<ServerId, KnownServer>,
) {
    let mut holders = holders_by_address(servers, known);
    if !is_complete {
        let replaced = end_known_servers(servers, known, &mut holders);
        servers.extend(replaced);
    }
    for server in servers.iter_mut().filter(|server| is_serving(server)) {
        let holder = server.address.and_then(|address| holders.get(&address));
        let is_replaced = holder.is_none_or(|holder| {
            holder.listed.endpoint.server != server.endpoint.server
                && holder.listed.endpoint.started > server.endpoint.started
        });
        if is_replaced && server.address.is_some() {
            server.endpoint.state = EndpointState::Deleted;
        }
    }
}

fn is_serving(server: &ListedServer) -> bool {
    server.endpoint.state == EndpointState::Serving
}

/// For each address the serving server of the update that started last.
fn holders_by_address(
    servers: &[ListedServer],
    known: &FxHashMap<ServerId, KnownServer>,
) -> FxHashMap<SocketAddr, Holder> {
    let mut holders: FxHashMap<SocketAddr, Holder> = FxHashMap::default();
    for listed in servers.iter().filter(|server| is_serving(server)) {
        let Some(address) = listed.address else { continue };
        let holder = Holder { listed: listed.clone(), is_new: !known.contains_key(&listed.endpoint.server) };
        let earlier = holders.get(&address).map(|earlier| earlier.listed.endpoint.started);
        if earlier.is_none_or(|earlier| listed.endpoint.started > earlier) {
            holders.insert(address, holder);
        }
    }
    holders
}

/// The ends of known servers whose address a server of the update holds by now. Where the known one started later, the other
/// one does not hold the address.
fn end_known_servers(
    servers: &[ListedServer],
    known: &FxHashMap<ServerId, KnownServer>,
    holders: &mut FxHashMap<SocketAddr, Holder>,
) -> Vec<ListedServer> {
    let updated: FxHashSet<ServerId> = servers.iter().map(|server| server.endpoint.server).collect();
    let mut replaced = Vec::new();
    for (id, known_server) in known {
        let Some(address) = known_server.address else { continue };
        if known_server.state != EndpointState::Serving || updated.contains(id) {
            continue;
        }
        let Some(holder) = holders.get(&address) else { continue };
        if holder.has_replaced(known_server.started) {
            let mut end = holder.listed.clone();
            end.endpoint.server = *id;
            end.endpoint.state = EndpointState::Deleted;
            replaced.push(end);
        } else if known_server.started > holder.listed.endpoint.started {
            holders.remove(&address);
        }
    }
    replaced
}

impl Holder {
    /// Whether it has replaced a known server that started at this time. Of two with the same start time, the one that was
    /// just listed is the later one.
    fn has_replaced(&self, known_start: Micros) -> bool {
        let started = self.listed.endpoint.started;
        started > known_start || self.is_new && started == known_start
    }
}

#[cfg(test)]
mod tests;
