//! The fault matrix: each fault alone and in pairs, under load, at the moments that hurt most.

use std::time::{Duration, Instant};

use holdpoint_platform::operators::ChangeForm;
use holdpoint_standin::target::TargetFaults;
use serde::Serialize;
use serde_json::json;
use uuid::Uuid;

use crate::{
    caller::{self, Request},
    load::{self, Mix, Verdicts, instances},
    world::{Plan, World},
};

/// Callers at once in one cell.
const CALLERS: usize = 16;
/// When faults begin, after the load has.
const BEGIN: Duration = Duration::from_millis(200);
/// How long faults last.
const LAST: Duration = Duration::from_millis(800);
/// How long recovery is waited for.
const RECOVERY: Duration = Duration::from_secs(15);

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing fails.
    None,
    /// One stage of each user is slow: rerankers and services take 100 ms more.
    SlowStage,
    /// A fifth of the calls are refused by their target before they run.
    TargetErrors,
    /// A tenth of the calls run and lose their answer: between effect and first byte.
    LostAnswers,
    /// A twentieth of the calls hang.
    Hangs,
    /// One target of each pool refuses connections.
    DeadTargets,
    /// Three of ten streams are cut in the middle.
    CutStreams,
    /// Three of ten streams are cut between the last chunk and the end mark.
    CutEnds,
    /// Chunks are repeated and swapped.
    MixedChunks,
    /// A twentieth of the answers belong to another attempt.
    CrossedAnswers,
    /// One target of each pool starts to leave.
    Leaving,
    /// An instance dies with work in flight and another takes its place.
    Crash,
    /// An instance is stopped as planned and another takes its place.
    PlannedStop,
    /// The log is down.
    LogOutage,
    /// The log takes 150 ms a call.
    LogSlow,
    /// Appends to the log take effect and lose their answer.
    LogLostAnswers,
    /// The instance list is frozen.
    StaleList,
    /// Nothing reaches one instance from its peers, though it reaches them.
    OneWayLoss,
    /// Operators race on one resource at all instances.
    Race,
    /// Three times as many callers come at once.
    Burst,
}

/// Faults that are tried alone.
pub const SINGLES: [Fault; 20] = [
    Fault::None,
    Fault::SlowStage,
    Fault::TargetErrors,
    Fault::LostAnswers,
    Fault::Hangs,
    Fault::DeadTargets,
    Fault::CutStreams,
    Fault::CutEnds,
    Fault::MixedChunks,
    Fault::CrossedAnswers,
    Fault::Leaving,
    Fault::Crash,
    Fault::PlannedStop,
    Fault::LogOutage,
    Fault::LogSlow,
    Fault::LogLostAnswers,
    Fault::StaleList,
    Fault::OneWayLoss,
    Fault::Race,
    Fault::Burst,
];

/// Faults that are tried in every pair.
pub const PAIRED: [Fault; 9] = [
    Fault::LostAnswers,
    Fault::Hangs,
    Fault::CutStreams,
    Fault::Leaving,
    Fault::Crash,
    Fault::PlannedStop,
    Fault::LogOutage,
    Fault::LogLostAnswers,
    Fault::OneWayLoss,
];

/// One cell of the matrix.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// Faults.
    pub faults: Vec<Fault>,
    /// Seed.
    pub seed: u64,
    /// What callers were told, held against what ran.
    pub verdicts: Verdicts,
    /// Time from the end of the faults until a hold, a stream and a lookup are answered whole, in
    /// milliseconds; `None` where that did not come about.
    pub recovery_ms: Option<u64>,
    /// What was told in each request that broke a promise.
    pub details: Vec<String>,
}

/// All cells: each fault alone, then each pair.
pub fn cells() -> Vec<Vec<Fault>> {
    let mut cells: Vec<Vec<Fault>> = SINGLES.iter().map(|it| vec![*it]).collect();
    for (index, first) in PAIRED.iter().enumerate() {
        cells.extend(PAIRED[index + 1..].iter().map(|second| vec![*first, *second]));
    }
    cells
}

/// Runs one cell on a system of its own.
pub async fn run(faults: &[Fault], requests: usize, seed: u64) -> Cell {
    let plan = Plan::new(3).with_seed(seed).with_relays();
    let world = World::start(&plan).await;
    let callers = if faults.contains(&Fault::Burst) { 3 * CALLERS } else { CALLERS };
    let mix = Mix::new(requests, callers).with_seed(seed).with_pause(Duration::from_millis(20));
    let (tally, recovery_ms) = tokio::join!(load::run(&world, &mix), happen(&world, faults));
    let (verdicts, details) = (tally.total(), tally.details);
    Cell { faults: faults.to_vec(), seed, verdicts, recovery_ms, details }
}

