//! Roll-outs of new versions: which requests this instance sends to them, and what it reports to their
//! drivers.
//!
//! While there is no roll-out order, the cost per request is one read of a flag.

mod driver;
mod record;
mod running;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use holdpoint_adapter::{rollouts::parse_order, store::KeyedRecord};
use holdpoint_core::{
    directory::{Directory, TargetId, TargetInstance},
    epoch::Position,
    evacuation::{Evacuations, LogOffset},
    ids::{Millis, Name},
    rollout::{
        Answer, Bound, DriverUpdate, Gate, InstanceReport, Lane, OrderRecord, Orders,
        OrdersSnapshot, Phase, canary_targets,
    },
    route::CallOutcome,
    subset::weight,
};
use holdpoint_schema::ingress::IngressSettings;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::sleep};

pub(crate) use self::running::InFlightSend;
use self::{
    driver::Driven,
    record::{Record, Records},
};
use crate::{
    events::{self, LoggedName, emit},
    ingress::{
        batches::start_all_calls, context::Context, counted_stream::ByteCounter, peers::Owners,
        shared::IngressShared, store::StoreEpochs,
    },
    metrics::label,
};

/// Interval of reports to a driver, and of its decisions.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which an update from a driver is valid, in milliseconds. Four rounds may be lost.
const LEASE_MS: Millis = 1000;
/// Divisor that bounds the lease by `stop_ms`, the time within which a bad version gets no more requests.
const STOP_DIVISOR: Millis = 5;

/// Report of an instance to the driver of a roll-out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RolloutReport {
    /// Offset of the order.
    offset: LogOffset,
    /// Name of the instance, and its incarnation.
    instance: Name,
    life: u64,
    /// Time left until the deadline of the order as the instance knows it, in milliseconds.
    left_ms: Millis,
    /// Its counts since it saw the order.
    input: InstanceReport,
}

/// Answer of an instance that was asked as the driver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum DriverAnswer {
    /// The instance drives the roll-out; its update.
    Word(DriverUpdate),
    /// Another instance, of this name, drives it.
    Other(Name),
    /// The driver is not known here, or its record could not be confirmed.
    Nothing,
}

/// Targets of one service by version.
#[derive(Clone, Debug, Default)]
struct VersionTargets {
    old: Vec<TargetId>,
    new: Vec<TargetId>,
    /// Targets of the new version that get no requests in the phases `Canary` and `Loaded`.
    withheld: Vec<TargetId>,
    /// Numbers of old and new targets that may get work: not draining, nor in an evacuated failure domain.
    open_counts: (usize, usize),
}

/// One service's roll-out at this instance.
#[derive(Debug)]
struct LocalRollout {
    gate: Gate,
    targets: VersionTargets,
    /// Name of the driver, as another instance or the record has reported it.
    driver: Option<Name>,
    /// When the driver was asked for the last update; initially when the order was seen.
    last_update: Millis,
    /// When the record was last read for lack of an update.
    last_read: Millis,
    /// Ids of requests sent whose result is not counted yet.
    unanswered: HashSet<(String, TargetId)>,
}

/// State of the roll-outs at this instance.
pub(crate) struct Rollouts {
    bound: Bound,
    lease_ms: Millis,
    /// Whether any roll-out is active.
    is_active: AtomicBool,
    orders: Mutex<Orders>,
    local: Mutex<HashMap<Name, LocalRollout>>,
    driven: Mutex<BTreeMap<Name, Driven>>,
    records: tokio::sync::Mutex<Records>,
    orders_changed: Notify,
}

impl Rollouts {
    /// Creates the state without roll-outs.
    pub(crate) fn new(
        settings: &IngressSettings,
        epochs: Arc<StoreEpochs>,
        store_traffic: ByteCounter,
    ) -> Rollouts {
        let limits = &settings.rollouts;
        Rollouts {
            bound: Bound { share: limits.share, slack: limits.slack },
            lease_ms: LEASE_MS.min(limits.stop_ms as Millis / STOP_DIVISOR),
            is_active: AtomicBool::new(false),
            orders: Mutex::default(),
            local: Mutex::default(),
            driven: Mutex::default(),
            records: tokio::sync::Mutex::new(Records::new(settings, epochs, store_traffic)),
            orders_changed: Notify::new(),
        }
    }

