//! One request on its way: what is known of it, the sends made for it, how it ended.

use std::{
    borrow::Cow,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use holdpoint_adapter::headers::{Added, CallerHead};
use holdpoint_core::{
    cold::Share,
    directory::TargetInstance,
    experiments::ChosenArm,
    ids::{Millis, Name},
    ingress::{IngressRoute, Repeat, Shape, Version},
    ledger::Ledger,
    quarantine::Fingerprint,
    route::Call,
};
use holdpoint_platform::Instant;
use holdpoint_schema::resources::Policy;
use parking_lot::Mutex;

use crate::{
    events::{self, emit},
    ingress::{
        answer::{Answer, Failure, failure, refusal},
        confinement::RequestBounds,
        connections::Care,
        limits,
        pools::Pool,
        regions,
        send::{CallerRequest, left},
        shared::IngressShared,
        unread::NotPassed,
    },
    metrics::label,
    shared::Working,
};

/// Work of a generation before its first token, in tokens read.
const GENERATION_BASE: f64 = 2000.0;

/// One request on its way.
pub(crate) struct Context {
    pub(crate) shared: Arc<IngressShared>,
    pub(crate) request: CallerRequest,
    pub(crate) head: CallerHead,
    pub(crate) route: Arc<IngressRoute>,
    pub(crate) service: Name,
    /// Region that is to serve it.
    home: Name,
    /// Region that serves it in place of that one.
    spilled_to: OnceLock<Name>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) organisation: Option<Name>,
    pub(crate) rank: u32,
    /// What binds it to regions.
    pub(crate) bounds: RequestBounds,
    pub(crate) version: Version,
    pub(crate) arrived: Instant,
    /// How long before that its caller has likely asked for the first time.
    pub(crate) asked_before: Duration,
    /// When the request gets its final answer at the latest.
    pub(crate) until: Instant,
    pub(crate) ledger: Ledger,
    fingerprint: OnceLock<Fingerprint>,
    /// Whether work was done for it.
    has_begun: AtomicBool,
    /// Whether it was admitted as one that will be late.
    is_late: AtomicBool,
    /// Arm of the trial that it falls to, if there is one on its route.
    pub(crate) arm: Option<ChosenArm>,
    end: Mutex<EndLine>,
    _working: Working,
}

/// What the line at the end of a request says.
#[derive(Clone, Debug, Default)]
struct EndLine {
    status: u16,
    cause: &'static str,
    target: String,
    sends: u32,
    sent: Option<Instant>,
    first_ms: u64,
    stages_ms: u64,
    longest_gap_ms: u64,
}

/// The parts that a context is made of.
pub(crate) struct Parts {
    pub(crate) request: CallerRequest,
    pub(crate) head: CallerHead,
    pub(crate) route: Arc<IngressRoute>,
    pub(crate) service: Name,
    pub(crate) organisation: Option<Name>,
    pub(crate) rank: u32,
    pub(crate) bounds: RequestBounds,
    pub(crate) version: Version,
    pub(crate) arrived: Instant,
    pub(crate) working: Working,
}

impl Context {
    /// Makes the context of a request that was read and found to be allowed.
    pub(crate) fn new(shared: Arc<IngressShared>, parts: Parts) -> Context {
        let limit = parts.route.time_limit(parts.head.patience);
        let asked_before = asked_before(&shared, &parts);
        let pool = shared.pools.of(shared.clock.now(), &parts.service);
        pool.request(shared.clock.now(), &shared.pools.terms());
        let home = regions::home(&shared, &parts.route, &parts.service, parts.bounds.at_arrival());
        let arm = shared.experiments.now().arm_for(&parts.route.name, &parts.request.id);
        Context {
            shared,
            request: parts.request,
            head: parts.head,
            route: parts.route,
            service: parts.service,
            home,
            spilled_to: OnceLock::new(),
            pool,
            organisation: parts.organisation,
            rank: parts.rank,
            bounds: parts.bounds,
            version: parts.version,
            arrived: parts.arrived,
            asked_before,
            until: parts.arrived + limit,
            ledger: Ledger::new(),
            fingerprint: OnceLock::new(),
            has_begun: AtomicBool::new(false),
            is_late: AtomicBool::new(false),
            arm,
            end: Mutex::default(),
            _working: parts.working,
        }
    }

