//! The daemon as a process: a failed start, a graceful shutdown with a request in flight, a reload, and a replacement by
//! another process.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStderr, ExitStatus};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use support::{
    address_in, config, daemon_command, send_admin_call, send_signal, wait_for_line, write_config_file,
};

#[test]
fn a_failed_start_exits_with_an_error_of_one_line() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let with_address_in_use =
        config(&listener.local_addr().unwrap().to_string(), "127.0.0.1:1", "127.0.0.1:1");
    for text in [None, Some("{\"name\":"), Some(with_address_in_use.as_str())] {
        let output = daemon_command(text).output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(error.starts_with("juniperladder: ") && error.lines().count() == 1, "{error:?}");
    }
}

/// Guards against requests lost in a shutdown: the request in flight is answered, then the client connections are closed
/// and the counters are logged.
#[test]
fn sigterm_ends_the_daemon_after_the_last_answer() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = server.local_addr().unwrap().to_string();
    let mut child = daemon_command(Some(&config("127.0.0.1:0", &address, &address))).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut client = TcpStream::connect(address_in(&wait_for_line(&mut log, "listening"))).unwrap();
    let mut answers = BufReader::new(client.try_clone().unwrap());
    client.write_all(b"mn\r\nmg 7f3a9c21e0b4d655 v O7 Pc=read,d=50000\r\n").unwrap();
    let mut answer = String::new();
    answers.read_line(&mut answer).unwrap();
    assert_eq!(answer, "MN\r\n");
    // The server has the request before the signal is sent, and answers after it.
    let (signal_sent, wait_for_signal) = mpsc::channel::<()>();
    let (received, wait_for_request) = mpsc::channel::<String>();
    let serving = thread::spawn(move || loop {
        let (mut stream, _) = server.accept().unwrap();
        let mut request = String::new();
        BufReader::new(stream.try_clone().unwrap()).read_line(&mut request).unwrap();
        if request.starts_with("mg ") {
            received.send(request).unwrap();
            wait_for_signal.recv().unwrap();
            return stream.write_all(b"VA 5 O7 h1\r\nhello\r\n").unwrap();
        }
    });
    assert!(wait_for_request.recv().unwrap().starts_with("mg 7f3a9c21e0b4d655 v O7 Pc=read,d="));
    send_signal(&child, "-TERM");
    signal_sent.send(()).unwrap();
    let mut rest = String::new();
    answers.read_to_string(&mut rest).unwrap();
    assert_eq!(rest, "VA 5 O7\r\nhello\r\n");
    serving.join().unwrap();
    assert!(child.wait().unwrap().success());
    let mut rest_of_log = String::new();
    log.read_to_string(&mut rest_of_log).unwrap();
    assert!(rest_of_log.contains("commands=1") && rest_of_log.contains("served=1"), "{rest_of_log}");
}

/// Guards against a reload that keeps the old address of discovery, or that ends the daemon when the configuration is
/// malformed or unchanged.
#[test]
fn sighup_reloads_the_address_of_discovery() {
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let [before, after] =
        [&old, &new].map(|discovery| config("127.0.0.1:0", &discovery.local_addr().unwrap().to_string(), ""));
    let path = write_config_file(&before);
    let mut child = daemon_command(None).env("NODE_CONFIG", &path).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    wait_for_line(&mut log, "listening");
    std::fs::write(&path, &after[..after.len() / 2]).unwrap();
    send_signal(&child, "-HUP");
    wait_for_line(&mut log, "configuration reload failed");
    std::fs::write(&path, &after).unwrap();
    send_signal(&child, "-HUP");
    let (watch, _) = new.accept().unwrap();
    let mut call = String::new();
    BufReader::new(watch).read_line(&mut call).unwrap();
    assert_eq!(
        call, "GET /catalog/members?follow=1 HTTP/1.1\r\n",
        "the first poll of the new discovery has to request the complete list"
    );
    // A reload without changes leaves the daemon running.
    send_signal(&child, "-HUP");
    wait_for_line(&mut log, "configuration reloaded");
    send_signal(&child, "-TERM");
    assert!(child.wait().unwrap().success());
}

/// A running daemon with an admin interface.
struct AdministeredDaemon {
    child: Child,
    log: BufReader<ChildStderr>,
    listen: String,
    admin: String,
}

