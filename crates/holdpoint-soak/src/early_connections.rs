//! Callers that connect some time before they send their request, the only one on its connection.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use crate::{
    Millis,
    caller_connection::connect,
    callers::{Attempt, Callers, Outcome, RETRY_PAUSE, Route, exchange, request},
};

/// Random stream of these callers, apart from those of the other callers.
const EARLY_STREAM: u64 = 12;
/// Longest time from the connection to the request.
const MAX_WAIT_MS: Millis = 300;

/// Sends requests until the soak is over.
pub(crate) async fn run(callers: Arc<Callers>, caller: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(callers.seed ^ (caller as u64 + 1) << 32);
    rng.set_stream(EARLY_STREAM);
    let mut count = 0;
    while !callers.is_over.load(Ordering::Acquire) {
        count += 1;
        let id = format!("s{}-early{caller}-{count}", callers.seed);
        let route = [Route::Safe, Route::Unsafe, Route::Story][rng.random_range(0..3)];
        let process = rng.random_range(0..callers.addresses.len());
        let wait = Duration::from_millis(rng.random_range(0..MAX_WAIT_MS));
        let address = *callers.addresses[process].lock();
        let connected = match address {
            Some(it) => connect(it, callers.clock).await,
            None => None,
        };
        let Some(mut connection) = connected else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        sleep(wait).await;
        let sent = callers.clock.now();
        let deadline_ms = callers.deadline_ms;
        let request = request(&id, route, deadline_ms);
        let exchanged = exchange(&mut connection, request, u64::MAX);
        let outcome = timeout(callers.answer_timeout(), exchanged).await;
        let attempt = Attempt {
            id,
            route,
            process,
            sent,
            written: connection.written(),
            ended: callers.clock.now(),
            deadline_ms,
            resumed: None,
            has_left: false,
            answer_bytes: 0,
            outcome: outcome.unwrap_or(Outcome::TimedOut),
        };
        callers.attempts.lock().push(attempt);
    }
}
