//! Callers: each keeps its connection in use until its process is gone.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use holdpoint_adapter_standin::{CallerRequest, names, send_on};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpStream, time::timeout};

use crate::{Millis, fleet::Clock, verdict::EVENTS};

/// How long a caller waits for an answer at the most; its request says 2 s.
const PATIENCE: Duration = Duration::from_millis(3500);
/// How long a caller waits who leaves early.
const EARLY: Duration = Duration::from_millis(30);
/// One in so many requests is left early.
const LEAVES_EVERY: u32 = 25;
/// Pause of a caller who was not served.
const PAUSE: Duration = Duration::from_millis(10);

/// A route of the sample configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// May be repeated.
    Safe,
    /// At most once.
    Unsafe,
    /// A stream that may be resumed.
    Story,
    /// A stream that may not.
    Once,
    /// A stream that may be resumed, after two stages.
    Staged,
}

impl Route {
    fn path(self) -> &'static str {
        match self {
            Route::Safe => "/safe/",
            Route::Unsafe => "/unsafe/",
            Route::Story => "/story/",
            Route::Once => "/once/",
            Route::Staged => "/staged/",
        }
    }

    /// Whether its answer is one whole body, not a stream.
    pub(crate) fn has_whole_answer(self) -> bool {
        matches!(self, Route::Safe | Route::Unsafe)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// With an answer, whose body may have been cut off.
    Answer {
        /// Status.
        status: u16,
        /// Signature of the target that answered.
        signature: Option<String>,
        /// Body, as far as it came.
        body: Bytes,
        /// Whether it came to its end.
        is_whole: bool,
    },
    /// The connection closed without the head of an answer.
    Closed,
    /// The caller left.
    Left,
    /// Nothing came in time.
    Silent,
}

/// One request of one caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the request.
    pub id: String,
    /// Route that it was sent on.
    pub route: Route,
    /// Process that it was sent to.
    pub process: usize,
    /// When it was sent.
    pub sent: Millis,
    /// When its end was seen.
    pub ended: Millis,
    /// How it ended.
    pub outcome: Outcome,
}

impl Attempt {
    /// Request line that a target must see.
    pub fn line(&self) -> String {
        format!("POST {}", self.route.path())
    }

    /// Whether it ended with an answer of a target.
    pub fn is_answered_by(&self, target: &str) -> bool {
        let stamp = format!("stamp-{target}-{}", self.id);
        matches!(&self.outcome, Outcome::Answer { signature: Some(it), .. } if *it == stamp)
    }

    /// Body of a whole answer.
    pub fn expected(&self) -> Bytes {
        if self.route.has_whole_answer() {
            return Bytes::from(self.id.clone());
        }
        Bytes::from(
            (0..EVENTS).map(|it| format!("id: {it}\ndata: part {it}\n\n")).collect::<String>(),
        )
    }
}

/// What callers share.
pub(crate) struct Callers {
    pub(crate) seed: u64,
    pub(crate) clock: Clock,
    /// Callers' addresses of the processes; none while one is down.
    pub(crate) addresses: Vec<Mutex<Option<SocketAddr>>>,
    pub(crate) attempts: Mutex<Vec<Attempt>>,
    pub(crate) is_over: AtomicBool,
}

/// Sends requests until the soak is over.
pub(crate) async fn run(callers: Arc<Callers>, caller: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(callers.seed ^ (caller as u64 + 1) << 32);
    let mut count = 0;
    while !callers.is_over.load(Ordering::Acquire) {
        let process = rng.random_range(0..callers.addresses.len());
        let address = *callers.addresses[process].lock();
        let connected = match address {
            Some(it) => connect(it).await,
            None => None,
        };
        let Some(mut sender) = connected else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        while sender.ready().await.is_ok() && !callers.is_over.load(Ordering::Acquire) {
            count += 1;
            let id = format!("s{}-c{caller}-{count}", callers.seed);
            let route = [
                Route::Safe,
                Route::Unsafe,
                Route::Unsafe,
                Route::Story,
                Route::Once,
                Route::Staged,
            ][rng.random_range(0..6)];
            let leaves = rng.random_range(0..LEAVES_EVERY) == 0;
            let sent = callers.clock.now();
            let outcome = attempt(&mut sender, &id, route, leaves).await;
            let is_left = matches!(outcome, Outcome::Left | Outcome::Silent);
            let is_served = matches!(outcome, Outcome::Answer { status: 200, .. });
            let ended = callers.clock.now();
            callers.attempts.lock().push(Attempt { id, route, process, sent, ended, outcome });
            if is_left {
                break;
            }
            if !is_served {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

pub(crate) async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(PATIENCE, TcpStream::connect(address)).await.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

async fn attempt(
    sender: &mut SendRequest<Full<Bytes>>,
    id: &str,
    route: Route,
    leaves: bool,
) -> Outcome {
    let mut request = CallerRequest::new(id, route.path()).with_body(id.to_owned());
    if route == Route::Staged {
        request = request.with_pieces("2,3").with_prompt("a:4000,b:4000,c:3000");
    }
    let limit = if leaves { EARLY } else { PATIENCE };
    match timeout(limit, exchange(sender, request)).await {
        Ok(it) => it,
        Err(_) if leaves => Outcome::Left,
        Err(_) => Outcome::Silent,
    }
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, request: CallerRequest) -> Outcome {
    let Some(answer) = send_on(sender, request).await else { return Outcome::Closed };
    let (parts, body) = answer.into_parts();
    let signature = parts.headers.get(names::SIGNATURE);
    let signature = signature.and_then(|it| it.to_str().ok()).map(str::to_owned);
    let (body, is_whole) = read(body).await;
    Outcome::Answer { status: parts.status.as_u16(), signature, body, is_whole }
}

async fn read(mut body: Incoming) -> (Bytes, bool) {
    let mut read = BytesMut::new();
    loop {
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
