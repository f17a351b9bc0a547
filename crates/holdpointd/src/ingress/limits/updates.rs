//! An instance that observes a change reports it to the owner of the target's rate limit. The owner notifies
//! all instances when a limit begins or ends, and sends the limits that it owns to instances that join.

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

use super::owner_of;
use crate::ingress::{peer_service::LIMITS, shared::IngressShared};

/// How long changes are collected before they are sent to owners together.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// How long changes are collected before they are broadcast; longer, since there may be hundreds of receivers.
const BROADCAST_DELAY: Duration = Duration::from_millis(200);
/// Interval of the checks for changed owners and joined instances.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of limits sent to an instance that has joined.
const MAX_JOIN_LIMITS: usize = 1000;
/// Pending updates and their receivers.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Targets whose changed limits are to be sent to their owners.
    for_owners: Mutex<HashSet<TargetId>>,
    has_updates: Notify,
    /// Targets whose limits began or ended, to be broadcast.
    for_all: Mutex<HashSet<TargetId>>,
    has_broadcast: Notify,
    /// Owner that was last sent each target's limit; `None` for this instance.
    reported: Mutex<HashMap<TargetId, Option<String>>>,
    /// Incarnations of the instances present at the last check, as long as this instance owns any limits.
    incarnations: Mutex<HashSet<(Name, String)>>,
}

impl Outbox {
    /// Queues a target's limit for its owner.
    pub(super) fn queue_for_owner(&self, id: &str) {
        self.for_owners.lock().insert(id.to_owned());
        self.has_updates.notify_one();
    }

    fn queue_for_all(&self, id: &str) {
        self.for_all.lock().insert(id.to_owned());
        self.has_broadcast.notify_one();
    }
}

/// Applies updates from a peer.
pub(crate) fn take_news(shared: &IngressShared, news: Vec<LimitNews>) {
    let limits = &shared.limits;
    let now = shared.clock.now();
    for it in news {
        // An instance that has just started may receive a limit before it knows the target.
        let its = (it.target.as_str(), it.service.as_str());
        let change = limits.known.lock().learn(it.made(now), its, it.per_s);
        limits.log_change(shared, &it.target, change, "peer");
        let concerns_all = matches!(change, Change::Began | Change::Ended);
        let is_owner =
            || shared.target(&it.target).is_some_and(|it| owner_of(shared, &it).is_none());
        if concerns_all && is_owner() {
            limits.outbox.queue_for_all(&it.target);
        }
    }
}

/// Sends pending updates until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let outbox = &shared.limits.outbox;
    let mut review_at = interval(REVIEW_INTERVAL);
    loop {
        tokio::select! {
            () = outbox.has_updates.notified() => {
                sleep(BATCH_DELAY).await;
                send_to_owners(&shared);
            }
            () = outbox.has_broadcast.notified() => {
                sleep(BROADCAST_DELAY).await;
                let ids = std::mem::take(&mut *outbox.for_all.lock());
                let peers = shared.peers.all().into_iter();
                let peers = peers.filter(|it| LIMITS <= it.1.protocol).map(|it| it.1.address);
                send_to_peers(&shared, peers.collect(), &ids.into_iter().collect::<Vec<_>>());
            }
            _ = review_at.tick() => review(&shared),
        }
    }
}

/// Sends changed limits to their owners.
fn send_to_owners(shared: &Arc<IngressShared>) {
    let outbox = &shared.limits.outbox;
    let mut by_owner: HashMap<String, Vec<TargetId>> = HashMap::new();
    for id in std::mem::take(&mut *outbox.for_owners.lock()) {
        let Some(target) = shared.target(&id) else { continue };
        let owner = owner_of(shared, &target);
        outbox.reported.lock().insert(id.clone(), owner.clone());
        match owner {
            Some(it) => by_owner.entry(it).or_default().push(id),
            None => outbox.queue_for_all(&id),
        }
    }
    for (address, ids) in by_owner {
        let shared = shared.clone();
        tokio::spawn(async move {
            let news = updates_for(&shared, &ids);
            if shared.peers.hear_limits(&shared, &address, news).await.is_err() {
                // The next check sends them to their owner at that time.
                let mut reported = shared.limits.outbox.reported.lock();
                ids.iter().for_each(|it| drop(reported.remove(it)));
            }
        });
    }
}

fn updates_for(shared: &IngressShared, ids: &[TargetId]) -> Vec<LimitNews> {
    let known = shared.limits.known.lock();
    let now = shared.clock.now();
    ids.iter().filter_map(|it| known.news(now, it)).collect()
}

/// Sends limits of some targets to peers. A peer that is not reached learns of them from responses of the
/// targets, or when it requests a permit.
fn send_to_peers(shared: &Arc<IngressShared>, addresses: Vec<String>, ids: &[TargetId]) {
    let news = updates_for(shared, ids);
    if news.is_empty() || addresses.is_empty() {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let send = |address: String| {
            let (shared, news) = (&shared, news.clone());
            async move { shared.peers.hear_limits(shared, &address, news).await }
        };
        addresses.into_iter().map(send).collect::<FuturesUnordered<_>>().count().await;
    });
}

/// Updates which limits this instance owns, and sends limits to new owners and to instances that have joined.
fn review(shared: &Arc<IngressShared>) {
    let (limits, outbox) = (&shared.limits, &shared.limits.outbox);
    let now = shared.clock.now();
    let ids: Vec<TargetId> = limits.known.lock().ids().cloned().collect();
    // The directory is read before the limits are locked: a change of the directory locks the limits while it
    // holds the directory's lock.
    let targets: HashMap<TargetId, Option<TargetInstance>> =
        ids.into_iter().map(|id| (id.clone(), shared.target(&id))).collect();
    let is_known = |id: &str| targets.get(id).is_some_and(Option::is_some);
    limits.known.lock().forget(now, is_known);
    if targets.is_empty() {
        outbox.reported.lock().clear();
        outbox.incarnations.lock().clear();
        return;
    }
    outbox.reported.lock().retain(|id, _| targets.contains_key(id));
    let mut owned = Vec::new();
    for target in targets.into_values().flatten() {
        let owner = owner_of(shared, &target);
        let id = target.id;
        let mut known = limits.known.lock();
        known.keep(now, &id, owner.is_none());
        // Only instances that observed the limit themselves report it.
        let is_observed = known.is_observed(&id);
        drop(known);
        if is_observed && outbox.reported.lock().get(&id) != Some(&owner) {
            outbox.queue_for_owner(&id);
        }
        if owner.is_none() {
            owned.push(id);
        }
    }
    send_to_joined(shared, owned);
}

/// Sends the limits that this instance owns to instances that have joined.
fn send_to_joined(shared: &Arc<IngressShared>, mut owned: Vec<TargetId>) {
    let mut incarnations = shared.limits.outbox.incarnations.lock();
    if owned.is_empty() {
        return incarnations.clear();
    }
    let peers = shared.peers.all().into_iter().filter(|it| LIMITS <= it.1.protocol);
    let mut present = HashSet::new();
    let mut joined = Vec::new();
    for (name, peer) in peers {
        let incarnation = (name, peer.life);
        if !incarnations.is_empty() && !incarnations.contains(&incarnation) {
            joined.push(peer.address);
        }
        present.insert(incarnation);
    }
    *incarnations = present;
    drop(incarnations);
    owned.truncate(MAX_JOIN_LIMITS);
    send_to_peers(shared, joined, &owned);
}
