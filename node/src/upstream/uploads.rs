//! Long values that clients write, on their way to the origin while they still come.
//!
//! A server begins a request with its last byte. So all of a long value but that byte can go ahead, at the pace of its
//! client and a few pieces at a time, before the request is whole and before the decisions hear of it; the last byte
//! is the attempt. A value that breaks off, or whose request is refused, never ran: its connection ends.

use std::rc::Rc;

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use super::connection::{After, UpstreamConnection};
use super::{Counted, Upstream};
use crate::connect::Stream;
use crate::dispatcher::{AttemptEnd, Upload};
use crate::download::STALLED;
use crate::http;

/// The part of the connections to servers that long values may hold: clients may be slow, and others need theirs.
const PART: usize = 4;

/// Counts an upload for as long as it is on its way.
struct OnItsWay(Rc<Upstream>);

impl OnItsWay {
    fn one(upstream: &Rc<Upstream>) -> OnItsWay {
        upstream.uploads.set(upstream.uploads.get() + 1);
        OnItsWay(Rc::clone(upstream))
    }
}

impl Drop for OnItsWay {
    fn drop(&mut self) {
        self.0.uploads.set(self.0.uploads.get() - 1);
    }
}

impl Upstream {
    /// Begins to send a long value, if there is room. Who lets go of it, at once or later, takes no more of it.
    pub(super) fn start_upload(&self, upload: Upload) {
        let Some(this) = self.this.upgrade() else { return };
        let full = self.uploads.get() >= (self.limits.connections / PART).max(1);
        if full || self.connections.get() >= self.limits.connections {
            return;
        }
        let pools = self.pools.borrow();
        let pool = pools.get(&upload.server).filter(|pool| pool.open && pool.origin);
        let Some(address) = pool.and_then(|pool| pool.address) else { return };
        let connection = UpstreamConnection { server: upload.server, origin: true, address };
        // Both are counted from here on: more may begin before the task does.
        let (counted, on_its_way) = (Counted::one(&this), OnItsWay::one(&this));
        tokio::task::spawn_local(async move {
            connection.upload(&counted.0, upload, on_its_way).await;
            drop(counted);
            this.make_use_of_room();
        });
    }
}

impl UpstreamConnection {
    async fn upload(&self, upstream: &Upstream, mut upload: Upload, on_its_way: OnItsWay) {
        let stream = self.send_ahead(upstream, &upload).await;
        // From here on the client's side is told that no more is taken, if more there is.
        drop(upload.value);
        let Some(mut stream) = stream else {
            upload.last_byte.close();
            if let Ok(go) = upload.last_byte.try_recv() {
                upstream.stopped(self.server, go.attempt.id, AttemptEnd::NotSent);
            }
            return;
        };
        let Ok(go) = upload.last_byte.await else { return };
        drop(on_its_way);
        let wait = go.attempt.deadline.saturating_sub(upstream.clock.now());
        if wait.0 == 0 || !upstream.is_at(self) {
            return upstream.stopped(self.server, go.attempt.id, AttemptEnd::Cancelled);
        }
        let input = &mut BytesMut::new();
        let after = self.send(upstream, &mut stream, input, go.attempt, &go.byte, wait).await;
        if after == After::Keep {
            self.carry(upstream, stream).await;
        }
    }

