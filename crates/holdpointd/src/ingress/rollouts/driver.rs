//! The driver of a roll-out: the one instance that sums up what all have seen, decides and records.
//!
//! Which instance that is follows from a hash over those that are live, until its record is written;
//! from then on it is the one that the record names, as long as that one lives. A driver that cannot
//! read its record allows nothing.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use holdpoint_adapter::rollouts::Status;
use holdpoint_core::{
    ids::{Millis, Name},
    rollout::{Bound, Order, Phase, Reason, Rollout, State, Word},
    subset::weight,
};

use crate::{
    events::{self, emit},
    ingress::{
        peers::Owners,
        rollouts::{
            DriverAnswer, RolloutReport,
            record::{Record, Unwritten},
        },
        shared::IngressShared,
    },
};

/// How often a driver makes sure that it still is.
const CHECK_MS: Millis = 500;
/// How long that holds, in milliseconds: a check and a call that takes its longest time.
const CHECKED_MS: Millis = 1500;
/// How long an instance hears nothing of a roll-out before it reads the record by itself, and how often
/// it does, in milliseconds.
const QUIET_MS: Millis = 1000;
/// How long nothing is heard before any instance may take a roll-out over, in milliseconds: its driver is
/// live and cannot read the store. Instances wait longer by different parts of a second.
const DEAF_MS: Millis = 2000;
/// The longest of these parts.
const DEAF_SPREAD_MS: f64 = 1000.0;

/// One roll-out at the instance that drives it, or would.
pub(super) struct Driven {
    rollout: Rollout,
    /// Whether the record names this life of this instance.
    is_mine: bool,
    /// The instance that the record names, if another one.
    other: Option<Name>,
    /// Where the topic of records ended when it was last read or written.
    end: u64,
    /// When the record was last known to be as this instance believes.
    checked: Option<Millis>,
    /// What operators were told.
    told: Option<State>,
    /// When this instance last tried to find out whether it drives it.
    tried: Option<Millis>,
    /// A phase that is decided and not recorded.
    decided: Option<Phase>,
}

/// Key by which the first driver of a service's roll-out is chosen.
pub(super) fn key(service: &str) -> String {
    format!("rollout/{service}")
}

/// Whether it falls to this instance to drive a service's roll-out.
pub(super) fn has_duty(shared: &IngressShared, service: &str) -> bool {
    let is_owner = shared.peers.owner_of(Owners::Any, &key(service)).is_none();
    let is_ordered = shared.rollouts.orders.lock().get(service).is_some();
    let driven = shared.rollouts.driven.lock();
    let found = driven.get(service);
    let is_done = found.is_some_and(|it| {
        it.told.is_some_and(|it| it != State::Running) && it.rollout.phase().is_final()
    });
    let is_same = |it: &Driven| {
        let orders = shared.rollouts.orders.lock();
        orders.get(service).is_none_or(|order| order.offset == it.rollout.offset())
    };
    let is_mine = found.is_some_and(|it| it.is_mine);
    let is_over = is_done && found.is_some_and(is_same);
    !is_over && (is_mine || ((is_owner || is_deaf(shared, service)) && is_ordered))
}

/// Whether nothing was heard of a roll-out for so long that this instance may take it over.
fn is_deaf(shared: &IngressShared, service: &str) -> bool {
    let own = weight(service, &shared.settings.instance) as f64 / u64::MAX as f64;
    let patience = DEAF_MS + (DEAF_SPREAD_MS * own) as Millis;
    let local = shared.rollouts.local.lock();
    local.get(service).is_some_and(|it| it.heard + patience <= shared.clock.now())
}

/// Decides what is due for a service's roll-out.
pub(super) async fn drive(shared: &Arc<IngressShared>, service: &str) {
    let order = shared.rollouts.orders.lock().get(service).cloned();
    begin(shared, service, order.as_ref());
    if is_check_due(shared, service) {
        check(shared, service).await;
    }
    let Some((phase, reason)) = due(shared, service, order.is_none()) else {
        record(shared, service, None).await;
        return tell(shared, service).await;
    };
    // Another driver begins with a canary anew; only the end has to outlive this one.
    if !phase.is_final() || record(shared, service, Some(phase)).await {
        enter(shared, service, phase, &reason);
    }
    tell(shared, service).await;
}

