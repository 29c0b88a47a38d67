//! The endpoint list and the call queue.

use super::*;

#[test]
fn snapshot_applies_all_changes_up_to_its_generation() {
    let entry =
        |id: &str, lifecycle| Endpoint { id: id.into(), server_number: 0, lifecycle, started_at: None };
    let mut list =
        EndpointList::new(vec![entry("a", Lifecycle::InService), entry("b", Lifecycle::InService)]);
    list.apply_change(entry("a", Lifecycle::Terminating));
    list.apply_change(entry("a", Lifecycle::Terminated));
    assert_eq!(list.generation(), 4);
    let ids =
        |generation| list.snapshot(generation).iter().map(|endpoint| endpoint.id.clone()).collect::<Vec<_>>();
    assert_eq!(
        (ids(2), ids(3), ids(4)),
        (vec!["a".into(), "b".into()], vec!["b".into(), "a".into()], vec!["b".into()])
    );
    assert_eq!(list.changes_between(2, 4).len(), 2);
    assert!(list.changes_between(9, 12).is_empty());
}

#[test]
fn calls_wait_in_order_and_fail_beyond_the_timeout() {
    let mut queue = CallQueue::new(2.0, 1.0);
    let half_second = MICROS_PER_SECOND / 2;
    assert_eq!(
        [queue.on_call(0), queue.on_call(0), queue.on_call(0)],
        [Some(half_second), Some(MICROS_PER_SECOND), Some(3 * half_second)]
    );
    assert_eq!(queue.on_call(0), None);
    assert_eq!(queue.on_call(MICROS_PER_SECOND), Some(4 * half_second));
}
