//! What this instance carries, and the new connections that it closes unread when it carries no more.

use std::{
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use holdpoint_core::{
    ids::Millis,
    intake::{Full, Intake, LinkBytes, Resources, Usage},
    queue_delay::QueueDelay,
};
use holdpoint_platform::Instant;
use holdpoint_schema::ingress::Machine;
use parking_lot::Mutex;
use rustix::{
    process::{Resource, getrlimit},
    time::{ClockId, clock_gettime},
};
use tokio::{net::TcpListener, sync::Notify};

use crate::{
    events::{self, emit},
    ingress::{counted_stream::ByteCounter, shared::IngressShared},
    metrics::label,
    serving::accept_queue::{EmptyQueue, take_waiting},
};

/// Percentage of the link from which on the load is logged.
const LOGGED_PERCENT: u64 = 50;
/// Lateness of a timer from which on the load is logged, in milliseconds.
const LOGGED_LATENESS_MS: u64 = 100;
/// Interval at which the traffic is measured. A full link is noticed before the first timeouts that it causes.
const MEASURE_INTERVAL_MS: Millis = 90;
/// Time after which too few round trips say nothing.
const DELAY_WINDOW_MS: Millis = 1000;
/// Memory of one open connection with a request, in bytes.
const CONNECTION_BYTES: f64 = 65536.0;
/// Part of the memory that open connections may use.
const CONNECTIONS_MEMORY: f64 = 0.5;
/// Part of the file descriptors that callers' connections may use.
const CONNECTIONS_DESCRIPTORS: u64 = 2;
/// Time after which callers take a request for read: a connection that may have waited longer is not closed unread.
const READ_AFTER: Duration = Duration::from_millis(200);
/// Divisor of the connections that may be open, which gives those whose requests are refused at a time.
const REFUSED_DIVISOR: usize = 4;
/// Smallest bound on the connections whose requests are refused at a time.
const MIN_REFUSED: usize = 16;

/// Byte counters of the connections by kind, and the round trips of all.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    round_trips: Arc<Mutex<QueueDelay>>,
    /// Connections of callers.
    pub(crate) callers: ByteCounter,
    /// Connections to targets that answer callers' requests.
    pub(crate) targets: ByteCounter,
    /// Connections to targets that run stages, for callers of all instances.
    pub(crate) stages: ByteCounter,
    /// Connections to peers.
    pub(crate) peers: ByteCounter,
    /// Connections from peers.
    pub(crate) served_peers: ByteCounter,
    /// Connections to the store.
    pub(crate) store: ByteCounter,
}

/// Number of kinds of connections.
const KINDS: usize = 6;
/// Number of kinds, the first ones, whose bytes requests of this instance's callers cause.
const OWN_KINDS: usize = 3;

impl Traffic {
    /// Records a round trip to a remote: a peer, or a failure domain.
    pub(crate) fn record_round_trip(&self, remote: &str, round_trip: Duration) {
        self.round_trips.lock().record(remote, 1000.0 * round_trip.as_secs_f64());
    }

    fn totals(&self) -> [(&'static str, LinkBytes); KINDS] {
        [
            ("callers", self.callers.total()),
            ("targets", self.targets.total()),
            ("peers", self.peers.total()),
            ("stages", self.stages.total()),
            ("served_peers", self.served_peers.total()),
            ("store", self.store.total()),
        ]
    }
}

/// Cumulative figures at an earlier time.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    at: Millis,
    bytes: [LinkBytes; KINDS],
    requests: u64,
}

/// Figures since the last report.
#[derive(Debug, Default)]
struct Reported {
    totals: Totals,
    processor: Duration,
    lateness_ms: Millis,
    /// Connections closed unread, and those closed after an answer for the sake of new ones.
    closed: u64,
    shed: u64,
    /// Connections whose requests were refused, since they had waited for too long to be closed unread.
    refused: u64,
    /// Longest time that one of those closed unread may have waited to be accepted.
    unread_wait: Duration,
    /// Longest delay that all round trips of a window had.
    delay_ms: Millis,
}

#[derive(Debug)]
struct State {
    intake: Intake,
    requests: u64,
    was_strained: bool,
    measured: Totals,
    /// Processor time of the process when it was last measured.
    processor: Duration,
    /// When the current window of round trips began.
    delay_window: Millis,
    queue: EmptyQueue,
    reported: Reported,
}

