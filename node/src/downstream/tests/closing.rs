//! The end of connections, by their client or by the graceful shutdown, and the requests pending then.

use super::*;

/// A broken connection abandons its requests: no attempt may begin any more for a client that has gone.
#[test]
fn a_broken_connection_abandons_its_requests() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let (stream, mut client) = duplex(1 << 16);
        client.write_all(b"mg a v O1 Pc=read,d=480\r\nmg b v O2 Pc=read,d=480\r\n").await.unwrap();
        let occupied = downstream.occupy_slot(Duration::ZERO);
        let mut connection = DownstreamConnection::new(&occupied.downstream, &occupied.slot);
        tokio::select! {
            biased;
            _ = connection.serve(stream) => panic!("the connection ended with answers pending"),
            () = yield_until_idle() => {}
        }
        assert_eq!(recorder.started_attempts.borrow().len(), 2);
        drop(connection);
        downstream.dispatcher.wait_until_idle().await;
        assert_eq!(downstream.dispatcher.counters().requests_abandoned.get(), 2);
    });
}

/// Requests that were held back by the limit on pending answers are answered too, even if the client has
/// half-closed meanwhile.
#[test]
fn a_long_pipeline_is_answered_after_a_half_close() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let (stream, mut client) = duplex(1 << 20);
        let requests = MAX_PENDING_ANSWERS * 2 + 7;
        let text: String = (0..requests).map(|id| format!("mg a v O{id} Pc=read,d=480\r\n")).collect();
        client.write_all(text.as_bytes()).await.unwrap();
        client.shutdown().await.unwrap();
        let task = spawn_local(serve(Rc::clone(&downstream), stream));
        while !task.is_finished() {
            yield_until_idle().await;
            for attempt in recorder.started_attempts.take() {
                downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Error));
            }
        }
        let mut received = String::new();
        client.read_to_string(&mut received).await.unwrap();
        // Requests that no server has capacity for are rejected, and those answers keep their place in the
        // order as well.
        let is_answer = |line: &&str| *line == "SERVER_ERROR failed" || line.starts_with("SERVER_ERROR busy");
        assert_eq!(received.lines().filter(is_answer).count(), requests);
        assert!(received.contains("failed") && received.lines().count() == requests);
    });
}

/// In a graceful shutdown a connection closes between requests, never with an answer pending or a request
/// half read.
#[test]
fn a_closing_connection_answers_its_open_requests_first() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let (stream, mut client) = duplex(1 << 16);
        spawn_local(serve(Rc::clone(&downstream), stream));
        client.write_all(b"mg a v O1 Pc=read,d=480\r\n").await.unwrap();
        yield_until_idle().await;
        downstream.shutdown.run(Instant::now(), Duration::from_secs(3)).await;
        yield_until_idle().await;
        let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
        let value = Answer::Value(Bytes::from_static(b"v"));
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(value)));
        let mut received = String::new();
        client.read_to_string(&mut received).await.unwrap();
        assert_eq!(received, "VA 1 O1\r\nv\r\n");
    });
}

/// A request in the socket buffer when the closing begins must not be lost: it is read and answered.
#[test]
fn a_request_unread_when_the_closing_begins_is_answered() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let task = spawn_local(serve(Rc::clone(&downstream), Socket(stream)));
        yield_until_idle().await;
        io::Write::write_all(&mut client, b"mn\r\n").unwrap();
        downstream.shutdown.begin_closing();
        task.await.unwrap().unwrap();
        assert_eq!(io::read_to_string(client).unwrap(), "MN\r\n");
    });
}

/// How a client leaves that still waits for answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientExit {
    Close,
    Reset,
    HalfClose,
}

/// Makes a client leave, and returns it if it has only half-closed.
async fn leave(mut client: tokio::net::TcpStream, exit: ClientExit) -> Option<tokio::net::TcpStream> {
    match exit {
        ClientExit::Close => drop(client),
        ClientExit::Reset => client.set_zero_linger().unwrap(),
        ClientExit::HalfClose => {
            client.shutdown().await.unwrap();
            return Some(client);
        }
    }
    None
}

/// Sends more requests than are read at once, and waits until the limit on pending answers is reached.
async fn fill_pipeline(downstream: &Downstream, stream: &mut tokio::net::TcpStream, requests: usize) {
    let text: String = (0..requests).map(|id| format!("mg k v O{id} Pc=read,d=1400\r\n")).collect();
    stream.write_all(text.as_bytes()).await.unwrap();
    let accepted = || downstream.dispatcher.counters().requests.get();
    while accepted() < MAX_PENDING_ANSWERS as u64 {
        yield_until_idle().await;
    }
    yield_until_idle().await;
    assert_eq!(accepted(), MAX_PENDING_ANSWERS as u64);
}

/// Waits until no byte of any attempt may be written any more.
async fn wait_until_cancelled(downstream: &Downstream, recorder: &RecordingTransport, case: &str) {
    let is_cancelled = || {
        let now = downstream.dispatcher.clock().now();
        recorder.started_attempts.borrow().iter().all(|attempt| attempt.is_cancelled(now))
    };
    let start = Instant::now();
    while !is_cancelled() {
        sleep(Duration::from_millis(1)).await;
        assert!(start.elapsed() < Duration::from_secs(1), "{case}: the disconnect was not noticed");
    }
}

