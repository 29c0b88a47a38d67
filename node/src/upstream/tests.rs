//! Pools and connections, with servers simulated in memory and on loopback.

mod event_loop_delay;
mod late_copies;

use super::connection::{AfterAttempt, UpstreamConnection};
use super::*;
use crate::dispatcher::Answer;
use crate::memcache;
use crate::testing::{self, listed_server, yield_until_idle, RecordingTransport, SERVER};
use bytes::BytesMut;
use juniperladder::Idempotency;
use proptest::prelude::*;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout, Instant};

/// What a server does with one attempt.
#[derive(Clone, Debug)]
enum ServerAction {
    /// Reads this many bytes and closes.
    Closes(usize),
    /// Answers with this text, in pieces, and closes.
    Answers(&'static str),
    /// Never answers.
    Silent,
}

fn action() -> impl Strategy<Value = ServerAction> {
    prop_oneof![
        (0..400usize).prop_map(ServerAction::Closes),
        Just(ServerAction::Answers("HD O7 cr1 h1 Lqps=7,queue=2\r\n")),
        Just(ServerAction::Answers("EN O7 h0 Z\r\n")),
        Just(ServerAction::Answers("SERVER_ERROR busy Lqps=7\r\n")),
        Just(ServerAction::Answers("SERVER_ERROR failed\r\n")),
        Just(ServerAction::Answers("HD O8 cr1\r\n")),
        Just(ServerAction::Answers("HD O7 cr1 h1 L\u{1}\u{7f}={\r\n")),
        Just(ServerAction::Answers("VA 2 O7\r\nab\r\n")),
        Just(ServerAction::Answers("HD O")),
        Just(ServerAction::Answers("VA 99999999 O7\r\n")),
        Just(ServerAction::Answers("nonsense\r\n")),
        Just(ServerAction::Silent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// The end of an attempt must follow from the bytes written and the answer read: the attempt was not
    /// executed while its last byte was not written, and an answer with another id counts for none.
    #[test]
    fn an_attempt_ends_by_what_was_written(action in action(), value_bytes in 0..300usize, piece_bytes in 1..9usize, pipe_bytes in 1..200usize) {
        testing::run_paused(async {
            let recorder = Rc::new(RecordingTransport::default());
            let dispatcher = testing::dispatcher(testing::settings(1, Idempotency::NotIdempotent), recorder.clone(), 1);
            let upstream = testing::upstream(1);
            upstream.attach(&dispatcher);
            let (_, answer) = dispatcher.accept(testing::request("7", Some(vec![b'x'; value_bytes]))).unwrap();
            let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
            let (mut stream, mut server) = duplex(pipe_bytes);
            let connection = UpstreamConnection { server: SERVER, is_origin: false, address: ([127, 0, 0, 1], 1).into() };
            let mut wire = BytesMut::new();
            memcache::write_request(&mut wire, &attempt.request, juniperladder::Micros(470_000));
            let length = wire.len();
            let expected = match &action {
                ServerAction::Closes(n) if n + pipe_bytes >= length => "resets",
                ServerAction::Closes(_) => "connect_failed",
                ServerAction::Answers(text) if text.starts_with("HD O7") => "ok",
                ServerAction::Answers(text) if text.starts_with("EN") => "misses",
                ServerAction::Answers(text) if text.contains("busy") => "full",
                ServerAction::Answers(text) if text.contains("failed") => "errors",
                // Malformed: the attempt was executed, the server works, and the connection cannot be reused.
                ServerAction::Answers(text) if text.ends_with("\r\n") => "errors",
                ServerAction::Answers(_) | ServerAction::Silent => "resets",
            };
            let has_closed = matches!(action, ServerAction::Closes(_));
            let serve = async {
                let mut seen = vec![0; match action { ServerAction::Closes(n) => n.min(length), _ => length }];
                server.read_exact(&mut seen).await.unwrap();
                match action {
                    ServerAction::Answers(text) => for piece in text.as_bytes().chunks(piece_bytes) {
                        // The balancer may close once it has read enough.
                        let _ = server.write_all(piece).await;
                        yield_until_idle().await;
                    },
                    ServerAction::Silent => sleep(Duration::from_secs(60)).await,
                    ServerAction::Closes(_) => yield_until_idle().await,
                }
                drop(server);
            };
            let mut input = BytesMut::new();
            let carry = async {
                let after = connection.execute(&upstream, &mut stream, &mut input, attempt).await;
                drop(stream);
                after
            };
            let (after, ()) = tokio::join!(carry, serve);
            let counted: Vec<_> = dispatcher.counters().metrics().into_iter()
                .filter(|(name, n)| *n > 0 && !name.starts_with("rejected_") && !["commands", "attempts", "served", "rejected", "failed", "bad_answers"].contains(name))
                .collect();
            assert_eq!(counted, [(expected, 1)]);
            assert_eq!(after == AfterAttempt::Broken, has_closed && expected == "resets");
            let is_malformed = upstream.counters.malformed_responses.get() > 0;
            // Only an answer that names its request shows at once that the next one on the connection is another.
            assert_eq!(after == AfterAttempt::KeepOpen, ["ok", "misses"].contains(&expected));
            assert_eq!(after == AfterAttempt::Settle, !is_malformed && ["full", "errors"].contains(&expected));
            let served = matches!(answer.await, Ok(Answer::Receipt(_)));
            assert_eq!(served, expected == "ok");
        });
    }
}

/// An attempt begins with its first byte: one that still waits for a connection when its server starts to drain
/// must not begin.
#[test]
fn a_draining_server_gets_no_waiting_attempt() {
    testing::run_paused(async {
        let upstream = testing::upstream(0);
        let dispatcher =
            testing::dispatcher(testing::settings(1, Idempotency::Idempotent), upstream.clone(), 1);
        upstream.attach(&dispatcher);
        let (_, answer) = dispatcher.accept(testing::request("7", None)).unwrap();
        yield_until_idle().await;
        assert_eq!(
            dispatcher.counters().attempts_not_sent.get(),
            0,
            "the attempt ended while it waited for a connection"
        );
        dispatcher
            .on_endpoints_changed(EndpointUpdate::Delta, &[listed_server(SERVER, EndpointState::Draining)]);
        assert!(matches!(answer.await, Ok(Answer::Rejected(_))));
        assert_eq!(dispatcher.counters().attempts_not_sent.get(), 1);
    });
}

/// A connection established after its request was closed, as the client left or another server answered, must
/// receive no byte of that request, and the next request can use it.
#[test]
fn a_late_connection_gets_nothing_of_a_closed_request() {
    testing::run_on_sockets(async {
        let (dispatcher, upstream, listener) = pool_with_one_server(1).await;
        let (id, _answer) = dispatcher.accept(testing::request("1", None)).unwrap();
        dispatcher.on_client_gone(id);
        let (mut stream, _) = listener.accept().await.unwrap();
        yield_until_idle().await;
        let (_, answer) = dispatcher.accept(testing::request("2", None)).unwrap();
        let received = read_request_line(&mut stream).await;
        assert!(
            received.starts_with("mg ") && received.contains(" O2 ") && !received.contains(" O1 "),
            "{received}"
        );
        stream.write_all(b"VA 1 O2\r\nv\r\n").await.unwrap();
        assert_eq!(answer.await, Ok(Answer::Value("v".into())));
        assert_eq!(
            (dispatcher.counters().attempts_not_sent.get(), upstream.counters.attempts_written.get()),
            (1, 1)
        );
    });
}

/// A half-written attempt must not be continued once its request is closed, even if the socket accepts bytes
/// again.
#[test]
fn a_half_written_attempt_ends_with_its_request() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let dispatcher =
            testing::dispatcher(testing::settings(1, Idempotency::NotIdempotent), recorder.clone(), 1);
        let upstream = testing::upstream(1);
        upstream.attach(&dispatcher);
        let (id, _answer) = dispatcher.accept(testing::request("7", Some(vec![b'x'; 300]))).unwrap();
        let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
        let (mut stream, mut server) = duplex(100);
        let connection =
            UpstreamConnection { server: SERVER, is_origin: false, address: ([127, 0, 0, 1], 1).into() };
        let serve = async {
            yield_until_idle().await;
            dispatcher.on_client_gone(id);
            let mut received = Vec::new();
            server.read_to_end(&mut received).await.unwrap();
            received.len()
        };
        let carry = async {
            let after = connection.execute(&upstream, &mut stream, &mut BytesMut::new(), attempt).await;
            drop(stream);
            after
        };
        assert_eq!(tokio::join!(carry, serve), (AfterAttempt::Close, 100));
        assert_eq!(upstream.counters.attempts_written.get(), 0);
    });
}

