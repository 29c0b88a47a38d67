//! Actions in the simulator's format.

use juniperladder::{Action, RequestId};
use serde::Serialize;

/// One action. `instance` is the number of the balancer that issues the action; times are in microseconds.
#[derive(Serialize)]
#[serde(tag = "event_type", rename_all = "kebab-case")]
enum OutgoingAction<'a> {
    #[serde(rename = "submit-to")]
    Send {
        #[serde(rename = "router")]
        instance: u32,
        #[serde(rename = "op-id")]
        request_id: String,
        server: u64,
        #[serde(rename = "max-wait")]
        timeout: u64,
    },
    #[serde(rename = "push-back")]
    Reject {
        #[serde(rename = "router")]
        instance: u32,
        #[serde(rename = "op-id")]
        request_id: String,
        #[serde(rename = "backoff")]
        retry_after: u64,
    },
    #[serde(rename = "finish-error")]
    Fail {
        #[serde(rename = "router")]
        instance: u32,
        #[serde(rename = "op-id")]
        request_id: String,
    },
    #[serde(rename = "remind")]
    Timer {
        #[serde(rename = "router")]
        instance: u32,
        #[serde(rename = "moment")]
        at: u64,
        token: u64,
    },
    #[serde(rename = "track")]
    WatchEndpoints {
        #[serde(rename = "router")]
        instance: u32,
        on: bool,
    },
    #[serde(rename = "remark")]
    Log {
        #[serde(rename = "router")]
        instance: u32,
        line: &'a str,
    },
}

impl<'a> OutgoingAction<'a> {
    fn new(instance: u32, action: &'a Action) -> OutgoingAction<'a> {
        match action {
            Action::Send { id, server, timeout } => OutgoingAction::Send {
                instance,
                request_id: request_id_text(id),
                server: server.0,
                timeout: timeout.0,
            },
            Action::Reject { id, retry_after, .. } => OutgoingAction::Reject {
                instance,
                request_id: request_id_text(id),
                retry_after: retry_after.0,
            },
            Action::Fail { id } => OutgoingAction::Fail { instance, request_id: request_id_text(id) },
            Action::Timer { at, token } => OutgoingAction::Timer { instance, at: at.0, token: *token },
            Action::WatchEndpoints => OutgoingAction::WatchEndpoints { instance, on: true },
            Action::Log(line) => OutgoingAction::Log { instance, line },
        }
    }
}

fn request_id_text(id: &RequestId) -> String {
    String::from_utf8_lossy(&id.0).into_owned()
}

/// Appends an action of this balancer as one JSON object with its keys in alphabetical order.
///
/// # Errors
/// The action cannot be written as JSON.
pub fn write_action(out: &mut Vec<u8>, instance: u32, action: &Action) -> serde_json::Result<()> {
    // Converting to a `Value` sorts the keys.
    let object = serde_json::to_value(OutgoingAction::new(instance, action))?;
    serde_json::to_writer(out, &object)
}
