//! Measures the resource use of idle instances and the start-up time of a new one.

use std::time::{Duration, Instant};

use holdpoint_core::ids::sha256_hex;
use holdpoint_platform::{Http, LogClient};
use holdpoint_schema::records::{Body, Change, Record};
use serde::Serialize;
use serde_json::json;

use crate::{
    control,
    measure::{resident_bytes, thread_cpu_time},
    world::{Plan, World},
};

/// Resource use of one instance that serves no requests.
#[derive(Clone, Debug, Serialize)]
pub struct Idle {
    /// Number of instances.
    pub instances: usize,
    /// CPU time of its control thread, as a percentage of a core.
    pub control_percent: f64,
    /// Bytes per second sent to and received from its peers.
    pub peer_bytes: f64,
    /// Heartbeats that it starts per second.
    pub heartbeats: f64,
    /// Reads of the log per second.
    pub log_reads: f64,
    /// Resident memory in bytes: growth of the process per instance.
    pub memory: f64,
    /// Median and maximum time until a change is active on all instances, in milliseconds.
    #[serde(rename = "in_force_ms")]
    pub active_ms: (f64, f64),
}

/// Measures idle instances over `seconds`, with heartbeats and list polls once a second.
pub async fn idle(instances: usize, seconds: u64) -> Idle {
    let timing = json!({ "timing": { "heartbeat_ms": 1000, "list_poll_ms": 1000 } });
    let plan = Plan::new(0).with_settings(timing);
    let resources = plan.resources.clone();
    let before = resident_bytes();
    let world = World::start(&Plan { instances, resources: Vec::new(), ..plan }).await;
    let memory = (resident_bytes().saturating_sub(before)) as f64 / instances as f64;
    world.apply(&resources).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let metric_total = |name: &str| -> f64 {
        (0..instances)
            .filter_map(|it| world.shared(it))
            .map(|it| sum(&it.metrics.text(), name))
            .sum()
    };
    let began = Instant::now();
    let (cpu_time, bytes) =
        (thread_cpu_time("control"), metric_total("holdpoint_peer_bytes_total"));
    let heartbeats = metric_total("holdpoint_heartbeats_total");
    let reads = world.log.counts().reads;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let instance_seconds = began.elapsed().as_secs_f64() * instances as f64;
    let cpu_seconds = (thread_cpu_time("control") - cpu_time).as_secs_f64();
    let idle = Idle {
        instances,
        control_percent: 100.0 * cpu_seconds / instance_seconds,
        peer_bytes: (metric_total("holdpoint_peer_bytes_total") - bytes) / instance_seconds,
        heartbeats: (metric_total("holdpoint_heartbeats_total") - heartbeats) / instance_seconds,
        log_reads: (world.log.counts().reads - reads) as f64 / instance_seconds,
        memory,
        active_ms: (0.0, 0.0),
    };
    drop(world);
    let times = control::changes(instances, 20).await;
    Idle { active_ms: (times.median_ms, times.worst_ms), ..idle }
}

/// Sums the values of all metric lines that start with `name`.
fn sum(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|it| it.starts_with(name));
    lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Time until a new instance is ready, in milliseconds, with `records` records in the log.
pub async fn start_ms(records: usize) -> f64 {
    let world = World::start(&Plan { pools: Vec::new(), ..Plan::new(0) }).await;
    let client = LogClient::new(Http::new(), world.log.address(), Duration::from_secs(5));
    for seq in 1..=records as u64 {
        let name = format!("organisation-{seq}");
        let spec = json!({ "key_sha256": [sha256_hex(name.as_bytes())] });
        let change = Change {
            change: format!("c{seq}"),
            kind: "organisations".to_owned(),
            name,
            base: 0,
            spec: spec.as_object().cloned().unwrap_or_default(),
            operator: "op".to_owned(),
        };
        let record = Record { writer: "w".to_owned(), seq, at: seq, body: Body::Change(change) };
        client.append("control", &record).await.expect("the log accepts records");
    }
    let began = Instant::now();
    world.start_instance("entry-1").await;
    world.wait_until("the instance is ready", |it| it.is_ready(0)).await;
    began.elapsed().as_secs_f64() * 1000.0
}
