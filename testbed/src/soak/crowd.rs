//! A crowd of connections that bring no request: some say nothing, some send a request a byte at a time and never to its end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::Micros;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::testbed::Testbed;

/// The pause between two bytes of a slow connection.
const BYTE_PAUSE: Duration = Duration::from_millis(100);
/// The pause before a connection that was closed is opened anew.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);
/// What a slow connection sends: no end of a line is in it.
const SLOW_BYTES: &[u8] = b"mg 00000000000000000000000000000000";

/// What a connection of the crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdBehaviour {
    /// It says nothing.
    Silent,
    /// It sends a byte at a time.
    Slow,
}

/// Keeps one connection of the crowd open until this time.
pub async fn run_crowd_connection(
    testbed: Rc<Testbed>,
    address: SocketAddr,
    behaviour: CrowdBehaviour,
    until: Micros,
) {
    while testbed.now() < until {
        if let Ok(stream) = TcpStream::connect(address).await {
            stay_open(&testbed, stream, behaviour, until).await;
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// Stays until the balancer closes the connection or the time is up.
async fn stay_open(testbed: &Testbed, mut stream: TcpStream, behaviour: CrowdBehaviour, until: Micros) {
    let mut bytes = SLOW_BYTES.iter();
    let mut received = [0; 256];
    while testbed.now() < until {
        let has_ended = matches!(timeout(BYTE_PAUSE, stream.read(&mut received)).await, Ok(Ok(0) | Err(_)));
        if has_ended {
            return;
        }
        if behaviour == CrowdBehaviour::Slow {
            let byte = bytes.next().copied().unwrap_or(b'0');
            if stream.write_all(&[byte]).await.is_err() {
                return;
            }
        }
    }
}
