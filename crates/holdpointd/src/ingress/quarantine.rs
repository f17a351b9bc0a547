//! Requests that end the targets that run them: what this instance sees of them, tells others, and is
//! told.
//!
//! The ends that requests met are gathered at one instance a service, its judge, since each instance
//! sees only some of them. What is found is told to all instances at once, and kept in the store for
//! those that start later. Neither needs the other: with the store away, instances tell each other; one
//! that was cut off reads it in the store.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use holdpoint_adapter::store::RESOURCES_TOPIC;
use holdpoint_core::{
    directory::TargetInstance,
    era::LOST_TAIL_MS,
    ids::{Millis, Name},
    quarantine::{EndedRun, Fingerprint, HOLD_MS, KEY_PREFIX, Life, Passed, Quarantine, Verdict},
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, watch},
    time::{interval, sleep},
};

use crate::{
    events::{self, emit},
    ingress::{
        answer::Answer, connections::Reach, context::Context, peer_service::QUARANTINES,
        peers::Owners, shared::IngressShared, store::StoreClient,
    },
};

/// How long reports gather: all that a target ran breaks off within a few milliseconds, and connections
/// that rested there are known to be closed after that.
const GATHER: Duration = Duration::from_millis(20);
/// How long the reports of an end come in from all instances before it is judged: whoever is judged first
/// would explain the end that another one has caused.
const SETTLE: Duration = Duration::from_millis(120);
/// How often it is looked whether another instance judges by now, and what in the store is over.
const REVIEW: Duration = Duration::from_millis(1000);
/// Pause before what was not told, or not written, is told again.
const PAUSE: Duration = Duration::from_millis(250);
/// How often reports are told before they are left for the next review.
const TELLS: u32 = 3;
/// Most ends that are told at once: of a judge that has just begun, all that are known.
const MOST_TOLD: usize = 2048;

/// How a request's run ended, for the judge.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum RunReport {
    /// Its target has ended.
    Ended(EndedRun),
    /// It ran to a good end at a service, after targets had ended under it.
    Passed(Fingerprint, Name),
}

impl RunReport {
    fn service(&self) -> &Name {
        match self {
            RunReport::Ended(it) => &it.service,
            RunReport::Passed(_, it) => it,
        }
    }
}

/// A held request in the store.
#[derive(Debug, Serialize, Deserialize)]
struct StoredHold {
    /// Until when it is held, in milliseconds of Unix time.
    until: Millis,
}

/// What an instance knows of requests that end their targets.
pub(crate) struct Quarantines {
    state: Mutex<Quarantine>,
    /// Holds as they stand in the store, by key.
    stored: Mutex<BTreeMap<String, Bytes>>,
    /// Runs that broke off, with the targets that may have ended.
    broken: Mutex<HashMap<Life, (TargetInstance, Vec<EndedRun>)>>,
    reports: Mutex<Vec<RunReport>>,
    /// Requests that are held no more, of which the others are to be told.
    released: Mutex<Vec<Fingerprint>>,
    has_reports: Notify,
    to_judge: Notify,
    /// Address of who was last told of a service's ends: empty where nobody was, none where that was this
    /// instance.
    judges: Mutex<HashMap<Name, Option<String>>>,
    /// Sent whenever a request is held.
    has_held: watch::Sender<()>,
}

impl Default for Quarantines {
    fn default() -> Quarantines {
        Quarantines {
            state: Mutex::default(),
            stored: Mutex::default(),
            broken: Mutex::default(),
            reports: Mutex::default(),
            released: Mutex::default(),
            has_reports: Notify::new(),
            to_judge: Notify::new(),
            judges: Mutex::default(),
            has_held: watch::Sender::new(()),
        }
    }
}

impl Quarantines {
    /// Takes in that the connection broke off on which a target ran a request.
    pub(crate) fn broke_off(&self, fingerprint: Fingerprint, target: &TargetInstance) {
        let life = Life { target: target.id.clone(), born: target.born.unwrap_or(0) };
        let run = EndedRun { fingerprint, service: target.service.clone(), life: life.clone() };
        let mut broken = self.broken.lock();
        broken.entry(life).or_insert_with(|| (target.clone(), Vec::new())).1.push(run);
        drop(broken);
        self.has_reports.notify_one();
    }

