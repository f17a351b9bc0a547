//! Quarantine of requests that crash the targets that run them.
//!
//! Each instance sees only some crashes, so all report them to one instance per service, its judge.
//! Verdicts are sent to all instances at once, and stored for those that start later. The two paths are
//! independent: instances inform each other while the store is unavailable, and an instance that was cut
//! off reads the store.

mod requests;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use holdpoint_adapter::store::RESOURCES_TOPIC;
use holdpoint_core::{
    directory::TargetInstance,
    epoch::LOST_TAIL_MS,
    ids::{Millis, Name},
    quarantine::{
        AnsweredParts, CrashedRun, Fingerprint, Incarnation, KEY_PREFIX, PromptPart, QUARANTINE_MS,
        Quarantine, SuccessEffect, Verdict,
    },
};
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, watch},
    time::{interval, sleep},
};

use crate::{
    events::{self, emit},
    ingress::{
        connections::Reach,
        paths,
        peer_service::{PART_PROTOCOL, QUARANTINE_PROTOCOL},
        peers::Owners,
        relay,
        shared::IngressShared,
        store::unix_ms,
    },
};

/// How long broken connections and reports are collected. All connections to a crashed target break within
/// a few milliseconds, and after that its idle connections are known to be closed.
const COLLECT_DELAY: Duration = Duration::from_millis(20);
/// How long a judge waits for the reports of all instances on a crash. With only some of them, the crash
/// might be attributed to the wrong request.
const JUDGE_DELAY: Duration = Duration::from_millis(120);
/// Interval of the checks for changed judges and for expired entries in the store.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1000);
/// Pause before a failed report is sent again; a failed write to the store waits four times as long.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Attempts to send reports before they are left to the next review.
const REPORT_ATTEMPTS: u32 = 3;
/// Time after which the entry of a target in the store shows that the target has not crashed: entries of crashed
/// targets go after three missed heartbeats.
const ENTRY_LIFETIME_MS: Millis = 10_000;
/// Other targets of the service that are probed to tell a crash from a cut. Far fewer crash at the same time.
const SAME_SERVICE_PROBES: usize = 4;
/// Targets of other services that are probed in addition if the service has fewer.
const OTHER_SERVICE_PROBES: usize = 2;
/// Most known crashes that are sent to a new judge.
const MAX_RESENT_CRASHES: usize = 2048;

/// Result of running a request at a target, as reported to the judge.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum RunReport {
    /// The target has crashed.
    Ended(CrashedRun),
    /// A suspect request was completed at a service.
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

/// A quarantined request as stored.
#[derive(Debug, Serialize, Deserialize)]
struct StoredQuarantine {
    /// End of the quarantine, in milliseconds of Unix time.
    until: Millis,
}

/// State of the quarantine at this instance.
pub(crate) struct Quarantines {
    state: Mutex<Quarantine>,
    /// Quarantined requests in the store, by key.
    stored: Mutex<BTreeMap<String, Bytes>>,
    /// Runs whose connection broke, by incarnation of the target, which may have crashed.
    broken_runs: Mutex<HashMap<Incarnation, (TargetInstance, Vec<CrashedRun>)>>,
    /// Parts of prompts that targets have answered.
    answered_parts: Mutex<AnsweredParts>,
    reports: Mutex<Vec<RunReport>>,
    /// Requests whose release is still to be sent to the other instances.
    released: Mutex<Vec<Fingerprint>>,
    has_reports: Notify,
    judge_due: Notify,
    /// Address of the judge that last received the reports on a service: empty if the last attempt failed,
    /// `None` if this instance is the judge.
    judges: Mutex<HashMap<Name, Option<String>>>,
    /// Signalled whenever a request is quarantined.
    quarantine_added: watch::Sender<()>,
}

impl Default for Quarantines {
    fn default() -> Quarantines {
        Quarantines {
            state: Mutex::default(),
            stored: Mutex::default(),
            broken_runs: Mutex::default(),
            answered_parts: Mutex::default(),
            reports: Mutex::default(),
            released: Mutex::default(),
            has_reports: Notify::new(),
            judge_due: Notify::new(),
            judges: Mutex::default(),
            quarantine_added: watch::Sender::new(()),
        }
    }
}

