//! The downstream side, with clients simulated in memory and on loopback.

mod broken_values;
mod closing;
mod delivery;
mod eviction;
mod fairness;
mod held_up;
mod leaving;
mod short_of_buffers;
mod slots;
mod unread;

use std::io;

use super::connection::{DownstreamConnection, MAX_INVALID_REQUESTS, MAX_PENDING_ANSWERS};
use super::*;
use crate::dispatcher::{Answer, AttemptEnd, Reply};
use crate::testing::{self, yield_until_idle, RecordingTransport};
use bytes::Bytes;
use juniperladder::{Idempotency, Settings};
use proptest::prelude::*;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A pool with room for one value of the maximum length that is held whole, and a part of another.
const FEW_BUFFER_BYTES: usize = 1 << 17;

/// A step of a test case.
#[derive(Clone, Debug)]
enum Step {
    /// The client sends this text; the expected answer, if it needs no attempt.
    Line(&'static str, Option<&'static str>),
    /// The oldest or the newest attempt in flight ends.
    AttemptEnd { newest: bool, served: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let lines = prop_oneof![
        Just(Step::Line("mn\r\n", Some("MN\r\n"))),
        Just(Step::Line("nonsense\r\n", Some("ERROR\r\n"))),
        Just(Step::Line("mg\r\n", Some("CLIENT_ERROR bad command line format\r\n"))),
        Just(Step::Line("mg k v Oid Pc=read,d=480\r\n", None)),
        Just(Step::Line("ms k 5 Oid Pc=read,d=480,k=1\r\na\r\nmg\r\n", None)),
    ];
    prop_oneof![3 => lines, 2 => any::<(bool, bool)>().prop_map(|(newest, served)| Step::AttemptEnd { newest, served })]
}

pub(super) fn downstream(recorder: &Rc<RecordingTransport>) -> Rc<Downstream> {
    downstream_with(recorder, testing::buffers())
}

pub(super) fn downstream_with(recorder: &Rc<RecordingTransport>, buffers: BufferPool) -> Rc<Downstream> {
    downstream_of(testing::settings(1, Idempotency::NotIdempotent), recorder, buffers)
}

pub(super) fn downstream_of(
    settings: Settings,
    recorder: &Rc<RecordingTransport>,
    buffers: BufferPool,
) -> Rc<Downstream> {
    let dispatcher = testing::dispatcher(settings, recorder.clone(), 1);
    let resource_limits = testing::resource_limits(1 << 10);
    let labels = Labels { classes: vec!["read".into()], tenants: vec!["acme".into(), "beta".into()] };
    Downstream::new(dispatcher, labels, Rc::default(), resource_limits, buffers, testing::log())
}

/// A client on loopback, and the balancer's side of its connection.
async fn loopback() -> (TcpStream, Socket) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (client, Socket(listener.accept().await.unwrap().0))
}

/// A client on loopback whose connection is served.
async fn connect(downstream: &Rc<Downstream>) -> TcpStream {
    let (client, stream) = loopback().await;
    spawn_local(serve(Rc::clone(downstream), stream));
    client
}

async fn serve(downstream: Rc<Downstream>, stream: impl ClientStream) -> io::Result<()> {
    serve_after(downstream, stream, Duration::ZERO).await
}

/// Serves a connection that may have waited for its slot for up to `waited`.
pub(super) async fn serve_after(
    downstream: Rc<Downstream>,
    stream: impl ClientStream,
    waited: Duration,
) -> io::Result<()> {
    downstream.occupy_slot(waited).serve(stream).await
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// The boundaries of reads must not change the answers: each request gets exactly one, in the order of
    /// the requests, and a client that half-closes still gets all of them.
    #[test]
    fn answers_keep_the_order_of_requests(steps in prop::collection::vec(step(), 1..24), piece_bytes in 1..40usize) {
        let (received, expected) = testing::run_paused(async {
            let recorder = Rc::new(RecordingTransport::default());
            let downstream = downstream(&recorder);
            let (stream, mut client) = duplex(1 << 16);
            let task = spawn_local(serve(Rc::clone(&downstream), stream));
            // The model: the expected answers, and which of them wait for an attempt.
            let mut expected_answers: Vec<Option<String>> = Vec::new();
            let mut awaiting_attempts: Vec<usize> = Vec::new();
            for step in steps {
                match step {
                    Step::Line(text, answer) => {
                        // An id in use is rejected: each request has its own id, all of the same length.
                        let text = text.replace("Oid", &format!("O{:02}", expected_answers.len()));
                        for piece in text.as_bytes().chunks(piece_bytes) {
                            client.write_all(piece).await.unwrap();
                            yield_until_idle().await;
                        }
                        if answer.is_none() {
                            awaiting_attempts.push(expected_answers.len());
                        }
                        expected_answers.push(answer.map(str::to_owned));
                    }
                    Step::AttemptEnd { newest, served } if !awaiting_attempts.is_empty() => {
                        let position = if newest { awaiting_attempts.len() - 1 } else { 0 };
                        let attempt = recorder.started_attempts.borrow_mut().remove(position);
                        let value = Bytes::from_static(b"x\r\ny");
                        let index = awaiting_attempts.remove(position);
                        let (reply, answer) = if served {
                            let answer = format!("VA 4 O{index:02}\r\nx\r\ny\r\n");
                            (Reply::Served(Answer::Value(value)), answer)
                        } else {
                            (Reply::Error, "SERVER_ERROR failed\r\n".into())
                        };
                        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(reply));
                        expected_answers[index] = Some(answer);
                    }
                    Step::AttemptEnd { .. } => {}
                }
                yield_until_idle().await;
            }
            client.shutdown().await.unwrap();
            yield_until_idle().await;
            for attempt in recorder.started_attempts.take() {
                downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Broken);
            }
            let mut received = String::new();
            client.read_to_string(&mut received).await.unwrap();
            task.await.unwrap().unwrap();
            (received, expected_answers.into_iter().map(|a| a.unwrap_or("SERVER_ERROR failed\r\n".into())).collect::<String>())
        });
        prop_assert_eq!(received, expected);
    }
}

