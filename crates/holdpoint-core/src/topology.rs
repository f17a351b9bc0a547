//! The regions of failure domains.
//!
//! Links between regions are slow and narrow, so the choice of an instance or a target depends on whether it
//! is in the own region. If no regions are configured, all domains count as one region.

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
    /// Makes the topology of an instance in `own_region`, which is empty if the instance is in none. A domain
    /// that `regions` doesn't name has no region.
    pub fn new(own_region: &str, regions: BTreeMap<Name, Name>) -> Topology {
        let all: BTreeSet<&Name> = regions.values().collect();
        let is_split = !own_region.is_empty() && 1 < all.len();
        Topology { own_region: own_region.to_owned(), regions, is_split }
    }

    /// Region of the instance; empty if it is in none.
    pub fn own_region(&self) -> &str {
        &self.own_region
    }

    /// Region of a failure domain; `None` if unknown.
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        self.regions.get(domain).map(String::as_str)
    }

    /// Failure domains known to be in a region; none if the name is empty.
    pub fn domains_of<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Name> {
        let is_there = move |it: &(&Name, &Name)| !region.is_empty() && it.1 == region;
        self.regions.iter().filter(is_there).map(|it| it.0)
    }

    /// Whether there are several regions and that of the instance is known.
    pub fn is_split(&self) -> bool {
        self.is_split
    }

    /// Whether a failure domain is in the instance's region. This holds for all domains unless there are
    /// several regions; a domain of an unknown region then counts as outside.
    pub fn is_near(&self, domain: &str) -> bool {
        !self.is_split() || self.region_of(domain) == Some(self.own_region())
    }

    /// All configured regions, in the order of their names.
    pub fn all(&self) -> Vec<&str> {
        let regions: BTreeSet<&str> = self.regions.values().map(String::as_str).collect();
        regions.into_iter().collect()
    }
}
