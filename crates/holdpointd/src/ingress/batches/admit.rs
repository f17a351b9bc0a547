//! Admission of requests that have used no capacity yet, and the conversion of their items to queue entries.

use holdpoint_core::{
    admission::{FirstAsk, Objective, Verdict, decide},
    batcher::Batcher,
    ids::Millis,
    pieces::{Ticket, Waiting},
    promises::{Expected, Promises},
    stage_graph::NoResult,
};

use crate::{
    events::{self, emit},
    ingress::{piece_ask::PieceAsk, shared::IngressShared},
};

/// Refuses the items of a request that has used no capacity yet and would miss its time limits.
pub(super) fn admit(
    shared: &IngressShared,
    service: &str,
    batcher: &mut Batcher,
    promises: &mut Promises,
    now: Millis,
    requests: &[PieceAsk],
) -> Result<(), NoResult> {
    let Some(first) = requests.first().filter(|it| it.is_refusable) else { return Ok(()) };
    let at = |in_ms: i64| now.saturating_add_signed(in_ms);
    let request = FirstAsk {
        due: at(first.due_in_ms),
        late_due: at(late_due_in_ms(first)),
        pieces: requests.len(),
        ahead: first.chain.as_ref().map_or(&[], |it| &it.stages),
        end: at(first.chain.as_ref().map_or(first.due_in_ms, |it| it.end_in_ms)),
        objective: Objective { late_worth: shared.settings.decisions.objective.late_worth },
        deadline: at(first.chain.as_ref().map_or(late_due_in_ms(first), |it| it.deadline_in_ms)),
    };
    let (expected, by, excess) = match decide(now, batcher, promises, &request) {
        Verdict::Late(expected) if first.chain.as_ref().is_some_and(|it| it.accepts_late) => {
            log_late_admission(shared, service, first, &expected);
            return Err(NoResult::OnlyLate);
        }
        Verdict::InTime(_) | Verdict::Late(_) => return Ok(()),
        Verdict::Refused { expected, by, excess } => (expected, by, excess),
    };
    let later = by.as_ref().and_then(|by| request.ahead.iter().find(|it| it.service == *by));
    let return_ms = match later {
        Some(it) => promises.return_ms(now, &it.service, excess, it.pieces),
        None => batcher.return_ms(now, request.due, requests.len()),
    };
    let detail = format!(
        "id={} service={service} stage={} expected_ms={expected} due_in_ms={} end_in_ms={} waiting={} \
         return_ms={return_ms}",
        first.work.request,
        by.as_deref().unwrap_or(service),
        first.due_in_ms,
        request.end.saturating_sub(now),
        batcher.waiting()
    );
    emit(events::STAGE_REFUSED, &shared.settings.instance, &detail);
    Err(NoResult::Overload(return_ms))
}

fn log_late_admission(
    shared: &IngressShared,
    service: &str,
    first: &PieceAsk,
    expected: &Expected,
) {
    let detail = format!(
        "id={} service={service} stage={} expected_ms={:.0} spread_ms={:.0} end_in_ms={}",
        first.work.request,
        expected.longest_wait.as_ref().map_or(service, |it| &it.0),
        expected.ms,
        expected.spread_ms,
        first.chain.as_ref().map_or(first.due_in_ms, |it| it.end_in_ms),
    );
    emit(events::ADMITTED_LATE, &shared.settings.instance, &detail);
}

fn late_due_in_ms(request: &PieceAsk) -> i64 {
    request.late_due_in_ms.unwrap_or(request.deadline_in_ms)
}

/// Converts an item request to a queue entry.
pub(super) fn queue_entry(request: &PieceAsk, ticket: Ticket, group: u64, now: Millis) -> Waiting {
    Waiting {
        ticket,
        group,
        due: now.saturating_add_signed(request.due_in_ms),
        deadline: now.saturating_add_signed(request.deadline_in_ms),
        late_due: now.saturating_add_signed(late_due_in_ms(request)),
        rank: request.rank,
        bytes: request.bytes,
        domain: request.domain.clone(),
        near_bytes: request.near_bytes,
        inputs_until: request.inputs_for_ms.map(|it| now + it),
        ..Waiting::default()
    }
}