/// Incomplete values must not exhaust the memory: what is buffered of them is bounded, and small requests are
/// still served.
#[test]
fn incomplete_values_hold_a_bounded_part_of_the_memory() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream_with(&recorder, BufferPool::new(FEW_BUFFER_BYTES));
        let mut clients = Vec::new();
        for _ in 0..8 {
            let (stream, mut client) = duplex(1 << 20);
            spawn_local(serve(Rc::clone(&downstream), stream));
            client.write_all(b"ms k 65536 Oid Pc=read,d=480\r\n").await.unwrap();
            client.write_all(&[b'x'; 60_000]).await.unwrap();
            clients.push(client);
        }
        yield_until_idle().await;
        let buffered_bytes = downstream.buffers.reserved_bytes();
        assert!((1..=FEW_BUFFER_BYTES).contains(&buffered_bytes), "{buffered_bytes}");
        let (stream, mut client) = duplex(1 << 10);
        spawn_local(serve(Rc::clone(&downstream), stream));
        client.write_all(b"mn\r\n").await.unwrap();
        let mut received = [0; 4];
        client.read_exact(&mut received).await.unwrap();
        drop(client);
        for mut client in clients {
            let mut received = String::new();
            client.read_to_string(&mut received).await.unwrap();
            assert_eq!(received, "CLIENT_ERROR command not finished in time\r\n");
        }
        yield_until_idle().await;
        assert_eq!(downstream.buffers.reserved_bytes(), 0);
    });
}

/// Invalid requests are answered with an error and never dispatched: an unknown class, an id in use, a
/// missing deadline, and endless garbage, which also ends its connection.
#[test]
fn malformed_requests_are_rejected_and_never_dispatched() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let (stream, mut client) = duplex(1 << 16);
        spawn_local(serve(Rc::clone(&downstream), stream));
        let (valid_stream, mut valid_client) = duplex(1 << 16);
        spawn_local(serve(Rc::clone(&downstream), valid_stream));
        valid_client.write_all(b"mg k v O1 Pc=read,d=480\r\n").await.unwrap();
        yield_until_idle().await;
        for (line, answer) in [
            ("mg k v O2 Pc=reads,d=480", "CLIENT_ERROR unknown class\r\n"),
            ("mg k v O2 Pd=480", "CLIENT_ERROR unknown class\r\n"),
            ("mg k v O1 Pc=read,d=480", "CLIENT_ERROR id in use\r\n"),
            ("mg k v O2 Pc=read", "CLIENT_ERROR no deadline\r\n"),
            ("mg k v O2 Pc=read,d=-1", "CLIENT_ERROR bad properties\r\n"),
        ] {
            client.write_all(format!("{line}\r\n").as_bytes()).await.unwrap();
            let mut received = vec![0; answer.len()];
            client.read_exact(&mut received).await.unwrap();
            assert_eq!(String::from_utf8(received).unwrap(), answer);
        }
        assert_eq!(
            recorder.started_attempts.borrow().len(),
            1,
            "a request other than that of the valid client was dispatched"
        );
        client.write_all(&b"\n".repeat(MAX_INVALID_REQUESTS * 2)).await.unwrap();
        let mut received = String::new();
        client.read_to_string(&mut received).await.unwrap();
        assert_eq!(received, "ERROR\r\n".repeat(MAX_INVALID_REQUESTS - 5));
        let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
        downstream
            .dispatcher
            .on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(Answer::Value("v".into()))));
        let mut received = [0; 12];
        valid_client.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"VA 1 O1\r\nv\r\n");
    });
}

/// A request counts for the tenant that it names. One with an unknown tenant, or none, counts for no tenant
/// and is served all the same.
#[test]
fn a_request_counts_for_the_tenant_that_it_names() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let (stream, mut client) = duplex(1 << 10);
        spawn_local(serve(Rc::clone(&downstream), stream));
        let cases = [(",t=beta", 1), (",t=acme", 0), (",t=acm", 2), (",t=", 2), ("", 2)];
        for (id, (tenant_property, index)) in cases.into_iter().enumerate() {
            client
                .write_all(format!("mg k v O{id} Pc=read{tenant_property},d=480\r\n").as_bytes())
                .await
                .unwrap();
            yield_until_idle().await;
            let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
            assert_eq!(attempt.request.tenant, index, "{tenant_property}");
            downstream
                .dispatcher
                .on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(Answer::Value("v".into()))));
            let mut received = [0; 12];
            client.read_exact(&mut received).await.unwrap();
            assert_eq!(received, format!("VA 1 O{id}\r\nv\r\n").as_bytes());
        }
    });
}
