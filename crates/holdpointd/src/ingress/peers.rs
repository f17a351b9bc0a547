//! The peers of an instance, and the calls to them: work items go to the peer that batches a service, prompts to
//! the one that chooses targets; state comes from peers that follow or read the store.
//! [`super::links`] tracks which peers respond.

mod calls;
mod unreached;
mod view;

use std::{
    collections::{BTreeMap, HashMap},
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
    directory::is_connectable,
    ids::{Millis, Name},
    readers::DomainSizes,
    stream_versions::{StreamKey, holders},
    subset::weight,
    topology::Topology,
};
use holdpoint_schema::ingress::{Batching, IngressSettings};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::ingress::{
    links::Links, packed::peer_hash, peer_service::CONFINEMENT_PROTOCOL, shared::IngressShared,
};

pub(crate) use self::{calls::process_anywhere, view::Leaders};
use self::{
    unreached::Unreached,
    view::{Holder, Owner, View},
};

/// Time limit for a peer of the same region to choose a target; after that, this instance chooses it.
pub(crate) const TARGET_CHOICE_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest round trip to the store that an entry may state, in milliseconds.
const MAX_STORE_MS: Millis = 60_000;

/// Set of instances that the owner of a service is chosen from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owners<'a> {
    /// All instances.
    Any,
    /// Instances of one region.
    Region(&'a str),
}

/// Sources of the store's state for this instance, in order of preference, and its own role.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sources {
    /// Whether this instance reads the store for the others.
    pub(crate) is_reader: bool,
    /// Whether this instance relays updates from readers to others.
    pub(crate) is_relay: bool,
    /// Addresses of the peers that it follows.
    pub(crate) followed: Vec<String>,
    /// Addresses of the peers that read the store.
    pub(crate) readers: Vec<String>,
    /// Delay before this instance reads the store itself if none of the peers that it follows has read it.
    pub(crate) read_delay: Duration,
}

/// A peer as described by its entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// IP address and port of its RPC server.
    pub(crate) address: String,
    /// Id of the incarnation of its process.
    #[serde(rename = "life")]
    pub(crate) incarnation: String,
    /// Processor and link capacity that it may use.
    #[serde(default)]
    pub(crate) capacity: Capacity,
    /// Version of the protocol that it speaks.
    #[serde(default)]
    pub(crate) protocol: u32,
    /// Its failure domain; empty if not stated.
    #[serde(default)]
    pub(crate) domain: Name,
    /// Its round-trip time to the store in milliseconds, measured at its start.
    #[serde(default)]
    pub(crate) store_ms: Option<Millis>,
}

impl Peer {
    /// Formats its entry in the store: address, id of the incarnation, processor in millicores, link in
    /// Mbit/s, protocol version, failure domain and round-trip time to the store in milliseconds (0 if not
    /// measured), separated by spaces.
    pub(crate) fn entry(&self) -> String {
        let Peer { address, incarnation: life, capacity, protocol, domain, store_ms } = self;
        let Capacity { millicores, link_mbps } = capacity;
        let store_ms = store_ms.unwrap_or(0);
        format!("{address} {life} {millicores} {link_mbps} {protocol} {domain} {store_ms}")
    }

