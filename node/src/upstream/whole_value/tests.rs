use crate::buffer_pool::BufferPool;
use crate::dispatcher::{Answer, Reply};
use crate::testing::{self, request};
use crate::upstream::read_error::ReadError;
use crate::upstream::response::{read_cache_response, read_origin_response, ServerResponse};
use bytes::{Bytes, BytesMut};
use tokio::io::{duplex, AsyncWriteExt};
use tokio::task::spawn_local;

/// The longest value that is held whole.
const VALUE_BYTES: usize = 64 << 10;
/// A pool with room for a few of them.
const POOL_BYTES: usize = 1 << 20;

fn value() -> Vec<u8> {
    (0..VALUE_BYTES).map(|position| (position % 251) as u8).collect()
}

/// What a server sends in pieces of this size, whether it is the origin, and the name of the case.
async fn read(
    text: Vec<u8>,
    piece_bytes: usize,
    is_origin: bool,
    pool: &BufferPool,
) -> (Result<ServerResponse, ReadError>, BytesMut) {
    let (mut stream, mut server) = duplex(piece_bytes);
    spawn_local(async move {
        // The balancer may close once it has read enough.
        let _ = server.write_all(&text).await;
    });
    let mut input = BytesMut::new();
    let request = request("7", None);
    let response = if is_origin {
        read_origin_response(&mut stream, &mut input, &request, pool).await
    } else {
        read_cache_response(&mut stream, &mut input, &request, pool).await
    };
    (response, input)
}

fn cache_answer(following: &[u8]) -> Vec<u8> {
    [format!("VA {VALUE_BYTES} O7 h1\r\n").as_bytes(), &value(), following].concat()
}

fn origin_answer(is_chunked: bool) -> Vec<u8> {
    if is_chunked {
        let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{VALUE_BYTES:x}\r\n");
        [head.as_bytes(), &value(), b"\r\n0\r\n\r\n"].concat()
    } else {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {VALUE_BYTES}\r\n\r\n");
        [head.as_bytes(), &value()].concat()
    }
}

fn served_value(response: Result<ServerResponse, ReadError>) -> Bytes {
    match response {
        Ok(ServerResponse::Complete { reply: Reply::Served(Answer::Value(value)), .. }) => value,
        _ => panic!("not served with a whole value"),
    }
}

/// A value that is held whole is paid for in the pool from before it is read until it is dropped, and its buffer has its
/// size, however it arrives.
#[test]
fn a_whole_value_is_reserved_until_it_is_dropped() {
    testing::run_paused(async {
        let answers =
            [(cache_answer(b"\r\n"), false), (origin_answer(false), true), (origin_answer(true), true)];
        for (answer, is_origin) in answers {
            for piece_bytes in [97, 4096, 1 << 20] {
                let pool = BufferPool::new(POOL_BYTES);
                let (response, input) = read(answer.clone(), piece_bytes, is_origin, &pool).await;
                let served = served_value(response);
                assert_eq!(served, value());
                assert!(input.is_empty());
                assert!((VALUE_BYTES..VALUE_BYTES + 8192).contains(&pool.reserved_bytes()));
                drop(served);
                assert_eq!(pool.reserved_bytes(), 0);
            }
        }
    });
}

/// Without room in the pool, a value of known length must be streamed and not be rejected. A body without a length waits for
/// room.
#[test]
fn a_value_is_streamed_while_the_pool_is_used_up() {
    testing::run_paused(async {
        let pool = BufferPool::new(POOL_BYTES);
        let held = pool.reserve(POOL_BYTES - VALUE_BYTES).await;
        for (answer, is_origin) in [(cache_answer(b"\r\n"), false), (origin_answer(false), true)] {
            let (response, _) = read(answer, 4096, is_origin, &pool).await;
            assert!(matches!(response, Ok(ServerResponse::Streamed { length: VALUE_BYTES, .. })));
        }
        let task_pool = pool.clone();
        let waiting = spawn_local(async move { read(origin_answer(true), 4096, true, &task_pool).await.0 });
        testing::yield_until_idle().await;
        assert!(!waiting.is_finished());
        drop(held);
        assert_eq!(served_value(waiting.await.unwrap()), value());
    });
}

/// What follows a value must not be taken for the next answer, and a value with a wrong end must not be served.
#[test]
fn bytes_after_a_whole_value_are_kept_or_malformed() {
    testing::run_paused(async {
        let pool = BufferPool::new(POOL_BYTES);
        let (response, input) = read(cache_answer(b"\r\nEN O8"), 1 << 20, false, &pool).await;
        assert_eq!(served_value(response), value());
        assert_eq!(input, &b"EN O8"[..]);
        let (response, _) = read(cache_answer(b"xx"), 1 << 20, false, &pool).await;
        assert!(matches!(response, Err(ReadError::Malformed(_))));
        let (response, input) = read(cache_answer(b"\r"), 1 << 20, false, &pool).await;
        assert!(matches!(response, Err(ReadError::Disconnected)));
        // Otherwise the connection counts as closed for its idle time, before the first byte of an answer.
        assert!(!input.is_empty());
        drop(input);
        assert_eq!(pool.reserved_bytes(), 0);
    });
}

/// A length near the maximum must neither overflow the sum with what was received nor be buffered.
#[test]
fn a_body_of_the_maximum_length_is_not_buffered() {
    testing::run_paused(async {
        let chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nffffffffffffffff\r\nx";
        let stated = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\nx", u64::MAX);
        for text in [chunk, &stated] {
            let pool = BufferPool::new(POOL_BYTES);
            let (response, _) = read(text.into(), 4096, true, &pool).await;
            assert!(response.is_err(), "{text:?}");
            assert_eq!(pool.reserved_bytes(), 0);
        }
    });
}
