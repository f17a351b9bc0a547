//! Failure domains that operators have evacuated: their targets get no new work until the domain is
//! restored.
//!
//! Orders stand in a log. What is known is a function of a prefix of that log, so of two states the one
//! of the longer prefix is the newer one, however it arrived; nothing older ever replaces it. A state
//! passes from instance to instance as a whole: whoever was cut off while an order was withdrawn learns
//! it from the first one that has read further.
//!
//! The store may come back from an older copy, in a later era of its log. It may lack an order then that its
//! operator is about to write again, so a domain stays evacuated for a while although the copy does not say so.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    era::{Era, Position, SETTLE_MS},
    ids::{Millis, Name},
};

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
    /// Era of the log; instances of earlier versions tell none.
    #[serde(default)]
    era: Option<Era>,
    /// Offset of the order by domain.
    domains: BTreeMap<Name, Horizon>,
    /// Domains that were evacuated in an era before, and until when they stay so.
    #[serde(skip)]
    carried: BTreeMap<Name, Millis>,
    /// Whether it was made of the state before, so that it says which of these are restored.
    #[serde(skip)]
    follows: bool,
}

impl Evacuations {
    /// Makes the state of a whole read up to `horizon`: domains that it does not name are not evacuated.
    pub fn new(at: Position, orders: impl IntoIterator<Item = Order>) -> Evacuations {
        let evacuated = orders.into_iter().filter(|it| it.is_evacuated);
        let domains = evacuated.map(|it| (it.domain, it.offset)).collect();
        Evacuations { horizon: at.offset, era: at.era, domains, ..Evacuations::default() }
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
                next.carried.remove(&order.domain);
            }
        }
        next.follows = true;
        next.horizon = self.horizon.max(horizon);
        next
    }

    /// Takes over a state if it is newer; `None` where it is not, else the domains that have changed.
    pub fn advance(&mut self, now: Millis, newer: Evacuations) -> Option<Vec<DomainChange>> {
        if !newer.position().is_after(self.position()) {
            return None;
        }
        let is_back = newer.position().is_of_later_era(self.position());
        let before = std::mem::replace(self, newer);
        if is_back {
            let kept = before.domains().map(|it| (it.clone(), now + SETTLE_MS));
            self.carried.extend(kept);
        } else if !self.follows {
            self.carried = before.carried.clone();
        }
        self.follows = false;
        Some(self.changes_since(&before))
    }

    /// Forgets the domains of an era before that nobody has evacuated again; they are restored.
    pub fn settle(&mut self, now: Millis) -> Vec<DomainChange> {
        if self.carried.values().all(|it| now < *it) {
            return Vec::new();
        }
        let before = self.clone();
        self.carried.retain(|_, until| now < *until);
        self.changes_since(&before)
    }

    fn changes_since(&self, before: &Evacuations) -> Vec<DomainChange> {
        let change = |domain: &Name, is_evacuated| {
            let domain = domain.clone();
            DomainChange { domain, is_evacuated }
        };
        let evacuated = self.domains().filter(|it| !before.is_evacuated(it));
        let restored = before.domains().filter(|it| !self.is_evacuated(it));
        let changes = evacuated.map(|it| change(it, true));
        changes.chain(restored.map(|it| change(it, false))).collect()
    }

    /// How far the log is known.
    pub fn position(&self) -> Position {
        Position { era: self.era, offset: self.horizon }
    }

    /// How far the log is known.
    pub fn horizon(&self) -> Horizon {
        self.horizon
    }

    /// Whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.contains_key(domain) || self.carried.contains_key(domain)
    }

    /// The failure domains that are evacuated.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        let carried = self.carried.keys().filter(|it| !self.domains.contains_key(*it));
        self.domains.keys().chain(carried)
    }
}
