//! Events in the simulator's format, and their conversion to the types of `juniperladder`.

use juniperladder::{
    AttemptResult, CompletedAttempt, Endpoint, EndpointState, EndpointUpdate, Key, Micros, Request,
    RequestId, ServerId,
};
use juniperladder_settings::SiteSettings;
use serde::Deserialize;

use crate::error::AdapterError;

/// Remark code of a miss if the server has asked another request to fetch the key.
const REMARK_FETCH_IN_PROGRESS: u32 = 3;

/// One line of input: a time, and the events at that time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// Time of the events in microseconds.
    #[serde(rename = "t")]
    pub now: u64,
    /// The events, in order.
    #[serde(borrow, rename = "in")]
    pub events: Vec<IncomingEvent<'a>>,
}

/// One event. `instance` is the number of the balancer that the event is for.
#[derive(Deserialize)]
#[serde(tag = "event_type", rename_all = "kebab-case")]
pub enum IncomingEvent<'a> {
    /// A balancer starts without any state.
    Start {
        /// Number of the balancer.
        #[serde(rename = "router")]
        instance: u32,
        /// Seed of the balancer's random numbers.
        seed: u64,
        /// Settings of the balancer.
        #[serde(rename = "env")]
        settings: Box<SiteSettings>,
    },
    /// An endpoint list, which later events refer to by its slot.
    #[serde(rename = "manifest")]
    EndpointList {
        /// Slot of the list.
        slot: usize,
        /// The listed servers.
        #[serde(rename = "entries")]
        endpoints: Vec<EndpointEntry>,
    },
    /// Discovery returned the list in this slot, or is unavailable; then the slot is ignored.
    #[serde(rename = "endpoints")]
    EndpointsChanged {
        /// Number of the balancer.
        #[serde(rename = "router")]
        instance: u32,
        /// Slot of the list.
        #[serde(default)]
        slot: usize,
        /// How the list relates to the current one, or that discovery is unavailable.
        form: IncomingUpdate,
    },
    /// A client sent a request.
    #[serde(rename = "req")]
    Request(IncomingRequest<'a>),
    /// Another balancer sent a message, which the balancers of this crate do not use.
    Message {
        /// Number of the balancer.
        #[serde(rename = "router")]
        instance: u32,
        /// Content of the message, in base64.
        #[serde(rename = "msg")]
        base64_text: &'a str,
    },
    /// A streamed response has begun.
    #[serde(rename = "started")]
    ResponseStarted {
        /// Number of the balancer.
        #[serde(rename = "router")]
        instance: u32,
        /// Id of the request.
        #[serde(rename = "op-id")]
        request_id: &'a str,
    },
    /// An attempt has completed.
    #[serde(rename = "done")]
    AttemptCompleted(IncomingCompletedAttempt<'a>),
    /// A load report, which the balancers of this crate do not use.
    #[serde(rename = "sampled")]
    LoadReport {
        /// Number of the balancer.
        #[serde(rename = "router")]
        instance: u32,
    },
    /// A balancer stops.
    #[serde(rename = "retire")]
    Stop {
        /// Number of the balancer.
        #[serde(rename = "router")]
        instance: u32,
    },
    /// A timer is due.
    #[serde(rename = "fired")]
    Timer {
        /// Number of the balancer.
        #[serde(rename = "router")]
        instance: u32,
        /// Token of the timer.
        token: u64,
    },
    /// The client has disconnected.
    #[serde(rename = "aborted")]
    ClientDisconnected {
        /// Number of the balancer.
        #[serde(rename = "router")]
        instance: u32,
        /// Id of the request.
        #[serde(rename = "op-id")]
        request_id: &'a str,
    },
}

/// A request in the simulator's format.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct IncomingRequest<'a> {
    /// Number of the balancer.
    #[serde(rename = "router")]
    pub instance: u32,
    /// Id of the request.
    #[serde(rename = "op-id")]
    request_id: &'a str,
    /// Time at which the client stops waiting, in microseconds.
    #[serde(rename = "client-deadline")]
    deadline: u64,
    /// Expected work of the request, in microseconds.
    #[serde(rename = "estimate")]
    expected_work: Option<u64>,
    /// Key of the object.
    #[serde(rename = "resource")]
    key: Option<u64>,
    /// Whether the request writes the object.
    #[serde(default)]
    is_write: bool,
    /// Index of the request's class.
    #[serde(default, rename = "lane")]
    class: u32,
    /// Index of the request's tenant.
    #[serde(default, rename = "user-group")]
    tenant: u32,
    /// Whether the request is the client's retry of an earlier request.
    #[serde(default, rename = "again-by-client")]
    is_client_retry: bool,
}

impl IncomingRequest<'_> {
    /// Converts the request to the type of `juniperladder`.
    ///
    /// # Errors
    /// The id is not 36 characters long.
    pub fn to_request(&self) -> Result<Request, AdapterError> {
        Ok(Request {
            id: parse_request_id(self.request_id)?,
            deadline: Micros(self.deadline),
            expected_work: self.expected_work.map(Micros),
            key: self.key.map(Key),
            is_write: self.is_write,
            class: self.class,
            tenant: self.tenant,
            is_client_retry: self.is_client_retry,
        })
    }
}