    /// Sends all but the last byte, on a connection of its own; none if that did not come to its end.
    async fn send_ahead(&self, upstream: &Upstream, upload: &Upload) -> Option<Box<dyn Stream>> {
        let mut stream = self.connect(upstream).await.ok()?;
        let length = upload.value.length();
        let (mut head, listed_server) = (BytesMut::new(), self.address.to_string());
        let wait = upload.request.wait.unwrap_or_default();
        http::write_head(&mut head, &upload.request, &listed_server, wait, Some(length));
        timeout(STALLED, stream.write_all(&head)).await.ok()?.ok()?;
        let mut left = length - 1;
        while left > 0 {
            let piece = upload.value.next().await?;
            left = left.checked_sub(piece.len())?;
            timeout(STALLED, stream.write_all(&piece)).await.ok()?.ok()?;
        }
        Some(stream)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::downstream::{Downstream, Labels};
    use crate::resource_limits::ResourceLimits;
    use crate::testing::{self, listed_server, log, ORIGIN, SERVER};
    use juniperladder::{CacheMode, EndpointState, EndpointUpdate, Idempotency, ServerId};
    use tokio::io::AsyncReadExt;
    use tokio::net::{TcpListener, TcpStream};

    const LENGTH: usize = 4 << 20;

    /// A balancer on loopback between a client and a stand-in for the origin, whose connections come here.
    async fn world() -> (Rc<Upstream>, TcpStream, TcpListener) {
        let origin = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let upstream = testing::upstream(8);
        let settings = juniperladder::Settings {
            mode: CacheMode::Aside(ORIGIN),
            ..testing::settings(3, Idempotency::WithIdempotencyKey)
        };
        let dispatcher = testing::dispatcher(settings, upstream.clone(), 0);
        upstream.attach(&dispatcher);
        let mut up = listed_server(ServerId(SERVER.0 + 1), EndpointState::Serving);
        (up.endpoint.kind, up.address) = (ORIGIN, origin.local_addr().ok());
        dispatcher.on_endpoints_changed(EndpointUpdate::Snapshot, &[up]);
        let resource_limits = ResourceLimits {
            client_connections: 8,
            idle_client_connections: 4,
            server_connections: 8,
            admin_connections: 8,
            client_buffer_bytes: 1 << 17,
            unread_answer_bytes: 1 << 16,
            chunk_bytes: 1 << 12,
        };
        let labels = Labels { classes: vec!["read".into()], tenants: vec![] };
        let downstream = Downstream::new(dispatcher, labels, Rc::default(), resource_limits, log());
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        tokio::task::spawn_local(downstream.accept(listener));
        (upstream, client, origin)
    }

    fn byte(at: usize) -> u8 {
        (at % 251) as u8
    }

    async fn line(client: &mut TcpStream) -> String {
        let mut told = Vec::new();
        while !told.ends_with(b"\r\n") {
            told.push(client.read_u8().await.unwrap());
        }
        String::from_utf8(told).unwrap()
    }

    /// Reads the head of a write off.
    async fn head(origin: &mut TcpStream) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(origin.read_u8().await.unwrap());
        }
        String::from_utf8(head).unwrap()
    }

    /// A value of four megabytes reaches the origin while the client is still writing, all but its last byte, which
    /// is the attempt. The connection is good for the next one.
    #[test]
    fn a_long_write_goes_on_while_it_comes() {
        testing::run_on_sockets(async {
            let (upstream, client, origin) = world().await;
            let (mut reads, mut writes) = client.into_split();
            let value: Vec<u8> = (0..LENGTH).map(byte).collect();
            let (all, last) = (value.clone(), tokio::sync::oneshot::channel::<()>());
            let (go, going) = last;
            tokio::task::spawn_local(async move {
                writes
                    .write_all(format!("ms k {LENGTH} O7 Pc=read,d=480,k=5c\r\n").as_bytes())
                    .await
                    .unwrap();
                writes.write_all(&all[..LENGTH - 1]).await.unwrap();
                going.await.unwrap();
                writes.write_all(&all[LENGTH - 1..]).await.unwrap();
                writes.write_all(b"\r\nmn\r\n").await.unwrap();
                std::future::pending::<()>().await;
            });
            let (mut at_origin, _) = origin.accept().await.unwrap();
            let head = head(&mut at_origin).await;
            assert!(head.starts_with("PUT /k HTTP/1.1\r\n") && head.contains("X-Trace-Id: 7\r\n"), "{head}");
            assert!(head.contains(&format!("Content-Length: {LENGTH}\r\n")), "{head}");
            let mut got = vec![0; LENGTH - 1];
            at_origin.read_exact(&mut got).await.unwrap();
            assert!(got == value[..LENGTH - 1]);
            assert_eq!(
                (upstream.counters.attempts_written.get(), upstream.uploads.get()),
                (0, 1),
                "nothing has run yet"
            );
            go.send(()).unwrap();
            assert_eq!(at_origin.read_u8().await.unwrap(), value[LENGTH - 1]);
            at_origin.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1").await.unwrap();
            let mut told = [0; 14];
            reads.read_exact(&mut told).await.unwrap();
            assert_eq!(&told, b"HD O7 cr1\r\nMN\r");
            assert_eq!((upstream.counters.attempts_written.get(), upstream.uploads.get()), (1, 0));
        });
    }

    /// However many begin at one moment, a quarter of the connections is all that they hold; the others are told so.
    #[test]
    fn long_writes_hold_a_quarter_of_the_connections() {
        testing::run_on_sockets(async {
            let (upstream, _client, _origin) = world().await;
            let dispatcher = upstream.dispatcher.borrow().upgrade().unwrap();
            let begin = |_| dispatcher.begin_upload(&testing::request("7", None), LENGTH).unwrap();
            let mut ways: Vec<_> = (0..5).map(begin).collect();
            assert_eq!((upstream.uploads.get(), upstream.connections.get()), (2, 2));
            let mut taken = |place: usize| ways[place].1.try_send("v".into()).is_ok();
            assert_eq!([0, 1, 2, 3, 4].map(&mut taken), [true, true, false, false, false]);
        });
    }

    /// Where the origin's side ends early the value never ran; the client is told so at its end, at once.
    #[test]
    fn a_long_write_that_cannot_go_on_is_refused() {
        testing::run_on_sockets(async {
            let (upstream, mut client, origin) = world().await;
            let leaves = tokio::task::spawn_local(async move {
                let (mut at_origin, _) = origin.accept().await.unwrap();
                head(&mut at_origin).await;
            });
            client.write_all(format!("ms k {LENGTH} O7 Pc=read,d=480,k=5c\r\n").as_bytes()).await.unwrap();
            client.write_all(&vec![b'v'; LENGTH]).await.unwrap();
            client.write_all(b"\r\n").await.unwrap();
            leaves.await.unwrap();
            assert!(line(&mut client).await.starts_with("SERVER_ERROR busy"));
            assert_eq!((upstream.counters.attempts_written.get(), upstream.counters.resets.get()), (0, 0));
        });
    }

    /// A client that leaves, or ends its value wrongly: the origin never has the last byte.
    #[test]
    fn a_long_write_that_breaks_off_never_runs() {
        testing::run_on_sockets(async {
            for (sent, behind) in [(LENGTH / 2, &b""[..]), (LENGTH, b"xx")] {
                let (upstream, mut client, origin) = world().await;
                let text = format!("ms k {LENGTH} O7 Pc=read,d=480,k=5c\r\n");
                let writes = tokio::task::spawn_local(async move {
                    client.write_all(text.as_bytes()).await.unwrap();
                    client.write_all(&vec![b'v'; sent]).await.unwrap();
                    client.write_all(behind).await.unwrap();
                    let _ = client.shutdown().await;
                    let mut told = String::new();
                    let _ = client.read_to_string(&mut told).await;
                    told
                });
                let (mut at_origin, _) = origin.accept().await.unwrap();
                head(&mut at_origin).await;
                let mut got = Vec::new();
                let _ = at_origin.read_to_end(&mut got).await;
                assert!(got.len() < LENGTH, "{}", got.len());
                let told = writes.await.unwrap();
                assert!(
                    !told.contains("HD") && (sent < LENGTH || told.starts_with("CLIENT_ERROR")),
                    "{told}"
                );
                assert_eq!(upstream.counters.attempts_written.get(), 0);
            }
        });
    }
}
