//! The polls of discovery that are open, which watch is in force, and what is overdue; no I/O, and time is passed in.
//!
//! A poll that has been answered is a watch. Guarantee: the watch in force ends only when a later poll has been answered, so
//! that no change that discovery writes in between is missed; a poll is not abandoned while it may still have its turn; at
//! most [`MAX_OPEN`] are open, whatever discovery does. A caller that does not poll again when [`Watches::needs_poll`] says so
//! misses changes.

use std::time::Duration;

use tokio::time::Instant;

use super::timing::{ANSWER_TIMEOUT, OVERDUE_GRACE, WATCH_SILENCE_TIMEOUT};

/// How many may be open at once: the watch in force, a poll that waits, and one beside it.
pub const MAX_OPEN: usize = 3;

/// Names one poll and the watch that it becomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollId(u64);

/// Why a poll or a watch counts as failed while its connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// The poll has no answer yet.
    NoAnswer,
    /// The watch has fallen silent.
    Silent,
}

impl Overdue {
    /// What the log calls it.
    pub fn label(self) -> &'static str {
        match self {
            Overdue::NoAnswer => "no answer yet",
            Overdue::Silent => "silent",
        }
    }
}

/// Something overdue, to be reported once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverdueReport {
    /// What it is.
    pub kind: Overdue,
    /// How long ago the poll started.
    pub age: Duration,
}

/// One poll, or the watch that it has become. `T` is what keeps its connection open.
#[derive(Debug)]
struct OpenPoll<T> {
    id: PollId,
    /// Which of the addresses that followed each other it polls.
    address_number: u32,
    started: Instant,
    /// When its last line ended; none, it has not been answered.
    last_line: Option<Instant>,
    /// The list's version that was known when it started.
    requested_since: Option<u64>,
    /// The version that it sent last, or that was known when it started.
    version: Option<u64>,
    /// When it was reported as failed.
    reported: Option<Instant>,
    _connection: T,
}

impl<T> OpenPoll<T> {
    /// When it counts as failed or, if it has failed already, when it is dropped.
    fn deadline(&self) -> Instant {
        match (self.reported, self.last_line) {
            (Some(reported), _) => reported + OVERDUE_GRACE,
            (None, Some(last_line)) => last_line + WATCH_SILENCE_TIMEOUT,
            (None, None) => self.started + ANSWER_TIMEOUT,
        }
    }

    /// Reported ones come first, those reported longest ago before others.
    fn eviction_order(&self) -> (bool, Option<Instant>, Instant) {
        (self.reported.is_none(), self.reported, self.started)
    }

    fn on_line(&mut self, now: Instant) {
        self.last_line = Some(now);
        self.reported = None;
    }
}

/// What a received list is to be used as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    /// The complete list.
    Snapshot,
    /// Changes to the list in use.
    Delta,
    /// Nothing: it is older than what another watch has sent.
    Outdated,
    /// Nothing, nor can the version in use be used any more: it holds changes to an older list than the watch itself has sent.
    Contradictory {
        /// The version that the watch had sent.
        known: u64,
    },
    /// Nothing: it belongs to a poll that is over.
    UnknownPoll,
}

/// What a heartbeat says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// Nothing of the list in use.
    Ignored,
    /// It is the answer to its poll, which is the watch in force now.
    Answered,
    /// The list in use is what discovery has.
    Confirmed,
}

/// All polls and watches that are open.
#[derive(Debug)]
pub struct Watches<T> {
    open: Vec<OpenPoll<T>>,
    last_id: u64,
    /// How many new addresses there were.
    address_number: u32,
    /// The version of the list in use, as the address in force counts them; none, the complete list is wanted.
    version: Option<u64>,
    /// Whether the address in force has sent no list yet, after another one had been in force.
    awaits_new_address: bool,
}

impl<T> Watches<T> {
    /// None yet; a list of this version is in use.
    pub fn new(version: Option<u64>) -> Watches<T> {
        Watches { open: Vec::new(), last_id: 0, address_number: 0, version, awaits_new_address: false }
    }

    /// The version of the list in use.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Whether a new address has sent no list yet.
    pub fn awaits_new_address(&self) -> bool {
        self.awaits_new_address
    }

    /// Whether a poll is needed: no watch is in force at this address, and no poll waits for its answer in time.
    pub fn needs_poll(&self) -> bool {
        !self.open.iter().any(|poll| poll.address_number == self.address_number && poll.reported.is_none())
    }

    /// A name for the next poll.
    pub fn next_id(&mut self) -> PollId {
        self.last_id += 1;
        PollId(self.last_id)
    }

