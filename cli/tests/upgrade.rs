//! A process and its successor, which run beside each other for a while, and a request that comes to both.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Child;

use support::{address_in, config, daemon_command, send_signal, wait_for_line};

/// Starts a daemon, and returns it with its address.
fn start(server: &str, temporary: &std::path::Path) -> (Child, String) {
    let text = config("127.0.0.1:0", "127.0.0.1:1", server);
    let mut child = daemon_command(Some(&text)).env("TMPDIR", temporary).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let address = address_in(&wait_for_line(&mut log, "listening"));
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    (child, address)
}

/// Accepts connections until one has a request, and returns it.
fn next_request(server: &TcpListener) -> (TcpStream, String) {
    loop {
        let (stream, _) = server.accept().unwrap();
        let mut request = String::new();
        BufReader::new(stream.try_clone().unwrap()).read_line(&mut request).unwrap();
        if request.starts_with("mg ") {
            return (stream, request);
        }
    }
}

/// Guards against a request that must not run twice and does, as its client leaves and sends it once more to the successor
/// of the process that has forwarded it.
#[test]
fn an_id_that_ran_at_one_process_does_not_run_at_its_successor() {
    const REQUEST: &[u8] = b"mg k v O7 Pc=read,d=50000\r\n";
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let server_address = server.local_addr().unwrap().to_string();
    let temporary = tempfile::tempdir().unwrap();
    let (mut old, old_address) = start(&server_address, temporary.path());
    let (mut successor, successor_address) = start(&server_address, temporary.path());
    let mut first = TcpStream::connect(old_address).unwrap();
    first.write_all(REQUEST).unwrap();
    let _running = next_request(&server);
    drop(first);
    std::thread::spawn(move || {
        let (mut stream, _) = next_request(&server);
        stream.write_all(b"VA 1 O7 h1\r\nv\r\n").unwrap();
    });
    let mut second = TcpStream::connect(successor_address).unwrap();
    second.write_all(REQUEST).unwrap();
    let mut answer = String::new();
    BufReader::new(second).read_line(&mut answer).unwrap();
    for child in [&mut old, &mut successor] {
        send_signal(child, "-KILL");
        child.wait().unwrap();
    }
    assert_eq!(answer, "CLIENT_ERROR id in use\r\n");
}
