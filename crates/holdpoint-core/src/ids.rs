//! Aliases and small types that identify things.

use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};
use uuid::Uuid;

/// A wall-clock time in milliseconds since the Unix epoch, or a duration in milliseconds.
pub type Millis = u64;
/// Offset of a record in the log; the first record has offset 1, so that 0 means "none".
pub type Offset = u64;
/// Name of a resource or an instance.
pub type Name = String;
/// Identifies one run of one process; each restart has a new one.
pub type Incarnation = String;
/// Sequence number of a request within an incarnation.
pub type CallSeq = u64;

/// Identifies one attempt to serve one stage of one request; targets return it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// Incarnation of the instance that makes the attempt.
    pub incarnation: Incarnation,
    /// Number of the request within the incarnation.
    pub call: CallSeq,
    /// Index of the stage within the pipeline.
    pub stage: u32,
    /// Number of the attempt at this stage, from 0.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}:{}", self.incarnation, self.call, self.stage, self.attempt)
    }
}

/// Error of parsing an [`AttemptId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadAttemptId;

impl FromStr for AttemptId {
    type Err = BadAttemptId;

    fn from_str(text: &str) -> Result<AttemptId, BadAttemptId> {
        let mut parts = text.rsplitn(4, ':');
        let mut number = || parts.next().and_then(|it| it.parse::<u64>().ok()).ok_or(BadAttemptId);
        let (attempt, stage, call) = (number()?, number()?, number()?);
        let incarnation = parts.next().ok_or(BadAttemptId)?.to_owned();
        let to_u32 = |it: u64| u32::try_from(it).map_err(|_| BadAttemptId);
        Ok(AttemptId { incarnation, call, stage: to_u32(stage)?, attempt: to_u32(attempt)? })
    }
}

/// Returns the SHA-256 of `bytes` in hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|it| format!("{it:02x}")).collect()
}

/// Returns the creation time of an idempotency key, or `None` if it is not a UUID of version 7.
pub fn key_time(key: &str) -> Option<Millis> {
    let uuid = Uuid::parse_str(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
