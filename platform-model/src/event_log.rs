//! The event log of a run: what clients sent and got, what servers and the origin received, which changes discovery
//! notified balancers of, and which servers and processes were impaired when. The checker reads nothing else.
//!
//! All times count from the run's beginning. Requests and attempts stand in the order in which they were made.

#[cfg(test)]
mod tests;

use std::fmt;

use crate::Micros;

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Served, with a value or a receipt that a server or the origin made for it.
    Served,
    /// Served with a value that nobody made for it.
    WrongValue,
    /// Rejected by its balancer.
    Rejected,
    /// Failed.
    Failed,
    /// No balancer accepted it complete.
    NotAccepted,
    /// The client left before its deadline, and before an answer.
    ClientLeft,
    /// Accepted, and no final answer.
    NoAnswer,
    /// Accepted, and the connection ended without a complete answer.
    ConnectionClosed,
    /// Its new connection was closed at once with no answer, as where a balancer is at its limit of connections.
    ConnectionRejected,
}

/// The word of tables and request traces, which stays whatever the variant is called.
impl fmt::Display for RequestResult {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            RequestResult::Served => "Served",
            RequestResult::WrongValue => "Wrong",
            RequestResult::Rejected => "Refused",
            RequestResult::Failed => "Failed",
            RequestResult::NotAccepted => "Untaken",
            RequestResult::ClientLeft => "Left",
            RequestResult::NoAnswer => "Silent",
            RequestResult::ConnectionClosed => "Closed",
            RequestResult::ConnectionRejected => "Shut",
        })
    }
}

/// One request of a client; each retry of a client is a request of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its id.
    pub id: u64,
    /// The id of the client's first request; its own where it is that.
    pub first_id: u64,
    /// The balancer's number.
    pub balancer: u32,
    /// The key's number.
    pub key: u64,
    /// Whether it writes.
    pub write: bool,
    /// When it was planned to be sent.
    pub planned_at: Micros,
    /// When its last byte was sent.
    pub sent_at: Micros,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// When its answer's last byte came, or its connection ended.
    pub ended_at: Option<Micros>,
    /// How it ended.
    pub result: RequestResult,
    /// Lines that followed its answer and belong to no request.
    pub extra_lines: u32,
}

impl ClientRequest {
    /// Whether it is its client's first, and no retry.
    pub fn is_first(&self) -> bool {
        self.id == self.first_id
    }
}

/// Who received an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Receiver {
    /// The cache server with this number.
    CacheServer(u32),
    /// The origin.
    Origin,
}

/// As the violations' file names it, which keeps its words.
impl fmt::Display for Receiver {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Receiver::CacheServer(number) => write!(out, "Host({number})"),
            Receiver::Origin => out.write_str("Origin"),
        }
    }
}

/// How an attempt ended at its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered with a value or a receipt.
    Served,
    /// A miss.
    Miss,
    /// Rejected; it was not executed.
    Rejected,
    /// Failed; it may have been executed.
    Failed,
    /// No answer; it may have been executed.
    NoAnswer,
}

/// The word of tables and request traces, which stays whatever the variant is called.
impl fmt::Display for AttemptResult {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            AttemptResult::Served => "Served",
            AttemptResult::Miss => "Miss",
            AttemptResult::Rejected => "Busy",
            AttemptResult::Failed => "Failed",
            AttemptResult::NoAnswer => "Nothing",
        })
    }
}

/// One attempt that a server or the origin received complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request's id.
    pub id: u64,
    /// The balancer that sent it.
    pub balancer: u32,
    /// Who received it.
    pub receiver: Receiver,
    /// When its first byte came.
    pub first_byte_at: Micros,
    /// When its last byte came.
    pub received_at: Micros,
    /// When the answer went out.
    pub answered_at: Option<Micros>,
    /// How it ended.
    pub result: AttemptResult,
    /// Whether its server was in slow start; at the origin, whether such a server missed for it.
    pub in_slow_start: bool,
    /// Whether a link's fault corrupted it or its answer on the way.
    pub corrupted: bool,
}

