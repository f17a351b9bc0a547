//! Which instances read the platform's store for all, and which pass on what they have read.
//!
//! Every call to the store costs, and its rate is bounded for all instances together. So a few
//! instances read it and the others follow them. One reader's link does not carry the news to
//! hundreds, so relays stand between: they follow a reader, and the others follow any of the sources,
//! which are the readers and the relays. All who know the same members choose the same ones, without
//! a message; where their views differ, more instances read for a while.
//!
//! In a fleet whose failure domains have hundreds of instances each, relays stand in every such domain, and the
//! others there follow these: a piece of news crosses the boundary of a domain once a relay, not once an
//! instance.
//!
//! Regions are joined by thin links, so state crosses such a link once a region: a region far from the
//! store has no readers but a head, which follows a reader, and a standby, which follows the head and
//! asks a reader only where the head does not answer. All others stay within their region.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    capacity::{Capacity, strong},
    ids::{Millis, Name},
    subset::{subset, weight},
};

/// Readers: two may be lost at once and one is left.
const READERS: usize = 3;
/// Instances of a far region that may ask across the link: the head and its standby.
const HEADS: usize = 2;
/// Instances to each source, as far as there are enough of them.
const FOLLOWERS: usize = 24;
/// Instances of a failure domain from which on it has sources of its own: with fewer, one of two would be
/// left to all of them when the other is lost.
const LARGE_DOMAIN: usize = 2 * FOLLOWERS;
/// Key under which all of them are chosen.
const KEY: &str = "reader";
/// Time in which a source may send a configuration to all who follow it, in milliseconds: a tenth of the 5 s
/// and a quarter of the 2 s that a change has to be in force within.
const CONFIGURATION_MS: u64 = 500;
/// A region whose shortest round trip to the store is longer than the shortest of all by more than this
/// stands far from it, in milliseconds: two failure domains of a region are a few milliseconds apart, two
/// regions some tens.
const FAR_MS: Millis = 15;
/// Longest time after which a follower reads the store by itself when nobody whom it asks has read it, in
/// milliseconds: well within the bounds on a change of the configuration, which are 3 s and more.
const LONGEST_PATIENCE_MS: Millis = 1500;
/// Part of that time for each instance of the region, in milliseconds: a strong reader takes in 3,000
/// targets in some 100 ms, and a followers' turn to ask comes once in 250 ms.
const PATIENCE_MS: Millis = 5;

/// An instance, as far as it counts for who reads the store and who follows whom.
#[derive(Clone, Copy, Debug, Default)]
pub struct Member<'a> {
    /// Name.
    pub name: &'a str,
    /// Region that it stands in; empty where that is not known.
    pub region: &'a str,
    /// Failure domain that it stands in; empty where that is not known.
    pub domain: &'a str,
    /// What it may use of its machine.
    pub capacity: Capacity,
    /// Round trip to the store in milliseconds, as it has measured it.
    pub store_ms: Option<Millis>,
}

/// What an instance does for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads the store.
    Reader,
    /// Passes on to others what it is told.
    Relay,
    /// Asks for itself only.
    Follower,
}

/// Whom an instance follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan<'a> {
    /// What it does for the others.
    pub role: Role,
    /// Those that it follows, in the order in which it asks them.
    pub asked: Vec<&'a str>,
    /// Those that read the store, in the order in which it asks them.
    pub readers: Vec<&'a str>,
    /// How long it waits, where nobody whom it asks has read the store, before it reads by itself.
    pub patience_ms: Millis,
}

/// Members that may do for others what one does for all, or pass on what is read: all that one who starts has
/// to know of the others. In a fleet of 985 instances, 60 of them strong, these are 60.
pub fn leaders<'a>(members: &[Member<'a>]) -> Vec<&'a str> {
    let regions: BTreeSet<&str> = members.iter().map(|it| it.region).collect();
    let of_region = |region: &str| -> Vec<Member<'a>> {
        members.iter().filter(|it| it.region == region).copied().collect()
    };
    regions.into_iter().flat_map(|it| candidates(&of_region(it))).collect()
}

/// Number of instances by failure domain.
pub type DomainSizes = BTreeMap<Name, usize>;

/// Whom an instance follows among members, of which it is one unless it is leaving. `sizes` tells of more
/// instances than are known, where only the leaders are.
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
    let (role, asked) = if near_store.contains(own_region) {
        let near_readers = self::readers(&candidates);
        match () {
            () if near_readers.contains(&own) => (Role::Reader, order_for(own, &near_readers)),
            () if sources.has(own) => (Role::Relay, order_for(own, &near_readers)),
            () => (Role::Follower, sources.order_for(own, own_domain)),
        }
    } else {
        let heads = heads(&candidates);
        match heads.iter().position(|it| *it == own) {
            // The head asks across the link; the standby does so only where the head is silent.
            Some(rank) => (Role::Relay, [&heads[..rank], &readers[..]].concat()),
            None if sources.has(own) => (Role::Relay, heads),
            None => (Role::Follower, sources.order_for(own, own_domain)),
        }
    };
    let patience_ms = if role == Role::Follower { patience(own, near.len()) } else { 0 };
    Plan { role, asked, readers, patience_ms }
}

