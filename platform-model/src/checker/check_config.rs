//! The configuration of a check: the measured time, the request classes, the fleet, and the bounds stated by the
//! program.

use crate::experiment::{CacheServers, DeadlineProfile, Experiment};
use crate::{micros_from_seconds, Micros, MICROS_PER_SECOND};

/// Whether a request may be retried after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// With an idempotency key, for this time after the first attempt that may have been executed.
    WithIdempotencyKey(Micros),
    /// Never.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// The name on the wire.
    pub name: &'static str,
    /// Time within which an answer earns the priority weight.
    pub latency_objective: Micros,
    /// Longest time that a client waits, over its first request and its retries.
    pub deadline: Micros,
    /// Value of serving a request, relative to other classes.
    pub priority_weight: f64,
    /// Whether a request may be retried after it may have been executed.
    pub idempotency: Idempotency,
}

/// The configuration by which a run is checked.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckConfig {
    /// The experiment's beginning; the load before it only fills the caches.
    pub measured_from: Micros,
    /// End of the load.
    pub measured_until: Micros,
    /// The classes of reads and of writes.
    pub classes: [RequestClass; 2],
    /// Maximum number of attempts of a request.
    pub max_attempts: usize,
    /// Time after the notice of a drain in which a balancer may still send to the server.
    pub drain_grace: Micros,
    /// Tolerance added to each time limit.
    pub tolerance: Micros,
    /// The servers' weights, by number.
    pub server_weights: Vec<f64>,
    /// Capacity of the origin in fetches a second.
    pub origin_capacity: f64,
    /// Capacity and behaviour of a server.
    pub server_model: CacheServers,
    /// Bounds that the program states for the operator file; `None` if balancers do not exchange messages.
    pub stated: Option<StatedBounds>,
    /// Number of balancer processes.
    pub balancers: usize,
    /// Seed of the fair draws.
    pub seed: u64,
}

impl CheckConfig {
    /// The configuration for an experiment, without bounds stated by the program.
    pub fn for_experiment(experiment: &Experiment) -> CheckConfig {
        let measured_from = micros_from_seconds(experiment.load.warm_up_s);
        let fleet = &experiment.fleet;
        let weight = |server: usize| fleet.weights[server % fleet.weights.len()];
        CheckConfig {
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

    /// Whether this time is within the measured time.
    pub fn is_measured(&self, at: Micros) -> bool {
        (self.measured_from..self.measured_until).contains(&at)
    }

    /// The number of the measured second that contains this time; the time has to be within the measured time.
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

/// Bounds that the program states for the limits shared by its balancers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedBounds {
    /// The limit `origin` in fetches and writes a second.
    pub origin_per_s: f64,
    /// Maximum difference between requests in the time that they take to a server or the origin.
    pub send_time_spread: Micros,
    /// Attempts a second at a warm server, if attempts at servers in slow start are limited.
    pub slow_start_per_s: Option<f64>,
    /// The budget for retries, if they are limited.
    pub retry_budget: Option<StatedRetryBudget>,
    /// Bounds of failure detection, if it is enabled.
    pub failure_detection: Option<StatedFailureDetection>,
}

/// A budget for retries and hedged requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedRetryBudget {
    /// Retries for each first attempt.
    pub share: f64,
    /// Retries that all balancers together may save up.
    pub saved: f64,
}

/// Bounds that the program states for failure detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedFailureDetection {
    /// Time within which all connected balancers act on a change.
    pub reaction_time: Micros,
    /// Time for which a report is effective.
    pub report_expiry: Micros,
}

impl StatedBounds {
    /// Maximum usage in any second, as a multiple of a limit per second.
    pub fn bound(&self) -> f64 {
        1.0 + self.send_time_spread as f64 / MICROS_PER_SECOND as f64
    }

    /// Time for which a report of a fault is effective; 0 without failure detection.
    pub(super) fn report_expiry(&self) -> Micros {
        self.failure_detection.map_or(0, |stated| stated.report_expiry)
    }
}
