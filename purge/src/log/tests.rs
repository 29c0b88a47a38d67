//! Tests of the log.

use super::*;

const PUBLISHER: ReplicaId = ReplicaId(3);

fn at(incarnation: u64, sequence: u64) -> Position {
    Position { incarnation, sequence }
}

/// The first `count` entries of an incarnation; the start entry follows position `after`.
fn stream_entries(incarnation: u64, after: Position, count: u64) -> Vec<Entry> {
    let position = |sequence| at(incarnation, sequence);
    let previous = |sequence| if sequence == 1 { after } else { position(sequence - 1) };
    (1..=count)
        .map(|sequence| Entry {
            position: position(sequence),
            previous: previous(sequence),
            key: if sequence == 1 { Vec::new() } else { vec![sequence as u8; 20] },
        })
        .collect()
}

fn log_with_entries(entries: &[Entry], capacity: usize) -> Log {
    let mut log = Log::new(capacity);
    for entry in entries {
        assert!(log.append(PUBLISHER, entry.clone()));
    }
    log
}

fn reader_at(position: Position) -> VersionVector {
    let mut vector = VersionVector::default();
    vector.raise(PUBLISHER, position);
    vector
}

#[test]
fn entries_are_appended_once_and_without_gaps() {
    let entries = stream_entries(1, Position::ZERO, 4);
    let mut log = Log::new(100);
    assert!(!log.append(PUBLISHER, entries[1].clone()), "an entry after a gap was appended");
    for entry in &entries {
        assert!(log.append(PUBLISHER, entry.clone()));
        assert!(!log.append(PUBLISHER, entry.clone()), "a duplicate entry was appended");
    }
    assert_eq!((log.head(PUBLISHER), log.len()), (at(1, 4), 4));
}

#[test]
fn a_new_incarnation_skips_only_old_entries_beyond_its_recovered_position() {
    let old = stream_entries(1, Position::ZERO, 7);
    let new = stream_entries(2, at(1, 5), 3);
    let mut holds_more = log_with_entries(&old, 100);
    assert!(holds_more.append(PUBLISHER, new[0].clone()));
    let mut holds_less = log_with_entries(&old[..4], 100);
    assert!(!holds_less.append(PUBLISHER, new[0].clone()));
    assert!(holds_less.append(PUBLISHER, old[4].clone()) && holds_less.append(PUBLISHER, new[0].clone()));
    assert!(!holds_less.append(PUBLISHER, old[5].clone()), "an entry of the old incarnation was appended");
}

#[test]
fn the_oldest_entries_are_trimmed_and_a_reader_without_them_is_below_the_base() {
    let log = log_with_entries(&stream_entries(1, Position::ZERO, 50), 10);
    assert_eq!((log.len(), log.trimmed(), log.base(PUBLISHER)), (10, 40, at(1, 40)));
    assert_eq!(log.reader_lag(&reader_at(at(1, 40))), ReaderLag::Entries(10));
    assert_eq!(log.reader_lag(&reader_at(at(1, 39))), ReaderLag::BelowBase);
    assert_eq!(log.reader_lag(&reader_at(at(1, 50))), ReaderLag::Entries(0));
}

/// Guards against runs that skip or repeat entries: a reader at any position reaches the head through runs of bounded
/// size and receives every entry after its position.
#[test]
fn a_reader_at_any_position_catches_up_through_bounded_runs() {
    let mut log = log_with_entries(&stream_entries(1, Position::ZERO, 9), 100);
    for entry in stream_entries(2, at(1, 6), 9) {
        assert!(log.append(PUBLISHER, entry));
    }
    let positions: Vec<Position> = (0..=9).map(|s| at(1, s)).chain((1..=9).map(|s| at(2, s))).collect();
    for (index, position) in positions.iter().enumerate() {
        for budget in [70, 150, 1_000] {
            let start = if position.sequence == 0 { Position::ZERO } else { *position };
            let mut reader = Log::new(100);
            reader.rebase(PUBLISHER, start);
            loop {
                let (runs, more) = log.runs_after(&reader.vector(), budget);
                let mut appended = false;
                for run in runs {
                    let last = run.last_position();
                    appended |= reader.append_run(run);
                    assert_eq!(reader.head(PUBLISHER), last);
                }
                if !more {
                    break;
                }
                assert!(appended, "a batch of runs did not advance the reader");
            }
            assert_eq!((reader.head(PUBLISHER), reader.len()), (at(2, 9), positions.len() - 1 - index));
        }
    }
}

#[test]
fn a_replica_that_lacks_trimmed_entries_moves_its_stream_to_the_base() {
    let log = log_with_entries(&stream_entries(1, Position::ZERO, 50), 10);
    let mut other = log_with_entries(&stream_entries(1, Position::ZERO, 20), 100);
    let (runs, more) = log.runs_after(&other.vector(), 10_000);
    assert!(!more && runs[0].rebase);
    for run in runs {
        other.append_run(run);
    }
    assert_eq!((other.base(PUBLISHER), other.head(PUBLISHER), other.len()), (at(1, 40), at(1, 50), 10));
    assert_eq!(other.reader_lag(&reader_at(at(1, 20))), ReaderLag::BelowBase);
}

#[test]
fn a_fully_trimmed_stream_is_sent_as_its_base() {
    let mut log = log_with_entries(&stream_entries(1, Position::ZERO, 5), 5);
    for entry in stream_entries(1, Position::ZERO, 5) {
        log.append(ReplicaId(0), entry);
    }
    let mut other = Log::new(100);
    for run in log.runs_after(&VersionVector::default(), 10_000).0 {
        other.append_run(run);
    }
    assert_eq!(other.vector(), log.vector());
    assert_eq!(other.base(PUBLISHER), at(1, 5));
}
