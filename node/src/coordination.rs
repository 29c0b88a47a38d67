//! The decision core's view of the coordination with other balancers: shared limits and other balancers' reports about
//! servers.
//!
//! No call waits for another balancer. A limit that the operators' file does not set is not enforced ([`Coordination`]
//! returns no wait time for it), and without a failure detector no server is suspected.

mod metrics;

use std::cell::RefCell;
use std::rc::Rc;

use juniperladder::{Coordination, Micros, ServerId, ServingServer, SharedLimit};
use juniperladder_cluster::rate_limit::{RateLimit, WAIT_WITHOUT_TOKENS};
use juniperladder_cluster::slow_start_limit::SlowStartAccess;
use juniperladder_cluster::{Cluster, ServerIncarnation};

use crate::cluster_config::ORIGIN_LIMIT;
pub use metrics::metrics_text;

/// The decision core's view of this balancer's cluster member.
#[derive(Debug)]
pub struct ClusterCoordination {
    cluster: Rc<RefCell<Cluster>>,
}

impl ClusterCoordination {
    /// A view of this member.
    pub fn new(cluster: Rc<RefCell<Cluster>>) -> ClusterCoordination {
        ClusterCoordination { cluster }
    }
}

/// This member's share of a rate limit. None if the limit is not configured or the server is not in slow start.
fn rate_limit(cluster: &mut Cluster, limit: SharedLimit, now: Micros) -> Option<&mut RateLimit> {
    match limit {
        SharedLimit::OriginRate => cluster.rate_limit(ORIGIN_LIMIT),
        SharedLimit::SlowStart(server, started) => {
            match cluster.slow_start(ServerIncarnation { server, started }, now) {
                SlowStartAccess::Limited(limit) => Some(limit),
                SlowStartAccess::Unlimited | SlowStartAccess::Unavailable => None,
            }
        }
        SharedLimit::RetryBudget => None,
    }
}

/// How long a request to a server in slow start has to wait. None if the server is not in slow start.
fn slow_start_wait(cluster: &mut Cluster, server: ServerId, started: Micros, now: Micros) -> Option<Micros> {
    match cluster.slow_start(ServerIncarnation { server, started }, now) {
        SlowStartAccess::Unlimited => None,
        SlowStartAccess::Limited(limit) => Some(limit.wait_time(now)),
        SlowStartAccess::Unavailable => Some(WAIT_WITHOUT_TOKENS),
    }
}

impl Coordination for ClusterCoordination {
    fn wait_time(&mut self, limit: SharedLimit, now: Micros) -> Option<Micros> {
        let mut cluster = self.cluster.borrow_mut();
        match limit {
            SharedLimit::RetryBudget => {
                let has_credit = cluster.retry_budget()?.has_credit(now);
                Some(if has_credit { Micros::ZERO } else { WAIT_WITHOUT_TOKENS })
            }
            SharedLimit::SlowStart(server, started) => slow_start_wait(&mut cluster, server, started, now),
            SharedLimit::OriginRate => cluster.rate_limit(ORIGIN_LIMIT).map(|limit| limit.wait_time(now)),
        }
    }

    fn acquire(&mut self, limit: SharedLimit, now: Micros) {
        let mut cluster = self.cluster.borrow_mut();
        if limit == SharedLimit::RetryBudget {
            if let Some(budget) = cluster.retry_budget() {
                budget.acquire(now);
            }
        } else if let Some(rate_limit) = rate_limit(&mut cluster, limit, now) {
            rate_limit.acquire(now);
        }
    }

    fn on_denied(&mut self, limit: SharedLimit, now: Micros) {
        let mut cluster = self.cluster.borrow_mut();
        if limit == SharedLimit::RetryBudget {
            if let Some(budget) = cluster.retry_budget() {
                budget.on_rejected(now);
            }
        } else if let Some(rate_limit) = rate_limit(&mut cluster, limit, now) {
            rate_limit.on_rejected(now);
        }
    }

    fn on_new_request(&mut self, _now: Micros) {
        if let Some(budget) = self.cluster.borrow_mut().retry_budget() {
            budget.on_first_attempt();
        }
    }

    fn on_endpoints_changed(&mut self, servers: &[ServingServer]) {
        if let Some(failure_detector) = self.cluster.borrow_mut().failure_detector() {
            failure_detector.on_endpoints_changed(servers);
        }
    }

    fn on_server_observed(&mut self, server: ServerId, started: Micros, is_silent: bool, now: Micros) {
        if let Some(failure_detector) = self.cluster.borrow_mut().failure_detector() {
            failure_detector.on_server_observed(ServerIncarnation { server, started }, is_silent, now);
        }
    }

    fn should_avoid(
        &mut self,
        server: ServerId,
        started: Micros,
        last_response: Micros,
        responses_per_second: f64,
        now: Micros,
    ) -> bool {
        let mut cluster = self.cluster.borrow_mut();
        let Some(failure_detector) = cluster.failure_detector() else { return false };
        let server = ServerIncarnation { server, started };
        failure_detector.should_avoid(server, last_response, responses_per_second, now)
    }
}

#[cfg(test)]
mod tests;
