//! Claims on calls that may not be repeated, as a fold over a claim stream.
//!
//! The first claim on a key in log order wins, and only its claimant may make the call. A claim
//! never lapses to another claimant: whoever wakes late still holds the only right. Keys carry
//! their own time; a claim that lands after its key's window is void everywhere, so an entry can
//! be dropped at the end of the window without a second claim ever winning.

use std::collections::{BTreeSet, HashMap};

use holdpoint_schema::records::{ClaimEntry, ClaimKey, ClaimStep};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{CallSeq, Incarnation, Millis, Offset, key_time};

/// Who holds a claim: the claim id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// Incarnation that may make the call.
    pub incarnation: Incarnation,
    /// Request within the incarnation.
    pub call: CallSeq,
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Not yet recorded.
    Open,
    /// The whole answer as it went to the caller.
    Answer(String),
    /// The claimant will never know, or is gone.
    Unknown,
    /// The claimant never sent anything; the key is free again.
    Released,
}

/// How a key stands for one asking call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nobody holds it.
    Free,
    /// The asking call holds it; the offset is its fencing token.
    Won(Offset),
    /// Another call holds it and has recorded no outcome.
    Held(Claimant),
    /// The recorded answer.
    Done(String),
    /// Recorded as unknown.
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
    /// Claimants that gave the key up. A claim of theirs that lands again, because the answer to
    /// its first append was lost, must not take the key a second time.
    released: Vec<Claimant>,
}

/// Claims of one stream after some prefix of it.
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
    /// Makes an empty table whose keys live for `window_ms`.
    pub fn new(window_ms: Millis) -> ClaimTable {
        let claims = HashMap::new();
        ClaimTable { window_ms, offset: 0, claims, by_time: BTreeSet::new() }
    }

    /// Offset of the last record folded in.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Number of claims held in memory.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held in memory.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Folds in the entries of the record at `offset`, appended at log time `at`.
    pub fn apply(&mut self, offset: Offset, at: Millis, entries: &[ClaimEntry]) {
        if offset <= self.offset {
            return;
        }
        self.offset = offset;
        self.expire(at);
        entries.iter().for_each(|it| self.step(offset, at, it));
    }

    /// Moves past an offset whose record could not be read.
    pub fn skip(&mut self, offset: Offset) {
        self.offset = self.offset.max(offset);
    }

    /// How `key` stands for a call with this body.
    pub fn standing(&self, key: &ClaimKey, body_hash: &str, asker: &Claimant) -> Standing {
        let Some(claim) = self.claims.get(&joined(key)) else { return Standing::Free };
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
            Outcome::Open if claim.claimant == *asker => Standing::Won(claim.offset),
            Outcome::Open => Standing::Held(claim.claimant.clone()),
        }
    }

    fn step(&mut self, offset: Offset, at: Millis, entry: &ClaimEntry) {
        let Some(time) = key_time(&entry.key.key) else { return };
        if time + self.window_ms < at {
            return;
        }
        let key = joined(&entry.key);
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
            // The release may land before the claim that it gives up, whose append was slow.
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

/// Checks the life of a key against the local wall clock.
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

/// Claim stream that a key belongs to, of `streams`.
pub fn stream_of(key: &ClaimKey, streams: u32) -> u32 {
    let hash = xxh3_64(joined(key).as_bytes());
    u32::try_from(hash % u64::from(streams.max(1))).unwrap_or(0)
}

/// The parts of a key in one text. Names hold no line feed, so two keys never give one text.
fn joined(key: &ClaimKey) -> String {
    format!("{}\n{}\n{}", key.organisation, key.pipeline, key.key)
}
