//! The admin interface: silent connections, malformed lines, metrics, and a stalled disk.

use super::*;
use crate::dispatcher::{Answer, AttemptEnd, Reply};
use crate::override_store::ChangeId;
use crate::testing::{self, log, request, RecordingTransport};
use juniperladder::Idempotency;
use tokio::io::{duplex, DuplexStream};
use tokio::time::Instant;

const MAX_CONNECTIONS: usize = 128;
const SERVER: &str = "s-00000009";

fn start_admin(dir: &std::path::Path) -> (Rc<Admin>, Rc<RecordingTransport>) {
    let recorder = Rc::new(RecordingTransport::default());
    let dispatcher = testing::dispatcher(testing::settings(1, Idempotency::Idempotent), recorder.clone(), 2);
    let class_names = vec!["read".into()];
    let connections = AdminConnections { open: Rc::default(), limit: MAX_CONNECTIONS };
    let path = dir.join("n0.bans");
    let admin = Admin::start(dispatcher, class_names, Rc::default(), path, connections, None, log());
    (admin, recorder)
}

async fn send_call(admin: &Rc<Admin>, chunks: &[&[u8]]) -> DuplexStream {
    let (server_end, mut client) = duplex(4096);
    admin.serve_in_task(server_end);
    for chunk in chunks {
        // A connection beyond the limit is closed at once.
        let _ = client.write_all(chunk).await;
        testing::yield_until_idle().await;
    }
    client
}

async fn read_answer(mut client: DuplexStream) -> String {
    let mut answer = String::new();
    client.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Guards against silent connections that block the admin interface: those that send nothing or an incomplete line take a
/// bounded number of slots, are closed at the timeout without an answer, and do not delay other calls.
#[test]
fn incomplete_calls_time_out_and_delay_no_other_call() {
    let dir = tempfile::tempdir().unwrap();
    testing::run_paused(async {
        let (admin, _) = start_admin(dir.path());
        let start = Instant::now();
        let mut incomplete = Vec::new();
        for n in 0..MAX_CONNECTIONS + 5 {
            incomplete.push(send_call(&admin, &[&b"HEALTH"[..n % 7]]).await);
            if n + 1 < MAX_CONNECTIONS {
                assert_eq!(read_answer(send_call(&admin, &[b"HEAL", b"TH\r\n"]).await).await, "ACK ready\n");
            }
        }
        assert_eq!((start.elapsed(), admin.connections.open.get()), (Duration::ZERO, MAX_CONNECTIONS));
        for client in incomplete {
            assert_eq!(read_answer(client).await, "");
        }
        assert_eq!((start.elapsed(), admin.connections.open.get()), (READ_IDLE_TIMEOUT, 0));
        assert_eq!(read_answer(send_call(&admin, &[b"HEALTH\n"]).await).await, "ACK ready\n");
    });
}

#[test]
fn a_malformed_line_is_answered_with_nak() {
    let dir = tempfile::tempdir().unwrap();
    testing::run_paused(async {
        let (admin, _) = start_admin(dir.path());
        let too_long = [b'x'; 300];
        for line in [
            &b"\n"[..],
            b"OFFLINE s-0000abcd\n",
            b"ONLINE a b\n",
            b"\xff\xfe\n",
            b"GET / HTTP/1.1\r\n",
            &too_long,
        ] {
            let answer = read_answer(send_call(&admin, &[line]).await).await;
            assert!(
                answer.starts_with("NAK ") && answer.ends_with('\n') && answer.lines().count() == 1,
                "{answer}"
            );
        }
    });
}

/// Compares the metrics with requests of known outcome.
#[test]
fn each_request_is_counted_once_in_its_class() {
    let dir = tempfile::tempdir().unwrap();
    testing::run_paused(async {
        let (admin, recorder) = start_admin(dir.path());
        let dispatcher = &admin.dispatcher;
        let value = Reply::Served(Answer::Value("v".into()));
        let mut answers = Vec::new();
        for (n, end) in
            [AttemptEnd::Reply(value.clone()), AttemptEnd::ConnectFailed, AttemptEnd::Reply(value)]
                .into_iter()
                .enumerate()
        {
            answers.push(dispatcher.accept(request(&n.to_string(), None)).unwrap());
            let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
            dispatcher.on_attempt_ended(attempt.id, end);
        }
        let _open = dispatcher.accept(request("9", None)).unwrap();
        assert!(admin.answer(Call::Offline(SERVER.into())).await.starts_with("ACK"));
        let dump = admin.answer(Call::Dump).await;
        for line in [
            "app_passed{category=\"read\"} 2",
            "app_dropped{category=\"read\"} 1",
            "app_bad_gateway{category=\"read\"} 0",
            "app_in_progress 1",
            "app_known_cache_hosts 2",
            "app_skipped_cache_hosts 1",
        ] {
            assert!(dump.lines().any(|dumped| dumped == line), "{line} is not in {dump}");
        }
        assert!(dump.starts_with("ACK ") && dump.ends_with("\n--\n"));
    });
}

/// Guards against calls that wait for the disk: while the override file is locked, calls are answered and take effect, and
/// the override is written once the lock is released.
#[test]
fn a_stalled_disk_delays_no_call() {
    let dir = tempfile::tempdir().unwrap();
    testing::run_on_sockets(async {
        let lock = std::fs::File::create(dir.path().join("n0.lock")).unwrap();
        lock.lock().unwrap();
        let (admin, _) = start_admin(dir.path());
        let answer = admin.answer(Call::Offline(SERVER.into())).await;
        assert_eq!(answer, format!("ACK {SERVER} out by hand; not kept for a successor yet\n"));
        assert_eq!(admin.answer(Call::Health).await, "ACK ready\n");
        assert_eq!(admin.dispatcher.offline_servers(), [SERVER]);
        lock.unlock().unwrap();
        admin.overrides.wait_until_attempted(ChangeId::default().next()).await;
        let stored = std::fs::read_to_string(dir.path().join("n0.bans")).unwrap();
        assert_eq!(stored, format!("juniperladder bans 1\n{SERVER}\nend\n"));
        let answer = admin.answer(Call::Offline(SERVER.into())).await;
        assert_eq!(
            answer,
            format!("ACK {SERVER} out by hand\n"),
            "the override is in the file, but the answer does not say so"
        );
    });
}