    /// Parses an entry; `None` without a valid address. Entries of earlier versions lack fields at the end.
    pub(crate) fn parse(entry: &[u8]) -> Option<Peer> {
        let mut fields = std::str::from_utf8(entry).ok()?.split(' ');
        // A foreign entry must not become an instance that others wait for.
        let is_address = |it: &&str| it.parse().is_ok_and(is_connectable);
        let address = fields.next().filter(is_address)?.to_owned();
        let life = fields.next().unwrap_or_default().to_owned();
        // A missing number counts as 0, so that instances that state it are preferred.
        let mut number = || fields.next().and_then(|it| it.parse().ok()).unwrap_or(0);
        let capacity = Capacity { millicores: number(), link_mbps: number() };
        let protocol = number();
        let domain = fields.next().unwrap_or_default().to_owned();
        let store_ms = fields.next().and_then(|it| it.parse().ok());
        let store_ms = store_ms.filter(|it| (1..=MAX_STORE_MS).contains(it));
        Some(Peer { address, incarnation: life, capacity, protocol, domain, store_ms })
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
    /// Sum of the hashes of all known peers.
    digest: AtomicU64,
    /// Increases whenever a peer or another input of the view changes.
    revision: AtomicU64,
    view: ArcSwap<View>,
    pub(crate) links: Links,
    /// Round-trip time of this instance to the store, in milliseconds; 0 if not measured.
    own_store_ms: AtomicU64,
    /// Whether the peers were read from the store, or received from an instance that knows them.
    were_read: AtomicBool,
    /// Number of instances by failure domain, as received at the start.
    reported_sizes: Mutex<DomainSizes>,
    /// Whether this instance is draining and no longer owns services.
    is_draining: AtomicBool,
    /// Services that instances do not reach.
    unreached: Unreached,
}

impl Peers {
    /// Creates the state of an instance that knows no peers yet.
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
            reported_sizes: Mutex::default(),
            is_draining: AtomicBool::new(false),
            unreached: Unreached::default(),
        }
    }

    /// Marks this instance as draining.
    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Release);
    }

    /// Sets a peer, or removes it where `peer` is `None`; returns whether anything changed.
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
        // A new or changed entry shows a restart, so earlier timeouts at this address no longer count.
        self.links.clear_suspicion(&peer.address);
        known.insert(name.to_owned(), peer);
        true
    }

    /// Sum of the hashes of all peers, without this instance.
    pub(crate) fn digest(&self) -> u64 {
        self.digest.load(Ordering::Acquire)
    }

    /// All peers by name, without this instance.
    pub(crate) fn all(&self) -> Vec<(Name, Peer)> {
        self.known.lock().iter().map(|(name, it)| (name.clone(), it.clone())).collect()
    }

    /// Number of instances, including this one.
    pub(crate) fn instance_count(&self) -> usize {
        let reported = self.reported_sizes().values().sum();
        (self.known.lock().len() + 1).max(reported)
    }

    /// Records that the list of peers is complete: read from the store, or received from an instance that knows
    /// it.
    pub(crate) fn mark_complete(&self) {
        if !self.were_read.swap(true, Ordering::AcqRel) {
            self.revision.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Whether the list of peers has been complete once. It may be outdated.
    pub(crate) fn is_complete(&self) -> bool {
        self.were_read.load(Ordering::Acquire)
    }

    /// Addresses of the seeds, without this instance.
    pub(crate) fn seeds(&self) -> &[String] {
        &self.seeds
    }

    /// Whether this instance is among the seeds of its own settings.
    pub(crate) fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Sets the round-trip time of this instance to the store, in milliseconds.
    pub(crate) fn set_store_ms(&self, ms: Millis) {
        self.own_store_ms.store(ms, Ordering::Release);
    }

    /// Round-trip time of this instance to the store, in milliseconds; `None` if not measured.
    pub(crate) fn store_ms(&self) -> Option<Millis> {
        Some(self.own_store_ms.load(Ordering::Acquire)).filter(|it| *it != 0)
    }

    /// The peers that this instance gets the store's state from.
    pub(crate) fn sources(&self) -> Sources {
        self.view().sources.clone()
    }

    /// Addresses of all peers and seeds: responsive ones first, then those of the same region. Seeds that are
    /// not known as peers count as remote.
    pub(crate) fn addresses(&self, topology: &Topology) -> Vec<String> {
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

    /// Names of the responsive instances, including this one unless it is draining.
    fn responsive<'a>(&'a self, known: &'a HashMap<Name, Peer>) -> impl Iterator<Item = &'a str> {
        let others = known.iter().filter(|it| !self.links.is_suspect(&it.1.address));
        let own =
            Some(self.own_name.as_str()).filter(|_| !self.is_draining.load(Ordering::Acquire));
        others.map(|it| it.0.as_str()).chain(own)
    }

    /// Address of the peer among `owners` that batches a service's work items and chooses targets for its
    /// prompts; `None` if this instance does.
    pub(crate) fn batcher_of(&self, owners: Owners<'_>, service: &str) -> Option<String> {
        if self.batching == Batching::Own {
            return None;
        }
        // An instance that does not reach the service would decide for all instances by what it sees of its own cut.
        let reaches = |it: &Owner| !self.unreached.contains(it.address.as_deref(), service);
        let owner = self.choose_owner(owners, service, reaches);
        owner.or_else(|| self.choose_owner(owners, service, |_| true))?
    }

    /// Address of the owner of a key among `owners`, chosen by rendezvous hashing; `None` if it is this
    /// instance.
    pub(crate) fn owner_of(&self, owners: Owners<'_>, key: &str) -> Option<String> {
        self.owner_with_protocol(0, owners, key)
    }

    /// Like [`Peers::owner_of`], among instances with at least the given protocol version.
    pub(crate) fn owner_with_protocol(
        &self,
        protocol: u32,
        owners: Owners<'_>,
        key: &str,
    ) -> Option<String> {
        self.choose_owner(owners, key, |it| protocol <= it.protocol)?
    }

    /// Address of the owner of a key among the candidates, `None` inside if it is this instance.
    fn choose_owner(
        &self,
        owners: Owners<'_>,
        key: &str,
        is_candidate: impl Fn(&Owner) -> bool,
    ) -> Option<Option<String>> {
        let view = self.view();
        let candidates = match owners {
            Owners::Any => &view.owners[..],
            Owners::Region(region) => view.regions.get(region).map_or(&[][..], |it| it.as_slice()),
        };
        let candidates = candidates.iter().filter(|it| is_candidate(it));
        let owner = candidates.max_by_key(|it| (weight(key, &it.name), &it.name))?;
        Some(owner.address.clone())
    }

    /// Records the services that the peer at an address does not reach.
    pub(crate) fn set_unreached(&self, address: &str, services: Vec<Name>) {
        self.unreached.set(address, services);
    }

    /// Records the services that this instance does not reach.
    pub(crate) fn set_own_unreached(&self, services: Vec<Name>) {
        self.unreached.set_own(services);
    }

    /// Services that this instance does not reach.
    pub(crate) fn own_unreached(&self) -> Vec<Name> {
        self.unreached.own()
    }

    /// Addresses of the peers that can relay requests, in the order in which this instance asks them.
    pub(crate) fn relays(&self) -> Vec<String> {
        self.view().relays.clone()
    }

    /// Addresses of the peers that are told the origin of a stream of this instance. They are in its region, and in
    /// other failure domains as far as possible.
    pub(crate) fn holders_to_tell(&self, key: StreamKey, count: usize) -> Vec<String> {
        let view = self.view();
        let own = view.holders.iter().find(|it| it.address.is_none());
        let own_region = own.map_or("", |it| it.region.as_str());
        let others = view.holders.iter().filter(|it| it.address.is_some());
        let near: Vec<&Holder> = others.filter(|it| it.region == own_region).collect();
        chosen_holders(key, &near, Some(&self.own_domain), count)
    }

    /// Addresses of the peers that are asked for the origin of a stream, in each region.
    pub(crate) fn holders_to_ask(&self, key: StreamKey, count: usize) -> Vec<String> {
        let view = self.view();
        let mut regions: BTreeMap<&str, Vec<&Holder>> = BTreeMap::new();
        for it in &view.holders {
            regions.entry(&it.region).or_default().push(it);
        }
        regions.values().flat_map(|it| chosen_holders(key, it, None, count)).collect()
    }

    /// Whether the peer at an address is inside these bounds and keeps confined work in its regions.
    pub(crate) fn is_confined_to(&self, address: &str, within: &Bounds) -> bool {
        let known = self.known.lock();
        let keeps = |it: &Peer| CONFINEMENT_PROTOCOL <= it.protocol && within.allows(&it.domain);
        let mut peers = known.values().filter(|it| it.address == address).peekable();
        peers.peek().is_some() && peers.all(keeps)
    }

    /// Number of responsive instances among those that may be owners, and number of all of these. Unresponsive
    /// ones may still be reachable by other instances.
    pub(crate) fn owners_reached(&self) -> (usize, usize) {
        self.view().owners_reached
    }

    /// Whether this instance is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Whether a region has a responsive instance.
    pub(crate) fn has_responsive_in(&self, region: &str) -> bool {
        self.view().regions.contains_key(region)
    }

    /// Number of instances in the region of this instance, including itself.
    pub(crate) fn own_region_count(&self) -> usize {
        let known = self.known.lock();
        1 + known.values().filter(|it| self.topology.is_near(&it.domain)).count()
    }

    /// Region of a peer, or of this instance for a name that is not a peer's; `None` if the domain has no
    /// known region.
    fn region_of<'a>(&'a self, known: &HashMap<Name, Peer>, name: &str) -> Option<&'a str> {
        match known.get(name) {
            Some(it) => self.topology.region_of(&it.domain),
            None => Some(self.topology.own_region()),
        }
    }

    /// Whether a peer is known to be in another region.
    pub(crate) fn is_far(&self, address: &str) -> bool {
        let known = self.known.lock();
        let found = known.values().find(|it| it.address == address);
        let domain = found.map(|it| it.domain.as_str()).filter(|it| !it.is_empty());
        domain.is_some_and(|it| !self.topology.is_near(it))
    }

    /// Address of a peer by name; `None` if it is unknown or unresponsive.
    pub(crate) fn responsive_address(&self, name: &str) -> Option<String> {
        let address = self.known.lock().get(name).map(|it| it.address.clone())?;
        (!self.links.is_suspect(&address)).then_some(address)
    }

    /// Whether this is the known incarnation of a peer and responsive.
    pub(crate) fn is_responsive_incarnation(&self, name: &str, incarnation: &str) -> bool {
        let known = self.known.lock();
        known
            .get(name)
            .is_some_and(|it| it.incarnation == incarnation && !self.links.is_suspect(&it.address))
    }

    /// Opens a connection to a peer, or uses the one that is open. Its health checks exchange the versions of
    /// the configuration.
    pub(crate) async fn connect(&self, shared: &Arc<IngressShared>, address: &str) {
        // The links mark an unreachable peer as suspect.
        drop(self.links.get(shared, address).await);
    }

    /// Protocol version of the peer at an address; 0 if the peer is unknown.
    pub(crate) fn protocol_of(&self, address: &str) -> u32 {
        let known = self.known.lock();
        known.values().find(|it| it.address == address).map_or(0, |it| it.protocol)
    }
}

fn chosen_holders(
    key: StreamKey,
    candidates: &[&Holder],
    avoided: Option<&str>,
    count: usize,
) -> Vec<String> {
    let ranked = candidates.iter().map(|it| (it.hash, it.domain.as_str()));
    let chosen = holders(key, ranked, avoided, count);
    chosen.into_iter().filter_map(|it| candidates[it].address.clone()).collect()
}

/// Capacity that this instance may use of its machine, according to its settings.
pub(crate) fn own_capacity(settings: &IngressSettings) -> Capacity {
    let machine = &settings.machine;
    Capacity {
        millicores: (1000.0 * machine.cpu_share * machine.cpu_cores) as u32,
        link_mbps: machine.link_mbps as u32,
    }
}
