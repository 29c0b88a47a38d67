//! Ledgers made by hand for the judge's tests.

use super::{Class, Effect, Terms};
use crate::event_log::{Attempt, AttemptResult, ClientRequest, EventLog, Receiver, RequestResult};
use crate::{micros_from_seconds, MICROS_PER_SECOND};

/// Terms of a run with four servers, the last of twice the weight, and an origin of ten a second.
pub fn terms() -> Terms {
    let class = |name, effect| Class { name, aim: 750_000, deadline: 1_500_000, worth: 1.0, effect };
    Terms {
        zero: 5 * MICROS_PER_SECOND,
        end: 35 * MICROS_PER_SECOND,
        classes: [class("read", Effect::Safe), class("put", Effect::Keyed(6 * MICROS_PER_SECOND))],
        attempts: 3,
        drain_grace: MICROS_PER_SECOND / 2,
        slack: 50_000,
        weights: vec![1.0, 1.0, 1.0, 2.0],
        capacity: 10.0,
        servers: crate::experiment::CacheServers::default(),
        stated: None,
        balancers: 4,
        seed: 1,
    }
}

/// A read sent at this second and served 100 ms later.
pub fn served(at: f64) -> ClientRequest {
    let sent = micros_from_seconds(at);
    ClientRequest {
        id: 0,
        first_id: 0,
        balancer: 0,
        key: 1,
        write: false,
        planned_at: sent,
        sent_at: sent,
        deadline: sent + 1_000_000,
        ended_at: Some(sent + 100_000),
        result: RequestResult::Served,
        extra_lines: 0,
    }
}

/// An attempt at this second, answered 50 ms later.
pub fn attempt(id: u64, receiver: Receiver, second: f64) -> Attempt {
    let begun = micros_from_seconds(second);
    Attempt {
        id,
        balancer: 0,
        receiver,
        first_byte_at: begun,
        received_at: begun,
        answered_at: Some(begun + 50_000),
        result: AttemptResult::Served,
        in_slow_start: false,
        corrupted: false,
    }
}

/// An event log that is filled line by line.
#[derive(Default)]
pub struct Hand {
    pub event_log: EventLog,
}

impl Hand {
    /// Puts a first try in; gives its id.
    pub fn request(&mut self, request: ClientRequest) -> u64 {
        let id = self.event_log.requests.len() as u64 + 1;
        self.event_log.requests.push(ClientRequest { id, first_id: id, ..request });
        id
    }

    /// Puts a client's retry in.
    pub fn retry(&mut self, request: ClientRequest) -> u64 {
        let id = self.event_log.requests.len() as u64 + 1;
        self.event_log.requests.push(ClientRequest { id, ..request });
        id
    }
}
