//! Connections that end, by their client or by the graceful shutdown, and what becomes of their requests.

use super::*;

/// A client whose connection breaks has gone away: nothing is sent for it any more.
#[test]
fn a_broken_connection_abandons_its_requests() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let downstream = downstream(&recorder);
        let (near, mut far) = duplex(1 << 16);
        far.write_all(b"mg a v O1 Pc=read,d=480\r\nmg b v O2 Pc=read,d=480\r\n").await.unwrap();
        let occupied = downstream.occupy_slot(Duration::ZERO);
        let mut client = DownstreamConnection::new(&occupied.downstream, &occupied.slot);
        tokio::select! {
            biased;
            _ = client.serve(near) => panic!("it still owes answers"),
            () = settle() => {}
        }
        assert_eq!(recorder.begun.borrow().len(), 2);
        drop(client);
        downstream.dispatcher.wait_until_idle().await;
        assert_eq!(downstream.dispatcher.counters().requests_abandoned.get(), 2);
    });
}

/// Requests that a bound kept from being taken at once are answered too, though the client has closed
/// its side meanwhile.
#[test]
fn a_long_pipeline_is_answered_after_a_half_close() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let downstream = downstream(&recorder);
        let (near, mut far) = duplex(1 << 20);
        let requests = MAX_PENDING_ANSWERS * 2 + 7;
        let text: String = (0..requests).map(|id| format!("mg a v O{id} Pc=read,d=480\r\n")).collect();
        far.write_all(text.as_bytes()).await.unwrap();
        far.shutdown().await.unwrap();
        let task = spawn_local(serve(Rc::clone(&downstream), near));
        while !task.is_finished() {
            settle().await;
            for attempt in recorder.begun.take() {
                downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Error));
            }
        }
        let mut got = String::new();
        far.read_to_string(&mut got).await.unwrap();
        // What no server has capacity for is rejected, and has that answer in its place in the order as well.
        let told = |line: &&str| *line == "SERVER_ERROR failed" || line.starts_with("SERVER_ERROR busy");
        assert_eq!(got.lines().filter(told).count(), requests);
        assert!(got.contains("failed") && got.lines().count() == requests);
    });
}

/// On a planned end a connection closes between requests, never with one owed or half read.
#[test]
fn a_closing_connection_answers_its_open_requests_first() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let downstream = downstream(&recorder);
        let (near, mut far) = duplex(1 << 16);
        spawn_local(serve(Rc::clone(&downstream), near));
        far.write_all(b"mg a v O1 Pc=read,d=480\r\n").await.unwrap();
        settle().await;
        downstream.shutdown.run(Instant::now(), Duration::from_secs(3)).await;
        settle().await;
        let attempt = recorder.begun.borrow_mut().pop().unwrap();
        let value = Answer::Value(Bytes::from_static(b"v"));
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(value)));
        let mut got = String::new();
        far.read_to_string(&mut got).await.unwrap();
        assert_eq!(got, "VA 1 O1\r\nv\r\n");
    });
}

/// A request that stands unread in the kernel when the closing begins was taken, and is answered.
#[test]
fn a_closing_connection_is_read_once_more() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(Recorder::default());
        let downstream = downstream(&recorder);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let mut far = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (near, _) = listener.accept().await.unwrap();
        let task = spawn_local(serve(Rc::clone(&downstream), Socket(near)));
        settle().await;
        io::Write::write_all(&mut far, b"mn\r\n").unwrap();
        downstream.shutdown.begin_closing();
        task.await.unwrap().unwrap();
        assert_eq!(io::read_to_string(far).unwrap(), "MN\r\n");
    });
}

async fn connected(downstream: &Rc<Downstream>) -> tokio::net::TcpStream {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let far = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (near, _) = listener.accept().await.unwrap();
    spawn_local(serve(Rc::clone(downstream), Socket(near)));
    far
}

/// How a client leaves whose answers are still owed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Closes,
    Resets,
    EndsItsSide,
}

async fn leave(mut far: tokio::net::TcpStream, how: Leaves) -> Option<tokio::net::TcpStream> {
    match how {
        Leaves::Closes => drop(far),
        Leaves::Resets => far.set_zero_linger().unwrap(),
        Leaves::EndsItsSide => {
            far.shutdown().await.unwrap();
            return Some(far);
        }
    }
    None
}

/// Sends more requests than are read at once, and waits until as many are open as may be.
async fn fill_pipeline(downstream: &Downstream, stream: &mut tokio::net::TcpStream, requests: usize) {
    let text: String = (0..requests).map(|id| format!("mg k v O{id} Pc=read,d=1400\r\n")).collect();
    stream.write_all(text.as_bytes()).await.unwrap();
    let taken = || downstream.dispatcher.counters().requests.get();
    while taken() < MAX_PENDING_ANSWERS as u64 {
        settle().await;
    }
    settle().await;
    assert_eq!(taken(), MAX_PENDING_ANSWERS as u64);
}

/// Waits until no byte of any attempt may be written any more.
async fn wait_until_cancelled(downstream: &Downstream, recorder: &Recorder, case: &str) {
    let is_cancelled = || {
        let now = downstream.dispatcher.clock().now();
        recorder.begun.borrow().iter().all(|attempt| attempt.is_cancelled(now))
    };
    let start = Instant::now();
    while !is_cancelled() {
        sleep(Duration::from_millis(1)).await;
        assert!(start.elapsed() < Duration::from_secs(1), "{case}: not noticed");
    }
}

