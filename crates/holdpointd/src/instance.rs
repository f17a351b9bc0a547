//! One instance: binds its addresses, starts its threads and stops them as planned.

use std::{
    fmt,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use arc_swap::ArcSwap;
use error_stack::{Report, ResultExt};
use holdpoint_platform::{Clock, EngineClient, Http, LogClient, TargetClient};
use holdpoint_schema::settings::Settings;
use tokio::{
    runtime::{Builder, Runtime},
    sync::{mpsc, watch},
    time::Instant,
};
use uuid::Uuid;

use crate::{
    control::{self, Input, MAX_INPUTS},
    events::{self, emit},
    metrics::Metrics,
    operators,
    peers::{self, PeerPool},
    serving::http_server::{self, Connections},
    settings::token_keys,
    shared::{InFlight, Published, Shared, wait_until_set},
    traffic::{self, Traffic},
};

/// Time for streams to tell their callers where to resume.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Least time to write the remaining answers.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why an instance cannot start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A listening address cannot be bound.
    Bind,
    /// A thread or its runtime cannot be started.
    Thread,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartError::Bind => "a listening address cannot be bound",
            StartError::Thread => "a thread cannot be started",
        })
    }
}

impl std::error::Error for StartError {}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// All requests in flight finished, and their answers were written.
    Drained,
    /// The drain limit passed with requests in flight, whose streams were handed over, or with answers not written.
    Cut,
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// HTTP address for operators.
    pub operators: SocketAddr,
    /// RPC address for peers.
    pub peers: SocketAddr,
}

/// A running instance.
pub struct Instance {
    shared: Arc<Shared>,
    addresses: Addresses,
    runtime: Option<Runtime>,
    control: Option<JoinHandle<()>>,
    kill: watch::Sender<bool>,
    connections: Connections,
    servers: Vec<tokio::task::JoinHandle<()>>,
}

struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Instance {
    /// Starts an instance. It serves once the head of the log is confirmed.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> Result<Instance, Report<StartError>> {
        Instance::with_clock(settings, Clock::new())
    }

    /// Starts an instance with the caller's clock.
    ///
    /// # Errors
    ///
    /// As [`Instance::start`].
    pub fn with_clock(settings: Settings, clock: Clock) -> Result<Instance, Report<StartError>> {
        let listeners = Listeners::bind(&settings)?;
        let addresses = listeners.addresses()?;
        let threads = settings.runtime.traffic_threads as usize;
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .change_context(StartError::Thread)?;
        let (inputs, receiver) = mpsc::channel(MAX_INPUTS);
        let shared = Arc::new(new_shared(settings, clock, inputs));
        let (kill, killed) = watch::channel(false);
        let connections = Connections::new();
        let control = control_thread(&shared, listeners.peers, addresses.peers, receiver, killed)?;
        let callers = traffic::router(shared.clone());
        let operators = operators::router(shared.clone());
        runtime.spawn(traffic::expire_waiting(shared.clone()));
        let servers = vec![
            serve(&runtime, listeners.callers, callers, &connections),
            serve(&runtime, listeners.operators, operators, &connections),
        ];
        let detail = format!("{} at {}", shared.incarnation, addresses.callers);
        emit(events::STARTED, &shared.settings.instance, &detail);
        let (runtime, control) = (Some(runtime), Some(control));
        Ok(Instance { shared, addresses, runtime, control, kill, connections, servers })
    }

    /// Addresses that the instance listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// State shared by the threads of the instance.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops as planned: first reports not ready, then takes no new requests, then waits until requests in
    /// flight end or their streams are handed over.
    pub async fn stop(mut self) -> StopOutcome {
        let timing = &self.shared.settings.timing;
        self.shared.is_draining.store(true, Ordering::Release);
        tokio::time::sleep(Duration::from_millis(timing.linger_ms)).await;
        drop(self.shared.control.send(Input::Stop).await);
        let limit = Instant::now() + Duration::from_millis(timing.drain_ms);
        let idle = self.shared.in_flight.idle();
        let is_drained = tokio::time::timeout_at(limit, idle).await.is_ok();
        // Watches never end by themselves, so this also ends them after a complete drain.
        self.shared.hand_over.send_replace(true);
        if !is_drained {
            let n = self.shared.in_flight.count();
            emit(events::HANDED_OVER, &self.shared.settings.instance, &n.to_string());
            drop(tokio::time::timeout(HAND_OVER_TIMEOUT, self.shared.in_flight.idle()).await);
        }
        let is_closed = self.close(limit.max(Instant::now() + CLOSE_TIMEOUT)).await;
        let detail = format!("connections={}", self.connections.count());
        drop(self.shared.control.send(Input::Drained).await);
        if let Some(it) = self.control.take() {
            drop(tokio::task::spawn_blocking(move || it.join()).await);
        }
        emit(events::STOPPED, &self.shared.settings.instance, &detail);
        if is_drained && is_closed { StopOutcome::Drained } else { StopOutcome::Cut }
    }

    /// Closes the listeners, and each connection after its last answer. Waits up to `limit` until all are closed; returns
    /// whether that was reached.
    async fn close(&mut self, limit: Instant) -> bool {
        self.connections.close();
        let closed = async {
            for server in self.servers.drain(..) {
                // An error is a panic, after which the server accepts nothing either.
                drop(server.await);
            }
            self.connections.closed().await;
        };
        tokio::time::timeout_at(limit, closed).await.is_ok()
    }

    /// Stops at once, as if the process had crashed.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill.send_replace(true);
        if let Some(it) = self.runtime.take() {
            it.shutdown_background();
        }
    }
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Listeners, Report<StartError>> {
        let bind = |address: &str| {
            let listener = TcpListener::bind(address)
                .change_context(StartError::Bind)
                .attach_with(|| address.to_owned())?;
            listener.set_nonblocking(true).change_context(StartError::Bind)?;
            Ok::<TcpListener, Report<StartError>>(listener)
        };
        Ok(Listeners {
            callers: bind(&settings.listen.callers)?,
            operators: bind(&settings.listen.operators)?,
            peers: bind(&settings.listen.peers)?,
        })
    }

    fn addresses(&self) -> Result<Addresses, Report<StartError>> {
        let address_of = |it: &TcpListener| it.local_addr().change_context(StartError::Bind);
        let (callers, operators) = (address_of(&self.callers)?, address_of(&self.operators)?);
        Ok(Addresses { callers, operators, peers: address_of(&self.peers)? })
    }
}

