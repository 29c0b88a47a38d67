//! A rate limit on all balancers together: tokens are owned by position in the fleet and leased to the members that need them.
//!
//! # Guarantee
//!
//! The travel times of requests to the server that counts them may differ by up to `arrival_spread`, s seconds. A limit of
//! `requests_per_s` is divided into `requests_per_s` times 1 + s *tokens*. A token is the right to one request in any window of
//! 1 + s seconds. Each token has an owner, by position in the fleet; the owner uses it or leases it out. **In no second do more
//! than `requests_per_s` times 1 + s requests of all members together arrive.** This holds if packets are lost, delayed,
//! duplicated or reordered, and if members are partitioned, killed, restarted without memory or frozen, as long as clocks run
//! within the stated drift of each other and no two processes run at one position.
//!
//! # Why the bound holds
//!
//! At any time a token is usable by its owner, usable by one borrower, or locked. A borrower counts its lease from when it
//! *sent* the granted request. The owner locks the token from when it *received* that request, for the lease duration, the
//! drift and one window more, so that the borrower's last use is at least a window old when the token is unlocked. A holder
//! returns a token early, or leases it out, only while its uses in the last window fit into the tokens that it keeps. A process
//! that starts neither uses nor leases out its own tokens until all that an earlier incarnation may have leased out or used has
//! expired. Hence a holder's uses in the last window never exceed its usable tokens plus the leased tokens that expired within
//! the window (which their owner still locks), and the sum over all holders never exceeds the number of tokens. Requests that
//! arrive within one second began within one window.
//!
//! # What is not required
//!
//! No leader, no consensus and no count of live members is required: a partitioned part of the fleet has the tokens that its
//! own members own, and an isolated member has its own tokens, as if the limit were divided statically.
//!
//! Times are on the caller's clock, which never goes back. No operation fails: invalid messages are ignored.

mod borrower;
mod demand;
mod lease;
mod message;
mod metrics;
mod owner;
mod terms;
#[cfg(test)]
mod tests;
mod use_window;

use std::net::SocketAddr;

use juniperladder::Micros;

use crate::injected_defect::InjectedDefect;
use crate::interval::{Backoff, Interval};
use demand::DemandEstimate;
use lease::{GrantedLease, HeldLease};
pub use message::{LeaseGrant, LeaseRequest, Message};
pub use metrics::RateLimitMetrics;
pub use terms::RateLimitTerms;
use use_window::UseWindow;

/// The time between two rounds of requests for more tokens while rounds obtain tokens.
const MIN_LEASE_REQUEST_INTERVAL: Micros = Micros::from_millis(100);
/// The maximum time between two rounds of requests for more tokens.
const MAX_LEASE_REQUEST_INTERVAL: Micros = Micros::from_millis(800);
/// How long surplus tokens are kept before they are returned, in case they are needed again.
const SURPLUS_RETENTION: Micros = Micros::SECOND;
/// How long a request waits if its member has no usable token; by then the member may have leased some.
pub const WAIT_WITHOUT_TOKENS: Micros = Micros::from_millis(50);
/// The number of tokens that a member wants in addition to its usable ones while a request waits.
const EXTRA_TOKENS_FOR_WAITING_REQUEST: u32 = 2;

/// One member's part of one limit. It enforces the maximum rate but does not guarantee a minimum: a member without tokens
/// waits, and own tokens are unusable for [`RateLimitTerms::lock_time`] after a start.
#[derive(Debug)]
pub struct RateLimit {
    terms: RateLimitTerms,
    /// Distinguishes the processes at one position; part of requests and grants.
    incarnation: u64,
    /// The number of tokens that this member owns, including those leased out; it never decreases until the member leaves.
    owned_tokens: u32,
    /// The time from which own tokens may be used or leased out; by then the leases and uses of an earlier incarnation have
    /// expired.
    own_usable_from: Micros,
    /// Leases of own tokens to other members; leases whose lock has ended do not count and are removed by the next tick.
    granted: Vec<GrantedLease>,
    /// Leases from other members, one record for each owner.
    held: Vec<HeldLease>,
    uses: UseWindow,
    demand: DemandEstimate,
    /// The backoff between rounds of requests, longer while they obtain no tokens.
    request_backoff: Backoff,
    /// The number of usable tokens at the last round of requests.
    tokens_at_last_round: u32,
    /// The interval between recalls of leased tokens.
    recalls: Interval,
    /// The time since which this member has had more tokens than it wanted; `None` if it has no surplus.
    surplus_since: Option<Micros>,
    /// When this member last received a message from another member.
    last_contact: Option<Micros>,
    /// The total time with fewer usable tokens than wanted.
    shortage_time: Micros,
    last_tick: Micros,
    /// The number of requests rejected because no token was free.
    rejected: u64,
    /// Whether a request has found no free token since the last tick.
    has_waiting_request: bool,
    outgoing: Vec<(SocketAddr, Message)>,
    defect: InjectedDefect<Defect>,
}