    /// Position up to which the log of orders has been read.
    pub(crate) fn position(&self) -> Position {
        self.orders.lock().position()
    }

    /// Snapshot of the orders for a peer.
    pub(crate) fn snapshot(&self, now: Millis) -> OrdersSnapshot {
        self.orders.lock().snapshot(now)
    }

    /// Phase of a service's roll-out; `None` if there is none or the driver's update has expired.
    pub(crate) fn phase(&self, now: Millis, service: &str) -> Option<Phase> {
        self.local.lock().get(service)?.gate.phase(now)
    }

    fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Acquire)
    }

    /// Updates the targets of both versions of each service from the directory.
    pub(crate) fn set_targets(&self, directory: &Directory, evacuations: &Evacuations) {
        if !self.is_active() {
            return;
        }
        for (service, local) in self.local.lock().iter_mut() {
            let version = local.gate.order().version.as_str();
            local.targets =
                version_targets(directory, evacuations, (service, version, &self.bound));
        }
    }

    /// Whether a target's version may get requests now. An old version may until its targets are about to
    /// be stopped.
    pub(crate) fn is_open(&self, now: Millis, target: &TargetInstance) -> bool {
        if !self.is_active() {
            return true;
        }
        let local = self.local.lock();
        let Some(it) = local.get(&target.service) else { return true };
        match it.lane(now, 0) {
            Lane::Any => true,
            _ if target.version == it.gate.order().version => it.gate.is_open(now),
            _ => it.gate.phase(now) != Some(Phase::Completed) || it.targets.open_counts.1 == 0,
        }
    }

    /// Chooses the lane of a request and spends the permit that it needs.
    pub(crate) fn lane(&self, now: Millis, service: &str, route: &str) -> Lane {
        if !self.is_active() {
            return Lane::Any;
        }
        let mut local = self.local.lock();
        let Some(it) = local.get_mut(service) else { return Lane::Any };
        let (old, new) = it.targets.open_counts;
        if new == 0 && old != 0 {
            return Lane::Old;
        }
        it.gate.lane(now, route, rand::random(), old != 0)
    }

    /// Whether a request that can only go to targets of a version may be sent there; spends the permit that it needs.
    pub(crate) fn admits(&self, now: Millis, service: &str, version: &str) -> bool {
        if !self.is_active() {
            return true;
        }
        let mut local = self.local.lock();
        let Some(it) = local.get_mut(service) else { return true };
        if version != it.gate.order().version {
            return true;
        }
        let is_admitted = it.lane(now, 1) != Lane::Old;
        if is_admitted {
            it.gate.count_exposed(1);
        }
        is_admitted
    }

    /// Targets that a request in a lane must not be sent to.
    pub(crate) fn excluded_targets(&self, now: Millis, service: &str, lane: Lane) -> Vec<TargetId> {
        let local = self.local.lock();
        let Some(it) = local.get(service) else { return Vec::new() };
        let phase = it.gate.phase(now);
        let is_withheld = matches!(phase, Some(Phase::Canary | Phase::Loaded));
        let withheld = it.targets.withheld.iter().filter(|_| is_withheld).cloned();
        match lane {
            Lane::Any => withheld.collect(),
            Lane::Old => it.targets.new.clone(),
            Lane::New => it.targets.old.iter().cloned().chain(withheld).collect(),
        }
    }

    /// Targets that a request would be excluded from now, one list for each choice that it would get in turn. Spends no
    /// permit.
    pub(crate) fn likely_exclusions(&self, now: Millis, service: &str) -> Vec<Vec<TargetId>> {
        let excluded = |lane| self.excluded_targets(now, service, lane);
        match self.likely_lane(now, service) {
            Lane::Any => vec![Vec::new()],
            Lane::Old => vec![excluded(Lane::Old)],
            // Where the new version has no target left, one of the old version is chosen.
            Lane::New => vec![excluded(Lane::New), excluded(Lane::Old)],
        }
    }

    /// Lane that a request would get now. The canary's draw may assign the request to the old version.
    fn likely_lane(&self, now: Millis, service: &str) -> Lane {
        let local = self.local.lock();
        let Some(it) = local.get(service) else { return Lane::Any };
        match it.gate.phase(now) {
            Some(Phase::Canary) => Lane::Old,
            _ => it.lane(now, 1),
        }
    }

    /// Lane of a call with this many work items; `None` if the service has no roll-out.
    pub(crate) fn item_lane(&self, now: Millis, service: &str, items: u64) -> Option<Lane> {
        if !self.is_active() {
            return None;
        }
        let mut local = self.local.lock();
        let it = local.get_mut(service)?;
        it.gate.set_needed_permits(items);
        let is_completed = it.gate.phase(now) == Some(Phase::Completed);
        // Before completion, an item need not wait for a busy new target while an old one is idle.
        let or_any = |lane| if lane == Lane::New && !is_completed { Lane::Any } else { lane };
        Some(or_any(it.lane(now, items)))
    }

    /// Counts work items as sent to a target.
    pub(crate) fn items_sent(&self, service: &str, target: &str, count: u64) {
        if !self.is_active() {
            return;
        }
        let mut local = self.local.lock();
        let Some(it) = local.get_mut(service) else { return };
        it.gate.count_reached(count);
        if it.targets.new.iter().any(|id| id == target) {
            it.gate.count_exposed(count);
        }
    }

    /// Counts a target's answer for a work item.
    pub(crate) fn item_answered(&self, service: &str, target: &str, route: &str, answer: Answer) {
        if !self.is_active() {
            return;
        }
        let mut local = self.local.lock();
        let Some(it) = local.get_mut(service) else { return };
        let is_new = it.targets.new.iter().any(|id| id == target);
        it.gate.record_answer(route, is_new, answer);
    }

    /// Counts the result of a request sent to a target.
    pub(crate) fn send_ended(
        &self,
        ctx: &Context,
        target: &TargetInstance,
        end: CallOutcome,
        cause: &'static str,
    ) {
        if !self.is_active() {
            return;
        }
        // Taken before the lock below, in the same order as when targets change.
        let is_timed = !ctx.shared.is_cold(&target.id)
            && !ctx.shared.own_load.is_strained(ctx.shared.clock.now());
        let mut local = self.local.lock();
        let Some(it) = local.get_mut(&target.service) else { return };
        it.unanswered.remove(&(ctx.request.id.clone(), target.id.clone()));
        let answer = match (end, cause) {
            (CallOutcome::Completed(ms), _) => Answer::Good(is_timed.then_some(ms)),
            (_, "target-failed" | "broken") => Answer::Failed,
            (_, "silent") => Answer::TimedOut,
            // A refused connection is not a bad answer.
            (_, "declined") => Answer::Refused,
            _ => return,
        };
        let is_new = target.version == it.gate.order().version;
        it.gate.record_answer(&ctx.route.name, is_new, answer);
        let name = match answer {
            Answer::Good(_) => "good",
            Answer::Failed => "failed",
            Answer::TimedOut => "silent",
            Answer::Refused => "refused",
        };
        let labels = [
            label("service", target.service.as_str()),
            version_label(is_new),
            label("answer", name),
        ];
        ctx.shared.metrics.rollout_answers.add(1, &labels);
    }
}

