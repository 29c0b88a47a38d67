//! Limits on requests to servers in slow start: one rate limit for each incarnation of a server, shared by all balancers.
//!
//! # Guarantee
//!
//! With `requests_per_s` that a warm server bears and a capacity share that grows from `initial_share` to 1 over `duration`: in
//! no second do more requests arrive at a server than `requests_per_s` times its share at the end of that second, times 1 + s
//! (the spread of the rate limit), as long as what [`crate::rate_limit`] assumes holds and balancers' clocks of the day agree;
//! clocks that differ by d make it the share of d later.
//!
//! # Why
//!
//! Tokens are dealt to positions in turn, beginning at one that follows from the server's incarnation, so that the tokens of a
//! smaller share are among those of a greater one: what a position owns only grows, and what all own sums up to the total of
//! that share. Each incarnation of a server has a limit of its own, so that no process of a balancer that ended before it can
//! have used a token of it; a process that began after it waits as with every limit.

#[cfg(test)]
mod tests;

use std::collections::btree_map::{BTreeMap, Entry};
use std::net::SocketAddr;

use juniperladder::Micros;

use crate::rate_limit::{Message, RateLimit, RateLimitMetrics, RateLimitTerms};
use crate::server_incarnation::ServerIncarnation;
use crate::MAX_SERVER_INCARNATIONS;

/// The terms. They have to be the same at every member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartTerms {
    /// The rate limit of a warm server.
    pub rate_limit: RateLimitTerms,
    /// The share of it that a server has when it starts, from 0 to 1.
    pub initial_share: f64,
    /// After how long a server has all of it.
    pub duration: Micros,
}

impl SlowStartTerms {
    /// The share of its capacity that a server has. One without a start time has all of it.
    fn capacity_share(&self, started: Micros, now: Micros) -> f64 {
        let progress = (now - started).as_f64() / self.duration.max(Micros(1)).as_f64();
        if started.is_zero() || progress >= 1.0 {
            return 1.0;
        }
        self.initial_share + (1.0 - self.initial_share) * progress
    }

    /// All tokens that there are now for a server with this start.
    pub fn total_tokens(&self, started: Micros, now: Micros) -> u32 {
        let share = self.capacity_share(started, now);
        self.rate_limit.tokens_for_rate(f64::from(self.rate_limit.requests_per_s) * share)
    }

    /// Those of them that a position owns.
    pub fn owned_tokens(&self, server: ServerIncarnation, position: u32, now: Micros) -> u32 {
        let owners = self.rate_limit.owners.max(1);
        if position >= owners {
            return 0;
        }
        let total = self.total_tokens(server.started, now);
        let first_position = server.hash() % u64::from(owners);
        let turn = (position + owners - first_position as u32) % owners;
        total / owners + u32::from(turn < total % owners)
    }
}

/// Whether requests to a server are limited.
#[derive(Debug)]
pub enum SlowStartAccess<'a> {
    /// The server is warm, or nothing is limited here.
    Unlimited,
    /// The server is in slow start; this is the member's part of its limit.
    Limited(&'a mut RateLimit),
    /// The server is in slow start and no limit can be kept for it, so that nothing may be sent to it.
    Unavailable,
}

/// What operators see of all servers in slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlowStartMetrics {
    /// Their limits, summed.
    pub rate_limits: RateLimitMetrics,
    /// How many servers have a limit.
    pub servers: usize,
}

/// One member's parts of all slow-start limits.
#[derive(Debug)]
pub struct SlowStartLimits {
    terms: SlowStartTerms,
    position: u32,
    incarnation: u64,
    /// From when on own tokens may be used: all that an earlier incarnation of this member used or leased out has expired.
    own_usable_from: Micros,
    /// Whether this member has left, and owns nothing any more.
    has_left: bool,
    limits: BTreeMap<ServerIncarnation, RateLimit>,
    /// Requests for which no limit could be kept, because there were [`MAX_SERVER_INCARNATIONS`] already.
    pub unavailable: u64,
}