impl RateLimit {
    /// Creates the part of the member at this position, whose process starts now. Each process at a position has a different
    /// `incarnation`.
    pub fn new(terms: RateLimitTerms, position: u32, incarnation: u64, now: Micros) -> RateLimit {
        let own_usable_from = now + terms.lock_time();
        RateLimit::with_owned_tokens(terms, terms.owned_tokens(position), incarnation, own_usable_from, now)
    }

    /// Creates the part of a member that owns `owned_tokens`. They are usable from `own_usable_from` on, when the leases and
    /// uses of an earlier incarnation have expired.
    pub fn with_owned_tokens(
        terms: RateLimitTerms,
        owned_tokens: u32,
        incarnation: u64,
        own_usable_from: Micros,
        now: Micros,
    ) -> RateLimit {
        RateLimit {
            terms,
            incarnation,
            owned_tokens,
            own_usable_from,
            granted: Vec::new(),
            held: Vec::new(),
            uses: UseWindow::new(terms.window()),
            demand: DemandEstimate::new(now),
            request_backoff: Backoff::new(MIN_LEASE_REQUEST_INTERVAL, MAX_LEASE_REQUEST_INTERVAL),
            tokens_at_last_round: 0,
            recalls: Interval::default(),
            surplus_since: None,
            last_contact: None,
            shortage_time: Micros::ZERO,
            last_tick: now,
            rejected: 0,
            has_waiting_request: false,
            outgoing: Vec::new(),
            defect: InjectedDefect::none(),
        }
    }

    /// Raises the number of tokens that this member owns; a lower number has no effect.
    pub fn raise_owned_tokens(&mut self, owned_tokens: u32) {
        self.owned_tokens = self.owned_tokens.max(owned_tokens);
    }

    /// How long a request has to wait for a token; `Micros::ZERO` if it may begin now. If it has to wait, this member
    /// requests tokens from others at its next tick.
    pub fn wait_time(&mut self, now: Micros) -> Micros {
        let used = self.uses.count(now);
        let usable = self.usable_tokens(now) as usize;
        if used < usable {
            return Micros::ZERO;
        }
        self.has_waiting_request = true;
        if usable == 0 {
            return WAIT_WITHOUT_TOKENS;
        }
        self.uses.time_until_below(usable, now)
    }

    /// Takes a token for a request that begins. [`RateLimit::wait_time`] must have been zero at the same time.
    pub fn acquire(&mut self, now: Micros) {
        self.demand.add_request(now);
        self.uses.add(now);
    }

    /// Records that a request was rejected because no token was free.
    pub fn on_rejected(&mut self, now: Micros) {
        self.demand.add_request(now);
        self.rejected += 1;
    }

    /// The number of tokens that this member may use now.
    pub fn usable_tokens(&self, now: Micros) -> u32 {
        self.usable_own_tokens(now) + self.borrowed_tokens(now)
    }

    /// The number of own tokens that this member may use now.
    fn usable_own_tokens(&self, now: Micros) -> u32 {
        if now < self.own_usable_from {
            return 0;
        }
        self.owned_tokens.saturating_sub(self.leased_out_tokens(now))
    }

    /// The number of own tokens that are leased out, or locked after a lease.
    fn leased_out_tokens(&self, now: Micros) -> u32 {
        self.granted.iter().filter(|lease| lease.is_locked(now)).map(|lease| lease.tokens).sum()
    }

    /// The number of usable tokens leased from other members.
    fn borrowed_tokens(&self, now: Micros) -> u32 {
        self.held.iter().map(|lease| lease.usable_tokens(now)).sum()
    }

