//! Changes of the known targets and peers by one read or message, and their log lines.
//!
//! A small number of changes is logged with one line each, a larger one as a single line with counts, so that
//! a restart of all instances does not flood the log: lines for each would be two thirds of all, as counted at 295
//! instances and 287 targets.

use holdpoint_core::{
    directory::{Change, Directory, TargetId, TargetInstance},
    ids::Millis,
};

use crate::events::{self, LoggedName, emit};

/// Largest number of changes that are logged line by line.
const MAX_SINGLE_LINES: usize = 3;
/// Largest number of ids in one line.
const MAX_LISTED_IDS: usize = 32;

/// Changes of target instances.
#[derive(Debug, Default)]
pub(crate) struct TargetChanges {
    changes: Vec<(TargetId, Change, &'static str)>,
}

impl TargetChanges {
    /// Puts an entry of a target instance into the directory and records the change. `sign` names the source
    /// of the entry in the log.
    pub(crate) fn put(
        &mut self,
        directory: &mut Directory,
        now: Millis,
        entry: TargetInstance,
        sign: &'static str,
    ) {
        let id = entry.id.clone();
        let change = directory.put(now, entry);
        self.record(id, change, sign);
    }

    /// Removes a target instance from the directory and records the change.
    pub(crate) fn remove(
        &mut self,
        directory: &mut Directory,
        now: Millis,
        id: TargetId,
        sign: &'static str,
    ) {
        directory.add_tombstone(now, &id);
        let change = directory.remove(&id);
        self.record(id, change, sign);
    }

    /// Records a change that the directory has made.
    pub(crate) fn record(&mut self, id: TargetId, change: Change, sign: &'static str) {
        if change != Change::Nothing {
            self.changes.push((id, change, sign));
        }
    }

    /// Whether nothing has changed.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Ids of the targets that have joined or restarted.
    pub(crate) fn joined(&self) -> impl Iterator<Item = &TargetId> {
        let is_new = |it: Change| matches!(it, Change::Joined | Change::Restarted);
        self.changes.iter().filter(move |it| is_new(it.1)).map(|it| &it.0)
    }

    /// Ids of the targets that have restarted.
    pub(crate) fn restarted(&self) -> impl Iterator<Item = &TargetId> {
        self.changes.iter().filter(|it| it.1 == Change::Restarted).map(|it| &it.0)
    }

    /// Ids of the targets that have changed.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.changes.iter().map(|it| &it.0)
    }

    /// Writes the changes to the log.
    pub(crate) fn log(&self, instance: &str, directory: &Directory) {
        if self.changes.len() <= MAX_SINGLE_LINES {
            for (id, change, sign) in &self.changes {
                let service = directory.get(id).map_or("", |it| it.service.as_str());
                let event = match change {
                    Change::Leaving => events::TARGET_DRAINING,
                    _ => events::TARGET_CHANGED,
                };
                let detail = format!("target={id} service={service} change={change:?} sign={sign}");
                emit(event, instance, &detail);
            }
            return;
        }
        let count = |change| self.changes.iter().filter(|it| it.1 == change).count();
        let draining = self.changes.iter().filter(|it| it.1 == Change::Leaving);
        let draining: Vec<&str> = draining.take(MAX_LISTED_IDS).map(|it| it.0.as_str()).collect();
        let detail = format!(
            "joined={} restarted={} altered={} leaving={} known={} sign={} leaving_ids={}",
            count(Change::Joined),
            count(Change::Restarted),
            count(Change::Altered),
            count(Change::Leaving),
            directory.len(),
            self.changes[0].2,
            draining.join(",")
        );
        emit(events::TARGETS_CHANGED, instance, &detail);
    }
}

/// Changes of peers: their names and addresses; no address if the peer is gone.
#[derive(Debug, Default)]
pub(crate) struct PeerChanges {
    changes: Vec<(String, Option<String>)>,
}

impl PeerChanges {
    /// Records a change; `address` is `None` if the peer is gone.
    pub(crate) fn record(&mut self, name: &str, address: Option<String>) {
        self.changes.push((name.to_owned(), address));
    }

    /// Whether nothing has changed.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Writes the changes to the log of an instance; `known` is the number of instances known afterwards.
    pub(crate) fn log(&self, instance: &str, known: usize) {
        if self.changes.len() <= MAX_SINGLE_LINES {
            for (name, address) in &self.changes {
                let address = address.as_deref().unwrap_or("none");
                let detail = format!("peer={} address={address}", LoggedName(name));
                emit(events::PEER_CHANGED, instance, &detail);
            }
            return;
        }
        let left = self.changes.iter().filter(|it| it.1.is_none());
        let left = left.take(MAX_LISTED_IDS).map(|it| LoggedName(&it.0).to_string());
        let left: Vec<String> = left.collect();
        let joined = self.changes.iter().filter(|it| it.1.is_some()).count();
        let detail = format!(
            "joined={joined} left={} known={known} left_names={}",
            self.changes.len() - joined,
            left.join(",")
        );
        emit(events::PEERS_CHANGED, instance, &detail);
    }
}
