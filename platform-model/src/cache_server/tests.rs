//! Cache, cores and slow start of a server.

use super::*;
use crate::rng::{seeded_rng, RngStream};

fn server() -> (CacheServer, SeededRng) {
    (CacheServer::new(CacheServers::default(), 1.0, 3), seeded_rng(1, RngStream::ServiceTimes))
}

#[test]
fn cached_keys_are_bounded_in_number_invalidated_and_lost_on_restart() {
    let (mut server, mut rng) = server();
    let mut read = |server: &mut CacheServer, now, key| server.on_request(now, key, &mut rng).answer;
    assert_eq!(read(&mut server, 0, 1), Answer::Miss { fetching: false });
    assert_eq!(read(&mut server, 1, 1), Answer::Miss { fetching: true });
    server.store(1);
    assert_eq!(read(&mut server, 2, 1), Answer::Hit);
    (2..5).for_each(|key| server.store(key));
    assert_eq!(
        read(&mut server, 3, 1),
        Answer::Miss { fetching: false },
        "expected the cache to hold only three keys"
    );
    assert_eq!(read(&mut server, 4, 4), Answer::Hit);
    server.invalidate(4);
    assert_eq!(read(&mut server, 5, 4), Answer::Miss { fetching: false });
    server.restart(6);
    assert_eq!((server.incarnation, read(&mut server, 7, 3)), (1, Answer::Miss { fetching: false }));
}

#[test]
fn core_runs_one_request_at_a_time_and_the_queue_is_bounded() {
    let (mut server, mut rng) = server();
    server.store(1);
    let first = server.on_request(0, 1, &mut rng).at;
    let second = server.on_request(0, 1, &mut rng).at;
    assert!(first >= 10_000 && second >= first + 10_000);
    let answers: Vec<Answer> = (0..300).map(|_| server.on_request(0, 1, &mut rng).answer).collect();
    assert_eq!(
        answers.iter().filter(|a| **a == Answer::Hit).count(),
        206,
        "8 slots and 200 queue places, 2 of them in use"
    );
    assert!(server.load_report(MICROS_PER_SECOND, &mut rng).waiting > 100.0);
    server.rejects_requests = true;
    assert_eq!(server.on_request(100 * MICROS_PER_SECOND, 1, &mut rng).answer, Answer::Rejected);
}

/// The server's capacity is 50 requests a second when warm and 17.5 at the start; it withstands four times its capacity.
#[test]
fn server_in_slow_start_collapses_under_overload_and_otherwise_warms_up() {
    for (rate, collapses) in [(60, false), (120, true)] {
        let (mut server, mut rng) = server();
        server.restart(MICROS_PER_SECOND);
        assert!(
            (server.capacity(MICROS_PER_SECOND) - 17.5).abs() < 0.01
                && server.capacity_share(4 * MICROS_PER_SECOND) < 1.0
        );
        for n in 0..rate * 2 {
            server.on_request(MICROS_PER_SECOND + n * MICROS_PER_SECOND / rate, 1, &mut rng);
        }
        assert_eq!(server.has_collapsed(), collapses, "{rate} a second");
        assert_eq!(server.capacity_share(7 * MICROS_PER_SECOND), 1.0);
    }
}
