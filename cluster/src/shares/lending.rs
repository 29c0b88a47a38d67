//! Both sides of a loan: what the owner locks, and what the borrower may take as its own.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::loan::{Borrowed, Loan};
use super::message::{Hold, Lent, Message};
use super::{Flaw, Shares};
use juniperladder::Micros;

/// How many lenders are asked in one round.
const ASKED: usize = 2;
/// How long a borrower waits before it asks the same lender again that gave it nothing.
const ASK_AGAIN: Micros = Micros::from_millis(600);
/// Renewals within a lease with a lender whose answers come, and with one of whom some are lost; one that is not answered is
/// repeated sooner.
const RENEWALS: u64 = 2;
const RENEWALS_LOST: u64 = 3;
/// Between two times at which an owner asks back what it has lent.
const RECALL_AGAIN: Micros = Micros::from_millis(200);
/// The most lenders of one borrower.
const LENDERS: usize = 64;
/// Questions of a borrower that are remembered: those of one lease, and more than enough of them.
const QUESTIONS: usize = 32;

/// After how long a question that was not answered is asked again, and given up.
const UNANSWERED: Micros = Micros::from_millis(200);
const GIVEN_UP: Micros = Micros::from_millis(1_000);

impl Shares {
    /// What may leave now: not needed here, and the uses of the last window fit into what stays.
    pub(super) fn lendable(&mut self, now: Micros) -> u32 {
        let own = self.own_usable(now);
        let keep = self.wanted().max(1).min(own);
        let free = (self.held(now) as usize).saturating_sub(self.used(now)) as u32;
        (own - keep).min(free)
    }

    /// A borrower says how many it wants or still holds.
    pub(super) fn asked_for(&mut self, now: Micros, from: SocketAddr, hold: Hold) {
        let lendable = self.lendable(now);
        let same =
            |loan: &Loan| loan.to == from && (loan.life == hold.life || self.flaw.is(Flaw::OldLifeObeyed));
        let place = self.lent.iter().position(|loan| same(loan) && loan.until > now);
        let mut loan = match place {
            // What was sent before the newest question is old: it must neither give back nor take.
            Some(place) if self.is_old(&self.lent[place], &hold) => return,
            Some(place) => self.lent.swap_remove(place),
            None => Loan { to: from, life: hold.life, sent: Micros::ZERO, units: 0, until: Micros::ZERO },
        };
        let before = loan.units;
        loan.units =
            if hold.units <= before { hold.units } else { before + lendable.min(hold.units - before) };
        (loan.life, loan.sent) = (hold.life, hold.sent);
        loan.until = now + self.terms.lock();
        let units = loan.units - self.recalled(now).min(loan.units);
        if loan.units > 0 {
            self.lent.push(loan);
        }
        let spare = self.lendable(now);
        let answer = Lent { life: hold.life, sent: hold.sent, units, spare };
        self.out.push((from, Message::Lent(answer)));
    }

    fn is_old(&self, loan: &Loan, hold: &Hold) -> bool {
        hold.sent <= loan.sent && loan.life == hold.life && !self.flaw.is(Flaw::OrderNotKept)
    }

    /// How many an owner that is short itself asks back now: the answer names so many fewer, and they stay locked until
    /// the borrower has said that it holds no more. Not of all borrowers at once.
    fn recalled(&mut self, now: Micros) -> u32 {
        let short = self.wanted().saturating_sub(self.held(now));
        if short == 0 || !self.recalls.is_due(now, RECALL_AGAIN) {
            return 0;
        }
        short
    }

    /// A lender has answered.
    pub(super) fn answered(&mut self, now: Micros, from: SocketAddr, lent: Lent) {
        let lease = self.terms.lease;
        let from_receipt = self.flaw.is(Flaw::LeaseFromReceipt);
        let Some(one) = self.borrowed.iter_mut().find(|one| one.from == from) else { return };
        let known = one.asked.iter().any(|(at, _)| *at == lent.sent);
        if lent.life != self.life || lent.sent <= one.heard || !known {
            return;
        }
        one.lossy = one.asked.iter().filter(|(at, _)| *at > one.heard && *at <= lent.sent).count() > 1;
        (one.heard, one.spare) = (lent.sent, lent.spare);
        let until = if from_receipt { now + lease } else { lent.sent + lease };
        if until <= now {
            return;
        }
        // What was asked for since bounds it: the lender may have heard that by now and freed the rest.
        let since = one.asked.iter().filter(|(at, _)| *at >= lent.sent).map(|(_, units)| *units).min();
        one.units = lent.units.min(since.unwrap_or(0));
        one.until = until;
        one.want = one.want.min(lent.units);
    }

