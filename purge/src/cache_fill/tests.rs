//! Tests of the fill guard: a cache must never hold a value older than a purge, in any interleaving of small histories.

use super::*;

/// A step in the history of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// A request misses: fill `n` begins.
    Begin(usize),
    /// Fill `n` reads the origin.
    Read(usize),
    /// Fill `n` ends, and its value is stored if the guard allows it.
    Finish(usize),
    /// The origin's value changes, and a purge is published.
    Write,
    /// The purge is applied at the cache.
    Purge,
    /// The cache is voided.
    Void,
}

/// A cache of one key, and its origin. Values are version numbers.
struct Cache {
    guard: FillGuard,
    origin: u32,
    /// The least version that may be held since the last purge or void.
    purged: u32,
    held: Option<u32>,
    /// Token of each fill that has begun, and the value that the fill has read.
    fills: Vec<(Option<FillToken>, u32)>,
    /// Number of fills whose value was stored.
    kept: u32,
}

impl Cache {
    fn new(fills: usize, capacity: usize) -> Cache {
        Cache {
            guard: FillGuard::new(capacity),
            origin: 0,
            purged: 0,
            held: None,
            fills: vec![(None, 0); fills],
            kept: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Begin(fill) => self.fills[fill].0 = Some(self.guard.begin_fill(b"key")),
            Step::Read(fill) => self.fills[fill].1 = self.origin,
            Step::Finish(fill) => {
                let token = self.fills[fill].0.expect("the fill began");
                if self.guard.finish_fill(token) == FillOutcome::Keep {
                    self.held = Some(self.fills[fill].1);
                    self.kept += 1;
                }
            }
            Step::Write => self.origin += 1,
            Step::Purge => {
                self.guard.apply(&PurgeEvent::Key(b"key".to_vec()));
                (self.held, self.purged) = (None, self.origin);
            }
            Step::Void => {
                self.guard.apply(&PurgeEvent::DiscardAll);
                (self.held, self.purged) = (None, self.origin);
            }
        }
        assert!(
            self.held.is_none_or(|held| held >= self.purged),
            "the cache holds a value older than the last purge"
        );
    }
}

/// Calls `visit` with each interleaving of the sequences.
fn interleave(sequences: &[Vec<Step>], visit: &mut impl FnMut(&[Step])) {
    fn extend(rest: &mut Vec<&[Step]>, prefix: &mut Vec<Step>, visit: &mut impl FnMut(&[Step])) {
        if rest.iter().all(|sequence| sequence.is_empty()) {
            visit(prefix);
            return;
        }
        for index in 0..rest.len() {
            let Some((step, remaining)) = rest[index].split_first() else { continue };
            let before = std::mem::replace(&mut rest[index], remaining);
            prefix.push(*step);
            extend(rest, prefix, visit);
            prefix.pop();
            rest[index] = before;
        }
    }
    let mut rest: Vec<&[Step]> = sequences.iter().map(Vec::as_slice).collect();
    extend(&mut rest, &mut Vec::new(), visit);
}

fn fill(number: usize) -> Vec<Step> {
    vec![Step::Begin(number), Step::Read(number), Step::Finish(number)]
}

#[test]
fn no_interleaving_stores_a_value_read_before_a_purge() {
    let writers = [
        vec![Step::Write, Step::Purge],
        vec![Step::Write, Step::Void],
        vec![Step::Write, Step::Purge, Step::Write, Step::Purge],
        vec![Step::Purge, Step::Purge, Step::Void],
    ];
    let (mut histories, mut kept, mut discarded) = (0, 0, 0);
    for writer in writers {
        for capacity in [0, 1, 2, 3] {
            let sequences = [fill(0), fill(1), writer.clone()];
            interleave(&sequences, &mut |steps| {
                let mut cache = Cache::new(2, capacity);
                steps.iter().for_each(|step| cache.apply(*step));
                histories += 1;
                kept += cache.kept;
                discarded += 2 - cache.kept;
                assert!(
                    cache.guard.is_empty() && cache.guard.by_key.is_empty(),
                    "the guard still tracks fills that have ended"
                );
                assert!(capacity > 0 || cache.kept == 0);
            });
        }
    }
    assert!(histories > 10_000 && kept > 1_000 && discarded > 1_000, "{histories} {kept} {discarded}");
}

#[test]
fn no_interleaving_of_three_fills_and_two_purges_stores_an_old_value() {
    let writer = vec![Step::Write, Step::Purge, Step::Purge];
    let mut histories = 0;
    interleave(&[fill(0), fill(1), fill(2), writer], &mut |steps| {
        let mut cache = Cache::new(3, 2);
        steps.iter().for_each(|step| cache.apply(*step));
        histories += 1;
    });
    assert_eq!(histories, 369_600);
}

#[test]
fn a_purge_discards_only_fills_of_its_key_and_fills_beyond_the_capacity_are_discarded() {
    let mut guard = FillGuard::new(2);
    let (one, two) = (guard.begin_fill(b"one"), guard.begin_fill(b"two"));
    let beyond = guard.begin_fill(b"three");
    assert_eq!(guard.len(), 2);
    guard.purge(b"one");
    assert_eq!(guard.finish_fill(one), FillOutcome::Discard);
    assert_eq!(guard.finish_fill(two), FillOutcome::Keep);
    assert_eq!(guard.finish_fill(two), FillOutcome::Discard, "a token was accepted twice");
    assert_eq!(guard.finish_fill(beyond), FillOutcome::Discard);
}
