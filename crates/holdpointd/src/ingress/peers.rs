//! The peers of an instance: who they are, and what they are asked: pieces from the one that batches
//! them, targets from the one that places prompts, state while the store does not answer.
//! [`super::links`] knows which of them answer.

mod calls;
mod view;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use holdpoint_core::{
    capacity::Capacity,
    confinement::Bounds,
    ids::{Millis, Name},
    readers::DomainSizes,
    subset::weight,
    topology::Topology,
};
use holdpoint_schema::ingress::{Batching, IngressSettings};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::ingress::{
    links::Links, packed::peer_hash, peer_service::CONFINES, shared::IngressShared,
};

use self::view::View;
pub(crate) use self::{calls::make_anywhere, view::Leaders};

/// How long a peer of the own region may take to choose a target; after that it is chosen here.
pub(crate) const PLACE_LIMIT: Duration = Duration::from_millis(60);

/// Among whom the owner of a service is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owners<'a> {
    /// All instances.
    Any,
    /// Those of a region.
    Of(&'a str),
}

/// Peers that know what the store says, in the order in which this instance asks them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sources {
    /// Whether this instance reads the store for others.
    pub(crate) is_reader: bool,
    /// Whether it passes on to others what readers tell.
    pub(crate) is_relay: bool,
    /// Addresses of those that it follows.
    pub(crate) asked: Vec<String>,
    /// Addresses of those that read the store.
    pub(crate) readers: Vec<String>,
    /// How long this instance waits, where none of them has read it, before it reads by itself.
    pub(crate) patience: Duration,
}

/// A peer, as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    /// Its round trip to the store in milliseconds, as it measured it at its start.
    #[serde(default)]
    pub(crate) store_ms: Option<Millis>,
}

impl Peer {
    /// Its entry in the store: its address, the life of its process, its processor in thousandths of a
    /// core, its link in Mbit/s, the protocol it speaks, its failure domain and its round trip to the
    /// store in milliseconds, with blanks between.
    pub(crate) fn entry(&self) -> String {
        let Peer { address, life, capacity, protocol, domain, store_ms } = self;
        let Capacity { millicores, link_mbps } = capacity;
        let store_ms = store_ms.unwrap_or(0);
        format!("{address} {life} {millicores} {link_mbps} {protocol} {domain} {store_ms}")
    }

    /// Reads an entry. Those of earlier versions end after the life of the process or later.
    pub(crate) fn parse(entry: &[u8]) -> Option<Peer> {
        let mut fields = std::str::from_utf8(entry).ok()?.split(' ');
        // An entry of another writer must not become an instance that others wait for.
        let address = fields.next().filter(|it| it.parse::<SocketAddr>().is_ok())?.to_owned();
        let life = fields.next().unwrap_or_default().to_owned();
        // What is not stated counts as nothing, so that those who state more are preferred.
        let mut figure = || fields.next().and_then(|it| it.parse().ok()).unwrap_or(0);
        let capacity = Capacity { millicores: figure(), link_mbps: figure() };
        let protocol = figure();
        let domain = fields.next().unwrap_or_default().to_owned();
        let store_ms = fields.next().and_then(|it| it.parse().ok()).filter(|it| *it != 0);
        Some(Peer { address, life, capacity, protocol, domain, store_ms })
    }
}

