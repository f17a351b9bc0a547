//! Sends calls to targets, delivers the results of their items, and logs each call.

use super::{Batches, Pending, start_calls};
use std::{
    collections::HashSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use holdpoint_adapter::stages as wire;
use holdpoint_core::{
    batcher::PredictionSample,
    confinement::{Bounds, Within},
    directory::TargetInstance,
    ids::{Millis, Name},
    items::{Call, CallEnd, QueuedItem},
    quarantine::Fingerprint,
    rollout::Answer,
    stage_graph::NoResult,
};
use holdpoint_platform::Instant;
use tokio::time::sleep;

use crate::{
    events::{self, emit},
    ingress::{
        attempts::no_path_retry_ms,
        gate::{InternalKind, SendBlock},
        item_request::ItemResult,
        limits::{self, Permit},
        send::{InternalAnswer, InternalCall, InternalCallError, internal_call, time_until},
        shared::IngressShared,
        stages::INPUT_FETCH_TIME,
    },
    metrics::label,
};

/// Maximum number of times that an item is put back into the queue because a target had no room for its result.
const MAX_REQUEUES: u32 = 20;
/// Lower bound of a call's timeout.
const MIN_CALL_TIMEOUT_MS: Millis = 400;

pub(super) async fn run(
    shared: Arc<IngressShared>,
    service: Name,
    (call, permit): (Call, Option<Permit>),
    items: Vec<Pending>,
    timeout_ms: Millis,
) {
    let begun = Instant::now();
    let outcome = call_and_release(&shared, (&call, permit), &items, timeout_ms).await;
    let ms = begun.elapsed().as_millis() as Millis;
    record_runs(&shared, &service, &items, &outcome);
    let is_judged = !outcome.as_ref().is_err_and(|it| it.is_unjudged);
    let outcome = outcome.map_err(|it| it.end);
    let (results, end, text) = match outcome {
        Ok(it) => (it, CallEnd::Answered(ms), "answered"),
        Err(CallEnd::Full) => (Vec::new(), CallEnd::Full, "full"),
        Err(_) if timeout_ms.max(MIN_CALL_TIMEOUT_MS) <= ms => {
            (Vec::new(), CallEnd::TimedOut(ms), "silent")
        }
        Err(_) => (Vec::new(), CallEnd::Failed, "failed"),
    };
    if is_judged {
        record_for_rollout(&shared, &service, &call, &items, &results, (end, ms));
    }
    let judgement = shared.batches.record_end(&shared, &service, &call, end, &results);
    log_call(&shared, &service, &call, &items, &results, (begun, ms, text), judgement);
    let is_unreachable = shared.paths.is_unreachable(shared.clock.now(), &service);
    let mut results = results.into_iter();
    for (waiting, item) in call.items.into_iter().zip(items) {
        let usual = match end {
            CallEnd::Full if is_unreachable => NoResult::Overload(no_path_retry_ms()),
            CallEnd::Full => NoResult::NoRoom,
            _ => NoResult::Failed,
        };
        let result = results.next().unwrap_or(Err(usual));
        deliver(&shared, &service, waiting, item, result);
    }
    start_calls(&shared, &service);
}

/// A call that returned no results.
struct CallFailure {
    end: CallEnd,
    /// The target, if its connection was lost while it worked on the call.
    lost_target: Option<TargetInstance>,
    /// Whether it does not count against the target's version: the target requested a backoff, or its path is
    /// lost.
    is_unjudged: bool,
}

impl From<CallEnd> for CallFailure {
    fn from(end: CallEnd) -> CallFailure {
        CallFailure { end, lost_target: None, is_unjudged: false }
    }
}

/// Records for quarantine which requests' items succeeded, or that the connection was lost while the target
/// worked on them.
fn record_runs(
    shared: &IngressShared,
    service: &str,
    items: &[Pending],
    outcome: &Result<Vec<ItemResult>, CallFailure>,
) {
    let requests = |is_match: &dyn Fn(usize) -> bool| -> HashSet<Fingerprint> {
        let matching = items.iter().enumerate().filter(|it| is_match(it.0));
        matching.filter_map(|it| it.1.inputs.fingerprint).collect()
    };
    match outcome {
        Ok(results) => {
            let is_made = |index| matches!(results.get(index), Some(Ok(_)));
            requests(&is_made)
                .into_iter()
                .for_each(|it| shared.quarantines.request_completed(service, || it));
        }
        Err(CallFailure { lost_target: Some(target), .. }) => {
            let all = requests(&|_| true).into_iter();
            all.for_each(|it| shared.quarantines.connection_broken(it, std::iter::empty(), target));
        }
        Err(_) => (),
    }
}

/// Counts a call for the roll-out of its target's version. Its duration is recorded as a percentage of the
/// nominal one, since calls differ in size.
fn record_for_rollout(
    shared: &IngressShared,
    service: &str,
    call: &Call,
    items: &[Pending],
    results: &[ItemResult],
    (end, ms): (CallEnd, Millis),
) {
    let percent = (100.0 * ms as f64 / call.sizes.nominal_ms(items.len()).max(1.0)) as Millis;
    for (index, item) in items.iter().enumerate() {
        let answer = match (end, results.get(index)) {
            (CallEnd::Full, _) => Answer::Refused,
            (CallEnd::TimedOut(_), _) => Answer::TimedOut,
            (CallEnd::Failed, _) | (_, Some(Err(NoResult::Failed))) => Answer::Failed,
            (_, Some(Ok(_))) => Answer::Good((!shared.is_cold(&call.target)).then_some(percent)),
            _ => continue,
        };
        shared.rollouts.item_answered(service, &call.target, &item.route, answer);
    }
}

/// Sends a call, and releases the inputs of its items as soon as the target has fetched them. If other
/// instances call the target too, the call may be queued there before it fetches its inputs, so they are kept
/// until it has succeeded.
async fn call_and_release(
    shared: &Arc<IngressShared>,
    (call, permit): (&Call, Option<Permit>),
    items: &[Pending],
    timeout_ms: Millis,
) -> Result<Vec<ItemResult>, CallFailure> {
    let calling = call_target(shared, (call, permit), items, timeout_ms);
    tokio::pin!(calling);
    let outcome = tokio::select! {
        it = &mut calling => it,
        () = sleep(INPUT_FETCH_TIME), if !call.is_shared => {
            release_inputs(shared, items);
            return calling.await;
        }
    };
    if outcome.is_ok() {
        release_inputs(shared, items);
    }
    outcome
}

/// Releases the inputs of items, which a target fetches before it starts work, so that the targets that store
/// them regain room early. If the call fails later, the inputs are made again.
fn release_inputs(shared: &IngressShared, items: &[Pending]) {
    for item in items {
        if !item.is_fetched.swap(true, Ordering::AcqRel) {
            item.inputs.record_fetched(shared);
        }
    }
}

/// Delivers a result to its requester; an item that found no room is put back into the queue.
fn deliver(
    shared: &IngressShared,
    service: &str,
    waiting: QueuedItem,
    mut item: Pending,
    result: ItemResult,
) {
    if result == Err(NoResult::NoRoom) && item.requeues < MAX_REQUEUES {
        item.requeues += 1;
        shared.batches.requeue(shared.clock.now(), service, waiting, item);
        return;
    }
    if let Err(Ok(handle)) = item.reply.send(result) {
        // The request has ended, and nothing else refers to the result.
        shared.releases.release(service, handle);
    }
}

/// Regions that the bytes of all items of a call may pass through.
fn common_bounds(shared: &IngressShared, items: &[Pending]) -> Within {
    let bounds = items.iter().filter_map(|it| it.inputs.within.as_deref());
    let common = bounds.map(Bounds::confinement).reduce(|all, it| all.and(&it))?;
    common.bounds(&shared.topology)
}

fn log_call(
    shared: &IngressShared,
    service: &str,
    call: &Call,
    items: &[Pending],
    results: &[ItemResult],
    (begun, ms, end): (Instant, Millis, &'static str),
    judgement: Option<PredictionSample>,
) {
    let waited = items.iter().map(|it| (begun - it.offered).as_millis()).max().unwrap_or(0);
    let made = results.iter().filter(|it| it.is_ok()).count();
    let no_room = results.iter().filter(|it| **it == Err(NoResult::NoRoom)).count();
    let prediction = judgement.map_or(String::new(), |it| {
        let load = if call.has_backlog() { "backlog" } else { "calm" };
        shared.metrics.record_prediction(service, load, it.predicted_ms, it.took_ms);
        format!(" load={load} predicted_ms={:.0} took_ms={:.0}", it.predicted_ms, it.took_ms)
    });
    let moved = moved_bytes(shared, call);
    let detail = format!(
        "service={service} target={} pieces={} most={} made={made} no_room={no_room} left={} \
         used_kb={} room_kb={} moved_kb={} waited_ms={waited} ms={ms} stated_ms={:.0} shared={} \
         end={end}{prediction}",
        call.target,
        items.len(),
        call.sizes.max_items,
        call.left,
        call.used_bytes / 1000,
        call.sizes.room_bytes / 1000,
        moved / 1000,
        call.sizes.nominal_ms(items.len()),
        call.is_shared,
    );
    emit(events::BATCH, &shared.settings.instance, &detail);
    shared.metrics.batches.add(1, &[label("end", end)]);
    shared.metrics.items.add(items.len() as u64, &[label("end", end)]);
    shared.metrics.moved_bytes.add(moved, &[label("to", "stage")]);
}

/// Bytes that a call transfers between failure domains.
fn moved_bytes(shared: &IngressShared, call: &Call) -> u64 {
    let domain = shared.open_target(&call.target).map(|it| it.domain);
    let is_moved = |it: &&QueuedItem| !it.domain.is_empty() && Some(&it.domain) != domain.as_ref();
    call.items.iter().filter(is_moved).map(|it| it.near_bytes).sum()
}

async fn call_target(
    shared: &Arc<IngressShared>,
    (call, permit): (&Call, Option<Permit>),
    items: &[Pending],
    timeout_ms: Millis,
) -> Result<Vec<ItemResult>, CallFailure> {
    let target = shared.open_target(&call.target).ok_or(CallEnd::Full)?;
    let permit = match permit {
        Some(it) => it,
        None => limits::acquire(shared, &target).await.map_err(|_| CallEnd::Full)?,
    };
    let body = wire::run_body(
        items.iter().map(|it| (&it.work, time_until(it.deadline).as_millis() as Millis)),
    );
    let limit = Duration::from_millis(timeout_ms.max(MIN_CALL_TIMEOUT_MS));
    let kind = InternalKind::Items;
    let call = InternalCall { path: wire::RUN_PATH, body, kind, items: items.len() };
    let within = common_bounds(shared, items);
    let answer = internal_call(shared, (&target, permit), call, &within, limit).await;
    let answer = answer.map_err(|it| {
        // A lost path says nothing about the target or its version.
        let is_cut = match it {
            // A target that peers may not reach either must not get the same call again at once.
            InternalCallError::NotSent => shared.paths.is_cut(&target.id),
            InternalCallError::NoPath => true,
            _ => shared.paths.is_lost(shared.clock.now(), &target.id),
        };
        let end = match it {
            InternalCallError::Blocked(_) => CallEnd::Full,
            _ if is_cut => CallEnd::Full,
            _ => CallEnd::Failed,
        };
        let is_backoff = it == InternalCallError::Blocked(SendBlock::BackingOff);
        CallFailure {
            end,
            lost_target: (it == InternalCallError::Broken).then(|| target.clone()),
            is_unjudged: is_backoff || is_cut,
        }
    })?;
    if answer.head.notice.backoff.is_requested() {
        answer.keep_connection(shared, &target);
        return Err(CallFailure { end: CallEnd::Full, lost_target: None, is_unjudged: true });
    }
    if answer.head.is_declined {
        answer.keep_connection(shared, &target);
        return Err(CallEnd::Full.into());
    }
    // Unless its answer has results for exactly these items, a connection is not used again.
    let results = results_of(shared, &target, &answer).filter(|it| it.len() == items.len());
    let results = results.ok_or(CallEnd::Failed)?;
    answer.keep_connection(shared, &target);
    Ok(results)
}

/// The results in a target's answer, if it is a success and none of them was delivered before.
fn results_of(
    shared: &IngressShared,
    target: &TargetInstance,
    answer: &InternalAnswer,
) -> Option<Vec<ItemResult>> {
    let results = wire::parse_run(&answer.body).ok().filter(|_| answer.status.is_success())?;
    shared.batches.are_new(&target.service, &results).then_some(results)
}

impl Batches {
    /// Whether each of these results is new: none is given to two items, whether of one call or of two.
    fn are_new(&self, service: &str, results: &[ItemResult]) -> bool {
        let services = self.services.lock();
        let Some(it) = services.get(service) else { return true };
        let mut handles = HashSet::new();
        let mut delivered = results.iter().filter_map(|it| it.as_ref().ok());
        delivered.all(|handle| !it.batcher.is_stored(handle) && handles.insert(handle))
    }
}
