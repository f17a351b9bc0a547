//! Executables that a soak runs, and its failure to start them.

use std::{
    fmt,
    fs::File,
    io,
    path::{Path, PathBuf},
};

/// The soak or one of its daemon processes could not be started.
#[derive(Debug)]
pub struct StartError {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Underlying I/O error.
    pub cause: io::Error,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.program.display(), self.cause)
    }
}

impl std::error::Error for StartError {}

/// Daemon executables to run and where to keep their logs.
#[derive(Clone, Debug)]
pub struct Builds {
    pub(crate) daemon: PathBuf,
    former: Option<PathBuf>,
    logs: Option<PathBuf>,
}

impl Builds {
    /// Uses one build for all processes.
    pub fn new(daemon: impl Into<PathBuf>) -> Builds {
        Builds { daemon: daemon.into(), former: None, logs: None }
    }

    /// Alternates with a former build, both between neighbouring processes and between the
    /// restarts of a process.
    pub fn with_former(mut self, former: Option<PathBuf>) -> Builds {
        self.former = former;
        self
    }

    /// Keeps the logs of processes in a folder, one file per seed and process.
    pub fn with_logs(mut self, logs: Option<PathBuf>) -> Builds {
        self.logs = logs;
        self
    }

    /// Creates the log file of a process, if logs are kept.
    pub(crate) fn create_log(&self, seed: u64, process: usize) -> Option<File> {
        let path = self.logs.as_ref()?.join(format!("{seed}-p{process}.log"));
        // Logs are optional: the soak is judged without them.
        File::create(path).ok()
    }

    /// Executable for an incarnation of a process.
    pub(crate) fn program(&self, process: usize, incarnation: usize) -> &Path {
        let former = self.former.as_ref().filter(|_| (process + incarnation) % 2 == 1);
        former.unwrap_or(&self.daemon)
    }
}
