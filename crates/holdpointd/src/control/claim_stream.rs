//! One claim stream: folds its records into a table, appends entries by group commit, and answers calls
//! once the state of their key is final.

use std::sync::Arc;

use holdpoint_core::{
    batch::Batcher,
    claims::{ClaimStatus, ClaimTable, Claimant},
    ids::{Millis, Offset},
    membership::View,
};
use holdpoint_platform::log::Batch;
use holdpoint_schema::{
    peer::{ClaimAsk, ClaimReply},
    records::{Body, ClaimBody, ClaimEntry, ClaimKey, ClaimOutcome, ClaimStep},
};
use tokio::{sync::oneshot, task::JoinHandle};

use crate::{
    control::{Input, tail},
    events::{self, emit},
    shared::Shared,
};

/// An entry to be appended, and the call to answer once it is in the log.
struct QueuedEntry {
    entry: ClaimEntry,
    reply: Option<oneshot::Sender<bool>>,
}

/// A call that waits for the state of its key.
struct PendingClaim {
    key: ClaimKey,
    body_hash: String,
    requester: Claimant,
    reply: oneshot::Sender<ClaimReply>,
    deadline: Millis,
    is_queued: bool,
    first_held: Option<Millis>,
    is_outcome_queued: bool,
}

pub(crate) struct ClaimStream {
    shared: Arc<Shared>,
    index: u32,
    table: ClaimTable,
    batcher: Batcher<QueuedEntry>,
    append_replies: Vec<oneshot::Sender<bool>>,
    pending_claims: Vec<PendingClaim>,
    /// Whether the table contains all records up to the head of the stream when it was first followed.
    is_caught_up: bool,
    seq: u64,
    last_used: Millis,
    tail: JoinHandle<()>,
}

impl ClaimStream {
    pub(crate) fn new(shared: Arc<Shared>, index: u32) -> ClaimStream {
        let settings = &shared.settings;
        let (streams, rate) = (settings.claims.streams, settings.claims.appends_per_second);
        let interval = Batcher::<QueuedEntry>::interval(streams, rate);
        ClaimStream {
            index,
            table: ClaimTable::new(settings.timing.claim_window_ms),
            batcher: Batcher::new(interval, settings.claims.batch as usize),
            append_replies: Vec::new(),
            pending_claims: Vec::new(),
            is_caught_up: false,
            seq: 0,
            last_used: shared.clock.now(),
            tail: tokio::spawn(tail::follow_claims(shared.clone(), index)),
            shared,
        }
    }

    pub(crate) fn ask(
        &mut self,
        key: ClaimKey,
        ask: ClaimAsk,
        reply: oneshot::Sender<ClaimReply>,
        view: &View,
    ) {
        let now = self.shared.clock.now();
        self.last_used = now;
        let pending = PendingClaim {
            key,
            body_hash: ask.body_hash,
            requester: Claimant { incarnation: ask.claimant, call: ask.call },
            reply,
            deadline: now + ask.patience_ms,
            is_queued: false,
            first_held: None,
            is_outcome_queued: false,
        };
        self.pending_claims.push(pending);
        self.answer_pending(now, view);
        self.append_next(now);
    }

    pub(crate) fn push(&mut self, entry: ClaimEntry, reply: Option<oneshot::Sender<bool>>) {
        self.last_used = self.shared.clock.now();
        self.batcher.push(QueuedEntry { entry, reply });
        self.append_next(self.last_used);
    }

    pub(crate) fn records(&mut self, batch: &Batch, view: &View) {
        for read in &batch.records {
            match read.record.as_ref().map(|it| &it.body) {
                Some(Body::Claims(it)) => self.table.apply(read.offset, read.at, it),
                _ => self.table.skip(read.offset),
            }
        }
        self.is_caught_up |= batch.next <= self.table.offset() + 1 || batch.records.is_empty();
        let now = self.shared.clock.now();
        self.answer_pending(now, view);
        self.append_next(now);
    }

    pub(crate) fn appended(&mut self, _offset: Offset, view: &View) {
        for reply in self.append_replies.drain(..) {
            let _ = reply.send(true);
        }
        self.batcher.complete_append();
        let now = self.shared.clock.now();
        self.answer_pending(now, view);
        self.append_next(now);
    }

    pub(crate) fn due(&self) -> Option<Millis> {
        self.batcher.due()
    }

    pub(crate) fn tick(&mut self, now: Millis, view: &View) {
        self.answer_pending(now, view);
        self.append_next(now);
    }

