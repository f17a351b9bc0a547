//! Placement: which model, adapter and role (a holding) each engine of a pool loads.
//!
//! Each holding has a minimum number of engines; the other engines follow smoothed demand. An engine gets
//! at most one order per `hold_ms`, which limits churn, and all orders together stay within the rate of the
//! weight store.

use std::collections::BTreeMap;

use holdpoint_schema::{
    platform::EngineOrder,
    resources::{Holding, Placement},
};

use crate::ids::Millis;

/// EWMA weight of the newest demand.
const DEMAND_WEIGHT: f64 = 0.2;
/// Hysteresis, in engines: how far a holding must be from its share for an engine to move.
const DEADBAND_ENGINES: f64 = 0.75;

/// State that an engine reports.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Address of the engine.
    pub address: String,
    /// Its current model, adapter and role.
    pub holds: EngineOrder,
    /// Calls running and waiting.
    pub load: u32,
}

/// An order to an engine to change its holding.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Address of the engine.
    pub address: String,
    /// Its new model, adapter and role.
    pub holds: EngineOrder,
}

/// Plans the orders of one pool, on the holder of the placement lease. Its allowance starts empty, since a
/// new holder does not know how much the last one has spent of the weight store's rate.
#[derive(Clone, Debug)]
pub struct Planner {
    demand: BTreeMap<String, f64>,
    last_orders: BTreeMap<String, Millis>,
    allowance: f64,
    updated: Millis,
}

impl Planner {
    /// Creates a planner with an empty allowance.
    pub fn new(now: Millis) -> Planner {
        Planner {
            demand: BTreeMap::new(),
            last_orders: BTreeMap::new(),
            allowance: 0.0,
            updated: now,
        }
    }

    /// Returns the orders to send now.
    pub fn plan(
        &mut self,
        now: Millis,
        placement: &Placement,
        engines: &[EngineState],
    ) -> Vec<Order> {
        self.update(now, placement, engines);
        let shares = self.shares(placement, engines.len());
        let mut counts: Vec<usize> = placement
            .holdings
            .iter()
            .map(|it| engines.iter().filter(|engine| engine.holds == order_of(it)).count())
            .collect();
        let mut eligible: Vec<&EngineState> =
            engines.iter().filter(|it| self.is_eligible(now, placement, it)).collect();
        // Least loaded engines are taken first, from the end: an order interrupts running calls.
        eligible.sort_by_key(|it| std::cmp::Reverse(it.load));
        let mut orders = Vec::new();
        while 1.0 <= self.allowance {
            let Some(wanted) = next_holding(placement, &counts, &shares) else { break };
            let releasable = |it: &&EngineState| is_releasable(placement, &counts, &shares, it);
            let Some(place) = eligible.iter().rposition(releasable) else { break };
            let engine = eligible.remove(place);
            if let Some(it) = holding_of(placement, engine) {
                counts[it] -= 1;
            }
            counts[wanted] += 1;
            self.allowance -= 1.0;
            self.last_orders.insert(engine.address.clone(), now);
            let holds = order_of(&placement.holdings[wanted]);
            orders.push(Order { address: engine.address.clone(), holds });
        }
        orders
    }

    fn update(&mut self, now: Millis, placement: &Placement, engines: &[EngineState]) {
        for holding in &placement.holdings {
            let order = order_of(holding);
            let same = engines.iter().filter(|it| it.holds == order);
            let load: u32 = same.map(|it| it.load).sum();
            let smoothed = self.demand.entry(key_of(&order)).or_default();
            *smoothed += DEMAND_WEIGHT * (f64::from(load) - *smoothed);
        }
        let rate = f64::from(placement.loads_per_minute);
        let refill = now.saturating_sub(self.updated) as f64 * rate / 60_000.0;
        self.allowance = (self.allowance + refill).min(rate);
        self.updated = now;
    }

    /// Number of engines that each holding should have: its minimum, and a share of the rest by demand.
    fn shares(&self, placement: &Placement, engines: usize) -> Vec<f64> {
        let minimum: Vec<f64> = placement.holdings.iter().map(|it| f64::from(it.engines)).collect();
        let rest = (engines as f64 - minimum.iter().sum::<f64>()).max(0.0);
        let demand_of =
            |it: &Holding| self.demand.get(&key_of(&order_of(it))).copied().unwrap_or(0.0);
        let demand: Vec<f64> = placement.holdings.iter().map(demand_of).collect();
        let total: f64 = demand.iter().sum();
        if total == 0.0 {
            return minimum;
        }
        minimum.iter().zip(demand).map(|(minimum, it)| minimum + rest * it / total).collect()
    }

    fn is_eligible(&self, now: Millis, placement: &Placement, engine: &EngineState) -> bool {
        self.last_orders.get(&engine.address).is_none_or(|it| it + placement.hold_ms <= now)
    }
}

/// The order that assigns a holding to an engine.
pub fn order_of(holding: &Holding) -> EngineOrder {
    EngineOrder {
        model: holding.model.clone(),
        adapter: holding.adapter.clone(),
        role: holding.role.to_string(),
    }
}

/// Whether a lease is still held, by the holder's own clock. It counts from the time of the bid, and ends
/// early by a margin for clock drift.
pub fn is_held(bid_at: Millis, length_ms: Millis, now: Millis) -> bool {
    now < bid_at + length_ms - length_ms / 8
}

fn key_of(order: &EngineOrder) -> String {
    format!("{}\n{}\n{}", order.model, order.adapter, order.role)
}

fn holding_of(placement: &Placement, engine: &EngineState) -> Option<usize> {
    placement.holdings.iter().position(|it| order_of(it) == engine.holds)
}

/// The holding to assign next: the first below its minimum, otherwise the one furthest below its share by
/// more than the deadband.
fn next_holding(placement: &Placement, counts: &[usize], shares: &[f64]) -> Option<usize> {
    let below_minimum = |it: &usize| counts[*it] < placement.holdings[*it].engines as usize;
    let all = || 0..placement.holdings.len();
    all().find(below_minimum).or_else(|| {
        let lack = |it: usize| shares[it] - counts[it] as f64;
        all().filter(|it| DEADBAND_ENGINES < lack(*it)).max_by(|a, b| lack(*a).total_cmp(&lack(*b)))
    })
}

/// Whether an engine can change its holding: none is configured for it, or its holding is above its minimum and
/// either another is below its own or this one exceeds its share by more than the deadband.
fn is_releasable(
    placement: &Placement,
    counts: &[usize],
    shares: &[f64],
    engine: &EngineState,
) -> bool {
    let Some(holding) = holding_of(placement, engine) else { return true };
    let minimum = placement.holdings[holding].engines as usize;
    let all_met = placement.holdings.iter().zip(counts).all(|(it, n)| it.engines as usize <= *n);
    let has_surplus = minimum < counts[holding];
    has_surplus && (!all_met || shares[holding] + DEADBAND_ENGINES < counts[holding] as f64)
}
