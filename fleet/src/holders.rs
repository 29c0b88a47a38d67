//! What each process says it holds of a limit, asked once a second through the operators' address. For charts alone: no
//! figure of the summary rests on what balancers say of themselves.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_world::Us;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::rig::Rig;

/// How long one may take to answer.
const ANSWER: Duration = Duration::from_millis(500);
/// The longest answer that is read.
const LONGEST: u64 = 64 * 1024;

/// What one process said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Holder {
    /// When.
    pub at: Us,
    /// The balancer.
    pub balancer: usize,
    /// Units that it may use.
    pub held: f64,
    /// Commands begun in the last second.
    pub used: f64,
    /// Members that it thinks are there.
    pub members: f64,
}

/// Asks all processes in turn, each once a second, until it is aborted.
pub async fn watch(rig: Rc<Rig>, addresses: Vec<SocketAddr>, seen: Rc<RefCell<Vec<Holder>>>) {
    let between = Duration::from_secs(1) / addresses.len().max(1) as u32;
    loop {
        for (balancer, address) in addresses.iter().enumerate() {
            sleep(between).await;
            let (rig, seen, address) = (Rc::clone(&rig), Rc::clone(&seen), *address);
            tokio::task::spawn_local(async move {
                if let Ok(Some(text)) = timeout(ANSWER, dump(address)).await {
                    let figure = |name: &str| {
                        let line = text.lines().find_map(|line| line.strip_prefix(name));
                        line.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
                    };
                    seen.borrow_mut().push(Holder {
                        at: rig.now(),
                        balancer,
                        held: figure("app_limit_held{limit=\"origin\"}"),
                        used: figure("app_limit_used{limit=\"origin\"}"),
                        members: figure("app_members{state=\"alive\"}"),
                    });
                }
            });
        }
    }
}

async fn dump(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(b"DUMP\n").await.ok()?;
    let mut text = String::new();
    stream.take(LONGEST).read_to_string(&mut text).await.ok()?;
    Some(text)
}