/// A client leaves while nothing of it is read, as its pipeline is full or, with `has_answers`, it does not take its answers.
async fn leave_unread(leaves: Leaves, has_answers: bool) {
    let case = format!("{leaves:?}, {has_answers}");
    let recorder = Rc::new(Recorder::default());
    let downstream = downstream(&recorder);
    let mut far = connected(&downstream).await;
    let requests = MAX_PENDING_ANSWERS + 40;
    fill_pipeline(&downstream, &mut far, requests).await;
    let begun = recorder.begun.borrow().len();
    if has_answers {
        // The first answers are more than the client, who takes none, has buffers for.
        let attempt = recorder.begun.borrow_mut().remove(0);
        let value = Answer::Value(Bytes::from(vec![b'v'; 16 << 20]));
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(value)));
        settle().await;
    }
    let far = leave(far, leaves).await;
    wait_until_cancelled(&downstream, &recorder, &case).await;
    // What is in flight still ends; nothing begins any more.
    let in_flight: Vec<_> = recorder.begun.take();
    assert_eq!(in_flight.len() + usize::from(has_answers), begun);
    for attempt in in_flight {
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::NotSent);
    }
    if let Some(mut far) = far {
        // A client that only ended its side has an answer for each all the same.
        let mut received = Vec::new();
        far.read_to_end(&mut received).await.unwrap();
        let lines = received.split(|byte| *byte == b'\n');
        let failed = lines.filter(|line| line.starts_with(b"SERVER_ERROR")).count();
        assert_eq!(failed + usize::from(has_answers), requests);
    }
    while !downstream.slots.borrow().is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    assert!(recorder.begun.borrow().is_empty(), "{case}: begun for nobody");
    assert_eq!(downstream.dispatcher.requests_in_progress(), 0);
}

/// A client that leaves while nothing of it is read has gone all the same: what waits is cancelled at once, and what it had
/// sent behind it never begins.
#[test]
fn a_disconnect_is_noticed_while_nothing_is_read() {
    assert!(stream::DISCONNECT_CHECK_INTERVAL * 2 < Duration::from_millis(100));
    for leaves in [Leaves::Closes, Leaves::Resets, Leaves::EndsItsSide] {
        for has_answers in [false, true] {
            testing::run_on_sockets(leave_unread(leaves, has_answers));
        }
    }
}

/// A request that comes in the moment in which its idle connection is closed is not forwarded, and its crossing takes nothing of
/// the answer before it: the client has that completely, and an end that is no reset.
#[test]
fn a_request_that_crosses_the_close_takes_no_answer_with_it() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(Recorder::default());
        let downstream = downstream(&recorder);
        let mut far = connected(&downstream).await;
        far.write_all(b"mg a v O1 Pc=read,d=1400\r\n").await.unwrap();
        let attempt = loop {
            settle().await;
            if let Some(attempt) = recorder.begun.borrow_mut().pop() {
                break attempt;
            }
        };
        // More than the client's machine takes while its client does not read, and less than the own one does.
        const LENGTH: usize = 200 << 10;
        let value = Bytes::from(vec![b'v'; LENGTH]);
        downstream
            .dispatcher
            .on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(Answer::Value(value))));
        downstream.shutdown.begin_closing();
        // The connection is shut for writing by now, and its client, who has read nothing yet, sends one more.
        while !downstream.slots.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        far.write_all(b"mg b v O2 Pc=read,d=1400\r\n").await.unwrap();
        let mut got = Vec::new();
        far.read_to_end(&mut got).await.unwrap();
        assert_eq!(got.len(), "VA 204800 O1\r\n".len() + LENGTH + 2);
        assert!(recorder.begun.borrow().is_empty(), "nothing that came after the close is forwarded");
    });
}

/// At the very end no more is read, what has been read is answered, and the connection ends in a way that takes no answer with it,
/// though its client never stops to send.
#[test]
fn a_connection_that_never_rests_is_answered_and_ended_at_the_shutdown() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(Recorder::default());
        let downstream = downstream(&recorder);
        let far = connected(&downstream).await;
        let dispatcher = Rc::clone(&downstream.dispatcher);
        let timers = Rc::clone(&dispatcher);
        spawn_local(async move { timers.run_timers().await });
        let (mut reader, mut writer) = far.into_split();
        spawn_local(async move {
            for id in 0.. {
                let some = format!("mg a v O{id} Pc=read,d=1400\r\n");
                if writer.write_all(some.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        while dispatcher.counters().requests.get() < 50 {
            settle().await;
        }
        let end = spawn_local(async move {
            let mut got = Vec::new();
            reader.read_to_end(&mut got).await.map(|_| got)
        });
        // The time for answers is up in a moment.
        let last = crate::graceful_shutdown::time_for_answers(Duration::from_millis(600));
        let signal = Instant::now() - (last - Duration::from_millis(100));
        dispatcher
            .set_final_deadline(dispatcher.clock().now().saturating_add(juniperladder::Micros(100_000)));
        downstream.shutdown.run(signal, last + crate::graceful_shutdown::EXIT_DELAY).await;
        let got = timeout(Duration::from_secs(5), end).await.expect("the connection ends").unwrap().unwrap();
        assert!(got.ends_with(b"\r\n"));
        let answers =
            got.split(|byte| *byte == b'\n').filter(|line| line.starts_with(b"SERVER_ERROR")).count();
        assert_eq!(
            answers as u64,
            dispatcher.counters().requests.get(),
            "one answer for each that was taken"
        );
    });
}
