//! How soon a change of the list is known here: all times of a watch and of a call to discovery, in one place.
//!
//! A change counts as told [`TOLD`] after discovery had it and could be reached, heard or not, and a drain's grace after that
//! nothing new may go to the host. So a watch that has fallen silent is found, and a new call made and answered, within that
//! time, also where one call between is refused or given up. The waits between calls are the module's
//! ([`juniperladder::AGAIN`]), since they also keep a fleet of balancers from calling all at once; the tests beside add
//! everything up.

use std::time::Duration;

/// After how long a change counts as told.
pub const TOLD: Duration = Duration::from_secs(6);
/// Discovery writes a line at least every two seconds; a watch on which no line has ended for this long is dead, as a machine
/// that is cut off says nothing and its connection stays open.
pub const SILENCE: Duration = Duration::from_millis(2_500);
/// How long a connection to discovery may take to come up: the system tries again only after a second.
pub const CONNECT: Duration = Duration::from_millis(700);
/// How long discovery's first line may take then, whole: it works through its calls in turn.
pub const ANSWER: Duration = Duration::from_millis(1_900);

/// How long after a new address its changes count as told.
pub const TURN: Duration = Duration::from_secs(4);
/// The least and the most between calls there until a list has come.
pub const TURN_AGAIN: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(600));

/// The part of a drain's grace after which discovery is called again where it pushes its lists, and the least of that: what it
/// has counts as told at once there, from the first moment on.
const PUSHED_PART: f64 = 0.2;
const PUSHED_LEAST: Duration = Duration::from_millis(20);

/// How long after a failed call discovery is called again where it pushes its lists.
pub fn pushed_again(drain_grace: Duration) -> Duration {
    drain_grace.mul_f64(PUSHED_PART).max(PUSHED_LEAST)
}
