//! Rate limits that targets state in their responses.
//!
//! Every send to a target needs a [`Permit`], which only this module issues. For a target with a limit, one
//! instance owns the rate-limit state: the one that batches and places for the target's service. Other
//! instances request permits from it.

mod updates;

use std::{sync::Arc, time::Duration};

use holdpoint_core::{
    directory::{TargetId, TargetInstance},
    ids::Millis,
    route::{Call, Choice, NoTarget},
    target_limits::{
        Allowance, AnswerSpan, Change, LimitUpdate, NamedLimit, Ownership, Slot, TargetLimits,
    },
};
use holdpoint_schema::resources::Policy;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    events::{self, emit},
    ingress::{
        peer_service::{PromptRequest, RATE_LIMIT_PROTOCOL},
        peers::Owners,
        pools::Pool,
        shared::IngressShared,
    },
    metrics::label,
};

use self::updates::Outbox;
pub(crate) use self::updates::{apply_updates, run};

/// How long nothing is sent to a target if no owner of its rate limit answered.
const OWNER_RETRY_MS: Millis = 250;
/// Maximum number of targets for which one decision requests a permit.
const MAX_PERMIT_REQUESTS: u32 = 4;
/// Maximum time that a request waits for a permit.
pub(crate) const MAX_PERMIT_WAIT: Duration = Duration::from_millis(400);

/// Permission to send one request to a target.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Whether it was counted against a limit.
    is_taken: bool,
}

/// Outcome of choosing a target for a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Assignment {
    /// The prompt goes to a target.
    To {
        /// The target.
        target: TargetId,
        /// Whether it was counted against the target's rate limit.
        #[serde(rename = "is_taken")]
        is_counted: bool,
    },
    /// A target accepts the next request in this many milliseconds, and the request can wait until then.
    Wait(Millis),
    /// The rate limits of all targets are used up for longer than the request can wait.
    Later {
        /// Milliseconds until the first target accepts another request.
        soonest_ms: Millis,
        /// Retry-After of the request, in milliseconds.
        return_ms: Millis,
    },
    /// No target is available.
    Nowhere,
}

/// Rate limits of targets, as known to this instance.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: Mutex<TargetLimits>,
    outbox: Outbox,
}

impl Limits {
    /// Records the limit that a target stated in its response to a request sent at `sent`.
    pub(crate) fn observe(
        &self,
        shared: &IngressShared,
        target: &TargetInstance,
        named: NamedLimit,
        sent: Millis,
    ) {
        let made = AnswerSpan { sent, received: shared.clock.now() };
        let key = (target.id.as_str(), target.service.as_str());
        let change = self.known.lock().observe(made, key, named);
        self.log_change(shared, &target.id, change, "answer");
        if change != Change::Nothing {
            self.outbox.queue_for_owner(&target.id);
        }
    }

    /// Removes the limit of a target that is gone or has restarted.
    pub(crate) fn remove(&self, id: &str) {
        self.known.lock().remove(id);
    }

    /// Formats a target's limit for a log line; empty if it has none.
    pub(crate) fn log_suffix(&self, id: &str) -> String {
        let per_s = self.known.lock().per_s(id);
        per_s.map_or(String::new(), |it| format!(" limit_per_s={it}"))
    }

    /// Whether this instance owns the state of any rate limit.
    pub(crate) fn owns_any(&self) -> bool {
        self.known.lock().owns_any()
    }

    /// Whether a permit still allows a send. One issued before the target stated a limit does not.
    pub(crate) fn allows(&self, permit: &Permit, id: &str) -> bool {
        permit.is_taken || !self.known.lock().is_limited(id)
    }