/// Starts a daemon whose endpoint list has one reachable cache server and an unreachable one.
fn start_administered(listen: &str, discovery: &str, server: &str, temporary: &Path) -> AdministeredDaemon {
    let text = config(listen, discovery, server)
        // The regular poll interval is longer than the test.
        .replace("\"ask-within\":10000000", "\"ask-within\":3600000000")
        .replace("\"seed\"", "\"mgmt\":\"127.0.0.1:0\",\"seed\"")
        .replace(
            "\"instances\":[",
            "\"instances\":[{\"instanceId\":\"s-00000002\",\"hostPort\":\"127.0.0.1:1\"},",
        );
    let mut child = daemon_command(Some(&text)).env("TMPDIR", temporary).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let listen = address_in(&wait_for_line(&mut log, "listening"));
    let admin = address_in(&wait_for_line(&mut log, "operators' address"));
    AdministeredDaemon { child, log, listen, admin }
}

/// Reads one line from this connection.
fn read_line(stream: TcpStream) -> String {
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line
}

/// Asserts that a new client connection is accepted and answered.
fn assert_admitted(listen: &str) {
    let mut client = TcpStream::connect(listen).unwrap();
    client.write_all(b"mn\r\n").unwrap();
    let mut answer = [0; 4];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"MN\r\n");
}

/// Asserts that the successor has restored the override, and that it polls discovery at once rather than at the regular
/// interval.
fn assert_taken_over(successor: &AdministeredDaemon, discovery: &TcpListener) {
    let poll = read_line(discovery.accept().unwrap().0);
    assert!(poll.starts_with("GET /catalog/members?follow=1"), "{poll}");
    assert_eq!(send_admin_call(&successor.admin, "HEALTH\n"), "ACK ready\n");
    assert!(send_admin_call(&successor.admin, "DUMP\n").contains("app_skipped_cache_hosts 1\n"));
    assert_eq!(send_admin_call(&successor.admin, "ONLINE s-0000ffff\n").split(' ').next(), Some("NAK"));
}

/// Asserts that every new client is admitted until the replaced process has ended, and once more afterwards. The replaced
/// process's request in flight is answered after more than 20 new clients.
fn assert_no_interruption(
    listen: &str,
    ending: &JoinHandle<ExitStatus>,
    client: &mut TcpStream,
    server: &mut TcpStream,
) {
    let mut admitted = 0;
    let mut is_answered = false;
    loop {
        let has_ended = ending.is_finished();
        assert_admitted(listen);
        admitted += 1;
        if !is_answered && admitted > 20 {
            server.write_all(b"VA 5 O7 h1\r\nhello\r\n").unwrap();
            let mut answer = String::new();
            client.read_to_string(&mut answer).unwrap();
            assert_eq!(answer, "VA 5 O7\r\nhello\r\n");
            is_answered = true;
        }
        if has_ended && is_answered {
            return;
        }
    }
}

/// Guards against refused clients and lost requests when one process replaces another on the same address: clients are
/// admitted without interruption, and the old process answers its request in flight before it ends.
#[test]
fn a_successor_takes_over_without_interruption() {
    let directory = std::env::temp_dir().join(format!("juniperladder-replaced-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let [server, discovery, silent_discovery] = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let [server_address, discovery_address, silent_discovery_address] =
        [&server, &discovery, &silent_discovery].map(|listener| listener.local_addr().unwrap().to_string());
    let old = start_administered("127.0.0.1:0", &silent_discovery_address, &server_address, &directory);
    assert_eq!(send_admin_call(&old.admin, "OFFLINE s-00000002\n"), "ACK s-00000002 out by hand\n");
    let mut client = TcpStream::connect(&old.listen).unwrap();
    client.write_all(b"mg 7f3a9c21e0b4d655 v O7 Pc=read,d=50000\r\n").unwrap();
    let (mut at_server, _) = server.accept().unwrap();
    let request = read_line(at_server.try_clone().unwrap());
    assert!(request.starts_with("mg 7f3a9c21e0b4d655 v O7 "), "{request}");

    let mut successor = start_administered(&old.listen, &discovery_address, &server_address, &directory);
    assert_taken_over(&successor, &discovery);

    let AdministeredDaemon { child: mut old, log: mut old_log, listen, admin: old_admin } = old;
    send_signal(&old, "-TERM");
    wait_for_line(&mut old_log, "stopping");
    // Further signals, for termination or a reload, do not change the shutdown.
    send_signal(&old, "-TERM");
    send_signal(&old, "-HUP");
    assert!(send_admin_call(&old_admin, "HEALTH\n").starts_with("NAK stopping"));
    let ending = thread::spawn(move || {
        wait_for_line(&mut old_log, "stopped");
        old.wait().unwrap()
    });
    assert_no_interruption(&listen, &ending, &mut client, &mut at_server);
    assert!(ending.join().unwrap().success(), "the old process exited with an error");
    send_signal(&successor.child, "-TERM");
    assert!(successor.child.wait().unwrap().success());
    std::fs::remove_dir_all(&directory).unwrap();
}
