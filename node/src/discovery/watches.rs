//! The open polls of discovery: which one is the current watch, and which are overdue. Does no I/O; time is passed in.
//!
//! A poll that has been answered is a watch. Guarantees: a watch that is neither overdue nor contradictory is closed
//! only after a later poll has been answered, so that no change in between is missed; an overdue poll or watch stays
//! open for [`OVERDUE_GRACE`], because discovery may still answer it, unless a later poll is answered, the address
//! changes or more than [`MAX_OPEN_POLLS`] would be open; at most [`MAX_OPEN_POLLS`] are open, whatever discovery does.
//! The caller must poll when [`Watches::needs_poll`] is true, or it misses changes.

use std::time::Duration;

use tokio::time::Instant;

use super::timing::{ANSWER_TIMEOUT, OVERDUE_GRACE, WATCH_SILENCE_TIMEOUT};

/// The maximum number of open polls: the current watch, a poll waiting for its answer, and one made in parallel.
pub const MAX_OPEN_POLLS: usize = 3;

/// Identifies a poll and the watch that it becomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollId(u64);

/// Why a poll or a watch counts as failed although its connection is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// The poll has not been answered within [`ANSWER_TIMEOUT`].
    NoAnswer,
    /// The watch has sent no line for [`WATCH_SILENCE_TIMEOUT`].
    Silent,
}

impl Overdue {
    /// The name in the log.
    pub fn label(self) -> &'static str {
        match self {
            Overdue::NoAnswer => "no answer yet",
            Overdue::Silent => "silent",
        }
    }
}

/// An overdue poll or watch. Each is reported once, and again only if it has sent a line since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverdueReport {
    /// Why it is overdue.
    pub kind: Overdue,
    /// The time since the poll started.
    pub age: Duration,
}

/// One poll, or the watch that it has become. `T` owns the connection: dropping it closes the connection.
#[derive(Debug)]
struct OpenPoll<T> {
    id: PollId,
    /// The number of the polled address; each address change increments it.
    address_number: u32,
    started: Instant,
    /// The time of the last complete line; none while the poll has not been answered.
    last_line: Option<Instant>,
    /// The version from which the poll requests changes; none if it requests a complete list.
    requested_version: Option<u64>,
    /// The version last received on this connection, or `requested_version` before the first list.
    version: Option<u64>,
    /// The time at which the poll was reported as overdue.
    reported: Option<Instant>,
    _connection: T,
}

impl<T> OpenPoll<T> {
    /// The time at which the poll becomes overdue or, if already reported, is closed.
    fn deadline(&self) -> Instant {
        match (self.reported, self.last_line) {
            (Some(reported), _) => reported + OVERDUE_GRACE,
            (None, Some(last_line)) => last_line + WATCH_SILENCE_TIMEOUT,
            (None, None) => self.started + ANSWER_TIMEOUT,
        }
    }

    /// The sort key for eviction: polls reported as overdue first, the ones reported longest ago before others.
    fn eviction_order(&self) -> (bool, Option<Instant>, Instant) {
        (self.reported.is_none(), self.reported, self.started)
    }

    fn on_line(&mut self, now: Instant) {
        self.last_line = Some(now);
        self.reported = None;
    }
}

/// How a received list is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    /// Replaces the list in use.
    Snapshot,
    /// Changes the list in use.
    Delta,
    /// Ignored: older than a list from another watch.
    Outdated,
    /// Ignored: changes with an older version than the poll has requested or received. The version of the list in use
    /// is no longer valid either, so the next poll requests a complete list.
    Contradictory {
        /// The version that the poll had requested or last received.
        known: u64,
    },
    /// Ignored: the poll has been closed.
    PollClosed,
}

/// What a heartbeat means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// It does not concern the list in use.
    Ignored,
    /// It answers its poll, which becomes the current watch.
    Answered,
    /// The list in use is discovery's current list.
    Confirmed,
}

/// All open polls and watches.
#[derive(Debug)]
pub struct Watches<T> {
    open: Vec<OpenPoll<T>>,
    last_id: u64,
    /// The number of address changes so far.
    address_number: u32,
    /// The version of the list in use at the current address; none if a complete list is needed.
    version: Option<u64>,
    /// Whether the address has changed and the new one has not sent a list yet.
    awaits_list_of_new_address: bool,
}

impl<T> Watches<T> {
    /// No open polls; a list of this version is in use.
    pub fn new(version: Option<u64>) -> Watches<T> {
        Watches {
            open: Vec::new(),
            last_id: 0,
            address_number: 0,
            version,
            awaits_list_of_new_address: false,
        }
    }

    /// The version of the list in use.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Whether the address has changed and the new one has not sent a list yet.
    pub fn awaits_list_of_new_address(&self) -> bool {
        self.awaits_list_of_new_address
    }

