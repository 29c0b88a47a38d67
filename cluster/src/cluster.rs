//! One balancer's side of all that balancers coordinate: packets and times in, packets and metrics out.
//!
//! It guarantees what its modules guarantee, and that whatever others send, it neither fails nor says more than
//! `MAX_OUTGOING_PACKETS` packets between two calls of [`Cluster::drain`]. Packets that cannot be read, or come from nobody
//! that is known, are counted and dropped; so are messages of members with other terms. Times are on the caller's clock, which
//! never goes back.

mod config;
mod metrics;
mod peer_sampler;
mod terms_digest;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use juniperladder::Micros;

use crate::failure_detector::FailureDetector;
use crate::membership::{MemberCounts, MemberId, Membership};
use crate::packet::{self, CoordinationMessage, Packet, Payload};
use crate::rate_limit::RateLimit;
use crate::retry_budget::RetryBudget;
use crate::server_incarnation::ServerIncarnation;
use crate::slow_start_limit::{SlowStartAccess, SlowStartLimits};
use crate::MAX_PACKET_BYTES;
pub use config::{ClusterConfig, NamedRateLimit};
pub use metrics::{ClusterMetrics, NamedRateLimitMetrics, PacketCounts};
use peer_sampler::PeerSampler;

/// Packets out between two drains: far more than a balancer has to say, and an end to what a faulty peer can make it say.
const MAX_OUTGOING_PACKETS: usize = 256;
/// Sets the random numbers of the failure detector apart from those of the membership.
const FAILURE_DETECTOR_SEED_MASK: u64 = 1;

/// A module's state and the digest of its terms.
struct Coordinated<T> {
    terms_digest: u32,
    state: T,
}

/// A module's state where its terms are those of a message's sender.
fn with_terms<T>(part: Option<&mut Coordinated<T>>, terms_digest: u32) -> Option<&mut T> {
    part.filter(|part| part.terms_digest == terms_digest).map(|part| &mut part.state)
}

/// A balancer's side of the cluster.
pub struct Cluster {
    membership: Membership,
    /// In the order of the configuration; a rate limit's number in messages is its index.
    rate_limits: Vec<Coordinated<RateLimit>>,
    rate_limit_names: Vec<String>,
    slow_start: Option<Coordinated<SlowStartLimits>>,
    retry_budget: Option<Coordinated<RetryBudget>>,
    failure_detector: Option<Coordinated<FailureDetector>>,
    sent: PacketCounts,
    received: PacketCounts,
    dropped_packets: u64,
    terms_mismatches: u64,
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
}

impl std::fmt::Debug for Cluster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Cluster").field("membership", &self.membership).finish_non_exhaustive()
    }
}

impl Cluster {
    /// A balancer's side of the cluster, whose process starts now.
    pub fn new(config: ClusterConfig, now: Micros) -> Cluster {
        let ClusterConfig { address, incarnation, position, zone, random_seed, .. } = config;
        let member = MemberId { address, incarnation };
        let rate_limits = config.rate_limits.iter().map(|limit| Coordinated {
            terms_digest: terms_digest::of_rate_limit(&limit.terms),
            state: RateLimit::new(limit.terms, position, incarnation, now),
        });
        let slow_start = config.slow_start.map(|terms| Coordinated {
            terms_digest: terms_digest::of_slow_start(&terms),
            state: SlowStartLimits::new(terms, position, incarnation, now),
        });
        let retry_budget = config.retry_budget.map(|terms| Coordinated {
            terms_digest: terms_digest::of_retry_budget(&terms),
            state: RetryBudget::new(terms, position, incarnation),
        });
        let detector_seed = random_seed ^ FAILURE_DETECTOR_SEED_MASK;
        let failure_detector = config.failure_detector.map(|terms| Coordinated {
            terms_digest: terms_digest::of_failure_detector(&terms),
            state: FailureDetector::new(terms, position, zone, detector_seed, now),
        });
        Cluster {
            membership: Membership::new(member, config.seeds, random_seed, now),
            rate_limits: rate_limits.collect(),
            rate_limit_names: config.rate_limits.into_iter().map(|limit| limit.name).collect(),
            slow_start,
            retry_budget,
            failure_detector,
            sent: PacketCounts::default(),
            received: PacketCounts::default(),
            dropped_packets: 0,
            terms_mismatches: 0,
            outgoing: Vec::new(),
        }
    }