    /// Takes in that a target has ended while it ran some requests.
    fn ended(&self, now: Millis, runs: Vec<EndedRun>) {
        for run in runs {
            if self.state.lock().ended(now, run.clone()) {
                self.report(RunReport::Ended(run));
            }
        }
    }

    /// Takes in that a request ran to a good end at a service. Its fingerprint is made only where some
    /// request is suspect.
    pub(crate) fn passed(&self, service: &str, fingerprint: impl FnOnce() -> Fingerprint) {
        let mut state = self.state.lock();
        if state.is_empty() {
            return;
        }
        let fingerprint = fingerprint();
        match state.passed(fingerprint, service) {
            Passed::Nothing => return,
            Passed::News => (),
            Passed::Released => self.released.lock().push(fingerprint),
        }
        self.report(RunReport::Passed(fingerprint, service.to_owned()));
    }

    fn report(&self, report: RunReport) {
        self.reports.lock().push(report);
        self.has_reports.notify_one();
    }

    /// For how much longer a request is held, in milliseconds; `None` where it is not.
    pub(crate) fn held_ms(
        &self,
        now: Millis,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Option<Millis> {
        let state = self.state.lock();
        if state.is_empty() {
            return None;
        }
        state.held_ms(now, fingerprint())
    }

    /// Whether a request's pieces go in calls of their own.
    pub(crate) fn runs_alone(&self, fingerprint: Option<Fingerprint>) -> bool {
        fingerprint.is_some_and(|it| self.state.lock().runs_alone(it))
    }

    /// Holds as they stand in the store, by key.
    pub(crate) fn stored(&self) -> Vec<(String, Bytes)> {
        self.stored.lock().iter().map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    fn take_reports(&self) -> HashMap<Name, Vec<RunReport>> {
        let mut by_service: HashMap<Name, Vec<RunReport>> = HashMap::new();
        for it in std::mem::take(&mut *self.reports.lock()) {
            by_service.entry(it.service().clone()).or_default().push(it);
        }
        by_service
    }
}

/// Tells the judges what was seen, and finds out what there is to find, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let quarantines = &shared.quarantines;
    let mut review = interval(REVIEW);
    loop {
        tokio::select! {
            () = quarantines.has_reports.notified() => {
                sleep(GATHER).await;
                let broken = std::mem::take(&mut *quarantines.broken.lock());
                for (target, runs) in broken.into_values() {
                    tokio::spawn(check_target(shared.clone(), target, runs));
                }
                let released = std::mem::take(&mut *quarantines.released.lock());
                publish(&shared, released.into_iter().map(Verdict::Release).collect());
                quarantines.to_judge.notify_one();
                for (service, reports) in quarantines.take_reports() {
                    tokio::spawn(tell_judge(shared.clone(), service, reports));
                }
            }
            () = quarantines.to_judge.notified() => {
                sleep(SETTLE).await;
                let found = quarantines.state.lock().judge(shared.clock.now());
                publish(&shared, found);
            }
            _ = review.tick() => review_judges(&shared),
        }
    }
}

/// Takes requests for suspect whose target has ended. One that is still there has broken off a single
/// connection: a request that four such targets had failed in turn was held, with no target ended.
async fn check_target(shared: Arc<IngressShared>, target: TargetInstance, runs: Vec<EndedRun>) {
    let reach = shared.connections.reach(&target).await;
    let detail = format!(
        "target={} born={} runs={} reach={reach:?} first={}",
        target.id,
        target.born.unwrap_or(0),
        runs.len(),
        runs.first().map_or(String::new(), |it| it.fingerprint.to_string())
    );
    emit(events::TARGET_LOOKED_FOR, &shared.settings.instance, &detail);
    if reach == Reach::None {
        shared.quarantines.ended(shared.clock.now(), runs);
    }
}

/// The instance that judges a service's ends; `None` where this one does.
fn judge_of(shared: &IngressShared, service: &str) -> Option<String> {
    shared.peers.owner_of(Owners::Any, &format!("{KEY_PREFIX}{service}"))
}

/// Tells a service's judge what this instance has seen; one that has just begun, all of it.
async fn tell_judge(shared: Arc<IngressShared>, service: Name, reports: Vec<RunReport>) {
    for _ in 0..TELLS {
        let judge = judge_of(&shared, &service);
        let before = shared.quarantines.judges.lock().insert(service.clone(), judge.clone());
        let Some(address) = judge else { return };
        let mut told = reports.clone();
        if before != Some(Some(address.clone())) {
            let state = shared.quarantines.state.lock();
            told.extend(state.ends_at(&service).take(MOST_TOLD).cloned().map(RunReport::Ended));
        }
        if shared.peers.protocol_of(&address) < QUARANTINES {
            return;
        }
        if shared.peers.report_runs(&shared, &address, told).await.is_ok() {
            return;
        }
        // Nobody was told, so that the next review tells all.
        shared.quarantines.judges.lock().insert(service.clone(), Some(String::new()));
        sleep(PAUSE).await;
    }
}

/// Forgets what is over, here and in the store, and tells new judges what the ones before knew.
fn review_judges(shared: &Arc<IngressShared>) {
    let quarantines = &shared.quarantines;
    quarantines.state.lock().forget(shared.clock.now());
    let told: Vec<Name> = quarantines.judges.lock().keys().cloned().collect();
    for service in told {
        let is_same = quarantines.judges.lock().get(&service) == Some(&judge_of(shared, &service));
        if !is_same && quarantines.state.lock().ends_at(&service).next().is_some() {
            tokio::spawn(tell_judge(shared.clone(), service, Vec::new()));
        }
    }
    let now = unix_ms();
    let is_over = |value: &Bytes| read_hold(value).is_none_or(|it| it.until <= now);
    let over: Vec<String> = quarantines
        .stored
        .lock()
        .iter()
        .filter(|it| is_over(it.1))
        .map(|it| it.0.clone())
        .collect();
    if !over.is_empty() && judge_of(shared, "").is_none() {
        over.into_iter().for_each(|it| drop(tokio::spawn(write(shared.clone(), it, None))));
    }
}

/// Takes in, as their judge, what another instance has seen.
pub(crate) fn take_reports(shared: &Arc<IngressShared>, reports: Vec<RunReport>) {
    let now = shared.clock.now();
    let mut released = Vec::new();
    let mut state = shared.quarantines.state.lock();
    for it in reports {
        match it {
            RunReport::Ended(it) => drop(state.ended(now, it)),
            RunReport::Passed(it, service) => {
                if state.passed(it, &service) == Passed::Released {
                    released.push(Verdict::Release(it));
                }
            }
        }
    }
    drop(state);
    publish(shared, released);
    shared.quarantines.to_judge.notify_one();
}

/// Takes in what another instance has found.
pub(crate) fn take_verdicts(shared: &IngressShared, verdicts: Vec<Verdict>, source: &str) {
    let now = shared.clock.now();
    for it in verdicts {
        if shared.quarantines.state.lock().told(now, it) {
            note(shared, it, source);
        }
    }
}

/// Logs what was found, and has requests in flight look whether they are held.
fn note(shared: &IngressShared, verdict: Verdict, source: &str) {
    let instance = &shared.settings.instance;
    match verdict {
        Verdict::Watch(_) => (),
        Verdict::Hold(fingerprint, ms) => {
            let detail = format!("fingerprint={fingerprint} for_ms={ms} source={source}");
            emit(events::QUARANTINED, instance, &detail);
            shared.metrics.quarantined.add(1, &[]);
            shared.quarantines.has_held.send_replace(());
        }
        Verdict::Release(fingerprint) => {
            let detail = format!("fingerprint={fingerprint} source={source}");
            emit(events::QUARANTINE_ENDED, instance, &detail);
        }
    }
}

/// Tells all instances what was found here, and keeps it in the store.
fn publish(shared: &Arc<IngressShared>, verdicts: Vec<Verdict>) {
    if verdicts.is_empty() {
        return;
    }
    for it in &verdicts {
        note(shared, *it, "own");
        match *it {
            Verdict::Watch(_) => (),
            Verdict::Hold(it, ms) => {
                let value = serde_json::to_vec(&StoredHold { until: unix_ms() + ms });
                let value = Bytes::from(value.unwrap_or_default());
                tokio::spawn(write(shared.clone(), key_of(it), Some(value)));
            }
            Verdict::Release(it) => drop(tokio::spawn(write(shared.clone(), key_of(it), None))),
        }
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let peers = shared.peers.all().into_iter().filter(|it| QUARANTINES <= it.1.protocol);
        let peers: Vec<String> = peers.map(|it| it.1.address).collect();
        let tell = |address: String| {
            let (shared, verdicts) = (&shared, verdicts.clone());
            // Whoever is not told reads it in the store.
            async move { shared.peers.tell_verdicts(shared, &address, verdicts).await }
        };
        peers.into_iter().map(tell).collect::<FuturesUnordered<_>>().count().await;
    });
}

