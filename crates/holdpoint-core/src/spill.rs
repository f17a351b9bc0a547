//! Spill: sends requests that one region cannot serve in time to another one that can, before any work was
//! done for them.
//!
//! The owners of a service in the two regions agree by leases of capacity, counted in places (work items). The
//! lender grants spare places for a short time, and the borrower assigns them to requests of its region. A
//! lease expires at the borrower before it does at the lender, so that no place is granted twice even where an
//! owner fails or the link is cut.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{ids::Millis, stage_graph::StageGraph};

/// How long a borrower may use a lease, in milliseconds: two exchanges, so that one lost answer leaves no gap,
/// and short compared to a burst.
pub const LEASE_MS: Millis = 500;
/// How much longer the lender reserves the places, in milliseconds, since work items may be in transit when a
/// lease expires.
const TRANSIT_MS: Millis = 150;
/// How long unmet demand for places is reported, in milliseconds.
const WANTED_TTL_MS: Millis = 300;
/// Minimum gain for which a request is sent to another region, in milliseconds. Smaller differences are within
/// the change of the estimates while the request is in transit.
const MIN_GAIN_MS: Millis = 100;

/// Capacity of a service in another region, as granted by its owner there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Number of work items that may be sent there.
    pub places: u32,
    /// Duration in milliseconds, from when the lease was requested.
    pub for_ms: Millis,
    /// Usual time of the stage there, in milliseconds.
    pub usual_ms: Millis,
}

/// Places that the owner of a service has lent.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    /// End and places of each lease.
    granted: VecDeque<(Millis, u32)>,
}

impl Lender {
    /// Number of places currently lent.
    pub fn lent(&mut self, now: Millis) -> u32 {
        self.granted.retain(|it| now < it.0);
        self.granted.iter().map(|it| it.1).sum()
    }

    /// Grants up to `wanted` of the `spare` places that are not lent yet.
    pub fn lend(&mut self, now: Millis, spare: u32, wanted: u32, usual_ms: Millis) -> Lease {
        let places = wanted.min(spare.saturating_sub(self.lent(now)));
        if places != 0 {
            self.granted.push_back((now + LEASE_MS + TRANSIT_MS, places));
        }
        Lease { places, for_ms: LEASE_MS, usual_ms }
    }
}

/// Places that the owner of a service has borrowed for its region.
#[derive(Clone, Debug, Default)]
pub struct Borrower {
    /// End and remaining places of each lease.
    leases: VecDeque<(Millis, u32)>,
    usual_ms: Millis,
    wanted: u32,
    wanted_at: Millis,
}

impl Borrower {
    /// Number of borrowed places left.
    pub fn left(&mut self, now: Millis) -> u32 {
        self.leases.retain(|it| now < it.0 && it.1 != 0);
        self.leases.iter().map(|it| it.1).sum()
    }

    /// Number of places that recent requests needed and did not get.
    pub fn wanted(&self, now: Millis) -> u32 {
        if now < self.wanted_at + WANTED_TTL_MS { self.wanted } else { 0 }
    }

    /// Adds a lease that was requested at `asked_at`, and resets the unmet demand.
    pub fn receive(&mut self, asked_at: Millis, lease: Lease) {
        self.wanted = 0;
        self.usual_ms = lease.usual_ms;
        if lease.places != 0 {
            self.leases.push_back((asked_at + lease.for_ms.min(LEASE_MS), lease.places));
        }
    }

    /// Takes places for one request, all or none. Returns the usual time of the stage there, in milliseconds.
    pub fn take(&mut self, now: Millis, places: u32) -> Option<Millis> {
        if self.left(now) < places {
            self.wanted = self.wanted(now).saturating_add(places);
            self.wanted_at = now;
            return None;
        }
        let mut missing = places;
        for (_, left) in &mut self.leases {
            let taken = missing.min(*left);
            *left -= taken;
            missing -= taken;
        }
        Some(self.usual_ms)
    }
}

/// Estimated times of a request in its own region and in another one, in milliseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prospect {
    /// Time left until it is late.
    pub left_ms: Millis,
    /// Expected time in its own region.
    pub here_ms: Millis,
    /// Expected time in the other region, transit included.
    pub there_ms: Millis,
}

impl Prospect {
    /// Whether to send the request to the other region: it would be late here, and would be in time and clearly
    /// faster there.
    pub fn is_worth_it(&self) -> bool {
        self.left_ms < self.here_ms
            && self.there_ms <= self.left_ms
            && self.there_ms + MIN_GAIN_MS <= self.here_ms
    }
}

/// Length of the critical path of a request's stages, in milliseconds; `ms` gives the time of each stage.
/// Stages without work items are left out.
pub fn chain_ms(graph: &StageGraph, ms: &impl Fn(usize) -> Millis) -> Millis {
    let stages = (0..graph.len()).filter(|it| graph.pieces(*it) != 0);
    stages.map(|it| path_ms(graph, it, ms)).max().unwrap_or(0)
}

fn path_ms(graph: &StageGraph, stage: usize, ms: &impl Fn(usize) -> Millis) -> Millis {
    ms(stage) + graph.after(stage).map(|it| path_ms(graph, it, ms)).max().unwrap_or(0)
}

/// Bandwidth budget of one of several users of a share of a link, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    bytes_per_ms: f64,
    left: f64,
    updated: Millis,
}

impl LinkBudget {
    /// Capacity of the bucket, as the time to fill it, in milliseconds.
    const CAPACITY_MS: f64 = 1000.0;

    /// Creates the budget of one of `users` users of the fraction `share` of a link. A bandwidth of 0 means
    /// unlimited.
    pub fn new(link_mbps: f64, share: f64, users: usize) -> LinkBudget {
        let bytes_per_ms = link_mbps * 125.0 * share / users.max(1) as f64;
        LinkBudget { bytes_per_ms, left: Self::CAPACITY_MS * bytes_per_ms, updated: 0 }
    }

    /// Updates the bandwidth and the number of users of the link.
    pub fn set_users(&mut self, link_mbps: f64, share: f64, users: usize) {
        self.bytes_per_ms = link_mbps * 125.0 * share / users.max(1) as f64;
        self.left = self.left.min(Self::CAPACITY_MS * self.bytes_per_ms);
    }

    /// Spends `bytes`; `false` if they exceed the budget.
    pub fn spend(&mut self, now: Millis, bytes: u64) -> bool {
        if self.bytes_per_ms == 0.0 {
            return true;
        }
        let refill = now.saturating_sub(self.updated) as f64 * self.bytes_per_ms;
        self.left = (self.left + refill).min(Self::CAPACITY_MS * self.bytes_per_ms);
        self.updated = now;
        let has_left = bytes as f64 <= self.left;
        if has_left {
            self.left -= bytes as f64;
        }
        has_left
    }
}
