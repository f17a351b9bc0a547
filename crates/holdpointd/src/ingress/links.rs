//! Connections to peers: how they are made, how it is noticed that a peer is silent, and for how long
//! it is passed over then.

use std::{
    collections::HashMap,
    ops::Deref,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use holdpoint_core::{
    ids::Millis,
    liveness::{self, Duty, Use},
};
use holdpoint_platform::Instant;
use parking_lot::Mutex;
use tarpc::{client, context, serde_transport::new as transport};
use tokio::{net::TcpStream, sync::Notify};
use tokio_serde::formats::Cbor;

use crate::{
    events::{self, emit},
    ingress::{
        batches::StageLoads,
        connections::guard,
        follow::catch_up,
        heard::{Heard, LastHeard},
        peer_service::{IngressPeersClient, Standing, codec},
        shared::IngressShared,
    },
};

/// How long a connection to a peer may take to be made, its distance left aside.
const CONNECT: Duration = Duration::from_millis(300);
/// How often a peer that works for this instance is asked whether it is there.
const PING: Duration = Duration::from_millis(250);
/// How often it is looked whether a connection that rests is needed any more.
const REST: Duration = Duration::from_millis(5000);
/// How long it may take to answer, its distance left aside.
const PING_LIMIT: Duration = Duration::from_millis(350);
/// How long nothing may come while an answer is awaited that may be large, its distance left aside: it
/// is made, and waits for its turn on the links, before its first bytes come. Without this bound, a
/// connection that had gone silent was found out only after the 3 s that such an answer may take, and
/// calls on it that had less time failed.
const LARGE_SILENCE: Duration = Duration::from_millis(1000);
/// How long a peer that was silent is passed over; doubled each time.
const SUSPECT: Duration = Duration::from_millis(1500);
/// Longest time that a peer is passed over.
const LONGEST_SUSPECT: Duration = Duration::from_secs(12);
/// Round trips that a limit leaves for the distance of a peer: one for the call itself, one for what is
/// lost on the way and sent again.
const ROUND_TRIPS: u32 = 2;
/// Longest distance that counts, as a round trip. What is measured as more was a queue.
const LONGEST_TRIP: Duration = Duration::from_millis(250);

/// No answer from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerSilent;

/// A connection to a peer, which counts as used until this is dropped.
pub(crate) struct UsedLink(Link);

impl UsedLink {
    fn new(shared: &IngressShared, link: Link) -> UsedLink {
        link.calls.fetch_add(1, Ordering::AcqRel);
        let now = shared.clock.now();
        let before = link.used.swap(now, Ordering::AcqRel);
        if liveness::has_rested(now, before) {
            link.roused.notify_one();
        }
        UsedLink(link)
    }
}

impl Drop for UsedLink {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Deref for UsedLink {
    type Target = Link;

    fn deref(&self) -> &Link {
        &self.0
    }
}

/// A connection to a peer.
#[derive(Clone)]
pub(crate) struct Link {
    /// Calls the peer.
    pub(crate) client: IngressPeersClient,
    /// Raised when the peer is found to be silent.
    pub(crate) lost: Arc<Notify>,
    /// Answers under way that may be large, and hold up others on the same connection.
    large: Arc<AtomicUsize>,
    /// Calls under way.
    calls: Arc<AtomicUsize>,
    /// When the last one began, in milliseconds.
    used: Arc<AtomicU64>,
    /// Raised when it is used again after a rest.
    roused: Arc<Notify>,
    heard: LastHeard,
}

impl Link {
    fn its_use(&self, shared: &IngressShared) -> Use {
        Use {
            calls: self.calls.load(Ordering::Acquire),
            used: self.used.load(Ordering::Acquire),
            // Whoever keeps accounts of limits has to know whom it does not reach.
            is_standing: shared.batches.relies_on_owners() || shared.limits.keeps_any(),
        }
    }

    /// Notes that an answer is under way that may be large, until what it returns is dropped.
    pub(crate) fn expect_large(&self) -> Large {
        self.large.fetch_add(1, Ordering::AcqRel);
        Large(self.large.clone())
    }
}

/// Counts an answer that may be large, until it is dropped.
pub(crate) struct Large(Arc<AtomicUsize>);

impl Drop for Large {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    until: Instant,
    times: u32,
}

/// The connections of an instance to its peers, by address.
#[derive(Default)]
pub(crate) struct Links {
    made: Mutex<HashMap<String, Link>>,
    /// Held while a connection to the peer is made, so that there is one to each.
    connecting: Mutex<HashMap<String, Arc<tokio::sync::Mutex<()>>>>,
    suspects: Mutex<HashMap<String, Suspicion>>,
    /// Rises whenever a peer becomes suspect, or trusted before its time.
    suspects_revision: AtomicU64,
    /// Shortest round trip to each peer.
    trips: Mutex<HashMap<String, Duration>>,
}

impl Links {
    /// The connection to a peer; one is made if there is none.
    pub(crate) async fn get(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
    ) -> Result<UsedLink, PeerSilent> {
        if let Some(it) = self.found(address) {
            return Ok(UsedLink::new(shared, it));
        }
        let one = self.connecting.lock().entry(address.to_owned()).or_default().clone();
        let has_waited = one.try_lock().is_err();
        let _one = one.lock().await;
        if let Some(it) = self.found(address) {
            return Ok(UsedLink::new(shared, it));
        }
        if has_waited && self.is_suspect(address) {
            // Whoever tried just now has waited for nothing.
            return Err(PeerSilent);
        }
        let link = self.connect(shared, address).await?;
        Ok(UsedLink::new(shared, link))
    }

    async fn connect(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
    ) -> Result<Link, PeerSilent> {
        let begun = Instant::now();
        let limit = self.with_distance(address, CONNECT);
        let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            self.suspect(shared, address, "unreachable");
            return Err(PeerSilent);
        };
        self.note_trip(address, begun.elapsed());
        guard(&stream).map_err(|_| PeerSilent)?;
        let heard = LastHeard::new();
        let stream = Heard::new(stream, heard.clone());
        let io = transport(codec().new_framed(stream), Cbor::default());
        let client = IngressPeersClient::new(client::Config::default(), io).spawn();
        let link = Link {
            client,
            lost: Arc::default(),
            large: Arc::default(),
            calls: Arc::default(),
            used: Arc::new(AtomicU64::new(shared.clock.now())),
            roused: Arc::default(),
            heard,
        };
        self.made.lock().insert(address.to_owned(), link.clone());
        tokio::spawn(watch(shared.clone(), address.to_owned(), link.clone()));
        Ok(link)
    }

    fn found(&self, address: &str) -> Option<Link> {
        self.made.lock().get(address).cloned()
    }

    /// A limit on an answer of a peer, with the distance of the peer added.
    pub(crate) fn with_distance(&self, address: &str, limit: Duration) -> Duration {
        let trips = self.trips.lock();
        // One that was never reached may be as far away as any.
        let trip = trips.get(address).or_else(|| trips.values().max());
        limit + trip.map_or(Duration::ZERO, |it| ROUND_TRIPS * (*it).min(LONGEST_TRIP))
    }

    fn note_trip(&self, address: &str, trip: Duration) {
        let mut trips = self.trips.lock();
        let shortest = trips.entry(address.to_owned()).or_insert(trip);
        *shortest = trip.min(*shortest);
    }

    /// Whether a peer was silent of late, and is passed over.
    pub(crate) fn is_suspect(&self, address: &str) -> bool {
        self.suspects.lock().get(address).is_some_and(|it| Instant::now() < it.until)
    }

    /// Takes in that a peer was silent on a connection, unless that is no longer the one in use.
    pub(crate) fn lose(
        &self,
        shared: &IngressShared,
        address: &str,
        lost: &Arc<Notify>,
        cause: &str,
    ) {
        let mut made = self.made.lock();
        if made.get(address).is_some_and(|it| Arc::ptr_eq(&it.lost, lost)) {
            made.remove(address);
            drop(made);
            self.suspect(shared, address, cause);
        }
        lost.notify_waiters();
    }

    /// Closes a connection that nothing is expected of.
    fn close(&self, address: &str, link: &Link) {
        let mut made = self.made.lock();
        if made.get(address).is_some_and(|it| Arc::ptr_eq(&it.lost, &link.lost)) {
            made.remove(address);
        }
    }

    fn suspect(&self, shared: &IngressShared, address: &str, cause: &str) {
        let now = Instant::now();
        let mut suspects = self.suspects.lock();
        let before = suspects.get(address).copied();
        if before.is_some_and(|it| now < it.until) {
            return;
        }
        let times = before.map_or(0, |it| it.times + 1);
        let span = (SUSPECT * 2_u32.pow(times.min(4))).min(LONGEST_SUSPECT);
        suspects.insert(address.to_owned(), Suspicion { until: now + span, times });
        self.suspects_revision.fetch_add(1, Ordering::AcqRel);
        let detail = format!("peer={address} cause={cause} for_ms={}", span.as_millis());
        emit(events::PEER_SILENT, &shared.settings.instance, &detail);
    }

    /// Takes in that a peer answers, or has started anew.
    pub(crate) fn trust(&self, address: &str) {
        if self.suspects.lock().remove(address).is_some() {
            self.suspects_revision.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Revision of who is suspect, which changes by time alone at the moment that comes with it.
    pub(crate) fn suspects_revision(&self) -> (u64, Option<Instant>) {
        let now = Instant::now();
        let suspects = self.suspects.lock();
        let next = suspects.values().map(|it| it.until).filter(|it| now < *it).min();
        (self.suspects_revision.load(Ordering::Acquire), next)
    }
}

/// Asks a peer again and again whether it is there, as long as something is expected of it, until it is not.
async fn watch(shared: Arc<IngressShared>, address: String, link: Link) {
    let links = &shared.peers.links;
    loop {
        match liveness::duty(shared.clock.now(), link.its_use(&shared)) {
            Duty::Ask => tokio::time::sleep(PING).await,
            Duty::Rest => {
                let roused = tokio::time::timeout(REST, link.roused.notified()).await;
                if roused.is_err() {
                    continue;
                }
            }
            Duty::Close => return links.close(&address, &link),
        }
        let silence = links.with_distance(&address, LARGE_SILENCE);
        if link.large.load(Ordering::Acquire) != 0 && link.heard.silence() < silence {
            // An answer to a ping would stand behind it.
            continue;
        }
        let known = shared.configuration().version;
        let begun = Instant::now();
        let limit = links.with_distance(&address, PING_LIMIT);
        match tokio::time::timeout(limit, check(&shared, &address, &link, limit)).await {
            Ok(Ok(theirs)) => {
                links.note_trip(&address, begun.elapsed());
                links.trust(&address);
                if !shared.peers.is_far(&address) {
                    let (times, loads) = (theirs.stage_times, theirs.stage_loads);
                    shared.take_stage_loads(StageLoads { times, loads });
                }
                if known < theirs.version {
                    drop(tokio::spawn(catch_up(shared.clone(), address.clone())));
                }
            }
            _ => {
                links.lose(&shared, &address, &link.lost, "silent");
                return;
            }
        }
    }
}

/// Asks a peer how it stands.
async fn check(
    shared: &IngressShared,
    address: &str,
    link: &Link,
    limit: Duration,
) -> Result<Standing, client::RpcError> {
    let known = shared.configuration().version;
    let own_address = shared.settings.listen.peers.clone();
    match shared.peers.protocol_of(address) {
        0 => {
            let version = link.client.ping(context_for(limit), known, own_address).await?;
            Ok(Standing { version, ..Standing::default() })
        }
        _ => link.client.check(context_for(limit), known, own_address).await,
    }
}

/// Context of a call that may take so long.
pub(crate) fn context_for(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + limit;
    context
}

/// A time in whole milliseconds, at least one.
pub(crate) fn whole_millis(time: Duration) -> Millis {
    (time.as_millis() as Millis).max(1)
}
