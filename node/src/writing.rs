//! The client's side of a long value that is being written: its pieces go on to the origin as they come.
//!
//! Who carries attempts has the origin's side of it; the two meet in the dispatcher.

use bytes::{BufMut, Bytes, BytesMut};
use juniperladder::ServerId;
use juniperladder_dispatch::long::Feed;
use juniperladder_dispatch::request::{ticket, Ticket};

use crate::dispatcher::{ClientRequest, Dispatcher};

/// How much of a long value a client has brought before a connection to the origin is opened for it.
const AHEAD: usize = 16 * 1024;

/// A request whose long value is coming.
pub struct Writing {
    request: Box<ClientRequest>,
    length: usize,
    /// What came before it was worth a connection.
    ahead: BytesMut,
    begun: bool,
    way: Option<(Ticket, Feed)>,
}

impl Writing {
    /// A request whose line has come, and then a value of so many bytes.
    pub fn new(mut request: Box<ClientRequest>, length: usize) -> Writing {
        // A write all the same, whose value goes another way.
        request.value = Some(Bytes::new());
        Writing { request, length, ahead: BytesMut::new(), begun: false, way: None }
    }

    /// Lets go of what is on its way: its client has left. The value is still read to its end.
    pub fn let_go(&mut self) {
        self.begun = true;
        self.way = None;
        self.ahead.clear();
    }

    /// How many bytes of it are in hand here.
    pub fn ahead(&self) -> usize {
        self.ahead.len()
    }

    /// Whether what comes next has to wait for the origin's side.
    pub fn blocked(&self) -> bool {
        self.way.as_ref().is_some_and(|(_, feed)| !feed.has_room())
    }

    /// Takes a piece of the value. What nobody takes any longer is let go of: the request is told so at its end.
    pub fn add(&mut self, dispatcher: &Dispatcher, piece: Bytes, end: bool) {
        if self.begun {
            self.pass(piece);
            return;
        }
        self.ahead.put_slice(&piece);
        if end || self.ahead.len() >= AHEAD {
            self.begun = true;
            self.way = dispatcher.upload(&self.request, self.length);
            let ahead = self.ahead.split().freeze();
            self.pass(ahead);
        }
    }

    fn pass(&mut self, piece: Bytes) {
        if self.way.as_mut().is_some_and(|(_, feed)| feed.push_now(piece).is_err()) {
            self.way = None;
        }
    }

    /// The request, once its value is whole.
    pub fn whole(self) -> ClientRequest {
        // Without a way it is taken all the same, and what decides hears that it did not go.
        let (ticket, last) = match self.way {
            Some((ticket, feed)) => (ticket, feed.last()),
            None => (ticket(ServerId(0)).0, None),
        };
        let ticket = Some(ticket.whole(last.unwrap_or_default()));
        ClientRequest { ticket, ..*self.request }
    }
}

/// Waits until the next piece of the value that a client writes can go on; for ever where none is on its way.
pub async fn room(writing: &Option<Writing>) {
    match writing.as_ref().and_then(|writing| writing.way.as_ref()) {
        Some((_, feed)) => feed.room().await,
        None => std::future::pending().await,
    }
}
