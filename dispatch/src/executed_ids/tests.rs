use super::*;

#[test]
fn an_id_is_kept_for_its_time() {
    let mut ids = ExecutedIds::default();
    ids.insert(Micros(5), b"a");
    assert!(ids.contains(Micros(5), b"a") && !ids.contains(Micros(5), b"b"));
    assert!(ids.contains(RETENTION, b"a"));
    assert!(!ids.contains(RETENTION.saturating_add(Micros(5)), b"a"));
}

/// Guards against memory that grows with the number of requests.
#[test]
fn the_number_of_ids_is_bounded_and_the_newest_are_kept() {
    let mut ids = ExecutedIds::default();
    for number in 0..MAX_IDS as u64 * 3 {
        ids.insert(Micros(number), &number.to_le_bytes());
    }
    assert_eq!((ids.hashes.len(), ids.by_age.len()), (MAX_IDS, MAX_IDS));
    assert!(ids.contains(Micros(0), &(MAX_IDS as u64 * 3 - 1).to_le_bytes()));
    assert!(!ids.contains(Micros(0), &0u64.to_le_bytes()));
}
