//! A rate limit on all balancers together: tokens that are owned by position and leased to whoever needs them.
//!
//! # Guarantee
//!
//! Requests may differ by up to `arrival_spread`, s seconds, in the time that they take to whoever counts them. A limit of
//! `requests_per_s` is divided into `requests_per_s` times 1 + s *tokens*. A token is the right to one request in any window of
//! 1 + s seconds. Each token has an owner, by position in the fleet; the owner uses it or leases it out. Whatever is lost, late,
//! repeated or in disorder, whoever is cut off, killed, started again without memory or frozen: **in no second do more than
//! `requests_per_s` times 1 + s requests of all members together arrive**, as long as clocks run within the stated drift of each
//! other and no two processes live at one position.
//!
//! # Why
//!
//! A token is at any moment in one place: usable by its owner, usable by one borrower, or locked. A borrower counts its
//! lease from when it *sent* the request that was granted; the owner locks the token from when it *received* that request, for
//! the lease, the drift and one window more. So when the owner has it again, the borrower's last use is a window old. What is
//! given back early, or leased out, leaves only while its holder's uses in the last window fit into what it keeps. A process
//! that starts uses and leases out nothing of its own until all that an earlier incarnation may have leased out or used has
//! expired. Hence a holder's uses in the last window never exceed its usable tokens and those that expired there within the
//! window (which their owner still locks), and the sum over all holders never exceeds the tokens. What arrives within a second
//! began within one window.
//!
//! # What it does not need
//!
//! No leader, no agreement, no count of who is alive: a part of the fleet that is cut off has what its own members own,
//! and a member that no message reaches has its own tokens, as if the limit were divided by count.
//!
//! Times are on the caller's clock, which never goes back. Nothing here fails: a message that does not fit is ignored.

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

/// Between two rounds of requests for more tokens, while rounds bring some.
const MIN_LEASE_REQUEST_INTERVAL: Micros = Micros::from_millis(100);
/// Between two rounds of requests for more tokens at the most.
const MAX_LEASE_REQUEST_INTERVAL: Micros = Micros::from_millis(800);
/// How long tokens that are not needed are kept, in case they are needed again.
const SURPLUS_RETENTION: Micros = Micros::SECOND;
/// How long a request waits where this member may use no token at all now: some may be leased to it by then.
pub const WAIT_WITHOUT_TOKENS: Micros = Micros::from_millis(50);
/// Tokens that a member wants beyond those that it has while a request waits for one.
const TOKENS_FOR_WAITING_REQUEST: u32 = 2;

/// One member's part of one limit. Guarantees the rate, not the supply: a member without tokens waits. Own tokens are unusable
/// for a while after a start.
#[derive(Debug)]
pub struct RateLimit {
    terms: RateLimitTerms,
    /// Differs between the processes at one position; requests and grants name it.
    incarnation: u64,
    /// Tokens that this member owns, those that are leased out included; never fewer than before, until it leaves.
    owned_tokens: u32,
    /// From when on own tokens may be used or leased out: all that an earlier incarnation may have leased out has expired.
    own_usable_from: Micros,
    /// Leases of own tokens to others; those whose lock has ended do not count and go with the next tick.
    granted: Vec<GrantedLease>,
    /// Leases from others, one record an owner.
    held: Vec<HeldLease>,
    uses: UseWindow,
    demand: DemandEstimate,
    /// Keeps rounds of requests apart, longer while they bring nothing.
    request_backoff: Backoff,
    /// Usable tokens at the last round of requests.
    tokens_at_last_round: u32,
    /// Keeps rounds of recalls apart.
    recalls: Interval,
    /// Since when there have been more tokens than were wanted; `None` if there are not.
    surplus_since: Option<Micros>,
    last_contact: Option<Micros>,
    /// Time spent with fewer tokens than were wanted.
    short_time: Micros,
    last_tick: Micros,
    rejected: u64,
    /// Whether a request has found no token free since the last tick.
    has_waiting_request: bool,
    outgoing: Vec<(SocketAddr, Message)>,
    defect: InjectedDefect<Defect>,
}

impl RateLimit {
    /// The part of the member at this position, whose process starts now. Each process at a position has another
    /// `incarnation`.
    pub fn new(terms: RateLimitTerms, position: u32, incarnation: u64, now: Micros) -> RateLimit {
        let own_usable_from = now + terms.lock_time();
        RateLimit::with_owned_tokens(terms, terms.owned_tokens(position), incarnation, own_usable_from, now)
    }

