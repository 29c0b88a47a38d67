//! The origin's HTTP/1.1 server. It uses hyper, so that the program's codec is tested against another implementation.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use juniperladder_platform_model::event_log::{Attempt, AttemptResult, Receiver};
use juniperladder_platform_model::links::LinkEnd;
use juniperladder_platform_model::origin::{OriginRequest, Outcome};
use juniperladder_platform_model::workload::key_name;
use juniperladder_platform_model::{micros_from_millis, Micros};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::listeners;
use crate::testbed::{balancer_of, receipt_of, value_of, Testbed};

/// Accepts the connections of one listener group's balancers until the task is aborted.
pub async fn serve(testbed: Rc<Testbed>, listener_group: usize, listener: TcpListener) {
    loop {
        let stream = listeners::accept(&listener).await;
        let _ = stream.set_nodelay(true);
        let testbed = Rc::clone(&testbed);
        spawn_local(async move {
            let handler = service_fn(|request| on_request(Rc::clone(&testbed), listener_group, request));
            let connection = hyper::server::conn::http1::Builder::new();
            // The balancer handles a broken connection; the event log has the attempts that were received.
            let _ = connection.serve_connection(TokioIo::new(stream), handler).await;
        });
    }
}

/// The connection is closed without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection was closed without an answer")]
pub struct ConnectionBroken;

/// Waits for the transit time of a message that is sent over the link now; fails if the link is reset.
///
/// A message sent over a cut link waits until the cut ends.
pub async fn wait_for_transit(testbed: &Testbed, from: LinkEnd, to: LinkEnd) -> Result<(), ConnectionBroken> {
    let mut changes = testbed.changes.subscribe();
    let sent_at = testbed.now();
    loop {
        let state = testbed.link_state(from, to);
        if state.reset {
            return Err(ConnectionBroken);
        }
        if !state.cut {
            let arrives_at = sent_at + testbed.draw_transit_time(from, to, &state);
            sleep_until(testbed.instant(arrives_at)).await;
            return Ok(());
        }
        if changes.changed().await.is_err() {
            return Err(ConnectionBroken);
        }
    }
}

type Body = Full<Bytes>;

async fn on_request(
    testbed: Rc<Testbed>,
    listener_group: usize,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionBroken> {
    let balancer = LinkEnd::Balancer(testbed.listener_group_members[listener_group]);
    let first_byte_at = testbed.now();
    let Some(parsed) = ParsedRequest::parse(&request) else { return Ok(bad_request()) };
    // The contents of the value are not used; the read only makes sure that it is complete.
    request.into_body().collect().await.map_err(|_| ConnectionBroken)?;
    wait_for_transit(&testbed, balancer, LinkEnd::Origin).await?;
    let response = execute(&testbed, &parsed, first_byte_at).await?;
    wait_for_transit(&testbed, LinkEnd::Origin, balancer).await?;
    Ok(response)
}

/// Executes a completely received request.
async fn execute(
    testbed: &Testbed,
    request: &ParsedRequest,
    first_byte_at: Micros,
) -> Result<Response<Body>, ConnectionBroken> {
    let now = testbed.now();
    let received = OriginRequest {
        idempotency_key: request.idempotency_key,
        in_slow_start: testbed.has_slow_start_miss(request.id),
        deadline: now + request.timeout,
    };
    let outcome = testbed.origin.borrow_mut().on_request(now, received, &mut testbed.machine_rng());
    let attempt = Attempt {
        id: request.id,
        balancer: balancer_of(request.id) as u32,
        receiver: Receiver::Origin,
        first_byte_at,
        received_at: now,
        answered_at: None,
        result: AttemptResult::NoAnswer,
        in_slow_start: received.in_slow_start,
        corrupted: false,
    };
    match outcome {
        Outcome::Stopped => {
            testbed.log_attempt(attempt);
            Err(ConnectionBroken)
        }
        Outcome::Rejected => {
            let result = AttemptResult::Rejected;
            testbed.log_attempt(Attempt { result, answered_at: Some(now), ..attempt });
            rejected()
        }
        Outcome::Runs { at, repeat } => {
            let log_index = testbed.log_attempt(attempt);
            sleep_until(testbed.instant(at)).await;
            let body = complete(testbed, request, repeat);
            let logged = &mut testbed.event_log.borrow_mut().attempts[log_index];
            logged.result = AttemptResult::Served;
            logged.answered_at = Some(testbed.now());
            Ok(served(body))
        }
    }
}

/// Applies the effect of a request to the caches and returns the body of the answer.
fn complete(testbed: &Testbed, request: &ParsedRequest, repeat: bool) -> String {
    match request.idempotency_key {
        Some(key) => {
            if !repeat {
                testbed.on_written(request.key);
            }
            receipt_of(key)
        }
        None => {
            testbed.on_fetched(request.id, request.key);
            value_of(request.id, request.key)
        }
    }
}

/// A request in the form in which the program sends it.
struct ParsedRequest {
    id: u64,
    key: u64,
    /// Idempotency key of a write; `None` for a fetch.
    idempotency_key: Option<u64>,
    /// Time for which the balancer waits for the answer.
    timeout: Micros,
}

impl ParsedRequest {
    fn parse<B>(request: &Request<B>) -> Option<ParsedRequest> {
        let header = |name: &str| request.headers().get(name)?.to_str().ok();
        let properties = header("x-props")?;
        let property = |name: &str| {
            let mut pairs = properties.split(',').filter_map(|item| item.split_once('='));
            pairs.find(|(other, _)| *other == name).map(|(_, value)| value)
        };
        let hex = |text: &str| u64::from_str_radix(text, 16).ok();
        let key: u64 = property("q")?.parse().ok()?;
        // The path has to match the key named by the client.
        if request.uri().path().trim_start_matches('/') != key_name(key) {
            return None;
        }
        let idempotency_key = match *request.method() {
            Method::GET => None,
            Method::PUT => Some(hex(property("k")?)?),
            _ => return None,
        };
        Some(ParsedRequest {
            id: hex(header("x-trace-id")?)?,
            key,
            idempotency_key,
            timeout: micros_from_millis(property("d")?.parse().ok()?),
        })
    }
}

/// The answer with this body. It does not name its request, as the protocol asks for no such header.
fn served(body: String) -> Response<Body> {
    Response::new(Full::new(Bytes::from(body)))
}

fn rejected() -> Result<Response<Body>, ConnectionBroken> {
    let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).header("X-Never-Ran", "1");
    response.body(Full::default()).map_err(|_| ConnectionBroken)
}

fn bad_request() -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from_static(b"not a command")));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
