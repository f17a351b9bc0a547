//! The directory of target instances: who is there, where, and who is leaving.
//!
//! Entries are keyed by id, since addresses are used again by other services. A target may start again
//! under its id: a later birth is another life, which counts its entries anew and holds nothing of the
//! one before. A sign of leaving is final for a life: no entry of it takes that back.
//!
//! While the store is away, entries of targets lapse that are well. What lapsed is therefore kept
//! for a while after the store's return, until its target has written itself anew.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    hash::{Hash, Hasher},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    era::LOST_TAIL_MS,
    ids::{Millis, Name},
};

/// Longest time that a target is believed to be cold, in milliseconds; what says more is absurd.
const LONGEST_COLD_MS: Millis = 60_000;
/// Difference up to which two words of how long a target is cold count as the same, in milliseconds:
/// entries are as old as the time between two of them.
const SAME_COLD_MS: Millis = 1500;

/// Identifies one start of one target instance.
pub type TargetId = String;

/// A target instance, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInstance {
    /// Id of this start.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: Name,
    /// IP number and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it says that it is leaving.
    pub is_leaving: bool,
    /// Rises with each entry of this id.
    pub sequence: u64,
    /// How much longer it is cold, in milliseconds, where it tells that.
    #[serde(default)]
    pub cold_left_ms: Option<Millis>,
    /// When this life of it began, in milliseconds of Unix time, where it tells that.
    #[serde(default)]
    pub born: Option<Millis>,
    /// Version of its software; empty where it does not tell.
    #[serde(default)]
    pub version: String,
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing but its sequence, or it was older than what is known.
    Nothing,
    /// A new instance.
    Joined,
    /// The instance has started again under its id: all that is known of the life before is over.
    Restarted,
    /// The instance is leaving or has left.
    Leaving,
    /// Something else about it.
    Altered,
}

/// All target instances that are known.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    instances: BTreeMap<TargetId, TargetInstance>,
    /// Ids that have shown a sign of leaving, with the birth of the life that has.
    leaving: HashMap<TargetId, Option<Millis>>,
    /// Instances whose entry is gone although they may be well, and until when they are kept.
    lapsed: BTreeMap<TargetId, Millis>,
    /// Targets that are cold.
    cold: BTreeMap<TargetId, Cold>,
    /// Ids of the instances at each address.
    by_address: HashMap<String, Vec<TargetId>>,
    /// Sum of the hashes of all that is listed.
    sum: u64,
    /// The newest entry of each instance that went of late, and until when it is remembered.
    gone: HashMap<TargetId, Gone>,
}

/// What is remembered of an instance that is gone.
#[derive(Clone, Copy, Debug)]
struct Gone {
    born: Option<Millis>,
    sequence: u64,
    until: Millis,
}

/// Until when a target is cold, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Cold {
    /// As its newest entry says.
    told: Millis,
    /// As this system takes it to be, whatever entries say that may be older.
    held: Millis,
}

impl Cold {
    fn until(self) -> Millis {
        self.told.max(self.held)
    }
}

impl Directory {
    /// Takes in an entry.
    pub fn put(&mut self, now: Millis, entry: TargetInstance) -> Change {
        let id = entry.id.clone();
        self.summed(&id, |it| it.put_entry(now, entry))
    }

    fn put_entry(&mut self, now: Millis, entry: TargetInstance) -> Change {
        if self.is_of_gone(now, &entry) {
            return Change::Nothing;
        }
        let known = self.instances.get(&entry.id);
        match known.and_then(|it| it.born).zip(entry.born) {
            Some((known, born)) if born < known => return Change::Nothing,
            Some((known, born)) if known < born => {
                self.remove_entry(&entry.id);
                return match self.put_entry(now, entry) {
                    Change::Joined => Change::Restarted,
                    other => other,
                };
            }
            _ => (),
        }
        let is_back = self.lapsed.remove(&entry.id).is_some();
        let is_leaving = entry.is_leaving || self.has_left(&entry);
        // A peer of an earlier version tells no birth.
        let born = entry.born.or(known.and_then(|it| it.born));
        let entry = TargetInstance { is_leaving, born, ..entry };
        if known.is_some_and(|it| entry.sequence < it.sequence) {
            // Whoever told it may have had the sign from an answer, and an entry from before that.
            return match entry.is_leaving {
                true => self.leave_entry(&entry.id, entry.born),
                false => Change::Nothing,
            };
        }
        let has_cooled = self.tell_cold(now, &entry.id, entry.cold_left_ms);
        let known = self.instances.get(&entry.id);
        let change = match known {
            None => Change::Joined,
            Some(it) if is_leaving && !it.is_leaving => Change::Leaving,
            Some(it) if is_same(it, &entry) && !is_back && !has_cooled => Change::Nothing,
            Some(_) => Change::Altered,
        };
        if is_leaving {
            self.leaving.insert(entry.id.clone(), entry.born);
        }
        self.insert(entry);
        change
    }

