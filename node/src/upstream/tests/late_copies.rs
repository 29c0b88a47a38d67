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

/// A pool with one server of this kind, whose requests have this many attempts and must not be executed twice.
fn site(kind: u32, attempts: u32) -> Site {
    let (sender, opened) = mpsc::unbounded_channel();
    let upstream = testing::upstream_with(4, Rc::new(MemoryConnector { opened: sender }));
    let settings = testing::settings(attempts, Idempotency::NotIdempotent);
    let dispatcher = testing::dispatcher(settings, upstream.clone(), 0);
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

/// Reads one request, which is written at once; `None` if the connection ended.
async fn read_request(stream: &mut DuplexStream) -> Option<String> {
    let mut received = BytesMut::with_capacity(MAX_REQUEST_BYTES);
    let length = stream.read_buf(&mut received).await.unwrap_or(0);
    (length > 0).then(|| String::from_utf8_lossy(&received).into_owned())
}

/// What a server answers, in its protocol.
#[derive(Clone, Copy, Debug)]
struct Script {
    kind: u32,
    /// The answer to each attempt of the first request, of which a copy follows.
    first_answer: &'static str,
    /// The answer to the second request, which the server executes.
    second_answer: &'static str,
}

/// An origin that gives this answer first.
fn origin(first_answer: &'static str) -> Script {
    let second_answer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    Script { kind: testing::ORIGIN, first_answer, second_answer }
}

/// A cache server that gives this answer first.
fn cache_server(first_answer: &'static str) -> Script {
    Script { kind: 0, first_answer, second_answer: "VA 6 Osecond\r\nsecond\r\n" }
}

/// Serves a connection to its end, and counts the executions of the second request.
async fn serve(mut stream: DuplexStream, script: Script, copy_delay: Duration, executions: Rc<Cell<usize>>) {
    while let Some(request) = read_request(&mut stream).await {
        if request.contains("first") {
            let _ = stream.write_all(script.first_answer.as_bytes()).await;
            // The next request may arrive while the copy is on its way.
            sleep(copy_delay).await;
            let _ = stream.write_all(script.first_answer.as_bytes()).await;
        } else {
            executions.set(executions.get() + 1);
            sleep(WORK).await;
            let _ = stream.write_all(script.second_answer.as_bytes()).await;
        }
    }
}

/// Sends two requests, the second this long after the answer to the first. Returns the second's answer, and how often it
/// was executed.
async fn answer_after_copy(
    script: Script,
    attempts: u32,
    copy_delay: Duration,
    request_delay: Duration,
) -> (Answer, usize) {
    let Site { dispatcher, mut opened, .. } = site(script.kind, attempts);
    let timer_dispatcher = Rc::clone(&dispatcher);
    spawn_local(async move { timer_dispatcher.run_timers().await });
    let executions = Rc::new(Cell::new(0));
    let counter = Rc::clone(&executions);
    spawn_local(async move {
        while let Some(stream) = opened.recv().await {
            spawn_local(serve(stream, script, copy_delay, Rc::clone(&counter)));
        }
    });
    let (_, first) = dispatcher.accept(request("first")).unwrap();
    first.await.unwrap();
    sleep(request_delay).await;
    let (_, second) = dispatcher.accept(request("second")).unwrap();
    let answer = second.await.unwrap();
    (answer, executions.get())
}

/// Plays many delays of the copy and of the second request: the latter has to get its own answer, and must be executed
/// once.
fn check_copies(script: Script, attempts: u32) {
    for copy_delay in [0, 1, 4, 10, 20, 35, 49] {
        for request_delay in [0, 1, 3, 9, 19, 34, 48, 60, 90] {
            let (copy_delay, request_delay) =
                (Duration::from_millis(copy_delay), Duration::from_millis(request_delay));
            let played = testing::run_paused(answer_after_copy(script, attempts, copy_delay, request_delay));
            let expected = (Answer::Value("second".into()), 1);
            assert_eq!(
                played, expected,
                "{script:?} copied after {copy_delay:?}, next after {request_delay:?}"
            );
        }
    }
}

/// Guards against a client being served with the value that the origin made for an earlier request.
#[test]
fn a_late_copy_of_a_value_is_not_served_to_the_next_request() {
    check_copies(origin("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"), 1);
}

/// An origin's rejection, which promises that the request was not executed.
const ORIGIN_REJECTION: &str = "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

/// Guards against a request that is being executed being answered as rejected, after which its client would send it
/// again.
#[test]
fn a_late_copy_of_a_rejection_does_not_reject_the_next_request() {
    check_copies(origin(ORIGIN_REJECTION), 1);
    check_copies(cache_server("SERVER_ERROR busy\r\n"), 1);
}

/// Guards against a request that is being executed counting as never executed and being sent again.
#[test]
fn a_late_copy_of_a_rejection_does_not_repeat_the_next_request() {
    check_copies(origin(ORIGIN_REJECTION), 3);
    check_copies(cache_server("SERVER_ERROR busy\r\n"), 3);
}

/// Guards against a copy of an error ending the next request, whose answer would be taken for the one after it.
#[test]
fn a_late_copy_of_an_error_does_not_fail_the_next_request() {
    check_copies(origin("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), 1);
    check_copies(cache_server("SERVER_ERROR failed\r\n"), 1);
}

/// Sends two requests, one right after the other, to a server that answers each once. Returns how many connections it
/// saw, and how long after the first answer the second request arrived.
async fn reuse(kind: u32, first_answer: &str) -> (u64, Duration) {
    let Site { dispatcher, upstream, mut opened } = site(kind, 1);
    let (_, first) = dispatcher.accept(request("1")).unwrap();
    let mut stream = opened.recv().await.unwrap();
    assert!(read_request(&mut stream).await.is_some());
    stream.write_all(first_answer.as_bytes()).await.unwrap();
    first.await.unwrap();
    yield_until_idle().await;
    let answered_at = Instant::now();
    let (_, _second) = dispatcher.accept(request("2")).unwrap();
    assert!(read_request(&mut stream).await.is_some());
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

/// The next connection that is opened.
async fn next_connection(opened: &mut mpsc::UnboundedReceiver<DuplexStream>) -> DuplexStream {
    let connection = timeout(Duration::from_secs(1), opened.recv()).await;
    connection.expect("no connection was opened").expect("the pool has ended")
}

/// A server that has sent one late copy is trusted less: later copies are recognized at longer delays as well.
#[test]
fn later_copies_are_recognized_after_the_first() {
    for later_delay in [60, 200, 300] {
        testing::run_paused(async {
            let Site { dispatcher, mut opened, .. } = site(testing::ORIGIN, 1);
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
            for copy_delay in [35, later_delay] {
                let (_, first) = dispatcher.accept(request(&format!("first-{copy_delay}"))).unwrap();
                let mut stream = next_connection(&mut opened).await;
                assert!(read_request(&mut stream).await.is_some());
                stream.write_all(answer).await.unwrap();
                first.await.unwrap();
                let (_, second) = dispatcher.accept(request(&format!("second-{copy_delay}"))).unwrap();
                sleep(Duration::from_millis(copy_delay)).await;
                stream.write_all(answer).await.unwrap();
                let mut stream = next_connection(&mut opened).await;
                assert!(read_request(&mut stream).await.is_some());
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nsecond")
                    .await
                    .unwrap();
                assert_eq!(second.await, Ok(Answer::Value("second".into())), "{later_delay} ms");
                yield_until_idle().await;
            }
        });
    }
}

/// An attempt with little time left opens a connection rather than waiting until another has settled.
#[test]
fn an_urgent_attempt_does_not_wait_for_a_connection_to_settle() {
    testing::run_paused(async {
        let Site { dispatcher, mut opened, .. } = site(testing::ORIGIN, 1);
        let (_, first) = dispatcher.accept(request("1")).unwrap();
        let mut stream = opened.recv().await.unwrap();
        assert!(read_request(&mut stream).await.is_some());
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
