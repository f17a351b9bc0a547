//! Measures how memory, time and bytes of the core grow with the size of the system, and fits a
//! line to each.

use std::{collections::HashMap, hint::black_box, pin::Pin, time::Instant};

use holdpoint_core::{
    catalog::{Catalog, default_policy},
    claims::{ClaimTable, Claimant},
    cold::Share,
    concurrency::{AdmissionRequest, Gate, Offer, Signal},
    fold::{Effect, State},
    ids::sha256_hex,
    membership::View,
    route::{Call, Member as Target, Router},
    snapshot,
};
use holdpoint_schema::{
    peer::{Digest, Member, Phase},
    records::{Body, Change, ClaimBody, ClaimEntry, ClaimKey, ClaimOutcome, ClaimStep, Record},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;
use tokio_serde::{Serializer, formats::Cbor};
use uuid::{Builder, Uuid};

/// Returns the net bytes allocated by this process.
pub type Allocated = fn() -> usize;

/// Runs of each measurement; the spread is taken over them.
const REPEATS: usize = 5;

/// Pairs of size and measured value.
type Points = Vec<(f64, f64)>;

/// A line fitted to a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Measured quantity, with its unit.
    pub what: &'static str,
    /// Size that the quantity grows with.
    pub by: &'static str,
    /// Points of the median run.
    pub points: Points,
    /// Slope of the median run: growth per unit of size.
    pub slope: f64,
    /// Value at size 0, of the median run.
    pub base: f64,
    /// Smallest and largest slope of all runs.
    pub spread: (f64, f64),
}

/// Runs one measurement `REPEATS` times and fits a line to each run.
fn fit(
    what: &'static str,
    by: &'static str,
    sizes: &[usize],
    mut measure: impl FnMut(usize) -> f64,
) -> Slope {
    // Warm up caches and the allocator.
    for size in sizes {
        black_box(measure(*size));
    }
    let mut runs: Vec<(f64, f64, Points)> = (0..REPEATS)
        .map(|_| {
            let points: Points = sizes.iter().map(|it| (*it as f64, measure(*it))).collect();
            let (slope, base) = line(&points);
            (slope, base, points)
        })
        .collect();
    runs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let spread = (runs[0].0, runs[REPEATS - 1].0);
    let (slope, base, points) = runs.swap_remove(REPEATS / 2);
    Slope { what, by, points, slope, base, spread }
}

/// Least-squares fit: slope and value at 0.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let (mx, my) = (sx / n, sy / n);
    let numerator: f64 = points.iter().map(|it| (it.0 - mx) * (it.1 - my)).sum();
    let denominator: f64 = points.iter().map(|it| (it.0 - mx).powi(2)).sum();
    let slope = if denominator == 0.0 { 0.0 } else { numerator / denominator };
    (slope, my - slope * mx)
}

/// Measures all slopes. `allocated` returns the net bytes allocated by this process.
pub fn slopes(allocated: Allocated) -> Vec<Slope> {
    let mut slopes = organisations(allocated);
    slopes.extend(targets(allocated));
    slopes.extend(admission(allocated));
    slopes.extend(claims(allocated));
    slopes.extend(members(allocated));
    slopes
}

fn change(index: usize, seq: u64, base: u64) -> Record {
    let name = format!("organisation-{index:05}");
    let spec = json!({
        "key_sha256": [sha256_hex(name.as_bytes())], "share": 1, "concurrency": 64
    });
    let spec = spec.as_object().cloned().unwrap_or_default();
    let body = Body::Change(Change {
        change: format!("change-{seq}"),
        kind: "organisations".to_owned(),
        name,
        base,
        spec,
        operator: "operator".to_owned(),
    });
    Record { writer: "writer".to_owned(), seq, at: seq, body }
}

fn state_of(organisations: usize) -> State {
    let mut state = State::default();
    for index in 0..organisations {
        let offset = index as u64 + 1;
        // An hour between changes keeps the fold's memory of recent changes small.
        state.apply(offset, offset * 3_600_001, &change(index, offset, 0));
    }
    state
}

fn micros(work: impl FnOnce()) -> f64 {
    let began = Instant::now();
    work();
    began.elapsed().as_secs_f64() * 1e6
}

