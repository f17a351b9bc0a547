//! What instances tell each other of limits: whoever hears of a change tells the instance that keeps the
//! target's account, which tells all others when a limit begins or ends.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use holdpoint_core::{
    directory::{TargetId, TargetInstance},
    ids::Name,
    target_limits::{Change, LimitNews},
};
use parking_lot::Mutex;
use tokio::{
    sync::Notify,
    time::{interval, sleep},
};

use super::keeper_of;
use crate::ingress::{peer_service::LIMITS, shared::IngressShared};

/// How long changes are gathered before they are told together.
const GATHER: Duration = Duration::from_millis(10);
/// The same for what all instances are told, of which there may be hundreds.
const GATHER_FOR_ALL: Duration = Duration::from_millis(200);
/// How often it is looked who keeps the accounts, and who has joined.
const REVIEW: Duration = Duration::from_millis(250);
/// Limits that an instance is told when it joins, at most.
const MOST_TOLD: usize = 1000;
/// What is to be told.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Targets whose limits have changed, for those who keep their accounts.
    for_keepers: Mutex<HashSet<TargetId>>,
    has_news: Notify,
    /// Targets whose limits began or ended, for all.
    for_all: Mutex<HashSet<TargetId>>,
    has_news_for_all: Notify,
    /// Who was told of each target; none for this instance.
    told: Mutex<HashMap<TargetId, Option<String>>>,
    /// Lives of the instances that were there when it was last looked, as long as this one keeps accounts.
    greeted: Mutex<HashSet<(Name, String)>>,
}

impl Outbox {
    /// Has whoever keeps a target's account be told of its limit.
    pub(super) fn tell(&self, id: &str) {
        self.for_keepers.lock().insert(id.to_owned());
        self.has_news.notify_one();
    }

    fn tell_all(&self, id: &str) {
        self.for_all.lock().insert(id.to_owned());
        self.has_news_for_all.notify_one();
    }
}

/// Takes in what a peer tells.
pub(crate) fn take_news(shared: &IngressShared, news: Vec<LimitNews>) {
    let limits = &shared.limits;
    let now = shared.clock.now();
    for it in news {
        // An instance that has just started may hear of a limit before it knows the target.
        let its = (it.target.as_str(), it.service.as_str());
        let change = limits.known.lock().learn(it.made(now), its, it.per_s);
        limits.note(shared, &it.target, change, "peer");
        let concerns_all = matches!(change, Change::Began | Change::Ended);
        let is_keeper =
            || shared.target(&it.target).is_some_and(|it| keeper_of(shared, &it).is_none());
        if concerns_all && is_keeper() {
            limits.outbox.tell_all(&it.target);
        }
    }
}

/// Tells what there is to tell, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let outbox = &shared.limits.outbox;
    let mut review_at = interval(REVIEW);
    loop {
        tokio::select! {
            () = outbox.has_news.notified() => {
                sleep(GATHER).await;
                tell_keepers(&shared);
            }
            () = outbox.has_news_for_all.notified() => {
                sleep(GATHER_FOR_ALL).await;
                let ids = std::mem::take(&mut *outbox.for_all.lock());
                let peers = shared.peers.all().into_iter();
                let peers = peers.filter(|it| LIMITS <= it.1.protocol).map(|it| it.1.address);
                tell_peers(&shared, peers.collect(), &ids.into_iter().collect::<Vec<_>>());
            }
            _ = review_at.tick() => review(&shared),
        }
    }
}

/// Tells those who keep the accounts of changes.
fn tell_keepers(shared: &Arc<IngressShared>) {
    let outbox = &shared.limits.outbox;
    let mut by_keeper: HashMap<String, Vec<TargetId>> = HashMap::new();
    for id in std::mem::take(&mut *outbox.for_keepers.lock()) {
        let Some(target) = shared.target(&id) else { continue };
        let keeper = keeper_of(shared, &target);
        outbox.told.lock().insert(id.clone(), keeper.clone());
        match keeper {
            Some(it) => by_keeper.entry(it).or_default().push(id),
            None => outbox.tell_all(&id),
        }
    }
    for (address, ids) in by_keeper {
        let shared = shared.clone();
        tokio::spawn(async move {
            let news = news_of(&shared, &ids);
            if shared.peers.hear_limits(&shared, &address, news).await.is_err() {
                // The next review tells whoever keeps them then.
                let mut told = shared.limits.outbox.told.lock();
                ids.iter().for_each(|it| drop(told.remove(it)));
            }
        });
    }
}

fn news_of(shared: &IngressShared, ids: &[TargetId]) -> Vec<LimitNews> {
    let known = shared.limits.known.lock();
    let now = shared.clock.now();
    ids.iter().filter_map(|it| known.news(now, it)).collect()
}

/// Tells peers of some targets' limits. One that is not reached learns of them by its own answers, or as it
/// asks for a send.
fn tell_peers(shared: &Arc<IngressShared>, addresses: Vec<String>, ids: &[TargetId]) {
    let news = news_of(shared, ids);
    if news.is_empty() || addresses.is_empty() {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let tell = |address: String| {
            let (shared, news) = (&shared, news.clone());
            async move { shared.peers.hear_limits(shared, &address, news).await }
        };
        addresses.into_iter().map(tell).collect::<FuturesUnordered<_>>().count().await;
    });
}

/// Takes in who keeps the accounts now, tells those who have begun to, and tells instances that have joined.
fn review(shared: &Arc<IngressShared>) {
    let (limits, outbox) = (&shared.limits, &shared.limits.outbox);
    let now = shared.clock.now();
    let ids: Vec<TargetId> = limits.known.lock().ids().cloned().collect();
    // The directory is asked without the limits in hand: whoever changes it takes limits back.
    let targets: HashMap<TargetId, Option<TargetInstance>> =
        ids.into_iter().map(|id| (id.clone(), shared.target(&id))).collect();
    let is_known = |id: &str| targets.get(id).is_some_and(Option::is_some);
    limits.known.lock().forget(now, is_known);
    if targets.is_empty() {
        outbox.told.lock().clear();
        outbox.greeted.lock().clear();
        return;
    }
    outbox.told.lock().retain(|id, _| targets.contains_key(id));
    let mut kept = Vec::new();
    for target in targets.into_values().flatten() {
        let keeper = keeper_of(shared, &target);
        let id = target.id;
        let mut known = limits.known.lock();
        known.keep(now, &id, keeper.is_none());
        // All who were told the same by a peer need not tell it again.
        let is_teller = known.is_observed(&id);
        drop(known);
        if is_teller && outbox.told.lock().get(&id) != Some(&keeper) {
            outbox.tell(&id);
        }
        if keeper.is_none() {
            kept.push(id);
        }
    }
    greet(shared, kept);
}

/// Tells instances that have joined of the limits whose accounts this one keeps.
fn greet(shared: &Arc<IngressShared>, mut kept: Vec<TargetId>) {
    let mut greeted = shared.limits.outbox.greeted.lock();
    if kept.is_empty() {
        return greeted.clear();
    }
    let peers = shared.peers.all().into_iter().filter(|it| LIMITS <= it.1.protocol);
    let mut there = HashSet::new();
    let mut joined = Vec::new();
    for (name, peer) in peers {
        let life = (name, peer.life);
        if !greeted.is_empty() && !greeted.contains(&life) {
            joined.push(peer.address);
        }
        there.insert(life);
    }
    *greeted = there;
    drop(greeted);
    kept.truncate(MOST_TOLD);
    tell_peers(shared, joined, &kept);
}
