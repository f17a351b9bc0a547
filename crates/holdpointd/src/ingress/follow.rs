//! How an instance learns what others know: most instances follow one of the few that read the
//! store, and a reader follows another one while the store does not answer it.
//!
//! To follow is to ask again and again what is new; the answer comes as soon as something is, or
//! after a short wait. It tells how long ago the store was read, so that an instance relies on no
//! other that is cut off itself: where nobody has read of late, it reads by itself.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use holdpoint_core::{
    change_log::Revision,
    directory::{TargetId, TargetInstance},
    ids::{Millis, Name},
    ingress::Version,
};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{
    events::{self, emit},
    ingress::{peers::Peer, shared::IngressShared, watch},
};

/// How long an answer waits for something new.
const WAIT: Duration = Duration::from_millis(400);
/// How long an answer may take beyond that.
const LIMIT: Duration = Duration::from_millis(350);
/// How often an instance that reads the store looks whether it still has to.
const REVIEW: Duration = Duration::from_millis(250);
/// Pause between two questions, in which news gather.
const GATHER: Duration = Duration::from_millis(20);
/// Size above which a configuration is large, in bytes.
const LARGE_CONFIGURATION: usize = 32 << 10;
/// How long a peer may take to send a large configuration.
const LARGE_LIMIT: Duration = Duration::from_millis(3000);
/// Most others that are asked in one round.
const MOST_ASKED: usize = 3;

/// Something that is new at an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum News {
    /// A target instance joined or changed.
    Target(TargetInstance),
    /// A target instance is gone.
    TargetGone(TargetId),
    /// A peer joined or started anew, or has left.
    Peer(Name, Option<Peer>),
}

/// How far an asker has followed another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Place {
    /// Life of the other instance; 0 where none was followed.
    life: u64,
    /// How far its news were taken in.
    revision: Revision,
    /// Hash of the targets that the asker knows.
    digest: u64,
    /// Version of the configuration that was told of last, if not sent with it.
    version: Version,
}

/// What an asker knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Known {
    /// Version of the configuration that it has.
    version: Version,
    /// How long an answer may wait for something new, in milliseconds.
    wait_ms: Millis,
    /// Where it follows from; absent where it wants no more than a later configuration.
    place: Option<Place>,
    /// Whether it wants a large configuration too. A reader's link would not carry one to all who
    /// follow it, so they read it from the store where they can.
    wants_large: bool,
}

impl Known {
    /// What an asker knows who wants no more than a later configuration.
    fn configuration_only(shared: &IngressShared, wants_large: bool) -> Known {
        let version = shared.configuration().version;
        Known { version, wait_ms: 0, place: None, wants_large }
    }
}

/// What is new to an asker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Update {
    /// Life of the instance that answers.
    life: u64,
    /// How far the asker has followed it now.
    revision: Revision,
    /// How long ago the store was read; none where that is too long ago.
    age_ms: Option<Millis>,
    /// Version of the configuration in force.
    version: Version,
    /// That configuration, where it is later than the asker's and the asker wants it.
    configuration: Option<Bytes>,
    /// What else is new, where that was asked for.
    content: Option<Content>,
}

/// What is new of targets and peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Content {
    /// What happened since the asker last heard.
    News(Vec<News>),
    /// All that is known.
    All {
        /// Target instances; none where the asker's are the same.
        targets: Option<TargetList>,
        /// Peers.
        peers: Vec<(Name, Peer)>,
    },
}

/// All target instances that an instance knows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TargetList {
    /// Those in the store's list.
    pub(crate) listed: Vec<TargetInstance>,
    /// Those whose entry may have lapsed while the store was away. They may have left as well, so
    /// whoever has heard that they are gone does not take them back.
    pub(crate) lapsed: Vec<TargetId>,
}

/// Answers one who follows this instance.
pub(crate) async fn answer(shared: &IngressShared, known: Known) -> Update {
    let mut has_news = shared.has_news.subscribe();
    if !is_behind(shared, &known) && shared.fresh_age().is_some() {
        let wait = Duration::from_millis(known.wait_ms).min(WAIT);
        // Where the wait is over without news, the answer tells that there are none.
        let _ = timeout(wait, has_news.changed()).await;
    }
    let (news, revision) = shared.news_since(known.place.map_or(0, |it| it.revision));
    let content = known.place.map(|place| match news.filter(|_| place.life == shared.life) {
        Some(it) => Content::News(it),
        None => Content::All {
            targets: (shared.digest() != place.digest).then(|| shared.target_list()),
            peers: shared.instances(),
        },
    });
    let version = shared.configuration().version;
    let configuration = (known.version < version)
        .then(|| shared.configuration_bytes())
        .filter(|it| known.wants_large || it.len() <= LARGE_CONFIGURATION);
    let age_ms = shared.fresh_age();
    Update { life: shared.life, revision, age_ms, version, configuration, content }
}

/// Whether there is something new to tell already.
fn is_behind(shared: &IngressShared, known: &Known) -> bool {
    let is_same = |it: Place| {
        let (news, _) = shared.news_since(it.revision);
        it.life == shared.life && news.is_some_and(|it| it.is_empty())
    };
    known.version < shared.configuration().version || !known.place.is_some_and(is_same)
}

