//! The borrower's side of leases: requests to owners, renewal, return and expiry.

use std::cmp::Reverse;
use std::net::SocketAddr;

use juniperladder::Micros;

use super::lease::HeldLease;
use super::message::{LeaseGrant, LeaseRequest, Message};
use super::{Defect, RateLimit};

/// The maximum number of owners to which one round sends requests.
const MAX_OWNERS_PER_ROUND: usize = 2;
/// The maximum number of members sampled in one round; members to which a request was sent recently are skipped.
const SAMPLES_PER_ROUND: usize = 2 * MAX_OWNERS_PER_ROUND;
/// The minimum time between two requests for more tokens to the same sampled owner.
const SAME_OWNER_INTERVAL: Micros = Micros::from_millis(600);
/// The maximum number of owners from which one borrower holds or requests leases.
const MAX_HELD_LEASES: usize = 64;

/// One round of requests for more tokens.
struct RequestRound {
    /// The number of tokens that are still missing.
    shortfall: u32,
    /// The number of owners to which requests were sent.
    asked: usize,
}

impl RequestRound {
    fn is_complete(&self) -> bool {
        self.asked == MAX_OWNERS_PER_ROUND || self.shortfall == 0
    }
}

impl RateLimit {
    /// Handles an owner's answer.
    pub(super) fn on_lease_grant(&mut self, now: Micros, owner: SocketAddr, grant: LeaseGrant) {
        let counted_from = if self.defect.is_active(Defect::LeaseFromReceipt) { now } else { grant.sent };
        let expires = counted_from + self.terms.lease_duration;
        let is_for_this_incarnation = grant.incarnation == self.incarnation;
        let Some(lease) = self.held.iter_mut().find(|lease| lease.owner == owner) else { return };
        if !is_for_this_incarnation || !lease.awaits(&grant) {
            return;
        }
        lease.record_answer(&grant);
        if now < expires {
            lease.extend(&grant, expires);
        }
    }

    /// Requests the missing tokens, first from owners that reported available tokens, then from random members.
    pub(super) fn request_tokens(
        &mut self,
        now: Micros,
        shortfall: u32,
        random_peer: &mut impl FnMut() -> Option<SocketAddr>,
    ) {
        let mut round = RequestRound { shortfall, asked: 0 };
        self.request_from_known_owners(now, &mut round);
        self.request_from_random_members(now, &mut round, random_peer);
    }

    fn request_from_known_owners(&mut self, now: Micros, round: &mut RequestRound) {
        let mut known: Vec<usize> =
            (0..self.held.len()).filter(|index| self.held[*index].available_at_owner > 0).collect();
        known.sort_unstable_by_key(|index| Reverse(self.held[*index].available_at_owner));
        for index in known {
            if round.is_complete() {
                return;
            }
            let additional = self.held[index].available_at_owner.min(round.shortfall);
            self.held[index].available_at_owner = 0;
            self.request_additional(now, index, additional);
            round.asked += 1;
            round.shortfall -= additional;
        }
    }

    fn request_from_random_members(
        &mut self,
        now: Micros,
        round: &mut RequestRound,
        random_peer: &mut impl FnMut() -> Option<SocketAddr>,
    ) {
        for _ in 0..SAMPLES_PER_ROUND {
            if round.is_complete() {
                return;
            }
            let Some(owner) = random_peer() else { return };
            let known = self.held.iter().position(|lease| lease.owner == owner);
            if known.is_some_and(|index| now < self.held[index].last_request() + SAME_OWNER_INTERVAL) {
                continue;
            }
            if known.is_none() && self.held.len() >= MAX_HELD_LEASES {
                return;
            }
            let index = known.unwrap_or_else(|| self.add_empty_lease(owner));
            self.request_additional(now, index, round.shortfall);
            round.asked += 1;
        }
    }

    /// Adds a record for an owner; returns its index.
    fn add_empty_lease(&mut self, owner: SocketAddr) -> usize {
        self.held.push(HeldLease::empty(owner));
        self.held.len() - 1
    }

    /// Requests additional tokens from an owner, beyond those held from it.
    fn request_additional(&mut self, now: Micros, index: usize, additional: u32) {
        let lease = &mut self.held[index];
        lease.target_tokens = lease.usable_tokens(now) + additional;
        self.send_request(now, index);
    }

    /// Sends a request for the target number of tokens to an owner. A target below the number known to the owner is requested
    /// only if the uses in the last window fit into the remaining tokens, because the owner frees the rest at once.
    fn send_request(&mut self, now: Micros, index: usize) {
        let uses_fit = self.uses.count(now) <= self.usable_tokens(now) as usize;
        let lease = &mut self.held[index];
        if lease.target_tokens < lease.max_known_to_owner() && !uses_fit {
            return;
        }
        let sent = lease.record_request(now);
        let request = LeaseRequest { incarnation: self.incarnation, sent, tokens: lease.target_tokens };
        self.outgoing.push((lease.owner, Message::Request(request)));
    }

    /// Returns all tokens that can be returned now; the others expire.
    pub(super) fn release_all(&mut self, now: Micros) {
        for lease in &mut self.held {
            lease.target_tokens = 0;
        }
        for index in 0..self.held.len() {
            self.send_request(now, index);
        }
    }

    /// Lowers the targets by the surplus, smallest leases first: leases from fewer owners need fewer packets.
    pub(super) fn lower_targets(&mut self, now: Micros, mut surplus: u32) {
        self.held.sort_unstable_by_key(|lease| lease.usable_tokens(now));
        for lease in &mut self.held {
            let usable = lease.usable_tokens(now);
            let returned = usable.min(surplus);
            if returned > 0 {
                lease.target_tokens = usable - returned;
                surplus -= returned;
            }
        }
    }

    /// Sends the requests that are due, to renew leases, repeat unanswered requests and return tokens, and removes unused
    /// records.
    pub(super) fn renew_leases(&mut self, now: Micros) {
        for index in 0..self.held.len() {
            let lease = &mut self.held[index];
            lease.abandon_if_unanswered(now);
            if lease.is_request_due(now, self.terms.lease_duration) {
                self.send_request(now, index);
            }
        }
        let window = self.terms.window();
        self.held.retain(|lease| !lease.is_unused(now, window));
    }
}
