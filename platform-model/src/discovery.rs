//! Discovery: an endpoint list with generations, and a queue that takes calls in turn.

#[cfg(test)]
mod tests;

use crate::{micros_from_seconds, Micros, MICROS_PER_SECOND};

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service.
    InService,
    /// Draining: it finishes its requests in flight and wants nothing new.
    Terminating,
    /// Gone.
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

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server's id.
    pub id: String,
    /// Where it stands: a server's number, or the number of servers for the origin.
    pub slot: usize,
    /// What it does.
    pub lifecycle: Lifecycle,
    /// When it last started; none, long ago.
    pub started_at: Option<Micros>,
}

/// The endpoint list, with all its changes. Each change makes a generation; the first is 1.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    changes: Vec<Endpoint>,
}

impl EndpointList {
    /// A list that begins with these, each of which makes a generation.
    pub fn new(endpoints: Vec<Endpoint>) -> EndpointList {
        EndpointList { changes: endpoints }
    }

    /// The newest generation.
    pub fn generation(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Changes a line, or adds one.
    pub fn apply_change(&mut self, endpoint: Endpoint) {
        self.changes.push(endpoint);
    }

    /// What changed after this generation, up to that one, in order.
    pub fn changes_between(&self, after: u64, up_to: u64) -> &[Endpoint] {
        let to = (up_to as usize).min(self.changes.len());
        &self.changes[(after as usize).min(to)..to]
    }

    /// The complete list as of a generation, without those that are gone.
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

/// Calls in turn: each takes its time, and one that would wait too long fails.
#[derive(Clone, Debug)]
pub struct CallQueue {
    time_per_call: Micros,
    timeout: Micros,
    free_at: Micros,
}

impl CallQueue {
    /// A queue that answers so many calls a second.
    pub fn new(calls_per_s: f64, timeout_s: f64) -> CallQueue {
        CallQueue {
            time_per_call: (MICROS_PER_SECOND as f64 / calls_per_s) as Micros,
            timeout: micros_from_seconds(timeout_s),
            free_at: 0,
        }
    }

    /// When a call that comes now is answered; none, it fails.
    pub fn on_call(&mut self, now: Micros) -> Option<Micros> {
        let begin = self.free_at.max(now);
        if begin - now > self.timeout {
            return None;
        }
        self.free_at = begin + self.time_per_call;
        Some(self.free_at)
    }
}
