//! Measurements of control: changes, leaving targets, and claims.

use std::time::{Duration, Instant};

use futures::{StreamExt, stream};
use holdpoint_platform::operators::ChangeForm;
use holdpoint_schema::caller::ChangeState;
use holdpoint_standin::serve::wall_ms;
use serde::Serialize;
use serde_json::json;
use uuid::Uuid;

use crate::{
    caller::{self, Request},
    load::instances,
    measure::{quantile_ms, times},
    world::{Plan, World},
};

/// How often in-force state is looked at, which bounds the measurement from below.
const LOOK: Duration = Duration::from_micros(500);

/// Times of a number of changes, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct ChangeTimes {
    /// Instances.
    pub instances: usize,
    /// Changes made.
    pub changes: usize,
    /// Median time until in force on all instances.
    pub median_ms: f64,
    /// Worst time until in force on all instances.
    pub worst_ms: f64,
    /// Median time until the operator was told "accepted".
    pub told_median_ms: f64,
    /// Worst time until the operator was told "accepted".
    pub told_worst_ms: f64,
    /// Changes that were told accepted before they were in force everywhere.
    pub told_early: usize,
}

/// Makes changes one after another and times each until it is in force on all instances.
pub async fn changes(instances: usize, n: usize) -> ChangeTimes {
    let world = World::start(&Plan::new(instances)).await;
    let (mut in_force, mut told) = (times(), times());
    let mut told_early = 0;
    for index in 0..n {
        let spec = json!({ "route": "predicted", "retry_percent": index % 100 });
        let began = Instant::now();
        let before = world.shared(0).map_or(0, |it| it.now().offset);
        let form = ChangeForm::default();
        let put = world.put(index % instances, "policies", "predicted", &spec, &form);
        let (status, seen) = tokio::join!(async { (put.await, began.elapsed()) }, async {
            let is_past = |it: usize| world.shared(it).is_some_and(|it| before < it.now().offset);
            while !(0..instances).all(is_past) {
                tokio::time::sleep(LOOK).await;
            }
            began.elapsed()
        },);
        let (status, answered) = status;
        let is_accepted = status.is_ok_and(|it| it.state == ChangeState::Accepted);
        told_early += usize::from(is_accepted && answered + LOOK * 4 < seen);
        in_force.saturating_record(seen.as_micros() as u64);
        told.saturating_record(answered.as_micros() as u64);
    }
    ChangeTimes {
        instances,
        changes: n,
        median_ms: quantile_ms(&in_force, 0.5),
        worst_ms: quantile_ms(&in_force, 1.0),
        told_median_ms: quantile_ms(&told, 0.5),
        told_worst_ms: quantile_ms(&told, 1.0),
        told_early,
    }
}

/// Time to the last new call at a leaving target, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct LeavingTimes {
    /// What told of the leaving, and what was cut.
    pub sign: &'static str,
    /// Time from the sign to the last new call.
    pub last_ms: u64,
    /// New calls after the sign.
    pub calls: u64,
}

/// Lets a target leave under load, by each sign alone.
pub async fn leaving() -> Vec<LeavingTimes> {
    let mut rows = Vec::new();
    for sign in ["list", "own answer, list frozen", "own answer, list frozen, one peer cut off"] {
        let world = World::start(&Plan::new(3).with_relays()).await;
        let target = world.pool("commune-portal")[0];
        let load = lookups(&world, Duration::from_secs(5));
        let leave = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            if sign == "list" {
                world.list.leave_target(target.address());
            } else {
                world.list.set_stale(true);
                target.faults().leaving = true;
            }
            if sign.ends_with("cut off") {
                world.lose(2, true, true);
            }
            (wall_ms(), target.calls())
        };
        let ((), (began, before)) = tokio::join!(load, leave);
        let last_ms = target.last_call().saturating_sub(began);
        rows.push(LeavingTimes { sign, last_ms, calls: target.calls() - before });
    }
    rows
}

async fn lookups(world: &World, last: Duration) {
    let until = Instant::now() + last;
    let callers = (0..12).map(|index| async move {
        let mut turn = index;
        while Instant::now() < until {
            let request = Request {
                pipeline: "lamp-status".to_owned(),
                bearer: "demo-rennes-commune".to_owned(),
                input: json!({ "marker": "leaving" }),
                patience: Duration::from_secs(2),
                key: None,
                streamed: false,
            };
            caller::request(&world.http, &instances(world), turn, &request).await;
            turn += 1;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    futures::future::join_all(callers).await;
}

/// Claims at one rate.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimTimes {
    /// Calls a second that were offered.
    pub offered: u32,
    /// Entries that one append may carry.
    pub batch: u32,
    /// Calls answered whole.
    pub whole: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls with another end.
    pub other: u64,
    /// Median time of a whole answer, in milliseconds.
    pub p50_ms: f64,
    /// Time of the slowest of a hundred, in milliseconds.
    pub p99_ms: f64,
    /// Appends a second.
    pub appends: f64,
    /// Appends that the log refused for their rate.
    pub limited: u64,
}

/// Offers calls that may not be repeated at a steady rate for `seconds`, with the log at 300
/// appends a second.
pub async fn claims(offered: u32, batch: u32, seconds: u32) -> ClaimTimes {
    let settings = json!({ "claims": { "batch": batch, "appends_per_second": 240 } });
    let world = World::start(&Plan::new(8).with_settings(settings)).await;
    world.log.faults().rate = 300;
    let before = world.log.counts();
    let n = (offered * seconds) as usize;
    let gap = Duration::from_secs(1) / offered;
    let began = tokio::time::Instant::now();
    let world = &world;
    let told: Vec<_> = stream::iter(0..n)
        .map(|index| async move {
            tokio::time::sleep_until(began + gap * index as u32).await;
            let request = Request {
                pipeline: "work-order".to_owned(),
                bearer: "demo-brest-commune".to_owned(),
                input: json!({ "marker": format!("c{index}") }),
                patience: Duration::from_secs(2),
                key: Some(Uuid::now_v7().to_string()),
                streamed: false,
            };
            let asked = Instant::now();
            let told = caller::request(&world.http, &instances(world), index, &request).await;
            (told, asked.elapsed())
        })
        .buffer_unordered(n.max(1))
        .collect()
        .await;
    let took = began.elapsed().as_secs_f64();
    let after = world.log.counts();
    let mut histogram = times();
    let whole = told.iter().filter(|it| it.0.is_whole());
    whole.for_each(|it| histogram.saturating_record(it.1.as_micros() as u64));
    let whole = histogram.len();
    let not_run = told.iter().filter(|it| it.0.is_not_run()).count() as u64;
    ClaimTimes {
        offered,
        batch,
        whole,
        not_run,
        other: n as u64 - whole - not_run,
        p50_ms: quantile_ms(&histogram, 0.5),
        p99_ms: quantile_ms(&histogram, 0.99),
        appends: (after.appends - before.appends) as f64 / took,
        limited: after.limited - before.limited,
    }
}
