//! Evictions after an event loop delay, in a controlled order: time advances only where a test says so, and
//! clients act between two turns of the event loop by direct socket calls.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use tokio::time::advance;

use super::*;

/// The number of slots in [`testing::resource_limits`].
const SLOTS: usize = 8;
/// An event loop delay that is longer than any wait of the downstream side.
const LOOP_DELAY: Duration = Duration::from_millis(300);

/// A client with non-blocking calls.
struct Client(std::net::TcpStream);

impl Client {
    fn connect(address: SocketAddr) -> Client {
        let stream = std::net::TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        Client(stream)
    }

    fn connect_and_send(address: SocketAddr, text: &str) -> Client {
        let mut client = Client::connect(address);
        client.send(text);
        client
    }

    fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// The text received, and whether the connection has ended.
    fn received(&mut self) -> (String, bool) {
        let mut bytes = Vec::new();
        let has_ended = match self.0.read_to_end(&mut bytes) {
            Ok(_) => true,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        };
        (String::from_utf8(bytes).unwrap(), has_ended)
    }
}

/// Starts a downstream side that accepts connections, and returns it with its recorder and its address.
async fn start_downstream() -> (Rc<Downstream>, Rc<RecordingTransport>, SocketAddr) {
    let recorder = Rc::new(RecordingTransport::default());
    let downstream = downstream(&recorder);
    let listener = crate::listener::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(Rc::clone(&downstream).accept(listener));
    yield_until_idle().await;
    (downstream, recorder, address)
}

/// Runs the event loop until nothing is left to do at the current time.
async fn run_event_loop() {
    for _ in 0..10 {
        yield_until_idle().await;
    }
}

fn request(id: usize) -> String {
    format!("mg k v O{id} Pc=read,d=480\r\n")
}

/// Ends all attempts that have begun as served.
fn serve_attempts(downstream: &Downstream, recorder: &RecordingTransport) {
    for attempt in recorder.started_attempts.take() {
        let value = Answer::Value(Bytes::from_static(b"v"));
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(value)));
    }
}

/// Opens `waiting` connections more than there are slots, runs the event loop for `turns_before` turns, in which
/// some are accepted, and then delays it. Connections that should keep their slots must be answered.
async fn connect_during_loop_delay(waiting: usize, turns_before: usize) {
    let (_downstream, _, address) = start_downstream().await;
    let mut clients: Vec<_> = (0..SLOTS + waiting).map(|_| Client::connect(address)).collect();
    for _ in 0..turns_before {
        yield_now().await;
    }
    advance(LOOP_DELAY).await;
    run_event_loop().await;
    // One descriptor is for the connection that waits for a slot.
    for client in clients.iter_mut().skip(waiting + 1) {
        client.send("mn\r\n");
        run_event_loop().await;
        assert_eq!(
            client.received(),
            ("MN\r\n".into(), false),
            "{waiting} waiting, delayed after {turns_before} turns"
        );
    }
}

/// A connection that was accepted during an event loop delay must not be evicted while none waits for its
/// slot: its request would be lost.
#[test]
fn an_event_loop_delay_evicts_no_more_connections_than_wait() {
    for waiting in 0..4 {
        for turns_before in 0..8 {
            testing::run_paused(connect_during_loop_delay(waiting, turns_before));
        }
    }
}

/// Clients that connect and send their requests during an event loop delay must all be answered, however many
/// they are.
#[test]
fn clients_that_connect_during_an_event_loop_delay_are_answered() {
    testing::run_paused(async {
        let (downstream, recorder, address) = start_downstream().await;
        let mut clients: Vec<_> =
            (0..SLOTS * 5).map(|id| Client::connect_and_send(address, &request(id))).collect();
        advance(LOOP_DELAY).await;
        for _ in 0..clients.len() {
            run_event_loop().await;
            serve_attempts(&downstream, &recorder);
            advance(EVICTION_TIMEOUT).await;
        }
        run_event_loop().await;
        for (id, client) in clients.iter_mut().enumerate() {
            // Served, or rejected because the only server has no capacity left.
            let answer = client.received().0;
            let is_served = answer == format!("VA 1 O{id}\r\nv\r\n");
            assert!(is_served || answer.starts_with("SERVER_ERROR busy "), "client {id}: {answer:?}");
            assert!(answer.ends_with("\r\n"), "client {id}: {answer:?}");
        }
    });
}

/// A connection in the middle of a request must not be evicted while the rest of that request is in the
/// socket buffer.
#[test]
fn a_request_whose_rest_has_arrived_is_not_evicted() {
    testing::run_paused(async {
        let (downstream, _, address) = start_downstream().await;
        let mut client = Client::connect_and_send(address, "m");
        run_event_loop().await;
        client.send("n\r\n");
        downstream.evict(1);
        run_event_loop().await;
        assert_eq!(client.received().0, "MN\r\n");
    });
}

/// An eviction is withdrawn when the connection receives the rest of its request, and must not cut off a
/// later request.
#[test]
fn an_eviction_withdrawn_mid_request_does_not_end_a_later_request() {
    testing::run_paused(async {
        let (downstream, _, address) = start_downstream().await;
        let mut client = Client::connect_and_send(address, "m");
        run_event_loop().await;
        client.send("n\r\n");
        downstream.evict(1);
        run_event_loop().await;
        assert_eq!(client.received(), ("MN\r\n".into(), false));
        client.send("m");
        run_event_loop().await;
        client.send("n\r\n");
        run_event_loop().await;
        assert_eq!(client.received().0, "MN\r\n");
    });
}

/// A new connection must keep its slot while others have open requests and none waits for its slot.
#[test]
fn a_new_connection_keeps_its_slot_while_others_are_busy() {
    testing::run_paused(async {
        let (_downstream, recorder, address) = start_downstream().await;
        let busy: Vec<_> = (0..SLOTS - 2).map(|id| Client::connect_and_send(address, &request(id))).collect();
        run_event_loop().await;
        assert_eq!(recorder.started_attempts.borrow().len(), busy.len());
        let mut new_client = Client::connect(address);
        run_event_loop().await;
        advance(Duration::from_millis(30)).await;
        new_client.send("mn\r\n");
        run_event_loop().await;
        assert_eq!(new_client.received(), ("MN\r\n".into(), false));
    });
}

/// An event loop delay must not count as time waited for slots when the listener is about to close: requests
/// would be lost whose connections could have had a slot.
#[test]
fn an_event_loop_delay_during_the_last_accepts_loses_no_request() {
    testing::run_paused(async {
        let (downstream, _, address) = start_downstream().await;
        let silent: Vec<_> = (0..SLOTS).map(|_| Client::connect(address)).collect();
        run_event_loop().await;
        let listener = crate::listener::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let mut backlog = Backlog::new(listener);
        let mut clients: Vec<_> =
            (0..SLOTS / 2).map(|_| Client::connect_and_send(address, "mn\r\n")).collect();
        let accept_remaining = downstream.accept_remaining(&mut backlog);
        tokio::pin!(accept_remaining);
        let mut has_finished = false;
        while !has_finished {
            has_finished = tokio::select! {
                biased;
                () = &mut accept_remaining => true,
                () = advance(LOOP_DELAY) => false,
            };
        }
        run_event_loop().await;
        for client in &mut clients {
            assert_eq!(client.received().0, "MN\r\n");
        }
        drop(silent);
    });
}
