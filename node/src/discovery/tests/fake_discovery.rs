//! Fake discoveries on loopback.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// How discovery handles one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Behaviour {
    /// Keeps the connection open without an answer.
    Hangs,
    /// Closes the connection at once.
    Refuses,
    /// Responds with status 503.
    Busy,
    /// Sends a list of this generation, then an empty line every two seconds.
    SendsList(u64),
    /// Sends a list of this generation, and closes the connection.
    Ends(u64),
    /// Sends a list of this generation, then nothing.
    FallsSilent(u64),
    /// Sends a list of this generation, then the next one byte by byte, without ever completing it.
    Trickles(u64),
}

/// A discovery that applies one behaviour to each connection in turn, and the last one to all further connections.
/// Records the time and the request line of each poll.
pub(super) struct Discovery {
    pub(super) address: SocketAddr,
    pub(super) asked: Rc<RefCell<Vec<(Instant, String)>>>,
}

impl Discovery {
    pub(super) async fn new(behaviours: Vec<Behaviour>) -> Discovery {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let asked = Rc::new(RefCell::new(Vec::new()));
        let noted = Rc::clone(&asked);
        spawn_local(async move {
            for at in 0.. {
                let (mut stream, _) = listener.accept().await.unwrap();
                let behaviour = behaviours[at.min(behaviours.len() - 1)];
                let noted = Rc::clone(&noted);
                spawn_local(async move {
                    let mut call = BytesMut::new();
                    if behaviour == Behaviour::Refuses {
                        noted.borrow_mut().push((Instant::now(), String::new()));
                        return;
                    }
                    while !call.ends_with(b"\r\n\r\n") && stream.read_buf(&mut call).await.unwrap_or(0) > 0 {}
                    let line = String::from_utf8_lossy(&call).lines().next().unwrap_or_default().to_owned();
                    noted.borrow_mut().push((Instant::now(), line));
                    play(behaviour, stream).await;
                });
            }
        });
        Discovery { address, asked }
    }

    pub(super) fn calls(&self) -> usize {
        self.asked.borrow().len()
    }
}

async fn play(behaviour: Behaviour, mut stream: TcpStream) {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let (Behaviour::SendsList(generation)
    | Behaviour::Ends(generation)
    | Behaviour::FallsSilent(generation)
    | Behaviour::Trickles(generation)) = behaviour
    else {
        if behaviour == Behaviour::Busy {
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
    if matches!(behaviour, Behaviour::Ends(_)) {
        return;
    }
    let mut more =
        "{\"generation\":99,\"reset\":true,\"instances\":[ ".bytes().chain(std::iter::repeat(b' '));
    loop {
        let written = match behaviour {
            Behaviour::SendsList(_) => {
                sleep(Duration::from_secs(2)).await;
                stream.write_all(chunk("\n").as_bytes()).await
            }
            Behaviour::Trickles(_) => {
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

/// A discovery that handles its polls in turn, as the protocol documents; a poll that would be queued for too long is
/// refused at once.
pub(super) struct CrowdedDiscovery {
    pub(super) address: SocketAddr,
    /// The number of polls refused because of the length of the queue.
    pub(super) refused: Rc<Cell<usize>>,
    /// The number of polls answered.
    pub(super) answered: Rc<Cell<usize>>,
    /// The number of polls handled although their balancer had closed the connection.
    pub(super) wasted: Rc<Cell<usize>>,
}

impl CrowdedDiscovery {
    /// How long a poll may be queued.
    pub(super) const LONGEST_WAIT: Duration = Duration::from_secs(2);

    pub(super) async fn new(calls_per_second: u32) -> CrowdedDiscovery {
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
                    spawn_local(play(Behaviour::Busy, stream));
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
                    play(Behaviour::SendsList(1), stream).await;
                });
            }
        });
        crowded
    }
}
