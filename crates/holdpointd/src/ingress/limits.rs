//! Limits that targets name in their answers: who keeps their accounts, and what instances tell each other.
//!
//! Whatever is sent to a target needs a [`Permit`], which only this module gives. For a target that names a
//! limit, the instance that batches and places for its service gives it; the others ask that one.

mod news;

use std::{sync::Arc, time::Duration};

use holdpoint_core::{
    directory::{TargetId, TargetInstance},
    ids::Millis,
    route::{Call, Choice, NoTarget},
    target_limits::{
        Allowance, AnswerSpan, Change, Keeping, LimitNews, NamedLimit, Slot, TargetLimits,
    },
};
use holdpoint_schema::resources::Policy;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    events::{self, emit},
    ingress::{
        peer_service::{LIMITS, PromptAsk},
        peers::Owners,
        pools::Pool,
        shared::IngressShared,
    },
    metrics::label,
};

use self::news::Outbox;
pub(crate) use self::news::{run, take_news};

/// How long a target gets nothing whose account nobody could be asked about, in milliseconds.
const UNKNOWN_MS: Millis = 250;
/// Targets that are asked about for one decision.
const MOST_ASKED: u32 = 4;
/// Longest time that a request waits until a target takes one more.
pub(crate) const LONGEST_WAIT: Duration = Duration::from_millis(400);

/// The right to send one request to a target.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Whether it counts against a limit.
    is_taken: bool,
}

/// What came of the choice of a target for a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Assignment {
    /// The prompt goes to a target, and counts against its limit where that is so.
    To {
        /// The target.
        target: TargetId,
        /// Whether it counts.
        is_taken: bool,
    },
    /// A target takes one more in so many milliseconds, which the request can wait.
    Wait(Millis),
    /// Every target has got what it takes.
    Later {
        /// When the first one takes one more, in milliseconds.
        soonest_ms: Millis,
        /// When the request may come back, in milliseconds.
        return_ms: Millis,
    },
    /// There is no target for it.
    Nowhere,
}

/// Limits of targets, as this instance knows them.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: Mutex<TargetLimits>,
    outbox: Outbox,
}

impl Limits {
    /// Takes in what a target's answer says of its limit, to a request that was sent at a time.
    pub(crate) fn observe(
        &self,
        shared: &IngressShared,
        target: &TargetInstance,
        named: NamedLimit,
        sent: Millis,
    ) {
        let made = AnswerSpan { sent, received: shared.clock.now() };
        let its = (target.id.as_str(), target.service.as_str());
        let change = self.known.lock().observe(made, its, named);
        self.note(shared, &target.id, change, "answer");
        if change != Change::Nothing {
            self.outbox.tell(&target.id);
        }
    }

    /// Takes in that a target is gone or has started anew.
    pub(crate) fn remove(&self, id: &str) {
        self.known.lock().remove(id);
    }

    /// A target's limit for the log; nothing where it has none.
    pub(crate) fn shown(&self, id: &str) -> String {
        let per_s = self.known.lock().per_s(id);
        per_s.map_or(String::new(), |it| format!(" limit_per_s={it}"))
    }

    /// Whether this instance keeps the account of a limit.
    pub(crate) fn keeps_any(&self) -> bool {
        self.known.lock().keeps_any()
    }

    /// Whether a permit still allows a send: one that was given before the target named a limit does not.
    pub(crate) fn allows(&self, permit: &Permit, id: &str) -> bool {
        permit.is_taken || !self.known.lock().is_limited(id)
    }

