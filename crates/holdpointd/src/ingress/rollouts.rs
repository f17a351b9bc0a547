//! Versions that are rolled out: what this instance lets through to them, and what it tells their
//! drivers.
//!
//! As long as there is no order, all of this costs one read of a flag for each request.

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
    era::Position,
    evacuation::{Evacuations, Horizon},
    ids::{Millis, Name},
    rollout::{
        Answer, Bound, Gate, Input, Lane, OrderRecord, Orders, Phase, ToldOrders, Word,
        canary_targets,
    },
    route::End,
    subset::weight,
};
use holdpoint_schema::ingress::IngressSettings;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::sleep};

pub(crate) use self::running::Running;
use self::{
    driver::Driven,
    record::{Record, Records},
};
use crate::{
    events::{self, emit},
    ingress::{
        batches::pump_all, context::Context, peers::Owners, shared::IngressShared, store::Eras,
    },
    metrics::label,
};

/// How often a driver is told, and decides.
const ROUND: Duration = Duration::from_millis(200);
/// Longest time for which what a driver told holds, in milliseconds: four rounds may be lost.
const LEASE_MS: Millis = 1000;
/// Part of the time within which a bad version gets nothing more for which what a driver told holds.
const LEASE_PART: Millis = 5;

/// What an instance tells the driver of a roll-out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RolloutReport {
    /// Offset of the order.
    offset: Horizon,
    /// Name of the instance, and its life.
    instance: Name,
    life: u64,
    /// How much of the order's time is left, as it knows.
    left_ms: Millis,
    /// What it has seen.
    input: Input,
}

/// What an instance answers that was taken for the driver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum DriverAnswer {
    /// It drives the roll-out.
    Word(Word),
    /// The instance of this name drives it.
    Other(Name),
    /// It does not know.
    Nothing,
}

/// Targets of one service by version.
#[derive(Clone, Debug, Default)]
struct Sides {
    old: Vec<TargetId>,
    new: Vec<TargetId>,
    /// Those of the version that get nothing while it is not known to be good.
    spared: Vec<TargetId>,
    /// How many of each may get work: neither leaving nor in an evacuated failure domain.
    open: (usize, usize),
}

/// One service's roll-out at this instance.
#[derive(Debug)]
struct Local {
    gate: Gate,
    sides: Sides,
    /// Name of the instance that drives it, where another one has told.
    driver: Option<Name>,
    /// When the driver was last heard, and when its record was last read for want of that.
    heard: Millis,
    looked: Millis,
    /// Requests sent whose end was not counted.
    unanswered: HashSet<String>,
}

/// All that this instance knows of roll-outs.
pub(crate) struct Rollouts {
    bound: Bound,
    lease_ms: Millis,
    /// Whether there is any.
    is_active: AtomicBool,
    orders: Mutex<Orders>,
    local: Mutex<HashMap<Name, Local>>,
    driven: Mutex<BTreeMap<Name, Driven>>,
    records: tokio::sync::Mutex<Records>,
    ordered: Notify,
}

impl Rollouts {
    /// Makes the state of an instance that knows of none.
    pub(crate) fn new(settings: &IngressSettings, eras: Arc<Eras>) -> Rollouts {
        let its = &settings.rollouts;
        Rollouts {
            bound: Bound { share: its.share, slack: its.slack },
            lease_ms: LEASE_MS.min(its.stop_ms as Millis / LEASE_PART),
            is_active: AtomicBool::new(false),
            orders: Mutex::default(),
            local: Mutex::default(),
            driven: Mutex::default(),
            records: tokio::sync::Mutex::new(Records::new(settings, eras)),
            ordered: Notify::new(),
        }
    }

    /// How far the log of orders is known.
    pub(crate) fn position(&self) -> Position {
        self.orders.lock().position()
    }

    /// The orders, for a peer.
    pub(crate) fn told(&self, now: Millis) -> ToldOrders {
        self.orders.lock().told(now)
    }

    /// Where the roll-out of a service stands, as far as this instance knows.
    pub(crate) fn phase(&self, now: Millis, service: &str) -> Option<Phase> {
        self.local.lock().get(service)?.gate.phase(now)
    }

    fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Acquire)
    }

    /// Takes in the targets of all services.
    pub(crate) fn set_targets(&self, directory: &Directory, evacuations: &Evacuations) {
        if !self.is_active() {
            return;
        }
        for (service, local) in self.local.lock().iter_mut() {
            let version = local.gate.order().version.as_str();
            local.sides = sides(directory, evacuations, (service, version, &self.bound));
        }
    }

    /// Whether a target's version may get requests now. An old one may as long as its targets are not
    /// about to be stopped.
    pub(crate) fn is_open(&self, now: Millis, target: &TargetInstance) -> bool {
        if !self.is_active() {
            return true;
        }
        let local = self.local.lock();
        let Some(it) = local.get(&target.service) else { return true };
        match it.lane(now, 0) {
            Lane::Any => true,
            _ if target.version == it.gate.order().version => it.gate.is_open(now),
            _ => it.gate.phase(now) != Some(Phase::Completed) || it.sides.open.1 == 0,
        }
    }

    /// Which targets a request may go to, of which it has spent what it needs.
    pub(crate) fn lane(&self, now: Millis, service: &str, route: &str) -> Lane {
        if !self.is_active() {
            return Lane::Any;
        }
        let mut local = self.local.lock();
        let Some(it) = local.get_mut(service) else { return Lane::Any };
        let (old, new) = it.sides.open;
        if new == 0 && old != 0 {
            return Lane::Old;
        }
        it.gate.lane(now, route, rand::random(), old != 0)
    }

    /// Targets that a request in a lane may not go to.
    pub(crate) fn closed(&self, now: Millis, service: &str, lane: Lane) -> Vec<TargetId> {
        let local = self.local.lock();
        let Some(it) = local.get(service) else { return Vec::new() };
        let phase = it.gate.phase(now);
        let is_spared = matches!(phase, Some(Phase::Canary | Phase::Loaded));
        let spared = it.sides.spared.iter().filter(|_| is_spared).cloned();
        match lane {
            Lane::Any => spared.collect(),
            Lane::Old => it.sides.new.clone(),
            Lane::New => it.sides.old.iter().cloned().chain(spared).collect(),
        }
    }

    /// Which targets so many pieces may go to together; `None` where nothing is rolled out.
    pub(crate) fn piece_lane(&self, now: Millis, service: &str, pieces: u64) -> Option<Lane> {
        if !self.is_active() {
            return None;
        }
        let mut local = self.local.lock();
        let it = local.get_mut(service)?;
        it.gate.wants(pieces);
        let is_over = it.gate.phase(now) == Some(Phase::Completed);
        // Until then a busy target of the version keeps no piece from an idle one of another.
        let or_any = |lane| if lane == Lane::New && !is_over { Lane::Any } else { lane };
        Some(or_any(it.lane(now, pieces)))
    }

    /// Counts pieces as sent to a target.
    pub(crate) fn pieces_sent(&self, service: &str, target: &str, count: u64) {
        if !self.is_active() {
            return;
        }
        let mut local = self.local.lock();
        let Some(it) = local.get_mut(service) else { return };
        it.gate.reached(count);
        if it.sides.new.iter().any(|id| id == target) {
            it.gate.exposed(count);
        }
    }

    /// Takes in how a target answered for a piece.
    pub(crate) fn piece_answered(&self, service: &str, target: &str, route: &str, answer: Answer) {
        if !self.is_active() {
            return;
        }
        let mut local = self.local.lock();
        let Some(it) = local.get_mut(service) else { return };
        let is_new = it.sides.new.iter().any(|id| id == target);
        it.gate.answered(route, is_new, answer);
    }

    /// Takes in how a send ended.
    pub(crate) fn answered(
        &self,
        ctx: &Context,
        target: &TargetInstance,
        end: End,
        cause: &'static str,
    ) {
        if !self.is_active() {
            return;
        }
        // Before the lock below: whoever changes targets takes both in this order.
        let is_cold = ctx.shared.is_cold(&target.id);
        let mut local = self.local.lock();
        let Some(it) = local.get_mut(&target.service) else { return };
        it.unanswered.remove(&ctx.request.id);
        let answer = match (end, cause) {
            (End::Whole(ms), _) => Answer::Good((!is_cold).then_some(ms)),
            (_, "target-failed" | "broken") => Answer::Failed,
            (_, "silent") => Answer::Silent,
            // A target that takes no connection is none that answers badly.
            (_, "declined") => Answer::Refused,
            _ => return,
        };
        let is_new = target.version == it.gate.order().version;
        it.gate.answered(&ctx.route.name, is_new, answer);
        let name = match answer {
            Answer::Good(_) => "good",
            Answer::Failed => "failed",
            Answer::Silent => "silent",
            Answer::Refused => "refused",
        };
        let labels =
            [label("service", target.service.as_str()), side(is_new), label("answer", name)];
        ctx.shared.metrics.rollout_answers.add(1, &labels);
    }
}

impl Local {
    fn new(gate: Gate, now: Millis) -> Local {
        Local {
            gate,
            sides: Sides::default(),
            driver: None,
            heard: now,
            looked: 0,
            unanswered: HashSet::new(),
        }
    }

    fn lane(&self, now: Millis, count: u64) -> Lane {
        let (old, new) = self.sides.open;
        if new == 0 && old != 0 {
            return Lane::Old;
        }
        self.gate.lane_for(now, count, old != 0)
    }
}

fn side(is_new: bool) -> opentelemetry::KeyValue {
    label("version", if is_new { "new" } else { "old" })
}

fn sides(
    directory: &Directory,
    evacuations: &Evacuations,
    (service, version, bound): (&str, &str, &Bound),
) -> Sides {
    let mut sides = Sides::default();
    let mut open_new: Vec<TargetId> = Vec::new();
    for it in directory.of_service(service) {
        let is_new = it.version == version;
        let is_open = !it.is_leaving && !evacuations.is_evacuated(&it.domain);
        let side = if is_new { &mut sides.new } else { &mut sides.old };
        side.push(it.id.clone());
        let open = if is_new { &mut sides.open.1 } else { &mut sides.open.0 };
        *open += usize::from(is_open);
        if is_new && is_open {
            open_new.push(it.id.clone());
        }
    }
    // All instances spare the same ones.
    open_new.sort_by_cached_key(|it| weight(version, it));
    let few = canary_targets(bound, sides.open.0, sides.open.1);
    sides.spared = open_new.split_off(few.min(open_new.len()));
    sides
}