    /// A packet has come.
    pub fn on_packet(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.received.add(bytes);
        match packet::decode(bytes) {
            Ok(Packet::Membership(bytes)) => self.membership.on_packet(now, bytes),
            Ok(Packet::Coordination(messages)) if self.membership.is_known(from) => {
                for message in messages {
                    self.on_message(now, from, message);
                }
            }
            Ok(Packet::Coordination(_)) | Err(_) => self.dropped_packets += 1,
        }
        self.collect_outgoing();
    }

    fn on_message(&mut self, now: Micros, from: SocketAddr, message: CoordinationMessage) {
        let is_delivered = self.deliver(now, from, message);
        self.terms_mismatches += u64::from(!is_delivered);
    }

    /// Hands a message to its module; false where there is none with the sender's terms.
    fn deliver(&mut self, now: Micros, from: SocketAddr, message: CoordinationMessage) -> bool {
        let CoordinationMessage { terms_digest, payload } = message;
        match payload {
            Payload::RateLimit(number, message) => {
                let limit = self.rate_limits.get_mut(usize::from(number));
                let Some(limit) = with_terms(limit, terms_digest) else { return false };
                limit.on_message(now, from, message);
            }
            Payload::SlowStart(server, message) => {
                let limits = self.slow_start.as_mut();
                let Some(limits) = with_terms(limits, terms_digest) else { return false };
                limits.on_message(now, from, server, message);
            }
            Payload::RetryBudget(message) => {
                let budget = self.retry_budget.as_mut();
                let Some(budget) = with_terms(budget, terms_digest) else { return false };
                budget.on_message(now, from, message);
            }
            Payload::FailureDetector(message) => {
                let detector = self.failure_detector.as_mut();
                let Some(detector) = with_terms(detector, terms_digest) else { return false };
                detector.on_message(now, from, message);
            }
        }
        true
    }

    /// Does what is due; to be called about every 50 ms.
    pub fn tick(&mut self, now: Micros) {
        self.membership.tick(now);
        self.tick_modules(now);
        self.collect_outgoing();
    }

    fn tick_modules(&mut self, now: Micros) {
        // Counting the members takes time, and the failure detector alone needs it.
        let members = if self.failure_detector.is_some() { self.membership.counts().alive } else { 1 };
        let sampler = PeerSampler::new(&mut self.membership);
        for limit in &mut self.rate_limits {
            limit.state.tick(now, sampler.peers());
        }
        if let Some(limits) = &mut self.slow_start {
            limits.state.tick(now, || sampler.peers());
        }
        if let Some(budget) = &mut self.retry_budget {
            budget.state.tick(now, sampler.peers());
        }
        if let Some(detector) = &mut self.failure_detector {
            detector.state.tick(now, members, sampler.peers());
        }
    }

    /// Tells the others that this balancer leaves. What it owns is not used until it is back; what it has leased goes back at
    /// once where its uses allow it.
    pub fn leave(&mut self, now: Micros) {
        self.membership.leave(now);
        for limit in &mut self.rate_limits {
            limit.state.leave(now);
        }
        if let Some(limits) = &mut self.slow_start {
            limits.state.leave(now);
        }
        self.collect_outgoing();
    }

