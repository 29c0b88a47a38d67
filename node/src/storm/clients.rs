//! Clients: most ask and wait, some leave, half-close, pipeline or send noise.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fastrand::Rng;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::{sleep, timeout_at, Instant};

use super::{World, CLASSES};
use crate::dispatcher::{Answer, ClientRequest};
use crate::memcache::{client_answer, write_command};
use crate::testing;

/// A request that crosses the close of its connection is sent once more; it is no loss. So long may it have been on its way.
const CROSSING: Duration = Duration::from_millis(2);

/// One request that is out on a connection.
struct Out {
    request: ClientRequest,
    sent: Instant,
    until: Instant,
}

/// A client that asks, waits and asks again, until the balancer takes no more.
pub async fn serve(world: Rc<World>, client: usize, mut rng: Rng) {
    let mut asked = 0;
    while !world.shutdown.is_stopping() {
        let mut far = open(&world);
        for _ in 0..rng.usize(1..12) {
            let Ok(requests) = ask(&world, client, &mut asked, &mut far, &mut rng).await else { break };
            match rng.u8(..100) {
                0..8 => {
                    // It leaves with its answers owed.
                    sleep(Duration::from_millis(rng.u64(..300))).await;
                    leave(&world, requests);
                    break;
                }
                8..12 => {
                    world.ledger.met("half-closed");
                    let _ = far.shutdown().await;
                    hear(&world, requests, &mut far).await;
                    break;
                }
                _ if !hear(&world, requests, &mut far).await => break,
                _ => {}
            }
            // Some come again at once, also to a balancer that is about to end.
            if rng.bool() {
                sleep(Duration::from_millis(rng.u64(..60))).await;
            }
        }
        drop(far);
        sleep(Duration::from_millis(rng.u64(1..30))).await;
    }
}

/// A client that harms: noise, halves of requests, and whole ones behind them; then it goes.
pub async fn harm(world: Rc<World>, client: usize, mut rng: Rng) {
    let mut asked = 0;
    while !world.shutdown.is_stopping() {
        let mut far = open(&world);
        world.ledger.met("noise");
        for _ in 0..rng.usize(1..40) {
            let noise: &[u8] = match rng.u8(..6) {
                0 => b"\r\n",
                1 => b"mg k v O1 Pc=read,d=\xff\r\n",
                2 => b"get k\r\n",
                3 => b"ms k 70000 O1 Pc=nothing,d=400\r\n",
                4 => b"\x00\xff\xfe\n",
                _ => b"mg k v O1 Pc=none,d=400\r\n",
            };
            if far.write_all(noise).await.is_err() {
                break;
            }
        }
        let requests = ask(&world, client, &mut asked, &mut far, &mut rng).await;
        sleep(Duration::from_millis(rng.u64(..200))).await;
        let _ = far.write_all(b"mg half v O").await;
        sleep(Duration::from_millis(rng.u64(..100))).await;
        leave(&world, requests.unwrap_or_default());
        drop(far);
    }
}

fn open(world: &World) -> DuplexStream {
    let (near, far) = duplex(1 << 16);
    world.shutdown.on_connection_accepted();
    world.downstream.serve(near, std::time::Duration::ZERO);
    far
}

fn leave(world: &World, requests: VecDeque<Out>) {
    world.ledger.met("left");
    // The connection goes in this very moment.
    requests.iter().for_each(|out| world.ledger.over(&String::from_utf8_lossy(&out.request.id)));
}

/// Sends some requests in one go. An error if the connection has closed.
async fn ask(
    world: &World,
    client: usize,
    asked: &mut u64,
    far: &mut DuplexStream,
    rng: &mut Rng,
) -> std::io::Result<VecDeque<Out>> {
    let (mut text, mut requests, mut until) = (BytesMut::new(), VecDeque::new(), Instant::now());
    for _ in 0..if rng.u8(..4) == 0 { rng.usize(2..5) } else { 1 } {
        *asked += 1;
        let class = rng.usize(..CLASSES.len() * 2).saturating_sub(CLASSES.len());
        let (name, _, deadline) = CLASSES[class];
        let id = format!("{client:02x}{asked:06x}");
        let wait = rng.u64(deadline * 7 / 10..=deadline);
        let request = ClientRequest {
            key: Bytes::from(format!("{:016x}", rng.u64(..20))),
            value: (class > 0).then(|| vec![b'w'; rng.usize(..3000)].into()),
            wait: Some(juniperladder::Micros(wait * 1000)),
            properties: vec![
                ("c".into(), name.into()),
                ("d".into(), wait.to_string().into()),
                ("k".into(), id.clone().into()),
            ],
            ..testing::request(&id, None)
        };
        write_command(&mut text, &request, request.wait.unwrap_or_default());
        world.ledger.sends(&id, class);
        // The wait for the answers before it does not count.
        until = until.max(Instant::now() + Duration::from_millis(wait));
        requests.push_back(Out { request, sent: Instant::now(), until });
    }
    let sent = far.write_all(&text).await;
    if sent.is_err() {
        // Nothing of it was read.
        world.ledger.met("closed");
    }
    sent.map(|()| requests)
}

/// Reads the answers, and tells whether the connection can go on.
async fn hear(world: &World, requests: VecDeque<Out>, far: &mut DuplexStream) -> bool {
    let waiting = &world.ledger.waiting;
    waiting.set(waiting.get() + 1);
    let goes_on = answers(world, requests, far).await;
    waiting.set(waiting.get() - 1);
    goes_on
}

async fn answers(world: &World, mut requests: VecDeque<Out>, far: &mut DuplexStream) -> bool {
    let mut input = BytesMut::new();
    while let Some(Out { request, sent, until }) = requests.front() {
        let id = String::from_utf8_lossy(&request.id).into_owned();
        match client_answer(&mut input, request) {
            Ok(Some(answer)) => {
                world.ledger.over(&id);
                world.ledger.met(match &answer {
                    Answer::Value(value) if value.starts_with(format!("v-{id}").as_bytes()) => "served",
                    Answer::Receipt(receipt) if receipt.as_ref() == format!("r-{id}").as_bytes() => "served",
                    Answer::Rejected(_) => "refused",
                    Answer::Failed => "failed",
                    other => {
                        world.ledger.broken(&id, format!("no host made this for it: {other:?}"));
                        "strange"
                    }
                });
                requests.pop_front();
                continue;
            }
            Ok(None) => {}
            Err(problem) => world.ledger.broken(&id, problem),
        }
        let read = timeout_at(*until, far.read_buf(&mut input)).await;
        match read {
            Err(_) => {
                world.ledger.broken(&id, format!("no answer in time, sent {:?} before", sent.elapsed()));
                return false;
            }
            Ok(Ok(1..)) => {}
            Ok(_) => {
                if !input.is_empty() || sent.elapsed() > CROSSING {
                    world.ledger.broken(
                        &id,
                        format!("its connection ended with {:?} in {:?}", input, sent.elapsed()),
                    );
                }
                world.ledger.met("closed");
                return false;
            }
        }
    }
    if !input.is_empty() {
        world.ledger.broken("-", format!("more than was owed: {input:?}"));
    }
    true
}
