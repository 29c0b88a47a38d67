//! How soon a change of the list is known here: all times of a watch and of a call to discovery, in one place.
//!
//! A change counts as told [`TOLD`] after discovery had it and could be reached, heard or not, and a drain's grace after that
//! nothing new may go to the server. So a watch that has fallen silent is found, and a new call made and answered, within that
//! time, also where one call between is refused or hangs. Discovery works through its calls in turn and answers each that it
//! has taken on, however late: a call is therefore never given up because it takes long. After [`ANSWER`] another is made
//! beside it, and whichever is answered first ends the other.
//!
//! The waits between calls are the decision module's ([`juniperladder::DISCOVERY_BACKOFF`]), since they also keep a fleet of balancers from
//! calling all at once; the tests beside add everything up.

use std::time::Duration;

use fastrand::Rng;

/// After how long a change counts as told.
pub const TOLD: Duration = Duration::from_secs(6);
/// Discovery writes a line at least every two seconds; a watch on which no line has ended for this long is taken for dead, as a
/// machine that is cut off says nothing and its connection stays open.
pub const SILENCE: Duration = Duration::from_millis(2_500);
/// How long a connection to discovery may take to come up: the system tries again only after a second.
pub const CONNECT: Duration = Duration::from_millis(700);
/// How long after its begin a call has to be answered, or another is made beside it: longer than a call waits for its turn at a
/// discovery that refuses those that would wait for over two seconds.
pub const ANSWER: Duration = Duration::from_millis(2_600);
/// For how long after that an answer is still waited for, and a silent watch listened to.
pub const LATE: Duration = Duration::from_secs(10);

/// How long after a new address its changes count as told.
pub const TURN: Duration = Duration::from_secs(4);
/// The least and the most from the end of a call there to the next until a list has come. A fleet turns all at once: both
/// grow by [`TURN_GROWTH`] with each call that fails, up to the longest.
pub const TURN_AGAIN: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(600));
const TURN_GROWTH: f64 = 1.5;
const TURN_AGAIN_LONGEST: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(1_000));

/// The part of a drain's grace after which discovery is called again where it pushes its lists, and the least of that: what it
/// has counts as told at once there, from the first moment on.
const PUSHED_PART: f64 = 0.2;
const PUSHED_LEAST: Duration = Duration::from_millis(20);

/// How long after a failed call discovery is called again where it pushes its lists.
pub fn pushed_again(drain_grace: Duration) -> Duration {
    drain_grace.mul_f64(PUSHED_PART).max(PUSHED_LEAST)
}

/// How long after a failed call at a new address the next one is made, so many having failed there before.
pub fn turn_again(failed_before: u32, rng: &mut Rng) -> Duration {
    let growth = TURN_GROWTH.powi(failed_before.min(16) as i32);
    let least = TURN_AGAIN.0.mul_f64(growth).min(TURN_AGAIN_LONGEST.0);
    let most = TURN_AGAIN.1.mul_f64(growth).min(TURN_AGAIN_LONGEST.1);
    least + (most - least).mul_f64(rng.f64())
}
