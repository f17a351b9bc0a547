//! Most new connections go to an instance on a machine as small as the smallest that the users have. Bytes between
//! instances do not pass its link here.

mod support;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::Bytes;
use holdpoint_adapter_standin::{
    Behaviour, CallerRequest, Endpoint, Store, Target, call, sample_configuration, send_on,
};
use holdpoint_soak::Proxy;
use holdpointd::ingress::Ingress;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::support::{
    machine::{Machine, MachineSize},
    settings, start_instance, until,
};

/// Size of a request's body, and of its answer's, in bytes.
const BODY_BYTES: usize = 9000;
/// Address from which the small machine connects to targets.
const SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 4, 1));
/// How long a caller waits for an answer, as it states in its request.
const PATIENCE: Duration = Duration::from_millis(2000);
/// Time of each phase.
const PHASE: Duration = Duration::from_millis(4000);
/// Time after the end of a crowd by which all is as before.
const CALM_AFTER: Duration = Duration::from_millis(2000);
/// Smallest share of the requests read that must be served at first, relative to the share before.
const MIN_SHARE: f64 = 0.95;
/// Callers that each keep one connection.
const CLIENTS: usize = 150;
/// Codes of logged events.
const SENT: u16 = 700;
const PATH_LOST: u16 = 730;
const RELAYED: u16 = 734;
const STRAINED: u16 = 741;
/// Of ten new connections, those that the small instance gets in a crowd.
const CROWD_OF_TEN: usize = 9;

struct Fleet {
    _store: Store,
    _targets: Vec<(Target, Proxy)>,
    small: Machine,
    others: Vec<(Ingress, Endpoint)>,
}

/// Starts a small instance and two large ones in one failure domain.
async fn fleet(size: MachineSize) -> Fleet {
    let store = Store::start().await;
    let mut configuration = sample_configuration(1);
    configuration["limits"]["max-body-bytes"] = json!(2 * BODY_BYTES);
    store.put_configuration(&configuration);
    let mut targets = Vec::new();
    for index in 0..6 {
        let target = Target::start(&format!("i-{index}"), "plain", Behaviour::Answer).await;
        let proxy = Proxy::start(target.address).await;
        let target = target.with_address(proxy.address);
        store.put_target(&target, false);
        targets.push((target, proxy));
    }
    let mut others = Vec::new();
    for name in ["b", "c"] {
        let gate = store.open_endpoint().await;
        others.push((start_instance(name, &gate), gate));
    }
    let mut settings = settings("small", &store.endpoint, &[]);
    settings["source_address"] = json!(SOURCE.to_string());
    let small = Machine::start(settings, size).await;
    targets.iter().for_each(|it| small.connect(SOURCE, &it.1));
    let is_complete = |it: &Ingress| it.peer_count() == 2 && it.target_count() == targets.len();
    until(|| others.iter().all(|it| is_complete(&it.0))).await;
    let fleet = Fleet { _store: store, _targets: targets, small, others };
    while fleet.attempt("probe".to_owned(), 0).await != Attempt::Served {
        sleep(Duration::from_millis(50)).await;
    }
    fleet
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempt {
    Served,
    /// It was answered otherwise, broken off, or its caller left.
    Failed,
    /// The connection was closed without an answer.
    Closed,
}

/// How a phase went.
#[derive(Debug, Default)]
struct Phase {
    /// Requests that the small instance served, and those that it read and did not serve.
    small: (usize, usize),
    /// The same for the first attempt that any instance read.
    all: (usize, usize),
    closed: usize,
}

impl Phase {
    fn share(&self) -> f64 {
        self.all.0 as f64 / (self.all.0 + self.all.1).max(1) as f64
    }
}

impl Fleet {
    fn address(&self, instance: usize) -> SocketAddr {
        match instance {
            0 => self.small.callers,
            it => self.others[it - 1].0.listen().callers.parse().unwrap(),
        }
    }

    async fn attempt(&self, id: String, instance: usize) -> Attempt {
        attempt(self.address(instance), id).await
    }

    /// Sends requests at this rate for the time of a phase, to the instance that `instance` gives for each. Whose
    /// connection is closed without an answer tries another instance.
    async fn phase(&self, name: &str, per_s: u32, instance: impl Fn(usize) -> usize) -> Phase {
        let mut exchanges = JoinSet::new();
        let begun = Instant::now();
        for count in 0.. {
            if PHASE <= begun.elapsed() {
                break;
            }
            let first = instance(count);
            let (address, other) = (self.address(first), self.address(1 + count % 2));
            let id = format!("{name}-{count}");
            exchanges.spawn(async move {
                let ended = attempt(address, id.clone()).await;
                let retried = match ended {
                    Attempt::Closed => attempt(other, format!("{id}-again")).await,
                    it => it,
                };
                (first, ended, retried)
            });
            sleep((Duration::from_secs(count as u64 + 1) / per_s).saturating_sub(begun.elapsed()))
                .await;
        }
        let mut phase = Phase::default();
        for (first, ended, retried) in exchanges.join_all().await {
            let add = |of: &mut (usize, usize), it: Attempt| match it {
                Attempt::Served => of.0 += 1,
                Attempt::Failed | Attempt::Closed => of.1 += 1,
            };
            add(&mut phase.all, retried);
            if ended == Attempt::Closed {
                phase.closed += 1;
            } else if first == 0 {
                add(&mut phase.small, ended);
            }
        }
        phase
    }
}

async fn attempt(address: SocketAddr, id: String) -> Attempt {
    let request = CallerRequest::new(&id, "/safe/").with_body(vec![b'x'; BODY_BYTES]);
    match timeout(PATIENCE, call(address, request)).await {
        Ok(Some(it)) if it.status == StatusCode::OK && it.is_complete => Attempt::Served,
        Ok(None) => Attempt::Closed,
        Ok(Some(_)) | Err(_) => Attempt::Failed,
    }
}

/// The usual rate is spread over all instances; in the crowd most of `crowd_per_s` goes to the small one, which
/// must serve at least `min_served` of it.
async fn check_crowd(size: MachineSize, usual_per_s: u32, crowd_per_s: u32, min_served: usize) {
    let fleet = fleet(size).await;
    let before = fleet.phase("before", usual_per_s, |count| count % 3).await;
    let to_small = |count: usize| if count % 10 < CROWD_OF_TEN { 0 } else { 1 + count % 2 };
    let during = fleet.phase("during", crowd_per_s, to_small).await;
    sleep(CALM_AFTER).await;
    let after = fleet.phase("after", usual_per_s, |count| count % 3).await;
    println!("before {before:?}\nduring {during:?}\nafter {after:?}");
    fleet.small.print_log("E740");
    assert!(MIN_SHARE * before.share() <= during.share(), "{during:?}, before {before:?}");
    assert!(min_served <= during.small.0, "{during:?}");
    assert!(MIN_SHARE * before.share() <= after.share(), "{after:?}, before {before:?}");
}

/// Guards against requests that are read and then wait for a full link until they fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_reads_only_what_its_link_carries() {
    let size = MachineSize { cpu_share: 1.0, memory_mb: 160.0, link_mbps: 10.0 };
    // The link carries 1,250 kB a second, some 68 requests. Three quarters of them count as level.
    check_crowd(size, 45, 300, 4 * 51).await;
}

