//! The daemon as a process with an overloaded discovery, which handles polls one after the other and answers slowly.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use support::{address_in, config, daemon_command, send_signal, start_cache_server, wait_for_line};

/// How long a poll is queued: longer than discovery's own limit of 2 s, beyond which it rejects polls at once.
const QUEUE_TIME: Duration = Duration::from_millis(2_300);

/// Reads the request on this connection up to its empty line.
fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut request = String::new();
    while !request.ends_with("\r\n\r\n") && reader.read_line(&mut request).unwrap() > 0 {}
    request
}

/// A response whose first chunk is an endpoint list, and which does not end.
fn list_response(generation: u64, drained: &str, serving: &str) -> String {
    let instance = |id: &str, address: &str, lifecycle: &str| {
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"x","machineType":"a","lifecycle":"{lifecycle}"}}"#
        )
    };
    let instances =
        [instance("s-00000001", drained, "terminating"), instance("s-00000002", serving, "in_service")];
    let text =
        format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}\n", instances.join(","));
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n", text.len())
}

/// Reads the value of this key.
fn read_value(client: &mut TcpStream, key: u64) -> String {
    client.write_all(format!("mg {key:016x} v O{key:016x} Pc=read,d=5000\r\n").as_bytes()).unwrap();
    let mut answer = BufReader::new(client.try_clone().unwrap());
    let (mut head, mut value) = (String::new(), [0; 3]);
    answer.read_line(&mut head).unwrap();
    assert!(head.starts_with("VA 1 "), "{head}");
    answer.read_exact(&mut value).unwrap();
    String::from_utf8_lossy(&value[..1]).into_owned()
}

/// Guards against abandoning a poll while it is queued: discovery would still answer it and count its changes as notified,
/// and a new poll would be queued behind all others. The list has to arrive on the first poll, after which the draining
/// server gets no further requests.
#[test]
fn a_queued_poll_is_not_abandoned() {
    let [draining_address, serving_address] = ["D", "S"].map(start_cache_server);
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery_address = discovery.local_addr().unwrap().to_string();
    let text = config("127.0.0.1:0", &discovery_address, &draining_address).replace(
        "\"instances\":[",
        &format!(
            "\"instances\":[{{\"instanceId\":\"s-00000002\",\"hostPort\":\"{serving_address}\",\"zone\":\"x\",\"machineType\":\"a\"}},"
        ),
    );
    let mut child = daemon_command(Some(&text)).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let listen = address_in(&wait_for_line(&mut log, "listening"));
    let mut client = TcpStream::connect(&listen).unwrap();
    let before: Vec<String> = (0..32).map(|key| read_value(&mut client, key)).collect();
    assert!(before.contains(&"D".to_owned()), "{before:?}");

    let (first, _) = discovery.accept().unwrap();
    assert!(read_request(&first).starts_with("GET /catalog/members?follow=1"));
    // The read ends at once if the balancer has abandoned the poll.
    first.set_read_timeout(Some(QUEUE_TIME)).unwrap();
    let read_result = (&first).read(&mut [0; 1]);
    assert!(read_result.is_err(), "the poll was abandoned while it was queued: {read_result:?}");
    (&first).write_all(list_response(42, &draining_address, &serving_address).as_bytes()).unwrap();
    wait_for_line(&mut log, "endpoint_list_version: 42");
    // The first connection has reached its idle timeout by now.
    let mut client = TcpStream::connect(&listen).unwrap();
    let after: Vec<String> = (32..64).map(|key| read_value(&mut client, key)).collect();
    assert!(after.iter().all(|value| value == "S"), "{after:?}");
    send_signal(&child, "-TERM");
    assert!(child.wait().unwrap().success());
}