/// The connection limit covers all servers: an idle connection closes for an attempt at another server.
#[test]
fn an_idle_connection_closes_for_another_server() {
    testing::run_on_sockets(async {
        let servers = [
            tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap(),
            tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap(),
        ];
        let upstream = testing::upstream(1);
        let dispatcher =
            testing::dispatcher(testing::settings(1, Idempotency::NotIdempotent), upstream.clone(), 0);
        upstream.attach(&dispatcher);
        for (id, listener) in ["7", "8"].into_iter().zip(&servers) {
            let mut listed = listed_server(SERVER, EndpointState::Serving);
            listed.address = listener.local_addr().ok();
            listed.endpoint.server = ServerId(listed.address.unwrap().port().into());
            dispatcher.on_endpoints_changed(EndpointUpdate::Snapshot, &[listed]);
            let (_, answer) = dispatcher.accept(testing::request(id, Some(vec![]))).unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_buf(&mut BytesMut::new()).await.unwrap();
            stream.write_all(format!("HD O{id} cr1\r\n").as_bytes()).await.unwrap();
            assert!(matches!(answer.await, Ok(Answer::Receipt(_))));
            yield_until_idle().await;
        }
        assert_eq!(upstream.connections.get(), 1);
    });
}

/// Which responses of the origin are complete, and which are malformed.
#[test]
fn an_origins_response_is_complete_or_malformed() {
    let complete_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    let followed_by = |more: &str| (format!("{complete_response}{more}"), 0);
    let cases = [
        followed_by(""),
        followed_by(complete_response),
        followed_by("HTT"),
        (
            format!(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n{complete_response}"
            ),
            0,
        ),
        (complete_response.replace("\r\n\r\n", "\r\nEndpoint-Load-Metrics: {\u{1}\r=,\r\n\r\n"), 0),
        (complete_response.replace("\r\n\r\n", "\r\nX-Trace-Id: 7\r\n\r\n"), 0),
        (complete_response.replace("\r\n\r\n", "\r\nX-Trace-Id: 8\r\n\r\n"), 1),
        (format!("{complete_response}c"), 1),
        (complete_response.replace(": 2", ": 3000000000"), 1),
        (complete_response.replace(": 2", ": -2"), 1),
        (
            complete_response
                .replace("Content-Length: 2", "Transfer-Encoding: chunked")
                .replace("ab", "fffff0\r\n"),
            0,
        ),
        ("nonsense\r\n\r\n".to_owned(), 1),
    ];
    for (text, malformed) in cases {
        testing::run_paused(async {
            let recorder = Rc::new(RecordingTransport::default());
            let dispatcher =
                testing::dispatcher(testing::settings(1, Idempotency::NotIdempotent), recorder.clone(), 1);
            let upstream = testing::upstream(1);
            upstream.attach(&dispatcher);
            let (_, answer) = dispatcher.accept(testing::request("7", None)).unwrap();
            let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
            let (mut stream, mut server) = duplex(1 << 12);
            let connection =
                UpstreamConnection { server: SERVER, is_origin: true, address: ([127, 0, 0, 1], 1).into() };
            server.write_all(text.as_bytes()).await.unwrap();
            let mut input = BytesMut::new();
            connection.execute(&upstream, &mut stream, &mut input, attempt).await;
            assert_eq!(upstream.counters.malformed_responses.get(), malformed, "{text:?}");
            let chunked = text.contains("chunked");
            let value = Answer::Value(bytes::Bytes::from_static(b"ab"));
            assert_eq!(answer.await == Ok(value), malformed == 0 && !chunked, "{text:?}");
        });
    }
}

