//! What this instance carries: bytes on its link by kind of connection, lateness of its timers, processor time,
//! memory and callers' connections.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};

use crate::{
    events::{self, emit},
    ingress::{
        counted_stream::{ByteCounter, Bytes},
        shared::IngressShared,
    },
    metrics::label,
};

/// Percentage of the link from which on the load is logged.
const LOGGED_PERCENT: u64 = 50;
/// Lateness of a timer from which on the load is logged, in milliseconds.
const LOGGED_LATENESS_MS: u64 = 100;

/// Byte counters of the connections by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) callers: ByteCounter,
    pub(crate) targets: ByteCounter,
    pub(crate) peers: ByteCounter,
    pub(crate) store: ByteCounter,
}

impl Traffic {
    fn totals(&self) -> [(&'static str, Bytes); 4] {
        [
            ("callers", self.callers.total()),
            ("targets", self.targets.total()),
            ("peers", self.peers.total()),
            ("store", self.store.total()),
        ]
    }
}

/// Cumulative figures at the last report.
#[derive(Debug, Default)]
struct Reported {
    bytes: [Bytes; 4],
    processor: Duration,
    requests: u64,
}

/// The load of this instance.
#[derive(Debug, Default)]
pub(crate) struct OwnLoad {
    pub(crate) traffic: Traffic,
    /// Callers' connections that are open.
    connections: Arc<AtomicUsize>,
    /// Callers' requests whose heads have been read.
    requests: AtomicU64,
    /// Largest lateness of a timer since the last report, in milliseconds.
    lateness_ms: AtomicU64,
    reported: Mutex<Reported>,
}

/// Counts a caller's connection as open until it is dropped.
pub(crate) struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl OwnLoad {
    /// Counts a caller's connection as open.
    pub(crate) fn open_connection(&self) -> OpenConnection {
        self.connections.fetch_add(1, Ordering::AcqRel);
        OpenConnection(self.connections.clone())
    }

    /// Counts a caller's request whose head has been read.
    pub(crate) fn record_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Records by how much a timer was late.
    pub(crate) fn record_lateness(&self, lateness: Duration) {
        self.lateness_ms.fetch_max(lateness.as_millis() as u64, Ordering::AcqRel);
    }
}

/// Updates the metrics of the load, and logs it if the instance is busy. `since` is the time since the last call.
pub(crate) fn report(shared: &IngressShared, since: Duration) {
    let load = &shared.own_load;
    let mut reported = load.reported.lock();
    let totals = load.traffic.totals();
    let mut link = Bytes::default();
    let mut by_kind = String::new();
    for ((kind, total), before) in totals.iter().zip(&reported.bytes) {
        let received = total.received - before.received;
        let sent = total.sent - before.sent;
        link.received += received;
        link.sent += sent;
        by_kind += &format!(" {kind}={received}/{sent}");
        for (direction, count) in [("received", received), ("sent", sent)] {
            let labels = [label("kind", *kind), label("direction", direction)];
            shared.metrics.link_bytes.add(count, &labels);
        }
    }
    let used = processor_time();
    // The first report has nothing to compare with.
    let before = std::mem::replace(&mut reported.processor, used);
    let processor = if before.is_zero() { Duration::ZERO } else { used.saturating_sub(before) };
    let requests = load.requests.load(Ordering::Relaxed);
    let begun = requests - reported.requests;
    reported.bytes = totals.map(|it| it.1);
    reported.requests = requests;
    drop(reported);
    let lateness_ms = load.lateness_ms.swap(0, Ordering::AcqRel);
    let connections = load.connections.load(Ordering::Acquire);
    shared.metrics.processor_time.add(processor.as_millis() as u64, &[]);
    shared.metrics.timer_lateness.record(lateness_ms as f64, &[]);
    shared.metrics.caller_connections.record(connections as u64, &[]);
    shared.metrics.memory.record(resident_bytes(), &[]);
    let machine = &shared.settings.machine;
    let percent = |used: f64, capacity: f64| {
        let capacity = capacity * since.as_secs_f64();
        if capacity <= 0.0 { 0 } else { (100.0 * used / capacity) as u64 }
    };
    let link_percent = percent(link.received.max(link.sent) as f64, machine.link_mbps * 125_000.0);
    if LOGGED_PERCENT <= link_percent || LOGGED_LATENESS_MS <= lateness_ms {
        let detail = format!(
            "link_percent={link_percent} lateness_ms={lateness_ms} processor_ms={} \
             received={} sent={}{by_kind} requests={begun} \
             in_flight={} connections={connections} memory_kb={} unread={}",
            processor.as_millis(),
            link.received,
            link.sent,
            shared.in_flight.count(),
            resident_bytes() >> 10,
            shared.unread.buffered(),
        );
        emit(events::OWN_LOAD, &shared.settings.instance, &detail);
    }
}

fn processor_time() -> Duration {
    let used = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(used.tv_sec.unsigned_abs(), used.tv_nsec.unsigned_abs() as u32)
}

/// Resident memory of this process; 0 if unknown.
fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|it| it.split(' ').nth(1)?.parse::<u64>().ok());
    pages.unwrap_or(0) * rustix::param::page_size() as u64
}
