//! Starts by a wall clock that is right, ahead and behind.

use juniperladder::EndpointState;

use super::*;
use crate::testing::listed_server;

const NOW: Micros = Micros(50_000_000_000);
const HOUR: u64 = 3_600_000_000;
const SECOND: u64 = 1_000_000;

fn started(server: u64, started: u64) -> ListedServer {
    let mut listed_server = listed_server(ServerId(server), EndpointState::Serving);
    listed_server.endpoint.started = Micros(started);
    listed_server
}

fn translated(times: &mut StartTimes, server: u64, told: u64, now: Micros) -> u64 {
    let mut servers = [started(server, told)];
    times.translate(&mut servers, now);
    servers[0].endpoint.started.0
}

#[test]
fn a_right_clock_changes_nothing() {
    let mut times = StartTimes::default();
    for age in [0, 1, SECOND, HOUR] {
        assert_eq!(translated(&mut times, age, NOW.0 - age, NOW), NOW.0 - age, "in the first list");
    }
    times.confirm(NOW);
    let later = NOW.saturating_add(Micros(SECOND));
    assert_eq!(
        translated(&mut times, 7, NOW.0 - SECOND, later),
        NOW.0 - SECOND,
        "listed two seconds after its start"
    );
    assert_eq!(translated(&mut times, 8, 0, later), 0, "long ago");
}

/// With the clock ahead a start seems long past. It is news, so that it can't be older than the list that lacked it.
#[test]
fn a_clock_that_is_ahead_makes_no_new_server_warm() {
    for ahead in [10 * SECOND, HOUR] {
        let mut times = StartTimes::default();
        translated(&mut times, 1, NOW.0 - 2 * HOUR, NOW);
        times.confirm(NOW);
        let later = NOW.saturating_add(Micros(SECOND));
        let own = translated(&mut times, 7, later.0 - ahead, later);
        assert_eq!(own, NOW.saturating_sub(LISTED_AFTER).0, "{ahead}");
        // The same again, in whatever list, and after the list has been confirmed anew, is the same start.
        times.confirm(later);
        let much_later = NOW.saturating_add(Micros(20 * SECOND));
        assert_eq!(translated(&mut times, 7, later.0 - ahead, much_later), own);
        // A second start of the same server is news again.
        let restarted = translated(&mut times, 7, later.0 - ahead + 1, much_later);
        assert_eq!(restarted, later.saturating_sub(LISTED_AFTER).0);
    }
}

/// With the clock behind a start seems to lie ahead, and the server would be cold until then.
#[test]
fn a_clock_that_is_behind_keeps_no_server_cold() {
    let mut times = StartTimes::default();
    assert_eq!(translated(&mut times, 1, NOW.0 + HOUR, NOW), NOW.0, "in the first list");
    times.confirm(NOW);
    let later = NOW.saturating_add(Micros(SECOND));
    assert_eq!(translated(&mut times, 7, later.0 + HOUR, later), later.0);
    assert_eq!(translated(&mut times, 7, later.0 + HOUR, later.saturating_add(Micros(9 * SECOND))), later.0);
}

/// Two starts between two words of discovery are two processes, in their order.
#[test]
fn a_later_start_is_later_whatever_the_clock() {
    for (first, second) in [(NOW.0 - HOUR, NOW.0 - HOUR + 1), (NOW.0 + HOUR, NOW.0 + HOUR + 1)] {
        let mut times = StartTimes::default();
        times.confirm(NOW);
        let before = translated(&mut times, 7, first, NOW);
        assert!(translated(&mut times, 7, second, NOW) > before);
    }
}

/// Balancers that share limits need one name for a server's process.
#[test]
fn a_trusted_clock_is_taken_as_it_is() {
    let mut times = StartTimes::default();
    times.trust_clock();
    times.confirm(NOW);
    for told in [NOW.0 - HOUR, NOW.0 + HOUR] {
        assert_eq!(translated(&mut times, 7, told, NOW), told);
    }
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut times = StartTimes::default();
    for server in 0..3 * MOST as u64 {
        translated(&mut times, server, 1 + server, NOW);
        times.forget(|listed| listed.0 + 10 > server);
        assert!(times.known.len() <= MOST + 1);
    }
}