    /// Takes what the modules send and makes packets of it.
    fn collect_outgoing(&mut self) {
        for (to, bytes) in self.membership.drain() {
            self.outgoing.push((to, packet::encode_membership(&bytes)));
        }
        let messages = self.drain_messages();
        self.outgoing.extend(packet::encode_messages(messages));
        self.outgoing.truncate(MAX_OUTGOING_PACKETS);
    }

    fn drain_messages(&mut self) -> Vec<(SocketAddr, CoordinationMessage)> {
        let mut messages = Vec::new();
        let mut add = |to, terms_digest, payload| {
            messages.push((to, CoordinationMessage { terms_digest, payload }));
        };
        for (number, limit) in self.rate_limits.iter_mut().enumerate() {
            for (to, message) in limit.state.drain() {
                add(to, limit.terms_digest, Payload::RateLimit(number as u8, message));
            }
        }
        if let Some(limits) = &mut self.slow_start {
            for (to, server, message) in limits.state.drain() {
                add(to, limits.terms_digest, Payload::SlowStart(server, message));
            }
        }
        if let Some(budget) = &mut self.retry_budget {
            for (to, message) in budget.state.drain() {
                add(to, budget.terms_digest, Payload::RetryBudget(message));
            }
        }
        if let Some(detector) = &mut self.failure_detector {
            for (to, message) in detector.state.drain() {
                add(to, detector.terms_digest, Payload::FailureDetector(message));
            }
        }
        messages
    }

    /// The packets that go out with their receivers, none longer than [`MAX_PACKET_BYTES`].
    pub fn drain(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        let outgoing = std::mem::take(&mut self.outgoing);
        for (_, bytes) in &outgoing {
            debug_assert!(bytes.len() <= MAX_PACKET_BYTES);
            self.sent.add(bytes);
        }
        outgoing
    }

    /// This balancer's part of a rate limit, by name; `None` where the configuration does not name it.
    pub fn rate_limit(&mut self, name: &str) -> Option<&mut RateLimit> {
        let index = self.rate_limit_names.iter().position(|known| known == name)?;
        self.rate_limits.get_mut(index).map(|limit| &mut limit.state)
    }

    /// Whether and how requests to a server are limited because it is in slow start.
    pub fn slow_start(&mut self, server: ServerIncarnation, now: Micros) -> SlowStartAccess<'_> {
        match &mut self.slow_start {
            Some(limits) => limits.state.access(server, now),
            None => SlowStartAccess::Unlimited,
        }
    }

    /// This balancer's part of the retry budget; `None` where retries are not limited here.
    pub fn retry_budget(&mut self) -> Option<&mut RetryBudget> {
        self.retry_budget.as_mut().map(|budget| &mut budget.state)
    }

    /// This balancer's failure detector; `None` where there is none here.
    pub fn failure_detector(&mut self) -> Option<&mut FailureDetector> {
        self.failure_detector.as_mut().map(|detector| &mut detector.state)
    }

    /// Who is there.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Members by state, this one included.
    pub fn member_counts(&self) -> MemberCounts {
        self.membership.counts()
    }

    /// What operators see.
    pub fn metrics(&mut self, now: Micros) -> ClusterMetrics {
        let names = self.rate_limit_names.iter().cloned();
        let limits = self.rate_limits.iter_mut();
        let rate_limits = names
            .zip(limits)
            .map(|(name, limit)| NamedRateLimitMetrics { name, metrics: limit.state.metrics(now) });
        ClusterMetrics {
            members: self.membership.counts(),
            rate_limits: rate_limits.collect(),
            slow_start: self.slow_start.as_mut().map(|limits| limits.state.metrics(now)),
            retry_budget: self.retry_budget.as_mut().map(|budget| budget.state.metrics(now)),
            failure_detector: self.failure_detector.as_ref().map(|detector| detector.state.metrics()),
            sent: self.sent,
            received: self.received,
            dropped_packets: self.dropped_packets + self.membership.dropped_packets(),
            terms_mismatches: self.terms_mismatches,
        }
    }
}
