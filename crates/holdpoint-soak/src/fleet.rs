//! The daemon processes of a soak and the stand-ins that they talk to.

use std::{
    collections::HashSet,
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    ops::RangeInclusive,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use holdpoint_adapter_standin::{
    AnswerFault, AnswerProxy, Behaviour, EndlessAnswer, Run, SilentAnswer, Store, Target,
    sample_configuration,
};
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
};

use crate::{
    Millis,
    answer_verdict::{AnswerCounts, FaultyAnswers, answer_findings},
    answers::{Excuses, judge_answers},
    builds::{Builds, StartError},
    callers::{self, Attempt, Callers, Outcome},
    changes::Change,
    cut_answers::{CutAnswer, Stops, judge_cut, judge_cut_lines},
    early_connections, faults,
    large_senders::{self, judge_large},
    link::Link,
    notices::{Arrival, Notices, judge_notices},
    plan::{DOMAINS, ENCODERS, Plan, TARGETS},
    proxy::Proxy,
    recovery::{PROBE, await_recovery},
    slow_readers,
    stalls::{self, Stalls},
    verdict::{EVENTS, EventTimes, Finding, Invariant, Verdict, judge_crowds, judge_with_faulty},
};

/// Number of soaks that this program has started.
static RUN_COUNT: AtomicUsize = AtomicUsize::new(0);
/// Delay before a process that has ended is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Delay after an answer that states a limit before the process must respect it.
const LIMIT_GRACE_MS: Millis = 500;
/// Size of the kernel's buffers on the link to a target with faulty answers.
const LINK_BUFFER_BYTES: usize = 64 << 10;
/// Time for which a stopping process still takes requests.
pub(crate) const LINGER_MS: Millis = 300;
/// Shortest timeout of the routes.
const MIN_TIMEOUT_MS: Millis = 3000;
/// Time from the request to stop until a process ends its last answers, in seconds.
const STOP_GRACE_S: f64 = 6.0;
/// Time after the end of a stop's grace period within which its cuts are seen, and the same where processes are suspended
/// many times.
const STOP_MARGIN_MS: Millis = 1000;
const SUSPENDED_STOP_MARGIN_MS: Millis = 5000;
/// Key of the caller-facing address in the start-up log line of a process.
const ADDRESS_MARK: &str = "callers=";
/// Mark of a log line on a request that its process dropped without an answer.
const DROPPED_MARK: &str = " E718 ";

/// Time since the start of a soak.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn now(self) -> Millis {
        self.0.elapsed().as_millis() as Millis
    }

    /// Converts an instant to the time of this clock.
    pub(crate) fn at(self, moment: Instant) -> Millis {
        moment.saturating_duration_since(self.0).as_millis() as Millis
    }
}

/// Target that is reached through its own proxy.
pub(crate) struct ProxiedTarget {
    pub(crate) target: Target,
    pub(crate) proxy: Proxy,
    /// Second proxy, next to the target; `None` if no answers are faulty.
    pub(crate) answers: Option<AnswerProxy>,
}

impl ProxiedTarget {
    /// Sets or clears the fault of its answers.
    pub(crate) fn set_answer_fault(&self, fault: Option<AnswerFault>) {
        self.answers.iter().for_each(|it| it.set_fault(fault));
    }

    pub(crate) fn endless_answers(&self) -> Vec<EndlessAnswer> {
        self.answers.as_ref().map_or_else(Vec::new, AnswerProxy::endless)
    }

    pub(crate) fn silent_answers(&self) -> Vec<SilentAnswer> {
        self.answers.as_ref().map_or_else(Vec::new, AnswerProxy::silent)
    }
}

/// Failure of the links to a target.
pub(crate) struct FailedLink {
    /// Index of the target.
    pub(crate) target: usize,
    pub(crate) span: RangeInclusive<Millis>,
    /// Process whose link failed; those of all processes if `None`.
    pub(crate) process: Option<usize>,
}

