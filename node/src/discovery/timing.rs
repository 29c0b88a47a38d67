//! All timeouts and backoffs of polls and watches, which bound how soon a change of the endpoint list is received.
//!
//! A change counts as notified [`CHANGE_NOTIFIED_AFTER`] after discovery had it and was reachable, whether it was received
//! or not; a drain grace later, no new request may be sent to a server that the change drains or deletes. Guarantee:
//! within [`CHANGE_NOTIFIED_AFTER`] a silent watch is detected and a new poll is made and answered, even if one poll in
//! between is refused or hangs. The guarantee does not hold if discovery refuses several polls in a row.
//!
//! Discovery handles polls in turn and answers every poll that it has accepted, however late, so a poll is never abandoned
//! for taking long. After [`ANSWER_TIMEOUT`] another poll is made in parallel, and the first one answered ends the other.
//!
//! The decision core sets the time between polls ([`juniperladder::DISCOVERY_BACKOFF`]), because the same backoff keeps
//! a fleet of balancers from polling all at once. The tests of [`crate::discovery`] check the sum of these times.

use std::time::Duration;

use fastrand::Rng;

/// How long after discovery had it a change counts as notified.
pub const CHANGE_NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// A watch without a complete line for this long has failed. Discovery writes a line at least every two seconds; the
/// connection to a machine that is cut off stays open in silence.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection to discovery may take to be established. It is below the one second after which the kernel
/// retransmits a lost SYN, so that a new poll is made before that.
pub const DISCOVERY_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a poll may wait for its answer before another is made in parallel. It is longer than a poll is queued:
/// discovery refuses polls that would wait for over two seconds.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_600);
/// How long after its timeout a poll's answer, or a line of a silent watch, is still accepted.
pub const OVERDUE_GRACE: Duration = Duration::from_secs(10);
/// How long after an address change the changes at the new address count as notified.
pub const NEW_ADDRESS_NOTIFIED_AFTER: Duration = Duration::from_secs(4);

/// The bounds between which a random backoff is drawn.
#[derive(Clone, Copy, Debug)]
pub struct BackoffBounds {
    /// The shortest wait.
    pub shortest: Duration,
    /// The longest wait.
    pub longest: Duration,
}

/// The first backoff at a new address that has not sent a list yet. A whole fleet switches to a new address at once, so
/// both bounds grow by [`NEW_ADDRESS_BACKOFF_GROWTH_FACTOR`] with each failed poll, up to [`NEW_ADDRESS_BACKOFF_LIMIT`].
pub const NEW_ADDRESS_BACKOFF: BackoffBounds =
    BackoffBounds { shortest: Duration::from_millis(200), longest: Duration::from_millis(600) };
const NEW_ADDRESS_BACKOFF_GROWTH_FACTOR: f64 = 1.5;
const NEW_ADDRESS_BACKOFF_LIMIT: BackoffBounds =
    BackoffBounds { shortest: Duration::from_millis(600), longest: Duration::from_millis(1_000) };
/// The number of failures after which both bounds have reached their limit.
const MAX_NEW_ADDRESS_BACKOFF_STEPS: u32 = 16;

/// The backoff where discovery pushes its lists, as a share of the drain grace. It is short because changes count as
/// notified at once there.
const PUSHED_LIST_BACKOFF_SHARE: f64 = 0.2;
const MIN_PUSHED_LIST_BACKOFF: Duration = Duration::from_millis(20);

/// The backoff after a failed poll or watch where discovery pushes its lists.
pub fn pushed_list_backoff(drain_grace: Duration) -> Duration {
    drain_grace.mul_f64(PUSHED_LIST_BACKOFF_SHARE).max(MIN_PUSHED_LIST_BACKOFF)
}

/// The backoff after a failed poll of a new address, where `previous_failures` polls had failed before it.
pub fn new_address_backoff(previous_failures: u32, rng: &mut Rng) -> Duration {
    let growth =
        NEW_ADDRESS_BACKOFF_GROWTH_FACTOR.powi(previous_failures.min(MAX_NEW_ADDRESS_BACKOFF_STEPS) as i32);
    let shortest = NEW_ADDRESS_BACKOFF.shortest.mul_f64(growth).min(NEW_ADDRESS_BACKOFF_LIMIT.shortest);
    let longest = NEW_ADDRESS_BACKOFF.longest.mul_f64(growth).min(NEW_ADDRESS_BACKOFF_LIMIT.longest);
    shortest + (longest - shortest).mul_f64(rng.f64())
}