impl Quarantines {
    /// Records that the connection to a target broke while the target ran a request, which the parts may have caused.
    pub(crate) fn connection_broken(
        &self,
        fingerprint: Fingerprint,
        parts: impl Iterator<Item = (u32, Fingerprint)>,
        target: &TargetInstance,
    ) {
        let incarnation = incarnation_of(target);
        let run = |fingerprint, part| CrashedRun {
            fingerprint,
            service: target.service.clone(),
            incarnation: incarnation.clone(),
            part,
        };
        let of_part = |(position, it)| {
            let request = fingerprint;
            run(it, Some(PromptPart { request, position }))
        };
        let runs = std::iter::once(run(fingerprint, None)).chain(parts.map(of_part));
        let runs: Vec<CrashedRun> = runs.collect();
        let mut broken_runs = self.broken_runs.lock();
        let all = broken_runs.entry(incarnation).or_insert_with(|| (target.clone(), Vec::new()));
        all.1.extend(runs);
        drop(broken_runs);
        self.has_reports.notify_one();
    }

    /// Records that a target has crashed while it ran these requests.
    fn target_crashed(&self, now: Millis, runs: Vec<CrashedRun>) {
        for run in runs {
            if self.state.lock().record_crash(now, run.clone()) {
                self.report(RunReport::Ended(run));
            }
        }
    }

    /// Records that a service has completed a request. The fingerprint is computed only if some request is
    /// suspect.
    pub(crate) fn request_completed(
        &self,
        service: &str,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) {
        let mut state = self.state.lock();
        if state.is_empty() {
            return;
        }
        let fingerprint = fingerprint();
        let effect = state.record_success(fingerprint, service);
        drop(state);
        self.apply_success(effect, fingerprint, service);
    }

    fn apply_success(&self, effect: SuccessEffect, fingerprint: Fingerprint, service: &str) {
        match effect {
            SuccessEffect::Nothing => return,
            SuccessEffect::Report => (),
            SuccessEffect::Released => self.released.lock().push(fingerprint),
        }
        self.report(RunReport::Passed(fingerprint, service.to_owned()));
    }

    /// Records that a target has answered that this instance had lost the path to.
    pub(crate) fn target_answered(&self, target: &TargetInstance) {
        let mut state = self.state.lock();
        // The answer may come from a restart under the same id that the list does not show yet.
        if state.is_empty() || target.born.is_some() {
            return;
        }
        let released = state.record_alive(&incarnation_of(target));
        drop(state);
        if !released.is_empty() {
            self.released.lock().extend(released);
            self.has_reports.notify_one();
        }
    }

    fn report(&self, report: RunReport) {
        self.reports.lock().push(report);
        self.has_reports.notify_one();
    }

    /// The quarantined one among the fingerprints of a request and of the parts of its prompt, with the remaining time in
    /// milliseconds.
    pub(crate) fn find<T: IntoIterator<Item = Fingerprint>>(
        &self,
        now: Millis,
        fingerprints: impl FnOnce() -> T,
    ) -> Option<(Fingerprint, Millis)> {
        let state = self.state.lock();
        if !state.has_quarantined() {
            return None;
        }
        let mut found = fingerprints().into_iter();
        found.find_map(|it| Some((it, state.remaining_ms(now, it)?)))
    }

    /// Records that a target answers a prompt with these parts, which have not crashed it.
    pub(crate) fn parts_answered(&self, now: Millis, service: &str, parts: &[Fingerprint]) {
        self.answered_parts.lock().record(now, parts);
        for it in parts {
            let effect = {
                let mut state = self.state.lock();
                if state.is_empty() {
                    return;
                }
                state.record_part_answered(*it, service)
            };
            self.apply_success(effect, *it, service);
        }
    }

    /// Whether a target has answered a prompt with this part not long ago.
    fn was_answered(&self, now: Millis, part: Fingerprint) -> bool {
        self.answered_parts.lock().contains(now, part)
    }

    /// Whether a request's work items must not share a call with those of other requests.
    pub(crate) fn runs_alone(&self, fingerprint: Option<Fingerprint>) -> bool {
        fingerprint.is_some_and(|it| self.state.lock().runs_alone(it))
    }

