//! The owner's side of leases: how many tokens it grants, how long it locks them, and when it recalls some of them.

use std::net::SocketAddr;

use juniperladder::Micros;

use super::lease::GrantedLease;
use super::message::{LeaseGrant, LeaseRequest, Message};
use super::{Defect, RateLimit};

/// The minimum time between two recalls of leased tokens.
const RECALL_INTERVAL: Micros = Micros::from_millis(200);
/// The minimum number of tokens that an owner keeps for its own next request.
const MIN_RESERVED_TOKENS: u32 = 1;

impl RateLimit {
    /// Handles a request that obtains, renews or returns a lease; the answer names the tokens that the borrower may use.
    pub(super) fn on_lease_request(&mut self, now: Micros, borrower: SocketAddr, request: LeaseRequest) {
        let leasable = self.leasable_tokens(now);
        let Some(mut lease) = self.take_lease_for(now, borrower, &request) else { return };
        lease.tokens = lease_tokens_after_request(lease.tokens, request.tokens, leasable);
        lease.incarnation = request.incarnation;
        lease.newest_request = request.sent;
        lease.locked_until = now + self.terms.lock_time();
        let tokens = lease.tokens - self.begin_recall(now).min(lease.tokens);
        if lease.tokens > 0 {
            self.granted.push(lease);
        }
        let grant = LeaseGrant {
            incarnation: request.incarnation,
            sent: request.sent,
            tokens,
            available: self.leasable_tokens(now),
        };
        self.outgoing.push((borrower, Message::Grant(grant)));
    }

    /// The number of tokens that may be leased out now: they are not needed here, and the uses in the last window fit into the
    /// remaining tokens.
    fn leasable_tokens(&mut self, now: Micros) -> u32 {
        let usable_own = self.usable_own_tokens(now);
        let reserved = self.demanded_tokens().max(MIN_RESERVED_TOKENS).min(usable_own);
        let used = self.uses.count(now);
        let unused = (self.usable_tokens(now) as usize).saturating_sub(used) as u32;
        (usable_own - reserved).min(unused)
    }

    /// Removes the borrower's lease from the records and returns it, or an empty lease if there is none; `None` if this
    /// request or a newer one has already been applied, so that it must be ignored.
    fn take_lease_for(
        &mut self,
        now: Micros,
        borrower: SocketAddr,
        request: &LeaseRequest,
    ) -> Option<GrantedLease> {
        let is_lease_of_borrower = |lease: &GrantedLease| {
            let is_same_incarnation = lease.incarnation == request.incarnation;
            lease.borrower == borrower
                && (is_same_incarnation || self.defect.is_active(Defect::RequestIncarnationIgnored))
        };
        let index = self.granted.iter().position(|lease| is_lease_of_borrower(lease) && lease.is_locked(now));
        let Some(index) = index else {
            return Some(GrantedLease::empty(borrower, request.incarnation));
        };
        if self.is_outdated(request, &self.granted[index]) {
            return None;
        }
        Some(self.granted.swap_remove(index))
    }

    /// Whether this request or a newer one of the same incarnation has already been applied.
    fn is_outdated(&self, request: &LeaseRequest, lease: &GrantedLease) -> bool {
        request.sent <= lease.newest_request
            && request.incarnation == lease.incarnation
            && !self.defect.is_active(Defect::OutdatedRequestsApplied)
    }

    /// Begins a recall if this owner has too few usable tokens and the last recall was at least [`RECALL_INTERVAL`] ago.
    /// Returns the number of tokens to recall, or 0. The caller grants the borrower that many fewer tokens, but they stay
    /// locked until the borrower requests fewer. Each recall affects one borrower only.
    fn begin_recall(&mut self, now: Micros) -> u32 {
        let shortfall = self.demanded_tokens().saturating_sub(self.usable_tokens(now));
        if shortfall == 0 || !self.recalls.begin_if_due(now, RECALL_INTERVAL) {
            return 0;
        }
        shortfall
    }
}

/// The number of tokens that a lease covers after a request: a decrease is applied in full, an increase as far as tokens are
/// leasable.
fn lease_tokens_after_request(before: u32, requested: u32, leasable: u32) -> u32 {
    if requested <= before {
        requested
    } else {
        before + leasable.min(requested - before)
    }
}