fn new_shared(settings: Settings, clock: Clock, control: mpsc::Sender<Input>) -> Shared {
    let http = Http::new();
    let timeout = Duration::from_millis(settings.timing.log_timeout_ms);
    let metrics = Arc::new(Metrics::new());
    Shared {
        // Version 7 UUIDs sort by creation time, so incarnations sort by start time.
        incarnation: Uuid::now_v7().simple().to_string(),
        token_keys: token_keys(&settings),
        published: ArcSwap::from_pointee(Published::new()),
        control,
        log: LogClient::new(http.clone(), &settings.platform.log, timeout),
        targets: TargetClient::new(http.clone()),
        engines: EngineClient::new(http.clone()),
        http,
        peers: PeerPool::new(metrics.clone()),
        metrics,
        serve_until: AtomicU64::new(0),
        is_draining: AtomicBool::new(false),
        in_flight: Arc::new(InFlight::default()),
        hand_over: watch::channel(false).0,
        traffic: Traffic::new(&settings),
        next_call: AtomicU64::new(1),
        settings,
        clock,
    }
}

fn control_thread(
    shared: &Arc<Shared>,
    peers: TcpListener,
    bound: SocketAddr,
    inputs: mpsc::Receiver<Input>,
    mut killed: watch::Receiver<bool>,
) -> Result<JoinHandle<()>, Report<StartError>> {
    let shared = shared.clone();
    let advertise = match shared.settings.listen.advertise.as_str() {
        "" => bound.to_string(),
        it => it.to_owned(),
    };
    let runtime =
        Builder::new_current_thread().enable_all().build().change_context(StartError::Thread)?;
    let run = move || {
        runtime.block_on(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(peers) else { return };
            let reporter = shared.clone();
            let report = move || {
                serde_json::to_string(&traffic::local_report(&reporter)).unwrap_or_default()
            };
            let (sender, metrics) = (shared.control.clone(), shared.metrics.clone());
            tokio::spawn(peers::serve(listener, sender, Arc::new(report), metrics));
            tokio::select! {
                () = control::run(shared, advertise, inputs) => (),
                () = wait_until_set(&mut killed) => (),
            }
        });
        runtime.shutdown_background();
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)
        .change_context(StartError::Thread)
}

fn serve(
    runtime: &Runtime,
    listener: TcpListener,
    router: axum::Router,
    connections: &Connections,
) -> tokio::task::JoinHandle<()> {
    let connections = connections.clone();
    runtime.spawn(async move {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        http_server::serve(listener, router, connections).await;
    })
}