/// Takes in what operators wrote.
pub(crate) fn take_orders(
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
                let detail = format!("key={} offset={} cause=\"{it}\"", record.key, record.offset);
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
    take_over(shared, newer, "store");
}

/// Takes over what is newer of the orders: their versions get nothing from now on but what a driver
/// allows.
pub(crate) fn take_over(shared: &Arc<IngressShared>, newer: Orders, source: &str) {
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
                let begun = Local::new(Gate::new(order), now);
                local.insert(service.clone(), begun);
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
    rollouts.ordered.notify_one();
    shared.has_news.send_replace(());
}

/// Has drivers look whether the store still has what they wrote there, and write it again where it has not.
pub(crate) fn store_returned(shared: &IngressShared) {
    driver::store_returned(shared);
}

/// Tells drivers what this instance has seen and hears from them, and drives what falls to it, until
/// the task is dropped.
pub(crate) async fn run(shared: Arc<IngressShared>) {
    loop {
        if !shared.rollouts.is_active() {
            shared.rollouts.ordered.notified().await;
        }
        let services: Vec<Name> = shared.rollouts.local.lock().keys().cloned().collect();
        let rounds = services.iter().map(|it| round(&shared, it));
        futures::future::join_all(rounds).await;
        sleep(ROUND).await;
    }
}

async fn round(shared: &Arc<IngressShared>, service: &str) {
    let rollouts = &shared.rollouts;
    let now = shared.clock.now();
    let (is_open, is_over, report) = {
        let local = rollouts.local.lock();
        let Some(it) = local.get(service) else { return };
        // Until the old targets stop, the driver waits for what runs there.
        let is_over = it.gate.phase(now).is_some_and(Phase::is_final)
            && (it.gate.phase(now) == Some(Phase::RolledBack) || it.gate.order().until <= now);
        (it.gate.is_open(now), is_over, report(shared, it))
    };
    if driver::has_duty(shared, service) {
        driver::drive(shared, service).await;
    }
    if !is_over {
        let answer = ask(shared, service, report).await;
        hear(shared, service, answer, now).await;
    }
    let has_opened = rollouts.local.lock().get(service).map(|it| it.gate.is_open(now));
    if has_opened != Some(is_open) {
        pump_all(shared);
    }
}

fn report(shared: &IngressShared, local: &Local) -> RolloutReport {
    RolloutReport {
        offset: local.gate.order().offset,
        instance: shared.settings.instance.clone(),
        life: shared.life,
        left_ms: local.gate.order().until.saturating_sub(shared.clock.now()),
        input: local.gate.input(),
    }
}

/// Asks whoever drives a service's roll-out, as far as that is known, else whoever would.
async fn ask(shared: &Arc<IngressShared>, service: &str, report: RolloutReport) -> DriverAnswer {
    let named = shared.rollouts.local.lock().get(service).and_then(|it| it.driver.clone());
    let named = named.and_then(|it| shared.peers.live_address(&it));
    let Some(address) = named.or_else(|| shared.peers.owner_of(Owners::Any, &driver::key(service)))
    else {
        return answer(shared, service, report);
    };
    let told = shared.peers.roll_out(shared, &address, service, report).await;
    told.unwrap_or(DriverAnswer::Nothing)
}

/// Takes in what a driver told. Where none is found, the record of the roll-out tells whether it has
/// ended.
async fn hear(shared: &Arc<IngressShared>, service: &str, told: DriverAnswer, asked: Millis) {
    let word = match told {
        DriverAnswer::Word(it) => Some(it),
        DriverAnswer::Other(name) => {
            set_driver(shared, service, Some(name));
            return;
        }
        DriverAnswer::Nothing => {
            set_driver(shared, service, None);
            match driver::recorded(shared, service).await {
                Some(Record { phase, order, .. }) if phase.is_final() => {
                    Some(Word { offset: order, phase, ..Word::default() })
                }
                Some(it) => return set_driver(shared, service, Some(it.driver)),
                None => None,
            }
        }
    };
    let Some(word) = word else { return };
    let mut local = shared.rollouts.local.lock();
    let Some(it) = local.get_mut(service) else { return };
    it.heard = asked;
    // It holds from when it was asked for: the answer may have been long on its way.
    it.gate.hear(word, asked + shared.rollouts.lease_ms);
}

fn set_driver(shared: &IngressShared, service: &str, driver: Option<Name>) {
    if let Some(it) = shared.rollouts.local.lock().get_mut(service) {
        it.driver = driver;
    }
}

/// Answers an instance that takes this one for the driver of a roll-out.
pub(crate) fn answer(
    shared: &Arc<IngressShared>,
    service: &str,
    report: RolloutReport,
) -> DriverAnswer {
    driver::answer(shared, service, report)
}
