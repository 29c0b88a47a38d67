//! The endpoint list in the dispatcher: its changes go to the decisions and the carrier, operator overrides laid over.

use juniperladder::{Endpoint, EndpointState, EndpointUpdate, Event};
use slog::{info, warn};

use super::state::{DispatcherState, KnownServer};
use super::Dispatcher;
use crate::clock::to_ms;
use crate::values::ListedServer;

/// Servers that are known at once, several times what a fleet has: a list that goes on for ever must not fill the memory, nor
/// the time that each request takes. The origin is always among them.
pub(super) const MAX_SERVERS: usize = 4_096;

impl Dispatcher {
    /// Whether requests can be served: some server is known.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().servers.values().any(|known| known.state == EndpointState::Serving)
    }

    /// Logs which limits hold something back, and why.
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

    /// The endpoint list has changed, as `update` says.
    pub fn on_endpoints_changed(&self, update: EndpointUpdate, servers: &[ListedServer]) {
        let mut state = self.state.borrow_mut();
        let servers = match update {
            EndpointUpdate::Unavailable => Vec::new(),
            _ => self.prepare_update(&mut state, update, servers),
        };
        self.apply_endpoints(&mut state, update, &servers);
    }

    /// Discovery has said that the list in use is the current one.
    pub fn on_endpoints_confirmed(&self) {
        let now = self.clock.now();
        self.state.borrow_mut().start_times.on_list_confirmed(now);
    }

    /// The update as the decisions are to see it: bounded, with starts on the own clock, and with operator overrides.
    fn prepare_update(
        &self,
        state: &mut DispatcherState,
        update: EndpointUpdate,
        servers: &[ListedServer],
    ) -> Vec<ListedServer> {
        let now = self.clock.now();
        let mut servers = self.drop_surplus_servers(state, update, servers);
        let DispatcherState { start_times, overrides, servers: known, .. } = state;
        start_times.set_to_own_clock(&mut servers, now);
        start_times.forget_unlisted(|server| known.contains_key(server));
        if matches!(update, EndpointUpdate::Delta | EndpointUpdate::Snapshot) {
            start_times.on_list_confirmed(now);
        }
        overrides.apply_update(update.is_complete(), &servers)
    }

    /// The update without the servers that are more than may be known; they are counted, and logged in one line.
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
        if self.log_throttle.allows() {
            warn!(self.log, "endpoint list too long: the rest is left out"; "max_servers" => MAX_SERVERS,
                "left_out" => left_out);
        }
    }

    /// Puts a prepared update in force, for the decisions and for the carrier.
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
            for ListedServer { endpoint, address } in servers {
                let known = KnownServer { state: endpoint.state, address: *address };
                state.servers.insert(endpoint.server, known);
            }
            state.servers.retain(|_, known| known.state != EndpointState::Deleted);
            state.carrier.on_endpoints_changed(update, servers);
        }
        let endpoints: Vec<Endpoint> = servers.iter().map(|server| server.endpoint.clone()).collect();
        self.handle(state, self.clock.now(), Event::EndpointsChanged(update, &endpoints));
    }
}
