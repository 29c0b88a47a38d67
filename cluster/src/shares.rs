//! Shares of a limit that holds for all balancers together: escrow with leases.
//!
//! # Guarantee
//!
//! Requests may differ by up to `spread` s in the time that they take to whoever counts them. A limit of `whole` requests a
//! second is cut into `whole` times 1 + s *units*. A unit is the right to one request in any window of 1 + s seconds. Each
//! unit has an owner, by position in the fleet; the owner uses it or lends it. Whatever is lost, late, repeated or in disorder,
//! whoever is cut off, killed, started anew without memory or frozen: **in no second do more than `whole` times 1 + s requests
//! of all holders together arrive**, as long as clocks run within the stated drift of each other and no two processes live at
//! one position.
//!
//! # Why
//!
//! A unit is at any moment in one place: usable by its owner, usable by one borrower, or locked. A borrower counts its
//! lease from when it *sent* the request that was granted; the owner locks the unit from when it *received* it, for the
//! lease, the drift and one window more. So when the owner has it again, the borrower's last use is a window old. What is
//! given back early, or lent, leaves only while its holder's uses in the last window fit into what it keeps. A process
//! that starts uses and lends nothing of its own until all that an earlier life of it may have lent or used has lapsed.
//! Hence a holder's uses in the last window never exceed its usable units and those that lapsed from it within the window
//! (which their owner still locks), and the sum over all holders never exceeds the units. What arrives within a second began
//! within one window.
//!
//! # What it does not need
//!
//! No keeper, no agreement, no count of who is alive: a part of the fleet that is cut off has what its own members own,
//! and a member that hears nobody has its own part, as if the limit were split by count.

mod lending;
mod loan;
mod message;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::injected_defect::InjectedDefect;
use crate::interval::{Backoff, Interval};
use juniperladder::Micros;
use loan::{Borrowed, Loan};
pub use message::{Hold, Lent, Message, Terms};

/// Between two rounds of asking, doubled up to the longest while a round brings nothing.
const ASK_EVERY: Micros = Micros::from_millis(100);
const ASK_SELDOM: Micros = Micros::from_millis(800);
/// How long what is not needed any more is kept, in case it is needed again.
const KEEP: Micros = Micros::SECOND;
/// How long a request waits at first where there is no unit at all.
const MOMENT: Micros = Micros::from_millis(50);
/// Units that a member asks for beyond those it has while a request waits for one.
const BURST: u32 = 2;
/// Over how long the demand is averaged.
const DEMAND: f64 = 1.5e6;

/// What operators see of a limit at one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// All units, of all members.
    pub whole: u32,
    /// What belongs to this member.
    pub own: u32,
    /// What it may use now.
    pub held: u32,
    /// What it has used in the last window.
    pub used: u32,
    /// What it has lent, or has locked for a while after.
    pub lent: u32,
    /// What it has borrowed.
    pub borrowed: u32,
    /// What it lately needed.
    pub wanted: u32,
    /// Microseconds since a lender or borrower was last heard; none, never.
    pub contact: Option<Micros>,
    /// Microseconds spent with less than was wanted.
    pub short: Micros,
    /// Requests that found no unit free, all told.
    pub denied: u64,
}

impl Figures {
    /// These and others, of another limit, in one: sums, and the latest contact.
    pub fn with(&self, other: &Figures) -> Figures {
        Figures {
            whole: self.whole + other.whole,
            own: self.own + other.own,
            held: self.held + other.held,
            used: self.used + other.used,
            lent: self.lent + other.lent,
            borrowed: self.borrowed + other.borrowed,
            wanted: self.wanted + other.wanted,
            contact: self.contact.into_iter().chain(other.contact).min(),
            short: self.short + other.short,
            denied: self.denied + other.denied,
        }
    }
}

/// One member's part of one limit.
#[derive(Debug)]
pub struct Shares {
    terms: Terms,
    life: u64,
    own: u32,
    /// From when on what is its own may be used: all that an earlier life may have lent has lapsed by then.
    from: Micros,
    lent: Vec<Loan>,
    borrowed: Vec<Borrowed>,
    /// The uses of the last window, in order.
    uses: VecDeque<Micros>,
    rate: f64,
    counted: Micros,
    asking: Backoff,
    held_then: u32,
    recalls: Interval,
    surplus: Option<Micros>,
    contact: Option<Micros>,
    short: Micros,
    ticked: Micros,
    denied: u64,
    /// Whether a request has found no unit free since the last tick.
    pressed: bool,
    out: Vec<(SocketAddr, Message)>,
    flaw: InjectedDefect<Flaw>,
}

impl Shares {
    /// The part of the member at this position, which starts its life now. `life` is another in each life.
    pub fn new(terms: Terms, position: u32, life: u64, now: Micros) -> Shares {
        Shares::of(terms, terms.own(position), life, now + terms.lock(), now)
    }

    /// The part of a member that owns so many units, and may use them from a time on at which all that an earlier life of it
    /// may have used or lent of this limit has lapsed.
    pub fn of(terms: Terms, own: u32, life: u64, from: Micros, now: Micros) -> Shares {
        Shares {
            terms,
            life,
            own,
            from,
            lent: Vec::new(),
            borrowed: Vec::new(),
            uses: VecDeque::new(),
            rate: 0.0,
            counted: now,
            asking: Backoff::new(ASK_EVERY, ASK_SELDOM),
            held_then: 0,
            recalls: Interval::default(),
            surplus: None,
            contact: None,
            short: Micros::ZERO,
            ticked: now,
            denied: 0,
            pressed: false,
            out: Vec::new(),
            flaw: InjectedDefect::none(),
        }
    }