/// An endless body with a huge length must be dropped before it fills the memory.
#[test]
fn an_endless_body_is_not_read_to_its_end() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let dispatcher =
            testing::dispatcher(testing::settings(1, Idempotency::NotIdempotent), recorder.clone(), 1);
        let upstream = testing::upstream(1);
        upstream.attach(&dispatcher);
        let _answer = dispatcher.accept(testing::request("7", None)).unwrap();
        let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
        let (mut stream, mut server) = duplex(1 << 12);
        let connection =
            UpstreamConnection { server: SERVER, is_origin: true, address: ([127, 0, 0, 1], 1).into() };
        spawn_local(async move {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\n";
            server.write_all(head).await.unwrap();
            while server.write_all(&[b'x'; 4096]).await.is_ok() {}
        });
        let mut input = BytesMut::new();
        assert_eq!(
            connection.execute(&upstream, &mut stream, &mut input, attempt).await,
            AfterAttempt::Close
        );
        assert_eq!(upstream.counters.malformed_responses.get(), 1);
    });
}

/// The origin stops working on a timed-out request only when the connection closes. A cache server does not
/// stop, so that its connection stays open and the late answer is read and discarded.
#[test]
fn a_timeout_closes_only_connections_to_the_origin() {
    testing::run_paused(async {
        for kind in [0, testing::ORIGIN] {
            let upstream = testing::upstream(4);
            let mut listed = listed_server(SERVER, EndpointState::Serving);
            listed.endpoint.kind = kind;
            upstream.on_endpoints_changed(EndpointUpdate::Snapshot, &[listed]);
            let id = AttemptId(1);
            upstream
                .pools
                .borrow_mut()
                .entry(SERVER)
                .or_default()
                .carried
                .insert(id, CarriedAttempt::default());
            let close_requested = upstream.on_attempt_written(SERVER, id);
            assert!(upstream.abandon(id, SERVER));
            let is_close_requested =
                timeout(Duration::from_secs(1), close_requested.notified()).await.is_ok();
            assert_eq!(is_close_requested, kind == testing::ORIGIN);
        }
    });
}

