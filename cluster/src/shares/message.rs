//! What goes between two members about one limit, and the terms that both have to have the same.

use serde::{Deserialize, Serialize};

use juniperladder::Micros;

/// A limit's terms, the same at every member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Requests a second, of all together.
    pub whole: u32,
    /// By how much requests differ in the time that they take to whoever counts them.
    pub spread: Micros,
    /// Among how many positions the whole is divided.
    pub holders: u32,
    /// How long a loan holds after it was last asked for.
    pub lease: Micros,
    /// By which part clocks may run faster or slower than each other.
    pub drift: f64,
}

impl Terms {
    /// The units that so many requests a second are cut into.
    pub fn units_of(&self, per_s: f64) -> u32 {
        (per_s * (Micros::SECOND + self.spread).as_f64() / Micros::SECOND.as_f64() + 1e-9) as u32
    }

    /// All units.
    pub fn units(&self) -> u32 {
        self.units_of(f64::from(self.whole))
    }

    /// The units that belong to a position: they sum up to all; a position beyond the holders owns none.
    pub fn own(&self, position: u32) -> u32 {
        let (whole, holders) = (u64::from(self.units()), u64::from(self.holders.max(1)));
        let up_to = |n: u64| whole * n / holders;
        let position = u64::from(position);
        if position >= holders {
            return 0;
        }
        (up_to(position + 1) - up_to(position)) as u32
    }

    /// The window of a unit: a second and the spread, by whichever clock.
    pub fn window(&self) -> Micros {
        self.beyond(Micros::SECOND + self.spread)
    }

    /// A span that is over by every clock once it is over by one.
    fn beyond(&self, span: Micros) -> Micros {
        Micros((span.as_f64() * (1.0 + 2.0 * self.drift)).ceil() as u64)
    }

    /// From its receipt, how long an owner locks what it has lent.
    pub fn lock(&self) -> Micros {
        self.beyond(self.lease) + self.beyond(self.window())
    }
}

/// A borrower tells a lender how many units of it are wanted or still held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The borrower's life: a process that starts anew has another.
    pub life: u64,
    /// When it was sent, by the borrower's clock.
    #[serde(with = "crate::wire_micros")]
    pub sent: Micros,
    /// How many.
    pub units: u32,
}

/// A lender's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lent {
    /// The borrower's life, as asked.
    pub life: u64,
    /// The time in the question, as asked: the lease counts from then.
    #[serde(with = "crate::wire_micros")]
    pub sent: Micros,
    /// How many are lent.
    pub units: u32,
    /// How many more the lender could lend.
    pub spare: u32,
}

/// What goes between two members about one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A borrower's.
    Hold(Hold),
    /// A lender's.
    Lent(Lent),
}
