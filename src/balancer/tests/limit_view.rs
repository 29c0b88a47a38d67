//! What operators see of the limits.

use super::*;

#[test]
fn view_names_the_binding_limit_and_none_where_none_binds() {
    let mut balancer = new_balancer(idempotent_settings(), &endpoints(2));
    assert!(balancer.limits(Micros(SECOND)).servers.iter().all(|limit| limit.binding_limit().is_none()));
    fill_origin(&mut balancer);
    balancer.endpoints.server_mut(ServerId(1)).expect("listed").gap = gapped(9);
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