impl LocalRollout {
    fn new(gate: Gate, now: Millis) -> LocalRollout {
        LocalRollout {
            gate,
            targets: VersionTargets::default(),
            driver: None,
            last_update: now,
            last_read: 0,
            unanswered: HashSet::new(),
        }
    }

    fn lane(&self, now: Millis, count: u64) -> Lane {
        let (old, new) = self.targets.open_counts;
        if new == 0 && old != 0 {
            return Lane::Old;
        }
        self.gate.lane_for(now, count, old != 0)
    }
}

fn version_label(is_new: bool) -> opentelemetry::KeyValue {
    label("version", if is_new { "new" } else { "old" })
}

fn version_targets(
    directory: &Directory,
    evacuations: &Evacuations,
    (service, version, bound): (&str, &str, &Bound),
) -> VersionTargets {
    let mut targets = VersionTargets::default();
    let mut open_new: Vec<TargetId> = Vec::new();
    for it in directory.of_service(service) {
        let is_new = it.version == version;
        let is_open = !it.is_draining && !evacuations.is_evacuated(&it.domain);
        let ids = if is_new { &mut targets.new } else { &mut targets.old };
        ids.push(it.id.clone());
        let count = if is_new { &mut targets.open_counts.1 } else { &mut targets.open_counts.0 };
        *count += usize::from(is_open);
        if is_new && is_open {
            open_new.push(it.id.clone());
        }
    }
    // All instances withhold requests from the same targets.
    open_new.sort_by_cached_key(|it| weight(version, it));
    let canaries = canary_targets(bound, targets.open_counts.0, targets.open_counts.1);
    targets.withheld = open_new.split_off(canaries.min(open_new.len()));
    targets
}

