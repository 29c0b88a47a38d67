//! Late copies: a server sends an answer a second time, some time after the first.

use std::net::SocketAddr;

use juniperladder::Micros;
use tokio::io::DuplexStream;
use tokio::sync::mpsc;

use super::*;
use crate::connect::{ConnectFuture, ServerStream};

/// The maximum length of a request in these tests.
const MAX_REQUEST_BYTES: usize = 1 << 12;
/// How long the server works on the second request.
const WORK: Duration = Duration::from_millis(100);

/// Opens connections in memory, whose other ends the test gets in the order in which they were opened.
struct MemoryConnector {
    opened: mpsc::UnboundedSender<DuplexStream>,
}

impl Connector for MemoryConnector {
    fn connect(&self, _: SocketAddr) -> ConnectFuture {
        let (near, far) = duplex(MAX_REQUEST_BYTES);
        self.opened.send(far).expect("the test has ended");
        Box::pin(async move { Ok(Box::new(near) as Box<dyn ServerStream>) })
    }
}

/// A server in memory behind a pool.
struct Site {
    dispatcher: Rc<Dispatcher>,
    upstream: Rc<Upstream>,
    opened: mpsc::UnboundedReceiver<DuplexStream>,
}

/// A pool with one server of this kind, whose requests have one attempt.
fn site(kind: u32) -> Site {
    let (sender, opened) = mpsc::unbounded_channel();
    let upstream = testing::upstream_with(4, Rc::new(MemoryConnector { opened: sender }));
    let dispatcher =
        testing::dispatcher(testing::settings(1, Idempotency::NotIdempotent), upstream.clone(), 0);
    upstream.attach(&dispatcher);
    let mut listed = listed_server(SERVER, EndpointState::Serving);
    listed.endpoint.kind = kind;
    dispatcher.on_endpoints_changed(EndpointUpdate::Snapshot, &[listed]);
    Site { dispatcher, upstream, opened }
}

/// A request with one second.
fn request(id: &str) -> crate::dispatcher::ClientRequest {
    let mut request = testing::request(id, None);
    request.timeout = Some(Micros(1_000_000));
    request
}

/// Reads one request, which is written at once; false if the connection ended.
async fn has_read_request(stream: &mut DuplexStream) -> bool {
    stream.read_buf(&mut BytesMut::with_capacity(MAX_REQUEST_BYTES)).await.unwrap_or(0) > 0
}

/// Sends two requests. The server gives this answer to the first, and a copy of it `copy_delay` later; it answers the
/// second after [`WORK`]. Returns the second's answer, and how often a server received it.
async fn answer_after_copy(
    kind: u32,
    first_answer: &'static str,
    second_answer: &'static str,
    copy_delay: Duration,
    request_delay: Duration,
) -> (Answer, usize) {
    let Site { dispatcher, mut opened, .. } = site(kind);
    let received = Rc::new(Cell::new(0));
    let (_, first) = dispatcher.accept(request("1")).unwrap();
    let mut stream = opened.recv().await.unwrap();
    assert!(has_read_request(&mut stream).await);
    stream.write_all(first_answer.as_bytes()).await.unwrap();
    first.await.unwrap();
    let answer_second = move |mut stream: DuplexStream, received: Rc<Cell<usize>>| async move {
        if has_read_request(&mut stream).await {
            received.set(received.get() + 1);
            sleep(WORK).await;
            let _ = stream.write_all(second_answer.as_bytes()).await;
            has_read_request(&mut stream).await;
        }
    };
    let old_received = Rc::clone(&received);
    spawn_local(async move {
        // The next request may arrive while the copy is on its way.
        sleep(copy_delay).await;
        let _ = stream.write_all(first_answer.as_bytes()).await;
        answer_second(stream, old_received).await;
    });
    let new_received = Rc::clone(&received);
    spawn_local(async move {
        while let Some(stream) = opened.recv().await {
            spawn_local(answer_second(stream, Rc::clone(&new_received)));
        }
    });
    sleep(request_delay).await;
    let (_, second) = dispatcher.accept(request("2")).unwrap();
    let answer = second.await.unwrap();
    (answer, received.get())
}

