//! Points in time and durations.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point in time or a duration in whole microseconds, on the clock of the caller.
///
/// Additions and subtractions saturate, so that times sent by a peer cannot cause an overflow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// Zero duration; as a point in time, the start of the clock.
    pub const ZERO: Micros = Micros(0);
    /// One second.
    pub const SECOND: Micros = Micros(1_000_000);

    /// A duration of this number of milliseconds.
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis * 1_000)
    }

    /// A duration of this number of seconds.
    pub const fn from_secs(seconds: u64) -> Micros {
        Micros(seconds * Micros::SECOND.0)
    }

    /// Whether the value is zero.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Sum, saturating at the largest value.
    pub const fn saturating_add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }

    /// Difference, saturating at zero.
    pub const fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// The duration times a factor; a negative factor or NaN gives zero.
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

/// Multiplication, saturating at the largest value.
impl Mul<u64> for Micros {
    type Output = Micros;

    fn mul(self, factor: u64) -> Micros {
        Micros(self.0.saturating_mul(factor))
    }
}

/// Division, rounded down to whole microseconds.
impl Div<u64> for Micros {
    type Output = Micros;

    fn div(self, divisor: u64) -> Micros {
        Micros(self.0 / divisor)
    }
}
