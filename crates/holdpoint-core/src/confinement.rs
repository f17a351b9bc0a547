//! Confinement of requests to regions.
//!
//! A route and an organisation may each name the regions in which their requests are served; a request
//! must satisfy both. A failure domain of unknown region is never allowed, so that a mistake in the
//! settings refuses work rather than running it in a wrong region.
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

/// The allowed regions; all regions if there is no restriction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confinement {
    regions: Option<BTreeSet<Name>>,
}

/// The regions allowed to a confined request, and the failure domains known to be there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bounds {
    regions: BTreeSet<Name>,
    domains: BTreeSet<Name>,
}

/// Bounds of a request; `None` if it is not confined.
pub type Within = Option<Arc<Bounds>>;

impl Confinement {
    /// Allows only the given regions.
    pub fn to(regions: impl IntoIterator<Item = Name>) -> Confinement {
        Confinement { regions: Some(regions.into_iter().collect()) }
    }

    /// Whether all regions are allowed.
    pub fn is_free(&self) -> bool {
        self.regions.is_none()
    }

    /// Allows only the regions that both allow.
    pub fn and(&self, other: &Confinement) -> Confinement {
        match (&self.regions, &other.regions) {
            (Some(own), Some(theirs)) => {
                Confinement { regions: Some(own.intersection(theirs).cloned().collect()) }
            }
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }

    /// Resolves the bounds in a deployment; `None` if all regions are allowed.
    pub fn bounds(&self, topology: &Topology) -> Within {
        let regions = self.regions.clone()?;
        let domains = regions.iter().flat_map(|it| topology.domains_of(it)).cloned().collect();
        Some(Arc::new(Bounds { regions, domains }))
    }

    /// Named regions without any failure domain in the deployment.
    pub fn unknown<'a>(&'a self, topology: &'a Topology) -> impl Iterator<Item = &'a Name> {
        let named = self.regions.iter().flatten();
        named.filter(|it| topology.domains_of(it).next().is_none())
    }
}

impl Bounds {
    /// Whether requests may be served and their data stored in a failure domain.
    pub fn allows(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// The regions, joined for a log line.
    pub fn regions(&self) -> String {
        self.regions.iter().map(String::as_str).collect::<Vec<_>>().join(",")
    }

    /// The confinement that these bounds were resolved from.
    pub fn confinement(&self) -> Confinement {
        Confinement { regions: Some(self.regions.clone()) }
    }

    /// Whether a region is allowed.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.contains(region)
    }
}

/// Whether a request with these bounds may use a failure domain; without bounds it may use any.
pub fn is_within(bounds: Option<&Bounds>, domain: &str) -> bool {
    bounds.is_none_or(|it| it.allows(domain))
}
