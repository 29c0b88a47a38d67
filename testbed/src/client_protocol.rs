//! The client protocol: encodes requests and parses answers. The parser is separate from the program's codec, so that the
//! codec is not tested against itself.

use juniperladder_platform_model::event_log::RequestResult;
use juniperladder_platform_model::workload::key_name;
use juniperladder_platform_model::{micros_from_millis, Micros};
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

use crate::testbed::{receipt_of, value_of};

/// Maximum length of an answer's line, in bytes; a longer line counts as no answer.
const MAX_ANSWER_LINE: u64 = 8_192;
/// Maximum length of a value, in bytes.
const MAX_VALUE_LENGTH: usize = 65_536;

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct WireRequest {
    /// Id of the request.
    pub id: u64,
    /// The id of the client's first request, which is the idempotency key of a write.
    pub first_id: u64,
    /// Number of the key.
    pub key: u64,
    /// Whether it is a write.
    pub write: bool,
    /// Whether it is a client's retry.
    pub is_retry: bool,
    /// Time for which the client waits, as the request states it.
    pub time: Micros,
}

impl WireRequest {
    /// The wire form of the request. It has the key's number as a property, for the testbed's servers.
    pub fn wire_form(&self) -> String {
        let WireRequest { id, first_id, key, .. } = *self;
        let name = key_name(key);
        let millis = self.time / 1_000;
        let retry = if self.is_retry { ",r=1" } else { "" };
        if self.write {
            let value = format!("written {first_id:016x}");
            let length = value.len();
            format!(
                "ms {name} {length} O{id:016x} Pc=put,d={millis},k={first_id:016x},q={key}{retry}\r\n{value}\r\n"
            )
        } else {
            format!("mg {name} v O{id:016x} Pc=read,d={millis},q={key}{retry}\r\n")
        }
    }
}

/// A parsed answer.
#[derive(Clone, Copy, Debug)]
pub struct ParsedAnswer {
    /// Result of the request.
    pub result: RequestResult,
    /// Time after which a rejected client may retry.
    pub retry_after: Micros,
}

/// Reads the answer to a request; `None` if the connection ends before the answer is complete.
pub async fn read_answer(
    connection: &mut (impl AsyncBufRead + Unpin),
    request: &WireRequest,
) -> Option<ParsedAnswer> {
    let mut line = Vec::new();
    (&mut *connection).take(MAX_ANSWER_LINE).read_until(b'\n', &mut line).await.ok()?;
    let line = std::str::from_utf8(line.strip_suffix(b"\r\n")?).unwrap_or_default();
    let words: Vec<&str> = line.split(' ').collect();
    let id_flag = format!("O{:016x}", request.id);
    let (result, retry_after) = match words[..] {
        ["SERVER_ERROR", "busy"] => (RequestResult::Rejected, 0),
        ["SERVER_ERROR", "busy", millis] => {
            (RequestResult::Rejected, micros_from_millis(millis.parse().unwrap_or(0.0)))
        }
        ["VA", length, flag, ..] => {
            let value = read_value(connection, length.parse().ok()?).await?;
            let is_right = value == value_of(request.id, request.key).as_bytes();
            (served_if(is_right && flag == id_flag && !request.write), 0)
        }
        ["HD", flag, receipt, ..] => {
            let is_right = receipt.strip_prefix('c') == Some(&receipt_of(request.first_id));
            (served_if(is_right && flag == id_flag && request.write), 0)
        }
        _ => (RequestResult::Failed, 0),
    };
    Some(ParsedAnswer { result, retry_after })
}

/// Reads a value and its line end.
async fn read_value(connection: &mut (impl AsyncBufRead + Unpin), length: usize) -> Option<Vec<u8>> {
    if length > MAX_VALUE_LENGTH {
        return None;
    }
    let mut value = vec![0; length + 2];
    connection.read_exact(&mut value).await.ok()?;
    value.truncate(length);
    Some(value)
}

fn served_if(is_right: bool) -> RequestResult {
    if is_right {
        RequestResult::Served
    } else {
        RequestResult::WrongValue
    }
}
