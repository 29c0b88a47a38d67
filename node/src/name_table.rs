//! The name table: discovery's list, and the watch on its changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use juniperladder::{Entry, ListKind, State};
pub use juniperladder_exchange::numbers::{hash, key, server};
use serde::Deserialize;
use slog::{info, warn, Logger};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::clock::from_ms;
use crate::counters::count;
use crate::exchange::{Exchange, Host};
use crate::http::{write_call, Response};

/// Discovery writes a line at least every two seconds; a watch silent for this long is dead, as a
/// machine that is cut off says nothing and its connection stays open.
const SILENCE: Duration = Duration::from_secs(5);
/// How long discovery's first line may take.
const CALL: Duration = Duration::from_secs(4);
/// The longest line of a watch.
const MAX_LINE: usize = 4 * 1024 * 1024;

/// The names that stand for the settings' numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

/// A list, or the changes to one, in discovery's form.
#[derive(Debug, Default, Deserialize)]
pub struct Catalog {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u32,
    #[serde(default = "in_service")]
    lifecycle: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_at_ms: u64,
}

fn in_service() -> String {
    "in_service".into()
}

fn one() -> f64 {
    1.0
}

/// Discovery's list in the module's terms.
#[derive(Debug, Default)]
pub struct NameTable {
    names: Names,
    generation: Option<u64>,
}

impl NameTable {
    /// An empty table.
    pub fn new(names: Names) -> NameTable {
        NameTable { names, ..NameTable::default() }
    }

    /// Takes a list or its changes in; entries that make no sense are left out and told.
    pub fn take(&mut self, catalog: Catalog, log: &Logger) -> (ListKind, Vec<Host>) {
        let kind = if catalog.reset { ListKind::Replace } else { ListKind::Update };
        self.generation = Some(catalog.generation);
        let mut hosts = Vec::with_capacity(catalog.instances.len());
        for instance in catalog.instances {
            let state = match instance.lifecycle.as_str() {
                "in_service" => State::Serving,
                "terminated" => State::Deleted,
                "terminating" => State::Draining,
                other => {
                    // A state this balancer does not know is no reason to send there.
                    warn!(log, "unknown lifecycle"; "host" => &instance.instance_id, "lifecycle" => other);
                    State::Draining
                }
            };
            let address: Option<SocketAddr> = instance.host_port.parse().ok();
            if address.is_none() && state != State::Deleted {
                warn!(log, "no address"; "host" => &instance.instance_id, "address" => &instance.host_port);
                continue;
            }
            let place = |names: &[String], name: &str| {
                names.iter().position(|n| n == name).map_or(u32::MAX, |place| place as u32)
            };
            let entry = Entry {
                server: server(&instance.instance_id),
                zone: place(&self.names.zones, &instance.zone),
                kind: place(&self.names.kinds, &instance.machine_type),
                cell: instance.cell,
                state,
                weight: instance.weight,
                started: from_ms(instance.started_at_ms),
            };
            hosts.push(Host { entry, address });
        }
        (kind, hosts)
    }

    fn path(&self) -> String {
        match self.generation {
            Some(generation) => format!("/catalog/members?follow=1&since={generation}"),
            None => "/catalog/members?follow=1".into(),
        }
    }
}

/// Watches discovery whenever the module asks for it, and tells the module what comes. When the address
/// changes it turns to the new one at once, whatever the old one still says.
pub async fn follow(
    mut table: NameTable,
    mut discovery: watch::Receiver<SocketAddr>,
    exchange: Rc<Exchange>,
    mut at_once: bool,
    log: Logger,
) {
    let mut turned = false;
    // A process that replaces another starts from a list that may be old, and what discovery says binds it
    // soon after its start: it asks at once, not when the module would.
    loop {
        if !std::mem::take(&mut at_once) && !turned {
            tokio::select! {
                () = exchange.watch_wanted() => {}
                turn = discovery.changed() => turned = turn.is_ok(),
            }
        }
        if turned {
            // Another service may count its versions otherwise: it is asked for the whole list.
            table.generation = None;
        }
        let address = *discovery.borrow_and_update();
        let heard = tokio::select! {
            heard = watch(&mut table, address, &exchange, &log) => heard,
            Ok(()) = discovery.changed() => {
                turned = true;
                continue;
            }
        };
        turned = false;
        let problem = heard.err().unwrap_or_else(|| "the watch has ended".to_owned());
        // The module spaces the calls out: it asks again after a wait of its own.
        warn!(log, "discovery"; "problem" => problem);
        count(&exchange.counters().discovery_failures);
        exchange.listed(ListKind::Unavailable, &[]);
    }
}

