//! Failure domains that operators have evacuated: their targets get no new work until the domain is
//! restored.
//!
//! Orders are records of a log, and the state is a function of a prefix of it. The state of the longer
//! prefix is the newer one and is never replaced by an older one. Instances exchange whole states, so one
//! that missed a withdrawal learns of it from any peer that has read further.
//!
//! If the store is restored from an older copy, its log starts a later epoch and may lack orders that
//! operators are about to write again. Evacuated domains therefore stay so for a while.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    epoch::{Epoch, Position, SETTLE_MS},
    ids::{Millis, Name},
};

/// Offset in the log of orders: the number of records before it.
pub type LogOffset = u64;

/// An order to evacuate or restore a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Position of its record in the log.
    pub offset: LogOffset,
    /// Failure domain, which may be an unknown one.
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

/// The evacuated failure domains, as the state after a prefix of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    horizon: LogOffset,
    /// Epoch of the log; instances of earlier versions send none.
    #[serde(default, rename = "era")]
    epoch: Option<Epoch>,
    /// Offset of the order by domain.
    domains: BTreeMap<Name, LogOffset>,
    /// Domains that were evacuated in a previous epoch or by an incomplete read, and until when they stay so.
    #[serde(skip)]
    retained: BTreeMap<Name, Millis>,
    /// Whether the state was derived from the previous one, so that `retained` is up to date.
    #[serde(skip)]
    is_incremental: bool,
}

impl Evacuations {
    /// Creates the state from a full read of the log up to a position. Domains without an order are not
    /// evacuated.
    pub fn new(at: Position, orders: impl IntoIterator<Item = Order>) -> Evacuations {
        let evacuated = orders.into_iter().filter(|it| it.is_evacuated);
        let domains = evacuated.map(|it| (it.domain, it.offset)).collect();
        Evacuations { horizon: at.offset, epoch: at.epoch, domains, ..Evacuations::default() }
    }

    /// Returns the state after all records before `horizon`, given the `orders` for domains among them.
    /// Orders before this state's horizon are skipped.
    pub fn followed_by(&self, horizon: LogOffset, orders: &[Order]) -> Evacuations {
        let mut next = self.clone();
        for order in orders.iter().filter(|it| self.horizon <= it.offset) {
            if order.is_evacuated {
                next.domains.entry(order.domain.clone()).or_insert(order.offset);
            } else {
                next.domains.remove(&order.domain);
                next.retained.remove(&order.domain);
            }
        }
        next.is_incremental = true;
        next.horizon = self.horizon.max(horizon);
        next
    }

    /// Adopts a state if it is newer and returns the domains that have changed; `None` if it is not newer.
    pub fn advance(&mut self, now: Millis, newer: Evacuations) -> Option<Vec<DomainChange>> {
        if !newer.position().is_after(self.position()) {
            return None;
        }
        let is_later_epoch = newer.position().is_of_later_epoch(self.position());
        let before = std::mem::replace(self, newer);
        if is_later_epoch {
            let kept = before.domains().map(|it| (it.clone(), now + SETTLE_MS));
            self.retained.extend(kept);
        } else if !self.is_incremental {
            self.retained = before.retained.clone();
        }
        self.is_incremental = false;
        Some(self.changes_since(&before))
    }

    /// Evacuates the domains of orders from an incomplete read of the log for a while. Orders before this state's horizon
    /// are skipped. Returns the domains that have changed.
    pub fn retain(&mut self, now: Millis, orders: &[Order]) -> Vec<DomainChange> {
        let before = self.clone();
        let is_new = |it: &&Order| it.is_evacuated && self.horizon <= it.offset;
        let domains = orders.iter().filter(is_new).map(|it| (it.domain.clone(), now + SETTLE_MS));
        self.retained.extend(domains);
        self.changes_since(&before)
    }

    /// Restores the domains retained from a previous epoch whose time is over, unless they have been
    /// evacuated again. Returns the domains that have changed.
    pub fn restore_expired(&mut self, now: Millis) -> Vec<DomainChange> {
        if self.retained.values().all(|it| now < *it) {
            return Vec::new();
        }
        let before = self.clone();
        self.retained.retain(|_, until| now < *until);
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

    /// Position up to which the log is known, with its epoch.
    pub fn position(&self) -> Position {
        Position { epoch: self.epoch, offset: self.horizon }
    }

    /// Offset up to which the log is known.
    pub fn horizon(&self) -> LogOffset {
        self.horizon
    }

    /// Whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.contains_key(domain) || self.retained.contains_key(domain)
    }

    /// The failure domains that are evacuated.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        let retained = self.retained.keys().filter(|it| !self.domains.contains_key(*it));
        self.domains.keys().chain(retained)
    }
}
