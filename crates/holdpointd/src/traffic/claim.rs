//! Claims as the traffic threads make them: ask the writer of the key's stream, or write it here.

use std::{sync::Arc, time::Duration};

use holdpoint_core::{claims::stream_of, ids::Millis};
use holdpoint_schema::{
    peer::{ClaimAsk, ClaimReply, Settle},
    records::ClaimKey,
};
use tokio::sync::oneshot;

use crate::{control::Input, shared::Shared};

/// Largest answer that is recorded, in bytes. The outcome of a larger one is recorded as unknown.
const MAX_RECORDED: usize = 256 << 10;
/// How long one try to record an outcome may take.
const SETTLE_LIMIT: Duration = Duration::from_millis(2000);
/// Pause between two tries.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// The writer of a stream gets one of so many parts of the patience.
const WRITER_PART: Millis = 4;
/// What the network may add to a writer's answer, in milliseconds.
const HOP_MS: Millis = 20;

/// One call that may not be repeated.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) key: ClaimKey,
    pub(crate) body_hash: String,
    pub(crate) call: u64,
}

/// Claims a key. [`ClaimReply::Silent`] means that the log did not say in time.
///
/// The writer gets a part of the patience only: one that is cut off must leave time to write the
/// claim here. Two writers cost an append more; the log decides between them.
pub(crate) async fn claim(shared: &Arc<Shared>, claim: &Claim, until: Millis) -> ClaimReply {
    let left = || until.saturating_sub(shared.clock.now());
    let mut last = ClaimReply::Silent;
    if let Some(writer) = writer(shared, &claim.key) {
        let part = left() / WRITER_PART;
        last = ask_writer(shared, &writer, ask(shared, claim, part)).await;
    }
    if is_open(&last) && 0 < left() {
        last = ask_here(shared, ask(shared, claim, left())).await;
    }
    last
}

/// Whether waiting longer may give another answer.
fn is_open(reply: &ClaimReply) -> bool {
    matches!(reply, ClaimReply::Silent | ClaimReply::Held(_))
}

fn ask(shared: &Shared, claim: &Claim, patience_ms: Millis) -> ClaimAsk {
    ClaimAsk {
        organisation: claim.key.organisation.clone(),
        pipeline: claim.key.pipeline.clone(),
        key: claim.key.key.clone(),
        body_hash: claim.body_hash.clone(),
        claimant: shared.incarnation.clone(),
        call: claim.call,
        patience_ms,
    }
}

async fn ask_writer(shared: &Arc<Shared>, writer: &str, ask: ClaimAsk) -> ClaimReply {
    let limit = Duration::from_millis(ask.patience_ms + HOP_MS);
    let call = shared
        .peers
        .call(writer, limit, |client, context| async move { client.claim(context, ask).await });
    call.await.unwrap_or(ClaimReply::Silent)
}

async fn ask_here(shared: &Arc<Shared>, ask: ClaimAsk) -> ClaimReply {
    let (reply, answer) = oneshot::channel();
    if shared.control.send(Input::Claim { ask, reply }).await.is_err() {
        return ClaimReply::Silent;
    }
    answer.await.unwrap_or(ClaimReply::Silent)
}

/// Records in the background that nothing was sent under a claim.
pub(crate) fn release(shared: &Arc<Shared>, claim: &Claim, reason: &str) {
    record(shared, claim, Some(reason.to_owned()), None);
}

/// Records in the background how a call ended; without an answer its outcome is unknown.
pub(crate) fn settle(shared: &Arc<Shared>, claim: &Claim, answer: Option<String>) {
    record(shared, claim, None, answer.filter(|it| it.len() <= MAX_RECORDED));
}

/// Tries until it has landed. A planned stop waits for it, within its limit.
fn record(shared: &Arc<Shared>, claim: &Claim, released: Option<String>, answer: Option<String>) {
    let settle = Settle {
        organisation: claim.key.organisation.clone(),
        pipeline: claim.key.pipeline.clone(),
        key: claim.key.key.clone(),
        claimant: shared.incarnation.clone(),
        call: claim.call,
        released,
        answer,
    };
    let (shared, key) = (shared.clone(), claim.key.clone());
    let working = shared.in_flight.start();
    tokio::spawn(async move {
        while !record_once(&shared, &key, &settle).await {
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
        drop(working);
    });
}

async fn record_once(shared: &Arc<Shared>, key: &ClaimKey, settle: &Settle) -> bool {
    if let Some(writer) = writer(shared, key) {
        let asked = settle.clone();
        let call = shared.peers.call(&writer, SETTLE_LIMIT, |client, context| async move {
            client.settle(context, asked).await
        });
        if call.await == Ok(true) {
            return true;
        }
    }
    let (reply, answer) = oneshot::channel();
    if shared.control.send(Input::Settle { settle: settle.clone(), reply }).await.is_err() {
        return true;
    }
    answer.await.unwrap_or(false)
}

fn writer(shared: &Shared, key: &ClaimKey) -> Option<String> {
    let stream = stream_of(key, shared.settings.claims.streams) as usize;
    let writer = shared.now().claim_writers.get(stream).cloned().flatten();
    writer.filter(|it| !shared.peers.is_suspect(it))
}
