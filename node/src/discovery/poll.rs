//! One poll of discovery on its own connection: requests the changes and reads them, list by list, until the connection
//! ends. The owner of the poll interprets the lists and applies the timeouts for the answer.
//!
//! Guarantee: the last event of a poll that is not dropped is [`PollEvent::Ended`], with the reason. A poll does not time
//! out on a silent connection; [`super::watches`] detects that.

use std::net::SocketAddr;

use bytes::BytesMut;
use juniperladder_protocols::objects::JsonObjectScanner;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

use super::timing::DISCOVERY_CONNECT_TIMEOUT;
use super::watches::PollId;
use crate::endpoint_list::EndpointList;
use crate::http::{write_discovery_request, Response};
use crate::socket::Socket;

/// The maximum length of a list.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// The HTTP status of a response that carries a watch.
const STATUS_OK: u16 = 200;

/// Why a poll has ended.
#[derive(Debug, Error)]
pub enum PollError {
    /// Discovery closed the connection, or ended its response.
    #[error("discovery closed the connection")]
    WatchEnded,
    /// No connection was established within [`DISCOVERY_CONNECT_TIMEOUT`].
    #[error("connecting to discovery timed out after {} ms", DISCOVERY_CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    /// The connection could not be established, or broke.
    #[error("connection to discovery failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The bytes received are not an HTTP response, or its body is not a sequence of JSON objects.
    #[error("malformed response from discovery: {0}")]
    MalformedResponse(String),
    /// Discovery responded with a status other than 200.
    #[error("discovery responded with HTTP status {0}")]
    Status(u16),
    /// A list is not valid JSON, or lacks a required field.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[source] simd_json::Error),
    /// A list exceeds [`MAX_LIST_BYTES`].
    #[error("endpoint list exceeds {MAX_LIST_BYTES} bytes")]
    ListTooLong,
}

/// An event on a poll's connection.
#[derive(Debug)]
pub enum PollEvent {
    /// The connection is established.
    Connected,
    /// A list, or the changes to one.
    List(EndpointList),
    /// A complete empty line, which means that nothing has changed.
    Heartbeat,
    /// The poll has ended.
    Ended(PollError),
}

/// An event and the poll that it belongs to.
#[derive(Debug)]
pub struct PollMessage {
    /// The poll that sent the event.
    pub poll_id: PollId,
    /// The event.
    pub event: PollEvent,
}

/// A running poll; dropping it closes its connection.
#[derive(Debug)]
pub struct Poll(JoinHandle<()>);

impl Poll {
    /// Starts a poll of this address with this path; its events are sent to `sender`.
    pub fn start(
        poll_id: PollId,
        address: SocketAddr,
        path: String,
        sender: mpsc::Sender<PollMessage>,
    ) -> Poll {
        let events = EventSender { poll_id, sender };
        Poll(spawn_local(async move {
            let error = run(address, &path, &events).await.err().unwrap_or(PollError::WatchEnded);
            events.send(PollEvent::Ended(error)).await;
        }))
    }
}

impl Drop for Poll {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends the events of one poll.
struct EventSender {
    poll_id: PollId,
    sender: mpsc::Sender<PollMessage>,
}

impl EventSender {
    async fn send(&self, event: PollEvent) {
        // The receiver is dropped only when the balancer ends.
        let _ = self.sender.send(PollMessage { poll_id: self.poll_id, event }).await;
    }
}

async fn run(address: SocketAddr, path: &str, events: &EventSender) -> Result<(), PollError> {
    let connected = timeout(DISCOVERY_CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| PollError::ConnectTimeout)??;
    events.send(PollEvent::Connected).await;
    let mut stream = Socket(stream);
    send_request(&mut stream, path, &address.to_string()).await?;
    receive(&mut stream, events).await
}

async fn send_request<S: AsyncWrite + Unpin>(
    stream: &mut S,
    path: &str,
    host: &str,
) -> Result<(), PollError> {
    let mut request = BytesMut::new();
    write_discovery_request(&mut request, path, host);
    stream.write_all(&request).await?;
    Ok(())
}

/// Reads lists and heartbeats until the response or the connection ends.
async fn receive<S: AsyncRead + Unpin>(stream: &mut S, events: &EventSender) -> Result<(), PollError> {
    let mut response = Response::default();
    let mut input = BytesMut::new();
    let mut objects = JsonObjectScanner::default();
    while stream.read_buf(&mut input).await? > 0 {
        let length_before = response.body.len();
        response.read(&mut input).map_err(|error| PollError::MalformedResponse(error.to_string()))?;
        check_status(&response)?;
        let has_more_body = response.body.len() > length_before;
        let lists = send_lists(&mut response, &mut objects, events).await?;
        if has_more_body && lists == 0 && response.body.is_empty() {
            // Only a complete line counts as a heartbeat, not a part of a list.
            events.send(PollEvent::Heartbeat).await;
        }
        if response.body.len() > MAX_LIST_BYTES {
            return Err(PollError::ListTooLong);
        }
        if response.is_complete {
            return Ok(());
        }
    }
    Ok(())
}

fn check_status(response: &Response) -> Result<(), PollError> {
    match &response.head {
        Some(head) if head.status != STATUS_OK => Err(PollError::Status(head.status)),
        _ => Ok(()),
    }
}

/// Sends the complete lists in the response's body as events, and returns their number.
async fn send_lists(
    response: &mut Response,
    objects: &mut JsonObjectScanner,
    events: &EventSender,
) -> Result<usize, PollError> {
    let mut lists = 0;
    while let Some(mut object) = next_object(response, objects)? {
        let list = simd_json::from_slice(&mut object).map_err(PollError::MalformedList)?;
        events.send(PollEvent::List(list)).await;
        lists += 1;
    }
    Ok(lists)
}

fn next_object(
    response: &mut Response,
    objects: &mut JsonObjectScanner,
) -> Result<Option<BytesMut>, PollError> {
    objects.next(&mut response.body).map_err(|error| PollError::MalformedResponse(error.to_string()))
}