    pub(crate) fn is_idle(&self, now: Millis, idle_ms: Millis) -> bool {
        let is_quiet = self.pending_claims.is_empty()
            && self.batcher.is_empty()
            && self.append_replies.is_empty();
        is_quiet && self.batcher.is_idle() && self.last_used + idle_ms < now
    }

    /// Answers calls whose key has a final state or whose deadline has passed.
    fn answer_pending(&mut self, now: Millis, view: &View) {
        for pending in std::mem::take(&mut self.pending_claims) {
            if pending.reply.is_closed() {
                continue;
            }
            if let Some(pending) = self.check_pending(pending, now, view) {
                self.pending_claims.push(pending);
            }
        }
    }

    fn check_pending(
        &mut self,
        mut pending: PendingClaim,
        now: Millis,
        view: &View,
    ) -> Option<PendingClaim> {
        let is_expired = pending.deadline <= now;
        if !self.is_caught_up {
            return answer_if_expired(pending, is_expired, ClaimReply::Silent);
        }
        match self.table.status(&pending.key, &pending.body_hash, &pending.requester) {
            ClaimStatus::Won(offset) => answer(pending, ClaimReply::Won(offset)),
            ClaimStatus::Done(it) => answer(pending, ClaimReply::Done(it)),
            ClaimStatus::Unknown => answer(pending, ClaimReply::Unknown),
            ClaimStatus::Mismatch => answer(pending, ClaimReply::Mismatch),
            ClaimStatus::Free => {
                if !pending.is_queued && !is_expired {
                    let step = ClaimStep::Claim(ClaimBody { body_hash: pending.body_hash.clone() });
                    self.batcher.push(entry(&pending, &pending.requester, step));
                    pending.is_queued = true;
                }
                answer_if_expired(pending, is_expired, ClaimReply::Silent)
            }
            ClaimStatus::Held(holder) => {
                // A claim that lost has no effect. If the holder releases the key, this call must claim it
                // again.
                pending.is_queued = false;
                self.end_if_gone(&mut pending, &holder, now, view);
                answer_if_expired(pending, is_expired, ClaimReply::Held(holder.incarnation))
            }
        }
    }

    /// Records the outcome as unknown if the holder is gone: it is not live, and either it is known to have
    /// stopped or this call has waited for it for `dead_ms`.
    fn end_if_gone(
        &mut self,
        pending: &mut PendingClaim,
        holder: &Claimant,
        now: Millis,
        view: &View,
    ) {
        let since = *pending.first_held.get_or_insert(now);
        let dead_ms = self.shared.settings.timing.dead_ms;
        let is_gone = !view.is_live(&holder.incarnation);
        // A new membership view may not contain the holder yet.
        let is_sure = since + dead_ms <= now || view.is_stopped(&holder.incarnation);
        if pending.is_outcome_queued || !is_gone || !is_sure {
            return;
        }
        pending.is_outcome_queued = true;
        emit(events::CLAIMANT_GONE, &self.shared.settings.instance, &pending.key.key);
        let step = ClaimStep::Outcome(ClaimOutcome { answer: None });
        self.batcher.push(entry(pending, holder, step));
    }

    fn append_next(&mut self, now: Millis) {
        let Some(items) = self.batcher.take(now) else { return };
        self.seq += 1;
        let mut entries = Vec::with_capacity(items.len());
        for item in items {
            entries.push(item.entry);
            self.append_replies.extend(item.reply);
        }
        let record = tail::record(&self.shared, self.seq, Body::Claims(entries));
        let (shared, stream) = (self.shared.clone(), self.index);
        tokio::spawn(async move {
            let offset = tail::append(&shared, &tail::claim_stream(stream), &record).await;
            drop(shared.control.send(Input::ClaimsAppended { stream, offset }).await);
        });
    }
}

impl Drop for ClaimStream {
    fn drop(&mut self) {
        self.tail.abort();
    }
}

fn entry(pending: &PendingClaim, claimant: &Claimant, step: ClaimStep) -> QueuedEntry {
    let (key, claimant, call) = (pending.key.clone(), claimant.incarnation.clone(), claimant.call);
    QueuedEntry { entry: ClaimEntry { key, claimant, call, step }, reply: None }
}

fn answer(pending: PendingClaim, reply: ClaimReply) -> Option<PendingClaim> {
    // The requester may have cancelled the call; its instance then releases the claim.
    drop(pending.reply.send(reply));
    None
}

fn answer_if_expired(
    pending: PendingClaim,
    is_expired: bool,
    reply: ClaimReply,
) -> Option<PendingClaim> {
    if is_expired { answer(pending, reply) } else { Some(pending) }
}
