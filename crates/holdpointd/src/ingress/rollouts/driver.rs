//! The driver of a roll-out: the one instance that aggregates the reports of all instances, decides on
//! phases and records them.
//!
//! The first driver is chosen by a hash over the live instances. Once a record is written, the driver is
//! the instance named there while it is live. A driver that cannot read its record grants no permits.

use std::sync::Arc;

use holdpoint_adapter::rollouts::Status;
use holdpoint_core::{
    ids::{Millis, Name},
    rollout::{Bound, DriverUpdate, Order, Phase, Reason, Rollout, State},
    subset::weight,
};

use crate::{
    events::{self, emit},
    ingress::{
        peers::Owners,
        rollouts::{
            DriverAnswer, RolloutReport,
            record::{Record, WriteError},
        },
        shared::IngressShared,
        store::unix_ms,
    },
};

/// Interval at which a driver checks that its record is still valid, in milliseconds.
const CHECK_MS: Millis = 500;
/// How long a check is valid, in milliseconds: one interval and the longest duration of a call.
const CHECK_VALID_MS: Millis = 1500;
/// Time without an update from the driver after which an instance reads the record itself, and the interval
/// of these reads, in milliseconds.
const RECORD_READ_MS: Millis = 1000;
/// Time without an update after which any instance may take over a roll-out whose driver is live but cannot
/// read the store, in milliseconds. Each instance adds a different delay.
const TAKEOVER_MS: Millis = 2000;
/// Upper limit of that delay, in milliseconds.
const TAKEOVER_SPREAD_MS: f64 = 1000.0;

/// One roll-out at its driver, or at an instance that may become the driver.
pub(super) struct Driven {
    rollout: Rollout,
    /// Whether the record names this incarnation of this instance.
    is_mine: bool,
    /// The driver that the record names, if it is another instance.
    other: Option<Name>,
    /// End offset of the topic of records at the last read or write.
    end: u64,
    /// When the record was last confirmed by a read or a write.
    checked: Option<Millis>,
    /// Status that was last published to operators.
    published: Option<State>,
    /// When this instance last began a check of the record.
    last_attempt: Option<Millis>,
    /// A phase that is decided but not yet recorded and entered.
    decided: Option<Phase>,
}

/// Hash key that selects the first driver of a service's roll-out.
pub(super) fn key(service: &str) -> String {
    format!("rollout/{service}")
}

/// Whether this instance has to drive a service's roll-out.
pub(super) fn has_duty(shared: &IngressShared, service: &str) -> bool {
    let is_owner = shared.peers.owner_of(Owners::Any, &key(service)).is_none();
    let is_ordered = shared.rollouts.orders.lock().get(service).is_some();
    let driven = shared.rollouts.driven.lock();
    let found = driven.get(service);
    let is_done = found.is_some_and(|it| {
        it.published.is_some_and(|it| it != State::Running) && it.rollout.phase().is_final()
    });
    let is_same = |it: &Driven| {
        let orders = shared.rollouts.orders.lock();
        orders.get(service).is_none_or(|order| order.offset == it.rollout.offset())
    };
    let is_mine = found.is_some_and(|it| it.is_mine);
    let is_over = is_done && found.is_some_and(is_same);
    !is_over && (is_mine || ((is_owner || may_take_over(shared, service)) && is_ordered))
}

/// Whether the driver has sent no update for so long that this instance may take the roll-out over.
fn may_take_over(shared: &IngressShared, service: &str) -> bool {
    let own = weight(service, &shared.settings.instance) as f64 / u64::MAX as f64;
    let timeout = TAKEOVER_MS + (TAKEOVER_SPREAD_MS * own) as Millis;
    let local = shared.rollouts.local.lock();
    local.get(service).is_some_and(|it| it.last_update + timeout <= shared.clock.now())
}

/// Checks the record, decides on the next phase, and publishes the status.
pub(super) async fn drive(shared: &Arc<IngressShared>, service: &str) {
    let order = shared.rollouts.orders.lock().get(service).cloned();
    ensure_driven(shared, service, order.as_ref());
    if is_check_due(shared, service) {
        check(shared, service).await;
    }
    let Some((phase, reason)) = due_phase(shared, service, order.is_none()) else {
        record(shared, service, None).await;
        return publish_status(shared, service).await;
    };
    // A new driver starts again with a canary, so only a final phase has to be persisted first.
    if !phase.is_final() || record(shared, service, Some(phase)).await {
        enter(shared, service, phase, &reason);
    }
    publish_status(shared, service).await;
}

