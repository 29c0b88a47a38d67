//! The client side, against clients played in memory and on loopback.

use std::io;

use super::downstream::{DownstreamConnection, MAX_MALFORMED, MAX_OWED, READ, SMALL};
use super::*;
use crate::dispatcher::{Answer, End, Reply};
use crate::testing::{self, settle, Recorder};
use bytes::Bytes;
use juniperladder::Idempotency;
use proptest::prelude::*;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt};

/// A step on a client's connection.
#[derive(Clone, Debug)]
enum Step {
    /// The client sends this; the answer is known at once where there is one.
    Line(&'static str, Option<&'static str>),
    /// The oldest attempt that is out, or the newest, ends.
    End { newest: bool, served: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let lines = prop_oneof![
        Just(Step::Line("mn\r\n", Some("MN\r\n"))),
        Just(Step::Line("nonsense\r\n", Some("ERROR\r\n"))),
        Just(Step::Line("mg\r\n", Some("CLIENT_ERROR bad command line format\r\n"))),
        Just(Step::Line("mg k v Oid Pc=read,d=480\r\n", None)),
        Just(Step::Line("ms k 5 Oid Pc=read,d=480,k=1\r\na\r\nmg\r\n", None)),
    ];
    prop_oneof![3 => lines, 2 => any::<(bool, bool)>().prop_map(|(newest, served)| Step::End { newest, served })]
}

pub(super) fn service(recorder: &Rc<Recorder>) -> Rc<Service> {
    let dispatcher =
        testing::dispatcher(testing::settings(1, Idempotency::NotIdempotent), recorder.clone(), 1);
    let resource_limits = ResourceLimits {
        client_connections: 8,
        idle_client_connections: 4,
        server_connections: 8,
        admin_connections: 8,
        client_buffer_bytes: 1 << 17,
        unread_answer_bytes: 1 << 16,
        chunk_bytes: 1 << 10,
    };
    let labels = Labels { classes: vec!["read".into()], tenants: vec!["acme".into(), "beta".into()] };
    Service::new(dispatcher, labels, Rc::default(), resource_limits, testing::log())
}

async fn serve(service: Rc<Service>, stream: impl Connection) -> io::Result<()> {
    serve_after(service, stream, Duration::ZERO).await
}

/// Serves a connection that may have waited so long to be accepted.
pub(super) async fn serve_after(
    service: Rc<Service>,
    stream: impl Connection,
    waited: Duration,
) -> io::Result<()> {
    service.seat(waited).serve(stream).await
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Whatever comes in whatever pieces, each request gets its one answer, in the order of the
    /// requests, and a client that closes its side still gets all of them.
    #[test]
    fn answers_keep_the_order_of_commands(steps in prop::collection::vec(step(), 1..24), cut in 1..40usize) {
        let (got, want) = testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let service = service(&recorder);
            let (near, mut far) = duplex(1 << 16);
            let task = spawn_local(serve(Rc::clone(&service), near));
            // The model: the answers owed, and which attempts they wait for.
            let mut owed: Vec<Option<String>> = Vec::new();
            let mut out: Vec<usize> = Vec::new();
            for step in steps {
                match step {
                    Step::Line(text, answer) => {
                        // Ids in use are turned away: each request has its own, of one length.
                        let text = text.replace("Oid", &format!("O{:02}", owed.len()));
                        for piece in text.as_bytes().chunks(cut) {
                            far.write_all(piece).await.unwrap();
                            settle().await;
                        }
                        if answer.is_none() {
                            out.push(owed.len());
                        }
                        owed.push(answer.map(str::to_owned));
                    }
                    Step::End { newest, served } if !out.is_empty() => {
                        let at = if newest { out.len() - 1 } else { 0 };
                        let attempt = recorder.begun.borrow_mut().remove(at);
                        let value = Bytes::from_static(b"x\r\ny");
                        let place = out.remove(at);
                        let (reply, answer) = if served {
                            let answer = format!("VA 4 O{place:02}\r\nx\r\ny\r\n");
                            (Reply::Served(Answer::Value(value)), answer)
                        } else {
                            (Reply::Error, "SERVER_ERROR failed\r\n".into())
                        };
                        service.dispatcher.ended(attempt.id, End::Reply(reply));
                        owed[place] = Some(answer);
                    }
                    Step::End { .. } => {}
                }
                settle().await;
            }
            far.shutdown().await.unwrap();
            settle().await;
            for attempt in recorder.begun.take() {
                service.dispatcher.ended(attempt.id, End::Broken);
            }
            let mut got = String::new();
            far.read_to_string(&mut got).await.unwrap();
            task.await.unwrap().unwrap();
            (got, owed.into_iter().map(|a| a.unwrap_or("SERVER_ERROR failed\r\n".into())).collect::<String>())
        });
        prop_assert_eq!(got, want);
    }
}

