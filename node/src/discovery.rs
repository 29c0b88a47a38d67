//! Discovery: when it is called, and the watch on its changes.

pub mod budget;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use fastrand::Rng;
use juniperladder::ListKind;
use juniperladder_exchange::numbers::server_label;
use juniperladder_exchange::telling::Telling;
use juniperladder_protocols::objects::Objects;
use slog::{debug, info, warn, Logger};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::clock::to_ms;
use crate::counters::count;
use crate::exchange::Exchange;
use crate::http::{write_call, Response};
use crate::name_table::{Catalog, NameTable};
use budget::{ANSWER, CONNECT, SILENCE, TURN, TURN_AGAIN};

/// The longest list.
const MAX_LIST: usize = 4 * 1024 * 1024;

/// When discovery is called.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    /// At the start, not when the module would: a process that replaces another starts from a list that may be old, and what
    /// discovery says binds it soon after its start.
    pub at_once: bool,
    /// Where lists are pushed: at once, and so long after each call or watch that failed. What discovery has counts as told from
    /// the first moment on there, whether a watch is open or not, and the module does not ask for one.
    pub pushed: Option<Duration>,
    /// For the waits of the calls at a new address.
    pub seed: u64,
}

/// Watches discovery whenever the module asks for it, and tells the module what comes. When the address
/// changes it turns to the new one at once, whatever the old one still says.
pub async fn follow(
    mut table: NameTable,
    mut address: watch::Receiver<SocketAddr>,
    exchange: Rc<Exchange>,
    calls: Calls,
    log: Logger,
) {
    let (telling, mut rng) = (Telling::default(), Rng::with_seed(calls.seed));
    let mut at_once = calls.at_once || calls.pushed.is_some();
    // Since when the address is another one that has told no list yet.
    let mut turned = None;
    let mut reason = "start";
    loop {
        if !std::mem::take(&mut at_once) {
            let again = match turned {
                Some(_) => Some(between(&mut rng, TURN_AGAIN)),
                None => calls.pushed,
            };
            tokio::select! {
                () = exchange.watch_wanted(), if turned.is_none() => reason = "due",
                () = sleep(again.unwrap_or_default()), if again.is_some() => reason = "again",
                turn = address.changed() => {
                    if turn.is_err() {
                        return;
                    }
                    turned = turn_to(&mut table);
                    reason = "new address";
                }
            }
        }
        let current = *address.borrow_and_update();
        let begun = Instant::now();
        info!(log, "discovery call begins"; "reason" => reason, "address" => %current,
            "since" => table.generation);
        let heard = tokio::select! {
            heard = watch(&mut table, current, &exchange, &log) => heard,
            Ok(()) = address.changed() => {
                turned = turn_to(&mut table);
                reason = "new address";
                at_once = true;
                continue;
            }
        };
        let problem = heard.err().unwrap_or_else(|| "the watch has ended".to_owned());
        info!(log, "discovery call ended"; "problem" => &problem, "lasted-ms" => begun.elapsed().as_millis());
        let failures = &exchange.counters().discovery_failures;
        count(failures);
        if telling.due() {
            warn!(log, "discovery"; "problem" => problem, "so far" => failures.get());
        }
        if table.generation.is_none() && turned.is_some_and(|at: Instant| at.elapsed() < TURN) {
            continue;
        }
        turned = None;
        // From here on the module spaces the calls out: it asks again after a wait of its own.
        exchange.listed(ListKind::Unavailable, &[]);
    }
}

/// Another service may count its versions otherwise: it is asked for the whole list.
fn turn_to(table: &mut NameTable) -> Option<Instant> {
    table.generation = None;
    Some(Instant::now())
}

fn between(rng: &mut Rng, (least, most): (Duration, Duration)) -> Duration {
    least + (most - least).mul_f64(rng.f64())
}

async fn watch(
    table: &mut NameTable,
    discovery: SocketAddr,
    exchange: &Exchange,
    log: &Logger,
) -> Result<(), String> {
    let connect = timeout(CONNECT, TcpStream::connect(discovery)).await;
    let stream = connect.map_err(|_| "no connection in time".to_owned())?.map_err(|e| e.to_string())?;
    info!(log, "discovery connected");
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
    let silent = |_| "silent".to_owned();
    let mut due = Instant::now() + ANSWER;
    let mut call = BytesMut::new();
    write_call(&mut call, &table.path(), name);
    timeout_at(due, stream.write_all(&call)).await.map_err(silent)?.map_err(lost)?;
    let (mut response, mut input, mut objects) = (Response::default(), BytesMut::new(), Objects::default());
    loop {
        let read = timeout_at(due, stream.read_buf(&mut input)).await;
        if read.map_err(silent)?.map_err(lost)? == 0 {
            return Ok(());
        }
        let before = response.body.len();
        response.read(&mut input)?;
        if let Some(head) = response.head.as_ref().filter(|head| head.status != 200) {
            return Err(format!("status {}", head.status));
        }
        let brought = response.body.len() > before;
        debug!(log, "discovery bytes"; "bytes" => response.body.len() - before);
        while let Some(mut object) = objects.next(&mut response.body)? {
            let catalog = simd_json::from_slice::<Catalog>(&mut object);
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
            for host in &hosts {
                debug!(log, "list entry"; "server" => %server_label(host.entry.server),
                    "state" => ?host.entry.state, "started-ms" => to_ms(host.entry.started));
            }
            count(&exchange.counters().lists);
            info!(log, "list"; "generation" => table.generation, "whole" => kind == ListKind::Replace,
                "entries" => hosts.len());
            exchange.listed(kind, &hosts);
        }
        if brought && response.body.is_empty() {
            // A list, or the empty line that stands for none, has come to its end: pieces of one are no sign of life.
            due = Instant::now() + SILENCE;
        }
        if response.body.len() > MAX_LIST {
            return Err("a list without an end".into());
        }
        if response.done {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests;
