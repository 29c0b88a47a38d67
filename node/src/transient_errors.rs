//! Retries system calls that may fail transiently at a start or a reload, such as a `bind` or a file read, until they
//! succeed or a timeout expires.

use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// How long a failing call is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Whether a retry cannot succeed after this error.
fn is_permanent(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::PermissionDenied | ErrorKind::NotFound | ErrorKind::InvalidInput)
}

/// Retries this call until it succeeds, for at most [`RETRY_TIMEOUT`].
///
/// # Errors
/// The first permanent error, or the error of the last attempt.
pub async fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        match call() {
            Err(error) if !is_permanent(&error) && Instant::now() < deadline => sleep(RETRY_INTERVAL).await,
            result => return result,
        }
    }
}

/// Like [`retry_transient`], for callers without an asynchronous runtime, such as the creation of the runtime itself.
///
/// # Errors
/// The first permanent error, or the error of the last attempt.
pub fn retry_transient_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let deadline = std::time::Instant::now() + RETRY_TIMEOUT;
    loop {
        match call() {
            Err(error) if !is_permanent(&error) && std::time::Instant::now() < deadline => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