    /// Whether an entry is no newer than the one of an instance that is gone: a store that comes back from an
    /// older copy names it again, and so may a peer that has not heard.
    fn is_of_gone(&self, now: Millis, entry: &TargetInstance) -> bool {
        let Some(gone) = self.gone.get(&entry.id).filter(|it| now < it.until) else { return false };
        gone.born == entry.born && entry.sequence <= gone.sequence
    }

    /// Remembers the entries of instances that are gone from now on.
    pub fn note_gone(&mut self, now: Millis, id: &str) {
        let Some(it) = self.instances.get(id) else { return };
        let until = now + LOST_TAIL_MS;
        let gone = Gone { born: it.born, sequence: it.sequence, until };
        self.gone.retain(|_, it| now < it.until);
        self.gone.insert(id.to_owned(), gone);
    }

    fn insert(&mut self, entry: TargetInstance) {
        let (id, address) = (entry.id.clone(), entry.address.clone());
        let before = self.instances.insert(id.clone(), entry);
        match before {
            Some(it) if it.address == address => return,
            Some(it) => self.leave_address(&it.address, &id),
            None => (),
        }
        self.by_address.entry(address).or_default().push(id);
    }

    fn leave_address(&mut self, address: &str, id: &str) {
        let Some(ids) = self.by_address.get_mut(address) else { return };
        ids.retain(|it| it != id);
        if ids.is_empty() {
            self.by_address.remove(address);
        }
    }

    /// Makes a change to one instance, and keeps the sum of the hashes in step.
    fn summed<T>(&mut self, id: &str, change: impl FnOnce(&mut Directory) -> T) -> T {
        let before = self.listed_hash(id);
        let changed = change(self);
        self.sum = self.sum.wrapping_sub(before).wrapping_add(self.listed_hash(id));
        changed
    }

    fn listed_hash(&self, id: &str) -> u64 {
        let listed = self.instances.get(id).filter(|_| !self.lapsed.contains_key(id));
        listed.map_or(0, entry_hash)
    }

    /// Whether the life that an entry tells of has shown a sign of leaving.
    fn has_left(&self, entry: &TargetInstance) -> bool {
        let Some(left) = self.leaving.get(&entry.id) else { return false };
        left.zip(entry.born).is_none_or(|(left, born)| born <= left)
    }

    /// Takes in that an entry is gone.
    pub fn remove(&mut self, id: &str) -> Change {
        self.summed(id, |it| it.remove_entry(id))
    }

    fn remove_entry(&mut self, id: &str) -> Change {
        self.lapsed.remove(id);
        self.cold.remove(id);
        let Some(removed) = self.instances.remove(id) else { return Change::Nothing };
        self.leave_address(&removed.address, id);
        Change::Leaving
    }

    /// Takes in that an entry is gone that may have lapsed while the store was away: its instance
    /// is kept until then, unless it was leaving.
    pub fn lapse(&mut self, id: &str, until: Millis) -> Change {
        self.summed(id, |all| match all.instances.get(id) {
            Some(it) if !it.is_leaving => {
                all.lapsed.entry(id.to_owned()).or_insert(until);
                Change::Nothing
            }
            _ => all.remove_entry(id),
        })
    }

    /// Instances whose entries lapsed. Whether they are well is not known.
    pub fn lapsed(&self) -> impl Iterator<Item = &TargetId> {
        self.lapsed.keys()
    }

    /// Removes the instances whose entries lapsed and did not come back in time.
    pub fn expire(&mut self, now: Millis) -> Vec<TargetId> {
        let over: Vec<TargetId> =
            self.lapsed.iter().filter(|it| *it.1 <= now).map(|it| it.0.clone()).collect();
        for id in &over {
            self.note_gone(now, id);
            self.remove(id);
        }
        over
    }

    /// Takes in a sign of leaving that did not come from the instance's own entry, of the life that began at
    /// `born`. It holds also where the entry has lapsed and comes back.
    pub fn leave(&mut self, id: &str, born: Option<Millis>) -> Change {
        self.summed(id, |it| it.leave_entry(id, born))
    }

    fn leave_entry(&mut self, id: &str, born: Option<Millis>) -> Change {
        if self.is_former_life(id, born) {
            return Change::Nothing;
        }
        let known = self.instances.get(id).and_then(|it| it.born);
        let left = self.leaving.entry(id.to_owned()).or_insert(born);
        // None is less than any birth.
        *left = (*left).max(born).max(known);
        match self.instances.get_mut(id) {
            Some(it) if !it.is_leaving => {
                it.is_leaving = true;
                Change::Leaving
            }
            _ => Change::Nothing,
        }
    }

