//! Limits on sends to servers that warm up: one limit of its own for each start of a server, shared like any other.
//!
//! # Guarantee
//!
//! With `per_s` sends a second that a warm server bears and a warmth that grows from `share` to 1 over `warm_up`: in no second do
//! more sends arrive at a server than `per_s` times its warmth at the end of that second, times 1 + s, as long as what
//! [`crate::rate_limit`] assumes holds and balancers' clocks of the day agree; clocks that differ by d make it the warmth of d later.
//!
//! # Why
//!
//! Units are dealt to positions in turn, beginning at one that follows from the server and its start, so that the units of a
//! smaller warmth are among those of a greater one: what a position owns only grows, and what all own sums up to the whole of
//! that warmth. A server's start is another limit than an earlier one, so that no life of a process that ended before it can have
//! used of it; a life that began after it waits as with every limit.

#[cfg(test)]
mod tests;

use std::collections::btree_map::{BTreeMap, Entry};
use std::net::SocketAddr;

use crate::rate_limit::{self, RateLimit};
use crate::MAX_SERVERS;
use juniperladder::Micros;

/// The terms, the same at every member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Of the tokens; `requests_per_s` is what a warm server bears a second.
    pub rate_limit: rate_limit::RateLimitTerms,
    /// The part of it that a server has at its start.
    pub share: f64,
    /// After how long it has all of it.
    pub warm_up: Micros,
}

impl Terms {
    /// The part of its capacity that a server has.
    fn warmth(&self, started: Micros, now: Micros) -> f64 {
        let part = (now - started).as_f64() / self.warm_up.max(Micros(1)).as_f64();
        if started.is_zero() || part >= 1.0 {
            return 1.0;
        }
        self.share + (1.0 - self.share) * part
    }

    /// Units of a server with this start that there are now.
    pub fn whole(&self, started: Micros, now: Micros) -> u32 {
        self.rate_limit.tokens_for_rate(f64::from(self.rate_limit.requests_per_s) * self.warmth(started, now))
    }

    /// Those of them that belong to a position.
    pub fn own(&self, server: Start, position: u32, now: Micros) -> u32 {
        let holders = self.rate_limit.owners.max(1);
        if position >= holders {
            return 0;
        }
        let whole = self.whole(server.started, now);
        let first = mix(server.server ^ mix(server.started.0)) % u64::from(holders);
        let turn = (position + holders - first as u32) % holders;
        whole / holders + u32::from(turn < whole % holders)
    }
}

pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// One start of a server: a process, not an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Start {
    /// The server.
    pub server: u64,
    /// When it started, by the list.
    #[serde(with = "crate::wire_micros")]
    pub started: Micros,
}

/// One member's parts of all such limits.
#[derive(Debug)]
pub struct Cold {
    /// The terms.
    pub terms: Terms,
    position: u32,
    life: u64,
    /// From when on what is its own may be used.
    from: Micros,
    servers: BTreeMap<Start, RateLimit>,
    /// Times at which there was no room for one more server.
    pub full: u64,
}

impl Cold {
    /// Those of the member at this position, which starts its life now.
    pub fn new(terms: Terms, position: u32, life: u64, now: Micros) -> Cold {
        Cold {
            terms,
            position,
            life,
            from: now + terms.rate_limit.lock_time(),
            servers: BTreeMap::new(),
            full: 0,
        }
    }

    /// Whether a server with this start is warm, so that nothing is limited.
    pub fn is_warm(&self, start: Start, now: Micros) -> bool {
        self.terms.warmth(start.started, now) >= 1.0
    }

    /// This member's part of a server that warms up; none where it is warm, or where there is no room for one more.
    pub fn part(&mut self, start: Start, now: Micros) -> Option<&mut RateLimit> {
        if self.is_warm(start, now) {
            return None;
        }
        let full = self.servers.len() >= MAX_SERVERS;
        let own = self.terms.own(start, self.position, now);
        let limit = match self.servers.entry(start) {
            Entry::Occupied(known) => known.into_mut(),
            // What has not started by this clock, and by far, is no start that the list told.
            Entry::Vacant(_) if start.started > now + self.terms.warm_up => return None,
            Entry::Vacant(_) if full => {
                self.full += 1;
                return None;
            }
            Entry::Vacant(new) => new.insert(RateLimit::with_owned_tokens(
                self.terms.rate_limit,
                own,
                self.life,
                self.from,
                now,
            )),
        };
        limit.raise_owned_tokens(own);
        Some(limit)
    }

    /// Does what is due at each, and forgets those that are warm and have nothing lent any more. `peers` gives the members to
    /// ask, from the first for each server.
    pub fn tick<P: FnMut() -> Option<SocketAddr>>(&mut self, now: Micros, peers: impl Fn() -> P) {
        let (terms, position) = (self.terms, self.position);
        let over = |start: Start| now >= start.started + terms.warm_up + terms.rate_limit.lock_time();
        self.servers.retain(|start, _| !over(*start));
        for (start, limit) in &mut self.servers {
            limit.raise_owned_tokens(terms.own(*start, position, now));
            limit.tick(now, peers());
        }
    }

    /// All parts, by their starts.
    pub fn parts(&mut self) -> impl Iterator<Item = (Start, &mut RateLimit)> {
        self.servers.iter_mut().map(|(start, limit)| (*start, limit))
    }
}
