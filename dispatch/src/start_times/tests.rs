//! Start times with a wall clock that is correct, ahead or behind.

use juniperladder::EndpointState;

use super::*;
use crate::testing::listed_server;

const NOW: Micros = Micros(50_000_000_000);
const HOUR: u64 = 3_600_000_000;
const SECOND: u64 = 1_000_000;

fn server_started_at(server: u64, started: u64) -> ListedServer {
    let mut listed_server = listed_server(ServerId(server), EndpointState::Serving);
    listed_server.endpoint.started = Micros(started);
    listed_server
}

fn local_start(times: &mut StartTimes, server: u64, reported: u64, now: Micros) -> u64 {
    let mut servers = [server_started_at(server, reported)];
    times.convert_to_local_clock(&mut servers, now);
    servers[0].endpoint.started.0
}

#[test]
fn a_correct_wall_clock_changes_no_start_time() {
    let mut times = StartTimes::default();
    for age in [0, 1, SECOND, HOUR] {
        assert_eq!(local_start(&mut times, age, NOW.0 - age, NOW), NOW.0 - age, "in the first list");
    }
    times.on_list_confirmed(NOW);
    let later = NOW.saturating_add(Micros(SECOND));
    assert_eq!(
        local_start(&mut times, 7, NOW.0 - SECOND, later),
        NOW.0 - SECOND,
        "listed two seconds after its start"
    );
    assert_eq!(local_start(&mut times, 8, 0, later), 0, "a start time of zero");
}

/// Guards against a new server that skips slow start: a wall clock that is ahead makes its reported start seem long past.
/// The converted start precedes the last list without the server by at most the discovery delay.
#[test]
fn a_new_server_is_not_treated_as_warm_if_the_wall_clock_is_ahead() {
    for ahead in [10 * SECOND, HOUR] {
        let mut times = StartTimes::default();
        local_start(&mut times, 1, NOW.0 - 2 * HOUR, NOW);
        times.on_list_confirmed(NOW);
        let later = NOW.saturating_add(Micros(SECOND));
        let local = local_start(&mut times, 7, later.0 - ahead, later);
        assert_eq!(local, NOW.saturating_sub(DISCOVERY_DELAY).0, "ahead by {ahead} µs");
        // A reported start is converted to the same local time in a later list, also after a confirmation.
        times.on_list_confirmed(later);
        let much_later = NOW.saturating_add(Micros(20 * SECOND));
        assert_eq!(local_start(&mut times, 7, later.0 - ahead, much_later), local);
        // A different reported start of the same server is converted anew, from the last confirmation.
        let restarted = local_start(&mut times, 7, later.0 - ahead + 1, much_later);
        assert_eq!(restarted, later.saturating_sub(DISCOVERY_DELAY).0);
    }
}

/// Guards against a new server that is in slow start for too long: a wall clock that is behind makes its reported start
/// seem to be in the future. The converted start is at most the time at which the list was received.
#[test]
fn a_new_server_is_not_kept_in_slow_start_if_the_wall_clock_is_behind() {
    let mut times = StartTimes::default();
    assert_eq!(local_start(&mut times, 1, NOW.0 + HOUR, NOW), NOW.0, "in the first list");
    times.on_list_confirmed(NOW);
    let later = NOW.saturating_add(Micros(SECOND));
    assert_eq!(local_start(&mut times, 7, later.0 + HOUR, later), later.0);
    assert_eq!(local_start(&mut times, 7, later.0 + HOUR, later.saturating_add(Micros(9 * SECOND))), later.0);
}

/// Guards against equal local start times of two incarnations of a server. Their reported starts differ, but both are
/// received at the same moment and may be limited to the same local time; the later start has to be later on the local
/// clock, too.
#[test]
fn a_later_start_is_later_whatever_the_wall_clock() {
    for (first, second) in [(NOW.0 - HOUR, NOW.0 - HOUR + 1), (NOW.0 + HOUR, NOW.0 + HOUR + 1)] {
        let mut times = StartTimes::default();
        times.on_list_confirmed(NOW);
        let before = local_start(&mut times, 7, first, NOW);
        assert!(local_start(&mut times, 7, second, NOW) > before);
    }
}

/// Balancers that share limits identify a server's incarnation by its reported start, which they all have to agree on.
#[test]
fn starts_by_a_trusted_wall_clock_are_unchanged() {
    let mut times = StartTimes::default();
    times.trust_wall_clock();
    times.on_list_confirmed(NOW);
    for reported in [NOW.0 - HOUR, NOW.0 + HOUR] {
        assert_eq!(local_start(&mut times, 7, reported, NOW), reported);
    }
}

#[test]
fn remembered_starts_are_bounded() {
    let mut times = StartTimes::default();
    for server in 0..3 * MAX_REMEMBERED_STARTS as u64 {
        local_start(&mut times, server, 1 + server, NOW);
        times.forget_unlisted(|listed| listed.0 + 10 > server);
        assert!(times.known.len() <= MAX_REMEMBERED_STARTS + 1);
    }
}
