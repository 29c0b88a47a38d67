//! Polls and watches whose events occur in a fixed order, at explicit instants.

use super::*;

struct Fixture {
    watches: Watches<()>,
    start: Instant,
}

impl Fixture {
    fn new(known: Option<u64>) -> Fixture {
        Fixture { watches: Watches::new(known), start: Instant::now() }
    }

    fn at(&self, milliseconds: u64) -> Instant {
        self.start + Duration::from_millis(milliseconds)
    }

    fn start_poll(&mut self, milliseconds: u64) -> PollId {
        let id = self.watches.next_id();
        let now = self.at(milliseconds);
        self.watches.on_poll_started(id, (), now);
        id
    }

    fn list(&mut self, id: PollId, version: u64, is_complete: bool, milliseconds: u64) -> ListUse {
        let now = self.at(milliseconds);
        self.watches.on_list(id, version, is_complete, now)
    }

    fn overdue(&mut self, milliseconds: u64) -> Vec<Overdue> {
        let now = self.at(milliseconds);
        self.watches.take_overdue(now).into_iter().map(|report| report.kind).collect()
    }

    fn end(&mut self, id: PollId, milliseconds: u64) -> bool {
        let now = self.at(milliseconds);
        self.watches.on_ended(id, now).is_some()
    }
}

/// A poll without a known version requests a complete list, so its first list is a snapshot even if it is not marked so.
#[test]
fn the_first_list_without_a_known_version_is_a_snapshot() {
    let mut fixture = Fixture::new(None);
    let first = fixture.start_poll(0);
    assert_eq!(fixture.list(first, 7, false, 1), ListUse::Snapshot);
    assert_eq!(fixture.list(first, 8, false, 2), ListUse::Delta);
    assert_eq!(fixture.list(first, 9, true, 3), ListUse::Snapshot);
    fixture.watches.on_new_address();
    assert_eq!(fixture.watches.version(), None);
    let after_change = fixture.start_poll(4);
    assert_eq!(fixture.list(after_change, 1, false, 5), ListUse::Snapshot);
    assert!(!fixture.watches.awaits_list_of_new_address());
}

/// Guards against a lost answer: an answer after the timeout is applied, and closes the poll made in parallel.
#[test]
fn a_late_answer_is_accepted_and_closes_the_parallel_poll() {
    let mut fixture = Fixture::new(Some(3));
    let first = fixture.start_poll(0);
    assert!(!fixture.watches.needs_poll());
    assert_eq!(fixture.watches.deadline(), Some(fixture.start + ANSWER_TIMEOUT));
    assert_eq!(fixture.overdue(2_599), []);
    assert_eq!(fixture.overdue(2_600), [Overdue::NoAnswer]);
    assert_eq!(fixture.overdue(2_700), [], "an overdue poll was reported twice");
    assert!(fixture.watches.needs_poll());
    let second = fixture.start_poll(2_800);
    assert!(!fixture.watches.needs_poll());
    assert_eq!(fixture.list(first, 5, false, 3_000), ListUse::Delta);
    assert!(!fixture.end(second, 3_001) && fixture.list(second, 5, false, 3_002) == ListUse::PollClosed);
    assert!(fixture.end(first, 6_000), "the end of the current watch was not reported");
}

/// A silent watch is used until a later poll has been answered, and its end is not reported as a second failure.
#[test]
fn a_silent_watch_is_used_until_the_next_poll_is_answered() {
    let mut fixture = Fixture::new(Some(3));
    let first = fixture.start_poll(0);
    assert_eq!(fixture.list(first, 4, false, 100), ListUse::Delta);
    assert_eq!(fixture.overdue(2_600), [Overdue::Silent]);
    let second = fixture.start_poll(2_700);
    assert_eq!(
        fixture.list(first, 5, false, 2_800),
        ListUse::Delta,
        "a list of an overdue watch was not applied"
    );
    let third = fixture.start_poll(2_900);
    assert_eq!(fixture.list(second, 6, false, 2_950), ListUse::PollClosed);
    let answered = fixture.watches.on_heartbeat(third, fixture.start + Duration::from_secs(3));
    assert_eq!(answered, Heartbeat::Answered);
    assert!(!fixture.end(first, 3_100), "the end of a replaced watch was reported");
    assert!(fixture.end(third, 3_200), "the end of the current watch was not reported");
}

/// Guards against a list that reverts a newer one: a list is ignored if another watch has delivered a newer version.
#[test]
fn an_older_list_is_ignored() {
    let mut fixture = Fixture::new(Some(3));
    let first = fixture.start_poll(0);
    fixture.list(first, 4, false, 100);
    fixture.overdue(2_600);
    let second = fixture.start_poll(2_700);
    fixture.watches.version = Some(6);
    assert_eq!(fixture.list(second, 5, false, 2_800), ListUse::Outdated);
    assert_eq!(fixture.watches.version(), Some(6));
    assert_eq!(fixture.list(second, 6, false, 2_900), ListUse::Delta);
    // A complete list of an older version than was known when the poll started means restarted version numbers.
    let third = fixture.start_poll(3_000);
    assert_eq!(fixture.list(third, 2, true, 3_100), ListUse::Snapshot);
    assert_eq!(fixture.watches.version(), Some(2));
}

/// Changes with an older version than the requested one cannot be applied consistently, so their poll is closed.
#[test]
fn changes_with_an_older_version_close_the_poll() {
    let mut fixture = Fixture::new(Some(3));
    let first = fixture.start_poll(0);
    assert_eq!(fixture.list(first, 2, false, 100), ListUse::Contradictory { known: 3 });
    assert_eq!(fixture.watches.version(), None, "the next poll would not request a complete list");
    assert!(fixture.watches.needs_poll());
}

/// Guards against losing the only watch in repeated reloads: it stays open until a new address has sent its list, while
/// unanswered polls of superseded addresses are closed.
#[test]
fn the_current_watch_outlives_addresses_that_never_answer() {
    let mut fixture = Fixture::new(Some(3));
    let first = fixture.start_poll(0);
    fixture.list(first, 4, false, 100);
    for address in 1..5 {
        fixture.watches.on_new_address();
        let unanswered = fixture.start_poll(address * 200);
        assert!(fixture.watches.awaits_list_of_new_address());
        let heartbeat = fixture.watches.on_heartbeat(unanswered, fixture.start);
        assert_eq!(heartbeat, Heartbeat::Ignored, "a heartbeat was taken for the complete list");
        assert_eq!(fixture.list(first, 4 + address, false, address * 200 + 50), ListUse::Delta);
        assert_eq!(fixture.watches.version(), None, "a version of the old address was kept for the new one");
    }
    let new_poll = fixture.start_poll(1_100);
    assert_eq!(fixture.list(new_poll, 1, true, 1_200), ListUse::Snapshot);
    assert_eq!(fixture.list(first, 9, false, 1_300), ListUse::PollClosed);
    assert_eq!(fixture.watches.version(), Some(1));
}

/// Guards against a leak of connections: while discovery hangs, the number of open polls stays bounded.
#[test]
fn unanswered_polls_are_bounded() {
    let mut fixture = Fixture::new(Some(3));
    for poll in 0..100 {
        fixture.start_poll(poll * 2_700);
        assert!(fixture.watches.open.len() <= MAX_OPEN_POLLS);
        assert_eq!(fixture.overdue(poll * 2_700 + 2_650), [Overdue::NoAnswer]);
    }
    fixture.overdue(1_000_000);
    assert!(fixture.watches.open.is_empty() && fixture.watches.deadline().is_none());
}
