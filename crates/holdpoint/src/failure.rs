//! Errors of commands and their exit codes.

use std::{fmt, process::ExitCode};

use holdpoint_emulator::plot::PlotError;
use holdpoint_platform::operators::ApiError;
use holdpoint_soak::StartError;
use serde_json::Value;

/// Error of a command.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The async runtime cannot be started.
    Runtime,
    /// A file or an argument is invalid.
    Input(String),
    /// The instance or the store did not answer, or refused the call.
    Api(ApiError),
    /// A change conflicts with another.
    Conflict(String),
    /// A change is not yet applied everywhere, or its outcome is unknown.
    NotApplied(String),
    /// Guarantees were violated; holds the number of violations.
    Violated(u64),
    /// A benchmark, check or roll-out did not reach its expected result.
    Unmet(String),
    /// The daemon under soak test cannot be started.
    Soak(StartError),
    /// A plot cannot be drawn or written.
    Plot(PlotError),
}

impl Failure {
    /// Exit code of the process, as listed in the operators' documentation.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Runtime | Failure::Soak(_) | Failure::Plot(_) => 1,
            Failure::Input(_) => 2,
            Failure::Api(ApiError::Refused(..)) => 3,
            Failure::Api(ApiError::Call(_)) => 4,
            Failure::Conflict(_) => 5,
            Failure::NotApplied(_) => 6,
            Failure::Violated(_) => 7,
            Failure::Unmet(_) => 8,
        })
    }
}

impl From<ApiError> for Failure {
    fn from(error: ApiError) -> Failure {
        Failure::Api(error)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Runtime => f.write_str("the async runtime cannot be started"),
            Failure::Input(it) => f.write_str(it),
            Failure::Api(ApiError::Call(it)) => {
                write!(f, "no answer from the instance or the store: {it:?}")
            }
            Failure::Api(ApiError::Refused(status, document)) => {
                write!(f, "refused with status {status}{}", faults(document))
            }
            Failure::Conflict(it) => {
                write!(f, "{it} conflicts with another change; read it again and retry")
            }
            Failure::NotApplied(it) => write!(f, "{it}"),
            Failure::Violated(n) => write!(f, "{n} guarantees violated"),
            Failure::Unmet(it) => write!(f, "expected result not reached: {it}"),
            Failure::Soak(it) => write!(f, "the daemon cannot be started: {it}"),
            Failure::Plot(it) => write!(f, "the plot cannot be drawn: {it}"),
        }
    }
}

/// Formats the detail and the faults of a problem document, one fault per line.
fn faults(document: &Value) -> String {
    let mut lines = String::new();
    if let Some(it) = document["detail"].as_str().or(document["title"].as_str()) {
        lines.push_str(": ");
        lines.push_str(it);
    }
    for fault in document["faults"].as_array().into_iter().flatten() {
        let path = fault["path"].as_str().unwrap_or_default();
        let text = fault["text"].as_str().unwrap_or_default();
        lines.push_str(&format!("\n  {}: {text}", if path.is_empty() { "/" } else { path }));
    }
    lines
}