/// Plays this first answer at many delays of the copy and the next request: the latter has to get its own answer, and
/// a server must have received it once.
fn check_copies_of(kind: u32, first_answer: &'static str, second_answer: &'static str) {
    for copy_delay in [0, 1, 4, 10, 20, 35, 49] {
        for request_delay in [0, 1, 3, 9, 19, 34, 48, 60, 90] {
            let played = testing::run_paused(answer_after_copy(
                kind,
                first_answer,
                second_answer,
                Duration::from_millis(copy_delay),
                Duration::from_millis(request_delay),
            ));
            let expected = (Answer::Value("second".into()), 1);
            assert_eq!(
                played, expected,
                "copy of {first_answer:?} after {copy_delay} ms, next request after {request_delay} ms"
            );
        }
    }
}

const ORIGIN_SECOND: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
const CACHE_SECOND: &str = "VA 6 O2\r\nsecond\r\n";

/// Guards against a client being served with the value that the origin made for an earlier request.
#[test]
fn a_late_copy_of_a_value_is_not_served_to_the_next_request() {
    check_copies_of(testing::ORIGIN, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", ORIGIN_SECOND);
}

/// Guards against a request that is being executed counting as never executed, which would be sent again or rejected.
#[test]
fn a_late_copy_of_a_rejection_does_not_reject_the_next_request() {
    let rejection = "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
    check_copies_of(testing::ORIGIN, rejection, ORIGIN_SECOND);
    check_copies_of(0, "SERVER_ERROR busy\r\n", CACHE_SECOND);
}

/// Guards against a copy of an error ending the next request, whose answer would be taken for the one after it.
#[test]
fn a_late_copy_of_an_error_does_not_fail_the_next_request() {
    check_copies_of(testing::ORIGIN, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ORIGIN_SECOND);
    check_copies_of(0, "SERVER_ERROR failed\r\n", CACHE_SECOND);
}

/// Sends two requests, one right after the other, to a server that answers each once. Returns how many connections it
/// saw, and how long after the first answer the second request arrived.
async fn reuse(kind: u32, first_answer: &str) -> (u64, Duration) {
    let Site { dispatcher, upstream, mut opened } = site(kind);
    let (_, first) = dispatcher.accept(request("1")).unwrap();
    let mut stream = opened.recv().await.unwrap();
    assert!(has_read_request(&mut stream).await);
    stream.write_all(first_answer.as_bytes()).await.unwrap();
    first.await.unwrap();
    yield_until_idle().await;
    let answered_at = Instant::now();
    let (_, _second) = dispatcher.accept(request("2")).unwrap();
    assert!(has_read_request(&mut stream).await);
    (upstream.counters.connections_opened.get(), answered_at.elapsed())
}

/// A silent connection is reused, which saves its server a handshake: at once after an answer that names its request,
/// and otherwise after the settle time.
#[test]
fn a_silent_connection_is_reused() {
    let settle_time = Duration::from_millis(50);
    let cases = [
        (0, "VA 1 O1\r\nv\r\n", Duration::ZERO),
        (0, "EN O1\r\n", Duration::ZERO),
        (0, "SERVER_ERROR busy\r\n", settle_time),
        (testing::ORIGIN, "HTTP/1.1 200 OK\r\nX-Trace-Id: 1\r\nContent-Length: 1\r\n\r\nv", Duration::ZERO),
        (testing::ORIGIN, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv", settle_time),
    ];
    for (kind, first_answer, expected_wait) in cases {
        let (connections, wait) = testing::run_paused(reuse(kind, first_answer));
        assert_eq!(connections, 1, "{first_answer:?}");
        // Tokio's timers round up to the next millisecond.
        let rounding = Duration::from_millis(1);
        assert!(expected_wait <= wait && wait <= expected_wait + rounding, "{first_answer:?}: {wait:?}");
    }
}

/// An attempt with little time left opens a connection rather than waiting until another has settled.
#[test]
fn an_urgent_attempt_does_not_wait_for_a_connection_to_settle() {
    testing::run_paused(async {
        let Site { dispatcher, mut opened, .. } = site(testing::ORIGIN);
        let (_, first) = dispatcher.accept(request("1")).unwrap();
        let mut stream = opened.recv().await.unwrap();
        assert!(has_read_request(&mut stream).await);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv").await.unwrap();
        first.await.unwrap();
        yield_until_idle().await;
        let mut urgent = testing::request("2", None);
        urgent.timeout = Some(Micros(100_000));
        let (_, _second) = dispatcher.accept(urgent).unwrap();
        yield_until_idle().await;
        assert!(opened.try_recv().is_ok());
    });
}
