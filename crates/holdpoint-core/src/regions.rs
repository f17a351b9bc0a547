//! Which region's targets serve a request: those of the own region where it has all that the
//! request needs, else those of another one for the whole chain of its stages, so that no result
//! has to cross the link between regions.

use std::collections::BTreeMap;

use crate::ids::Name;

/// The usable targets of each service by region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRegions {
    counts: BTreeMap<Name, BTreeMap<Name, usize>>,
}

impl ServiceRegions {
    /// Counts usable targets, each given by its service and its region.
    pub fn new<'a>(usable: impl Iterator<Item = (&'a str, &'a str)>) -> ServiceRegions {
        let mut counts: BTreeMap<Name, BTreeMap<Name, usize>> = BTreeMap::new();
        for (service, region) in usable {
            let of_service = counts.entry(service.to_owned()).or_default();
            *of_service.entry(region.to_owned()).or_default() += 1;
        }
        ServiceRegions { counts }
    }

    /// Number of usable targets of a service in a region.
    pub fn usable(&self, service: &str, region: &str) -> usize {
        let of_service = self.counts.get(service);
        of_service.and_then(|it| it.get(region)).copied().unwrap_or(0)
    }

    /// Number of usable targets of all services in a region.
    pub fn usable_in(&self, region: &str) -> usize {
        self.counts.values().filter_map(|it| it.get(region)).sum()
    }

    /// Whether a region has a usable target of each of some services.
    pub fn serves(&self, region: &str, services: &[&str]) -> bool {
        services.iter().all(|it| self.usable(it, region) != 0)
    }

    /// The region that serves a request which needs some services: the first of `regions` that may
    /// serve it and has targets of all of them. `None` where there is none, and each service is served
    /// from wherever it has targets.
    pub fn home<'a>(
        &self,
        regions: impl IntoIterator<Item = &'a str>,
        services: &[&str],
        may_serve: impl Fn(&str) -> bool,
    ) -> Option<&'a str> {
        regions.into_iter().find(|it| self.serves(it, services) && may_serve(it))
    }
}
