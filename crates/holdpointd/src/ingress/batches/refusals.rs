//! Refuses items at once that no target can process in time.

use holdpoint_core::{confinement::Within, ids::Millis, stage_graph::NoResult};

use super::ServiceQueue;
use crate::{
    events::{self, Event, LoggedName, emit},
    ingress::{
        attempts::NONE_LEFT_RETRY_MS,
        backoff,
        confinement::{RETRY_AFTER_MS, log_refused},
        item_request::ItemRequest,
        shared::IngressShared,
    },
};

/// Retry-After of requests whose targets are all in evacuated failure domains, as the time of their restoration
/// is unknown.
pub(super) const EVACUATED_RETRY_MS: Millis = 1000;

/// Refuses the items of one request if no target can process them; returns the bounds that they are confined
/// to.
pub(super) fn refuse_unplaceable(
    shared: &IngressShared,
    queue: &ServiceQueue,
    service: &str,
    now: Millis,
    requests: &[ItemRequest],
) -> Result<Within, NoResult> {
    let Some(first) = requests.first() else { return Ok(None) };
    let refuse = |event: Event, return_ms: Millis, reason: &str| {
        let request = LoggedName(&first.work.request);
        let detail = format!("id={request} service={service}{reason} return_ms={return_ms}");
        emit(event, &shared.settings.instance, &detail);
        Err(NoResult::Overload(return_ms))
    };
    if queue.is_evacuated {
        return refuse(events::ITEMS_EVACUATED, EVACUATED_RETRY_MS, "");
    }
    if queue.all_draining {
        return refuse(events::ITEMS_DRAINING, NONE_LEFT_RETRY_MS, "");
    }
    if let Some(ms) = queue.batcher.backoff_ms(now) {
        let limit_ms = if first.is_refusable { first.due_in_ms } else { first.deadline_in_ms };
        let call_ms = queue.batcher.sizes().nominal_ms(1) as i64;
        if limit_ms < ms as i64 + call_ms {
            let reason = format!(" backoff_ms={ms}");
            return refuse(events::ITEMS_IN_BACKOFF, backoff::retry_after_ms(ms), &reason);
        }
    }
    let within = first.confinement.bounds(&shared.topology);
    match within.as_ref().filter(|it| !queue.batcher.can_process(Some(it))) {
        Some(it) => {
            log_refused(shared, &first.work.request, service, it);
            Err(NoResult::Overload(RETRY_AFTER_MS))
        }
        None => Ok(within),
    }
}
