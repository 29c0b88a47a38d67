//! The bounded log of purges of all replicas.
//!
//! Each replica's purges are a sequence of positions; the log holds those after its *base* up to its *head*. Entries are
//! appended only where nothing between is missing, so the head vouches for all before it: what lies before the base can
//! no longer be replayed, and whoever has not applied it must void.
//!
//! The first entry of an incarnation names the position that its replica had recovered ([`Entry::previous`]). What an
//! older incarnation published beyond that was never held by a majority, so it was never done, and may be skipped.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::{Position, ReplicaId};
use crate::version_vector::VersionVector;

/// Bytes that a run takes beside its keys, at the most.
const RUN_HEAD_BYTES: usize = 36;
/// Bytes that a key takes beside its own.
const KEY_HEAD_BYTES: usize = 2;

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its position.
    pub position: Position,
    /// What must have been applied before it.
    pub previous: Position,
    /// The key that it purges; empty in the start entry of an incarnation.
    pub key: Vec<u8>,
}

/// Consecutive entries of one replica, as they travel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Whose purges.
    pub replica: ReplicaId,
    /// What must have been applied before the first.
    pub previous: Position,
    /// The incarnation that the first entry starts; none if it follows `previous` in the same.
    pub starts: Option<u64>,
    /// What is before `previous` can't be had from the sender any more: a replica begins its stream there.
    pub rebase: bool,
    /// The keys, in order.
    pub keys: Vec<Vec<u8>>,
}

impl Run {
    /// The position that whoever applies the run has reached.
    pub fn last_position(&self) -> Position {
        let count = self.keys.len() as u64;
        let (incarnation, before_first) = match self.starts {
            Some(incarnation) => (incarnation, 0),
            None => (self.previous.incarnation, self.previous.sequence),
        };
        if count == 0 {
            return self.previous;
        }
        Position { incarnation, sequence: before_first.saturating_add(count) }
    }

    /// The entries with their positions.
    pub fn entries(self) -> impl Iterator<Item = Entry> {
        let first = match self.starts {
            Some(incarnation) => Position::start_of(incarnation),
            None => self.previous.next(),
        };
        let mut previous = self.previous;
        let mut position = first;
        self.keys.into_iter().map(move |key| {
            let entry = Entry { position, previous, key };
            previous = position;
            position = position.next();
            entry
        })
    }
}

#[derive(Clone, Debug, Default)]
struct Stream {
    base: Position,
    head: Position,
    entries: VecDeque<Entry>,
}

impl Stream {
    /// The index of the first entry after this position.
    fn index_after(&self, position: Position) -> usize {
        self.entries.partition_point(|entry| entry.position <= position)
    }
}

/// How far a reader is behind the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behind {
    /// By so many entries, all of them here.
    Entries(usize),
    /// It lacks entries that the log no longer holds.
    BelowBase,
}

/// The log.
#[derive(Clone, Debug)]
pub struct Log {
    streams: BTreeMap<ReplicaId, Stream>,
    /// Whose entries came, in the order in which they came: the oldest are trimmed first.
    arrivals: VecDeque<ReplicaId>,
    capacity: usize,
    trimmed: u64,
}