/// Whoever says nothing, keeps a connection for good or stops half-way through a request gives it up, and
/// one that is half-way is told why.
#[test]
fn a_connection_without_a_command_closes_in_time() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        for (sent, told) in [
            ("", ""),
            ("mn\r\n", "MN\r\n"),
            ("mg a v O1 Pc=re", "CLIENT_ERROR command not finished in time\r\n"),
            ("ms k 5 Oid Pc=read,d=480\r\nab", "CLIENT_ERROR command not finished in time\r\n"),
        ] {
            let (near, mut far) = duplex(1 << 16);
            spawn_local(serve(service(&recorder), near));
            let start = Instant::now();
            for piece in sent.as_bytes().chunks(4) {
                far.write_all(piece).await.unwrap();
                sleep(Duration::from_millis(1)).await;
            }
            let mut got = String::new();
            far.read_to_string(&mut got).await.unwrap();
            assert_eq!(got, told);
            assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
        }
    });
}

/// Connections that asked once and stay close, the longest quiet first, before clients run out of them.
#[test]
fn connections_kept_for_nothing_are_thinned_out() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let service = service(&recorder);
        let mut clients = Vec::new();
        for id in 0..6 {
            let (near, mut far) = duplex(1 << 10);
            spawn_local(serve(Rc::clone(&service), near));
            far.write_all(format!("mg k v O{id} Pc=read,d=480\r\n").as_bytes()).await.unwrap();
            settle().await;
            let attempt = recorder.begun.borrow_mut().pop().unwrap();
            service.dispatcher.ended(attempt.id, End::Reply(Reply::Error));
            clients.push(far);
            sleep(Duration::from_millis(5)).await;
        }
        let open = service.seats.borrow().len();
        assert_eq!(open, service.resource_limits.idle_client_connections);
        let start = Instant::now();
        for mut far in clients.drain(..2) {
            let mut got = String::new();
            far.read_to_string(&mut got).await.unwrap();
            assert_eq!(got, "SERVER_ERROR failed\r\n");
        }
        assert_eq!(start.elapsed(), Duration::ZERO);
    });
}

/// One told to close while idle that begins a request at that moment may finish it.
#[test]
fn a_command_that_crosses_the_close_is_finished() {
    testing::run(async {
        let service = service(&Rc::new(Recorder::default()));
        let (near, mut far) = duplex(1 << 10);
        spawn_local(serve(Rc::clone(&service), near));
        settle().await;
        service.make_room();
        far.write_all(b"m").await.unwrap();
        settle().await;
        far.write_all(b"n\r\n").await.unwrap();
        let mut got = String::new();
        far.read_to_string(&mut got).await.unwrap();
        assert_eq!(got, "MN\r\n");
    });
}

/// Giving up a seat takes no time: in a flood of connections a request must not wait behind each of them.
#[test]
fn a_seat_is_given_up_at_once() {
    testing::run(async {
        let service = service(&Rc::new(Recorder::default()));
        let (near, mut far) = duplex(1 << 10);
        spawn_local(serve(Rc::clone(&service), near));
        settle().await;
        let start = Instant::now();
        service.make_room();
        assert_eq!(far.read(&mut [0; 8]).await.unwrap(), 0);
        service.left.notified().await;
        assert_eq!(start.elapsed(), Duration::ZERO);
    });
}

/// Values that never come to their end hold a bounded part of the memory, and small requests go on.
#[test]
fn values_half_sent_do_not_fill_the_memory() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let service = service(&recorder);
        let mut clients = Vec::new();
        for _ in 0..8 {
            let (near, mut far) = duplex(1 << 20);
            spawn_local(serve(Rc::clone(&service), near));
            far.write_all(b"ms k 65536 Oid Pc=read,d=480\r\n").await.unwrap();
            far.write_all(&[b'x'; 60_000]).await.unwrap();
            clients.push(far);
        }
        settle().await;
        let held = service.held.get();
        assert!(
            held <= service.resource_limits.client_buffer_bytes + 8 * (SMALL + 2 * READ) + 60_000,
            "{held}"
        );
        let (near, mut far) = duplex(1 << 10);
        spawn_local(serve(Rc::clone(&service), near));
        far.write_all(b"mn\r\n").await.unwrap();
        let mut got = [0; 4];
        far.read_exact(&mut got).await.unwrap();
        drop(far);
        for mut far in clients {
            let mut got = String::new();
            far.read_to_string(&mut got).await.unwrap();
            assert_eq!(got, "CLIENT_ERROR command not finished in time\r\n");
        }
        settle().await;
        assert_eq!(service.held.get(), 0);
    });
}

