//! The origin's side of its sockets: HTTP/1.1 by hyper, so that the program's codec meets another one.

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

use crate::doors::next;
use crate::rig::{balancer_of, receipt_of, value_of, Rig};

/// Lets balancers of one side in until the listener's task is aborted.
pub async fn accept(rig: Rc<Rig>, side: usize, listener: TcpListener) {
    loop {
        let stream = next(&listener).await;
        let _ = stream.set_nodelay(true);
        let rig = Rc::clone(&rig);
        spawn_local(async move {
            let handler = service_fn(|request| answer(Rc::clone(&rig), side, request));
            let served =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
            // A connection that breaks is the balancer's affair; the event log has what was received.
            let _ = served.await;
        });
    }
}

/// The connection ends without an answer.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection ends here")
    }
}

impl std::error::Error for Broken {}

/// Holds until the link carries what is sent over it; an error where it is reset.
pub async fn carried(rig: &Rig, from: LinkEnd, to: LinkEnd) -> Result<(), Broken> {
    let mut weather = rig.weather.subscribe();
    let sent = rig.now();
    loop {
        let state = rig.link(from, to);
        if state.reset {
            return Err(Broken);
        }
        if !state.cut {
            sleep_until(rig.instant(sent + rig.way(from, to, &state))).await;
            return Ok(());
        }
        if weather.changed().await.is_err() {
            return Err(Broken);
        }
    }
}

type Answered = Result<Response<Full<Bytes>>, Broken>;

async fn answer(rig: Rc<Rig>, side: usize, request: Request<Incoming>) -> Answered {
    let balancer = LinkEnd::Balancer(rig.sides[side]);
    let first_byte_at = rig.now();
    let Some(asked) = Asked::of(&request) else { return Ok(plain(StatusCode::BAD_REQUEST, "not a command")) };
    // The value itself is nobody's; that it came whole is what counts.
    request.into_body().collect().await.map_err(|_| Broken)?;
    carried(&rig, balancer, LinkEnd::Origin).await?;
    let now = rig.now();
    let cold = rig.missed_cold(asked.id);
    let received =
        OriginRequest { idempotency_key: asked.write, in_slow_start: cold, deadline: now + asked.wait };
    let outcome = rig.origin.borrow_mut().on_request(now, received, &mut rig.machines());
    let mut attempt = Attempt {
        id: asked.id,
        balancer: balancer_of(asked.id) as u32,
        receiver: Receiver::Origin,
        first_byte_at,
        received_at: now,
        answered_at: None,
        result: AttemptResult::NoAnswer,
        in_slow_start: cold,
        corrupted: false,
    };
    let response = match outcome {
        Outcome::Stopped => {
            rig.received(attempt);
            return Err(Broken);
        }
        Outcome::Rejected => {
            attempt.result = AttemptResult::Rejected;
            attempt.answered_at = Some(now);
            rig.received(attempt);
            let response =
                Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).header("X-Never-Ran", "1");
            response.body(Full::default()).map_err(|_| Broken)?
        }
        Outcome::Runs { at, repeat } => {
            let place = rig.received(attempt);
            sleep_until(rig.instant(at)).await;
            let body = match asked.write {
                Some(write) => {
                    if !repeat {
                        rig.void(asked.key);
                    }
                    receipt_of(write)
                }
                None => {
                    rig.store(asked.id, asked.key);
                    value_of(asked.id, asked.key)
                }
            };
            let mut event_log = rig.event_log.borrow_mut();
            event_log.attempts[place].result = AttemptResult::Served;
            event_log.attempts[place].answered_at = Some(rig.now());
            drop(event_log);
            let response = Response::builder().header("X-Trace-Id", format!("{:016x}", asked.id));
            response.body(Full::new(Bytes::from(body))).map_err(|_| Broken)?
        }
    };
    carried(&rig, LinkEnd::Origin, balancer).await?;
    Ok(response)
}

/// What a request asks for.
struct Asked {
    id: u64,
    key: u64,
    write: Option<u64>,
    wait: Micros,
}

impl Asked {
    fn of<B>(request: &Request<B>) -> Option<Asked> {
        let header = |name: &str| request.headers().get(name)?.to_str().ok();
        let properties = header("x-props")?;
        let property = |name: &str| {
            properties
                .split(',')
                .filter_map(|item| item.split_once('='))
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v)
        };
        let hex = |text: &str| u64::from_str_radix(text, 16).ok();
        let key: u64 = property("q")?.parse().ok()?;
        // The path names the key that the client wrote.
        if request.uri().path().trim_start_matches('/') != key_name(key) {
            return None;
        }
        Some(Asked {
            id: hex(header("x-trace-id")?)?,
            key,
            write: match *request.method() {
                Method::GET => None,
                Method::PUT => Some(hex(property("k")?)?),
                _ => return None,
            },
            wait: micros_from_millis(property("d")?.parse().ok()?),
        })
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
