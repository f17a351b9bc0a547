//! Claims on calls that may not be repeated, as a fold over a claim stream.
//!
//! The first claim on a key in log order wins, and only its claimant may make the call. A claim
//! never passes to another claimant unless it is released, so a paused claimant that resumes is still the
//! only one. Keys contain their creation time. A claim that is appended after its key's window is void at
//! every instance, so an entry can be evicted at the end of the window without a second claim winning.

use std::collections::{BTreeSet, HashMap};

use holdpoint_schema::records::{ClaimEntry, ClaimKey, ClaimStep};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{CallSeq, Incarnation, Millis, Offset, key_time};

/// The call that makes a claim; identifies the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// Incarnation that may make the call.
    pub incarnation: Incarnation,
    /// Request within the incarnation.
    pub call: CallSeq,
}

/// Outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Not yet recorded.
    Open,
    /// The complete response as sent to the caller.
    Answer(String),
    /// The claimant cannot determine the outcome, or has stopped.
    Unknown,
    /// The claimant sent nothing to a target; the key is free again.
    Released,
}

/// State of a key from the view of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No call holds it.
    Free,
    /// The call itself holds it; the offset is its fencing token.
    Won(Offset),
    /// Another call holds it and has recorded no outcome.
    Held(Claimant),
    /// The recorded response.
    Done(String),
    /// The outcome is recorded as unknown.
    Unknown,
    /// The key was claimed with another body.
    Mismatch,
}

/// Why a key cannot be claimed at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadKey {
    /// Not a UUID of version 7.
    Format,
    /// Older than the claim window.
    Old,
    /// Further in the future than clocks may differ.
    Future,
}

#[derive(Clone, Debug)]
struct Claim {
    body_hash: String,
    claimant: Claimant,
    offset: Offset,
    outcome: Outcome,
    /// Claimants that released the key. If one of their claims is appended again, because the response to
    /// its first append was lost, it must not win the key a second time.
    released: Vec<Claimant>,
}

/// Claims of one stream after a prefix of its records.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    window_ms: Millis,
    offset: Offset,
    claims: HashMap<String, Claim>,
    by_time: BTreeSet<(Millis, String)>,
}

impl Claim {
    fn is_open(&self, claimant: &Claimant) -> bool {
        self.outcome == Outcome::Open && self.claimant == *claimant
    }

    fn is_free_for(&self, claimant: &Claimant) -> bool {
        self.outcome == Outcome::Released && !self.released.contains(claimant)
    }
}

impl ClaimTable {
    /// Makes an empty table whose keys are valid for `window_ms` milliseconds.
    pub fn new(window_ms: Millis) -> ClaimTable {
        let claims = HashMap::new();
        ClaimTable { window_ms, offset: 0, claims, by_time: BTreeSet::new() }
    }

    /// Offset of the last record applied.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Number of claims in memory.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is in memory.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies the entries of the record at `offset`, appended at log time `at`.
    pub fn apply(&mut self, offset: Offset, at: Millis, entries: &[ClaimEntry]) {
        if offset <= self.offset {
            return;
        }
        self.offset = offset;
        self.expire(at);
        entries.iter().for_each(|it| self.apply_entry(offset, at, it));
    }

    /// Skips a record that could not be read.
    pub fn skip(&mut self, offset: Offset) {
        self.offset = self.offset.max(offset);
    }

    /// State of `key` for `caller`, whose request body has the hash `body_hash`.
    pub fn standing(&self, key: &ClaimKey, body_hash: &str, caller: &Claimant) -> Standing {
        let Some(claim) = self.claims.get(&joined_key(key)) else { return Standing::Free };
        if claim.outcome == Outcome::Released {
            return Standing::Free;
        }
        if claim.body_hash != body_hash {
            return Standing::Mismatch;
        }
        match &claim.outcome {
            Outcome::Released => Standing::Free,
            Outcome::Answer(it) => Standing::Done(it.clone()),
            Outcome::Unknown => Standing::Unknown,
            Outcome::Open if claim.claimant == *caller => Standing::Won(claim.offset),
            Outcome::Open => Standing::Held(claim.claimant.clone()),
        }
    }

    fn apply_entry(&mut self, offset: Offset, at: Millis, entry: &ClaimEntry) {
        let Some(time) = key_time(&entry.key.key) else { return };
        if time + self.window_ms < at {
            return;
        }
        let key = joined_key(&entry.key);
        let claimant = Claimant { incarnation: entry.claimant.clone(), call: entry.call };
        match (&entry.step, self.claims.get_mut(&key)) {
            (ClaimStep::Claim(it), None) => {
                let claim = Claim {
                    body_hash: it.body_hash.clone(),
                    claimant,
                    offset,
                    outcome: Outcome::Open,
                    released: Vec::new(),
                };
                self.claims.insert(key.clone(), claim);
                self.by_time.insert((time, key));
            }
            (ClaimStep::Claim(it), Some(claim)) if claim.is_free_for(&claimant) => {
                claim.body_hash.clone_from(&it.body_hash);
                claim.claimant = claimant;
                claim.offset = offset;
                claim.outcome = Outcome::Open;
            }
            // The release may be appended before the claim that it releases, whose append was slow.
            (ClaimStep::Release(_), None) => {
                let claim = Claim {
                    body_hash: String::new(),
                    claimant: claimant.clone(),
                    offset,
                    outcome: Outcome::Released,
                    released: vec![claimant],
                };
                self.claims.insert(key.clone(), claim);
                self.by_time.insert((time, key));
            }
            (ClaimStep::Release(_), Some(claim)) => {
                if claim.is_open(&claimant) {
                    claim.outcome = Outcome::Released;
                }
                if !claim.released.contains(&claimant) {
                    claim.released.push(claimant);
                }
            }
            (ClaimStep::Outcome(it), Some(claim)) if claim.is_open(&claimant) => {
                claim.outcome = it.answer.clone().map_or(Outcome::Unknown, Outcome::Answer);
            }
            _ => (),
        }
    }

    fn expire(&mut self, at: Millis) {
        while let Some((time, _)) = self.by_time.first() {
            if at <= time + self.window_ms {
                return;
            }
            let (_, key) = self.by_time.pop_first().expect("the first was just seen");
            self.claims.remove(&key);
        }
    }
}

/// Checks the creation time of a key against the local wall clock, with `skew` as the largest clock difference.
pub fn check_key(key: &str, now: Millis, window: Millis, skew: Millis) -> Result<(), BadKey> {
    let time = key_time(key).ok_or(BadKey::Format)?;
    if time + window < now + skew {
        return Err(BadKey::Old);
    }
    if now + skew < time {
        return Err(BadKey::Future);
    }
    Ok(())
}

/// Index of the claim stream that a key belongs to, out of `streams`.
pub fn stream_of(key: &ClaimKey, streams: u32) -> u32 {
    let hash = xxh3_64(joined_key(key).as_bytes());
    u32::try_from(hash % u64::from(streams.max(1))).unwrap_or(0)
}

/// Joins the parts of a key. Names contain no line feed, so different keys give different texts.
fn joined_key(key: &ClaimKey) -> String {
    format!("{}\n{}\n{}", key.organisation, key.pipeline, key.key)
}
