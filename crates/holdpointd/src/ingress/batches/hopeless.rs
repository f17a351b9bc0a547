//! Refuses pieces at once that no target can make.

use holdpoint_core::{confinement::Within, ids::Millis, stage_graph::NoResult};

use super::ServiceBatches;
use crate::{
    events::{self, Event, emit},
    ingress::{
        attempts::NONE_LEFT_RETURN_MS,
        backoff,
        confinement::{RETURN_MS, log_refused},
        piece_ask::PieceAsk,
        shared::IngressShared,
    },
};

/// When a request may come back whose pieces have no target, since all stand in evacuated failure
/// domains, in milliseconds. When an operator restores one is not known.
pub(super) const EVACUATED_RETURN_MS: Millis = 1000;

/// Refuses pieces of one request that no target can make; returns what they must be made within.
pub(super) fn refuse_hopeless(
    shared: &IngressShared,
    of_service: &ServiceBatches,
    service: &str,
    now: Millis,
    asks: &[PieceAsk],
) -> Result<Within, NoResult> {
    let Some(first) = asks.first() else { return Ok(None) };
    let refuse = |event: Event, return_ms: Millis, reason: &str| {
        let request = &first.work.request;
        let detail = format!("id={request} service={service}{reason} return_ms={return_ms}");
        emit(event, &shared.settings.instance, &detail);
        Err(NoResult::Overload(return_ms))
    };
    if of_service.is_evacuated {
        return refuse(events::PIECES_EVACUATED, EVACUATED_RETURN_MS, "");
    }
    if of_service.all_leave {
        return refuse(events::PIECES_LEFT, NONE_LEFT_RETURN_MS, "");
    }
    if let Some(ms) = of_service.batcher.backoff_ms(now) {
        let limit_ms = if first.is_refusable { first.due_in_ms } else { first.deadline_in_ms };
        let call_ms = of_service.batcher.sizes().stated_ms(1) as i64;
        if limit_ms < ms as i64 + call_ms {
            let reason = format!(" backoff_ms={ms}");
            return refuse(events::PIECES_BACK_OFF, backoff::return_ms(ms), &reason);
        }
    }
    let within = first.confinement.bounds(&shared.topology);
    match within.as_ref().filter(|it| !of_service.batcher.can_make(Some(it))) {
        Some(it) => {
            log_refused(shared, &first.work.request, service, it);
            Err(NoResult::Overload(RETURN_MS))
        }
        None => Ok(within),
    }
}
