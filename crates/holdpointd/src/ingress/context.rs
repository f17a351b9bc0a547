//! State of one request in flight: its head and route, its deadline, the sends made for it, and how it ended.
//!
//! Dropping the context logs the end of the request and records its metrics.

mod running_sends;

use std::{
    borrow::Cow,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use holdpoint_adapter::headers::{self, CallerHead, SystemHeaders};
use holdpoint_core::{
    cold::Share,
    directory::TargetInstance,
    experiments::ChosenArm,
    ids::{Millis, Name},
    ingress::{IngressRoute, Repeat, ResponseKind, Version},
    ledger::Ledger,
    quarantine::Fingerprint,
    reach::Trial,
    route::{Call, CallOutcome},
    stream_versions::Continuation,
};
use holdpoint_platform::Instant;
use holdpoint_schema::resources::Policy;
use http::response::Parts;
use parking_lot::Mutex;

use self::running_sends::RunningSend;
use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        answer::{Answer, Failure, failure, passed_on, refusal},
        confinement::RequestBounds,
        connections::Reuse,
        departure::{Departure, Handling, Step},
        limits,
        own_load::Unserved,
        paths,
        pools::Pool,
        regions,
        send::{CallerRequest, time_until},
        shared::IngressShared,
        stream_origins::SentVersions,
        unread::DeliveryError,
    },
    metrics::label,
    shared::InFlightGuard,
};

/// Fixed part of a generation's work before its first token, in equivalent prompt tokens.
const GENERATION_BASE_TOKENS: f64 = 2000.0;

/// A request in flight.
pub(crate) struct Context {
    pub(crate) shared: Arc<IngressShared>,
    pub(crate) request: CallerRequest,
    pub(crate) head: CallerHead,
    pub(crate) route: Arc<IngressRoute>,
    pub(crate) service: Name,
    /// Region that serves the request unless it is spilled.
    home_region: Name,
    /// Region that the request was spilled to.
    spilled_to: OnceLock<Name>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) organisation: Option<Name>,
    pub(crate) rank: u32,
    /// Regions that the request is confined to.
    pub(crate) bounds: RequestBounds,
    pub(crate) version: Version,
    pub(crate) arrived: Instant,
    /// Estimated time between the caller's first attempt and this request.
    pub(crate) retry_elapsed: Duration,
    /// Deadline for the final answer.
    pub(crate) deadline: Instant,
    pub(crate) ledger: Ledger,
    fingerprint: OnceLock<Fingerprint>,
    /// Fingerprints of the shared parts of the prompt.
    pub(crate) parts: OnceLock<Vec<Fingerprint>>,
    /// Whether stage results were produced for the request.
    has_begun: AtomicBool,
    /// Whether the request was admitted although it will be late.
    is_late: AtomicBool,
    /// Arm of the route's trial that the request is assigned to, if there is a trial.
    pub(crate) arm: Option<ChosenArm>,
    /// Versions of the targets that the request was sent to, if it begins a stream.
    pub(crate) sent_versions: Mutex<SentVersions>,
    /// Counts the request until it is sent to a target.
    unserved: Mutex<Option<Unserved>>,
    /// Sends that count as running in the pool.
    running: Mutex<Vec<RunningSend>>,
    end: Mutex<EndRecord>,
    departure: Departure,
    _in_flight: InFlightGuard,
}

/// Data of the event that is logged at the end of a request.
#[derive(Clone, Debug, Default)]
struct EndRecord {
    /// Status sent to the caller.
    status: u16,
    /// Status of the target, where it has failed the request.
    target_status: Option<u16>,
    cause: &'static str,
    target: String,
    sends: u32,
    first_ms: u64,
    stages_ms: u64,
    longest_gap_ms: u64,
    /// When the last bytes of the answer arrived.
    heard: Option<Instant>,
}

/// Arguments of [`Context::new`].
pub(crate) struct ContextParts {
    pub(crate) request: CallerRequest,
    pub(crate) head: CallerHead,
    pub(crate) route: Arc<IngressRoute>,
    pub(crate) service: Name,
    pub(crate) organisation: Option<Name>,
    pub(crate) rank: u32,
    pub(crate) bounds: RequestBounds,
    pub(crate) version: Version,
    pub(crate) arrived: Instant,
    pub(crate) working: InFlightGuard,
    pub(crate) unserved: Unserved,
    pub(crate) departure: Departure,
}

