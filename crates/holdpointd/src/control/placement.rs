//! Placement on the running path: the lease in the log, and the orders given under it.
//!
//! Any instance may bid; the log decides. The grant's offset is the fencing token of every order.
//! The holder trusts its lease by its own clock for less than its length. A holder that was paused
//! past its lapse may still act on what it last knew: engines that check tokens refuse it. For
//! those that do not, the holder reads the log again just before each order, and an order can be
//! given any number of times.

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
/// Time between two rounds of orders, in milliseconds.
const ROUND_MS: Millis = 1000;
/// Instances wait this long for each one that bids before them, in milliseconds.
const RANK_MS: Millis = 200;

/// Planners by placement.
pub(crate) type Planners = BTreeMap<Name, Planner>;

/// What this instance knows of its own part in placement.
#[derive(Default)]
pub(crate) struct Placing {
    bid_at: Option<Millis>,
    won_at: Option<Millis>,
    free_since: Option<Millis>,
    round_at: Millis,
    is_running: bool,
    planners: Planners,
}

/// One round of orders.
struct Round {
    shared: Arc<Shared>,
    token: Offset,
    won_at: Millis,
    offset: Offset,
    work: Vec<(Name, Placement, Checks, Arc<Vec<Member>>)>,
}

impl Control {
    /// Bids for the lease, renews it, and gives orders while it is held.
    pub(crate) fn place(&mut self, now: Millis) {
        if self.life.phase() != Phase::Ready || self.catalog.placements.is_empty() {
            return;
        }
        let grant = self.state.grant(LEASE).cloned();
        let is_mine = grant.as_ref().is_some_and(|it| it.holder == self.shared.incarnation);
        self.bid_if_due(now, grant.as_ref(), is_mine);
        let Some(grant) = grant.filter(|_| is_mine) else {
            self.placing.planners.clear();
            return;
        };
        let length = self.shared.settings.timing.lease_ms;
        let Some(won_at) = self.placing.won_at.filter(|it| is_held(*it, length, now)) else {
            return;
        };
        if self.placing.is_running || now < self.placing.round_at + ROUND_MS {
            return;
        }
        self.placing.is_running = true;
        self.placing.round_at = now;
        let round = Round {
            shared: self.shared.clone(),
            token: grant.token,
            won_at,
            offset: self.state.offset(),
            work: work(&self.catalog, &self.shared),
        };
        tokio::spawn(run(round, std::mem::take(&mut self.placing.planners)));
    }

    /// Notes a bid of this instance that has won.
    pub(crate) fn leased(&mut self, effect: &Effect) {
        let holder = self.state.grant(LEASE).map(|it| it.holder.clone());
        let is_mine = holder.as_deref() == Some(self.shared.incarnation.as_str());
        if *effect == Effect::Leased && is_mine {
            self.placing.won_at = self.placing.bid_at;
        }
    }

    /// Takes the planners back after a round.
    pub(crate) fn round_ended(&mut self, planners: Planners) {
        self.placing.is_running = false;
        self.placing.planners = planners;
    }

    fn bid_if_due(&mut self, now: Millis, grant: Option<&Grant>, is_mine: bool) {
        let length = self.shared.settings.timing.lease_ms;
        let since_bid = self.placing.bid_at.map_or(Millis::MAX, |it| now.saturating_sub(it));
        let is_due = if is_mine {
            length / 3 <= since_bid
        } else if grant.is_some_and(|it| self.log_now < it.until) {
            self.placing.free_since = None;
            false
        } else {
            let free_since = *self.placing.free_since.get_or_insert(now);
            let me = &self.view.me().name;
            let rank = self.view.live().filter(|it| it.name < *me).count() as u64;
            free_since + rank * RANK_MS <= now && length / 2 <= since_bid
        };
        if !is_due {
            return;
        }
        self.placing.bid_at = Some(now);
        let (lease, holder) = (LEASE.to_owned(), self.shared.incarnation.clone());
        self.changes.append(Body::Lease(Lease { lease, holder, length_ms: length }));
    }
}

fn work(catalog: &Catalog, shared: &Shared) -> Vec<(Name, Placement, Checks, Arc<Vec<Member>>)> {
    let view = shared.now();
    let placements = catalog.placements.iter().filter_map(|(name, it)| {
        let checks = catalog.pools.get(&it.spec.pool)?.spec.checks;
        let members = members_of(&view.targets, &it.spec.pool);
        Some((name.clone(), it.spec.clone(), checks, members))
    });
    placements.collect()
}

async fn run(round: Round, mut planners: Planners) {
    for (name, placement, checks, members) in &round.work {
        let states = states(&round.shared, members).await;
        let now = round.shared.clock.now();
        let planner = planners.entry(name.clone()).or_insert_with(|| Planner::new(now));
        for order in planner.plan(now, placement, &states) {
            if !round.may_order(*checks).await {
                break;
            }
            round.give(&order, *checks).await;
        }
    }
    drop(round.shared.control.send(Input::RoundEnded { planners }).await);
}

impl Round {
    /// Whether the lease still holds, by the clock, and where engines check nothing by the log.
    async fn may_order(&self, checks: Checks) -> bool {
        let length = self.shared.settings.timing.lease_ms;
        let holds = || is_held(self.won_at, length, self.shared.clock.now());
        if checks == Checks::Token {
            return holds();
        }
        let read = self.shared.log.read(tail::CONTROL, self.offset + 1, 512, Duration::ZERO).await;
        let Ok(batch) = read else { return false };
        let other =
            |it: &Body| matches!(it, Body::Lease(it) if it.holder != self.shared.incarnation);
        let is_contested = batch.records.iter().flat_map(|it| &it.record).any(|it| other(&it.body));
        !is_contested && holds()
    }

    async fn give(&self, order: &Order, checks: Checks) {
        let token = (checks == Checks::Token).then_some(self.token);
        let given = self.shared.engines.order(&order.address, token, &order.holds).await;
        let detail = format!("{} is to hold {}: {given:?}", order.address, order.holds.model);
        emit(events::ORDERED, &self.shared.settings.instance, &detail);
    }
}

/// Reports of the engines that answer; an engine that does not gets no order.
async fn states(shared: &Shared, members: &[Member]) -> Vec<EngineState> {
    let staying = members.iter().filter(|it| !it.leaving);
    let reports = staying.map(|it| async move {
        let report = shared.engines.report(&it.address).await.ok()?;
        let (address, holds) = (it.address.clone(), report.holds);
        Some(EngineState { address, holds, load: report.running + report.waiting })
    });
    futures::future::join_all(reports).await.into_iter().flatten().collect()
}
