//! Simulated clients: most send requests and wait, some leave, half-close, pipeline or send malformed requests.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fastrand::Rng;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::{sleep, timeout_at, Instant};

use super::{EventLog, Occurrence, SimulatedClass, Simulation, SIMULATED_CLASSES};
use crate::dispatcher::{Answer, ClientRequest};
use crate::memcache::{read_answer, write_request};
use crate::testing;

/// A request sent within this time before its connection closed may not have been read by the daemon. A missing
/// answer to it is no violation, since a real client sends the request once more.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(2);

/// A request that waits for its answer.
struct OpenRequest {
    request: ClientRequest,
    sent_at: Instant,
    deadline: Instant,
}

/// A client that sends requests, waits for their answers and sends others, until the daemon shuts down.
pub async fn run_valid_client(simulation: Rc<Simulation>, client: usize, mut rng: Rng) {
    let mut sent_requests = 0;
    while !simulation.shutdown.is_stopping() {
        let mut stream = connect(&simulation);
        for _ in 0..rng.usize(1..12) {
            let Ok(requests) =
                send_requests(&simulation, client, &mut sent_requests, &mut stream, &mut rng).await
            else {
                break;
            };
            match rng.u8(..100) {
                0..8 => {
                    // The client leaves with answers pending.
                    sleep(Duration::from_millis(rng.u64(..300))).await;
                    record_departure(&simulation, requests);
                    break;
                }
                8..12 => {
                    simulation.event_log.count(Occurrence::ClientHalfClosed);
                    let _ = stream.shutdown().await;
                    read_answers(&simulation, requests, &mut stream).await;
                    break;
                }
                _ if !read_answers(&simulation, requests, &mut stream).await => break,
                _ => {}
            }
            // Some clients continue at once, even with a balancer that is about to end.
            if rng.bool() {
                sleep(Duration::from_millis(rng.u64(..60))).await;
            }
        }
        drop(stream);
        sleep(Duration::from_millis(rng.u64(1..30))).await;
    }
}

/// A faulty client: it sends malformed requests, complete ones behind them and part of another, and leaves.
pub async fn run_faulty_client(simulation: Rc<Simulation>, client: usize, mut rng: Rng) {
    let mut sent_requests = 0;
    while !simulation.shutdown.is_stopping() {
        let mut stream = connect(&simulation);
        simulation.event_log.count(Occurrence::MalformedRequests);
        for _ in 0..rng.usize(1..40) {
            let malformed: &[u8] = match rng.u8(..6) {
                0 => b"\r\n",
                1 => b"mg k v O1 Pc=read,d=\xff\r\n",
                2 => b"get k\r\n",
                3 => b"ms k 70000 O1 Pc=nothing,d=400\r\n",
                4 => b"\x00\xff\xfe\n",
                _ => b"mg k v O1 Pc=none,d=400\r\n",
            };
            if stream.write_all(malformed).await.is_err() {
                break;
            }
        }
        let requests = send_requests(&simulation, client, &mut sent_requests, &mut stream, &mut rng).await;
        sleep(Duration::from_millis(rng.u64(..200))).await;
        let _ = stream.write_all(b"mg half v O").await;
        sleep(Duration::from_millis(rng.u64(..100))).await;
        record_departure(&simulation, requests.unwrap_or_default());
        drop(stream);
    }
}

fn connect(simulation: &Simulation) -> DuplexStream {
    let (balancer_end, stream) = duplex(1 << 16);
    simulation.shutdown.on_connection_accepted();
    simulation.downstream.serve(balancer_end, Duration::ZERO);
    stream
}

fn record_departure(simulation: &Simulation, requests: VecDeque<OpenRequest>) {
    simulation.event_log.count(Occurrence::ClientLeft);
    // The connection is dropped at the same instant.
    for open_request in &requests {
        simulation.event_log.on_request_closed(&String::from_utf8_lossy(&open_request.request.id));
    }
}