/// Regions that stand about as near to the store as any. A region without a measured instance counts as
/// near, since nobody could be told to follow across the link then.
fn regions_near_store<'a>(members: &[Member<'a>]) -> BTreeSet<&'a str> {
    let mut shortest: BTreeMap<&str, Option<Millis>> = BTreeMap::new();
    for it in members {
        let of_region = shortest.entry(it.region).or_default();
        *of_region = [*of_region, it.store_ms].into_iter().flatten().min();
    }
    let best = shortest.values().flatten().min().copied().unwrap_or(0);
    let is_near = |it: Option<Millis>| it.is_none_or(|it| it <= best + FAR_MS);
    shortest.into_iter().filter(|it| is_near(it.1)).map(|it| it.0).collect()
}

/// Members that may be sources: the strong ones, since a weak one's link of 10 Mbit/s carries the list of
/// 3,000 targets to 24 followers in a second or more. All where few are strong.
fn candidates<'a>(members: &[Member<'a>]) -> Vec<&'a str> {
    let capacities: Vec<_> = members.iter().map(|it| (it.name, it.capacity)).collect();
    let strong = strong(&capacities);
    if READERS <= strong.len() { strong } else { capacities.into_iter().map(|it| it.0).collect() }
}

/// The readers and relays of a region.
struct Sources<'a> {
    /// Those that any instance follows.
    common: Vec<&'a str>,
    /// Those of the failure domains that have their own.
    of_domains: BTreeMap<&'a str, Vec<&'a str>>,
}

impl<'a> Sources<'a> {
    fn new(members: &[Member<'a>], candidates: &[&'a str], told: &DomainSizes) -> Sources<'a> {
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        members.iter().for_each(|it| *sizes.entry(it.domain).or_default() += 1);
        for (domain, size) in &mut sizes {
            *size = told.get(*domain).copied().unwrap_or(0).max(*size);
        }
        let mut of_domains = BTreeMap::new();
        let mut others = sizes.values().sum::<usize>();
        let is_large = |it: &(&str, usize)| !it.0.is_empty() && LARGE_DOMAIN <= it.1;
        for (domain, size) in sizes.into_iter().filter(is_large) {
            let is_its = |it: &&Member<'_>| it.domain == domain && candidates.contains(&it.name);
            let its: Vec<&str> = members.iter().filter(is_its).map(|it| it.name).collect();
            let its = chosen(&its, size / FOLLOWERS);
            if !its.is_empty() {
                of_domains.insert(domain, its);
                others -= size;
            }
        }
        Sources { common: chosen(candidates, source_count(others)), of_domains }
    }

    fn has(&self, name: &str) -> bool {
        self.common.contains(&name) || self.of_domains.values().any(|it| it.contains(&name))
    }

    /// The sources in the order in which an instance asks them: those of its failure domain first.
    fn order_for(&self, own: &str, domain: &str) -> Vec<&'a str> {
        let near = self.of_domains.get(domain).map_or(&[][..], |it| it.as_slice());
        let is_far = |it: &&str| !near.contains(it);
        let far: Vec<&str> = self.common.iter().copied().filter(is_far).collect();
        [order_for(own, near), order_for(own, &far)].concat()
    }
}

/// Whether a source with a link of so many Mbit/s sends its followers a configuration of so many bytes, as it
/// is packed. Where it does not, each reads it from the store, which in a fleet of 985 instances read 110 kB
/// each, 108 MB a change: two changes within a second kept readers from the store for seconds.
pub fn sends_configuration(bytes: usize, link_mbps: u32) -> bool {
    let bits = 8 * (bytes * FOLLOWERS) as u64;
    // So many Mbit/s are as many thousand bits a millisecond.
    bits <= CONFIGURATION_MS * 1000 * u64::from(link_mbps)
}

fn source_count(members: usize) -> usize {
    members.div_ceil(FOLLOWERS).max(READERS)
}

/// When a follower loses its patience: each has a moment of its own, so that those who read by themselves
/// do not fill the links together, and the later ones find an earlier one that has read.
fn patience(own: &str, members: usize) -> Millis {
    let span = LONGEST_PATIENCE_MS.min(PATIENCE_MS * members as Millis);
    weight("patience", own) % span.max(1)
}

/// Members that read the store, in the order of `members`.
pub fn readers<'a>(members: &[&'a str]) -> Vec<&'a str> {
    chosen(members, READERS)
}

/// Members that the others follow, readers included, in the order of `members`.
pub fn sources<'a>(members: &[&'a str]) -> Vec<&'a str> {
    chosen(members, source_count(members.len()))
}

/// The head of a region that is far from the store, and its standby.
fn heads<'a>(members: &[&'a str]) -> Vec<&'a str> {
    let mut heads = chosen(members, HEADS);
    heads.sort_by_key(|it| std::cmp::Reverse(weight(KEY, it)));
    heads
}

fn chosen<'a>(members: &[&'a str], count: usize) -> Vec<&'a str> {
    let indices = subset(KEY, members.iter().copied(), count);
    indices.into_iter().map(|it| members[it]).collect()
}

/// The sources in the order in which `own` asks them; each instance has an order of its own, so
/// that a source's followers spread over the others once it is lost. `own` is left out.
pub fn order_for<'a>(own: &str, sources: &[&'a str]) -> Vec<&'a str> {
    let mut others: Vec<&str> = sources.iter().copied().filter(|it| *it != own).collect();
    others.sort_by_key(|it| std::cmp::Reverse(weight(own, it)));
    others
}
