//! Sends attempts: charges the limits, sets the timeout, and sets the timer to hedge the request.

use super::hedging::SilencePolicy;
use super::open_request::OpenRequest;
use super::Balancer;
use crate::action::Action;
use crate::time::Micros;

impl Balancer {
    /// Sends a request to the server with this index.
    pub(super) fn forward(
        &mut self,
        now: Micros,
        server_index: usize,
        mut open: OpenRequest,
        actions: &mut Vec<Action>,
    ) {
        let server = &self.endpoints.servers[server_index];
        let silence_policy = self.silence_policy(now, &open, server);
        let is_origin = self.settings.is_origin(&server.endpoint);
        self.coordination.on_send(now, &server.endpoint, is_origin, open.uses_retry_budget());

        let server = &mut self.endpoints.servers[server_index];
        server.on_send(now, open.request.tenant, open.request.is_write);
        open.on_send(now, &server.endpoint);
        let timeout = match silence_policy {
            SilencePolicy::TimeOutAfter(after) => after,
            SilencePolicy::KeepWaiting | SilencePolicy::HedgeAfter(_) => Micros::ZERO,
        };
        actions.push(Action::Send { id: open.request.id, server: server.endpoint.server, timeout });
        match silence_policy {
            SilencePolicy::HedgeAfter(after) => self.park(now, after, open, actions),
            SilencePolicy::KeepWaiting | SilencePolicy::TimeOutAfter(_) => self.open_requests.insert(open),
        }
    }
}
