//! The exit codes of the laboratory's requests.

/// Played, every rule and stated bound kept.
pub const KEPT: u8 = 0;
/// Played, something broken.
pub const BROKEN: u8 = 1;
/// The file or the machine does not allow it; nothing was started.
pub const NOT_ALLOWED: u8 = 2;
/// The rig was late: the run does not count.
pub const LATE: u8 = 3;
