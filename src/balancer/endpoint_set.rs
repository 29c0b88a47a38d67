//! The current endpoint list, with this balancer's observations of each server.

use super::concurrency_limit::ConcurrencyLimit;
use super::gap_ladder::Gap;
use super::slow_start::{slow_start_weight, SlowStartCredit};
use crate::endpoint::{Endpoint, EndpointState, EndpointUpdate, ServerId};
use crate::settings::{Rules, Settings};
use crate::time::Micros;

/// A listed server, and the state that follows from this balancer's own attempts there.
#[derive(Debug)]
pub(super) struct Server {
    /// The server's entry in the endpoint list.
    pub(super) endpoint: Endpoint,
    /// Gap between two sends while the server rejects too many of them.
    pub(super) gap: Gap,
    /// Limit on attempts in flight at the server.
    pub(super) concurrency: ConcurrencyLimit,
    /// Time at which the server last served a request of this balancer or answered it with a miss;
    /// `Micros::ZERO` before the first time.
    pub(super) last_response: Micros,
    /// Credit for attempts in slow start; `None` until it is first needed.
    pub(super) slow_start_credit: Option<SlowStartCredit>,
}

impl Server {
    /// A server without any observations.
    pub(super) fn new(endpoint: Endpoint, balancers: u32) -> Server {
        Server {
            endpoint,
            gap: Gap::default(),
            concurrency: ConcurrencyLimit::new(balancers),
            last_response: Micros::ZERO,
            slow_start_credit: None,
        }
    }

    /// Whether slow start allows one more attempt at this server. `responses_per_second` is the mean rate at
    /// which one server responds to this balancer. The initial credit is random, so that balancers do not
    /// send their first attempts all at once.
    pub(super) fn has_slow_start_credit(
        &mut self,
        now: Micros,
        responses_per_second: f64,
        rules: &Rules,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let weight = slow_start_weight(&self.endpoint, now, rules);
        if weight >= 1.0 {
            return true;
        }
        let credit = self
            .slow_start_credit
            .get_or_insert_with(|| SlowStartCredit { attempts: rng.f64(), updated: now });
        credit.refill(now, weight, responses_per_second);
        credit.is_sufficient()
    }

    /// Charges an attempt of this tenant to slow start, the gap and the concurrency limit.
    pub(super) fn on_send(&mut self, now: Micros, tenant: u32, is_write: bool) {
        if let Some(credit) = &mut self.slow_start_credit {
            credit.spend();
        }
        self.gap.on_send(now, tenant);
        self.concurrency.reserve(is_write);
    }
}

/// The servers of the current endpoint list.
#[derive(Debug)]
pub(super) struct EndpointSet {
    /// Number of balancers that share the servers' capacity.
    balancers: u32,
    /// The servers, sorted by id.
    pub(super) servers: Vec<Server>,
    /// Index of the origin that requests go to; `None` if no origin is serving.
    pub(super) origin_index: Option<usize>,
}

impl EndpointSet {
    /// Creates an empty list, at one of this number of balancers.
    pub(super) fn new(balancers: u32) -> EndpointSet {
        EndpointSet { balancers, servers: vec![], origin_index: None }
    }

    /// The server with this id, if it is listed.
    pub(super) fn server_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        let index = self.index_of(id).ok()?;
        Some(&mut self.servers[index])
    }

    /// The origin that requests go to; `None` if no origin is serving.
    pub(super) fn origin_mut(&mut self) -> Option<&mut Server> {
        self.origin_index.map(|index| &mut self.servers[index])
    }

    /// The listed endpoints except the origin.
    pub(super) fn cache_servers(&self) -> impl Iterator<Item = &Endpoint> {
        let servers = self.servers.iter().enumerate();
        servers.filter(|(index, _)| Some(*index) != self.origin_index).map(|(_, server)| &server.endpoint)
    }

    /// Applies an update of the list. The observations of a server are kept unless it was removed or has
    /// restarted.
    pub(super) fn apply_update(
        &mut self,
        update: EndpointUpdate,
        endpoints: &[Endpoint],
        settings: &Settings,
    ) {
        if update.is_complete() {
            self.remove_unlisted(endpoints);
        }
        for endpoint in endpoints {
            self.apply_endpoint(endpoint);
        }
        self.origin_index = self.servers.iter().position(|server| {
            server.endpoint.state == EndpointState::Serving && settings.is_origin(&server.endpoint)
        });
    }

    /// Removes the servers that a complete list does not name.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let mut listed: Vec<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        listed.sort_unstable();
        self.servers.retain(|server| listed.binary_search(&server.endpoint.server).is_ok());
    }

    /// Adds, updates or removes the server that an endpoint names.
    fn apply_endpoint(&mut self, endpoint: &Endpoint) {
        let is_deleted = endpoint.state == EndpointState::Deleted;
        match self.index_of(endpoint.server) {
            Ok(index) if is_deleted => {
                self.servers.remove(index);
            }
            Ok(index) => self.replace(index, endpoint),
            Err(_) if is_deleted => {}
            Err(index) => self.servers.insert(index, Server::new(endpoint.clone(), self.balancers)),
        }
    }

    /// Replaces a server's entry. A restarted server is another process, so the observations of the old
    /// process no longer apply.
    fn replace(&mut self, index: usize, endpoint: &Endpoint) {
        let server = &mut self.servers[index];
        if endpoint.started > server.endpoint.started {
            *server = Server::new(endpoint.clone(), self.balancers);
        } else {
            server.endpoint = endpoint.clone();
        }
    }

    /// Index of the server with this id, or the index at which to insert it.
    fn index_of(&self, id: ServerId) -> Result<usize, usize> {
        self.servers.binary_search_by_key(&id, |server| server.endpoint.server)
    }
}
