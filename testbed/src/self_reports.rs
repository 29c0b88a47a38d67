//! Polls what each process says of itself, once a second through the operators' address: what it has reserved of a limit,
//! which members it believes alive, which servers it avoids. For charts, and for what nobody but the process knows.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::checker::self_reports::SelfReport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::testbed::Testbed;

/// How often each process is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How long a process may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest answer that is read, in bytes.
const MAX_ANSWER_LENGTH: u64 = 64 * 1024;

/// The reports so far, in the order in which they came.
pub type SharedReports = Rc<RefCell<Vec<SelfReport>>>;

/// Polls all processes in turn, each once a second, until it is aborted.
pub async fn poll_self_reports(testbed: Rc<Testbed>, addresses: Vec<SocketAddr>, reports: SharedReports) {
    let pause = POLL_INTERVAL / addresses.len().max(1) as u32;
    loop {
        for (balancer, address) in addresses.iter().enumerate() {
            sleep(pause).await;
            spawn_local(poll_one(Rc::clone(&testbed), balancer, *address, Rc::clone(&reports)));
        }
    }
}

async fn poll_one(testbed: Rc<Testbed>, balancer: usize, address: SocketAddr, reports: SharedReports) {
    if let Ok(Some(text)) = timeout(ANSWER_TIMEOUT, dump(address)).await {
        reports.borrow_mut().push(parse_report(testbed.now(), balancer, &text));
    }
}

/// Reads the figures of a `DUMP`; one that is not there counts as 0.
fn parse_report(at: juniperladder_platform_model::Micros, balancer: usize, text: &str) -> SelfReport {
    let figure = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
    };
    SelfReport {
        at,
        balancer,
        reserved: figure("app_limit_held{limit=\"origin\"}"),
        used: figure("app_limit_used{limit=\"origin\"}"),
        members: figure("app_members{state=\"alive\"}"),
        avoided_servers: figure("app_verdicts_hosts_passed_by"),
        oldest_report_s: figure("app_verdicts_oldest_acted_seconds"),
    }
}

async fn dump(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(b"DUMP\n").await.ok()?;
    let mut text = String::new();
    stream.take(MAX_ANSWER_LENGTH).read_to_string(&mut text).await.ok()?;
    Some(text)
}
