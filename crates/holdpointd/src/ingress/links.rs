//! Connections to peers, and the detection of silent peers.
//!
//! Each connection is monitored by pings while the peer is in use. A silent peer is suspect, and not used for a
//! time that doubles with each repetition.

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
    liveness::{self, PeerAction, PeerUse},
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
        connections::set_socket_options,
        counted_stream::CountedStream,
        follow::fetch_configuration,
        monitored_stream::{LastReceived, MonitoredStream},
        peer_service::{IngressPeersClient, PeerStatus, codec},
        shared::IngressShared,
    },
};

/// Timeout for connecting to a peer, without the allowance for its round-trip time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of pings to a peer in use.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of checks whether an idle connection is still needed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(5000);
/// Timeout of a ping, without the allowance for the round-trip time.
const PING_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest silence while a large answer is awaited, without the allowance for the round-trip time: preparing
/// and queueing the answer takes time. It is shorter than the timeout of such an answer, so that other calls on a
/// silent connection fail early.
const MAX_LARGE_SILENCE: Duration = Duration::from_millis(1000);
/// How long a silent peer is suspect for the first time; doubled each time.
const BASE_SUSPICION: Duration = Duration::from_millis(1500);
/// How long a peer is suspect that was silent while this instance's own link or processor was full.
const STRAINED_SUSPICION: Duration = Duration::from_millis(300);
/// Longest time that a peer is suspect.
const MAX_SUSPICION: Duration = Duration::from_secs(12);
/// Round trips added to a timeout: one for the call itself, one for the retransmission of lost packets.
const ROUND_TRIPS: u32 = 2;
/// Longest round-trip time that is added to timeouts. Longer measurements include queueing.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(250);

/// A peer did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerSilent;

/// A connection to a peer that counts as in use until this is dropped.
pub(crate) struct UsedLink(Link);

