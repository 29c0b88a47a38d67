//! Evictions after an event loop delay, in a forced order: time advances only where a test says so, and
//! clients act between two turns of the event loop by direct socket calls.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use tokio::time::advance;

use super::*;

/// The number of slots in [`testing::resource_limits`].
const SLOTS: usize = 8;
/// An event loop delay that is longer than any wait of the downstream side.
const LATE_TURN: Duration = Duration::from_millis(300);

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
async fn accepting() -> (Rc<Downstream>, Rc<Recorder>, SocketAddr) {
    let recorder = Rc::new(Recorder::default());
    let downstream = downstream(&recorder);
    let listener = crate::listener::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(Rc::clone(&downstream).accept(listener));
    settle().await;
    (downstream, recorder, address)
}

/// Runs the event loop until nothing is left to do at the current time.
async fn turn() {
    for _ in 0..10 {
        settle().await;
    }
}

fn request(id: usize) -> String {
    format!("mg k v O{id} Pc=read,d=480\r\n")
}

/// Ends all attempts that have begun as served.
fn serve_attempts(downstream: &Downstream, recorder: &Recorder) {
    for attempt in recorder.begun.take() {
        let value = Answer::Value(Bytes::from_static(b"v"));
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(value)));
    }
}

/// Delays the event loop while `waiting` connections more than there are slots wait, after `turns_before`
/// turns in which some of them were accepted. Connections that should keep their slots must be answered.
async fn connect_in_a_late_turn(waiting: usize, turns_before: usize) {
    let (_downstream, _, address) = accepting().await;
    let mut clients: Vec<_> = (0..SLOTS + waiting).map(|_| Client::connect(address)).collect();
    for _ in 0..turns_before {
        yield_now().await;
    }
    advance(LATE_TURN).await;
    turn().await;
    // One descriptor is for the connection that waits for a slot.
    for client in clients.iter_mut().skip(waiting + 1) {
        client.send("mn\r\n");
        turn().await;
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
fn a_late_turn_evicts_no_more_connections_than_wait() {
    for waiting in 0..4 {
        for turns_before in 0..8 {
            testing::run(connect_in_a_late_turn(waiting, turns_before));
        }
    }
}

/// Clients that connect and send their requests during an event loop delay must all be answered, however many
/// they are.
#[test]
fn all_that_connect_and_send_during_a_late_turn_are_answered() {
    testing::run(async {
        let (downstream, recorder, address) = accepting().await;
        let mut clients: Vec<_> =
            (0..SLOTS * 5).map(|id| Client::connect_and_send(address, &request(id))).collect();
        advance(LATE_TURN).await;
        for _ in 0..clients.len() {
            turn().await;
            serve_attempts(&downstream, &recorder);
            advance(EVICTION_TIMEOUT).await;
        }
        turn().await;
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
fn a_request_whose_rest_has_arrived_is_not_cut_for_its_slot() {
    testing::run(async {
        let (downstream, _, address) = accepting().await;
        let mut client = Client::connect_and_send(address, "m");
        turn().await;
        client.send("n\r\n");
        downstream.evict(1);
        turn().await;
        assert_eq!(client.received().0, "MN\r\n");
    });
}

/// An eviction is withdrawn when the connection receives the rest of its request, and must not cut off a
/// later request.
#[test]
fn an_eviction_in_the_middle_of_a_request_is_over_with_that_request() {
    testing::run(async {
        let (downstream, _, address) = accepting().await;
        let mut client = Client::connect_and_send(address, "m");
        turn().await;
        client.send("n\r\n");
        downstream.evict(1);
        turn().await;
        assert_eq!(client.received(), ("MN\r\n".into(), false));
        client.send("m");
        turn().await;
        client.send("n\r\n");
        turn().await;
        assert_eq!(client.received().0, "MN\r\n");
    });
}

/// A new connection must keep its slot while others have open requests and none waits for its slot.
#[test]
fn a_new_connection_beside_busy_ones_keeps_its_slot() {
    testing::run(async {
        let (_downstream, recorder, address) = accepting().await;
        let busy: Vec<_> = (0..SLOTS - 2).map(|id| Client::connect_and_send(address, &request(id))).collect();
        turn().await;
        assert_eq!(recorder.begun.borrow().len(), busy.len());
        let mut new = Client::connect(address);
        turn().await;
        advance(Duration::from_millis(30)).await;
        new.send("mn\r\n");
        turn().await;
        assert_eq!(new.received(), ("MN\r\n".into(), false));
    });
}

/// An event loop delay must not count as time waited for slots when the listener is about to close: requests
/// would be lost whose connections could have had a slot.
#[test]
fn a_late_turn_of_the_last_accepts_gives_no_request_up() {
    testing::run(async {
        let (downstream, _, address) = accepting().await;
        let silent: Vec<_> = (0..SLOTS).map(|_| Client::connect(address)).collect();
        turn().await;
        let listener = crate::listener::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let mut backlog = Backlog::new(listener);
        let mut clients: Vec<_> =
            (0..SLOTS / 2).map(|_| Client::connect_and_send(address, "mn\r\n")).collect();
        let accepts = downstream.accept_remaining(&mut backlog);
        tokio::pin!(accepts);
        let mut are_over = false;
        while !are_over {
            are_over = tokio::select! {
                biased;
                () = &mut accepts => true,
                () = advance(LATE_TURN) => false,
            };
        }
        turn().await;
        for client in &mut clients {
            assert_eq!(client.received().0, "MN\r\n");
        }
        drop(silent);
    });
}
