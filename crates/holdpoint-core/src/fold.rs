//! Control state as a fold over the records of the control stream.
//!
//! All instances apply the same records in the same order, so they reach the same state without further
//! coordination. Time is the append time of the log, never a local clock.

use std::collections::{BTreeMap, VecDeque};

use holdpoint_schema::records::{Body, Change, Lease, Record};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::ids::{Incarnation, Millis, Name, Offset};

/// How long change ids and inactive writers are kept to detect duplicates, in milliseconds of log time.
pub const RETENTION_MS: Millis = 3_600_000;

/// An active resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the record that set it.
    pub version: Offset,
    /// Specification by the schema of its kind, as JSON text, which takes less memory than the parsed
    /// form.
    pub spec: Box<str>,
}

impl Entry {
    /// The specification, parsed.
    pub fn parsed(&self) -> Map<String, Value> {
        serde_json::from_str(&self.spec).unwrap_or_default()
    }
}

/// Result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Offset of the change's first record.
    pub offset: Offset,
    /// Whether it was applied, since it was based on the version then active.
    pub won: bool,
    /// Version that is active after it: its own, or the one that it conflicts with.
    pub version: Offset,
}

/// A lease granted by the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Incarnation of the lease holder.
    pub holder: Incarnation,
    /// Offset of the record that granted it: the fencing token of every order given under it.
    pub token: Offset,
    /// Log time at which it expires.
    pub until: Millis,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Writer {
    seq: u64,
    at: Millis,
}

/// Control state after a prefix of the control stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    offset: Offset,
    resources: BTreeMap<String, BTreeMap<Name, Entry>>,
    changes: BTreeMap<String, Verdict>,
    change_times: VecDeque<(Millis, String)>,
    writers: BTreeMap<Incarnation, Writer>,
    leases: BTreeMap<Name, Grant>,
}

/// Effect of one record on the state.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A resource was set or deleted.
    Changed {
        /// Kind of the resource.
        kind: String,
        /// Name of the resource.
        name: Name,
        /// The resource after the change; `None` after a deletion.
        entry: Option<Entry>,
    },
    /// A change was based on a version that is no longer active.
    Conflict,
    /// The record, or its change, was already applied.
    Duplicate,
    /// A lease was granted, renewed or released.
    Leased,
    /// A bid for a lease that another incarnation holds.
    LeaseHeld,
    /// The record does not affect this state.
    Ignored,
}

impl State {
    /// Offset of the last record applied.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Applies the record at `offset`, appended at log time `at`.
    pub fn apply(&mut self, offset: Offset, at: Millis, record: &Record) -> Effect {
        if offset <= self.offset {
            return Effect::Duplicate;
        }
        self.offset = offset;
        self.evict_expired(at);
        if !self.record_seq(record, at) {
            return Effect::Duplicate;
        }
        match &record.body {
            Body::Change(it) => self.change(offset, at, it),
            Body::Lease(it) => self.lease(offset, at, it),
            Body::Snapshot(_) | Body::Claims(_) => Effect::Ignored,
        }
    }

    /// Skips a record that could not be read, as all other instances do.
    pub fn skip(&mut self, offset: Offset) {
        self.offset = self.offset.max(offset);
    }

    /// Resource of a kind by its name.
    pub fn resource(&self, kind: &str, name: &str) -> Option<&Entry> {
        self.resources.get(kind)?.get(name)
    }

    /// Resources of a kind, by name.
    pub fn resources(&self, kind: &str) -> impl Iterator<Item = (&Name, &Entry)> {
        self.resources.get(kind).into_iter().flatten()
    }

    /// Result of a change, as long as it is kept.
    pub fn verdict(&self, change: &str) -> Option<Verdict> {
        self.changes.get(change).copied()
    }

    /// Latest grant of a lease, even if it has expired.
    pub fn grant(&self, lease: &str) -> Option<&Grant> {
        self.leases.get(lease)
    }

    /// Records the writer's sequence number; returns whether the record is new. A writer appends one record
    /// at a time, so a sequence number at or below its highest is a repeated append whose response was lost.
    fn record_seq(&mut self, record: &Record, at: Millis) -> bool {
        let next = Writer { seq: record.seq, at };
        match self.writers.get_mut(&record.writer) {
            Some(it) if record.seq <= it.seq => false,
            Some(it) => {
                *it = next;
                true
            }
            None => {
                self.writers.insert(record.writer.clone(), next);
                true
            }
        }
    }

    fn change(&mut self, offset: Offset, at: Millis, change: &Change) -> Effect {
        if self.changes.contains_key(&change.change) {
            return Effect::Duplicate;
        }
        let current = self.resource(&change.kind, &change.name).map_or(0, |it| it.version);
        let won = current == change.base;
        let version = if won { offset } else { current };
        self.changes.insert(change.change.clone(), Verdict { offset, won, version });
        self.change_times.push_back((at, change.change.clone()));
        if !won {
            return Effect::Conflict;
        }
        let kind = self.resources.entry(change.kind.clone()).or_default();
        let entry = (!change.spec.is_empty())
            .then(|| Entry { version: offset, spec: to_json(&change.spec) });
        match &entry {
            Some(it) => drop(kind.insert(change.name.clone(), it.clone())),
            None => drop(kind.remove(&change.name)),
        }
        Effect::Changed { kind: change.kind.clone(), name: change.name.clone(), entry }
    }

    fn lease(&mut self, offset: Offset, at: Millis, bid: &Lease) -> Effect {
        let held = self.leases.get(&bid.lease).filter(|it| at < it.until);
        let token = match held {
            Some(it) if it.holder != bid.holder => return Effect::LeaseHeld,
            Some(it) => it.token,
            None => offset,
        };
        let grant = Grant { holder: bid.holder.clone(), token, until: at + bid.length_ms };
        self.leases.insert(bid.lease.clone(), grant);
        Effect::Leased
    }

    fn evict_expired(&mut self, at: Millis) {
        let is_old = |it: Millis| it + RETENTION_MS < at;
        while self.change_times.front().is_some_and(|it| is_old(it.0)) {
            let (_, change) = self.change_times.pop_front().expect("the front was just seen");
            self.changes.remove(&change);
        }
        let oldest = self.writers.values().map(|it| it.at).min();
        if oldest.is_some_and(is_old) {
            self.writers.retain(|_, it| !is_old(it.at));
        }
    }
}

fn to_json(spec: &Map<String, Value>) -> Box<str> {
    serde_json::to_string(spec).expect("an object of JSON values is JSON").into_boxed_str()
}