fn ensure_driven(shared: &IngressShared, service: &str, order: Option<&Order>) {
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
            published: None,
            last_attempt: None,
            decided: None,
        }
    }

    fn is_confirmed(&self, now: Millis) -> bool {
        self.is_mine && self.checked.is_some_and(|it| now < it + CHECK_VALID_MS)
    }

    /// Phase that is reported to instances: `Waiting` for a rollback that is not recorded yet.
    fn reported_phase(&self) -> Phase {
        if self.decided == Some(Phase::RolledBack) { Phase::Waiting } else { self.rollout.phase() }
    }
}

/// Makes the next round check the record of each roll-out and publish its status again.
pub(super) fn store_returned(shared: &IngressShared) {
    for it in shared.rollouts.driven.lock().values_mut() {
        (it.checked, it.last_attempt, it.published) = (None, None, None);
    }
}

fn is_check_due(shared: &IngressShared, service: &str) -> bool {
    let now = shared.clock.now();
    let driven = shared.rollouts.driven.lock();
    driven.get(service).is_some_and(|it| {
        let is_stale = it.checked.is_none_or(|it| it + CHECK_MS <= now);
        let is_attempt_due = it.is_mine || it.last_attempt.is_none_or(|it| it + CHECK_MS <= now);
        is_stale && is_attempt_due
    })
}

/// Reads the record, and takes the roll-out over if the record names no live driver.
async fn check(shared: &Arc<IngressShared>, service: &str) {
    let begun = shared.clock.now();
    let may_take_over = may_take_over(shared, service);
    if let Some(it) = shared.rollouts.driven.lock().get_mut(service) {
        it.last_attempt = Some(begun);
    }
    let mut records = shared.rollouts.records.lock().await;
    let Ok((found, end)) = records.read(service).await else { return };
    let claim = {
        let mut driven = shared.rollouts.driven.lock();
        let Some(it) = driven.get_mut(service) else { return };
        it.end = end;
        let offset = it.rollout.offset();
        let current = found.filter(|it| it.order == offset);
        if !apply_record(shared, it, current.as_ref(), (begun, may_take_over)) {
            return;
        }
        it.checked = None;
        // A store restored from an older copy may lack the record of this instance.
        let own = it.is_mine.then_some(&it.rollout);
        let recorded_permits = current.as_ref().map_or(0, |it| it.spent);
        Record {
            order: offset,
            driver: shared.settings.instance.clone(),
            life: shared.own_peer().incarnation,
            phase: own.map(|it| it.phase()).filter(|it| it.is_final()).unwrap_or_default(),
            spent: own.map_or(0, |it| it.reserve()).max(recorded_permits),
            until: current
                .map_or_else(|| to_unix_ms(shared, it.rollout.order().until), |it| it.until),
        }
    };
    match records.write(service, &claim, end).await {
        Ok(end) => claim_written(shared, service, &claim, (begun, end)),
        Err(it) => log_unwritten(shared, service, "claim", it),
    }
}

/// Applies a record of the order; returns whether this instance is to take the roll-out over.
fn apply_record(
    shared: &IngressShared,
    driven: &mut Driven,
    record: Option<&Record>,
    (begun, may_take_over): (Millis, bool),
) -> bool {
    let Some(record) = record else { return true };
    let is_own =
        record.driver == shared.settings.instance && record.life == shared.own_peer().incarnation;
    if record.phase.is_final() {
        if !driven.rollout.phase().is_final() || driven.rollout.phase() != record.phase {
            driven.rollout.adopt_final(begun, record.phase);
        }
        driven.decided = None;
    }
    if is_own || record.phase.is_final() {
        (driven.is_mine, driven.other, driven.checked) = (true, None, Some(begun));
        return false;
    }
    if shared.peers.is_responsive_incarnation(&record.driver, &record.life) && !may_take_over {
        if driven.is_mine {
            let detail = format!("driver={} drives=false", record.driver);
            emit(events::ROLLOUT_DRIVER, &shared.settings.instance, &detail);
        }
        (driven.is_mine, driven.other) = (false, Some(record.driver.clone()));
        return false;
    }
    true
}

