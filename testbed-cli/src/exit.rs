//! The exit codes of the program, as documented in `docs/operate/testbed.md`.

use std::process::ExitCode;

/// How a command of the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExitStatus(u8);

impl ExitStatus {
    /// The run completed, with every rule and stated bound kept.
    pub const PASSED: ExitStatus = ExitStatus(0);
    /// A rule or a stated bound was broken, a process crashed, the run was aborted, or its files could not be written.
    pub const FAILED: ExitStatus = ExitStatus(1);
    /// The command cannot do its work: its arguments, a file or the machine do not allow it. `run` has started nothing; a
    /// scale test whose files cannot be written ends with this code too.
    pub const CANNOT_RUN: ExitStatus = ExitStatus(2);
    /// The testbed fell behind its schedule, so the run does not count.
    pub const TESTBED_LATE: ExitStatus = ExitStatus(3);

    /// The status of a child process of this program that exited with this code.
    pub fn from_exit_code(code: u8) -> ExitStatus {
        ExitStatus(code)
    }

    /// The worse of two statuses. `FAILED` is the worst; otherwise the greater code is the worse one.
    pub fn worse(self, other: ExitStatus) -> ExitStatus {
        if [self, other].contains(&ExitStatus::FAILED) {
            return ExitStatus::FAILED;
        }
        self.max(other)
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status.0)
    }
}
