//! Clients on loopback whose requests cannot be read, for want of a buffer or as the origin takes no more of a value.

use juniperladder::CacheMode;

use super::*;
use crate::buffer_pool::BufferKind;

const LONG_VALUE_BYTES: usize = 64 << 10;
const SHORT_VALUE_BYTES: usize = 4 << 10;
const STREAMED_VALUE_BYTES: usize = 1 << 20;
/// The `d` of the requests.
const TIME_LIMIT: Duration = Duration::from_millis(480);
/// Longer than any wait that a test checks for its end.
const FAR_LONGER: Duration = Duration::from_secs(20);

fn write_line(id: &str, bytes: usize) -> Vec<u8> {
    format!("ms k {bytes} O{id} Pc=read,d={}\r\n", TIME_LIMIT.as_millis()).into_bytes()
}

fn write(id: &str, bytes: usize) -> Vec<u8> {
    [write_line(id, bytes), vec![b'w'; bytes], b"\r\n".to_vec()].concat()
}

async fn read_line(client: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(client.read_u8().await.unwrap());
    }
    String::from_utf8(line).unwrap()
}

/// Guards against clients that write slowly and keep all buffers from the others: a short value that was written whole
/// is read at once.
#[test]
fn a_complete_value_does_not_wait_for_clients_that_write_slowly() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream_with(&recorder, BufferPool::new(FEW_BUFFER_BYTES));
        let mut slow_clients = Vec::new();
        for id in ["1", "2", "3"] {
            let mut client = connect(&downstream).await;
            client.write_all(&write_line(id, LONG_VALUE_BYTES)).await.unwrap();
            client.write_all(&[b'w'; SHORT_VALUE_BYTES]).await.unwrap();
            slow_clients.push(client);
        }
        while downstream.buffers.reserved_bytes() < LONG_VALUE_BYTES {
            sleep(Duration::from_millis(1)).await;
        }
        let mut client = connect(&downstream).await;
        client.write_all(&write("4", SHORT_VALUE_BYTES)).await.unwrap();
        let attempt = async {
            loop {
                sleep(Duration::from_millis(1)).await;
                if let Some(attempt) = recorder.started_attempts.borrow_mut().pop() {
                    return attempt;
                }
            }
        };
        let attempt = timeout(TIME_LIMIT, attempt).await.expect("the value was not read");
        assert_eq!(attempt.request.id, "4");
    });
}

/// Guards against a request that is answered only after its time, as it waits unread for a buffer.
#[test]
fn a_value_that_finds_no_buffer_is_rejected_in_time() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream_with(&recorder, BufferPool::new(FEW_BUFFER_BYTES));
        let _all = downstream.buffers.try_reserve(BufferKind::Request, FEW_BUFFER_BYTES).unwrap();
        let mut client = connect(&downstream).await;
        client.write_all(&write("1", SHORT_VALUE_BYTES)).await.unwrap();
        let answer = timeout(TIME_LIMIT, read_line(&mut client)).await.expect("no answer in time");
        assert_eq!(answer, "SERVER_ERROR busy\r\n");
        client.write_all(b"mn\r\n").await.unwrap();
        assert_eq!(read_line(&mut client).await, "MN\r\n");
        assert!(recorder.started_attempts.borrow().is_empty());
    });
}

/// Guards against the wait of a value that is invalid being counted as that of the next request.
#[test]
fn the_wait_of_an_invalid_value_does_not_count_for_the_next_request() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream_with(&recorder, BufferPool::new(FEW_BUFFER_BYTES));
        let all = downstream.buffers.try_reserve(BufferKind::Request, FEW_BUFFER_BYTES).unwrap();
        let mut client = connect(&downstream).await;
        let unknown_class = String::from_utf8(write("1", SHORT_VALUE_BYTES)).unwrap().replace("read", "none");
        client.write_all(unknown_class.as_bytes()).await.unwrap();
        sleep(TIME_LIMIT / 4).await;
        drop(all);
        assert_eq!(read_line(&mut client).await, "CLIENT_ERROR unknown class\r\n");
        sleep(TIME_LIMIT).await;
        client.write_all(b"mg k v O2 Pc=read,d=480\r\n").await.unwrap();
        sleep(TIME_LIMIT / 4).await;
        assert_eq!(recorder.started_attempts.borrow().len(), 1, "the request was not forwarded");
    });
}

/// Guards against a request that is answered only when the origin reads again, though its client has written all of it.
#[test]
fn a_streamed_value_that_the_origin_does_not_take_is_rejected_in_time() {
    testing::run_on_sockets(async {
        let recorder = Rc::new(RecordingTransport::default());
        let mode = CacheMode::CacheAside(testing::ORIGIN);
        let settings = Settings { mode, ..testing::settings(1, Idempotency::NotIdempotent) };
        let downstream = downstream_of(settings, &recorder, testing::buffers());
        let mut origin =
            testing::listed_server(juniperladder::ServerId(1), juniperladder::EndpointState::Serving);
        origin.endpoint.kind = testing::ORIGIN;
        downstream.dispatcher.on_endpoints_changed(juniperladder::EndpointUpdate::Delta, &[origin]);
        let mut client = connect(&downstream).await;
        client.write_all(&write("1", STREAMED_VALUE_BYTES)).await.unwrap();
        let answer = timeout(TIME_LIMIT, read_line(&mut client)).await.expect("no answer in time");
        assert_eq!(answer, "SERVER_ERROR busy\r\n");
        let mut upload = recorder.uploads.borrow_mut().pop().unwrap();
        assert!(upload.last_byte.try_recv().is_err(), "the value was forwarded whole");
        client.write_all(b"mn\r\n").await.unwrap();
        let answer = timeout(FAR_LONGER, read_line(&mut client)).await.expect("the value is not skipped");
        assert_eq!(answer, "MN\r\n");
    });
}