/// Processes, stand-ins and links that faults act on.
pub(crate) struct Fleet {
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    /// Proxy between each process and the store.
    pub(crate) store_links: Vec<Proxy>,
    /// Plain targets, model targets, encoders, in this order.
    pub(crate) targets: Vec<ProxiedTarget>,
    /// Targets that replaced drained ones.
    pub(crate) replacements: Mutex<Vec<Target>>,
    /// Requests that processes dropped without an answer.
    dropped: Mutex<Vec<Finding>>,
    /// Answers that processes ended before they were whole, as their logs tell.
    cut: Mutex<Vec<CutAnswer>>,
    /// Timeout of the routes, unless a change sets another one.
    timeout_ms: Millis,
    pub(crate) version: Mutex<u64>,
    pub(crate) kills: Mutex<EventTimes>,
    /// When processes were asked to stop.
    stops: Mutex<EventTimes>,
    /// When processes were suspended or resumed.
    suspensions: Mutex<EventTimes>,
    /// When processes were stopped, killed, suspended or resumed, or ended, by process.
    pub(crate) interruptions: Mutex<EventTimes>,
    /// Failures of the links to targets.
    pub(crate) failed_links: Mutex<Vec<FailedLink>>,
    /// Time spans of the crowds.
    pub(crate) crowds: Mutex<Vec<RangeInclusive<Millis>>>,
    /// Links of the processes; empty if they are not limited.
    links: Vec<Link>,
    /// Process ids; `None` while a process is down.
    pids: Vec<Mutex<Option<Pid>>>,
    settings: Vec<PathBuf>,
    pub(crate) callers: Arc<Callers>,
}

impl Fleet {
    async fn start(plan: &Plan, folder: &Path) -> io::Result<Fleet> {
        let store = Store::start().await;
        let timeout_ms = plan.deadline_ms.max(MIN_TIMEOUT_MS);
        store.put_configuration(&configuration(1, timeout_ms));
        let mut targets = Vec::new();
        for index in 0..2 * TARGETS + ENCODERS {
            targets.push(start_target(&store, index, plan).await);
        }
        let mut store_links = Vec::new();
        let mut settings = Vec::new();
        for index in 0..plan.processes {
            let link = Proxy::start(store.endpoint.address).await;
            settings.push(write_settings(folder, index, &link, plan)?);
            store_links.push(link);
        }
        let link = |mbps| (0..plan.processes).map(|_| Link::new(mbps)).collect();
        let links: Vec<Link> = plan.link_mbps.map_or_else(Vec::new, link);
        for (index, link) in links.iter().enumerate() {
            store_links[index].set_client_link(Ipv4Addr::LOCALHOST.into(), link.clone());
            let source = source_of(index);
            targets.iter().for_each(|it| it.proxy.set_client_link(source, link.clone()));
        }
        let clock = Clock(Instant::now());
        let callers = Callers {
            seed: plan.seed,
            deadline_ms: plan.deadline_ms,
            has_returns: plan.has_versions,
            clock,
            addresses: (0..plan.processes).map(|_| Mutex::default()).collect(),
            attempts: Mutex::default(),
            large_requests: Mutex::default(),
            is_over: false.into(),
        };
        Ok(Fleet {
            clock,
            store,
            store_links,
            targets,
            replacements: Mutex::default(),
            dropped: Mutex::default(),
            cut: Mutex::default(),
            timeout_ms,
            version: Mutex::new(1),
            kills: Mutex::default(),
            stops: Mutex::default(),
            suspensions: Mutex::default(),
            interruptions: Mutex::default(),
            failed_links: Mutex::default(),
            crowds: Mutex::default(),
            links,
            pids: (0..plan.processes).map(|_| Mutex::default()).collect(),
            settings,
            callers: Arc::new(callers),
        })
    }

    /// Sends a signal to a process, if it runs.
    pub(crate) fn signal(&self, process: usize, signal: Signal) {
        if let Some(pid) = *self.pids[process].lock() {
            if signal != Signal::HUP {
                self.record_interruption(process);
            }
            if matches!(signal, Signal::STOP | Signal::CONT) {
                self.suspensions.lock().entry(process).or_default().push(self.clock.now());
            }
            if signal == Signal::TERM {
                self.stops.lock().entry(process).or_default().push(self.clock.now());
            }
            if signal == Signal::KILL {
                self.kills.lock().entry(process).or_default().push(self.clock.now());
            }
            // Fails if the process has just ended, which is harmless.
            let _ = kill_process(pid, signal);
        }
    }

