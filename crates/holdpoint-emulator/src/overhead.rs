//! Calls through one instance against the same calls straight to the target.

use std::time::{Duration, Instant};

use futures::{StreamExt, stream};
use hdrhistogram::Histogram;
use hyper::Method;
use serde::Serialize;
use serde_json::json;

use crate::{
    load,
    measure::{loopback_bytes, quantile_ms, thread_time, times},
    world::World,
};

/// Callers at once in each measurement.
pub const CALLERS: [usize; 3] = [1, 16, 128];

/// One measurement, direct and through an instance.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Callers at once.
    pub callers: usize,
    /// Straight to the target.
    pub direct: Side,
    /// Through an instance.
    pub through: Side,
    /// Processor time of the instance's threads a request, in microseconds.
    pub cpu_us: f64,
}

/// One side of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Side {
    /// Median time, in milliseconds.
    pub p50_ms: f64,
    /// Time of the slowest of a hundred, in milliseconds.
    pub p99_ms: f64,
    /// Requests a second.
    pub rate: f64,
    /// Bytes on the loopback interface a request, all hops and headers counted.
    pub bytes: f64,
    /// Requests that were not answered with success.
    pub failed: u64,
}

/// Measures a plain lookup at each number of callers.
pub async fn run(world: &World, requests: usize) -> Vec<Row> {
    let targets = world.pool("till-stock").iter().map(|it| it.address().to_owned()).collect();
    let instances = vec![world.callers(0)];
    let direct = Call {
        addresses: targets,
        path: "/v1/stock",
        body: json!({ "call": { "marker": "bench" } }).to_string(),
    };
    let through = Call {
        addresses: instances,
        path: "/v1/pipelines/price-lookup/requests",
        body: json!({ "input": { "marker": "bench" } }).to_string(),
    };
    let mut rows = Vec::new();
    for callers in CALLERS {
        // Connections are made and code paths warmed before anything is counted.
        side(world, &direct, callers, requests / 10).await;
        side(world, &through, callers, requests / 10).await;
        let straight = side(world, &direct, callers, requests).await;
        let before = thread_time("traffic") + thread_time("control");
        let by_instance = side(world, &through, callers, requests).await;
        let spent = thread_time("traffic") + thread_time("control") - before;
        let cpu_us = spent.as_secs_f64() * 1e6 / requests as f64;
        rows.push(Row { callers, direct: straight, through: by_instance, cpu_us });
    }
    rows
}

/// Processor time of the instance's threads for each streamed chunk, in microseconds.
pub async fn chunk_cpu_us(world: &World, requests: usize) -> f64 {
    let kinds = |it: &load::Kind| it.pipeline == "tasting-notes";
    let mix = load::Mix::new(requests, 16).with_kinds(kinds);
    load::run(world, &mix).await;
    let before = thread_time("traffic") + thread_time("control");
    let tally = load::run(world, &mix.with_seed(2)).await;
    let spent = thread_time("traffic") + thread_time("control") - before;
    let chunks = tally.total().attained * load::KINDS[0].chunks;
    spent.as_secs_f64() * 1e6 / chunks.max(1) as f64
}

struct Call {
    /// Addresses that are called in turn.
    addresses: Vec<String>,
    path: &'static str,
    body: String,
}

async fn side(world: &World, call: &Call, callers: usize, requests: usize) -> Side {
    let started = Instant::now();
    let bytes = loopback_bytes();
    let made: Vec<(Duration, bool)> = stream::iter(0..requests)
        .map(|index| one(world, call, index))
        .buffer_unordered(callers)
        .collect()
        .await;
    let took = started.elapsed().as_secs_f64();
    let mut histogram: Histogram<u64> = times();
    made.iter().for_each(|it| histogram.saturating_record(it.0.as_micros() as u64));
    Side {
        p50_ms: quantile_ms(&histogram, 0.5),
        p99_ms: quantile_ms(&histogram, 0.99),
        rate: requests as f64 / took,
        bytes: (loopback_bytes() - bytes) as f64 / requests as f64,
        failed: made.iter().filter(|it| !it.1).count() as u64,
    }
}

async fn one(world: &World, call: &Call, index: usize) -> (Duration, bool) {
    let headers = [
        ("authorization", "Bearer demo-calgary-shops".to_owned()),
        ("x-request-id", "bench:1:0:0".to_owned()),
        ("holdpoint-patience-ms", "10000".to_owned()),
    ];
    let started = Instant::now();
    let body = call.body.clone().into_bytes();
    let limit = Duration::from_secs(10);
    let address = &call.addresses[index % call.addresses.len()];
    let sent = world.http.call(Method::POST, address, call.path, &headers, body, limit).await;
    (started.elapsed(), sent.is_ok_and(|it| it.status.is_success()))
}