/// A client leaves while its connection is not read, as its pipeline is full or, with `has_unread_answer`, it does
/// not read its answers.
async fn leave_unread(exit: ClientExit, has_unread_answer: bool) {
    let case = format!("{exit:?}, unread answer: {has_unread_answer}");
    let recorder = Rc::new(RecordingTransport::default());
    let downstream = downstream(&recorder);
    let mut client = connect(&downstream).await;
    let requests = MAX_PENDING_ANSWERS + 40;
    fill_pipeline(&downstream, &mut client, requests).await;
    let started_attempts = recorder.started_attempts.borrow().len();
    if has_unread_answer {
        // The first answer exceeds the buffers of the client, which does not read.
        let attempt = recorder.started_attempts.borrow_mut().remove(0);
        let value = Answer::Value(Bytes::from(vec![b'v'; 16 << 20]));
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(value)));
        yield_until_idle().await;
    }
    let client = leave(client, exit).await;
    wait_until_cancelled(&downstream, &recorder, &case).await;
    // Attempts in flight still end; no new one begins.
    let in_flight: Vec<_> = recorder.started_attempts.take();
    assert_eq!(in_flight.len() + usize::from(has_unread_answer), started_attempts);
    for attempt in in_flight {
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::NotSent);
    }
    if let Some(mut client) = client {
        // A client that only half-closed still gets an answer to each request.
        let mut received = Vec::new();
        client.read_to_end(&mut received).await.unwrap();
        let lines = received.split(|byte| *byte == b'\n');
        let failed = lines.filter(|line| line.starts_with(b"SERVER_ERROR")).count();
        assert_eq!(failed + usize::from(has_unread_answer), requests);
    }
    while !downstream.slots.borrow().is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    assert!(
        recorder.started_attempts.borrow().is_empty(),
        "{case}: an attempt began for a client that had left"
    );
    assert_eq!(downstream.dispatcher.requests_in_progress(), 0);
}

/// A disconnect must be noticed even while the connection is not read: pending requests are cancelled at
/// once, and requests sent behind them never begin.
#[test]
fn a_disconnect_is_noticed_while_nothing_is_read() {
    assert!(stream::DISCONNECT_CHECK_INTERVAL * 2 < Duration::from_millis(100));
    for exit in [ClientExit::Close, ClientExit::Reset, ClientExit::HalfClose] {
        for has_unread_answer in [false, true] {
            testing::run_on_sockets(leave_unread(exit, has_unread_answer));
        }
    }
}

/// A request sent before the client sees the close of its idle connection is not forwarded, and must not cause a
/// reset: the client receives the complete earlier answer and an orderly end of the connection.
#[test]
fn a_request_sent_after_the_close_does_not_reset_the_connection() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let mut client = connect(&downstream).await;
        client.write_all(b"mg a v O1 Pc=read,d=1400\r\n").await.unwrap();
        let attempt = loop {
            yield_until_idle().await;
            if let Some(attempt) = recorder.started_attempts.borrow_mut().pop() {
                break attempt;
            }
        };
        // What the client's system takes while the client does not read: with more the connection is not closed (see
        // `delivery`).
        const LENGTH: usize = 32 << 10;
        let value = Bytes::from(vec![b'v'; LENGTH]);
        downstream
            .dispatcher
            .on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(Answer::Value(value))));
        downstream.shutdown.begin_closing();
        // By now the connection is shut down for writing, and the client, which has read nothing yet, sends
        // another request.
        while !downstream.slots.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        client.write_all(b"mg b v O2 Pc=read,d=1400\r\n").await.unwrap();
        let mut received = Vec::new();
        client.read_to_end(&mut received).await.unwrap();
        assert_eq!(received.len(), "VA 32768 O1\r\n".len() + LENGTH + 2);
        assert!(
            recorder.started_attempts.borrow().is_empty(),
            "a request that arrived after the close was forwarded"
        );
    });
}

/// A client that never stops sending must neither delay the shutdown nor lose answers to a reset: in the
/// final phase no more is read, and what has been read is answered before the connection ends.
#[test]
fn a_client_that_never_stops_sending_is_answered_and_closed_at_shutdown() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let client = connect(&downstream).await;
        let dispatcher = Rc::clone(&downstream.dispatcher);
        let timer_dispatcher = Rc::clone(&dispatcher);
        spawn_local(async move { timer_dispatcher.run_timers().await });
        let (mut reader, mut writer) = client.into_split();
        spawn_local(async move {
            for id in 0.. {
                let request = format!("mg a v O{id} Pc=read,d=1400\r\n");
                if writer.write_all(request.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        while dispatcher.counters().requests.get() < 50 {
            yield_until_idle().await;
        }
        let end = spawn_local(async move {
            let mut received = Vec::new();
            reader.read_to_end(&mut received).await.map(|_| received)
        });
        // The time for answers ends in 100 ms.
        let time_for_answers = crate::graceful_shutdown::time_for_answers(Duration::from_millis(600));
        let signalled_at = Instant::now() - (time_for_answers - Duration::from_millis(100));
        dispatcher
            .set_final_deadline(dispatcher.clock().now().saturating_add(juniperladder::Micros(100_000)));
        downstream.shutdown.run(signalled_at, time_for_answers + crate::graceful_shutdown::EXIT_DELAY).await;
        let received =
            timeout(Duration::from_secs(5), end).await.expect("the connection did not end").unwrap().unwrap();
        assert!(received.ends_with(b"\r\n"));
        let answers =
            received.split(|byte| *byte == b'\n').filter(|line| line.starts_with(b"SERVER_ERROR")).count();
        assert_eq!(
            answers as u64,
            dispatcher.counters().requests.get(),
            "the number of answers is not that of the accepted requests"
        );
    });
}