/// The peers of an instance.
pub(crate) struct Peers {
    own_name: Name,
    own_capacity: Capacity,
    own_domain: Name,
    topology: Topology,
    batching: Batching,
    seeds: Vec<String>,
    is_seed: bool,
    known: Mutex<HashMap<Name, Peer>>,
    /// Sum of the hashes of all that are known.
    digest: AtomicU64,
    /// Rises whenever a peer changes.
    revision: AtomicU64,
    view: ArcSwap<View>,
    pub(crate) links: Links,
    /// Round trip of this instance to the store, in milliseconds; 0 where it was not measured.
    own_store_ms: AtomicU64,
    /// Whether the peers were read from the store, or told by one who knows them.
    were_read: AtomicBool,
    /// Number of instances by failure domain, as told at the start.
    told_sizes: Mutex<DomainSizes>,
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
            own_domain: settings.domain.clone(),
            topology: Topology::new(&settings.region, settings.regions.clone()),
            batching: settings.decisions.batching,
            is_seed: settings.seeds.contains(&settings.listen.peers),
            seeds: settings.seeds.iter().filter(is_other).cloned().collect(),
            known: Mutex::default(),
            digest: AtomicU64::new(0),
            revision: AtomicU64::new(1),
            view: ArcSwap::default(),
            links: Links::default(),
            own_store_ms: AtomicU64::new(0),
            were_read: AtomicBool::new(false),
            told_sizes: Mutex::default(),
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
        if known.get(name) == peer.as_ref() {
            return false;
        }
        let hash = |it: Option<&Peer>| it.map_or(0, |it| peer_hash(name, it));
        let (before, after) = (hash(known.get(name)), hash(peer.as_ref()));
        let digest = self.digest.load(Ordering::Acquire).wrapping_sub(before).wrapping_add(after);
        self.digest.store(digest, Ordering::Release);
        self.revision.fetch_add(1, Ordering::AcqRel);
        let Some(peer) = peer else { return known.remove(name).is_some() };
        // Whoever was silent at this address has started anew.
        self.links.trust(&peer.address);
        known.insert(name.to_owned(), peer);
        true
    }

    /// Sum of the hashes of all peers, this instance left out.
    pub(crate) fn digest(&self) -> u64 {
        self.digest.load(Ordering::Acquire)
    }

    /// All peers by name, this instance left out.
    pub(crate) fn all(&self) -> Vec<(Name, Peer)> {
        self.known.lock().iter().map(|(name, it)| (name.clone(), it.clone())).collect()
    }

    /// Number of instances, this one included.
    pub(crate) fn instance_count(&self) -> usize {
        let told = self.told_sizes().values().sum();
        (self.known.lock().len() + 1).max(told)
    }

    /// Takes in that the peers are known as the store has them.
    pub(crate) fn note_read(&self) {
        if !self.were_read.swap(true, Ordering::AcqRel) {
            self.revision.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Whether the peers are known as the store has them, or had them at some time.
    pub(crate) fn were_read(&self) -> bool {
        self.were_read.load(Ordering::Acquire)
    }

    /// Addresses of seeds, this instance left out.
    pub(crate) fn seeds(&self) -> &[String] {
        &self.seeds
    }

    /// Whether others have this instance's address as a seed, as far as it can tell from its own.
    pub(crate) fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Takes in the round trip of this instance to the store.
    pub(crate) fn note_store_trip(&self, ms: Millis) {
        self.own_store_ms.store(ms, Ordering::Release);
    }

    /// Round trip of this instance to the store, in milliseconds.
    pub(crate) fn store_ms(&self) -> Option<Millis> {
        Some(self.own_store_ms.load(Ordering::Acquire)).filter(|it| *it != 0)
    }

    /// Whom this instance asks for what the store says.
    pub(crate) fn sources(&self) -> Sources {
        self.view().sources.clone()
    }

    /// Addresses of all peers and seeds: those that answer first, and of these the near ones.
    pub(crate) fn to_ask(&self, topology: &Topology) -> Vec<String> {
        let mut is_far: HashMap<String, bool> =
            self.seeds.iter().map(|it| (it.clone(), true)).collect();
        let known = self.known.lock();
        is_far.extend(known.values().map(|it| (it.address.clone(), !topology.is_near(&it.domain))));
        drop(known);
        let mut addresses: Vec<(String, bool)> = is_far.into_iter().collect();
        addresses.sort_by_cached_key(|(address, is_far)| {
            (self.links.is_suspect(address), *is_far, weight(&self.own_name, address))
        });
        addresses.into_iter().map(|it| it.0).collect()
    }

    /// Names of the instances that work for others, this one included unless it is leaving.
    fn live<'a>(&'a self, known: &'a HashMap<Name, Peer>) -> impl Iterator<Item = &'a str> {
        let others = known.iter().filter(|it| !self.links.is_suspect(&it.1.address));
        let own = Some(self.own_name.as_str()).filter(|_| !self.is_leaving.load(Ordering::Acquire));
        others.map(|it| it.0.as_str()).chain(own)
    }

    /// The peer that batches a service's pieces, and places its prompts, among some instances; `None`
    /// where this instance does.
    pub(crate) fn batcher_of(&self, owners: Owners<'_>, service: &str) -> Option<String> {
        if self.batching == Batching::Own {
            return None;
        }
        self.owner_of(owners, service)
    }

    /// Address of the peer that does under a key what one of some instances does for all; `None` where
    /// this instance does.
    pub(crate) fn owner_of(&self, owners: Owners<'_>, key: &str) -> Option<String> {
        self.owner_since(0, owners, key)
    }

    /// The same among those that speak a version of the protocol or a later one.
    pub(crate) fn owner_since(
        &self,
        protocol: u32,
        owners: Owners<'_>,
        key: &str,
    ) -> Option<String> {
        let view = self.view();
        let among = match owners {
            Owners::Any => &view.owners[..],
            Owners::Of(region) => view.regions.get(region).map_or(&[][..], |it| it.as_slice()),
        };
        let among = among.iter().filter(|it| protocol <= it.protocol);
        among.max_by_key(|it| (weight(key, &it.name), &it.name))?.address.clone()
    }

    /// Whether the peer at an address stands within some bounds, and keeps work there.
    pub(crate) fn is_confined_to(&self, address: &str, within: &Bounds) -> bool {
        let known = self.known.lock();
        let keeps = |it: &Peer| CONFINES <= it.protocol && within.allows(&it.domain);
        let mut its = known.values().filter(|it| it.address == address).peekable();
        its.peek().is_some() && its.all(keeps)
    }

    /// Of the instances that may do for others what one does for all, how many answer as far as is known, and
    /// how many there are. Others may still reach those that do not.
    pub(crate) fn owners_reached(&self) -> (usize, usize) {
        self.view().owners_reached
    }

    /// Whether this instance is about to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Whether an instance that answers stands in a region.
    pub(crate) fn has_live_in(&self, region: &str) -> bool {
        self.view().regions.contains_key(region)
    }

    /// Number of instances in this one's region, itself included.
    pub(crate) fn near_count(&self) -> usize {
        let known = self.known.lock();
        1 + known.values().filter(|it| self.topology.is_near(&it.domain)).count()
    }

    /// Region of an instance; `None` where it is not known.
    fn region_of<'a>(&'a self, known: &HashMap<Name, Peer>, name: &str) -> Option<&'a str> {
        match known.get(name) {
            Some(it) => self.topology.region_of(&it.domain),
            None => Some(self.topology.own_region()),
        }
    }

    /// Whether a peer is known to stand in another region.
    pub(crate) fn is_far(&self, address: &str) -> bool {
        let known = self.known.lock();
        let found = known.values().find(|it| it.address == address);
        let domain = found.map(|it| it.domain.as_str()).filter(|it| !it.is_empty());
        domain.is_some_and(|it| !self.topology.is_near(it))
    }

    /// Address of an instance that works for others, this one left out; `None` where it does not.
    pub(crate) fn live_address(&self, name: &str) -> Option<String> {
        let address = self.known.lock().get(name).map(|it| it.address.clone())?;
        (!self.links.is_suspect(&address)).then_some(address)
    }

    /// Whether a life of an instance works for others, this one left out.
    pub(crate) fn is_life(&self, name: &str, life: &str) -> bool {
        let known = self.known.lock();
        known.get(name).is_some_and(|it| it.life == life && !self.links.is_suspect(&it.address))
    }

    /// Keeps a connection to a peer, over which the two tell each other of later configurations.
    pub(crate) async fn watch(&self, shared: &Arc<IngressShared>, address: &str) {
        // A peer that cannot be reached is passed over for a while.
        drop(self.links.get(shared, address).await);
    }

    /// Version of the protocol that the peer at an address speaks; 0 where it is not known.
    pub(crate) fn protocol_of(&self, address: &str) -> u32 {
        let known = self.known.lock();
        known.values().find(|it| it.address == address).map_or(0, |it| it.protocol)
    }
}

/// What this instance may use of its machine, as its settings state it.
pub(crate) fn own_capacity(settings: &IngressSettings) -> Capacity {
    let machine = &settings.machine;
    Capacity {
        millicores: (1000.0 * machine.cpu_share * machine.cpu_cores) as u32,
        link_mbps: machine.link_mbps as u32,
    }
}
