//! Makes the faults of a plan, each for its time; they overlap.

use std::{sync::Arc, time::Duration};

use holdpoint_adapter_standin::{Behaviour, Outage, Shed, Target};
use rustix::process::Signal;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    fleet::{Fleet, domain_name, domain_of},
    plan::{DOMAINS, Fault, Kind, Plan, TARGETS, TargetFault, Way},
    verdict::EVENTS,
};

/// How long a target that joins is cold, in milliseconds.
const COLD_MS: u64 = 1000;

/// Plays all faults, then ends whatever still lasts.
pub(crate) async fn play(fleet: &Arc<Fleet>, plan: &Plan) {
    let begun = fleet.clock.now();
    let mut making = JoinSet::new();
    for fault in &plan.faults {
        let wait = (begun + fault.at).saturating_sub(fleet.clock.now());
        sleep(Duration::from_millis(wait)).await;
        making.spawn(make(fleet.clone(), *fault));
    }
    while making.join_next().await.is_some() {}
    end_all(fleet);
}

async fn make(fleet: Arc<Fleet>, fault: Fault) {
    let lasts = Duration::from_millis(fault.lasts);
    match fault.kind {
        Kind::Stop(process) => fleet.signal(process, Signal::TERM),
        Kind::Kill(process) => fleet.signal(process, Signal::KILL),
        Kind::Reload(process) => fleet.signal(process, Signal::HUP),
        Kind::Pause(process) => {
            fleet.signal(process, Signal::STOP);
            sleep(lasts).await;
            fleet.signal(process, Signal::CONT);
        }
        Kind::StoreLink(process, way) => strike(&fleet.store_links[process], way, lasts).await,
        Kind::TargetLink(target, way) => {
            let from = fleet.clock.now();
            strike(&fleet.targets[target].proxy, way, lasts).await;
            fleet.struck_links.lock().push((target, from..=fleet.clock.now()));
        }
        Kind::StoreAway { is_silent } => {
            fleet.store.gate.set_outage(if is_silent { Outage::Silent } else { Outage::Busy });
            sleep(lasts).await;
            fleet.store.gate.set_outage(Outage::None);
        }
        Kind::StoreForgets => fleet.store.compact(),
        Kind::Target(target, how) => {
            fleet.targets[target].target.set_behaviour(behaviour(target, how));
            sleep(lasts).await;
            fleet.targets[target].target.set_behaviour(usual(target));
        }
        Kind::TargetLeaves(target) => replace(&fleet, target).await,
        Kind::Evacuate(domain) => {
            fleet.store.evacuate(&domain_name(domain));
            sleep(lasts).await;
            fleet.store.restore(&domain_name(domain));
        }
        Kind::Configure => fleet.configure(),
        Kind::SaysLeaving(target) => {
            fleet.targets[target].target.set_leaving(true);
            sleep(lasts).await;
            replace(&fleet, target).await;
        }
        Kind::AsksBackoff { target, ms } => {
            let target = &fleet.targets[target].target;
            target.set_shed(Some(Shed::for_rest(Duration::from_millis(ms))));
            sleep(lasts).await;
            target.set_shed(None);
        }
        Kind::Limit { target, per_10_s } => {
            let target = &fleet.targets[target].target;
            target.set_limit(Some(f64::from(per_10_s) / 10.0));
            sleep(lasts).await;
            target.set_limit(None);
        }
    }
}

async fn strike(link: &crate::proxy::Proxy, way: Way, lasts: Duration) {
    link.set(Some(way));
    sleep(lasts).await;
    link.set(None);
}

/// A target leaves for good; another one of its service has joined before.
async fn replace(fleet: &Fleet, target: usize) {
    let leaving = &fleet.targets[target].target;
    let count = fleet.joined.lock().len();
    let id = format!("i-joined-{target}-{count}-{}", fleet.clock.now());
    let joined = Target::start(&id, &leaving.service, usual(target)).await;
    // It comes cold, as after a start.
    fleet.store.put_target_in(&joined, &domain_of(target), COLD_MS);
    fleet.joined.lock().push(joined);
    fleet.store.put_target(leaving, true);
}

fn end_all(fleet: &Fleet) {
    fleet.store.gate.set_outage(Outage::None);
    (0..DOMAINS).for_each(|it| fleet.store.restore(&domain_name(it)));
    fleet.store_links.iter().for_each(|it| it.set(None));
    for (index, it) in fleet.targets.iter().enumerate() {
        it.proxy.set(None);
        it.target.set_behaviour(usual(index));
        it.target.set_limit(None);
        it.target.set_shed(None);
    }
    for process in 0..fleet.store_links.len() {
        fleet.signal(process, Signal::CONT);
    }
}

fn usual(target: usize) -> Behaviour {
    match target / TARGETS {
        1 => Behaviour::Events(EVENTS),
        _ => Behaviour::Answer,
    }
}

fn behaviour(target: usize, how: TargetFault) -> Behaviour {
    match how {
        TargetFault::Declines => Behaviour::Decline,
        TargetFault::Fails => Behaviour::Fail,
        TargetFault::Cuts => Behaviour::RunAndCut,
        TargetFault::Hangs => Behaviour::RunAndHang,
        TargetFault::Crosses => Behaviour::Cross,
        TargetFault::Breaks if target / TARGETS == 1 => Behaviour::BreakAfter(2),
        TargetFault::Breaks => Behaviour::CutBody,
    }
}