    /// Has someone take in what the targets of a service still take that name a limit.
    pub(crate) fn allowances(
        &self,
        shared: &IngressShared,
        service: &str,
        take_in: impl FnMut(Allowance<'_>),
    ) {
        let known = self.known.lock();
        if !known.is_empty() {
            let keeping = own_keeping(shared);
            known.allowances(shared.clock.now(), service, keeping).for_each(take_in);
        }
    }

    /// Requests a second that the targets of a service which name a limit take together.
    pub(crate) fn total_per_s(&self, service: &str) -> f64 {
        self.known.lock().total_per_s(service)
    }

    fn note(&self, shared: &IngressShared, id: &str, change: Change, source: &str) {
        let (name, before) = match change {
            Change::Nothing => return,
            Change::Began => ("began", String::new()),
            Change::Altered { before } => ("altered", format!(" before={before}")),
            Change::Ended => ("ended", String::new()),
        };
        let per_s = self.known.lock().per_s(id).map_or("none".to_owned(), |it| it.to_string());
        let detail = format!("target={id} per_s={per_s}{before} source={source}");
        emit(events::LIMIT_NAMED, &shared.settings.instance, &detail);
        shared.metrics.target_limits.add(1, &[label("change", name)]);
    }
}

/// How surely this instance is the only one that keeps its accounts.
fn own_keeping(shared: &IngressShared) -> Keeping {
    let (reached, of) = shared.peers.owners_reached();
    if reached == of { Keeping::Sure } else { Keeping::Unsure { reached, of } }
}

/// The peer that keeps the account of a target's limit; `None` where this instance does. Those of earlier
/// builds keep none.
fn keeper_of(shared: &IngressShared, target: &TargetInstance) -> Option<String> {
    let region = shared.topology.region_of(&target.domain);
    let region = region.filter(|it| shared.topology.is_split() && shared.peers.has_live_in(it));
    shared.peers.owner_since(LIMITS, region.map_or(Owners::Any, Owners::Of), &target.service)
}

/// Has a request let through to a target.
pub(crate) async fn ask(
    shared: &Arc<IngressShared>,
    target: &TargetInstance,
) -> Result<Permit, Millis> {
    let now = shared.clock.now();
    let limits = &shared.limits;
    let known = limits.known.lock().news(now, &target.id).filter(|it| it.per_s.is_some());
    let Some(known) = known else { return Ok(Permit { is_taken: false }) };
    let slot = match keeper_of(shared, target) {
        None => take_here(shared, target, own_keeping(shared)),
        Some(it) => {
            let slot = shared.peers.take_slot(shared, &it, known).await;
            let slot = slot.unwrap_or(Slot::Refused(UNKNOWN_MS));
            note_answer(shared, target, now, slot);
            slot
        }
    };
    match slot {
        Slot::Free | Slot::Taken => Ok(Permit { is_taken: true }),
        Slot::Refused(ms) => {
            let detail = format!("target={} wait_ms={ms}", target.id);
            emit(events::LIMIT_REACHED, &shared.settings.instance, &detail);
            Err(ms)
        }
    }
}

/// Has a request let through to a target whose account this instance keeps; `None` where a peer does.
pub(crate) fn ask_here(
    shared: &IngressShared,
    target: &TargetInstance,
) -> Option<Result<Permit, Millis>> {
    if !shared.limits.known.lock().is_limited(&target.id) {
        return Some(Ok(Permit { is_taken: false }));
    }
    if keeper_of(shared, target).is_some() {
        return None;
    }
    Some(match take_here(shared, target, own_keeping(shared)) {
        Slot::Free | Slot::Taken => Ok(Permit { is_taken: true }),
        Slot::Refused(ms) => Err(ms),
    })
}

fn take_here(shared: &IngressShared, target: &TargetInstance, keeping: Keeping) -> Slot {
    shared.limits.known.lock().take(shared.clock.now(), &target.id, keeping)
}

/// Takes in what whoever keeps a target's account has said.
fn note_answer(shared: &IngressShared, target: &TargetInstance, asked: Millis, slot: Slot) {
    let limits = &shared.limits;
    match slot {
        Slot::Taken => (),
        Slot::Refused(ms) => limits.known.lock().refused(shared.clock.now(), &target.id, ms),
        Slot::Free => {
            let its = (target.id.as_str(), target.service.as_str());
            let made = AnswerSpan { sent: asked, received: shared.clock.now() };
            let change = limits.known.lock().learn(made, its, None);
            limits.note(shared, &target.id, change, "peer");
        }
    }
}

/// Lets a request of a peer through to a target whose account this instance keeps.
pub(crate) fn answer_slot(shared: &IngressShared, known: LimitNews) -> Slot {
    let Some(target) = shared.target(&known.target) else { return Slot::Refused(UNKNOWN_MS) };
    if keeper_of(shared, &target).is_some() {
        return Slot::Refused(UNKNOWN_MS);
    }
    if shared.limits.known.lock().is_stale(&known) {
        return Slot::Free;
    }
    take_news(shared, vec![known]);
    take_here(shared, &target, own_keeping(shared))
}

/// Chooses a target and has a call let through to it. Where every target has got what it takes, the error
/// tells in how many milliseconds one takes more.
pub(crate) async fn choose(
    shared: &Arc<IngressShared>,
    pool: &Pool,
    policy: Option<&Policy>,
    call: &Call<'_>,
    region: Option<&str>,
) -> Result<(Choice, Permit), NoTarget> {
    let mut soonest = Millis::MAX;
    for _ in 0..MOST_ASKED {
        let now = shared.clock.now();
        let choice = pool.choose(now, policy, call, region, shared)?;
        let permit = match shared.target(&choice.address) {
            Some(it) => ask(shared, &it).await,
            // Whoever sends to it finds that it is gone.
            None => Ok(Permit { is_taken: false }),
        };
        match permit {
            Ok(it) => {
                pool.placed(shared.clock.now(), &choice.address, call);
                return Ok((choice, it));
            }
            Err(ms) => soonest = soonest.min(ms),
        }
    }
    Err(NoTarget::Limited(soonest))
}

/// Chooses the target that reads a prompt of any instance.
pub(crate) async fn assign(
    shared: &Arc<IngressShared>,
    service: &str,
    prompt: PromptAsk,
    patience_ms: Millis,
) -> Assignment {
    let within = prompt.confinement.bounds(&shared.topology);
    let call = prompt.call(within.as_deref());
    let policy = prompt.policy.as_ref().and_then(|it| shared.experiments.now().policy(it));
    let pool = shared.pools.of(shared.clock.now(), service);
    let region = Some(shared.topology.own_region());
    match choose(shared, &pool, policy.as_deref(), &call, region).await {
        Ok((choice, permit)) => {
            Assignment::To { target: choice.address, is_taken: permit.is_taken }
        }
        Err(NoTarget::Limited(ms)) if ms <= patience_ms => Assignment::Wait(ms),
        Err(NoTarget::Limited(soonest_ms)) => {
            Assignment::Later { soonest_ms, return_ms: return_ms(shared, &pool, soonest_ms, 1) }
        }
        Err(_) => Assignment::Nowhere,
    }
}

/// When a request may come back that is refused since every target of its service has got what it takes, where
/// one takes more in so many milliseconds and so many instances decide: after those that were refused before it.
pub(crate) fn return_ms(
    shared: &IngressShared,
    pool: &Pool,
    soonest: Millis,
    deciders: usize,
) -> Millis {
    let per_s = shared.limits.total_per_s(&pool.service) / deciders.max(1) as f64;
    pool.return_ms(shared.clock.now(), soonest, per_s)
}

impl Permit {
    /// The one that comes with a target that a peer has assigned and counted against its limit.
    pub(crate) fn assigned() -> Permit {
        Permit { is_taken: true }
    }
}
