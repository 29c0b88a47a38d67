//! Events as the simulator writes them, and their translation to the terms of the decisions.

use juniperladder::{
    AttemptResult, CompletedAttempt, Endpoint, EndpointState, EndpointUpdate, Key, Micros, Request,
    RequestId, ServerId,
};
use juniperladder_settings::SiteSettings;
use serde::Deserialize;

use crate::error::AdapterError;

/// The remark of a miss whose key the server has asked another request to fetch.
const REMARK_FETCH_IN_PROGRESS: u32 = 3;

/// One line of input: the clock in microseconds, and the events that happen at that time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// The time of the events in microseconds.
    #[serde(rename = "t")]
    pub now: u64,
    /// What happened then, in order.
    #[serde(borrow, rename = "in")]
    pub events: Vec<IncomingEvent<'a>>,
}

/// One event. `instance` is the number of the balancer that it concerns.
#[derive(Deserialize)]
#[serde(tag = "event_type", rename_all = "kebab-case")]
pub enum IncomingEvent<'a> {
    /// A balancer starts, without any state.
    Start {
        /// The balancer that it concerns.
        #[serde(rename = "router")]
        instance: u32,
        /// For its random numbers.
        seed: u64,
        /// Its settings.
        #[serde(rename = "env")]
        settings: Box<SiteSettings>,
    },
    /// An endpoint list that later events name by its slot.
    #[serde(rename = "manifest")]
    EndpointList {
        /// The slot of the list.
        slot: usize,
        /// The servers.
        #[serde(rename = "entries")]
        endpoints: Vec<EndpointEntry>,
    },
    /// Discovery answered with the list in this slot, or failed.
    #[serde(rename = "endpoints")]
    EndpointsChanged {
        /// The balancer that it concerns.
        #[serde(rename = "router")]
        instance: u32,
        /// The slot of the list.
        #[serde(default)]
        slot: usize,
        /// How the list relates to the one in use.
        form: EndpointsForm,
    },
    /// A request has come in.
    #[serde(rename = "req")]
    Request(IncomingRequest<'a>),
    /// Another balancer sent bytes, which these decisions do not use.
    Message {
        /// The balancer that it concerns.
        #[serde(rename = "router")]
        instance: u32,
        /// The bytes.
        #[serde(rename = "msg")]
        base64_text: &'a str,
    },
    /// A streamed response has begun.
    #[serde(rename = "started")]
    ResponseStarted {
        /// The balancer that it concerns.
        #[serde(rename = "router")]
        instance: u32,
        /// The id of the request.
        #[serde(rename = "op-id")]
        request_id: &'a str,
    },
    /// An attempt has ended.
    #[serde(rename = "done")]
    AttemptCompleted(IncomingCompletedAttempt<'a>),
    /// A load report, which these decisions do not use.
    #[serde(rename = "sampled")]
    LoadReport {
        /// The balancer that it concerns.
        #[serde(rename = "router")]
        instance: u32,
    },
    /// A balancer ends.
    #[serde(rename = "retire")]
    Stop {
        /// The balancer that it concerns.
        #[serde(rename = "router")]
        instance: u32,
    },
    /// A timer is due.
    #[serde(rename = "fired")]
    Timer {
        /// The balancer that it concerns.
        #[serde(rename = "router")]
        instance: u32,
        /// Which timer.
        token: u64,
    },
    /// The client has left.
    #[serde(rename = "aborted")]
    ClientDisconnected {
        /// The balancer that it concerns.
        #[serde(rename = "router")]
        instance: u32,
        /// The id of the request.
        #[serde(rename = "op-id")]
        request_id: &'a str,
    },
}

/// A request as the simulator writes it.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct IncomingRequest<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "router")]
    pub instance: u32,
    /// The id of the request.
    #[serde(rename = "op-id")]
    request_id: &'a str,
    /// When the client gives up, in microseconds.
    #[serde(rename = "client-deadline")]
    deadline: u64,
    /// The work that it is expected to cost, in microseconds.
    #[serde(rename = "estimate")]
    expected_work: Option<u64>,
    /// The key of the object.
    #[serde(rename = "resource")]
    key: Option<u64>,
    /// Whether it writes the object.
    #[serde(default)]
    is_write: bool,
    /// The number of its class.
    #[serde(default, rename = "lane")]
    class: u32,
    /// The number of its tenant.
    #[serde(default, rename = "user-group")]
    tenant: u32,
    /// Whether the client has sent it before.
    #[serde(default, rename = "again-by-client")]
    is_client_retry: bool,
}