fn organisations(allocated: Allocated) -> Vec<Slope> {
    let sizes = [1000, 2000, 4000, 8000, 16_000, 25_000];
    let (by, states): (_, Vec<State>) =
        ("organisations", sizes.iter().map(|it| state_of(*it)).collect());
    let state = |n: usize| &states[sizes.iter().position(|it| *it == n).unwrap_or(0)];
    let one_change = |n: usize, is_rebuilt: bool| {
        let mut state = state(n).clone();
        let mut catalog = Catalog::new(&state);
        let old_catalog = catalog.clone();
        let offset = state.offset() + 1;
        let record = change(7, offset, 8);
        let took = micros(|| {
            let effect = state.apply(offset, offset * 3_600_001, &record);
            if is_rebuilt {
                catalog = Catalog::new(&state);
            } else if let Effect::Changed { kind, name, entry } = effect {
                catalog.set(&kind, &name, entry.as_ref());
            }
        });
        drop(black_box((catalog, old_catalog)));
        took
    };
    vec![
        fit("state and catalog, bytes", by, &sizes, |n| {
            let before = allocated();
            let state = state_of(n);
            let catalog = Catalog::new(&state);
            let bytes = allocated().saturating_sub(before);
            drop(black_box((state, catalog)));
            bytes as f64
        }),
        fit("one change, every resource parsed again, µs", by, &sizes, |n| one_change(n, true)),
        fit("one change, its own entry only, µs", by, &sizes, |n| one_change(n, false)),
        fit("snapshot, bytes", by, &sizes, |n| {
            let parts = snapshot::take(state(n), snapshot::PART_BYTES);
            parts.iter().map(|it| it.state.len() as f64).sum()
        }),
        fit("snapshot taken, µs", by, &sizes, |n| {
            micros(|| drop(black_box(snapshot::take(state(n), snapshot::PART_BYTES))))
        }),
        fit("snapshot restored with its catalog, µs", by, &sizes, |n| {
            let parts = snapshot::take(state(n), snapshot::PART_BYTES);
            micros(|| {
                let state = snapshot::restore(&parts);
                drop(black_box(state.map(|it| Catalog::new(&it))));
            })
        }),
    ]
}

fn pool(targets: usize) -> Vec<Target> {
    (0..targets)
        .map(|it| Target {
            address: format!("10.{}.{}.{}:8000", it >> 16, (it >> 8) & 255, it & 255),
            domain: format!("domain-{}", it % 4),
            is_draining: false,
            is_evacuated: false,
        })
        .collect()
}

fn router(members: &[Target]) -> Router {
    let mut router = Router::new("entry-1", "domain-0", default_policy());
    router.set_members(members);
    router
}

fn targets(allocated: Allocated) -> Vec<Slope> {
    const CALLS: usize = 2000;
    let sizes = [12, 75, 150, 300, 600, 1200, 2400, 4800];
    let by = "targets";
    vec![
        fit("routing state, bytes", by, &sizes, |n| {
            let before = allocated();
            let router = router(&pool(n));
            let bytes = allocated().saturating_sub(before);
            drop(black_box(router));
            bytes as f64
        }),
        fit("list of targets taken in, µs", by, &sizes, |n| {
            let members = pool(n);
            micros(|| drop(black_box(router(&members))))
        }),
        fit("one decision, µs", by, &sizes, |n| {
            let mut router = router(&pool(n));
            let policy = default_policy();
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let call = Call {
                work: 1.0,
                prefix_work: 0.1,
                prefix: Some(7),
                tried: &[],
                cap: 10_000,
                share: Share::Whole,
                inputs: &[],
                is_own: true,
                within: None,
            };
            micros(|| {
                for now in 0..CALLS as u64 {
                    if let Ok(it) = router.choose(now, &policy, &call, &mut rng) {
                        router.sent(now, &it.address, &call);
                    }
                }
            }) / CALLS as f64
        }),
    ]
}

