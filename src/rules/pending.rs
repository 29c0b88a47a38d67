//! A request in hand, and what may still be done with it: rules 1 and 2 hold here or nowhere.

use crate::interface::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) sent: Micros,
    pub(super) fate: Fate,
}

/// A request in hand. Every send and refusal asks it first: rules 1 and 2 hold here or nowhere.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) request: Request,
    pub(super) aim: Micros,
    pub(super) useful: Micros,
    pub(super) attempts: Vec<Attempt>,
    pub(super) missed: bool,
    /// Whether the last attempt was turned away as full.
    pub(super) full: bool,
    /// How many attempts came before the last wait: their servers may be asked again.
    pub(super) waited: usize,
    pub(super) streaming: bool,
    pub(super) token: u64,
}

impl Pending {
    pub(super) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.fate != Fate::NeverRan)
    }

    pub(super) fn may_send(&self, now: Micros, to: &Entry, class: &Class, limits: &Limits) -> bool {
        let out = self.attempts.iter().any(|a| a.fate == Fate::Out);
        let left = (self.attempts.len() as u32) < limits.max_attempts.max(1);
        let open = !self.streaming && now < self.request.deadline && to.state == State::Serving;
        if out || !left || !open {
            return false;
        }
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => self.may_have_run().next().is_none(),
            Effect::Keyed => self.may_have_run().all(|a| {
                let near = match class.group {
                    Group::All => true,
                    Group::Zone => a.zone == to.zone,
                    Group::Cell => a.cell == to.cell,
                };
                near && now.minus(a.sent) < class.window
            }),
        }
    }

    pub(super) fn may_refuse(&self, class: &Class) -> bool {
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => self.may_have_run().next().is_none(),
            Effect::Keyed => class.group == Group::All || self.may_have_run().next().is_none(),
        }
    }
}

/// A class index that the settings lack names the last class.
pub(super) fn class_of<'a>(settings: &'a Settings, request: &Request) -> &'a Class {
    let last = settings.classes.len() - 1;
    &settings.classes[(request.class as usize).min(last)]
}
