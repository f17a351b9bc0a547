//! Resource counters of this process, read from `/proc`, and latency histograms.

use std::{fs, time::Duration};

use hdrhistogram::Histogram;

/// Upper bound of the latency histograms; longer times are recorded as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Total CPU time of the threads with a name.
pub fn thread_cpu_time(name: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let nanos: u64 = tasks
        .filter(|it| {
            let comm = fs::read_to_string(it.path().join("comm")).unwrap_or_default();
            comm.trim_end() == name
        })
        .filter_map(|it| fs::read_to_string(it.path().join("schedstat")).ok())
        .filter_map(|it| it.split(' ').next()?.parse::<u64>().ok())
        .sum();
    Duration::from_nanos(nanos)
}

/// Total bytes received on the loopback interface; 0 if not available.
pub fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|it| it.trim_start().starts_with("lo:")).unwrap_or_default();
    let numbers = line.split_once(':').map_or("", |it| it.1);
    numbers.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Resident memory of this process, in bytes; 0 if not available.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
    let kib = line.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

/// Creates a histogram of times in microseconds.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are constants")
}

/// A quantile of a histogram of microseconds, in milliseconds.
pub fn quantile_ms(times: &Histogram<u64>, q: f64) -> f64 {
    times.value_at_quantile(q) as f64 / 1000.0
}
