//! Cost of one decision: routing over pools of three sizes, admission among many organisations, and building a call
//! from the waiting items.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use holdpoint_core::{
    admit::{Ask, Gate, Offer, Signal},
    batcher::Batcher,
    catalog::default_policy,
    cold::Share,
    pieces::{CallEnd, Sizes, Waiting},
    route::{Call, Member, Router},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TARGETS: [usize; 3] = [12, 600, 4800];
const ORGANISATIONS: [usize; 2] = [5, 25_000];
const WAITING: [u64; 3] = [2_500, 5_000, 10_000];
const TARGET_NAMES: [&str; 20] = [
    "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s",
    "t",
];

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for targets in TARGETS {
        let members: Vec<Member> = (0..targets)
            .map(|it| Member {
                address: format!("t{it}"),
                domain: "d".into(),
                leaving: false,
                held: false,
            })
            .collect();
        let policy = default_policy();
        let mut router = Router::new("entry-1", "d", policy.clone());
        router.set_members(&members);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let call = Call {
            work: 20.0,
            prefix_work: 4.0,
            prefix: Some(7),
            tried: &[],
            cap: 64,
            share: Share::Whole,
            inputs: &[],
            is_own: true,
            within: None,
        };
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            bencher.iter(|| black_box(router.choose(1, &policy, &call, &mut rng)));
        });
    }
    group.finish();
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    for organisations in ORGANISATIONS {
        let names: Vec<String> = (0..organisations).map(|it| format!("o{it}")).collect();
        let mut gate = Gate::new(4 * organisations);
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(organisations), |bencher| {
            bencher.iter(|| {
                next = (next + 7919) % organisations;
                let organisation = &names[next];
                let ask = Ask { organisation, share: 1, cap: 64, deadline: 1000, need: 100 };
                if gate.offer(1, &ask) == Offer::Admit {
                    black_box(gate.done(1, organisation, Signal::Clear));
                }
            });
        });
    }
    group.finish();
}

/// One round of a batcher with 20 targets and a given number of waiting items: offers a group of three, drops expired
/// items, and builds and ends a call.
fn batching(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("batch");
    for waiting in WAITING {
        let mut batcher = loaded_batcher(waiting);
        let mut ticket = waiting;
        group.bench_function(BenchmarkId::from_parameter(waiting), |bencher| {
            bencher.iter(|| {
                for _ in 0..3 {
                    ticket += 1;
                    batcher.offer(1000, item(ticket, ticket / 3));
                }
                black_box(batcher.expire(1000));
                let call = batcher.next(1000).expect("targets are free and items wait");
                batcher.ended(1000, &call, CallEnd::Answered(370), &[]);
                call.pieces.into_iter().skip(3).for_each(|it| batcher.offer(1000, it));
            });
        });
    }
    group.finish();
}

fn loaded_batcher(waiting: u64) -> Batcher {
    let mut batcher = Batcher::new(Sizes {
        calls: 1,
        pieces: 46,
        call_ms: 200.0,
        piece_ms: 3.7,
        room_bytes: 0,
        keep_ms: 4000,
    });
    batcher.set_targets(TARGET_NAMES.iter().map(|it| (*it, "d", false)));
    (0..waiting).for_each(|it| batcher.offer(1000, item(it, it / 3)));
    batcher
}

fn item(ticket: u64, group: u64) -> Waiting {
    let due = 2000 + group % 3000;
    let (deadline, late_due) = (1_000_000, 1_000_000);
    let inputs_until = Some(5000);
    Waiting { ticket, group, due, deadline, late_due, inputs_until, ..Waiting::default() }
}

criterion_group!(benches, routing, admission, batching);
criterion_main!(benches);
