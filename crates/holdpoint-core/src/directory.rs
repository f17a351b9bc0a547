//! The directory of target instances: which exist, where, and which are draining.
//!
//! Entries are keyed by id, since other services may reuse an address. A target may restart under its id:
//! a later start time is a new incarnation, which numbers its entries from the beginning and inherits no
//! state. A drain notice is final for its incarnation: no later entry revokes it.
//!
//! While the store is unavailable, entries of healthy targets lapse. Lapsed entries are therefore kept
//! for some time after the store returns, until their targets have written new ones.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    hash::{Hash, Hasher},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    epoch::LOST_TAIL_MS,
    ids::{Millis, Name},
};

/// Limit of the time for which a target is treated as cold; longer reports are cut to it.
const MAX_COLD_MS: Millis = 60_000;
/// Largest difference between two reports of the remaining cold time that counts as no change: a report may
/// be as old as the interval between two entries.
const COLD_TOLERANCE_MS: Millis = 1500;

/// Identifies one start of one target instance.
pub type TargetId = String;

/// Whether connections can be made to an address that an entry states. Without an IP number they would end at the own
/// machine.
pub fn is_connectable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
}

/// A target instance as its own entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInstance {
    /// Id of this start.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: Name,
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Whether it reports that it is draining.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// Increases with each entry of this incarnation.
    pub sequence: u64,
    /// Remaining cold time, in milliseconds, if reported.
    #[serde(default)]
    pub cold_left_ms: Option<Millis>,
    /// Start time of this incarnation, in milliseconds since the Unix epoch, if reported.
    #[serde(default)]
    pub born: Option<Millis>,
    /// Version of its software; empty if not reported.
    #[serde(default)]
    pub version: String,
}

/// Effect of an entry on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing but the sequence changed, or the entry was older than the known one.
    Nothing,
    /// A new instance.
    Joined,
    /// The instance restarted under its id; state of the previous incarnation is void.
    Restarted,
    /// The instance is draining or was removed.
    Leaving,
    /// Another property of the instance changed.
    Altered,
}

/// All known target instances.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    instances: BTreeMap<TargetId, TargetInstance>,
    /// Ids with a drain notice, and the start time of the incarnation that it applies to.
    draining: HashMap<TargetId, Option<Millis>>,
    /// Instances whose entry is missing although they may be healthy, and until when they are kept.
    lapsed: BTreeMap<TargetId, Millis>,
    cold: BTreeMap<TargetId, Cold>,
    /// Ids of the instances at each address.
    by_address: HashMap<String, Vec<TargetId>>,
    /// Sum of the hashes of all listed entries.
    sum: u64,
    /// The newest entry of each recently removed instance.
    tombstones: HashMap<TargetId, Tombstone>,
}

/// The last known entry of a removed instance, kept to recognise stale copies of it.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    born: Option<Millis>,
    sequence: u64,
    until: Millis,
}

/// Times until which a target is cold, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Cold {
    /// By its newest entry.
    reported: Millis,
    /// By this system's own assumption, which entries do not shorten since they may be older.
    assumed: Millis,
}

impl Cold {
    fn until(self) -> Millis {
        self.reported.max(self.assumed)
    }
}

impl Directory {
    /// Inserts or updates an entry.
    pub fn put(&mut self, now: Millis, entry: TargetInstance) -> Change {
        let id = entry.id.clone();
        self.mutate(&id, |it| it.put_entry(now, entry))
    }

