//! Discovery played on loopback and in memory: silence, refusals, calls that hang, a new address, lists that are pushed.

use super::budget::*;
use super::*;
use crate::testing::{self, log, settle, Recorder};
use bytes::BytesMut;
use juniperladder::{Idempotency, AGAIN, ASKING, SOON, START};
use std::cell::{Cell, RefCell};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};

/// What is known after discovery has said this and nothing more: how many lists were taken in, and the version that the next
/// call asks for the changes since.
async fn told(text: &'static [u8]) -> (u64, u64) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let balancer = balancer_at(listener.local_addr().unwrap(), NOW, true);
    let (mut first, _) = listener.accept().await.unwrap();
    let mut call = BytesMut::new();
    while !call.ends_with(b"\r\n\r\n") {
        assert!(first.read_buf(&mut call).await.unwrap() > 0);
    }
    assert!(call.starts_with(b"GET /catalog/members?follow=1 "));
    first.write_all(text).await.unwrap();
    // The connection stays up: what is silent is found by the clock alone.
    let (mut next, _) = listener.accept().await.unwrap();
    let mut line = String::new();
    tokio::io::BufReader::new(&mut next).read_line(&mut line).await.unwrap();
    let since = line.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    (balancer.dispatcher.counters().endpoint_updates.get(), since.unwrap_or_default())
}

/// A watch that says nothing, fails or makes no sense ends, and what came before it stays.
#[test]
fn a_watch_that_is_dead_or_malformed_ends() {
    testing::run(async {
        const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let list = "2a\r\n{\"generation\":3,\"reset\":true,\"instances\":[\r\n3\r\n]}\n\r\n1\r\n\n\r\n";
        let texts = [
            (format!("{HEAD}{list}"), (1, 3)),
            (format!("{HEAD}{list}4\r\n{{]}}\n\r\n"), (1, 3)),
            (HEAD.to_owned(), (0, 0)),
            (format!("{HEAD}{list}9\r\n{{\"generat\r\n"), (1, 3)),
            (format!("{HEAD}{list}22\r\n{{\"generation\":2,\"instances\":[]}} \n\r\n"), (1, 0)),
            (format!("{HEAD}{list}22\r\n{{\"generation\":3,\"instances\":[]}} \n\r\n"), (2, 3)),
            ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(), (0, 0)),
            ("nonsense\r\n\r\n".to_owned(), (0, 0)),
        ];
        for (text, want) in texts {
            assert_eq!(told(text.into_bytes().leak()).await, want);
        }
    });
}

/// What is still there of the six seconds for a call that discovery answers at once.
const ROUND: Duration = Duration::from_millis(250);

/// Silence, waits, calls and their repeats stay within the time after which a change counts as told, in whatever order they come.
#[test]
fn a_change_is_known_before_it_counts_as_told() {
    let asking = Duration::from_micros(ASKING.0);
    let most = |at: usize| asking.mul_f64(AGAIN[at].1);
    let soon = asking.mul_f64(SOON.1);
    // The time for the connection is part of it.
    let call = ANSWER;
    assert!(CONNECT < ANSWER);
    let last = AGAIN.len() - 1;
    // A watch that falls silent has lasted longer than calls are apart.
    assert!(SILENCE > most(0));
    let chains = [
        ("silent, called, answered slowly", SILENCE + soon + call),
        ("silent, refused, called, answered slowly", SILENCE + soon + most(1).max(soon) + call),
        ("silent, given up, called", SILENCE + soon + call + soon + ROUND),
        ("ended at once, called, answered slowly", most(0).max(soon) + call),
        ("ended at once, refused, called, answered slowly", most(0).max(soon) + most(1).max(soon) + call),
        ("back right after a call was refused, answered slowly", most(last) + call),
        ("back right after a call began that hangs, answered slowly", most(last).max(call + soon) + call),
        ("back, refused once, called", most(last) + most(last) + ROUND),
        ("started, answered slowly", asking.mul_f64(START) + call),
    ];
    for (chain, time) in chains {
        assert!(time <= TOLD, "{chain}: {time:?}");
    }
    // At a new address: a call that hangs, and one that is answered.
    assert!(call + TURN_AGAIN.1 + ROUND <= TURN && TURN_AGAIN.0 < TURN_AGAIN.1);
    // Heartbeats come every two seconds, and one a little late is no reason to call.
    assert!(SILENCE >= Duration::from_millis(2_400));
    for grace in [50, 400, 500, 600].map(Duration::from_millis) {
        assert!(pushed_again(grace) + PUSHED_ROUND <= grace, "{grace:?}");
    }
}

/// A call to an agent beside the balancer.
const PUSHED_ROUND: Duration = Duration::from_millis(25);

