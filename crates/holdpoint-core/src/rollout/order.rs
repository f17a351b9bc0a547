//! Roll-out orders, as the state after a prefix of the log of orders.
//!
//! The state of the longer prefix is the newer one, as for evacuations. Records carry no time, so an
//! order's deadline counts from when it was first seen. Instances that exchange orders also exchange the
//! time remaining.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    era::{Era, Position, SETTLE_MS},
    evacuation::Horizon,
    ids::{Millis, Name},
};

/// A roll-out record in the log of orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderRecord {
    /// A version is to be rolled out.
    Ordered {
        /// Position of the record.
        offset: Horizon,
        /// Service.
        service: Name,
        /// Version that receives the service's traffic.
        version: String,
        /// Time allowed for the roll-out, in milliseconds.
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

/// An active order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Position of its record, which identifies the order.
    pub offset: Horizon,
    /// Version that receives the service's traffic.
    pub version: String,
    /// Time allowed for the roll-out, in milliseconds.
    pub duration_ms: Millis,
    /// Deadline of the roll-out, by the clock of this instance.
    pub until: Millis,
}

/// The active orders, by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    horizon: Horizon,
    epoch: Option<Era>,
    orders: BTreeMap<Name, Order>,
    /// Until when orders of the previous epoch are retained that the restored store lacks. Their operators
    /// may write them again.
    retained_until: Millis,
}

/// The active orders as sent from one instance to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldOrders {
    horizon: Horizon,
    /// Epoch of the log; instances of earlier versions send none.
    #[serde(default, rename = "era")]
    epoch: Option<Era>,
    orders: Vec<OrderSnapshot>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OrderSnapshot {
    service: Name,
    offset: Horizon,
    version: String,
    duration_ms: Millis,
    left_ms: Millis,
}

impl Orders {
    /// Creates the state from a full read of the log up to a position. Services without a record have no
    /// order.
    pub fn new(now: Millis, at: Position, records: &[OrderRecord]) -> Orders {
        let empty = Orders { epoch: at.era, ..Orders::default() };
        Orders { horizon: at.offset, ..empty.followed_by(now, at.offset, records) }
    }

    /// Returns the state after all records before `horizon`, given the roll-out `records` among them.
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

    /// Adopts a state unless it is older, and returns the services whose orders have changed. If both states
    /// have the same order, the earlier deadline applies, since it comes from an earlier sighting.
    ///
    /// After the store was restored from an older copy, a known order keeps its identity although its record
    /// has another offset now. An order that the copy lacks is retained until its operator has had time to
    /// write it again. Otherwise the roll-out would start anew, with permits as if none had been spent.
    pub fn advance(&mut self, now: Millis, newer: Orders) -> Vec<Name> {
        if self.position().is_after(newer.position()) {
            return Vec::new();
        }
        let is_later_epoch = newer.position().is_of_later_era(self.position());
        let before = std::mem::replace(self, newer);
        self.retained_until = if is_later_epoch { now + SETTLE_MS } else { before.retained_until };
        if now < self.retained_until {
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

    /// Offset up to which the log is known.
    pub fn horizon(&self) -> Horizon {
        self.horizon
    }

    /// Position up to which the log is known, with its epoch.
    pub fn position(&self) -> Position {
        Position { era: self.epoch, offset: self.horizon }
    }

    /// The order for a service.
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

    /// Returns the state to send to another instance.
    pub fn told(&self, now: Millis) -> ToldOrders {
        let snapshot = |(service, it): (&Name, &Order)| OrderSnapshot {
            service: service.clone(),
            offset: it.offset,
            version: it.version.clone(),
            duration_ms: it.duration_ms,
            left_ms: it.until.saturating_sub(now),
        };
        let orders = self.orders.iter().map(snapshot).collect();
        ToldOrders { horizon: self.horizon, epoch: self.epoch, orders }
    }
}

impl ToldOrders {
    /// Converts the state received from another instance; the remaining time of its orders counts from `now`.
    pub fn taken(self, now: Millis) -> Orders {
        let with_deadline = |it: OrderSnapshot| {
            let order = Order {
                offset: it.offset,
                version: it.version,
                duration_ms: it.duration_ms,
                until: now + it.left_ms.min(it.duration_ms),
            };
            (it.service, order)
        };
        let orders = self.orders.into_iter().map(with_deadline).collect();
        Orders { horizon: self.horizon, epoch: self.epoch, orders, retained_until: 0 }
    }
}