    /// Address at which callers reach a process that listens at `address`: that of a proxy if its link is narrow.
    async fn front(&self, process: usize, address: SocketAddr) -> SocketAddr {
        let Some(link) = self.links.get(process) else { return address };
        let proxy = Proxy::start(address).await;
        proxy.set_server_link(link.clone());
        proxy.address
    }

    /// Records a request that a process dropped, as its log tells.
    fn record_dropped(&self, index: usize, line: &str) {
        let (id, at, detail) = (format!("p{index}"), self.clock.now(), line.to_owned());
        self.dropped.lock().push(Finding { invariant: Invariant::Answered, id, at, detail });
    }

    fn record_interruption(&self, process: usize) {
        self.interruptions.lock().entry(process).or_default().push(self.clock.now());
    }

    /// Publishes a new configuration with an API key that only this version accepts, and with a change.
    pub(crate) fn configure(&self, change: Option<Change>) {
        let mut version = self.version.lock();
        *version += 1;
        let mut configuration = configuration(*version, self.timeout_ms);
        configuration["tenants"][0]["api-keys"] = json!(["key-1", key(*version)]);
        if let Some(it) = change {
            it.apply(&mut configuration);
        }
        self.store.put_configuration(&configuration);
    }
}

/// Sample configuration in which cold targets receive only a limited rate of requests.
fn configuration(version: u64, timeout_ms: Millis) -> serde_json::Value {
    let mut configuration = sample_configuration(version);
    Change::Timeout(timeout_ms).apply(&mut configuration);
    for service in 0..2 {
        configuration["services"][service]["cold-start-s"] = json!(1.0);
        configuration["services"][service]["cold-per-s"] = json!(50.0);
    }
    configuration
}

/// Key that a version of the configuration adds.
pub(crate) fn key(version: u64) -> String {
    format!("key-of-{version}")
}

/// Name of a failure domain.
pub(crate) fn domain_name(domain: usize) -> String {
    format!("z{domain}")
}

/// Name of the failure domain of a target.
pub(crate) fn domain_of(target: usize) -> String {
    domain_name(target % DOMAINS)
}

/// Versions of the engines' software.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// The version that replaces another one; none replaces none.
pub(crate) fn next_version(version: &str) -> &'static str {
    let position = VERSIONS.iter().position(|it| *it == version);
    position.map_or("", |it| VERSIONS[(it + 1) % VERSIONS.len()])
}

/// Address from which a process connects to targets.
pub(crate) fn source_of(process: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 2, process as u8 + 1))
}

/// The process that connects to targets from this address.
pub(crate) fn process_of(source: IpAddr) -> Option<usize> {
    let IpAddr::V4(source) = source else { return None };
    let [127, 0, 2, number] = source.octets() else { return None };
    number.checked_sub(1).map(usize::from)
}

async fn start_target(store: &Store, index: usize, plan: &Plan) -> ProxiedTarget {
    let (service, behaviour) = match index / TARGETS {
        0 => ("plain", Behaviour::Answer),
        1 => ("engine", Behaviour::Events(EVENTS)),
        _ => ("encode", Behaviour::Answer),
    };
    let target = Target::start(&format!("i-{service}-{index}"), service, behaviour).await;
    let answers = match plan.has_answer_faults() {
        true => Some(AnswerProxy::start(target.address).await),
        false => None,
    };
    let far = answers.as_ref().map_or(target.address, |it| it.address);
    let proxy = Proxy::start(far).await;
    if answers.is_some() {
        proxy.set_buffer_bytes(LINK_BUFFER_BYTES);
    }
    let target = target.with_address(proxy.address);
    if plan.has_versions && service == "engine" {
        target.set_version(VERSIONS[index % 2]);
    }
    store.put_target_in(&target, &domain_of(index), 0);
    ProxiedTarget { target, proxy, answers }
}

