//! How an instance learns what others know: most instances follow one of the few that read the
//! store, and a reader follows another one while the store does not answer it.
//!
//! To follow is to ask again and again what is new; the answer comes as soon as something is, or
//! after a short wait. It tells how long ago the store was read, so that an instance relies on no
//! other that is cut off itself: where nobody has read of late, it reads by itself.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use holdpoint_core::{ids::Millis, ingress::Version, readers::order_for};
use holdpoint_platform::Instant;
use tokio::time::{sleep, timeout};

use crate::{
    events::{self, emit},
    ingress::{
        domains,
        intake::{Taken, take_configuration, take_in, unpacked},
        news::{Content, Known, Place, TargetList, Update, WAIT},
        peers::{Leaders, Sources},
        rollouts,
        shared::IngressShared,
        watch,
    },
};

/// How long an answer may take beyond that.
const LIMIT: Duration = Duration::from_millis(350);
/// How long an answer to a relay waits for something new. What it tells is as old as that when the next
/// one asks, and must still count as fresh there.
const RELAY_WAIT: Duration = Duration::from_millis(150);
/// How often an instance that reads the store looks whether it still has to.
const REVIEW: Duration = Duration::from_millis(250);
/// Pause between two questions, in which news gather.
const GATHER: Duration = Duration::from_millis(20);
/// How long an answer may take that may hold all that is known.
const WHOLE_LIMIT: Duration = Duration::from_millis(3000);
/// How long after its start an instance waits for those who read the store: after a restart of all
/// they have not read it yet either, and it would not bear all who read everything at once.
const START_PATIENCE: Duration = Duration::from_millis(2000);
/// How long a peer may take to send a large configuration.
const LARGE_LIMIT: Duration = Duration::from_millis(3000);
/// Round trip to the store from which an instance counts itself as far from it, in milliseconds: failure
/// domains of a region are a few milliseconds apart.
const FAR_STORE_MS: Millis = 15;
/// How long an instance that is far from the store waits for seeds to know the peers, at most.
const SEED_WAIT: Duration = Duration::from_millis(600);
/// Part of that time that each instance waits, so that those without a seed do not read together.
const SEED_JITTER: std::ops::Range<f64> = 0.25..1.0;
/// How long an instance waits for seeds to know the leaders, at most: they start as it does, and read the list
/// first.
const LEADERS_WAIT: Duration = Duration::from_millis(1200);
/// The same at the first start of the whole system, when they wait for all to have written their entries.
const FIRST_LEADERS_WAIT: Duration = Duration::from_millis(8000);
/// Part of these times that each instance waits: without seeds, all would read the store together.
const LEADERS_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Pause between two questions to the seeds.
const SEED_PAUSE: Duration = Duration::from_millis(100);
/// Most others that are asked in one round.
const MOST_ASKED: usize = 3;

/// Follows others, or has the store read, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let mut place = Place::default();
    // Who reads the store is known once the peers are.
    let _ = shared.peers_known.subscribe().wait_for(|it| *it).await;
    // Nobody has told anything yet; those who read the store are given time to do so.
    let mut told = Instant::now() + START_PATIENCE;
    loop {
        let sources = shared.peers.sources();
        let patience = sources.patience;
        // Whoever knows no peers would count itself among the readers, with all others that do not:
        // after a restart of all, 22 instances of a far region read the whole list of targets so, and
        // filled the link to the store for seconds.
        let knows_peers = shared.peers.knows_leaders() || told < Instant::now();
        let is_reader = sources.is_reader && knows_peers;
        if is_reader && !*shared.is_store_silent.borrow() {
            set_reading(&shared, true, "reader");
            if let Some(it) = sources.asked.first() {
                shared.peers.watch(&shared, it).await;
            }
            sleep(REVIEW).await;
            continue;
        }
        if *shared.reading.borrow() {
            // What was read here meanwhile is no part of what the other one counts as told.
            place = Place::default();
        }
        let is_told = follow_one(&shared, &mut place, sources).await;
        let cause = if is_told { "told" } else { "nobody-has-read" };
        let now = Instant::now();
        if is_told {
            told = told.max(now);
        }
        let is_patient = now < told + patience && !(knows_peers && shared.peers.all().is_empty());
        set_reading(&shared, is_reader || !(is_told || is_patient), cause);
        sleep(if is_told && !is_reader { GATHER } else { REVIEW }).await;
    }
}

