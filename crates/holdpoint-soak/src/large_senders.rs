//! Callers that send requests with too large bodies, and read the answer only after they have sent them.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    Millis,
    callers::{CONNECT_TIMEOUT, Callers, RETRY_PAUSE, Route},
    verdict::{EventTimes, Finding, Invariant},
};

/// Random stream of these callers, apart from those of the other callers.
const SENDERS_STREAM: u64 = 11;
/// Size of a body, and of the parts in which it is sent, in bytes. A multiple of the parts, and more than the system buffers.
const BODY_BYTES: usize = 4 << 20;
const PART_BYTES: usize = 64 << 10;
/// Pauses after each part, in milliseconds.
const PAUSES_MS: [Millis; 3] = [0, 1, 4];
/// Longest time between two requests.
const MAX_REST_MS: Millis = 300;
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time before a request within which its process may have been asked to stop, so that it closes new connections.
const STOP_SPAN_MS: Millis = 1500;

/// Part of the ids of these requests.
const LARGE_MARK: &str = "-large";

/// Whether a request has a too large body. A process without a configuration does not know the limit, and may run it.
pub(crate) fn is_large(id: &str) -> bool {
    id.contains(LARGE_MARK)
}

/// A request with a too large body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LargeRequest {
    /// Index of the process that received it.
    pub process: usize,
    /// When its first byte was sent.
    pub sent: Millis,
    /// When its outcome was known.
    pub ended: Millis,
    /// Bytes of the body that were sent.
    pub sent_bytes: usize,
    /// Whether an answer arrived after the whole body was sent.
    pub is_answered: bool,
}

/// Checks that callers can send their requests whole and read the answer, unless the process was interrupted.
pub fn judge_large(requests: &[LargeRequest], interruptions: &EventTimes) -> Vec<Finding> {
    let is_excused = |it: &LargeRequest| {
        let span = it.sent.saturating_sub(STOP_SPAN_MS)..=it.ended;
        interruptions.get(&it.process).into_iter().flatten().any(|at| span.contains(at))
    };
    let finding = |it: &LargeRequest| Finding {
        invariant: Invariant::Answered,
        id: format!("p{}", it.process),
        at: it.sent,
        detail: format!(
            "large request without an answer after {} bytes and {} ms",
            it.sent_bytes,
            it.ended - it.sent
        ),
    };
    requests.iter().filter(|it| !it.is_answered && !is_excused(it)).map(finding).collect()
}

/// Sends requests until the soak is over.
pub(crate) async fn run(callers: Arc<Callers>, sender: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(callers.seed ^ (sender as u64 + 1) << 32);
    rng.set_stream(SENDERS_STREAM);
    let mut count = 0;
    while !callers.is_over.load(Ordering::Acquire) {
        count += 1;
        let id = format!("s{}{LARGE_MARK}{sender}-{count}", callers.seed);
        let process = rng.random_range(0..callers.addresses.len());
        let pause = Duration::from_millis(PAUSES_MS[rng.random_range(0..PAUSES_MS.len())]);
        let rest = rng.random_range(0..MAX_REST_MS);
        let address = *callers.addresses[process].lock();
        let Some(mut stream) = connect(address).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let sent = callers.clock.now();
        let mut sent_bytes = 0;
        let exchanged = exchange(&mut stream, &id, pause, &mut sent_bytes).await;
        let (ended, is_answered) = (callers.clock.now(), exchanged.is_ok());
        let request = LargeRequest { process, sent, ended, sent_bytes, is_answered };
        callers.large_requests.lock().push(request);
        sleep(Duration::from_millis(rest)).await;
    }
}

async fn connect(address: Option<SocketAddr>) -> Option<TcpStream> {
    timeout(CONNECT_TIMEOUT, TcpStream::connect(address?)).await.ok()?.ok()
}

/// Sends a request part by part, and waits for the begin of its answer.
async fn exchange(
    stream: &mut TcpStream,
    id: &str,
    pause: Duration,
    sent_bytes: &mut usize,
) -> io::Result<()> {
    let path = Route::Unsafe.path();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer key-1\r\n\
         holdpoint-request-id: {id}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let part = vec![b'x'; PART_BYTES];
    while *sent_bytes < BODY_BYTES {
        timeout(ANSWER_TIMEOUT, stream.write_all(&part)).await??;
        *sent_bytes += PART_BYTES;
        sleep(pause).await;
    }
    timeout(ANSWER_TIMEOUT, stream.read_u8()).await??;
    Ok(())
}
