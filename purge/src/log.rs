//! The bounded log of purges of all replicas.
//!
//! Each replica's purges form a stream of positions; the log holds the entries after the stream's *base* up to its
//! *head*. Entries are appended only without gaps, so a log with a given head has received every entry before it.
//! Entries up to the base can no longer be replayed, and a reader that has not applied them must void its cache.
//!
//! The first entry of an incarnation names the position that its replica had recovered ([`Entry::previous`]). Entries
//! that an older incarnation published beyond that position were never held by a majority, so they were never done and
//! may be skipped.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::{Position, ReplicaId};
use crate::version_vector::VersionVector;

/// Maximum encoded size of a run without its keys.
const MAX_RUN_HEADER_BYTES: usize = 36;
/// Maximum encoded size of a key's length prefix.
const MAX_KEY_HEADER_BYTES: usize = 2;

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position of the entry.
    pub position: Position,
    /// Position that must have been applied before the entry.
    pub previous: Position,
    /// Key to purge; empty in the start entry of an incarnation.
    pub key: Vec<u8>,
}

/// Consecutive entries of one replica, as they are sent in messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The replica that published the entries.
    pub replica: ReplicaId,
    /// Position that must have been applied before the first entry.
    pub previous: Position,
    /// Incarnation that the first entry starts; none if the first entry follows `previous` in the same incarnation.
    pub starts: Option<u64>,
    /// Whether the sender no longer holds the entries up to `previous`; the receiving replica moves the base of its
    /// stream there.
    pub rebase: bool,
    /// Keys of the entries, in order.
    pub keys: Vec<Vec<u8>>,
}

impl Run {
    /// The position that a reader reaches by applying the run.
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

/// The entries of one replica that the log holds.
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

/// How far a reader lags behind the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderLag {
    /// Number of entries that the reader lacks, all of which the log holds.
    Entries(usize),
    /// The reader lacks entries that the log no longer holds.
    BelowBase,
}

/// The log of all replicas' purges.
#[derive(Clone, Debug)]
pub struct Log {
    streams: BTreeMap<ReplicaId, Stream>,
    /// The publishing replica of each entry, in order of arrival: the oldest entries are trimmed first.
    arrival_order: VecDeque<ReplicaId>,
    capacity: usize,
    trimmed: u64,
}

impl Log {
    /// Creates an empty log that holds at most `capacity` entries.
    pub fn new(capacity: usize) -> Log {
        Log {
            streams: BTreeMap::new(),
            arrival_order: VecDeque::new(),
            capacity: capacity.max(1),
            trimmed: 0,
        }
    }

    /// The number of entries in the log.
    pub fn len(&self) -> usize {
        self.arrival_order.len()
    }

    /// Whether the log has no entries.
    pub fn is_empty(&self) -> bool {
        self.arrival_order.is_empty()
    }

    /// The number of entries trimmed since the start.
    pub fn trimmed(&self) -> u64 {
        self.trimmed
    }

    /// The last position of a replica's stream.
    pub fn head(&self, replica: ReplicaId) -> Position {
        self.streams.get(&replica).map_or(Position::ZERO, |stream| stream.head)
    }

    /// The position after which the log holds a replica's entries.
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

    /// Appends an entry if it follows the head without a gap; returns whether it was appended.
    pub fn append(&mut self, replica: ReplicaId, entry: Entry) -> bool {
        let stream = self.streams.entry(replica).or_default();
        if stream.head < entry.previous || stream.head >= entry.position {
            return false;
        }
        stream.head = entry.position;
        stream.entries.push_back(entry);
        self.arrival_order.push_back(replica);
        self.trim();
        true
    }

    /// Appends the entries of a run that follow the head; returns whether any was appended.
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

    /// Restarts a stream at a base whose earlier entries are unavailable: readers below the base must void their cache.
    pub fn rebase(&mut self, replica: ReplicaId, base: Position) {
        let stream = self.streams.entry(replica).or_default();
        if stream.head >= base {
            return;
        }
        let dropped = stream.entries.len();
        *stream = Stream { base, head: base, entries: VecDeque::new() };
        if dropped > 0 {
            self.trimmed += dropped as u64;
            self.arrival_order.retain(|arrival| *arrival != replica);
        }
    }

    fn trim(&mut self) {
        while self.arrival_order.len() > self.capacity {
            let Some(oldest) = self.arrival_order.pop_front() else { return };
            let Some(stream) = self.streams.get_mut(&oldest) else { continue };
            if let Some(entry) = stream.entries.pop_front() {
                stream.base = entry.position;
                self.trimmed += 1;
            }
        }
    }

    /// How far a reader that has applied this vector lags behind.
    pub fn reader_lag(&self, applied: &VersionVector) -> ReaderLag {
        let mut lag = 0;
        for (replica, stream) in &self.streams {
            let position = applied.get(*replica);
            if position < stream.base {
                return ReaderLag::BelowBase;
            }
            lag += stream.entries.len() - stream.index_after(position);
        }
        ReaderLag::Entries(lag)
    }

    /// The entries that a reader at these positions lacks, as many as fit into `budget` bytes, and whether there are
    /// more. [`Run::rebase`] is set where the reader is below the base of a stream.
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
                // The whole stream has been trimmed: the run carries only its base.
                if budget < MAX_RUN_HEADER_BYTES {
                    return (runs, true);
                }
                budget -= MAX_RUN_HEADER_BYTES;
                let run =
                    Run { replica: *replica, previous: stream.base, starts: None, rebase, keys: vec![] };
                runs.push(run);
                continue;
            }
            let mut last: Option<Position> = None;
            for entry in entries {
                let begins_run = last.is_none_or(|last| last.next() != entry.position);
                let run_bytes = if begins_run { MAX_RUN_HEADER_BYTES } else { 0 };
                let bytes = run_bytes + MAX_KEY_HEADER_BYTES + entry.key.len();
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
