//! Simulated callers: each reuses a connection until it closes or a request on it is abandoned.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use holdpoint_adapter_standin::{CallerRequest, names};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::timeout;

use crate::{
    Millis,
    caller_connection::{CallerConnection, connect},
    fleet::Clock,
    large_senders::LargeRequest,
    verdict::EVENTS,
};

/// Number of requests that crowds have sent.
static CROWD_REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Longest wait for a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time after its deadline for which a caller still waits for an answer.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(1500);
/// Deadline that requests usually carry.
pub(crate) const DEADLINE_MS: Millis = 2000;
/// Timeout of the requests that callers cancel early.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(30);
/// One request in this many, on average, has the short timeout.
const CANCEL_INTERVAL: u32 = 25;
/// One stream in this many, on average, is left in its middle and resumed.
const LEAVE_INTERVAL: u32 = 6;
/// Random stream for that, kept apart so that the requests of a seed do not depend on it.
const LEAVE_STREAM: u64 = 1;
/// Header that makes the requests of a crowd long, and its length in bytes.
const NOTE: &str = "x-note";
const NOTE_BYTES: usize = 4000;
/// Most tries of a caller that a crowd adds.
const MAX_CROWD_TRIES: usize = 4;
/// Random stream of the callers that a crowd adds.
const CROWD_STREAM: u64 = 2;
/// Pause after a failed connection or a request without a 200 response.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Route of the sample configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Single response; may be retried.
    Safe,
    /// Single response; runs at most once.
    Unsafe,
    /// Stream that may be resumed.
    Story,
    /// Stream that must not be resumed.
    Once,
    /// Resumable stream that follows two pipeline stages.
    Staged,
}

impl Route {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Route::Safe => "/safe/",
            Route::Unsafe => "/unsafe/",
            Route::Story => "/story/",
            Route::Once => "/once/",
            Route::Staged => "/staged/",
        }
    }

    /// Whether the answer is a single body rather than a stream.
    pub(crate) fn is_unary(self) -> bool {
        matches!(self, Route::Safe | Route::Unsafe)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// An answer arrived; its body may be truncated.
    Answer {
        /// HTTP status.
        status: u16,
        /// Signature of the target that answered, if a target did.
        signature: Option<String>,
        /// Body bytes received.
        body: Bytes,
        /// Whether the body was received to its end.
        is_complete: bool,
    },
    /// The connection closed before the response head.
    Closed,
    /// The caller cancelled the request.
    Cancelled,
    /// No complete answer arrived before the caller's timeout.
    TimedOut,
}

impl Outcome {
    /// Whether it is a part of an answer with this many events, after which its caller leaves.
    fn has_events(&self, events: u64) -> bool {
        match self {
            Outcome::Answer { body, is_complete: false, .. } => {
                events <= split_events(body).len() as u64
            }
            _ => false,
        }
    }
}

/// A request of a caller and its outcome.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Request id.
    pub id: String,
    /// Route of the request.
    pub route: Route,
    /// Index of the process that received it.
    pub process: usize,
    /// When it was sent.
    pub sent: Millis,
    /// When its last byte was handed to the system; `None` if that is not known.
    pub written: Option<Millis>,
    /// When its outcome was known.
    pub ended: Millis,
    /// Deadline that the request carried, in milliseconds after it was sent.
    pub deadline_ms: Millis,
    /// Set if the caller resumes a stream.
    pub resumed: Option<Resumed>,
    /// Whether the caller left in the middle of the answer.
    pub has_left: bool,
    /// Size of the large answer that it asks for, in bytes; 0 for a short one.
    pub answer_bytes: usize,
    /// Outcome.
    pub outcome: Outcome,
}

/// The stream that an attempt resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumed {
    /// Id of the attempt that brought its first event.
    pub first_attempt: String,
    /// Number of events that the caller has.
    pub events: u64,
}

impl Attempt {
    /// Method and path that a target must receive.
    pub fn request_line(&self) -> String {
        format!("POST {}", self.route.path())
    }

    /// Whether the answer carries the signature of `target` for this request.
    pub fn is_answered_by(&self, target: &str) -> bool {
        let stamp = format!("stamp-{target}-{}", self.id);
        matches!(&self.outcome, Outcome::Answer { signature: Some(it), .. } if *it == stamp)
    }

