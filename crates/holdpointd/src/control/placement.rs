//! Model placement: one instance holds a lease in the log and sends orders to engines under it.
//!
//! Any instance may bid; the log grants the lease. The offset of the grant is the fencing token of each
//! order. A holder that was paused beyond its lease may still send orders: engines that check tokens refuse
//! them. For other engines, the holder reads the log again before each order, and orders are idempotent.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use holdpoint_core::{
    catalog::Catalog,
    fold::{Effect, Grant},
    ids::{Millis, Name, Offset},
    placement::{EngineState, Order, Planner, is_held},
    route::Member,
};
use holdpoint_schema::{
    peer::Phase,
    records::{Body, Lease},
    resources::{Checks, Placement},
};

use crate::{
    control::{Control, Input, tail},
    events::{self, emit},
    shared::{Shared, members_of},
};

/// Name of the lease.
const LEASE: &str = "placement";
/// Minimum interval between two rounds of orders.
const ROUND_INTERVAL_MS: Millis = 1000;
/// Delay of a bid for each live instance that bids earlier.
const BID_DELAY_MS: Millis = 200;

/// Planners by name of the placement.
pub(crate) type Planners = BTreeMap<Name, Planner>;

/// State of this instance's bids and rounds.
#[derive(Default)]
pub(crate) struct PlacementState {
    bid_at: Option<Millis>,
    won_at: Option<Millis>,
    free_since: Option<Millis>,
    round_at: Millis,
    is_round_running: bool,
    planners: Planners,
}

/// One round of orders.
struct Round {
    shared: Arc<Shared>,
    token: Offset,
    won_at: Millis,
    offset: Offset,
    placements: Vec<(Name, Placement, Checks, Arc<Vec<Member>>)>,
}

impl Control {
    /// Bids for the lease, renews it, and starts rounds of orders while this instance holds it.
    pub(crate) fn tick_placement(&mut self, now: Millis) {
        if self.lifecycle.phase() != Phase::Ready || self.catalog.placements.is_empty() {
            return;
        }
        let grant = self.state.grant(LEASE).cloned();
        let is_mine = grant.as_ref().is_some_and(|it| it.holder == self.shared.incarnation);
        self.bid_if_due(now, grant.as_ref(), is_mine);
        let Some(grant) = grant.filter(|_| is_mine) else {
            self.placement.planners.clear();
            return;
        };
        let length = self.shared.settings.timing.lease_ms;
        let Some(won_at) = self.placement.won_at.filter(|it| is_held(*it, length, now)) else {
            return;
        };
        if self.placement.is_round_running || now < self.placement.round_at + ROUND_INTERVAL_MS {
            return;
        }
        self.placement.is_round_running = true;
        self.placement.round_at = now;
        let round = Round {
            shared: self.shared.clone(),
            token: grant.token,
            won_at,
            offset: self.state.offset(),
            placements: placements(&self.catalog, &self.shared),
        };
        tokio::spawn(run(round, std::mem::take(&mut self.placement.planners)));
    }

    /// Records that a bid of this instance was granted.
    pub(crate) fn record_lease(&mut self, effect: &Effect) {
        let holder = self.state.grant(LEASE).map(|it| it.holder.clone());
        let is_mine = holder.as_deref() == Some(self.shared.incarnation.as_str());
        if *effect == Effect::Leased && is_mine {
            self.placement.won_at = self.placement.bid_at;
        }
    }

    /// Stores the planners after a round.
    pub(crate) fn round_ended(&mut self, planners: Planners) {
        self.placement.is_round_running = false;
        self.placement.planners = planners;
    }

    fn bid_if_due(&mut self, now: Millis, grant: Option<&Grant>, is_mine: bool) {
        let length = self.shared.settings.timing.lease_ms;
        let since_bid = self.placement.bid_at.map_or(Millis::MAX, |it| now.saturating_sub(it));
        let is_due = if is_mine {
            length / 3 <= since_bid
        } else if grant.is_some_and(|it| self.log_now < it.until) {
            self.placement.free_since = None;
            false
        } else {
            let free_since = *self.placement.free_since.get_or_insert(now);
            let me = &self.view.me().name;
            let rank = self.view.live().filter(|it| it.name < *me).count() as u64;
            free_since + rank * BID_DELAY_MS <= now && length / 2 <= since_bid
        };
        if !is_due {
            return;
        }
        self.placement.bid_at = Some(now);
        let (lease, holder) = (LEASE.to_owned(), self.shared.incarnation.clone());
        self.changes.append(Body::Lease(Lease { lease, holder, length_ms: length }));
    }
}

fn placements(
    catalog: &Catalog,
    shared: &Shared,
) -> Vec<(Name, Placement, Checks, Arc<Vec<Member>>)> {
    let view = shared.published();
    let placements = catalog.placements.iter().filter_map(|(name, it)| {
        let checks = catalog.pools.get(&it.spec.pool)?.spec.checks;
        let members = members_of(&view.targets, &it.spec.pool);
        Some((name.clone(), it.spec.clone(), checks, members))
    });
    placements.collect()
}

async fn run(round: Round, mut planners: Planners) {
    for (name, placement, checks, members) in &round.placements {
        let states = engine_states(&round.shared, members).await;
        let now = round.shared.clock.now();
        let planner = planners.entry(name.clone()).or_insert_with(|| Planner::new(now));
        for order in planner.plan(now, placement, &states) {
            if !round.may_order(*checks).await {
                break;
            }
            round.send_order(&order, *checks).await;
        }
    }
    drop(round.shared.control.send(Input::RoundEnded { planners }).await);
}

impl Round {
    /// Whether the lease is still valid by the clock and, for engines that check no tokens, by the log as well.
    async fn may_order(&self, checks: Checks) -> bool {
        let length = self.shared.settings.timing.lease_ms;
        let is_valid = || is_held(self.won_at, length, self.shared.clock.now());
        if checks == Checks::Token {
            return is_valid();
        }
        let read = self.shared.log.read(tail::CONTROL, self.offset + 1, 512, Duration::ZERO).await;
        let Ok(batch) = read else { return false };
        let other =
            |it: &Body| matches!(it, Body::Lease(it) if it.holder != self.shared.incarnation);
        let has_other_bid =
            batch.records.iter().flat_map(|it| &it.record).any(|it| other(&it.body));
        !has_other_bid && is_valid()
    }

    async fn send_order(&self, order: &Order, checks: Checks) {
        let token = (checks == Checks::Token).then_some(self.token);
        let given = self.shared.engines.order(&order.address, token, &order.holds).await;
        let detail = format!("{} is to hold {}: {given:?}", order.address, order.holds.model);
        emit(events::ORDERED, &self.shared.settings.instance, &detail);
    }
}

/// States of the engines that answer. Engines that do not answer get no orders.
async fn engine_states(shared: &Shared, members: &[Member]) -> Vec<EngineState> {
    let not_draining = members.iter().filter(|it| !it.is_draining);
    let reports = not_draining.map(|it| async move {
        let report = shared.engines.report(&it.address).await.ok()?;
        let (address, holds) = (it.address.clone(), report.holds);
        Some(EngineState { address, holds, load: report.running + report.waiting })
    });
    futures::future::join_all(reports).await.into_iter().flatten().collect()
}
