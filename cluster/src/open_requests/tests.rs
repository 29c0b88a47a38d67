//! Responses that are accepted and rejected, and the bound on open requests.

use super::*;

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

#[test]
fn response_is_accepted_once_in_time_from_the_queried_peer() {
    let mut requests = OpenRequests::new(Micros::SECOND);
    let first = requests.open(Micros(5), peer(1));
    let second = requests.open(Micros(5), peer(2));
    assert_ne!(first, second, "two requests opened at the same time have the same send time");
    assert!(
        !requests.close(Micros(6), peer(2), first),
        "a response was accepted from a peer to which the request was not sent"
    );
    assert!(requests.close(Micros(6), peer(1), first));
    assert!(!requests.close(Micros(6), peer(1), first), "a duplicate response was accepted");
    assert!(!requests.close(second + Micros::SECOND, peer(2), second), "a late response was accepted");
}

#[test]
fn open_requests_are_bounded_and_removed_when_they_time_out() {
    let mut requests = OpenRequests::new(Micros::SECOND);
    for _ in 0..200 {
        requests.open(Micros(10), peer(1));
    }
    requests.expire(Micros(20));
    assert_eq!(requests.open.len(), MAX_OPEN_REQUESTS);
    requests.expire(Micros::from_secs(2));
    assert!(requests.open.is_empty());
}
