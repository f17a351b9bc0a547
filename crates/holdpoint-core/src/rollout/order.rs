//! Orders to roll out a version, as the state of a prefix of the log of orders.
//!
//! Of two states the one of the longer prefix is the newer one, as with evacuations. A record does not
//! say when it was written, so an order's deadline counts from when it was first seen, and whoever
//! learns an order from another instance learns how much of its time is left.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    era::{Era, Position, SETTLE_MS},
    evacuation::Horizon,
    ids::{Millis, Name},
};

/// What a record of the log of orders says of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderRecord {
    /// A version is to be rolled out.
    Ordered {
        /// Position of the record.
        offset: Horizon,
        /// Service.
        service: Name,
        /// Version that its traffic is to move to.
        version: String,
        /// Time for it, in milliseconds.
        duration_ms: Millis,
    },
    /// The order for a service is withdrawn.
    Withdrawn {
        /// Position of the record.
        offset: Horizon,
        /// Service.
        service: Name,
    },
}

/// An order in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Position of its record, which identifies it.
    pub offset: Horizon,
    /// Version that the service's traffic is to move to.
    pub version: String,
    /// Time for it, in milliseconds.
    pub duration_ms: Millis,
    /// When that time is over, by the clock of this instance.
    pub until: Millis,
}

/// The orders in force, by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    horizon: Horizon,
    era: Option<Era>,
    orders: BTreeMap<Name, Order>,
    /// Until when orders of an era before are kept that the store lacks; they may be written again.
    kept_until: Millis,
}

/// Orders as one instance tells them to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldOrders {
    horizon: Horizon,
    /// Era of the log; instances of earlier versions tell none.
    #[serde(default)]
    era: Option<Era>,
    orders: Vec<ToldOrder>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ToldOrder {
    service: Name,
    offset: Horizon,
    version: String,
    duration_ms: Millis,
    left_ms: Millis,
}

impl Orders {
    /// Makes the state of a whole read up to `horizon`: services that it does not name have no order.
    pub fn new(now: Millis, at: Position, records: &[OrderRecord]) -> Orders {
        let empty = Orders { era: at.era, ..Orders::default() };
        Orders { horizon: at.offset, ..empty.followed_by(now, at.offset, records) }
    }

    /// The state after the records up to `horizon`, of which `records` are those for roll-outs.
    pub fn followed_by(&self, now: Millis, horizon: Horizon, records: &[OrderRecord]) -> Orders {
        let mut next = self.clone();
        for record in records {
            match record {
                OrderRecord::Ordered { offset, service, version, duration_ms }
                    if self.horizon <= *offset =>
                {
                    let order = Order {
                        offset: *offset,
                        version: version.clone(),
                        duration_ms: *duration_ms,
                        until: now + duration_ms,
                    };
                    next.orders.insert(service.clone(), order);
                }
                OrderRecord::Withdrawn { offset, service } if self.horizon <= *offset => {
                    next.orders.remove(service);
                }
                OrderRecord::Ordered { .. } | OrderRecord::Withdrawn { .. } => (),
            }
        }
        next.horizon = self.horizon.max(horizon);
        next
    }

    /// Takes over a state; the services whose orders have changed. Of the same order, the earlier end
    /// counts: whoever knows it has seen the order earlier.
    ///
    /// Where the store has come back from an older copy, an order that is known stays the same one although
    /// its record lies elsewhere now, and one that is missing is kept until its operator may have written it
    /// again: else a version would begin anew with all that it had been given before.
    pub fn advance(&mut self, now: Millis, newer: Orders) -> Vec<Name> {
        if self.position().is_after(newer.position()) {
            return Vec::new();
        }
        let is_back = newer.position().is_of_later_era(self.position());
        let before = std::mem::replace(self, newer);
        self.kept_until = if is_back { now + SETTLE_MS } else { before.kept_until };
        if now < self.kept_until {
            for (service, known) in &before.orders {
                let order = self.orders.entry(service.clone()).or_insert_with(|| known.clone());
                if order.version == known.version && order.duration_ms == known.duration_ms {
                    order.offset = known.offset;
                }
            }
        }
        let mut changed: Vec<Name> = Vec::new();
        for (service, order) in &mut self.orders {
            match before.orders.get(service).filter(|it| it.offset == order.offset) {
                Some(known) => order.until = order.until.min(known.until),
                None => changed.push(service.clone()),
            }
        }
        let withdrawn = before.orders.into_keys().filter(|it| !self.orders.contains_key(it));
        changed.extend(withdrawn);
        changed
    }

    /// How far the log is known.
    pub fn horizon(&self) -> Horizon {
        self.horizon
    }

    /// How far the log is known, with its era.
    pub fn position(&self) -> Position {
        Position { era: self.era, offset: self.horizon }
    }

    /// Order of a service.
    pub fn get(&self, service: &str) -> Option<&Order> {
        self.orders.get(service)
    }

    /// All orders.
    pub fn all(&self) -> impl Iterator<Item = (&Name, &Order)> {
        self.orders.iter()
    }

    /// Whether there is no order.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// The state for another instance.
    pub fn told(&self, now: Millis) -> ToldOrders {
        let told = |(service, it): (&Name, &Order)| ToldOrder {
            service: service.clone(),
            offset: it.offset,
            version: it.version.clone(),
            duration_ms: it.duration_ms,
            left_ms: it.until.saturating_sub(now),
        };
        let orders = self.orders.iter().map(told).collect();
        ToldOrders { horizon: self.horizon, era: self.era, orders }
    }
}

impl ToldOrders {
    /// The state that another instance told.
    pub fn taken(self, now: Millis) -> Orders {
        let taken = |it: ToldOrder| {
            let order = Order {
                offset: it.offset,
                version: it.version,
                duration_ms: it.duration_ms,
                until: now + it.left_ms.min(it.duration_ms),
            };
            (it.service, order)
        };
        let orders = self.orders.into_iter().map(taken).collect();
        Orders { horizon: self.horizon, era: self.era, orders, kept_until: 0 }
    }
}
