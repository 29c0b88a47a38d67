//! Errors that prevent a run from starting or abort it.

use std::io;
use std::path::PathBuf;

/// Error of a run that returns no record.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The experiment file or the machine does not allow the run; no process was started.
    #[error(transparent)]
    Setup(#[from] SetupError),
    /// The run had begun and was aborted.
    #[error(transparent)]
    Aborted(#[from] RunError),
}

/// Error in the preparation of a run.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// The async runtime cannot be started.
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// No socket can be bound for the servers, the origin, discovery or the peer relay.
    #[error("cannot bind a loopback socket for the servers, the origin, discovery or the peer relay: {0}")]
    Listener(#[source] io::Error),
    /// No port can be reserved for a process.
    #[error("cannot reserve a port for a process: {0}")]
    NoFreePort(#[source] io::Error),
    /// The path of the program cannot be made absolute.
    #[error("fleet.program: cannot resolve the path: {0}")]
    ProgramPath(#[source] io::Error),
    /// The program does not exist.
    #[error("fleet.program: {0} does not exist; build it first (cargo build --release) or set another path")]
    NoProgram(String),
    /// A folder cannot be created.
    #[error("cannot create {folder}: {source}")]
    Folder {
        /// Description of the folder.
        folder: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A configuration file of a process cannot be written.
    #[error("cannot write a configuration file in {}: {source}", folder.display())]
    ProcessFile {
        /// Folder of the process.
        folder: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The operators' file cannot be read.
    #[error("fleet.operator: cannot read {path}: {source}")]
    OperatorFile {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The operators' file is not valid TOML.
    #[error("fleet.operator: {path} is not valid TOML: {}", source.message())]
    OperatorFileSyntax {
        /// Path of the file.
        path: String,
        /// Error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// The limit of open files cannot be read.
    #[error("cannot read the limit of open files (RLIMIT_NOFILE): {0}")]
    OpenFileLimit(#[source] nix::Error),
    /// The limit of open files is too low.
    #[error(
        "the run needs about {needed} open files and the limit is {limit}: raise the limit (ulimit -n {needed}) or use \
         fewer balancers or hosts"
    )]
    TooFewOpenFiles {
        /// Number of open files that the run needs.
        needed: usize,
        /// Limit of the machine (RLIMIT_NOFILE).
        limit: u64,
    },
    /// The run needs too many ports.
    #[error(
        "the run needs {needed} ports and the maximum is {limit}: use fewer hosts, or name fewer groups in link faults"
    )]
    TooManyPorts {
        /// Number of ports that the run needs.
        needed: usize,
        /// Maximum number of ports of a run.
        limit: usize,
    },
    /// The arguments of a scale test are invalid, or the machine lacks resources for it.
    #[error("{0}")]
    ScaleTest(String),
}

/// Error that aborts a run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A process did not become ready.
    #[error("balancer {balancer} did not become ready; its log ends:\n{log_end}")]
    ProcessNotReady {
        /// Number of the balancer.
        balancer: usize,
        /// Last lines of the process's log.
        log_end: String,
    },
    /// A process could not be started.
    #[error("cannot start balancer {balancer}: {}: {source}", path.display())]
    ProcessStart {
        /// Number of the balancer.
        balancer: usize,
        /// Path that could not be opened or executed: the process's log, or the program.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A socket of a scale test failed.
    #[error("socket error in a scale test: {0}")]
    ScaleTest(#[source] io::Error),
}
