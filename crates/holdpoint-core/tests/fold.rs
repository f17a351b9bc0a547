//! Guards against control state that differs from a plain model for some order of concurrent writers, against
//! snapshots that restore another state, and against two holders of one lease.

use std::collections::{BTreeMap, HashSet};

use holdpoint_core::{
    fold::{Effect, State},
    snapshot::{self, BadSnapshot},
};
use holdpoint_schema::records::{Body, Change, Lease, Record};
use proptest::prelude::*;
use serde_json::{Map, json};

/// A generated change to a resource.
#[derive(Clone, Debug)]
struct DrawnChange {
    writer: u8,
    name: u8,
    /// Number of versions by which its base is outdated.
    staleness: u8,
    is_deletion: bool,
    /// Whether the same record is appended again, as after a lost answer.
    is_repeated: bool,
    /// Whether the operator sends the change again by its id through another instance.
    is_resubmitted: bool,
}

fn draws() -> impl Strategy<Value = Vec<DrawnChange>> {
    let one = (0..3u8, 0..3u8, 0..3u8, any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
        |(writer, name, staleness, is_deletion, is_repeated, is_resubmitted)| DrawnChange {
            writer,
            name,
            staleness,
            is_deletion,
            is_repeated,
            is_resubmitted,
        },
    );
    prop::collection::vec(one, 1..40)
}

fn record(writer: u8, seq: u64, change: Change) -> Record {
    Record { writer: format!("w{writer}"), seq, at: 0, body: Body::Change(change) }
}

/// Records of the generated changes, and the versions of the resources by a plain model.
fn history(draws: &[DrawnChange]) -> (Vec<Record>, BTreeMap<String, u64>) {
    let mut records = Vec::new();
    let mut seqs = [0_u64; 4];
    let mut versions: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    let mut model: BTreeMap<String, u64> = BTreeMap::new();
    let mut seen: HashSet<String> = HashSet::new();
    for (index, draw) in draws.iter().enumerate() {
        let name = format!("n{}", draw.name);
        let known = versions.entry(name.clone()).or_insert_with(|| vec![0]);
        let back = known.len() - 1 - usize::from(draw.staleness).min(known.len() - 1);
        let base = known[back];
        let mut spec = Map::new();
        if !draw.is_deletion {
            spec.insert("value".to_owned(), json!(index));
        }
        let change = Change {
            change: format!("c{index}"),
            kind: "pools".to_owned(),
            name: name.clone(),
            base,
            spec,
            operator: "op".to_owned(),
        };
        seqs[usize::from(draw.writer)] += 1;
        let first = record(draw.writer, seqs[usize::from(draw.writer)], change.clone());
        records.push(first.clone());
        let offset = records.len() as u64;
        let current = model.get(&name).copied().unwrap_or(0);
        if seen.insert(change.change.clone()) && base == current {
            if draw.is_deletion {
                model.remove(&name);
            } else {
                model.insert(name.clone(), offset);
            }
            let now = model.get(&name).copied().unwrap_or(0);
            versions.get_mut(&name).unwrap().push(now);
        }
        if draw.is_repeated {
            records.push(first);
        }
        if draw.is_resubmitted {
            seqs[3] += 1;
            records.push(record(3, seqs[3], change));
        }
    }
    (records, model)
}

