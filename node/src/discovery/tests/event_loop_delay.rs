//! Event loop delays: lists arrive and deadlines pass while the process is stalled.

use super::*;

/// Repetitions, because the order of branches that are ready at once is random.
const REPETITIONS: usize = 16;

fn list(version: u64) -> Vec<u8> {
    let object = format!("{{\"generation\":{version},\"reset\":true,\"instances\":[]}}\n");
    format!("{:x}\r\n{object}\r\n", object.len()).into_bytes()
}

/// Guards against a healthy watch that is taken for silent after a stall: a list that arrived meanwhile is handled before
/// the silence timeout, and discovery is not polled again.
#[test]
fn a_list_received_during_a_stall_keeps_its_watch() {
    for repetition in 0..REPETITIONS {
        testing::run_paused(async {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
            let balancer = balancer_at(listener.local_addr().unwrap(), POLL_AT_START, true);
            let (mut watch, _) = listener.accept().await.unwrap();
            watch.read_buf(&mut BytesMut::new()).await.unwrap();
            watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
            watch.write_all(&list(1)).await.unwrap();
            yield_until_idle().await;
            let counters = balancer.dispatcher.counters();
            assert_eq!(counters.endpoint_updates.get(), 1);
            watch.try_write(&list(2)).unwrap();
            tokio::time::advance(WATCH_SILENCE_TIMEOUT + Duration::from_millis(300)).await;
            yield_until_idle().await;
            assert_eq!(counters.endpoint_updates.get(), 2);
            assert_eq!(counters.discovery_failures.get(), 0, "repetition {repetition}");
        });
    }
}
