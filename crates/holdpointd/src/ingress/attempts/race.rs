//! Sends of one request that run at the same time: one that is late, and the one that is to replace it.

use std::{
    future::poll_fn,
    pin::Pin,
    sync::Arc,
    task::{Context as TaskContext, Poll},
    time::Duration,
};

use futures::{FutureExt, future::BoxFuture};
use holdpoint_core::{directory::TargetInstance, ids::Millis, ledger::CallGuard};
use holdpoint_platform::Instant;
use tokio::time::{Sleep, sleep};

use super::SendEnd;
use crate::ingress::{dispatch::Handoff, send::time_until};

/// Longest time that two targets work on the same generation. Deployments allow 400 ms until the close of the connection
/// has arrived.
const MAX_OVERLAP: Duration = Duration::from_millis(300);
/// Most sends of one request that run at the same time.
const MAX_RUNNING: usize = 2;

/// A send that waits for its answer.
pub(crate) struct RacingSend<'a, T> {
    pub(crate) target: TargetInstance,
    /// Counts the send as one that may have been run; `None` for a stream that has begun.
    pub(crate) call: Option<CallGuard<'a>>,
    /// Whether the request was sent to this target before.
    pub(crate) is_return: bool,
    /// When its share of the retry budget was spent.
    pub(crate) spent: Option<Millis>,
    /// When the send is late.
    pub(crate) due: Instant,
    pub(crate) handoff: Arc<Handoff>,
    pub(crate) response: BoxFuture<'a, SendEnd<T>>,
}

/// What happens next to running sends.
pub(crate) enum RaceStep<'a, T> {
    /// A send has ended. This many of the others began before it.
    Ended(usize, RacingSend<'a, T>, SendEnd<T>),
    /// The oldest send may run no longer.
    Over(RacingSend<'a, T>),
}

/// The running sends of one request, the oldest first.
pub(crate) struct Race<'a, T> {
    sends: Vec<RacingSend<'a, T>>,
    /// Whether the time that two of them run is bounded.
    is_bounded: bool,
}

impl<'a, T> Race<'a, T> {
    pub(crate) fn new(is_bounded: bool) -> Race<'a, T> {
        Race { sends: Vec::with_capacity(MAX_RUNNING), is_bounded }
    }

    pub(crate) fn push(&mut self, send: RacingSend<'a, T>) {
        self.sends.push(send);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// The latest send, if it may be followed by another one now.
    pub(crate) fn replaceable(&self) -> Option<&RacingSend<'a, T>> {
        let limit = if self.is_bounded { MAX_RUNNING } else { MAX_RUNNING + 1 };
        self.latest().filter(|_| self.sends.len() < limit)
    }

    pub(crate) fn latest(&self) -> Option<&RacingSend<'a, T>> {
        self.sends.last()
    }

    /// Removes all sends.
    pub(crate) fn take_all(&mut self) -> Vec<RacingSend<'a, T>> {
        std::mem::take(&mut self.sends)
    }

    /// Waits until a send ends or has run for too long beside a later one.
    pub(crate) async fn next(&mut self) -> RaceStep<'a, T> {
        let mut limit = None;
        poll_fn(|cx| self.poll_next(cx, &mut limit)).await
    }

    fn poll_next(
        &mut self,
        cx: &mut TaskContext<'_>,
        limit: &mut Option<Pin<Box<Sleep>>>,
    ) -> Poll<RaceStep<'a, T>> {
        for index in 0..self.sends.len() {
            if let Poll::Ready(end) = self.sends[index].response.poll_unpin(cx) {
                return Poll::Ready(RaceStep::Ended(index, self.sends.remove(index), end));
            }
        }
        let is_full = MAX_RUNNING < self.sends.len();
        if is_full && self.latest().is_some_and(|it| it.handoff.at().is_some()) {
            return Poll::Ready(RaceStep::Over(self.sends.remove(0)));
        }
        if limit.is_none() {
            *limit = self.overlap_end().map(|it| Box::pin(sleep(time_until(it))));
        }
        match limit {
            Some(it) => it.poll_unpin(cx).map(|()| RaceStep::Over(self.sends.remove(0))),
            None => Poll::Pending,
        }
    }

    /// When the oldest send may run no longer, since a later one was handed to its target.
    fn overlap_end(&self) -> Option<Instant> {
        let [_, later, ..] = &self.sends[..] else { return None };
        let handed = later.handoff.at().filter(|_| self.is_bounded)?;
        Some(handed + MAX_OVERLAP)
    }
}