impl Log {
    /// An empty log of at most so many entries.
    pub fn new(capacity: usize) -> Log {
        Log { streams: BTreeMap::new(), arrivals: VecDeque::new(), capacity: capacity.max(1), trimmed: 0 }
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Entries trimmed since the start.
    pub fn trimmed(&self) -> u64 {
        self.trimmed
    }

    /// The last position of a replica's purges that is known here.
    pub fn head(&self, replica: ReplicaId) -> Position {
        self.streams.get(&replica).map_or(Position::ZERO, |stream| stream.head)
    }

    /// The position after which entries are held.
    pub fn base(&self, replica: ReplicaId) -> Position {
        self.streams.get(&replica).map_or(Position::ZERO, |stream| stream.base)
    }

    /// The heads of all streams.
    pub fn vector(&self) -> VersionVector {
        let mut vector = VersionVector::default();
        for (replica, stream) in &self.streams {
            vector.raise(*replica, stream.head);
        }
        vector
    }

    /// Appends an entry if it follows what is here; tells whether it did.
    pub fn append(&mut self, replica: ReplicaId, entry: Entry) -> bool {
        let stream = self.streams.entry(replica).or_default();
        if stream.head < entry.previous || stream.head >= entry.position {
            return false;
        }
        stream.head = entry.position;
        stream.entries.push_back(entry);
        self.arrivals.push_back(replica);
        self.trim();
        true
    }

    /// Appends what follows of a run; tells whether anything did.
    pub fn append_run(&mut self, run: Run) -> bool {
        let replica = run.replica;
        if run.rebase {
            self.rebase(replica, run.previous);
        }
        let mut appended = false;
        for entry in run.entries() {
            appended |= self.append(replica, entry);
        }
        appended
    }

    /// Begins a stream after a position whose entries can't be had: whoever is below it must void.
    pub fn rebase(&mut self, replica: ReplicaId, base: Position) {
        let stream = self.streams.entry(replica).or_default();
        if stream.head >= base {
            return;
        }
        let dropped = stream.entries.len();
        *stream = Stream { base, head: base, entries: VecDeque::new() };
        if dropped > 0 {
            self.trimmed += dropped as u64;
            self.arrivals.retain(|arrival| *arrival != replica);
        }
    }

    fn trim(&mut self) {
        while self.arrivals.len() > self.capacity {
            let Some(oldest) = self.arrivals.pop_front() else { return };
            let Some(stream) = self.streams.get_mut(&oldest) else { continue };
            if let Some(entry) = stream.entries.pop_front() {
                stream.base = entry.position;
                self.trimmed += 1;
            }
        }
    }

    /// How far a reader that has applied this is behind.
    pub fn behind(&self, applied: &VersionVector) -> Behind {
        let mut behind = 0;
        for (replica, stream) in &self.streams {
            let position = applied.get(*replica);
            if position < stream.base {
                return Behind::BelowBase;
            }
            behind += stream.entries.len() - stream.index_after(position);
        }
        Behind::Entries(behind)
    }

    /// The entries after a vector, as many as fit into so many bytes, and whether there are more. Where entries before
    /// the base are lacking the run says so ([`Run::rebase`]).
    pub fn runs_after(&self, applied: &VersionVector, mut budget: usize) -> (Vec<Run>, bool) {
        let mut runs = Vec::new();
        for (replica, stream) in &self.streams {
            let position = applied.get(*replica);
            if position >= stream.head {
                continue;
            }
            let rebase = position < stream.base;
            let mut entries = stream.entries.iter().skip(stream.index_after(position)).peekable();
            if entries.peek().is_none() {
                // The stream is trimmed to its end: only the base can be told.
                if budget < RUN_HEAD_BYTES {
                    return (runs, true);
                }
                budget -= RUN_HEAD_BYTES;
                let run =
                    Run { replica: *replica, previous: stream.base, starts: None, rebase, keys: vec![] };
                runs.push(run);
                continue;
            }
            let mut last: Option<Position> = None;
            for entry in entries {
                let begins_run = last.is_none_or(|last| last.next() != entry.position);
                let run_bytes = if begins_run { RUN_HEAD_BYTES } else { 0 };
                let bytes = run_bytes + KEY_HEAD_BYTES + entry.key.len();
                if bytes > budget {
                    return (runs, true);
                }
                budget -= bytes;
                if begins_run {
                    let starts = entry.position.is_start().then_some(entry.position.incarnation);
                    let rebase = rebase && last.is_none();
                    let previous = if rebase { stream.base.max(entry.previous) } else { entry.previous };
                    runs.push(Run { replica: *replica, previous, starts, rebase, keys: Vec::new() });
                }
                if let Some(run) = runs.last_mut() {
                    run.keys.push(entry.key.clone());
                }
                last = Some(entry.position);
            }
        }
        (runs, false)
    }
}

#[cfg(test)]
mod tests;
