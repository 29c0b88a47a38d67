//! How soon a change of the endpoint list is known here: all times of a poll and of a watch, in one place.
//!
//! A change counts as notified [`CHANGE_NOTIFIED_AFTER`] after discovery had it and could be reached, whether it was received
//! or not, and a drain's grace after that nothing new may go to the server. Guarantee: a watch that has fallen silent is found,
//! and a new poll made and answered, within that time, also where one poll between is refused or hangs.
//!
//! Discovery works through its polls in turn and answers each that it has accepted, however late: a poll is therefore never
//! abandoned because it takes long. After [`ANSWER_TIMEOUT`] another is made beside it, and whichever is answered first ends
//! the other.
//!
//! The waits between polls come from the decisions ([`juniperladder::DISCOVERY_BACKOFF`]), since they also keep a fleet of
//! balancers from polling all at once; the tests of [`crate::discovery`] add everything up. The guarantee fails where discovery
//! refuses several polls that follow each other.

use std::time::Duration;

use fastrand::Rng;

/// After how long a change counts as notified.
pub const CHANGE_NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// A watch on which no line has ended for this long has failed. Discovery writes a line at least every two seconds; a machine
/// that is cut off says nothing and its connection stays open.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection to discovery may take to be established. Below the second after which the system repeats a lost
/// SYN, so that a new poll comes sooner.
pub const DISCOVERY_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long after its start a poll has to be answered, or another is made beside it. Longer than a poll waits for its turn:
/// discovery refuses those that would wait for over two seconds.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_600);
/// For how long after its time-out the answer of a poll is still accepted, and a silent watch listened to.
pub const OVERDUE_GRACE: Duration = Duration::from_secs(10);
/// How long after a new address its changes count as notified.
pub const NEW_ADDRESS_NOTIFIED_AFTER: Duration = Duration::from_secs(4);

/// The bounds between which a backoff is drawn.
#[derive(Clone, Copy, Debug)]
pub struct BackoffBounds {
    /// The shortest wait.
    pub shortest: Duration,
    /// The longest wait.
    pub longest: Duration,
}

/// The first backoff at a new address that has sent no list yet. A whole fleet learns of it at once: both bounds grow by
/// [`NEW_ADDRESS_BACKOFF_GROWTH`] with each poll that fails, up to [`NEW_ADDRESS_BACKOFF_LIMIT`].
pub const NEW_ADDRESS_BACKOFF: BackoffBounds =
    BackoffBounds { shortest: Duration::from_millis(200), longest: Duration::from_millis(600) };
const NEW_ADDRESS_BACKOFF_GROWTH: f64 = 1.5;
const NEW_ADDRESS_BACKOFF_LIMIT: BackoffBounds =
    BackoffBounds { shortest: Duration::from_millis(600), longest: Duration::from_millis(1_000) };
/// More failures than this change nothing, as both bounds are at their limit.
const NEW_ADDRESS_BACKOFF_STEPS: u32 = 16;

/// The share of a drain's grace after which discovery is polled again where it pushes its lists: its changes count as notified
/// at once there.
const PUSHED_LIST_BACKOFF_SHARE: f64 = 0.2;
const PUSHED_LIST_BACKOFF_MINIMUM: Duration = Duration::from_millis(20);

/// How long after a failure discovery is polled again where it pushes its lists.
pub fn pushed_list_backoff(drain_grace: Duration) -> Duration {
    drain_grace.mul_f64(PUSHED_LIST_BACKOFF_SHARE).max(PUSHED_LIST_BACKOFF_MINIMUM)
}

/// How long after a failed poll at a new address the next one is made, `failed_before` having failed there before.
pub fn new_address_backoff(failed_before: u32, rng: &mut Rng) -> Duration {
    let growth = NEW_ADDRESS_BACKOFF_GROWTH.powi(failed_before.min(NEW_ADDRESS_BACKOFF_STEPS) as i32);
    let shortest = NEW_ADDRESS_BACKOFF.shortest.mul_f64(growth).min(NEW_ADDRESS_BACKOFF_LIMIT.shortest);
    let longest = NEW_ADDRESS_BACKOFF.longest.mul_f64(growth).min(NEW_ADDRESS_BACKOFF_LIMIT.longest);
    shortest + (longest - shortest).mul_f64(rng.f64())
}
