//! Tests of placement: the owners of a key, and the order in which they are tried.

use std::collections::BTreeSet;

use super::*;

#[test]
fn only_keys_of_a_removed_server_move() {
    let list = endpoints(20);
    let mut all = new_balancer(idempotent_settings(), &list);
    let mut fewer = new_balancer(idempotent_settings(), &list[1..]);
    let mut moved = 0;
    for key in 0..1_000 {
        let (before, after) = (owner_of(&mut all, key), owner_of(&mut fewer, key));
        if before == ServerId(0) {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((20..100).contains(&moved), "one server of 20 owned {moved} keys of 1000");
}

#[test]
fn popular_key_has_several_owners_but_none_in_slow_start() {
    let mut list = endpoints(20);
    let mut balancer = new_balancer(idempotent_settings(), &list);
    for _ in 0..300 {
        balancer.placement.on_read(Key(1));
        balancer.placement.on_read(Key(2_000 + balancer.placement.total_reads as u64));
    }
    let popularity = balancer.placement.popularity(Key(1));
    assert!((0.4..0.6).contains(&popularity), "{popularity}");
    let settings = idempotent_settings();
    let owners = balancer.placement.rank(Key(1), Micros(5), &balancer.endpoints.servers, &settings);
    assert!(owners > 5, "{owners} owners for half of all requests on 20 servers");
    let first = balancer.endpoints.servers[balancer.placement.candidates[0].server].endpoint.server;
    list[first.0 as usize].started = Micros(100 * SECOND);
    handle(&mut balancer, 101 * SECOND, Event::EndpointsChanged(EndpointUpdate::Snapshot, &list));
    balancer.placement.rank(Key(1), Micros(101 * SECOND), &balancer.endpoints.servers, &settings);
    for candidate in &balancer.placement.candidates {
        assert!(balancer.endpoints.servers[candidate.server].endpoint.server != first);
    }
}

/// All balancers agree on the owners of a popular key; each of them prefers an owner in its own zone.
#[test]
fn popular_key_is_read_in_the_zone_of_the_balancer_first() {
    let owners_seen_from = |zone: u32| {
        let mut balancer = new_balancer(Settings { zone, ..idempotent_settings() }, &endpoints(24));
        for _ in 0..400 {
            balancer.placement.on_read(Key(7));
        }
        let servers = &balancer.endpoints.servers;
        let owners = balancer.placement.rank(Key(7), Micros(SECOND), servers, &balancer.settings);
        let owners = &balancer.placement.candidates[..owners];
        let zones: Vec<u32> = owners.iter().map(|owner| servers[owner.server].endpoint.zone).collect();
        assert!(zones.len() > 2 && zones[0] == zone, "{zones:?}");
        owners.iter().map(|owner| owner.server).collect::<BTreeSet<_>>()
    };
    assert_eq!(owners_seen_from(0), owners_seen_from(1), "the owners must be the same at all balancers");
}