impl Context {
    /// Creates the context of a request that was read and matched to a route.
    pub(crate) fn new(shared: Arc<IngressShared>, parts: ContextParts) -> Context {
        let limit = parts.route.time_limit(parts.head.timeout);
        let retry_elapsed = retry_elapsed(&shared, &parts);
        let pool = shared.pools.of(shared.clock.now(), &parts.service);
        pool.request(shared.clock.now(), &shared.pools.terms());
        let home_region =
            regions::home_region(&shared, &parts.route, &parts.service, parts.bounds.at_arrival());
        let arm = shared.experiments.active().arm_for(&parts.route.name, &parts.request.id);
        Context {
            shared,
            request: parts.request,
            head: parts.head,
            route: parts.route,
            service: parts.service,
            home_region,
            spilled_to: OnceLock::new(),
            pool,
            organisation: parts.organisation,
            rank: parts.rank,
            bounds: parts.bounds,
            version: parts.version,
            arrived: parts.arrived,
            retry_elapsed,
            deadline: parts.arrived + limit,
            ledger: Ledger::new(),
            fingerprint: OnceLock::new(),
            parts: OnceLock::new(),
            has_begun: AtomicBool::new(false),
            is_late: AtomicBool::new(false),
            arm,
            sent_versions: Mutex::default(),
            unserved: Mutex::new(Some(parts.unserved)),
            running: Mutex::default(),
            end: Mutex::default(),
            departure: parts.departure,
            _in_flight: parts.working,
        }
    }

    /// Time left until the final answer is due.
    pub(crate) fn left(&self) -> Duration {
        time_until(self.deadline)
    }

    /// Waits until the final answer is due.
    pub(crate) async fn deadline_passed(&self) {
        self.shared.wait_until(self.deadline).await;
    }

    /// Time left until the answer must begin: callers abandon a stream that stays silent for too long, before
    /// its deadline.
    pub(crate) fn time_to_begin(&self) -> Duration {
        match self.route.response {
            ResponseKind::Events { silence_ms, .. } if !self.has_answered() => {
                self.left().min(time_until(self.arrived + Duration::from_millis(silence_ms)))
            }
            _ => self.left(),
        }
    }

    /// Whether the answer has begun.
    pub(crate) fn has_answered(&self) -> bool {
        self.end.lock().first_ms != 0
    }

    /// Time within which an answer has its full value.
    pub(crate) fn target_time(&self) -> Duration {
        Duration::from_millis(self.route.objective_ms)
    }

    /// Time left of the target time, counted from the caller's first attempt.
    pub(crate) fn target_time_left(&self) -> Duration {
        self.target_time().saturating_sub(self.arrived.elapsed() + self.retry_elapsed)
    }

    /// Whether an engine generates the answer.
    pub(crate) fn is_generation(&self) -> bool {
        let is_stream = matches!(self.route.response, ResponseKind::Events { .. });
        is_stream || !self.head.prompt.parts.is_empty()
    }

