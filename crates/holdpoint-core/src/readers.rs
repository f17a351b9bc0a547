//! Selection of the instances that read the platform's store, and of the relays that distribute it.
//!
//! The rate of store reads is limited for all instances together, so a few readers read it, relays follow
//! the readers, and all others follow a source, which is a reader or a relay. Instances with the same
//! membership view select the same sources without coordination; differing views only add readers. Large
//! failure domains have relays of their own, so an update crosses their boundary once per relay.
//!
//! Links between regions are narrow, so an update crosses them once per region: a region far from the store
//! has a gateway, which follows a reader, and a standby, which asks a reader if the gateway does not answer.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    capacity::{Capacity, strong},
    ids::{Millis, Name},
    subset::{subset, weight},
};

/// Number of readers; two may fail at once.
const READER_COUNT: usize = 3;
/// Number of instances of a far region that may ask across the link: the gateway and its standby.
const GATEWAY_COUNT: usize = 2;
/// Number of instances for each source.
const FOLLOWERS_PER_SOURCE: usize = 24;
/// Least number of instances for a failure domain to have sources of its own: enough for two sources, so that
/// one is left if the other fails.
const LARGE_DOMAIN_INSTANCES: usize = 2 * FOLLOWERS_PER_SOURCE;
/// Key of the rendezvous hashing that selects readers, relays and gateways.
const SELECTION_KEY: &str = "reader";
/// Longest time that a source may take to send a configuration to all its followers, in milliseconds: a tenth of
/// the 5 s, and a quarter of the 2 s, within which a change has to be in force.
const CONFIGURATION_SEND_MS: u64 = 500;
/// Round trip to the store, beyond that of the nearest region, above which a region is far, in milliseconds:
/// failure domains of one region are a few milliseconds apart, regions some tens.
const FAR_REGION_MS: Millis = 15;
/// Longest time that a follower waits before it reads the store itself because none of its sources has, in
/// milliseconds: well below the time limit for applying a configuration change.
const MAX_READ_DELAY_MS: Millis = 1500;
/// Part of that time for each instance of the region, in milliseconds: a strong reader applies 3,000 targets in
/// some 100 ms, and a follower asks once in 250 ms.
const READ_DELAY_PER_INSTANCE_MS: Millis = 5;

/// Properties of an instance that determine its role.
#[derive(Clone, Copy, Debug, Default)]
pub struct Member<'a> {
    /// Name.
    pub name: &'a str,
    /// Region that it is in; empty if unknown.
    pub region: &'a str,
    /// Failure domain that it is in; empty if unknown.
    pub domain: &'a str,
    /// Machine capacity available to it.
    pub capacity: Capacity,
    /// Its measured round trip to the store, in milliseconds.
    pub store_ms: Option<Millis>,
}

/// Role of an instance in the distribution of the store's contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads the store.
    Reader,
    /// Passes updates of readers on to followers.
    Relay,
    /// Receives updates and passes none on.
    Follower,
}

/// Role of an instance and the instances that it follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan<'a> {
    /// Its role.
    pub role: Role,
    /// Instances that it follows, in the order in which it asks them.
    pub upstreams: Vec<&'a str>,
    /// Instances that read the store, in the order in which it asks them.
    pub readers: Vec<&'a str>,
    /// How long it waits, in milliseconds, before it reads the store itself because none of the instances that
    /// it follows has read it.
    pub read_delay_ms: Millis,
}

/// Members that may be selected as readers, relays or owners of shared work: the only ones that a starting
/// instance has to know.
pub fn leaders<'a>(members: &[Member<'a>]) -> Vec<&'a str> {
    let regions: BTreeSet<&str> = members.iter().map(|it| it.region).collect();
    let of_region = |region: &str| -> Vec<Member<'a>> {
        members.iter().filter(|it| it.region == region).copied().collect()
    };
    regions.into_iter().flat_map(|it| candidates(&of_region(it))).collect()
}

