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
    ClosesAtOnce,
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
pub(super) struct FakeDiscovery {
    pub(super) address: SocketAddr,
    pub(super) polls: Rc<RefCell<Vec<(Instant, String)>>>,
}

impl FakeDiscovery {
    pub(super) async fn new(behaviours: Vec<Behaviour>) -> FakeDiscovery {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let polls = Rc::new(RefCell::new(Vec::new()));
        let recorded_polls = Rc::clone(&polls);
        spawn_local(async move {
            for index in 0.. {
                let (mut stream, _) = listener.accept().await.unwrap();
                let behaviour = behaviours[index.min(behaviours.len() - 1)];
                let recorded_polls = Rc::clone(&recorded_polls);
                spawn_local(async move {
                    let mut request = BytesMut::new();
                    if behaviour == Behaviour::ClosesAtOnce {
                        recorded_polls.borrow_mut().push((Instant::now(), String::new()));
                        return;
                    }
                    while !request.ends_with(b"\r\n\r\n")
                        && stream.read_buf(&mut request).await.unwrap_or(0) > 0
                    {}
                    let line =
                        String::from_utf8_lossy(&request).lines().next().unwrap_or_default().to_owned();
                    recorded_polls.borrow_mut().push((Instant::now(), line));
                    respond(behaviour, stream).await;
                });
            }
        });
        FakeDiscovery { address, polls }
    }

    pub(super) fn poll_count(&self) -> usize {
        self.polls.borrow().len()
    }
}

async fn respond(behaviour: Behaviour, mut stream: TcpStream) {
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
    let mut unfinished_list =
        "{\"generation\":99,\"reset\":true,\"instances\":[ ".bytes().chain(std::iter::repeat(b' '));
    loop {
        let written = match behaviour {
            Behaviour::SendsList(_) => {
                sleep(Duration::from_secs(2)).await;
                stream.write_all(chunk("\n").as_bytes()).await
            }
            Behaviour::Trickles(_) => {
                sleep(Duration::from_millis(200)).await;
                stream.write_all(&[b"1\r\n", &[unfinished_list.next().unwrap()][..], b"\r\n"].concat()).await
            }
            _ => std::future::pending().await,
        };
        if written.is_err() {
            return;
        }
    }
}

/// A discovery that handles its polls one after the other, as specified by its protocol, and responds with status 503
/// at once to a poll that would be queued for too long.
pub(super) struct QueueingDiscovery {
    pub(super) address: SocketAddr,
    /// The number of polls refused because of the length of the queue.
    pub(super) refused: Rc<Cell<usize>>,
    /// The number of polls answered.
    pub(super) answered: Rc<Cell<usize>>,
    /// The number of polls handled although their balancer had closed the connection.
    pub(super) wasted: Rc<Cell<usize>>,
}

impl QueueingDiscovery {
    /// How long a poll may be queued.
    pub(super) const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);

    pub(super) async fn new(polls_per_second: u32) -> QueueingDiscovery {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let queueing = QueueingDiscovery {
            address,
            refused: Rc::default(),
            answered: Rc::default(),
            wasted: Rc::default(),
        };
        let (refused, answered, wasted) =
            (Rc::clone(&queueing.refused), Rc::clone(&queueing.answered), Rc::clone(&queueing.wasted));
        spawn_local(async move {
            let mut idle_at = Instant::now();
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let starts_at = idle_at.max(Instant::now());
                if starts_at - Instant::now() > Self::MAX_QUEUE_TIME {
                    refused.set(refused.get() + 1);
                    spawn_local(respond(Behaviour::Busy, stream));
                    continue;
                }
                idle_at = starts_at + Duration::from_secs(1) / polls_per_second;
                let (answer_at, answered, wasted) = (idle_at, Rc::clone(&answered), Rc::clone(&wasted));
                spawn_local(async move {
                    let mut request = BytesMut::new();
                    while !request.ends_with(b"\r\n\r\n")
                        && stream.read_buf(&mut request).await.unwrap_or(0) > 0
                    {}
                    let caller_disconnected =
                        timeout_at(answer_at, stream.read_buf(&mut request)).await.is_ok();
                    sleep_until(answer_at).await;
                    let counter = if caller_disconnected { &wasted } else { &answered };
                    counter.set(counter.get() + 1);
                    respond(Behaviour::SendsList(1), stream).await;
                });
            }
        });
        queueing
    }
}
