//! Where failure domains stand: which region each of them belongs to.
//!
//! Regions are far apart and joined by thin links, so whoever chooses an instance or a target asks
//! here whether it is in the own region. Where no regions are stated, all domains count as one.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Name;

/// The regions of a deployment, as one of its instances sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    own_region: Name,
    /// Region of each failure domain.
    regions: BTreeMap<Name, Name>,
    is_split: bool,
}

impl Topology {
    /// Makes the topology of an instance in a region, empty where it stands in none. A domain that is
    /// not named in `regions` has no region.
    pub fn new(own_region: &str, regions: BTreeMap<Name, Name>) -> Topology {
        let all: BTreeSet<&Name> = regions.values().collect();
        let is_split = !own_region.is_empty() && 1 < all.len();
        Topology { own_region: own_region.to_owned(), regions, is_split }
    }

    /// Region of the instance; empty where it stands in none.
    pub fn own_region(&self) -> &str {
        &self.own_region
    }

    /// Region of a failure domain; `None` where it is not known.
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        self.regions.get(domain).map(String::as_str)
    }

    /// The failure domains known to be in a region. An empty name is none.
    pub fn domains_of<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Name> {
        let is_there = move |it: &(&Name, &Name)| !region.is_empty() && it.1 == region;
        self.regions.iter().filter(is_there).map(|it| it.0)
    }

    /// Whether there is more than one region, and the instance knows its own.
    pub fn is_split(&self) -> bool {
        self.is_split
    }

    /// Whether a failure domain is in the instance's region. All are where there is one region; a
    /// domain of an unknown region is not.
    pub fn is_near(&self, domain: &str) -> bool {
        !self.is_split() || self.region_of(domain) == Some(self.own_region())
    }

    /// All regions that are stated, in the order of their names.
    pub fn all(&self) -> Vec<&str> {
        let regions: BTreeSet<&str> = self.regions.values().map(String::as_str).collect();
        regions.into_iter().collect()
    }
}