/// Number of instances by failure domain.
pub type DomainSizes = BTreeMap<Name, usize>;

/// Decides the role of an instance and whom it follows among `members`, which include it unless it is draining.
/// `sizes` holds the true sizes of the failure domains if `members` are only the leaders.
pub fn plan<'a>(
    own: &str,
    own_region: &str,
    own_domain: &str,
    members: &[Member<'a>],
    sizes: &DomainSizes,
) -> Plan<'a> {
    let near_store = regions_near_store(members);
    let of_region = |region: &str| -> Vec<Member<'a>> {
        members.iter().filter(|it| it.region == region).copied().collect()
    };
    let all_readers = near_store.iter().flat_map(|it| readers(&candidates(&of_region(it))));
    let all_readers: Vec<&str> = all_readers.collect();
    let near = of_region(own_region);
    let candidates = candidates(&near);
    let sources = Sources::new(&near, &candidates, sizes);
    let readers = order_for(own, &all_readers);
    let (role, upstreams) = if near_store.contains(own_region) {
        let near_readers = self::readers(&candidates);
        match () {
            () if near_readers.contains(&own) => (Role::Reader, order_for(own, &near_readers)),
            () if sources.has(own) => (Role::Relay, order_for(own, &near_readers)),
            () => (Role::Follower, sources.order_for(own, own_domain)),
        }
    } else {
        let gateways = gateways(&candidates);
        match gateways.iter().position(|it| *it == own) {
            // The gateway asks across the link; its standby does so only if the gateway does not answer.
            Some(rank) => (Role::Relay, [&gateways[..rank], &readers[..]].concat()),
            None if sources.has(own) => (Role::Relay, gateways),
            None => (Role::Follower, sources.order_for(own, own_domain)),
        }
    };
    let read_delay_ms = if role == Role::Follower { read_delay(own, near.len()) } else { 0 };
    Plan { role, upstreams, readers, read_delay_ms }
}

/// Regions about as near to the store as the nearest one. A region without a measurement counts as near.
fn regions_near_store<'a>(members: &[Member<'a>]) -> BTreeSet<&'a str> {
    let mut shortest: BTreeMap<&str, Option<Millis>> = BTreeMap::new();
    for it in members {
        let of_region = shortest.entry(it.region).or_default();
        *of_region = [*of_region, it.store_ms].into_iter().flatten().min();
    }
    let best = shortest.values().flatten().min().copied().unwrap_or(0);
    let is_near = |it: Option<Millis>| it.is_none_or(|it| it <= best + FAR_REGION_MS);
    shortest.into_iter().filter(|it| is_near(it.1)).map(|it| it.0).collect()
}

/// Members that may be sources: the strong ones, or all members if there are too few of these. A link of 10 Mbit/s
/// takes a second or more to send the list of 3,000 targets to 24 followers.
fn candidates<'a>(members: &[Member<'a>]) -> Vec<&'a str> {
    let capacities: Vec<_> = members.iter().map(|it| (it.name, it.capacity)).collect();
    let strong = strong(&capacities);
    if READER_COUNT <= strong.len() {
        strong
    } else {
        capacities.into_iter().map(|it| it.0).collect()
    }
}

/// The readers and relays of a region.
struct Sources<'a> {
    /// Sources that any instance may follow.
    common: Vec<&'a str>,
    /// Sources of the failure domains that have their own.
    of_domains: BTreeMap<&'a str, Vec<&'a str>>,
}

