//! The owner's side of a lease: which tokens it grants, and how long they are locked.

use std::net::SocketAddr;

use juniperladder::Micros;

use super::lease::GrantedLease;
use super::message::{LeaseGrant, LeaseRequest, Message};
use super::{Defect, RateLimit};

/// Between two rounds in which an owner asks for tokens back.
const RECALL_INTERVAL: Micros = Micros::from_millis(200);
/// An owner keeps at least this many of its tokens for its own next request.
const MIN_RESERVED_TOKENS: u32 = 1;

impl RateLimit {
    /// A borrower requests, renews or gives up a lease; it is answered with what it may use.
    pub(super) fn on_lease_request(&mut self, now: Micros, borrower: SocketAddr, request: LeaseRequest) {
        let leasable = self.leasable_tokens(now);
        let Some(mut lease) = self.take_lease_for(now, borrower, &request) else { return };
        lease.tokens = granted_tokens(lease.tokens, request.tokens, leasable);
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

    /// How many tokens may be leased out now: not needed here, and the uses of the last window fit into what stays.
    fn leasable_tokens(&mut self, now: Micros) -> u32 {
        let usable_own = self.usable_own_tokens(now);
        let kept = self.demanded_tokens().max(MIN_RESERVED_TOKENS).min(usable_own);
        let used = self.uses.count(now);
        let unused = (self.usable_tokens(now) as usize).saturating_sub(used) as u32;
        (usable_own - kept).min(unused)
    }

    /// Takes the borrower's lease out of the records, an empty one where it has none; `None` where the request is older than
    /// one that was obeyed, so that it must neither take nor give back.
    fn take_lease_for(
        &mut self,
        now: Micros,
        borrower: SocketAddr,
        request: &LeaseRequest,
    ) -> Option<GrantedLease> {
        let is_borrowers = |lease: &GrantedLease| {
            let is_same_incarnation = lease.incarnation == request.incarnation;
            lease.borrower == borrower
                && (is_same_incarnation || self.defect.is_active(Defect::OldIncarnationObeyed))
        };
        let index = self.granted.iter().position(|lease| is_borrowers(lease) && lease.is_locked(now));
        let Some(index) = index else {
            return Some(GrantedLease::empty(borrower, request.incarnation));
        };
        if self.is_outdated(request, &self.granted[index]) {
            return None;
        }
        Some(self.granted.swap_remove(index))
    }

    /// Whether a newer request of the same incarnation has been obeyed already.
    fn is_outdated(&self, request: &LeaseRequest, lease: &GrantedLease) -> bool {
        request.sent <= lease.newest_request
            && request.incarnation == lease.incarnation
            && !self.defect.is_active(Defect::OldRequestsObeyed)
    }

    /// How many tokens an owner that is short itself asks back now. The answer names so many fewer; they stay locked until
    /// the borrower has said that it holds no more. One borrower a round is asked, not all at once.
    fn begin_recall(&mut self, now: Micros) -> u32 {
        let shortfall = self.demanded_tokens().saturating_sub(self.usable_tokens(now));
        if shortfall == 0 || !self.recalls.is_due(now, RECALL_INTERVAL) {
            return 0;
        }
        shortfall
    }
}

/// How many tokens a lease covers after a request: a smaller one is obeyed, a greater one as far as there are any.
fn granted_tokens(before: u32, requested: u32, leasable: u32) -> u32 {
    if requested <= before {
        requested
    } else {
        before + leasable.min(requested - before)
    }
}
