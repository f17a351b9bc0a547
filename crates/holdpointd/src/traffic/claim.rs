//! Claims idempotency keys and records their outcomes for the traffic threads.
//!
//! Asks the writer of the key's stream; if that fails, this instance writes the record itself.

use std::{sync::Arc, time::Duration};

use holdpoint_core::{claims::stream_of, ids::Millis};
use holdpoint_schema::{
    peer::{ClaimAsk, ClaimReply, Settle},
    records::ClaimKey,
};
use tokio::sync::oneshot;

use crate::{control::Input, shared::Shared};

/// Largest answer that is recorded. The outcome of a larger one is recorded as unknown.
const MAX_RECORDED_BYTES: usize = 256 << 10;
/// Timeout of one attempt to record an outcome.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Pause between attempts to record an outcome.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// The writer of a stream gets the remaining time divided by this.
const WRITER_DIVISOR: Millis = 4;
/// Allowance for the network round trip to a writer, in milliseconds.
const NETWORK_MS: Millis = 20;

/// Claim of a call that may not be repeated.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) key: ClaimKey,
    pub(crate) body_hash: String,
    pub(crate) call: u64,
}

/// Claims a key. [`ClaimReply::Silent`] means that the log did not answer in time.
///
/// The writer gets only part of the remaining time, so that this instance can still write the claim
/// if the writer is unreachable. If both write it, the log decides; this costs an extra append.
pub(crate) async fn claim(shared: &Arc<Shared>, claim: &Claim, deadline: Millis) -> ClaimReply {
    let remaining = || deadline.saturating_sub(shared.clock.now());
    let mut last = ClaimReply::Silent;
    if let Some(writer) = writer(shared, &claim.key) {
        let part = remaining() / WRITER_DIVISOR;
        last = ask_writer(shared, &writer, ask(shared, claim, part)).await;
    }
    if is_undecided(&last) && 0 < remaining() {
        last = claim_locally(shared, ask(shared, claim, remaining())).await;
    }
    last
}

/// Whether another attempt may give a different reply.
fn is_undecided(reply: &ClaimReply) -> bool {
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
    let limit = Duration::from_millis(ask.patience_ms + NETWORK_MS);
    let call = shared
        .peers
        .call(writer, limit, |client, context| async move { client.claim(context, ask).await });
    call.await.unwrap_or(ClaimReply::Silent)
}

async fn claim_locally(shared: &Arc<Shared>, ask: ClaimAsk) -> ClaimReply {
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

/// Records in the background the answer of a call; without one its outcome is recorded as unknown.
pub(crate) fn settle(shared: &Arc<Shared>, claim: &Claim, answer: Option<String>) {
    record(shared, claim, None, answer.filter(|it| it.len() <= MAX_RECORDED_BYTES));
}

/// Retries until the outcome is recorded. A planned stop waits for it, up to the stop's own limit.
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
    let in_flight = shared.in_flight.start();
    tokio::spawn(async move {
        while !record_once(&shared, &key, &settle).await {
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
        drop(in_flight);
    });
}

async fn record_once(shared: &Arc<Shared>, key: &ClaimKey, settle: &Settle) -> bool {
    if let Some(writer) = writer(shared, key) {
        let request = settle.clone();
        let call = shared.peers.call(&writer, SETTLE_TIMEOUT, |client, context| async move {
            client.settle(context, request).await
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