/// The idle timeout is shortened when reused connections break, and grows back.
#[test]
fn idle_timeout_shrinks_after_a_break_and_grows_back() {
    testing::run_paused(async {
        let upstream = testing::upstream(4);
        let idle_timeout = &upstream.idle_timeout;
        let maximum = idle_timeout.current();
        let configured = upstream.limits.server_idle_timeout;
        assert_eq!(maximum, configured.mul_f64(0.95));
        let margin = configured - maximum;
        assert!(
            maximum > configured.mul_f64(0.9),
            "the timeout {maximum:?} is too short: one of many balancers reuses a connection only after seconds"
        );
        assert!(
            margin >= configured / 25,
            "the margin of {margin:?} is too small for the network round trip"
        );
        idle_timeout.on_broken(Duration::from_millis(1));
        assert_eq!(idle_timeout.current(), maximum, "a break after 1 ms of idle time changed the timeout");
        idle_timeout.on_broken(Duration::from_millis(100));
        assert_eq!(idle_timeout.current(), Duration::from_millis(70));
        idle_timeout.on_reused(Duration::from_millis(60));
        assert!(idle_timeout.current() > Duration::from_millis(70));
        for _ in 0..1000 {
            idle_timeout.on_reused(maximum);
        }
        assert_eq!(idle_timeout.current(), maximum);
    });
}

/// A connection to the old address of a server must not be used, as another process may listen there.
#[test]
fn a_connection_to_an_old_address_is_not_used() {
    testing::run_paused(async {
        let upstream = testing::upstream(4);
        let moved = listed_server(SERVER, EndpointState::Serving);
        upstream.on_endpoints_changed(EndpointUpdate::Snapshot, std::slice::from_ref(&moved));
        let current = moved.address.unwrap();
        let connection = |port| UpstreamConnection {
            server: SERVER,
            is_origin: false,
            address: (current.ip(), port).into(),
        };
        assert!(upstream.add_idle(&connection(current.port()), Instant::now()).is_some());
        assert!(
            upstream.add_idle(&connection(2), Instant::now()).is_none()
                && upstream.next_attempt(&connection(2)).is_none()
        );
    });
}