/// Where seats run out, who has just come and not spoken yet stays, who is idle after an answer goes first, and
/// who has been silent for long before that.
#[test]
fn who_is_about_to_speak_keeps_the_seat() {
    testing::run(async {
        let service = service(&Rc::new(Recorder::default()));
        let mut clients = Vec::new();
        for (spoke, wait) in [(false, 900), (true, 100), (true, 100), (false, 0)] {
            let (near, mut far) = duplex(1 << 10);
            let seated = service.seat(Duration::ZERO);
            seated.seat.spoke.set(spoke);
            spawn_local(async move {
                let _ = DownstreamConnection::new(&seated.service, &seated.seat).serve(near).await;
            });
            far.write_all(b"").await.unwrap();
            clients.push(far);
            sleep(Duration::from_millis(wait)).await;
        }
        let mut fresh = clients.pop().unwrap();
        for (gone, mut client) in clients.into_iter().enumerate() {
            service.make_room();
            settle().await;
            assert_eq!(client.read(&mut [0; 8]).await.unwrap(), 0);
            assert_eq!(service.seats.borrow().len(), 3 - gone);
        }
        fresh.write_all(b"mn\r\n").await.unwrap();
        let mut got = [0; 4];
        fresh.read_exact(&mut got).await.unwrap();
        assert_eq!(&got, b"MN\r\n");
    });
}

/// Silent connections by the hundred must not shut out a client that has something to say.
#[test]
fn a_silent_connection_gives_way() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(Recorder::default());
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(service(&recorder).accept(listener));
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(tokio::net::TcpStream::connect(address).await.unwrap());
        }
        let mut far = tokio::net::TcpStream::connect(address).await.unwrap();
        far.write_all(b"mn\r\n").await.unwrap();
        let mut got = [0; 4];
        far.read_exact(&mut got).await.unwrap();
        assert_eq!(&got, b"MN\r\n");
        assert_eq!(silent[0].read(&mut got).await.unwrap(), 0, "the first was told to leave");
    });
}

/// What is no request is told so and never taken: an unknown class, an id that another request has, no
/// deadline, and noise without end, whose connection ends.
#[test]
fn what_is_no_command_is_turned_away() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let service = service(&recorder);
        let (near, mut far) = duplex(1 << 16);
        spawn_local(serve(Rc::clone(&service), near));
        let (other, mut honest) = duplex(1 << 16);
        spawn_local(serve(Rc::clone(&service), other));
        honest.write_all(b"mg k v O1 Pc=read,d=480\r\n").await.unwrap();
        settle().await;
        for (line, told) in [
            ("mg k v O2 Pc=reads,d=480", "CLIENT_ERROR unknown class\r\n"),
            ("mg k v O2 Pd=480", "CLIENT_ERROR unknown class\r\n"),
            ("mg k v O1 Pc=read,d=480", "CLIENT_ERROR id in use\r\n"),
            ("mg k v O2 Pc=read", "CLIENT_ERROR no deadline\r\n"),
            ("mg k v O2 Pc=read,d=-1", "CLIENT_ERROR bad properties\r\n"),
        ] {
            far.write_all(format!("{line}\r\n").as_bytes()).await.unwrap();
            let mut got = vec![0; told.len()];
            far.read_exact(&mut got).await.unwrap();
            assert_eq!(String::from_utf8(got).unwrap(), told);
        }
        assert_eq!(recorder.begun.borrow().len(), 1, "only the honest client's has begun");
        far.write_all(&b"\n".repeat(MAX_MALFORMED * 2)).await.unwrap();
        let mut got = String::new();
        far.read_to_string(&mut got).await.unwrap();
        assert_eq!(got, "ERROR\r\n".repeat(MAX_MALFORMED - 5));
        let attempt = recorder.begun.borrow_mut().pop().unwrap();
        service.dispatcher.ended(attempt.id, End::Reply(Reply::Served(Answer::Value("v".into()))));
        let mut got = [0; 12];
        honest.read_exact(&mut got).await.unwrap();
        assert_eq!(&got, b"VA 1 O1\r\nv\r\n");
    });
}

