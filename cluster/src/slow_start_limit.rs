//! Limits on requests to servers in slow start: one rate limit for each incarnation of a server, shared by all balancers.
//!
//! # Guarantee
//!
//! A warm server has a capacity of `requests_per_s`; the capacity share of a server in slow start grows from `initial_share` to
//! 1 over `duration`. In no second do more requests arrive at a server than `requests_per_s` times its share at the end of that
//! second, times 1 + s (the arrival spread of the rate limit). This holds under the assumptions of [`crate::rate_limit`] and if
//! the balancers' wall clocks agree; if the clocks differ by d, the share is the one reached d later.
//!
//! # Why the bound holds
//!
//! Tokens are assigned to positions round-robin, beginning at a position derived from the server's incarnation, so that the
//! tokens of a smaller share are a subset of those of a greater share. The number of tokens that a position owns never
//! decreases, and the sum over all positions is the total of the share. Each incarnation of a server has its own limit: a
//! balancer process that ended before the incarnation started cannot have used its tokens, and a process that started later
//! waits as in every rate limit.

#[cfg(test)]
mod tests;

use std::collections::btree_map::{BTreeMap, Entry};
use std::net::SocketAddr;

use juniperladder::Micros;

use crate::rate_limit::{Message, RateLimit, RateLimitMetrics, RateLimitTerms};
use crate::server_incarnation::ServerIncarnation;
use crate::MAX_SERVER_INCARNATIONS;

/// The terms of the slow-start limits. They have to be the same at every member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartTerms {
    /// The rate limit of a warm server.
    pub rate_limit: RateLimitTerms,
    /// The initial share of the rate limit at the start of a server, from 0 to 1.
    pub initial_share: f64,
    /// The duration of slow start, after which the full rate limit applies.
    pub duration: Micros,
}

impl SlowStartTerms {
    /// The capacity share of a server now; 1 after slow start, and for a server without a start time.
    fn capacity_share(&self, started: Micros, now: Micros) -> f64 {
        let progress = (now - started).as_f64() / self.duration.max(Micros(1)).as_f64();
        if started.is_zero() || progress >= 1.0 {
            return 1.0;
        }
        self.initial_share + (1.0 - self.initial_share) * progress
    }

    /// The total number of tokens now for a server with this start time.
    pub fn total_tokens(&self, started: Micros, now: Micros) -> u32 {
        let share = self.capacity_share(started, now);
        self.rate_limit.tokens_for_rate(f64::from(self.rate_limit.requests_per_s) * share)
    }

    /// The number of a server's tokens that a position owns now.
    pub fn owned_tokens(&self, server: ServerIncarnation, position: u32, now: Micros) -> u32 {
        let owners = self.rate_limit.owners.max(1);
        if position >= owners {
            return 0;
        }
        let total = self.total_tokens(server.started, now);
        let first_position = server.hash() % u64::from(owners);
        let offset = (position + owners - first_position as u32) % owners;
        total / owners + u32::from(offset < total % owners)
    }
}

/// How requests to a server are limited.
#[derive(Debug)]
pub enum SlowStartAccess<'a> {
    /// The server is warm, or no slow-start limit is configured.
    Unlimited,
    /// The server is in slow start; this is the member's part of its limit.
    Limited(&'a mut RateLimit),
    /// The server is in slow start but no limit can be kept for it, so that no requests may be sent to it.
    Unavailable,
}

/// Metrics of the limits of all servers in slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlowStartMetrics {
    /// The combined metrics of the limits.
    pub rate_limits: RateLimitMetrics,
    /// The number of server incarnations with a limit.
    pub servers: usize,
}

/// One member's parts of all slow-start limits.
#[derive(Debug)]
pub struct SlowStartLimits {
    terms: SlowStartTerms,
    position: u32,
    /// The incarnation of this member's process.
    incarnation: u64,
    /// The time from which own tokens may be used; by then the leases and uses of an earlier incarnation of this member have
    /// expired.
    own_usable_from: Micros,
    /// Whether this member has left and owns no tokens any more.
    has_left: bool,
    limits: BTreeMap<ServerIncarnation, RateLimit>,
    /// The number of accesses for which no limit could be kept because there were already [`MAX_SERVER_INCARNATIONS`] limits.
    pub unavailable: u64,
}

impl SlowStartLimits {
    /// Creates the limits of the member at this position, whose process starts now.
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

    /// How requests to a server are limited now.
    pub fn access(&mut self, server: ServerIncarnation, now: Micros) -> SlowStartAccess<'_> {
        if self.terms.capacity_share(server.started, now) >= 1.0 {
            return SlowStartAccess::Unlimited;
        }
        let owned = self.owned_tokens(server, now);
        let is_full = self.limits.len() >= MAX_SERVER_INCARNATIONS;
        let limit = match self.limits.entry(server) {
            Entry::Occupied(known) => known.into_mut(),
            // A start time this far in the future does not come from a valid endpoint list.
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

    /// Handles a message from another member about a server's limit. It is ignored if the server is warm or its limit cannot be
    /// kept.
    pub fn on_message(&mut self, now: Micros, from: SocketAddr, server: ServerIncarnation, message: Message) {
        if let SlowStartAccess::Limited(limit) = self.access(server, now) {
            limit.on_message(now, from, message);
        }
    }

    /// Ticks each limit, and removes the limits of servers that are warm and have no locked tokens left. `peers` returns a new
    /// source of the sampled members for each server.
    pub fn tick<P: FnMut() -> Option<SocketAddr>>(&mut self, now: Micros, peers: impl Fn() -> P) {
        let retention = self.terms.duration + self.terms.rate_limit.lock_time();
        self.limits.retain(|server, _| now < server.started + retention);
        let mut limits = std::mem::take(&mut self.limits);
        for (server, limit) in &mut limits {
            limit.raise_owned_tokens(self.owned_tokens(*server, now));
            limit.tick(now, peers());
        }
        self.limits = limits;
    }

    /// The number of a server's tokens that this member owns now.
    fn owned_tokens(&self, server: ServerIncarnation, now: Micros) -> u32 {
        if self.has_left {
            0
        } else {
            self.terms.owned_tokens(server, self.position, now)
        }
    }

    /// Makes this member leave: it owns no tokens any more and returns tokens leased from others as far as its
    /// recent uses allow.
    pub fn leave(&mut self, now: Micros) {
        self.has_left = true;
        for limit in self.limits.values_mut() {
            limit.leave(now);
        }
    }

    /// Takes the outgoing messages with their receivers and servers.
    pub fn drain(&mut self) -> impl Iterator<Item = (SocketAddr, ServerIncarnation, Message)> + '_ {
        self.limits.iter_mut().flat_map(|(server, limit)| {
            let server = *server;
            limit.drain().map(move |(to, message)| (to, server, message))
        })
    }

    /// Metrics of all limits.
    pub fn metrics(&mut self, now: Micros) -> SlowStartMetrics {
        let mut metrics = SlowStartMetrics { servers: self.limits.len(), ..SlowStartMetrics::default() };
        for limit in self.limits.values_mut() {
            metrics.rate_limits = metrics.rate_limits.combined_with(&limit.metrics(now));
        }
        metrics
    }
}
