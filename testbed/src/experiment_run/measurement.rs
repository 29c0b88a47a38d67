//! Measures the testbed itself (its stalls and CPU time) and shifts the times of an event log to a common start.

use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::event_log::EventLog;
use juniperladder_platform_model::Micros;
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeVal;
use tokio::time::sleep_until;

use crate::testbed::Testbed;

/// Interval at which the testbed checks for its own stalls.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum lateness of a timer that is logged as a stall.
const MIN_STALL: Micros = 8_000;

/// Logs the stalls of the testbed itself, which would otherwise look like latency of the program.
pub async fn watch_stalls(testbed: Rc<Testbed>) {
    loop {
        let due = testbed.now() + STALL_CHECK_INTERVAL.as_micros() as Micros;
        sleep_until(testbed.instant(due)).await;
        let now = testbed.now();
        let lateness = now.saturating_sub(due);
        if lateness > MIN_STALL {
            testbed.event_log.borrow_mut().testbed_stalls.push((now, lateness));
        }
    }
}

/// CPU time used so far, in seconds.
#[derive(Clone, Copy)]
pub struct CpuTimes {
    /// CPU time of the child processes that have ended and were waited for.
    pub children_s: f64,
    /// CPU time of this process.
    pub own_s: f64,
}

impl CpuTimes {
    /// The CPU time used up to now.
    pub fn now() -> CpuTimes {
        CpuTimes {
            children_s: cpu_seconds(UsageWho::RUSAGE_CHILDREN),
            own_s: cpu_seconds(UsageWho::RUSAGE_SELF),
        }
    }
}

fn cpu_seconds(who: UsageWho) -> f64 {
    let seconds = |time: TimeVal| time.tv_sec() as f64 + time.tv_usec() as f64 / 1e6;
    getrusage(who).map_or(0.0, |usage| seconds(usage.user_time()) + seconds(usage.system_time()))
}

/// Makes all times of an event log count from `start`; earlier times become 0.
pub fn shift_times(event_log: &mut EventLog, start: Micros) {
    let shift = |at: &mut Micros| *at = at.saturating_sub(start);
    for request in &mut event_log.requests {
        shift(&mut request.planned_at);
        shift(&mut request.sent_at);
        shift(&mut request.deadline);
        request.ended_at.iter_mut().for_each(shift);
    }
    for attempt in event_log.attempts.iter_mut().chain(&mut event_log.undelivered) {
        shift(&mut attempt.first_byte_at);
        shift(&mut attempt.received_at);
        attempt.answered_at.iter_mut().for_each(shift);
    }
    for stall in &mut event_log.process_stalls {
        shift(&mut stall.from);
        shift(&mut stall.to);
    }
    for process_start in &mut event_log.process_starts {
        shift(&mut process_start.at);
    }
    for span in event_log.server_impairments.iter_mut().chain(&mut event_log.process_impairments) {
        shift(&mut span.from);
        span.to.iter_mut().for_each(shift);
    }
    event_log.endpoint_notices.iter_mut().for_each(|notice| shift(&mut notice.at));
    event_log.server_collapses.iter_mut().for_each(|(_, at)| shift(at));
    event_log.origin_stops.iter_mut().for_each(|(at, _)| shift(at));
    event_log.testbed_stalls.iter_mut().for_each(|(at, _)| shift(at));
}
