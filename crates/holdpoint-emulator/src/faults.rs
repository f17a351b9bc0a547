//! The fault matrix: injects each fault alone, and selected faults in pairs, into a system under
//! load, checks every answer and measures the time to recover.

use std::time::{Duration, Instant};

use holdpoint_platform::operators::ChangeOptions;
use holdpoint_standin::target::TargetFaults;
use serde::Serialize;
use serde_json::json;
use uuid::Uuid;

use crate::{
    caller::{self, Request},
    load::{self, Mix, Verdicts, instances},
    world::{Plan, World},
};

/// Concurrent callers in one cell.
const CALLERS: usize = 16;
/// Delay from the start of the load to the start of the faults.
const FAULT_START: Duration = Duration::from_millis(200);
/// Duration of the faults.
const FAULT_DURATION: Duration = Duration::from_millis(800);
/// Maximum time to wait for recovery.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    None,
    /// All targets except models and encoders take 100 ms more.
    SlowStage,
    /// A fifth of the calls are refused by their target before they run.
    TargetErrors,
    /// A tenth of the calls run, but their answer is lost before its first byte.
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
    /// A twentieth of the answers carry the data of another attempt.
    CrossedAnswers,
    /// One target of each pool drains.
    Leaving,
    /// An instance crashes with requests in flight and is replaced.
    Crash,
    /// An instance is drained, stopped and replaced.
    PlannedStop,
    /// The log is unavailable.
    LogOutage,
    /// The log takes 150 ms per call.
    LogSlow,
    /// The next 30 appends to the log take effect, but their answers are lost.
    LogLostAnswers,
    /// The instance list no longer changes.
    StaleList,
    /// Calls of peers to one instance are lost; its calls to them are not.
    OneWayLoss,
    /// Operators change one resource at all instances concurrently.
    Race,
    /// Three times as many concurrent callers.
    Burst,
}

/// Faults that are injected alone.
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

/// Faults that are injected in every pair.
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
    /// Answers to callers, compared with the calls that ran.
    pub verdicts: Verdicts,
    /// Time from the end of the faults until a hold, a stream and a lookup have whole answers, in
    /// milliseconds; `None` after a timeout.
    pub recovery_ms: Option<u64>,
    /// Answer of each request that violated a guarantee.
    pub details: Vec<String>,
}

/// Faults of all cells: each fault alone, then each pair.
pub fn cells() -> Vec<Vec<Fault>> {
    let mut cells: Vec<Vec<Fault>> = SINGLES.iter().map(|it| vec![*it]).collect();
    for (index, first) in PAIRED.iter().enumerate() {
        cells.extend(PAIRED[index + 1..].iter().map(|second| vec![*first, *second]));
    }
    cells
}

/// Runs one cell on a new system.
pub async fn run(faults: &[Fault], requests: usize, seed: u64) -> Cell {
    let plan = Plan::new(3).with_seed(seed).with_relays();
    let world = World::start(&plan).await;
    let callers = if faults.contains(&Fault::Burst) { 3 * CALLERS } else { CALLERS };
    let mix = Mix::new(requests, callers).with_seed(seed).with_pause(Duration::from_millis(20));
    let (tally, recovery_ms) = tokio::join!(load::run(&world, &mix), inject(&world, faults));
    let (verdicts, details) = (tally.total(), tally.details);
    Cell { faults: faults.to_vec(), seed, verdicts, recovery_ms, details }
}

/// Injects the faults, clears them, and waits for recovery.
async fn inject(world: &World, faults: &[Fault]) -> Option<u64> {
    tokio::time::sleep(FAULT_START).await;
    for fault in faults {
        start_fault(world, *fault).await;
    }
    tokio::time::sleep(FAULT_DURATION).await;
    clear_faults(world);
    measure_recovery(world).await
}

async fn start_fault(world: &World, fault: Fault) {
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
        Fault::LostAnswers => all(&|it| it.truncate_answer = 100),
        Fault::Hangs => all(&|it| it.hang = 50),
        Fault::DeadTargets => for_first_targets(world, |it| it.stop()),
        Fault::CutStreams => all(&|it| it.cut = 300),
        Fault::CutEnds => all(&|it| it.cut_end = 300),
        Fault::MixedChunks => all(&|it| {
            it.duplicate = 300;
            it.reorder = 300;
        }),
        Fault::CrossedAnswers => all(&|it| it.swap_id = 50),
        Fault::Leaving => for_first_targets(world, |it| {
            it.faults().is_draining = true;
            world.list.drain_target(it.address());
        }),
        Fault::Crash => {
            world.kill(1);
            world.list.remove_instance("entry-2");
            world.start_instance("entry-4").await;
        }
        Fault::PlannedStop => {
            // A crash in the same cell stops the instance at index 1, so index 0 is running.
            world.stop(0).await;
            world.start_instance("entry-5").await;
        }
        Fault::LogOutage => world.log.faults().outage = true,
        Fault::LogSlow => world.log.faults().delay = Duration::from_millis(150),
        Fault::LogLostAnswers => world.log.faults().lose_answers = 30,
        Fault::StaleList => world.list.set_stale(true),
        Fault::OneWayLoss => world.drop_traffic(2, true, false),
        Fault::Race => race(world).await,
    }
}

fn for_first_targets(world: &World, change: impl Fn(&holdpoint_standin::target::TargetStandin)) {
    let mut last = "";
    for (pool, target) in &world.targets {
        if pool != last {
            change(target);
        }
        last = pool;
    }
}

fn clear_faults(world: &World) {
    for (_, target) in &world.targets {
        let is_draining = target.faults().is_draining;
        *target.faults() = TargetFaults { is_draining, ..TargetFaults::default() };
    }
    *world.log.faults() = holdpoint_standin::log::LogFaults::default();
    world.list.set_stale(false);
    (0..world.len()).for_each(|it| world.drop_traffic(it, false, false));
}

/// Changes one resource at every instance concurrently, against the same version.
async fn race(world: &World) {
    let form = ChangeOptions { base: Some(1), change: None };
    for percent in 0..5 {
        let spec = json!({ "route": "predicted", "retry_percent": percent });
        let changes = (0..world.len()).map(|it| {
            let (spec, form) = (spec.clone(), form.clone());
            async move { world.put(it, "policies", "predicted", &spec, &form).await }
        });
        let states = futures::future::join_all(changes).await;
        let accepted = states.into_iter().flatten().filter(|it| it.state.to_string() == "accepted");
        assert!(accepted.count() <= 1, "at most one change against a version is accepted");
    }
}

/// Time until a hold, a stream and a lookup have whole answers, in milliseconds.
async fn measure_recovery(world: &World) -> Option<u64> {
    let began = Instant::now();
    for (pipeline, bearer, keyed, streamed) in [
        ("stock-hold", "demo-saskatoon-shops", true, false),
        ("pairing", "demo-regina-shops", false, true),
        ("lamp-status", "demo-rennes-commune", false, false),
    ] {
        loop {
            if RECOVERY_TIMEOUT < began.elapsed() {
                return None;
            }
            let request = Request {
                pipeline: pipeline.to_owned(),
                bearer: bearer.to_owned(),
                input: json!({ "marker": "recovery", "text": "again" }),
                timeout: Duration::from_secs(2),
                key: keyed.then(|| Uuid::now_v7().to_string()),
                streamed,
            };
            let reply = caller::request(&world.http, &instances(world), 0, &request).await;
            if reply.is_whole() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    Some(began.elapsed().as_millis() as u64)
}