fn claim_written(
    shared: &IngressShared,
    service: &str,
    claim: &Record,
    (begun, end): (Millis, u64),
) {
    let mut driven = shared.rollouts.driven.lock();
    let Some(it) = driven.get_mut(service) else { return };
    if claim.phase.is_final() {
        (it.checked, it.end) = (Some(begun), end);
        return;
    }
    let order = it.rollout.order().clone();
    let now = shared.clock.now();
    *it = Driven::new(now, order, shared.rollouts.bound, claim.spent);
    it.rollout.limit_deadline(now.saturating_add(claim.until.saturating_sub(unix_ms())));
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

/// The phase to enter now, if this instance is the confirmed driver.
fn due_phase(shared: &IngressShared, service: &str, is_withdrawn: bool) -> Option<(Phase, Reason)> {
    let (old, new) = shared.rollouts.local.lock().get(service).map(|it| it.targets.open_counts)?;
    let now = shared.clock.now();
    let mut driven = shared.rollouts.driven.lock();
    let it = driven.get_mut(service).filter(|it| it.is_confirmed(now))?;
    let next =
        if is_withdrawn { it.rollout.withdrawal() } else { it.rollout.due_phase(now, new, old) };
    it.decided = next.as_ref().map(|it| it.0);
    next
}

/// Records a final phase, or else a reservation of permits if more are needed. Returns whether a record
/// was written.
async fn record(shared: &Arc<IngressShared>, service: &str, end: Option<Phase>) -> bool {
    let mut records = shared.rollouts.records.lock().await;
    let begun = shared.clock.now();
    let (record, at) = {
        let driven = shared.rollouts.driven.lock();
        let Some(it) = driven.get(service) else { return false };
        let reserve = it.rollout.reserve_due().filter(|_| it.is_confirmed(begun));
        if end.is_none() && reserve.is_none() {
            return false;
        }
        let record = Record {
            order: it.rollout.offset(),
            driver: shared.settings.instance.clone(),
            life: shared.own_peer().incarnation,
            phase: end.unwrap_or_default(),
            spent: reserve.unwrap_or(it.rollout.reserve()),
            until: to_unix_ms(shared, it.rollout.order().until),
        };
        (record, it.end)
    };
    let written = records.write(service, &record, at).await;
    let mut driven = shared.rollouts.driven.lock();
    let Some(it) = driven.get_mut(service) else { return false };
    match written {
        Ok(end) => {
            (it.end, it.checked) = (end, Some(begun));
            it.rollout.confirm_reserve(record.spent);
            true
        }
        Err(cause) => {
            // Forces a read of the record before the next decision.
            it.checked = None;
            drop(driven);
            log_unwritten(shared, service, "phase", cause);
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

/// Publishes the status to operators if it has changed.
async fn publish_status(shared: &Arc<IngressShared>, service: &str) {
    let now = shared.clock.now();
    let (order, status) = {
        let driven = shared.rollouts.driven.lock();
        let Some(it) = driven.get(service).filter(|it| it.is_confirmed(now)) else { return };
        let state = it.rollout.phase().state();
        if it.published == Some(state) || !it.rollout.may_publish(now) {
            return;
        }
        let version = it.rollout.order().version.clone();
        (it.rollout.offset(), Status { state, version })
    };
    let mut records = shared.rollouts.records.lock().await;
    match records.write_status(service, order, &status).await {
        Ok(()) => {
            if let Some(it) = shared.rollouts.driven.lock().get_mut(service) {
                it.published = Some(status.state);
            }
        }
        Err(it) => log_unwritten(shared, service, "status", it),
    }
}

fn log_unwritten(shared: &IngressShared, service: &str, what: &str, cause: WriteError) {
    let detail = format!("service={service} what={what} cause={cause:?}");
    emit(events::ROLLOUT_UNWRITTEN, &shared.settings.instance, &detail);
}

/// Adds the report of an instance, and answers with the phase and its quota.
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
    // The instance that saw the order first has the most accurate deadline.
    it.rollout.limit_deadline(now + left_ms);
    it.rollout.record_report(now, &instance, life, input);
    if !is_over && !it.is_confirmed(now) {
        return DriverAnswer::Nothing;
    }
    let quota = it.rollout.quota(&instance, life);
    let needed_routes = it.rollout.needed_routes();
    DriverAnswer::Word(DriverUpdate { offset, phase: it.reported_phase(), quota, needed_routes })
}

/// Reads the record of a roll-out if the driver has sent no update for [`RECORD_READ_MS`].
pub(super) async fn record_if_overdue(
    shared: &Arc<IngressShared>,
    service: &str,
) -> Option<Record> {
    let now = shared.clock.now();
    let offset = {
        let mut local = shared.rollouts.local.lock();
        let it = local.get_mut(service)?;
        if now < it.last_update + RECORD_READ_MS || now < it.last_read + RECORD_READ_MS {
            return None;
        }
        it.last_read = now;
        it.gate.order().offset
    };
    let mut records = shared.rollouts.records.lock().await;
    let (record, _) = records.read(service).await.ok()?;
    record.filter(|it| it.order == offset)
}

/// Converts a time of this instance's clock to milliseconds of Unix time.
fn to_unix_ms(shared: &IngressShared, time: Millis) -> Millis {
    unix_ms() + time.saturating_sub(shared.clock.now())
}
