//! Tests of registration tables and their copies.

use super::*;
use crate::wire::{encode, Message, PeerMessage};

const ASSIGNED_REPLICA: ReplicaId = ReplicaId(2);

fn epoch(counter: u64) -> Epoch {
    Epoch { incarnation: 7, counter }
}

fn store(table: &mut RegistrationTable, member: u32, counter: u64) -> StoreOutcome {
    table.store(MemberId(member), epoch(counter), ASSIGNED_REPLICA, RegistrationState::Known)
}

/// Copies all changes of a table.
fn update_copy(copy: &mut TableCopy, table: &RegistrationTable, incarnation: u64) {
    while !copy.is_complete(incarnation, table.change()) {
        assert!(copy.apply(&table.changes_after(incarnation, copy.through(incarnation))));
    }
}

#[test]
fn the_greatest_epoch_wins_and_a_release_is_final() {
    let mut table = RegistrationTable::default();
    assert_eq!(store(&mut table, 1, 5), StoreOutcome::Stored);
    assert_eq!(store(&mut table, 1, 5), StoreOutcome::Present);
    assert_eq!(store(&mut table, 1, 4), StoreOutcome::Superseded(epoch(5)));
    assert!(table.set_state(MemberId(1), epoch(5), RegistrationState::Released));
    assert_eq!(store(&mut table, 1, 5), StoreOutcome::Released);
    assert!(!table.set_state(MemberId(1), epoch(4), RegistrationState::Active));
    assert_eq!(store(&mut table, 1, 6), StoreOutcome::Stored);
}

#[test]
fn a_copy_is_updated_incrementally_and_every_chunk_fits_into_a_datagram() {
    let mut table = RegistrationTable::default();
    let mut copy = TableCopy::default();
    for member in 0..500 {
        store(&mut table, member, u64::MAX - 1);
    }
    let chunk = table.changes_after(u64::MAX, 0);
    let message = Message::BetweenReplicas(PeerMessage::TableChunk(chunk));
    assert!(encode(&message).is_some(), "a chunk with the greatest numbers is too long");
    update_copy(&mut copy, &table, 9);
    assert_eq!(copy.registrations(), table.registrations());
    store(&mut table, 3, u64::MAX);
    table.set_state(MemberId(4), epoch(u64::MAX - 1), RegistrationState::Released);
    let chunk = table.changes_after(9, copy.through(9));
    assert_eq!(chunk.registrations.len(), 2, "expected only the two changed registrations");
    update_copy(&mut copy, &table, 9);
    assert_eq!(copy.registrations(), table.registrations());
}

#[test]
fn a_copy_ignores_chunks_after_a_gap_and_of_old_incarnations() {
    let mut table = RegistrationTable::default();
    for member in 0..60 {
        store(&mut table, member, 1);
    }
    let first = table.changes_after(5, 0);
    let second = table.changes_after(5, first.through);
    let mut copy = TableCopy::default();
    assert!(!copy.apply(&second), "a chunk after a gap was applied");
    assert!(copy.apply(&first) && copy.apply(&second) && copy.apply(&first));
    assert_eq!(copy.through(5), second.through);
    let newer = RegistrationTable::default().changes_after(6, 0);
    assert!(
        copy.apply(&newer) && copy.registrations().is_empty(),
        "a new incarnation did not reset the copy"
    );
    assert!(!copy.apply(&first), "a chunk of an old incarnation was applied");
}

#[test]
fn a_full_table_accepts_a_new_member_only_by_evicting_a_released_one() {
    let mut table = RegistrationTable::default();
    let full = MAX_MEMBERS as u32;
    for member in 0..full {
        assert_eq!(store(&mut table, member, 1), StoreOutcome::Stored);
    }
    assert_eq!(store(&mut table, full, 1), StoreOutcome::Full);
    assert_eq!(store(&mut table, 17, 2), StoreOutcome::Stored, "a full table rejected a registered member");
    table.set_state(MemberId(30), epoch(1), RegistrationState::Released);
    assert_eq!(store(&mut table, full, 1), StoreOutcome::Stored);
    assert!(table.get(MemberId(30)).is_none());
    assert_eq!(table.registrations().len(), MAX_MEMBERS);
    assert_eq!(table.by_change.len(), MAX_MEMBERS);
}

/// Guards against a copy that claims to be complete without registrations of the original table: the copy is
/// reset once it overflows with registrations that were evicted from the original table.
#[test]
fn a_copy_that_overflows_is_reset() {
    let mut table = RegistrationTable::default();
    let mut copy = TableCopy::default();
    let mut largest = 0;
    for member in 0..5 * MAX_MEMBERS as u32 {
        if member >= MAX_MEMBERS as u32 {
            let evicted = MemberId(member - MAX_MEMBERS as u32);
            assert!(table.set_state(evicted, epoch(1), RegistrationState::Released));
        }
        assert_eq!(store(&mut table, member, 1), StoreOutcome::Stored);
        let chunk = table.changes_after(1, copy.through(1));
        copy.apply(&chunk);
        largest = largest.max(copy.registrations().len());
        if member.is_multiple_of(512) && copy.is_complete(1, table.change()) {
            assert!(table.registrations().keys().all(|member| copy.registrations().contains_key(member)));
        }
    }
    assert!(largest <= 2 * MAX_MEMBERS && largest > MAX_MEMBERS, "{largest}");
}