fn folded(records: &[Record]) -> State {
    let mut state = State::default();
    for (index, record) in records.iter().enumerate() {
        state.apply(index as u64 + 1, index as u64, record);
    }
    state
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_fold_agrees_with_a_plain_model(draws in draws()) {
        let (records, model) = history(&draws);
        let state = folded(&records);
        let found: BTreeMap<String, u64> =
            state.resources("pools").map(|(name, it)| (name.clone(), it.version)).collect();
        prop_assert_eq!(found, model);
    }

    #[test]
    fn a_snapshot_of_any_prefix_leads_to_the_same_state(draws in draws(), cut in 0.0..1.0_f64) {
        let (records, _) = history(&draws);
        let whole = folded(&records);
        let length = (records.len() as f64 * cut) as usize;
        let parts = snapshot::take(&folded(&records[..length]), 64);
        let mut state = snapshot::restore(parts.iter().rev().chain(&parts)).unwrap();
        for (index, record) in records.iter().enumerate() {
            // Records that the snapshot covers must have no effect when applied again.
            let before = state.offset();
            let effect = state.apply(index as u64 + 1, index as u64, record);
            if (index as u64) < before {
                prop_assert_eq!(effect, Effect::Duplicate);
            }
        }
        prop_assert_eq!(snapshot::take(&state, 64), snapshot::take(&whole, 64));
    }

    #[test]
    fn versions_never_go_back(draws in draws()) {
        let (records, _) = history(&draws);
        let mut state = State::default();
        let mut highest: BTreeMap<String, u64> = BTreeMap::new();
        for (index, record) in records.iter().enumerate() {
            state.apply(index as u64 + 1, index as u64, record);
            for (name, entry) in state.resources("pools") {
                let before = highest.insert(name.clone(), entry.version).unwrap_or(0);
                prop_assert!(before <= entry.version);
            }
        }
    }
}

fn lease_record(writer: &str, seq: u64, length_ms: u64) -> Record {
    let lease = Lease { lease: "placement".into(), holder: writer.into(), length_ms };
    Record { writer: writer.into(), seq, at: 0, body: Body::Lease(lease) }
}

#[test]
fn a_lease_has_one_holder_at_a_time_and_a_higher_token_for_each_new_one() {
    let mut state = State::default();
    assert_eq!(state.apply(1, 1000, &lease_record("a", 1, 500)), Effect::Leased);
    assert_eq!(state.apply(2, 1100, &lease_record("b", 1, 500)), Effect::LeaseHeld);
    assert_eq!(state.apply(3, 1200, &lease_record("a", 2, 500)), Effect::Leased, "a renewal");
    assert_eq!(state.grant("placement").unwrap().token, 1, "a renewal keeps the token");
    assert_eq!(state.apply(4, 1699, &lease_record("b", 2, 500)), Effect::LeaseHeld);
    assert_eq!(
        state.apply(5, 1700, &lease_record("b", 3, 500)),
        Effect::Leased,
        "the lease expired at 1,700 ms"
    );
    assert_eq!(state.grant("placement").unwrap().token, 5);
    assert_eq!(
        state.apply(6, 1800, &lease_record("a", 3, 500)),
        Effect::LeaseHeld,
        "another holder has the lease"
    );
}

#[test]
fn a_snapshot_that_was_tampered_with_is_rejected() {
    let mut state = State::default();
    state.apply(1, 0, &lease_record("a", 1, 10));
    let parts = snapshot::take(&state, 16);
    assert!(1 < parts.len());
    assert_eq!(snapshot::restore(&parts[1..]), Err(BadSnapshot::Parts));
    assert_eq!(snapshot::restore([]), Err(BadSnapshot::Parts));
    let good = snapshot::take(&state, 1 << 20).remove(0);
    let mut bad = good.clone();
    bad.state = bad.state.replace("placement", "placemenu");
    assert_eq!(snapshot::restore([&bad]), Err(BadSnapshot::Hash));
    let mut moved = good;
    moved.offset = 9;
    assert_eq!(snapshot::restore([&moved]), Err(BadSnapshot::Offset));
}

#[test]
fn writers_try_a_snapshot_one_after_the_other_by_rank() {
    let is_due = |age, rank| snapshot::is_due(10, age, 1600, rank);
    assert!(!is_due(399, 0));
    assert!(is_due(400, 0));
    assert!(!is_due(400, 1));
    assert!(is_due(500, 1));
    assert!(is_due(400 + 700, 100), "all have tried before retention ends");
    assert!(!snapshot::is_due(0, 10_000, 1600, 0), "no records since the last snapshot");
}