/// Writes again what is held here and the store may have lost, as it has come back from an older copy. A
/// request that was released meanwhile is not held here any more.
pub(crate) fn store_returned(shared: &Arc<IngressShared>) {
    for (key, value) in shared.quarantines.stored() {
        let begun = read_hold(&value).map_or(0, |it| it.until.saturating_sub(HOLD_MS));
        let is_lost = unix_ms() < begun + LOST_TAIL_MS;
        if is_lost && judge_of(shared, "").is_none() {
            tokio::spawn(write(shared.clone(), key, Some(value)));
        }
    }
}

/// Writes a hold to the store, or drops it there, until the store takes it or it is over.
async fn write(shared: Arc<IngressShared>, key: String, value: Option<Bytes>) {
    let store = &shared.settings.store;
    let timeout = Duration::from_millis(store.timeout_ms);
    let mut client = StoreClient::new(&store.address, timeout, shared.eras.clone());
    let begun = shared.clock.now();
    let bytes = value.unwrap_or_default();
    while client.append(RESOURCES_TOPIC, &key, &bytes).await.is_err() {
        if begun + HOLD_MS < shared.clock.now() {
            return;
        }
        sleep(PAUSE * 4).await;
    }
}

fn key_of(fingerprint: Fingerprint) -> String {
    format!("{KEY_PREFIX}{fingerprint}")
}