/// Brings the faults about, ends them, and waits for recovery.
async fn happen(world: &World, faults: &[Fault]) -> Option<u64> {
    tokio::time::sleep(BEGIN).await;
    for fault in faults {
        begin(world, *fault).await;
    }
    tokio::time::sleep(LAST).await;
    end(world);
    recovery(world).await
}

async fn begin(world: &World, fault: Fault) {
    let all = |change: &dyn Fn(&mut TargetFaults)| {
        world.targets.iter().for_each(|it| change(&mut it.1.faults()));
    };
    match fault {
        Fault::None | Fault::Burst => (),
        Fault::SlowStage => {
            let is_slow = |pool: &str| !pool.ends_with("models") && !pool.ends_with("encoders");
            for (_, target) in world.targets.iter().filter(|it| is_slow(&it.0)) {
                target.faults().delay = Duration::from_millis(100);
            }
        }
        Fault::TargetErrors => all(&|it| it.error = 200),
        Fault::LostAnswers => all(&|it| it.lose_answer = 100),
        Fault::Hangs => all(&|it| it.hang = 50),
        Fault::DeadTargets => first_of_each_pool(world, |it| it.stop()),
        Fault::CutStreams => all(&|it| it.cut = 300),
        Fault::CutEnds => all(&|it| it.cut_end = 300),
        Fault::MixedChunks => all(&|it| {
            it.duplicate = 300;
            it.reorder = 300;
        }),
        Fault::CrossedAnswers => all(&|it| it.cross = 50),
        Fault::Leaving => first_of_each_pool(world, |it| {
            it.faults().leaving = true;
            world.list.leave_target(it.address());
        }),
        Fault::Crash => {
            world.kill(1);
            world.list.remove_instance("entry-2");
            world.start_instance("entry-4").await;
        }
        Fault::PlannedStop => {
            // The last instance started: with a crash in the same cell, still a live one.
            world.stop(0).await;
            world.start_instance("entry-5").await;
        }
        Fault::LogOutage => world.log.faults().outage = true,
        Fault::LogSlow => world.log.faults().delay = Duration::from_millis(150),
        Fault::LogLostAnswers => world.log.faults().lose_answers = 30,
        Fault::StaleList => world.list.set_stale(true),
        Fault::OneWayLoss => world.lose(2, true, false),
        Fault::Race => race(world).await,
    }
}

fn first_of_each_pool(world: &World, change: impl Fn(&holdpoint_standin::target::TargetStandin)) {
    let mut last = "";
    for (pool, target) in &world.targets {
        if pool != last {
            change(target);
        }
        last = pool;
    }
}

fn end(world: &World) {
    for (_, target) in &world.targets {
        let leaving = target.faults().leaving;
        *target.faults() = TargetFaults { leaving, ..TargetFaults::default() };
    }
    *world.log.faults() = holdpoint_standin::log::LogFaults::default();
    world.list.set_stale(false);
    (0..world.len()).for_each(|it| world.lose(it, false, false));
}

/// Operators change one resource at every instance against the same version.
async fn race(world: &World) {
    let form = ChangeForm { base: Some(1), change: None };
    for percent in 0..5 {
        let spec = json!({ "route": "predicted", "retry_percent": percent });
        let changes = (0..world.len()).map(|it| {
            let (spec, form) = (spec.clone(), form.clone());
            async move { world.put(it, "policies", "predicted", &spec, &form).await }
        });
        let states = futures::future::join_all(changes).await;
        let accepted = states.into_iter().flatten().filter(|it| it.state.to_string() == "accepted");
        assert!(accepted.count() <= 1, "one version can be replaced once only");
    }
}

/// Time until a hold, a stream and a lookup are answered whole.
async fn recovery(world: &World) -> Option<u64> {
    let began = Instant::now();
    for (pipeline, bearer, keyed, streamed) in [
        ("stock-hold", "demo-saskatoon-shops", true, false),
        ("pairing", "demo-regina-shops", false, true),
        ("lamp-status", "demo-rennes-commune", false, false),
    ] {
        loop {
            if RECOVERY < began.elapsed() {
                return None;
            }
            let request = Request {
                pipeline: pipeline.to_owned(),
                bearer: bearer.to_owned(),
                input: json!({ "marker": "recovery", "text": "again" }),
                patience: Duration::from_secs(2),
                key: keyed.then(|| Uuid::now_v7().to_string()),
                streamed,
            };
            let told = caller::request(&world.http, &instances(world), 0, &request).await;
            if told.is_whole() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    Some(began.elapsed().as_millis() as u64)
}