/// Guards against a full link that is taken for lost targets, so that requests go through peers over the same link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_link_counts_against_no_target() {
    let size = MachineSize { cpu_share: 1.0, memory_mb: 160.0, link_mbps: 10.0 };
    let fleet = fleet(size).await;
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let address = fleet.small.callers;
        clients.spawn(async move { timeout(PHASE, use_connection(address, client)).await });
    }
    clients.join_all().await;
    ["E730", "E740", "E741"].iter().for_each(|it| fleet.small.print_log(it));
    let counts = [PATH_LOST, RELAYED].map(|it| fleet.small.event_count(it));
    assert_eq!(counts, [0, 0], "lost paths, relayed requests");
    let sent = fleet.small.events(SENT);
    let beside_ejected = sent.iter().filter(|it| !it.contains(" ejected=0 ")).count();
    assert_eq!(beside_ejected, 0, "of {} sends with ejected targets", sent.len());
    assert!(fleet.small.event_count(STRAINED) != 0);
    sleep(CALM_AFTER).await;
    let after = fleet.phase("after", 45, |count| count % 3).await;
    assert!(MIN_SHARE <= after.share(), "{after:?}");
}

/// Sends one request after the other on an open connection.
async fn use_connection(address: SocketAddr, client: usize) {
    let mut connected = None;
    for count in 0.. {
        let id = format!("open-{client}-{count}");
        let request = CallerRequest::new(&id, "/safe/").with_body(vec![b'x'; BODY_BYTES]);
        let mut sender = match connected.take() {
            Some(it) => it,
            None => match open_connection(address).await {
                Some(it) => it,
                None => continue,
            },
        };
        let Some(answer) = send_on(&mut sender, request).await else { continue };
        if answer.into_body().collect().await.is_ok() {
            connected = Some(sender);
        }
    }
}

async fn open_connection(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    sleep(Duration::from_millis(20)).await;
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

/// Guards against requests that are read and then wait for a small processor until they fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_reads_only_what_a_small_machine_carries() {
    let size = MachineSize { cpu_share: 0.12, memory_mb: 160.0, link_mbps: 10.0 };
    check_crowd(size, 15, 300, 4 * 5).await;
}
