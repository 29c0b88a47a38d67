//! Discovery: an endpoint list with generations, and a queue that serves calls one after the other.

#[cfg(test)]
mod tests;

use crate::{micros_from_seconds, Micros, MICROS_PER_SECOND};

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service.
    InService,
    /// Draining: the server completes its requests in flight and accepts no new ones.
    Terminating,
    /// Terminated.
    Terminated,
}

impl Lifecycle {
    /// The name on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            Lifecycle::InService => "in_service",
            Lifecycle::Terminating => "terminating",
            Lifecycle::Terminated => "terminated",
        }
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server's id.
    pub id: String,
    /// Number of the server; for the origin, the number after that of the last cache server.
    pub server_number: usize,
    /// The server's state.
    pub lifecycle: Lifecycle,
    /// Time of the last start; `None` if it is long ago.
    pub started_at: Option<Micros>,
}

/// The endpoint list with all its changes. Each change creates a generation; the first is 1.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    changes: Vec<Endpoint>,
}

impl EndpointList {
    /// A list of these endpoints, each of which creates a generation.
    pub fn new(endpoints: Vec<Endpoint>) -> EndpointList {
        EndpointList { changes: endpoints }
    }

    /// The newest generation.
    pub fn generation(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Changes an entry, or adds one.
    pub fn apply_change(&mut self, endpoint: Endpoint) {
        self.changes.push(endpoint);
    }

    /// The changes after the generation `after`, up to and including `up_to`, in order.
    pub fn changes_between(&self, after: u64, up_to: u64) -> &[Endpoint] {
        let to = (up_to as usize).min(self.changes.len());
        &self.changes[(after as usize).min(to)..to]
    }

    /// The complete list as of a generation, without terminated servers.
    pub fn snapshot(&self, generation: u64) -> Vec<Endpoint> {
        let mut list: Vec<Endpoint> = Vec::new();
        for endpoint in self.changes_between(0, generation) {
            list.retain(|old| old.id != endpoint.id);
            if endpoint.lifecycle != Lifecycle::Terminated {
                list.push(endpoint.clone());
            }
        }
        list
    }
}

/// A queue that serves calls one after the other; a call that would wait longer than the timeout fails.
#[derive(Clone, Debug)]
pub struct CallQueue {
    time_per_call: Micros,
    timeout: Micros,
    /// Time at which the queue can begin the next call.
    free_at: Micros,
}

impl CallQueue {
    /// A queue that answers `calls_per_s` calls a second.
    pub fn new(calls_per_s: f64, timeout_s: f64) -> CallQueue {
        CallQueue {
            time_per_call: (MICROS_PER_SECOND as f64 / calls_per_s) as Micros,
            timeout: micros_from_seconds(timeout_s),
            free_at: 0,
        }
    }

    /// Handles a call and returns the time at which it is answered, or `None` if it fails.
    pub fn on_call(&mut self, now: Micros) -> Option<Micros> {
        let begin = self.free_at.max(now);
        if begin - now > self.timeout {
            return None;
        }
        self.free_at = begin + self.time_per_call;
        Some(self.free_at)
    }
}
