//! The peers of an instance: who they are, which of them answer, and what they are asked: pieces
//! from the one that batches them, targets from the one that places prompts, state while the store
//! does not answer.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use holdpoint_core::{
    capacity::{Capacity, strong},
    directory::TargetId,
    ids::Name,
    readers::{order_for, readers, sources},
    stage_graph::NoResult,
    subset::{owner, weight},
};
use holdpoint_schema::ingress::{Batching, IngressSettings};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tarpc::{
    client::{self, RpcError},
    context,
    serde_transport::new as transport,
};
use tokio::{net::TcpStream, sync::Notify};
use tokio_serde::formats::Cbor;

use crate::{
    events::{self, emit},
    ingress::{
        connections::guard,
        follow::catch_up,
        news::{Known, Update},
        peer_service::{IngressPeersClient, PromptAsk, Standing, codec},
        piece_ask::{PieceAsk, PieceResult},
        rollouts::{DriverAnswer, RolloutReport},
        shared::IngressShared,
    },
};

/// How long a connection to a peer may take to be made.
const CONNECT: Duration = Duration::from_millis(300);
/// How often a peer that works for this instance is asked whether it is there.
const PING: Duration = Duration::from_millis(250);
/// How long it may take to answer.
const PING_LIMIT: Duration = Duration::from_millis(350);
/// An answer that may take so long may be large.
const LARGE_LIMIT: Duration = Duration::from_millis(1000);
/// How long a peer may take to choose a target; after that it is chosen here.
const PLACE_LIMIT: Duration = Duration::from_millis(60);
/// How long the driver of a roll-out may take to answer; what it last told holds for longer.
const ROLL_OUT_LIMIT: Duration = Duration::from_millis(300);
/// How long a peer that was silent is passed over; doubled each time.
const SUSPECT: Duration = Duration::from_millis(1500);
/// Longest time that a peer is passed over.
const LONGEST_SUSPECT: Duration = Duration::from_secs(12);

/// No answer from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerSilent;

struct Link {
    client: IngressPeersClient,
    /// Raised when the peer is found to be silent.
    lost: Arc<Notify>,
    /// Answers under way that may be large, and hold up others on the same connection.
    large: Arc<AtomicUsize>,
}

/// Counts an answer that may be large, until it is dropped.
struct Large(Arc<AtomicUsize>);

impl Large {
    fn new(count: Arc<AtomicUsize>) -> Large {
        count.fetch_add(1, Ordering::AcqRel);
        Large(count)
    }
}

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

/// Peers that know what the store says, in the order in which this instance asks them.
#[derive(Clone, Debug)]
pub(crate) struct Sources {
    /// Whether this instance reads the store for others.
    pub(crate) is_reader: bool,
    /// Whether it passes on to others what readers tell.
    pub(crate) is_relay: bool,
    /// Addresses of those that it follows.
    pub(crate) asked: Vec<String>,
    /// Addresses of those that read the store.
    pub(crate) readers: Vec<String>,
}

/// A peer, as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// IP number and port of its RPC.
    pub(crate) address: String,
    /// Identifies one life of its process.
    pub(crate) life: String,
    /// What it may use of its machine.
    #[serde(default)]
    pub(crate) capacity: Capacity,
    /// Version of the protocol that it speaks.
    #[serde(default)]
    pub(crate) protocol: u32,
    /// Failure domain that it stands in; empty where it does not tell.
    #[serde(default)]
    pub(crate) domain: Name,
}

/// The peers of an instance.
pub(crate) struct Peers {
    own_name: Name,
    own_capacity: Capacity,
    batching: Batching,
    seeds: Vec<String>,
    known: Mutex<HashMap<Name, Peer>>,
    links: Mutex<HashMap<String, Link>>,
    /// Held while a connection to a peer is made, so that there is one to each.
    connecting: tokio::sync::Mutex<()>,
    suspects: Mutex<HashMap<String, Suspicion>>,
    /// Whether this instance is about to stop and batches for nobody any more.
    is_leaving: AtomicBool,
}

