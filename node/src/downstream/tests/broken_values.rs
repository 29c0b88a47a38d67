//! Streamed values that break off at their server, with requests of the same client behind them.

use juniperladder_dispatch::streamed_value::{streamed_value, ChunkSender};
use tokio::io::DuplexStream;

use super::*;
use crate::dispatcher::Attempt;

const VALUE_BYTES: usize = 300_000;
const SENT_BYTES: usize = 120_000;
const MAX_ATTEMPTS: u32 = 3;
const LONG_READ: &str = "mg k v O1 Pc=read,d=1500\r\n";

/// A connection whose client has sent these requests, and its open attempts.
struct Case {
    recorder: Rc<RecordingTransport>,
    downstream: Rc<Downstream>,
    client: DuplexStream,
}

impl Case {
    async fn start(idempotency: Idempotency, requests: &str) -> Case {
        let recorder = Rc::new(RecordingTransport::default());
        let settings = testing::settings(MAX_ATTEMPTS, idempotency);
        let downstream = downstream_of(settings, &recorder, testing::buffers());
        let (stream, client) = duplex(1 << 20);
        spawn_local(serve(Rc::clone(&downstream), stream));
        let mut case = Case { recorder, downstream, client };
        case.send(requests).await;
        case
    }

    async fn send(&mut self, requests: &str) {
        self.client.write_all(requests.as_bytes()).await.unwrap();
        yield_until_idle().await;
    }

    /// Takes the only attempt of the request with this id.
    fn take_attempt(&self, id: &str) -> Attempt {
        let mut attempts = self.recorder.started_attempts.borrow_mut();
        let position = attempts.iter().position(|attempt| attempt.request.id == id.as_bytes());
        attempts.remove(position.expect("no attempt"))
    }

    fn reply(&self, attempt: &Attempt, answer: Answer) {
        self.downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(answer)));
    }

    /// Answers an attempt at the long read with this part of its value.
    async fn begin_value(&self, attempt: &Attempt, part: &[u8]) -> ChunkSender {
        let (mut sender, value) = streamed_value(VALUE_BYTES);
        self.reply(attempt, Answer::Streamed(value));
        for chunk in part.chunks(10_000) {
            sender.send(Bytes::copy_from_slice(chunk)).await.unwrap();
        }
        yield_until_idle().await;
        sender
    }

    async fn receive_all(mut self) -> Vec<u8> {
        self.client.shutdown().await.unwrap();
        let mut received = Vec::new();
        self.client.read_to_end(&mut received).await.unwrap();
        received
    }
}

fn value() -> Vec<u8> {
    (0..VALUE_BYTES).map(|position| (position / 7) as u8).collect()
}

fn long_answer() -> Vec<u8> {
    [format!("VA {VALUE_BYTES} O1\r\n").as_bytes(), &value(), b"\r\n"].concat()
}

/// Guards against answers that are lost with the end of the connection, which is how a client is shown a broken value: a
/// write that has run and a read, sent behind a long read.
#[test]
fn requests_behind_a_value_that_breaks_off_are_answered() {
    testing::run_paused(async {
        let requests = format!("{LONG_READ}ms k 1 O2 Pc=read,d=1500\r\nw\r\nmg s v O3 Pc=read,d=1500\r\n");
        let case = Case::start(Idempotency::Idempotent, &requests).await;
        case.reply(&case.take_attempt("2"), Answer::Receipt("r2".into()));
        case.reply(&case.take_attempt("3"), Answer::Value("v".into()));
        drop(case.begin_value(&case.take_attempt("1"), &value()[..SENT_BYTES]).await);
        yield_until_idle().await;
        case.begin_value(&case.take_attempt("1"), &value()).await.finish().await.unwrap();
        yield_until_idle().await;
        let served = &case.downstream.dispatcher.counters().served;
        assert_eq!(served.get(), 3);
        let received = case.receive_all().await;
        assert_eq!(received, [&long_answer()[..], b"HD O2 cr2\r\nVA 1 O3\r\nv\r\n"].concat());
    });
}

/// Guards against a value that is put together from two: the second one differs in a byte that the client has.
#[test]
fn another_value_is_not_appended_to_a_part_of_the_first() {
    testing::run_paused(async {
        let case = Case::start(Idempotency::Idempotent, LONG_READ).await;
        drop(case.begin_value(&case.take_attempt("1"), &value()[..SENT_BYTES]).await);
        yield_until_idle().await;
        let mut other = value();
        other[SENT_BYTES - 1] ^= 1;
        let (mut sender, streamed) = streamed_value(VALUE_BYTES);
        case.reply(&case.take_attempt("1"), Answer::Streamed(streamed));
        let mut chunks = other.chunks(10_000);
        while sender.send(Bytes::copy_from_slice(chunks.next().unwrap())).await.is_ok() {
            yield_until_idle().await;
        }
        let received = case.receive_all().await;
        assert!(long_answer().starts_with(&received));
        assert_eq!(received.len(), format!("VA {VALUE_BYTES} O1\r\n").len() + SENT_BYTES);
    });
}

/// Guards against a second execution of a read of a class that must not run twice.
#[test]
fn a_value_of_a_class_that_must_not_run_twice_is_not_resumed() {
    testing::run_paused(async {
        let case = Case::start(Idempotency::NotIdempotent, LONG_READ).await;
        drop(case.begin_value(&case.take_attempt("1"), &value()[..SENT_BYTES]).await);
        yield_until_idle().await;
        assert!(case.recorder.started_attempts.borrow().is_empty());
        assert!(case.receive_all().await.len() < VALUE_BYTES);
    });
}

/// Guards against more attempts than the settings allow, and against attempts without end, for a value that always breaks
/// off.
#[test]
fn attempts_at_a_value_that_always_breaks_off_are_bounded() {
    testing::run_paused(async {
        let case = Case::start(Idempotency::Idempotent, LONG_READ).await;
        let mut attempts = 0;
        while !case.recorder.started_attempts.borrow().is_empty() {
            attempts += 1;
            drop(case.begin_value(&case.take_attempt("1"), &value()[..SENT_BYTES]).await);
            yield_until_idle().await;
        }
        assert_eq!(attempts, MAX_ATTEMPTS);
        assert!(case.receive_all().await.len() < VALUE_BYTES);
    });
}

/// Guards against the execution of a request whose answer the end of the connection would lose: what comes behind a value
/// that is being streamed is read only once the value is complete.
#[test]
fn a_request_behind_a_value_in_transit_is_not_forwarded() {
    testing::run_paused(async {
        let mut case = Case::start(Idempotency::NotIdempotent, LONG_READ).await;
        let mut sender = case.begin_value(&case.take_attempt("1"), &value()[..SENT_BYTES]).await;
        case.send("ms k 1 O2 Pc=read,d=1500\r\nw\r\n").await;
        assert!(case.recorder.started_attempts.borrow().is_empty());
        for chunk in value()[SENT_BYTES..].chunks(10_000) {
            sender.send(Bytes::copy_from_slice(chunk)).await.unwrap();
        }
        sender.finish().await.unwrap();
        yield_until_idle().await;
        case.reply(&case.take_attempt("2"), Answer::Receipt("r2".into()));
        assert_eq!(case.receive_all().await, [&long_answer()[..], b"HD O2 cr2\r\n"].concat());
    });
}
