//! Measures the overhead of an instance: calls through it against the same calls sent directly to
//! the targets.

use std::time::{Duration, Instant};

use futures::{StreamExt, stream};
use hdrhistogram::Histogram;
use hyper::Method;
use serde::Serialize;
use serde_json::json;

use crate::{
    load,
    measure::{loopback_bytes, new_histogram, quantile_ms, thread_cpu_time},
    world::World,
};

/// Concurrent callers in each measurement.
pub const CALLERS: [usize; 3] = [1, 16, 128];

/// One measurement, direct and through an instance.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Calls sent directly to the targets.
    pub direct: Measurement,
    /// Calls sent through an instance.
    pub through: Measurement,
    /// CPU time of the instance's threads per request, in microseconds.
    pub cpu_us: f64,
}

/// Latency, throughput and bytes of one series of calls.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Median time, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time, in milliseconds.
    pub p99_ms: f64,
    /// Requests per second.
    pub rate: f64,
    /// Bytes on the loopback interface per request, including all hops and headers.
    pub bytes: f64,
    /// Requests without a successful answer.
    pub failed: u64,
}

/// Measures a lookup with each number of callers.
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
        // Warm up connections and code paths before the measurement.
        measure(world, &direct, callers, requests / 10).await;
        measure(world, &through, callers, requests / 10).await;
        let direct_result = measure(world, &direct, callers, requests).await;
        let before = thread_cpu_time("traffic") + thread_cpu_time("control");
        let through_result = measure(world, &through, callers, requests).await;
        let cpu_time = thread_cpu_time("traffic") + thread_cpu_time("control") - before;
        let cpu_us = cpu_time.as_secs_f64() * 1e6 / requests as f64;
        rows.push(Row { callers, direct: direct_result, through: through_result, cpu_us });
    }
    rows
}

/// CPU time of the instance's threads per streamed chunk, in microseconds.
pub async fn chunk_cpu_us(world: &World, requests: usize) -> f64 {
    let kinds = |it: &load::Kind| it.pipeline == "tasting-notes";
    let mix = load::Mix::new(requests, 16).with_kinds(kinds);
    load::run(world, &mix).await;
    let before = thread_cpu_time("traffic") + thread_cpu_time("control");
    let tally = load::run(world, &mix.with_seed(2)).await;
    let cpu_time = thread_cpu_time("traffic") + thread_cpu_time("control") - before;
    let chunks = tally.total().attained * load::KINDS[0].chunks;
    cpu_time.as_secs_f64() * 1e6 / chunks.max(1) as f64
}

struct Call {
    /// Addresses, called round-robin.
    addresses: Vec<String>,
    path: &'static str,
    body: String,
}

async fn measure(world: &World, call: &Call, callers: usize, requests: usize) -> Measurement {
    let started = Instant::now();
    let bytes = loopback_bytes();
    let results: Vec<(Duration, bool)> = stream::iter(0..requests)
        .map(|index| call_once(world, call, index))
        .buffer_unordered(callers)
        .collect()
        .await;
    let elapsed = started.elapsed().as_secs_f64();
    let mut histogram: Histogram<u64> = new_histogram();
    results.iter().for_each(|it| histogram.saturating_record(it.0.as_micros() as u64));
    Measurement {
        p50_ms: quantile_ms(&histogram, 0.5),
        p99_ms: quantile_ms(&histogram, 0.99),
        rate: requests as f64 / elapsed,
        bytes: (loopback_bytes() - bytes) as f64 / requests as f64,
        failed: results.iter().filter(|it| !it.1).count() as u64,
    }
}

async fn call_once(world: &World, call: &Call, index: usize) -> (Duration, bool) {
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
