//! What the checker goes by: the measured time, the classes of requests, what the fleet is and what its program states.

use crate::experiment::{CacheServers, DeadlineProfile, Experiment};
use crate::{micros_from_seconds, Micros, MICROS_PER_SECOND};

/// Whether a request may run again once it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// As often as one likes.
    Idempotent,
    /// With its idempotency key, for so long after the first attempt that may have been executed.
    WithIdempotencyKey(Micros),
    /// Never.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name on the wire.
    pub name: &'static str,
    /// An answer within this time earns the priority weight.
    pub latency_objective: Micros,
    /// The longest that a client waits, over all its requests.
    pub deadline: Micros,
    /// What serving one is worth against serving others.
    pub priority_weight: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
}

/// What a run is checked by.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckTerms {
    /// The experiment's beginning: what comes before only fills the caches.
    pub measured_from: Micros,
    /// The end of the load.
    pub measured_until: Micros,
    /// The classes of reads and of writes.
    pub classes: [RequestClass; 2],
    /// The most attempts of a request.
    pub max_attempts: usize,
    /// Sends to a server end so soon after a balancer was notified of its drain.
    pub drain_grace: Micros,
    /// By so much each time limit grows.
    pub tolerance: Micros,
    /// The servers' weights, by number.
    pub server_weights: Vec<f64>,
    /// Fetches a second at the origin.
    pub origin_capacity: f64,
    /// What a server can do.
    pub server_model: CacheServers,
    /// What the program states, by the operators' file; none where balancers do not talk.
    pub stated: Option<StatedBounds>,
    /// Processes of the program.
    pub balancers: usize,
    /// From it follow the fair draws.
    pub seed: u64,
}

impl CheckTerms {
    /// The terms of an experiment, with nothing stated by the program.
    pub fn of(experiment: &Experiment) -> CheckTerms {
        let measured_from = micros_from_seconds(experiment.load.warm);
        let fleet = &experiment.fleet;
        let weight = |server: usize| fleet.weights[server % fleet.weights.len()];
        CheckTerms {
            measured_from,
            measured_until: measured_from + micros_from_seconds(experiment.seconds),
            classes: classes(experiment.deadlines),
            max_attempts: 3,
            drain_grace: match experiment.deadlines {
                DeadlineProfile::Long => 500_000,
                DeadlineProfile::Short => 400_000,
            },
            tolerance: 50_000,
            server_weights: (0..fleet.servers).map(weight).collect(),
            origin_capacity: experiment.origin.capacity,
            server_model: experiment.servers,
            stated: None,
            balancers: fleet.balancers,
            seed: experiment.seed,
        }
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Micros {
        self.classes[0].deadline.max(self.classes[1].deadline)
    }

    /// The class of reads or of writes.
    pub fn class(&self, write: bool) -> &RequestClass {
        &self.classes[usize::from(write)]
    }

    /// Whether this time counts in figures.
    pub fn is_measured(&self, at: Micros) -> bool {
        (self.measured_from..self.measured_until).contains(&at)
    }

    /// The number of the measured second that a time falls into; the time has to be measured.
    pub(super) fn second_of(&self, at: Micros) -> usize {
        ((at - self.measured_from) / MICROS_PER_SECOND) as usize
    }
}

/// The classes of reads and of writes.
fn classes(deadlines: DeadlineProfile) -> [RequestClass; 2] {
    match deadlines {
        DeadlineProfile::Long => [READ_CLASS, WRITE_CLASS],
        DeadlineProfile::Short => [SHORT_READ_CLASS, SHORT_WRITE_CLASS],
    }
}

const READ_CLASS: RequestClass = RequestClass {
    name: "read",
    latency_objective: 750_000,
    deadline: 1_500_000,
    priority_weight: 1.0,
    idempotency: Idempotency::Idempotent,
};

const WRITE_CLASS: RequestClass = RequestClass {
    name: "put",
    latency_objective: 1_200_000,
    deadline: 3_000_000,
    priority_weight: 10.0,
    idempotency: Idempotency::WithIdempotencyKey(6 * MICROS_PER_SECOND),
};

const SHORT_READ_CLASS: RequestClass =
    RequestClass { latency_objective: 150_000, deadline: 300_000, ..READ_CLASS };

const SHORT_WRITE_CLASS: RequestClass = RequestClass {
    latency_objective: 500_000,
    deadline: 1_200_000,
    idempotency: Idempotency::WithIdempotencyKey(1_200_000),
    ..WRITE_CLASS
};

/// What the program states of what its balancers share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedBounds {
    /// The limit `origin`, fetches and writes a second.
    pub origin_per_s: f64,
    /// By how much requests may differ in the time that they take to a server or the origin.
    pub send_time_spread: Micros,
    /// Sends a second that a warm server bears, where sends to servers in slow start are limited.
    pub slow_start_per_s: Option<f64>,
    /// The budget for retries, where they are limited.
    pub retry_budget: Option<StatedRetryBudget>,
    /// What failure detection states, where it is switched on.
    pub failure_detection: Option<StatedFailureDetection>,
}

/// A budget for retries and hedged requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedRetryBudget {
    /// Retries for each first attempt.
    pub share: f64,
    /// How many may be saved up, by all balancers together.
    pub saved: f64,
}

/// What failure detection states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedFailureDetection {
    /// Within which time all connected balancers act on a change.
    pub reaction_time: Micros,
    /// How long a report acts.
    pub report_expiry: Micros,
}

impl StatedBounds {
    /// The most in any second as a multiple of what is limited to so much a second.
    pub fn bound(&self) -> f64 {
        1.0 + self.send_time_spread as f64 / MICROS_PER_SECOND as f64
    }

    /// How long a report of a fault acts; 0 without failure detection.
    pub(super) fn report_expiry(&self) -> Micros {
        self.failure_detection.map_or(0, |stated| stated.report_expiry)
    }
}
