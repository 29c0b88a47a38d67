//! Timing of periodic rounds: a minimum interval between two rounds, and a backoff for rounds without a result.

#[cfg(test)]
mod tests;

use juniperladder::Micros;

/// Enforces a minimum interval between rounds; the first round is due at once.
#[derive(Debug, Default)]
pub(crate) struct Interval {
    /// When the last round began; `Micros::ZERO` if none has begun.
    last_round: Micros,
}

impl Interval {
    /// Begins a round if it is due, that is, at least `interval` after the previous one; returns whether it began.
    pub(crate) fn begin_if_due(&mut self, now: Micros, interval: Micros) -> bool {
        let is_due = now >= self.last_round + interval;
        if is_due {
            self.last_round = now;
        }
        is_due
    }
}

/// Enforces an interval between rounds that doubles, up to a maximum, while rounds have no result.
#[derive(Debug)]
pub(crate) struct Backoff {
    shortest: Micros,
    longest: Micros,
    current: Micros,
    rounds: Interval,
}

impl Backoff {
    /// Creates a backoff that begins with the shortest interval.
    pub(crate) fn new(shortest: Micros, longest: Micros) -> Backoff {
        Backoff { shortest, longest, current: shortest, rounds: Interval::default() }
    }

    /// Begins a round if it is due; returns whether it began.
    pub(crate) fn begin_if_due(&mut self, now: Micros) -> bool {
        self.rounds.begin_if_due(now, self.current)
    }

    /// Doubles the interval before the next round, up to the longest.
    pub(crate) fn lengthen(&mut self) {
        self.current = (self.current * 2).min(self.longest);
    }

    /// Resets the interval before the next round to the shortest.
    pub(crate) fn reset(&mut self) {
        self.current = self.shortest;
    }
}