fn begin(shared: &IngressShared, service: &str, order: Option<&Order>) {
    let Some(order) = order else { return };
    let mut driven = shared.rollouts.driven.lock();
    let is_known = driven.get(service).is_some_and(|it| it.rollout.offset() == order.offset);
    if !is_known {
        let begun = Driven::new(shared.clock.now(), order.clone(), shared.rollouts.bound, 0);
        driven.insert(service.to_owned(), begun);
    }
}

impl Driven {
    fn new(now: Millis, order: Order, bound: Bound, spent: u64) -> Driven {
        Driven {
            rollout: Rollout::new(now, order, bound, spent),
            is_mine: false,
            other: None,
            end: 0,
            checked: None,
            told: None,
            tried: None,
            decided: None,
        }
    }

    fn is_trusted(&self, now: Millis) -> bool {
        self.is_mine && self.checked.is_some_and(|it| now < it + CHECKED_MS)
    }

    /// Where the roll-out stands, as instances are told: what is not recorded is not final.
    fn phase_told(&self) -> Phase {
        if self.decided == Some(Phase::RolledBack) { Phase::Waiting } else { self.rollout.phase() }
    }
}

/// Has each roll-out that this instance drives checked, and told, anew.
pub(super) fn store_returned(shared: &IngressShared) {
    for it in shared.rollouts.driven.lock().values_mut() {
        (it.checked, it.tried, it.told) = (None, None, None);
    }
}

fn is_check_due(shared: &IngressShared, service: &str) -> bool {
    let now = shared.clock.now();
    let driven = shared.rollouts.driven.lock();
    driven.get(service).is_some_and(|it| {
        let is_old = it.checked.is_none_or(|it| it + CHECK_MS <= now);
        let is_first = it.is_mine || it.tried.is_none_or(|it| it + CHECK_MS <= now);
        is_old && is_first
    })
}

/// Reads the record, and takes the roll-out over where the record names nobody who lives.
async fn check(shared: &Arc<IngressShared>, service: &str) {
    let begun = shared.clock.now();
    let is_deaf = is_deaf(shared, service);
    if let Some(it) = shared.rollouts.driven.lock().get_mut(service) {
        it.tried = Some(begun);
    }
    let mut records = shared.rollouts.records.lock().await;
    let Ok((found, end)) = records.read(service).await else { return };
    let claim = {
        let mut driven = shared.rollouts.driven.lock();
        let Some(it) = driven.get_mut(service) else { return };
        it.end = end;
        let offset = it.rollout.offset();
        let of_order = found.filter(|it| it.order == offset);
        if !take_in(shared, it, of_order.as_ref(), (begun, is_deaf)) {
            return;
        }
        it.checked = None;
        // A store that has come back from an older copy may lack what this instance has recorded.
        let own = it.is_mine.then_some(&it.rollout);
        let recorded = of_order.as_ref().map_or(0, |it| it.spent);
        Record {
            order: offset,
            driver: shared.settings.instance.clone(),
            life: shared.own_peer().life,
            phase: own.map(|it| it.phase()).filter(|it| it.is_final()).unwrap_or_default(),
            spent: own.map_or(0, |it| it.reserve()).max(recorded),
            until: of_order
                .map_or_else(|| on_wall(shared, it.rollout.order().until), |it| it.until),
        }
    };
    match records.write(service, &claim, end).await {
        Ok(end) => claimed(shared, service, &claim, (begun, end)),
        Err(it) => unwritten(shared, service, "claim", it),
    }
}

