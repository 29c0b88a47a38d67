//! Clients while the buffer pool is used up: they wait and are served, and nothing is rejected.

use super::*;

const VALUE_BYTES: usize = 60_000;

/// Ends the only attempt that has been started with this reply.
fn end_only_attempt(downstream: &Downstream, recorder: &RecordingTransport, reply: Reply) {
    let mut attempts = recorder.started_attempts.take();
    assert_eq!(attempts.len(), 1);
    downstream.dispatcher.on_attempt_ended(attempts.remove(0).id, AttemptEnd::Reply(reply));
}

/// The state of pipelined requests must not grow beyond the pool: without room, each waits unread for the one before it.
#[test]
fn a_pipeline_is_answered_one_by_one_without_room() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream_with(&recorder, BufferPool::new(0));
        let (stream, mut client) = duplex(1 << 16);
        spawn_local(serve(Rc::clone(&downstream), stream));
        let (mut requests, mut expected) = (String::new(), String::new());
        for id in 0..5 {
            requests += &format!("mg k v O{id} Pc=read,d=480\r\n");
            expected += &format!("VA 1 O{id}\r\nv\r\n");
        }
        client.write_all(requests.as_bytes()).await.unwrap();
        for _ in 0..5 {
            yield_until_idle().await;
            end_only_attempt(&downstream, &recorder, Reply::Served(Answer::Value("v".into())));
        }
        let mut received = vec![0; expected.len()];
        client.read_exact(&mut received).await.unwrap();
        assert_eq!(String::from_utf8(received).unwrap(), expected);
    });
}

/// A written value must wait for its buffer and not be rejected, and its memory is free again once it is answered.
#[test]
fn a_written_value_waits_for_room() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream_with(&recorder, BufferPool::new(FEW_BUFFER_BYTES));
        let held = downstream.buffers.reserve(FEW_BUFFER_BYTES).await;
        let (stream, mut client) = duplex(1 << 20);
        spawn_local(serve(Rc::clone(&downstream), stream));
        let line = format!("ms k {VALUE_BYTES} O1 Pc=read,d=480\r\n");
        client.write_all(&[line.as_bytes(), &[b'x'; VALUE_BYTES], b"\r\n"].concat()).await.unwrap();
        sleep(Duration::from_secs(1)).await;
        assert!(recorder.started_attempts.borrow().is_empty(), "read without a reservation");
        drop(held);
        yield_until_idle().await;
        assert!(downstream.buffers.reserved_bytes() >= VALUE_BYTES);
        assert_eq!(
            recorder.started_attempts.borrow()[0].request.value.as_deref(),
            Some(&[b'x'; VALUE_BYTES][..])
        );
        end_only_attempt(&downstream, &recorder, Reply::Served(Answer::Receipt("r1".into())));
        yield_until_idle().await;
        let mut received = [0; 11];
        client.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"HD O1 cr1\r\n");
        assert_eq!(downstream.buffers.reserved_bytes(), 0);
    });
}

/// Guards against a buffer that is kept from others by a connection that may not read, as its client does not read its
/// answers.
#[test]
fn a_connection_that_may_not_read_is_granted_no_buffer() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream_with(&recorder, BufferPool::new(FEW_BUFFER_BYTES));
        let held = downstream.buffers.reserve(FEW_BUFFER_BYTES * 3 / 4).await;
        let (stream, mut client) = duplex(1 << 16);
        spawn_local(serve(Rc::clone(&downstream), stream));
        let requests = format!("mg k v O1 Pc=read,d=480\r\nms k {VALUE_BYTES} O2 Pc=read,d=480\r\n");
        client.write_all(requests.as_bytes()).await.unwrap();
        yield_until_idle().await;
        let unread = Answer::Value(vec![b'v'; 1 << 18].into());
        end_only_attempt(&downstream, &recorder, Reply::Served(unread));
        yield_until_idle().await;
        drop(held);
        yield_until_idle().await;
        assert!(downstream.buffers.reserved_bytes() < VALUE_BYTES);
    });
}

/// A connection at rest must hold no memory of its last request, its value or its answer.
#[test]
fn a_connection_at_rest_holds_nothing_of_the_pool() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let (stream, mut client) = duplex(1 << 20);
        spawn_local(serve(Rc::clone(&downstream), stream));
        let padding = "x".repeat(3_000);
        let requests =
            [format!("mg k v O1 Pc=read,d=480,x={padding}\r\n"), "mg k v O2 Pc=read,d=480\r\n".into()];
        client.write_all(requests.concat().as_bytes()).await.unwrap();
        yield_until_idle().await;
        assert!(
            downstream.buffers.reserved_bytes() > 0,
            "neither the long line nor the second request is paid for"
        );
        for attempt in recorder.started_attempts.take() {
            let reservation = downstream.buffers.reserve(VALUE_BYTES).await;
            let value = reservation.hold_for(Bytes::from(vec![b'v'; VALUE_BYTES]));
            let reply = Reply::Served(Answer::Value(value));
            downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(reply));
        }
        let mut received = vec![0; 2 * ("VA 60000 O1\r\n".len() + VALUE_BYTES + 2)];
        client.read_exact(&mut received).await.unwrap();
        yield_until_idle().await;
        assert_eq!(downstream.buffers.reserved_bytes(), 0);
    });
}
