//! Polls the state that each process reports at its address for operators, once a second: the reserved and the used part of
//! the limit `origin`, the number of members that the process considers alive, the number of servers that it avoids, and the
//! age of the oldest failure report that it has acted on. The reports are used for charts and for
//! state that cannot be observed from outside the process.

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

/// Interval at which each process is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a poll.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of an answer, in bytes; the rest is not read.
const MAX_ANSWER_LENGTH: u64 = 64 * 1024;

/// The reports received so far, in order of arrival.
pub type SharedReports = Rc<RefCell<Vec<SelfReport>>>;

/// Polls all processes in turn, each about once a second, until the task is aborted.
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

/// Parses the figures of a `DUMP`; a missing figure counts as 0.
fn parse_report(at: juniperladder_platform_model::Micros, balancer: usize, text: &str) -> SelfReport {
    let figure = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
    };
    SelfReport {
        at,
        balancer,
        usable_origin_tokens: figure("app_limit_held{limit=\"origin\"}"),
        used_origin_tokens: figure("app_limit_used{limit=\"origin\"}"),
        members: figure("app_members{state=\"alive\"}"),
        avoided_servers: figure("app_verdicts_hosts_passed_by"),
        oldest_report_s: figure("app_verdicts_oldest_acted_seconds"),
    }
}

/// Requests a process's metrics at its address for operators; `None` if the connection fails.
async fn dump(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(b"DUMP\n").await.ok()?;
    let mut text = String::new();
    stream.take(MAX_ANSWER_LENGTH).read_to_string(&mut text).await.ok()?;
    Some(text)
}
