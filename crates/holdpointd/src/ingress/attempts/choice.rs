//! The choice of the target for one send.

use std::time::Duration;

use holdpoint_core::{
    confinement::{Confinement, is_within},
    directory::{TargetId, TargetInstance},
    ids::Name,
    rollout::Lane,
    route::{Call, NoTarget},
};
use rand::seq::SliceRandom;

use super::StopCause;
use crate::{
    ingress::{
        backoff,
        context::Context,
        limits::{self, Assignment, Permit},
        peer_service::{PromptRequest, RATE_LIMIT_PROTOCOL},
        peers::TARGET_CHOICE_TIMEOUT,
        regions::{call_timeout, owner_of},
    },
    metrics::label,
};

/// A target that was chosen for a send.
pub(crate) struct Chosen {
    pub(crate) target: TargetInstance,
    pub(crate) permit: Permit,
    /// Reason for the choice, for the log.
    pub(crate) reason: String,
    /// Whether the request was sent to this target before.
    pub(crate) is_return: bool,
}

impl Chosen {
    fn new(target: TargetInstance, permit: Permit, reason: String) -> Chosen {
        Chosen { target, permit, reason, is_return: false }
    }
}

/// What a target must fulfil for a send.
pub(crate) struct TargetChoice<'a> {
    pub(crate) ctx: &'a Context,
    /// Version that the target must run, since it began the stream.
    pub(crate) version: Option<&'a str>,
    /// Bytes that the target fetches, by the failure domain that stores them.
    pub(crate) inputs: &'a [(Name, u64)],
    /// Targets that are not chosen, since the request was sent there.
    pub(crate) tried: Vec<TargetId>,
}

