//! The daemon as a process that is told to end while a server still gives a long value.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use support::{address_in, config, daemon_command, send_signal, wait_for_line};

const VALUE_BYTES: usize = 300_000;
const PIECES: usize = 50;
/// The value takes longer than the time for answers of a graceful shutdown, which is under 3.7 s.
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// Gives its value in pieces to one reader.
fn start_slow_server(listener: TcpListener) -> JoinHandle<()> {
    thread::spawn(move || loop {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = String::new();
        BufReader::new(stream.try_clone().unwrap()).read_line(&mut request).unwrap();
        if !request.starts_with("mg ") {
            continue;
        }
        write!(stream, "VA {VALUE_BYTES} O7 h1\r\n").unwrap();
        for _ in 0..PIECES {
            thread::sleep(PIECE_PAUSE);
            if stream.write_all(&[b'v'; VALUE_BYTES / PIECES]).is_err() {
                return;
            }
        }
        let _ = stream.write_all(b"\r\n");
        return;
    })
}

/// Guards against a value that is cut off by the end of the process, which a graceful shutdown that nobody cuts short can
/// wait for.
#[test]
fn sigterm_does_not_cut_off_a_value_that_a_server_still_gives() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = server.local_addr().unwrap().to_string();
    let serving = start_slow_server(server);
    let mut child = daemon_command(Some(&config("127.0.0.1:0", &address, &address))).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut client = TcpStream::connect(address_in(&wait_for_line(&mut log, "listening"))).unwrap();
    client.write_all(b"mg k v O7 Pc=read,d=50000\r\n").unwrap();
    let mut received = vec![0; 1];
    client.read_exact(&mut received).unwrap();
    send_signal(&child, "-TERM");
    client.read_to_end(&mut received).unwrap();
    assert_eq!(received.len(), format!("VA {VALUE_BYTES} O7\r\n\r\n").len() + VALUE_BYTES);
    serving.join().unwrap();
    assert!(child.wait().unwrap().success());
}
