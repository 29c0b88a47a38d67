//! The discovery server: returns the complete endpoint list, and serves watches that notify each balancer of changes at the
//! time at which they become visible to it. Each notification is logged with its time in the event log.

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

use crate::listeners;
use crate::origin::{wait_for_transit, ConnectionBroken};
use crate::testbed::Testbed;

/// Interval of the empty lines that a watch sends while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of queued lines of a watch.
const WATCH_CHANNEL_CAPACITY: usize = 4;
/// Number of servers in a cell.
const SERVERS_PER_CELL: usize = 8;

/// The addresses at which a balancer reaches the servers, with the origin as the last.
pub type ServerAddresses = Rc<Vec<SocketAddr>>;

type Body = BoxBody<Bytes, ConnectionBroken>;

/// Accepts one balancer's connections until the task is aborted.
pub async fn serve(testbed: Rc<Testbed>, balancer: usize, addresses: ServerAddresses, listener: TcpListener) {
    let view = Rc::new(BalancerView { testbed, balancer, addresses });
    loop {
        let stream = listeners::accept(&listener).await;
        let view = Rc::clone(&view);
        spawn_local(async move {
            let handler = service_fn(|request| Rc::clone(&view).on_request(request));
            let connection = hyper::server::conn::http1::Builder::new();
            let _ = connection.serve_connection(TokioIo::new(stream), handler).await;
        });
    }
}

/// Discovery as seen by one balancer.
struct BalancerView {
    testbed: Rc<Testbed>,
    balancer: usize,
    addresses: ServerAddresses,
}