impl TargetChoice<'_> {
    /// Chooses a target and takes a permit for it.
    pub(crate) async fn choose(&mut self) -> Result<Chosen, StopCause> {
        match self.version {
            Some(it) => self.choose_of_version(it).await,
            None => self.choose_in_lane().await,
        }
    }

    /// Takes a permit for the first of these targets that is still open to the request.
    pub(crate) async fn choose_among(&self, targets: &[TargetId]) -> Option<Chosen> {
        let within = self.ctx.within();
        let shared = &self.ctx.shared;
        for id in targets {
            let found = match self.version {
                Some(_) => shared.open_or_draining_target(id),
                None => shared.open_target(id),
            };
            let is_fit = |it: &TargetInstance| {
                self.version.is_none_or(|version| it.version == version)
                    && is_within(within.as_deref(), &it.domain)
            };
            let Some(target) = found.filter(is_fit) else { continue };
            if let Ok(permit) = limits::acquire(shared, &target).await {
                let reason = "returns=true".to_owned();
                return Some(Chosen { target, permit, reason, is_return: true });
            }
        }
        None
    }

    /// Chooses a target for a request that continues a stream of a version. An operator's roll-out may hold this version
    /// back; no other one can take its place.
    async fn choose_of_version(&mut self, version: &str) -> Result<Chosen, StopCause> {
        let Context { shared, service, .. } = self.ctx;
        let is_open = shared.has_open_version(service, version)
            && shared.rollouts.admits(shared.clock.now(), service, version);
        if !is_open {
            return Err(StopCause::VersionGone);
        }
        let others = shared.targets_of_other_versions(service, version);
        match self.choose_untried(&others).await {
            Err(StopCause::NoTarget | StopCause::NoneLeft | StopCause::Evacuated) => {
                self.choose_draining(version).await
            }
            it => it,
        }
    }

    /// Chooses a draining target of a version, which no other target can replace.
    async fn choose_draining(&self, version: &str) -> Result<Chosen, StopCause> {
        let mut targets = self.draining_targets(version);
        targets.shuffle(&mut rand::rng());
        for target in targets {
            if let Ok(permit) = limits::acquire(&self.ctx.shared, &target).await {
                return Ok(Chosen::new(target, permit, "draining=true".to_owned()));
            }
        }
        Err(StopCause::NoTarget)
    }

    /// Draining targets of a version that the request was not sent to yet.
    fn draining_targets(&self, version: &str) -> Vec<TargetInstance> {
        let Context { shared, service, .. } = self.ctx;
        let within = self.ctx.within();
        let mut ids = shared.targets_of_version(service, version);
        ids.retain(|it| !self.tried.contains(it));
        let found = ids.iter().filter_map(|it| shared.open_or_draining_target(it));
        found.filter(|it| it.is_draining && is_within(within.as_deref(), &it.domain)).collect()
    }

    /// Whether a target could be chosen now.
    pub(crate) fn is_possible(&self) -> bool {
        let Context { shared, service, .. } = self.ctx;
        let Some(version) = self.version else {
            let now = shared.clock.now();
            let exclusions = shared.rollouts.likely_exclusions(now, service);
            return exclusions.iter().any(|it| self.has_candidate(it));
        };
        let others = shared.targets_of_other_versions(service, version);
        shared.has_open_version(service, version)
            && (self.has_candidate(&others) || !self.draining_targets(version).is_empty())
    }

    /// Whether a target can be chosen that the request was not sent to yet and that is not excluded.
    fn has_candidate(&self, excluded: &[TargetId]) -> bool {
        let ctx = self.ctx;
        let (within, policy, region) = (ctx.within(), ctx.policy(), ctx.call_region());
        let share = ctx.shared.pools.cold_share(ctx.is_placer());
        let excluded = [&self.tried, excluded].concat();
        let call = Call { share, within: within.as_deref(), ..ctx.call(&excluded) };
        let now = ctx.shared.clock.now();
        ctx.pool.choose(now, policy.as_deref(), &call, region.as_deref(), &ctx.shared).is_ok()
    }

    /// Chooses a target among those of the version that the roll-out assigns to the request. Where the new
    /// version has none available, a target of another version is chosen.
    async fn choose_in_lane(&mut self) -> Result<Chosen, StopCause> {
        let ctx = self.ctx;
        let rollouts = &ctx.shared.rollouts;
        let now = ctx.shared.clock.now();
        let lane = rollouts.lane(now, &ctx.service, &ctx.route.name);
        if lane == Lane::Any {
            return self.choose_untried(&[]).await;
        }
        let excluded = rollouts.excluded_targets(now, &ctx.service, lane);
        let mut chosen = self.choose_untried(&excluded).await;
        if chosen.is_err() && lane == Lane::New {
            let excluded = rollouts.excluded_targets(now, &ctx.service, Lane::Old);
            chosen = self.choose_untried(&excluded).await;
        }
        chosen.map(|it| Chosen { reason: format!("{} rollout={lane:?}", it.reason), ..it })
    }

    /// Chooses a target, with the reason for the log. One instance places the prompts of a service for all
    /// instances, since reading a long prompt delays every request on that engine, whoever sent it.
    async fn choose_untried(&mut self, excluded: &[TargetId]) -> Result<Chosen, StopCause> {
        let TargetChoice { ctx, version, inputs, .. } = *self;
        let is_bound = |it: &Chosen| version.is_none_or(|version| it.target.version == version);
        // A placing peer of an earlier version does not know the bound.
        let chosen = self.choose_at_peer(excluded).await?.filter(is_bound);
        let place = if chosen.is_some() { "peer" } else { "here" };
        ctx.shared.metrics.placements.add(1, &[label("by", place)]);
        if let Some(it) = chosen {
            return Ok(it);
        }
        loop {
            let is_placer = ctx.is_placer();
            let within = ctx.within();
            let share = ctx.shared.pools.cold_share(is_placer);
            let all_excluded = [&self.tried, excluded].concat();
            let call = Call { share, inputs, within: within.as_deref(), ..ctx.call(&all_excluded) };
            let (policy, region) = (ctx.policy(), ctx.call_region());
            let choosing =
                limits::choose(&ctx.shared, &ctx.pool, policy.as_deref(), &call, region.as_deref());
            let (choice, permit) = match choosing.await {
                Ok(it) => it,
                Err(NoTarget::Limited(ms)) if ms <= ctx.longest_wait_ms() => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    continue;
                }
                Err(NoTarget::Limited(ms)) => {
                    let placers = if is_placer { 1 } else { ctx.shared.peers.instance_count() };
                    let ms = limits::return_ms(&ctx.shared, &ctx.pool, ms, placers);
                    return Err(StopCause::Limited(ms));
                }
                Err(NoTarget::BackingOff(ms)) => match backoff::wait(ms, ctx.longest_wait_ms()) {
                    Some(it) => {
                        tokio::time::sleep(it).await;
                        continue;
                    }
                    None => return Err(StopCause::BackingOff(backoff::retry_after_ms(ms))),
                },
                Err(NoTarget::Cold(ms)) if ctx.may_wait_for(ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    continue;
                }
                Err(NoTarget::Cold(_)) => return Err(StopCause::Cold),
                Err(NoTarget::Evacuated) => return Err(StopCause::Evacuated),
                Err(NoTarget::Confined) => return Err(StopCause::Confined),
                Err(NoTarget::Empty) => return Err(StopCause::NoneLeft),
                Err(NoTarget::Tried | NoTarget::Full) => return Err(StopCause::NoTarget),
            };
            if let Some(target) = ctx.open_target(&choice.address) {
                let reason = format!(
                    "compared={} ejected={} predicted_ms={:.0} prefix={}",
                    choice.reason.compared,
                    choice.reason.ejected,
                    choice.reason.predicted,
                    choice.reason.prefix_hit
                );
                return Ok(Chosen::new(target, permit, reason));
            }
            self.tried.push(choice.address);
        }
    }

    /// Asks the instance that places the service's prompts to choose. `None` where the choice has to be made
    /// here: this is that instance, or the other one gives no usable answer.
    async fn choose_at_peer(&self, excluded: &[TargetId]) -> Result<Option<Chosen>, StopCause> {
        let TargetChoice { ctx, version, .. } = *self;
        let mut ejected = ctx.pool.ejected(ctx.shared.clock.now());
        loop {
            let (within, region) = (ctx.within(), ctx.region());
            let owner = owner_of(&ctx.shared, &region, &ctx.service, &within);
            let Some((prompt, address)) = self.prompt_request(&ejected, excluded).zip(owner) else {
                return Ok(None);
            };
            let is_unconstrained =
                within.is_none() && prompt.avoided.is_empty() && version.is_none();
            let limit = call_timeout(&ctx.shared, &region, TARGET_CHOICE_TIMEOUT);
            let peers = &ctx.shared.peers;
            let assignment = if peers.protocol_of(&address) < RATE_LIMIT_PROTOCOL {
                let placed = peers.place(&ctx.shared, &address, &ctx.service, prompt, limit);
                placed.await.map(|target| Assignment::To { target, is_counted: false })
            } else {
                let request = (prompt, ctx.longest_wait_ms());
                peers.assign(&ctx.shared, &address, &ctx.service, request, limit).await
            };
            match assignment {
                Some(Assignment::To { target, is_counted }) => {
                    let Some(target) = ctx.open_target(&target) else { return Ok(None) };
                    let permit = if is_counted {
                        Ok(Permit::assigned())
                    } else {
                        limits::acquire(&ctx.shared, &target).await
                    };
                    let reason = format!("placed_by={address}");
                    // A refused permit means that the placing peer did not know the target's limit. The request
                    // for the permit reports the limit.
                    return Ok(permit.ok().map(|permit| Chosen::new(target, permit, reason)));
                }
                // An ejected target is better than none.
                Some(Assignment::Wait(_) | Assignment::Later { .. }) if !ejected.is_empty() => {
                    ejected.clear();
                }
                Some(Assignment::Wait(ms)) if ms <= ctx.longest_wait_ms() => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                }
                Some(Assignment::Wait(ms)) => return Err(StopCause::Limited(ms)),
                Some(Assignment::Later { soonest_ms, return_ms }) => {
                    // A confined prompt, or one that avoids some targets, may be refused for that reason
                    // alone, which says nothing about other requests.
                    if is_unconstrained {
                        ctx.pool.refuse_for(ctx.shared.clock.now(), soonest_ms);
                    }
                    return Err(StopCause::Limited(return_ms));
                }
                Some(Assignment::Nowhere) | None => return Ok(None),
            }
        }
    }

    /// The placement request for this prompt, which excludes ejected targets; `None` where there is no prompt.
    fn prompt_request(&self, ejected: &[TargetId], excluded: &[TargetId]) -> Option<PromptRequest> {
        let TargetChoice { ctx, version, inputs, .. } = *self;
        let call = ctx.call(&self.tried);
        let mut avoided = [ejected, &self.tried].concat();
        // A roll-out's exclusions are known to the placing peer only as avoided targets.
        if version.is_none() {
            avoided.extend_from_slice(excluded);
        }
        // The placing peer does not know which targets have asked this instance to back off.
        let now = ctx.shared.clock.now();
        let backoffs = ctx.shared.backoffs.lock();
        avoided.extend(backoffs.of_service(now, &ctx.service).map(|it| it.0.clone()));
        drop(backoffs);
        let confinement = ctx.within().map_or_else(Confinement::default, |it| it.confinement());
        Some(PromptRequest {
            work: call.work,
            prefix_work: call.prefix_work,
            prefix: call.prefix?,
            avoided,
            policy: ctx.arm.as_ref().map(|it| it.policy.clone()),
            inputs: inputs.to_vec(),
            confinement,
            version: version.map(str::to_owned),
        })
    }
}
