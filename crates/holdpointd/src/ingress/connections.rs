//! Pool of connections to targets. Idle connections are kept for later requests, as long as the target is
//! unlikely to close them.

mod release;

use std::{
    collections::{HashMap, HashSet},
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use holdpoint_core::{directory::TargetInstance, ids::Name, ingress::Configuration};
use holdpoint_platform::Instant;
use holdpoint_schema::ingress::IngressSettings;
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
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
};

use crate::{
    events::{self, emit},
    ingress::{
        counted_stream::{ByteCounter, CountedStream},
        gate::Clearance,
        own_load::Traffic,
    },
    metrics::{Metrics, label},
};

pub(crate) use self::release::ReleaseConnection;

/// How long sent bytes may stay unacknowledged before the system closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time in which a new connection over a lost path is reset.
const RESET_DELAY: Duration = Duration::from_millis(10);
/// Longest idle time of a connection whose target states no limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time before a target's stated idle limit at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Longest idle time of a connection for a request that may run only once.
const SINGLE_RUN_IDLE: Duration = Duration::from_millis(1500);
/// Read buffer of the HTTP library for one connection. Its default would fill the memory with answers that
/// callers do not read.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Maximum number of idle connections to one target whose service is not configured.
const DEFAULT_IDLE_COUNT: usize = 1;
/// Maximum number of idle connections to one peer that relays requests.
const MAX_IDLE_RELAYS: usize = 8;

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// All: the request may run again if the connection turns out to be closing.
    Any,
    /// Only recently used ones: the request may not run again.
    RecentOnly,
}

/// How a target can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// An idle connection to it is open.
    Resting,
    /// A new connection can be made.
    New,
    /// Only through a peer.
    Peer,
    /// Not at all.
    None,
    /// Unknown: this instance and the peers that it asked are cut off themselves.
    Unknown,
}

/// A connection in use. Dropping it closes it at once, so that the target cancels its work.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Id of the target, or address of the peer that relays.
    remote: String,
    /// Service of the target; `None` for a connection to a peer.
    service: Option<Name>,
    last: LastExchange,
    task: Option<AbortHandle>,
}

/// The last exchange on a connection.
#[derive(Debug)]
enum LastExchange {
    /// Nothing was sent yet, so that the next answer is to the next request.
    None,
    /// It is not known whether bytes that arrive from now on belong to it.
    Open,
    /// Its answer named this id, and so will a second answer that arrives later.
    Named(String),
}

impl Connection {
    /// Whether it leads to a peer that relays requests to targets.
    pub(crate) fn is_relayed(&self) -> bool {
        self.service.is_none()
    }

    /// Id of the target, or address of the peer that relays.
    pub(crate) fn remote(&self) -> &str {
        &self.remote
    }

    /// Whether nothing was sent on it yet.
    pub(crate) fn is_fresh(&self) -> bool {
        matches!(self.last, LastExchange::None)
    }

    /// Whether it may carry nothing more, since the last answer named no exchange.
    pub(crate) fn is_spent(&self) -> bool {
        matches!(self.last, LastExchange::Open)
    }

    /// Records that the answer to what was sent last named this id. Without that, the connection is not kept.
    pub(crate) fn record_named(&mut self, id: &str) {
        self.last = LastExchange::Named(id.to_owned());
    }

    /// Sends a request. An error that returns the request means that no byte was sent.
    pub(crate) async fn send(
        &mut self,
        _: Clearance,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.last = LastExchange::Open;
        self.sender.try_send_request(request).await
    }