/// Takes in what a record of the order says; whether this instance is to take the roll-out over.
fn take_in(
    shared: &IngressShared,
    driven: &mut Driven,
    record: Option<&Record>,
    (begun, is_deaf): (Millis, bool),
) -> bool {
    let Some(record) = record else { return true };
    let is_own = record.driver == shared.settings.instance && record.life == shared.own_peer().life;
    if record.phase.is_final() {
        if !driven.rollout.phase().is_final() || driven.rollout.phase() != record.phase {
            driven.rollout.end(begun, record.phase);
        }
        driven.decided = None;
    }
    if is_own || record.phase.is_final() {
        (driven.is_mine, driven.other, driven.checked) = (true, None, Some(begun));
        return false;
    }
    if shared.peers.is_life(&record.driver, &record.life) && !is_deaf {
        if driven.is_mine {
            let detail = format!("driver={} drives=false", record.driver);
            emit(events::ROLLOUT_DRIVER, &shared.settings.instance, &detail);
        }
        (driven.is_mine, driven.other) = (false, Some(record.driver.clone()));
        return false;
    }
    true
}

fn claimed(shared: &IngressShared, service: &str, claim: &Record, (begun, end): (Millis, u64)) {
    let mut driven = shared.rollouts.driven.lock();
    let Some(it) = driven.get_mut(service) else { return };
    if claim.phase.is_final() {
        (it.checked, it.end) = (Some(begun), end);
        return;
    }
    let order = it.rollout.order().clone();
    let now = shared.clock.now();
    *it = Driven::new(now, order, shared.rollouts.bound, claim.spent);
    it.rollout.end_by(now + claim.until.saturating_sub(wall_now()));
    (it.is_mine, it.checked, it.end) = (true, Some(begun), end);
    let left = it.rollout.order().until.saturating_sub(now);
    let detail = format!(
        "service={service} version={} order={} drives=true left_ms={left} spent={}",
        it.rollout.order().version,
        claim.order,
        claim.spent
    );
    emit(events::ROLLOUT_DRIVER, &shared.settings.instance, &detail);
}

/// The phase that has to begin now, if this instance may decide that.
fn due(shared: &IngressShared, service: &str, is_withdrawn: bool) -> Option<(Phase, Reason)> {
    let (old, new) = shared.rollouts.local.lock().get(service).map(|it| it.sides.open)?;
    let now = shared.clock.now();
    let mut driven = shared.rollouts.driven.lock();
    let it = driven.get_mut(service).filter(|it| it.is_trusted(now))?;
    let due = if is_withdrawn { it.rollout.withdrawn() } else { it.rollout.next(now, new, old) };
    it.decided = due.as_ref().map(|it| it.0);
    due
}

/// Records the end, or else the permits that are to be given, if more are needed; whether that is recorded.
async fn record(shared: &Arc<IngressShared>, service: &str, end: Option<Phase>) -> bool {
    let mut records = shared.rollouts.records.lock().await;
    let begun = shared.clock.now();
    let (record, at) = {
        let driven = shared.rollouts.driven.lock();
        let Some(it) = driven.get(service) else { return false };
        let reserve = it.rollout.reserve_due().filter(|_| it.is_trusted(begun));
        if end.is_none() && reserve.is_none() {
            return false;
        }
        let record = Record {
            order: it.rollout.offset(),
            driver: shared.settings.instance.clone(),
            life: shared.own_peer().life,
            phase: end.unwrap_or_default(),
            spent: reserve.unwrap_or(it.rollout.reserve()),
            until: on_wall(shared, it.rollout.order().until),
        };
        (record, it.end)
    };
    let written = records.write(service, &record, at).await;
    let mut driven = shared.rollouts.driven.lock();
    let Some(it) = driven.get_mut(service) else { return false };
    match written {
        Ok(end) => {
            (it.end, it.checked) = (end, Some(begun));
            it.rollout.reserved(record.spent);
            true
        }
        Err(cause) => {
            // Whether it was written is read before anything else is decided.
            it.checked = None;
            drop(driven);
            unwritten(shared, service, "phase", cause);
            false
        }
    }
}

