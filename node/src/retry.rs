//! Retries for a moment of calls at the start and at a reload that this machine may refuse for a moment: sockets and files.

use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// For how long a call is tried again, and how long after each failure.
const PATIENCE: Duration = Duration::from_secs(3);
const AGAIN: Duration = Duration::from_millis(50);

/// Whether it makes no sense to try again: it is not the moment that is wrong.
fn is_lasting(problem: &io::Error) -> bool {
    matches!(problem.kind(), ErrorKind::PermissionDenied | ErrorKind::NotFound | ErrorKind::InvalidInput)
}

/// Makes this call until it succeeds, for [`PATIENCE`] at most.
///
/// # Errors
/// The last one, or the first that will not pass with time.
pub async fn for_a_moment<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + PATIENCE;
    loop {
        match call() {
            Err(problem) if !is_lasting(&problem) && Instant::now() < until => sleep(AGAIN).await,
            done => return done,
        }
    }
}

/// The same without a runtime, which may be what cannot be had.
///
/// # Errors
/// As [`for_a_moment`].
pub fn for_a_moment_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = std::time::Instant::now() + PATIENCE;
    loop {
        match call() {
            Err(problem) if !is_lasting(&problem) && std::time::Instant::now() < until => {
                std::thread::sleep(AGAIN);
            }
            done => return done,
        }
    }
}
