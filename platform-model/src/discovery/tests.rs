//! Tests of `discovery`.

use super::*;

#[test]
fn the_list_is_the_sum_of_its_changes() {
    let entry = |id: &str, life| Entry { id: id.into(), slot: 0, life, started: None };
    let mut list = Catalog::new(vec![entry("a", Life::InService), entry("b", Life::InService)]);
    list.change(entry("a", Life::Terminating));
    list.change(entry("a", Life::Terminated));
    assert_eq!(list.generation(), 4);
    let ids = |generation| list.whole(generation).iter().map(|e| e.id.clone()).collect::<Vec<_>>();
    assert_eq!(
        (ids(2), ids(3), ids(4)),
        (vec!["a".into(), "b".into()], vec!["b".into(), "a".into()], vec!["b".into()])
    );
    assert_eq!(list.between(2, 4).len(), 2);
    assert!(list.between(9, 12).is_empty());
}

#[test]
fn calls_wait_for_each_other_and_fail_when_that_takes_too_long() {
    let mut door = Door::new(2.0, 1.0);
    let half = MICROS_PER_SECOND / 2;
    assert_eq!(
        [door.call(0), door.call(0), door.call(0)],
        [Some(half), Some(MICROS_PER_SECOND), Some(3 * half)]
    );
    assert_eq!(door.call(0), None);
    assert_eq!(door.call(MICROS_PER_SECOND), Some(4 * half));
}
