//! The decisions' side of what balancers share: nothing at all where there is nobody to share with. Nothing here decides
//! anything.

use crate::interface::{Common, Entry, Fleet, Micros, RejectReason, State, Status};

/// What is shared, if anything is.
#[derive(Debug, Default)]
pub(crate) struct Together(pub(crate) Option<Box<dyn Fleet>>);

impl Together {
    /// How long one more has to wait; zero where nothing is shared.
    pub(crate) fn wait(&mut self, of: Common, now: Micros) -> Micros {
        self.0.as_mut().and_then(|fleet| fleet.wait(of, now)).unwrap_or_default()
    }

    /// Whether a second copy is within its budget: the own one, or that in common, which stands for it where there is one.
    pub(crate) fn spare(&mut self, now: Micros, own: f64) -> bool {
        self.0
            .as_mut()
            .and_then(|fleet| fleet.wait(Common::Second, now))
            .map_or(own >= 1.0, |wait| wait.0 == 0)
    }

    /// A command was given up: one for which there was no place at the origin had needed one.
    pub(crate) fn ended(&mut self, now: Micros, reason: RejectReason) {
        let needed = matches!(
            reason,
            RejectReason::QueueTimeout | RejectReason::Preempted | RejectReason::DeadlineUnreachable
        );
        self.0.iter_mut().filter(|_| needed).for_each(|fleet| fleet.denied(Common::Origin, now));
    }

    /// A first try has come in.
    pub(crate) fn first(&mut self, now: Micros) {
        self.0.iter_mut().for_each(|fleet| fleet.first(now));
    }

    /// A send goes out: to the origin or to a host, as a second try or not.
    pub(crate) fn sent(&mut self, now: Micros, to: &Entry, origin: bool, second: bool) {
        let Some(fleet) = &mut self.0 else { return };
        fleet.took(if origin { Common::Origin } else { Common::Cold(to.server, to.started) }, now);
        if second {
            fleet.took(Common::Second, now);
        }
    }

    /// The list in hand has changed.
    pub(crate) fn listed<'a>(&mut self, hosts: impl Iterator<Item = &'a Entry>) {
        let Some(fleet) = &mut self.0 else { return };
        let serving = hosts.filter(|entry| entry.state == State::Serving);
        fleet.listed(&serving.map(|entry| (entry.server, entry.started, entry.zone)).collect::<Vec<_>>());
    }

    /// Whether a host may be sent to as far as the others are concerned.
    pub(crate) fn open(&mut self, now: Micros, to: &Entry, heard: Micros, per_s: f64) -> bool {
        let Some(fleet) = &mut self.0 else { return true };
        if fleet.warned(to.server, to.started, heard, per_s, now) {
            return false;
        }
        let cold = Common::Cold(to.server, to.started);
        let full = fleet.wait(cold, now).is_some_and(|wait| wait.0 > 0);
        if full {
            fleet.denied(cold, now);
        }
        !full
    }

    /// How a send to a host ended; one that turned work away is not silent, and tells nothing of the others' sends.
    pub(crate) fn saw(&mut self, now: Micros, at: &Entry, status: Status, rejected: Option<bool>) {
        let silent = match status {
            Status::Ok | Status::Miss if rejected == Some(false) => false,
            Status::Timeout | Status::ConnectFailed if rejected == Some(true) => true,
            _ => return,
        };
        self.0.iter_mut().for_each(|fleet| fleet.saw(at.server, at.started, silent, now));
    }
}
