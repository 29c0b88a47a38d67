use super::*;
use crate::testing::listed_server;

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

fn server(id: u64, started: u64) -> ListedServer {
    let mut server = listed_server(ServerId(id), EndpointState::Serving);
    server.address = Some(ADDRESS.into());
    server.endpoint.started = Micros(started);
    server
}

fn known(servers: &[ListedServer]) -> FxHashMap<ServerId, KnownServer> {
    let known = servers.iter().map(|server| (server.endpoint.server, KnownServer::new(server)));
    known.collect()
}

/// The servers of an update that are serving, and those that have ended, after the check.
fn check(
    is_complete: bool,
    mut update: Vec<ListedServer>,
    known_servers: &[ListedServer],
) -> (Vec<u64>, Vec<u64>) {
    end_replaced_servers(is_complete, &mut update, &known(known_servers));
    let (serving, ended): (Vec<_>, Vec<_>) = update.iter().partition(|server| is_serving(server));
    let ids = |servers: Vec<&ListedServer>| servers.iter().map(|server| server.endpoint.server.0).collect();
    (ids(serving), ids(ended))
}

/// Guards against work that goes to a new server as if it were the old one at its address.
#[test]
fn a_new_server_at_a_known_address_ends_the_one_before() {
    for (old_start, new_start) in [(0, 5), (3, 5), (0, 0)] {
        assert_eq!(check(false, vec![server(2, new_start)], &[server(1, old_start)]), (vec![2], vec![1]));
    }
    assert_eq!(check(true, vec![server(1, 3), server(2, 5)], &[server(1, 3)]), (vec![2], vec![1]));
}

/// Guards against a late word on the old server that would end the new one.
#[test]
fn the_server_before_does_not_end_the_new_one() {
    assert_eq!(check(false, vec![server(1, 3)], &[server(2, 5)]), (vec![], vec![1]));
    assert_eq!(check(true, vec![server(2, 5), server(1, 3)], &[server(2, 5)]), (vec![2], vec![1]));
}

#[test]
fn servers_at_other_addresses_or_out_of_service_are_left_alone() {
    let mut elsewhere = server(2, 5);
    elsewhere.address = Some(([127, 0, 0, 1], 10).into());
    assert_eq!(check(false, vec![elsewhere], &[server(1, 3)]), (vec![2], vec![]));
    let mut draining = server(1, 3);
    draining.endpoint.state = EndpointState::Draining;
    assert_eq!(check(false, vec![server(2, 5)], &[draining]), (vec![2], vec![]));
    assert_eq!(check(false, vec![server(1, 3)], &[server(1, 3)]), (vec![1], vec![]));
}
