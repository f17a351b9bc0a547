//! Why a command failed, and its exit code.

use std::{fmt, process::ExitCode};

use holdpoint_emulator::plot::PlotError;
use holdpoint_platform::operators::ApiError;
use holdpoint_soak::CannotStart;
use serde_json::Value;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No thread can be started.
    Runtime,
    /// A file cannot be used.
    File(String),
    /// The instance gave no answer or refused.
    Api(ApiError),
    /// A change lost to another.
    Conflict(String),
    /// A change is not yet in force everywhere, or not known to be.
    NotInForce(String),
    /// A promise broke.
    Broken(u64),
    /// An experiment did not meet what it must show.
    NotMet(String),
    /// The daemon of a soak cannot be started.
    Soak(CannotStart),
    /// A plot cannot be drawn or written.
    Plot(PlotError),
}

impl Failure {
    /// Exit code; the operators' page lists them.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Runtime | Failure::Soak(_) | Failure::Plot(_) => 1,
            Failure::File(_) => 2,
            Failure::Api(ApiError::Refused(..)) => 3,
            Failure::Api(ApiError::Call(_)) => 4,
            Failure::Conflict(_) => 5,
            Failure::NotInForce(_) => 6,
            Failure::Broken(_) => 7,
            Failure::NotMet(_) => 8,
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
            Failure::Runtime => f.write_str("no thread can be started"),
            Failure::File(it) => f.write_str(it),
            Failure::Api(ApiError::Call(it)) => write!(f, "the instance gave no answer: {it:?}"),
            Failure::Api(ApiError::Refused(status, document)) => {
                write!(f, "refused with status {status}{}", faults(document))
            }
            Failure::Conflict(it) => {
                write!(f, "{it} lost to another change; read it and try again")
            }
            Failure::NotInForce(it) => write!(f, "{it}"),
            Failure::Broken(n) => write!(f, "{n} promises broke"),
            Failure::NotMet(it) => write!(f, "not met: {it}"),
            Failure::Soak(it) => write!(f, "the daemon cannot be started: {it}"),
            Failure::Plot(it) => write!(f, "the plot cannot be drawn: {it}"),
        }
    }
}

/// The texts of a problem document that an operator can act on, a line each.
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