impl UsedLink {
    fn new(shared: &IngressShared, link: Link) -> UsedLink {
        link.calls.fetch_add(1, Ordering::AcqRel);
        let now = shared.clock.now();
        let before = link.used.swap(now, Ordering::AcqRel);
        if liveness::was_idle(now, before) {
            link.woken.notify_one();
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
    /// Client for calls to the peer.
    pub(crate) client: IngressPeersClient,
    /// Notified when the peer is found to be silent.
    pub(crate) lost: Arc<Notify>,
    /// Number of awaited answers that may be large, and delay others on the same connection.
    large: Arc<AtomicUsize>,
    /// Number of calls in progress.
    calls: Arc<AtomicUsize>,
    /// Start of the last call, in milliseconds.
    used: Arc<AtomicU64>,
    /// Notified when the connection is used again after an idle time.
    woken: Arc<Notify>,
    last_received: LastReceived,
}

impl Link {
    fn usage(&self, shared: &IngressShared) -> PeerUse {
        PeerUse {
            calls: self.calls.load(Ordering::Acquire),
            last_use: self.used.load(Ordering::Acquire),
            // An owner of rate-limit state has to know which peers are unreachable.
            is_permanent: shared.batches.relies_on_owners() || shared.limits.owns_any(),
        }
    }

    /// Counts an awaited answer that may be large, until the returned guard is dropped.
    pub(crate) fn expect_large(&self) -> LargeAnswer {
        self.large.fetch_add(1, Ordering::AcqRel);
        LargeAnswer(self.large.clone())
    }
}

/// Guard that counts an awaited large answer.
pub(crate) struct LargeAnswer(Arc<AtomicUsize>);

impl Drop for LargeAnswer {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    until: Instant,
    times: u32,
}

/// Connections of an instance to its peers, by address.
#[derive(Default)]
pub(crate) struct Links {
    links: Mutex<HashMap<String, Link>>,
    /// Locked while a connection to the peer is made, so that there is only one.
    connecting: Mutex<HashMap<String, Arc<tokio::sync::Mutex<()>>>>,
    suspects: Mutex<HashMap<String, Suspicion>>,
    /// Incremented when a peer becomes suspect, or is cleared before its suspicion expires.
    suspects_revision: AtomicU64,
    /// Shortest measured round-trip time to each peer.
    round_trips: Mutex<HashMap<String, Duration>>,
}

impl Links {
    /// Returns the connection to a peer, after making one if there is none.
    pub(crate) async fn get(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
    ) -> Result<UsedLink, PeerSilent> {
        if let Some(it) = self.existing(address) {
            return Ok(UsedLink::new(shared, it));
        }
        let mutex = self.connecting.lock().entry(address.to_owned()).or_default().clone();
        let has_waited = mutex.try_lock().is_err();
        let _guard = mutex.lock().await;
        if let Some(it) = self.existing(address) {
            return Ok(UsedLink::new(shared, it));
        }
        if has_waited && self.is_suspect(address) {
            // The attempt that this call waited for has failed.
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
        let limit = self.with_round_trips(address, CONNECT_TIMEOUT);
        let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            self.suspect(shared, address, "unreachable");
            return Err(PeerSilent);
        };
        self.record_round_trip(shared, address, begun.elapsed());
        set_socket_options(&stream).map_err(|_| PeerSilent)?;
        let last_received = LastReceived::new();
        let stream = CountedStream::new(stream, shared.own_load.traffic.peers.clone());
        let stream = MonitoredStream::new(stream, last_received.clone());
        let io = transport(codec().new_framed(stream), Cbor::default());
        let client = IngressPeersClient::new(client::Config::default(), io).spawn();
        let link = Link {
            client,
            lost: Arc::default(),
            large: Arc::default(),
            calls: Arc::default(),
            used: Arc::new(AtomicU64::new(shared.clock.now())),
            woken: Arc::default(),
            last_received,
        };
        self.links.lock().insert(address.to_owned(), link.clone());
        tokio::spawn(monitor(shared.clone(), address.to_owned(), link.clone()));
        Ok(link)
    }

    fn existing(&self, address: &str) -> Option<Link> {
        self.links.lock().get(address).cloned()
    }

    /// A timeout with the allowance for the peer's round-trip time added.
    pub(crate) fn with_round_trips(&self, address: &str, limit: Duration) -> Duration {
        let round_trips = self.round_trips.lock();
        // A peer that was never reached is assumed to be as far away as the farthest.
        let round_trip = round_trips.get(address).or_else(|| round_trips.values().max());
        limit + round_trip.map_or(Duration::ZERO, |it| ROUND_TRIPS * (*it).min(MAX_ROUND_TRIP))
    }

    fn record_round_trip(&self, shared: &IngressShared, address: &str, round_trip: Duration) {
        shared.own_load.traffic.record_round_trip(address, round_trip);
        let mut round_trips = self.round_trips.lock();
        let shortest = round_trips.entry(address.to_owned()).or_insert(round_trip);
        *shortest = round_trip.min(*shortest);
    }

    /// Whether a peer was recently silent, and should not be used.
    pub(crate) fn is_suspect(&self, address: &str) -> bool {
        self.suspects.lock().get(address).is_some_and(|it| Instant::now() < it.until)
    }

    /// Marks the peer as suspect and drops its connection, unless a newer connection has replaced that.
    pub(crate) fn mark_silent(
        &self,
        shared: &IngressShared,
        address: &str,
        lost: &Arc<Notify>,
        cause: &str,
    ) {
        let mut links = self.links.lock();
        if links.get(address).is_some_and(|it| Arc::ptr_eq(&it.lost, lost)) {
            links.remove(address);
            drop(links);
            self.suspect(shared, address, cause);
        }
        lost.notify_waiters();
    }

    /// Closes a connection that is no longer needed.
    fn close(&self, address: &str, link: &Link) {
        let mut links = self.links.lock();
        if links.get(address).is_some_and(|it| Arc::ptr_eq(&it.lost, &link.lost)) {
            links.remove(address);
        }
    }

    fn suspect(&self, shared: &IngressShared, address: &str, cause: &str) {
        let now = Instant::now();
        let mut suspects = self.suspects.lock();
        let before = suspects.get(address).copied();
        if before.is_some_and(|it| now < it.until) {
            return;
        }
        let (times, suspicion) = if shared.own_load.is_strained(shared.clock.now()) {
            (before.map_or(0, |it| it.times), STRAINED_SUSPICION)
        } else {
            let times = before.map_or(0, |it| it.times + 1);
            (times, (BASE_SUSPICION * 2_u32.pow(times.min(4))).min(MAX_SUSPICION))
        };
        suspects.insert(address.to_owned(), Suspicion { until: now + suspicion, times });
        self.suspects_revision.fetch_add(1, Ordering::AcqRel);
        let detail = format!("peer={address} cause={cause} for_ms={}", suspicion.as_millis());
        emit(events::PEER_SILENT, &shared.settings.instance, &detail);
    }

    /// Ends a peer's suspicion, since it answers or has restarted.
    pub(crate) fn clear_suspicion(&self, address: &str) {
        if self.suspects.lock().remove(address).is_some() {
            self.suspects_revision.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Revision of the set of suspects, and the time at which the next suspicion expires, which changes the set
    /// without a new revision.
    pub(crate) fn suspects_revision(&self) -> (u64, Option<Instant>) {
        let now = Instant::now();
        let suspects = self.suspects.lock();
        let next = suspects.values().map(|it| it.until).filter(|it| now < *it).min();
        (self.suspects_revision.load(Ordering::Acquire), next)
    }
}

/// Pings a peer while its connection is in use, until the connection is closed or the peer is silent.
async fn monitor(shared: Arc<IngressShared>, address: String, link: Link) {
    let links = &shared.peers.links;
    loop {
        match liveness::peer_action(shared.clock.now(), link.usage(&shared)) {
            PeerAction::Probe => tokio::time::sleep(PING_INTERVAL).await,
            PeerAction::Wait => {
                let woken = tokio::time::timeout(IDLE_CHECK_INTERVAL, link.woken.notified()).await;
                if woken.is_err() {
                    continue;
                }
            }
            PeerAction::Close => return links.close(&address, &link),
        }
        let silence = links.with_round_trips(&address, MAX_LARGE_SILENCE);
        if link.large.load(Ordering::Acquire) != 0 && link.last_received.silence() < silence {
            // The answer to a ping would queue behind the large one.
            continue;
        }
        let own_version = shared.configuration().version;
        let begun = Instant::now();
        let limit = links.with_round_trips(&address, PING_TIMEOUT);
        match tokio::time::timeout(limit, check_peer(&shared, &address, &link, limit)).await {
            Ok(Ok(status)) => {
                links.record_round_trip(&shared, &address, begun.elapsed());
                links.clear_suspicion(&address);
                shared.peers.set_unreached(&address, status.unreached);
                if !shared.peers.is_far(&address) {
                    let (times, loads) = (status.stage_times, status.stage_loads);
                    shared.apply_stage_loads(StageLoads { times, loads });
                }
                if own_version < status.version {
                    drop(tokio::spawn(fetch_configuration(shared.clone(), address.clone())));
                }
            }
            _ => {
                links.mark_silent(&shared, &address, &link.lost, "silent");
                return;
            }
        }
    }
}

/// Pings a peer, and returns its configuration version and loads.
async fn check_peer(
    shared: &IngressShared,
    address: &str,
    link: &Link,
    limit: Duration,
) -> Result<PeerStatus, client::RpcError> {
    let own_version = shared.configuration().version;
    let own_address = shared.settings.listen.peers.clone();
    match shared.peers.protocol_of(address) {
        0 => {
            let version = link.client.ping(context_for(limit), own_version, own_address).await?;
            Ok(PeerStatus { version, ..PeerStatus::default() })
        }
        _ => link.client.check(context_for(limit), own_version, own_address).await,
    }
}

/// Context of a call with this timeout.
pub(crate) fn context_for(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + limit;
    context
}

/// A duration in whole milliseconds, at least one.
pub(crate) fn whole_millis(time: Duration) -> Millis {
    (time.as_millis() as Millis).max(1)
}
