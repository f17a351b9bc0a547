//! Heartbeats: exchanges membership digests with neighbours. Their answers can
//! also confirm the head of the log.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use holdpoint_core::{
    ids::{Millis, Offset},
    lifecycle,
    membership::View,
};
use holdpoint_schema::peer::{Digest, Phase};

use crate::{
    control::{Control, Input},
    metrics::label,
    peers::PeerUnavailable,
    shared::Shared,
};

/// Minimum interval between heartbeats to one neighbour while there are updates to send.
const MIN_UPDATE_INTERVAL_MS: Millis = 100;
/// Time limit for a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

#[derive(Clone, Copy, Debug, Default)]
struct Neighbour {
    sent_at: Millis,
    sent_version: u64,
    is_waiting: bool,
    answered_at: Option<Millis>,
}

/// State of the exchange with each neighbour.
pub(crate) struct Exchange {
    neighbours: BTreeMap<String, Neighbour>,
    /// Version of the view from which the neighbours were chosen, and whether the wide set was used.
    chosen_from: Option<(u64, bool)>,
    last_expiry: Millis,
}

impl Exchange {
    pub(crate) fn new() -> Exchange {
        Exchange { neighbours: BTreeMap::new(), chosen_from: None, last_expiry: 0 }
    }

    /// Sends the heartbeats that are due and declares silent neighbours as stopped.
    pub(crate) fn send_due(
        &mut self,
        view: &mut View,
        shared: &Arc<Shared>,
        age: Option<Millis>,
        head: Offset,
        is_wide: bool,
    ) {
        let now = shared.clock.now();
        let timing = &shared.settings.timing;
        self.choose(view, is_wide);
        for (address, neighbour) in &mut self.neighbours {
            let has_update = neighbour.sent_version < view.version();
            let wait = if has_update { MIN_UPDATE_INTERVAL_MS } else { timing.heartbeat_ms };
            if neighbour.is_waiting || now < neighbour.sent_at + wait {
                continue;
            }
            neighbour.is_waiting = true;
            neighbour.sent_at = now;
            neighbour.sent_version = view.version();
            let incarnation = view.incarnation_at(address).cloned();
            let digest = view.digest_for(incarnation.as_deref(), head, age);
            tokio::spawn(heartbeat(shared.clone(), address.clone(), digest, now));
        }
        if self.last_expiry + timing.heartbeat_ms <= now {
            self.last_expiry = now;
            let watched: Vec<String> = self.neighbours.keys().cloned().collect();
            view.stop_silent(now, timing.dead_ms, &watched);
        }
    }

    /// Chooses the neighbours again if the view or the width has changed.
    fn choose(&mut self, view: &View, is_wide: bool) {
        let from = Some((view.version(), is_wide));
        if self.chosen_from == from {
            return;
        }
        self.chosen_from = from;
        let mut old = std::mem::take(&mut self.neighbours);
        for address in view.neighbours(is_wide) {
            let neighbour = old.remove(&address).unwrap_or_default();
            self.neighbours.insert(address, neighbour);
        }
    }

    pub(crate) fn record_result(&mut self, peer: &str, asked_at: Millis, is_answered: bool) {
        let Some(neighbour) = self.neighbours.get_mut(peer) else { return };
        neighbour.is_waiting = false;
        if is_answered {
            neighbour.answered_at = Some(asked_at);
        } else {
            neighbour.sent_version = 0;
        }
    }

    /// Whether this instance and the neighbours that answered within `ms` are a majority of all of them.
    pub(crate) fn has_majority(&self, now: Millis, ms: Millis) -> bool {
        let is_recent = |it: &&Neighbour| it.answered_at.is_some_and(|it| now <= it + ms);
        let present = 1 + self.neighbours.values().filter(is_recent).count();
        1 + self.neighbours.len() < 2 * present
    }

    /// Notifies the neighbours that this instance has stopped.
    pub(crate) async fn notify_stopped(&self, view: &View, shared: &Arc<Shared>) {
        let calls = self.neighbours.keys().map(|address| {
            let incarnation = view.incarnation_at(address).cloned();
            let digest = view.digest_for(incarnation.as_deref(), 0, None);
            let timeout = Duration::from_millis(300);
            shared.peers.call(address, timeout, |client, context| async move {
                client.heartbeat(context, digest).await
            })
        });
        futures::future::join_all(calls).await;
    }
}