/// Applies records that operators have written to the log of orders. Emits an event for a record that
/// cannot be parsed.
pub(crate) fn apply_order_records(
    shared: &Arc<IngressShared>,
    records: &[KeyedRecord],
    next: Position,
    is_whole: bool,
) {
    let mut orders: Vec<OrderRecord> = Vec::new();
    for record in records {
        match parse_order(record) {
            Some(Ok(it)) => orders.push(it),
            Some(Err(it)) => {
                let key = LoggedName(&record.key);
                let detail = format!("key={key} offset={} cause=\"{it}\"", record.offset);
                emit(events::BAD_ROLLOUT, &shared.settings.instance, &detail);
            }
            None => (),
        }
    }
    let now = shared.clock.now();
    let newer = if is_whole {
        Orders::new(now, next, &orders)
    } else {
        shared.rollouts.orders.lock().followed_by(now, next.offset, &orders)
    };
    merge_orders(shared, newer, "store");
}

/// Merges newer orders. From then on, their versions get only the requests that a driver permits.
pub(crate) fn merge_orders(shared: &Arc<IngressShared>, newer: Orders, source: &str) {
    let rollouts = &shared.rollouts;
    let changed = rollouts.orders.lock().advance(shared.clock.now(), newer);
    if changed.is_empty() {
        return;
    }
    let now = shared.clock.now();
    for service in &changed {
        let order = rollouts.orders.lock().get(service).cloned();
        let detail = match &order {
            Some(it) => format!(
                "service={service} version={} order={} left_ms={} source={source}",
                it.version,
                it.offset,
                it.until.saturating_sub(now),
            ),
            None => format!("service={service} withdrawn=true source={source}"),
        };
        emit(events::ROLLOUT_ORDERED, &shared.settings.instance, &detail);
        let mut local = rollouts.local.lock();
        match (order, local.get_mut(service)) {
            (Some(order), _) => {
                let rollout = LocalRollout::new(Gate::new(order), now);
                local.insert(service.clone(), rollout);
            }
            (None, Some(it)) if it.gate.phase(now).is_some_and(Phase::is_final) => {
                local.remove(service);
            }
            (None, Some(it)) => it.gate.withdraw(),
            (None, None) => (),
        }
    }
    let is_active = !rollouts.local.lock().is_empty();
    rollouts.is_active.store(is_active, Ordering::Release);
    shared.apply_directory();
    rollouts.orders_changed.notify_one();
    shared.updated.send_replace(());
}

/// Makes drivers check their records in the store after it has returned, and write lost ones again.
pub(crate) fn store_returned(shared: &IngressShared) {
    driver::store_returned(shared);
}