fn admission(allocated: Allocated) -> Vec<Slope> {
    let sizes = [1000, 2000, 4000, 8000, 16_000, 25_000];
    let by = "active organisations";
    let names: Vec<String> = (0..25_000).map(|it| format!("organisation-{it:05}")).collect();
    let full = |n: usize| {
        let mut gate = Gate::new(4 * n);
        for name in &names[..n] {
            let admission = AdmissionRequest {
                organisation: name,
                share: 1,
                cap: 64,
                deadline: 10_000,
                service_ms: 100,
            };
            // The gate admits one in four and defers the others.
            black_box(gate.offer(0, &admission));
        }
        gate
    };
    vec![
        fit("admission state, bytes", by, &sizes, |n| {
            let before = allocated();
            let gate = full(n);
            let bytes = allocated().saturating_sub(before);
            drop(black_box(gate));
            bytes as f64
        }),
        fit("one request admitted and ended, µs", by, &sizes, |n| {
            const REQUESTS: usize = 1000;
            let mut gate = full(n);
            micros(|| {
                for index in 0..REQUESTS {
                    let name = &names[(index * 7919) % n];
                    let admission = AdmissionRequest {
                        organisation: name,
                        share: 1,
                        cap: 64,
                        deadline: 10_000,
                        service_ms: 100,
                    };
                    if gate.offer(index as u64, &admission) == Offer::Admit {
                        drop(black_box(gate.done(index as u64, name, Signal::Clear)));
                    }
                }
            }) / REQUESTS as f64
        }),
    ]
}

fn claim(index: usize, step: ClaimStep) -> ClaimEntry {
    let millis = 1_700_000_000_000 + index as u64 / 10;
    let mut random = [0; 10];
    random[2..].copy_from_slice(&(index as u64).to_be_bytes());
    let uuid: Uuid = Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
    ClaimEntry {
        key: ClaimKey {
            organisation: format!("organisation-{:05}", index % 25_000),
            pipeline: "stock-hold".to_owned(),
            key: uuid.to_string(),
        },
        claimant: "019ade0f6d3c7a1b8e2f4c5d6e7f8091".to_owned(),
        call: index as u64,
        step,
    }
}

fn claim_steps(index: usize) -> [ClaimEntry; 2] {
    let answer = json!({
        "request": "019ade0f6d3c7a1b8e2f4c5d6e7f8091:123456",
        "output": { "hold": "8d1f", "bottles": 6, "until": "2026-12-02T18:00:00Z" },
        "stages": [{ "name": "hold", "target": "10.0.0.17:8000", "ms": 12, "cost": 3 }],
    });
    [
        claim(index, ClaimStep::Claim(ClaimBody { body_hash: sha256_hex(b"body") })),
        claim(index, ClaimStep::Outcome(ClaimOutcome { answer: Some(answer.to_string()) })),
    ]
}

fn claims(allocated: Allocated) -> Vec<Slope> {
    let sizes = [1000, 4000, 16_000, 64_000];
    let by = "claims in the window";
    let filled = |n: usize| {
        let mut table = ClaimTable::new(300_000);
        for index in 0..n {
            let offset = 2 * index as u64 + 1;
            for (more, step) in (0..).zip(claim_steps(index)) {
                table.apply(offset + more, 1_700_000_000_000, &[step]);
            }
        }
        table
    };
    vec![
        fit("claim table, bytes", by, &sizes, |n| {
            let before = allocated();
            let table = filled(n);
            let bytes = allocated().saturating_sub(before);
            drop(black_box(table));
            bytes as f64
        }),
        fit("claims and outcomes folded, µs", by, &sizes, |n| {
            let steps: Vec<_> = (0..n).map(claim_steps).collect();
            let mut table = ClaimTable::new(300_000);
            let took = micros(|| {
                for (offset, steps) in (1..).zip(&steps) {
                    table.apply(offset, 1_700_000_000_000, steps);
                }
                let claimant = Claimant { incarnation: "x".to_owned(), call: 1 };
                for steps in &steps {
                    drop(black_box(table.status(&steps[0].key, "h", &claimant)));
                }
            });
            drop(black_box(table));
            took
        }),
        fit("claims and outcomes in the log, bytes", by, &sizes, |n| {
            let bytes = |it: &ClaimEntry| serde_json::to_vec(it).map_or(0, |it| it.len());
            (0..n).flat_map(claim_steps).map(|it| bytes(&it) as f64).sum()
        }),
    ]
}

fn member(index: usize) -> Member {
    Member {
        name: format!("entry-{index:03}"),
        incarnation: format!("019ade0f6d3c7a1b8e2f4c5d{index:08x}"),
        seq: 1,
        phase: Phase::Ready,
        applied: 1,
        peers: format!("10.1.{}.{}:8102", index / 250, index % 250),
        domain: format!("domain-{}", index % 4),
    }
}