    /// Time left until the final answer is due.
    pub(crate) fn left(&self) -> Duration {
        left(self.until)
    }

    /// Waits until the final answer is due.
    pub(crate) async fn time_over(&self) {
        self.shared.wait_until(self.until).await;
    }

    /// Time left until the answer must have begun: callers leave a stream that stays silent before its
    /// time is over.
    pub(crate) fn left_to_begin(&self) -> Duration {
        match self.route.shape {
            Shape::Events { silence_ms, .. } if !self.has_answered() => {
                self.left().min(left(self.arrived + Duration::from_millis(silence_ms)))
            }
            _ => self.left(),
        }
    }

    fn has_answered(&self) -> bool {
        self.end.lock().first_ms != 0
    }

    /// Time within which an answer earns its full worth.
    pub(crate) fn target_time(&self) -> Duration {
        Duration::from_millis(self.route.target_ms)
    }

    /// Time left until the answer is late.
    pub(crate) fn left_of_target(&self) -> Duration {
        self.target_time().saturating_sub(self.arrived.elapsed() + self.asked_before)
    }

    /// Whether the request may run again.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeat == Repeat::Free
    }

    /// What it has in common with requests that ask for the same. Hashed on first use: most requests
    /// end without it.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let request = &self.request;
            let organisation = self.organisation.as_deref().unwrap_or_default();
            let path = request.path.path_and_query().map_or("", |it| it.as_str());
            let parts = [organisation, request.method.as_str(), request.host(), path];
            let parts = parts.map(str::as_bytes);
            Fingerprint::new(&[parts[0], parts[1], parts[2], parts[3], &request.body])
        })
    }

    /// Notes that results of a stage were made for it.
    pub(crate) fn begin_stages(&self) {
        self.has_begun.store(true, Ordering::Release);
    }

    /// Whether work was done for it, which a refusal would throw away.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Acquire) || self.was_sent()
    }

    /// Accepts that it will be late.
    pub(crate) fn accept_late(&self) {
        self.is_late.store(true, Ordering::Release);
    }

    /// Whether it was admitted as one that will be late.
    pub(crate) fn is_late(&self) -> bool {
        self.is_late.load(Ordering::Acquire)
    }

    /// Policy of its trial's arm; none where the built-in one routes it.
    pub(crate) fn policy(&self) -> Option<Arc<Policy>> {
        let arm = self.arm.as_ref()?;
        self.shared.experiments.now().policy(&arm.policy)
    }

    /// How carefully connections are chosen for it.
    pub(crate) fn care(&self) -> Care {
        if self.is_repeatable() { Care::Usual } else { Care::Once }
    }

    /// What the system adds to the request for a target.
    pub(crate) fn added<'a>(
        &'a self,
        target: &'a TargetInstance,
        last_event: Option<&'a str>,
        inputs: &'a [String],
    ) -> Added<'a> {
        let is_generation = matches!(self.route.shape, Shape::Events { .. });
        Added {
            target: &target.id,
            left: self.left(),
            organisation: self.organisation.as_deref(),
            last_event,
            inputs,
            urgency: is_generation.then_some(self.rank.min(9)),
        }
    }

    /// The request as routing sees it.
    pub(crate) fn call<'a>(&self, tried: &'a [String]) -> Call<'a> {
        let prompt = &self.head.prompt;
        let is_generation = !prompt.parts.is_empty();
        let work =
            if is_generation { GENERATION_BASE + f64::from(prompt.tokens_to_read()) } else { 1.0 };
        Call {
            work,
            prefix_work: f64::from(prompt.shared_tokens()),
            prefix: prompt.affinity(),
            tried,
            cap: u32::MAX,
            share: Share::Whole,
            inputs: &[],
            is_own: true,
            within: None,
        }
    }

    /// Has another region serve it. No work was done for it yet.
    pub(crate) fn spill_to(&self, region: Name) {
        // Whoever spills has looked that it was not spilled before.
        drop(self.spilled_to.set(region));
    }

    /// Whether another region serves it than was to.
    pub(crate) fn is_spilled(&self) -> bool {
        self.spilled_to.get().is_some()
    }

    /// Region that its target is chosen in; any, by its distance, where there are neither results of
    /// stages nor a prompt.
    pub(crate) fn call_region(&self) -> Option<Cow<'_, str>> {
        let is_bound = !self.route.stages.is_empty() || self.head.prompt.affinity().is_some();
        is_bound.then(|| self.region())
    }

    /// Region whose targets make its stages and read its prompt; another one than at its arrival once
    /// it has gone there, or is confined otherwise.
    pub(crate) fn region(&self) -> Cow<'_, str> {
        let within = self.within();
        if within == *self.bounds.at_arrival() {
            return Cow::Borrowed(self.spilled_to.get().unwrap_or(&self.home));
        }
        Cow::Owned(regions::home(&self.shared, &self.route, &self.service, &within))
    }

    /// Whether this instance places the prompts of the service for all.
    pub(crate) fn decides(&self) -> bool {
        let region = self.region();
        let owner = || regions::owner_of(&self.shared, &region, &self.service, &self.within());
        self.head.prompt.affinity().is_some() && owner().is_none()
    }

    /// Whether it may still be served in time after a wait for a target that carries one more.
    pub(crate) fn may_wait_for(&self, ms: Millis) -> bool {
        let waited = self.arrived.elapsed() + self.asked_before + Duration::from_millis(ms);
        waited < self.target_time() && waited < self.left()
    }

    /// How long it may wait until a target takes one more, in milliseconds. What has work done for it waits
    /// although it will be late: a refusal would throw that away.
    pub(crate) fn longest_wait_ms(&self) -> Millis {
        let left = if self.has_begun() { self.left() } else { self.left_of_target() };
        left.min(self.left()).min(limits::LONGEST_WAIT).as_millis() as Millis
    }

    /// Notes how long the stages took.
    pub(crate) fn note_stages(&self, begun: Instant) {
        self.end.lock().stages_ms = begun.elapsed().as_millis() as u64;
    }

    /// Whether it was sent to a target already.
    pub(crate) fn was_sent(&self) -> bool {
        self.end.lock().sends != 0
    }

    /// Notes that a target began to answer.
    pub(crate) fn note_first(&self) {
        self.end.lock().first_ms = self.arrived.elapsed().as_millis() as u64;
    }

    /// Time from a send to the first event that so many of a hundred streams of the route keep, in
    /// milliseconds; `None` where too few were measured.
    pub(crate) fn first_event_ms(&self, percent: u32) -> Option<Millis> {
        let times = self.shared.first_times.of(&self.route.name, Default::default);
        times.lock().quantile(f64::from(percent) / 100.0)
    }

    /// Takes in the time from a send to the first event.
    pub(crate) fn first_event_took(&self, ms: Millis) {
        if let Some(predicted) = self.first_event_ms(50) {
            self.shared.metrics.predicted("first event", "any", predicted as f64, ms as f64);
        }
        let times = self.shared.first_times.of(&self.route.name, Default::default);
        times.lock().record(self.shared.clock.now(), ms);
    }

    /// Notes a pause between two events that were passed on.
    pub(crate) fn note_gap(&self, gap: Duration) {
        let mut end = self.end.lock();
        end.longest_gap_ms = end.longest_gap_ms.max(gap.as_millis() as u64);
    }

    /// Notes how the request ends; the last note counts.
    pub(crate) fn note_end(&self, status: u16, cause: &'static str) {
        let mut end = self.end.lock();
        end.status = status;
        end.cause = cause;
    }

    /// The system's own final answer: a refusal where nothing has run, else a failure. A request that is
    /// held may come back once it is not.
    pub(crate) fn give_up(&self, cause: &'static str, retry_after: Duration) -> Answer {
        let retry_after = self.held_for().unwrap_or(retry_after);
        let id = Some(self.request.id.as_str());
        let answer = match self.ledger.close() {
            Ok(proof) => refusal(proof, id, retry_after),
            Err(_) if self.left().is_zero() => failure(Failure::TimeOver, id),
            Err(_) => failure(Failure::Broken, id),
        };
        self.note_end(answer.status().as_u16(), cause);
        answer
    }

    /// Counts the request for its trial's arm: whether it was answered whole and in time, and what
    /// it cost in milliseconds, its stages and its target apart.
    fn count_for_arm(&self, arm: &ChosenArm, end: &EndLine, ms: u64) {
        let first = if end.first_ms == 0 { ms } else { end.first_ms };
        let attained = end.cause == "answered" && first <= self.route.target_ms;
        let of_arm = || {
            let name = |name, value: &str| label(name, value.to_owned());
            vec![name("trial", &arm.trial), name("arm", &arm.arm)]
        };
        let mut labels = of_arm();
        labels.push(label("attained", attained.to_string()));
        self.shared.metrics.trial_requests.add(1, &labels);
        for (stage, spent) in [("stages", end.stages_ms), ("target", ms - end.stages_ms.min(ms))] {
            let mut labels = of_arm();
            labels.push(label("stage", stage));
            self.shared.metrics.trial_cost.add(spent, &labels);
        }
    }

    /// Notes why the answer is passed on no further; returns the cause for the log.
    pub(crate) fn note_not_passed(&self, why: NotPassed) -> &'static str {
        let NotPassed::Unread { kept, is_full } = why else { return "caller-gone" };
        let detail = format!(
            "id={} route={} kept={kept} bound={} of_instance={}",
            self.request.id,
            self.route.name,
            if is_full { "instance" } else { "answer" },
            self.shared.unread.kept()
        );
        emit(events::UNREAD, &self.shared.settings.instance, &detail);
        self.shared.metrics.unread.add(1, &[label("route", self.route.name.as_str())]);
        "unread"
    }

    /// Notes a send to a target.
    pub(crate) fn note_send(&self, target: &str) {
        let mut end = self.end.lock();
        target.clone_into(&mut end.target);
        end.sends += 1;
        end.sent = Some(Instant::now());
    }

    /// Time since the last send, in milliseconds.
    pub(crate) fn ms_since_send(&self) -> Millis {
        self.end.lock().sent.map_or(0, |it| it.elapsed().as_millis() as Millis)
    }
}

