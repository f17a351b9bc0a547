//! Placement: which model, adapter and role each engine of a pool holds.
//!
//! Each holding has a least number of engines; the others follow smoothed demand. An engine gets
//! at most one order in `hold_ms`, so a pool of `n` engines gets at most `n` orders in any
//! `hold_ms`, whatever demand does; and never more than the weight store's rate allows.

use std::collections::BTreeMap;

use holdpoint_schema::{
    platform::EngineOrder,
    resources::{Holding, Placement},
};

use crate::ids::Millis;

/// Weight of the newest demand.
const NEWEST: f64 = 0.2;
/// A holding gives up an engine to demand only if it has this many more than its share.
const DEADBAND: f64 = 0.75;

/// An engine as it reports itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Address.
    pub address: String,
    /// What it holds.
    pub holds: EngineOrder,
    /// Calls that it runs and that wait at it.
    pub load: u32,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Address of the engine.
    pub address: String,
    /// What it is to hold.
    pub holds: EngineOrder,
}

/// Plans the orders of one pool. It is kept by whoever holds the placement lease, and starts
/// with nothing: a new holder does not know what the last one has drawn from the weight store.
#[derive(Clone, Debug)]
pub struct Planner {
    demand: BTreeMap<String, f64>,
    ordered: BTreeMap<String, Millis>,
    loads: f64,
    since: Millis,
}

impl Planner {
    /// Makes a planner that has drawn all that the weight store allows up to now.
    pub fn new(now: Millis) -> Planner {
        Planner { demand: BTreeMap::new(), ordered: BTreeMap::new(), loads: 0.0, since: now }
    }

    /// Decides on the orders to give now.
    pub fn plan(
        &mut self,
        now: Millis,
        placement: &Placement,
        engines: &[EngineState],
    ) -> Vec<Order> {
        self.learn(now, placement, engines);
        let shares = self.shares(placement, engines.len());
        let mut counts: Vec<usize> = placement
            .holdings
            .iter()
            .map(|it| engines.iter().filter(|engine| engine.holds == order_of(it)).count())
            .collect();
        let mut free: Vec<&EngineState> =
            engines.iter().filter(|it| self.is_free(now, placement, it)).collect();
        // Idle engines first: an order interrupts what runs.
        free.sort_by_key(|it| std::cmp::Reverse(it.load));
        let mut orders = Vec::new();
        while 1.0 <= self.loads {
            let Some(wanted) = neediest(placement, &counts, &shares) else { break };
            let gives = |it: &&EngineState| may_give(placement, &counts, &shares, it);
            let Some(place) = free.iter().rposition(gives) else { break };
            let engine = free.remove(place);
            if let Some(it) = holding_of(placement, engine) {
                counts[it] -= 1;
            }
            counts[wanted] += 1;
            self.loads -= 1.0;
            self.ordered.insert(engine.address.clone(), now);
            let holds = order_of(&placement.holdings[wanted]);
            orders.push(Order { address: engine.address.clone(), holds });
        }
        orders
    }

    fn learn(&mut self, now: Millis, placement: &Placement, engines: &[EngineState]) {
        for holding in &placement.holdings {
            let order = order_of(holding);
            let same = engines.iter().filter(|it| it.holds == order);
            let load: u32 = same.map(|it| it.load).sum();
            let smoothed = self.demand.entry(name_of(&order)).or_default();
            *smoothed += NEWEST * (f64::from(load) - *smoothed);
        }
        let rate = f64::from(placement.loads_per_minute);
        let earned = now.saturating_sub(self.since) as f64 * rate / 60_000.0;
        self.loads = (self.loads + earned).min(rate);
        self.since = now;
    }

    /// Engines that each holding should have: its least number, and a part of the rest by demand.
    fn shares(&self, placement: &Placement, engines: usize) -> Vec<f64> {
        let least: Vec<f64> = placement.holdings.iter().map(|it| f64::from(it.engines)).collect();
        let rest = (engines as f64 - least.iter().sum::<f64>()).max(0.0);
        let of = |it: &Holding| self.demand.get(&name_of(&order_of(it))).copied().unwrap_or(0.0);
        let demand: Vec<f64> = placement.holdings.iter().map(of).collect();
        let total: f64 = demand.iter().sum();
        if total == 0.0 {
            return least;
        }
        least.iter().zip(demand).map(|(least, it)| least + rest * it / total).collect()
    }

    fn is_free(&self, now: Millis, placement: &Placement, engine: &EngineState) -> bool {
        self.ordered.get(&engine.address).is_none_or(|it| it + placement.hold_ms <= now)
    }
}

/// The order that makes an engine hold this.
pub fn order_of(holding: &Holding) -> EngineOrder {
    EngineOrder {
        model: holding.model.clone(),
        adapter: holding.adapter.clone(),
        role: holding.role.to_string(),
    }
}

/// Whether something is running under a lease may be done now, by the holder's own clock: from
/// when the bid was made, for the lease's length, less a part for clocks that run unevenly.
pub fn is_held(bid_at: Millis, length_ms: Millis, now: Millis) -> bool {
    now < bid_at + length_ms - length_ms / 8
}

fn name_of(order: &EngineOrder) -> String {
    format!("{}\n{}\n{}", order.model, order.adapter, order.role)
}

fn holding_of(placement: &Placement, engine: &EngineState) -> Option<usize> {
    placement.holdings.iter().position(|it| order_of(it) == engine.holds)
}

/// The holding that lacks most: first those below their least number, in the order given, then
/// those below their share by a whole engine and the deadband.
fn neediest(placement: &Placement, counts: &[usize], shares: &[f64]) -> Option<usize> {
    let below_least = |it: &usize| counts[*it] < placement.holdings[*it].engines as usize;
    let all = || 0..placement.holdings.len();
    all().find(below_least).or_else(|| {
        let lack = |it: usize| shares[it] - counts[it] as f64;
        all().filter(|it| DEADBAND < lack(*it)).max_by(|a, b| lack(*a).total_cmp(&lack(*b)))
    })
}

/// Whether an engine can be spared: it holds nothing that is asked for, or its holding has more
/// than its least number and clearly more than its share.
fn may_give(placement: &Placement, counts: &[usize], shares: &[f64], engine: &EngineState) -> bool {
    let Some(held) = holding_of(placement, engine) else { return true };
    let least = placement.holdings[held].engines as usize;
    let least_is_met =
        placement.holdings.iter().zip(counts).all(|(it, n)| it.engines as usize <= *n);
    let has_spare = least < counts[held];
    has_spare && (!least_is_met || shares[held] + DEADBAND < counts[held] as f64)
}
