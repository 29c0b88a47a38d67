//! Calls to the operating system that may fail for a moment at a start or a reload, such as a `bind` or the read of a
//! file: they are made again until they succeed or their time is up.

use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// For how long a failing call is made again.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between two calls.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Whether time does not change this error.
fn is_permanent(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::PermissionDenied | ErrorKind::NotFound | ErrorKind::InvalidInput)
}

/// Makes this call until it succeeds, for [`RETRY_TIMEOUT`] at most.
///
/// # Errors
/// The error of the last call, or the first one that is permanent.
pub async fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + RETRY_TIMEOUT;
    loop {
        match call() {
            Err(error) if !is_permanent(&error) && Instant::now() < give_up_at => sleep(RETRY_INTERVAL).await,
            result => return result,
        }
    }
}

/// The same for callers without a runtime, as the runtime may be what cannot be had yet.
///
/// # Errors
/// As [`retry_transient`].
pub fn retry_transient_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = std::time::Instant::now() + RETRY_TIMEOUT;
    loop {
        match call() {
            Err(error) if !is_permanent(&error) && std::time::Instant::now() < give_up_at => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
