//! Placement of models on engines: minimum counts first, then demand; `hold_ms` and the weight store's rate are kept.

use holdpoint_core::placement::{EngineState, Planner, is_held, order_of};
use holdpoint_schema::resources::Placement;
use proptest::prelude::*;
use serde_json::json;

fn placement(loads: u32) -> Placement {
    serde_json::from_value(json!({
        "pool": "p", "hold_ms": 1000, "loads_per_minute": loads,
        "holdings": [{ "model": "a", "engines": 2 }, { "model": "b", "engines": 1 }]
    }))
    .unwrap()
}

fn engine(n: usize, model: &str, load: u32) -> EngineState {
    let mut holds = order_of(&placement(1).holdings[0]);
    holds.model = model.to_owned();
    EngineState { address: format!("e{n}"), holds, load }
}

#[test]
fn minimum_counts_are_met_first_with_idle_engines() {
    let mut planner = Planner::new(0);
    let engines = [engine(0, "", 0), engine(1, "b", 9), engine(2, "b", 0), engine(3, "b", 5)];
    let orders = planner.plan(60_000, &placement(600), &engines);
    let given: Vec<_> =
        orders.iter().map(|it| (it.address.as_str(), it.holds.model.as_str())).collect();
    assert_eq!(given, [("e2", "a"), ("e0", "a")]);
}

#[test]
fn a_new_lease_holder_starts_without_credit_at_the_weight_store() {
    let mut planner = Planner::new(60_000);
    let engines = [engine(0, "", 0), engine(1, "", 0)];
    assert!(planner.plan(60_000, &placement(6), &engines).is_empty());
    assert_eq!(planner.plan(70_000, &placement(6), &engines).len(), 1, "one per ten seconds");
}

#[test]
fn a_lease_is_trusted_for_less_than_its_length() {
    assert!(is_held(1000, 800, 1699));
    assert!(!is_held(1000, 800, 1700));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn orders_stay_within_both_bounds(loads in prop::collection::vec(0..50_u32, 40), rate in 1..120_u32) {
        let placement = placement(rate);
        let mut engines: Vec<_> = (0..6).map(|it| engine(it, "a", 0)).collect();
        let mut planner = Planner::new(0);
        let mut last = [None; 6];
        let mut given = 0;
        for (step, load) in loads.iter().enumerate() {
            let now = step as u64 * 250;
            for (index, it) in engines.iter_mut().enumerate() {
                it.load = if index % 2 == step % 2 { *load } else { 0 };
            }
            for order in planner.plan(now, &placement, &engines) {
                let index = engines.iter().position(|it| it.address == order.address).unwrap();
                engines[index].holds = order.holds;
                prop_assert!(last[index].is_none_or(|it: u64| it + 1000 <= now), "at most one order per hold_ms");
                last[index] = Some(now);
                given += 1;
            }
            let allowed = now as f64 * f64::from(rate) / 60_000.0;
            prop_assert!(f64::from(given) <= allowed + 1e-9, "more orders than the weight store's rate allows");
        }
    }
}