    /// Body that a complete successful answer must have.
    pub fn expected_body(&self) -> Bytes {
        if self.answer_bytes != 0 {
            return Bytes::from(vec![b'x'; self.answer_bytes]);
        }
        if self.route.is_unary() {
            return Bytes::from(self.id.clone());
        }
        let first = self.resumed.as_ref().map_or(0, |it| it.events);
        let event = |it| format!("id: {it}\ndata: part {it}\n\n");
        Bytes::from((first..EVENTS).map(event).collect::<String>())
    }

    /// The attempt that began the stream of this one.
    pub(crate) fn first_attempt(&self) -> &str {
        self.resumed.as_ref().map_or(&self.id, |it| &it.first_attempt)
    }

    /// How to resume the stream, if its answer broke off after an event.
    fn resumption(&self) -> Option<Resumed> {
        let Outcome::Answer { status: 200, body, is_complete: false, .. } = &self.outcome else {
            return None;
        };
        if !matches!(self.route, Route::Story | Route::Staged) {
            return None;
        }
        let received = split_events(body).len() as u64;
        let events = self.resumed.as_ref().map_or(0, |it| it.events) + received;
        let first_attempt = self.first_attempt().to_owned();
        (0 < events).then_some(Resumed { first_attempt, events })
    }
}

/// The complete events of a stream.
pub(crate) fn split_events(body: &[u8]) -> Vec<String> {
    let body = String::from_utf8_lossy(body);
    let complete = body.rfind("\n\n").map_or("", |it| &body[..it]);
    complete.split("\n\n").filter(|it| !it.is_empty()).map(str::to_owned).collect()
}

/// State shared by all callers.
pub(crate) struct Callers {
    pub(crate) seed: u64,
    /// Deadline that requests carry.
    pub(crate) deadline_ms: Millis,
    /// Whether callers leave streams and resume them.
    pub(crate) has_returns: bool,
    pub(crate) clock: Clock,
    /// Caller-facing addresses by process; `None` while a process is down.
    pub(crate) addresses: Vec<Mutex<Option<SocketAddr>>>,
    pub(crate) attempts: Mutex<Vec<Attempt>>,
    pub(crate) large_requests: Mutex<Vec<LargeRequest>>,
    pub(crate) is_over: AtomicBool,
}

impl Callers {
    pub(crate) fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.deadline_ms) + ANSWER_MARGIN
    }
}

/// Sends one request on a connection of its own, most often to the crowded process. If the connection is refused or
/// closed without an answer, other processes are tried.
pub(crate) async fn call_in_crowd(callers: Arc<Callers>, crowded: usize, caller: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(callers.seed ^ (caller as u64 + 1) << 32);
    rng.set_stream(CROWD_STREAM);
    let route = [Route::Safe, Route::Unsafe, Route::Story][rng.random_range(0..3)];
    for count in 0..MAX_CROWD_TRIES {
        let drawn = rng.random_range(0..callers.addresses.len());
        let process = if count == 0 && rng.random_range(0..10) != 0 { crowded } else { drawn };
        let address = *callers.addresses[process].lock();
        let connected = match address {
            Some(it) => connect(it, callers.clock).await,
            None => None,
        };
        let Some(mut connection) = connected else { continue };
        // A caller of one crowd and its namesake of another may send in the same millisecond.
        let number = CROWD_REQUESTS.fetch_add(1, Ordering::Relaxed);
        let id = format!("s{}-crowd{caller}-{number}-{count}", callers.seed);
        let sent = callers.clock.now();
        let deadline_ms = callers.deadline_ms;
        let request = request(&id, route, deadline_ms);
        let request = request.with_header(NOTE, &"n".repeat(NOTE_BYTES));
        let limit = callers.answer_timeout();
        let exchanged = timeout(limit, exchange(&mut connection, request, u64::MAX)).await;
        let outcome = exchanged.unwrap_or(Outcome::TimedOut);
        let is_closed = matches!(outcome, Outcome::Closed);
        let ended = callers.clock.now();
        let written = connection.written();
        let attempt = Attempt {
            id,
            route,
            process,
            sent,
            written,
            ended,
            deadline_ms,
            resumed: None,
            has_left: false,
            answer_bytes: 0,
            outcome,
        };
        callers.attempts.lock().push(attempt);
        if !is_closed {
            return;
        }
    }
}