/// Views of `n` instances that have exchanged digests until none has anything new.
pub fn settled_views(n: usize) -> Vec<View> {
    let mut views: Vec<View> = (0..n).map(|it| View::new(member(it), 0)).collect();
    let all = Digest {
        from: "everyone".to_owned(),
        head: 1,
        confirmed_ms: Some(0),
        version: 0,
        seen: 0,
        members: (0..n).map(member).collect(),
        acks: Vec::new(),
        leaving: Vec::new(),
    };
    for view in &mut views {
        view.merge(&all, 0);
    }
    while exchange(&mut views).0 {}
    views
}

/// Exchanges digests between every instance and its neighbours once.
///
/// Returns whether any view changed, and the bytes of all digests.
fn exchange(views: &mut [View]) -> (bool, usize) {
    let indices: HashMap<String, usize> =
        views.iter().enumerate().map(|(index, it)| (it.me().peers.clone(), index)).collect();
    let (mut is_new, mut bytes) = (false, 0);
    for index in 0..views.len() {
        for peer in views[index].neighbours(false) {
            let peer_index = indices[&peer];
            let me = views[index].me().incarnation.clone();
            let them = views[peer_index].me().incarnation.clone();
            let call = views[index].digest_for(Some(&them), 2, Some(100));
            bytes += cbor_bytes(&call);
            is_new |= views[peer_index].merge(&call, 1);
            let answer = views[peer_index].digest_for(Some(&me), 2, Some(100));
            bytes += cbor_bytes(&answer);
            is_new |= views[index].merge(&answer, 1);
        }
    }
    (is_new, bytes)
}

fn cbor_bytes(digest: &Digest) -> usize {
    let mut codec: Cbor<Digest, Digest> = Cbor::default();
    Pin::new(&mut codec).serialize(digest).map_or(0, |it| it.len())
}

/// Cost of acknowledging one change: bytes that an instance sends and receives on top of quiet
/// rounds until every instance knows that all have applied it, and the rounds until then.
pub fn ack_cost(n: usize) -> (f64, usize) {
    let mut views = settled_views(n);
    let idle_bytes = exchange(&mut views).1;
    for view in &mut views {
        view.set_me(Phase::Ready, 2, 2);
    }
    let (mut total, mut rounds) = (0, 0);
    while views.iter().any(|it| !it.missing(2).is_empty()) {
        total += exchange(&mut views).1 - idle_bytes;
        rounds += 1;
    }
    // Each digest is sent by one instance and received by another.
    (2.0 * total as f64 / n as f64, rounds)
}

fn members(allocated: Allocated) -> Vec<Slope> {
    let sizes = [8, 16, 32, 64, 128, 256, 350];
    let by = "instances";
    vec![
        fit("membership view, bytes", by, &sizes, |n| {
            let before = allocated();
            let views = settled_views(1);
            let mut view = views.into_iter().next().expect("there is one view");
            let all = Digest {
                from: "x".to_owned(),
                head: 1,
                confirmed_ms: None,
                version: 1,
                seen: 0,
                members: (0..n).map(member).collect(),
                acks: Vec::new(),
                leaving: Vec::new(),
            };
            view.merge(&all, 1);
            drop(all);
            let bytes = allocated().saturating_sub(before);
            drop(black_box(view));
            bytes as f64
        }),
        fit(
            "quiet heartbeats of one round to all neighbours, bytes an instance",
            by,
            &sizes,
            |n| {
                let mut views = settled_views(n);
                2.0 * exchange(&mut views).1 as f64 / n as f64
            },
        ),
        fit("acknowledgement of one change by all, bytes an instance", by, &sizes, |n| {
            ack_cost(n).0
        }),
        fit("heartbeat with all members, as a full mesh sends, bytes", by, &sizes, |n| {
            let members: Vec<Member> = (0..n).map(member).collect();
            let whole = Digest {
                from: "x".to_owned(),
                head: 1,
                confirmed_ms: None,
                version: 1,
                seen: 1,
                members,
                acks: Vec::new(),
                leaving: Vec::new(),
            };
            cbor_bytes(&whole) as f64
        }),
    ]
}