/// Learns from a seed whom to follow; whether that came about.
///
/// The list of 985 peers is some 200 kB and two pages in the store, by the size of its entries, and each instance
/// would read it at its start. What one needs at first are the leaders, which are few; the others it learns from
/// whom it follows.
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
            sleep(SEED_PAUSE).await;
        }
    };
    let wait = if shared.settings.first_start { FIRST_LEADERS_WAIT } else { LEADERS_WAIT };
    timeout(wait.mul_f64(rand::random_range(LEADERS_JITTER)), learned).await.is_ok()
}

/// Learns the leaders from one seed, if that knows them.
async fn leaders_from(shared: &Arc<IngressShared>, seed: &str) -> bool {
    let known = Known { wants_leaders: true, ..Known::configuration_only(shared, false) };
    let Ok(update) = shared.peers.follow(shared, seed, known, WHOLE_LIMIT).await else {
        return false;
    };
    let leaders: Option<Leaders> = update.leaders.and_then(|it| unpacked(shared, &it));
    let Some(Leaders { members, sizes }) = leaders else { return false };
    shared.peers.tell_sizes(sizes);
    shared.set_peers(members.into_iter().map(|(name, it)| (name, Some(it))).collect(), false);
    true
}

/// Learns the peers from a seed, where the store is far away; whether that came about.
///
/// The list of 300 peers is 40 kB, and all instances of a region want it at the same moment after a
/// restart: more than a link of 60 Mbit/s carries in half a second, while other calls to the store wait
/// behind it. So the seeds read it, and the others after a while of their own.
pub(crate) async fn learn_peers(shared: &Arc<IngressShared>) -> bool {
    if !is_far_from_store(shared) || shared.peers.is_seed() || shared.peers.seeds().is_empty() {
        return false;
    }
    let seeds: Vec<&str> = shared.peers.seeds().iter().map(String::as_str).collect();
    let learned = async {
        loop {
            for seed in order_for(&shared.settings.instance, &seeds) {
                if learn_from(shared, seed).await {
                    return;
                }
            }
            sleep(SEED_PAUSE).await;
        }
    };
    let wait = SEED_WAIT.mul_f64(rand::random_range(SEED_JITTER));
    // Seeds that are down themselves take their time to be found so.
    timeout(wait, learned).await.is_ok()
}

/// Whether the store is in another region. Within one region a long round trip is a busy machine's: taken
/// for distance, it had a large configuration sent from peer to peer.
fn is_far_from_store(shared: &IngressShared) -> bool {
    shared.topology.is_split() && shared.peers.store_ms().is_some_and(|it| FAR_STORE_MS < it)
}

/// Learns the peers from one seed, which knows some only once it has read them or was told.
async fn learn_from(shared: &Arc<IngressShared>, seed: &str) -> bool {
    let known = Known {
        place: Some(Place::default().with_targets(shared, seed)),
        peers_digest: Some(shared.instances_digest()),
        ..Known::configuration_only(shared, false)
    };
    let answer = shared.peers.follow(shared, seed, known, WHOLE_LIMIT).await;
    let Ok(update) = answer else { return false };
    take_in(shared, update);
    shared.peers.were_read()
}

/// Asks others in turn until one has read the store of late, and takes in what they tell.
async fn follow_one(
    shared: &Arc<IngressShared>,
    place: &mut Place,
    Sources { asked, is_relay, .. }: Sources,
) -> bool {
    let wait = if is_relay { RELAY_WAIT } else { WAIT };
    for address in one_round(shared, asked) {
        let known = Known {
            version: shared.configuration().version.max(place.version),
            wait_ms: wait.as_millis() as Millis,
            place: Some(place.with_targets(shared, &address)),
            wants_large: is_far_from_store(shared),
            orders: Some(shared.domains.position().offset),
            era: shared.domains.position().era,
            rollouts: Some(shared.rollouts.position().offset),
            peers_digest: Some(shared.instances_digest()),
            is_relay,
            wants_leaders: false,
        };
        let limit = if *place == Place::default() { WHOLE_LIMIT } else { wait + LIMIT };
        let answer = shared.peers.follow(shared, &address, known, limit).await;
        let Ok(update) = answer else { continue };
        let Update { life, revision, version, .. } = update;
        let taken = take_in(shared, update);
        if shared.configuration().version < version {
            tokio::spawn(catch_up(shared.clone(), address));
        }
        match taken {
            Taken::Fresh => {
                *place = Place { life, revision, version, ..Place::default() };
                return true;
            }
            Taken::Stale => (),
            Taken::Unreadable => *place = Place::default(),
        }
    }
    false
}