    /// Passes the remaining allowance of each rate-limited target of a service to `apply`.
    pub(crate) fn allowances(
        &self,
        shared: &IngressShared,
        service: &str,
        apply: impl FnMut(Allowance<'_>),
    ) {
        let known = self.known.lock();
        if !known.is_empty() {
            let keeping = ownership(shared);
            known.allowances(shared.clock.now(), service, keeping).for_each(apply);
        }
    }

    /// Total rate of the rate-limited targets of a service, in requests per second.
    pub(crate) fn total_per_s(&self, service: &str) -> f64 {
        self.known.lock().total_per_s(service)
    }

    fn log_change(&self, shared: &IngressShared, id: &str, change: Change, source: &str) {
        let (name, before) = match change {
            Change::Nothing => return,
            Change::Began => ("began", String::new()),
            Change::Altered { before } => ("altered", format!(" before={before}")),
            Change::Ended => ("ended", String::new()),
        };
        let per_s = self.known.lock().per_s(id).map_or("none".to_owned(), |it| it.to_string());
        let detail = format!("target={id} per_s={per_s}{before} source={source}");
        emit(events::TARGET_LIMIT_CHANGED, &shared.settings.instance, &detail);
        shared.metrics.target_limits.add(1, &[label("change", name)]);
    }
}

/// Confidence that this instance is the only owner of its rate limits, from the number of possible owners that
/// respond.
fn ownership(shared: &IngressShared) -> Ownership {
    let (reached, of) = shared.peers.owners_reached();
    if reached == of { Ownership::Sole } else { Ownership::Contested { reached, of } }
}

/// The peer that owns the state of a target's rate limit; `None` if this instance does. Peers of earlier
/// versions own none.
fn owner_of(shared: &IngressShared, target: &TargetInstance) -> Option<String> {
    let region = shared.topology.region_of(&target.domain);
    let region =
        region.filter(|it| shared.topology.has_regions() && shared.peers.has_responsive_in(it));
    shared.peers.owner_with_protocol(
        RATE_LIMIT_PROTOCOL,
        region.map_or(Owners::Any, Owners::Region),
        &target.service,
    )
}

/// Requests a permit for a target, from the owner of its rate limit.
///
/// # Errors
///
/// The milliseconds after which the target accepts another request.
pub(crate) async fn acquire(
    shared: &Arc<IngressShared>,
    target: &TargetInstance,
) -> Result<Permit, Millis> {
    let now = shared.clock.now();
    let limits = &shared.limits;
    let known = limits.known.lock().update(now, &target.id).filter(|it| it.per_s.is_some());
    let Some(known) = known else { return Ok(Permit { is_taken: false }) };
    let slot = match owner_of(shared, target) {
        None => take_local(shared, target, ownership(shared)),
        Some(it) => {
            let slot = shared.peers.take_slot(shared, &it, known).await;
            let slot = slot.unwrap_or(Slot::Refused(OWNER_RETRY_MS));
            apply_slot(shared, target, now, slot);
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

/// Takes a permit for a target whose rate limit this instance owns; `None` if a peer owns it.
pub(crate) fn acquire_local(
    shared: &IngressShared,
    target: &TargetInstance,
) -> Option<Result<Permit, Millis>> {
    if !shared.limits.known.lock().is_limited(&target.id) {
        return Some(Ok(Permit { is_taken: false }));
    }
    if owner_of(shared, target).is_some() {
        return None;
    }
    Some(match take_local(shared, target, ownership(shared)) {
        Slot::Free | Slot::Taken => Ok(Permit { is_taken: true }),
        Slot::Refused(ms) => Err(ms),
    })
}

fn take_local(shared: &IngressShared, target: &TargetInstance, keeping: Ownership) -> Slot {
    shared.limits.known.lock().try_acquire(shared.clock.now(), &target.id, keeping)
}

/// Applies the response of the owner of a target's rate limit.
fn apply_slot(shared: &IngressShared, target: &TargetInstance, asked: Millis, slot: Slot) {
    let limits = &shared.limits;
    match slot {
        Slot::Taken => (),
        Slot::Refused(ms) => limits.known.lock().record_refusal(shared.clock.now(), &target.id, ms),
        Slot::Free => {
            let key = (target.id.as_str(), target.service.as_str());
            let made = AnswerSpan { sent: asked, received: shared.clock.now() };
            let change = limits.known.lock().apply(made, key, None);
            limits.log_change(shared, &target.id, change, "peer");
        }
    }
}

/// Answers a peer's request for a permit for a target whose rate limit this instance owns.
pub(crate) fn serve_permit(shared: &IngressShared, known: LimitUpdate) -> Slot {
    let Some(target) = shared.target(&known.target) else { return Slot::Refused(OWNER_RETRY_MS) };
    if owner_of(shared, &target).is_some() {
        return Slot::Refused(OWNER_RETRY_MS);
    }
    if shared.limits.known.lock().is_stale(&known) {
        return Slot::Free;
    }
    apply_updates(shared, vec![known]);
    take_local(shared, &target, ownership(shared))
}

/// Chooses a target and takes a permit for it.
///
/// # Errors
///
/// If the rate limits of all targets tried are used up, the error holds the milliseconds until one accepts
/// another request.
pub(crate) async fn choose(
    shared: &Arc<IngressShared>,
    pool: &Pool,
    policy: Option<&Policy>,
    call: &Call<'_>,
    region: Option<&str>,
) -> Result<(Choice, Permit), NoTarget> {
    let mut soonest = Millis::MAX;
    for _ in 0..MAX_PERMIT_REQUESTS {
        let now = shared.clock.now();
        let choice = pool.choose(now, policy, call, region, shared)?;
        let permit = match shared.target(&choice.address) {
            Some(it) => acquire(shared, &it).await,
            // The sender will find that the target is gone.
            None => Ok(Permit { is_taken: false }),
        };
        match permit {
            Ok(it) => {
                pool.record_placed(shared.clock.now(), &choice.address, call);
                return Ok((choice, it));
            }
            Err(ms) => soonest = soonest.min(ms),
        }
    }
    Err(NoTarget::Limited(soonest))
}

/// Chooses a target for a prompt of any instance. The request can wait up to `patience_ms` milliseconds for a
/// permit.
pub(crate) async fn assign(
    shared: &Arc<IngressShared>,
    service: &str,
    prompt: PromptRequest,
    patience_ms: Millis,
) -> Assignment {
    let within = prompt.confinement.bounds(&shared.topology);
    let mut prompt = prompt;
    if let Some(it) = &prompt.version {
        prompt.avoided.extend(shared.targets_of_other_versions(service, it));
    }
    let call = prompt.call(within.as_deref());
    let policy = prompt.policy.as_ref().and_then(|it| shared.experiments.active().policy(it));
    let pool = shared.pools.of(shared.clock.now(), service);
    let region = Some(shared.topology.own_region());
    match choose(shared, &pool, policy.as_deref(), &call, region).await {
        Ok((choice, permit)) => {
            Assignment::To { target: choice.address, is_counted: permit.is_taken }
        }
        Err(NoTarget::Limited(ms)) if ms <= patience_ms => Assignment::Wait(ms),
        Err(NoTarget::Limited(soonest_ms)) => {
            Assignment::Later { soonest_ms, return_ms: return_ms(shared, &pool, soonest_ms, 1) }
        }
        Err(_) => Assignment::Nowhere,
    }
}

/// Retry-After, in milliseconds, of a request refused because all targets of its service have used up their
/// rate limits: the next one accepts a request in `soonest` milliseconds, and `deciders` instances place
/// requests. Refused requests are spread over time.
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
    /// Whether it was counted against a limit.
    pub(crate) fn is_counted(&self) -> bool {
        self.is_taken
    }

    /// The permit of a request that this instance relays for a peer.
    pub(crate) fn relayed(is_counted: bool) -> Permit {
        Permit { is_taken: is_counted }
    }

    /// The permit for a target that a peer has assigned and counted against its limit.
    pub(crate) fn assigned() -> Permit {
        Permit { is_taken: true }
    }
}
