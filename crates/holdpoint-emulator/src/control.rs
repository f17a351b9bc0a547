//! Measures the control plane: propagation of changes, draining of targets, and claims.

use std::time::{Duration, Instant};

use futures::{StreamExt, stream};
use holdpoint_platform::operators::ChangeOptions;
use holdpoint_schema::caller::ChangeState;
use holdpoint_standin::serve::wall_ms;
use serde::Serialize;
use serde_json::json;
use uuid::Uuid;

use crate::{
    caller::{self, Request},
    load::instances,
    measure::{new_histogram, quantile_ms},
    world::{Plan, World},
};

/// Interval between checks whether a change is active; the resolution of the measurement.
const POLL_INTERVAL: Duration = Duration::from_micros(500);

/// Propagation times of changes.
#[derive(Clone, Debug, Serialize)]
pub struct ChangeTimes {
    /// Number of instances.
    pub instances: usize,
    /// Number of changes.
    pub changes: usize,
    /// Median time until a change is active on all instances.
    pub median_ms: f64,
    /// Maximum time until a change is active on all instances.
    pub worst_ms: f64,
    /// Median time until the operator received the status.
    #[serde(rename = "told_median_ms")]
    pub reply_median_ms: f64,
    /// Maximum time until the operator received the status.
    #[serde(rename = "told_worst_ms")]
    pub reply_max_ms: f64,
    /// Changes reported as accepted before they were active on all instances.
    #[serde(rename = "told_early")]
    pub early_replies: usize,
}

/// Makes `n` changes in sequence and times each until it is active on all instances.
pub async fn changes(instances: usize, n: usize) -> ChangeTimes {
    let world = World::start(&Plan::new(instances)).await;
    let (mut active, mut reported) = (new_histogram(), new_histogram());
    let mut early_count = 0;
    for index in 0..n {
        let spec = json!({ "route": "predicted", "retry_percent": index % 100 });
        let began = Instant::now();
        let before = world.shared(0).map_or(0, |it| it.published().offset);
        let form = ChangeOptions::default();
        let put = world.put(index % instances, "policies", "predicted", &spec, &form);
        let (status, applied) = tokio::join!(async { (put.await, began.elapsed()) }, async {
            let has_applied =
                |it: usize| world.shared(it).is_some_and(|it| before < it.published().offset);
            while !(0..instances).all(has_applied) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            began.elapsed()
        },);
        let (status, answered) = status;
        let is_accepted = status.is_ok_and(|it| it.state == ChangeState::Accepted);
        early_count += usize::from(is_accepted && answered + POLL_INTERVAL * 4 < applied);
        active.saturating_record(applied.as_micros() as u64);
        reported.saturating_record(answered.as_micros() as u64);
    }
    ChangeTimes {
        instances,
        changes: n,
        median_ms: quantile_ms(&active, 0.5),
        worst_ms: quantile_ms(&active, 1.0),
        reply_median_ms: quantile_ms(&reported, 0.5),
        reply_max_ms: quantile_ms(&reported, 1.0),
        early_replies: early_count,
    }
}

/// New calls that a draining target still receives.
#[derive(Clone, Debug, Serialize)]
pub struct DrainTimes {
    /// Source of the drain notice, and the faults at the time.
    #[serde(rename = "sign")]
    pub source: &'static str,
    /// Time from the drain notice to the last new call, in milliseconds.
    pub last_ms: u64,
    /// New calls after the drain notice.
    pub calls: u64,
}

/// Drains a target under load, once for each source of the drain notice.
pub async fn draining() -> Vec<DrainTimes> {
    let mut rows = Vec::new();
    for source in ["list", "own answer, list frozen", "own answer, list frozen, one peer cut off"] {
        let world = World::start(&Plan::new(3).with_relays()).await;
        let target = world.pool("commune-portal")[0];
        let load = lookups(&world, Duration::from_secs(5));
        let drain = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            if source == "list" {
                world.list.drain_target(target.address());
            } else {
                world.list.set_stale(true);
                target.faults().is_draining = true;
            }
            if source.ends_with("cut off") {
                world.drop_traffic(2, true, true);
            }
            (wall_ms(), target.calls())
        };
        let ((), (began, before)) = tokio::join!(load, drain);
        let last_ms = target.last_call_ms().saturating_sub(began);
        rows.push(DrainTimes { source, last_ms, calls: target.calls() - before });
    }
    rows
}

async fn lookups(world: &World, duration: Duration) {
    let until = Instant::now() + duration;
    let callers = (0..12).map(|index| async move {
        let mut turn = index;
        while Instant::now() < until {
            let request = Request {
                pipeline: "lamp-status".to_owned(),
                bearer: "demo-rennes-commune".to_owned(),
                input: json!({ "marker": "leaving" }),
                timeout: Duration::from_secs(2),
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

/// Results of keyed calls at one rate.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimTimes {
    /// Offered load, in calls per second.
    pub offered: u32,
    /// Maximum entries per append.
    pub batch: u32,
    /// Calls answered whole.
    pub whole: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls with any other outcome.
    pub other: u64,
    /// Median time of a whole answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time of a whole answer, in milliseconds.
    pub p99_ms: f64,
    /// Appends per second.
    pub appends: f64,
    /// Appends that the log refused by its rate limit.
    pub limited: u64,
}

/// Sends keyed calls at a constant rate for `seconds`, with the log limited to 300 appends per
/// second.
pub async fn claims(offered: u32, batch: u32, seconds: u32) -> ClaimTimes {
    let settings = json!({ "claims": { "batch": batch, "appends_per_second": 240 } });
    let world = World::start(&Plan::new(8).with_settings(settings)).await;
    world.log.faults().rate = 300;
    let before = world.log.counts();
    let n = (offered * seconds) as usize;
    let gap = Duration::from_secs(1) / offered;
    let began = tokio::time::Instant::now();
    let world = &world;
    let replies: Vec<_> = stream::iter(0..n)
        .map(|index| async move {
            tokio::time::sleep_until(began + gap * index as u32).await;
            let request = Request {
                pipeline: "work-order".to_owned(),
                bearer: "demo-brest-commune".to_owned(),
                input: json!({ "marker": format!("c{index}") }),
                timeout: Duration::from_secs(2),
                key: Some(Uuid::now_v7().to_string()),
                streamed: false,
            };
            let sent = Instant::now();
            let reply = caller::request(&world.http, &instances(world), index, &request).await;
            (reply, sent.elapsed())
        })
        .buffer_unordered(n.max(1))
        .collect()
        .await;
    let elapsed = began.elapsed().as_secs_f64();
    let after = world.log.counts();
    let mut histogram = new_histogram();
    let whole = replies.iter().filter(|it| it.0.is_whole());
    whole.for_each(|it| histogram.saturating_record(it.1.as_micros() as u64));
    let whole = histogram.len();
    let not_run = replies.iter().filter(|it| it.0.is_not_run()).count() as u64;
    ClaimTimes {
        offered,
        batch,
        whole,
        not_run,
        other: n as u64 - whole - not_run,
        p50_ms: quantile_ms(&histogram, 0.5),
        p99_ms: quantile_ms(&histogram, 0.99),
        appends: (after.appends - before.appends) as f64 / elapsed,
        limited: after.limited - before.limited,
    }
}