/// A server that refuses connections ends each attempt once, as not sent.
#[test]
fn a_refused_connection_ends_the_attempt_as_not_sent() {
    testing::run_on_sockets(async {
        let closed = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let mut listed = listed_server(SERVER, EndpointState::Serving);
        listed.address = closed.local_addr().ok();
        drop(closed);
        let upstream = testing::upstream(4);
        let dispatcher =
            testing::dispatcher(testing::settings(1, Idempotency::NotIdempotent), upstream.clone(), 0);
        upstream.attach(&dispatcher);
        dispatcher.on_endpoints_changed(EndpointUpdate::Restored, &[listed]);
        let (_, first) = dispatcher.accept(testing::request("7", None)).unwrap();
        let (_, second) = dispatcher.accept(testing::request("8", None)).unwrap();
        assert!(matches!((first.await, second.await), (Ok(Answer::Rejected(_)), Ok(Answer::Rejected(_)))));
        assert_eq!(dispatcher.counters().attempts_not_connected.get(), 2);
        assert_eq!(upstream.connections.get(), 0);
    });
}

/// A pool with one server on loopback, that server's listener, and a dispatcher with this many attempts per
/// request.
async fn pool_with_one_server(attempts: u32) -> (Rc<Dispatcher>, Rc<Upstream>, tokio::net::TcpListener) {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let upstream = testing::upstream(4);
    let dispatcher =
        testing::dispatcher(testing::settings(attempts, Idempotency::NotIdempotent), upstream.clone(), 0);
    upstream.attach(&dispatcher);
    let mut listed = listed_server(SERVER, EndpointState::Serving);
    listed.address = listener.local_addr().ok();
    dispatcher.on_endpoints_changed(EndpointUpdate::Snapshot, &[listed]);
    (dispatcher, upstream, listener)
}

/// A server that closes each new connection at once, or sends bytes unasked, must not be retried without end:
/// each attempt opens one connection, and the request is rejected as not executed.
#[test]
fn a_server_that_closes_new_connections_gets_no_endless_attempts() {
    for sends_unasked in [false, true] {
        testing::run_on_sockets(async {
            let (dispatcher, upstream, listener) = pool_with_one_server(3).await;
            let accepted = Rc::new(Cell::new(0));
            let accept_counter = Rc::clone(&accepted);
            let timer_dispatcher = Rc::clone(&dispatcher);
            spawn_local(async move { timer_dispatcher.run_timers().await });
            spawn_local(async move {
                let mut kept = Vec::new();
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    accept_counter.set(accept_counter.get() + 1);
                    if sends_unasked {
                        stream.write_all(b"SERVER_ERROR no\r\n").await.unwrap();
                        kept.push(stream);
                    }
                }
            });
            let (_, answer) = dispatcher.accept(testing::request("7", None)).unwrap();
            assert!(matches!(answer.await, Ok(Answer::Rejected(_) | Answer::Failed)));
            assert!(accepted.get() <= 3, "{} connections for three attempts", accepted.get());
            assert_eq!(upstream.counters.attempts_written.get(), 0, "a byte of the request was written");
        });
    }
}

/// Stray bytes on an idle connection close it and must not fail the next request, which is sent on a new
/// connection, whether the bytes arrive before the request or at the moment when the connection is assigned
/// to it.
#[test]
fn stray_bytes_close_their_connection_and_fail_no_request() {
    for during_assignment in [false, true] {
        testing::run_on_sockets(async {
            let (dispatcher, upstream, listener) = pool_with_one_server(3).await;
            let (_, first) = dispatcher.accept(testing::request("1", None)).unwrap();
            let (mut idle_stream, _) = listener.accept().await.unwrap();
            read_request_line(&mut idle_stream).await;
            idle_stream.write_all(b"VA 1 O1\r\nv\r\n").await.unwrap();
            assert!(first.await.is_ok());
            yield_until_idle().await;
            let second = if during_assignment {
                // The pool has not polled the connection since, and assigns it with the bytes unread.
                let (_, second) = dispatcher.accept(testing::request("2", None)).unwrap();
                idle_stream.try_write(b"VA 1").unwrap();
                second
            } else {
                idle_stream.write_all(b"VA 1").await.unwrap();
                yield_until_idle().await;
                dispatcher.accept(testing::request("2", None)).unwrap().1
            };
            let (mut new_stream, _) = listener.accept().await.unwrap();
            read_request_line(&mut new_stream).await;
            new_stream.write_all(b"VA 1 O2\r\nw\r\n").await.unwrap();
            assert_eq!(second.await, Ok(Answer::Value("w".into())));
            assert_eq!(
                (upstream.counters.malformed_responses.get(), upstream.counters.attempts_written.get()),
                (0, 2)
            );
        });
    }
}

