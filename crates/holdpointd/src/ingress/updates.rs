//! Applies updates received from other instances: configuration, targets, peers, resources, roll-outs and
//! evacuations.
//!
//! Full lists replace the known state only where the sender has read the store recently.

use std::sync::Arc;

use bytes::Bytes;
use holdpoint_core::{epoch::EpochOrder, ids::Name};
use serde::de::DeserializeOwned;

use crate::{
    events::{self, emit},
    ingress::{
        domains,
        packed::{UnpackError, decompress, unpack},
        peers::Peer,
        rollouts,
        shared::IngressShared,
        update_feed::{Content, StateChange, TargetList, Update},
    },
};

/// Outcome of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// The sender has read the store recently, or follows an instance that has.
    Fresh,
    /// The sender's state is outdated.
    Stale,
    /// The changes could not be decoded, so a full snapshot has to be sent again.
    Unreadable,
}

/// Applies an update from another instance.
pub(crate) fn apply_update(shared: &Arc<IngressShared>, update: Update) -> UpdateOutcome {
    if shared.epochs.observe(update.epoch) == EpochOrder::Older {
        // The update is of an epoch before the store's restoration; only its configuration is used.
        apply_configuration(shared, &update);
        return UpdateOutcome::Stale;
    }
    // Applied before the lists that make an instance ready, so that one that starts sends no work to an
    // evacuated domain and respects running roll-outs.
    if let Some(it) = update.rollouts.clone() {
        rollouts::merge_orders(shared, it.into_orders(shared.clock.now()), "peer");
    }
    if let Some(it) = update.evacuations.clone() {
        domains::apply_update(shared, it, "peer");
    }
    apply_configuration(shared, &update);
    let is_fresh = update.age_ms.is_some();
    // A peer missing from the list has left only if the sender has read the store recently. A sender that has
    // just started may have read the targets but not yet the peers.
    let is_complete = is_fresh && update.knows_peers.unwrap_or(true);
    if update.knows_peers == Some(true) && matches!(update.content, Some(Content::Packed { .. })) {
        shared.peers.mark_complete();
    }
    match update.content {
        None => (),
        Some(Content::News(news)) => apply_changes(shared, news),
        Some(Content::PackedNews(news)) => match decode_or_log(shared, &news) {
            Some(it) => apply_changes(shared, it),
            None => return UpdateOutcome::Unreadable,
        },
        Some(Content::All { targets, peers, resources }) => {
            shared.origins.list_was_replaced(shared.clock.now());
            apply_resources(shared, resources, is_fresh);
            let peers = peers.into_iter().map(|(name, peer)| (name, Some(peer)));
            shared.set_peers(peers.collect(), is_complete);
            let list = targets.and_then(|it| serde_json::from_slice(&it).ok());
            list.into_iter().for_each(|it| apply_targets(shared, it, is_fresh));
        }
        Some(Content::Packed { targets, peers, resources }) => {
            shared.origins.list_was_replaced(shared.clock.now());
            apply_resources(shared, resources, is_fresh);
            let peers: Option<Vec<(Name, Peer)>> = peers.and_then(|it| decode_or_log(shared, &it));
            if let Some(it) = peers {
                let it = it.into_iter().map(|(name, peer)| (name, Some(peer)));
                shared.set_peers(it.collect(), is_complete);
            }
            if let Some(it) = targets.and_then(|it| decode_or_log(shared, &it)) {
                apply_targets(shared, it, is_fresh);
            }
        }
    }
    if let Some(it) = update.age_ms {
        shared.targets_were_read(it);
        if update.version <= shared.configuration().version {
            shared.confirmation.record(shared.clock.now().saturating_sub(it));
        }
    }
    if is_fresh { UpdateOutcome::Fresh } else { UpdateOutcome::Stale }
}

/// Applies the configuration in an update, if there is one.
pub(crate) fn apply_configuration(shared: &IngressShared, update: &Update) {
    if let Some(it) = &update.configuration {
        shared.apply_configuration(it, "peer");
    }
    match update.packed_configuration.as_deref().map(decompress) {
        None => (),
        Some(Ok(it)) => shared.apply_configuration(&it, "peer"),
        Some(Err(it)) => {
            emit(events::BAD_LIST, &shared.settings.instance, &format!("cause=\"{it}\""));
        }
    }
}

/// Decodes a packed list; logs and skips one that cannot be decoded.
pub(crate) fn decode_or_log<T: DeserializeOwned>(
    shared: &IngressShared,
    packed: &[u8],
) -> Option<T> {
    let decoded = unpack(packed);
    let log_error = |it: &UnpackError| {
        let detail = format!("bytes={} cause=\"{it}\"", packed.len());
        emit(events::BAD_LIST, &shared.settings.instance, &detail);
    };
    decoded.inspect_err(log_error).ok()
}

fn apply_changes(shared: &IngressShared, news: Vec<StateChange>) {
    let (mut targets, mut peers) = (Vec::new(), Vec::new());
    for it in news {
        match it {
            StateChange::Target(it) => targets.push(Ok(it)),
            StateChange::TargetGone(it) => targets.push(Err(it)),
            StateChange::Peer(name, peer) => peers.push((name, peer)),
            StateChange::Resource(key, value) => shared.set_resource(&key, value),
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

/// Applies a full list of resources. Resources missing from a recent list are removed.
fn apply_resources(shared: &IngressShared, resources: Vec<(String, Bytes)>, is_fresh: bool) {
    if is_fresh {
        let is_named = |key: &str| resources.iter().any(|it| it.0 == key);
        // Quarantines are not removed this way: the list may be older than the quarantine, and ends are sent
        // explicitly.
        let known = shared.experiments.all().into_iter();
        known.filter(|it| !is_named(&it.0)).for_each(|it| shared.set_resource(&it.0, None));
    }
    resources.into_iter().for_each(|(key, value)| shared.set_resource(&key, Some(value)));
    if is_fresh {
        shared.origins.store_was_read(shared.clock.now());
    }
}

/// Applies a full list of targets. An outdated list is used only where no targets are known.
fn apply_targets(shared: &IngressShared, list: TargetList, is_fresh: bool) {
    let (listed, lapsed) = list.into_targets();
    let now = shared.clock.now();
    shared.change_directory(|directory, changes| {
        if !is_fresh && !directory.is_empty() {
            return;
        }
        let unnamed = directory.missing_from(&listed).into_iter();
        for id in unnamed.filter(|it| !lapsed.contains(it)) {
            changes.remove(directory, now, id, "peer");
        }
        listed.into_iter().for_each(|it| changes.put(directory, now, it, "peer"));
    });
}
