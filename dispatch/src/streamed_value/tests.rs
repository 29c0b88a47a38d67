use super::*;
use crate::testing;

/// Guards against a truncated value that looks complete to the client, for any division into chunks.
#[test]
fn the_last_byte_is_sent_only_after_a_well_formed_end() {
    testing::run_paused(async {
        for chunk_bytes in [1, 3, 10] {
            for is_end_well_formed in [true, false] {
                let (mut sender, receiver) = streamed_value(10);
                let server = async move {
                    for chunk in b"0123456789".chunks(chunk_bytes) {
                        sender.send(Bytes::copy_from_slice(chunk)).await.unwrap();
                    }
                    if is_end_well_formed {
                        sender.finish().await.unwrap();
                    }
                };
                let client = async {
                    let mut received = Vec::new();
                    while let Some(chunk) = receiver.next().await {
                        received.extend_from_slice(&chunk);
                    }
                    received
                };
                let (received, ()) = tokio::join!(client, server);
                assert_eq!(received, if is_end_well_formed { &b"0123456789"[..] } else { b"012345678" });
            }
        }
    });
}

/// Guards against unbounded buffering for a slow client, and against a sender that waits for a client that is gone.
#[test]
fn a_sender_waits_for_a_slow_client_until_the_client_is_gone() {
    testing::run_paused(async {
        let (mut sender, receiver) = streamed_value(100);
        sender.send(Bytes::from_static(b"a")).await.unwrap();
        let second = sender.send(Bytes::from_static(b"b"));
        assert!(tokio::time::timeout(std::time::Duration::from_secs(9), second).await.is_err());
        drop(receiver);
        assert_eq!(sender.send(Bytes::from_static(b"c")).await, Err(ChunkSendError));
        sender.wait_for_receiver_gone().await;
    });
}
