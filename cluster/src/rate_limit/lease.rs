//! Records of a lease at its owner and at its borrower.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperladder::Micros;

use super::message::LeaseGrant;

/// The maximum number of sent requests that a borrower stores for one owner; more than it sends within a lease.
const MAX_STORED_REQUESTS: usize = 32;
/// The number of renewals within a lease duration.
const RENEWALS_PER_LEASE: u64 = 2;
/// The number of renewals within a lease duration if packets to or from the owner are lost.
const RENEWALS_PER_LEASE_WITH_LOSS: u64 = 3;
/// The time after which an unanswered request is repeated.
const REPEAT_UNANSWERED_AFTER: Micros = Micros::from_millis(200);
/// The time after which an unanswered request is abandoned.
const ABANDON_UNANSWERED_AFTER: Micros = Micros::SECOND;

/// The owner's record of a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedLease {
    pub(super) borrower: SocketAddr,
    /// The borrower's incarnation.
    pub(super) incarnation: u64,
    /// The send time of the borrower's newest request.
    pub(super) newest_request: Micros,
    /// The number of tokens that the lease covers, including those being recalled.
    pub(super) tokens: u32,
    /// The time until which the owner neither uses the tokens nor leases them to others.
    pub(super) locked_until: Micros,
}

impl GrantedLease {
    /// Creates the record of a lease of no tokens, for a borrower without a lease.
    pub(super) fn empty(borrower: SocketAddr, incarnation: u64) -> GrantedLease {
        GrantedLease {
            borrower,
            incarnation,
            newest_request: Micros::ZERO,
            tokens: 0,
            locked_until: Micros::ZERO,
        }
    }

    /// Whether the tokens are locked now, that is, not available to the owner.
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
    /// The number of tokens that the lease covers.
    pub(super) tokens: u32,
    /// The number of tokens to hold: more than `tokens` while more are requested, fewer while some are being returned.
    pub(super) target_tokens: u32,
    /// The end of the lease, counted from the send time of the request that was granted.
    pub(super) expires: Micros,
    /// The send time of the newest request that was answered.
    pub(super) newest_answered: Micros,
    /// The last requests to the owner, oldest first.
    pub(super) requests: VecDeque<SentRequest>,
    /// The number of further tokens that the owner reported as available.
    pub(super) available_at_owner: u32,
    /// Whether the newest answer came only after more than one request, which indicates packet loss.
    pub(super) has_loss: bool,
}

impl HeldLease {
    /// Creates the record of an owner from which no tokens are held.
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

    /// The number of tokens that may be used now.
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

    /// The send time of the oldest request that awaits its answer.
    fn oldest_unanswered(&self) -> Option<Micros> {
        self.requests.iter().map(|request| request.sent).find(|sent| *sent > self.newest_answered)
    }

    /// The send time of the last request; zero if none was sent.
    pub(super) fn last_request(&self) -> Micros {
        self.requests.back().map_or(Micros::ZERO, |request| request.sent)
    }

    /// The maximum number of tokens that the owner may consider held by this borrower: the most that was requested from the
    /// owner or granted by it.
    pub(super) fn max_known_to_owner(&self) -> u32 {
        let max_requested = self.requests.iter().map(|request| request.tokens).max().unwrap_or(0);
        max_requested.max(self.tokens)
    }

    /// Whether a grant answers a request that this borrower sent and that is newer than the last one answered.
    pub(super) fn awaits(&self, grant: &LeaseGrant) -> bool {
        grant.sent > self.newest_answered && self.requests.iter().any(|request| request.sent == grant.sent)
    }

    /// Records a request for the target that is sent now; returns its send time, which identifies it.
    pub(super) fn record_request(&mut self, now: Micros) -> Micros {
        // Each request needs a different send time to be distinguished from the others.
        let sent = now.max(self.last_request() + Micros(1));
        self.requests.push_back(SentRequest { sent, tokens: self.target_tokens });
        if self.requests.len() > MAX_STORED_REQUESTS {
            self.requests.pop_front();
        }
        // Tokens that this request returns belong to the owner from now on, even if the target rises again.
        self.tokens = self.tokens.min(self.target_tokens);
        sent
    }

    /// Records what an answer shows about the owner's available tokens and about packet loss.
    pub(super) fn record_answer(&mut self, grant: &LeaseGrant) {
        let is_covered =
            |request: &&SentRequest| request.sent > self.newest_answered && request.sent <= grant.sent;
        self.has_loss = self.requests.iter().filter(is_covered).count() > 1;
        self.newest_answered = grant.sent;
        self.available_at_owner = grant.available;
    }

    /// Takes over the tokens and the expiry of a grant.
    pub(super) fn extend(&mut self, grant: &LeaseGrant, expires: Micros) {
        // The owner may already have received a later request for fewer tokens and freed the difference.
        let requested_since = self.requests.iter().filter(|request| request.sent >= grant.sent);
        let min_requested = requested_since.map(|request| request.tokens).min().unwrap_or(0);
        self.tokens = grant.tokens.min(min_requested);
        self.expires = expires;
        self.target_tokens = self.target_tokens.min(grant.tokens);
    }

    /// Resets the tokens and the target to zero if there is no active lease and no request can still be answered.
    pub(super) fn abandon_if_unanswered(&mut self, now: Micros) {
        let may_be_answered =
            self.oldest_unanswered().is_some_and(|sent| now < sent + ABANDON_UNANSWERED_AFTER);
        if !self.is_active(now) && !may_be_answered {
            self.tokens = 0;
            self.target_tokens = 0;
        }
    }

    /// Whether a request to the owner is due, to return tokens, to renew the lease or to repeat an unanswered request.
    pub(super) fn is_request_due(&self, now: Micros, lease_duration: Micros) -> bool {
        let last_requested_tokens = self.requests.back().map_or(0, |request| request.tokens);
        let returns_tokens = self.target_tokens < last_requested_tokens;
        let is_wanted = self.is_active(now) || self.target_tokens > 0;
        returns_tokens || (is_wanted && now >= self.last_request() + self.request_interval(lease_duration))
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

    /// Whether the record can be removed: no token of this owner was usable or requested within the last window.
    pub(super) fn is_unused(&self, now: Micros, window: Micros) -> bool {
        now >= self.expires + window && now >= self.last_request() + window
    }
}
