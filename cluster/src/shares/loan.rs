//! A loan as its owner keeps it, and as its borrower does.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperladder::Micros;

/// The owner's side of a loan.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loan {
    pub(super) to: SocketAddr,
    pub(super) life: u64,
    /// The newest question of this borrower.
    pub(super) sent: Micros,
    pub(super) units: u32,
    /// Until then they are not the owner's to use.
    pub(super) until: Micros,
}

/// The borrower's side.
#[derive(Clone, Debug)]
pub(super) struct Borrowed {
    pub(super) from: SocketAddr,
    /// What may be used while the lease lives.
    pub(super) units: u32,
    /// What is to be held: more than `units` while it is asked for, less while it is given back.
    pub(super) want: u32,
    pub(super) until: Micros,
    /// The newest question that was answered.
    pub(super) heard: Micros,
    /// The questions of the last lease: when, and for how many.
    pub(super) asked: VecDeque<(Micros, u32)>,
    /// How many more the lender said it could lend.
    pub(super) spare: u32,
    /// Whether a question of the last ones had to be repeated.
    pub(super) lossy: bool,
}

impl Borrowed {
    /// What may be used now.
    pub(super) fn usable(&self, now: Micros) -> u32 {
        if now < self.until {
            self.units.min(self.want)
        } else {
            0
        }
    }

    /// Since when a question has waited for its answer.
    pub(super) fn unanswered(&self) -> Option<Micros> {
        self.asked.iter().map(|(at, _)| *at).find(|at| *at > self.heard)
    }

    /// When it was last asked; zero, never.
    pub(super) fn last_asked(&self) -> Micros {
        self.asked.back().map_or(Micros::ZERO, |(at, _)| *at)
    }
}