impl BalancerView {
    async fn on_request(
        self: Rc<BalancerView>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ConnectionBroken> {
        let testbed = &self.testbed;
        let end = LinkEnd::Balancer(self.balancer);
        wait_for_transit(testbed, end, LinkEnd::Discovery).await?;
        if testbed.discovery_down.get() {
            return Ok(unavailable());
        }
        let answered_at = testbed.discovery_queue.borrow_mut().on_call(testbed.now());
        let Some(answered_at) = answered_at else { return Ok(unavailable()) };
        sleep_until(testbed.instant(answered_at)).await;
        wait_for_transit(testbed, LinkEnd::Discovery, end).await?;
        let query = Query::parse(request.uri().query().unwrap_or_default());
        if !query.is_watch {
            let (line, _) = self.first_line(None);
            return Ok(Response::new(Full::from(line).map_err(|never| match never {}).boxed()));
        }
        let (line, generation) = self.first_line(query.since);
        Ok(Response::new(self.start_watch(line, generation)))
    }

    /// Returns a body that starts with this line and continues with the changes after this generation.
    fn start_watch(self: Rc<BalancerView>, first_line: String, generation: u64) -> Body {
        let (lines, body) = mpsc::channel::<Bytes>(WATCH_CHANNEL_CAPACITY);
        spawn_local(async move {
            if lines.send(Bytes::from(first_line)).await.is_ok() {
                self.watch(generation, lines).await;
            }
        });
        BodyExt::boxed(StreamBody::new(WatchLines(body)))
    }

    /// Sends changes when they become visible, and empty lines while there are none.
    async fn watch(&self, mut notified_generation: u64, lines: mpsc::Sender<Bytes>) {
        let testbed = &self.testbed;
        let mut changes = testbed.changes.subscribe();
        loop {
            if testbed.discovery_down.get() || lines.is_closed() {
                return;
            }
            let link = testbed.link_state(LinkEnd::Discovery, LinkEnd::Balancer(self.balancer));
            if link.reset {
                return;
            }
            let (generation, next_due) = testbed.visible_generation(self.balancer);
            if !link.cut && generation > notified_generation {
                let line = self.changes_line(notified_generation, generation);
                notified_generation = generation;
                if lines.send(line.into()).await.is_err() {
                    return;
                }
                continue;
            }
            let due = next_due.filter(|_| !link.cut).map(|at| testbed.instant(at));
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(|| testbed.instant(0))), if due.is_some() => {}
                changed = timeout(KEEPALIVE_INTERVAL, changes.changed()) => match changed {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return,
                    Err(_) if link.cut => {}
                    Err(_) => {
                        if lines.send(Bytes::from_static(b"\n")).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
    }

    /// The first line of an answer and its generation: the changes after `since`, or the complete list if `since` is
    /// `None` or higher than the visible generation.
    fn first_line(&self, since: Option<u64>) -> (String, u64) {
        let (generation, _) = self.testbed.visible_generation(self.balancer);
        if let Some(since) = since.filter(|since| *since <= generation) {
            return (self.changes_line(since, generation), generation);
        }
        let endpoints = self.testbed.endpoints.borrow().list.snapshot(generation);
        (self.line(generation, true, &endpoints), generation)
    }

    fn changes_line(&self, after: u64, up_to: u64) -> String {
        let endpoints = self.testbed.endpoints.borrow().list.changes_between(after, up_to).to_vec();
        self.line(up_to, false, &endpoints)
    }

    /// Encodes a list or its changes as a line, and logs that the balancer was notified of them.
    fn line(&self, generation: u64, reset: bool, endpoints: &[Endpoint]) -> String {
        self.log_notices(endpoints);
        format!("{}\n", list_json(&self.testbed, generation, reset, endpoints, &self.addresses))
    }

    fn log_notices(&self, endpoints: &[Endpoint]) {
        let at = self.testbed.now();
        let server_count = self.testbed.servers.len();
        let servers = endpoints.iter().filter(|endpoint| endpoint.server_number < server_count);
        let notices = servers.map(|endpoint| EndpointNotice {
            balancer: self.balancer as u32,
            server: endpoint.server_number as u32,
            in_service: endpoint.lifecycle == Lifecycle::InService,
            at,
        });
        self.testbed.event_log.borrow_mut().endpoint_notices.extend(notices);
    }
}

/// The query of a balancer's request to discovery.
struct Query {
    /// Whether the balancer asks for a watch of later changes.
    is_watch: bool,
    /// The generation that the balancer already has.
    since: Option<u64>,
}

impl Query {
    fn parse(query: &str) -> Query {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|item| item.split_once('='));
            pairs.find(|(other, _)| *other == name).map(|(_, value)| value)
        };
        Query {
            is_watch: value("follow") == Some("1"),
            since: value("since").and_then(|value| value.parse().ok()),
        }
    }
}

/// The lines of a watch as a stream.
struct WatchLines(mpsc::Receiver<Bytes>);

impl futures_core::Stream for WatchLines {
    type Item = Result<Frame<Bytes>, ConnectionBroken>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(context).map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

fn unavailable() -> Response<Body> {
    let mut response = Response::new(Full::default().map_err(|never| match never {}).boxed());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Encodes the complete endpoint list (`reset`) or changes to it as JSON, the form of discovery's answers and of `known` in
/// a process's configuration.
pub fn list_json(
    testbed: &Testbed,
    generation: u64,
    reset: bool,
    endpoints: &[Endpoint],
    addresses: &ServerAddresses,
) -> Value {
    let instances: Vec<Value> =
        endpoints.iter().map(|endpoint| instance_json(testbed, endpoint, addresses)).collect();
    json!({"generation": generation, "reset": reset, "instances": instances})
}

fn instance_json(testbed: &Testbed, endpoint: &Endpoint, addresses: &ServerAddresses) -> Value {
    let fleet = &testbed.experiment.fleet;
    let is_origin = endpoint.server_number >= testbed.servers.len();
    let kind = endpoint.server_number % fleet.weights.len();
    json!({
        "instanceId": endpoint.id,
        "hostPort": addresses[endpoint.server_number].to_string(),
        "zone": zone_name(if is_origin { 0 } else { zone_of(endpoint.server_number, fleet) }),
        "machineType": if is_origin { "origin".into() } else { kind_name(kind) },
        "cell": endpoint.server_number / SERVERS_PER_CELL,
        "lifecycle": endpoint.lifecycle.wire_name(),
        "weight": if is_origin { 1.0 } else { fleet.weights[kind] },
        "startedAtMs": endpoint.started_at.map_or(0, |at| testbed.unix_ms(at)),
    })
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The name of a kind of server.
pub fn kind_name(kind: usize) -> String {
    format!("kind-{kind}")
}
