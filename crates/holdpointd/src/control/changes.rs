//! Changes that operators make: their way into the log, and how far each has come.

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

struct Pending {
    change: String,
    reply: oneshot::Sender<ChangeStatus>,
    until: Millis,
}

/// Appends to the control stream, one at a time, and the operators who wait for them.
pub(crate) struct Changes {
    shared: Arc<Shared>,
    queue: VecDeque<Body>,
    seq: u64,
    is_appending: bool,
    pending: Vec<Pending>,
}

impl Changes {
    pub(crate) fn new(shared: Arc<Shared>) -> Changes {
        let (queue, pending) = (VecDeque::new(), Vec::new());
        Changes { shared, queue, seq: 0, is_appending: false, pending }
    }

    /// Takes a change on its way. One that is known already, by its id, is not appended again.
    pub(crate) fn submit(
        &mut self,
        change: Change,
        reply: oneshot::Sender<ChangeStatus>,
        state: &State,
        view: &View,
    ) {
        let now = self.shared.clock.now();
        let until = now + self.shared.settings.timing.change_wait_ms;
        let id = change.change.clone();
        let is_queued = self.pending.iter().any(|it| it.change == id)
            || self.queue.iter().any(|it| matches!(it, Body::Change(it) if it.change == id));
        self.pending.push(Pending { change: id.clone(), reply, until });
        if state.verdict(&id).is_none() && !is_queued {
            self.append(Body::Change(change));
        }
        self.tick(now, state, view);
    }

    /// Queues a record for the control stream.
    pub(crate) fn append(&mut self, body: Body) {
        self.queue.push_back(body);
        self.pump();
    }

    /// Goes on after an append has landed.
    pub(crate) fn appended(&mut self, _offset: Offset) {
        self.is_appending = false;
        self.queue.pop_front();
        self.pump();
    }

    /// Answers the operators whose change has come to its end or who have waited long enough.
    pub(crate) fn tick(&mut self, now: Millis, state: &State, view: &View) {
        for pending in std::mem::take(&mut self.pending) {
            let status = status(&pending.change, state, view);
            let is_final = matches!(status.state, ChangeState::Accepted | ChangeState::Conflict);
            if !is_final && now < pending.until {
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

    fn pump(&mut self) {
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
            // The control thread is gone only when the process stops.
            drop(shared.control.send(Input::Appended { offset }).await);
        });
    }
}

/// How far a change has come, as this instance knows it.
pub(crate) fn status(change: &str, state: &State, view: &View) -> ChangeStatus {
    let (change, mut missing) = (change.to_owned(), Vec::new());
    let Some(verdict) = state.verdict(&change) else {
        return ChangeStatus { change, state: ChangeState::Unknown, version: None, missing };
    };
    let state = if verdict.won {
        missing = view.missing(verdict.offset);
        if missing.is_empty() { ChangeState::Accepted } else { ChangeState::Pending }
    } else {
        ChangeState::Conflict
    };
    ChangeStatus { change, state, version: Some(verdict.version), missing }
}

/// How long an operator's call waits at the most.
pub(crate) fn wait_limit(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings.timing.change_wait_ms + 1000)
}
