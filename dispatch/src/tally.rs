//! How requests ended, as the figures tell it, and the long values that are on their way.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How requests ended, by class; and the values that are on their way.
#[derive(Debug)]
pub struct Tally {
    ended: RefCell<Vec<[u64; 3]>>,
    passing: Cell<usize>,
}

/// How a request ended, as the figures tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a value or a receipt.
    Passed,
    /// With a rejection.
    Dropped,
    /// Without either.
    Failed,
}

impl Tally {
    /// Nothing has ended yet, in any of so many classes.
    pub fn new(classes: usize) -> Rc<Tally> {
        Rc::new(Tally { ended: RefCell::new(vec![[0; 3]; classes.max(1)]), passing: Cell::new(0) })
    }

    /// A request of this class has ended; a class that the settings lack counts as the last.
    pub fn count(&self, class: u32, how: Ended) {
        let mut ended = self.ended.borrow_mut();
        let last = ended.len() - 1;
        ended[(class as usize).min(last)][how as usize] += 1;
    }

    /// How many ended so, for each class.
    pub fn ended(&self, how: Ended) -> Vec<u64> {
        self.ended.borrow().iter().map(|counts| counts[how as usize]).collect()
    }

    /// Long values on their way to their clients.
    pub fn passing(&self) -> usize {
        self.passing.get()
    }
}

/// A long value on its way: it has passed once the client has it whole, and failed if it breaks off.
#[derive(Debug)]
pub(crate) struct Passing {
    tally: Rc<Tally>,
    class: u32,
    whole: Cell<bool>,
}

impl Passing {
    /// One more is on its way, for a request of this class.
    pub(crate) fn begun(tally: &Rc<Tally>, class: u32) -> Passing {
        tally.passing.set(tally.passing.get() + 1);
        Passing { tally: Rc::clone(tally), class, whole: Cell::new(false) }
    }

    /// The client has it whole.
    pub(crate) fn whole(&self) {
        self.whole.set(true);
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        self.tally.passing.set(self.tally.passing.get() - 1);
        self.tally.count(self.class, if self.whole.get() { Ended::Passed } else { Ended::Failed });
    }
}
