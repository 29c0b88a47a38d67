//! Selection of the suspected servers: those that enough members report silent, within the limits on suspected servers, and
//! cleared servers until this member's random return delay is over.

use std::collections::BTreeMap;

use juniperladder::{Micros, ServerId, ServingServer};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::evidence;
use super::reports::ReportTable;
use super::terms::FailureDetectorTerms;
use crate::server_incarnation::ServerIncarnation;

/// The maximum share of a zone's servers that are suspected.
const MAX_SUSPECTED_SHARE_OF_ZONE: f64 = 0.5;
/// The maximum delay before a member uses a cleared server again, random so that not all members return to it at once.
const MAX_RETURN_DELAY: Micros = Micros::from_millis(400);

/// The serving servers of the endpoint list in use.
pub(super) type ServingServers = BTreeMap<ServerId, ServingServer>;

/// The suspected servers and the reason for each.
pub(super) type SuspectedServers = BTreeMap<ServerIncarnation, Suspicion>;

/// The reason why a server is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// Enough members report the server silent.
    Reported,
    /// An answer has cleared the server; this member avoids it until this time, so that not all members return at once.
    ClearedButAvoidedUntil(Micros),
}

/// The rules that decide which servers are suspected, with the reports and servers to which they apply.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspicionRules<'a> {
    pub(super) terms: &'a FailureDetectorTerms,
    /// The zone of this member.
    pub(super) zone: u32,
    pub(super) reports: &'a ReportTable,
    pub(super) serving: &'a ServingServers,
    /// The servers suspected by the previous decision.
    pub(super) previous: &'a SuspectedServers,
}

/// The result of a decision on the suspected servers.
#[derive(Debug)]
pub(super) struct Decision {
    pub(super) suspected: SuspectedServers,
    /// The number of servers that are not suspected only because the limit on suspected servers is reached.
    pub(super) beyond_limit: usize,
    /// The number of discredited reporters.
    pub(super) discredited: usize,
}

/// The numbers of servers of one zone.
#[derive(Default)]
struct ZoneCounts {
    serving: usize,
    suspected: usize,
}

impl ZoneCounts {
    /// Whether one more of the zone's servers may be suspected.
    fn has_capacity(&self) -> bool {
        (self.suspected + 1) as f64 <= MAX_SUSPECTED_SHARE_OF_ZONE * self.serving as f64
    }
}

impl SuspicionRules<'_> {
    /// Decides which servers are suspected.
    pub(super) fn decide(&self, now: Micros, rng: &mut ChaCha8Rng) -> Decision {
        let discredited = evidence::discredited_reporters(self.reports, self.serving.len());
        let mut candidates: Vec<(usize, ServerIncarnation)> = Vec::new();
        for (server, reports) in self.reports {
            let is_suspected = self.previous.contains_key(server);
            let min_reporters = self.terms.min_reporters;
            let reporters =
                evidence::believed_reporters(reports, &discredited, self.zone, min_reporters, is_suspected);
            if reporters > 0 {
                candidates.push((reporters, *server));
            }
        }
        // Servers that are already suspected take precedence, then those with more reporters.
        candidates.sort_by_key(|(reporters, server)| {
            (!self.previous.contains_key(server), usize::MAX - reporters, *server)
        });
        let candidates = candidates.into_iter().map(|(_, server)| server);
        let mut decision = self.within_limits(candidates);
        decision.discredited = discredited.len();
        self.add_cleared(&mut decision.suspected, now, rng);
        decision
    }

    /// Selects the suspected servers from candidates in order of precedence, within the limits on suspected servers.
    fn within_limits(&self, candidates: impl Iterator<Item = ServerIncarnation>) -> Decision {
        let max_suspected = (self.terms.max_suspected_share * self.serving.len() as f64) as usize;
        let mut zones: BTreeMap<u32, ZoneCounts> = BTreeMap::new();
        for serving in self.serving.values() {
            zones.entry(serving.zone).or_default().serving += 1;
        }
        let mut suspected = SuspectedServers::new();
        let mut beyond_limit = 0;
        for server in candidates {
            // Reports on an earlier incarnation, or on a server that is not listed any more, are ignored.
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

    /// Adds the cleared servers whose return delay is not over; a server whose reports have all expired is used at once.
    fn add_cleared(&self, suspected: &mut SuspectedServers, now: Micros, rng: &mut ChaCha8Rng) {
        for (server, suspicion) in self.previous {
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
