//! Replication of state between instances: most instances follow one of the few that read the store, and a
//! reader follows another one while the store does not answer it.
//!
//! A follower polls in a loop; the response comes as soon as there is an update, or after a short wait. It
//! contains the age of the last read of the store: if no peer has read it recently, the follower reads it
//! itself.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use holdpoint_core::{ids::Millis, ingress::Version, readers::order_for};
use holdpoint_platform::Instant;
use tokio::time::{sleep, timeout};

use crate::{
    events::{self, emit},
    ingress::{
        domains,
        peers::{Leaders, Sources},
        rollouts,
        shared::IngressShared,
        store_reader,
        update_feed::{Content, FollowPosition, FollowRequest, MAX_WAIT, TargetList, Update},
        updates::{UpdateOutcome, apply_configuration, apply_update, decode_or_log},
    },
};

/// Timeout of a response, in addition to the requested wait for an update.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a response to a relay waits for an update: shorter than for others, as the data ages by this
/// time before the relay's followers get it and must still count as fresh there.
const RELAY_WAIT: Duration = Duration::from_millis(150);
/// Interval at which a reader of the store checks whether it still is one; also the pause after a failed poll.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two polls, in which updates accumulate.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a response that may contain a whole snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long after its start an instance waits for the readers of the store. After a restart of all instances
/// they have not read it yet either, and reads by all instances at once would overload it.
const START_GRACE: Duration = Duration::from_millis(2000);
/// Timeout of a response with a large configuration.
const LARGE_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(3000);
/// Round trip to the store above which it counts as far away, in milliseconds: failure domains of one region
/// are a few milliseconds apart.
const FAR_STORE_MS: Millis = 15;
/// Upper bound of the wait for seeds to know the peers, for an instance far from the store.
const SEED_WAIT: Duration = Duration::from_millis(600);
/// Range of the random fraction of that wait, so that instances without a seed do not read the store at once.
const SEED_JITTER: std::ops::Range<f64> = 0.25..1.0;
/// Wait for seeds to know the leaders: seeds may be starting as well, and read the list of peers first.
const LEADERS_WAIT: Duration = Duration::from_millis(1200);
/// The same at the first start of the system, when seeds wait for the entries of all instances.
const FIRST_LEADERS_WAIT: Duration = Duration::from_millis(8000);
/// Range of the random factor of these waits, so that instances without a seed do not read the store at once.
const LEADERS_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Pause between two rounds of requests to the seeds.
const SEED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of peers asked in one round.
const MAX_ASKED_PEERS: usize = 3;

/// Decides whether this instance reads the store, and follows peers otherwise, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let mut position = FollowPosition::default();
    // The readers are chosen among the known peers.
    let _ = shared.peers_known.subscribe().wait_for(|it| *it).await;
    // No update was received yet; the readers get time to read the store.
    let mut last_update = Instant::now() + START_GRACE;
    loop {
        let sources = shared.peers.sources();
        let read_delay = sources.read_delay;
        // An instance without peers would take itself for a reader. After a restart of all instances, many
        // would, and their reads would saturate the link to the store: 22 instances of a far region did so for
        // seconds.
        let knows_peers = shared.peers.knows_leaders() || last_update < Instant::now();
        let is_reader = sources.is_reader && knows_peers;
        if is_reader && !*shared.is_store_silent.borrow() {
            set_reading(&shared, true, "reader");
            if let Some(it) = sources.followed.first() {
                shared.peers.connect(&shared, it).await;
            }
            sleep(REVIEW_INTERVAL).await;
            continue;
        }
        if *shared.reading.borrow() {
            // The position no longer describes the state here, which own reads have changed.
            position = FollowPosition::default();
        }
        let is_updated = poll_peers(&shared, &mut position, sources).await;
        let cause = if is_updated { "told" } else { "nobody-has-read" };
        let now = Instant::now();
        if is_updated {
            last_update = last_update.max(now);
        }
        let is_patient =
            now < last_update + read_delay && !(knows_peers && shared.peers.all().is_empty());
        set_reading(&shared, is_reader || !(is_updated || is_patient), cause);
        sleep(if is_updated && !is_reader { BATCH_DELAY } else { REVIEW_INTERVAL }).await;
    }
}

/// Learns the leaders from a seed; returns whether it succeeded.
///
/// The leaders are few and sufficient to choose whom to follow. The other peers come from the followed instance,
/// which spares the store a read of the whole list by each instance that starts.
pub(crate) async fn learn_leaders(shared: &Arc<IngressShared>) -> bool {
    if is_far_from_store(shared) || shared.peers.is_seed() || shared.peers.seeds().is_empty() {
        return false;
    }
    let seeds: Vec<&str> = shared.peers.seeds().iter().map(String::as_str).collect();
    let learned = async {
        loop {
            for seed in order_for(&shared.settings.instance, &seeds) {
                if leaders_from(shared, seed).await {
                    return;
                }
            }
            sleep(SEED_RETRY_DELAY).await;
        }
    };
    let wait = if shared.settings.first_start { FIRST_LEADERS_WAIT } else { LEADERS_WAIT };
    timeout(wait.mul_f64(rand::random_range(LEADERS_JITTER)), learned).await.is_ok()
}

