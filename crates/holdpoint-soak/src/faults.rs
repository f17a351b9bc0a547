//! Injects the faults of a plan, each at its time and for its duration; faults may overlap.

use std::{sync::Arc, time::Duration};

use holdpoint_adapter_standin::{Behaviour, Outage, Rejection, Target};
use rustix::process::Signal;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    callers,
    fleet::{FailedLink, Fleet, domain_name, domain_of, next_version, source_of},
    odd_entries,
    plan::{DOMAINS, Fault, FaultKind, LinkFault, Plan, SMALL_SHARE, TARGETS, TargetFault},
    verdict::EVENTS,
};

/// Interval of the connections that a crowd opens.
const CROWD_INTERVAL: Duration = Duration::from_millis(4);
/// Period of a processor's quota.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// Period of a processor that runs a process in long slices.
const COARSE_PERIOD: Duration = Duration::from_millis(600);
/// Cold-start period of a replacement target.
const COLD_START_MS: u64 = 1000;

/// Injects all faults of the plan, then clears those that are still active.
pub(crate) async fn play(fleet: &Arc<Fleet>, plan: &Plan) {
    let start = fleet.clock.now();
    let mut injecting = JoinSet::new();
    for fault in &plan.faults {
        let wait = (start + fault.at).saturating_sub(fleet.clock.now());
        sleep(Duration::from_millis(wait)).await;
        injecting.spawn(inject(fleet.clone(), *fault));
    }
    while injecting.join_next().await.is_some() {}
    clear_all(fleet);
}

async fn inject(fleet: Arc<Fleet>, fault: Fault) {
    let duration = Duration::from_millis(fault.duration);
    match fault.kind {
        FaultKind::Stop(process) => fleet.signal(process, Signal::TERM),
        FaultKind::LateStop { process, after } => {
            fleet.signal(process, Signal::TERM);
            sleep(Duration::from_millis(after)).await;
            fleet.signal(process, Signal::STOP);
            sleep(duration).await;
            fleet.signal(process, Signal::CONT);
        }
        FaultKind::Kill(process) => fleet.signal(process, Signal::KILL),
        FaultKind::Reload(process) => fleet.signal(process, Signal::HUP),
        FaultKind::Pause(process) => {
            fleet.signal(process, Signal::STOP);
            sleep(duration).await;
            fleet.signal(process, Signal::CONT);
        }
        FaultKind::StoreLink(process, link_fault) => {
            fail_link(&fleet.store_links[process], link_fault, duration).await;
        }
        FaultKind::TargetLink(target, link_fault) => {
            let from = fleet.clock.now();
            fail_link(&fleet.targets[target].proxy, link_fault, duration).await;
            let span = from..=fleet.clock.now();
            fleet.failed_links.lock().push(FailedLink { target, span, process: None });
        }
        FaultKind::ProcessCut(process, link_fault) => {
            let from = fleet.clock.now();
            let source = source_of(process);
            fleet.targets.iter().for_each(|it| it.proxy.set_from(source, Some(link_fault)));
            sleep(duration).await;
            fleet.targets.iter().for_each(|it| it.proxy.set_from(source, None));
            let span = from..=fleet.clock.now();
            let failed = (0..fleet.targets.len()).map(|target| FailedLink {
                target,
                span: span.clone(),
                process: Some(process),
            });
            fleet.failed_links.lock().extend(failed);
        }
        FaultKind::StoreOutage { is_silent } => {
            fleet.store.endpoint.set_outage(if is_silent { Outage::Silent } else { Outage::Busy });
            sleep(duration).await;
            fleet.store.endpoint.set_outage(Outage::None);
        }
        FaultKind::StoreCompaction => fleet.store.compact(),
        FaultKind::Target(target, how) => {
            fleet.targets[target].target.set_behaviour(behaviour(target, how));
            sleep(duration).await;
            fleet.targets[target].target.set_behaviour(normal_behaviour(target));
        }
        FaultKind::TargetDrains(target) => replace(&fleet, target).await,
        FaultKind::Evacuate(domain) => {
            fleet.store.evacuate(&domain_name(domain));
            sleep(duration).await;
            fleet.store.restore(&domain_name(domain));
        }
        FaultKind::Configure => fleet.configure(None),
        FaultKind::Change(it) => fleet.configure(Some(it)),
        FaultKind::Crowd(process) => crowd(&fleet, process, duration).await,
        FaultKind::SmallShare(process) => {
            share_processor(&fleet, process, duration, QUOTA_PERIOD).await;
        }
        FaultKind::CoarseShare(process) => {
            share_processor(&fleet, process, duration, COARSE_PERIOD).await;
        }
        FaultKind::DrainNotice(target) => {
            fleet.targets[target].target.set_draining(true);
            sleep(duration).await;
            replace(&fleet, target).await;
        }
        FaultKind::BackoffNotice { target, ms } => {
            let target = &fleet.targets[target].target;
            target.set_rejection(Some(Rejection::with_backoff(Duration::from_millis(ms))));
            sleep(duration).await;
            target.set_rejection(None);
        }
        FaultKind::Answers { target, fault } => {
            fleet.targets[target].set_answer_fault(Some(fault));
            sleep(duration).await;
            fleet.targets[target].set_answer_fault(None);
        }
        FaultKind::OddEntries { page_items, page_fault } => {
            odd_entries::write(&fleet.store, (page_items, page_fault), duration).await;
        }
        FaultKind::Limit { target, per_10_s } => {
            let target = &fleet.targets[target].target;
            target.set_limit(Some(f64::from(per_10_s) / 10.0));
            sleep(duration).await;
            target.set_limit(None);
        }
    }
}

