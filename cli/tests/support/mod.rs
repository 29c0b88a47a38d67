//! Fixtures of the tests that run the daemon as a process.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

/// A configuration with one cache server, and a discovery that must be polled.
pub fn config(listen: &str, discovery: &str, server: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},
        "known":{{"generation":41,"reset":true,"instances":[{{"instanceId":"s-00000001","hostPort":"{server}",
          "zone":"x","machineType":"a","cell":0,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}}]}},
        "settings":{{"az":0,"balancers":1,"categories":[{{"aim":60000000,"effect":"side_effect","give-up":60000000,
          "name":"read","worth":1.0}}],"kinds":["a"],"zones":["x"],"tick":5000,"membership-mode":"subscribe",
        "limits":{{"conn-idle":5000000,"connect-timeout":60000000,"max-attempts":1,"retry-after":true}},
        "rules":{{"ask-within":10000000,"cold-share":0.32,"warm-up":9000000}}}}}}"#
    )
}

/// Writes a new configuration file with this content.
pub fn write_config_file(content: &str) -> PathBuf {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    let name = format!("juniperladder-test-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// The command that starts the daemon with this configuration.
pub fn daemon_command(config: Option<&str>) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperladder"));
    command.env_remove("NODE_CONFIG").stdout(Stdio::piped()).stderr(Stdio::piped());
    if let Some(text) = config {
        command.env("NODE_CONFIG", write_config_file(text));
    }
    command
}

/// Sends a signal, given as an option of `kill`.
pub fn send_signal(child: &Child, signal: &str) {
    assert!(Command::new("kill").args([signal, &child.id().to_string()]).status().unwrap().success());
}

/// Reads the log up to the next line that contains this text, and returns that line.
pub fn wait_for_line(log: &mut impl BufRead, text: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).unwrap() > 0, "the log ends without {text}");
        if line.contains(text) {
            return line;
        }
    }
}

/// The address in a line of the log.
pub fn address_in(line: &str) -> String {
    let rest = line.split("address: ").nth(1).expect("an address");
    rest.split(',').next().unwrap().trim().to_owned()
}

/// Sends an admin call, and returns the complete answer.
pub fn send_admin_call(address: &str, line: &str) -> String {
    let mut operator = TcpStream::connect(address).unwrap();
    operator.write_all(line.as_bytes()).unwrap();
    let mut answer = String::new();
    operator.read_to_string(&mut answer).unwrap();
    answer
}

/// Starts a cache server that answers every request with this value. Returns its address.
pub fn start_cache_server(value: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let value = value.to_owned();
    thread::spawn(move || loop {
        let Ok((mut stream, _)) = listener.accept() else { return };
        let value = value.clone();
        thread::spawn(move || {
            for line in BufReader::new(stream.try_clone().unwrap()).lines() {
                let Ok(line) = line else { return };
                let id = line.split(' ').find(|token| token.starts_with('O')).unwrap();
                let answer = format!("VA {} {id} h1\r\n{value}\r\n", value.len());
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    });
    address
}
