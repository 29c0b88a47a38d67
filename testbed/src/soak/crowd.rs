//! A crowd of client connections without a complete request: silent ones send nothing, slow ones send an endless request one
//! byte at a time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::Micros;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::testbed::Testbed;

/// Pause between two bytes of a slow connection.
const BYTE_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a closed connection is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);
/// First bytes that a slow connection sends; they contain no line end.
const SLOW_BYTES: &[u8] = b"mg 00000000000000000000000000000000";

/// Behaviour of a connection of the crowd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdBehaviour {
    /// Sends nothing.
    Silent,
    /// Sends one byte at a time.
    Slow,
}

/// Keeps one connection of the crowd open until this time, reconnecting after a close.
pub async fn run_crowd_connection(
    testbed: Rc<Testbed>,
    address: SocketAddr,
    behaviour: CrowdBehaviour,
    until: Micros,
) {
    while testbed.now() < until {
        if let Ok(stream) = TcpStream::connect(address).await {
            hold_open(&testbed, stream, behaviour, until).await;
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// Holds the connection open until the balancer closes it or the time is over.
async fn hold_open(testbed: &Testbed, mut stream: TcpStream, behaviour: CrowdBehaviour, until: Micros) {
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
