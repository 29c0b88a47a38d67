//! Which connections close, and when, so that others have slots.

use super::*;

/// A connection that is silent, kept open or stalled in the middle of a request must not hold its slot for
/// good: it closes in time, and a stalled request is answered with an error.
#[test]
fn an_idle_or_stalled_connection_closes_in_time() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        for (sent, answer) in [
            ("", ""),
            ("mn\r\n", "MN\r\n"),
            ("mg a v O1 Pc=re", "CLIENT_ERROR command not finished in time\r\n"),
            ("ms k 5 Oid Pc=read,d=480\r\nab", "CLIENT_ERROR command not finished in time\r\n"),
        ] {
            let (stream, mut client) = duplex(1 << 16);
            spawn_local(serve(downstream(&recorder), stream));
            let start = Instant::now();
            for piece in sent.as_bytes().chunks(4) {
                client.write_all(piece).await.unwrap();
                sleep(Duration::from_millis(1)).await;
            }
            let mut received = String::new();
            client.read_to_string(&mut received).await.unwrap();
            assert_eq!(received, answer);
            assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
        }
    });
}

/// Connections that stay open after a request must not use up the limit: the longest idle are closed first,
/// before clients run out of connections.
#[test]
fn surplus_idle_connections_close_longest_idle_first() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let mut clients = Vec::new();
        for id in 0..6 {
            let (stream, mut client) = duplex(1 << 10);
            spawn_local(serve(Rc::clone(&downstream), stream));
            client.write_all(format!("mg k v O{id} Pc=read,d=480\r\n").as_bytes()).await.unwrap();
            yield_until_idle().await;
            let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
            downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Error));
            clients.push(client);
            sleep(Duration::from_millis(5)).await;
        }
        let open = downstream.slots.borrow().len();
        assert_eq!(open, downstream.resource_limits.idle_client_connections);
        let start = Instant::now();
        for mut client in clients.drain(..2) {
            let mut received = String::new();
            client.read_to_string(&mut received).await.unwrap();
            assert_eq!(received, "SERVER_ERROR failed\r\n");
        }
        assert_eq!(start.elapsed(), Duration::ZERO);
    });
}

/// A request whose first byte arrives while its idle connection is evicted must not be lost.
#[test]
fn a_request_begun_during_eviction_is_answered() {
    testing::run_paused(async {
        let downstream = downstream(&Rc::new(RecordingTransport::default()));
        let (stream, mut client) = duplex(1 << 10);
        spawn_local(serve(Rc::clone(&downstream), stream));
        yield_until_idle().await;
        downstream.evict(1);
        client.write_all(b"m").await.unwrap();
        yield_until_idle().await;
        client.write_all(b"n\r\n").await.unwrap();
        let mut received = String::new();
        client.read_to_string(&mut received).await.unwrap();
        assert_eq!(received, "MN\r\n");
    });
}

/// An eviction takes no time: otherwise a request behind a flood of connections would wait for each of them.
#[test]
fn an_evicted_connection_closes_at_once() {
    testing::run_paused(async {
        let downstream = downstream(&Rc::new(RecordingTransport::default()));
        let (stream, mut client) = duplex(1 << 10);
        spawn_local(serve(Rc::clone(&downstream), stream));
        yield_until_idle().await;
        let start = Instant::now();
        downstream.evict(1);
        assert_eq!(client.read(&mut [0; 8]).await.unwrap(), 0);
        downstream.connection_closed.notified().await;
        assert_eq!(start.elapsed(), Duration::ZERO);
    });
}

/// The order of evictions when slots run out: first a connection that was silent for long, then those idle
/// after an answer, and a new one that has sent nothing yet stays.
#[test]
fn a_new_connection_is_evicted_last() {
    testing::run_paused(async {
        let downstream = downstream(&Rc::new(RecordingTransport::default()));
        let mut clients = Vec::new();
        for (has_had_request, wait) in [(false, 900), (true, 100), (true, 100), (false, 0)] {
            let (stream, mut client) = duplex(1 << 10);
            let occupied = downstream.occupy_slot(Duration::ZERO);
            occupied.slot.has_had_request.set(has_had_request);
            spawn_local(async move {
                let _ = DownstreamConnection::new(&occupied.downstream, &occupied.slot).serve(stream).await;
            });
            client.write_all(b"").await.unwrap();
            clients.push(client);
            sleep(Duration::from_millis(wait)).await;
        }
        let mut new_client = clients.pop().unwrap();
        for (evicted, mut client) in clients.into_iter().enumerate() {
            downstream.evict(1);
            yield_until_idle().await;
            assert_eq!(client.read(&mut [0; 8]).await.unwrap(), 0);
            assert_eq!(downstream.slots.borrow().len(), 3 - evicted);
        }
        new_client.write_all(b"mn\r\n").await.unwrap();
        let mut received = [0; 4];
        new_client.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"MN\r\n");
    });
}

/// Hundreds of silent connections must not shut out a client with a request.
#[test]
fn a_silent_connection_is_evicted_for_a_new_one() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(RecordingTransport::default());
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(downstream(&recorder).accept(listener));
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(tokio::net::TcpStream::connect(address).await.unwrap());
        }
        let mut client = tokio::net::TcpStream::connect(address).await.unwrap();
        client.write_all(b"mn\r\n").await.unwrap();
        let mut received = [0; 4];
        client.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"MN\r\n");
        assert_eq!(silent[0].read(&mut received).await.unwrap(), 0, "the first connection was not evicted");
    });
}