/// An answer without a length ends with an orderly close of its connection: a reset, at whatever point, must
/// not complete it.
#[test]
fn a_reset_does_not_complete_an_answer_without_a_length() {
    for (is_reset, has_body) in [(false, true), (true, true), (true, false)] {
        testing::run_on_sockets(async {
            let (dispatcher, _upstream, listener) = pool_with_one_server(3).await;
            let mut origin = listed_server(SERVER, EndpointState::Serving);
            origin.address = listener.local_addr().ok();
            origin.endpoint.kind = testing::ORIGIN;
            dispatcher.on_endpoints_changed(EndpointUpdate::Snapshot, &[origin]);
            let (_, answer) = dispatcher.accept(testing::request("7", None)).unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut received = BytesMut::new();
            while !received.ends_with(b"\r\n\r\n") {
                stream.read_buf(&mut received).await.unwrap();
            }
            let text: &[u8] =
                if has_body { b"HTTP/1.1 200 OK\r\n\r\nab" } else { b"HTTP/1.1 200 OK\r\n\r\n" };
            stream.write_all(text).await.unwrap();
            yield_until_idle().await;
            if is_reset {
                stream.set_zero_linger().unwrap();
            }
            drop(stream);
            let answer = answer.await.unwrap();
            assert_eq!(answer == Answer::Value("ab".into()), !is_reset, "{answer:?}");
            assert_eq!(dispatcher.counters().attempts_reset.get(), u64::from(is_reset));
        });
    }
}

/// Reads one request's line.
async fn read_request_line(stream: &mut tokio::net::TcpStream) -> String {
    let mut received = BytesMut::new();
    while !received.ends_with(b"\r\n") {
        assert!(
            stream.read_buf(&mut received).await.unwrap() > 0,
            "the connection ended within a request line"
        );
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// An endpoint update between the assignment of a request to an idle connection and its first byte takes
/// precedence: if the server drains, is gone or has moved, nothing is written on the old connection.
#[test]
fn an_endpoint_update_before_the_first_byte_prevents_the_write() {
    for change in [EndpointState::Draining, EndpointState::Deleted, EndpointState::Serving] {
        testing::run_on_sockets(async {
            let (dispatcher, upstream, old) = pool_with_one_server(3).await;
            let new = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
            let (_, first) = dispatcher.accept(testing::request("1", None)).unwrap();
            let (mut idle_stream, _) = old.accept().await.unwrap();
            read_request_line(&mut idle_stream).await;
            idle_stream.write_all(b"VA 1 O1\r\nv\r\n").await.unwrap();
            assert!(first.await.is_ok());
            yield_until_idle().await;
            assert_eq!(upstream.connections.get(), 1, "the connection was not kept open");
            // No turn of the event loop lies between the assignment of the request to the connection and the
            // update.
            let (_, second) = dispatcher.accept(testing::request("2", None)).unwrap();
            let mut listed = listed_server(SERVER, change);
            listed.address = new.local_addr().ok();
            dispatcher.on_endpoints_changed(EndpointUpdate::Delta, &[listed]);
            if change == EndpointState::Serving {
                let accepted = timeout(Duration::from_secs(5), new.accept()).await;
                let (mut stream, _) = accepted.expect("no connection was opened to the new address").unwrap();
                assert!(read_request_line(&mut stream).await.contains(" O2 "));
                stream.write_all(b"VA 1 O2\r\nw\r\n").await.unwrap();
                assert_eq!(second.await, Ok(Answer::Value("w".into())));
            } else {
                assert!(matches!(second.await, Ok(Answer::Rejected(_))));
            }
            let mut more = Vec::new();
            idle_stream.read_to_end(&mut more).await.unwrap();
            assert!(more.is_empty(), "{change:?}: {:?}", String::from_utf8_lossy(&more));
        });
    }
}