    /// Whether it may carry an exchange with this id: a second answer to the last one must not carry the same id.
    fn is_distinct(&self, id: &str) -> bool {
        match &self.last {
            LastExchange::None => true,
            LastExchange::Open => false,
            LastExchange::Named(last) => last != id,
        }
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
struct IdleConnection {
    connection: Connection,
    since: Instant,
    limit: Duration,
}

/// Connections of an instance to all targets.
#[derive(Debug)]
pub(crate) struct Connections {
    instance: Name,
    /// Address that connections are made from; the system's choice if `None`.
    source: Option<IpAddr>,
    connect_timeout: Duration,
    metrics: Arc<Metrics>,
    traffic: Traffic,
    /// Idle connections by target, or by the address of a peer that relays.
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
    idle_releases: release::IdleReleases,
    /// Maximum number of idle connections to one target, by service.
    max_idle: Mutex<HashMap<Name, usize>>,
    /// Services that run stages.
    stage_services: Mutex<HashSet<Name>>,
}

impl Connections {
    /// Creates an empty pool.
    pub(crate) fn new(
        settings: &IngressSettings,
        metrics: Arc<Metrics>,
        traffic: &Traffic,
    ) -> Connections {
        Connections {
            instance: settings.instance.clone(),
            source: settings.source_address.parse().ok(),
            connect_timeout: Duration::from_millis(settings.timing.connect_ms),
            metrics,
            traffic: traffic.clone(),
            idle: Mutex::default(),
            idle_releases: release::IdleReleases::default(),
            max_idle: Mutex::default(),
            stage_services: Mutex::default(),
        }
    }

    /// Applies a configuration: the idle connections of a service's targets are divided among the instances.
    pub(crate) fn configure(&self, configuration: &Configuration, instances: usize) {
        let services = configuration.services.values();
        let max_idle = services.map(|it| (it.name.clone(), it.idle_connections(instances)));
        *self.max_idle.lock() = max_idle.collect();
        let stages = configuration.services.values().filter(|it| it.batches.is_some());
        *self.stage_services.lock() = stages.map(|it| it.name.clone()).collect();
    }

    /// Makes a connection to a target.
    pub(crate) async fn make(&self, target: &TargetInstance) -> io::Result<Connection> {
        let begun = Instant::now();
        let made = tokio::time::timeout(self.connect_timeout, self.connect(target)).await;
        let made = made.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)));
        self.record_connect(target, begun, made.as_ref().err());
        let (sender, task) = made?;
        let (remote, service) = (target.id.clone(), Some(target.service.clone()));
        Ok(Connection { sender, remote, service, last: LastExchange::None, task: Some(task) })
    }

    /// Makes a connection to a target, and waits for a moment whether it is reset: on a lost path that may happen only
    /// after it was made.
    pub(crate) async fn make_checked(&self, target: &TargetInstance) -> io::Result<Connection> {
        let made = self.make(target).await?;
        tokio::time::sleep(RESET_DELAY).await;
        if made.sender.is_closed() {
            return Err(io::Error::from(io::ErrorKind::ConnectionReset));
        }
        Ok(made)
    }

    /// Takes an idle connection to a peer that relays requests, or makes a new one, for an exchange with this id.
    pub(crate) async fn take_peer(
        &self,
        address: &str,
        reuse: Reuse,
        id: &str,
    ) -> io::Result<Connection> {
        if let Some(it) = self.take_idle(address, reuse, id) {
            return Ok(it);
        }
        let made =
            tokio::time::timeout(self.connect_timeout, connect(address, &self.traffic.peers));
        let made = made.await;
        let (sender, task) = made.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let (remote, last) = (address.to_owned(), LastExchange::None);
        Ok(Connection { sender, remote, service: None, last, task: Some(task) })
    }

    async fn connect(
        &self,
        target: &TargetInstance,
    ) -> io::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
        let runs_stages = self.stage_services.lock().contains(&target.service);
        let traffic = if runs_stages { &self.traffic.stages } else { &self.traffic.targets };
        let address = target.address.as_str();
        let Some(source) = self.source else { return connect(address, traffic).await };
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.bind(SocketAddr::new(source, 0))?;
        start_http(socket.connect(address).await?, traffic).await
    }

    fn record_connect(&self, target: &TargetInstance, begun: Instant, error: Option<&io::Error>) {
        let outcome = match error.map(io::Error::kind) {
            None => "made",
            Some(io::ErrorKind::TimedOut) => "timed-out",
            Some(io::ErrorKind::ConnectionRefused) => "refused",
            Some(_) => "failed",
        };
        let service = target.service.as_str();
        self.metrics.connects.add(1, &[label("service", service), label("outcome", outcome)]);
        if matches!(outcome, "made" | "timed-out") {
            self.traffic.record_round_trip(&target.domain, begun.elapsed());
        }
        if error.is_some() {
            let ms = begun.elapsed().as_millis();
            let detail = format!("target={} service={service} cause={outcome} ms={ms}", target.id);
            emit(events::CONNECT_FAILED, &self.instance, &detail);
        }
    }

    /// Probes how a target can be reached. A connection made for the probe is kept.
    pub(crate) async fn reach(&self, target: &TargetInstance) -> Reach {
        let is_open = |it: &IdleConnection| it.connection.sender.is_ready();
        if self.idle.lock().get(&target.id).is_some_and(|it| it.iter().any(is_open)) {
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

    /// Keeps a connection whose answer was read completely, if the answer named its exchange.
    pub(crate) fn give_back(&self, connection: Connection, idle_limit: Option<Duration>) {
        let limit = usable_time(idle_limit);
        if connection.is_spent() || limit.is_zero() || connection.sender.is_closed() {
            return;
        }
        let max_count = match &connection.service {
            Some(it) => self.max_idle(it),
            None => MAX_IDLE_RELAYS,
        };
        let mut all = self.idle.lock();
        let idle = all.entry(connection.remote.clone()).or_default();
        idle.push(IdleConnection { connection, since: Instant::now(), limit });
        if max_count < idle.len() {
            idle.remove(0);
        }
    }

    /// Whether an idle connection to a target of this service would be kept.
    pub(crate) fn keeps_idle(&self, service: &str, idle_limit: Option<Duration>) -> bool {
        !usable_time(idle_limit).is_zero() && self.max_idle(service) != 0
    }

    fn max_idle(&self, service: &str) -> usize {
        self.max_idle.lock().get(service).copied().unwrap_or(DEFAULT_IDLE_COUNT)
    }

    /// Closes the idle connections to targets that `is_kept` does not name.
    pub(crate) fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        let is_relay = |it: &[IdleConnection]| it.iter().any(|it| it.connection.is_relayed());
        self.idle.lock().retain(|id, idle| is_relay(idle) || is_kept(id));
        self.idle_releases.retain(is_kept);
    }

    /// Closes the idle connections to a target, which may have gone silent.
    pub(crate) fn close_idle(&self, target: &str) {
        self.idle.lock().remove(target);
        self.idle_releases.close(target);
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let mut all = self.idle.lock();
        for idle in all.values_mut() {
            idle.retain(|it| it.is_usable(Reuse::Any));
        }
        all.retain(|_, it| !it.is_empty());
        self.idle_releases.sweep();
    }

    /// Takes an idle connection to a target, or to the peer at an address, for an exchange with this id.
    pub(crate) fn take_idle(&self, remote: &str, reuse: Reuse, id: &str) -> Option<Connection> {
        let mut all = self.idle.lock();
        let idle = all.get_mut(remote)?;
        // The most recently used one is the least likely to be closing.
        for index in (0..idle.len()).rev() {
            if !idle[index].is_usable(reuse) {
                idle.remove(index);
            } else if idle[index].connection.is_distinct(id) {
                return Some(idle.remove(index).connection);
            }
        }
        None
    }
}