    /// Quarantined requests in the store, by key.
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

/// Sends reports to the judges, and judges the services of this instance, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    let quarantines = &shared.quarantines;
    let mut timer = interval(REVIEW_INTERVAL);
    loop {
        tokio::select! {
            () = quarantines.has_reports.notified() => {
                sleep(COLLECT_DELAY).await;
                let broken_runs = std::mem::take(&mut *quarantines.broken_runs.lock());
                for (target, runs) in broken_runs.into_values() {
                    tokio::spawn(check_target(shared.clone(), target, runs));
                }
                let released = std::mem::take(&mut *quarantines.released.lock());
                publish(&shared, released.into_iter().map(Verdict::Release).collect());
                quarantines.judge_due.notify_one();
                for (service, reports) in quarantines.take_reports() {
                    tokio::spawn(report_to_judge(shared.clone(), service, reports));
                }
            }
            () = quarantines.judge_due.notified() => {
                sleep(JUDGE_DELAY).await;
                let verdicts = quarantines.state.lock().judge(shared.clock.now());
                publish(&shared, verdicts);
            }
            _ = timer.tick() => review(&shared),
        }
    }
}

/// Treats requests as suspect if their target has crashed. A target that is still reachable has only broken
/// a connection.
async fn check_target(shared: Arc<IngressShared>, target: TargetInstance, runs: Vec<CrashedRun>) {
    let reach = reach(&shared, &target).await;
    let detail = format!(
        "target={} born={} runs={} reach={reach:?} first={}",
        target.id,
        target.born.unwrap_or(0),
        runs.len(),
        runs.first().map_or(String::new(), |it| it.fingerprint.to_string())
    );
    emit(events::TARGET_PROBED, &shared.settings.instance, &detail);
    if reach == Reach::None {
        shared.quarantines.target_crashed(shared.clock.now(), runs);
    }
}

/// Probes a target. One that this instance does not reach may still be reached by peers.
async fn reach(shared: &Arc<IngressShared>, target: &TargetInstance) -> Reach {
    let own = shared.connections.reach(target).await;
    if own != Reach::None {
        return own;
    }
    paths::record_loss(shared, target);
    match relay::probe(shared, target).await {
        Some(true) => Reach::Peer,
        None if shared.paths.is_isolated(&target.service) => Reach::Unknown,
        Some(false) | None if is_cut_off(shared, target).await => Reach::Unknown,
        Some(false) | None => Reach::None,
    }
}

/// Whether other targets are out of reach as well: several of the same service, or all that are tried.
async fn is_cut_off(shared: &Arc<IngressShared>, target: &TargetInstance) -> bool {
    let mut others = shared.targets();
    others.retain(|it| it.id != target.id && !it.is_draining);
    let (same, other): (Vec<_>, Vec<_>) =
        others.into_iter().partition(|it| it.service == target.service);
    let are_lost = async |of: &[TargetInstance], most: usize| {
        let sample = of.sample(&mut rand::rng(), most);
        let probes = sample.map(|it| shared.connections.make_checked(it));
        let reached = join_all(probes).await;
        reached.iter().all(Result::is_err).then_some(reached.len())
    };
    let Some(same_lost) = are_lost(&same, SAME_SERVICE_PROBES).await else { return false };
    if SAME_SERVICE_PROBES <= same_lost {
        return true;
    }
    are_lost(&other, OTHER_SERVICE_PROBES).await.is_some_and(|it| it + same_lost != 0)
}

/// Address of the judge of a service; `None` if this instance is the judge.
fn judge_of(shared: &IngressShared, service: &str) -> Option<String> {
    shared.peers.owner_of(Owners::Any, &format!("{KEY_PREFIX}{service}"))
}

/// Sends reports to a service's judge. A new judge also gets the crashes known before.
async fn report_to_judge(shared: Arc<IngressShared>, service: Name, reports: Vec<RunReport>) {
    for _ in 0..REPORT_ATTEMPTS {
        let judge = judge_of(&shared, &service);
        let previous = shared.quarantines.judges.lock().insert(service.clone(), judge.clone());
        let Some(address) = judge else { return };
        let mut outgoing = reports.clone();
        if previous != Some(Some(address.clone())) {
            let state = shared.quarantines.state.lock();
            outgoing.extend(
                state.crashes_at(&service).take(MAX_RESENT_CRASHES).cloned().map(RunReport::Ended),
            );
        }
        let protocol = shared.peers.protocol_of(&address);
        if protocol < QUARANTINE_PROTOCOL {
            return;
        }
        if protocol < PART_PROTOCOL {
            // It would take parts for requests, and quarantine those that many requests share.
            outgoing.retain(|it| !matches!(it, RunReport::Ended(run) if run.part.is_some()));
        }
        if shared.peers.report_runs(&shared, &address, outgoing).await.is_ok() {
            return;
        }
        // An empty address makes the next review send everything.
        shared.quarantines.judges.lock().insert(service.clone(), Some(String::new()));
        sleep(RETRY_PAUSE).await;
    }
}