    /// From now on so many units belong to this member; never fewer than did.
    pub fn grow(&mut self, own: u32) {
        self.own = self.own.max(own);
    }

    /// How long a request has to wait for a unit; zero, one may begin now. Without any unit it is a moment: something may
    /// be lent by then.
    pub fn wait(&mut self, now: Micros) -> Micros {
        let (used, held) = (self.used(now), self.held(now) as usize);
        if used < held {
            return Micros::ZERO;
        }
        self.pressed = true;
        let window = self.terms.window();
        match held {
            0 => MOMENT,
            // As many have to be over as are too many, and one.
            _ => (self.uses[used - held] + window).saturating_sub(now).max(Micros(1)),
        }
    }

    /// A request begins. The caller has asked [`Shares::wait`] at the same time.
    pub fn took(&mut self, now: Micros) {
        self.demand(now);
        self.uses.push_back(now);
    }

    /// A request that needed a unit was given up for want of one.
    pub fn denied(&mut self, now: Micros) {
        self.demand(now);
        self.denied += 1;
    }

    fn demand(&mut self, now: Micros) {
        self.settle(now);
        self.rate += 1.0 / DEMAND;
    }

    /// Lets the average of the demand fall with time.
    fn settle(&mut self, now: Micros) {
        self.rate *= (-((now - self.counted).as_f64()) / DEMAND).exp();
        self.counted = now;
    }

    /// Requests begun within the last window.
    fn used(&mut self, now: Micros) -> usize {
        let window = self.terms.window();
        while self.uses.front().is_some_and(|at| *at + window <= now) {
            self.uses.pop_front();
        }
        self.uses.len()
    }

    /// Units that belong to this member and may be used by it now.
    fn own_usable(&self, now: Micros) -> u32 {
        if now < self.from {
            return 0;
        }
        self.own.saturating_sub(self.lent_out(now))
    }

    /// Units that are lent or locked.
    fn lent_out(&self, now: Micros) -> u32 {
        self.lent.iter().filter(|loan| loan.until > now).map(|loan| loan.units).sum()
    }

    /// Units that are borrowed under a live lease.
    fn borrowed_usable(&self, now: Micros) -> u32 {
        self.borrowed.iter().map(|one| one.usable(now)).sum()
    }

    /// Units that this member may use now.
    pub fn held(&self, now: Micros) -> u32 {
        self.own_usable(now) + self.borrowed_usable(now)
    }

    /// What this member lately needed, in units.
    fn wanted(&self) -> u32 {
        (self.rate * (Micros::SECOND + self.terms.spread).as_f64() * 1.05 + 0.3) as u32
    }

    /// What goes out.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.out.drain(..)
    }

    /// What operators see.
    pub fn figures(&mut self, now: Micros, whole: u32) -> Figures {
        self.settle(now);
        Figures {
            whole,
            own: self.own,
            held: self.held(now),
            used: self.used(now) as u32,
            lent: self.lent_out(now),
            borrowed: self.borrowed_usable(now),
            wanted: self.wanted(),
            contact: self.contact.map(|at| now.saturating_sub(at)),
            short: self.short,
            denied: self.denied,
        }
    }

    /// A message has come from a member.
    pub fn heard(&mut self, now: Micros, from: SocketAddr, message: Message) {
        self.contact = Some(now);
        match message {
            Message::Hold(hold) => self.asked_for(now, from, hold),
            Message::Lent(lent) => self.answered(now, from, lent),
        }
    }

    /// This member leaves: what it has borrowed is given back where its uses of the last window allow it.
    pub fn leave(&mut self, now: Micros) {
        self.own = 0;
        self.give_all_back(now);
    }

    /// Does what is due: renews, asks, gives back. To be called every 50 ms or so; `peer` draws a member to ask.
    pub fn tick(&mut self, now: Micros, mut peer: impl FnMut() -> Option<SocketAddr>) {
        self.settle(now);
        self.lent.retain(|loan| loan.until > now);
        let held = self.held(now);
        // Who waits now needs more now, though on average it has enough.
        let (usual, pressed) = (self.wanted(), std::mem::take(&mut self.pressed));
        let wanted = if pressed && usual <= held { held + BURST } else { usual };
        if held < wanted {
            self.short += now.saturating_sub(self.ticked);
        }
        self.ticked = now;
        self.surplus = if held > wanted { self.surplus.or(Some(now)) } else { None };
        if self.surplus.is_some_and(|since| since + KEEP <= now) {
            self.give_back(now, held - wanted);
        }
        if held >= wanted {
            self.asking.reset();
        } else if self.asking.is_due(now) {
            // Where there was nothing to be had, there soon is none again.
            if held > self.held_then {
                self.asking.reset();
            } else {
                self.asking.lengthen();
            }
            self.held_then = held;
            self.ask(now, wanted - held, &mut peer);
        }
        self.renew(now);
    }
}

/// The ways in which tests break a machine on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// A lease counts from its receipt.
    LeaseFromReceipt,
    /// An older question takes and gives back like a newer one.
    OrderNotKept,
    /// A new life's question stands for the old one's.
    OldLifeObeyed,
}