fn enter(shared: &IngressShared, service: &str, phase: Phase, reason: &Reason) {
    let now = shared.clock.now();
    let mut driven = shared.rollouts.driven.lock();
    let Some(it) = driven.get_mut(service) else { return };
    it.rollout.enter(now, phase);
    it.decided = None;
    let (reached, exposed) = it.rollout.totals();
    let (answers, failures) = it.rollout.answers();
    let order = it.rollout.order();
    let detail = format!(
        "service={service} version={} order={} phase={phase:?} reason={reason:?} reached={reached} \
         exposed={exposed} bound={:.0} answers={answers} failures={failures} left_ms={}",
        order.version,
        order.offset,
        shared.rollouts.bound.limit(reached),
        order.until.saturating_sub(now),
    );
    emit(events::ROLLOUT_PHASE, &shared.settings.instance, &detail);
}

/// Tells operators where the roll-out stands, if they do not know.
async fn tell(shared: &Arc<IngressShared>, service: &str) {
    let now = shared.clock.now();
    let (order, status) = {
        let driven = shared.rollouts.driven.lock();
        let Some(it) = driven.get(service).filter(|it| it.is_trusted(now)) else { return };
        let state = it.rollout.phase().state();
        if it.told == Some(state) || !it.rollout.may_tell(now) {
            return;
        }
        let version = it.rollout.order().version.clone();
        (it.rollout.offset(), Status { state, version })
    };
    let mut records = shared.rollouts.records.lock().await;
    match records.tell(service, order, &status).await {
        Ok(()) => {
            if let Some(it) = shared.rollouts.driven.lock().get_mut(service) {
                it.told = Some(status.state);
            }
        }
        Err(it) => unwritten(shared, service, "status", it),
    }
}

fn unwritten(shared: &IngressShared, service: &str, what: &str, cause: Unwritten) {
    let detail = format!("service={service} what={what} cause={cause:?}");
    emit(events::ROLLOUT_UNWRITTEN, &shared.settings.instance, &detail);
}

/// Takes in what an instance has seen, and tells it where the roll-out stands.
pub(super) fn answer(
    shared: &Arc<IngressShared>,
    service: &str,
    report: RolloutReport,
) -> DriverAnswer {
    let now = shared.clock.now();
    let mut driven = shared.rollouts.driven.lock();
    let Some(it) = driven.get_mut(service) else { return DriverAnswer::Nothing };
    let RolloutReport { offset, instance, life, left_ms, input } = report;
    if it.rollout.offset() != offset {
        return DriverAnswer::Nothing;
    }
    let is_over = it.rollout.phase().is_final();
    if let (false, false, Some(other)) = (is_over, it.is_mine, &it.other) {
        return DriverAnswer::Other(other.clone());
    }
    // Whoever has seen the order earlier knows its deadline better.
    it.rollout.end_by(now + left_ms);
    it.rollout.tell(now, &instance, life, input);
    if !is_over && !it.is_trusted(now) {
        return DriverAnswer::Nothing;
    }
    let quota = it.rollout.quota(&instance, life);
    let wanted = it.rollout.wanted();
    DriverAnswer::Word(Word { offset, phase: it.phase_told(), quota, wanted })
}

/// The record of a roll-out, where nothing was heard of it for a while.
pub(super) async fn recorded(shared: &Arc<IngressShared>, service: &str) -> Option<Record> {
    let now = shared.clock.now();
    let offset = {
        let mut local = shared.rollouts.local.lock();
        let it = local.get_mut(service)?;
        if now < it.heard + QUIET_MS || now < it.looked + QUIET_MS {
            return None;
        }
        it.looked = now;
        it.gate.order().offset
    };
    let mut records = shared.rollouts.records.lock().await;
    let (record, _) = records.read(service).await.ok()?;
    record.filter(|it| it.order == offset)
}

/// A time of this instance's clock as the clock on the wall shows it.
fn on_wall(shared: &IngressShared, time: Millis) -> Millis {
    wall_now() + time.saturating_sub(shared.clock.now())
}

fn wall_now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as Millis
}
