//! Builds event logs entry by entry for the checker's tests.

use super::{CheckConfig, Idempotency, RequestClass, StatedBounds};
use crate::event_log::{Attempt, AttemptResult, ClientRequest, EventLog, Receiver, RequestResult};
use crate::{micros_from_seconds, MICROS_PER_SECOND};

/// The check configuration of a run with four servers, the last with twice the weight, and an origin with a capacity
/// of ten fetches a second.
pub fn check_config() -> CheckConfig {
    let class = |name, idempotency| RequestClass {
        name,
        latency_objective: 750_000,
        deadline: 1_500_000,
        priority_weight: 1.0,
        idempotency,
    };
    CheckConfig {
        measured_from: 5 * MICROS_PER_SECOND,
        measured_until: 35 * MICROS_PER_SECOND,
        classes: [
            class("read", Idempotency::Idempotent),
            class("put", Idempotency::WithIdempotencyKey(6 * MICROS_PER_SECOND)),
        ],
        max_attempts: 3,
        drain_grace: MICROS_PER_SECOND / 2,
        tolerance: 50_000,
        server_weights: vec![1.0, 1.0, 1.0, 2.0],
        origin_capacity: 10.0,
        server_model: crate::experiment::CacheServers::default(),
        stated: None,
        balancers: 4,
        seed: 1,
    }
}

/// Bounds of a program that limits only the origin, to ten fetches a second.
pub fn stated() -> StatedBounds {
    StatedBounds {
        origin_per_s: 10.0,
        send_time_spread: 0,
        slow_start_per_s: None,
        retry_budget: None,
        failure_detection: None,
    }
}

/// A read sent at this second and served 100 ms later.
pub fn served_read(at: f64) -> ClientRequest {
    let sent_at = micros_from_seconds(at);
    ClientRequest {
        id: 0,
        first_id: 0,
        balancer: 0,
        key: 1,
        write: false,
        planned_at: sent_at,
        sent_at,
        deadline: sent_at + 1_000_000,
        ended_at: Some(sent_at + 100_000),
        result: RequestResult::Served,
        extra_lines: 0,
    }
}

/// An attempt at this second, answered 50 ms later.
pub fn attempt(id: u64, receiver: Receiver, second: f64) -> Attempt {
    let received_at = micros_from_seconds(second);
    Attempt {
        id,
        balancer: 0,
        receiver,
        first_byte_at: received_at,
        received_at,
        answered_at: Some(received_at + 50_000),
        result: AttemptResult::Served,
        in_slow_start: false,
        corrupted: false,
    }
}

/// Builds an event log entry by entry.
#[derive(Default)]
pub struct EventLogBuilder {
    pub event_log: EventLog,
}

impl EventLogBuilder {
    /// Adds a client's first request and returns its id.
    pub fn add_request(&mut self, request: ClientRequest) -> u64 {
        let id = self.next_id();
        self.event_log.requests.push(ClientRequest { id, first_id: id, ..request });
        id
    }

    /// Adds a client's retry of the request named by `first_id`, and returns the id of the retry.
    pub fn add_retry(&mut self, request: ClientRequest) -> u64 {
        let id = self.next_id();
        self.event_log.requests.push(ClientRequest { id, ..request });
        id
    }

    fn next_id(&self) -> u64 {
        self.event_log.requests.len() as u64 + 1
    }
}