/// Follows others, or has the store read, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let mut place = Place::default();
    loop {
        let (readers, is_reader) = shared.peers.readers();
        if is_reader && !shared.is_store_silent.load(Ordering::Acquire) {
            set_reading(&shared, true, "reader");
            if let Some(it) = readers.first() {
                shared.peers.watch(&shared, it).await;
            }
            sleep(REVIEW).await;
            continue;
        }
        if *shared.reading.borrow() {
            // What was read here meanwhile is no part of what the other one counts as told.
            place = Place::default();
        }
        let is_told = follow_one(&shared, &mut place, readers).await;
        let cause = if is_told { "told" } else { "nobody-has-read" };
        set_reading(&shared, is_reader || !is_told, cause);
        sleep(if is_told && !is_reader { GATHER } else { REVIEW }).await;
    }
}

/// Asks others in turn until one has read the store of late, and takes in what they tell.
async fn follow_one(
    shared: &Arc<IngressShared>,
    place: &mut Place,
    mut sources: Vec<String>,
) -> bool {
    for address in shared.peers.to_ask() {
        if !sources.contains(&address) {
            sources.push(address);
        }
    }
    for address in sources.into_iter().take(MOST_ASKED) {
        let known = Known {
            version: shared.configuration().version.max(place.version),
            wait_ms: WAIT.as_millis() as Millis,
            place: Some(Place { digest: shared.digest(), ..*place }),
            wants_large: false,
        };
        let answer = shared.peers.follow(shared, &address, known, WAIT + LIMIT).await;
        let Ok(update) = answer else { continue };
        let Update { life, revision, version, .. } = update;
        let is_fresh = take_in(shared, update);
        if shared.configuration().version < version {
            tokio::spawn(catch_up(shared.clone(), address));
        }
        if is_fresh {
            *place = Place { life, revision, digest: 0, version };
            return true;
        }
    }
    false
}

/// Takes in what another instance tells; whether it has read the store of late.
fn take_in(shared: &IngressShared, update: Update) -> bool {
    if let Some(it) = update.configuration {
        shared.offer_configuration(&it, "peer");
    }
    let is_fresh = update.age_ms.is_some();
    match update.content {
        None => (),
        Some(Content::News(news)) => take_news(shared, news),
        Some(Content::All { targets, peers }) => {
            take_peers(shared, peers, is_fresh);
            targets.into_iter().for_each(|it| take_targets(shared, it, is_fresh));
        }
    }
    if let Some(it) = update.age_ms {
        shared.targets_were_read(it);
    }
    is_fresh
}

/// Takes over a later configuration that a peer has: a small one from the peer, a large one from
/// the store, or from the peer where the store does not answer. One at a time.
pub(crate) fn catch_up(shared: Arc<IngressShared>, address: String) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let Ok(_one) = shared.catching_up.try_lock() else { return };
        let version = ask_configuration(&shared, &address, false, LIMIT).await;
        if version <= shared.configuration().version {
            return;
        }
        watch::read_configuration(&shared).await;
        if shared.configuration().version < version {
            ask_configuration(&shared, &address, true, LARGE_LIMIT).await;
        }
    })
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
    if let Some(it) = update.configuration {
        shared.offer_configuration(&it, "peer");
    }
    update.version
}

fn take_news(shared: &IngressShared, news: Vec<News>) {
    let mut targets = Vec::new();
    for it in news {
        match it {
            News::Target(it) => targets.push(Ok(it)),
            News::TargetGone(it) => targets.push(Err(it)),
            News::Peer(name, peer) => shared.set_peer(&name, peer),
        }
    }
    shared.change_directory(|directory| {
        let mut changed = Vec::new();
        for it in targets {
            let id = it.as_ref().map_or_else(|id| id.clone(), |it| it.id.clone());
            let is_new = match it {
                Ok(it) => shared.put_target(directory, it, "peer"),
                Err(it) => shared.remove_target(directory, &it, "peer"),
            };
            if is_new {
                changed.push(id);
            }
        }
        changed
    });
}

/// Takes in all peers that another one knows. Only one who has read the store of late knows that a
/// peer which it does not name has left.
fn take_peers(shared: &IngressShared, peers: Vec<(Name, Peer)>, is_fresh: bool) {
    if is_fresh {
        let is_named = |name: &str| peers.iter().any(|it| it.0 == name);
        let known = shared.peers.all();
        let gone = known.into_iter().filter(|it| !is_named(&it.0));
        gone.for_each(|it| shared.set_peer(&it.0, None));
    }
    peers.into_iter().for_each(|(name, peer)| shared.set_peer(&name, Some(peer)));
}

/// Takes in all targets that another instance knows; what it read too long ago is better than
/// nothing only.
fn take_targets(shared: &IngressShared, list: TargetList, is_fresh: bool) {
    shared.change_directory(|directory| {
        let mut changed = Vec::new();
        if !is_fresh && !directory.is_empty() {
            return changed;
        }
        for id in directory.unnamed(&list.listed) {
            if !list.lapsed.contains(&id) && shared.remove_target(directory, &id, "peer") {
                changed.push(id);
            }
        }
        for it in list.listed {
            let id = it.id.clone();
            if shared.put_target(directory, it, "peer") {
                changed.push(id);
            }
        }
        changed
    });
}

fn set_reading(shared: &IngressShared, is_reading: bool, cause: &str) {
    let changed =
        shared.reading.send_if_modified(|it| std::mem::replace(it, is_reading) != is_reading);
    if changed {
        let detail = format!("reads={is_reading} cause={cause}");
        emit(events::READING, &shared.settings.instance, &detail);
    }
}
