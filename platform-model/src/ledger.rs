//! What a run leaves: what clients sent and got, what servers and the origin received and ran, what discovery told, and
//! who was unwell when. The judge reads nothing else.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// How a try ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// Served, with a value or a receipt that a server or the origin made for it.
    Served,
    /// Served with what nobody made for it.
    Wrong,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// Never taken: no balancer accepted it whole.
    Untaken,
    /// The client left before its time, and before an answer.
    Left,
    /// Taken, and no final answer.
    Silent,
    /// Taken, and the connection ended without a whole answer.
    Closed,
    /// Its new connection was closed at once with no answer: at the door, as where a balancer has no seat left.
    Shut,
}

/// One try of a client: a request, with an id of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientRequest {
    /// Its id.
    pub id: u64,
    /// The id of the client's first try; its own where it is that.
    pub first: u64,
    /// The balancer.
    pub balancer: u32,
    /// The key's number.
    pub key: u64,
    /// Whether it writes.
    pub write: bool,
    /// When it was planned to be sent.
    pub planned: Micros,
    /// When its last byte was sent.
    pub sent: Micros,
    /// When its client's time is over.
    pub deadline: Micros,
    /// When its answer's last byte came, or its connection ended.
    pub ended: Option<Micros>,
    /// How.
    pub end: Ended,
    /// Lines that came behind its answer and are nobody's.
    pub more: u32,
}

/// Who received an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum At {
    /// The cache server with this number.
    #[serde(rename = "host")]
    CacheServer(u32),
    /// The origin.
    Origin,
}

/// As the breaches' file names it, which keeps its words.
impl fmt::Display for At {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            At::CacheServer(number) => write!(out, "Host({number})"),
            At::Origin => out.write_str("Origin"),
        }
    }
}

/// What became of an attempt at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Became {
    /// A value or a receipt.
    Served,
    /// A miss.
    Miss,
    /// Turned away; it never ran.
    Busy,
    /// It failed; it may have run.
    Failed,
    /// Nothing was said; it may have run.
    Nothing,
}

/// One attempt that a server or the origin received whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The request's id.
    pub id: u64,
    /// The balancer that sent it.
    pub balancer: u32,
    /// Who received it.
    pub at: At,
    /// Its first byte.
    pub first_byte: Micros,
    /// Its last byte.
    pub begun: Micros,
    /// When the answer went out.
    pub answered: Option<Micros>,
    /// What became of it.
    pub became: Became,
    /// Whether its server was cold; at the origin, whether a cold server missed for it.
    pub cold: bool,
    /// Whether a link's fault spoilt it or its answer on the way.
    pub spoilt: bool,
}

impl Attempt {
    /// Whether it may have run.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.became, Became::Busy | Became::Miss)
    }
}

/// Discovery has told a balancer of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The balancer.
    pub balancer: u32,
    /// The server's number.
    #[serde(rename = "host")]
    pub server: u32,
    /// Whether the server is in service.
    pub in_service: bool,
    /// When.
    pub at: Micros,
}

/// Why somebody was not well for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ill {
    /// A server says nothing.
    Silent,
    /// A server is slow.
    Slow,
    /// A server fails some of its requests.
    Failing,
    /// A server drains or is gone.
    Closed,
    /// A server warms up.
    Cold,
    /// A server's links have a fault.
    Links,
    /// A process is dead.
    Dead,
    /// A process is frozen.
    Frozen,
}

/// A time in which a server or a process was not well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Span {
    /// The server's or the process's number.
    pub who: u32,
    /// Why.
    pub ill: Ill,
    /// From when.
    pub from: Micros,
    /// Until when; none, to the end of the run.
    pub to: Option<Micros>,
}

impl Span {
    /// Whether it holds at any time from `from` to `to`.
    pub fn meets(&self, from: Micros, to: Micros) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Tries, in the order in which they were sent.
    #[serde(rename = "commands")]
    pub requests: Vec<ClientRequest>,
    /// Attempts, in the order in which they were received.
    pub attempts: Vec<Attempt>,
    /// What went into a link that was cut and was never heard.
    pub unheard: Vec<Attempt>,
    /// What discovery told whom.
    pub told: Vec<Told>,
    /// When servers were not well.
    #[serde(rename = "hosts")]
    pub servers: Vec<Span>,
    /// When processes were not well.
    pub processes: Vec<Span>,
    /// Cold servers that fell over: who and when.
    pub falls: Vec<(u32, Micros)>,
    /// Times at which the origin stopped, and the share of cold servers' misses in what it had been sent.
    pub stops: Vec<(Micros, f64)>,
    /// How late the rig itself was: when, and by how much, where that was over a few milliseconds.
    pub stalls: Vec<(Micros, Micros)>,
}

impl Ledger {
    /// Somebody is not well from now on, until [`Ledger::well`] says so.
    pub fn ill(spans: &mut Vec<Span>, who: usize, ill: Ill, from: Micros) {
        let open = |span: &&Span| span.who == who as u32 && span.ill == ill && span.to.is_none();
        if spans.iter().find(open).is_none() {
            spans.push(Span { who: who as u32, ill, from, to: None });
        }
    }

    /// Somebody is well again.
    pub fn well(spans: &mut [Span], who: usize, ill: Ill, to: Micros) {
        let open = |span: &&mut Span| span.who == who as u32 && span.ill == ill && span.to.is_none();
        spans.iter_mut().filter(open).for_each(|span| span.to = Some(to));
    }
}
