//! The calls to discovery that are open, which of them is in force, and what is due of them; no I/O, and time is passed in.
//!
//! A call that has been answered is a watch. The guarantee: a watch in force ends only when a later call has been answered, so
//! that nothing discovery writes in between is missed, and a call is not given up while it may still have its turn.

use std::time::Duration;

use tokio::time::Instant;

use super::budget::{ANSWER, LATE, SILENCE};

/// How many may be open at once: the watch in force, a call that waits, and one beside it.
pub const MAX_OPEN: usize = 3;

/// Names one call and the watch that it becomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchId(u64);

/// Why a call or a watch counts as failed while its connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// The call has no answer yet.
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

/// One call, or the watch that it has become. `T` is what keeps its connection.
#[derive(Debug)]
struct Watch<T> {
    id: WatchId,
    /// Which of the addresses that followed each other it was made to.
    turn: u32,
    begun: Instant,
    /// When its last line ended; none, it has not been answered.
    heard: Option<Instant>,
    /// The version that was known when it began, and the one that it told last.
    asked_since: Option<u64>,
    generation: Option<u64>,
    /// When it was reported as failed.
    overdue: Option<Instant>,
    _connection: T,
}

impl<T> Watch<T> {
    /// When it counts as failed, or is let go of where it does already.
    fn deadline(&self) -> Instant {
        match (self.overdue, self.heard) {
            (Some(overdue), _) => overdue + LATE,
            (None, Some(heard)) => heard + SILENCE,
            (None, None) => self.begun + ANSWER,
        }
    }
}

/// What a list is to be taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    /// The whole list.
    Whole,
    /// Changes to the list in hand.
    Changes,
    /// An older one than what another watch has told: nothing.
    Outdated,
    /// Changes to an older list than the watch itself has told: nothing of it can be used, nor of the version in hand.
    Contradicts(u64),
    /// It belongs to a call that is over.
    Unknown,
}

/// What a line says that tells no change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChange {
    /// Nothing of the list in hand.
    Nothing,
    /// It is the answer to its call, which is in force now.
    Answered,
    /// The list in hand is what discovery has.
    Confirmed,
}

/// All calls and watches that are open.
#[derive(Debug)]
pub struct Watches<T> {
    open: Vec<Watch<T>>,
    last: u64,
    turn: u32,
    /// The version of the list in hand, as the address in force counts them; none, the whole list is wanted.
    generation: Option<u64>,
    /// Whether the address in force has told no list yet, after another one had been in force.
    turning: bool,
}

impl<T> Watches<T> {
    /// None yet; a list of this version is in hand.
    pub fn new(generation: Option<u64>) -> Watches<T> {
        Watches { open: Vec::new(), last: 0, turn: 0, generation, turning: false }
    }

    /// The version of the list in hand.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Whether a new address has told no list yet.
    pub fn turning(&self) -> bool {
        self.turning
    }

    /// Whether a call is needed: no watch is in force at this address, and no call waits for its answer in time.
    pub fn need_call(&self) -> bool {
        !self.open.iter().any(|watch| watch.turn == self.turn && watch.overdue.is_none())
    }

    /// A name for the next call.
    pub fn next_id(&mut self) -> WatchId {
        self.last += 1;
        WatchId(self.last)
    }

    /// A call has begun. Where too many are open, the one that has been overdue for longest is let go of.
    pub fn begin(&mut self, id: WatchId, connection: T, now: Instant) {
        while self.open.len() >= MAX_OPEN {
            let first = |watch: &Watch<T>| (watch.overdue.is_none(), watch.overdue, watch.begun);
            let oldest = (0..self.open.len()).min_by_key(|at| first(&self.open[*at]));
            oldest.into_iter().for_each(|at| drop(self.open.remove(at)));
        }
        self.open.push(Watch {
            id,
            turn: self.turn,
            begun: now,
            heard: None,
            asked_since: self.generation,
            generation: self.generation,
            overdue: None,
            _connection: connection,
        });
    }