/// Exchanges reports and updates with drivers, and drives the roll-outs that this instance is responsible
/// for, until the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    loop {
        if !shared.rollouts.is_active() {
            shared.rollouts.orders_changed.notified().await;
        }
        let services: Vec<Name> = shared.rollouts.local.lock().keys().cloned().collect();
        let rounds = services.iter().map(|it| round(&shared, it));
        futures::future::join_all(rounds).await;
        sleep(REPORT_INTERVAL).await;
    }
}

async fn round(shared: &Arc<IngressShared>, service: &str) {
    let rollouts = &shared.rollouts;
    let now = shared.clock.now();
    let (is_open, is_over, report) = {
        let local = rollouts.local.lock();
        let Some(it) = local.get(service) else { return };
        // The driver needs reports of requests at old targets until these targets stop.
        let is_over = it.gate.phase(now).is_some_and(Phase::is_final)
            && (it.gate.phase(now) == Some(Phase::RolledBack) || it.gate.order().until <= now);
        (it.gate.is_open(now), is_over, report(shared, it))
    };
    if driver::has_duty(shared, service) {
        driver::drive(shared, service).await;
    }
    if !is_over {
        let answer = ask_driver(shared, service, report).await;
        apply_answer(shared, service, answer, now).await;
    }
    let has_opened = rollouts.local.lock().get(service).map(|it| it.gate.is_open(now));
    if has_opened != Some(is_open) {
        start_all_calls(shared);
    }
}

fn report(shared: &IngressShared, local: &LocalRollout) -> RolloutReport {
    RolloutReport {
        offset: local.gate.order().offset,
        instance: shared.settings.instance.clone(),
        life: shared.incarnation,
        left_ms: local.gate.order().until.saturating_sub(shared.clock.now()),
        input: local.gate.report(),
    }
}

/// Reports to the driver of a service's roll-out, or to its default driver if none is known.
async fn ask_driver(
    shared: &Arc<IngressShared>,
    service: &str,
    report: RolloutReport,
) -> DriverAnswer {
    let named = shared.rollouts.local.lock().get(service).and_then(|it| it.driver.clone());
    let named = named.and_then(|it| shared.peers.responsive_address(&it));
    let Some(address) = named.or_else(|| shared.peers.owner_of(Owners::Any, &driver::key(service)))
    else {
        return answer(shared, service, report);
    };
    let answer = shared.peers.roll_out(shared, &address, service, report).await;
    answer.unwrap_or(DriverAnswer::Nothing)
}

/// Applies the answer of a driver. If none was found, reads from the record whether the roll-out has
/// ended.
async fn apply_answer(
    shared: &Arc<IngressShared>,
    service: &str,
    answer: DriverAnswer,
    asked_at: Millis,
) {
    let word = match answer {
        DriverAnswer::Word(it) => Some(it),
        DriverAnswer::Other(name) => {
            set_driver(shared, service, Some(name));
            return;
        }
        DriverAnswer::Nothing => {
            set_driver(shared, service, None);
            match driver::record_if_overdue(shared, service).await {
                Some(Record { phase, order, .. }) if phase.is_final() => {
                    Some(DriverUpdate { offset: order, phase, ..DriverUpdate::default() })
                }
                Some(it) => return set_driver(shared, service, Some(it.driver)),
                None => None,
            }
        }
    };
    let Some(word) = word else { return };
    let mut local = shared.rollouts.local.lock();
    let Some(it) = local.get_mut(service) else { return };
    it.last_update = asked_at;
    // The lease starts at the request, as the answer may have been delayed.
    it.gate.apply_update(word, asked_at + shared.rollouts.lease_ms);
}

fn set_driver(shared: &IngressShared, service: &str, driver: Option<Name>) {
    if let Some(it) = shared.rollouts.local.lock().get_mut(service) {
        it.driver = driver;
    }
}

/// Answers an instance that asks this one as the driver of a roll-out.
pub(crate) fn answer(
    shared: &Arc<IngressShared>,
    service: &str,
    report: RolloutReport,
) -> DriverAnswer {
    driver::answer(shared, service, report)
}