/// What discovery does with one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Peer {
    /// Says nothing and keeps it.
    Hangs,
    /// Closes it at once.
    Refuses,
    /// Is too busy.
    Busy,
    /// Tells this list, and goes on with an empty line every two seconds.
    Tells(u64),
    /// Tells this list, and ends the watch.
    Ends(u64),
    /// Tells this list, and falls silent.
    FallsSilent(u64),
    /// Tells this list, and then brings the next a byte at a time, never to its end.
    Trickles(u64),
}

/// A discovery that does these things with the connections that come, the last with all that come then. What it was asked, and
/// when, is noted.
struct Discovery {
    address: SocketAddr,
    asked: Rc<RefCell<Vec<(Instant, String)>>>,
}

impl Discovery {
    async fn new(peers: Vec<Peer>) -> Discovery {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let asked = Rc::new(RefCell::new(Vec::new()));
        let noted = Rc::clone(&asked);
        spawn_local(async move {
            for at in 0.. {
                let (mut stream, _) = listener.accept().await.unwrap();
                let peer = peers[at.min(peers.len() - 1)];
                let noted = Rc::clone(&noted);
                spawn_local(async move {
                    let mut call = BytesMut::new();
                    if peer == Peer::Refuses {
                        noted.borrow_mut().push((Instant::now(), String::new()));
                        return;
                    }
                    while !call.ends_with(b"\r\n\r\n") && stream.read_buf(&mut call).await.unwrap_or(0) > 0 {}
                    let line = String::from_utf8_lossy(&call).lines().next().unwrap_or_default().to_owned();
                    noted.borrow_mut().push((Instant::now(), line));
                    play(peer, stream).await;
                });
            }
        });
        Discovery { address, asked }
    }

    fn calls(&self) -> usize {
        self.asked.borrow().len()
    }
}

async fn play(peer: Peer, mut stream: TcpStream) {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let (Peer::Tells(generation)
    | Peer::Ends(generation)
    | Peer::FallsSilent(generation)
    | Peer::Trickles(generation)) = peer
    else {
        if peer == Peer::Busy {
            let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
        } else {
            std::future::pending::<()>().await;
        }
        return;
    };
    let list =
        chunk(&format!("{{\n  \"generation\": {generation},\n  \"reset\": true,\n  \"instances\": []\n}}\n"));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = stream.write_all(format!("{head}{list}").as_bytes()).await;
    if matches!(peer, Peer::Ends(_)) {
        return;
    }
    let mut more =
        "{\"generation\":99,\"reset\":true,\"instances\":[ ".bytes().chain(std::iter::repeat(b' '));
    loop {
        let written = match peer {
            Peer::Tells(_) => {
                sleep(Duration::from_secs(2)).await;
                stream.write_all(chunk("\n").as_bytes()).await
            }
            Peer::Trickles(_) => {
                sleep(Duration::from_millis(200)).await;
                stream.write_all(&[b"1\r\n", &[more.next().unwrap()][..], b"\r\n"].concat()).await
            }
            _ => std::future::pending().await,
        };
        if written.is_err() {
            return;
        }
    }
}

struct Balancer {
    dispatcher: Rc<Dispatcher>,
    address: watch::Sender<SocketAddr>,
}

fn balancer(discovery: &Discovery, calls: Calls, subscribe: bool) -> Balancer {
    balancer_at(discovery.address, calls, subscribe)
}

fn balancer_at(address: SocketAddr, calls: Calls, subscribe: bool) -> Balancer {
    let mut settings = testing::settings(1, Idempotency::Idempotent);
    settings.subscribe = subscribe;
    let dispatcher = testing::seeded_dispatcher(settings, calls.seed, Rc::new(Recorder::default()), 1);
    let timers = Rc::clone(&dispatcher);
    spawn_local(async move { timers.run_timers().await });
    let (address, turns) = watch::channel(address);
    spawn_local(follow(NameTable::default(), None, turns, Rc::clone(&dispatcher), calls, log()));
    Balancer { dispatcher, address }
}

impl Balancer {
    async fn lists(&self, lists: u64) -> Instant {
        while self.dispatcher.counters().endpoint_updates.get() < lists {
            sleep(Duration::from_millis(5)).await;
        }
        Instant::now()
    }
}

const NOW: Calls = Calls { at_once: true, pushed: None, seed: 3 };