/// How long ago the caller of a request has likely asked for the first time. Service is counted from
/// there, and the patience that a caller brings shrinks by as much.
fn asked_before(shared: &IngressShared, parts: &Parts) -> Duration {
    let Some(patience) = parts.head.patience else { return Duration::ZERO };
    let patiences = shared.patiences.of(&parts.route.name, Default::default);
    let mut patiences = patiences.lock();
    let patience = patience.as_millis() as Millis;
    let asked_before = patiences.asked_before(patience);
    patiences.record(shared.clock.now(), patience);
    Duration::from_millis(asked_before)
}

impl Drop for Context {
    fn drop(&mut self) {
        let end = self.end.lock().clone();
        let cause = if end.cause.is_empty() { "caller-gone" } else { end.cause };
        let ms = self.arrived.elapsed().as_millis() as u64;
        let detail = format!(
            "id={} route={} version={} service={} target={} sends={} status={} cause={cause} \
             stages_ms={} first_ms={} gap_ms={} ms={ms} aim_ms={} before_ms={}",
            self.request.id,
            self.route.name,
            self.version,
            self.service,
            end.target,
            end.sends,
            end.status,
            end.stages_ms,
            end.first_ms,
            end.longest_gap_ms,
            self.route.target_ms,
            self.asked_before.as_millis(),
        );
        emit(events::REQUEST_ENDED, &self.shared.settings.instance, &detail);
        if let Some(it) = &self.arm {
            self.count_for_arm(it, &end, ms);
        }
        let labels = [label("route", self.route.name.as_str()), label("outcome", cause)];
        self.shared.metrics.requests.add(1, &labels);
        let first = if end.first_ms == 0 { ms } else { end.first_ms };
        self.shared.metrics.latency.record(first as f64, &labels[..1]);
    }
}