/// The load of this instance.
#[derive(Debug)]
pub(crate) struct OwnLoad {
    pub(crate) traffic: Traffic,
    /// Callers' connections that are open.
    connections: Arc<AtomicUsize>,
    /// Connections whose requests are being refused.
    refused: Arc<AtomicUsize>,
    /// Bound on `refused`.
    max_refused: usize,
    state: Arc<Mutex<State>>,
    /// Notified when new connections have to wait for the link's queue.
    queued: Notify,
    /// Notified when new connections are refused.
    pressed: Notify,
}

/// What becomes of a caller's new connection.
pub(crate) enum Accepted {
    /// Its requests are served.
    Served(OpenConnection),
    /// Its request is refused, since its caller may take it for read.
    Refused(OpenConnection),
    /// It is closed unread.
    Closed,
}

/// Counts a caller's connection as open until it is dropped.
pub(crate) struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts a request as read and not yet served; dropped once it is sent to a target or has ended.
#[derive(Debug)]
pub(crate) struct Unserved(Arc<Mutex<State>>);

impl Drop for Unserved {
    fn drop(&mut self) {
        self.0.lock().intake.record_served();
    }
}

impl OwnLoad {
    /// Creates the state of an instance on this machine.
    pub(crate) fn new(machine: &Machine) -> OwnLoad {
        let resources = resources(machine);
        let state = State {
            intake: Intake::new(resources),
            requests: 0,
            was_strained: false,
            measured: Totals::default(),
            processor: Duration::ZERO,
            delay_window: 0,
            queue: EmptyQueue::new(),
            reported: Reported::default(),
        };
        OwnLoad {
            traffic: Traffic::default(),
            connections: Arc::default(),
            refused: Arc::default(),
            max_refused: (resources.connections / REFUSED_DIVISOR).max(MIN_REFUSED),
            state: Arc::new(Mutex::new(state)),
            queued: Notify::new(),
            pressed: Notify::new(),
        }
    }

    /// Decides on a caller's new connection, and counts an accepted one as open.
    fn accept(&self, now: Millis) -> Result<OpenConnection, Full> {
        let mut state = self.state.lock();
        let accepted = state.intake.accept(now, self.connections.load(Ordering::Acquire));
        if let Err(it) = accepted {
            self.traffic.round_trips.lock().discard();
            self.pressed.notify_one();
            return Err(it);
        }
        self.connections.fetch_add(1, Ordering::AcqRel);
        Ok(OpenConnection(self.connections.clone()))
    }

    /// Records connections that were closed unread, or whose requests are refused, beside the first one.
    fn record_closed(&self, now: Millis, count: usize) {
        self.state.lock().intake.record_closed(now, count);
    }

    /// Counts a connection as one whose request is refused; `None` if it may be closed unread, or has to be.
    fn refuse(&self) -> Option<OpenConnection> {
        let mut state = self.state.lock();
        if state.queue.longest_wait() <= READ_AFTER
            || self.max_refused <= self.refused.load(Ordering::Acquire)
        {
            return None;
        }
        state.reported.refused += 1;
        self.refused.fetch_add(1, Ordering::AcqRel);
        Some(OpenConnection(self.refused.clone()))
    }

    /// Records that no connection waited to be accepted at this time.
    pub(crate) fn record_empty_queue(&self, at: Instant) {
        self.state.lock().queue.record(at);
    }

    /// Longest time that a connection which is accepted now may have waited.
    pub(crate) fn longest_wait(&self) -> Duration {
        self.state.lock().queue.longest_wait()
    }

    /// Counts a connection that is closed unread; returns the longest time that it may have waited.
    fn record_unread(&self) -> Duration {
        let mut state = self.state.lock();
        let wait = state.queue.longest_wait();
        state.reported.closed += 1;
        state.reported.unread_wait = state.reported.unread_wait.max(wait);
        wait
    }

    /// Counts a caller's request whose head has been read. The first one of a connection was accepted with it.
    pub(crate) fn record_request(&self, is_first: bool) -> Unserved {
        let mut state = self.state.lock();
        state.requests += 1;
        state.intake.record_read();
        if !is_first {
            state.intake.charge();
        }
        Unserved(self.state.clone())
    }

    /// Whether a caller's connection stays open after an answer.
    pub(crate) fn keeps_connection(&self, now: Millis) -> bool {
        let mut state = self.state.lock();
        let is_kept = state.intake.keeps_connection(now);
        state.reported.shed += u64::from(!is_kept);
        is_kept
    }