impl IdleConnection {
    fn is_usable(&self, reuse: Reuse) -> bool {
        let idle_time = self.since.elapsed();
        let limit = match reuse {
            Reuse::Any => self.limit,
            Reuse::RecentOnly => self.limit.min(SINGLE_RUN_IDLE),
        };
        idle_time < limit && self.connection.sender.is_ready()
    }
}

/// How long a connection may be idle whose target closes it after `idle_limit`, if it states one.
fn usable_time(idle_limit: Option<Duration>) -> Duration {
    idle_limit.map_or(DEFAULT_IDLE, |it| it.saturating_sub(IDLE_MARGIN))
}

/// Connects to an address; a task of its own drives the connection.
pub(crate) async fn connect(
    address: &str,
    traffic: &ByteCounter,
) -> io::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
    start_http(TcpStream::connect(address).await?, traffic).await
}

async fn start_http(
    stream: TcpStream,
    traffic: &ByteCounter,
) -> io::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
    set_socket_options(&stream)?;
    let stream = CountedStream::new(stream, traffic.clone());
    let making =
        http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
    let (sender, connection) = making.await.map_err(io::Error::other)?;
    let task = tokio::spawn(async move { drop(connection.await) });
    Ok((sender, task.abort_handle()))
}

/// Sets the socket options for low latency and for the detection of dead links.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