impl<'a> Sources<'a> {
    fn new(members: &[Member<'a>], candidates: &[&'a str], reported: &DomainSizes) -> Sources<'a> {
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        members.iter().for_each(|it| *sizes.entry(it.domain).or_default() += 1);
        for (domain, size) in &mut sizes {
            *size = reported.get(*domain).copied().unwrap_or(0).max(*size);
        }
        let mut of_domains = BTreeMap::new();
        let mut others = sizes.values().sum::<usize>();
        let is_large = |it: &(&str, usize)| !it.0.is_empty() && LARGE_DOMAIN_INSTANCES <= it.1;
        for (domain, size) in sizes.into_iter().filter(is_large) {
            let is_candidate =
                |it: &&Member<'_>| it.domain == domain && candidates.contains(&it.name);
            let found: Vec<&str> = members.iter().filter(is_candidate).map(|it| it.name).collect();
            let found = select(&found, size / FOLLOWERS_PER_SOURCE);
            if !found.is_empty() {
                of_domains.insert(domain, found);
                others -= size;
            }
        }
        Sources { common: select(candidates, source_count(others)), of_domains }
    }

    fn has(&self, name: &str) -> bool {
        self.common.contains(&name) || self.of_domains.values().any(|it| it.contains(&name))
    }

    /// Sources in the order in which an instance asks them, those of its failure domain first.
    fn order_for(&self, own: &str, domain: &str) -> Vec<&'a str> {
        let near = self.of_domains.get(domain).map_or(&[][..], |it| it.as_slice());
        let is_far = |it: &&str| !near.contains(it);
        let far: Vec<&str> = self.common.iter().copied().filter(is_far).collect();
        [order_for(own, near), order_for(own, &far)].concat()
    }
}

/// Whether a source with a link of `link_mbps` Mbit/s sends its followers a configuration of `bytes` bytes,
/// compressed. If not, each follower reads it from the store: with 985 instances and 110 kB that is 108 MB for each
/// change, and two changes within a second keep readers from the store for seconds.
pub fn sends_configuration(bytes: usize, link_mbps: u32) -> bool {
    let bits = 8 * (bytes * FOLLOWERS_PER_SOURCE) as u64;
    // 1 Mbit/s is 1000 bits per millisecond.
    bits <= CONFIGURATION_SEND_MS * 1000 * u64::from(link_mbps)
}

fn source_count(members: usize) -> usize {
    members.div_ceil(FOLLOWERS_PER_SOURCE).max(READER_COUNT)
}

/// Time in milliseconds that a follower waits before it reads the store itself. It is spread over the
/// followers, so that their reads do not coincide and later ones can use the result of an earlier one.
fn read_delay(own: &str, members: usize) -> Millis {
    let max_delay = MAX_READ_DELAY_MS.min(READ_DELAY_PER_INSTANCE_MS * members as Millis);
    weight("patience", own) % max_delay.max(1)
}

/// Selects the members that read the store, in the order of `members`.
pub fn readers<'a>(members: &[&'a str]) -> Vec<&'a str> {
    select(members, READER_COUNT)
}

/// Selects the members that the others follow, including the readers, in the order of `members`.
pub fn sources<'a>(members: &[&'a str]) -> Vec<&'a str> {
    select(members, source_count(members.len()))
}

/// Selects the gateway of a region that is far from the store, and its standby.
fn gateways<'a>(members: &[&'a str]) -> Vec<&'a str> {
    let mut gateways = select(members, GATEWAY_COUNT);
    gateways.sort_by_key(|it| std::cmp::Reverse(weight(SELECTION_KEY, it)));
    gateways
}

fn select<'a>(members: &[&'a str], count: usize) -> Vec<&'a str> {
    let indices = subset(SELECTION_KEY, members.iter().copied(), count);
    indices.into_iter().map(|it| members[it]).collect()
}

/// Sources without `own` in the order in which `own` asks them. The order differs by instance, so that
/// the followers of a failed source spread over the others.
pub fn order_for<'a>(own: &str, sources: &[&'a str]) -> Vec<&'a str> {
    let mut others: Vec<&str> = sources.iter().copied().filter(|it| *it != own).collect();
    others.sort_by_key(|it| std::cmp::Reverse(weight(own, it)));
    others
}
