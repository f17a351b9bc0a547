//! View of the responsive instances: the candidates for owners of services, the sources that this instance
//! follows, and the leaders that a starting instance has to know. Cached until one of its inputs changes.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use holdpoint_core::{
    capacity::strong,
    ids::Name,
    readers::{DomainSizes, Member, Role, leaders, plan},
    subset::{hashed_weight, item_hash},
};
use holdpoint_platform::Instant;
use serde::{Deserialize, Serialize};

use super::{Peer, Peers, Sources};
use crate::ingress::peer_service::{ORIGIN_PROTOCOL, PROTOCOL, RELAY_PROTOCOL};

/// Maximum number of peers that an instance asks to relay requests. If half of all instances are cut off, one in
/// 4 billion finds no relay among so many.
const MAX_RELAYS: usize = 32;

/// An instance with enough capacity to own services.
#[derive(Clone, Debug)]
pub(super) struct Owner {
    pub(super) name: Name,
    /// Its address; `None` for this instance.
    pub(super) address: Option<String>,
    /// Its protocol version.
    pub(super) protocol: u32,
}

/// An instance that may hold the origins of streams.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    /// Hash of its name.
    pub(super) hash: u64,
    /// Its address; `None` for this instance.
    pub(super) address: Option<String>,
    pub(super) domain: Name,
    pub(super) region: Name,
}

/// Versions of the inputs of a [`View`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Stamp {
    peers: u64,
    suspects: u64,
    store_ms: u64,
    is_draining: bool,
}

/// State derived from the responsive instances.
#[derive(Debug, Default)]
pub(super) struct View {
    stamp: Stamp,
    /// When the next suspect peer is to be tried again, which changes the view.
    until: Option<Instant>,
    /// Candidates for owners among all responsive instances: those with the most capacity.
    pub(super) owners: Vec<Owner>,
    /// The same by region, for regions with responsive instances.
    pub(super) regions: HashMap<Name, Vec<Owner>>,
    pub(super) sources: Sources,
    /// Number of responsive candidates for owners, and of all candidates, responsive or not.
    pub(super) owners_reached: (usize, usize),
    /// Instances that a starting instance has to know.
    leaders: Vec<Name>,
    /// Addresses of the peers that this instance asks to relay requests, the preferred ones first.
    pub(super) relays: Vec<String>,
    /// Instances that may hold the origins of streams.
    pub(super) holders: Vec<Holder>,
}

/// What a starting instance has to know of the others.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Leaders {
    /// Instances that may own services or relay the store's state.
    pub(crate) members: Vec<(Name, Peer)>,
    /// Number of instances by failure domain.
    pub(crate) sizes: DomainSizes,
}