impl Peers {
    /// Makes the peers of an instance that knows none yet.
    pub(crate) fn new(settings: &IngressSettings) -> Peers {
        let is_other = |it: &&String| **it != settings.listen.peers;
        Peers {
            own_name: settings.instance.clone(),
            own_capacity: own_capacity(settings),
            batching: settings.decisions.batching,
            seeds: settings.seeds.iter().filter(is_other).cloned().collect(),
            known: Mutex::default(),
            links: Mutex::default(),
            connecting: tokio::sync::Mutex::default(),
            suspects: Mutex::default(),
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Takes in that this instance is about to stop.
    pub(crate) fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Takes in a peer, or that it has left; whether that is new.
    pub(crate) fn set(&self, name: &str, peer: Option<Peer>) -> bool {
        if name == self.own_name {
            return false;
        }
        let mut known = self.known.lock();
        let Some(peer) = peer else { return known.remove(name).is_some() };
        if known.get(name) == Some(&peer) {
            return false;
        }
        // Whoever was silent at this address has started anew.
        self.suspects.lock().remove(&peer.address);
        known.insert(name.to_owned(), peer);
        true
    }

    /// All peers by name, this instance left out.
    pub(crate) fn all(&self) -> Vec<(Name, Peer)> {
        self.known.lock().iter().map(|(name, it)| (name.clone(), it.clone())).collect()
    }

    /// Number of instances, this one included.
    pub(crate) fn instance_count(&self) -> usize {
        self.known.lock().len() + 1
    }

    /// Whom this instance asks for what the store says: the readers if it is a source itself, else
    /// any of the sources.
    pub(crate) fn sources(&self) -> Sources {
        let known = self.known.lock();
        let mut names: Vec<&str> = self.live(&known).collect();
        names.sort_unstable();
        let (readers, sources) = (readers(&names), sources(&names));
        let own = self.own_name.as_str();
        let (is_reader, is_source) = (readers.contains(&own), sources.contains(&own));
        let asked = if is_source { &readers } else { &sources };
        let addresses = |names: &[&str]| {
            let others = order_for(own, names).into_iter().filter_map(|it| known.get(it));
            others.map(|it| it.address.clone()).collect()
        };
        Sources {
            is_reader,
            is_relay: is_source && !is_reader,
            asked: addresses(asked),
            readers: addresses(&readers),
        }
    }

    /// Addresses of all peers and seeds, those that answer first.
    pub(crate) fn to_ask(&self) -> Vec<String> {
        let mut addresses: Vec<String> =
            self.known.lock().values().map(|it| it.address.clone()).collect();
        addresses.extend(self.seeds.iter().cloned());
        addresses.sort();
        addresses.dedup();
        addresses.sort_by_key(|it| (self.is_suspect(it), weight(&self.own_name, it)));
        addresses
    }

    /// Names of the instances that work for others, this one included unless it is leaving.
    fn live<'a>(&'a self, known: &'a HashMap<Name, Peer>) -> impl Iterator<Item = &'a str> {
        let others = known.iter().filter(|it| !self.is_suspect(&it.1.address));
        let own = Some(self.own_name.as_str()).filter(|_| !self.is_leaving.load(Ordering::Acquire));
        others.map(|it| it.0.as_str()).chain(own)
    }

    /// The peer that batches a service's pieces; `None` where this instance does.
    pub(crate) fn batcher_of(&self, service: &str) -> Option<String> {
        if self.batching == Batching::Own {
            return None;
        }
        self.owner_of(service)
    }

    /// Address of the peer that does what one instance does for all under a key; `None` where this
    /// instance does.
    pub(crate) fn owner_of(&self, key: &str) -> Option<String> {
        let known = self.known.lock();
        let capacity = |name: &str| known.get(name).map_or(self.own_capacity, |it| it.capacity);
        let live: Vec<_> = self.live(&known).map(|it| (it, capacity(it))).collect();
        let chosen = owner(key, strong(&live).into_iter())?;
        known.get(chosen).map(|it| it.address.clone())
    }

    /// Has a peer make pieces. An error means that the peer is silent.
    pub(crate) async fn make(
        self: &Peers,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        asks: Vec<PieceAsk>,
        limit: Duration,
    ) -> Result<Vec<PieceResult>, PeerSilent> {
        let (client, lost) = self.link(shared, address).await?;
        let call = client.make(context_for(limit), service.to_owned(), asks);
        let answer = tokio::select! {
            it = tokio::time::timeout(limit, call) => it,
            () = lost.notified() => return Err(PeerSilent),
        };
        match answer {
            Ok(Ok(it)) => Ok(it),
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => Ok(Vec::new()),
            Ok(Err(_)) => {
                self.lose(shared, address, &lost, "broken");
                Err(PeerSilent)
            }
        }
    }

    /// Asks a peer for the target that reads a prompt; `None` where it does not answer at once.
    pub(crate) async fn place(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        prompt: PromptAsk,
    ) -> Option<TargetId> {
        let asked = async {
            let (client, _) = self.link(shared, address).await.ok()?;
            client.place(context_for(PLACE_LIMIT), service.to_owned(), prompt).await.ok()?
        };
        tokio::time::timeout(PLACE_LIMIT, asked).await.ok()?
    }

    /// Address of an instance that works for others, this one left out; `None` where it does not.
    pub(crate) fn live_address(&self, name: &str) -> Option<String> {
        let address = self.known.lock().get(name).map(|it| it.address.clone())?;
        (!self.is_suspect(&address)).then_some(address)
    }

    /// Whether a life of an instance works for others, this one left out.
    pub(crate) fn is_life(&self, name: &str, life: &str) -> bool {
        let known = self.known.lock();
        known.get(name).is_some_and(|it| it.life == life && !self.is_suspect(&it.address))
    }

    /// Tells the driver of a roll-out what this instance has seen; `None` where it does not answer.
    pub(crate) async fn roll_out(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        report: RolloutReport,
    ) -> Option<DriverAnswer> {
        let asked = async {
            let (client, _) = self.link(shared, address).await.ok()?;
            client.roll_out(context_for(ROLL_OUT_LIMIT), service.to_owned(), report).await.ok()
        };
        tokio::time::timeout(ROLL_OUT_LIMIT, asked).await.ok()?
    }

    /// Has a peer give up results.
    pub(crate) async fn give_up(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        handles: Vec<String>,
    ) -> Result<(), PeerSilent> {
        let (client, _) = self.link(shared, address).await?;
        let told = client.give_up(context_for(PING_LIMIT), service.to_owned(), handles);
        let told = tokio::time::timeout(PING_LIMIT, told).await;
        told.map_err(|_| PeerSilent)?.map_err(|_| PeerSilent)
    }

    /// Asks a peer what is new; the answer may take `limit`.
    pub(crate) async fn follow(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        known: Known,
        limit: Duration,
    ) -> Result<Update, PeerSilent> {
        let (client, lost) = self.link(shared, address).await?;
        let large = self.links.lock().get(address).map(|it| it.large.clone());
        let _large = large.filter(|_| LARGE_LIMIT <= limit).map(Large::new);
        let call = tokio::time::timeout(limit, client.follow(context_for(limit), known));
        tokio::select! {
            it = call => it.map_err(|_| PeerSilent)?.map_err(|_| PeerSilent),
            () = lost.notified() => Err(PeerSilent),
        }
    }

    /// Keeps a connection to a peer, over which the two tell each other of later configurations.
    pub(crate) async fn watch(&self, shared: &Arc<IngressShared>, address: &str) {
        // A peer that cannot be reached is passed over for a while.
        drop(self.link(shared, address).await);
    }

    fn is_suspect(&self, address: &str) -> bool {
        self.suspects.lock().get(address).is_some_and(|it| Instant::now() < it.until)
    }

    /// Takes in that a peer was silent on a connection, unless that is no longer the one in use.
    fn lose(&self, shared: &IngressShared, address: &str, lost: &Arc<Notify>, cause: &str) {
        let mut links = self.links.lock();
        if links.get(address).is_some_and(|it| Arc::ptr_eq(&it.lost, lost)) {
            links.remove(address);
            drop(links);
            self.suspect(shared, address, cause);
        }
        lost.notify_waiters();
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
        let detail = format!("peer={address} cause={cause} for_ms={}", span.as_millis());
        emit(events::PEER_SILENT, &shared.settings.instance, &detail);
    }

    /// Version of the protocol that the peer at an address speaks; 0 where it is not known.
    fn protocol_of(&self, address: &str) -> u32 {
        let known = self.known.lock();
        known.values().find(|it| it.address == address).map_or(0, |it| it.protocol)
    }

    fn trust(&self, address: &str) {
        self.suspects.lock().remove(address);
    }

    async fn link(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
    ) -> Result<(IngressPeersClient, Arc<Notify>), PeerSilent> {
        if let Some(it) = self.found_link(address) {
            return Ok(it);
        }
        let _one = self.connecting.lock().await;
        if let Some(it) = self.found_link(address) {
            return Ok(it);
        }
        let connected = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            self.suspect(shared, address, "unreachable");
            return Err(PeerSilent);
        };
        guard(&stream).map_err(|_| PeerSilent)?;
        let io = transport(codec().new_framed(stream), Cbor::default());
        let client = IngressPeersClient::new(client::Config::default(), io).spawn();
        let lost = Arc::new(Notify::new());
        let large = Arc::new(AtomicUsize::new(0));
        let link = Link { client: client.clone(), lost: lost.clone(), large: large.clone() };
        self.links.lock().insert(address.to_owned(), link);
        let watched = (client.clone(), lost.clone());
        tokio::spawn(watch(shared.clone(), address.to_owned(), watched, large));
        Ok((client, lost))
    }

    fn found_link(&self, address: &str) -> Option<(IngressPeersClient, Arc<Notify>)> {
        self.links.lock().get(address).map(|it| (it.client.clone(), it.lost.clone()))
    }
}

/// Asks a peer again and again whether it is there, until it is not.
async fn watch(
    shared: Arc<IngressShared>,
    address: String,
    (client, lost): (IngressPeersClient, Arc<Notify>),
    large: Arc<AtomicUsize>,
) {
    loop {
        tokio::time::sleep(PING).await;
        if large.load(Ordering::Acquire) != 0 {
            // An answer to a ping would stand behind it; whoever waits for it has a limit.
            continue;
        }
        let known = shared.configuration().version;
        let own_address = shared.settings.listen.peers.clone();
        let checked = async {
            match shared.peers.protocol_of(&address) {
                0 => {
                    let version = client.ping(context_for(PING_LIMIT), known, own_address).await?;
                    Ok(Standing { version, ..Standing::default() })
                }
                _ => client.check(context_for(PING_LIMIT), known, own_address).await,
            }
        };
        match tokio::time::timeout(PING_LIMIT, checked).await {
            Ok(Ok(theirs)) => {
                let theirs: Standing = theirs;
                shared.peers.trust(&address);
                shared.take_stage_times(&theirs.stage_times);
                if known < theirs.version {
                    drop(tokio::spawn(catch_up(shared.clone(), address.clone())));
                }
            }
            _ => {
                shared.peers.lose(&shared, &address, &lost, "silent");
                return;
            }
        }
    }
}

/// Has pieces made by the instance that batches them, or here if none can be reached.
pub(crate) async fn make_anywhere(
    shared: &Arc<IngressShared>,
    service: &str,
    asks: Vec<PieceAsk>,
    limit: Duration,
) -> Vec<PieceResult> {
    let count = asks.len();
    let until = Instant::now() + limit;
    while let Some(address) = shared.peers.batcher_of(service) {
        let left = until.saturating_duration_since(Instant::now());
        let made = shared.peers.make(shared, &address, service, asks.clone(), left).await;
        let Ok(mut results) = made else { continue };
        if results.iter().all(|it| *it == Err(NoResult::Unreachable)) && !results.is_empty() {
            // The peer does not know the service yet.
            break;
        }
        results.resize(count, Err(NoResult::Late));
        return results;
    }
    shared.batches.make(shared, service, asks).await
}

/// What this instance may use of its machine, as its settings state it.
pub(crate) fn own_capacity(settings: &IngressSettings) -> Capacity {
    let machine = &settings.machine;
    Capacity {
        millicores: (1000.0 * machine.cpu_share * machine.cpu_cores) as u32,
        link_mbps: machine.link_mbps as u32,
    }
}

fn context_for(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
