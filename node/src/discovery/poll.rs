//! One poll of discovery on a connection of its own: it asks for the changes and reads them, list by list, until the
//! connection ends. What the lists mean, and for how long the poll is waited for, is decided by whoever owns it.
//!
//! Guarantee: the last event of a poll that is not dropped is [`PollEvent::Ended`], with the reason. A connection that stays
//! silent does not end by itself; [`super::watches`] finds it.

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
use crate::http::{write_discovery_call, Response};
use crate::socket::Socket;

/// The longest list.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// The status of an answer that is a watch.
const STATUS_OK: u16 = 200;

/// Why a poll has ended.
#[derive(Debug, Error)]
pub enum PollError {
    /// Discovery has closed the connection, or ended its response.
    #[error("discovery closed the connection")]
    WatchEnded,
    /// No connection was established within [`DISCOVERY_CONNECT_TIMEOUT`].
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection could not be established, or broke.
    #[error("{0}")]
    Connection(#[from] std::io::Error),
    /// What came is no HTTP response, or no list stands in it.
    #[error("{0}")]
    MalformedResponse(String),
    /// Discovery answered with another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// A list can't be read.
    #[error("not a list: {0}")]
    MalformedList(#[source] simd_json::Error),
    /// A list is longer than any may be.
    #[error("the list is longer than {MAX_LIST_BYTES} bytes")]
    ListTooLong,
}

/// What has come on a poll's connection.
#[derive(Debug)]
pub enum PollEvent {
    /// The connection is established.
    Connected,
    /// A list, or the changes to one.
    List(EndpointList),
    /// An empty line, which stands for no change, has come to its end.
    Heartbeat,
    /// The poll is over.
    Ended(PollError),
}

/// An event with the poll that it belongs to.
#[derive(Debug)]
pub struct PollMessage {
    /// Which poll.
    pub poll_id: PollId,
    /// What has come.
    pub event: PollEvent,
}

/// A poll that goes on until this is dropped.
#[derive(Debug)]
pub struct Poll(JoinHandle<()>);

impl Poll {
    /// Starts a poll of this address with this path; its events go to `inbox`.
    pub fn start(
        poll_id: PollId,
        address: SocketAddr,
        path: String,
        inbox: mpsc::Sender<PollMessage>,
    ) -> Poll {
        let events = EventSender { poll_id, inbox };
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

/// Where the events of one poll go.
struct EventSender {
    poll_id: PollId,
    inbox: mpsc::Sender<PollMessage>,
}

impl EventSender {
    async fn send(&self, event: PollEvent) {
        // The receiver is gone only where the whole balancer ends.
        let _ = self.inbox.send(PollMessage { poll_id: self.poll_id, event }).await;
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
    write_discovery_call(&mut request, path, host);
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
            // A part of a list is no sign of life: only a line that has come to its end is.
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

/// Sends the lists that have come to their end, and says how many there were.
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