/// Opens many connections, most of them to one process.
async fn crowd(fleet: &Arc<Fleet>, process: usize, duration: Duration) {
    let from = fleet.clock.now();
    let mut calls = JoinSet::new();
    for caller in 0..(duration.as_millis() / CROWD_INTERVAL.as_millis()) as usize {
        calls.spawn(callers::call_in_crowd(fleet.callers.clone(), process, caller));
        sleep(CROWD_INTERVAL).await;
    }
    fleet.crowds.lock().push(from..=fleet.clock.now());
    while calls.join_next().await.is_some() {}
}

/// Lets a process run for a part of each period only.
async fn share_processor(fleet: &Fleet, process: usize, duration: Duration, period: Duration) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        fleet.signal(process, Signal::STOP);
        sleep(period.mul_f64(1.0 - SMALL_SHARE)).await;
        fleet.signal(process, Signal::CONT);
        sleep(period.mul_f64(SMALL_SHARE)).await;
    }
}

async fn fail_link(link: &crate::proxy::Proxy, link_fault: LinkFault, duration: Duration) {
    link.set(Some(link_fault));
    sleep(duration).await;
    link.set(None);
}

/// Starts a replacement for a target in the same service, then marks the target as draining for good.
async fn replace(fleet: &Fleet, target: usize) {
    let draining = &fleet.targets[target].target;
    let count = fleet.replacements.lock().len();
    let id = format!("i-joined-{target}-{count}-{}", fleet.clock.now());
    let replacement = Target::start(&id, &draining.service, normal_behaviour(target)).await;
    // A new engine runs the version after that of the engine that it replaces.
    replacement.set_version(next_version(draining.version()));
    // A new target starts cold.
    fleet.store.put_target_in(&replacement, &domain_of(target), COLD_START_MS);
    fleet.replacements.lock().push(replacement);
    fleet.store.put_target(draining, true);
}

fn clear_all(fleet: &Fleet) {
    fleet.store.endpoint.set_outage(Outage::None);
    odd_entries::remove(&fleet.store);
    (0..DOMAINS).for_each(|it| fleet.store.restore(&domain_name(it)));
    fleet.store_links.iter().for_each(|it| it.set(None));
    for (index, it) in fleet.targets.iter().enumerate() {
        it.proxy.set(None);
        (0..fleet.store_links.len())
            .for_each(|process| it.proxy.set_from(source_of(process), None));
        it.target.set_behaviour(normal_behaviour(index));
        it.target.set_limit(None);
        it.target.set_rejection(None);
        it.set_answer_fault(None);
    }
    for process in 0..fleet.store_links.len() {
        fleet.signal(process, Signal::CONT);
    }
}

fn normal_behaviour(target: usize) -> Behaviour {
    match target / TARGETS {
        1 => Behaviour::Events(EVENTS),
        _ => Behaviour::Answer,
    }
}

fn behaviour(target: usize, how: TargetFault) -> Behaviour {
    match how {
        TargetFault::Declines if target / TARGETS == 2 => Behaviour::DeclineItems,
        TargetFault::Declines => Behaviour::Decline,
        TargetFault::Fails => Behaviour::Fail,
        TargetFault::Disconnects => Behaviour::RunAndCut,
        TargetFault::Hangs => Behaviour::RunAndHang,
        TargetFault::SwapsId => Behaviour::WrongRequestId,
        TargetFault::Truncates if target / TARGETS == 1 => Behaviour::BreakAfter(2),
        TargetFault::Truncates => Behaviour::CutBody,
    }
}
