//! Time as the decisions see it.

/// A time or a duration in whole microseconds, on the clock of the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// Sum, stopping at the largest value.
    pub fn plus(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }

    /// Difference, stopping at zero.
    pub fn minus(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// This duration times a factor; a factor below zero or NaN gives zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}