/// A request counts for the tenant that it names; one that the settings lack, or none, is nobody's and served all the same.
#[test]
fn a_command_is_its_tenants() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let service = service(&recorder);
        let (near, mut far) = duplex(1 << 10);
        spawn_local(serve(Rc::clone(&service), near));
        for (named, place) in [(",t=beta", 1), (",t=acme", 0), (",t=acm", 2), (",t=", 2), ("", 2)] {
            far.write_all(format!("mg k v O1 Pc=read{named},d=480\r\n").as_bytes()).await.unwrap();
            settle().await;
            let attempt = recorder.begun.borrow_mut().pop().unwrap();
            assert_eq!(attempt.request.tenant, place, "{named}");
            service.dispatcher.ended(attempt.id, End::Reply(Reply::Served(Answer::Value("v".into()))));
            let mut got = [0; 12];
            far.read_exact(&mut got).await.unwrap();
            assert_eq!(&got, b"VA 1 O1\r\nv\r\n");
        }
    });
}

/// A client whose connection breaks has gone away: nothing is sent for it any more.
#[test]
fn a_broken_connection_ends_its_commands() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let service = service(&recorder);
        let (near, mut far) = duplex(1 << 16);
        far.write_all(b"mg a v O1 Pc=read,d=480\r\nmg b v O2 Pc=read,d=480\r\n").await.unwrap();
        let seated = service.seat(Duration::ZERO);
        let mut client = DownstreamConnection::new(&seated.service, &seated.seat);
        tokio::select! {
            biased;
            _ = client.serve(near) => panic!("it still owes answers"),
            () = settle() => {}
        }
        assert_eq!(recorder.begun.borrow().len(), 2);
        drop(client);
        service.dispatcher.idle().await;
        assert_eq!(service.dispatcher.counters().requests_abandoned.get(), 2);
    });
}

/// Requests that a bound kept from being taken at once are answered too, though the client has closed
/// its side meanwhile.
#[test]
fn a_long_pipeline_is_answered_after_a_half_close() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let service = service(&recorder);
        let (near, mut far) = duplex(1 << 20);
        let requests = MAX_OWED * 2 + 7;
        let text: String = (0..requests).map(|id| format!("mg a v O{id} Pc=read,d=480\r\n")).collect();
        far.write_all(text.as_bytes()).await.unwrap();
        far.shutdown().await.unwrap();
        let task = spawn_local(serve(Rc::clone(&service), near));
        while !task.is_finished() {
            settle().await;
            for attempt in recorder.begun.take() {
                service.dispatcher.ended(attempt.id, End::Reply(Reply::Error));
            }
        }
        let mut got = String::new();
        far.read_to_string(&mut got).await.unwrap();
        // What no server has a place for is turned away, and told so in its place as well.
        let told = |line: &&str| *line == "SERVER_ERROR failed" || line.starts_with("SERVER_ERROR busy");
        assert_eq!(got.lines().filter(told).count(), requests);
        assert!(got.contains("failed") && got.lines().count() == requests);
    });
}

/// On a planned end a connection closes between requests, never with one owed or half read.
#[test]
fn a_closing_service_answers_first() {
    testing::run(async {
        let recorder = Rc::new(Recorder::default());
        let service = service(&recorder);
        let (near, mut far) = duplex(1 << 16);
        spawn_local(serve(Rc::clone(&service), near));
        far.write_all(b"mg a v O1 Pc=read,d=480\r\n").await.unwrap();
        settle().await;
        service.shutdown.run(Instant::now(), Duration::from_secs(3)).await;
        settle().await;
        let attempt = recorder.begun.borrow_mut().pop().unwrap();
        let value = Answer::Value(Bytes::from_static(b"v"));
        service.dispatcher.ended(attempt.id, End::Reply(Reply::Served(value)));
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
        let service = service(&recorder);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let mut far = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (near, _) = listener.accept().await.unwrap();
        let task = spawn_local(serve(Rc::clone(&service), Socket(near)));
        settle().await;
        io::Write::write_all(&mut far, b"mn\r\n").unwrap();
        service.shutdown.begin_closing();
        task.await.unwrap().unwrap();
        assert_eq!(io::read_to_string(far).unwrap(), "MN\r\n");
    });
}