    /// The part of a member that owns so many tokens. It may use them from `own_usable_from` on, when all that an earlier
    /// incarnation may have used or leased out of this limit has expired.
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
            short_time: Micros::ZERO,
            last_tick: now,
            rejected: 0,
            has_waiting_request: false,
            outgoing: Vec::new(),
            defect: InjectedDefect::none(),
        }
    }

    /// From now on this member owns so many tokens; never fewer than it did.
    pub fn raise_owned_tokens(&mut self, owned_tokens: u32) {
        self.owned_tokens = self.owned_tokens.max(owned_tokens);
    }

    /// How long a request has to wait for a token; `Micros::ZERO` if it may begin now. Asking counts as need: where it has to
    /// wait, this member asks others for tokens.
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

    /// A request begins and takes a token. [`RateLimit::wait_time`] was zero at the same time.
    pub fn acquire(&mut self, now: Micros) {
        self.demand.add_request(now);
        self.uses.add(now);
    }

    /// A request was rejected for want of a token.
    pub fn on_rejected(&mut self, now: Micros) {
        self.demand.add_request(now);
        self.rejected += 1;
    }

    /// Tokens that this member may use now.
    pub fn usable_tokens(&self, now: Micros) -> u32 {
        self.usable_own_tokens(now) + self.borrowed_tokens(now)
    }

    /// Tokens that this member owns and may use now.
    fn usable_own_tokens(&self, now: Micros) -> u32 {
        if now < self.own_usable_from {
            return 0;
        }
        self.owned_tokens.saturating_sub(self.leased_out_tokens(now))
    }

    /// Tokens that are leased out, or locked after that.
    fn leased_out_tokens(&self, now: Micros) -> u32 {
        self.granted.iter().filter(|lease| lease.is_locked(now)).map(|lease| lease.tokens).sum()
    }

    /// Tokens of others under leases that have not expired.
    fn borrowed_tokens(&self, now: Micros) -> u32 {
        self.held.iter().map(|lease| lease.usable_tokens(now)).sum()
    }

    /// Tokens that this member's demand lately needed.
    fn demanded_tokens(&self) -> u32 {
        self.demand.tokens(Micros::SECOND + self.terms.arrival_spread)
    }

    /// A message has come from another member.
    pub fn on_message(&mut self, now: Micros, from: SocketAddr, message: Message) {
        self.last_contact = Some(now);
        match message {
            Message::Request(request) => self.on_lease_request(now, from, request),
            Message::Grant(grant) => self.on_lease_grant(now, from, grant),
        }
    }

    /// This member leaves: leased tokens are given back where its uses of the last window allow it.
    pub fn leave(&mut self, now: Micros) {
        self.owned_tokens = 0;
        self.release_all(now);
    }

    /// Does what is due: renews, requests, gives back. To be called about every 50 ms; `draw_peer` draws a member to ask.
    pub fn tick(&mut self, now: Micros, mut draw_peer: impl FnMut() -> Option<SocketAddr>) {
        self.demand.decay(now);
        self.granted.retain(|lease| lease.is_locked(now));
        let usable = self.usable_tokens(now);
        let wanted = self.wanted_tokens(usable);
        self.record_shortage(now, usable, wanted);
        self.return_surplus(now, usable, wanted);
        self.request_shortfall(now, usable, wanted, &mut draw_peer);
        self.renew_leases(now);
    }

    /// Tokens that this member wants to have: those of its average demand, and more while a request waits.
    fn wanted_tokens(&mut self, usable: u32) -> u32 {
        let demanded = self.demanded_tokens();
        let has_waiting_request = std::mem::take(&mut self.has_waiting_request);
        if has_waiting_request && demanded <= usable {
            usable + TOKENS_FOR_WAITING_REQUEST
        } else {
            demanded
        }
    }

    fn record_shortage(&mut self, now: Micros, usable: u32, wanted: u32) {
        if usable < wanted {
            self.short_time += now - self.last_tick;
        }
        self.last_tick = now;
    }

    /// Gives tokens back that have not been wanted for a while.
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

    /// Requests the tokens that are missing, less often while that brings none.
    fn request_shortfall(
        &mut self,
        now: Micros,
        usable: u32,
        wanted: u32,
        draw_peer: &mut impl FnMut() -> Option<SocketAddr>,
    ) {
        if usable >= wanted {
            self.request_backoff.reset();
            return;
        }
        if !self.request_backoff.is_due(now) {
            return;
        }
        if usable > self.tokens_at_last_round {
            self.request_backoff.reset();
        } else {
            self.request_backoff.lengthen();
        }
        self.tokens_at_last_round = usable;
        self.request_tokens(now, wanted - usable, draw_peer);
    }

    /// The messages that go out, with their receivers.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.outgoing.drain(..)
    }

    /// What operators see.
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
            short_time: self.short_time,
            rejected: self.rejected,
        }
    }
}

/// Defects that tests inject, to show that their checks catch them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// A lease counts from the receipt of its grant.
    LeaseFromReceipt,
    /// An older request takes and gives back like a newer one.
    OldRequestsObeyed,
    /// A new incarnation's request stands for the old one's.
    OldIncarnationObeyed,
}
