//! Evictions after a late turn of the event loop, in orders that are forced: time passes only where a test says so, and what
//! clients do between two turns is done by blocking calls.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use tokio::time::advance;

use super::*;

/// The slots of [`testing::resource_limits`].
const SLOTS: usize = 8;
/// A turn of the event loop that is late by more than any wait of the downstream side.
const LATE_TURN: Duration = Duration::from_millis(300);

/// A client whose calls never wait.
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

    /// What has come, and whether the connection has ended.
    fn received(&mut self) -> (String, bool) {
        let mut bytes = Vec::new();
        let has_ended = match self.0.read_to_end(&mut bytes) {
            Ok(_) => true,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        };
        (String::from_utf8(bytes).unwrap(), has_ended)
    }
}

/// A downstream side that accepts connections at this address.
async fn accepting() -> (Rc<Downstream>, Rc<Recorder>, SocketAddr) {
    let recorder = Rc::new(Recorder::default());
    let downstream = downstream(&recorder);
    let listener = crate::listener::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(Rc::clone(&downstream).accept(listener));
    settle().await;
    (downstream, recorder, address)
}

/// Lets the event loop turn until nothing is left to do at this time.
async fn turn() {
    for _ in 0..10 {
        settle().await;
    }
}

fn request(id: usize) -> String {
    format!("mg k v O{id} Pc=read,d=480\r\n")
}

/// Ends the attempts that have begun as served.
fn serve_attempts(downstream: &Downstream, recorder: &Recorder) {
    for attempt in recorder.begun.take() {
        let value = Answer::Value(Bytes::from_static(b"v"));
        downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(value)));
    }
}

/// A late turn while so many connections wait beyond the slots, after so many turns in which some of them were accepted.
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
            "{waiting} wait, late after {turns_before} turns"
        );
    }
}

/// A connection that was accepted in a late turn is not evicted while nobody waits for its slot: its request would be lost.
#[test]
fn a_late_turn_evicts_no_more_connections_than_wait() {
    for waiting in 0..4 {
        for turns_before in 0..8 {
            testing::run(connect_in_a_late_turn(waiting, turns_before));
        }
    }
}

/// A client that connected and sent its request during a late turn is answered, however many did.
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
            // Served, or rejected as the only server has no capacity left.
            let answer = client.received().0;
            let is_served = answer == format!("VA 1 O{id}\r\nv\r\n");
            assert!(is_served || answer.starts_with("SERVER_ERROR busy "), "client {id}: {answer:?}");
            assert!(answer.ends_with("\r\n"), "client {id}: {answer:?}");
        }
    });
}

/// A connection in the middle of a request is not cut for its slot while the rest of that request stands unread.
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

/// An eviction that was not needed, as the connection brought the rest of its request, cuts no later request of it.
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

/// A connection that has just come keeps its slot while others have requests open and nobody waits for it.
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

/// The wait for slots at the end of the listener counts only turns of the event loop: a late one gives nobody up who could
/// have had a slot in it.
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