    /// Whether the request may run again.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeat == Repeat::Free
    }

    /// Whether the request may try a path that was lost: where another send can follow, or no peer serves it either.
    pub(crate) fn trial(&self) -> Trial {
        let can_retry = || {
            let now = self.shared.clock.now();
            self.pool.can_spend(now, &self.shared.pools.terms())
                || self.shared.paths.lacks_relay(&self.service)
        };
        match self.is_repeatable() {
            false => Trial::Forbidden,
            true if can_retry() => Trial::Affordable,
            true => Trial::Costly,
        }
    }

    /// Hash of the organisation, method, host, path and body. Computed on first use, since most requests do not
    /// need it.
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

    /// Records that stage results were produced for the request, or that its caller has a part of its answer.
    pub(crate) fn record_work_done(&self) {
        self.has_begun.store(true, Ordering::Release);
    }

    /// Whether work was done for the request, which a refusal would discard.
    pub(crate) fn has_work_done(&self) -> bool {
        self.has_begun.load(Ordering::Acquire) || self.was_sent()
    }

    /// Marks the request as admitted although it will be late.
    pub(crate) fn accept_late(&self) {
        self.is_late.store(true, Ordering::Release);
    }

    /// Whether the request was admitted although it will be late.
    pub(crate) fn is_late(&self) -> bool {
        self.is_late.load(Ordering::Acquire)
    }

    /// Routing policy of the request's trial arm; `None` for the built-in policy.
    pub(crate) fn policy(&self) -> Option<Arc<Policy>> {
        let arm = self.arm.as_ref()?;
        self.shared.experiments.active().policy(&arm.policy)
    }

    /// Which idle connections may carry the request.
    pub(crate) fn reuse(&self) -> Reuse {
        if self.is_repeatable() { Reuse::Any } else { Reuse::RecentOnly }
    }

    /// Headers that the system adds to the request for a target.
    pub(crate) fn added_headers<'a>(
        &'a self,
        target: &'a TargetInstance,
        continuation: Option<&'a Continuation>,
        inputs: &'a [String],
    ) -> SystemHeaders<'a> {
        let is_stream = matches!(self.route.response, ResponseKind::Events { .. });
        SystemHeaders {
            target: &target.id,
            time_left: self.left(),
            organisation: self.organisation.as_deref(),
            is_stream,
            continuation,
            inputs,
            urgency: is_stream.then_some(self.rank.min(9)),
        }
    }

    /// The request's description for the choice of a target.
    pub(crate) fn call<'a>(&self, tried: &'a [String]) -> Call<'a> {
        let prompt = &self.head.prompt;
        let is_generation = !prompt.parts.is_empty();
        let work = if is_generation {
            GENERATION_BASE_TOKENS + f64::from(prompt.tokens_to_read())
        } else {
            1.0
        };
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

    /// Moves the request to another region, before any work is done for it.
    pub(crate) fn spill_to(&self, region: Name) {
        // A request is spilled only once; the spill checks that first.
        drop(self.spilled_to.set(region));
    }

    /// Whether the request was moved to another region.
    pub(crate) fn is_spilled(&self) -> bool {
        self.spilled_to.get().is_some()
    }

    /// Region that the target is chosen in. `None` allows any region, weighted by distance, for requests with
    /// neither stages nor a prompt.
    pub(crate) fn call_region(&self) -> Option<Cow<'_, str>> {
        let is_bound = !self.route.stages.is_empty() || self.head.prompt.affinity().is_some();
        is_bound.then(|| self.region())
    }

    /// Region whose targets run the stages and read the prompt: the one that the request was spilled to, otherwise
    /// its home region. If the confinement has changed since arrival, the home region is determined again.
    pub(crate) fn region(&self) -> Cow<'_, str> {
        let within = self.within();
        if within == *self.bounds.at_arrival() {
            return Cow::Borrowed(self.spilled_to.get().unwrap_or(&self.home_region));
        }
        Cow::Owned(regions::home_region(&self.shared, &self.route, &self.service, &within))
    }

    /// Whether this instance places the service's prompts for all instances.
    pub(crate) fn is_placer(&self) -> bool {
        let region = self.region();
        let owner = || regions::owner_of(&self.shared, &region, &self.service, &self.within());
        self.head.prompt.affinity().is_some() && owner().is_none()
    }

    /// Whether the time since the caller's first attempt plus a wait of this many milliseconds is less than the
    /// target time and less than the time that remains until the deadline. The latter is stricter than the
    /// deadline: it compares time already spent with time that remains.
    pub(crate) fn may_wait_for(&self, ms: Millis) -> bool {
        let waited = self.arrived.elapsed() + self.retry_elapsed + Duration::from_millis(ms);
        waited < self.target_time() && waited < self.left()
    }

    /// Longest wait for a target with free capacity, in milliseconds. A request that work was done for may wait
    /// beyond its target time, since a refusal would discard that work.
    pub(crate) fn longest_wait_ms(&self) -> Millis {
        let left = if self.has_work_done() { self.left() } else { self.target_time_left() };
        left.min(self.left()).min(limits::MAX_PERMIT_WAIT).as_millis() as Millis
    }

    /// Records the time that the stages took.
    pub(crate) fn record_stages(&self, begun: Instant) {
        self.end.lock().stages_ms = begun.elapsed().as_millis() as u64;
    }

    /// Whether the request was sent to a target.
    pub(crate) fn was_sent(&self) -> bool {
        self.end.lock().sends != 0
    }

    /// Records the time at which the answer began.
    pub(crate) fn record_first_byte(&self) {
        let mut end = self.end.lock();
        end.first_ms = self.arrived.elapsed().as_millis() as u64;
        end.heard = Some(Instant::now());
    }

    /// Percentile of the route's time from send to first event, in milliseconds; `None` with too few samples.
    pub(crate) fn first_event_ms(&self, percent: u32) -> Option<Millis> {
        let times = self.shared.first_times.get_or_create(&self.route.name, Default::default);
        times.lock().quantile(f64::from(percent) / 100.0)
    }

    /// Records the time from a send to the first event.
    pub(crate) fn record_first_event(&self, ms: Millis) {
        if let Some(predicted) = self.first_event_ms(50) {
            self.shared.metrics.record_prediction(
                "first event",
                "any",
                predicted as f64,
                ms as f64,
            );
        }
        let times = self.shared.first_times.get_or_create(&self.route.name, Default::default);
        times.lock().record(self.shared.clock.now(), ms);
    }

    /// Records a pause between two events of a target's stream.
    pub(crate) fn record_gap(&self, gap: Duration) {
        let mut end = self.end.lock();
        end.longest_gap_ms = end.longest_gap_ms.max(gap.as_millis() as u64);
        end.heard = Some(Instant::now());
    }

    /// Time since the last bytes of the answer arrived, in milliseconds.
    pub(crate) fn silent_ms(&self) -> Millis {
        self.end.lock().heard.map_or(0, |it| it.elapsed().as_millis() as Millis)
    }

    /// Records an answer that ends before it is whole.
    pub(crate) fn record_cut(&self, status: u16, cause: &'static str) {
        self.record_end(status, cause);
        let target = self.end.lock().target.clone();
        let detail = format!(
            "id={} route={} target={target} cause={cause} silent_ms={} heard_ms={} left_ms={}",
            LoggedName(&self.request.id),
            self.route.name,
            self.silent_ms(),
            paths::heard_ms(&self.shared, &target),
            self.left().as_millis()
        );
        emit(events::ANSWER_CUT, &self.shared.settings.instance, &detail);
        self.shared.metrics.cut_answers.add(1, &[label("cause", cause)]);
    }

    /// Watches the forwarding of the answer, which a task of its own does.
    pub(crate) fn begin_forwarding(&self) -> Handling {
        let departure = self.departure.clone();
        Handling::new(self.shared.clone(), &self.request.id, Step::Forwarding, departure)
    }

    /// Records how the request ends; the last call counts.
    pub(crate) fn record_end(&self, status: u16, cause: &'static str) {
        let mut end = self.end.lock();
        end.status = status;
        end.cause = cause;
    }

    /// The system's own final answer: a refusal if nothing has run, otherwise a failure. Retry-After of a
    /// quarantined request is the rest of its quarantine.
    pub(crate) fn final_answer(
        &self,
        cause: &'static str,
        retry_after: impl Into<Option<Duration>>,
    ) -> Answer {
        let retry_after = self.quarantine_left().or(retry_after.into());
        let id = Some(self.request.id.as_str());
        let answer = match self.ledger.close() {
            Ok(proof) => refusal(proof, id, retry_after),
            Err(_) if self.left().is_zero() => failure(Failure::TimeOver, id),
            Err(_) => failure(Failure::Broken, id),
        };
        self.record_end(answer.status().as_u16(), cause);
        answer
    }

    /// A target's failure, forwarded. The target has not stated that the request has not run, so a status that promises
    /// this is replaced.
    pub(crate) fn target_failure(&self, head: &Parts, body: Bytes) -> Answer {
        let answer = if headers::promises_not_run(head.status) {
            failure(Failure::Broken, Some(&self.request.id))
        } else {
            passed_on(head, body)
        };
        self.end.lock().target_status = Some(head.status.as_u16());
        self.record_end(answer.status().as_u16(), "target-failed");
        let labels = [
            label("service", self.service.as_str()),
            label("status", head.status.as_str().to_owned()),
            label("sent", answer.status().as_str().to_owned()),
        ];
        self.shared.metrics.target_failures.add(1, &labels);
        answer
    }

    /// Updates the metrics of the request's trial arm: whether it was answered within the target time, and the
    /// milliseconds spent in its stages and at its target.
    fn count_for_arm(&self, arm: &ChosenArm, end: &EndRecord, ms: u64) {
        let first = if end.first_ms == 0 { ms } else { end.first_ms };
        let attained = end.cause == "answered" && first <= self.route.objective_ms;
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

    /// Returns the logged cause of an answer whose delivery stopped, and logs it if the caller did not read.
    pub(crate) fn record_undelivered(&self, why: DeliveryError) -> &'static str {
        let DeliveryError::ReadTimeout { buffered, is_full } = why else {
            return "caller-gone";
        };
        let detail = format!(
            "id={} route={} kept={buffered} bound={} of_instance={}",
            LoggedName(&self.request.id),
            self.route.name,
            if is_full { "instance" } else { "answer" },
            self.shared.unread.buffered()
        );
        emit(events::ANSWER_UNREAD, &self.shared.settings.instance, &detail);
        self.shared.metrics.unread_answers.add(1, &[label("route", self.route.name.as_str())]);
        "unread"
    }
}

