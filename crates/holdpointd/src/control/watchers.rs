//! Watches on resources: what changed since a version, then each change as it comes.

use std::collections::VecDeque;

use holdpoint_core::{
    fold::{Entry, State},
    ids::{Name, Offset},
};
use serde::Serialize;
use tokio::sync::broadcast;

/// Changes remembered for watches that resume.
const HISTORY: usize = 1024;

/// One change as a watch shows it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct WatchEvent {
    /// Kind of the resource.
    pub kind: String,
    /// Name of the resource.
    pub name: Name,
    /// Offset of the change.
    pub version: Offset,
    /// Specification; absent after a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spec: Option<serde_json::Map<String, serde_json::Value>>,
}

/// How a watch starts.
pub(crate) enum WatchStart {
    /// What changed since the version, and the changes to come.
    From(Vec<WatchEvent>, broadcast::Receiver<WatchEvent>),
    /// Changes after the version are no longer remembered: list again.
    TooOld,
}

/// Changes remembered and those who watch.
pub(crate) struct Watchers {
    history: VecDeque<WatchEvent>,
    /// Changes up to this offset are not in the history.
    floor: Offset,
    sender: broadcast::Sender<WatchEvent>,
}

impl Watchers {
    pub(crate) fn new() -> Watchers {
        let (sender, _) = broadcast::channel(HISTORY);
        Watchers { history: VecDeque::new(), floor: 0, sender }
    }

    /// Forgets the history: the state was restored at an offset, not folded up to it.
    pub(crate) fn restart(&mut self, offset: Offset) {
        self.history.clear();
        self.floor = offset;
        // Watches under way have missed changes; they end and start again.
        (self.sender, _) = broadcast::channel(HISTORY);
    }

    pub(crate) fn changed(&mut self, offset: Offset, kind: &str, name: &str, entry: Option<Entry>) {
        let event = WatchEvent {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: offset,
            spec: entry.map(|it| it.parsed()),
        };
        if HISTORY <= self.history.len()
            && let Some(oldest) = self.history.pop_front()
        {
            self.floor = oldest.version;
        }
        self.history.push_back(event.clone());
        // Without a watch there is nobody to send to.
        drop(self.sender.send(event));
    }

    /// Starts a watch on a kind. From version 0 it begins with all that exists.
    pub(crate) fn start(&self, kind: &str, from: Offset, state: &State) -> WatchStart {
        let events = if from == 0 {
            let existing = state.resources(kind).map(|(name, it)| WatchEvent {
                kind: kind.to_owned(),
                name: name.clone(),
                version: it.version,
                spec: Some(it.parsed()),
            });
            existing.collect()
        } else if from < self.floor {
            return WatchStart::TooOld;
        } else {
            let newer = |it: &&WatchEvent| it.kind == kind && from < it.version;
            self.history.iter().filter(newer).cloned().collect()
        };
        WatchStart::From(events, self.sender.subscribe())
    }
}