fn read_hold(value: &[u8]) -> Option<StoredHold> {
    serde_json::from_slice(value).ok()
}

fn unix_ms() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // Before 1970, everything in the store seems to lie in the future, and is bounded where it is used.
    since.map_or(0, |it| it.as_millis() as Millis)
}

/// Takes in what the store has under a key, if that is of a held request; whether it is, and whether it
/// is new.
pub(crate) fn set_stored(shared: &IngressShared, key: &str, value: Option<Bytes>) -> Option<bool> {
    let fingerprint: Fingerprint = key.strip_prefix(KEY_PREFIX)?.parse().ok()?;
    let mut stored = shared.quarantines.stored.lock();
    if stored.get(key) == value.as_ref() {
        return Some(false);
    }
    let verdict = match &value {
        Some(it) => {
            let left = read_hold(it).map_or(0, |it| it.until.saturating_sub(unix_ms()));
            (left != 0).then_some(Verdict::Hold(fingerprint, left))
        }
        None => Some(Verdict::Release(fingerprint)),
    };
    match value {
        Some(it) => drop(stored.insert(key.to_owned(), it)),
        None => drop(stored.remove(key)),
    }
    drop(stored);
    take_verdicts(shared, verdict.into_iter().collect(), "store");
    Some(true)
}

impl Context {
    /// Takes in that the connection broke off on which a target ran the request.
    pub(crate) fn broke_off(&self, target: &TargetInstance) {
        self.shared.quarantines.broke_off(self.fingerprint(), target);
    }

    /// Takes in that the request ran to a good end.
    pub(crate) fn has_passed(&self) {
        self.shared.quarantines.passed(&self.service, || self.fingerprint());
    }

    /// For how much longer the request is held, since it ended its targets.
    pub(crate) fn held_for(&self) -> Option<Duration> {
        let held = self.shared.quarantines.held_ms(self.shared.clock.now(), || self.fingerprint());
        held.map(Duration::from_millis)
    }

    /// Waits until the request is held.
    pub(crate) async fn is_held(&self) {
        let mut has_held = self.shared.quarantines.has_held.subscribe();
        // The sender lives as long as the instance.
        while self.held_for().is_none() && has_held.changed().await.is_ok() {}
    }

    /// Refuses the request where it is held.
    pub(crate) fn refuse_held(&self) -> Option<Answer> {
        let left = self.held_for()?;
        let detail = format!(
            "id={} fingerprint={} left_ms={}",
            self.request.id,
            self.fingerprint(),
            left.as_millis()
        );
        emit(events::REFUSED_HELD, &self.shared.settings.instance, &detail);
        Some(self.give_up("quarantined", left))
    }
}