impl Attempt {
    /// Whether it may have been executed.
    pub fn may_have_executed(&self) -> bool {
        !matches!(self.result, AttemptResult::Rejected | AttemptResult::Miss)
    }
}

/// Discovery has notified a balancer of a server's state.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointNotice {
    /// The balancer's number.
    pub balancer: u32,
    /// The server's number.
    pub server: u32,
    /// Whether the server is in service.
    pub in_service: bool,
    /// When.
    pub at: Micros,
}

/// Why a server or a process was not healthy for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// A server does not answer.
    Silent,
    /// A server is slow.
    Slow,
    /// A server fails some of its requests.
    Failing,
    /// A server drains or is gone.
    OutOfService,
    /// A server is in slow start.
    SlowStart,
    /// A server's links have a fault.
    LinkFault,
    /// A process is not running.
    Dead,
    /// A process was told to end, and has ended of itself: it owes an answer to all that it took before.
    Ended,
    /// A process is frozen.
    Frozen,
}

/// A time in which a server or a process was not healthy.
#[derive(Clone, Debug, PartialEq)]
pub struct ImpairedSpan {
    /// The server's or the process's number.
    pub number: u32,
    /// Why.
    pub impairment: Impairment,
    /// From when.
    pub from: Micros,
    /// Until when; none, to the end of the run.
    pub to: Option<Micros>,
}

impl ImpairedSpan {
    /// Whether it holds at any time from `from` to `to`, both included.
    pub fn overlaps(&self, from: Micros, to: Micros) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }

    fn is_open(&self, number: usize, impairment: Impairment) -> bool {
        self.number == number as u32 && self.impairment == impairment && self.to.is_none()
    }
}

/// A balancer's process was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStart {
    /// The balancer's number.
    pub balancer: u32,
    /// When. It serves clients some time before it is found to be ready.
    pub at: Micros,
}

/// A balancer's process stood still, and went on. It owes the same answers as any other, later by that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStall {
    /// The balancer's number.
    pub balancer: u32,
    /// From when.
    pub from: Micros,
    /// Until when.
    pub to: Micros,
}

/// All that a run left.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventLog {
    /// Requests, in the order in which they were sent.
    pub requests: Vec<ClientRequest>,
    /// Attempts, in the order in which they were received.
    pub attempts: Vec<Attempt>,
    /// Attempts that went into a link that was cut and never arrived.
    pub undelivered: Vec<Attempt>,
    /// What discovery notified whom of.
    pub notices: Vec<EndpointNotice>,
    /// When servers were impaired.
    pub server_impairments: Vec<ImpairedSpan>,
    /// When processes were impaired.
    pub process_impairments: Vec<ImpairedSpan>,
    /// When processes were started.
    pub process_starts: Vec<ProcessStart>,
    /// When processes stood still for a moment.
    pub process_stalls: Vec<ProcessStall>,
    /// Servers that collapsed under load in slow start: the server's number and when.
    pub server_collapses: Vec<(u32, Micros)>,
    /// When the origin stopped, and the share of misses of servers in slow start in what it had been sent.
    pub origin_stops: Vec<(Micros, f64)>,
    /// When the testbed itself was late, and by how much, where that was over a few milliseconds.
    pub testbed_stalls: Vec<(Micros, Micros)>,
}

impl EventLog {
    /// A server or a process is impaired from now on, until [`EventLog::end_impairment`]; no change where it already is.
    pub fn begin_impairment(
        spans: &mut Vec<ImpairedSpan>,
        number: usize,
        impairment: Impairment,
        from: Micros,
    ) {
        if !spans.iter().any(|span| span.is_open(number, impairment)) {
            spans.push(ImpairedSpan { number: number as u32, impairment, from, to: None });
        }
    }

    /// A server or a process is healthy again in this respect.
    pub fn end_impairment(spans: &mut [ImpairedSpan], number: usize, impairment: Impairment, to: Micros) {
        for span in spans.iter_mut().filter(|span| span.is_open(number, impairment)) {
            span.to = Some(to);
        }
    }
}
