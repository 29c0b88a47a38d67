//! Discovery's side of its sockets: the whole list, and watches that tell each balancer its changes when they are due
//! for it. What was told whom, and when, goes into the event log.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use juniperladder_platform_model::discovery::{Endpoint, Lifecycle};
use juniperladder_platform_model::event_log::EndpointNotice;
use juniperladder_platform_model::group::zone_of;
use juniperladder_platform_model::links::LinkEnd;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use crate::doors::next;
use crate::origin::{carried, Broken};
use crate::rig::Rig;

/// While nothing changes, an empty line comes this often.
const EMPTY: Duration = Duration::from_secs(2);

/// The addresses that a balancer is told for the servers, the origin last.
pub type Addresses = Rc<Vec<SocketAddr>>;

/// Lets one balancer in until the listener's task is aborted.
pub async fn accept(rig: Rc<Rig>, balancer: usize, addresses: Addresses, listener: TcpListener) {
    loop {
        let stream = next(&listener).await;
        let (rig, addresses) = (Rc::clone(&rig), Rc::clone(&addresses));
        spawn_local(async move {
            let handler =
                service_fn(|request| answer(Rc::clone(&rig), balancer, Rc::clone(&addresses), request));
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), handler)
                .await;
        });
    }
}

type Body = BoxBody<Bytes, Broken>;

async fn answer(
    rig: Rc<Rig>,
    balancer: usize,
    addresses: Addresses,
    request: Request<Incoming>,
) -> Result<Response<Body>, Broken> {
    let link = (LinkEnd::Balancer(balancer), LinkEnd::Discovery);
    carried(&rig, link.0, link.1).await?;
    if rig.down.get() {
        return refused();
    }
    let ready = rig.door.borrow_mut().on_call(rig.now());
    let Some(ready) = ready else { return refused() };
    sleep_until(rig.instant(ready)).await;
    carried(&rig, link.1, link.0).await?;
    let query = request.uri().query().unwrap_or_default();
    let of = |name: &str| query.split('&').filter_map(|item| item.split_once('=')).find(|(n, _)| *n == name);
    let follow = of("follow").is_some_and(|(_, value)| value == "1");
    let since = of("since").and_then(|(_, value)| value.parse::<u64>().ok());
    let (line, generation) = first_line(&rig, balancer, &addresses, if follow { since } else { None });
    if !follow {
        return Ok(Response::new(Full::from(line).map_err(|never| match never {}).boxed()));
    }
    let (lines, body) = mpsc::channel::<Bytes>(4);
    let first = Bytes::from(line);
    spawn_local(async move {
        if lines.send(first).await.is_ok() {
            watch(rig, balancer, addresses, generation, lines).await;
        }
    });
    Ok(Response::new(BodyExt::boxed(StreamBody::new(Lines(body)))))
}

/// The lines of a watch as they come.
struct Lines(mpsc::Receiver<Bytes>);

impl futures_core::Stream for Lines {
    type Item = Result<Frame<Bytes>, Broken>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(context).map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

fn refused() -> Result<Response<Body>, Broken> {
    let mut response = Response::new(Full::default().map_err(|never| match never {}).boxed());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    Ok(response)
}

/// Tells the changes as they are due, an empty line while there are none.
async fn watch(
    rig: Rc<Rig>,
    balancer: usize,
    addresses: Addresses,
    mut told: u64,
    lines: mpsc::Sender<Bytes>,
) {
    let mut weather = rig.weather.subscribe();
    loop {
        if rig.down.get() || lines.is_closed() {
            return;
        }
        let state = rig.link(LinkEnd::Discovery, LinkEnd::Balancer(balancer));
        if state.reset {
            return;
        }
        let (generation, next) = rig.tellable(balancer);
        if !state.cut && generation > told {
            let entries = rig.catalog.borrow().0.changes_between(told, generation).to_vec();
            let line = text(&rig, generation, false, &entries, &addresses);
            note(&rig, balancer, &entries);
            told = generation;
            if lines.send(line.into()).await.is_err() {
                return;
            }
            continue;
        }
        let due = next.filter(|_| !state.cut).map(|at| rig.instant(at));
        tokio::select! {
            () = sleep_until(due.unwrap_or_else(|| rig.instant(0))), if due.is_some() => {}
            changed = timeout(EMPTY, weather.changed()) => match changed {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) if state.cut => {}
                Err(_) => {
                    if lines.send(Bytes::from_static(b"\n")).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// The first line of an answer: what changed after `since`, or the whole list.
fn first_line(rig: &Rig, balancer: usize, addresses: &Addresses, since: Option<u64>) -> (String, u64) {
    let (generation, _) = rig.tellable(balancer);
    let catalog = rig.catalog.borrow();
    let (reset, entries) = match since {
        Some(since) if since <= generation => (false, catalog.0.changes_between(since, generation).to_vec()),
        _ => (true, catalog.0.snapshot(generation)),
    };
    drop(catalog);
    note(rig, balancer, &entries);
    (text(rig, generation, reset, &entries, addresses), generation)
}

/// Puts down what a balancer has been told.
pub fn note(rig: &Rig, balancer: usize, entries: &[Endpoint]) {
    let at = rig.now();
    let servers = rig.servers.len();
    let told = entries.iter().filter(|entry| entry.slot < servers).map(|entry| EndpointNotice {
        balancer: balancer as u32,
        server: entry.slot as u32,
        in_service: entry.lifecycle == Lifecycle::InService,
        at,
    });
    rig.event_log.borrow_mut().notices.extend(told);
}

/// A list or its changes in discovery's form, one line.
fn text(rig: &Rig, generation: u64, reset: bool, entries: &[Endpoint], addresses: &Addresses) -> String {
    format!("{}\n", list(rig, generation, reset, entries, addresses))
}

/// The same as a value, as a configuration's `known` holds it.
pub fn list(rig: &Rig, generation: u64, reset: bool, entries: &[Endpoint], addresses: &Addresses) -> Value {
    let fleet = &rig.experiment.fleet;
    let servers = rig.servers.len();
    let instance = |entry: &Endpoint| {
        let origin = entry.slot >= servers;
        let kind = entry.slot % fleet.weights.len();
        json!({
            "instanceId": entry.id,
            "hostPort": addresses[entry.slot].to_string(),
            "zone": zone_name(if origin { 0 } else { zone_of(entry.slot, fleet) }),
            "machineType": if origin { "origin".into() } else { kind_name(kind) },
            "cell": entry.slot / 8,
            "lifecycle": entry.lifecycle.wire_name(),
            "weight": if origin { 1.0 } else { fleet.weights[kind] },
            "startedAtMs": entry.started_at.map_or(0, |at| rig.unix_ms(at)),
        })
    };
    json!({"generation": generation, "reset": reset, "instances": entries.iter().map(instance).collect::<Vec<_>>()})
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The name of a kind of server.
pub fn kind_name(kind: usize) -> String {
    format!("kind-{kind}")
}
