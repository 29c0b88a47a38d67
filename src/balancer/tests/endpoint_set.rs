//! Tests of the endpoint list: updates, draining, restarts, lists of any size.

use super::*;

#[test]
fn draining_and_deleted_servers_get_no_more_sends() {
    for state in [EndpointState::Draining, EndpointState::Deleted] {
        let mut balancer = new_balancer(idempotent_settings(), &endpoints(3));
        let target = sent_to(&handle(&mut balancer, 10, Event::Request(request(1, 10, 5)))).expect("sent");
        let change = [Endpoint { state, ..endpoint(target.0) }];
        handle(&mut balancer, 20, Event::EndpointsChanged(EndpointUpdate::Delta, &change));
        for n in 2..200 {
            for server in &mut balancer.endpoints.servers {
                server.concurrency = ConcurrencyLimit::new(1);
            }
            let to = sent_to(&handle(&mut balancer, 30 + n, Event::Request(request(n, 30 + n, n))));
            assert!(to.is_some_and(|to| to != target), "{state:?}");
        }
    }
}

#[test]
fn restarted_server_has_no_gap() {
    let mut balancer = new_balancer(idempotent_settings(), &endpoints(3));
    balancer.endpoints.servers[1].gap.rung = 9;
    let restarted = [Endpoint { started: Micros(50), ..endpoint(1) }];
    handle(&mut balancer, 60, Event::EndpointsChanged(EndpointUpdate::Delta, &restarted));
    assert_eq!(balancer.endpoints.servers[1].gap.rung, 0);
}

/// Lists that discovery may return: empty, with one server, with very many, with duplicates.
#[test]
fn endpoint_lists_of_any_size_are_routed() {
    let twice = [endpoints(3), endpoints(3)].concat();
    for (list, listed) in [(vec![], 0), (endpoints(0), 1), (endpoints(10_000), 10_000), (twice, 4)] {
        let mut balancer = new_balancer(idempotent_settings(), &list);
        assert_eq!(balancer.limits(Micros(SECOND)).servers.len(), listed);
        let actions = handle(&mut balancer, SECOND, Event::Request(request(1, SECOND, 7)));
        assert_eq!(sent_to(&actions).is_some(), listed > 0, "{listed} listed: {actions:?}");
    }
}