/// Removes expired entries here and in the store, and sends the known crashes to new judges.
fn review(shared: &Arc<IngressShared>) {
    let quarantines = &shared.quarantines;
    quarantines.state.lock().remove_expired(shared.clock.now());
    release_if_listed(shared);
    let services: Vec<Name> = quarantines.judges.lock().keys().cloned().collect();
    for service in services {
        let is_same = quarantines.judges.lock().get(&service) == Some(&judge_of(shared, &service));
        if !is_same && quarantines.state.lock().crashes_at(&service).next().is_some() {
            tokio::spawn(report_to_judge(shared.clone(), service, Vec::new()));
        }
    }
    let now = unix_ms();
    let is_expired = |value: &Bytes| parse_stored(value).is_none_or(|it| it.until <= now);
    let expired: Vec<String> = quarantines
        .stored
        .lock()
        .iter()
        .filter(|it| is_expired(it.1))
        .map(|it| it.0.clone())
        .collect();
    if !expired.is_empty() && judge_of(shared, "").is_none() {
        expired.into_iter().for_each(|it| drop(tokio::spawn(write(shared.clone(), it, None))));
    }
}

/// Withdraws crashes of targets that are still listed although their entries would be gone by now. The paths to these
/// targets were cut.
fn release_if_listed(shared: &IngressShared) {
    if shared.fresh_age().is_none() {
        return;
    }
    let quarantines = &shared.quarantines;
    let mut state = quarantines.state.lock();
    let crashed = state.take_unconfirmed(shared.clock.now(), ENTRY_LIFETIME_MS);
    if crashed.is_empty() {
        return;
    }
    let lapsed = shared.lapses().0;
    let is_listed = |it: &&Incarnation| {
        let target = shared.target(&it.target).filter(|it| !lapsed.contains(&it.id));
        target.is_some_and(|target| incarnation_of(&target) == **it)
    };
    let alive = crashed.iter().filter(is_listed);
    let released: Vec<Fingerprint> = alive.flat_map(|it| state.record_alive(it)).collect();
    drop(state);
    if !released.is_empty() {
        quarantines.released.lock().extend(released);
        quarantines.has_reports.notify_one();
    }
}

/// Applies the reports of another instance, as their judge.
pub(crate) fn apply_reports(shared: &Arc<IngressShared>, reports: Vec<RunReport>) {
    let now = shared.clock.now();
    let mut released = Vec::new();
    let mut state = shared.quarantines.state.lock();
    for it in reports {
        match it {
            RunReport::Ended(it) => drop(state.record_crash(now, it)),
            RunReport::Passed(it, service) => {
                if state.record_success(it, &service) == SuccessEffect::Released {
                    released.push(Verdict::Release(it));
                }
            }
        }
    }
    drop(state);
    publish(shared, released);
    shared.quarantines.judge_due.notify_one();
}

/// Applies the verdicts of another instance or of the store.
pub(crate) fn apply_verdicts(shared: &IngressShared, verdicts: Vec<Verdict>, source: &str) {
    let now = shared.clock.now();
    for it in verdicts {
        if shared.quarantines.state.lock().apply_verdict(now, it) {
            log_verdict(shared, it, source);
        }
    }
}

/// Logs a verdict, and makes requests in flight check whether they are quarantined.
fn log_verdict(shared: &IngressShared, verdict: Verdict, source: &str) {
    let instance = &shared.settings.instance;
    match verdict {
        Verdict::Watch(_) => (),
        Verdict::Hold(fingerprint, ms) => {
            let detail = format!("fingerprint={fingerprint} for_ms={ms} source={source}");
            emit(events::QUARANTINED, instance, &detail);
            shared.metrics.quarantined.add(1, &[]);
            shared.quarantines.quarantine_added.send_replace(());
        }
        Verdict::Release(fingerprint) => {
            let detail = format!("fingerprint={fingerprint} source={source}");
            emit(events::QUARANTINE_ENDED, instance, &detail);
        }
    }
}