fn write_settings(folder: &Path, index: usize, store: &Proxy, plan: &Plan) -> io::Result<PathBuf> {
    let any = "127.0.0.1:0";
    let mut settings = json!({
        "instance": format!("p{index}"), "domain": domain_name(index % DOMAINS),
        "listen": { "callers": any, "readiness": any, "peers": any, "metrics": any },
        "store": { "address": store.address.to_string(), "poll_ms": 100, "timeout_ms": 300 },
        "timing": { "linger_ms": LINGER_MS, "grace_s": STOP_GRACE_S },
        "retries": { "ratio": 0.2, "window_s": 10.0, "slack": 200.0 },
    });
    settings["machine"] = json!({
        "link_mbps": plan.link_mbps.unwrap_or(1000.0), "cpu_share": plan.cpu_share(index),
    });
    if plan.has_sources() {
        settings["source_address"] = json!(source_of(index).to_string());
    }
    let path = folder.join(format!("p{index}.json"));
    std::fs::write(&path, settings.to_string())?;
    Ok(path)
}

/// Runs a plan with processes of the given builds and returns the verdict.
///
/// # Errors
///
/// Fails if the working folder, a settings file or a process cannot be created.
pub async fn run(plan: &Plan, builds: &Builds) -> Result<Verdict, StartError> {
    let cannot_start = |cause| StartError { program: builds.daemon.clone(), cause };
    // Soaks of one seed may run side by side.
    let number = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("holdpoint-soak-{}-{}-{number}", std::process::id(), plan.seed);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(cannot_start)?;
    let fleet = Arc::new(Fleet::start(plan, &folder).await.map_err(cannot_start)?);
    let mut processes = Vec::new();
    for index in 0..plan.processes {
        let child = start_process(&fleet, builds.program(index, 0), index).map_err(cannot_start)?;
        processes.push(tokio::spawn(supervise(fleet.clone(), builds.clone(), index, child)));
    }
    let mut findings = await_recovery(&fleet).await;
    let stalls = Stalls::default();
    let recording = tokio::spawn(stalls::record(fleet.clock, stalls.clone()));
    let mut sending: Vec<_> =
        (0..plan.callers).map(|it| tokio::spawn(callers::run(fleet.callers.clone(), it))).collect();
    let readers =
        (0..plan.slow_readers).map(|it| tokio::spawn(slow_readers::run(fleet.callers.clone(), it)));
    sending.extend(readers);
    let senders = (0..plan.large_senders)
        .map(|it| tokio::spawn(large_senders::run(fleet.callers.clone(), it)));
    sending.extend(senders);
    let early = (0..plan.early_connections)
        .map(|it| tokio::spawn(early_connections::run(fleet.callers.clone(), it)));
    sending.extend(early);
    faults::play(&fleet, plan).await;
    findings.extend(await_recovery(&fleet).await);
    fleet.callers.is_over.store(true, Ordering::Release);
    for it in sending {
        // The attempts of a caller that panicked are already recorded.
        drop(it.await);
    }
    await_ends(&fleet).await;
    processes.iter().chain([&recording]).for_each(tokio::task::JoinHandle::abort);
    let stalls = std::mem::take(&mut *stalls.lock());
    let verdict = conclude(plan, &fleet, &stalls, findings);
    // A leftover temporary folder is harmless.
    drop(std::fs::remove_dir_all(&folder));
    Ok(verdict)
}