    /// Whether new connections are refused, or were recently.
    pub(crate) fn is_pressed(&self, now: Millis) -> bool {
        self.state.lock().intake.is_pressed(now)
    }

    /// Waits until new connections are refused.
    pub(crate) async fn wait_pressed(&self) {
        self.pressed.notified().await;
    }

    /// Time until new connections can be accepted again; `None` if they can be now.
    pub(crate) fn wait(&self, now: Millis) -> Option<Duration> {
        let open = self.connections.load(Ordering::Acquire);
        self.state.lock().intake.wait(now, open).map(Duration::from_millis)
    }

    /// Waits until new connections have to wait for the link's queue.
    pub(crate) async fn queued(&self) {
        self.queued.notified().await;
    }

    /// Whether timeouts may be the fault of this instance's own link or processor.
    pub(crate) fn is_strained(&self, now: Millis) -> bool {
        self.state.lock().intake.is_strained(now)
    }
}

/// The resources of a machine for callers' connections; a size of 0 is unknown.
fn resources(machine: &Machine) -> Resources {
    let by_memory = match machine.memory_mb {
        0.0 => usize::MAX,
        it => (CONNECTIONS_MEMORY * it * f64::from(1 << 20) / CONNECTION_BYTES) as usize,
    };
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let by_descriptors = (descriptors / CONNECTIONS_DESCRIPTORS) as usize;
    Resources {
        link: machine.link_mbps * 125.0,
        cores: machine.cpu_share * machine.cpu_cores,
        connections: by_memory.min(by_descriptors).max(1),
    }
}

/// Decides on a caller's new connection.
pub(crate) fn accept(shared: &IngressShared) -> Accepted {
    match shared.own_load.accept(shared.clock.now()) {
        Ok(it) => Accepted::Served(it),
        Err(it) => refuse_or_close(shared, it.name()),
    }
}

/// Decides on the callers' connections that wait to be accepted when the instance stops listening. Their requests are on
/// the way already.
pub(crate) fn refuse_waiting(
    shared: &IngressShared,
    listener: TcpListener,
) -> Vec<(TcpStream, OpenConnection)> {
    let mut count = 0;
    let mut refused = Vec::new();
    for stream in take_waiting(listener) {
        count += 1;
        if let Accepted::Refused(it) = refuse_or_close(shared, "waiting") {
            refused.push((stream, it));
        }
    }
    shared.own_load.record_closed(shared.clock.now(), count);
    refused
}

fn refuse_or_close(shared: &IngressShared, full: &'static str) -> Accepted {
    if let Some(it) = shared.own_load.refuse() {
        return Accepted::Refused(it);
    }
    let wait = shared.own_load.record_unread();
    shared.metrics.closed_unread.add(1, &[label("full", full)]);
    shared.metrics.unread_wait.record(wait.as_millis() as f64, &[]);
    Accepted::Closed
}

/// Records by how much a timer was late, and measures the traffic from time to time.
pub(crate) fn measure(shared: &IngressShared, lateness: Duration) {
    let now = shared.clock.now();
    let load = &shared.own_load;
    let mut state = load.state.lock();
    let lateness = lateness.as_millis() as Millis;
    state.reported.lateness_ms = state.reported.lateness_ms.max(lateness);
    state.intake.record_lateness(now, lateness);
    measure_delay(load, now, &mut state);
    log_strain(shared, now, &mut state);
    let since = now.saturating_sub(state.measured.at);
    if since < MEASURE_INTERVAL_MS {
        return;
    }
    let used = processor_time();
    let before = std::mem::replace(&mut state.processor, used);
    if before != Duration::ZERO {
        state.intake.record_processor(1000.0 * used.saturating_sub(before).as_secs_f64());
    }
    let totals =
        Totals { at: now, bytes: load.traffic.totals().map(|it| it.1), requests: state.requests };
    let before = std::mem::replace(&mut state.measured, totals);
    if before.at == 0 {
        return;
    }
    let usage = usage(&before, &totals);
    state.intake.record_usage(now, since, usage);
}

