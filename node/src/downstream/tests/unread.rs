//! Clients that read their answers slowly, or not at all.

use juniperladder_dispatch::streamed_value::{streamed_value, ChunkSender};
use tokio::io::DuplexStream;

use super::*;
use crate::downstream::slots::STALL_TIMEOUT;

/// The length of a value that is far longer than what a connection buffers.
const VALUE_BYTES: usize = 1 << 18;
/// What the socket of a client holds that reads nothing.
const SOCKET_BYTES: usize = 1 << 10;

/// Connects a client that asks for a long value under this id, and returns it with the sender of the value.
async fn ask_for_long_value(
    downstream: &Rc<Downstream>,
    recorder: &RecordingTransport,
    id: usize,
) -> (DuplexStream, ChunkSender) {
    let (stream, mut client) = duplex(SOCKET_BYTES);
    spawn_local(serve(Rc::clone(downstream), stream));
    client.write_all(format!("mg k v O{id} Pc=read,d=480\r\n").as_bytes()).await.unwrap();
    yield_until_idle().await;
    let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
    let (sender, value) = streamed_value(VALUE_BYTES);
    let reply = Reply::Served(Answer::Streamed(value));
    downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(reply));
    (client, sender)
}

/// Sends the value as fast as its client reads it.
async fn send_value(mut sender: ChunkSender) {
    for chunk in vec![b'x'; VALUE_BYTES].chunks(SOCKET_BYTES) {
        if sender.send(Bytes::copy_from_slice(chunk)).await.is_err() {
            return;
        }
    }
    let _ = sender.finish().await;
}

/// Guards against a value being cut off that its server still gives and its client still reads, with pauses in which
/// the socket shows no progress, however long.
#[test]
fn a_client_that_reads_with_long_pauses_gets_its_whole_value() {
    for pause in [Duration::from_secs(2), Duration::from_secs(6), STALL_TIMEOUT * 2] {
        testing::run_paused(async {
            let recorder = Rc::new(RecordingTransport::default());
            let downstream = downstream(&recorder);
            let (mut client, sender) = ask_for_long_value(&downstream, &recorder, 1).await;
            spawn_local(send_value(sender));
            let head = format!("VA {VALUE_BYTES} O1\r\n");
            let mut received = vec![0; head.len() + VALUE_BYTES + b"\r\n".len()];
            for part in received.chunks_mut(VALUE_BYTES / 4) {
                sleep(pause).await;
                client.read_exact(part).await.unwrap_or_else(|error| panic!("pauses of {pause:?}: {error}"));
            }
            assert!(received.starts_with(head.as_bytes()) && received.ends_with(b"x\r\n"));
        });
    }
}

/// Which of these clients have been cut off.
async fn cut_off(clients: &mut [DuplexStream]) -> Vec<bool> {
    let mut cut_off = Vec::new();
    for client in clients {
        let mut received = vec![0; 2 * SOCKET_BYTES];
        let mut has_ended = false;
        while let Ok(Ok(length)) = timeout(Duration::from_millis(1), client.read(&mut received)).await {
            has_ended |= length == 0;
            if has_ended {
                break;
            }
        }
        cut_off.push(has_ended);
    }
    cut_off
}

/// Clients that read nothing must not hold their slots while others need them: the one that has read nothing for
/// longest is evicted, after the stall timeout and no earlier.
#[test]
fn a_client_that_reads_nothing_is_evicted_only_for_another() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let (mut clients, mut senders) = (Vec::new(), Vec::new());
        for id in 0..3 {
            let (client, sender) = ask_for_long_value(&downstream, &recorder, id).await;
            clients.push(client);
            senders.push(spawn_local(send_value(sender)));
            sleep(Duration::from_secs(1)).await;
        }
        // The first has been stalled for 3 s, the last for 1 s.
        sleep(STALL_TIMEOUT - Duration::from_secs(3) - Duration::from_millis(1)).await;
        downstream.evict(1);
        yield_until_idle().await;
        assert_eq!(downstream.slots.borrow().len(), 3, "evicted before the stall timeout");
        sleep(Duration::from_secs(10)).await;
        assert_eq!(downstream.slots.borrow().len(), 3, "closed although nobody waits");
        downstream.evict(1);
        yield_until_idle().await;
        assert_eq!(downstream.slots.borrow().len(), 2);
        downstream.evict_idle();
        yield_until_idle().await;
        assert_eq!(downstream.slots.borrow().len(), 2, "evicted before another connection waits");
        assert_eq!(cut_off(&mut clients).await, [true, false, false]);
    });
}

/// A stalled client is evicted before a new one, which may be about to send its first request, and after one that is
/// idle.
#[test]
fn a_stalled_client_is_evicted_after_idle_and_before_new_ones() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let (client, sender) = ask_for_long_value(&downstream, &recorder, 1).await;
        spawn_local(send_value(sender));
        sleep(STALL_TIMEOUT).await;
        let (stream, idle) = duplex(SOCKET_BYTES);
        spawn_local(serve(Rc::clone(&downstream), stream));
        sleep(Duration::from_secs(1)).await;
        let (stream, new) = duplex(SOCKET_BYTES);
        spawn_local(serve(Rc::clone(&downstream), stream));
        yield_until_idle().await;
        let mut clients = [idle, client, new];
        for evicted in 1..=3 {
            downstream.evict(1);
            yield_until_idle().await;
            assert_eq!(downstream.slots.borrow().len(), 3 - evicted);
            let expected: Vec<bool> = (0..3).map(|position| position < evicted).collect();
            // A look at the stalled client would read its answer and end the stall.
            if evicted > 1 {
                assert_eq!(cut_off(&mut clients).await, expected);
            }
        }
    });
}

/// When the buffers for clients are used up, the client that has read nothing for longest is evicted, so that others
/// can send their requests.
#[test]
fn a_stalled_client_is_evicted_when_its_buffers_are_needed() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream_with(&recorder, BufferPool::new(FEW_BUFFER_BYTES));
        let (_client, sender) = ask_for_long_value(&downstream, &recorder, 1).await;
        spawn_local(send_value(sender));
        sleep(STALL_TIMEOUT).await;
        let mut writers = Vec::new();
        for id in 2..5 {
            let (stream, mut client) = duplex(1 << 20);
            spawn_local(serve(Rc::clone(&downstream), stream));
            client.write_all(format!("ms k 65536 O{id} Pc=read,d=480\r\n").as_bytes()).await.unwrap();
            client.write_all(&[b'x'; 60_000]).await.unwrap();
            yield_until_idle().await;
            writers.push(client);
        }
        assert_eq!(downstream.slots.borrow().len(), 3, "the stalled client holds its slot");
    });
}
