//! Failure domains that operators have evacuated: their targets get no new work until the domain is
//! restored.
//!
//! Orders stand in a log. What is known is a function of a prefix of that log, so of two states the one
//! of the longer prefix is the newer one, however it arrived; nothing older ever replaces it. A state
//! passes from instance to instance as a whole: whoever was cut off while an order was withdrawn learns
//! it from the first one that has read further.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// Position in the log of orders: the number of records before it.
pub type Horizon = u64;

/// One order for a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Position of its record in the log.
    pub offset: Horizon,
    /// Failure domain, which need not be known.
    pub domain: Name,
    /// Whether the domain is to be evacuated; otherwise it is restored.
    pub is_evacuated: bool,
}

/// A failure domain whose state has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainChange {
    /// Failure domain.
    pub domain: Name,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
}

/// The failure domains that are evacuated, as a prefix of the log says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    horizon: Horizon,
    /// Offset of the order by domain.
    domains: BTreeMap<Name, Horizon>,
}

impl Evacuations {
    /// Makes the state of a whole read up to `horizon`: domains that it does not name are not evacuated.
    pub fn new(horizon: Horizon, orders: impl IntoIterator<Item = Order>) -> Evacuations {
        let evacuated = orders.into_iter().filter(|it| it.is_evacuated);
        Evacuations { horizon, domains: evacuated.map(|it| (it.domain, it.offset)).collect() }
    }

    /// The state after the records up to `horizon`, of which `orders` are those for domains. Records
    /// before this state's horizon count in it already.
    pub fn followed_by(&self, horizon: Horizon, orders: &[Order]) -> Evacuations {
        let mut next = self.clone();
        for order in orders.iter().filter(|it| self.horizon <= it.offset) {
            if order.is_evacuated {
                next.domains.entry(order.domain.clone()).or_insert(order.offset);
            } else {
                next.domains.remove(&order.domain);
            }
        }
        next.horizon = self.horizon.max(horizon);
        next
    }

    /// Takes over a state if it is newer; `None` where it is not, else the domains that have changed.
    pub fn advance(&mut self, newer: Evacuations) -> Option<Vec<DomainChange>> {
        if newer.horizon <= self.horizon {
            return None;
        }
        let before = std::mem::replace(self, newer);
        let change = |domain: &Name, is_evacuated| {
            let domain = domain.clone();
            DomainChange { domain, is_evacuated }
        };
        let evacuated = self.domains.keys().filter(|it| !before.is_evacuated(it));
        let restored = before.domains.keys().filter(|it| !self.is_evacuated(it));
        let changes = evacuated.map(|it| change(it, true));
        Some(changes.chain(restored.map(|it| change(it, false))).collect())
    }

    /// How far the log is known.
    pub fn horizon(&self) -> Horizon {
        self.horizon
    }

    /// Whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// The failure domains that are evacuated.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.domains.keys()
    }
}