/// Addresses to ask in one round: `preferred` ones first.
fn one_round(shared: &IngressShared, mut preferred: Vec<String>) -> impl Iterator<Item = String> {
    if preferred.len() < MOST_ASKED {
        for address in shared.peers.to_ask(&shared.topology) {
            if !preferred.contains(&address) {
                preferred.push(address);
            }
        }
    }
    preferred.into_iter().take(MOST_ASKED)
}

/// Finds out whether targets whose entries lapsed have left, until the task is dropped.
///
/// An instance that was cut off by itself cannot tell; one that has read the store all the while can,
/// and without its word the targets would get requests for [`watch::LAPSE_MS`] after they have left.
pub(crate) async fn settle_lapses(shared: Arc<IngressShared>) {
    loop {
        shared.lapses_found.notified().await;
        while !shared.lapses().0.is_empty() {
            ask_about_lapses(&shared).await;
            sleep(REVIEW).await;
        }
    }
}

/// Asks others until one has read the store all the while, and takes in which targets it knows to be
/// gone.
async fn ask_about_lapses(shared: &Arc<IngressShared>) {
    let Sources { readers, .. } = shared.peers.sources();
    let (lapsed, span_ms) = shared.lapses();
    for address in one_round(shared, readers) {
        let known = Known {
            place: Some(Place::default()),
            peers_digest: Some(shared.instances_digest()),
            ..Known::configuration_only(shared, false)
        };
        let Ok(update) = shared.peers.follow(shared, &address, known, LIMIT).await else {
            continue;
        };
        if update.steady_ms.is_none_or(|it| it < span_ms) {
            continue;
        }
        let list = match update.content {
            Some(Content::All { targets: Some(it), .. }) => serde_json::from_slice(&it).ok(),
            Some(Content::Packed { targets: Some(it), .. }) => unpacked(shared, &it),
            _ => continue,
        };
        let Some(list): Option<TargetList> = list else { continue };
        let now = shared.clock.now();
        shared.change_directory(|directory, changes| {
            let left = lapsed.into_iter().filter(|id| !list.knows(id));
            left.for_each(|id| changes.remove(directory, now, id, "peer-steady"));
        });
        return;
    }
}

/// Takes over a later configuration that a peer has: a small one from the peer, a large one from
/// the store, or from the peer where the store does not answer. One at a time.
pub(crate) fn catch_up(shared: Arc<IngressShared>, address: String) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let Ok(_one) = shared.catching_up.try_lock() else { return };
        let wants_large = is_far_from_store(&shared);
        let version = ask_configuration(&shared, &address, wants_large, LIMIT).await;
        if version <= shared.configuration().version {
            return;
        }
        watch::read_configuration(&shared).await;
        if shared.configuration().version < version {
            ask_configuration(&shared, &address, true, LARGE_LIMIT).await;
        }
    })
}

/// Asks others whether there is a later configuration, and takes it in; whether one that has read the
/// store of late told that there is none, or what it is.
pub(crate) async fn confirm_configuration(shared: &Arc<IngressShared>) -> bool {
    let Sources { asked, .. } = shared.peers.sources();
    for address in asked.into_iter().take(MOST_ASKED - 1) {
        let known = Known::configuration_only(shared, is_far_from_store(shared));
        let Ok(update) = shared.peers.follow(shared, &address, known, LIMIT).await else {
            continue;
        };
        let (is_fresh, version) = (update.age_ms.is_some(), update.version);
        take_configuration(shared, &update);
        if is_fresh && version <= shared.configuration().version {
            return true;
        }
    }
    false
}

/// Asks a peer for a later configuration and takes it in; returns the version that the peer has.
async fn ask_configuration(
    shared: &Arc<IngressShared>,
    address: &str,
    wants_large: bool,
    limit: Duration,
) -> Version {
    let known = Known::configuration_only(shared, wants_large);
    let Ok(update) = shared.peers.follow(shared, address, known, limit).await else { return 0 };
    if let Some(it) = update.rollouts.clone() {
        rollouts::take_over(shared, it.taken(shared.clock.now()), "peer");
    }
    if let Some(it) = update.evacuations.clone() {
        domains::take_over(shared, it, "peer");
    }
    take_configuration(shared, &update);
    update.version
}

fn set_reading(shared: &IngressShared, is_reading: bool, cause: &str) {
    let changed =
        shared.reading.send_if_modified(|it| std::mem::replace(it, is_reading) != is_reading);
    if changed {
        let detail = format!("reads={is_reading} cause={cause}");
        emit(events::READING, &shared.settings.instance, &detail);
    }
}