/// The peers that an instance asks to relay requests: those of its region first, then by rendezvous weight, so that
/// the load of instances that are cut off together spreads over all others.
fn relays(
    own: &str,
    members: &[Member<'_>],
    peer: impl Fn(&str) -> Option<(bool, String)>,
) -> Vec<String> {
    let key = item_hash(own);
    let mut ranked: Vec<(bool, Reverse<u64>, String)> = members
        .iter()
        .filter_map(|it| {
            let (is_far, address) = peer(it.name)?;
            Some((is_far, Reverse(hashed_weight(key, item_hash(it.name))), address))
        })
        .collect();
    if MAX_RELAYS < ranked.len() {
        ranked.select_nth_unstable(MAX_RELAYS);
        ranked.truncate(MAX_RELAYS);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|it| it.2).collect()
}

impl Peers {
    /// The current view. It is used for each request and each call to a peer, so it is rebuilt only after a
    /// change: the cost grows with the number of instances.
    pub(super) fn view(&self) -> Arc<View> {
        let (suspects, next) = self.links.suspects_revision();
        let stamp = Stamp {
            peers: self.revision.load(Ordering::Acquire),
            suspects,
            store_ms: self.own_store_ms.load(Ordering::Acquire),
            is_draining: self.is_draining.load(Ordering::Acquire),
        };
        let now = Instant::now();
        let view = self.view.load_full();
        if view.stamp == stamp && view.until.is_none_or(|it| now < it) {
            return view;
        }
        let view = Arc::new(View { stamp, until: next, ..self.build_view() });
        self.view.store(view.clone());
        view
    }

    fn build_view(&self) -> View {
        let known = self.known.lock();
        let own = self.own_name.as_str();
        let (is_split, own_region) = (self.topology.has_regions(), self.topology.own_region());
        let region_of = |domain: &str| self.topology.region_of(domain).unwrap_or_default();
        let in_split = |region| if is_split { region } else { Default::default() };
        let member = |name| match known.get(name) {
            None => Member {
                name,
                region: in_split(own_region),
                domain: &self.own_domain,
                capacity: self.own_capacity,
                store_ms: self.store_ms(),
            },
            Some(it) => Member {
                name,
                region: in_split(region_of(&it.domain)),
                domain: &it.domain,
                capacity: it.capacity,
                store_ms: it.store_ms,
            },
        };
        let mut members: Vec<Member<'_>> = self.responsive(&known).map(member).collect();
        members.sort_unstable_by_key(|it| it.name);
        let reported = self.reported_sizes();
        let plan = plan(own, in_split(own_region), &self.own_domain, &members, &reported);
        let addresses = |names: &[&str]| {
            names.iter().filter_map(|it| known.get(*it)).map(|it| it.address.clone()).collect()
        };
        let sources = Sources {
            is_reader: plan.role == Role::Reader,
            is_relay: plan.role == Role::Relay,
            followed: addresses(&plan.upstreams),
            readers: addresses(&plan.readers),
            read_delay: Duration::from_millis(plan.read_delay_ms),
        };
        let owners = |is_member: &dyn Fn(&str) -> bool| -> Vec<Owner> {
            let chosen = members.iter().filter(|it| is_member(it.name));
            let chosen: Vec<_> = chosen.map(|it| (it.name, it.capacity)).collect();
            let owner = |name: &str| {
                let peer = known.get(name);
                Owner {
                    name: name.to_owned(),
                    address: peer.map(|it| it.address.clone()),
                    protocol: peer.map_or(PROTOCOL, |it| it.protocol),
                }
            };
            strong(&chosen).into_iter().map(owner).collect()
        };
        let mut regions: HashMap<Name, Vec<Owner>> = HashMap::new();
        let of_members = members.iter().filter_map(|it| self.region_of(&known, it.name));
        for region in of_members.collect::<BTreeSet<_>>() {
            let is_member = |name: &str| self.region_of(&known, name) == Some(region);
            regions.insert(region.to_owned(), owners(&is_member));
        }
        let all = known.iter().map(|(name, it)| (name.as_str(), it.capacity));
        let all: Vec<_> = all.chain([(own, self.own_capacity)]).collect();
        let is_suspect_peer =
            |it: &&str| known.get(*it).is_some_and(|it| self.links.is_suspect(&it.address));
        let all = strong(&all);
        let suspects = all.iter().filter(|it| is_suspect_peer(it)).count();
        let owners_reached = (all.len() - suspects, all.len());
        let leaders = leaders(&members).into_iter().map(str::to_owned).collect();
        let relays = relays(own, &members, |name| {
            known
                .get(name)
                .filter(|it| RELAY_PROTOCOL <= it.protocol)
                .map(|it| (!self.topology.is_near(&it.domain), it.address.clone()))
        });
        let holders = members.iter().filter_map(|it| {
            let peer = known.get(it.name);
            let holds = peer.is_none_or(|it| ORIGIN_PROTOCOL <= it.protocol);
            holds.then(|| Holder {
                hash: item_hash(it.name),
                address: peer.map(|it| it.address.clone()),
                domain: it.domain.to_owned(),
                region: it.region.to_owned(),
            })
        });
        View {
            relays,
            holders: holders.collect(),
            owners: owners(&|_| true),
            regions,
            sources,
            owners_reached,
            leaders,
            ..View::default()
        }
    }

    /// Number of instances by failure domain, as received at the start; empty once the list of peers is
    /// complete.
    pub(super) fn reported_sizes(&self) -> DomainSizes {
        if self.is_complete() { DomainSizes::new() } else { self.reported_sizes.lock().clone() }
    }

    /// Sets the number of instances by failure domain, before all of them are known.
    pub(crate) fn set_reported_sizes(&self, sizes: DomainSizes) {
        *self.reported_sizes.lock() = sizes;
        self.revision.fetch_add(1, Ordering::AcqRel);
    }

    /// Whether the leaders are known, which this instance needs to choose its sources.
    pub(crate) fn knows_leaders(&self) -> bool {
        self.is_complete() || !self.reported_sizes.lock().is_empty()
    }

    /// The leaders among all instances and the number of instances by failure domain, for a starting instance.
    /// `own` is the entry of this instance.
    pub(crate) fn leaders(&self, own: Option<&Peer>) -> Leaders {
        let view = self.view();
        let known = self.known.lock();
        let mut sizes = DomainSizes::new();
        for it in known.values().chain(own) {
            *sizes.entry(it.domain.clone()).or_default() += 1;
        }
        let entry = |name: &Name| match known.get(name) {
            Some(it) => Some((name.clone(), it.clone())),
            None => own.map(|it| (name.clone(), it.clone())),
        };
        Leaders { members: view.leaders.iter().filter_map(entry).collect(), sizes }
    }
}
