//! Schedules the polls of discovery.
//!
//! Inputs are the endpoint updates, failed polls and broken watches, and the site's poll interval; all delays
//! are shares of this interval. Delays are random, so that balancers that start together, or whose watches
//! break together, do not poll discovery all at once. A received list cancels the scheduled poll, because the
//! poll that returned the list stays open as a watch.

use crate::endpoint::EndpointUpdate;
use crate::settings::Settings;
use crate::time::Micros;

/// Longest poll interval that delays are computed from; a longer interval of the site is capped at this
/// value.
pub const MAX_POLL_INTERVAL: Micros = Micros::from_secs(10);
/// Share of the poll interval over which the balancers of a full-size fleet that start together spread their
/// first polls.
pub const START_SPREAD_SHARE: f64 = 0.33;
/// Number of balancers from which first polls are spread over the whole of [`START_SPREAD_SHARE`]; fewer
/// balancers use a proportional part.
const FULL_SPREAD_BALANCERS: f64 = 90.0;
/// Lower bound on the proportional part of a small fleet.
const MIN_SPREAD_FACTOR: f64 = 0.3;
/// Consecutive failed polls after a start that are followed by the startup backoff, including the first poll.
const START_POLLS: u32 = 3;

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

/// Delays between polls of discovery, counted from the time at which the earlier poll was due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryBackoff {
    /// Delay from the receipt of a list to the first poll after the watch of the list broke.
    pub after_watch: BackoffRange,
    /// Delay from the first poll after a broken watch to the second, if the first failed.
    pub after_first_failure: BackoffRange,
    /// Delay from the second failed poll to the next, and between the polls of a start; shorter in a small
    /// fleet.
    pub after_second_failure: BackoffRange,
    /// Delay from any later failed poll to the next.
    pub after_later_failures: BackoffRange,
}

/// The delays that the schedule uses.
pub const DISCOVERY_BACKOFF: DiscoveryBackoff = DiscoveryBackoff {
    after_watch: BackoffRange { min_share: 0.12, max_share: 0.15 },
    after_first_failure: BackoffRange { min_share: 0.03, max_share: 0.06 },
    after_second_failure: BackoffRange { min_share: 0.3, max_share: 0.34 },
    after_later_failures: BackoffRange { min_share: 0.24, max_share: 0.28 },
};
/// Minimum delay from the failure of a poll or of a watch to the next poll; applies where the delay of
/// [`DISCOVERY_BACKOFF`] ends earlier.
pub const MIN_DISCOVERY_PAUSE: BackoffRange = BackoffRange { min_share: 0.005, max_share: 0.03 };

/// State of discovery since the last list was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A list was received, and its watch is open.
    Watching,
    /// The watch has broken.
    WatchBroken,
    /// The first poll after a broken watch failed, or no list was received since the start. A started process
    /// has no list from discovery, so it stays in this stage until [`START_POLLS`] polls have failed.
    StartingOrFirstPollFailed,
    /// Further polls failed.
    Failing,
}

/// The schedule of the polls of discovery.
#[derive(Debug)]
pub(super) struct DiscoverySchedule {
    /// Whether discovery must be polled for the endpoint list, because it does not push lists.
    is_polling: bool,
    /// The poll interval that all shares refer to.
    interval: Micros,
    /// Factor on the delays of a start; below one in a small fleet.
    start_spread_factor: f64,
    /// Minimum delay of the first poll.
    min_batch_interval: Micros,
    stage: Stage,
    /// Further failed polls after which the stage of a start does not end yet.
    start_polls_left: u32,
    /// Time at which the latest poll is or was due, or at which a list was received since; zero before the
    /// first.
    poll_due_or_last_list: Micros,
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
            stage: Stage::StartingOrFirstPollFailed,
            start_polls_left: START_POLLS - 1,
            poll_due_or_last_list: Micros::ZERO,
        }
    }

    /// Whether a timer that is due now is the timer of the next poll. Timers that were set before a list was
    /// received, or before a later poll was scheduled, are obsolete.
    pub(super) fn is_poll_due(&self, now: Micros) -> bool {
        self.is_polling && self.stage != Stage::Watching && now >= self.poll_due_or_last_list
    }

    /// Handles a failed poll or a broken watch; returns the time of the next poll.
    pub(super) fn on_unavailable(&mut self, now: Micros, rng: &mut fastrand::Rng) -> Micros {
        let earliest = now + MIN_DISCOVERY_PAUSE.draw(self.interval, rng);
        let backoff = self.backoff().draw(self.interval, rng);
        let is_startup_backoff = self.stage == Stage::StartingOrFirstPollFailed;
        let backoff = backoff.mul_f64(if is_startup_backoff { self.start_spread_factor } else { 1.0 });
        let next_poll = (self.poll_due_or_last_list + backoff).max(earliest);
        self.advance();
        self.poll_due_or_last_list = next_poll;
        next_poll
    }

    /// Handles received endpoints; returns the time of the first poll if the endpoints are the restored list
    /// of a start and discovery must be polled.
    pub(super) fn on_endpoints(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        rng: &mut fastrand::Rng,
    ) -> Option<Micros> {
        let is_start = update == EndpointUpdate::Restored && self.poll_due_or_last_list == Micros::ZERO;
        if is_start && self.is_polling {
            let share = START_SPREAD_SHARE * self.start_spread_factor * rng.f64();
            let first_poll = now + self.interval.mul_f64(share) + self.min_batch_interval;
            self.poll_due_or_last_list = first_poll;
            return Some(first_poll);
        }
        // An operator's override gives no information about discovery.
        if update != EndpointUpdate::OperatorOverride {
            self.stage = Stage::Watching;
            self.start_polls_left = 0;
            self.poll_due_or_last_list = now;
        }
        None
    }

    /// Range of the delay from the last poll, or the last list, to the next poll.
    fn backoff(&self) -> BackoffRange {
        match self.stage {
            Stage::Watching => DISCOVERY_BACKOFF.after_watch,
            Stage::WatchBroken => DISCOVERY_BACKOFF.after_first_failure,
            Stage::StartingOrFirstPollFailed => DISCOVERY_BACKOFF.after_second_failure,
            Stage::Failing => DISCOVERY_BACKOFF.after_later_failures,
        }
    }

    /// Advances the stage after a failed poll or a broken watch.
    fn advance(&mut self) {
        let is_starting = self.stage == Stage::StartingOrFirstPollFailed && self.start_polls_left > 0;
        if is_starting {
            self.start_polls_left -= 1;
            return;
        }
        self.stage = match self.stage {
            Stage::Watching => Stage::WatchBroken,
            Stage::WatchBroken => Stage::StartingOrFirstPollFailed,
            Stage::StartingOrFirstPollFailed | Stage::Failing => Stage::Failing,
        };
    }
}
