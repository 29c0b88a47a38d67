use super::*;
use crate::memcache::{read_response, Response};
use crate::testing::{self, request, yield_until_idle};
use juniperladder_dispatch::streamed_value::streamed_value;
use tokio::io::{duplex, AsyncWriteExt};
use tokio::task::spawn_local;

const VALUE_BYTES: usize = 4 << 20;
const CHUNK_BYTES: usize = 8 << 10;
const PIPE_BYTES: usize = 4 << 10;

/// Buffers for chunks of [`CHUNK_BYTES`], as the pool has no room for larger ones.
fn chunk_buffers() -> ChunkBuffers {
    ChunkBuffers { small_chunk_bytes: CHUNK_BYTES, pool: BufferPool::new(0) }
}

fn value_byte(at: usize) -> u8 {
    (at % 251) as u8
}

/// The body of a value in both protocols, with the bytes that end it.
fn bodies() -> [(ValueBody, &'static [u8]); 2] {
    let mut line = BytesMut::from(format!("VA {VALUE_BYTES} O7 h1\r\n").as_bytes());
    let Ok(Some(Response::Streamed { length: VALUE_BYTES, remaining })) =
        read_response(&mut line, &request("7", None), 0)
    else {
        panic!()
    };
    let mut response = http::Response::default();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {VALUE_BYTES}\r\n\r\n");
    response.read(&mut BytesMut::from(head.as_bytes())).unwrap();
    assert_eq!(response.streamed_length(), Some(VALUE_BYTES));
    [(ValueBody::Memcache(remaining), b"\r\n"), (ValueBody::Http(response), b"")]
}

/// A value of four megabytes must be forwarded completely and never be buffered: a client that does not read
/// blocks the server after a few chunks.
#[test]
fn a_large_value_passes_in_a_few_bounded_chunks() {
    testing::run_paused(async {
        for (mut body, end) in bodies() {
            let (sender, receiver) = streamed_value(VALUE_BYTES);
            let (mut stream, mut server) = duplex(PIPE_BYTES);
            let bytes_sent = std::rc::Rc::new(std::cell::Cell::new(0));
            let sent_counter = std::rc::Rc::clone(&bytes_sent);
            spawn_local(async move {
                while sent_counter.get() < VALUE_BYTES {
                    let piece: Vec<u8> = (sent_counter.get()..VALUE_BYTES.min(sent_counter.get() + 1000))
                        .map(value_byte)
                        .collect();
                    server.write_all(&piece).await.unwrap();
                    sent_counter.set(sent_counter.get() + piece.len());
                }
                server.write_all(end).await.unwrap();
                std::future::pending::<()>().await;
            });
            let forwarded = spawn_local(async move {
                forward_value(&mut stream, &mut BytesMut::new(), &mut body, sender, &chunk_buffers()).await
            });
            yield_until_idle().await;
            assert!(
                bytes_sent.get() <= PIPE_BYTES + 3 * CHUNK_BYTES + 1000,
                "{} bytes sent without a reader",
                bytes_sent.get()
            );
            let mut bytes_received = 0;
            while let Some(chunk) = receiver.next().await {
                assert!(
                    chunk.len() <= CHUNK_BYTES
                        && chunk.iter().enumerate().all(|(n, b)| *b == value_byte(bytes_received + n))
                );
                bytes_received += chunk.len();
                assert!(bytes_sent.get() <= bytes_received + PIPE_BYTES + 3 * CHUNK_BYTES + 1000);
            }
            assert_eq!(bytes_received, VALUE_BYTES);
            assert_eq!(forwarded.await.unwrap(), Ok(()));
        }
    });
}

/// If the server closes, stalls or ends the value wrongly, the client must never receive the last byte.
#[test]
fn an_interrupted_value_is_never_complete() {
    testing::run_paused(async {
        let missing_value_end = MalformedResponse::from(memcache::ResponseError::MissingValueEnd);
        assert_eq!(missing_value_end.to_string(), "no line end after the value");
        for (sent, end, error) in [
            (VALUE_BYTES - 1, &b""[..], ReadError::Disconnected),
            (1000, b"", ReadError::Disconnected),
            (VALUE_BYTES, b"xx", ReadError::Malformed(missing_value_end)),
        ] {
            for stalls in [true, false] {
                let [(mut body, _), _] = bodies();
                let (sender, receiver) = streamed_value(VALUE_BYTES);
                let (mut stream, mut server) = duplex(PIPE_BYTES);
                spawn_local(async move {
                    server.write_all(&vec![b'v'; sent]).await.unwrap();
                    server.write_all(end).await.unwrap();
                    if stalls {
                        std::future::pending::<()>().await;
                    }
                });
                let forwarded = spawn_local(async move {
                    forward_value(&mut stream, &mut BytesMut::new(), &mut body, sender, &chunk_buffers())
                        .await
                });
                let mut bytes_received = 0;
                while let Some(chunk) = receiver.next().await {
                    bytes_received += chunk.len();
                }
                assert!(bytes_received < VALUE_BYTES, "{bytes_received}");
                assert_eq!(forwarded.await.unwrap(), Err(error.clone()));
            }
        }
    });
}
