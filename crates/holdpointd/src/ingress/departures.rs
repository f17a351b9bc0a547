//! Targets that have said in their answers that they leave: whoever hears it tells those who read the store,
//! and all others follow these.
//!
//! The store may be away, or list such a target as ready for a while. Without this, whoever places prompts or
//! batches pieces for all goes on choosing it, and one that starts is told that it is open.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use holdpoint_core::{
    directory::{Change, TargetId, TargetInstance},
    ids::{Millis, Name},
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::Notify,
    time::{interval, sleep},
};

use crate::{
    events::{self, emit},
    ingress::{peer_service::DEPARTURES, peers::Peer, shared::IngressShared},
};

/// How long departures are gathered before they are told together.
const GATHER: Duration = Duration::from_millis(20);
/// How often it is looked who was not reached, and whether this instance has begun to read the store.
const REVIEW: Duration = Duration::from_millis(500);
/// How long a departure is told to others after its target was last listed, in milliseconds: longer than entries
/// take to lapse and come back.
const KEPT_MS: Millis = 60_000;
/// Departures that are told at once, at most.
const MOST_TOLD: usize = 1000;

/// A life of a target that leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    /// Id of the target.
    pub(crate) target: TargetId,
    /// When its life began, where it tells that, in milliseconds of Unix time.
    #[serde(default)]
    pub(crate) born: Option<Millis>,
}

impl Departure {
    pub(crate) fn of(target: &TargetInstance) -> Departure {
        Departure { target: target.id.clone(), born: target.born }
    }
}

/// Departures that were heard of in answers.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    known: Mutex<HashMap<TargetId, Known>>,
    has_news: Notify,
}

#[derive(Debug)]
struct Known {
    departure: Departure,
    /// When its target was last listed, in milliseconds.
    listed: Millis,
    /// Peers, by name and life, that have been told or have told it.
    told: Vec<(Name, String)>,
}

impl Departures {
    fn note(&self, now: Millis, departure: Departure) {
        let known = Known { departure, listed: now, told: Vec::new() };
        self.known.lock().insert(known.departure.target.clone(), known);
    }

    /// All that are known, for a peer.
    fn all(&self) -> Vec<Departure> {
        let known = self.known.lock();
        known.values().take(MOST_TOLD).map(|it| it.departure.clone()).collect()
    }

    /// Forgets those whose targets have not been listed for long.
    fn forget(&self, now: Millis, is_listed: impl Fn(&str) -> bool) {
        self.known.lock().retain(|id, it| {
            if is_listed(id) {
                it.listed = now;
            }
            now < it.listed + KEPT_MS
        });
    }
}

/// Takes in that an answer of a target said that it leaves.
pub(crate) fn answered(shared: &IngressShared, target: &TargetInstance) {
    if shared.target_leaves(&Departure::of(target), "answer") == Change::Leaving {
        emit(events::LEAVING_NOTICE, &shared.settings.instance, &format!("target={}", target.id));
        shared.departures.note(shared.clock.now(), Departure::of(target));
        shared.departures.has_news.notify_one();
    }
}

/// Takes in what a peer tells, and returns what this instance knows.
pub(crate) fn take_news(shared: &IngressShared, told: Vec<Departure>) -> Vec<Departure> {
    take_all(shared, told);
    shared.departures.all()
}

/// Takes in what a peer tells.
pub(crate) fn take_all(shared: &IngressShared, told: Vec<Departure>) {
    for it in told.into_iter().take(MOST_TOLD) {
        let is_new = shared.target_leaves(&it, "peer-answer") == Change::Leaving;
        // Those who follow this instance hear of it as of any change; the other readers do not follow.
        if is_new && *shared.reading.borrow() {
            shared.departures.note(shared.clock.now(), it);
        }
    }
}

/// Of some makers of results, those that leave.
pub(crate) fn of_makers<'a>(
    shared: &IngressShared,
    makers: impl Iterator<Item = &'a str>,
) -> Vec<Departure> {
    let makers = makers.filter_map(|it| shared.target_at(it)).filter(|it| it.is_leaving);
    let mut departures: Vec<Departure> = makers.map(|it| Departure::of(&it)).collect();
    departures.dedup();
    departures
}

/// Tells what there is to tell, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let mut review_at = interval(REVIEW);
    let mut was_reader = false;
    loop {
        tokio::select! {
            () = shared.departures.has_news.notified() => sleep(GATHER).await,
            _ = review_at.tick() => {
                let now = shared.clock.now();
                shared.departures.forget(now, |it| shared.target(it).is_some());
            }
        }
        // One that begins to read the store lists for others what it finds there.
        let is_reader = *shared.reading.borrow();
        tell_readers(&shared, is_reader && !was_reader).await;
        was_reader = is_reader;
    }
}

/// Tells those who read the store what they have not been told; `asks` has them tell what they know in any case.
async fn tell_readers(shared: &Arc<IngressShared>, asks: bool) {
    if !asks && shared.departures.known.lock().is_empty() {
        return;
    }
    let readers = shared.peers.sources().readers;
    let peers = shared.peers.all().into_iter();
    let peers = peers.filter(|it| readers.contains(&it.1.address) && DEPARTURES <= it.1.protocol);
    let tell = |(name, peer): (Name, Peer)| async move {
        let life = (name, peer.life);
        let news = untold(shared, &life);
        if news.is_empty() && !asks {
            return;
        }
        let Ok(known) = shared.peers.tell_departures(shared, &peer.address, news.clone()).await
        else {
            return;
        };
        for it in news {
            if let Some(known) = shared.departures.known.lock().get_mut(&it.target) {
                known.told.push(life.clone());
            }
        }
        take_all(shared, known);
    };
    peers.map(tell).collect::<FuturesUnordered<_>>().count().await;
}

/// Departures that a life of a peer has not been told.
fn untold(shared: &IngressShared, life: &(Name, String)) -> Vec<Departure> {
    let known = shared.departures.known.lock();
    let untold = known.values().filter(|it| !it.told.contains(life));
    untold.take(MOST_TOLD).map(|it| it.departure.clone()).collect()
}
