//! The platform's ingress: requests of any method and body, by host and path, to the services that
//! the operators' configuration names.
//!
//! All of it runs on one thread: an instance has a part of one core, and what a request touches
//! is mostly shared by all. Everything that decides is in `holdpoint-core`; every name of the
//! platform is in `holdpoint-adapter`.

mod answer;
mod attempts;
mod backoff;
mod batches;
mod changes;
mod confinement;
mod confirm;
mod connections;
mod context;
mod declared;
mod departures;
mod domains;
mod follow;
mod front;
mod gate;
mod heard;
mod held;
mod intake;
mod limits;
mod links;
mod news;
mod packed;
mod peer_service;
mod peers;
mod piece_ask;
mod pools;
mod quarantine;
mod regions;
mod releases;
mod request;
mod rollouts;
mod send;
mod shared;
mod spill;
mod stages;
mod store;
mod stream;
mod unread;
mod watch;
mod whole;

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
    Ended, StartError,
    events::{self, emit},
    ingress::shared::IngressShared,
};

/// How often calls are started that had to wait for time to pass.
const PUMP: Duration = Duration::from_millis(50);
/// How often connections that have rested too long are closed.
const SWEEP: Duration = Duration::from_millis(1000);
/// How long before the forced end a planned stop gives up on what is still in flight.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// How long before that what has no answer yet gets its final one, so that no caller's connection is
/// closed without.
const LAST_ANSWERS: Duration = Duration::from_millis(300);
/// How long callers' connections may take to close once nothing is in flight.
const CLOSE: Duration = Duration::from_millis(150);

/// One running ingress instance.
pub struct Ingress {
    shared: Arc<IngressShared>,
}

impl Ingress {
    /// Starts an instance on the runtime of the caller.
    pub fn start(mut settings: IngressSettings) -> Result<Ingress, Report<StartError>> {
        let listen = &mut settings.listen;
        let callers = bind(&mut listen.callers)?;
        let readiness = bind(&mut listen.readiness)?;
        let peers = bind(&mut listen.peers)?;
        let metrics = bind_metrics(&settings.instance, listen);
        let listen = settings.listen.clone();
        let shared = Arc::new(IngressShared::new(settings));
        tokio::spawn(watch::follow_configuration(shared.clone()));
        tokio::spawn(watch::follow_targets(shared.clone()));
        tokio::spawn(watch::follow_resources(shared.clone()));
        tokio::spawn(watch::follow_peers(shared.clone()));
        tokio::spawn(watch::write_again(shared.clone()));
        tokio::spawn(follow::run(shared.clone()));
        tokio::spawn(follow::settle_lapses(shared.clone()));
        tokio::spawn(peer_service::serve(shared.clone(), peers));
        tokio::spawn(front::readiness(shared.clone(), readiness));
        tokio::spawn(front::callers(shared.clone(), callers));
        if let Some(it) = metrics {
            tokio::spawn(front::metrics(shared.clone(), it));
        }
        tokio::spawn(releases::run(shared.clone()));
        if shared.topology.is_split() {
            tokio::spawn(spill::run(shared.clone()));
        }
        tokio::spawn(rollouts::run(shared.clone()));
        tokio::spawn(quarantine::run(shared.clone()));
        tokio::spawn(limits::run(shared.clone()));
        tokio::spawn(departures::run(shared.clone()));
        tokio::spawn(tick(shared.clone()));
        emit(events::STARTED, &shared.settings.instance, &format!("callers={}", listen.callers));
        Ok(Ingress { shared })
    }

    /// Addresses that it listens on, with the ports that were chosen where the settings say 0.
    pub fn listen(&self) -> &Listen {
        &self.shared.settings.listen
    }

