//! Sends attempts: charges the limits, sets the timeout, and sets the timer to hedge the request.

use super::hedging::NoResponsePolicy;
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
        let no_response_policy = self.no_response_policy(now, &open, server);
        let is_origin = self.settings.is_origin(&server.endpoint);
        self.coordination.on_send(now, &server.endpoint, is_origin, open.uses_retry_budget());

        let server = &mut self.endpoints.servers[server_index];
        server.on_send(now, open.request.tenant, open.request.is_write);
        open.on_send(now, &server.endpoint);
        let timeout = match no_response_policy {
            NoResponsePolicy::TimeOutAfter(after) => after,
            NoResponsePolicy::KeepWaiting | NoResponsePolicy::HedgeAfter(_) => Micros::ZERO,
        };
        actions.push(Action::Send { id: open.request.id, server: server.endpoint.server, timeout });
        match no_response_policy {
            NoResponsePolicy::HedgeAfter(after) => self.park(now, after, open, actions),
            NoResponsePolicy::KeepWaiting | NoResponsePolicy::TimeOutAfter(_) => {
                self.open_requests.insert(open)
            }
        }
    }
}