    /// A poll has started. Where too many are open, the one that has been overdue for longest is let go of.
    pub fn on_poll_started(&mut self, id: PollId, connection: T, now: Instant) {
        while self.open.len() >= MAX_OPEN {
            self.evict_one();
        }
        self.open.push(OpenPoll {
            id,
            address_number: self.address_number,
            started: now,
            last_line: None,
            requested_since: self.version,
            version: self.version,
            reported: None,
            _connection: connection,
        });
    }

    fn evict_one(&mut self) {
        let first = (0..self.open.len()).min_by_key(|index| self.open[*index].eviction_order());
        if let Some(index) = first {
            self.open.remove(index);
        }
    }

    /// Another address is in force: it may count its versions otherwise, and is asked for the complete list. Until it sends
    /// one the old address's watch stays; polls there that have no answer yet are over.
    pub fn on_new_address(&mut self) {
        self.address_number += 1;
        self.version = None;
        self.awaits_new_address = true;
        self.open.retain(|poll| poll.last_line.is_some());
    }

    /// A line that holds no change has ended; what that says.
    pub fn on_heartbeat(&mut self, id: PollId, now: Instant) -> Heartbeat {
        let Some(poll) = self.open.iter_mut().find(|poll| poll.id == id) else {
            return Heartbeat::Ignored;
        };
        if poll.version.is_none() {
            // Where the complete list was asked for, only that is an answer.
            return Heartbeat::Ignored;
        }
        let is_answer = poll.last_line.is_none();
        poll.on_line(now);
        if poll.address_number != self.address_number {
            return Heartbeat::Ignored;
        }
        if is_answer {
            self.keep_only(id);
            return Heartbeat::Answered;
        }
        if poll.version == self.version {
            Heartbeat::Confirmed
        } else {
            Heartbeat::Ignored
        }
    }

    /// A list of this version has come, complete or not; notes it, and returns what it is to be used as.
    pub fn on_list(&mut self, id: PollId, version: u64, is_complete: bool, now: Instant) -> ListUse {
        let Some(index) = self.open.iter().position(|poll| poll.id == id) else {
            return ListUse::UnknownPoll;
        };
        let poll = &mut self.open[index];
        let is_snapshot = is_complete || poll.version.is_none();
        if let Some(known) = poll.version.filter(|known| !is_snapshot && version < *known) {
            return self.on_contradiction(index, known);
        }
        let is_outdated = has_outdated_version(poll, version, self.version);
        poll.version = Some(version);
        poll.on_line(now);
        let usual = if is_snapshot { ListUse::Snapshot } else { ListUse::Delta };
        if poll.address_number != self.address_number {
            return usual;
        }
        self.awaits_new_address = false;
        self.keep_only(id);
        if is_outdated {
            return ListUse::Outdated;
        }
        self.version = Some(version);
        usual
    }

    /// A watch has contradicted itself: it is over, and the complete list is asked for next.
    fn on_contradiction(&mut self, index: usize, known: u64) -> ListUse {
        let poll = self.open.remove(index);
        if poll.address_number != self.address_number {
            return ListUse::UnknownPoll;
        }
        self.version = None;
        ListUse::Contradictory { known }
    }

    /// This one has been answered: all other polls and watches are closed.
    fn keep_only(&mut self, id: PollId) {
        self.open.retain(|poll| poll.id == id);
    }

    /// A connection has ended. How long it stood, where that is a failure that has not been reported yet.
    pub fn on_ended(&mut self, id: PollId, now: Instant) -> Option<Duration> {
        let index = self.open.iter().position(|poll| poll.id == id)?;
        let ended = self.open.remove(index);
        let is_new_failure = ended.reported.is_none() && ended.address_number == self.address_number;
        is_new_failure.then(|| now - ended.started)
    }

    /// When something is due next.
    pub fn deadline(&self) -> Option<Instant> {
        self.open.iter().map(OpenPoll::deadline).min()
    }

    /// Notes what is overdue now, and returns it where it is to be reported; what has been so for long is let go of.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<OverdueReport> {
        self.open.retain(|poll| poll.deadline() > now || poll.reported.is_none());
        let mut reports = Vec::new();
        for poll in self.open.iter_mut().filter(|poll| poll.deadline() <= now) {
            poll.reported = Some(now);
            let kind = if poll.last_line.is_some() { Overdue::Silent } else { Overdue::NoAnswer };
            if poll.address_number == self.address_number {
                reports.push(OverdueReport { kind, age: now - poll.started });
            }
        }
        reports
    }
}

/// Whether this version is older than the one in use because a newer list came on another watch while this one's poll was
/// open: it will send the rest itself. A list that is older than what was known when its poll started is another matter:
/// discovery counts anew.
fn has_outdated_version<T>(poll: &OpenPoll<T>, version: u64, in_use: Option<u64>) -> bool {
    let started_before = poll.requested_since.is_some_and(|since| since <= version);
    started_before && in_use.is_some_and(|known| version < known)
}

#[cfg(test)]
mod tests;
