//! Loads settings from JSON with comments and checks them before anything starts. The schema is checked
//! first, then the constraints between fields; each check reports all of its faults.

use std::{fmt, fs, path::Path};

use error_stack::{Report, ResultExt};
use holdpoint_core::token::TokenKey;
use holdpoint_schema::{Fault, Part, faults, ingress::IngressSettings, settings::Settings};
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde_json::Value;

/// Why a file of JSON with comments cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileError {
    /// The file cannot be read.
    Read,
    /// The text is not JSON with comments.
    Syntax {
        /// What is wrong and where, by line and column.
        text: String,
    },
    /// The values are not valid; holds every fault with its path.
    Faults(Vec<Fault>),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::Read => f.write_str("the file cannot be read"),
            FileError::Syntax { text } => write!(f, "the file is not JSON with comments: {text}"),
            FileError::Faults(faults) => {
                let lines: Vec<String> = faults.iter().map(fault_line).collect();
                f.write_str(&lines.join("; "))
            }
        }
    }
}

impl std::error::Error for FileError {}

/// Reads and checks the settings of an instance.
///
/// # Errors
///
/// Fails if the file cannot be read, is not JSON with comments or has invalid values.
pub fn load(path: &Path) -> Result<Settings, Report<FileError>> {
    check(&read_jsonc(path)?)
}

/// Reads a file of JSON with comments.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed.
pub fn read_jsonc(path: &Path) -> Result<Value, Report<FileError>> {
    let text = fs::read_to_string(path).change_context(FileError::Read)?;
    parse_jsonc(&text)
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Fails with [`FileError::Syntax`].
pub fn parse_jsonc(text: &str) -> Result<Value, Report<FileError>> {
    parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|it| Report::new(FileError::Syntax { text: it.to_string() }))
}

/// Checks settings against the schema, then the constraints between fields.
///
/// # Errors
///
/// Fails with every fault against the schema or, if there is none, with every violated constraint.
pub fn check(value: &Value) -> Result<Settings, Report<FileError>> {
    let mut found = faults(Part::Settings, value);
    if found.is_empty() {
        let settings: Settings = serde_json::from_value(value.clone())
            .map_err(|it| Report::new(FileError::Syntax { text: it.to_string() }))?;
        found = cross_faults(&settings);
        if found.is_empty() {
            return Ok(settings);
        }
    }
    Err(Report::new(FileError::Faults(found)))
}

/// Reads and checks the settings of an ingress instance.
///
/// # Errors
///
/// As [`load`].
pub fn load_ingress(path: &Path) -> Result<IngressSettings, Report<FileError>> {
    let value = read_jsonc(path)?;
    let mut found = faults(Part::Ingress, &value);
    let source = value["source_address"].as_str().unwrap_or_default();
    if !source.is_empty() && source.parse::<std::net::IpAddr>().is_err() {
        let text = "must be an IP number".to_owned();
        found.push(Fault { path: "/source_address".to_owned(), text });
    }
    if !found.is_empty() {
        return Err(Report::new(FileError::Faults(found)));
    }
    serde_json::from_value(value)
        .map_err(|it| Report::new(FileError::Syntax { text: it.to_string() }))
}

/// Keys for signing and verifying resume tokens.
pub fn token_keys(settings: &Settings) -> Vec<TokenKey> {
    let keys = settings.resume_keys.iter();
    keys.map(|it| TokenKey { id: it.id, secret: it.secret.clone().into_bytes() }).collect()
}

/// Formats a fault as one line.
pub fn fault_line(fault: &Fault) -> String {
    let path = if fault.path.is_empty() { "/" } else { &fault.path };
    format!("{path}: {}", fault.text)
}

fn cross_faults(settings: &Settings) -> Vec<Fault> {
    let timing = &settings.timing;
    let mut found = Vec::new();
    let mut fault = |path: &str, text: &str| {
        found.push(Fault { path: path.to_owned(), text: text.to_owned() });
    };
    // A key must be refused before its claim can expire from the log.
    if timing.retention_ms < 2 * (timing.claim_window_ms + timing.skew_ms) {
        fault("/timing/claim_window_ms", "must be below half of retention_ms, less skew_ms");
    }
    // An instance isolates itself after `confirm_ms`; its peers must not declare it stopped before that.
    if timing.dead_ms < timing.confirm_ms {
        fault("/timing/dead_ms", "must not be below confirm_ms");
    }
    if settings.limits.max_patience_ms < settings.limits.patience_ms {
        fault("/limits/patience_ms", "must not be above max_patience_ms");
    }
    let advertise = &settings.listen.advertise;
    if !advertise.is_empty() && advertise.parse::<std::net::SocketAddr>().is_err() {
        fault("/listen/advertise", "must be an IP number and a port");
    }
    let mut ids: Vec<u32> = settings.resume_keys.iter().map(|it| it.id).collect();
    ids.sort_unstable();
    if ids.windows(2).any(|it| it[0] == it[1]) {
        fault("/resume_keys", "two keys have the same id");
    }
    found
}