fn measure_delay(load: &OwnLoad, now: Millis, state: &mut State) {
    let mut round_trips = load.traffic.round_trips.lock();
    if let Some(it) = round_trips.take() {
        state.intake.record_delay(now, it);
        state.reported.delay_ms = state.reported.delay_ms.max(it as Millis);
        state.delay_window = now;
        if state.intake.has_queue(now) {
            load.queued.notify_one();
            load.pressed.notify_one();
        }
    } else if state.delay_window + DELAY_WINDOW_MS <= now {
        round_trips.discard();
        state.delay_window = now;
    }
}

fn usage(before: &Totals, after: &Totals) -> Usage {
    let mut usage = Usage::default();
    for (kind, (before, after)) in before.bytes.iter().zip(&after.bytes).enumerate() {
        let sum = if kind < OWN_KINDS { &mut usage.own } else { &mut usage.other };
        sum.received += after.received - before.received;
        sum.sent += after.sent - before.sent;
    }
    usage
}

fn log_strain(shared: &IngressShared, now: Millis, state: &mut State) {
    let intake = &state.intake;
    let is_strained = intake.is_strained(now);
    if is_strained == std::mem::replace(&mut state.was_strained, is_strained) {
        return;
    }
    let [received, sent] = intake.costs();
    let detail = format!(
        "strained={is_strained} link_full={} per_s={:.0} request_received={received} request_sent={sent}",
        intake.is_link_full(),
        intake.rate()
    );
    emit(events::STRAINED, &shared.settings.instance, &detail);
}

/// Updates the metrics of the load, and logs it if the instance is busy.
pub(crate) fn report(shared: &IngressShared) {
    let now = shared.clock.now();
    let load = &shared.own_load;
    let totals = load.traffic.totals();
    let mut state = load.state.lock();
    let requests = state.requests;
    let after = Totals { at: now, bytes: totals.map(|it| it.1), requests };
    let used = processor_time();
    let reported = std::mem::replace(
        &mut state.reported,
        Reported { totals: after, processor: used, ..Reported::default() },
    );
    let [request_received, request_sent] = state.intake.costs();
    let rate = state.intake.rate();
    let kept = state.intake.kept_rate();
    drop(state);
    let before = reported.totals;
    let mut link = LinkBytes::default();
    let mut by_kind = String::new();
    for ((kind, total), before) in totals.iter().zip(&before.bytes) {
        let (received, sent) = (total.received - before.received, total.sent - before.sent);
        link.received += received;
        link.sent += sent;
        by_kind += &format!(" {kind}={received}/{sent}");
        for (direction, count) in [("received", received), ("sent", sent)] {
            let labels = [label("kind", *kind), label("direction", direction)];
            shared.metrics.link_bytes.add(count, &labels);
        }
    }
    let processor_ms = match reported.processor {
        Duration::ZERO => 0,
        it => used.saturating_sub(it).as_millis() as u64,
    };
    let connections = load.connections.load(Ordering::Acquire);
    let memory = resident_bytes();
    shared.metrics.processor_time.add(processor_ms, &[]);
    shared.metrics.timer_lateness.record(reported.lateness_ms as f64, &[]);
    shared.metrics.caller_connections.record(connections as u64, &[]);
    shared.metrics.memory.record(memory, &[]);
    let capacity = shared.settings.machine.link_mbps * 125.0 * now.saturating_sub(before.at) as f64;
    let busier = link.received.max(link.sent) as f64;
    let link_percent = if capacity <= 0.0 { 0 } else { (100.0 * busier / capacity) as u64 };
    let is_busy = LOGGED_PERCENT <= link_percent || LOGGED_LATENESS_MS <= reported.lateness_ms;
    if !is_busy && reported.closed == 0 && reported.refused == 0 {
        return;
    }
    let detail = format!(
        "link_percent={link_percent} delay_ms={} lateness_ms={} processor_ms={processor_ms} received={} \
         sent={}{by_kind} requests={} in_flight={} connections={connections} closed={} \
         unread_wait_ms={} refused={} shed={} kept_per_s={kept:.0} per_s={rate:.0} \
         request_received={request_received} request_sent={request_sent} memory_kb={} unread={}",
        reported.delay_ms,
        reported.lateness_ms,
        link.received,
        link.sent,
        requests - before.requests,
        shared.in_flight.count(),
        reported.closed,
        reported.unread_wait.as_millis(),
        reported.refused,
        reported.shed,
        memory >> 10,
        shared.unread.buffered(),
    );
    emit(events::OWN_LOAD, &shared.settings.instance, &detail);
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
