use super::*;
use crate::downstream::{Downstream, Labels};
use crate::testing::{self, listed_server, log, ORIGIN, SERVER};
use juniperladder::{CacheMode, EndpointState, EndpointUpdate, Idempotency, ServerId};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

const LENGTH: usize = 4 << 20;

/// A balancer on loopback with a client, and the listener of a simulated origin.
async fn balancer_and_origin() -> (Rc<Upstream>, TcpStream, TcpListener) {
    let origin = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let upstream = testing::upstream(8);
    let settings = juniperladder::Settings {
        mode: CacheMode::CacheAside(ORIGIN),
        ..testing::settings(3, Idempotency::WithIdempotencyKey)
    };
    let dispatcher = testing::dispatcher(settings, upstream.clone(), 0);
    upstream.attach(&dispatcher);
    let mut listed = listed_server(ServerId(SERVER.0 + 1), EndpointState::Serving);
    (listed.endpoint.kind, listed.address) = (ORIGIN, origin.local_addr().ok());
    dispatcher.on_endpoints_changed(EndpointUpdate::Snapshot, &[listed]);
    let resource_limits = testing::resource_limits(1 << 12);
    let labels = Labels { classes: vec!["read".into()], tenants: vec![] };
    let downstream =
        Downstream::new(dispatcher, labels, Rc::default(), resource_limits, testing::buffers(), log());
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    tokio::task::spawn_local(downstream.accept(listener));
    (upstream, client, origin)
}

fn value_byte(at: usize) -> u8 {
    (at % 251) as u8
}

async fn read_line(client: &mut TcpStream) -> String {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n") {
        received.push(client.read_u8().await.unwrap());
    }
    String::from_utf8(received).unwrap()
}

/// Reads the head of an HTTP request.
async fn read_head(origin: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(origin.read_u8().await.unwrap());
    }
    String::from_utf8(head).unwrap()
}

/// All but the last byte of a value of four megabytes must reach the origin while the client is still
/// writing; the last byte is the attempt. The connection can be reused afterwards.
#[test]
fn a_streamed_write_is_forwarded_while_it_arrives() {
    testing::run_on_sockets(async {
        let (upstream, client, origin) = balancer_and_origin().await;
        let (mut reads, mut writes) = client.into_split();
        let value: Vec<u8> = (0..LENGTH).map(value_byte).collect();
        let (all, last_byte_signal) = (value.clone(), tokio::sync::oneshot::channel::<()>());
        let (allow_last_byte, last_byte_allowed) = last_byte_signal;
        tokio::task::spawn_local(async move {
            writes.write_all(format!("ms k {LENGTH} O7 Pc=read,d=480,k=5c\r\n").as_bytes()).await.unwrap();
            writes.write_all(&all[..LENGTH - 1]).await.unwrap();
            last_byte_allowed.await.unwrap();
            writes.write_all(&all[LENGTH - 1..]).await.unwrap();
            writes.write_all(b"\r\nmn\r\n").await.unwrap();
            std::future::pending::<()>().await;
        });
        let (mut origin_stream, _) = origin.accept().await.unwrap();
        let head = read_head(&mut origin_stream).await;
        assert!(head.starts_with("PUT /k HTTP/1.1\r\n") && head.contains("X-Trace-Id: 7\r\n"), "{head}");
        assert!(head.contains(&format!("Content-Length: {LENGTH}\r\n")), "{head}");
        let mut forwarded = vec![0; LENGTH - 1];
        origin_stream.read_exact(&mut forwarded).await.unwrap();
        assert!(forwarded == value[..LENGTH - 1]);
        assert_eq!(
            (upstream.counters.attempts_written.get(), upstream.uploads.get()),
            (0, 1),
            "the attempt was written before its last byte was sent"
        );
        allow_last_byte.send(()).unwrap();
        assert_eq!(origin_stream.read_u8().await.unwrap(), value[LENGTH - 1]);
        origin_stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1").await.unwrap();
        let mut received = [0; 14];
        reads.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"HD O7 cr1\r\nMN\r");
        assert_eq!((upstream.counters.attempts_written.get(), upstream.uploads.get()), (1, 0));
    });
}

/// Uploads that begin at one moment must hold no more than a quarter of the connections; the others get an
/// error.
#[test]
fn uploads_hold_at_most_a_quarter_of_the_connections() {
    testing::run_on_sockets(async {
        let (upstream, _client, _origin) = balancer_and_origin().await;
        let dispatcher = upstream.dispatcher.borrow().upgrade().unwrap();
        let begin = |_| dispatcher.begin_upload(&testing::request("7", None), LENGTH).unwrap();
        let mut uploads: Vec<_> = (0..5).map(begin).collect();
        assert_eq!((upstream.uploads.get(), upstream.connections.get()), (2, 2));
        let mut accepts_chunk = |index: usize| uploads[index].1.try_send("v".into()).is_ok();
        assert_eq!([0, 1, 2, 3, 4].map(&mut accepts_chunk), [true, true, false, false, false]);
    });
}

/// If the origin closes early, the write is not executed, and the client gets a busy answer as soon as its value
/// has ended.
#[test]
fn a_streamed_write_is_rejected_if_the_origin_closes() {
    testing::run_on_sockets(async {
        let (upstream, mut client, origin) = balancer_and_origin().await;
        let origin_closes = tokio::task::spawn_local(async move {
            let (mut origin_stream, _) = origin.accept().await.unwrap();
            read_head(&mut origin_stream).await;
        });
        client.write_all(format!("ms k {LENGTH} O7 Pc=read,d=480,k=5c\r\n").as_bytes()).await.unwrap();
        client.write_all(&vec![b'v'; LENGTH]).await.unwrap();
        client.write_all(b"\r\n").await.unwrap();
        origin_closes.await.unwrap();
        assert!(read_line(&mut client).await.starts_with("SERVER_ERROR busy"));
        assert_eq!(
            (upstream.counters.attempts_written.get(), upstream.counters.attempts_reset.get()),
            (0, 0)
        );
    });
}

/// If the client leaves or ends its value wrongly, the origin must never receive the last byte.
#[test]
fn an_interrupted_streamed_write_is_not_executed() {
    testing::run_on_sockets(async {
        for (sent, after_value) in [(LENGTH / 2, &b""[..]), (LENGTH, b"xx")] {
            let (upstream, mut client, origin) = balancer_and_origin().await;
            let text = format!("ms k {LENGTH} O7 Pc=read,d=480,k=5c\r\n");
            let writes = tokio::task::spawn_local(async move {
                client.write_all(text.as_bytes()).await.unwrap();
                client.write_all(&vec![b'v'; sent]).await.unwrap();
                client.write_all(after_value).await.unwrap();
                let _ = client.shutdown().await;
                let mut received = String::new();
                let _ = client.read_to_string(&mut received).await;
                received
            });
            let (mut origin_stream, _) = origin.accept().await.unwrap();
            read_head(&mut origin_stream).await;
            let mut forwarded = Vec::new();
            let _ = origin_stream.read_to_end(&mut forwarded).await;
            assert!(forwarded.len() < LENGTH, "{}", forwarded.len());
            let received = writes.await.unwrap();
            assert!(
                !received.contains("HD") && (sent < LENGTH || received.starts_with("CLIENT_ERROR")),
                "{received}"
            );
            assert_eq!(upstream.counters.attempts_written.get(), 0);
        }
    });
}
