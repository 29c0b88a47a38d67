//! Long values on their way from a server to a client, piece by piece, as fast as the client takes them.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use juniperladder_dispatch::streamed_value::ChunkSender;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::timeout;

use crate::http::{self, Response};
use crate::memcache;

/// How long a server may bring nothing more of a value that it has begun to give: it may stand still, and one that
/// vanished says nothing for ever.
pub const STALLED: Duration = Duration::from_secs(10);
/// Room made to look for what has come already.
const READ: usize = 4096;

/// The body of a long value, in the server's protocol.
pub enum Body {
    /// Of a cache server.
    Meta(memcache::Rest),
    /// Of the origin.
    Http(Response),
}

impl Body {
    /// Takes off what has come of the value, and tells whether its end has been seen.
    fn take(&mut self, input: &mut BytesMut) -> Result<(Bytes, bool), String> {
        match self {
            Body::Meta(rest) => rest.take(input),
            Body::Http(response) => {
                response.read(input)?;
                Ok((response.body.split().freeze(), response.done))
            }
        }
    }
}

/// Passes a long value on until its end, so much at once. An error is where it broke off: what was wrong with it, or
/// nothing if a connection ended, either the server's or the client's. The client has not had its last byte then.
pub async fn pump<S: AsyncRead + Unpin>(
    stream: &mut S,
    input: &mut BytesMut,
    body: &mut Body,
    mut feed: ChunkSender,
    most: usize,
) -> Result<(), Option<String>> {
    loop {
        let (piece, end) = body.take(input).map_err(Some)?;
        feed.send(piece).await.map_err(|_| None)?;
        if end {
            if matches!(body, Body::Http(_)) {
                nothing_behind(stream, input).await?;
            }
            return feed.finish().await.map_err(|_| None);
        }
        input.reserve(most);
        let mut room = (&mut *input).limit(most);
        let read = tokio::select! {
            read = timeout(STALLED, stream.read_buf(&mut room)) => read,
            () = feed.wait_for_receiver_gone() => return Err(None),
        };
        if !matches!(read, Ok(Ok(1..))) {
            return Err(None);
        }
    }
}

/// A length that was told too short leaves the rest of the body here, which nobody can tell from noise behind a
/// good response: only the beginning of another one is neither.
pub async fn nothing_behind<S: AsyncRead + Unpin>(
    stream: &mut S,
    input: &mut BytesMut,
) -> Result<(), Option<String>> {
    input.reserve(READ);
    // What has come already is taken in, without waiting for more.
    tokio::select! {
        biased;
        read = stream.read_buf(input) => read.map(|_| ()).map_err(|_| None)?,
        () = std::future::ready(()) => {}
    }
    if http::may_begin(input) {
        Ok(())
    } else {
        Err(Some("a body longer than its length".into()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memcache::{answered, Answered};
    use crate::testing::{self, request, settle};
    use juniperladder_dispatch::streamed_value::streamed_value;
    use tokio::io::{duplex, AsyncWriteExt};
    use tokio::task::spawn_local;

    const LENGTH: usize = 4 << 20;
    const PIECE: usize = 8 << 10;
    const PIPE: usize = 4 << 10;

    fn byte(at: usize) -> u8 {
        (at % 251) as u8
    }

    /// Both protocols' bodies of a value, and what ends them.
    fn bodies() -> [(Body, &'static [u8]); 2] {
        let mut line = BytesMut::from(format!("VA {LENGTH} O7 h1\r\n").as_bytes());
        let Ok(Some(Answered::Streamed(LENGTH, rest))) = answered(&mut line, &request("7", None)) else {
            panic!()
        };
        let mut response = Response::default();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
        response.read(&mut BytesMut::from(head.as_bytes())).unwrap();
        assert_eq!(response.long(), Some(LENGTH));
        [(Body::Meta(rest), b"\r\n"), (Body::Http(response), b"")]
    }

    /// A value of four megabytes passes whole, and a client that does not read holds the server back at a few
    /// pieces: the value is never in hand.
    #[test]
    fn a_value_far_over_the_memory_passes_through_a_few_pieces() {
        testing::run(async {
            for (mut body, end) in bodies() {
                let (feed, long) = streamed_value(LENGTH);
                let (mut near, mut far) = duplex(PIPE);
                let given = std::rc::Rc::new(std::cell::Cell::new(0));
                let so_far = std::rc::Rc::clone(&given);
                spawn_local(async move {
                    while so_far.get() < LENGTH {
                        let some: Vec<u8> =
                            (so_far.get()..LENGTH.min(so_far.get() + 1000)).map(byte).collect();
                        far.write_all(&some).await.unwrap();
                        so_far.set(so_far.get() + some.len());
                    }
                    far.write_all(end).await.unwrap();
                    std::future::pending::<()>().await;
                });
                let pumped = spawn_local(async move {
                    pump(&mut near, &mut BytesMut::new(), &mut body, feed, PIECE).await
                });
                settle().await;
                assert!(given.get() <= PIPE + 3 * PIECE + 1000, "{} with nobody reading", given.get());
                let mut got = 0;
                while let Some(piece) = long.next().await {
                    assert!(
                        piece.len() <= PIECE && piece.iter().enumerate().all(|(n, b)| *b == byte(got + n))
                    );
                    got += piece.len();
                    assert!(given.get() <= got + PIPE + 3 * PIECE + 1000);
                }
                assert_eq!(got, LENGTH);
                assert_eq!(pumped.await.unwrap(), Ok(()));
            }
        });
    }

    /// A server that leaves, stands still or brings a wrong end: the client never has the last byte.
    #[test]
    fn a_value_that_breaks_off_is_never_whole() {
        testing::run(async {
            for (sent, end, told) in [
                (LENGTH - 1, &b""[..], None),
                (1000, b"", None),
                (LENGTH, b"xx", Some("a value without its end".to_owned())),
            ] {
                for stays in [true, false] {
                    let [(mut body, _), _] = bodies();
                    let (feed, long) = streamed_value(LENGTH);
                    let (mut near, mut far) = duplex(PIPE);
                    spawn_local(async move {
                        far.write_all(&vec![b'v'; sent]).await.unwrap();
                        far.write_all(end).await.unwrap();
                        if stays {
                            std::future::pending::<()>().await;
                        }
                    });
                    let pumped = spawn_local(async move {
                        pump(&mut near, &mut BytesMut::new(), &mut body, feed, PIECE).await
                    });
                    let mut got = 0;
                    while let Some(piece) = long.next().await {
                        got += piece.len();
                    }
                    assert!(got < LENGTH, "{got}");
                    assert_eq!(pumped.await.unwrap(), Err(told.clone()));
                }
            }
        });
    }
}