    /// Whether a poll is needed: every watch or poll of the current address, if any, is overdue.
    pub fn needs_poll(&self) -> bool {
        !self.open.iter().any(|poll| poll.address_number == self.address_number && poll.reported.is_none())
    }

    /// Allocates the id of the next poll.
    pub fn next_id(&mut self) -> PollId {
        self.last_id += 1;
        PollId(self.last_id)
    }

    /// Adds a started poll. If too many are open, closes the one reported as overdue longest ago.
    pub fn on_poll_started(&mut self, id: PollId, connection: T, now: Instant) {
        while self.open.len() >= MAX_OPEN_POLLS {
            self.evict_one();
        }
        self.open.push(OpenPoll {
            id,
            address_number: self.address_number,
            started: now,
            last_line: None,
            requested_version: self.version,
            version: self.version,
            reported: None,
            _connection: connection,
        });
    }

    fn evict_one(&mut self) {
        let evicted = (0..self.open.len()).min_by_key(|index| self.open[*index].eviction_order());
        if let Some(index) = evicted {
            self.open.remove(index);
        }
    }

    /// Switches to a new address. Its version numbers may differ, so the next poll requests a complete list. The watch on
    /// the old address stays open until the list arrives; unanswered polls of the old address are closed.
    pub fn on_new_address(&mut self) {
        self.address_number += 1;
        self.version = None;
        self.awaits_list_of_new_address = true;
        self.open.retain(|poll| poll.last_line.is_some());
    }

    /// Handles a complete line without a change.
    pub fn on_heartbeat(&mut self, id: PollId, now: Instant) -> Heartbeat {
        let Some(poll) = self.open.iter_mut().find(|poll| poll.id == id) else {
            return Heartbeat::Ignored;
        };
        if poll.version.is_none() {
            // A heartbeat does not answer a request for a complete list.
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

    /// Records a received list of this version, and returns how it is applied.
    pub fn on_list(&mut self, id: PollId, version: u64, is_complete: bool, now: Instant) -> ListUse {
        let Some(index) = self.open.iter().position(|poll| poll.id == id) else {
            return ListUse::PollClosed;
        };
        let poll = &mut self.open[index];
        let is_snapshot = is_complete || poll.version.is_none();
        if let Some(known) = poll.version.filter(|known| !is_snapshot && version < *known) {
            return self.on_contradiction(index, known);
        }
        let is_outdated = has_outdated_version(poll, version, self.version);
        poll.version = Some(version);
        poll.on_line(now);
        let list_use = if is_snapshot { ListUse::Snapshot } else { ListUse::Delta };
        if poll.address_number != self.address_number {
            return list_use;
        }
        self.awaits_list_of_new_address = false;
        self.keep_only(id);
        if is_outdated {
            return ListUse::Outdated;
        }
        self.version = Some(version);
        list_use
    }

    /// Closes a poll or watch that sent a contradictory version; the next poll requests a complete list.
    fn on_contradiction(&mut self, index: usize, known: u64) -> ListUse {
        let poll = self.open.remove(index);
        if poll.address_number != self.address_number {
            return ListUse::PollClosed;
        }
        self.version = None;
        ListUse::Contradictory { known }
    }

    /// Closes all polls and watches but this one, which has been answered.
    fn keep_only(&mut self, id: PollId) {
        self.open.retain(|poll| poll.id == id);
    }

    /// Removes a poll whose connection has ended. Returns its age if this is a failure that has not been reported yet.
    pub fn on_ended(&mut self, id: PollId, now: Instant) -> Option<Duration> {
        let index = self.open.iter().position(|poll| poll.id == id)?;
        let ended = self.open.remove(index);
        let is_new_failure = ended.reported.is_none() && ended.address_number == self.address_number;
        is_new_failure.then(|| now - ended.started)
    }

    /// The next time at which a poll or watch becomes overdue or is closed.
    pub fn deadline(&self) -> Option<Instant> {
        self.open.iter().map(OpenPoll::deadline).min()
    }

    /// Marks polls and watches that are overdue at this time, and returns those at the current address for reporting.
    /// Closes the ones that have been overdue for [`OVERDUE_GRACE`].
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

/// Whether a list of this version is outdated: another watch has delivered a newer one while this poll was open. The
/// list is ignored, as this watch sends the newer changes as well. A version older than the requested one is not
/// outdated: discovery has restarted its version numbers. Neither is the list that answers a request for a complete
/// one.
fn has_outdated_version<T>(poll: &OpenPoll<T>, version: u64, in_use: Option<u64>) -> bool {
    let is_same_numbering = poll.requested_version.is_some_and(|since| since <= version);
    is_same_numbering && in_use.is_some_and(|known| version < known)
}

#[cfg(test)]
mod tests;
