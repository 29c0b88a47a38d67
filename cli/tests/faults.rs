//! The daemon as a process whose system calls fail in the ways that Linux documents: each request is still answered
//! exactly once, and a transient failure does not prevent a start. A preloaded library (`support/faults.c`) injects the
//! failures.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::OnceLock;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use support::{
    address_in, config, daemon_command, send_signal, start_cache_server, wait_for_line, write_config_file,
};

/// The timeout of the test for an answer: far longer than any answer takes, and shorter than the request deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of requests in flight on one connection.
const PIPELINE_LENGTH: u64 = 4;
/// The number of consecutive connections.
const CONNECTION_COUNT: u64 = 32;
/// The number of cache servers; a request is sent to each at most once.
const SERVER_COUNT: usize = 6;

/// The path of the fault injection library, which is built once.
fn fault_library() -> &'static PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let name = format!("juniperladder-faults-{}.so", std::process::id());
        let path = std::env::temp_dir().join(name);
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/support/faults.c");
        let built = Command::new("cc")
            .args(["-O1", "-Wall", "-Werror", "-shared", "-fPIC", "-o"])
            .arg(&path)
            .args([source, "-ldl"])
            .status();
        assert!(built.unwrap().success());
        path
    })
}

/// The value that the servers return.
fn value() -> String {
    "v".repeat(300)
}

/// A running daemon with injected faults.
struct FaultyDaemon {
    child: Child,
    /// The address for clients.
    listen: String,
    /// Returns the rest of the log when the daemon has ended.
    log: JoinHandle<String>,
}

/// Starts the daemon with these faults.
fn start_with_faults(faults: &str) -> FaultyDaemon {
    let instance = |number: usize| {
        format!(
            r#"{{"instanceId":"s-0000000{number}","hostPort":"{}","zone":"x","machineType":"a"}},"#,
            start_cache_server(&value())
        )
    };
    let others: String = (2..=SERVER_COUNT).map(instance).collect();
    let text = config("127.0.0.1:0", "127.0.0.1:9", &start_cache_server(&value()))
        .replace("\"instances\":[", &format!("\"instances\":[{others}"))
        // A request that was certainly not executed may be retried.
        .replace("\"max-attempts\":1", "\"max-attempts\":5");
    let mut child =
        daemon_command(Some(&text)).env("LD_PRELOAD", fault_library()).env("FAULTS", faults).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let listen = address_in(&wait_for_line(&mut log, "listening"));
    let rest = thread::spawn(move || {
        let mut rest = String::new();
        log.read_to_string(&mut rest).unwrap();
        rest
    });
    FaultyDaemon { child, listen, log: rest }
}

/// The number of requests answered with their value, and with an error.
#[derive(Debug, Default, PartialEq)]
struct Answers {
    served: u64,
    errors: u64,
}

/// Sends pipelined requests on consecutive connections, and counts the answers.
fn send_requests(listen: &str) -> Answers {
    let mut counts = Answers::default();
    for connection in 0..CONNECTION_COUNT {
        let mut client = TcpStream::connect(listen).unwrap();
        client.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let mut answers = BufReader::new(client.try_clone().unwrap());
        let ids: Vec<u64> =
            (0..PIPELINE_LENGTH).map(|index| 1 + connection * PIPELINE_LENGTH + index).collect();
        for id in &ids {
            client.write_all(format!("mg {id:016x} v O{id:016x} Pc=read,d=50000\r\n").as_bytes()).unwrap();
        }
        for id in ids {
            let mut head = String::new();
            answers.read_line(&mut head).unwrap_or_else(|error| panic!("{id}: {error}"));
            if head == format!("VA 300 O{id:016x}\r\n") {
                let mut received = [0; 302];
                answers.read_exact(&mut received).unwrap();
                assert_eq!(&received[..], format!("{}\r\n", value()).as_bytes());
                counts.served += 1;
            } else {
                assert!(head.starts_with("SERVER_ERROR"), "{id}: {head:?}");
                counts.errors += 1;
            }
        }
    }
    counts
}

/// Asserts that every request is served despite these faults. Returns the rest of the log.
fn assert_all_served(faults: &str) -> String {
    let FaultyDaemon { mut child, listen, log } = start_with_faults(faults);
    let expected = Answers { served: CONNECTION_COUNT * PIPELINE_LENGTH, errors: 0 };
    assert_eq!(send_requests(&listen), expected, "{faults}");
    send_signal(&child, "-TERM");
    assert!(child.wait().unwrap().success(), "{faults}");
    log.join().unwrap()
}