    /// Asks for more: those who said that they have some, then others as they are drawn.
    pub(super) fn ask(&mut self, now: Micros, mut short: u32, peer: &mut impl FnMut() -> Option<SocketAddr>) {
        let mut known: Vec<usize> =
            (0..self.borrowed.len()).filter(|at| self.borrowed[*at].spare > 0).collect();
        known.sort_unstable_by_key(|at| std::cmp::Reverse(self.borrowed[*at].spare));
        let mut asked = 0;
        for at in known {
            if asked == ASKED || short == 0 {
                return;
            }
            let more = self.borrowed[at].spare.min(short);
            self.borrowed[at].spare = 0;
            self.question(now, at, more);
            (asked, short) = (asked + 1, short - more);
        }
        for _ in 0..2 * ASKED {
            if asked == ASKED || short == 0 {
                return;
            }
            let Some(from) = peer() else { return };
            let at = self.borrowed.iter().position(|one| one.from == from);
            if at.is_some_and(|at| now < self.borrowed[at].last_asked() + ASK_AGAIN) {
                continue;
            }
            if at.is_none() && self.borrowed.len() >= LENDERS {
                return;
            }
            let at = at.unwrap_or_else(|| {
                let asked = VecDeque::new();
                let one = Borrowed {
                    from,
                    units: 0,
                    want: 0,
                    until: Micros::ZERO,
                    heard: Micros::ZERO,
                    asked,
                    spare: 0,
                    lossy: false,
                };
                self.borrowed.push(one);
                self.borrowed.len() - 1
            });
            self.question(now, at, short);
            asked += 1;
        }
    }

    /// Asks one lender for so many more than are held of it.
    fn question(&mut self, now: Micros, at: usize, more: u32) {
        let one = &mut self.borrowed[at];
        one.want = one.usable(now) + more;
        self.tell(now, at);
    }

    /// Tells a lender what is wanted of it. Less than it has been told is told only when the uses of the last window fit
    /// into what is left: the lender frees the rest at once.
    fn tell(&mut self, now: Micros, at: usize) {
        let fits = self.used(now) <= self.held(now) as usize;
        let life = self.life;
        let one = &mut self.borrowed[at];
        let before = one.asked.iter().map(|(_, units)| *units).max().unwrap_or(0).max(one.units);
        if one.want < before && !fits {
            return;
        }
        // Two questions of one moment could not be told apart.
        let sent = now.max(one.last_asked() + Micros(1));
        one.asked.push_back((sent, one.want));
        if one.asked.len() > QUESTIONS {
            one.asked.pop_front();
        }
        // What it has been told is given back is the lender's from now on, whatever is wanted of it later.
        one.units = one.units.min(one.want);
        self.out.push((one.from, Message::Hold(Hold { life, sent, units: one.want })));
    }

    /// Gives everything back that can be given back now; the rest lapses.
    pub(super) fn give_all_back(&mut self, now: Micros) {
        self.borrowed.iter_mut().for_each(|one| one.want = 0);
        (0..self.borrowed.len()).for_each(|at| self.tell(now, at));
    }

    /// Wants so many less of its lenders, the smallest loans first: fewer lenders are fewer packets.
    pub(super) fn give_back(&mut self, now: Micros, mut surplus: u32) {
        self.borrowed.sort_unstable_by_key(|one| one.usable(now));
        for at in 0..self.borrowed.len() {
            let one = &mut self.borrowed[at];
            let less = one.usable(now).min(surplus);
            if less > 0 {
                one.want = one.usable(now) - less;
                surplus -= less;
            }
        }
    }

    /// Renews what is held, asks again where no answer came, and says what is given back.
    pub(super) fn renew(&mut self, now: Micros) {
        let (lease, window) = (self.terms.lease, self.terms.window());
        for at in 0..self.borrowed.len() {
            let one = &mut self.borrowed[at];
            let live = now < one.until && one.units > 0;
            let since = one.unanswered();
            if !live && since.is_none_or(|since| now >= since + GIVEN_UP) {
                // What was asked for and not given is not wanted of this lender any more.
                (one.units, one.want) = (0, 0);
            }
            let told = one.asked.back().map_or(0, |(_, units)| *units);
            let every = lease / if one.lossy { RENEWALS_LOST } else { RENEWALS };
            let wait = if since.is_some() { UNANSWERED } else { every };
            let again = (live || one.want > 0) && now >= one.last_asked() + wait;
            if one.want < told || again {
                self.tell(now, at);
            }
        }
        // A lender is forgotten once nothing that was borrowed of it was used within the window.
        self.borrowed.retain(|one| now < one.until + window || now < one.last_asked() + window);
    }
}