impl SlowStartLimits {
    /// Those of the member at this position, whose process starts now.
    pub fn new(terms: SlowStartTerms, position: u32, incarnation: u64, now: Micros) -> SlowStartLimits {
        SlowStartLimits {
            terms,
            position,
            incarnation,
            own_usable_from: now + terms.rate_limit.lock_time(),
            has_left: false,
            limits: BTreeMap::new(),
            unavailable: 0,
        }
    }

    /// Whether and how requests to a server are limited now.
    pub fn access(&mut self, server: ServerIncarnation, now: Micros) -> SlowStartAccess<'_> {
        if self.terms.capacity_share(server.started, now) >= 1.0 {
            return SlowStartAccess::Unlimited;
        }
        let owned = self.owned_tokens(server, now);
        let is_full = self.limits.len() >= MAX_SERVER_INCARNATIONS;
        let limit = match self.limits.entry(server) {
            Entry::Occupied(known) => known.into_mut(),
            // No endpoint list names a server that is to start so much later than now.
            Entry::Vacant(_) if server.started > now + self.terms.duration => {
                return SlowStartAccess::Unavailable;
            }
            Entry::Vacant(_) if is_full => {
                self.unavailable += 1;
                return SlowStartAccess::Unavailable;
            }
            Entry::Vacant(new) => new.insert(RateLimit::with_owned_tokens(
                self.terms.rate_limit,
                owned,
                self.incarnation,
                self.own_usable_from,
                now,
            )),
        };
        limit.raise_owned_tokens(owned);
        SlowStartAccess::Limited(limit)
    }

    /// A message about a server's limit has come from another member. One about a server that is warm here, or whose limit
    /// cannot be kept, is ignored.
    pub fn on_message(&mut self, now: Micros, from: SocketAddr, server: ServerIncarnation, message: Message) {
        if let SlowStartAccess::Limited(limit) = self.access(server, now) {
            limit.on_message(now, from, message);
        }
    }

    /// Does what is due at each limit, and forgets those of servers that are warm and have no token locked any more.
    /// `peers` gives a source of members to ask for each server, each from the first member on.
    pub fn tick<P: FnMut() -> Option<SocketAddr>>(&mut self, now: Micros, peers: impl Fn() -> P) {
        let kept_for = self.terms.duration + self.terms.rate_limit.lock_time();
        self.limits.retain(|server, _| now < server.started + kept_for);
        let mut limits = std::mem::take(&mut self.limits);
        for (server, limit) in &mut limits {
            limit.raise_owned_tokens(self.owned_tokens(*server, now));
            limit.tick(now, peers());
        }
        self.limits = limits;
    }

    /// The tokens of a server's limit that this member owns now.
    fn owned_tokens(&self, server: ServerIncarnation, now: Micros) -> u32 {
        if self.has_left {
            0
        } else {
            self.terms.owned_tokens(server, self.position, now)
        }
    }

    /// This member leaves: leased tokens are given back where its uses allow it.
    pub fn leave(&mut self, now: Micros) {
        self.has_left = true;
        for limit in self.limits.values_mut() {
            limit.leave(now);
        }
    }

    /// The messages that go out, with their receivers and servers.
    pub fn drain(&mut self) -> impl Iterator<Item = (SocketAddr, ServerIncarnation, Message)> + '_ {
        self.limits.iter_mut().flat_map(|(server, limit)| {
            let server = *server;
            limit.drain().map(move |(to, message)| (to, server, message))
        })
    }

    /// What operators see.
    pub fn metrics(&mut self, now: Micros) -> SlowStartMetrics {
        let mut metrics = SlowStartMetrics { servers: self.limits.len(), ..SlowStartMetrics::default() };
        for limit in self.limits.values_mut() {
            metrics.rate_limits = metrics.rate_limits.combined_with(&limit.metrics(now));
        }
        metrics
    }
}