/// Learns the leaders from one seed; returns whether the seed knew them.
async fn leaders_from(shared: &Arc<IngressShared>, seed: &str) -> bool {
    let known =
        FollowRequest { wants_leaders: true, ..FollowRequest::configuration_only(shared, false) };
    let Ok(update) = shared.peers.follow(shared, seed, known, SNAPSHOT_TIMEOUT).await else {
        return false;
    };
    let leaders: Option<Leaders> = update.leaders.and_then(|it| decode_or_log(shared, &it));
    let Some(Leaders { members, sizes }) = leaders else { return false };
    shared.peers.set_reported_sizes(sizes);
    shared.set_peers(members.into_iter().map(|(name, it)| (name, Some(it))).collect(), false);
    true
}

/// Learns the peers from a seed if the store is far away; returns whether it succeeded.
///
/// After a restart, reads of the list by all instances of a region would saturate the link to the store: that of 300
/// peers is 40 kB, and together they are more than 60 Mbit/s carry in half a second. So
/// seeds read it first, and other instances only after a random wait without success.
pub(crate) async fn learn_peers(shared: &Arc<IngressShared>) -> bool {
    if !is_far_from_store(shared) || shared.peers.is_seed() || shared.peers.seeds().is_empty() {
        return false;
    }
    let seeds: Vec<&str> = shared.peers.seeds().iter().map(String::as_str).collect();
    let learned = async {
        loop {
            for seed in order_for(&shared.settings.instance, &seeds) {
                if learn_peers_from(shared, seed).await {
                    return;
                }
            }
            sleep(SEED_RETRY_DELAY).await;
        }
    };
    let wait = SEED_WAIT.mul_f64(rand::random_range(SEED_JITTER));
    // Requests to seeds that are down end only by their own timeouts.
    timeout(wait, learned).await.is_ok()
}

/// Whether the store is in another region. Without regions, a long round trip is a sign of a busy machine, not
/// of distance.
fn is_far_from_store(shared: &IngressShared) -> bool {
    shared.topology.has_regions() && shared.peers.store_ms().is_some_and(|it| FAR_STORE_MS < it)
}

/// Learns the peers from one seed, which knows them once it has read them or received them.
async fn learn_peers_from(shared: &Arc<IngressShared>, seed: &str) -> bool {
    let known = FollowRequest {
        position: Some(FollowPosition::default().with_targets(shared, seed)),
        peers_digest: Some(shared.instances_digest()),
        ..FollowRequest::configuration_only(shared, false)
    };
    let answer = shared.peers.follow(shared, seed, known, SNAPSHOT_TIMEOUT).await;
    let Ok(update) = answer else { return false };
    apply_update(shared, update);
    shared.peers.is_complete()
}

/// Polls peers in turn, and applies their updates, until one has recently read the store; returns whether one
/// has.
async fn poll_peers(
    shared: &Arc<IngressShared>,
    position: &mut FollowPosition,
    Sources { followed, is_relay, .. }: Sources,
) -> bool {
    let wait = if is_relay { RELAY_WAIT } else { MAX_WAIT };
    for address in peers_to_ask(shared, followed) {
        let known = FollowRequest {
            version: shared.configuration().version.max(position.version),
            wait_ms: wait.as_millis() as Millis,
            position: Some(position.with_targets(shared, &address)),
            wants_large: is_far_from_store(shared),
            orders: Some(shared.domains.position().offset),
            epoch: shared.domains.position().epoch,
            rollouts: Some(shared.rollouts.position().offset),
            peers_digest: Some(shared.instances_digest()),
            is_relay,
            wants_leaders: false,
        };
        let limit = if *position == FollowPosition::default() {
            SNAPSHOT_TIMEOUT
        } else {
            wait + RESPONSE_TIMEOUT
        };
        let answer = shared.peers.follow(shared, &address, known, limit).await;
        let Ok(update) = answer else { continue };
        let Update { incarnation, revision, version, .. } = update;
        let taken = apply_update(shared, update);
        if shared.configuration().version < version {
            tokio::spawn(fetch_configuration(shared.clone(), address));
        }
        match taken {
            UpdateOutcome::Fresh => {
                *position =
                    FollowPosition { incarnation, revision, version, ..FollowPosition::default() };
                return true;
            }
            UpdateOutcome::Stale => (),
            UpdateOutcome::Unreadable => *position = FollowPosition::default(),
        }
    }
    false
}

