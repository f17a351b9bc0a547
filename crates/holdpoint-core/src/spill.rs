//! Spill: requests that a region cannot serve in time go to another one that can, whole and before any
//! work was done for them.
//!
//! The two owners of a service agree on it by leases. The lender, whose region has places left, grants
//! some for a short time; the borrower hands them out to the requests of its region. A lease ends by
//! itself at both, at the borrower first, so that no place is granted twice even where an owner is lost
//! or the link between them is cut.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{ids::Millis, stage_graph::StageGraph};

/// How long a borrower may use a lease, in milliseconds: two exchanges, so that one lost answer leaves
/// no gap, and short beside a burst.
pub const LEASE_MS: Millis = 500;
/// How much longer the lender holds the places, in milliseconds, since pieces are on their way when a
/// lease ends.
const ARRIVAL_MS: Millis = 150;
/// Time after which places that were wanted and not had are no longer asked for, in milliseconds.
const WANTED_MS: Millis = 300;
/// Gain for which a request leaves its region, in milliseconds: below that, the difference between the
/// two regions' times is within what they change by until the request is there.
const LEAST_GAIN_MS: Millis = 100;

/// Places at a service of another region, in pieces, as its owner grants them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Pieces that may be made there.
    pub places: u32,
    /// How long, in milliseconds, from when the lease was asked for.
    pub for_ms: Millis,
    /// How long the stage usually takes there, in milliseconds.
    pub usual_ms: Millis,
}

/// What an owner has lent of its service's places.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    /// Places of each lease, with when it ends.
    granted: VecDeque<(Millis, u32)>,
}

impl Lender {
    /// Places that are lent.
    pub fn lent(&mut self, now: Millis) -> u32 {
        self.granted.retain(|it| now < it.0);
        self.granted.iter().map(|it| it.1).sum()
    }

    /// Lends as many of the wanted places as are left of `spare`, which leaves out what is lent.
    pub fn lend(&mut self, now: Millis, spare: u32, wanted: u32, usual_ms: Millis) -> Lease {
        let places = wanted.min(spare.saturating_sub(self.lent(now)));
        if places != 0 {
            self.granted.push_back((now + LEASE_MS + ARRIVAL_MS, places));
        }
        Lease { places, for_ms: LEASE_MS, usual_ms }
    }
}

/// What an owner has borrowed for its region.
#[derive(Clone, Debug, Default)]
pub struct Borrower {
    /// Places left of each lease, with when it ends.
    leases: VecDeque<(Millis, u32)>,
    usual_ms: Millis,
    wanted: u32,
    wanted_at: Millis,
}

impl Borrower {
    /// Places that are left.
    pub fn left(&mut self, now: Millis) -> u32 {
        self.leases.retain(|it| now < it.0 && it.1 != 0);
        self.leases.iter().map(|it| it.1).sum()
    }

    /// Places that requests have asked for of late and did not get.
    pub fn wanted(&self, now: Millis) -> u32 {
        if now < self.wanted_at + WANTED_MS { self.wanted } else { 0 }
    }

    /// Takes in a lease that was asked for at a time. What was wanted until now is settled.
    pub fn receive(&mut self, asked_at: Millis, lease: Lease) {
        self.wanted = 0;
        self.usual_ms = lease.usual_ms;
        if lease.places != 0 {
            self.leases.push_back((asked_at + lease.for_ms.min(LEASE_MS), lease.places));
        }
    }

    /// Takes places for one request, all or none; how long the stage takes there, in milliseconds.
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

/// Times of a request in its own region and in another one, in milliseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prospect {
    /// Time left until it is late.
    pub left_ms: Millis,
    /// Expected time in its own region.
    pub here_ms: Millis,
    /// Expected time in the other region, the way included.
    pub there_ms: Millis,
}

impl Prospect {
    /// Whether a request is worth to be sent to the other region: it would be late here, and in time
    /// there by a clear gain.
    pub fn is_worth_it(&self) -> bool {
        self.left_ms < self.here_ms
            && self.there_ms <= self.left_ms
            && self.there_ms + LEAST_GAIN_MS <= self.here_ms
    }
}

/// Time that a request's stages take along the longest chain, each of them `ms`, in milliseconds.
pub fn chain_ms(graph: &StageGraph, ms: &impl Fn(usize) -> Millis) -> Millis {
    let stages = (0..graph.len()).filter(|it| graph.pieces(*it) != 0);
    stages.map(|it| ms_from(graph, it, ms)).max().unwrap_or(0)
}

fn ms_from(graph: &StageGraph, stage: usize, ms: &impl Fn(usize) -> Millis) -> Millis {
    ms(stage) + graph.after(stage).map(|it| ms_from(graph, it, ms)).max().unwrap_or(0)
}

/// A share of a link's bandwidth, as one of several users of it may spend it.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    bytes_per_ms: f64,
    left: f64,
    counted: Millis,
}

impl LinkBudget {
    /// Longest time for which bandwidth that was not used is kept, in milliseconds.
    const KEPT_MS: f64 = 1000.0;

    /// Makes the budget of one of `users` of a share of a link; unlimited where the link's bandwidth is
    /// stated as 0.
    pub fn new(link_mbps: f64, share: f64, users: usize) -> LinkBudget {
        let bytes_per_ms = link_mbps * 125.0 * share / users.max(1) as f64;
        LinkBudget { bytes_per_ms, left: Self::KEPT_MS * bytes_per_ms, counted: 0 }
    }

    /// Takes in how many use the link.
    pub fn set_users(&mut self, link_mbps: f64, share: f64, users: usize) {
        self.bytes_per_ms = link_mbps * 125.0 * share / users.max(1) as f64;
        self.left = self.left.min(Self::KEPT_MS * self.bytes_per_ms);
    }

    /// Spends bytes, if they are left.
    pub fn spend(&mut self, now: Millis, bytes: u64) -> bool {
        if self.bytes_per_ms == 0.0 {
            return true;
        }
        let gained = now.saturating_sub(self.counted) as f64 * self.bytes_per_ms;
        self.left = (self.left + gained).min(Self::KEPT_MS * self.bytes_per_ms);
        self.counted = now;
        let has_left = bytes as f64 <= self.left;
        if has_left {
            self.left -= bytes as f64;
        }
        has_left
    }
}
