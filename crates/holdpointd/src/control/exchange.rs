//! Heartbeats: the exchange of digests with neighbours, and what it says about the head of the
//! log.

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
    peers::PeerSilent,
    shared::Shared,
};

/// Least time between two heartbeats to one neighbour while there is news, in milliseconds.
const NEWS_MS: Millis = 100;
/// How long a heartbeat may take.
const LIMIT: Duration = Duration::from_millis(1000);

#[derive(Clone, Copy, Debug, Default)]
struct Neighbour {
    sent: Millis,
    sent_version: u64,
    is_waiting: bool,
    answered: Option<Millis>,
}

/// State of the exchange with each neighbour.
pub(crate) struct Exchange {
    neighbours: BTreeMap<String, Neighbour>,
    /// What the neighbours were chosen from: the view's version, and whether widely.
    chosen: Option<(u64, bool)>,
    buried: Millis,
}

impl Exchange {
    pub(crate) fn new() -> Exchange {
        Exchange { neighbours: BTreeMap::new(), chosen: None, buried: 0 }
    }

    /// Sends the heartbeats that are due and declares silent neighbours stopped.
    pub(crate) fn beat(
        &mut self,
        view: &mut View,
        shared: &Arc<Shared>,
        age: Option<Millis>,
        head: Offset,
        wide: bool,
    ) {
        let now = shared.clock.now();
        let timing = &shared.settings.timing;
        self.choose(view, wide);
        for (address, neighbour) in &mut self.neighbours {
            let has_news = neighbour.sent_version < view.version();
            let wait = if has_news { NEWS_MS } else { timing.heartbeat_ms };
            if neighbour.is_waiting || now < neighbour.sent + wait {
                continue;
            }
            neighbour.is_waiting = true;
            neighbour.sent = now;
            neighbour.sent_version = view.version();
            let incarnation = view.incarnation_at(address).cloned();
            let digest = view.digest_for(incarnation.as_deref(), head, age);
            tokio::spawn(heartbeat(shared.clone(), address.clone(), digest, now));
        }
        if self.buried + timing.heartbeat_ms <= now {
            self.buried = now;
            let watched: Vec<String> = self.neighbours.keys().cloned().collect();
            view.bury(now, timing.dead_ms, &watched);
        }
    }

    /// Chooses the neighbours anew where the view has changed.
    fn choose(&mut self, view: &View, wide: bool) {
        let from = Some((view.version(), wide));
        if self.chosen == from {
            return;
        }
        self.chosen = from;
        let mut old = std::mem::take(&mut self.neighbours);
        for address in view.neighbours(wide) {
            let neighbour = old.remove(&address).unwrap_or_default();
            self.neighbours.insert(address, neighbour);
        }
    }

    pub(crate) fn ended(&mut self, peer: &str, asked: Millis, answered: bool) {
        let Some(neighbour) = self.neighbours.get_mut(peer) else { return };
        neighbour.is_waiting = false;
        if answered {
            neighbour.answered = Some(asked);
        } else {
            neighbour.sent_version = 0;
        }
    }

    /// Whether more than half of the neighbours and this instance itself answered within `ms`.
    pub(crate) fn is_majority(&self, now: Millis, ms: Millis) -> bool {
        let recent = |it: &&Neighbour| it.answered.is_some_and(|it| now <= it + ms);
        let present = 1 + self.neighbours.values().filter(recent).count();
        1 + self.neighbours.len() < 2 * present
    }

    /// Tells the neighbours at once that this instance has stopped.
    pub(crate) async fn farewell(&self, view: &View, shared: &Arc<Shared>) {
        let calls = self.neighbours.keys().map(|address| {
            let incarnation = view.incarnation_at(address).cloned();
            let digest = view.digest_for(incarnation.as_deref(), 0, None);
            let limit = Duration::from_millis(300);
            shared.peers.call(address, limit, |client, context| async move {
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

    /// Time since the head of the log was last confirmed by the log, here or at a peer, in
    /// milliseconds.
    pub(crate) fn head_age(&self, now: Millis) -> Option<Millis> {
        self.head_confirmed.map(|it| now.saturating_sub(it))
    }

    /// Notes that the log, here or at a peer, confirmed the head at `at`.
    pub(crate) fn head_confirmed(&mut self, at: Millis) {
        self.head_confirmed = self.head_confirmed.max(Some(at));
        self.may_serve(at);
    }

    /// The only instance that is known or listed needs nobody's word while the log is down.
    pub(crate) fn confirm_alone(&mut self, now: Millis) {
        let is_alone = self.exchange.neighbours.is_empty() && self.listing.is_some();
        if is_alone && self.log_silent && self.life.phase() == Phase::Ready {
            self.may_serve(now);
        }
    }

    /// Lets the instance serve for the bound after `at`, unless that is already over: an answer
    /// that was under way while this process was paused confirms nothing.
    fn may_serve(&mut self, at: Millis) {
        let until = at + self.shared.settings.timing.confirm_ms;
        if until < self.shared.clock.now() {
            return;
        }
        self.shared.serve_until.fetch_max(until, Ordering::AcqRel);
        self.life_event(lifecycle::Event::Confirmed { now: at });
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
        asked: Millis,
        result: Result<Option<Digest>, PeerSilent>,
    ) {
        let digest = result.ok().flatten();
        self.exchange.ended(peer, asked, digest.is_some());
        let kind = if digest.is_some() { "answered" } else { "silent" };
        self.shared.metrics.heartbeats.add(1, &[label("result", kind)]);
        let Some(digest) = digest else { return };
        self.merge(&digest);
        self.confirm_by_peer(&digest, asked);
    }

    /// A peer's word lets this instance go on in two cases. The log confirmed the head to the
    /// peer, and all of it is in force here. Or the log is silent here and at every neighbour
    /// that answers, and those are the majority: then no change can be accepted without one of
    /// them, so none can be in force elsewhere.
    fn confirm_by_peer(&mut self, digest: &Digest, asked: Millis) {
        if self.state.offset() < digest.head {
            return;
        }
        let theirs = digest.confirmed_ms.map(|age| asked.saturating_sub(age));
        if self.head_confirmed < theirs {
            self.head_confirmed(theirs.expect("what is above an option is a value"));
        }
        let confirm_ms = self.shared.settings.timing.confirm_ms;
        let is_down = self.log_silent && digest.confirmed_ms.is_none_or(|it| confirm_ms / 4 < it);
        let is_serving = self.life.phase() == Phase::Ready;
        if is_serving && is_down && self.exchange.is_majority(asked, confirm_ms) {
            self.may_serve(asked);
        }
    }
}

async fn heartbeat(shared: Arc<Shared>, peer: String, digest: Digest, asked: Millis) {
    let result = shared
        .peers
        .call(
            &peer,
            LIMIT,
            |client, context| async move { client.heartbeat(context, digest).await },
        )
        .await;
    drop(shared.control.send(Input::HeartbeatEnded { peer, asked, result }).await);
}