/// Estimates the time since the caller's first attempt, from which the target time counts. The deadline that
/// a caller states for a retry is shorter by this time.
fn retry_elapsed(shared: &IngressShared, parts: &ContextParts) -> Duration {
    let Some(timeout) = parts.head.timeout else { return Duration::ZERO };
    let stated_timeouts = shared.stated_timeouts.get_or_create(&parts.route.name, Default::default);
    let mut stated_timeouts = stated_timeouts.lock();
    let timeout = timeout.as_millis() as Millis;
    let retry_elapsed = stated_timeouts.retry_elapsed(timeout);
    stated_timeouts.record(shared.clock.now(), timeout);
    Duration::from_millis(retry_elapsed)
}

impl Drop for Context {
    fn drop(&mut self) {
        for it in std::mem::take(&mut *self.running.lock()) {
            let (now, work) = (self.shared.clock.now(), self.call(&[]).work);
            self.pool.record_end(now, &it.target, work, CallOutcome::Cancelled);
        }
        let end = self.end.lock().clone();
        let cause = if end.cause.is_empty() { "caller-gone" } else { end.cause };
        let ms = self.arrived.elapsed().as_millis() as u64;
        let detail = format!(
            "id={} route={} version={} service={} target={} sends={} status={} target_status={} cause={cause} \
             stages_ms={} first_ms={} gap_ms={} ms={ms} aim_ms={} before_ms={}",
            LoggedName(&self.request.id),
            self.route.name,
            self.version,
            self.service,
            end.target,
            end.sends,
            end.status,
            end.target_status.map_or_else(|| "none".to_owned(), |it| it.to_string()),
            end.stages_ms,
            end.first_ms,
            end.longest_gap_ms,
            self.route.objective_ms,
            self.retry_elapsed.as_millis(),
        );
        emit(events::REQUEST_ENDED, &self.shared.settings.instance, &detail);
        if let Some(it) = &self.arm {
            self.count_for_arm(it, &end, ms);
        }
        if cause == "answered" {
            let times = self.shared.answer_times.get_or_create(&self.route.name, Default::default);
            times.lock().record(self.shared.clock.now(), ms);
        }
        let labels = [label("route", self.route.name.as_str()), label("outcome", cause)];
        self.shared.metrics.requests.add(1, &labels);
        let first = if end.first_ms == 0 { ms } else { end.first_ms };
        self.shared.metrics.latency.record(first as f64, &labels[..1]);
    }
}
