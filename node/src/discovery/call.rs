//! One call to discovery on a connection of its own: it asks for the changes and reads them off, list by list, until the
//! connection ends. What the lists mean, and for how long the call is waited for, is decided by whoever owns it.

use std::net::SocketAddr;

use bytes::BytesMut;
use juniperladder_protocols::objects::Objects;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

use super::budget::CONNECT;
use super::watches::WatchId;
use crate::http::{write_discovery_call, Response};
use crate::name_table::Catalog;
use crate::socket::Socket;

/// The longest list.
const MAX_LIST: usize = 4 * 1024 * 1024;

/// What has come on a call's connection.
#[derive(Debug)]
pub enum News {
    /// The connection is up.
    Connected,
    /// A list, or the changes to one.
    List(Catalog),
    /// An empty line, which stands for no change, has come to its end.
    NoChange,
    /// The connection has ended, or what came made no sense.
    Ended(String),
}

/// News of one call.
#[derive(Debug)]
pub struct Message {
    /// Of which call.
    pub watch: WatchId,
    /// What has come.
    pub news: News,
}

/// A call that goes on until this is dropped.
#[derive(Debug)]
pub struct Call(JoinHandle<()>);

impl Call {
    /// Begins a call to this address with this path; what comes goes to `inbox`.
    pub fn begin(watch: WatchId, address: SocketAddr, path: String, inbox: mpsc::Sender<Message>) -> Call {
        Call(spawn_local(async move {
            let sender = Sender { watch, inbox };
            let problem = match run(address, &path, &sender).await {
                Ok(()) => "the watch has ended".to_owned(),
                Err(problem) => problem,
            };
            sender.send(News::Ended(problem)).await;
        }))
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Where the news of one call go.
struct Sender {
    watch: WatchId,
    inbox: mpsc::Sender<Message>,
}

impl Sender {
    async fn send(&self, news: News) {
        // Nobody is left to hear it only where the whole balancer ends.
        let _ = self.inbox.send(Message { watch: self.watch, news }).await;
    }
}

async fn run(address: SocketAddr, path: &str, sender: &Sender) -> Result<(), String> {
    let connect = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = connect.map_err(|_| "no connection in time".to_owned())?.map_err(|e| e.to_string())?;
    sender.send(News::Connected).await;
    listen(Socket(stream), path, &address.to_string(), sender).await
}

/// Asks for the changes on this connection and hands them on until it ends.
async fn listen<S: AsyncRead + AsyncWrite + Unpin>(
    mut stream: S,
    path: &str,
    name: &str,
    sender: &Sender,
) -> Result<(), String> {
    let lost = |e: std::io::Error| e.to_string();
    let mut call = BytesMut::new();
    write_discovery_call(&mut call, path, name);
    stream.write_all(&call).await.map_err(lost)?;
    let (mut response, mut input, mut objects) = (Response::default(), BytesMut::new(), Objects::default());
    loop {
        if stream.read_buf(&mut input).await.map_err(lost)? == 0 {
            return Ok(());
        }
        let before = response.body.len();
        response.read(&mut input).map_err(|error| error.to_string())?;
        if let Some(head) = response.head.as_ref().filter(|head| head.status != 200) {
            return Err(format!("status {}", head.status));
        }
        let brought = response.body.len() > before;
        let mut lists = 0;
        while let Some(mut object) = objects.next(&mut response.body).map_err(|error| error.to_string())? {
            let catalog = simd_json::from_slice::<Catalog>(&mut object);
            let catalog = catalog.map_err(|e| format!("not a list: {e}"))?;
            sender.send(News::List(catalog)).await;
            lists += 1;
        }
        if brought && lists == 0 && response.body.is_empty() {
            // Pieces of a list are no sign of life: only what has come to its end is.
            sender.send(News::NoChange).await;
        }
        if response.body.len() > MAX_LIST {
            return Err("a list without an end".into());
        }
        if response.done {
            return Ok(());
        }
    }
}
