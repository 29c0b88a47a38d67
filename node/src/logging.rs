//! The log: lines on standard error, written by a thread of their own.

use slog::{o, Drain, Level, LevelFilter, Logger};

/// How many lines may wait to be written; more are dropped, and the log says how many.
const QUEUED_LINES: usize = 1024;
/// The same where each request has lines of its own.
const QUEUED_DEBUG_LINES: usize = 16 * 1024;

/// A logger of the lines from this level on, which name the process.
///
/// A full pipe must not hold the one thread up that serves: lines are dropped then.
pub(crate) fn logger(level: Level, name: &str) -> Logger {
    let queued_lines = if level == Level::Debug { QUEUED_DEBUG_LINES } else { QUEUED_LINES };
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(queued_lines)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("name" => name.to_owned()))
}
