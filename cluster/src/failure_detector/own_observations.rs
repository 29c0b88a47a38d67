//! Outcomes of recent own requests, which show whether a server is silent or the own link is down.

use std::collections::{BTreeMap, VecDeque};

use juniperladder::{Micros, ServerId};

/// How long observations are kept.
const OBSERVATION_LIFETIME: Micros = Micros::from_secs(2);
/// The maximum number of observations kept.
const MAX_OBSERVATIONS: usize = 64;
/// A server that has answered this member within this time is not reported silent: a request times out after about this time,
/// so that the server has answered since the request was sent.
const NO_REPORT_AFTER_RESPONSE: Micros = Micros::from_millis(500);

/// The outcome of one own request.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Micros,
    server: ServerId,
    is_silent: bool,
}

/// The outcomes of recent own requests, oldest first.
#[derive(Debug, Default)]
pub(super) struct OwnObservations {
    observations: VecDeque<Observation>,
}

impl OwnObservations {
    /// Records the outcome of a request: the server was silent, or it answered.
    pub(super) fn add(&mut self, now: Micros, server: ServerId, is_silent: bool) {
        self.observations.push_back(Observation { at: now, server, is_silent });
        while self.observations.len() > MAX_OBSERVATIONS || self.is_oldest_outdated(now) {
            self.observations.pop_front();
        }
    }

    fn is_oldest_outdated(&self, now: Micros) -> bool {
        self.observations.front().is_some_and(|oldest| oldest.at + OBSERVATION_LIFETIME < now)
    }

    /// Whether silence can be attributed to servers and not to the own link: at most half of the observed servers are silent.
    pub(super) fn is_link_healthy(&self) -> bool {
        let mut is_silent_by_server: BTreeMap<ServerId, bool> = BTreeMap::new();
        for observation in &self.observations {
            is_silent_by_server.insert(observation.server, observation.is_silent);
        }
        let silent = is_silent_by_server.values().filter(|is_silent| **is_silent).count();
        2 * silent <= is_silent_by_server.len()
    }

    /// Whether a server has answered within [`NO_REPORT_AFTER_RESPONSE`].
    pub(super) fn has_just_answered(&self, server: ServerId, now: Micros) -> bool {
        self.observations.iter().any(|observation| {
            !observation.is_silent
                && observation.server == server
                && now < observation.at + NO_REPORT_AFTER_RESPONSE
        })
    }
}
