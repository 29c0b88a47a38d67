//! The exit codes of the program, as `docs/operate/testbed.md` states them.

use std::process::ExitCode;

/// How a command of the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExitStatus(u8);

impl ExitStatus {
    /// Run to its end, every rule and stated bound kept.
    pub const ALL_KEPT: ExitStatus = ExitStatus(0);
    /// Run to its end, a rule or a bound broken.
    pub const RULE_BROKEN: ExitStatus = ExitStatus(1);
    /// The file or the machine does not allow it; nothing was started.
    pub const NOT_ALLOWED: ExitStatus = ExitStatus(2);
    /// The testbed was late: the run does not count.
    pub const TESTBED_LATE: ExitStatus = ExitStatus(3);

    /// The status of a process of this program that ended with this code.
    pub fn of_process(code: u8) -> ExitStatus {
        ExitStatus(code)
    }

    /// The worse of two; a broken rule weighs more than a run that does not count.
    pub fn worse(self, other: ExitStatus) -> ExitStatus {
        if [self, other].contains(&ExitStatus::RULE_BROKEN) {
            return ExitStatus::RULE_BROKEN;
        }
        self.max(other)
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status.0)
    }
}