    fn put_entry(&mut self, now: Millis, entry: TargetInstance) -> Change {
        if self.has_tombstone(now, &entry) {
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
        let is_draining = entry.is_draining || self.has_drain_notice(&entry);
        // Peers of earlier versions report no start time.
        let born = entry.born.or(known.and_then(|it| it.born));
        let entry = TargetInstance { is_draining, born, ..entry };
        if known.is_some_and(|it| entry.sequence < it.sequence) {
            // The sender may have the drain notice from a response, along with an older entry.
            return match entry.is_draining {
                true => self.drain_entry(&entry.id, entry.born),
                false => Change::Nothing,
            };
        }
        let cold_changed = self.update_cold(now, &entry.id, entry.cold_left_ms);
        let known = self.instances.get(&entry.id);
        let change = match known {
            None => Change::Joined,
            Some(it) if is_draining && !it.is_draining => Change::Leaving,
            Some(it) if is_same(it, &entry) && !is_back && !cold_changed => Change::Nothing,
            Some(_) => Change::Altered,
        };
        if is_draining {
            self.draining.insert(entry.id.clone(), entry.born);
        }
        self.insert(entry);
        change
    }

    /// Whether an entry is no newer than the tombstone of a removed instance: a store restored from an older
    /// copy lists the instance again, and so may a peer that has not received the removal.
    fn has_tombstone(&self, now: Millis, entry: &TargetInstance) -> bool {
        let Some(tombstone) = self.tombstones.get(&entry.id).filter(|it| now < it.until) else {
            return false;
        };
        tombstone.born == entry.born && entry.sequence <= tombstone.sequence
    }

    /// Records a tombstone of an instance that is about to be removed, and evicts expired ones.
    pub fn add_tombstone(&mut self, now: Millis, id: &str) {
        let Some(it) = self.instances.get(id) else { return };
        let until = now + LOST_TAIL_MS;
        let tombstone = Tombstone { born: it.born, sequence: it.sequence, until };
        self.tombstones.retain(|_, it| now < it.until);
        self.tombstones.insert(id.to_owned(), tombstone);
    }

    fn insert(&mut self, entry: TargetInstance) {
        let (id, address) = (entry.id.clone(), entry.address.clone());
        let before = self.instances.insert(id.clone(), entry);
        match before {
            Some(it) if it.address == address => return,
            Some(it) => self.remove_address(&it.address, &id),
            None => (),
        }
        self.by_address.entry(address).or_default().push(id);
    }

    fn remove_address(&mut self, address: &str, id: &str) {
        let Some(ids) = self.by_address.get_mut(address) else { return };
        ids.retain(|it| it != id);
        if ids.is_empty() {
            self.by_address.remove(address);
        }
    }

    /// Applies a change to one instance and updates the sum of the hashes.
    fn mutate<T>(&mut self, id: &str, change: impl FnOnce(&mut Directory) -> T) -> T {
        let before = self.listed_hash(id);
        let changed = change(self);
        self.sum = self.sum.wrapping_sub(before).wrapping_add(self.listed_hash(id));
        changed
    }

    fn listed_hash(&self, id: &str) -> u64 {
        let listed = self.instances.get(id).filter(|_| !self.lapsed.contains_key(id));
        listed.map_or(0, entry_hash)
    }

    /// Whether a drain notice was received for the incarnation of an entry.
    fn has_drain_notice(&self, entry: &TargetInstance) -> bool {
        let Some(notice) = self.draining.get(&entry.id) else { return false };
        notice.zip(entry.born).is_none_or(|(notice, born)| born <= notice)
    }

    /// Removes an instance whose entry was deleted.
    pub fn remove(&mut self, id: &str) -> Change {
        self.mutate(id, |it| it.remove_entry(id))
    }

    fn remove_entry(&mut self, id: &str) -> Change {
        self.lapsed.remove(id);
        self.cold.remove(id);
        let Some(removed) = self.instances.remove(id) else { return Change::Nothing };
        self.remove_address(&removed.address, id);
        Change::Leaving
    }

    /// Marks an instance as lapsed if its entry is missing but may have expired while the store was
    /// unavailable. It is kept until `until`; a draining one is removed at once.
    pub fn lapse(&mut self, id: &str, until: Millis) -> Change {
        self.mutate(id, |all| match all.instances.get(id) {
            Some(it) if !it.is_draining => {
                all.lapsed.entry(id.to_owned()).or_insert(until);
                Change::Nothing
            }
            _ => all.remove_entry(id),
        })
    }

    /// Instances whose entries lapsed; their health is unknown.
    pub fn lapsed(&self) -> impl Iterator<Item = &TargetId> {
        self.lapsed.keys()
    }

    /// Removes and returns the lapsed instances that were not listed again in time.
    pub fn expire(&mut self, now: Millis) -> Vec<TargetId> {
        let expired: Vec<TargetId> =
            self.lapsed.iter().filter(|it| *it.1 <= now).map(|it| it.0.clone()).collect();
        for id in &expired {
            self.add_tombstone(now, id);
            self.remove(id);
        }
        expired
    }

    /// Records a drain notice from a source other than the instance's own entry, for the incarnation that
    /// started at `born`. It stays valid if the entry has lapsed and is listed again.
    pub fn mark_draining(&mut self, id: &str, born: Option<Millis>) -> Change {
        self.mutate(id, |it| it.drain_entry(id, born))
    }

    fn drain_entry(&mut self, id: &str, born: Option<Millis>) -> Change {
        if self.is_former_incarnation(id, born) {
            return Change::Nothing;
        }
        let known = self.instances.get(id).and_then(|it| it.born);
        let notice = self.draining.entry(id.to_owned()).or_insert(born);
        // None is less than any start time.
        *notice = (*notice).max(born).max(known);
        match self.instances.get_mut(id) {
            Some(it) if !it.is_draining => {
                it.is_draining = true;
                Change::Leaving
            }
            _ => Change::Nothing,
        }
    }

    /// Whether `born` is the start time of an incarnation that the target's id has since replaced.
    pub fn is_former_incarnation(&self, id: &str, born: Option<Millis>) -> bool {
        let known = self.instances.get(id).and_then(|it| it.born);
        known.zip(born).is_some_and(|(known, born)| born < known)
    }

    /// Records the remaining cold time that a target reports; returns whether it differs from the known one.
    fn update_cold(&mut self, now: Millis, id: &str, left: Option<Millis>) -> bool {
        let Some(left) = left else { return false };
        let before = self.cold_left(now, id);
        let left = left.min(MAX_COLD_MS);
        if left == 0 && before == 0 {
            return false;
        }
        let cold = self.cold.entry(id.to_owned()).or_default();
        cold.reported = now + left;
        COLD_TOLERANCE_MS < self.cold_left(now, id).abs_diff(before)
    }

    /// Treats a target as cold for `ms` milliseconds even if its entries do not report it, or are older than the
    /// reason for it.
    pub fn assume_cold(&mut self, now: Millis, id: &str, ms: Millis) {
        if self.instances.contains_key(id) && 0 < ms {
            let cold = self.cold.entry(id.to_owned()).or_default();
            cold.assumed = cold.assumed.max(now + ms.min(MAX_COLD_MS));
        }
    }

    /// Remaining cold time of a target, in milliseconds.
    pub fn cold_left(&self, now: Millis, id: &str) -> Millis {
        self.cold.get(id).map_or(0, |it| it.until().saturating_sub(now))
    }

    /// Time at which a target stops being cold, in milliseconds; 0 if it never was cold.
    pub fn cold_until(&self, id: &str) -> Millis {
        self.cold.get(id).map_or(0, |it| it.until())
    }

    /// Cold targets and their remaining cold time in milliseconds.
    pub fn cold(&self, now: Millis) -> impl Iterator<Item = (&TargetId, Millis)> {
        self.cold.keys().map(move |id| (id, self.cold_left(now, id))).filter(|it| it.1 != 0)
    }

    /// Replaces the contents by a complete list; instances that it does not name are removed.
    pub fn replace(&mut self, now: Millis, entries: Vec<TargetInstance>) {
        for id in self.missing_from(&entries) {
            self.remove(&id);
        }
        for entry in entries {
            self.put(now, entry);
        }
    }

    /// Known ids that a complete list does not name.
    pub fn missing_from(&self, entries: &[TargetInstance]) -> Vec<TargetId> {
        let named: HashSet<&str> = entries.iter().map(|it| it.id.as_str()).collect();
        self.instances.keys().filter(|it| !named.contains(it.as_str())).cloned().collect()
    }

    /// Hash of all listed entries without their sequences: two directories with the same hash agree.
    /// Kept for peers of earlier versions; it is computed over all instances at each call.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.listed().for_each(|it| hash_entry(it, &mut hasher));
        hasher.finish()
    }

    /// Sum of the hashes of all listed entries, for the same comparison. It is maintained incrementally, since
    /// an instance reports it after every response of the source that it follows.
    pub fn sum(&self) -> u64 {
        self.sum
    }

    /// All instances except those whose entries lapsed.
    pub fn listed(&self) -> impl Iterator<Item = &TargetInstance> {
        self.instances.values().filter(|it| !self.lapsed.contains_key(&it.id))
    }

    /// An instance by its id.
    pub fn get(&self, id: &str) -> Option<&TargetInstance> {
        self.instances.get(id)
    }

    /// Instances at an address: all of one service, unless another writer wrote an entry.
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
    let TargetInstance { id, service, address, domain, slots, is_draining, version, born, .. } =
        entry;
    (id, service, address, domain, slots, is_draining, version).hash(hasher);
    // Without a start time the hash equals that of earlier program versions.
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
