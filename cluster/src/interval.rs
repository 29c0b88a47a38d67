//! When something is due again: a minimum interval between two rounds, and a backoff while rounds bring nothing.

#[cfg(test)]
mod tests;

use juniperladder::Micros;

/// Keeps rounds an interval apart; the first is due at once.
#[derive(Debug, Default)]
pub(crate) struct Interval {
    /// When the last round began; `Micros::ZERO` if there was none.
    last_round: Micros,
}

impl Interval {
    /// Whether a round is due, at least `interval` after the one before. One that is due counts as begun.
    pub(crate) fn is_due(&mut self, now: Micros, interval: Micros) -> bool {
        let is_due = now >= self.last_round + interval;
        if is_due {
            self.last_round = now;
        }
        is_due
    }
}

/// Keeps rounds apart by an interval that doubles, up to a longest one, while they bring nothing.
#[derive(Debug)]
pub(crate) struct Backoff {
    shortest: Micros,
    longest: Micros,
    current: Micros,
    rounds: Interval,
}

impl Backoff {
    /// Rounds that are `shortest` apart at first.
    pub(crate) fn new(shortest: Micros, longest: Micros) -> Backoff {
        Backoff { shortest, longest, current: shortest, rounds: Interval::default() }
    }

    /// Whether a round is due; one that is due counts as begun.
    pub(crate) fn is_due(&mut self, now: Micros) -> bool {
        self.rounds.is_due(now, self.current)
    }

    /// The next round comes after twice the interval, but no more than the longest.
    pub(crate) fn lengthen(&mut self) {
        self.current = (self.current * 2).min(self.longest);
    }

    /// The next round comes after the shortest interval.
    pub(crate) fn reset(&mut self) {
        self.current = self.shortest;
    }
}
