//! What each process says it holds of a limit, who it thinks is there and what it passes by, asked once a second through the
//! operators' address. For charts, and for what nobody but the process can tell.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use juniperladder_platform_model::checker::self_reports::SelfReport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::rig::Rig;

/// How long one may take to answer.
const ANSWER: Duration = Duration::from_millis(500);
/// The longest answer that is read.
const LONGEST: u64 = 64 * 1024;

/// Asks all processes in turn, each once a second, until it is aborted.
pub async fn watch(rig: Rc<Rig>, addresses: Vec<SocketAddr>, seen: Rc<RefCell<Vec<SelfReport>>>) {
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
                    seen.borrow_mut().push(SelfReport {
                        at: rig.now(),
                        balancer,
                        reserved: figure("app_limit_held{limit=\"origin\"}"),
                        used: figure("app_limit_used{limit=\"origin\"}"),
                        members: figure("app_members{state=\"alive\"}"),
                        avoided_servers: figure("app_verdicts_hosts_passed_by"),
                        oldest_report_s: figure("app_verdicts_oldest_acted_seconds"),
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
