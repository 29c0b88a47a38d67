//! Operator overrides under lists, changes and resets from discovery.

use juniperladder::Endpoint;

use super::*;

const NOW: Micros = Micros(50_000_000);

fn listed_server(server: u64, state: EndpointState, started: u64) -> ListedServer {
    let endpoint = Endpoint {
        server: ServerId(server),
        zone: 0,
        kind: 0,
        cell: 0,
        state,
        weight: 1.0,
        started: Micros(started),
    };
    ListedServer { endpoint, address: None }
}

fn serving(server: u64) -> ListedServer {
    listed_server(server, EndpointState::Serving, 0)
}

#[test]
fn an_override_holds_until_it_ends_whatever_discovery_reports() {
    let mut overrides = OperatorOverrides::default();
    assert!(
        overrides.take_offline(ServerId(7), "s-7", NOW).is_err(),
        "a server that was never listed was taken offline"
    );
    overrides.apply_update(true, &[serving(7), serving(8)]);
    let overridden = overrides.take_offline(ServerId(7), "s-7", NOW).unwrap().unwrap();
    assert_eq!(overridden.endpoint.state, EndpointState::Draining);
    assert!(
        overrides.take_offline(ServerId(7), "s-7", NOW).is_ok(),
        "taking the server offline again failed"
    );
    // Discovery reports the server as serving, in complete lists and in changes, as deleted and as restarted, and
    // sends a list without it: the server is draining in every update that contains it.
    for is_complete in [true, false] {
        let seen = overrides.apply_update(is_complete, &[serving(7), serving(8)]);
        assert_eq!(
            (seen[0].endpoint.state, seen[1].endpoint.state),
            (EndpointState::Draining, EndpointState::Serving)
        );
        overrides.apply_update(false, &[listed_server(7, EndpointState::Deleted, 0)]);
        let restarted = listed_server(7, EndpointState::Serving, NOW.0 + 1);
        assert_eq!(overrides.apply_update(false, &[restarted])[0].endpoint.state, EndpointState::Draining);
        overrides.apply_update(true, &[serving(8)]);
        assert!(overrides.is_offline(ServerId(7)) && overrides.discovered_servers().count() == 1);
    }
    assert_eq!(overrides.apply_update(false, &[serving(7)])[0].endpoint.state, EndpointState::Draining);
    assert_eq!(overrides.offline_servers(), ["s-7"]);
    let online = overrides.bring_online(ServerId(7), NOW).unwrap().unwrap();
    assert_eq!(online.endpoint.state, EndpointState::Serving);
    assert_eq!(overrides.apply_update(false, &[serving(7)])[0].endpoint.state, EndpointState::Serving);
    assert!(overrides.bring_online(ServerId(9), NOW).is_err());
}

/// Guards against rejecting an operator's call for a server that was listed once but is not in the current list.
#[test]
fn a_formerly_listed_server_can_be_taken_offline() {
    let mut overrides = OperatorOverrides::default();
    overrides.apply_update(true, &[serving(7)]);
    overrides.apply_update(false, &[listed_server(7, EndpointState::Deleted, 0)]);
    assert!(overrides.bring_online(ServerId(7), NOW).unwrap().is_none(), "a deleted server was returned");
    assert!(overrides.take_offline(ServerId(7), "s-7", NOW).unwrap().is_none());
    assert_eq!(overrides.apply_update(false, &[serving(7)])[0].endpoint.state, EndpointState::Draining);
    // The number of remembered ids is bounded.
    (0..2 * MAX_REMEMBERED_SERVERS as u64)
        .for_each(|n| drop(overrides.apply_update(true, &[serving(100 + n)])));
    assert_eq!(
        (overrides.remembered.len(), overrides.remembered_by_age.len()),
        (MAX_REMEMBERED_SERVERS, MAX_REMEMBERED_SERVERS)
    );
    assert!(overrides.is_offline(ServerId(7)), "the override was forgotten with the id");
}

/// A server that was offline may have been restarted. Guards against sending it full load without slow start, whether
/// discovery has reported the restart or not.
#[test]
fn a_server_brought_online_counts_as_just_started() {
    let later = Micros(NOW.0 + 6_000_000);
    for (started, expected) in [(0, later.0), (NOW.0 + 2, NOW.0 + 2)] {
        let mut overrides = OperatorOverrides::default();
        overrides.apply_update(true, &[serving(7)]);
        overrides.take_offline(ServerId(7), "s-7", NOW).unwrap();
        overrides.apply_update(false, &[listed_server(7, EndpointState::Serving, started)]);
        let online = overrides.bring_online(ServerId(7), later).unwrap().unwrap();
        assert_eq!(online.endpoint.started, Micros(expected));
        // A complete list without a new start does not make the server warm.
        assert_eq!(
            overrides.apply_update(true, &[listed_server(7, EndpointState::Serving, started)])[0]
                .endpoint
                .started,
            Micros(expected)
        );
        // A start that discovery reports replaces the assumed one.
        let reported = listed_server(7, EndpointState::Serving, NOW.0 + 1_000_000);
        assert_eq!(overrides.apply_update(false, &[reported])[0].endpoint.started, Micros(NOW.0 + 1_000_000));
        assert!(overrides.ended.is_empty());
    }
}

#[test]
fn a_restored_override_applies_to_a_server_that_is_listed_later() {
    let mut overrides = OperatorOverrides::default();
    assert!(overrides.restore(ServerId(7), "s-7", NOW).is_none());
    assert_eq!(overrides.apply_update(true, &[serving(7)])[0].endpoint.state, EndpointState::Draining);
}