    /// Another address is in force: it may count its versions otherwise, and is asked for the whole list. Until it tells one
    /// the old one's watch stays; calls there that have no answer yet are over.
    pub fn turn(&mut self) {
        self.turn += 1;
        self.generation = None;
        self.turning = true;
        self.open.retain(|watch| watch.heard.is_some());
    }

    /// A line that tells no change has ended; what that says.
    pub fn on_no_change(&mut self, id: WatchId, now: Instant) -> NoChange {
        let (turn, in_hand) = (self.turn, self.generation);
        let Some(watch) = self.open.iter_mut().find(|watch| watch.id == id) else { return NoChange::Nothing };
        if watch.generation.is_none() {
            // Where the whole list was asked for, only that is an answer.
            return NoChange::Nothing;
        }
        watch.overdue = None;
        let first = watch.heard.replace(now).is_none();
        let newest = watch.generation == in_hand;
        if watch.turn != turn {
            return NoChange::Nothing;
        }
        if first {
            self.keep_only(id);
            return NoChange::Answered;
        }
        if newest {
            NoChange::Confirmed
        } else {
            NoChange::Nothing
        }
    }

    /// A list of this version has come; tells what it is to be taken for, and notes it.
    pub fn on_list(&mut self, id: WatchId, generation: u64, reset: bool, now: Instant) -> ListUse {
        let Some(at) = self.open.iter().position(|watch| watch.id == id) else { return ListUse::Unknown };
        let (turn, in_hand) = (self.turn, self.generation);
        let watch = &mut self.open[at];
        let whole = reset || watch.generation.is_none();
        if let Some(known) = watch.generation.filter(|known| !whole && generation < *known) {
            let current = self.open.remove(at).turn == turn;
            if !current {
                return ListUse::Unknown;
            }
            self.generation = None;
            return ListUse::Contradicts(known);
        }
        // One that began while a newer list came on another watch: it will tell the rest itself. A list that is older than what
        // was known at its begin is another matter: discovery counts anew.
        let began_before = watch.asked_since.is_some_and(|since| since <= generation);
        let outdated = watch.turn == turn && began_before && in_hand.is_some_and(|known| generation < known);
        watch.generation = Some(generation);
        watch.heard = Some(now);
        watch.overdue = None;
        if watch.turn != turn {
            return if whole { ListUse::Whole } else { ListUse::Changes };
        }
        self.turning = false;
        self.keep_only(id);
        if outdated {
            return ListUse::Outdated;
        }
        self.generation = Some(generation);
        if whole {
            ListUse::Whole
        } else {
            ListUse::Changes
        }
    }

    /// This one has been answered: the others that began before it, and calls that wait for the same, are over.
    fn keep_only(&mut self, id: WatchId) {
        self.open.retain(|watch| watch.id == id);
    }

    /// A connection has ended. How long it stood, where that is a failure that has not been told yet.
    pub fn on_end(&mut self, id: WatchId, now: Instant) -> Option<Duration> {
        let at = self.open.iter().position(|watch| watch.id == id)?;
        let ended = self.open.remove(at);
        (ended.overdue.is_none() && ended.turn == self.turn).then(|| now - ended.begun)
    }

    /// When something is due next.
    pub fn deadline(&self) -> Option<Instant> {
        self.open.iter().map(Watch::deadline).min()
    }

    /// Notes what is overdue now, and returns it where it is to be told; what has been so for long is let go of.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<(Overdue, Duration)> {
        let turn = self.turn;
        self.open.retain(|watch| watch.deadline() > now || watch.overdue.is_none());
        let due = self.open.iter_mut().filter(|watch| watch.deadline() <= now);
        let told = due.filter_map(|watch| {
            watch.overdue = Some(now);
            let problem = if watch.heard.is_some() { Overdue::Silent } else { Overdue::NoAnswer };
            (watch.turn == turn).then(|| (problem, now - watch.begun))
        });
        told.collect()
    }
}

#[cfg(test)]
mod tests;
