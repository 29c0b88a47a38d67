//! The event log of a run: requests and answers of clients, attempts received by servers and the origin, discovery's
//! notices to balancers, and the times in which servers and processes were impaired. Apart from the
//! balancers' reports about themselves, the checker reads nothing else of a run.
//!
//! All times count from the start of the run. Requests are in the order in which they were sent, attempts in the
//! order in which they were received.

#[cfg(test)]
mod tests;

use std::fmt;

use crate::Micros;

/// The result of a request, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Served with a value or a receipt that a server or the origin produced for the request.
    Served,
    /// Served with a value that neither a server nor the origin produced for the request.
    WrongValue,
    /// Rejected by its balancer.
    Rejected,
    /// Failed.
    Failed,
    /// No balancer accepted the complete request.
    NotAccepted,
    /// The client disconnected before its deadline and before an answer.
    ClientLeft,
    /// Accepted, but without a final answer.
    NoAnswer,
    /// Accepted, but the connection ended before a complete answer.
    ConnectionClosed,
    /// The request's new connection was closed at once without an answer, as by a balancer at its connection limit.
    ConnectionRejected,
}

/// The name in tables and request traces, which stays the same when a variant is renamed.
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

/// A request of a client; each retry of a client is a separate request.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The request's id.
    pub id: u64,
    /// The id of the client's first request; equal to `id` for the first request itself.
    pub first_id: u64,
    /// The balancer's number.
    pub balancer: u32,
    /// The key's number.
    pub key: u64,
    /// Whether the request is a write.
    pub write: bool,
    /// Time at which the request was planned to be sent.
    pub planned_at: Micros,
    /// Time at which the request's last byte was sent.
    pub sent_at: Micros,
    /// Time at which the client stops waiting.
    pub deadline: Micros,
    /// Time at which the last byte of the answer was received, or the connection ended.
    pub ended_at: Option<Micros>,
    /// The result.
    pub result: RequestResult,
    /// Number of lines after the answer that belong to no request.
    pub extra_lines: u32,
}

impl ClientRequest {
    /// Whether this is the client's first request and not a retry.
    pub fn is_first(&self) -> bool {
        self.id == self.first_id
    }
}

/// The receiver of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Receiver {
    /// The cache server with this number.
    CacheServer(u32),
    /// The origin.
    Origin,
}

/// The name in request traces, which stays the same when a variant is renamed.
impl fmt::Display for Receiver {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Receiver::CacheServer(number) => write!(out, "Host({number})"),
            Receiver::Origin => out.write_str("Origin"),
        }
    }
}

/// The result of an attempt at its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered with a value or a receipt.
    Served,
    /// Cache miss.
    Miss,
    /// Rejected without being executed.
    Rejected,
    /// Failed, but may have been executed.
    Failed,
    /// Not answered, but may have been executed.
    NoAnswer,
}

/// The name in tables and request traces, which stays the same when a variant is renamed.
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

/// An attempt that a server or the origin received completely.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request's id.
    pub id: u64,
    /// The number of the balancer that sent the attempt.
    pub balancer: u32,
    /// The receiver.
    pub receiver: Receiver,
    /// Time at which the first byte was received.
    pub first_byte_at: Micros,
    /// Time at which the last byte was received.
    pub received_at: Micros,
    /// Time at which the answer was sent.
    pub answered_at: Option<Micros>,
    /// The result.
    pub result: AttemptResult,
    /// Whether the server was in slow start; at the origin, whether the fetch follows a miss at a server in slow start.
    pub in_slow_start: bool,
    /// Whether a link fault corrupted the attempt or its answer in transit.
    pub corrupted: bool,
}

impl Attempt {
    /// Whether the receiver may have executed the attempt.
    pub fn may_have_executed(&self) -> bool {
        !matches!(self.result, AttemptResult::Rejected | AttemptResult::Miss)
    }
}

/// A notice from discovery to a balancer about a server's state.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointNotice {
    /// The balancer's number.
    pub balancer: u32,
    /// The server's number.
    pub server: u32,
    /// Whether the server is in service.
    pub in_service: bool,
    /// Time at which the balancer was notified.
    pub at: Micros,
}

/// The way in which a server or a process was unhealthy.
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
    NotRunning,
    /// A process exited after a graceful shutdown: it has to answer every request accepted before.
    ShutDown,
    /// A process is frozen.
    Frozen,
}

/// A period in which a server or a process was unhealthy.
#[derive(Clone, Debug, PartialEq)]
pub struct ImpairedSpan {
    /// The server's or the process's number.
    pub number: u32,
    /// The impairment.
    pub impairment: Impairment,
    /// Start of the period.
    pub from: Micros,
    /// End of the period; `None` if it lasts to the end of the run.
    pub to: Option<Micros>,
}

impl ImpairedSpan {
    /// Whether the span includes any time from `from` to `to`, both inclusive.
    pub fn overlaps(&self, from: Micros, to: Micros) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }

    fn is_open(&self, number: usize, impairment: Impairment) -> bool {
        self.number == number as u32 && self.impairment == impairment && self.to.is_none()
    }
}

/// The start of a balancer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStart {
    /// The balancer's number.
    pub balancer: u32,
    /// Time of the start. The process serves clients some time before the testbed finds it ready.
    pub at: Micros,
}

/// A period in which a balancer's process was stalled. It still has to answer, but may answer later by the stall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStall {
    /// The balancer's number.
    pub balancer: u32,
    /// Start of the stall.
    pub from: Micros,
    /// End of the stall.
    pub to: Micros,
}

/// Everything recorded in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventLog {
    /// Requests, in the order in which they were sent.
    pub requests: Vec<ClientRequest>,
    /// Attempts, in the order in which they were received.
    pub attempts: Vec<Attempt>,
    /// Attempts sent into a cut link, which never arrived.
    pub undelivered: Vec<Attempt>,
    /// Discovery's notices to balancers.
    pub endpoint_notices: Vec<EndpointNotice>,
    /// Periods in which servers were impaired.
    pub server_impairments: Vec<ImpairedSpan>,
    /// Periods in which processes were impaired.
    pub process_impairments: Vec<ImpairedSpan>,
    /// Starts of processes.
    pub process_starts: Vec<ProcessStart>,
    /// Short stalls of processes.
    pub process_stalls: Vec<ProcessStall>,
    /// Servers that collapsed under load in slow start: the server's number and the time.
    pub server_collapses: Vec<(u32, Micros)>,
    /// Stops of the origin: the time, and the share of the requests sent to it that were misses of servers in slow start.
    pub origin_stops: Vec<(Micros, f64)>,
    /// Delays of the testbed itself over a few milliseconds: the time and the delay.
    pub testbed_stalls: Vec<(Micros, Micros)>,
}

impl EventLog {
    /// Opens a span of an impairment, to be closed by [`EventLog::end_impairment`]; no effect if one is already open.
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

    /// Closes the open span of an impairment.
    pub fn end_impairment(spans: &mut [ImpairedSpan], number: usize, impairment: Impairment, to: Micros) {
        for span in spans.iter_mut().filter(|span| span.is_open(number, impairment)) {
            span.to = Some(to);
        }
    }
}