    /// Whether a target has started again under its id since a life began of which an answer came.
    pub fn is_former_life(&self, id: &str, born: Option<Millis>) -> bool {
        let known = self.instances.get(id).and_then(|it| it.born);
        known.zip(born).is_some_and(|(known, born)| born < known)
    }

    /// Takes in how much longer a target says that it is cold; whether that differs from what was known.
    fn tell_cold(&mut self, now: Millis, id: &str, left: Option<Millis>) -> bool {
        let Some(left) = left else { return false };
        let before = self.cold_left(now, id);
        let left = left.min(LONGEST_COLD_MS);
        if left == 0 && before == 0 {
            return false;
        }
        let cold = self.cold.entry(id.to_owned()).or_default();
        cold.told = now + left;
        SAME_COLD_MS < self.cold_left(now, id).abs_diff(before)
    }

    /// Takes a target to be cold for so long, although its entries say nothing of it, or may be older
    /// than the reason for it.
    pub fn hold_cold(&mut self, now: Millis, id: &str, ms: Millis) {
        if self.instances.contains_key(id) && 0 < ms {
            let cold = self.cold.entry(id.to_owned()).or_default();
            cold.held = cold.held.max(now + ms.min(LONGEST_COLD_MS));
        }
    }

    /// How much longer a target is cold, in milliseconds.
    pub fn cold_left(&self, now: Millis, id: &str) -> Millis {
        self.cold.get(id).map_or(0, |it| it.until().saturating_sub(now))
    }

    /// Until when a target is cold, in milliseconds; 0 where it never was.
    pub fn cold_until(&self, id: &str) -> Millis {
        self.cold.get(id).map_or(0, |it| it.until())
    }

    /// Targets that are cold, and for how much longer in milliseconds.
    pub fn cold(&self, now: Millis) -> impl Iterator<Item = (&TargetId, Millis)> {
        self.cold.keys().map(move |id| (id, self.cold_left(now, id))).filter(|it| it.1 != 0)
    }

    /// Takes in a whole list, read at once: what it does not name is gone.
    pub fn replace(&mut self, now: Millis, entries: Vec<TargetInstance>) {
        for id in self.unnamed(&entries) {
            self.remove(&id);
        }
        for entry in entries {
            self.put(now, entry);
        }
    }

    /// Ids that a whole list, read at once, does not name.
    pub fn unnamed(&self, entries: &[TargetInstance]) -> Vec<TargetId> {
        let named: HashSet<&str> = entries.iter().map(|it| it.id.as_str()).collect();
        self.instances.keys().filter(|it| !named.contains(it.as_str())).cloned().collect()
    }

    /// Hash of all that is listed, their sequences left aside: two directories with the same one
    /// agree. Peers of earlier versions know this one; it takes a look at each instance.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.listed().for_each(|it| hash_entry(it, &mut hasher));
        hasher.finish()
    }

    /// Sum of the hashes of all that is listed, which tells the same and is kept up to date: after every
    /// answer of whom it follows, an instance says what it knows.
    pub fn sum(&self) -> u64 {
        self.sum
    }

    /// All instances but those whose entries lapsed.
    pub fn listed(&self) -> impl Iterator<Item = &TargetInstance> {
        self.instances.values().filter(|it| !self.lapsed.contains_key(&it.id))
    }

    /// An instance by its id.
    pub fn get(&self, id: &str) -> Option<&TargetInstance> {
        self.instances.get(id)
    }

    /// Instances at an address: of one service, unless another writer has written an entry.
    pub fn at<'a>(&'a self, address: &str) -> impl Iterator<Item = &'a TargetInstance> {
        let ids = self.by_address.get(address).into_iter().flatten();
        ids.filter_map(|it| self.instances.get(it))
    }

    /// All instances.
    pub fn all(&self) -> impl Iterator<Item = &TargetInstance> {
        self.instances.values()
    }

    /// Instances of a service, in the order of their ids.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetInstance> {
        self.instances.values().filter(move |it| it.service == service)
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }
}

fn hash_entry(entry: &TargetInstance, hasher: &mut Xxh3) {
    let TargetInstance { id, service, address, domain, slots, is_leaving, version, born, .. } =
        entry;
    (id, service, address, domain, slots, is_leaving, version).hash(hasher);
    // Two versions of this program agree where no target tells its birth.
    born.iter().for_each(|it| it.hash(hasher));
}

fn entry_hash(entry: &TargetInstance) -> u64 {
    let mut hasher = Xxh3::new();
    hash_entry(entry, &mut hasher);
    hasher.finish()
}

fn is_same(known: &TargetInstance, entry: &TargetInstance) -> bool {
    let TargetInstance { sequence, cold_left_ms, .. } = *known;
    TargetInstance { sequence, cold_left_ms, ..entry.clone() } == *known
}
