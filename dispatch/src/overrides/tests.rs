//! Overrides against lists, changes and resets of discovery.

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
fn an_override_outlives_what_discovery_says_until_it_ends() {
    let mut overrides = OperatorOverrides::default();
    assert!(overrides.take_offline(ServerId(7), "s-7", NOW).is_err(), "never listed");
    overrides.apply_update(true, &[serving(7), serving(8)]);
    let overridden = overrides.take_offline(ServerId(7), "s-7", NOW).unwrap().unwrap();
    assert_eq!(overridden.endpoint.state, EndpointState::Draining);
    assert!(overrides.take_offline(ServerId(7), "s-7", NOW).is_ok(), "a second call is the same");
    // Discovery says the server serves, in whole lists and in changes alike, that it is gone, that it has
    // started anew, and has it in no list at all: it still drains whenever it is named.
    for replace in [true, false] {
        let seen = overrides.apply_update(replace, &[serving(7), serving(8)]);
        assert_eq!(
            (seen[0].endpoint.state, seen[1].endpoint.state),
            (EndpointState::Draining, EndpointState::Serving)
        );
        overrides.apply_update(false, &[listed_server(7, EndpointState::Deleted, 0)]);
        let anew = listed_server(7, EndpointState::Serving, NOW.0 + 1);
        assert_eq!(overrides.apply_update(false, &[anew])[0].endpoint.state, EndpointState::Draining);
        overrides.apply_update(true, &[serving(8)]);
        assert!(overrides.is_offline(ServerId(7)) && overrides.discovered_servers().count() == 1);
    }
    assert_eq!(overrides.apply_update(false, &[serving(7)])[0].endpoint.state, EndpointState::Draining);
    assert_eq!(overrides.offline_servers(), ["s-7"]);
    let back = overrides.bring_online(ServerId(7), NOW).unwrap().unwrap();
    assert_eq!(back.endpoint.state, EndpointState::Serving);
    assert_eq!(overrides.apply_update(false, &[serving(7)])[0].endpoint.state, EndpointState::Serving);
    assert!(overrides.bring_online(ServerId(9), NOW).is_err());
}

/// An id that was listed once is a server that operators know, though the list lacks it at this moment.
#[test]
fn a_server_that_is_gone_from_the_list_can_be_taken_offline() {
    let mut overrides = OperatorOverrides::default();
    overrides.apply_update(true, &[serving(7)]);
    overrides.apply_update(false, &[listed_server(7, EndpointState::Deleted, 0)]);
    assert!(overrides.bring_online(ServerId(7), NOW).unwrap().is_none(), "nothing to end, and no harm");
    assert!(overrides.take_offline(ServerId(7), "s-7", NOW).unwrap().is_none());
    assert_eq!(overrides.apply_update(false, &[serving(7)])[0].endpoint.state, EndpointState::Draining);
    // What is remembered for this is bounded.
    (0..2 * MAX_REMEMBERED_SERVERS as u64)
        .for_each(|n| drop(overrides.apply_update(true, &[serving(100 + n)])));
    assert_eq!(
        (overrides.known.len(), overrides.known_in_order.len()),
        (MAX_REMEMBERED_SERVERS, MAX_REMEMBERED_SERVERS)
    );
    assert!(overrides.is_offline(ServerId(7)), "an override is not forgotten with that");
}

/// While a server is out it is restarted: it comes back cold, whether discovery has told that or not yet.
#[test]
fn a_server_comes_back_as_one_that_has_just_started() {
    let later = Micros(NOW.0 + 6_000_000);
    for (started, want) in [(0, later.0), (NOW.0 + 2, NOW.0 + 2)] {
        let mut overrides = OperatorOverrides::default();
        overrides.apply_update(true, &[serving(7)]);
        overrides.take_offline(ServerId(7), "s-7", NOW).unwrap();
        overrides.apply_update(false, &[listed_server(7, EndpointState::Serving, started)]);
        let back = overrides.bring_online(ServerId(7), later).unwrap().unwrap();
        assert_eq!(back.endpoint.started, Micros(want));
        // A whole list that knows nothing new does not make it warm.
        assert_eq!(
            overrides.apply_update(true, &[listed_server(7, EndpointState::Serving, started)])[0]
                .endpoint
                .started,
            Micros(want)
        );
        // Discovery's word on the start, once it comes, is better than the guess.
        let truth = listed_server(7, EndpointState::Serving, NOW.0 + 1_000_000);
        assert_eq!(overrides.apply_update(false, &[truth])[0].endpoint.started, Micros(NOW.0 + 1_000_000));
        assert!(overrides.ended.is_empty());
    }
}

#[test]
fn an_override_of_an_earlier_process_holds_before_the_server_is_listed() {
    let mut overrides = OperatorOverrides::default();
    assert!(overrides.restore(ServerId(7), "s-7", NOW).is_none());
    assert_eq!(overrides.apply_update(true, &[serving(7)])[0].endpoint.state, EndpointState::Draining);
}
