//! The dispatcher and the servers: discovery's news to the decisions and the carrier, and what operators are told of them.

use juniperladder::{Endpoint, EndpointState, EndpointUpdate, Event};
use slog::{info, warn};

use super::state::Inner;
use super::Dispatcher;
use crate::clock::to_ms;
use crate::values::ListedServer;

/// Servers that are known at once, several times what a fleet has: a list that goes on for ever must not fill the memory, nor
/// the time that each request takes. The origin is always among them.
pub(super) const MAX_SERVERS: usize = 4_096;

impl Dispatcher {
    /// Whether requests can be served: some server is known.
    pub fn ready(&self) -> bool {
        self.inner.borrow().serving.values().any(|(state, _)| *state == EndpointState::Serving)
    }

    /// Tells the log which limits hold something back, and why.
    pub fn tell_limits(&self) {
        let inner = self.inner.borrow();
        let limits = inner.balancer.limits(self.clock.now());
        let mut held = 0;
        for limit in &limits.servers {
            let Some(by) = limit.binding_limit() else { continue };
            held += 1;
            let address = inner.serving.get(&limit.server).and_then(|(_, address)| *address);
            info!(self.log, "limit"; "held-by" => by.label(),
                "host" => address.map_or_else(|| "unknown".into(), |a| a.to_string()),
                "out" => limit.in_flight, "most" => limit.limit, "gap-ms" => to_ms(limit.gap),
                "usual-ms" => to_ms(limit.baseline_latency), "lately-ms" => to_ms(limit.recent_latency));
        }
        info!(self.log, "limits"; "hosts" => limits.servers.len(), "held" => held,
            "waiting" => limits.waiting_for_origin);
    }

    /// The endpoint list has news.
    pub fn listed(&self, kind: EndpointUpdate, servers: &[ListedServer]) {
        let mut inner = self.inner.borrow_mut();
        let servers = match kind {
            EndpointUpdate::Unavailable => Vec::new(),
            _ => {
                let now = self.clock.now();
                let mut known = self.within_bounds(&inner, kind, servers);
                let Inner { start_times, bans, serving, .. } = &mut *inner;
                start_times.translate(&mut known, now);
                start_times.forget(|server| serving.contains_key(server));
                if matches!(kind, EndpointUpdate::Delta | EndpointUpdate::Snapshot) {
                    start_times.confirm(now);
                }
                bans.over(kind.is_complete(), &known)
            }
        };
        self.tell(&mut inner, kind, &servers);
    }

    /// Discovery has said that the list in hand is what it has.
    pub fn list_confirmed(&self) {
        let now = self.clock.now();
        self.inner.borrow_mut().start_times.confirm(now);
    }

    /// The news without the servers that are more than may be known; they are counted, and told in one line.
    fn within_bounds(
        &self,
        inner: &Inner,
        kind: EndpointUpdate,
        servers: &[ListedServer],
    ) -> Vec<ListedServer> {
        let known = |server| !kind.is_complete() && inner.serving.contains_key(&server);
        let mut room = MAX_SERVERS.saturating_sub(if kind.is_complete() { 0 } else { inner.serving.len() });
        let mut left_out = 0;
        let fits = |listed_server: &&ListedServer| {
            let Endpoint { server, state, kind, .. } = listed_server.endpoint;
            if state == EndpointState::Deleted || known(server) || Some(kind) == self.origin {
                return true;
            }
            left_out += u64::from(room == 0);
            let fits = room > 0;
            room = room.saturating_sub(1);
            fits
        };
        let kept = servers.iter().filter(fits).cloned().collect();
        if left_out > 0 {
            self.counters.endpoints_left_out.set(self.counters.endpoints_left_out.get() + left_out);
            if self.log_throttle.allows() {
                warn!(self.log, "more hosts than can be known; the rest is left out"; "most" => MAX_SERVERS,
                    "left out" => left_out);
            }
        }
        kept
    }

    /// Tells the decisions and the carrier a list as it is to be seen, bans laid over.
    pub(crate) fn tell(&self, inner: &mut Inner, kind: EndpointUpdate, servers: &[ListedServer]) {
        if kind != EndpointUpdate::Unavailable {
            if kind.is_complete() {
                inner.serving.clear();
            }
            for ListedServer { endpoint, address } in servers {
                inner.serving.insert(endpoint.server, (endpoint.state, *address));
            }
            inner.serving.retain(|_, (state, _)| *state != EndpointState::Deleted);
            inner.carrier.listed(kind, servers);
        }
        let endpoints: Vec<Endpoint> =
            servers.iter().map(|listed_server| listed_server.endpoint.clone()).collect();
        self.handle(inner, self.clock.now(), Event::EndpointsChanged(kind, &endpoints));
    }
}
