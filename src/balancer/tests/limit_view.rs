//! Tests of the operators' view of the limits.

use super::*;

#[test]
fn view_shows_the_binding_limit_or_none() {
    let mut balancer = new_balancer(idempotent_settings(), &endpoints(2));
    assert!(balancer.limits(Micros(SECOND)).servers.iter().all(|limit| limit.binding_limit().is_none()));
    fill_origin(&mut balancer);
    balancer.endpoints.server_mut(ServerId(1)).expect("listed").gap = active_gap(9);
    handle(&mut balancer, SECOND, Event::Request(Request { is_write: true, ..request(1, SECOND, 7) }));
    let limits = balancer.limits(Micros(SECOND + 1));
    let binding: Vec<_> = limits
        .servers
        .iter()
        .map(|limit| (limit.server.0, limit.binding_limit().map(BindingLimit::label)))
        .collect();
    assert_eq!(binding, [(0, None), (1, Some("gap")), (900, Some("places"))]);
    assert_eq!(limits.waiting_for_origin, 1);
}

/// Guards against a view that shows an idle server as full: one attempt is always allowed, however low the
/// limit is.
#[test]
fn idle_server_with_a_limit_below_one_is_not_full() {
    let mut balancer = new_balancer(idempotent_settings(), &endpoints(1));
    let server = balancer.endpoints.server_mut(ServerId(0)).expect("listed");
    server.concurrency.limit = 0.5;
    assert!(server.concurrency.has_capacity(Micros(SECOND), false));
    assert_eq!(balancer.limits(Micros(SECOND)).servers[0].binding_limit(), None);
    balancer.endpoints.server_mut(ServerId(0)).expect("listed").concurrency.reserve(false);
    let binding = balancer.limits(Micros(SECOND)).servers[0].binding_limit();
    assert_eq!(binding, Some(BindingLimit::Concurrency));
}
