//! Admission of requests that have used no capacity yet, and the conversion of their items to queue entries.

use holdpoint_core::{
    admission::{FirstStageRequest, Objective, Verdict, decide},
    admitted_work::{AdmittedWork, ChainEstimate},
    batcher::Batcher,
    ids::Millis,
    items::{QueuedItem, Ticket},
    stage_graph::NoResult,
};

use crate::{
    events::{self, LoggedName, emit},
    ingress::{item_request::ItemRequest, shared::IngressShared},
};

/// Refuses the items of a request that has used no capacity yet and would miss its time limits.
pub(super) fn admit(
    shared: &IngressShared,
    service: &str,
    batcher: &mut Batcher,
    promises: &mut AdmittedWork,
    now: Millis,
    requests: &[ItemRequest],
) -> Result<(), NoResult> {
    let Some(first) = requests.first().filter(|it| it.is_refusable) else { return Ok(()) };
    let at = |in_ms: i64| now.saturating_add_signed(in_ms);
    let request = FirstStageRequest {
        due: at(first.due_in_ms),
        late_due: at(late_due_in_ms(first)),
        items: requests.len(),
        ahead: first.chain.as_ref().map_or(&[], |it| &it.stages),
        end: at(first.chain.as_ref().map_or(first.due_in_ms, |it| it.end_in_ms)),
        objective: Objective { late_value: shared.settings.decisions.objective.late_worth },
        deadline: at(first.chain.as_ref().map_or(late_due_in_ms(first), |it| it.deadline_in_ms)),
    };
    let (expected, bottleneck, excess) = match decide(now, batcher, promises, &request) {
        Verdict::Late(expected) if first.chain.as_ref().is_some_and(|it| it.accepts_late) => {
            log_late_admission(shared, service, first, &expected);
            return Err(NoResult::OnlyLate);
        }
        Verdict::InTime(_) | Verdict::Late(_) => return Ok(()),
        Verdict::Refused { expected, bottleneck, excess } => (expected, bottleneck, excess),
    };
    let later = bottleneck
        .as_ref()
        .and_then(|bottleneck| request.ahead.iter().find(|it| it.service == *bottleneck));
    let return_ms = match later {
        Some(it) => promises.retry_after_ms(now, &it.service, excess, it.items),
        None => batcher.retry_after_ms(now, request.due, requests.len()),
    };
    let detail = format!(
        "id={} service={service} stage={} expected_ms={expected} due_in_ms={} end_in_ms={} waiting={} \
         return_ms={return_ms}",
        LoggedName(&first.work.request),
        bottleneck.as_deref().unwrap_or(service),
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
    first: &ItemRequest,
    expected: &ChainEstimate,
) {
    let detail = format!(
        "id={} service={service} stage={} expected_ms={:.0} spread_ms={:.0} end_in_ms={}",
        LoggedName(&first.work.request),
        expected.longest_wait.as_ref().map_or(service, |it| &it.0),
        expected.ms,
        expected.spread_ms,
        first.chain.as_ref().map_or(first.due_in_ms, |it| it.end_in_ms),
    );
    emit(events::ADMITTED_LATE, &shared.settings.instance, &detail);
}

fn late_due_in_ms(request: &ItemRequest) -> i64 {
    request.late_due_in_ms.unwrap_or(request.deadline_in_ms)
}

/// Converts an item request to a queue entry.
pub(super) fn queue_entry(
    request: &ItemRequest,
    ticket: Ticket,
    group: u64,
    now: Millis,
) -> QueuedItem {
    QueuedItem {
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
        ..QueuedItem::default()
    }
}