    /// Version of the configuration in force; 0 is none.
    pub fn version(&self) -> Version {
        self.shared.configuration().version
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Number of peers that it knows.
    pub fn peer_count(&self) -> usize {
        self.shared.peers.all().len()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.count()
    }

    /// Number of target instances that it knows and that are not leaving.
    pub fn target_count(&self) -> usize {
        self.shared.targets().iter().filter(|it| !it.is_leaving).count()
    }

    /// Number of target instances that may get new work.
    pub fn open_count(&self) -> usize {
        let is_open = |it: &TargetInstance| !self.shared.domains.is_evacuated(&it.domain);
        self.shared.targets().iter().filter(|it| !it.is_leaving && is_open(it)).count()
    }

    /// Failure domains that are evacuated, whether targets are known there or not.
    pub fn evacuated(&self) -> Vec<Name> {
        self.shared.domains.state().domains().cloned().collect()
    }

    /// Where the roll-out of a service stands, as far as this instance knows.
    pub fn rollout(&self, service: &str) -> Option<Phase> {
        self.shared.rollouts.phase(self.shared.clock.now(), service)
    }

    /// Stops as planned: not ready at once, new work while the balancer notices, then the end of
    /// all that is in flight, within the grace that the platform gives.
    pub async fn stop(self) -> Ended {
        let shared = &self.shared;
        let begun = Instant::now();
        let timing = &shared.settings.timing;
        let grace = Duration::from_secs_f64(timing.grace_s).saturating_sub(STOP_MARGIN);
        let detail = format!("in_flight={}", shared.in_flight.count());
        emit(events::STOPPING, &shared.settings.instance, &detail);
        shared.is_leaving.store(true, Ordering::Release);
        shared.peers.leave();
        let left = tokio::spawn({
            let shared = shared.clone();
            async move { watch::leave_peers(&shared).await }
        });
        sleep(Duration::from_millis(timing.linger_ms).min(grace)).await;
        shared.closing.send_replace(true);
        let rest = grace.saturating_sub(begun.elapsed());
        let is_drained = drain(shared, rest).await;
        sleep(CLOSE).await;
        left.abort();
        let detail = format!("in_flight={}", shared.in_flight.count());
        emit(events::STOPPED, &shared.settings.instance, &detail);
        if is_drained { Ended::Drained } else { Ended::Cut }
    }
}

/// Failure domain of the instance that an entry in the store describes; empty where it does not tell,
/// `None` where it cannot be read.
pub fn domain_of_entry(entry: &[u8]) -> Option<String> {
    peers::Peer::parse(entry).map(|it| it.domain)
}

/// What stands in a frame between peers: a question, or an answer. Builds older and newer than the one that wrote
/// it have to read it.
pub fn read_peer_frame(frame: &[u8], is_answer: bool) -> io::Result<serde_json::Value> {
    if is_answer { peer_service::read_answer(frame) } else { peer_service::read_request(frame) }
}

/// Waits until nothing is in flight, for so long at most; whether that came about. What has no answer
/// shortly before gets its final one.
async fn drain(shared: &IngressShared, rest: Duration) -> bool {
    let is_drained = timeout(rest.saturating_sub(LAST_ANSWERS), shared.in_flight.idle()).await;
    if is_drained.is_ok() {
        return true;
    }
    shared.answer_now.send_replace(true);
    timeout(LAST_ANSWERS, shared.in_flight.idle()).await.is_ok()
}

async fn tick(shared: Arc<IngressShared>) {
    let mut pump = interval(PUMP);
    let mut sweep = interval(SWEEP);
    let mut suspensions = Suspensions::default();
    loop {
        tokio::select! {
            _ = pump.tick() => {
                if let Some(it) = suspensions.look() {
                    shared.woken_after(it);
                }
                batches::pump_all(&shared);
            }
            _ = sweep.tick() => {
                shared.connections.sweep();
                shared.backoffs.lock().forget(shared.clock.now());
                domains::settle(&shared);
            }
        }
    }
}

/// Difference between the clock that goes on in a suspension and the steady one, from which on the
/// machine counts as having been suspended: adjustments of the clocks are far below.
const SUSPENDED: Duration = Duration::from_millis(200);

/// Notices suspensions of the machine: the steady clock leaves them out.
struct Suspensions {
    steady: std::time::Instant,
    whole: Instant,
}

impl Default for Suspensions {
    fn default() -> Suspensions {
        Suspensions { steady: std::time::Instant::now(), whole: Instant::now() }
    }
}

impl Suspensions {
    /// How long the machine was suspended since the last look, if it was.
    fn look(&mut self) -> Option<Duration> {
        let before = std::mem::take(self);
        let left_out = (self.whole - before.whole).saturating_sub(self.steady - before.steady);
        (SUSPENDED <= left_out).then_some(left_out)
    }
}

/// Binds the metrics' address, if there is one. An instance serves its callers without it too.
fn bind_metrics(instance: &str, listen: &mut Listen) -> Option<tokio::net::TcpListener> {
    if listen.metrics.is_empty() {
        return None;
    }
    let bound = bind(&mut listen.metrics);
    bound.inspect_err(|it| emit(events::BAD_ADDRESS, instance, &format!("{it:?}"))).ok()
}

/// Binds an address and puts the one that was bound in its place.
fn bind(address: &mut String) -> Result<tokio::net::TcpListener, Report<StartError>> {
    let listener = TcpListener::bind(address.as_str())
        .change_context(StartError::Bind)
        .attach_with(|| address.clone())?;
    let bound = listener.local_addr().change_context(StartError::Bind)?;
    *address = bound.to_string();
    listener.set_nonblocking(true).change_context(StartError::Bind)?;
    tokio::net::TcpListener::from_std(listener).change_context(StartError::Bind)
}
