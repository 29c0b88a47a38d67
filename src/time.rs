//! Time as the decisions see it.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A time or a duration in whole microseconds, on the clock of the caller.
///
/// Sums and differences stop at the largest value and at zero, so that times that a peer states cannot
/// overflow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// No time; as a point in time, the start of the clock.
    pub const ZERO: Micros = Micros(0);
    /// One second.
    pub const SECOND: Micros = Micros(1_000_000);

    /// So many milliseconds.
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis * 1_000)
    }

    /// So many seconds.
    pub const fn from_secs(seconds: u64) -> Micros {
        Micros(seconds * Micros::SECOND.0)
    }

    /// Whether this is no time at all.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Sum, stopping at the largest value.
    pub const fn saturating_add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }

    /// Difference, stopping at zero.
    pub const fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// This duration times a factor; a factor below zero or NaN gives zero.
    pub fn mul_f64(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }

    /// The number of microseconds, for arithmetic with rates and shares.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, other: Micros) -> Micros {
        self.saturating_add(other)
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}

impl Sub for Micros {
    type Output = Micros;

    fn sub(self, other: Micros) -> Micros {
        self.saturating_sub(other)
    }
}

/// A multiple, stopping at the largest value.
impl Mul<u64> for Micros {
    type Output = Micros;

    fn mul(self, factor: u64) -> Micros {
        Micros(self.0.saturating_mul(factor))
    }
}

/// A part, in whole microseconds.
impl Div<u64> for Micros {
    type Output = Micros;

    fn div(self, divisor: u64) -> Micros {
        Micros(self.0 / divisor)
    }
}