async fn watch(
    table: &mut NameTable,
    discovery: SocketAddr,
    exchange: &Exchange,
    log: &Logger,
) -> Result<(), String> {
    let connect = timeout(CALL, TcpStream::connect(discovery)).await;
    let stream = connect.map_err(|_| "no connection in time".to_owned())?.map_err(|e| e.to_string())?;
    hear(table, stream, &discovery.to_string(), exchange, log).await
}

/// Asks for the changes on this connection and takes them in until it ends.
async fn hear<S: AsyncRead + AsyncWrite + Unpin>(
    table: &mut NameTable,
    mut stream: S,
    name: &str,
    exchange: &Exchange,
    log: &Logger,
) -> Result<(), String> {
    let lost = |e: std::io::Error| e.to_string();
    let mut call = BytesMut::new();
    write_call(&mut call, &table.path(), name);
    stream.write_all(&call).await.map_err(lost)?;
    let (mut response, mut input) = (Response::default(), BytesMut::new());
    loop {
        let read = timeout(SILENCE, stream.read_buf(&mut input)).await;
        if read.map_err(|_| "silent".to_owned())?.map_err(lost)? == 0 {
            return Ok(());
        }
        response.read(&mut input)?;
        if let Some(head) = response.head.as_ref().filter(|head| head.status != 200) {
            return Err(format!("status {}", head.status));
        }
        while let Some(end) = memchr::memchr(b'\n', &response.body) {
            let mut line = response.body.split_to(end + 1);
            if line.trim_ascii().is_empty() {
                continue;
            }
            let catalog = simd_json::from_slice::<Catalog>(&mut line);
            let catalog = catalog.map_err(|e| format!("not a list: {e}"))?;
            if let Some(known) =
                table.generation.filter(|known| !catalog.reset && catalog.generation < *known)
            {
                // Changes to an older list than this one cannot be told apart from its own: the list stands, and
                // the whole one is asked for when the module asks again.
                table.generation = None;
                return Err(format!("generation {} after {known} without a reset", catalog.generation));
            }
            let (kind, hosts) = table.take(catalog, log);
            count(&exchange.counters().lists);
            info!(log, "list"; "generation" => table.generation, "whole" => kind == ListKind::Replace,
                "entries" => hosts.len());
            exchange.listed(kind, &hosts);
        }
        if response.body.len() > MAX_LINE {
            return Err("a line without an end".into());
        }
        if response.done {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests {
    use juniperladder::{Key, ServerId};

    use super::*;
    use crate::testing::{self, log, Recorder};
    use juniperladder::Effect;
    use std::collections::HashSet;

    fn names() -> Names {
        Names { zones: vec!["east".into(), "west".into()], kinds: vec!["m1".into(), "origin".into()] }
    }

    fn catalog(text: &str) -> Catalog {
        simd_json::from_slice(&mut text.as_bytes().to_vec()).unwrap()
    }

    #[test]
    fn entries_are_mapped_as_the_settings_have_them() {
        let text = r#"{"generation":41,"reset":true,"more":1,"instances":[
            {"instanceId":"s-5be2a07c","hostPort":"127.0.0.1:5","zone":"west","machineType":"origin","cell":3,
             "lifecycle":"terminating","weight":1.5,"startedAtMs":7},
            {"instanceId":"s-00000001","hostPort":"nowhere","zone":"west"},
            {"instanceId":"s-00000002","hostPort":"127.0.0.1:6","zone":"north","lifecycle":"terminated"}]}"#;
        let mut table = NameTable::new(names());
        let (kind, hosts) = table.take(catalog(text), &log());
        assert_eq!(kind, ListKind::Replace);
        let [origin, gone] = &hosts[..] else { panic!("one has no address: {hosts:?}") };
        let entry = &origin.entry;
        assert_eq!((entry.server, entry.zone, entry.kind, entry.cell), (ServerId(0x5be2_a07c), 1, 1, 3));
        assert_eq!((entry.state, entry.weight, entry.started), (State::Draining, 1.5, from_ms(7)));
        assert_eq!((gone.entry.state, gone.entry.zone), (State::Deleted, u32::MAX));
        assert_eq!(table.path(), "/catalog/members?follow=1&since=41");
    }

    /// Placement hashes these numbers: another value after an update would move every key.
    #[test]
    fn numbers_of_names_and_keys_stay_the_same() {
        assert_eq!(server("s-5be2a07c"), ServerId(0x5be2_a07c));
        let others = ["origin", "t-5be2a07c", "s-5BE2A07C", "s-5be2a07c0", "s-05be2a07c", "5be2a07c", ""];
        let numbers: HashSet<u64> = others.iter().map(|name| server(name).0).collect();
        assert_eq!(numbers.len(), others.len(), "two names are two hosts");
        assert!(numbers.iter().all(|number| *number > u64::from(u32::MAX)));
        assert_eq!(server("origin"), ServerId(hash(b"origin") | 1 << 63), "whatever came before");
        assert_eq!(key(b"7f3a9c21e0b4d655"), Key(0x7f3a_9c21_e0b4_d655));
        assert_eq!(
            key(b"7F3A9C21E0B4D655"),
            Key(hash(b"7F3A9C21E0B4D655")),
            "another key than in lower case"
        );
    }

    async fn told(text: &'static [u8]) -> (u64, u64) {
        let (near, mut far) = tokio::io::duplex(1 << 16);
        let exchange = testing::exchange(testing::settings(1, Effect::Safe), Rc::new(Recorder::default()), 1);
        let mut table = NameTable::new(names());
        let answer = async {
            far.write_all(text).await.unwrap();
            // The connection stays up: what is silent is found by the clock alone.
            std::future::pending::<()>().await;
        };
        let log = log();
        tokio::select! {
            ended = hear(&mut table, near, "discovery", &exchange, &log) => assert!(ended.is_err(), "{ended:?}"),
            () = answer => {}
        }
        (exchange.counters().lists.get(), table.generation.unwrap_or_default())
    }

    /// A watch that says nothing, fails or makes no sense ends, and what came before it stays.
    #[test]
    fn a_watch_that_is_dead_or_malformed_ends() {
        testing::run(async {
            const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let list = "2a\r\n{\"generation\":3,\"reset\":true,\"instances\":[\r\n3\r\n]}\n\r\n1\r\n\n\r\n";
            let texts = [
                (format!("{HEAD}{list}"), (1, 3)),
                (format!("{HEAD}{list}4\r\n{{]}}\n\r\n"), (1, 3)),
                (HEAD.to_owned(), (0, 0)),
                (format!("{HEAD}{list}9\r\n{{\"generat\r\n"), (1, 3)),
                (format!("{HEAD}{list}22\r\n{{\"generation\":2,\"instances\":[]}} \n\r\n"), (1, 0)),
                (format!("{HEAD}{list}22\r\n{{\"generation\":3,\"instances\":[]}} \n\r\n"), (2, 3)),
                ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(), (0, 0)),
                ("nonsense\r\n\r\n".to_owned(), (0, 0)),
            ];
            for (text, want) in texts {
                assert_eq!(told(text.into_bytes().leak()).await, want);
            }
        });
    }
}
