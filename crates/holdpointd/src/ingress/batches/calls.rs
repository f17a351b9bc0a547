//! Calls at targets: their pieces, what they answer, and the line that tells how they went.

use super::{Pending, pump};
use std::{
    collections::HashSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use holdpoint_adapter::stages as wire;
use holdpoint_core::{
    batcher::Judgement,
    directory::TargetInstance,
    ids::{Millis, Name},
    pieces::{Call, CallEnd, Waiting},
    quarantine::Fingerprint,
    rollout::Answer,
    stage_graph::NoResult,
};
use holdpoint_platform::Instant;
use tokio::time::sleep;

use crate::{
    events::{self, emit},
    ingress::{
        gate::{Barred, Payload},
        limits::{self, Permit},
        piece_ask::PieceResult,
        send::{NoAnswer, OwnCall, left, own_call},
        shared::IngressShared,
        stages::FETCHED,
    },
    metrics::label,
};

/// How often a piece goes back to the queue for want of room.
const RETURNS: u32 = 20;
/// Shortest time that a call to a target is given, in milliseconds.
const LEAST_CALL_MS: Millis = 400;

pub(super) async fn run(
    shared: Arc<IngressShared>,
    service: Name,
    (call, permit): (Call, Option<Permit>),
    pieces: Vec<Pending>,
    patience: Millis,
) {
    let begun = Instant::now();
    let outcome = ask_and_release(&shared, (&call, permit), &pieces, patience).await;
    let ms = begun.elapsed().as_millis() as Millis;
    note_runs(&shared, &service, &pieces, &outcome);
    let is_judged = !outcome.as_ref().is_err_and(|it| it.is_backoff);
    let outcome = outcome.map_err(|it| it.end);
    let (results, end, text) = match outcome {
        Ok(it) => (it, CallEnd::Answered(ms), "answered"),
        Err(CallEnd::Full) => (Vec::new(), CallEnd::Full, "full"),
        Err(_) if patience.max(LEAST_CALL_MS) <= ms => (Vec::new(), CallEnd::Silent(ms), "silent"),
        Err(_) => (Vec::new(), CallEnd::Failed, "failed"),
    };
    if is_judged {
        judge_call(&shared, &service, &call, &pieces, &results, (end, ms));
    }
    let judgement = shared.batches.ended(&shared, &service, &call, end, &results);
    log_call(&shared, &service, &call, &pieces, &results, (begun, ms, text), judgement);
    let mut results = results.into_iter();
    for (waiting, piece) in call.pieces.into_iter().zip(pieces) {
        let usual = if end == CallEnd::Full { NoResult::NoRoom } else { NoResult::Failed };
        let result = results.next().unwrap_or(Err(usual));
        deliver(&shared, &service, waiting, piece, result);
    }
    pump(&shared, &service);
}

/// A call that made nothing.
struct NoCall {
    end: CallEnd,
    /// The target whose connection broke off while it worked on the call.
    broken: Option<TargetInstance>,
    /// Whether the target has asked this instance to back off, which is no fault of its version.
    is_backoff: bool,
}

impl From<CallEnd> for NoCall {
    fn from(end: CallEnd) -> NoCall {
        NoCall { end, broken: None, is_backoff: false }
    }
}

/// Notes that a call broke off under the requests of its pieces, or which of them ran to a good end.
fn note_runs(
    shared: &IngressShared,
    service: &str,
    pieces: &[Pending],
    outcome: &Result<Vec<PieceResult>, NoCall>,
) {
    let requests = |is_its: &dyn Fn(usize) -> bool| -> HashSet<Fingerprint> {
        let its = pieces.iter().enumerate().filter(|it| is_its(it.0));
        its.filter_map(|it| it.1.inputs.fingerprint).collect()
    };
    match outcome {
        Ok(results) => {
            let is_made = |index| matches!(results.get(index), Some(Ok(_)));
            requests(&is_made).into_iter().for_each(|it| shared.quarantines.passed(service, || it));
        }
        Err(NoCall { broken: Some(target), .. }) => {
            let all = requests(&|_| true).into_iter();
            all.for_each(|it| shared.quarantines.broke_off(it, target));
        }
        Err(_) => (),
    }
}

/// Has a call counted for the roll-out of its target's version: the time of its pieces as a percentage
/// of the stated one, since calls differ in size.
fn judge_call(
    shared: &IngressShared,
    service: &str,
    call: &Call,
    pieces: &[Pending],
    results: &[PieceResult],
    (end, ms): (CallEnd, Millis),
) {
    let part = (100.0 * ms as f64 / call.sizes.stated_ms(pieces.len()).max(1.0)) as Millis;
    for (index, piece) in pieces.iter().enumerate() {
        let answer = match (end, results.get(index)) {
            (CallEnd::Full, _) => Answer::Refused,
            (CallEnd::Silent(_), _) => Answer::Silent,
            (CallEnd::Failed, _) | (_, Some(Err(NoResult::Failed))) => Answer::Failed,
            (_, Some(Ok(_))) => Answer::Good((!shared.is_cold(&call.target)).then_some(part)),
            _ => continue,
        };
        shared.rollouts.piece_answered(service, &call.target, &piece.route, answer);
    }
}

/// Makes a call, and gives up the inputs of its pieces as soon as its target has them. Where other
/// instances call the target too, the call may wait there for its turn, and its inputs are not
/// fetched before that.
async fn ask_and_release(
    shared: &Arc<IngressShared>,
    (call, permit): (&Call, Option<Permit>),
    pieces: &[Pending],
    patience: Millis,
) -> Result<Vec<PieceResult>, NoCall> {
    let asking = ask_target(shared, (call, permit), pieces, patience);
    tokio::pin!(asking);
    let outcome = tokio::select! {
        it = &mut asking => it,
        () = sleep(FETCHED), if !call.is_shared => {
            release_inputs(shared, pieces);
            return asking.await;
        }
    };
    if outcome.is_ok() {
        release_inputs(shared, pieces);
    }
    outcome
}

/// Gives up the inputs of pieces whose target has fetched them, as it does first of all. Their makers
/// have room again so much earlier. Should a call fail after that, the inputs are made anew.
fn release_inputs(shared: &IngressShared, pieces: &[Pending]) {
    for piece in pieces {
        if !piece.is_fetched.swap(true, Ordering::AcqRel) {
            piece.inputs.fetched(shared);
        }
    }
}

/// Hands a result to whoever asked for it; a piece that found no room goes back to the queue.
fn deliver(
    shared: &IngressShared,
    service: &str,
    waiting: Waiting,
    mut piece: Pending,
    result: PieceResult,
) {
    if result == Err(NoResult::NoRoom) && piece.returns < RETURNS {
        piece.returns += 1;
        shared.batches.again(shared.clock.now(), service, waiting, piece);
        return;
    }
    if let Err(Ok(handle)) = piece.reply.send(result) {
        // Its request has ended meanwhile.
        shared.releases.release(service, handle);
    }
}

fn log_call(
    shared: &IngressShared,
    service: &str,
    call: &Call,
    pieces: &[Pending],
    results: &[PieceResult],
    (begun, ms, end): (Instant, Millis, &'static str),
    judgement: Option<Judgement>,
) {
    let waited = pieces.iter().map(|it| (begun - it.offered).as_millis()).max().unwrap_or(0);
    let made = results.iter().filter(|it| it.is_ok()).count();
    let no_room = results.iter().filter(|it| **it == Err(NoResult::NoRoom)).count();
    let judged = judgement.map_or(String::new(), |it| {
        let load = if call.has_backlog() { "backlog" } else { "calm" };
        shared.metrics.predicted(service, load, it.predicted_ms, it.took_ms);
        format!(" load={load} predicted_ms={:.0} took_ms={:.0}", it.predicted_ms, it.took_ms)
    });
    let moved = moved_bytes(shared, call);
    let detail = format!(
        "service={service} target={} pieces={} most={} made={made} no_room={no_room} left={} \
         used_kb={} room_kb={} moved_kb={} waited_ms={waited} ms={ms} stated_ms={:.0} shared={} \
         end={end}{judged}",
        call.target,
        pieces.len(),
        call.sizes.pieces,
        call.left,
        call.used_bytes / 1000,
        call.sizes.room_bytes / 1000,
        moved / 1000,
        call.sizes.stated_ms(pieces.len()),
        call.is_shared,
    );
    emit(events::BATCH, &shared.settings.instance, &detail);
    shared.metrics.batches.add(1, &[label("end", end)]);
    shared.metrics.pieces.add(pieces.len() as u64, &[label("end", end)]);
    shared.metrics.moved_bytes.add(moved, &[label("to", "stage")]);
}

/// Bytes that a call moves between failure domains.
fn moved_bytes(shared: &IngressShared, call: &Call) -> u64 {
    let domain = shared.open_target(&call.target).map(|it| it.domain);
    let is_moved = |it: &&Waiting| !it.domain.is_empty() && Some(&it.domain) != domain.as_ref();
    call.pieces.iter().filter(is_moved).map(|it| it.near_bytes).sum()
}

async fn ask_target(
    shared: &Arc<IngressShared>,
    (call, permit): (&Call, Option<Permit>),
    pieces: &[Pending],
    patience: Millis,
) -> Result<Vec<PieceResult>, NoCall> {
    let target = shared.open_target(&call.target).ok_or(CallEnd::Full)?;
    let permit = match permit {
        Some(it) => it,
        None => limits::ask(shared, &target).await.map_err(|_| CallEnd::Full)?,
    };
    let body =
        wire::run_body(pieces.iter().map(|it| (&it.work, left(it.deadline).as_millis() as Millis)));
    let limit = Duration::from_millis(patience.max(LEAST_CALL_MS));
    let call = OwnCall { path: wire::RUN_PATH, body, payload: Payload::Pieces };
    let answer = own_call(shared, (&target, permit), call, limit).await;
    let (status, head, body) = answer.map_err(|it| NoCall {
        end: if matches!(it, NoAnswer::Barred(_)) { CallEnd::Full } else { CallEnd::Failed },
        broken: (it == NoAnswer::Broken).then(|| target.clone()),
        is_backoff: it == NoAnswer::Barred(Barred::BackingOff),
    })?;
    if head.notice.backoff.is_requested() {
        return Err(NoCall { end: CallEnd::Full, broken: None, is_backoff: true });
    }
    if head.is_declined {
        return Err(CallEnd::Full.into());
    }
    let results = wire::parse_run(&body).map_err(|_| CallEnd::Failed)?;
    if !status.is_success() || results.len() != pieces.len() {
        return Err(CallEnd::Failed.into());
    }
    Ok(results)
}
