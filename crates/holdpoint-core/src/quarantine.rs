//! Requests that end the targets that run them.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What two requests have in common that ask for the same: caller, method, path and body, under
/// whatever ids they come and at whichever instance.
///
/// A cryptographic hash, so that nobody can make a request that is taken for another caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Fingerprint of a request: its parts are the organisation, the method, the host, the path with
    /// its query, and the body.
    pub fn new(parts: &[&[u8]]) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in parts {
            // With its length, so that no byte can move from one part to the next.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        Fingerprint(digest.iter().take(8).fold(0, |sum, it| sum << 8 | u64::from(*it)))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
