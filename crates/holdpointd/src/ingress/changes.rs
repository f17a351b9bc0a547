//! What one read or one message changed of the targets and peers that an instance knows, and its
//! lines in the log: a line for each change where there are few, one line with counts where there
//! are many. After a restart of all instances, lines for each target and peer at each instance would
//! be two thirds of the log (229,182 of 340,641 lines counted at 295 instances and 287 targets).

use holdpoint_core::{
    directory::{Change, Directory, TargetId, TargetInstance},
    ids::Millis,
};

use crate::events::{self, emit};

/// Changes up to which each has a line of its own.
const FEW: usize = 3;
/// Most ids that one line names.
const NAMED: usize = 32;

/// Changes of target instances.
#[derive(Debug, Default)]
pub(crate) struct TargetChanges {
    changes: Vec<(TargetId, Change, &'static str)>,
}

impl TargetChanges {
    /// Takes in one entry of a target instance.
    pub(crate) fn put(
        &mut self,
        directory: &mut Directory,
        now: Millis,
        entry: TargetInstance,
        sign: &'static str,
    ) {
        let id = entry.id.clone();
        let change = directory.put(now, entry);
        self.note(id, change, sign);
    }

    /// Takes in that a target instance is gone.
    pub(crate) fn remove(
        &mut self,
        directory: &mut Directory,
        now: Millis,
        id: TargetId,
        sign: &'static str,
    ) {
        directory.note_gone(now, &id);
        let change = directory.remove(&id);
        self.note(id, change, sign);
    }

    /// Notes a change that was made.
    pub(crate) fn note(&mut self, id: TargetId, change: Change, sign: &'static str) {
        if change != Change::Nothing {
            self.changes.push((id, change, sign));
        }
    }

    /// Whether nothing has changed.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Ids of the targets that have joined, or started again.
    pub(crate) fn joined(&self) -> impl Iterator<Item = &TargetId> {
        let is_new = |it: Change| matches!(it, Change::Joined | Change::Restarted);
        self.changes.iter().filter(move |it| is_new(it.1)).map(|it| &it.0)
    }

    /// Ids of the targets that have started again.
    pub(crate) fn restarted(&self) -> impl Iterator<Item = &TargetId> {
        self.changes.iter().filter(|it| it.1 == Change::Restarted).map(|it| &it.0)
    }

    /// Ids of the targets that have changed.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.changes.iter().map(|it| &it.0)
    }

    /// Writes the changes to the log.
    pub(crate) fn log(&self, instance: &str, directory: &Directory) {
        if self.changes.len() <= FEW {
            for (id, change, sign) in &self.changes {
                let service = directory.get(id).map_or("", |it| it.service.as_str());
                let event = match change {
                    Change::Leaving => events::TARGET_LEAVING,
                    _ => events::TARGET_CHANGED,
                };
                let detail = format!("target={id} service={service} change={change:?} sign={sign}");
                emit(event, instance, &detail);
            }
            return;
        }
        let count = |change| self.changes.iter().filter(|it| it.1 == change).count();
        let leaving = self.changes.iter().filter(|it| it.1 == Change::Leaving);
        let leaving: Vec<&str> = leaving.take(NAMED).map(|it| it.0.as_str()).collect();
        let detail = format!(
            "joined={} restarted={} altered={} leaving={} known={} sign={} leaving_ids={}",
            count(Change::Joined),
            count(Change::Restarted),
            count(Change::Altered),
            count(Change::Leaving),
            directory.len(),
            self.changes[0].2,
            leaving.join(",")
        );
        emit(events::TARGETS_CHANGED, instance, &detail);
    }
}

/// Changes of peers: name and address, which a peer that has left does not have.
#[derive(Debug, Default)]
pub(crate) struct PeerChanges {
    changes: Vec<(String, Option<String>)>,
}

impl PeerChanges {
    /// Notes a change that was made.
    pub(crate) fn note(&mut self, name: &str, address: Option<String>) {
        self.changes.push((name.to_owned(), address));
    }

    /// Whether nothing has changed.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Writes the changes to the log of an instance that now knows so many instances.
    pub(crate) fn log(&self, instance: &str, known: usize) {
        if self.changes.len() <= FEW {
            for (name, address) in &self.changes {
                let address = address.as_deref().unwrap_or("none");
                emit(events::PEER_CHANGED, instance, &format!("peer={name} address={address}"));
            }
            return;
        }
        let left = self.changes.iter().filter(|it| it.1.is_none());
        let left: Vec<&str> = left.take(NAMED).map(|it| it.0.as_str()).collect();
        let joined = self.changes.iter().filter(|it| it.1.is_some()).count();
        let detail = format!(
            "joined={joined} left={} known={known} left_names={}",
            self.changes.len() - joined,
            left.join(",")
        );
        emit(events::PEERS_CHANGED, instance, &detail);
    }
}
