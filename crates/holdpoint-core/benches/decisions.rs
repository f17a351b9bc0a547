//! Cost of one decision: routing over pools of three sizes, admission among many organisations.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use holdpoint_core::{
    admit::{Ask, Gate, Offer, Signal},
    catalog::default_policy,
    route::{Call, Member, Router},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TARGETS: [usize; 3] = [12, 600, 4800];
const ORGANISATIONS: [usize; 2] = [5, 25_000];

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for targets in TARGETS {
        let members: Vec<Member> = (0..targets)
            .map(|it| Member { address: format!("t{it}"), domain: "d".into(), leaving: false })
            .collect();
        let policy = default_policy();
        let mut router = Router::new("entry-1", "d", policy.clone());
        router.set_members(&members);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let call = Call { work: 20.0, prefix_work: 4.0, prefix: Some(7), tried: &[], cap: 64 };
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

criterion_group!(benches, routing, admission);
criterion_main!(benches);