async fn connected(service: &Rc<Service>) -> tokio::net::TcpStream {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let far = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (near, _) = listener.accept().await.unwrap();
    spawn_local(serve(Rc::clone(service), Socket(near)));
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

/// A client that leaves while nothing of it is read, as its pipeline is full or it does not take its answers, has gone all the
/// same: what waits is let go of at once, and what it had sent behind it never begins.
#[test]
fn a_client_that_leaves_while_it_is_not_read_has_gone() {
    assert!(connection::LOOK * 2 < Duration::from_millis(100));
    for how in [Leaves::Closes, Leaves::Resets, Leaves::EndsItsSide] {
        for answers in [false, true] {
            testing::run_on_sockets(async {
                let recorder = Rc::new(Recorder::default());
                let service = service(&recorder);
                let mut far = connected(&service).await;
                let all = MAX_OWED + 40;
                let text: String = (0..all).map(|id| format!("mg k v O{id} Pc=read,d=1400\r\n")).collect();
                far.write_all(text.as_bytes()).await.unwrap();
                // It is read up to its bound and no further.
                let taken = || service.dispatcher.counters().requests.get();
                while taken() < MAX_OWED as u64 {
                    settle().await;
                }
                settle().await;
                let begun = recorder.begun.borrow().len();
                assert_eq!(taken(), MAX_OWED as u64);
                if answers {
                    // The first answers are more than the client, who takes none, has room for.
                    let attempt = recorder.begun.borrow_mut().remove(0);
                    let value = Bytes::from(vec![b'v'; 16 << 20]);
                    service.dispatcher.ended(attempt.id, End::Reply(Reply::Served(Answer::Value(value))));
                    settle().await;
                }
                let far = leave(far, how).await;
                let over = |recorder: &Recorder| {
                    let now = service.dispatcher.clock().now();
                    recorder.begun.borrow().iter().all(|attempt| attempt.over(now))
                };
                let start = Instant::now();
                while !over(&recorder) {
                    sleep(Duration::from_millis(1)).await;
                    assert!(start.elapsed() < Duration::from_secs(1), "{how:?}, {answers}: not noticed");
                }
                // What is out still ends; nothing begins any more.
                let out: Vec<_> = recorder.begun.take();
                assert_eq!(out.len() + usize::from(answers), begun);
                for attempt in out {
                    service.dispatcher.ended(attempt.id, End::CalledOff);
                }
                if let Some(mut far) = far {
                    // Who only ended its side has an answer for each all the same.
                    let mut got = Vec::new();
                    far.read_to_end(&mut got).await.unwrap();
                    let told =
                        got.split(|byte| *byte == b'\n').filter(|line| line.starts_with(b"SERVER_ERROR"));
                    assert_eq!(told.count() + usize::from(answers), all);
                }
                while !service.seats.borrow().is_empty() {
                    sleep(Duration::from_millis(1)).await;
                }
                assert!(recorder.begun.borrow().is_empty(), "{how:?}, {answers}: begun for nobody");
                assert_eq!(service.dispatcher.in_progress(), 0);
            });
        }
    }
}

/// A request that comes in the moment in which its resting connection is closed is not sent on, and its crossing takes nothing of
/// the answer before it: the client has that whole, and an end that is no reset.
#[test]
fn what_crosses_a_close_takes_no_answer_with_it() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(Recorder::default());
        let service = service(&recorder);
        let mut far = connected(&service).await;
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
        service.dispatcher.ended(attempt.id, End::Reply(Reply::Served(Answer::Value(value))));
        service.shutdown.begin_closing();
        // The connection is shut for writing by now, and its client, who has read nothing yet, sends one more.
        while !service.seats.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        far.write_all(b"mg b v O2 Pc=read,d=1400\r\n").await.unwrap();
        let mut got = Vec::new();
        far.read_to_end(&mut got).await.unwrap();
        assert_eq!(got.len(), "VA 204800 O1\r\n".len() + LENGTH + 2);
        assert!(recorder.begun.borrow().is_empty(), "nothing that came after the close is sent on");
    });
}

/// At the very end no more is read, what has been read is answered, and the connection ends in a way that takes no answer with it,
/// though its client never stops to send.
#[test]
fn at_the_end_a_busy_connection_is_answered_and_ended() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(Recorder::default());
        let service = service(&recorder);
        let far = connected(&service).await;
        let dispatcher = Rc::clone(&service.dispatcher);
        let timers = Rc::clone(&dispatcher);
        spawn_local(async move { timers.run().await });
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
        dispatcher.end_by(dispatcher.clock().now().saturating_add(juniperladder::Micros(100_000)));
        service.shutdown.run(signal, last + crate::graceful_shutdown::EXIT_DELAY).await;
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