fn conclude(
    plan: &Plan,
    fleet: &Fleet,
    stalls: &[RangeInclusive<Millis>],
    mut findings: Vec<Finding>,
) -> Verdict {
    let attempts: Vec<Attempt> = std::mem::take(&mut *fleet.callers.attempts.lock());
    let replacements = fleet.replacements.lock().clone();
    let targets = fleet.targets.iter().map(|it| &it.target).chain(&replacements);
    let runs: Vec<_> = targets
        .map(|it| {
            let is_judged = |run: &Run| {
                !run.request.starts_with(PROBE) && !large_senders::is_large(&run.request)
            };
            (it.id.clone(), it.runs().into_iter().filter(is_judged).collect())
        })
        .collect();
    findings.append(&mut fleet.dropped.lock());
    let is_sound = plan.has_only_sound();
    let (times, grace_ms) = (&fleet.stops.lock(), (STOP_GRACE_S * 1000.0) as Millis);
    let margin_ms = if is_sound { STOP_MARGIN_MS } else { SUSPENDED_STOP_MARGIN_MS };
    let stops = Stops { times, grace_ms, margin_ms };
    findings.extend(judge_cut_lines(&fleet.cut.lock(), &stops, !is_sound));
    if is_sound {
        findings.extend(judge_cut(&attempts, &runs, &stops));
        let large = fleet.callers.large_requests.lock();
        findings.extend(judge_large(&large, &fleet.interruptions.lock()));
    }
    let faulty = FaultyAnswers::of(&fleet.targets);
    findings.extend(judge_with_faulty(&attempts, &runs, &fleet.kills.lock(), &faulty));
    findings.extend(answer_findings(fleet, &attempts, &replacements));
    findings.extend(unanswered(plan, fleet, stalls, &attempts));
    let over_limit = |it| over_limit(fleet, it, &attempts);
    findings.extend(fleet.targets.iter().filter_map(over_limit));
    findings.extend(notice_findings(fleet, &attempts));
    if plan.has_only_crowds() {
        findings.extend(judge_crowds(&attempts, &fleet.crowds.lock()));
    }
    let status = |it: &Attempt| match &it.outcome {
        Outcome::Answer { status, is_complete: true, .. } => *status,
        _ => 0,
    };
    Verdict {
        seed: plan.seed,
        size: (plan.processes, plan.callers),
        faults: plan.faults.len(),
        requests: attempts.len(),
        answered: attempts.iter().filter(|it| status(it) == 200).count(),
        refused: attempts.iter().filter(|it| status(it) == 503).count(),
        resumed: (
            attempts.iter().filter(|it| it.resumed.is_some() && status(it) == 200).count(),
            attempts.iter().filter(|it| it.resumed.is_some()).count(),
        ),
        read_slowly: (
            attempts.iter().filter(|it| it.answer_bytes != 0 && status(it) == 200).count(),
            attempts.iter().filter(|it| it.answer_bytes != 0).count(),
        ),
        faulty_answers: AnswerCounts::of(&fleet.targets),
        findings,
    }
}

/// Reports requests without an answer. Narrow links hold requests and answers for an unknown time.
fn unanswered(
    plan: &Plan,
    fleet: &Fleet,
    stalls: &[RangeInclusive<Millis>],
    attempts: &[Attempt],
) -> Vec<Finding> {
    if plan.link_mbps.is_some() {
        return Vec::new();
    }
    let (kills, suspensions) = (&fleet.kills.lock(), &fleet.suspensions.lock());
    let breaks_answers = !plan.has_only_planned();
    judge_answers(attempts, &Excuses { kills, suspensions, stalls, breaks_answers })
}

