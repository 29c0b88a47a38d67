//! A lease as its owner records it, and as its borrower does.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperladder::Micros;

use super::message::LeaseGrant;

/// Requests of a borrower that are remembered for one owner: more than it sends within a lease.
const MAX_REMEMBERED_REQUESTS: usize = 32;
/// Renewals within a lease.
const RENEWALS_PER_LEASE: u64 = 2;
/// Renewals within a lease with an owner of whose answers some are lost.
const RENEWALS_PER_LEASE_WITH_LOSS: u64 = 3;
/// After how long a request that was not answered is repeated.
const REPEAT_UNANSWERED_AFTER: Micros = Micros::from_millis(200);
/// After how long a request that was not answered is abandoned.
const ABANDON_UNANSWERED_AFTER: Micros = Micros::SECOND;

/// The owner's record of a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedLease {
    pub(super) borrower: SocketAddr,
    pub(super) incarnation: u64,
    /// The send time of this borrower's newest request.
    pub(super) newest_request: Micros,
    pub(super) tokens: u32,
    /// Until then the owner neither uses the tokens nor leases them to others.
    pub(super) locked_until: Micros,
}

impl GrantedLease {
    /// A lease of nothing, to a borrower that has none yet.
    pub(super) fn empty(borrower: SocketAddr, incarnation: u64) -> GrantedLease {
        GrantedLease {
            borrower,
            incarnation,
            newest_request: Micros::ZERO,
            tokens: 0,
            locked_until: Micros::ZERO,
        }
    }

    /// Whether the tokens are not the owner's now.
    pub(super) fn is_locked(&self, now: Micros) -> bool {
        now < self.locked_until
    }
}

/// A request that a borrower has sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    pub(super) sent: Micros,
    pub(super) tokens: u32,
}

/// The borrower's record of the leases of one owner.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    pub(super) owner: SocketAddr,
    /// How many tokens the lease covers.
    pub(super) tokens: u32,
    /// How many are to be held: more than `tokens` while they are requested, fewer while some are given back.
    pub(super) target_tokens: u32,
    /// The end of the lease, counted from when the request was sent that it answers.
    pub(super) expires: Micros,
    /// The send time of the newest request that was answered.
    pub(super) newest_answered: Micros,
    /// The last requests, oldest first.
    pub(super) requests: VecDeque<SentRequest>,
    /// How many more tokens the owner said that it could lease out.
    pub(super) available_at_owner: u32,
    /// Whether the newest answer came only to a repeated request.
    pub(super) has_loss: bool,
}

impl HeldLease {
    /// Nothing is held of this owner yet.
    pub(super) fn empty(owner: SocketAddr) -> HeldLease {
        HeldLease {
            owner,
            tokens: 0,
            target_tokens: 0,
            expires: Micros::ZERO,
            newest_answered: Micros::ZERO,
            requests: VecDeque::new(),
            available_at_owner: 0,
            has_loss: false,
        }
    }

    /// How many tokens may be used now.
    pub(super) fn usable_tokens(&self, now: Micros) -> u32 {
        if now < self.expires {
            self.tokens.min(self.target_tokens)
        } else {
            0
        }
    }

    /// Whether the lease covers any token now.
    fn is_active(&self, now: Micros) -> bool {
        now < self.expires && self.tokens > 0
    }

    /// The send time of the oldest request that still waits for its answer.
    fn oldest_unanswered(&self) -> Option<Micros> {
        self.requests.iter().map(|request| request.sent).find(|sent| *sent > self.newest_answered)
    }

    /// When the last request was sent; zero, never.
    pub(super) fn last_request(&self) -> Micros {
        self.requests.back().map_or(Micros::ZERO, |request| request.sent)
    }

    /// How many tokens the owner may believe to be held here: the most that was requested of it or granted by it.
    pub(super) fn most_known_to_owner(&self) -> u32 {
        let most_requested = self.requests.iter().map(|request| request.tokens).max().unwrap_or(0);
        most_requested.max(self.tokens)
    }

    /// Whether a grant answers a request that was sent from here and is newer than the last one answered.
    pub(super) fn awaits(&self, grant: &LeaseGrant) -> bool {
        grant.sent > self.newest_answered && self.requests.iter().any(|request| request.sent == grant.sent)
    }

    /// Records the request that is sent now for the target; returns its send time, which names it.
    pub(super) fn record_request(&mut self, now: Micros) -> Micros {
        // Two requests of one moment could not be distinguished.
        let sent = now.max(self.last_request() + Micros(1));
        self.requests.push_back(SentRequest { sent, tokens: self.target_tokens });
        if self.requests.len() > MAX_REMEMBERED_REQUESTS {
            self.requests.pop_front();
        }
        // What this request gives back is the owner's from now on, whatever is wanted later.
        self.tokens = self.tokens.min(self.target_tokens);
        sent
    }

    /// Takes what an answer says of the owner and of the path to it.
    pub(super) fn record_answer(&mut self, grant: &LeaseGrant) {
        let is_covered =
            |request: &&SentRequest| request.sent > self.newest_answered && request.sent <= grant.sent;
        self.has_loss = self.requests.iter().filter(is_covered).count() > 1;
        self.newest_answered = grant.sent;
        self.available_at_owner = grant.available;
    }

    /// Takes the tokens of a grant, until the lease expires.
    pub(super) fn extend(&mut self, grant: &LeaseGrant, expires: Micros) {
        // The owner may have received a later request already and freed what that one no longer asked for.
        let requested_since = self.requests.iter().filter(|request| request.sent >= grant.sent);
        let least_requested = requested_since.map(|request| request.tokens).min().unwrap_or(0);
        self.tokens = grant.tokens.min(least_requested);
        self.expires = expires;
        self.target_tokens = self.target_tokens.min(grant.tokens);
    }

    /// Drops what was requested in vain: neither granted nor to be expected any more.
    pub(super) fn abandon_if_unanswered(&mut self, now: Micros) {
        let may_be_answered =
            self.oldest_unanswered().is_some_and(|sent| now < sent + ABANDON_UNANSWERED_AFTER);
        if !self.is_active(now) && !may_be_answered {
            self.tokens = 0;
            self.target_tokens = 0;
        }
    }

    /// Whether the owner has to hear of this lease now: to get tokens back, to renew the lease or to answer at last.
    pub(super) fn is_request_due(&self, now: Micros, lease_duration: Micros) -> bool {
        let last_requested_tokens = self.requests.back().map_or(0, |request| request.tokens);
        let gives_back = self.target_tokens < last_requested_tokens;
        let is_wanted = self.is_active(now) || self.target_tokens > 0;
        gives_back || (is_wanted && now >= self.last_request() + self.request_interval(lease_duration))
    }

    fn request_interval(&self, lease_duration: Micros) -> Micros {
        if self.oldest_unanswered().is_some() {
            REPEAT_UNANSWERED_AFTER
        } else if self.has_loss {
            lease_duration / RENEWALS_PER_LEASE_WITH_LOSS
        } else {
            lease_duration / RENEWALS_PER_LEASE
        }
    }

    /// Whether nothing of this owner was used or requested within the last window.
    pub(super) fn is_forgotten(&self, now: Micros, window: Micros) -> bool {
        now >= self.expires + window && now >= self.last_request() + window
    }
}
