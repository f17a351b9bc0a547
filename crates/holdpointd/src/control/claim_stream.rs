//! One claim stream: its table, its group commit, and the calls that wait for it.

use std::sync::Arc;

use holdpoint_core::{
    batch::Batcher,
    claims::{ClaimTable, Claimant, Standing},
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

/// An entry on its way into the log, and who wants to know that it has landed.
struct Item {
    entry: ClaimEntry,
    reply: Option<oneshot::Sender<bool>>,
}

/// A call that waits to learn how its key stands.
struct Wait {
    key: ClaimKey,
    body_hash: String,
    asker: Claimant,
    reply: oneshot::Sender<ClaimReply>,
    until: Millis,
    is_pushed: bool,
    held_since: Option<Millis>,
    is_ending: bool,
}

pub(crate) struct ClaimStream {
    shared: Arc<Shared>,
    index: u32,
    table: ClaimTable,
    batcher: Batcher<Item>,
    landing: Vec<oneshot::Sender<bool>>,
    waits: Vec<Wait>,
    /// Whether all records that the log held when this stream was first followed are folded in.
    is_current: bool,
    seq: u64,
    used: Millis,
    tail: JoinHandle<()>,
}

impl ClaimStream {
    pub(crate) fn new(shared: Arc<Shared>, index: u32) -> ClaimStream {
        let settings = &shared.settings;
        let (streams, rate) = (settings.claims.streams, settings.claims.appends_per_second);
        let interval = Batcher::<Item>::interval(streams, rate);
        ClaimStream {
            index,
            table: ClaimTable::new(settings.timing.claim_window_ms),
            batcher: Batcher::new(interval, settings.claims.batch as usize),
            landing: Vec::new(),
            waits: Vec::new(),
            is_current: false,
            seq: 0,
            used: shared.clock.now(),
            tail: tokio::spawn(tail::claims(shared.clone(), index)),
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
        self.used = now;
        let wait = Wait {
            key,
            body_hash: ask.body_hash,
            asker: Claimant { incarnation: ask.claimant, call: ask.call },
            reply,
            until: now + ask.patience_ms,
            is_pushed: false,
            held_since: None,
            is_ending: false,
        };
        self.waits.push(wait);
        self.review(now, view);
        self.pump(now);
    }

    pub(crate) fn push(&mut self, entry: ClaimEntry, reply: Option<oneshot::Sender<bool>>) {
        self.used = self.shared.clock.now();
        self.batcher.push(Item { entry, reply });
        self.pump(self.used);
    }

    pub(crate) fn records(&mut self, batch: &Batch, view: &View) {
        for read in &batch.records {
            match read.record.as_ref().map(|it| &it.body) {
                Some(Body::Claims(it)) => self.table.apply(read.offset, read.at, it),
                _ => self.table.skip(read.offset),
            }
        }
        self.is_current |= batch.next <= self.table.offset() + 1 || batch.records.is_empty();
        let now = self.shared.clock.now();
        self.review(now, view);
        self.pump(now);
    }

    pub(crate) fn landed(&mut self, _offset: Offset, view: &View) {
        for reply in self.landing.drain(..) {
            let _ = reply.send(true);
        }
        self.batcher.landed();
        let now = self.shared.clock.now();
        self.review(now, view);
        self.pump(now);
    }

    pub(crate) fn due(&self) -> Option<Millis> {
        self.batcher.due()
    }

    pub(crate) fn tick(&mut self, now: Millis, view: &View) {
        self.review(now, view);
        self.pump(now);
    }

    pub(crate) fn is_idle(&self, now: Millis, idle_ms: Millis) -> bool {
        let is_quiet = self.waits.is_empty() && self.batcher.is_empty() && self.landing.is_empty();
        is_quiet && self.batcher.is_settled() && self.used + idle_ms < now
    }

    /// Answers the calls whose key has a final standing or whose patience is over.
    fn review(&mut self, now: Millis, view: &View) {
        for wait in std::mem::take(&mut self.waits) {
            if wait.reply.is_closed() {
                continue;
            }
            if let Some(wait) = self.review_one(wait, now, view) {
                self.waits.push(wait);
            }
        }
    }

    fn review_one(&mut self, mut wait: Wait, now: Millis, view: &View) -> Option<Wait> {
        let is_over = wait.until <= now;
        if !self.is_current {
            return keep_or(wait, is_over, ClaimReply::Silent);
        }
        match self.table.standing(&wait.key, &wait.body_hash, &wait.asker) {
            Standing::Won(offset) => answer(wait, ClaimReply::Won(offset)),
            Standing::Done(it) => answer(wait, ClaimReply::Done(it)),
            Standing::Unknown => answer(wait, ClaimReply::Unknown),
            Standing::Mismatch => answer(wait, ClaimReply::Mismatch),
            Standing::Free => {
                if !wait.is_pushed && !is_over {
                    let step = ClaimStep::Claim(ClaimBody { body_hash: wait.body_hash.clone() });
                    self.batcher.push(entry(&wait, &wait.asker, step));
                    wait.is_pushed = true;
                }
                keep_or(wait, is_over, ClaimReply::Silent)
            }
            Standing::Held(holder) => {
                // A claim of this call that lost has no effect; should the holder release the
                // key, this call must claim it anew.
                wait.is_pushed = false;
                self.end_if_gone(&mut wait, &holder, now, view);
                keep_or(wait, is_over, ClaimReply::Held(holder.incarnation))
            }
        }
    }

    /// Records the outcome as unknown once the holder has been gone long enough.
    fn end_if_gone(&mut self, wait: &mut Wait, holder: &Claimant, now: Millis, view: &View) {
        let since = *wait.held_since.get_or_insert(now);
        let dead_ms = self.shared.settings.timing.dead_ms;
        let is_gone = !view.is_live(&holder.incarnation);
        // A view that has only just begun may not know the holder yet.
        let is_sure = since + dead_ms <= now || view.is_stopped(&holder.incarnation);
        if wait.is_ending || !is_gone || !is_sure {
            return;
        }
        wait.is_ending = true;
        emit(events::CLAIMANT_GONE, &self.shared.settings.instance, &wait.key.key);
        let step = ClaimStep::Outcome(ClaimOutcome { answer: None });
        self.batcher.push(entry(wait, holder, step));
    }

    fn pump(&mut self, now: Millis) {
        let Some(items) = self.batcher.take(now) else { return };
        self.seq += 1;
        let mut entries = Vec::with_capacity(items.len());
        for item in items {
            entries.push(item.entry);
            self.landing.extend(item.reply);
        }
        let record = tail::record(&self.shared, self.seq, Body::Claims(entries));
        let (shared, stream) = (self.shared.clone(), self.index);
        tokio::spawn(async move {
            let offset = tail::append(&shared, &tail::claim_stream(stream), &record).await;
            drop(shared.control.send(Input::ClaimLanded { stream, offset }).await);
        });
    }
}

impl Drop for ClaimStream {
    fn drop(&mut self) {
        self.tail.abort();
    }
}

fn entry(wait: &Wait, claimant: &Claimant, step: ClaimStep) -> Item {
    let (key, claimant, call) = (wait.key.clone(), claimant.incarnation.clone(), claimant.call);
    Item { entry: ClaimEntry { key, claimant, call, step }, reply: None }
}

fn answer(wait: Wait, reply: ClaimReply) -> Option<Wait> {
    // The asker may have gone; the claim is then released by its instance.
    drop(wait.reply.send(reply));
    None
}

fn keep_or(wait: Wait, is_over: bool, reply: ClaimReply) -> Option<Wait> {
    if is_over { answer(wait, reply) } else { Some(wait) }
}
