//! Upper bounds of the wait in the backlog, and their effect on the deadlines of requests.

use std::cell::Cell;
use std::rc::Rc;

use juniperladder::Micros;
use tokio::io::{duplex, AsyncWriteExt};
use tokio::task::{spawn_local, yield_now};
use tokio::time::advance;

use super::*;
use crate::downstream::tests::{downstream, serve_after};
use crate::testing::{self, yield_until_idle, RecordingTransport};

const CLIENTS: usize = 200;
/// How long a turn of the event loop takes in these tests.
const TURN_DURATION: Duration = Duration::from_millis(1);

fn connect(address: std::net::SocketAddr) -> std::net::TcpStream {
    std::net::TcpStream::connect(address).unwrap()
}

/// A connection accepted from an empty queue has not waited; one that was already queued may have arrived
/// right after the queue was last empty.
#[test]
fn backlog_wait_counts_from_when_the_queue_was_last_empty() {
    testing::run_paused(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut backlog = Backlog::new(listener);
        let wait = Duration::from_millis(300);
        for _ in 0..2 {
            let (first, first_client) = tokio::join!(backlog.accept(), async { connect(address) });
            assert_eq!(first.unwrap().backlog_wait, Duration::ZERO);
            let queued = [connect(address), connect(address)];
            advance(wait).await;
            assert_eq!(backlog.accept().await.unwrap().backlog_wait, wait);
            assert_eq!(backlog.accept_queued().unwrap().backlog_wait, wait);
            assert!(backlog.accept_queued().is_none());
            drop((first_client, queued));
        }
    });
}

/// In a flood of silent connections several must be evicted at once, so that the queue is processed in few
/// turns of the event loop.
#[test]
fn several_silent_connections_are_evicted_at_once_in_a_flood() {
    testing::run_paused(async {
        let downstream = downstream(&Rc::new(RecordingTransport::default()));
        let listener = crate::listener::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(Rc::clone(&downstream).accept(listener));
        yield_until_idle().await;
        let flood: Vec<_> = (0..CLIENTS).map(|_| connect(address)).collect();
        let turns = Rc::new(Cell::new(0));
        let turn_counter = Rc::clone(&turns);
        spawn_local(async move {
            loop {
                advance(TURN_DURATION).await;
                turn_counter.set(turn_counter.get() + 1);
            }
        });
        while (downstream.dispatcher.counters().connections_accepted.get() as usize) < CLIENTS {
            yield_now().await;
        }
        assert!(
            turns.get() < CLIENTS / 2,
            "{} turns of the event loop for {CLIENTS} connections",
            turns.get()
        );
        drop(flood);
    });
}

/// A request read right after the accept may have waited as long as its connection, so that its deadline is
/// earlier by that wait; a later request has its full time. At most half of the time is subtracted, since the
/// bound may be far above the true wait.
#[test]
fn the_backlog_wait_is_subtracted_from_the_deadline() {
    for (waited_ms, subtracted_ms) in [(0, 0), (100, 100), (2_000, 240)] {
        testing::run_paused(async {
            let recorder = Rc::new(RecordingTransport::default());
            let downstream = downstream(&recorder);
            let (stream, mut client) = duplex(1 << 10);
            spawn_local(serve_after(Rc::clone(&downstream), stream, Duration::from_millis(waited_ms)));
            let now = downstream.dispatcher.clock().now();
            client.write_all(b"mg a v O1 Pc=read,d=480\r\nmg b v O2 Pc=read,d=480\r\n").await.unwrap();
            yield_until_idle().await;
            advance(Duration::from_millis(50)).await;
            client.write_all(b"mg c v O3 Pc=read,d=480\r\n").await.unwrap();
            yield_until_idle().await;
            let times_left: Vec<_> = recorder
                .started_attempts
                .borrow()
                .iter()
                .map(|attempt| attempt.deadline.saturating_sub(now))
                .collect();
            let early_time_left = Micros((480 - 10 - subtracted_ms) * 1_000);
            assert_eq!(times_left, [early_time_left, early_time_left, Micros((480 - 10 + 50) * 1_000)]);
        });
    }
}
