//! Watches on resources: a watch first gets the changes since a version, then each new change.

use std::collections::VecDeque;

use holdpoint_core::{
    fold::{Entry, State},
    ids::{Name, Offset},
};
use serde::Serialize;
use tokio::sync::broadcast;

/// Number of recent changes kept for watches that resume.
const HISTORY: usize = 1024;

/// One change, as sent to watches.
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

/// Result of starting a watch.
pub(crate) enum WatchStart {
    /// Changes since the version, and the receiver of new changes.
    From(Vec<WatchEvent>, broadcast::Receiver<WatchEvent>),
    /// Changes after the version are no longer kept; the client must list again.
    TooOld,
}

/// Recent changes and the channel to running watches.
pub(crate) struct Watchers {
    history: VecDeque<WatchEvent>,
    /// Changes up to this offset are no longer in the history.
    floor: Offset,
    sender: broadcast::Sender<WatchEvent>,
}

impl Watchers {
    pub(crate) fn new() -> Watchers {
        let (sender, _) = broadcast::channel(HISTORY);
        Watchers { history: VecDeque::new(), floor: 0, sender }
    }

    /// Clears the history after the state was replaced by one restored at an offset.
    pub(crate) fn reset(&mut self, offset: Offset) {
        self.history.clear();
        self.floor = offset;
        // Running watches have missed changes. Replacing the channel ends them, so that clients list again.
        (self.sender, _) = broadcast::channel(HISTORY);
    }

    pub(crate) fn record_change(
        &mut self,
        offset: Offset,
        kind: &str,
        name: &str,
        entry: Option<Entry>,
    ) {
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
        // Fails if there are no running watches.
        drop(self.sender.send(event));
    }

    /// Starts a watch on a kind. Version 0 starts with all existing resources.
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
