//! Callers that read large answers slowly, and keep their connections open between requests.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::BytesMut;
use holdpoint_adapter_standin::{CallerRequest, names};
use http_body_util::BodyExt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use crate::{
    Millis,
    caller_connection::{CallerConnection, READ_BYTES, connect_narrow},
    callers::{ANSWER_MARGIN, Attempt, Callers, Outcome, RETRY_PAUSE, Route},
};

/// Random stream of these callers, apart from those of the other callers.
const READERS_STREAM: u64 = 10;
/// Size of an answer, in bytes: more than the process, the system and the caller buffer. A multiple of the chunks in
/// which targets send it.
const ANSWER_BYTES: usize = 320 << 10;
/// Pauses after each read, in milliseconds.
const PAUSES_MS: [Millis; 3] = [5, 15, 30];
/// Shortest deadline that the requests carry, in milliseconds; no timeout of a route is shorter.
const READ_DEADLINE_MS: Millis = 2600;
/// Bounds on the time for which a connection rests between two requests, in milliseconds: about the idle limits that
/// configurations set.
const MAX_RESTS_MS: [Millis; 3] = [40, 400, 1200];

/// Sends requests until the soak is over.
pub(crate) async fn run(callers: Arc<Callers>, reader: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(callers.seed ^ (reader as u64 + 1) << 32);
    rng.set_stream(READERS_STREAM);
    let mut count = 0;
    while !callers.is_over.load(Ordering::Acquire) {
        let process = rng.random_range(0..callers.addresses.len());
        let address = *callers.addresses[process].lock();
        let connected = match address {
            Some(it) => connect_narrow(it, callers.clock).await,
            None => None,
        };
        let Some(mut connection) = connected else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        while connection.is_ready().await && !callers.is_over.load(Ordering::Acquire) {
            count += 1;
            let id = format!("s{}-slow{reader}-{count}", callers.seed);
            let pause = PAUSES_MS[rng.random_range(0..PAUSES_MS.len())];
            let max_rest = MAX_RESTS_MS[rng.random_range(0..MAX_RESTS_MS.len())];
            let rest = rng.random_range(0..max_rest);
            let attempt = attempt(&callers, &mut connection, (id, process), pause).await;
            let is_abandoned = matches!(attempt.outcome, Outcome::TimedOut);
            callers.attempts.lock().push(attempt);
            if is_abandoned {
                break;
            }
            sleep(Duration::from_millis(rest)).await;
        }
    }
}

async fn attempt(
    callers: &Callers,
    connection: &mut CallerConnection,
    (id, process): (String, usize),
    pause: Millis,
) -> Attempt {
    let route = Route::Safe;
    let deadline_ms = callers.deadline_ms.max(READ_DEADLINE_MS);
    let request = CallerRequest::new(&id, route.path())
        .with_body(id.clone())
        .with_header(names::DEADLINE, &deadline_ms.to_string())
        .with_header(names::ANSWER_BYTES, &ANSWER_BYTES.to_string());
    let sent = callers.clock.now();
    let limit = Duration::from_millis(deadline_ms) + ANSWER_MARGIN;
    let exchanged = timeout(limit, exchange(connection, request, pause)).await;
    let outcome = exchanged.unwrap_or(Outcome::TimedOut);
    let (written, ended) = (connection.written(), callers.clock.now());
    Attempt {
        id,
        route,
        process,
        sent,
        written,
        ended,
        deadline_ms,
        resumed: None,
        has_left: false,
        answer_bytes: ANSWER_BYTES,
        outcome,
    }
}

/// Sends a request, and reads its answer with a pause after each part.
async fn exchange(
    connection: &mut CallerConnection,
    request: CallerRequest,
    pause: Millis,
) -> Outcome {
    let Some(answer) = connection.send(request).await else { return Outcome::Closed };
    let (parts, mut body) = answer.into_parts();
    let signature = parts.headers.get(names::SIGNATURE);
    let signature = signature.and_then(|it| it.to_str().ok()).map(str::to_owned);
    let mut read = BytesMut::new();
    let mut pauses = 0;
    let is_complete = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                if let Some(it) = frame.data_ref() {
                    read.extend_from_slice(it);
                }
            }
        }
        if pauses < read.len() / READ_BYTES {
            pauses += 1;
            sleep(Duration::from_millis(pause)).await;
        }
    };
    let (status, body) = (parts.status.as_u16(), read.freeze());
    Outcome::Answer { status, signature, body, is_complete }
}