/// Waits until all answers without end have ended, each of which takes a bounded time.
async fn await_ends(fleet: &Fleet) {
    let is_active = |it: &ProxiedTarget| it.endless_answers().iter().any(|it| it.is_active);
    while fleet.targets.iter().any(is_active) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Reports a target that received more than its limit from processes that knew the limit.
fn over_limit(fleet: &Fleet, it: &ProxiedTarget, attempts: &[Attempt]) -> Option<Finding> {
    let clock = fleet.clock;
    let interruptions = fleet.interruptions.lock();
    let notified = limit_notices(&it.target, attempts);
    let attempt = |id: &str| attempts.iter().find(|it| it.id == id);
    // Excludes processes that have not received the limit since their last interruption.
    let excess = it.target.limit_excess_of(|arrival| {
        let Some(by) = attempt(&arrival.request) else { return true };
        let at = clock.at(arrival.at);
        let times = interruptions.get(&by.process).into_iter().flatten();
        let since = times.filter(|it| **it <= at).max().copied().unwrap_or(0);
        let is_notified =
            |notified: &&Attempt| since <= notified.sent && notified.ended + LIMIT_GRACE_MS <= at;
        notified.iter().filter(|it| it.process == by.process).any(is_notified)
    })?;
    let arrivals = it.target.requests().into_iter();
    let arrivals = arrivals.filter(|it| (excess.from..=excess.to).contains(&it.at)).map(|it| {
        let from = attempt(&it.request).map_or(it.path, |it| format!("p{}", it.process));
        format!("{} {from} {}", clock.at(it.at), it.request)
    });
    let arrivals: Vec<String> = arrivals.collect();
    let detail = format!("{excess}: {}", arrivals.join(", "));
    let (id, at) = (it.target.id.clone(), clock.at(excess.from));
    Some(Finding { invariant: Invariant::WithinLimit, id, at, detail })
}

/// Requests whose answers carried the target's limit to their processes.
fn limit_notices<'a>(target: &Target, attempts: &'a [Attempt]) -> Vec<&'a Attempt> {
    let named = target.requests().into_iter().filter(|it| it.has_limit);
    let named: HashSet<String> = named.map(|it| it.request).collect();
    let notified = attempts.iter().filter(|it| named.contains(&it.id));
    notified.filter(|it| it.is_answered_by(&target.id)).collect()
}

/// Requests that reached targets after a drain or backoff notice.
fn notice_findings(fleet: &Fleet, attempts: &[Attempt]) -> Vec<Finding> {
    let failed = fleet.failed_links.lock();
    let interruptions = fleet.interruptions.lock();
    let of_target = |(index, it): (usize, &ProxiedTarget)| {
        let arrivals = it.target.requests().into_iter();
        let arrivals = arrivals.map(|it| Arrival::new(fleet.clock.at(it.at), it)).collect();
        let outages =
            failed.iter().filter(|it| it.target == index).map(|it| it.span.clone()).collect();
        let unreadable = it.answers.as_ref().map_or_else(HashSet::new, |it| it.unreadable());
        let notices = Notices { target: &it.target.id, arrivals, outages, unreadable };
        judge_notices(&notices, attempts, &interruptions)
    };
    fleet.targets.iter().enumerate().flat_map(of_target).collect()
}

fn start_process(fleet: &Fleet, daemon: &Path, index: usize) -> io::Result<Child> {
    let child = Command::new(daemon)
        .args(["--ingress", "--log-level", "info", "--settings"])
        .arg(&fleet.settings[index])
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let pid = child.id().and_then(|it| Pid::from_raw(it as i32));
    *fleet.pids[index].lock() = pid;
    Ok(child)
}

/// Reads the log of a process until it ends and restarts it, until a start fails.
async fn supervise(fleet: Arc<Fleet>, builds: Builds, index: usize, mut child: Child) {
    let mut log = builds.create_log(fleet.callers.seed, index);
    for incarnation in 1.. {
        if let Some(lines) = child.stderr.take() {
            let mut lines = BufReader::new(lines).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(it) = &mut log {
                    // A failed write only loses the log line.
                    let _ = writeln!(it, "{} {line}", fleet.clock.now());
                }
                if let Some(it) = CutAnswer::read(index, fleet.clock.now(), &line) {
                    fleet.cut.lock().push(it);
                }
                if line.contains(DROPPED_MARK) {
                    fleet.record_dropped(index, &line);
                }
                let address = line.split_once(ADDRESS_MARK).filter(|_| line.contains("E100"));
                if let Some(it) = address.and_then(|it| it.1.trim().parse().ok()) {
                    let front = fleet.front(index, it).await;
                    *fleet.callers.addresses[index].lock() = Some(front);
                }
            }
        }
        *fleet.callers.addresses[index].lock() = None;
        fleet.record_interruption(index);
        // The system may reuse the process id once the process is reaped.
        *fleet.pids[index].lock() = None;
        drop(child.wait().await);
        tokio::time::sleep(RESTART_DELAY).await;
        match start_process(&fleet, builds.program(index, incarnation), index) {
            Ok(it) => child = it,
            Err(_) => return,
        }
    }
}
