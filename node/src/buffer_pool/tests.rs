use super::*;
use crate::testing::{self, yield_until_idle};
use tokio::task::spawn_local;

/// Guards against memory that is freed and still counted, or counted as free while a clone or slice still holds it.
#[test]
fn bytes_stay_reserved_until_the_last_handle_is_dropped() {
    let pool = BufferPool::new(100);
    let reservation = pool.try_reserve(BufferKind::Request, 60).unwrap();
    let buffer = reservation.hold_for(Bytes::from(vec![b'x'; 60]));
    let slice = buffer.slice(59..);
    drop(buffer);
    assert_eq!(pool.reserved_bytes(), 60);
    assert!(pool.try_reserve(BufferKind::Request, 41).is_none());
    drop(slice);
    assert_eq!(pool.reserved_bytes(), 0);
}

/// Guards against values that could be streamed using up what others have no other way to do without.
#[test]
fn each_kind_leaves_its_part_of_the_pool_free() {
    for (kind, most) in [
        (BufferKind::Request, 100),
        (BufferKind::Line, 88),
        (BufferKind::PipelinedRequest, 88),
        (BufferKind::IncompleteRequest, 75),
        (BufferKind::Value, 75),
        (BufferKind::LargeChunk, 50),
    ] {
        let pool = BufferPool::new(100);
        let reservations: Vec<Reservation> = std::iter::from_fn(|| pool.try_reserve(kind, 1)).collect();
        assert_eq!(reservations.len(), most, "{kind:?}");
    }
}

/// Guards against a large reservation that waits forever while small ones pass it, and against one that is larger than the
/// pool.
#[test]
fn reservations_are_granted_in_the_order_of_their_requests() {
    testing::run_paused(async {
        let pool = BufferPool::new(100);
        let first = pool.reserve(80).await;
        let waiting: Vec<_> = [200, 10].map(|bytes| spawn_local(wait(pool.clone(), bytes))).into();
        yield_until_idle().await;
        assert!(waiting.iter().all(|task| !task.is_finished()), "passed one that waits");
        drop(first);
        for (task, bytes) in waiting.into_iter().zip([100, 10]) {
            assert_eq!(task.await.unwrap().bytes(), bytes);
        }
    });
}

/// Guards against requests that wait for the buffers of clients that write slowly.
#[test]
fn a_complete_request_does_not_wait_for_incomplete_ones() {
    testing::run_paused(async {
        let pool = BufferPool::new(100);
        let first = pool.try_reserve(BufferKind::IncompleteRequest, 75).unwrap();
        let mut incomplete = pool.reserve_later(BufferKind::IncompleteRequest, 70);
        assert!(pool.try_reserve(BufferKind::IncompleteRequest, 0).is_none(), "passed one that waits");
        let second = pool.try_reserve(BufferKind::Request, 25).unwrap();
        let mut complete = pool.reserve_later(BufferKind::Request, 20);
        drop(second);
        assert_eq!(complete.granted().await.bytes(), 20);
        let has_waited = tokio::time::timeout(std::time::Duration::from_secs(1), incomplete.granted()).await;
        assert!(has_waited.is_err());
        drop(first);
        assert_eq!(incomplete.granted().await.bytes(), 70);
    });
}

/// Guards against bytes that are lost with a reservation that is given up while it waits.
#[test]
fn a_withdrawn_reservation_leaves_its_turn_to_the_next() {
    testing::run_paused(async {
        let pool = BufferPool::new(100);
        let first = pool.reserve(100).await;
        let withdrawn = pool.reserve_later(BufferKind::Request, 90);
        let mut next = pool.reserve_later(BufferKind::Request, 50);
        drop(withdrawn);
        drop(first);
        drop(next.granted().await);
        assert_eq!(pool.reserved_bytes(), 0);
    });
}

async fn wait(pool: BufferPool, bytes: usize) -> Reservation {
    pool.reserve(bytes).await
}
