//! Tests of whether a request may be sent or rejected, by its idempotency and the results of its attempts.

use super::*;

/// Checks every combination of idempotency, deduplication scope, result and time: whether the request may be
/// sent again, and whether it may be rejected.
#[test]
fn idempotency_and_result_decide_on_retries_and_rejection() {
    let never_executed =
        [AttemptResult::Rejected, AttemptResult::ConnectFailed, AttemptResult::NotSent, AttemptResult::Miss];
    let possibly_executed =
        [AttemptResult::Error, AttemptResult::Timeout, AttemptResult::Reset, AttemptResult::Cancelled];
    for (idempotency, scope) in [
        (Idempotency::Idempotent, DeduplicationScope::All),
        (Idempotency::WithIdempotencyKey, DeduplicationScope::All),
        (Idempotency::WithIdempotencyKey, DeduplicationScope::Zone),
        (Idempotency::WithIdempotencyKey, DeduplicationScope::Cell),
        (Idempotency::NotIdempotent, DeduplicationScope::All),
    ] {
        for result in never_executed.iter().chain(&possibly_executed) {
            let settings = settings(idempotency, scope);
            let mut balancer = new_balancer(settings.clone(), &endpoints(4));
            let first = sent_to(&handle(&mut balancer, 10, Event::Request(request(1, 10, 5)))).expect("sent");
            let mut open = balancer.open_requests.take(&request_id(1)).expect("open");
            let (class, limits) = (&settings.classes[0], &settings.limits);
            let first = endpoint(first.0);
            let other = endpoint((first.server.0 + 1) % 4);
            assert!(
                !open.may_send(Micros(20), &first, class, limits),
                "sent again while an attempt is in flight"
            );
            let overlapping = Limits { may_duplicate: true, ..limits.clone() };
            let may_overlap = open.may_send(Micros(20), &first, class, &overlapping);
            assert_eq!(
                may_overlap,
                idempotency == Idempotency::Idempotent,
                "only idempotent requests may be hedged"
            );
            let is_never_executed = never_executed.contains(result);
            open.attempts[0].state =
                if is_never_executed { AttemptState::NotExecuted } else { AttemptState::MayHaveExecuted };
            let may_send = |to: &Endpoint, now: u64| open.may_send(Micros(now), to, class, limits);
            let has_key = idempotency == Idempotency::WithIdempotencyKey;
            let is_unrestricted = is_never_executed || idempotency == Idempotency::Idempotent;
            let name = format!("{idempotency:?} {scope:?} {result:?}");
            assert_eq!(may_send(&first, 20), is_unrestricted || has_key, "{name}");
            let is_safe_everywhere = is_unrestricted || has_key && scope == DeduplicationScope::All;
            assert_eq!(may_send(&other, 20), is_safe_everywhere, "{name}");
            assert_eq!(may_send(&first, 400_010), is_unrestricted, "{name}: past the deduplication window");
            assert_eq!(open.may_reject(class), is_safe_everywhere, "{name}");
            let draining = Endpoint { state: EndpointState::Draining, ..first.clone() };
            assert!(!may_send(&draining, 20) && !may_send(&first, SECOND + 10), "{name}");
        }
    }
}

#[test]
fn late_request_is_rejected_if_idempotent_and_failed_if_not() {
    for (idempotency, is_rejected) in [(Idempotency::Idempotent, true), (Idempotency::NotIdempotent, false)] {
        let mut balancer = new_balancer(settings(idempotency, DeduplicationScope::All), &endpoints(4));
        let to = sent_to(&handle(&mut balancer, 10, Event::Request(request(1, 10, 5)))).expect("sent");
        let actions = handle(&mut balancer, SECOND + 10, completed(1, 0, to, AttemptResult::Timeout));
        let is_expected = match &actions[..] {
            [Action::Reject { retry_after, .. }] => is_rejected && *retry_after <= RETRY_AFTER_SPREAD,
            [Action::Fail { .. }] => !is_rejected,
            _ => false,
        };
        assert!(is_expected, "{actions:?}");
        assert!(balancer.open_requests.is_empty());
    }
}
