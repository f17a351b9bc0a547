//! Sends that are past their timeout. One is abandoned only once another target can take the request: until then its
//! late response is the only one that the caller can get.

use std::{
    pin::{Pin, pin},
    time::Duration,
};

use holdpoint_core::{directory::TargetId, route::Call};
use holdpoint_platform::Instant;
use tokio::time::timeout;

use super::Attempts;
use crate::{
    events::{self, emit},
    ingress::context::Context,
    metrics::label,
};

/// How often a late send checks whether the targets of its service have changed, and its first wait between two searches.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait between two searches. Backoffs, rate limits and the retry budget free a target without a change.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(800);

/// When a late send looks for another target. A search takes a time that grows with the number of targets, so it is
/// repeated only after a change of the targets, or ever less often.
#[derive(Debug, Default)]
struct Search {
    /// When the next search is due without a change, and the wait before it; `None` before the first search.
    next: Option<(Instant, Duration)>,
    /// Revision of the targets at the last search.
    revision: u64,
}

impl Search {
    /// Whether a search is due now, which then counts as done.
    fn is_due(&mut self, ctx: &Context) -> bool {
        let (now, revision) = (Instant::now(), ctx.pool.revision());
        let is_waiting = self.next.is_some_and(|it| now < it.0);
        if is_waiting && revision == self.revision {
            return false;
        }
        let wait = self.next.map_or(CHECK_INTERVAL, |it| MAX_SEARCH_INTERVAL.min(2 * it.1));
        *self = Search { next: Some((now + wait, wait)), revision };
        true
    }
}

impl Attempts {
    /// Waits for a response of the current send. Once `limit` has passed, the send is abandoned as soon as another
    /// target can take the request. `None` if the send was abandoned or the deadline has passed. `version` is the one
    /// that a resumed stream is bound to.
    pub(crate) async fn wait_for<T>(
        &self,
        ctx: &Context,
        version: Option<&str>,
        limit: Duration,
        response: impl Future<Output = T>,
    ) -> Option<T> {
        let mut response = pin!(response);
        match timeout(limit, &mut response).await {
            Ok(it) => Some(it),
            Err(_) => self.wait_late(ctx, version, limit, response).await,
        }
    }

    /// Waits for a response that was due after `limit`, as [`Attempts::wait_for`] does.
    pub(crate) async fn wait_late<T>(
        &self,
        ctx: &Context,
        version: Option<&str>,
        limit: Duration,
        mut response: Pin<&mut impl Future<Output = T>>,
    ) -> Option<T> {
        let mut is_logged = false;
        let mut search = Search::default();
        while !ctx.left().is_zero() {
            if search.is_due(ctx) && self.has_other_target(ctx, version) {
                return None;
            }
            if !is_logged {
                is_logged = true;
                self.log_kept(ctx, limit);
            }
            let wait = CHECK_INTERVAL.min(ctx.left());
            if let Ok(it) = timeout(wait, &mut response).await {
                return Some(it);
            }
        }
        None
    }

    fn log_kept(&self, ctx: &Context, limit: Duration) {
        let target = self.tried.last().map_or("", String::as_str);
        let (id, timeout_ms) = (&ctx.request.id, limit.as_millis());
        let detail = format!("id={id} target={target} timeout_ms={timeout_ms}");
        emit(events::SEND_KEPT, &ctx.shared.settings.instance, &detail);
    }

    /// Whether another send would be allowed now and find a target.
    fn has_other_target(&self, ctx: &Context, version: Option<&str>) -> bool {
        let shared = &ctx.shared;
        let now = shared.clock.now();
        shared.metrics.late_send_searches.add(1, &[label("service", ctx.service.as_str())]);
        let is_allowed = self.may_repeat(ctx)
            && ctx.pool.can_spend(now, &shared.pools.terms())
            && !shared.paths.is_unreachable(now, &ctx.service);
        if !is_allowed {
            return false;
        }
        let Some(version) = version else {
            let exclusions = shared.rollouts.likely_exclusions(now, &ctx.service);
            return exclusions.iter().any(|it| self.can_choose(ctx, it));
        };
        let others = shared.targets_of_other_versions(&ctx.service, version);
        shared.has_open_version(&ctx.service, version)
            && (self.can_choose(ctx, &others) || !self.draining_targets(ctx, version).is_empty())
    }

    /// Whether a target can be chosen that the request was not sent to yet and that is not excluded.
    fn can_choose(&self, ctx: &Context, excluded: &[TargetId]) -> bool {
        let (within, policy, region) = (ctx.within(), ctx.policy(), ctx.call_region());
        let share = ctx.shared.pools.cold_share(ctx.is_placer());
        let excluded = [&self.tried, excluded].concat();
        let call = Call { share, within: within.as_deref(), ..ctx.call(&excluded) };
        let now = ctx.shared.clock.now();
        ctx.pool.choose(now, policy.as_deref(), &call, region.as_deref(), &ctx.shared).is_ok()
    }
}
