//! The platform's ingress: routes requests of any method and body, by host and path, to the services
//! that the operators' configuration names.
//!
//! An instance runs on one thread: it has a share of one core, and requests mostly work on shared
//! state. Decision logic is in `holdpoint-core`, names that the platform defines are in
//! `holdpoint-adapter`.

mod active_resources;
mod answer;
mod attempts;
mod backoff;
mod batches;
mod body_memory;
mod changes;
mod checked_answer;
mod confinement;
mod confirm;
mod connections;
mod context;
mod counted_stream;
mod delivery;
mod departure;
mod dispatch;
mod domains;
mod drain_notices;
mod follow;
mod gate;
mod item_request;
mod late_in_stop;
mod limits;
mod link_probe;
mod links;
mod listeners;
mod monitored_stream;
mod own_load;
mod packed;
mod paths;
mod peer_service;
mod peers;
mod pools;
mod quarantine;
mod received;
mod regions;
mod relay;
mod releases;
mod request;
mod rollouts;
mod send;
mod shared;
mod spill;
mod stage_results;
mod stages;
mod store;
mod store_reader;
mod stream;
mod stream_origins;
mod target_reader;
mod unread;
mod unwritten;
mod update_feed;
mod updates;
mod whole;
mod write_timeout;

use std::{
    io,
    net::TcpListener,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use holdpoint_core::{directory::TargetInstance, ids::Name, ingress::Version, rollout::Phase};
use holdpoint_platform::Instant;
use holdpoint_schema::ingress::{IngressSettings, Listen};
use tokio::time::{interval, sleep, timeout};

use crate::{
    StartError, StopOutcome,
    events::{self, emit},
    ingress::shared::IngressShared,
    serving::closing::LATE_REQUEST_TIME,
};

/// Interval at which queued work is started on targets that have become free with time. It is no divisor of the usual
/// period of a processor's quota, 100 ms, so that some of its ticks fall into the time in which the process may run.
const PUMP_INTERVAL: Duration = Duration::from_millis(47);
/// Interval at which idle connections are closed and expired state is removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1000);
/// Part of the grace period that a planned stop keeps free before the platform ends the process.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the drain at which requests without a response get a final one, so that no
/// caller's connection is closed without a response.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(300);
/// Part of `STOP_MARGIN` in which answers that outlast the stop are broken off and their ends recorded.
const BREAK_OFF_TIME: Duration = Duration::from_millis(100);
/// Time after which the requests in flight are counted at a stop, so that connections have read the last ones.
const CLOSE_DELAY: Duration = LATE_REQUEST_TIME.saturating_mul(3);

/// One running ingress instance.
pub struct Ingress {
    shared: Arc<IngressShared>,
}

impl Ingress {
    /// Starts an instance on the caller's Tokio runtime.
    ///
    /// Fails if an address other than that of the metrics cannot be bound.
    pub fn start(mut settings: IngressSettings) -> Result<Ingress, Report<StartError>> {
        let listen = &mut settings.listen;
        let callers = bind(&mut listen.callers)?;
        let readiness = bind(&mut listen.readiness)?;
        let peers = bind(&mut listen.peers)?;
        let metrics = bind_metrics(&settings.instance, listen);
        let listen = settings.listen.clone();
        let shared = Arc::new(IngressShared::new(settings));
        tokio::spawn(store_reader::follow_configuration(shared.clone()));
        tokio::spawn(target_reader::follow_targets(shared.clone()));
        tokio::spawn(store_reader::follow_resources(shared.clone()));
        tokio::spawn(store_reader::follow_peers(shared.clone()));
        tokio::spawn(store_reader::rewrite_records(shared.clone()));
        tokio::spawn(follow::run(shared.clone()));
        tokio::spawn(follow::resolve_lapses(shared.clone()));
        tokio::spawn(peer_service::serve(shared.clone(), peers));
        tokio::spawn(listeners::readiness(shared.clone(), readiness));
        tokio::spawn(listeners::callers(shared.clone(), callers));
        if let Some(it) = metrics {
            tokio::spawn(listeners::metrics(shared.clone(), it));
        }
        tokio::spawn(releases::run(shared.clone()));
        if shared.topology.has_regions() {
            tokio::spawn(spill::run(shared.clone()));
        }
        tokio::spawn(rollouts::run(shared.clone()));
        tokio::spawn(quarantine::run(shared.clone()));
        tokio::spawn(limits::run(shared.clone()));
        tokio::spawn(paths::run(shared.clone()));
        tokio::spawn(link_probe::run(shared.clone()));
        tokio::spawn(drain_notices::run(shared.clone()));
        tokio::spawn(stream_origins::run(shared.clone()));
        tokio::spawn(tick(shared.clone()));
        emit(events::STARTED, &shared.settings.instance, &format!("callers={}", listen.callers));
        Ok(Ingress { shared })
    }

    /// Addresses that the instance listens on; port 0 of the settings is replaced by the bound port.
    pub fn listen(&self) -> &Listen {
        &self.shared.settings.listen
    }

    /// Version of the active configuration; 0 if there is none.
    pub fn version(&self) -> Version {
        self.shared.configuration().version
    }

    /// Whether the load balancer may send requests to this instance.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Number of known peers.
    pub fn peer_count(&self) -> usize {
        self.shared.peers.all().len()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.count()
    }

    /// Number of known target instances that are not draining.
    pub fn target_count(&self) -> usize {
        self.shared.targets().iter().filter(|it| !it.is_draining).count()
    }

    /// Number of known target instances of a service that run this version of their software.
    pub fn targets_with_version(&self, service: &str, version: &str) -> usize {
        let is_its = |it: &TargetInstance| it.service == service && it.version == version;
        self.shared.targets().iter().filter(|it| is_its(it)).count()
    }

    /// Number of target instances that may get new work: neither draining nor in an evacuated domain.
    pub fn open_count(&self) -> usize {
        let is_open = |it: &TargetInstance| !self.shared.domains.is_evacuated(&it.domain);
        self.shared.targets().iter().filter(|it| !it.is_draining && is_open(it)).count()
    }

    /// Evacuated failure domains, including those without known targets.
    pub fn evacuated(&self) -> Vec<Name> {
        self.shared.domains.state().domains().cloned().collect()
    }

    /// Phase of the roll-out of a service, as far as this instance knows it.
    pub fn rollout(&self, service: &str) -> Option<Phase> {
        self.shared.rollouts.phase(self.shared.clock.now(), service)
    }

    /// Stops gracefully within the platform's grace period: reports not ready at once, accepts requests
    /// until the load balancer has noticed, then waits for the requests in flight, and until their answers are
    /// written and the connections closed.
    pub async fn stop(self) -> StopOutcome {
        let shared = &self.shared;
        let started_at = Instant::now();
        let timing = &shared.settings.timing;
        let grace = Duration::from_secs_f64(timing.grace_s).saturating_sub(STOP_MARGIN);
        let detail = format!("in_flight={}", shared.in_flight.count());
        emit(events::STOPPING, &shared.settings.instance, &detail);
        let final_answers_at = started_at + grace.saturating_sub(FINAL_RESPONSE_TIME);
        // An instance stops once.
        let _ = shared.final_answers_at.set(final_answers_at);
        shared.is_draining.store(true, Ordering::Release);
        shared.peers.start_draining();
        let deregistration = tokio::spawn({
            let shared = shared.clone();
            async move { store_reader::remove_own_entry(&shared).await }
        });
        sleep(Duration::from_millis(timing.linger_ms).min(grace)).await;
        shared.closing.send_replace(true);
        let remaining = grace.saturating_sub(started_at.elapsed());
        sleep(CLOSE_DELAY.min(remaining)).await;
        let remaining = grace.saturating_sub(started_at.elapsed());
        let is_drained = drain(shared, remaining).await;
        deregistration.abort();
        let (in_flight, connections) = (shared.in_flight.count(), shared.used_connections.count());
        let calls = shared.served_calls.count();
        if !is_drained {
            break_off(shared).await;
        }
        let detail = format!("in_flight={in_flight} connections={connections} calls={calls}");
        emit(events::STOPPED, &shared.settings.instance, &detail);
        if is_drained { StopOutcome::Drained } else { StopOutcome::Cut }
    }
}

/// Failure domain of the instance that an entry in the store describes; empty if the entry has none,
/// `None` if the entry is malformed.
pub fn domain_of_entry(entry: &[u8]) -> Option<String> {
    peers::Peer::parse(entry).map(|it| it.domain)
}

/// Decodes a frame between peers, a request or a response, to JSON. For tests of compatibility between
/// versions.
pub fn read_peer_frame(frame: &[u8], is_answer: bool) -> io::Result<serde_json::Value> {
    if is_answer { peer_service::read_answer(frame) } else { peer_service::read_request(frame) }
}

/// Waits up to `remaining` until all requests have ended; returns whether that was reached. Requests without a
/// response shortly before the end get a final one.
async fn drain(shared: &IngressShared, remaining: Duration) -> bool {
    let is_drained =
        timeout(remaining.saturating_sub(FINAL_RESPONSE_TIME), all_ended(shared)).await;
    if is_drained.is_ok() {
        return true;
    }
    shared.answer_now.send_replace(true);
    timeout(FINAL_RESPONSE_TIME, all_ended(shared)).await.is_ok()
}

/// Breaks off the answers that outlast the stop, and gives their ends time to be recorded.
async fn break_off(shared: &IngressShared) {
    shared.break_off_now.send_replace(true);
    // What has not ended by then is cut by the end of the process.
    let _ = timeout(BREAK_OFF_TIME, all_ended(shared)).await;
}

/// Waits until no request is in flight, the connections that carried requests are closed, and the calls of peers are
/// answered. The last bytes of an answer may still be queued in the process when its request is no longer in flight.
async fn all_ended(shared: &IngressShared) {
    loop {
        shared.in_flight.idle().await;
        shared.used_connections.idle().await;
        shared.served_calls.idle().await;
        let counts = [&shared.in_flight, &shared.used_connections, &shared.served_calls];
        if counts.iter().all(|it| it.count() == 0) {
            return;
        }
    }
}

async fn tick(shared: Arc<IngressShared>) {
    let mut pump = interval(PUMP_INTERVAL);
    let mut sweep = interval(SWEEP_INTERVAL);
    let mut detector = SuspensionDetector::default();
    loop {
        tokio::select! {
            due = pump.tick() => {
                own_load::measure(&shared, due.elapsed());
                if let Some(it) = detector.detect() {
                    shared.handle_resume(it);
                }
                batches::start_all_calls(&shared);
            }
            _ = sweep.tick() => {
                own_load::report(&shared);
                shared.connections.sweep();
                shared.backoffs.lock().remove_expired(shared.clock.now());
                domains::settle(&shared);
            }
        }
    }
}

/// Shortest suspension of the machine that is detected. Adjustments of the clocks are far smaller.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);

/// Detects suspensions of the machine: compares a clock that counts suspended time with one that does
/// not.
struct SuspensionDetector {
    monotonic: std::time::Instant,
    total: Instant,
}

impl Default for SuspensionDetector {
    fn default() -> SuspensionDetector {
        SuspensionDetector { monotonic: std::time::Instant::now(), total: Instant::now() }
    }
}

impl SuspensionDetector {
    /// Duration of a suspension since the previous call, if there was one.
    fn detect(&mut self) -> Option<Duration> {
        let before = std::mem::take(self);
        let suspended =
            (self.total - before.total).saturating_sub(self.monotonic - before.monotonic);
        (MIN_SUSPENSION <= suspended).then_some(suspended)
    }
}

/// Binds the metrics address, if one is set. A failure is only logged: requests are served without
/// metrics.
fn bind_metrics(instance: &str, listen: &mut Listen) -> Option<tokio::net::TcpListener> {
    if listen.metrics.is_empty() {
        return None;
    }
    let bound = bind(&mut listen.metrics);
    bound.inspect_err(|it| emit(events::BAD_ADDRESS, instance, &format!("{it:?}"))).ok()
}

/// Binds an address and replaces it by the bound one.
fn bind(address: &mut String) -> Result<tokio::net::TcpListener, Report<StartError>> {
    let listener = TcpListener::bind(address.as_str())
        .change_context(StartError::Bind)
        .attach_with(|| address.clone())?;
    let bound = listener.local_addr().change_context(StartError::Bind)?;
    *address = bound.to_string();
    listener.set_nonblocking(true).change_context(StartError::Bind)?;
    tokio::net::TcpListener::from_std(listener).change_context(StartError::Bind)
}
