//! Writers of claim streams. Any instance can write any stream; rendezvous hashing only keeps the
//! work for one stream at one instance.

use std::sync::Arc;

use holdpoint_core::{
    claims::stream_of,
    ids::{Millis, Offset},
    membership::View,
};
use holdpoint_platform::log::Batch;
use holdpoint_schema::{
    peer::{ClaimAsk, ClaimReply, Settle},
    records::{ClaimEntry, ClaimKey, ClaimOutcome, ClaimRelease, ClaimStep},
};
use tokio::sync::oneshot;

use crate::{control::claim_stream::ClaimStream, shared::Shared};

/// Idle time after which a stream is no longer followed.
const IDLE_MS: Millis = 60_000;

/// Claim streams that this instance follows.
pub(crate) struct Claims {
    shared: Arc<Shared>,
    streams: Vec<Option<ClaimStream>>,
}

impl Claims {
    pub(crate) fn new(shared: Arc<Shared>) -> Claims {
        let n = shared.settings.claims.streams as usize;
        Claims { shared, streams: (0..n).map(|_| None).collect() }
    }

    pub(crate) fn ask(&mut self, ask: ClaimAsk, reply: oneshot::Sender<ClaimReply>, view: &View) {
        let key = key(&ask.organisation, &ask.pipeline, &ask.key);
        self.stream(&key).ask(key, ask, reply, view);
    }

    pub(crate) fn settle(&mut self, settle: &Settle, reply: oneshot::Sender<bool>) {
        let key = key(&settle.organisation, &settle.pipeline, &settle.key);
        let step = match &settle.released {
            Some(it) => ClaimStep::Release(ClaimRelease { reason: it.clone() }),
            None => ClaimStep::Outcome(ClaimOutcome { answer: settle.answer.clone() }),
        };
        let (claimant, call) = (settle.claimant.clone(), settle.call);
        let entry = ClaimEntry { key: key.clone(), claimant, call, step };
        self.stream(&key).push(entry, Some(reply));
    }

    pub(crate) fn records(&mut self, stream: u32, batch: &Batch, view: &View) {
        if let Some(Some(it)) = self.streams.get_mut(stream as usize) {
            it.records(batch, view);
        }
    }

    pub(crate) fn appended(&mut self, stream: u32, offset: Offset, view: &View) {
        if let Some(Some(it)) = self.streams.get_mut(stream as usize) {
            it.appended(offset, view);
        }
    }

    /// Time at which the next group commit may start; `None` if no stream can start one.
    pub(crate) fn due(&self) -> Option<Millis> {
        self.streams.iter().flatten().filter_map(ClaimStream::due).min()
    }

    pub(crate) fn tick(&mut self, now: Millis, view: &View) {
        for stream in &mut self.streams {
            let Some(it) = stream else { continue };
            it.tick(now, view);
            if it.is_idle(now, IDLE_MS) {
                *stream = None;
            }
        }
    }

    fn stream(&mut self, key: &ClaimKey) -> &mut ClaimStream {
        let index = stream_of(key, self.shared.settings.claims.streams);
        let shared = &self.shared;
        self.streams[index as usize].get_or_insert_with(|| ClaimStream::new(shared.clone(), index))
    }
}

fn key(organisation: &str, pipeline: &str, key: &str) -> ClaimKey {
    ClaimKey {
        organisation: organisation.to_owned(),
        pipeline: pipeline.to_owned(),
        key: key.to_owned(),
    }
}