/// A watch that falls silent, in whatever way, is opened anew in time, also where the next call is refused, too many or hangs.
#[test]
fn a_silent_watch_is_opened_anew_within_six_seconds() {
    for silent in [Peer::FallsSilent(1), Peer::Trickles(1)] {
        for between in [None, Some(Peer::Refuses), Some(Peer::Busy), Some(Peer::Hangs)] {
            testing::run(async {
                let mut peers = vec![silent];
                peers.extend(between);
                peers.push(Peer::Tells(2));
                let discovery = Discovery::new(peers).await;
                let balancer = balancer(&discovery, NOW, true);
                let fell = balancer.lists(1).await;
                let told = balancer.lists(2).await - fell;
                assert!(told >= SILENCE - ROUND && told <= TOLD, "{silent:?}, {between:?}: {told:?}");
                assert_eq!(discovery.calls(), 2 + usize::from(between.is_some()));
                // What is alive is left alone.
                sleep(Duration::from_secs(60)).await;
                assert_eq!(
                    (balancer.dispatcher.counters().endpoint_updates.get(), discovery.calls()),
                    (2, 2 + usize::from(between.is_some()))
                );
            });
        }
    }
}

/// Discovery that has been away for long, refusing or silent, is found soon after its return, and not called without end meanwhile.
#[test]
fn discovery_is_found_soon_after_its_return() {
    for away in [Peer::Refuses, Peer::Busy, Peer::Hangs] {
        testing::run(async {
            let discovery = Discovery::new(vec![
                Peer::FallsSilent(1),
                away,
                away,
                away,
                away,
                away,
                away,
                Peer::Tells(2),
            ])
            .await;
            let balancer = balancer(&discovery, NOW, true);
            let told = balancer.lists(2).await;
            let asked = discovery.asked.borrow();
            for calls in asked[3..].windows(2) {
                let apart = calls[1].0 - calls[0].0;
                assert!(apart >= Duration::from_secs(2) && apart < TOLD - ANSWER, "{away:?}: {apart:?}");
            }
            assert!(told - asked.last().unwrap().0 < ROUND);
        });
    }
}

/// Discovery that ends each watch right behind its list is not called without end for that.
#[test]
fn a_watch_that_ends_at_once_is_not_opened_without_end() {
    testing::run(async {
        let discovery = Discovery::new(vec![Peer::Ends(1)]).await;
        let _balancer = balancer(&discovery, Calls { at_once: false, ..NOW }, true);
        sleep(Duration::from_secs(60)).await;
        let asked = discovery.asked.borrow();
        let apart = |calls: &[(Instant, String)]| calls[1].0 - calls[0].0;
        assert!(asked.windows(2).all(|calls| apart(calls) >= Duration::from_millis(1_100)), "{asked:?}");
        assert!(asked.windows(2).all(|calls| apart(calls) <= TOLD - ANSWER));
    });
}

/// A new address is called at once and asked for its whole list, also where its first calls fail, and what the old one had to
/// do with it is over.
#[test]
fn a_new_address_is_followed_within_four_seconds() {
    for first in [Peer::Refuses, Peer::Busy, Peer::Hangs, Peer::Tells(1)] {
        testing::run(async {
            // The old one has failed for so long that the decisions waits long.
            let old = Discovery::new(vec![Peer::Refuses]).await;
            let new = Discovery::new(vec![first, Peer::Tells(1)]).await;
            let balancer = balancer(&old, NOW, true);
            sleep(Duration::from_secs(30)).await;
            let turned = Instant::now();
            balancer.address.send_replace(new.address);
            let told = balancer.lists(1).await - turned;
            assert!(told <= TURN, "{first:?}: {told:?}");
            let before = old.calls();
            sleep(Duration::from_secs(30)).await;
            assert_eq!(old.calls(), before);
            assert!(
                new.asked.borrow().iter().all(|(_, line)| !line.contains("since")),
                "{:?}",
                new.asked.borrow()
            );
        });
    }
}

/// Where lists are pushed, what discovery has counts as told at once: a watch is opened with the process, without being asked
/// for, and again as soon as discovery can be reached.
#[test]
fn where_lists_are_pushed_a_watch_is_always_open() {
    testing::run(async {
        let grace = Duration::from_millis(400);
        let discovery = Discovery::new(vec![
            Peer::Refuses,
            Peer::Busy,
            Peer::Refuses,
            Peer::FallsSilent(1),
            Peer::Tells(2),
        ])
        .await;
        let start = Instant::now();
        let calls = Calls { at_once: false, pushed: Some(pushed_again(grace)), seed: 3 };
        let balancer = balancer(&discovery, calls, false);
        let told = balancer.lists(1).await;
        assert!(told - start <= grace * 4, "{:?}", told - start);
        assert!(discovery.asked.borrow()[0].0 - start < ROUND, "at the start");
        let asked: Vec<Instant> = discovery.asked.borrow().iter().map(|(at, _)| *at).collect();
        assert!(asked.windows(2).all(|calls| calls[1] - calls[0] <= grace / 2), "{asked:?}");
        assert!(balancer.lists(2).await - told <= SILENCE + grace);
        settle().await;
    });
}

