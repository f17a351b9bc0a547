//! Takes in what targets say of themselves in their answers.

use holdpoint_core::{
    directory::TargetInstance,
    ids::Millis,
    notice::{Backoff, Notice},
};

use crate::{
    events::{self, emit},
    ingress::shared::IngressShared,
};

/// Takes in what an answer says of its target, to a request that was sent at a time.
pub(crate) fn observe(
    shared: &IngressShared,
    target: &TargetInstance,
    notice: &Notice,
    sent: Millis,
) {
    let instance = &shared.settings.instance;
    shared.limits.heard(shared, target, notice.limit, sent);
    if notice.is_leaving {
        emit(events::LEAVING_NOTICE, instance, &format!("target={}", target.id));
    }
    match &notice.backoff {
        Backoff::None => (),
        Backoff::For(ms) => {
            let detail = format!("target={} backoff_ms={ms}", target.id);
            emit(events::BACKOFF_REQUESTED, instance, &detail);
        }
        Backoff::Unreadable(value) => {
            let detail = format!("target={} value={value:?}", target.id);
            emit(events::BAD_BACKOFF, instance, &detail);
        }
    }
}
