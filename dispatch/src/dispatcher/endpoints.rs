//! The dispatcher's endpoint list: updates are combined with operator overrides and passed to the decision core and
//! the transport.

use juniperladder::{Endpoint, EndpointState, EndpointUpdate, Event};
use slog::{info, warn};

use super::state::{DispatcherState, KnownServer};
use super::Dispatcher;
use crate::clock::to_ms;
use crate::replaced_servers::end_replaced_servers;
use crate::values::ListedServer;

/// Maximum number of servers known at once, several times the size of a fleet: an endless list must not exhaust the
/// memory, nor slow each request down. The origin is always kept.
pub(super) const MAX_SERVERS: usize = 4_096;

impl Dispatcher {
    /// Whether requests can be served: at least one known server is serving.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().servers.values().any(|known| known.state == EndpointState::Serving)
    }

    /// Logs the limits of servers that currently hold requests back, each with its reason, and a summary.
    pub fn log_limits(&self) {
        let state = self.state.borrow();
        let limits = state.balancer.limits(self.clock.now());
        let mut limiting = 0;
        for limit in &limits.servers {
            let Some(reason) = limit.binding_limit() else { continue };
            limiting += 1;
            let address = state.servers.get(&limit.server).and_then(|known| known.address);
            info!(self.log, "limit"; "reason" => reason.label(),
                "server" => address.map_or_else(|| "unknown".into(), |address| address.to_string()),
                "in_flight" => limit.in_flight, "limit" => limit.limit, "gap_ms" => to_ms(limit.gap),
                "baseline_latency_ms" => to_ms(limit.baseline_latency),
                "recent_latency_ms" => to_ms(limit.recent_latency));
        }
        info!(self.log, "limits"; "servers" => limits.servers.len(), "limiting" => limiting,
            "waiting" => limits.waiting_for_origin);
    }

    /// Handles a change of the endpoint list.
    pub fn on_endpoints_changed(&self, update: EndpointUpdate, servers: &[ListedServer]) {
        let mut state = self.state.borrow_mut();
        let servers = match update {
            EndpointUpdate::Unavailable => Vec::new(),
            _ => self.prepare_update(&mut state, update, servers),
        };
        self.apply_endpoints(&mut state, update, &servers);
    }

    /// Handles discovery's confirmation that the list in use is current.
    pub fn on_endpoints_confirmed(&self) {
        let now = self.clock.now();
        self.state.borrow_mut().start_times.on_list_confirmed(now);
    }

    /// Prepares an update for the decision core: bounds it, converts start times to the local clock and applies operator
    /// overrides.
    fn prepare_update(
        &self,
        state: &mut DispatcherState,
        update: EndpointUpdate,
        servers: &[ListedServer],
    ) -> Vec<ListedServer> {
        let now = self.clock.now();
        let mut servers = self.drop_surplus_servers(state, update, servers);
        let DispatcherState { start_times, overrides, servers: known, .. } = state;
        start_times.convert_to_local_clock(&mut servers, now);
        end_replaced_servers(update.is_complete(), &mut servers, known);
        start_times.forget_unlisted(|server| known.contains_key(server));
        if matches!(update, EndpointUpdate::Delta | EndpointUpdate::Snapshot) {
            start_times.on_list_confirmed(now);
        }
        overrides.apply_update(update.is_complete(), &servers)
    }

    /// Removes the servers that exceed `MAX_SERVERS` from an update. The removed servers are counted; their number is
    /// logged at most once a second.
    fn drop_surplus_servers(
        &self,
        state: &DispatcherState,
        update: EndpointUpdate,
        servers: &[ListedServer],
    ) -> Vec<ListedServer> {
        let is_complete = update.is_complete();
        let is_known = |server| !is_complete && state.servers.contains_key(&server);
        let mut capacity = MAX_SERVERS.saturating_sub(if is_complete { 0 } else { state.servers.len() });
        let mut left_out = 0;
        let mut kept = Vec::with_capacity(servers.len().min(MAX_SERVERS));
        for server in servers {
            let endpoint = &server.endpoint;
            let takes_no_capacity = endpoint.state == EndpointState::Deleted
                || is_known(endpoint.server)
                || Some(endpoint.kind) == self.origin_kind;
            if takes_no_capacity {
                kept.push(server.clone());
            } else if capacity > 0 {
                capacity -= 1;
                kept.push(server.clone());
            } else {
                left_out += 1;
            }
        }
        if left_out > 0 {
            self.on_servers_left_out(left_out);
        }
        kept
    }

    fn on_servers_left_out(&self, left_out: u64) {
        let counter = &self.counters.endpoints_left_out;
        counter.set(counter.get() + left_out);
        if self.log_throttle.try_acquire() {
            warn!(self.log, "endpoint list too long: surplus servers are ignored"; "max_servers" => MAX_SERVERS,
                "left_out" => left_out);
        }
    }

    /// Applies a prepared update, and passes it to the transport and the decision core.
    pub(crate) fn apply_endpoints(
        &self,
        state: &mut DispatcherState,
        update: EndpointUpdate,
        servers: &[ListedServer],
    ) {
        if update != EndpointUpdate::Unavailable {
            if update.is_complete() {
                state.servers.clear();
            }
            for server in servers {
                state.servers.insert(server.endpoint.server, KnownServer::new(server));
            }
            state.servers.retain(|_, known| known.state != EndpointState::Deleted);
            state.transport.on_endpoints_changed(update, servers);
        }
        let endpoints: Vec<Endpoint> = servers.iter().map(|server| server.endpoint.clone()).collect();
        self.handle(state, self.clock.now(), Event::EndpointsChanged(update, &endpoints));
    }
}