impl IncomingRequest<'_> {
    /// The request in the terms of the decisions.
    ///
    /// # Errors
    /// The id is not 36 characters long.
    pub fn to_request(&self) -> Result<Request, AdapterError> {
        Ok(Request {
            id: request_id(self.request_id)?,
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

/// The end of an attempt as the simulator writes it.
#[derive(Deserialize)]
pub struct IncomingCompletedAttempt<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "router")]
    pub instance: u32,
    /// The id of the request.
    #[serde(rename = "op-id")]
    request_id: &'a str,
    /// What the server remarked, as a code; 0 for nothing.
    #[serde(default)]
    remark: u32,
    /// Whether the request has ended as well.
    #[serde(default, rename = "closed")]
    request_closed: bool,
    /// The number of the attempt within its request.
    #[serde(default, rename = "round-no")]
    attempt: u32,
    /// The number of the server.
    server: u32,
    /// How long it took, in microseconds.
    #[serde(default, rename = "elapsed")]
    latency: u64,
    /// How it ended.
    result: IncomingResult,
}

impl IncomingCompletedAttempt<'_> {
    /// The attempt in the terms of the decisions.
    ///
    /// # Errors
    /// The id is not 36 characters long.
    pub fn to_completed_attempt(&self) -> Result<CompletedAttempt, AdapterError> {
        Ok(CompletedAttempt {
            id: request_id(self.request_id)?,
            server: ServerId(self.server.into()),
            attempt: self.attempt,
            latency: Micros(self.latency),
            result: self.result.into(),
            is_request_over: self.request_closed,
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

/// How a list relates to the one in use.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
pub enum EndpointsForm {
    #[serde(rename = "update")]
    Delta,
    #[serde(rename = "replace")]
    Snapshot,
    #[serde(rename = "restored")]
    Restored,
    #[serde(rename = "unavailable")]
    Unavailable,
}

impl From<EndpointsForm> for EndpointUpdate {
    fn from(form: EndpointsForm) -> EndpointUpdate {
        match form {
            EndpointsForm::Delta => EndpointUpdate::Delta,
            EndpointsForm::Snapshot => EndpointUpdate::Snapshot,
            EndpointsForm::Restored => EndpointUpdate::Restored,
            EndpointsForm::Unavailable => EndpointUpdate::Unavailable,
        }
    }
}

/// One server of an endpoint list.
#[derive(Deserialize)]
pub struct EndpointEntry {
    /// The number of the server.
    server: u32,
    /// The number of its zone.
    #[serde(default, rename = "locality")]
    zone: u32,
    /// The number of its kind of machine.
    #[serde(default, rename = "sku")]
    kind: u32,
    /// The number of its cell.
    #[serde(default, rename = "bay")]
    cell: u32,
    /// Whether it serves.
    #[serde(default, rename = "stage-state")]
    state: IncomingState,
    /// Its size relative to others.
    #[serde(default = "default_weight", rename = "capacity-hint")]
    weight: f64,
    /// When it started, in microseconds.
    #[serde(default, rename = "came-up")]
    started: u64,
}

/// The weight of a server whose size is not given.
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

/// A server's state.
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

/// A request's id from its text.
///
/// # Errors
/// The text is not 36 characters long.
pub fn request_id(text: &str) -> Result<RequestId, AdapterError> {
    let bytes = text.as_bytes().try_into();
    bytes.map(RequestId).map_err(|_| AdapterError::RequestId { text: text.to_owned() })
}
