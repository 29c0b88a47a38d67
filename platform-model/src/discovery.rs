//! Discovery: a list with generations, and a door that takes calls in turn.

#[cfg(test)]
mod tests;

use crate::{micros_from_seconds, Micros, MICROS_PER_SECOND};

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// In service.
    InService,
    /// It finishes what it has and wants nothing new.
    Terminating,
    /// Gone.
    Terminated,
}

impl Life {
    /// The word on the wire.
    pub fn word(self) -> &'static str {
        match self {
            Life::InService => "in_service",
            Life::Terminating => "terminating",
            Life::Terminated => "terminated",
        }
    }
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The server's id.
    pub id: String,
    /// Where it stands: a server's number, or the number of servers for the origin.
    pub slot: usize,
    /// What it does.
    pub life: Life,
    /// When it last started; none, long ago.
    pub started: Option<Micros>,
}

/// The list, with all its changes.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    changes: Vec<Entry>,
}

impl Catalog {
    /// A list that begins with these.
    pub fn new(entries: Vec<Entry>) -> Catalog {
        Catalog { changes: entries }
    }

    /// The newest generation.
    pub fn generation(&self) -> u64 {
        self.changes.len() as u64
    }

    /// A line has changed.
    pub fn change(&mut self, entry: Entry) {
        self.changes.push(entry);
    }

    /// What changed after this generation, up to that one, in order.
    pub fn between(&self, after: u64, up_to: u64) -> &[Entry] {
        let to = (up_to as usize).min(self.changes.len());
        &self.changes[(after as usize).min(to)..to]
    }

    /// The whole list as of a generation, without those that are gone.
    pub fn whole(&self, generation: u64) -> Vec<Entry> {
        let mut list: Vec<Entry> = Vec::new();
        for entry in self.between(0, generation) {
            list.retain(|old| old.id != entry.id);
            if entry.life != Life::Terminated {
                list.push(entry.clone());
            }
        }
        list
    }
}

/// Calls in turn: each takes its time, and one that would wait too long fails.
#[derive(Clone, Debug)]
pub struct Door {
    each: Micros,
    timeout: Micros,
    free: Micros,
}

impl Door {
    /// A door for so many calls a second.
    pub fn new(calls_per_s: f64, timeout_s: f64) -> Door {
        Door {
            each: (MICROS_PER_SECOND as f64 / calls_per_s) as Micros,
            timeout: micros_from_seconds(timeout_s),
            free: 0,
        }
    }

    /// When a call that comes now is answered; none, it fails.
    pub fn call(&mut self, now: Micros) -> Option<Micros> {
        let begin = self.free.max(now);
        if begin - now > self.timeout {
            return None;
        }
        self.free = begin + self.each;
        Some(self.free)
    }
}
