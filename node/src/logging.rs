//! The log: lines on standard error, written by a separate thread.

use slog::{o, Drain, Level, LevelFilter, Logger};

/// The maximum number of queued lines. Further ones are dropped, and their number is logged.
const MAX_QUEUED_LINES: usize = 1024;
/// The maximum number of queued lines at level `debug`, where each request logs several lines.
const MAX_QUEUED_DEBUG_LINES: usize = 16 * 1024;

/// A logger for lines of at least this level, which include the process name.
///
/// Lines are dropped if standard error is blocked, such as by a full pipe, so that logging never blocks the single thread
/// that serves requests.
pub(crate) fn logger(level: Level, name: &str) -> Logger {
    let max_queued_lines = if level == Level::Debug { MAX_QUEUED_DEBUG_LINES } else { MAX_QUEUED_LINES };
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(max_queued_lines)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("name" => name.to_owned()))
}