/// Sends requests until the soak is over.
pub(crate) async fn run(callers: Arc<Callers>, caller: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(callers.seed ^ (caller as u64 + 1) << 32);
    let mut leave_rng = ChaCha8Rng::seed_from_u64(callers.seed ^ (caller as u64 + 1) << 32);
    leave_rng.set_stream(LEAVE_STREAM);
    let mut count = 0;
    let mut resumption: Option<(Route, Resumed)> = None;
    while !callers.is_over.load(Ordering::Acquire) {
        let process = rng.random_range(0..callers.addresses.len());
        let address = *callers.addresses[process].lock();
        let connected = match address {
            Some(it) => connect(it, callers.clock).await,
            None => None,
        };
        let Some(mut connection) = connected else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        while connection.is_ready().await && !callers.is_over.load(Ordering::Acquire) {
            count += 1;
            let id = format!("s{}-c{caller}-{count}", callers.seed);
            let drawn = [
                Route::Safe,
                Route::Unsafe,
                Route::Unsafe,
                Route::Story,
                Route::Once,
                Route::Staged,
            ][rng.random_range(0..6)];
            let (route, resumed) = resumption.take().unzip();
            let route = route.unwrap_or(drawn);
            let is_cancelled = rng.random_range(0..CANCEL_INTERVAL) == 0;
            let sent = callers.clock.now();
            let leaves = callers.has_returns && leave_rng.random_range(0..LEAVE_INTERVAL) == 0;
            let events = if leaves { leave_rng.random_range(1..EVENTS) } else { u64::MAX };
            let mut request = request(&id, route, callers.deadline_ms);
            if let Some(it) = &resumed {
                request = request
                    .with_header(names::FIRST_ATTEMPT, &it.first_attempt)
                    .with_header(names::LAST_EVENT, &(it.events - 1).to_string());
            }
            let events = if route.is_unary() { u64::MAX } else { events };
            let limit = callers.answer_timeout();
            let outcome = attempt(&mut connection, request, events, (limit, is_cancelled)).await;
            let is_abandoned = matches!(outcome, Outcome::Cancelled | Outcome::TimedOut);
            let is_served = matches!(outcome, Outcome::Answer { status: 200, .. });
            let ended = callers.clock.now();
            let has_left = outcome.has_events(events);
            let attempt = Attempt {
                id,
                route,
                process,
                sent,
                written: connection.written(),
                ended,
                deadline_ms: callers.deadline_ms,
                resumed,
                has_left,
                answer_bytes: 0,
                outcome,
            };
            resumption = attempt.resumption().map(|it| (route, it));
            callers.attempts.lock().push(attempt);
            // A stream that broke off is resumed on a new connection, most often at another process.
            if is_abandoned || resumption.is_some() {
                break;
            }
            if !is_served {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

pub(crate) fn request(id: &str, route: Route, deadline_ms: Millis) -> CallerRequest {
    let request = CallerRequest::new(id, route.path())
        .with_header(names::DEADLINE, &deadline_ms.to_string())
        .with_body(id.to_owned());
    match route {
        Route::Staged => request.with_items("2,3").with_prompt("a:4000,b:4000,c:3000"),
        _ => request,
    }
}

async fn attempt(
    connection: &mut CallerConnection,
    request: CallerRequest,
    events: u64,
    (limit, is_cancelled): (Duration, bool),
) -> Outcome {
    let limit = if is_cancelled { CANCEL_TIMEOUT } else { limit };
    match timeout(limit, exchange(connection, request, events)).await {
        Ok(it) => it,
        Err(_) if is_cancelled => Outcome::Cancelled,
        Err(_) => Outcome::TimedOut,
    }
}

/// Sends a request, and reads its answer up to this many events.
pub(crate) async fn exchange(
    connection: &mut CallerConnection,
    request: CallerRequest,
    events: u64,
) -> Outcome {
    let Some(answer) = connection.send(request).await else { return Outcome::Closed };
    let (parts, body) = answer.into_parts();
    let signature = parts.headers.get(names::SIGNATURE);
    let signature = signature.and_then(|it| it.to_str().ok()).map(str::to_owned);
    let (body, is_complete) = read(body, events).await;
    Outcome::Answer { status: parts.status.as_u16(), signature, body, is_complete }
}

async fn read(mut body: Incoming, events: u64) -> (Bytes, bool) {
    let mut read = BytesMut::new();
    loop {
        if events != u64::MAX && events <= split_events(&read).len() as u64 {
            return (read.freeze(), false);
        }
        match body.frame().await {
            None => return (read.freeze(), true),
            Some(Err(_)) => return (read.freeze(), false),
            Some(Ok(frame)) => {
                if let Some(it) = frame.data_ref() {
                    read.extend_from_slice(it);
                }
            }
        }
    }
}
