//! Schedules the calls to discovery.
//!
//! Inputs are the endpoint updates, failed calls and broken watches, and the site's poll interval; all delays
//! are shares of this interval. Delays are random, so that balancers that start together, or whose watches
//! break together, do not call discovery all at once. A received list cancels the pending call, since its
//! watch is open then.

use crate::endpoint::EndpointUpdate;
use crate::settings::Settings;
use crate::time::Micros;

/// Longest poll interval that delays are computed from; a longer interval of the site is capped at this
/// value.
pub const MAX_POLL_INTERVAL: Micros = Micros::from_secs(10);
/// Share of the poll interval over which the balancers of a full-size fleet that start together spread their
/// first calls.
pub const START_SPREAD_SHARE: f64 = 0.33;
/// Number of balancers from which first calls are spread over the whole of [`START_SPREAD_SHARE`]; fewer
/// balancers use a proportional part.
const FULL_SPREAD_BALANCERS: f64 = 90.0;
/// Lower bound on the proportional part of a small fleet.
const MIN_SPREAD_FACTOR: f64 = 0.3;
/// Consecutive calls after a start that use the startup backoff, including the first call.
const START_CALLS: u32 = 3;

/// The range of a random delay, uniform between two shares of the poll interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackoffRange {
    /// Shortest delay, as a share of the poll interval.
    pub min_share: f64,
    /// Longest delay, as a share of the poll interval.
    pub max_share: f64,
}

impl BackoffRange {
    /// Draws a delay for a poll interval of this length.
    fn draw(self, interval: Micros, rng: &mut fastrand::Rng) -> Micros {
        interval.mul_f64(self.min_share + (self.max_share - self.min_share) * rng.f64())
    }
}

/// Delays between calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryBackoff {
    /// From the receipt of a list to the call after its watch broke.
    pub after_watch: BackoffRange,
    /// From the call after a broken watch to the next call, if the first one failed.
    pub after_first_failure: BackoffRange,
    /// From the second failed call to the next, and between the calls of a start; shorter in a small fleet.
    pub after_second_failure: BackoffRange,
    /// From any later failed call to the next.
    pub after_later_failures: BackoffRange,
}

/// Delays between calls to discovery.
pub const DISCOVERY_BACKOFF: DiscoveryBackoff = DiscoveryBackoff {
    after_watch: BackoffRange { min_share: 0.12, max_share: 0.15 },
    after_first_failure: BackoffRange { min_share: 0.03, max_share: 0.06 },
    after_second_failure: BackoffRange { min_share: 0.3, max_share: 0.34 },
    after_later_failures: BackoffRange { min_share: 0.24, max_share: 0.28 },
};
/// Minimum delay from a failed call or a broken watch to the next call, where the delay of
/// [`DISCOVERY_BACKOFF`] is already over.
pub const MIN_DISCOVERY_PAUSE: BackoffRange = BackoffRange { min_share: 0.005, max_share: 0.03 };

/// State of discovery since the last list was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A list was received, and its watch is open.
    Watching,
    /// The watch has broken.
    WatchBroken,
    /// The first call after a broken watch failed, or no list was received since the start. A started process
    /// has no list from discovery, so it makes [`START_CALLS`] calls with this backoff.
    StartingOrFirstCallFailed,
    /// Further calls failed.
    Failing,
}

/// The schedule of the calls to discovery.
#[derive(Debug)]
pub(super) struct DiscoverySchedule {
    /// Whether the endpoint list must be requested from discovery.
    is_polling: bool,
    /// The poll interval that all shares refer to.
    interval: Micros,
    /// Factor on the delays of a start; below one in a small fleet.
    start_spread_factor: f64,
    /// Minimum delay of the first call.
    min_batch_interval: Micros,
    stage: Stage,
    /// Remaining calls with the startup backoff.
    start_calls_left: u32,
    /// Time at which the latest call is or was due, or at which the last list was received; zero before the
    /// first.
    call_due_or_last_list: Micros,
}

impl DiscoverySchedule {
    /// Creates the schedule of a balancer that starts.
    pub(super) fn new(settings: &Settings) -> DiscoverySchedule {
        let spread_factor = f64::from(settings.balancers) / FULL_SPREAD_BALANCERS;
        DiscoverySchedule {
            is_polling: settings.watches_discovery,
            interval: settings.rules.discovery_poll_interval.min(MAX_POLL_INTERVAL),
            start_spread_factor: spread_factor.clamp(MIN_SPREAD_FACTOR, 1.0),
            min_batch_interval: settings.min_batch_interval,
            stage: Stage::StartingOrFirstCallFailed,
            start_calls_left: START_CALLS - 1,
            call_due_or_last_list: Micros::ZERO,
        }
    }

    /// Whether a timer that is due now is the timer of the next call. Timers that were set before a list was
    /// received, or before a later call was scheduled, are obsolete.
    pub(super) fn is_call_due(&self, now: Micros) -> bool {
        self.is_polling && self.stage != Stage::Watching && now >= self.call_due_or_last_list
    }

    /// Handles a failed call or a broken watch; returns the time of the next call.
    pub(super) fn on_unavailable(&mut self, now: Micros, rng: &mut fastrand::Rng) -> Micros {
        let earliest = now + MIN_DISCOVERY_PAUSE.draw(self.interval, rng);
        let backoff = self.backoff().draw(self.interval, rng);
        let is_startup_backoff = self.stage == Stage::StartingOrFirstCallFailed;
        let backoff = backoff.mul_f64(if is_startup_backoff { self.start_spread_factor } else { 1.0 });
        let next_call = (self.call_due_or_last_list + backoff).max(earliest);
        self.advance();
        self.call_due_or_last_list = next_call;
        next_call
    }

    /// Handles received endpoints; returns the time of the first call if a restored list requires one.
    pub(super) fn on_endpoints(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        rng: &mut fastrand::Rng,
    ) -> Option<Micros> {
        let is_start = update == EndpointUpdate::Restored && self.call_due_or_last_list == Micros::ZERO;
        if is_start && self.is_polling {
            let share = START_SPREAD_SHARE * self.start_spread_factor * rng.f64();
            let first_call = now + self.interval.mul_f64(share) + self.min_batch_interval;
            self.call_due_or_last_list = first_call;
            return Some(first_call);
        }
        // An operator's override gives no information about discovery.
        if update != EndpointUpdate::OperatorOverride {
            self.stage = Stage::Watching;
            self.start_calls_left = 0;
            self.call_due_or_last_list = now;
        }
        None
    }

    /// Range of the delay from the last call, or the last list, to the next call.
    fn backoff(&self) -> BackoffRange {
        match self.stage {
            Stage::Watching => DISCOVERY_BACKOFF.after_watch,
            Stage::WatchBroken => DISCOVERY_BACKOFF.after_first_failure,
            Stage::StartingOrFirstCallFailed => DISCOVERY_BACKOFF.after_second_failure,
            Stage::Failing => DISCOVERY_BACKOFF.after_later_failures,
        }
    }

    /// Advances the stage after a failed call or a broken watch.
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
