//! One balancer's part of the coordination: takes packets and times, and produces packets and metrics.
//!
//! Beyond the guarantees of its modules, [`Cluster`] guarantees that it neither fails nor sends more than
//! `MAX_OUTGOING_PACKETS` packets between two calls of [`Cluster::drain`], whatever other members send. Malformed packets,
//! packets from unknown addresses and messages of members with different terms are counted and dropped. Times are on the
//! caller's clock, which never goes back.

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

/// The maximum number of packets sent between two drains: far more than a healthy balancer sends, and a bound on what a faulty
/// peer can make it send.
const MAX_OUTGOING_PACKETS: usize = 256;
/// Makes the seed of the failure detector differ from that of the membership.
const FAILURE_DETECTOR_SEED_MASK: u64 = 1;

/// A module's state and the digest of its terms.
struct Module<T> {
    terms_digest: u32,
    state: T,
}

/// A module's state, if its terms match those of the message's sender.
fn module_with_terms<T>(module: Option<&mut Module<T>>, terms_digest: u32) -> Option<&mut T> {
    module.filter(|module| module.terms_digest == terms_digest).map(|module| &mut module.state)
}

/// One balancer's part of the coordination.
pub struct Cluster {
    membership: Membership,
    /// The rate limits in the order of the configuration; messages name a rate limit by its index.
    rate_limits: Vec<Module<RateLimit>>,
    rate_limit_names: Vec<String>,
    slow_start: Option<Module<SlowStartLimits>>,
    retry_budget: Option<Module<RetryBudget>>,
    failure_detector: Option<Module<FailureDetector>>,
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
    /// Creates the state of a balancer whose process starts now.
    pub fn new(config: ClusterConfig, now: Micros) -> Cluster {
        let ClusterConfig { address, incarnation, position, zone, random_seed, .. } = config;
        let member = MemberId { address, incarnation };
        let rate_limits = config.rate_limits.iter().map(|limit| Module {
            terms_digest: terms_digest::of_rate_limit(&limit.terms),
            state: RateLimit::new(limit.terms, position, incarnation, now),
        });
        let slow_start = config.slow_start.map(|terms| Module {
            terms_digest: terms_digest::of_slow_start(&terms),
            state: SlowStartLimits::new(terms, position, incarnation, now),
        });
        let retry_budget = config.retry_budget.map(|terms| Module {
            terms_digest: terms_digest::of_retry_budget(&terms),
            state: RetryBudget::new(terms, position, incarnation),
        });
        let detector_seed = random_seed ^ FAILURE_DETECTOR_SEED_MASK;
        let failure_detector = config.failure_detector.map(|terms| Module {
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

    /// Handles a packet received from another member.
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
        self.encode_outgoing();
    }

    fn on_message(&mut self, now: Micros, from: SocketAddr, message: CoordinationMessage) {
        let has_matching_terms = self.deliver(now, from, message);
        self.terms_mismatches += u64::from(!has_matching_terms);
    }

    /// Passes a message to its module; false if this balancer does not have the module with the sender's terms.
    fn deliver(&mut self, now: Micros, from: SocketAddr, message: CoordinationMessage) -> bool {
        let CoordinationMessage { terms_digest, payload } = message;
        match payload {
            Payload::RateLimit(index, message) => {
                let limit = self.rate_limits.get_mut(usize::from(index));
                let Some(limit) = module_with_terms(limit, terms_digest) else { return false };
                limit.on_message(now, from, message);
            }
            Payload::SlowStart(server, message) => {
                let limits = self.slow_start.as_mut();
                let Some(limits) = module_with_terms(limits, terms_digest) else { return false };
                limits.on_message(now, from, server, message);
            }
            Payload::RetryBudget(message) => {
                let budget = self.retry_budget.as_mut();
                let Some(budget) = module_with_terms(budget, terms_digest) else { return false };
                budget.on_message(now, from, message);
            }
            Payload::FailureDetector(message) => {
                let detector = self.failure_detector.as_mut();
                let Some(detector) = module_with_terms(detector, terms_digest) else { return false };
                detector.on_message(now, from, message);
            }
        }
        true
    }

    /// Does the periodic work of all modules; to be called about every 50 ms.
    pub fn tick(&mut self, now: Micros) {
        self.membership.tick(now);
        self.tick_modules(now);
        self.encode_outgoing();
    }

    fn tick_modules(&mut self, now: Micros) {
        // Counting the members takes time, and only the failure detector needs the count.
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

    /// Announces to the other members that this balancer leaves. The tokens that it owns stay unused until it is back;
    /// tokens leased from others are returned at once as far as its recent uses allow.
    pub fn leave(&mut self, now: Micros) {
        self.membership.leave(now);
        for limit in &mut self.rate_limits {
            limit.state.leave(now);
        }
        if let Some(limits) = &mut self.slow_start {
            limits.state.leave(now);
        }
        self.encode_outgoing();
    }

    /// Collects the modules' messages and encodes them into packets; packets beyond [`MAX_OUTGOING_PACKETS`] are dropped.
    fn encode_outgoing(&mut self) {
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
        for (index, limit) in self.rate_limits.iter_mut().enumerate() {
            for (to, message) in limit.state.drain() {
                add(to, limit.terms_digest, Payload::RateLimit(index as u8, message));
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

    /// Takes the outgoing packets with their receivers, none longer than [`MAX_PACKET_BYTES`].
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

    /// The limit on requests to a server that is in slow start, if any.
    pub fn slow_start(&mut self, server: ServerIncarnation, now: Micros) -> SlowStartAccess<'_> {
        match &mut self.slow_start {
            Some(limits) => limits.state.access(server, now),
            None => SlowStartAccess::Unlimited,
        }
    }

    /// This balancer's part of the retry budget; `None` if no retry budget is configured.
    pub fn retry_budget(&mut self) -> Option<&mut RetryBudget> {
        self.retry_budget.as_mut().map(|budget| &mut budget.state)
    }

    /// This balancer's failure detector; `None` if none is configured.
    pub fn failure_detector(&mut self) -> Option<&mut FailureDetector> {
        self.failure_detector.as_mut().map(|detector| &mut detector.state)
    }

    /// The members known to this balancer.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Numbers of members by state, including this one.
    pub fn member_counts(&self) -> MemberCounts {
        self.membership.counts()
    }

    /// Metrics of all modules and of the packets.
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
