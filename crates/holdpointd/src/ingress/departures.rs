//! Drain notices: targets that report in a response that they are draining. The instance that receives the
//! response sends the notice to the instances that read the store, which all others follow.
//!
//! The store may be unreachable, or list such a target as ready for a while. Without these notices, the owners
//! of services would continue to choose it, and instances that start would receive it as open.

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
    ingress::{peer_service::DRAIN_PROTOCOL, peers::Peer, shared::IngressShared},
};

/// Delay before notices are sent, so that several go out together.
const SEND_DELAY: Duration = Duration::from_millis(20);
/// Interval at which unsent notices are retried, expired ones are removed, and the role of this instance is
/// checked.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Retention of a notice after its target was last listed. Longer than an entry takes to lapse and be
/// restored.
const RETENTION_MS: Millis = 60_000;
/// Largest number of notices in one message.
const MAX_NOTICES: usize = 1000;

/// An incarnation of a target that is draining.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    /// Id of the target.
    pub(crate) target: TargetId,
    /// Start of the incarnation in milliseconds of Unix time, if the target reports it.
    #[serde(default)]
    pub(crate) born: Option<Millis>,
}

impl Departure {
    pub(crate) fn of(target: &TargetInstance) -> Departure {
        Departure { target: target.id.clone(), born: target.born }
    }
}

/// Drain notices that this instance passes on to the readers of the store.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    known: Mutex<HashMap<TargetId, TrackedNotice>>,
    has_unsent: Notify,
}

#[derive(Debug)]
struct TrackedNotice {
    notice: Departure,
    /// When its target was last listed, in milliseconds.
    listed_at: Millis,
    /// Peers, by name and incarnation, that have received the notice.
    receivers: Vec<(Name, String)>,
}

impl Departures {
    fn note(&self, now: Millis, notice: Departure) {
        let tracked = TrackedNotice { notice, listed_at: now, receivers: Vec::new() };
        self.known.lock().insert(tracked.notice.target.clone(), tracked);
    }

    /// Known notices, as many as one message holds.
    fn all(&self) -> Vec<Departure> {
        let known = self.known.lock();
        known.values().take(MAX_NOTICES).map(|it| it.notice.clone()).collect()
    }

    /// Removes notices whose targets have not been listed for [`RETENTION_MS`].
    fn forget(&self, now: Millis, is_listed: impl Fn(&str) -> bool) {
        self.known.lock().retain(|id, it| {
            if is_listed(id) {
                it.listed_at = now;
            }
            now < it.listed_at + RETENTION_MS
        });
    }
}

/// Records that a target has reported in a response that it is draining.
pub(crate) fn answered(shared: &IngressShared, target: &TargetInstance) {
    if shared.target_leaves(&Departure::of(target), "answer") == Change::Leaving {
        emit(events::LEAVING_NOTICE, &shared.settings.instance, &format!("target={}", target.id));
        shared.departures.note(shared.clock.now(), Departure::of(target));
        shared.departures.has_unsent.notify_one();
    }
}

/// Applies notices from a peer, and returns those that this instance knows.
pub(crate) fn exchange_notices(shared: &IngressShared, notices: Vec<Departure>) -> Vec<Departure> {
    apply_notices(shared, notices);
    shared.departures.all()
}

/// Applies notices from a peer.
pub(crate) fn apply_notices(shared: &IngressShared, notices: Vec<Departure>) {
    for it in notices.into_iter().take(MAX_NOTICES) {
        let is_new = shared.target_leaves(&it, "peer-answer") == Change::Leaving;
        // Followers receive it like any other change. Other readers do not follow this instance, so a reader
        // keeps the notice to send it to them.
        if is_new && *shared.reading.borrow() {
            shared.departures.note(shared.clock.now(), it);
        }
    }
}

/// Drain notices for those of `makers`, addresses of targets that made results, that are draining.
pub(crate) fn notices_for<'a>(
    shared: &IngressShared,
    makers: impl Iterator<Item = &'a str>,
) -> Vec<Departure> {
    let makers = makers.filter_map(|it| shared.target_at(it)).filter(|it| it.is_leaving);
    let mut notices: Vec<Departure> = makers.map(|it| Departure::of(&it)).collect();
    notices.dedup();
    notices
}

/// Sends notices to the readers of the store, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let mut review = interval(REVIEW_INTERVAL);
    let mut was_reader = false;
    loop {
        tokio::select! {
            () = shared.departures.has_unsent.notified() => sleep(SEND_DELAY).await,
            _ = review.tick() => {
                let now = shared.clock.now();
                shared.departures.forget(now, |it| shared.target(it).is_some());
            }
        }
        // A new reader passes on the store's entries, which may list draining targets as ready, so it asks the
        // other readers for their notices.
        let is_reader = *shared.reading.borrow();
        notify_readers(&shared, is_reader && !was_reader).await;
        was_reader = is_reader;
    }
}

/// Sends the readers of the store the notices that they have not received. With `is_forced`, also calls readers that
/// have received all, to get theirs.
async fn notify_readers(shared: &Arc<IngressShared>, is_forced: bool) {
    if !is_forced && shared.departures.known.lock().is_empty() {
        return;
    }
    let readers = shared.peers.sources().readers;
    let peers = shared.peers.all().into_iter();
    let peers =
        peers.filter(|it| readers.contains(&it.1.address) && DRAIN_PROTOCOL <= it.1.protocol);
    let send = |(name, peer): (Name, Peer)| async move {
        let incarnation = (name, peer.life);
        let notices = unsent(shared, &incarnation);
        if notices.is_empty() && !is_forced {
            return;
        }
        let Ok(known) =
            shared.peers.send_drain_notices(shared, &peer.address, notices.clone()).await
        else {
            return;
        };
        for it in notices {
            if let Some(tracked) = shared.departures.known.lock().get_mut(&it.target) {
                tracked.receivers.push(incarnation.clone());
            }
        }
        apply_notices(shared, known);
    };
    peers.map(send).collect::<FuturesUnordered<_>>().count().await;
}

/// Notices that an incarnation of a peer has not received.
fn unsent(shared: &IngressShared, incarnation: &(Name, String)) -> Vec<Departure> {
    let known = shared.departures.known.lock();
    let unsent = known.values().filter(|it| !it.receivers.contains(incarnation));
    unsent.take(MAX_NOTICES).map(|it| it.notice.clone()).collect()
}
