//! A long value on its way, with a client that is slow or gone.

use super::*;
use crate::testing;

/// Whatever the pieces, the client gets the last byte only once the end was found right.
#[test]
fn the_last_byte_waits_for_the_end() {
    testing::run(async {
        for cut in [1, 3, 10] {
            for right in [true, false] {
                let (long, mut feed) = long(10);
                let listed_server = async move {
                    for piece in b"0123456789".chunks(cut) {
                        feed.push(Bytes::copy_from_slice(piece)).await.unwrap();
                    }
                    if right {
                        feed.finish().await.unwrap();
                    }
                };
                let client = async {
                    let mut got = Vec::new();
                    while let Some(piece) = long.next().await {
                        got.extend_from_slice(&piece);
                    }
                    got
                };
                let (got, ()) = tokio::join!(client, listed_server);
                assert_eq!(got, if right { &b"0123456789"[..] } else { b"012345678" });
            }
        }
    });
}

/// The server's side waits for the client, and ends when the client is gone.
#[test]
fn a_client_that_is_slow_holds_the_host_back() {
    testing::run(async {
        let (long, mut feed) = long(100);
        feed.push(Bytes::from_static(b"a")).await.unwrap();
        let second = feed.push(Bytes::from_static(b"b"));
        assert!(tokio::time::timeout(std::time::Duration::from_secs(9), second).await.is_err());
        drop(long);
        assert_eq!(feed.push(Bytes::from_static(b"c")).await, Err(Unwanted));
        feed.unwanted().await;
    });
}
