//! Tests of the time until which a request is worth serving.

use super::*;

/// A client retry whose first attempt is past its latency objective is rejected without an attempt.
#[test]
fn client_retry_past_its_objective_is_rejected_at_once() {
    let mut balancer = new_balancer(idempotent_settings(), &endpoints(4));
    let send = |balancer: &mut Balancer, n: u64, time_left: u64, is_client_retry: bool| {
        let deadline = Micros(SECOND + time_left);
        let request = Request { is_client_retry, deadline, ..request(n, SECOND, n) };
        handle(balancer, SECOND, Event::Request(request))
    };
    assert!(sent_to(&send(&mut balancer, 1, 800_000, false)).is_some());
    assert!(
        sent_to(&send(&mut balancer, 2, 790_000, true)).is_some(),
        "a retry 210 ms after its first attempt must be sent, as the objective is 250 ms"
    );
    let late = send(&mut balancer, 3, 740_000, true);
    assert!(matches!(late[..], [Action::Reject { .. }]), "{late:?}");
    assert!(
        sent_to(&send(&mut balancer, 4, 740_000, false)).is_some(),
        "a first attempt with a short deadline must be sent"
    );
}
