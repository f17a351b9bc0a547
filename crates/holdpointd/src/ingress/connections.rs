//! Connections to target instances: made when needed, kept for the next request, used with care.

use std::{collections::HashMap, io, time::Duration};

use bytes::Bytes;
use holdpoint_core::{
    directory::{TargetId, TargetInstance},
    ids::Name,
    ingress::Configuration,
};
use holdpoint_platform::Instant;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::{net::TcpStream, task::AbortHandle};

use crate::ingress::gate::Clearance;

/// How long sent bytes may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);
/// How long a connection may rest whose target states no limit.
const USUAL_REST: Duration = Duration::from_secs(4);
/// How long before a stated limit a connection is no longer used.
const REST_MARGIN: Duration = Duration::from_millis(700);
/// How long a connection may have rested that carries a request which may run only once.
const CAREFUL_REST: Duration = Duration::from_millis(1500);
/// Most bytes that the HTTP library reads ahead of an answer: its own bound fills the memory with answers that
/// nobody reads.
const READ_BUFFER: usize = 16 << 10;
/// Connections at rest to one target as long as its service is not known.
const USUAL_AT_REST: usize = 1;

/// How carefully a connection is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Care {
    /// The request may run again if the connection proves to be closing.
    Usual,
    /// It may not.
    Once,
}

/// How a target can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// A connection that rests there is open.
    Resting,
    /// A connection can be made.
    New,
    /// Neither.
    None,
}

/// A connection in use. Dropping it closes it at once, so that the target stops its work.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    pub(crate) target: TargetId,
    service: Name,
    task: Option<AbortHandle>,
}

impl Connection {
    /// Sends a request; an error that bears it tells that no byte was sent.
    pub(crate) async fn send(
        &mut self,
        _: Clearance,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sender.try_send_request(request).await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(it) = self.task.take() {
            it.abort();
        }
    }
}

#[derive(Debug)]
struct Resting {
    connection: Connection,
    since: Instant,
    limit: Duration,
}

/// Connections of one instance to all targets.
#[derive(Debug)]
pub(crate) struct Connections {
    connect: Duration,
    resting: Mutex<HashMap<TargetId, Vec<Resting>>>,
    /// Most connections at rest to one target, by service.
    at_rest: Mutex<HashMap<Name, usize>>,
}

impl Connections {
    /// Makes an empty set; making a connection may take `connect`.
    pub(crate) fn new(connect: Duration) -> Connections {
        Connections { connect, resting: Mutex::default(), at_rest: Mutex::default() }
    }

    /// Takes in how many instances share the connections that targets take.
    pub(crate) fn configure(&self, configuration: &Configuration, instances: usize) {
        let services = configuration.services.values();
        let at_rest = services.map(|it| (it.name.clone(), it.at_rest(instances)));
        *self.at_rest.lock() = at_rest.collect();
    }

    /// Takes a connection at rest or makes one. An error means that nothing was sent.
    pub(crate) async fn take(&self, target: &TargetInstance, care: Care) -> io::Result<Connection> {
        if let Some(it) = self.take_resting(&target.id, care) {
            return Ok(it);
        }
        self.make(target).await
    }

    async fn make(&self, target: &TargetInstance) -> io::Result<Connection> {
        let made = tokio::time::timeout(self.connect, connect(&target.address)).await;
        let (sender, task) = made.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let (target, service) = (target.id.clone(), target.service.clone());
        Ok(Connection { sender, target, service, task: Some(task) })
    }

    /// How a target can be reached. A connection that is made for it is kept.
    pub(crate) async fn reach(&self, target: &TargetInstance) -> Reach {
        let is_open = |it: &Resting| it.connection.sender.is_ready();
        if self.resting.lock().get(&target.id).is_some_and(|it| it.iter().any(is_open)) {
            return Reach::Resting;
        }
        match self.make(target).await {
            Ok(it) => {
                self.give_back(it, None);
                Reach::New
            }
            Err(_) => Reach::None,
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn give_back(&self, connection: Connection, idle_limit: Option<Duration>) {
        let limit = idle_limit.map_or(USUAL_REST, |it| it.saturating_sub(REST_MARGIN));
        if limit.is_zero() || connection.sender.is_closed() {
            return;
        }
        let most = self.at_rest.lock().get(&connection.service).copied().unwrap_or(USUAL_AT_REST);
        let mut all = self.resting.lock();
        let resting = all.entry(connection.target.clone()).or_default();
        resting.push(Resting { connection, since: Instant::now(), limit });
        if most < resting.len() {
            resting.remove(0);
        }
    }

    /// Closes the connections at rest of all other targets.
    pub(crate) fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        self.resting.lock().retain(|id, _| is_kept(id));
    }

    /// Closes the connections that have rested too long.
    pub(crate) fn sweep(&self) {
        let mut all = self.resting.lock();
        for resting in all.values_mut() {
            resting.retain(|it| it.is_usable(Care::Usual));
        }
        all.retain(|_, it| !it.is_empty());
    }

    fn take_resting(&self, target: &str, care: Care) -> Option<Connection> {
        let mut all = self.resting.lock();
        let resting = all.get_mut(target)?;
        // The one that rested least is the least likely to be closing.
        while let Some(it) = resting.pop() {
            if it.is_usable(care) {
                return Some(it.connection);
            }
        }
        None
    }
}

impl Resting {
    fn is_usable(&self, care: Care) -> bool {
        let rested = self.since.elapsed();
        let limit = match care {
            Care::Usual => self.limit,
            Care::Once => self.limit.min(CAREFUL_REST),
        };
        rested < limit && self.connection.sender.is_ready()
    }
}

/// Connects to an address; the connection runs as a task of its own.
pub(crate) async fn connect(address: &str) -> io::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
    let stream = TcpStream::connect(address).await?;
    guard(&stream)?;
    let making = http1::Builder::new().max_buf_size(READ_BUFFER).handshake(TokioIo::new(stream));
    let (sender, connection) = making.await.map_err(io::Error::other)?;
    let task = tokio::spawn(async move { drop(connection.await) });
    Ok((sender, task.abort_handle()))
}

/// Sets what keeps a connection quick and lets a dead link be noticed.
pub(crate) fn guard(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