/// Sends some requests in one write. An error if the connection has closed.
async fn send_requests(
    simulation: &Simulation,
    client: usize,
    sent_requests: &mut u64,
    stream: &mut DuplexStream,
    rng: &mut Rng,
) -> std::io::Result<VecDeque<OpenRequest>> {
    let (mut text, mut requests, mut deadline) = (BytesMut::new(), VecDeque::new(), Instant::now());
    for _ in 0..if rng.u8(..4) == 0 { rng.usize(2..5) } else { 1 } {
        *sent_requests += 1;
        let class = rng.usize(..SIMULATED_CLASSES.len() * 2).saturating_sub(SIMULATED_CLASSES.len());
        let SimulatedClass { name, deadline_ms, .. } = SIMULATED_CLASSES[class];
        let id = format!("{client:02x}{sent_requests:06x}");
        let timeout_ms = rng.u64(deadline_ms * 7 / 10..=deadline_ms);
        let request = ClientRequest {
            key: Bytes::from(format!("{:016x}", rng.u64(..20))),
            value: (class > 0).then(|| vec![b'w'; rng.usize(..3000)].into()),
            timeout: Some(juniperladder::Micros(timeout_ms * 1000)),
            properties: vec![
                ("c".into(), name.into()),
                ("d".into(), timeout_ms.to_string().into()),
                ("k".into(), id.clone().into()),
            ],
            ..testing::request(&id, None)
        };
        write_request(&mut text, &request, request.timeout.unwrap_or_default());
        simulation.event_log.on_request_sent(&id, class);
        // Answers are read in order, so that no deadline is before that of an earlier request.
        deadline = deadline.max(Instant::now() + Duration::from_millis(timeout_ms));
        requests.push_back(OpenRequest { request, sent_at: Instant::now(), deadline });
    }
    let sent = stream.write_all(&text).await;
    if sent.is_err() {
        // None of the requests was read.
        simulation.event_log.count(Occurrence::ConnectionClosed);
    }
    sent.map(|()| requests)
}

/// Reads the answers, and returns whether the connection can carry further requests.
async fn read_answers(
    simulation: &Simulation,
    requests: VecDeque<OpenRequest>,
    stream: &mut DuplexStream,
) -> bool {
    let waiting = &simulation.event_log.waiting_clients;
    waiting.set(waiting.get() + 1);
    let can_continue = read_answers_in_order(simulation, requests, stream).await;
    waiting.set(waiting.get() - 1);
    can_continue
}

async fn read_answers_in_order(
    simulation: &Simulation,
    mut requests: VecDeque<OpenRequest>,
    stream: &mut DuplexStream,
) -> bool {
    let event_log = &simulation.event_log;
    let mut input = BytesMut::new();
    while let Some(open_request) = requests.front() {
        let id = String::from_utf8_lossy(&open_request.request.id).into_owned();
        match read_answer(&mut input, &open_request.request) {
            Ok(Some(answer)) => {
                event_log.on_request_closed(&id);
                event_log.count(check_answer(event_log, &id, &answer));
                requests.pop_front();
                continue;
            }
            Ok(None) => {}
            Err(error) => event_log.record_violation(&id, error.to_string()),
        }
        match timeout_at(open_request.deadline, stream.read_buf(&mut input)).await {
            Err(_) => {
                let waited = open_request.sent_at.elapsed();
                event_log
                    .record_violation(&id, format!("no answer before the deadline, sent {waited:?} ago"));
                return false;
            }
            Ok(Ok(1..)) => {}
            Ok(_) => {
                let waited = open_request.sent_at.elapsed();
                if !input.is_empty() || waited > CLOSE_RACE_WINDOW {
                    event_log.record_violation(
                        &id,
                        format!("connection ended after {waited:?} with only {input:?} received"),
                    );
                }
                event_log.count(Occurrence::ConnectionClosed);
                return false;
            }
        }
    }
    if !input.is_empty() {
        event_log.record_violation("-", format!("bytes after the last expected answer: {input:?}"));
    }
    true
}

/// Classifies an answer, and reports one that no server made for the request.
fn check_answer(event_log: &EventLog, id: &str, answer: &Answer) -> Occurrence {
    match answer {
        Answer::Value(value) if value.starts_with(format!("v-{id}").as_bytes()) => Occurrence::Served,
        Answer::Receipt(receipt) if receipt.as_ref() == format!("r-{id}").as_bytes() => Occurrence::Served,
        Answer::Rejected(_) => {
            event_log.on_request_rejected(id);
            Occurrence::Rejected
        }
        Answer::Failed => Occurrence::Failed,
        other => {
            event_log
                .record_violation(id, format!("an answer that no server made for the request: {other:?}"));
            Occurrence::UnexpectedAnswer
        }
    }
}
