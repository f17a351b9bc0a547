//! Takes in what another instance tells of what it knows.

use std::sync::Arc;

use bytes::Bytes;
use holdpoint_core::{era::Heard, ids::Name};
use serde::de::DeserializeOwned;

use crate::{
    events::{self, emit},
    ingress::{
        domains,
        news::{Content, News, TargetList, Update},
        packed::{Unreadable, decompress, unpack},
        peers::Peer,
        rollouts,
        shared::IngressShared,
    },
};

/// What came of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// The one that answers has read the store of late, or follows one that has.
    Fresh,
    /// It has not.
    Stale,
    /// News could not be read: what happened is not known, so that all has to be told anew.
    Unreadable,
}

/// Takes in what another instance tells.
pub(crate) fn take_in(shared: &Arc<IngressShared>, update: Update) -> Taken {
    if shared.eras.hear(update.era) == Heard::Over {
        // What it knows is from before the store's return, which it has not heard of.
        take_configuration(shared, &update);
        return Taken::Stale;
    }
    // Before what makes an instance ready: one that starts gives an evacuated domain and a version that
    // is rolled out no work.
    if let Some(it) = update.rollouts.clone() {
        rollouts::take_over(shared, it.taken(shared.clock.now()), "peer");
    }
    if let Some(it) = update.evacuations.clone() {
        domains::take_over(shared, it, "peer");
    }
    take_configuration(shared, &update);
    let is_fresh = update.age_ms.is_some();
    // Only one who has read the store of late knows that a peer which it does not name has left; and one
    // that has started just now has read the targets before the peers, perhaps.
    let is_whole = is_fresh && update.knows_peers.unwrap_or(true);
    if update.knows_peers == Some(true) && matches!(update.content, Some(Content::Packed { .. })) {
        shared.peers.note_read();
    }
    match update.content {
        None => (),
        Some(Content::News(news)) => take_news(shared, news),
        Some(Content::PackedNews(news)) => match unpacked(shared, &news) {
            Some(it) => take_news(shared, it),
            None => return Taken::Unreadable,
        },
        Some(Content::All { targets, peers, resources }) => {
            take_resources(shared, resources, is_fresh);
            let peers = peers.into_iter().map(|(name, peer)| (name, Some(peer)));
            shared.set_peers(peers.collect(), is_whole);
            let list = targets.and_then(|it| serde_json::from_slice(&it).ok());
            list.into_iter().for_each(|it| take_targets(shared, it, is_fresh));
        }
        Some(Content::Packed { targets, peers, resources }) => {
            take_resources(shared, resources, is_fresh);
            let peers: Option<Vec<(Name, Peer)>> = peers.and_then(|it| unpacked(shared, &it));
            if let Some(it) = peers {
                let it = it.into_iter().map(|(name, peer)| (name, Some(peer)));
                shared.set_peers(it.collect(), is_whole);
            }
            if let Some(it) = targets.and_then(|it| unpacked(shared, &it)) {
                take_targets(shared, it, is_fresh);
            }
        }
    }
    if let Some(it) = update.age_ms {
        shared.targets_were_read(it);
        if update.version <= shared.configuration().version {
            shared.confirmation.note(shared.clock.now().saturating_sub(it));
        }
    }
    if is_fresh { Taken::Fresh } else { Taken::Stale }
}

/// Takes in the configuration that another instance sent, if it did.
pub(crate) fn take_configuration(shared: &IngressShared, update: &Update) {
    if let Some(it) = &update.configuration {
        shared.offer_configuration(it, "peer");
    }
    match update.packed_configuration.as_deref().map(decompress) {
        None => (),
        Some(Ok(it)) => shared.offer_configuration(&it, "peer"),
        Some(Err(it)) => {
            emit(events::BAD_LIST, &shared.settings.instance, &format!("cause=\"{it}\""));
        }
    }
}

/// Reads a packed list; one that cannot be read is left aside.
pub(crate) fn unpacked<T: DeserializeOwned>(shared: &IngressShared, packed: &[u8]) -> Option<T> {
    let read = unpack(packed);
    let note = |it: &Unreadable| {
        let detail = format!("bytes={} cause=\"{it}\"", packed.len());
        emit(events::BAD_LIST, &shared.settings.instance, &detail);
    };
    read.inspect_err(note).ok()
}

fn take_news(shared: &IngressShared, news: Vec<News>) {
    let (mut targets, mut peers) = (Vec::new(), Vec::new());
    for it in news {
        match it {
            News::Target(it) => targets.push(Ok(it)),
            News::TargetGone(it) => targets.push(Err(it)),
            News::Peer(name, peer) => peers.push((name, peer)),
            News::Resource(key, value) => shared.set_resource(&key, value),
        }
    }
    shared.set_peers(peers, false);
    let now = shared.clock.now();
    shared.change_directory(|directory, changes| {
        for it in targets {
            match it {
                Ok(it) => changes.put(directory, now, it, "peer"),
                Err(it) => changes.remove(directory, now, it, "peer"),
            }
        }
    });
}

/// Takes in all resources that another one knows, as with peers.
fn take_resources(shared: &IngressShared, resources: Vec<(String, Bytes)>, is_fresh: bool) {
    if is_fresh {
        let is_named = |key: &str| resources.iter().any(|it| it.0 == key);
        // A held request is released by a word of its own: a list may be older than what holds it.
        let known = shared.experiments.all().into_iter();
        known.filter(|it| !is_named(&it.0)).for_each(|it| shared.set_resource(&it.0, None));
    }
    resources.into_iter().for_each(|(key, value)| shared.set_resource(&key, Some(value)));
}

/// Takes in all targets that another instance knows; what it read too long ago is better than
/// nothing only.
fn take_targets(shared: &IngressShared, list: TargetList, is_fresh: bool) {
    let (listed, lapsed) = list.into_targets();
    let now = shared.clock.now();
    shared.change_directory(|directory, changes| {
        if !is_fresh && !directory.is_empty() {
            return;
        }
        let unnamed = directory.unnamed(&listed).into_iter();
        for id in unnamed.filter(|it| !lapsed.contains(it)) {
            changes.remove(directory, now, id, "peer");
        }
        listed.into_iter().for_each(|it| changes.put(directory, now, it, "peer"));
    });
}
