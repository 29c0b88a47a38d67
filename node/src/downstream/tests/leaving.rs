//! Clients on loopback that leave with much of what they sent unread.

use super::*;

const REQUESTS: usize = 500;
const JUNK_BYTES: usize = 8 << 20;
/// No attempt may begin later than this after a client has left.
const MAX_TIME_AFTER_LEAVING: Duration = Duration::from_millis(100);

/// Guards against attempts for a client that has left, where its end stands behind input that nobody reads any more: a
/// line whose end cannot be found, and what follows it.
#[test]
fn a_client_is_seen_to_leave_behind_input_that_is_not_taken() {
    testing::run_on_sockets(async {
        for end in ["ms k -1 O2 Pc=read,d=1400\r\n", "quit\r\n"] {
            let recorder = Rc::new(RecordingTransport::default());
            let downstream = downstream(&recorder);
            let (mut client, stream) = loopback().await;
            spawn_local(serve(Rc::clone(&downstream), stream));
            client.write_all(format!("mg k v O1 Pc=read,d=1400\r\n{end}").as_bytes()).await.unwrap();
            while recorder.started_attempts.borrow().is_empty() {
                sleep(Duration::from_millis(1)).await;
            }
            let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
            // Far more than the system takes from a connection that is not read.
            let junk = timeout(MAX_TIME_AFTER_LEAVING * 10, client.write_all(&[b'j'; JUNK_BYTES])).await;
            assert!(junk.is_ok(), "the input is not read");
            let now = downstream.dispatcher.clock().now();
            assert!(!attempt.is_cancelled(now), "cancelled before its client has left");
            drop(client);
            sleep(MAX_TIME_AFTER_LEAVING).await;
            assert!(attempt.is_cancelled(now), "{end}");
        }
    });
}

/// Guards against requests that are forwarded though their client has left: those that were not read by then.
#[test]
fn requests_unread_when_their_client_leaves_are_not_forwarded() {
    testing::run_on_sockets(async {
        for (waited, allowed) in [(Duration::ZERO, REQUESTS / 4), (Duration::from_secs(1), 0)] {
            let recorder = Rc::new(RecordingTransport::default());
            let downstream = downstream(&recorder);
            let (mut client, stream) = loopback().await;
            let requests: String =
                (0..REQUESTS).map(|id| format!("mg k v O{id} Pc=read,d=1400\r\n")).collect();
            client.write_all(requests.as_bytes()).await.unwrap();
            drop(client);
            sleep(MAX_TIME_AFTER_LEAVING).await;
            let task = spawn_local(serve_after(Rc::clone(&downstream), stream, waited));
            while !task.is_finished() {
                sleep(Duration::from_millis(1)).await;
                let attempts = recorder.started_attempts.take();
                for attempt in attempts {
                    downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Error));
                }
            }
            let attempts = downstream.dispatcher.counters().attempts.get() as usize;
            assert!(attempts <= allowed, "{attempts} attempts");
        }
    });
}

/// A client that closes its sending side after a long write is served like before: the write was half read by then.
#[test]
fn a_long_write_of_a_client_that_half_closes_is_forwarded() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let (mut client, stream) = loopback().await;
        let value = vec![b'w'; 30_000];
        let line = format!("ms k {} O1 Pc=read,d=1400\r\n", value.len());
        client.write_all(&[line.as_bytes(), &value, b"\r\n"].concat()).await.unwrap();
        client.shutdown().await.unwrap();
        spawn_local(serve(Rc::clone(&downstream), stream));
        while recorder.started_attempts.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
        let reply = Reply::Served(Answer::Receipt("r1".into()));
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(reply));
        let mut received = String::new();
        client.read_to_string(&mut received).await.unwrap();
        assert_eq!(received, "HD O1 cr1\r\n");
    });
}
