//! When discovery is called next.
//!
//! Inputs are the endpoint updates, failed calls and broken watches, and the site's poll interval, of which
//! all times are shares. Times are drawn, so that a fleet that starts together, or whose watches break
//! together, does not call discovery all at once. A list that comes in ends all waits: its watch is open
//! then.

use crate::endpoint::EndpointUpdate;
use crate::settings::Settings;
use crate::time::Micros;

/// Longest poll interval that is reckoned with; the shares below are of the site's interval up to this.
pub const MAX_POLL_INTERVAL: Micros = Micros::from_secs(10);
/// Share of the interval over which balancers of a full-size fleet that start together call discovery.
pub const START_SPREAD_SHARE: f64 = 0.33;
/// Balancers from which on a start is spread over the whole of that; fewer take a part in proportion.
const FULL_SPREAD_BALANCERS: f64 = 90.0;
/// Smallest such part.
const MIN_SPREAD_FACTOR: f64 = 0.3;
/// Calls in a row that a start makes at its own pace, the first one included.
const START_CALLS: u32 = 3;

/// A time drawn evenly between two shares of the poll interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackoffRange {
    /// Share of the interval that passes at least.
    pub min_share: f64,
    /// Share of the interval that passes at most.
    pub max_share: f64,
}

impl BackoffRange {
    /// A time in this range, of a poll interval of this length.
    fn draw(self, interval: Micros, rng: &mut fastrand::Rng) -> Micros {
        interval.mul_f64(self.min_share + (self.max_share - self.min_share) * rng.f64())
    }
}

/// The times from one call to discovery to the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryBackoff {
    /// From a list to the call after its watch broke.
    pub after_watch: BackoffRange,
    /// From that call to the next, if it failed.
    pub after_first_failure: BackoffRange,
    /// From the second failed call to the next, and from one call of a start to the next; shorter in a small
    /// fleet.
    pub after_second_failure: BackoffRange,
    /// From any later failed call to the next.
    pub after_more_failures: BackoffRange,
}

/// The times from one call to discovery to the next.
pub const DISCOVERY_BACKOFF: DiscoveryBackoff = DiscoveryBackoff {
    after_watch: BackoffRange { min_share: 0.12, max_share: 0.15 },
    after_first_failure: BackoffRange { min_share: 0.03, max_share: 0.06 },
    after_second_failure: BackoffRange { min_share: 0.3, max_share: 0.34 },
    after_more_failures: BackoffRange { min_share: 0.24, max_share: 0.28 },
};
/// The pause from the end of a call or a watch to the next call, where [`DISCOVERY_BACKOFF`] asks for none.
pub const MIN_DISCOVERY_PAUSE: BackoffRange = BackoffRange { min_share: 0.005, max_share: 0.03 };

/// How discovery has fared since the last list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A list has come and its watch has not broken.
    Watching,
    /// The watch has broken.
    WatchBroken,
    /// One call after the watch has failed, or no list has come since the start. A process that starts has no
    /// list from discovery, so that it makes [`START_CALLS`] calls at this pace.
    StartingOrFirstCallFailed,
    /// More calls have failed.
    Failing,
}

/// When the next call to discovery is due.
#[derive(Debug)]
pub(super) struct DiscoverySchedule {
    /// Whether lists have to be called for at all.
    is_polling: bool,
    /// What the shares are of.
    interval: Micros,
    /// By how much the calls of a start come sooner in a small fleet.
    start_spread_factor: f64,
    /// Shortest time to the first call.
    tick: Micros,
    stage: Stage,
    /// Calls of a start that still come at its own pace.
    start_calls_left: u32,
    /// When the last call was due, or the last list came; zero before the first.
    call_due_or_last_list: Micros,
}

impl DiscoverySchedule {
    /// The schedule of a balancer that starts.
    pub(super) fn new(settings: &Settings) -> DiscoverySchedule {
        let spread_factor = f64::from(settings.balancers) / FULL_SPREAD_BALANCERS;
        DiscoverySchedule {
            is_polling: settings.subscribe,
            interval: settings.rules.discovery_poll_interval.min(MAX_POLL_INTERVAL),
            start_spread_factor: spread_factor.clamp(MIN_SPREAD_FACTOR, 1.0),
            tick: settings.tick,
            stage: Stage::StartingOrFirstCallFailed,
            start_calls_left: START_CALLS - 1,
            call_due_or_last_list: Micros::ZERO,
        }
    }

    /// Whether a timer that is due now is that of the next call. One from before a list came, or before a
    /// later call was planned, is not.
    pub(super) fn is_call_due(&self, now: Micros) -> bool {
        self.is_polling && self.stage != Stage::Watching && now >= self.call_due_or_last_list
    }

    /// A call failed or a watch broke; returns when to call next.
    pub(super) fn on_unavailable(&mut self, now: Micros, rng: &mut fastrand::Rng) -> Micros {
        let earliest = now + MIN_DISCOVERY_PAUSE.draw(self.interval, rng);
        let backoff = self.backoff().draw(self.interval, rng);
        let is_start_pace = self.stage == Stage::StartingOrFirstCallFailed;
        let backoff = backoff.mul_f64(if is_start_pace { self.start_spread_factor } else { 1.0 });
        let next_call = (self.call_due_or_last_list + backoff).max(earliest);
        self.advance();
        self.call_due_or_last_list = next_call;
        next_call
    }

    /// Endpoints came in; returns when to call, if this asks for a first call.
    pub(super) fn on_endpoints(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        rng: &mut fastrand::Rng,
    ) -> Option<Micros> {
        let is_start = update == EndpointUpdate::Restored && self.call_due_or_last_list == Micros::ZERO;
        if is_start && self.is_polling {
            let share = START_SPREAD_SHARE * self.start_spread_factor * rng.f64();
            let first_call = now + self.interval.mul_f64(share) + self.tick;
            self.call_due_or_last_list = first_call;
            return Some(first_call);
        }
        // An operator's override says nothing of discovery.
        if update != EndpointUpdate::OperatorOverride {
            self.stage = Stage::Watching;
            self.start_calls_left = 0;
            self.call_due_or_last_list = now;
        }
        None
    }

    /// The range from the last call, or the last list, to the next call.
    fn backoff(&self) -> BackoffRange {
        match self.stage {
            Stage::Watching => DISCOVERY_BACKOFF.after_watch,
            Stage::WatchBroken => DISCOVERY_BACKOFF.after_first_failure,
            Stage::StartingOrFirstCallFailed => DISCOVERY_BACKOFF.after_second_failure,
            Stage::Failing => DISCOVERY_BACKOFF.after_more_failures,
        }
    }

    /// Another call has failed, or the watch has broken.
    fn advance(&mut self) {
        let is_starting = self.stage == Stage::StartingOrFirstCallFailed && self.start_calls_left > 0;
        if is_starting {
            self.start_calls_left -= 1;
            return;
        }
        self.stage = match self.stage {
            Stage::Watching => Stage::WatchBroken,
            Stage::WatchBroken => Stage::StartingOrFirstCallFailed,
            Stage::StartingOrFirstCallFailed | Stage::Failing => Stage::Failing,
        };
    }
}
