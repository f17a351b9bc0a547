//! Changes by operators: appends them to the log and reports their status to the waiting calls.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use holdpoint_core::{
    fold::State,
    ids::{Millis, Offset},
    membership::View,
};
use holdpoint_schema::{
    caller::{ChangeState, ChangeStatus},
    records::{Body, Change},
};
use tokio::sync::oneshot;

use crate::{
    control::{Input, tail},
    events::{self, emit},
    metrics::label,
    shared::Shared,
};

struct PendingCall {
    change: String,
    reply: oneshot::Sender<ChangeStatus>,
    deadline: Millis,
}

/// Queue of appends to the control stream, made one at a time, and the operator calls that wait for a
/// result.
pub(crate) struct Changes {
    shared: Arc<Shared>,
    queue: VecDeque<Body>,
    seq: u64,
    is_appending: bool,
    pending: Vec<PendingCall>,
}

impl Changes {
    pub(crate) fn new(shared: Arc<Shared>) -> Changes {
        let (queue, pending) = (VecDeque::new(), Vec::new());
        Changes { shared, queue, seq: 0, is_appending: false, pending }
    }

    /// Submits a change. A change whose id is already queued or in the log is not appended again.
    pub(crate) fn submit(
        &mut self,
        change: Change,
        reply: oneshot::Sender<ChangeStatus>,
        state: &State,
        view: &View,
    ) {
        let now = self.shared.clock.now();
        let deadline = now + self.shared.settings.timing.change_wait_ms;
        let id = change.change.clone();
        let is_queued = self.pending.iter().any(|it| it.change == id)
            || self.queue.iter().any(|it| matches!(it, Body::Change(it) if it.change == id));
        self.pending.push(PendingCall { change: id.clone(), reply, deadline });
        if state.verdict(&id).is_none() && !is_queued {
            self.append(Body::Change(change));
        }
        self.tick(now, state, view);
    }

    /// Queues a record for the control stream.
    pub(crate) fn append(&mut self, body: Body) {
        self.queue.push_back(body);
        self.append_next();
    }

    /// Starts the next append after one has succeeded.
    pub(crate) fn appended(&mut self, _offset: Offset) {
        self.is_appending = false;
        self.queue.pop_front();
        self.append_next();
    }

    /// Answers calls whose change has a final status or whose deadline has passed.
    pub(crate) fn tick(&mut self, now: Millis, state: &State, view: &View) {
        for pending in std::mem::take(&mut self.pending) {
            let status = status(&pending.change, state, view);
            let is_final = matches!(status.state, ChangeState::Accepted | ChangeState::Conflict);
            if !is_final && now < pending.deadline {
                self.pending.push(pending);
                continue;
            }
            if status.state == ChangeState::Accepted {
                emit(events::ACCEPTED, &self.shared.settings.instance, &pending.change);
            }
            self.shared.metrics.changes.add(1, &[label("state", status.state.to_string())]);
            drop(pending.reply.send(status));
        }
    }

    fn append_next(&mut self) {
        if self.is_appending {
            return;
        }
        let Some(body) = self.queue.front() else { return };
        self.is_appending = true;
        self.seq += 1;
        let record = tail::record(&self.shared, self.seq, body.clone());
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let offset = tail::append(&shared, tail::CONTROL, &record).await;
            // Fails only if the control thread has stopped.
            drop(shared.control.send(Input::Appended { offset }).await);
        });
    }
}

/// Status of a change as known to this instance.
pub(crate) fn status(change: &str, state: &State, view: &View) -> ChangeStatus {
    let (change, mut missing) = (change.to_owned(), Vec::new());
    let Some(verdict) = state.verdict(&change) else {
        return ChangeStatus { change, state: ChangeState::Unknown, version: None, missing };
    };
    let state = if verdict.is_applied {
        missing = view.missing(verdict.offset);
        if missing.is_empty() { ChangeState::Accepted } else { ChangeState::Pending }
    } else {
        ChangeState::Conflict
    };
    ChangeStatus { change, state, version: Some(verdict.version), missing }
}

/// Time limit for an operator's call; longer than the control thread takes to answer by itself.
pub(crate) fn wait_limit(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings.timing.change_wait_ms + 1000)
}
