//! Selects the region that serves a request: the first in order of preference with targets for all of its
//! services. One region serves the whole chain of stages, so that no result crosses the link between
//! regions.

use std::collections::BTreeMap;

use crate::ids::Name;

/// Number of usable targets of each service by region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRegions {
    counts: BTreeMap<Name, BTreeMap<Name, usize>>,
}

impl ServiceRegions {
    /// Counts usable targets, given as pairs of service and region.
    pub fn new<'a>(usable: impl Iterator<Item = (&'a str, &'a str)>) -> ServiceRegions {
        let mut counts: BTreeMap<Name, BTreeMap<Name, usize>> = BTreeMap::new();
        for (service, region) in usable {
            let by_region = counts.entry(service.to_owned()).or_default();
            *by_region.entry(region.to_owned()).or_default() += 1;
        }
        ServiceRegions { counts }
    }

    /// Number of usable targets of a service in a region.
    pub fn usable(&self, service: &str, region: &str) -> usize {
        let by_region = self.counts.get(service);
        by_region.and_then(|it| it.get(region)).copied().unwrap_or(0)
    }

    /// Number of usable targets of all services in a region.
    pub fn usable_in(&self, region: &str) -> usize {
        self.counts.values().filter_map(|it| it.get(region)).sum()
    }

    /// Whether a region has a usable target of each service.
    pub fn serves(&self, region: &str, services: &[&str]) -> bool {
        services.iter().all(|it| self.usable(it, region) != 0)
    }

    /// The region that serves a request for some services: the first of `regions` that may serve it and
    /// has targets of all of them. `None` if there is none; each service is then served by any region.
    pub fn home<'a>(
        &self,
        regions: impl IntoIterator<Item = &'a str>,
        services: &[&str],
        may_serve: impl Fn(&str) -> bool,
    ) -> Option<&'a str> {
        regions.into_iter().find(|it| self.serves(it, services) && may_serve(it))
    }
}
