//! Why a run did not start, or could not go on.

use std::io;
use std::path::PathBuf;

/// Why a run gives no record.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The file or the machine does not allow it: nothing was started.
    #[error(transparent)]
    NotAllowed(#[from] SetupError),
    /// It began and could not go on.
    #[error(transparent)]
    Broken(#[from] RunError),
}

/// What the file or the machine lacks for a run.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// The runtime does not start.
    #[error("cannot start: {0}")]
    Runtime(#[source] io::Error),
    /// No socket can be bound for the servers, the origin, discovery or the relay.
    #[error("no door can be opened: {0}")]
    Listener(#[source] io::Error),
    /// No port is free for a process.
    #[error("no free port: {0}")]
    NoFreePort(#[source] io::Error),
    /// The path of the program makes no sense here.
    #[error("fleet.program: {0}")]
    ProgramPath(#[source] io::Error),
    /// The program is not built.
    #[error("fleet.program: {0} is not there; build it first (cargo build --release) or name another")]
    NoProgram(String),
    /// A folder cannot be made.
    #[error("{folder}: {source}")]
    Folder {
        /// Which one.
        folder: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// A file of a process cannot be written.
    #[error("{}: {source}", folder.display())]
    ProcessFile {
        /// The process's folder.
        folder: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The operators' file cannot be read.
    #[error("fleet.operator: {path}: {source}")]
    OperatorFile {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The operators' file is no TOML.
    #[error("fleet.operator: {path}: {}", source.message())]
    OperatorFileForm {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: Box<toml::de::Error>,
    },
    /// The limit of open files is not known.
    #[error("the limit of open files cannot be read: {0}")]
    OpenFileLimit(#[source] nix::Error),
    /// The limit of open files is too low.
    #[error(
        "the run needs about {needed} open files and the limit is {limit}: raise it (ulimit -n {needed}) or take fewer \
         balancers or hosts"
    )]
    TooFewOpenFiles {
        /// Open files that the run needs.
        needed: usize,
        /// The machine's limit.
        limit: u64,
    },
    /// The run needs too many ports.
    #[error(
        "the run needs {needed} ports and {limit} are the most: take fewer hosts, or name fewer groups on links"
    )]
    TooManyPorts {
        /// Ports that the run needs.
        needed: usize,
        /// The most of a run.
        limit: usize,
    },
    /// What a scale test's arguments or the machine lack for it.
    #[error("{0}")]
    ScaleTest(String),
}

/// What kept a run from going on.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A process did not become ready.
    #[error("balancer {balancer} did not come up; its log ends:\n{log_end}")]
    ProcessNotReady {
        /// The process's number.
        balancer: usize,
        /// The last lines of its log.
        log_end: String,
    },
    /// A process could not be started.
    #[error("balancer {balancer}: {}: {source}", path.display())]
    ProcessStart {
        /// The process's number.
        balancer: usize,
        /// Its log or the program.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The sockets of a scale test failed.
    #[error("the sockets of a scale test: {0}")]
    ScaleTest(#[source] io::Error),
}