impl Control {
    pub(crate) fn digest_for(&self, peer: Option<&str>) -> Digest {
        let now = self.shared.clock.now();
        self.view.digest_for(peer, self.state.offset(), self.head_age(now))
    }

    /// Time since the log last confirmed its head, here or at a peer, in milliseconds.
    pub(crate) fn head_age(&self, now: Millis) -> Option<Millis> {
        self.head_confirmed.map(|it| now.saturating_sub(it))
    }

    /// Records that the log confirmed its head at `at`, here or at a peer.
    pub(crate) fn head_confirmed(&mut self, at: Millis) {
        self.head_confirmed = self.head_confirmed.max(Some(at));
        self.extend_serving(at);
    }

    /// A ready instance without neighbours needs no confirmation by a peer while the log is unavailable. The
    /// instance list must have been read, since it names possible neighbours.
    pub(crate) fn confirm_if_alone(&mut self, now: Millis) {
        let is_alone = self.exchange.neighbours.is_empty() && self.listing.is_some();
        if is_alone && self.is_log_silent && self.lifecycle.phase() == Phase::Ready {
            self.extend_serving(now);
        }
    }

    /// Extends the time to serve to `confirm_ms` after `at`. Has no effect if that time has passed: an answer
    /// that was in flight while this process was paused confirms nothing.
    fn extend_serving(&mut self, at: Millis) {
        let until = at + self.shared.settings.timing.confirm_ms;
        if until < self.shared.clock.now() {
            return;
        }
        self.shared.serve_until.fetch_max(until, Ordering::AcqRel);
        self.handle_lifecycle(lifecycle::Event::Confirmed { now: at });
    }

    pub(crate) fn merge(&mut self, digest: &Digest) {
        let now = self.shared.clock.now();
        if self.view.merge(digest, now) {
            self.is_dirty = true;
            self.changes.tick(now, &self.state, &self.view);
        }
    }

    pub(crate) fn heartbeat_ended(
        &mut self,
        peer: &str,
        asked_at: Millis,
        result: Result<Option<Digest>, PeerUnavailable>,
    ) {
        let digest = result.ok().flatten();
        self.exchange.record_result(peer, asked_at, digest.is_some());
        let kind = if digest.is_some() { "answered" } else { "silent" };
        self.shared.metrics.heartbeats.add(1, &[label("result", kind)]);
        let Some(digest) = digest else { return };
        self.merge(&digest);
        self.confirm_by_peer(&digest, asked_at);
    }

    /// Extends the time to serve by a peer's digest, in two cases. First, the log confirmed the head to the
    /// peer, and this instance has applied everything up to it. Second, the log is silent here, the peer has
    /// no recent confirmation either, and this instance with the neighbours that answer is a majority: no
    /// change can be accepted without one of them, so none can be active elsewhere.
    fn confirm_by_peer(&mut self, digest: &Digest, asked_at: Millis) {
        if self.state.offset() < digest.head {
            return;
        }
        let theirs = digest.confirmed_ms.map(|age| asked_at.saturating_sub(age));
        if self.head_confirmed < theirs {
            self.head_confirmed(theirs.expect("greater than an `Option`, so not `None`"));
        }
        let confirm_ms = self.shared.settings.timing.confirm_ms;
        let is_down =
            self.is_log_silent && digest.confirmed_ms.is_none_or(|it| confirm_ms / 4 < it);
        let is_serving = self.lifecycle.phase() == Phase::Ready;
        if is_serving && is_down && self.exchange.has_majority(asked_at, confirm_ms) {
            self.extend_serving(asked_at);
        }
    }
}

async fn heartbeat(shared: Arc<Shared>, peer: String, digest: Digest, asked_at: Millis) {
    let result = shared
        .peers
        .call(&peer, HEARTBEAT_TIMEOUT, |client, context| async move {
            client.heartbeat(context, digest).await
        })
        .await;
    drop(shared.control.send(Input::HeartbeatEnded { peer, asked_at, result }).await);
}
