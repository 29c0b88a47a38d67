//! Streams values that clients write to the origin while they arrive.
//!
//! A server begins to execute a request only with its last byte. All other bytes of a streamed value can
//! therefore be sent ahead, at the pace of the client and a few chunks at a time, before the request is
//! complete and before the balancer decides on it; the last byte is the attempt. If a value is interrupted or
//! its request is rejected, it was not executed, and the connection ends.

use std::pin::pin;
use std::rc::Rc;

use bytes::BytesMut;
use juniperladder_dispatch::streamed_value::ChunkReceiver;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use super::connection::{AfterAttempt, UpstreamConnection};
use super::download::STALL_TIMEOUT;
use super::{CounterGuard, Upstream};
use crate::connect::ServerStream;
use crate::dispatcher::{AttemptEnd, ClientRequest, Upload};
use crate::http;

/// The share of the connections to servers (one in this many) that uploads may hold: clients may be slow, and
/// other requests need connections.
const UPLOAD_CONNECTION_DIVISOR: usize = 4;

impl Upstream {
    /// Begins to send a streamed value, if a connection is available. When `upload` is dropped, at once or
    /// later, no more of the value is accepted.
    pub(super) fn start_upload(&self, upload: Upload) {
        let Some(upstream) = self.weak_self.upgrade() else { return };
        let max_uploads = (self.limits.max_connections / UPLOAD_CONNECTION_DIVISOR).max(1);
        if self.uploads.get() >= max_uploads || self.connections.get() >= self.limits.max_connections {
            return;
        }
        let pools = self.pools.borrow();
        let pool = pools.get(&upload.server).filter(|pool| pool.accepts_attempts && pool.is_origin);
        let Some(address) = pool.and_then(|pool| pool.address) else { return };
        let connection = UpstreamConnection { server: upload.server, is_origin: true, address };
        let upload_guard = CounterGuard::new(&self.uploads);
        let owner = Rc::clone(&upstream);
        upstream.spawn_connection(async move { connection.upload(&owner, upload, upload_guard).await });
    }
}

impl UpstreamConnection {
    /// Sends the value, with the last byte as the attempt; then the connection carries other attempts. Ends at once when the
    /// client side has given the value up.
    async fn upload(&self, upstream: &Upstream, upload: Upload, upload_guard: CounterGuard) {
        let Upload { request, value, last_byte: mut last_byte_receiver, .. } = upload;
        let mut last_byte = None;
        let stream = {
            let mut sending = pin!(self.send_all_but_last_byte(upstream, &request, &value));
            loop {
                tokio::select! {
                    stream = &mut sending => break stream,
                    received = &mut last_byte_receiver, if last_byte.is_none() => match received {
                        Ok(received) => last_byte = Some(received),
                        Err(_) => return,
                    },
                }
            }
        };
        // From here on the client side sees that no further chunk is accepted.
        drop(value);
        let Some(mut stream) = stream else {
            last_byte_receiver.close();
            if let Some(last_byte) = last_byte.or_else(|| last_byte_receiver.try_recv().ok()) {
                upstream.end_attempt(self.server, last_byte.attempt.id, AttemptEnd::ConnectFailed);
            }
            return;
        };
        let last_byte = match last_byte {
            Some(last_byte) => last_byte,
            None => match last_byte_receiver.await {
                Ok(last_byte) => last_byte,
                Err(_) => return,
            },
        };
        drop(upload_guard);
        let attempt = last_byte.attempt;
        let time_left = attempt.deadline.saturating_sub(upstream.clock.now());
        if time_left.0 == 0 || !upstream.can_send_on(self) {
            return upstream.end_attempt(self.server, attempt.id, AttemptEnd::NotSent);
        }
        let after = {
            let input = &mut BytesMut::new();
            self.send(upstream, &mut stream, input, attempt, last_byte.byte, time_left).await
        };
        if matches!(after, AfterAttempt::KeepOpen | AfterAttempt::Settle) {
            self.carry_attempts(upstream, stream, Some(after)).await;
        }
    }

    /// Sends all but the last byte, on a connection of its own; `None` if that failed.
    async fn send_all_but_last_byte(
        &self,
        upstream: &Upstream,
        request: &ClientRequest,
        value: &ChunkReceiver,
    ) -> Option<Box<dyn ServerStream>> {
        let mut stream = self.connect(upstream).await.ok()?;
        let length = value.length();
        let (mut head, host) = (BytesMut::new(), self.address.to_string());
        let time_left = request.timeout.unwrap_or_default();
        http::write_request_head(&mut head, request, &host, time_left, Some(length));
        write_in_time(&mut stream, &head).await?;
        let mut remaining_bytes = length - 1;
        while remaining_bytes > 0 {
            let chunk = value.next().await?;
            remaining_bytes = remaining_bytes.checked_sub(chunk.len())?;
            write_in_time(&mut stream, &chunk).await?;
        }
        Some(stream)
    }
}

/// Writes these bytes; `None` if the server takes longer than [`STALL_TIMEOUT`] or the connection breaks.
async fn write_in_time(stream: &mut Box<dyn ServerStream>, bytes: &[u8]) -> Option<()> {
    timeout(STALL_TIMEOUT, stream.write_all(bytes)).await.ok()?.ok()
}

#[cfg(test)]
mod tests;
