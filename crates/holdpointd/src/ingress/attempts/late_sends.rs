//! Sends that are past their timeout. A late send goes on while another target is looked for: its response may be the
//! only one that the caller can get.

use std::{sync::Arc, time::Duration};

use holdpoint_core::directory::TargetInstance;
use holdpoint_platform::Instant;
use tokio::{task::yield_now, time::sleep};

use super::{Attempts, RacingSend, TargetChoice};
use crate::{
    events::{self, LoggedName, emit},
    ingress::{context::Context, dispatch::Handoff, paths, send::time_until},
    metrics::label,
};

/// How often a late send checks whether the targets of its service have changed, and its first wait between two searches.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait between two searches. Backoffs, rate limits and the retry budget free a target without a change.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(800);

/// When a late send looks for another target. A search takes a time that grows with the number of targets, so it is
/// repeated only after a change of the targets, or ever less often.
#[derive(Debug, Default)]
pub(crate) struct ReplacementSearch {
    /// When the next search is due without a change, and the wait before it; `None` before the first search.
    next: Option<(Instant, Duration)>,
    /// Revision of the targets at the last search.
    revision: u64,
    is_logged: bool,
}

/// A send that may become late.
pub(crate) struct WatchedSend {
    pub(crate) target: TargetInstance,
    due: Instant,
    handoff: Arc<Handoff>,
}

impl WatchedSend {
    pub(crate) fn new<T>(send: &RacingSend<'_, T>) -> WatchedSend {
        WatchedSend { target: send.target.clone(), due: send.due, handoff: send.handoff.clone() }
    }
}

impl ReplacementSearch {
    /// Waits until a send is late, at its time or once its path is found lost, and another send is possible.
    /// `version` is the one that a resumed stream is bound to.
    pub(crate) async fn wait_replaceable(
        &mut self,
        ctx: &Context,
        attempts: &Attempts,
        send: &WatchedSend,
        version: Option<&str>,
    ) {
        let target = &send.target;
        tokio::select! {
            () = sleep(time_until(send.due)) => (),
            () = wait_lost(ctx, target, &send.handoff) => (),
        }
        // A process that was suspended runs its timers first. The event loop looks at the sockets, and then the connection's
        // task at what arrived.
        yield_now().await;
        yield_now().await;
        let searching = async {
            while !self.is_search_due(ctx) || !can_replace(ctx, attempts, version) {
                if !self.is_logged {
                    self.is_logged = true;
                    log_kept(ctx, target);
                }
                sleep(CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            () = searching => (),
            // The path is verified for as long as the target is silent, since a lost one allows other sends.
            () = paths::verify_while_silent(&ctx.shared, target) => (),
        }
    }

    /// Whether a search is due now, which then counts as done.
    fn is_search_due(&mut self, ctx: &Context) -> bool {
        let (now, revision) = (Instant::now(), ctx.pool.revision());
        let is_waiting = self.next.is_some_and(|it| now < it.0);
        if is_waiting && revision == self.revision {
            return false;
        }
        let wait = self.next.map_or(CHECK_INTERVAL, |it| MAX_SEARCH_INTERVAL.min(2 * it.1));
        self.next = Some((now + wait, wait));
        self.revision = revision;
        true
    }
}

/// Waits until the path of a send is found lost, unless a peer relays it.
async fn wait_lost(ctx: &Context, target: &TargetInstance, handoff: &Handoff) {
    loop {
        paths::wait_lost(&ctx.shared, target).await;
        if handoff.at().is_some() && handoff.peer().is_none() {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

fn log_kept(ctx: &Context, target: &TargetInstance) {
    let (id, ms) = (&ctx.request.id, ctx.ms_since_send(&target.id));
    let detail = format!("id={} target={} ms={ms}", LoggedName(id), target.id);
    emit(events::SEND_KEPT, &ctx.shared.settings.instance, &detail);
}

/// Whether another send would be allowed now and find a target.
fn can_replace(ctx: &Context, attempts: &Attempts, version: Option<&str>) -> bool {
    let shared = &ctx.shared;
    shared.metrics.late_send_searches.add(1, &[label("service", ctx.service.as_str())]);
    let is_allowed = Attempts::check(ctx).is_ok()
        && ctx.pool.can_spend(shared.clock.now(), &shared.pools.terms());
    let has_untried = || {
        let tried = attempts.tried_targets();
        let choice = TargetChoice { ctx, version, inputs: &[], tried };
        attempts.may_repeat(ctx) && choice.is_possible()
    };
    let has_tried =
        || !attempts.relayable(ctx).is_empty() || !attempts.returnable(false).is_empty();
    is_allowed && (has_untried() || has_tried())
}