/// Sends verdicts of this instance to all others, and stores them.
fn publish(shared: &Arc<IngressShared>, verdicts: Vec<Verdict>) {
    if verdicts.is_empty() {
        return;
    }
    for it in &verdicts {
        log_verdict(shared, *it, "own");
        match *it {
            Verdict::Watch(_) => (),
            Verdict::Hold(it, ms) => {
                let value = serde_json::to_vec(&StoredQuarantine { until: unix_ms() + ms });
                let value = Bytes::from(value.unwrap_or_default());
                tokio::spawn(write(shared.clone(), key_of(it), Some(value)));
            }
            Verdict::Release(it) => drop(tokio::spawn(write(shared.clone(), key_of(it), None))),
        }
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let peers =
            shared.peers.all().into_iter().filter(|it| QUARANTINE_PROTOCOL <= it.1.protocol);
        let peers: Vec<String> = peers.map(|it| it.1.address).collect();
        let send = |address: String| {
            let (shared, verdicts) = (&shared, verdicts.clone());
            // An instance that cannot be reached reads the store.
            async move { shared.peers.send_verdicts(shared, &address, verdicts).await }
        };
        peers.into_iter().map(send).collect::<FuturesUnordered<_>>().count().await;
    });
}

/// Writes quarantined requests again that the store may have lost, as it was restored from an older copy.
/// Requests released since then are no longer in the local list.
pub(crate) fn store_returned(shared: &Arc<IngressShared>) {
    for (key, value) in shared.quarantines.stored() {
        let quarantined_at =
            parse_stored(&value).map_or(0, |it| it.until.saturating_sub(QUARANTINE_MS));
        let is_lost = unix_ms() < quarantined_at + LOST_TAIL_MS;
        if is_lost && judge_of(shared, "").is_none() {
            tokio::spawn(write(shared.clone(), key, Some(value)));
        }
    }
}

/// Writes a quarantined request to the store, or deletes it there. Retries for at most [`QUARANTINE_MS`].
async fn write(shared: Arc<IngressShared>, key: String, value: Option<Bytes>) {
    let mut client = shared.store_client();
    let started_at = shared.clock.now();
    let bytes = value.unwrap_or_default();
    while client.append(RESOURCES_TOPIC, &key, &bytes).await.is_err() {
        if started_at + QUARANTINE_MS < shared.clock.now() {
            return;
        }
        sleep(RETRY_PAUSE * 4).await;
    }
}

fn incarnation_of(target: &TargetInstance) -> Incarnation {
    Incarnation { target: target.id.clone(), born: target.born.unwrap_or(0) }
}

fn key_of(fingerprint: Fingerprint) -> String {
    format!("{KEY_PREFIX}{fingerprint}")
}

/// Parses an entry of the store; it ends no later than a quarantine that begins now would.
fn parse_stored(value: &[u8]) -> Option<StoredQuarantine> {
    let StoredQuarantine { until } = serde_json::from_slice(value).ok()?;
    Some(StoredQuarantine { until: until.min(unix_ms() + QUARANTINE_MS) })
}

/// Applies an entry of the store. Returns `None` if the key is not that of a quarantined request, else
/// whether the entry has changed.
pub(crate) fn apply_stored(
    shared: &IngressShared,
    key: &str,
    value: Option<Bytes>,
) -> Option<bool> {
    let fingerprint: Fingerprint = key.strip_prefix(KEY_PREFIX)?.parse().ok()?;
    let mut stored = shared.quarantines.stored.lock();
    if stored.get(key) == value.as_ref() {
        return Some(false);
    }
    let verdict = match &value {
        Some(it) => {
            let left = parse_stored(it).map_or(0, |it| it.until.saturating_sub(unix_ms()));
            (left != 0).then_some(Verdict::Hold(fingerprint, left))
        }
        None => Some(Verdict::Release(fingerprint)),
    };
    match value {
        Some(it) => drop(stored.insert(key.to_owned(), it)),
        None => drop(stored.remove(key)),
    }
    drop(stored);
    apply_verdicts(shared, verdict.into_iter().collect(), "store");
    Some(true)
}
