//! A request in hand, and what may still be done with it: rules 1 and 2 hold here or nowhere.

use crate::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) to: Endpoint,
    pub(super) sent: Micros,
    pub(super) fate: Fate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Usual,
    Queued,
    Preempted,
    Booked,
}

#[derive(Debug)]
pub(super) struct Pending {
    pub(super) request: Request,
    pub(super) useful: Micros,
    pub(super) attempts: Vec<Attempt>,
    pub(super) missed: bool,
    pub(super) begun: bool,
    pub(super) token: u64,
    pub(super) step: Step,
}

impl Pending {
    pub(super) fn out(&self) -> Option<&Attempt> {
        self.attempts.iter().rfind(|a| a.fate == Fate::Out)
    }

    pub(super) fn new(request: Request, useful: Micros) -> Pending {
        let (attempts, step) = (vec![], Step::Usual);
        Pending { request, useful, attempts, missed: false, begun: false, token: 0, step }
    }

    pub(super) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.fate != Fate::NeverRan)
    }

    pub(super) fn may_send(&self, now: Micros, to: &Endpoint, class: &Class, limits: &Limits) -> bool {
        let out = self.out().is_some();
        let left = (self.attempts.len() as u32) < limits.max_attempts.max(1);
        let open = !self.begun && now < self.request.deadline && to.state == EndpointState::Serving;
        let twice = class.idempotency == Idempotency::Idempotent && limits.may_duplicate;
        (!out || twice)
            && left
            && open
            && match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NotIdempotent => self.may_have_run().next().is_none(),
                Idempotency::WithIdempotencyKey => self.may_have_run().all(|a| {
                    let near = match class.deduplication_scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => a.to.zone == to.zone,
                        DeduplicationScope::Cell => a.to.cell == to.cell,
                    };
                    near && now.saturating_sub(a.sent) < class.deduplication_window
                }),
            }
    }

    pub(super) fn may_refuse(&self, class: &Class) -> bool {
        let harmless = class.idempotency == Idempotency::WithIdempotencyKey
            && class.deduplication_scope == DeduplicationScope::All;
        class.idempotency == Idempotency::Idempotent || harmless || self.may_have_run().next().is_none()
    }
}
