//! The origin over HTTP. What its answers look like on the wire is the case's own matter.

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::platform::{
    listen, read_origin_request, receipt_of, value_of, Caches, Listed, OriginRequest, Random,
};
use crate::run::Run;

/// How long the origin works on a request, at least; up to 60 ms are added.
const WORK: Duration = Duration::from_millis(93);

/// The origin's side of one connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub writer: TcpStream,
}

impl Connection {
    /// Whether no request, or part of one, has come and waits.
    pub fn has_nothing_waiting(&self) -> bool {
        let _ = self.writer.set_nonblocking(true);
        let peeked = self.writer.peek(&mut [0]);
        let _ = self.writer.set_nonblocking(false);
        let is_silent = matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        is_silent && self.reader.buffer().is_empty()
    }
}

/// Starts the origin. `answer` writes the answer with this body to a request; false ends the connection.
pub fn start_origin(
    run: &Arc<Run>,
    caches: &Arc<Caches>,
    random: &Arc<Random>,
    answer: impl Fn(&mut Connection, &OriginRequest, &str) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let (run, caches, random) = (Arc::clone(run), Arc::clone(caches), Arc::clone(random));
    let known_keys = Mutex::default();
    listen(move |stream| {
        let writer = stream.try_clone().expect("a second handle");
        let mut connection = Connection { reader: BufReader::new(stream), writer };
        while let Some(request) = read_origin_request(&mut connection.reader) {
            thread::sleep(WORK + Duration::from_millis(random.below(60)));
            let body = execute(&run, &caches, &known_keys, &request);
            if !answer(&mut connection, &request, &body) {
                return;
            }
        }
    })
}

/// Executes the request and returns the body of its answer. A repeat of a keyed write is dropped.
fn execute(
    run: &Run,
    caches: &Caches,
    known_keys: &Mutex<HashSet<String>>,
    request: &OriginRequest,
) -> String {
    let OriginRequest { id, key, idempotency_key, is_write } = request;
    if *is_write {
        let is_new = known_keys.lock().unwrap().insert(idempotency_key.clone());
        run.note(&format!("origin runs write {id} of {key}, k={idempotency_key}, new: {is_new}"));
        caches.drop_copies(key);
        return receipt_of(idempotency_key);
    }
    run.note(&format!("origin runs read {id} of {key}"));
    caches.on_fetched(id);
    String::from_utf8(value_of(key)).expect("text")
}

/// A good answer with this body.
pub fn good_answer(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Writes the whole text at once.
pub fn write_all(connection: &mut Connection, text: &str) -> bool {
    connection.writer.write_all(text.as_bytes()).is_ok()
}

/// The origin's entry in the list.
pub fn listed_origin(address: SocketAddr) -> Listed {
    Listed { id: "s-000000ff".into(), address, zone: "westlands", kind: "origin" }
}