/// Addresses of the peers to ask in one round, `preferred` ones first.
fn peers_to_ask(
    shared: &IngressShared,
    mut preferred: Vec<String>,
) -> impl Iterator<Item = String> {
    if preferred.len() < MAX_ASKED_PEERS {
        for address in shared.peers.addresses(&shared.topology) {
            if !preferred.contains(&address) {
                preferred.push(address);
            }
        }
    }
    preferred.into_iter().take(MAX_ASKED_PEERS)
}

/// Finds out from peers whether targets with lapsed entries have left, until the task is dropped.
///
/// An instance that was cut off from the store cannot tell this itself; a peer that has read the store without
/// a failure can. Without it, targets would get requests for [`super::target_reader::LAPSE_GRACE_MS`] after they have left.
pub(crate) async fn resolve_lapses(shared: Arc<IngressShared>) {
    loop {
        shared.lapses_found.notified().await;
        while !shared.lapses().0.is_empty() {
            ask_about_lapses(&shared).await;
            sleep(REVIEW_INTERVAL).await;
        }
    }
}

/// Asks peers until one has read the store without a failure since before the entries lapsed, and removes the
/// targets that it does not know.
async fn ask_about_lapses(shared: &Arc<IngressShared>) {
    let Sources { readers, .. } = shared.peers.sources();
    let (lapsed, span_ms) = shared.lapses();
    for address in peers_to_ask(shared, readers) {
        let known = FollowRequest {
            position: Some(FollowPosition::default()),
            peers_digest: Some(shared.instances_digest()),
            ..FollowRequest::configuration_only(shared, false)
        };
        let Ok(update) = shared.peers.follow(shared, &address, known, RESPONSE_TIMEOUT).await
        else {
            continue;
        };
        if update.steady_ms.is_none_or(|it| it < span_ms) {
            continue;
        }
        let list = match update.content {
            Some(Content::All { targets: Some(it), .. }) => serde_json::from_slice(&it).ok(),
            Some(Content::Packed { targets: Some(it), .. }) => decode_or_log(shared, &it),
            _ => continue,
        };
        let Some(list): Option<TargetList> = list else { continue };
        let now = shared.clock.now();
        shared.change_directory(|directory, changes| {
            let left = lapsed.into_iter().filter(|id| !list.contains(id));
            left.for_each(|id| changes.remove(directory, now, id, "peer-steady"));
        });
        return;
    }
}

/// Fetches a newer configuration that a peer has: a small one from the peer, a large one from the store, or
/// from the peer if the store does not answer. Does nothing while another call is in progress.
pub(crate) fn fetch_configuration(
    shared: Arc<IngressShared>,
    address: String,
) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let Ok(_one) = shared.catching_up.try_lock() else { return };
        let wants_large = is_far_from_store(&shared);
        let version = ask_configuration(&shared, &address, wants_large, RESPONSE_TIMEOUT).await;
        if version <= shared.configuration().version {
            return;
        }
        store_reader::read_configuration(&shared).await;
        if shared.configuration().version < version {
            ask_configuration(&shared, &address, true, LARGE_CONFIGURATION_TIMEOUT).await;
        }
    })
}

/// Asks peers for a newer configuration and applies it; returns whether a peer that has recently read the store
/// confirmed that the configuration here is now the newest.
pub(crate) async fn confirm_configuration(shared: &Arc<IngressShared>) -> bool {
    let Sources { followed, .. } = shared.peers.sources();
    for address in followed.into_iter().take(MAX_ASKED_PEERS - 1) {
        let known = FollowRequest::configuration_only(shared, is_far_from_store(shared));
        let Ok(update) = shared.peers.follow(shared, &address, known, RESPONSE_TIMEOUT).await
        else {
            continue;
        };
        let (is_fresh, version) = (update.age_ms.is_some(), update.version);
        apply_configuration(shared, &update);
        if is_fresh && version <= shared.configuration().version {
            return true;
        }
    }
    false
}

/// Asks a peer for a newer configuration and applies it; returns the peer's version, 0 if it did not answer.
async fn ask_configuration(
    shared: &Arc<IngressShared>,
    address: &str,
    wants_large: bool,
    limit: Duration,
) -> Version {
    let known = FollowRequest::configuration_only(shared, wants_large);
    let Ok(update) = shared.peers.follow(shared, address, known, limit).await else { return 0 };
    if let Some(it) = update.rollouts.clone() {
        rollouts::merge_orders(shared, it.into_orders(shared.clock.now()), "peer");
    }
    if let Some(it) = update.evacuations.clone() {
        domains::apply_update(shared, it, "peer");
    }
    apply_configuration(shared, &update);
    update.version
}

fn set_reading(shared: &IngressShared, is_reading: bool, cause: &str) {
    let changed =
        shared.reading.send_if_modified(|it| std::mem::replace(it, is_reading) != is_reading);
    if changed {
        let detail = format!("reads={is_reading} cause={cause}");
        emit(events::READER_ROLE_CHANGED, &shared.settings.instance, &detail);
    }
}