    /// The number of tokens that this member's recent demand needs.
    fn demanded_tokens(&self) -> u32 {
        self.demand.tokens(Micros::SECOND + self.terms.arrival_spread)
    }

    /// Handles a message from another member.
    pub fn on_message(&mut self, now: Micros, from: SocketAddr, message: Message) {
        self.last_contact = Some(now);
        match message {
            Message::Request(request) => self.on_lease_request(now, from, request),
            Message::Grant(grant) => self.on_lease_grant(now, from, grant),
        }
    }

    /// Makes this member leave: it owns no tokens any more and returns tokens leased from others as far as its uses in the last
    /// window allow.
    pub fn leave(&mut self, now: Micros) {
        self.owned_tokens = 0;
        self.release_all(now);
    }

    /// Renews, requests and returns leases; to be called about every 50 ms. `random_peer` returns a random other member.
    pub fn tick(&mut self, now: Micros, mut random_peer: impl FnMut() -> Option<SocketAddr>) {
        self.demand.decay(now);
        self.granted.retain(|lease| lease.is_locked(now));
        let usable = self.usable_tokens(now);
        let wanted = self.wanted_tokens(usable);
        self.record_shortage(now, usable, wanted);
        self.return_surplus(now, usable, wanted);
        self.request_shortfall(now, usable, wanted, &mut random_peer);
        self.renew_leases(now);
    }

    /// The number of tokens that this member wants: for its average demand, and more while a request waits.
    fn wanted_tokens(&mut self, usable: u32) -> u32 {
        let demanded = self.demanded_tokens();
        let has_waiting_request = std::mem::take(&mut self.has_waiting_request);
        if has_waiting_request && demanded <= usable {
            usable + EXTRA_TOKENS_FOR_WAITING_REQUEST
        } else {
            demanded
        }
    }

    fn record_shortage(&mut self, now: Micros, usable: u32, wanted: u32) {
        if usable < wanted {
            self.shortage_time += now - self.last_tick;
        }
        self.last_tick = now;
    }

    /// Returns tokens after they have been surplus for [`SURPLUS_RETENTION`].
    fn return_surplus(&mut self, now: Micros, usable: u32, wanted: u32) {
        if usable <= wanted {
            self.surplus_since = None;
            return;
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now >= since + SURPLUS_RETENTION {
            self.lower_targets(now, usable - wanted);
        }
    }

    /// Requests the missing tokens, with a backoff while no tokens are obtained.
    fn request_shortfall(
        &mut self,
        now: Micros,
        usable: u32,
        wanted: u32,
        random_peer: &mut impl FnMut() -> Option<SocketAddr>,
    ) {
        if usable >= wanted {
            self.request_backoff.reset();
            return;
        }
        if !self.request_backoff.begin_if_due(now) {
            return;
        }
        if usable > self.tokens_at_last_round {
            self.request_backoff.reset();
        } else {
            self.request_backoff.lengthen();
        }
        self.tokens_at_last_round = usable;
        self.request_tokens(now, wanted - usable, random_peer);
    }

    /// Takes the outgoing messages with their receivers.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.outgoing.drain(..)
    }

    /// Metrics of this member's part of the limit.
    pub fn metrics(&mut self, now: Micros) -> RateLimitMetrics {
        self.demand.decay(now);
        RateLimitMetrics {
            total_tokens: self.terms.total_tokens(),
            owned_tokens: self.owned_tokens,
            usable_tokens: self.usable_tokens(now),
            used_tokens: self.uses.count(now) as u32,
            leased_out_tokens: self.leased_out_tokens(now),
            borrowed_tokens: self.borrowed_tokens(now),
            demanded_tokens: self.demanded_tokens(),
            since_contact: self.last_contact.map(|at| now - at),
            shortage_time: self.shortage_time,
            rejected: self.rejected,
        }
    }
}

/// Defects that tests inject, to show that their checks detect them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// The borrower counts a lease from the receipt of its grant.
    LeaseFromReceipt,
    /// The owner applies a request although it or a newer one has already been applied.
    OutdatedRequestsApplied,
    /// The owner applies a request of a new incarnation to the lease of the old one.
    RequestIncarnationIgnored,
}