/// A completed attempt in the simulator's format.
#[derive(Deserialize)]
pub struct IncomingCompletedAttempt<'a> {
    /// Number of the balancer.
    #[serde(rename = "router")]
    pub instance: u32,
    /// Id of the request.
    #[serde(rename = "op-id")]
    request_id: &'a str,
    /// Remark of the server as a code; 0 for none.
    #[serde(default)]
    remark: u32,
    /// Whether the request is closed and needs no further decisions.
    #[serde(default, rename = "closed")]
    is_request_closed: bool,
    /// Number of the attempt within its request, from zero.
    #[serde(default, rename = "round-no")]
    attempt: u32,
    /// Number of the server.
    server: u32,
    /// Latency of the attempt in microseconds.
    #[serde(default, rename = "elapsed")]
    latency: u64,
    /// Result of the attempt.
    result: IncomingResult,
}

impl IncomingCompletedAttempt<'_> {
    /// Converts the attempt to the type of `juniperladder`.
    ///
    /// # Errors
    /// The id is not 36 characters long.
    pub fn to_completed_attempt(&self) -> Result<CompletedAttempt, AdapterError> {
        Ok(CompletedAttempt {
            id: parse_request_id(self.request_id)?,
            server: ServerId(self.server.into()),
            attempt: self.attempt,
            latency: Micros(self.latency),
            result: self.result.into(),
            is_request_closed: self.is_request_closed,
            fetch_in_progress: self.remark == REMARK_FETCH_IN_PROGRESS,
        })
    }
}

/// The result of an attempt.
#[derive(Deserialize, Clone, Copy)]
enum IncomingResult {
    #[serde(rename = "completed")]
    Served,
    #[serde(rename = "errored")]
    Error,
    #[serde(rename = "saturated")]
    Rejected,
    #[serde(rename = "overdue")]
    Timeout,
    #[serde(rename = "refused_conn")]
    ConnectFailed,
    #[serde(rename = "severed")]
    Reset,
    #[serde(rename = "recalled")]
    Cancelled,
    #[serde(rename = "superseded")]
    NotSent,
    #[serde(rename = "lookup_miss")]
    Miss,
}

impl From<IncomingResult> for AttemptResult {
    fn from(result: IncomingResult) -> AttemptResult {
        match result {
            IncomingResult::Served => AttemptResult::Served,
            IncomingResult::Error => AttemptResult::Error,
            IncomingResult::Rejected => AttemptResult::Rejected,
            IncomingResult::Timeout => AttemptResult::Timeout,
            IncomingResult::ConnectFailed => AttemptResult::ConnectFailed,
            IncomingResult::Reset => AttemptResult::Reset,
            IncomingResult::Cancelled => AttemptResult::Cancelled,
            IncomingResult::NotSent => AttemptResult::NotSent,
            IncomingResult::Miss => AttemptResult::Miss,
        }
    }
}

/// How an endpoint list relates to the current one, or that discovery is unavailable.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
pub enum IncomingUpdate {
    #[serde(rename = "update")]
    Delta,
    #[serde(rename = "replace")]
    Snapshot,
    #[serde(rename = "restored")]
    Restored,
    #[serde(rename = "unavailable")]
    Unavailable,
}

impl From<IncomingUpdate> for EndpointUpdate {
    fn from(form: IncomingUpdate) -> EndpointUpdate {
        match form {
            IncomingUpdate::Delta => EndpointUpdate::Delta,
            IncomingUpdate::Snapshot => EndpointUpdate::Snapshot,
            IncomingUpdate::Restored => EndpointUpdate::Restored,
            IncomingUpdate::Unavailable => EndpointUpdate::Unavailable,
        }
    }
}

/// One server of an endpoint list.
#[derive(Deserialize)]
pub struct EndpointEntry {
    /// Number of the server.
    server: u32,
    /// Number of the server's zone.
    #[serde(default, rename = "locality")]
    zone: u32,
    /// Number of the server's kind of machine.
    #[serde(default, rename = "sku")]
    kind: u32,
    /// Number of the server's cell.
    #[serde(default, rename = "bay")]
    cell: u32,
    /// State of the server.
    #[serde(default, rename = "stage-state")]
    state: IncomingState,
    /// Capacity of the server relative to others.
    #[serde(default = "default_weight", rename = "capacity-hint")]
    weight: f64,
    /// Time of the server's last start, in microseconds; zero if that was long ago.
    #[serde(default, rename = "came-up")]
    started: u64,
}

/// Weight of a server whose capacity is not given.
fn default_weight() -> f64 {
    1.0
}

impl From<&EndpointEntry> for Endpoint {
    fn from(entry: &EndpointEntry) -> Endpoint {
        Endpoint {
            server: ServerId(entry.server.into()),
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            state: entry.state.into(),
            weight: entry.weight,
            started: Micros(entry.started),
        }
    }
}

/// State of a server.
#[derive(Deserialize, Clone, Copy, Default)]
#[serde(rename_all = "UPPERCASE")]
enum IncomingState {
    #[default]
    Serving,
    Draining,
    Deleted,
}

impl From<IncomingState> for EndpointState {
    fn from(state: IncomingState) -> EndpointState {
        match state {
            IncomingState::Serving => EndpointState::Serving,
            IncomingState::Draining => EndpointState::Draining,
            IncomingState::Deleted => EndpointState::Deleted,
        }
    }
}

/// Parses the id of a request.
///
/// # Errors
/// The text is not 36 characters long.
pub fn parse_request_id(text: &str) -> Result<RequestId, AdapterError> {
    let bytes = text.as_bytes().try_into();
    bytes.map(RequestId).map_err(|_| AdapterError::RequestId { text: text.to_owned() })
}