/// A discovery that handles its calls in turn, as the protocol page has it: one that would wait too long is refused at once.
struct CrowdedDiscovery {
    address: SocketAddr,
    /// Calls refused, answered, and answered though their caller had gone.
    refused: Rc<Cell<usize>>,
    answered: Rc<Cell<usize>>,
    wasted: Rc<Cell<usize>>,
}

impl CrowdedDiscovery {
    /// The longest that a call waits for its turn.
    const LONGEST_WAIT: Duration = Duration::from_secs(2);

    async fn new(calls_per_second: u32) -> CrowdedDiscovery {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let crowded = CrowdedDiscovery {
            address,
            refused: Rc::default(),
            answered: Rc::default(),
            wasted: Rc::default(),
        };
        let (refused, answered, wasted) =
            (Rc::clone(&crowded.refused), Rc::clone(&crowded.answered), Rc::clone(&crowded.wasted));
        spawn_local(async move {
            let mut free = Instant::now();
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let begins = free.max(Instant::now());
                if begins - Instant::now() > Self::LONGEST_WAIT {
                    refused.set(refused.get() + 1);
                    spawn_local(play(Peer::Busy, stream));
                    continue;
                }
                free = begins + Duration::from_secs(1) / calls_per_second;
                let (turn, answered, wasted) = (free, Rc::clone(&answered), Rc::clone(&wasted));
                spawn_local(async move {
                    let mut call = BytesMut::new();
                    while !call.ends_with(b"\r\n\r\n") && stream.read_buf(&mut call).await.unwrap_or(0) > 0 {}
                    let left = timeout_at(turn, stream.read_buf(&mut call)).await.is_ok();
                    sleep_until(turn).await;
                    let counter = if left { &wasted } else { &answered };
                    counter.set(counter.get() + 1);
                    play(Peer::Tells(1), stream).await;
                });
            }
        });
        crowded
    }
}

/// A whole fleet calls a discovery that can take far fewer calls a second. Each call that it has taken on is waited for, so that
/// it is at work for one caller after the other, and all have the list as soon as its pace allows.
#[test]
fn a_fleet_does_not_bury_a_discovery_that_takes_its_calls_in_turn() {
    const FLEET: u64 = 44;
    const CALLS_PER_SECOND: u32 = 6;
    let pace = Duration::from_secs(FLEET) / CALLS_PER_SECOND;
    for turned in [false, true] {
        testing::run(async {
            let crowded = CrowdedDiscovery::new(CALLS_PER_SECOND).await;
            let before = Discovery::new(vec![Peer::Tells(7)]).await;
            let first = if turned { before.address } else { crowded.address };
            let start = Instant::now();
            let fleet: Vec<Balancer> = (0..FLEET)
                .map(|seed| balancer_at(first, Calls { at_once: turned, pushed: None, seed }, true))
                .collect();
            let mut lists = 1;
            if turned {
                for balancer in &fleet {
                    balancer.lists(1).await;
                }
                lists = 2;
                for balancer in &fleet {
                    balancer.address.send_replace(crowded.address);
                }
            }
            let start = if turned { Instant::now() } else { start };
            for balancer in &fleet {
                balancer.lists(lists).await;
            }
            let told = start.elapsed();
            let (refused, wasted) = (crowded.refused.get(), crowded.wasted.get());
            assert_eq!(wasted, 0, "turned {turned}: {told:?}, {refused} refused");
            assert!(told <= pace + Duration::from_secs(5), "turned {turned}: {told:?}, {refused} refused");
            // A refusal costs discovery something too.
            assert!(refused <= 6 * FLEET as usize, "turned {turned}: {told:?}, {refused} refused");
        });
    }
}

/// Until the new address has told its list, what the old one tells is still taken in: the new one may be crowded or away.
#[test]
fn the_old_address_is_heard_until_the_new_one_has_told_its_list() {
    testing::run(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let old_address = listener.local_addr().unwrap();
        let (changes, mut told) = tokio::sync::mpsc::channel::<u64>(1);
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
            while let Some(generation) = told.recv().await {
                let text = format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[]}}\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if stream.write_all(chunk.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        let new = Discovery::new(vec![Peer::Refuses, Peer::Busy, Peer::Tells(1)]).await;
        let balancer = balancer_at(old_address, NOW, true);
        changes.send(5).await.unwrap();
        balancer.lists(1).await;
        balancer.address.send_replace(new.address);
        settle().await;
        assert!(new.calls() >= 1);
        changes.send(6).await.unwrap();
        balancer.lists(2).await;
        assert!(new.calls() < 3, "the change came from the old address");
        balancer.lists(3).await;
        for generation in 7.. {
            assert!(generation < 100, "the old one is let go of");
            settle().await;
            if changes.send(generation).await.is_err() {
                break;
            }
        }
        assert_eq!(balancer.dispatcher.counters().endpoint_updates.get(), 3);
    });
}
