//! Confinement of requests to regions.
//!
//! A route and an organisation may each name the regions in which their requests are served. Both
//! bind together. A failure domain whose region is not known is outside, so that a mistake in the
//! settings keeps work back and never lets it out.
//!
//! ```
//! use std::collections::BTreeMap;
//! use holdpoint_core::{confinement::Confinement, topology::Topology};
//!
//! let regions = [("a", "east"), ("b", "north")].map(|it| (it.0.to_owned(), it.1.to_owned()));
//! let topology = Topology::new("east", BTreeMap::from(regions));
//! let bounds = Confinement::to(["north".to_owned()]).bounds(&topology).expect("it is confined");
//! assert!(bounds.allows("b") && !bounds.allows("a") && !bounds.allows("unknown"));
//! ```

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{ids::Name, topology::Topology};

/// The regions that are allowed; all where none are named.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confinement {
    regions: Option<BTreeSet<Name>>,
}

/// What a confined request may use: its regions, and the failure domains known to be there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bounds {
    regions: BTreeSet<Name>,
    domains: BTreeSet<Name>,
}

/// Bounds of a request; none where it is not confined.
pub type Within = Option<Arc<Bounds>>;

impl Confinement {
    /// Allows some regions and no others.
    pub fn to(regions: impl IntoIterator<Item = Name>) -> Confinement {
        Confinement { regions: Some(regions.into_iter().collect()) }
    }

    /// Whether all regions are allowed.
    pub fn is_free(&self) -> bool {
        self.regions.is_none()
    }

    /// The regions that both allow.
    pub fn and(&self, other: &Confinement) -> Confinement {
        match (&self.regions, &other.regions) {
            (Some(own), Some(theirs)) => {
                Confinement { regions: Some(own.intersection(theirs).cloned().collect()) }
            }
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }

    /// The bounds in a deployment; none where all regions are allowed.
    pub fn bounds(&self, topology: &Topology) -> Within {
        let regions = self.regions.clone()?;
        let domains = regions.iter().flat_map(|it| topology.domains_of(it)).cloned().collect();
        Some(Arc::new(Bounds { regions, domains }))
    }

    /// Regions named here that the deployment does not know.
    pub fn unknown<'a>(&'a self, topology: &'a Topology) -> impl Iterator<Item = &'a Name> {
        let named = self.regions.iter().flatten();
        named.filter(|it| topology.domains_of(it).next().is_none())
    }
}

impl Bounds {
    /// Whether work may be done and kept in a failure domain.
    pub fn allows(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// The regions, joined for a log line.
    pub fn regions(&self) -> String {
        self.regions.iter().map(String::as_str).collect::<Vec<_>>().join(",")
    }

    /// What these bounds were made of.
    pub fn confinement(&self) -> Confinement {
        Confinement { regions: Some(self.regions.clone()) }
    }

    /// Whether a region is allowed.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.contains(region)
    }
}

/// Whether a failure domain may be used by a request with these bounds, if it has any.
pub fn is_within(bounds: Option<&Bounds>, domain: &str) -> bool {
    bounds.is_none_or(|it| it.allows(domain))
}
