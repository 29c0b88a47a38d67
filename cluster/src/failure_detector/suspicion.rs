//! Which servers are suspected: those that enough members report silent, within what may be suspected at all, and those that
//! are cleared until each member's own wait for them is over.

use std::collections::BTreeMap;

use juniperladder::{Micros, ServerId, ServingServer};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::evidence;
use super::reports::ReportTable;
use super::terms::FailureDetectorTerms;
use crate::server_incarnation::ServerIncarnation;

/// The share of a zone's servers that are suspected at the most.
const MAX_SUSPECTED_SHARE_OF_ZONE: f64 = 0.5;
/// The longest that a member waits until it uses a server again that is cleared: not all come back to it at once.
const MAX_RETURN_DELAY: Micros = Micros::from_millis(400);

/// The servers that serve, by the endpoint list in use.
pub(super) type ServingServers = BTreeMap<ServerId, ServingServer>;

/// The servers that are suspected.
pub(super) type SuspectedServers = BTreeMap<ServerIncarnation, Suspicion>;

/// Why a server is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// Enough members report it silent.
    Reported,
    /// An answer has cleared it; this member avoids it until this time, so that not all come back at once.
    ClearedButAvoidedUntil(Micros),
}

/// What suspicion is decided by.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspicionRules<'a> {
    pub(super) terms: &'a FailureDetectorTerms,
    /// The zone of this member.
    pub(super) zone: u32,
    pub(super) reports: &'a ReportTable,
    pub(super) serving: &'a ServingServers,
    /// The servers that have been suspected up to now.
    pub(super) before: &'a SuspectedServers,
}

/// What was decided.
#[derive(Debug)]
pub(super) struct Decision {
    pub(super) suspected: SuspectedServers,
    /// Servers that would be suspected, were it not for the most that may be.
    pub(super) beyond_limit: usize,
    /// Reporters that are not believed now.
    pub(super) discredited: usize,
}

/// The servers of one zone.
#[derive(Default)]
struct ZoneCounts {
    serving: usize,
    suspected: usize,
}

impl ZoneCounts {
    fn has_capacity(&self) -> bool {
        (self.suspected + 1) as f64 <= MAX_SUSPECTED_SHARE_OF_ZONE * self.serving as f64
    }
}

impl SuspicionRules<'_> {
    /// Decides which servers are suspected from now on.
    pub(super) fn decide(&self, now: Micros, rng: &mut ChaCha8Rng) -> Decision {
        let discredited = evidence::discredited_reporters(self.reports, self.serving.len());
        let mut candidates: Vec<(usize, ServerIncarnation)> = Vec::new();
        for (server, reports) in self.reports {
            let is_suspected = self.before.contains_key(server);
            let min_reporters = self.terms.min_reporters;
            let reporters =
                evidence::believed_reporters(reports, &discredited, self.zone, min_reporters, is_suspected);
            if reporters > 0 {
                candidates.push((reporters, *server));
            }
        }
        // Those that are suspected already stay before others that as many report.
        candidates.sort_by_key(|(reporters, server)| {
            (!self.before.contains_key(server), usize::MAX - reporters, *server)
        });
        let candidates = candidates.into_iter().map(|(_, server)| server);
        let mut decision = self.within_limits(candidates);
        decision.discredited = discredited.len();
        self.add_cleared(&mut decision.suspected, now, rng);
        decision
    }

    /// Of servers in the order in which they are to be suspected, those that may be.
    fn within_limits(&self, candidates: impl Iterator<Item = ServerIncarnation>) -> Decision {
        let max_suspected = (self.terms.max_suspected_share * self.serving.len() as f64) as usize;
        let mut zones: BTreeMap<u32, ZoneCounts> = BTreeMap::new();
        for serving in self.serving.values() {
            zones.entry(serving.zone).or_default().serving += 1;
        }
        let mut suspected = SuspectedServers::new();
        let mut beyond_limit = 0;
        for server in candidates {
            // Reports on an earlier incarnation, or on a server that is gone, concern nobody any more.
            let Some(serving) = self.serving.get(&server.server) else { continue };
            if serving.started != server.started {
                continue;
            }
            let zone = zones.entry(serving.zone).or_default();
            if suspected.len() < max_suspected && zone.has_capacity() {
                zone.suspected += 1;
                suspected.insert(server, Suspicion::Reported);
            } else {
                beyond_limit += 1;
            }
        }
        Decision { suspected, beyond_limit, discredited: 0 }
    }

    /// Adds the servers that are cleared and whose wait is not over; one whose reports have all expired is used at once.
    fn add_cleared(&self, suspected: &mut SuspectedServers, now: Micros, rng: &mut ChaCha8Rng) {
        for (server, suspicion) in self.before {
            let until = match suspicion {
                Suspicion::Reported => now + Micros(rng.random_range(0..MAX_RETURN_DELAY.0)),
                Suspicion::ClearedButAvoidedUntil(until) => *until,
            };
            let has_reports = self.reports.get(server).is_some_and(|reports| !reports.is_empty());
            if has_reports && !suspected.contains_key(server) && now < until {
                suspected.insert(*server, Suspicion::ClearedButAvoidedUntil(until));
            }
        }
    }
}