/// The baseline of the other tests: without faults all requests are served.
#[test]
fn without_faults_all_requests_are_served() {
    assert_all_served("");
}

/// Guards against requests that stall after a short read or write, after which no further readiness event follows.
#[test]
fn short_reads_and_writes_lose_no_request() {
    for faults in ["recv=short/2", "send=short/2", "recv=short/1,send=short/1", "recv=short/4,send=short/3"] {
        assert_all_served(faults);
    }
}

/// Guards against treating a system call that a signal interrupted as a failed call.
#[test]
fn interrupted_calls_are_retried() {
    for faults in ["recv=EINTR/3", "send=EINTR/3", "epoll_wait=EINTR/2", "accept4=EINTR/2", "connect=EINTR/2"]
    {
        assert_all_served(faults);
    }
}

/// Guards against lost connections after a transient accept error: the connections stay in the backlog and are accepted
/// later.
#[test]
fn connections_are_served_after_failed_accepts() {
    for error in ["ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "EPROTO"] {
        assert_all_served(&format!("accept4={error}/2"));
    }
}

/// Guards against counting a local error against the server: a connection that this machine transiently cannot open is
/// retried, and not counted as a failed connection to the server.
#[test]
fn a_local_connect_error_is_retried_and_not_counted_against_the_server() {
    for faults in [
        "connect=EADDRNOTAVAIL/2",
        "connect=ENETUNREACH/2",
        "connect=ENOBUFS/2",
        "connect=EAGAIN/2",
        "socket=ENFILE/3",
    ] {
        let log = assert_all_served(faults);
        let last = log.lines().rfind(|line| line.contains("stopped")).unwrap();
        assert!(last.contains(" connect_failed=0 "), "{faults}: {last}");
        assert!(!last.contains(" moot=0 "), "{faults}: {last}");
    }
}

/// Guards against a start that fails because of a transient error.
#[test]
fn a_start_survives_transient_socket_errors() {
    for faults in [
        "socket=ENFILE/1/3",
        "socket=ENOBUFS/1/3",
        "bind=ENOBUFS/1/3",
        "bind=EADDRINUSE/1/3",
        "listen=ENOBUFS/1/3",
    ] {
        let FaultyDaemon { mut child, listen, .. } = start_with_faults(faults);
        let mut client = TcpStream::connect(&listen).unwrap();
        client.write_all(b"mn\r\n").unwrap();
        let mut answer = [0; 4];
        client.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"MN\r\n", "{faults}");
        send_signal(&child, "-TERM");
        assert!(child.wait().unwrap().success(), "{faults}");
    }
}

/// Guards against timers on the wall clock, which may jump by an hour forward or back at any time.
#[test]
fn steps_of_the_wall_clock_do_not_affect_timers() {
    for faults in ["clock=ahead/1", "clock=behind/1", "clock=ahead/2", "clock=behind/3"] {
        assert_all_served(faults);
    }
}

/// Guards against a start or reload that fails because of a transient read error of the configuration file.
#[test]
fn a_configuration_is_read_after_failed_opens() {
    for faults in ["open=EIO/1/3", "open=ENFILE/2"] {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let old_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let [before, after] = [&old_discovery, &discovery].map(|listener| {
            config("127.0.0.1:0", &listener.local_addr().unwrap().to_string(), &start_cache_server(&value()))
        });
        let path = write_config_file(&before);
        let mut child = daemon_command(None)
            .env("NODE_CONFIG", &path)
            .env("LD_PRELOAD", fault_library())
            .env("FAULTS", faults)
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        wait_for_line(&mut log, "listening");
        std::fs::write(&path, &after).unwrap();
        send_signal(&child, "-HUP");
        // A poll of the new address shows that the configuration was reloaded despite the faults.
        let (mut poll, _) = discovery.accept().unwrap();
        let mut method = [0; 4];
        poll.read_exact(&mut method).unwrap();
        assert_eq!(&method, b"GET ", "{faults}");
        send_signal(&child, "-TERM");
        assert!(child.wait().unwrap().success(), "{faults}");
    }
}
