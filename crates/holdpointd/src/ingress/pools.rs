//! State of each service on an instance: its targets, retry budget and observed times.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use holdpoint_core::{
    budget::{SharedBudget, Terms},
    cold::Share,
    deadline::{RecentTime, Times},
    directory::{Directory, TargetId, TargetInstance},
    evacuation::Evacuations,
    ids::{Millis, Name},
    ingress::Configuration,
    retry_times::RetryTimes,
    route::{Call, CallOutcome, Choice, Load, Member, NoTarget, Router},
    topology::Topology,
};
use holdpoint_schema::{
    ingress::IngressSettings,
    resources::{Policy, Route},
};
use parking_lot::{Mutex, RwLock};

use crate::ingress::{regions::REGION_RTT_MS, shared::IngressShared};

/// Consecutive failures that eject a target.
const EJECT_FAILURES: u32 = 2;
/// Duration of a target's first ejection.
const EJECT_MS: u64 = 1500;
/// Fraction of a pool that is never ejected.
const EJECT_FLOOR: f64 = 0.3;
/// Age up to which a report of the instance that batches for a service counts. Reports are sent more than twice
/// in this time.
const MAX_REPORT_AGE_MS: Millis = 600;
/// Half-life of the weight of a load report.
const REPORT_HALF_LIFE_MS: u64 = 400;

/// Lower bound of the rate that the retry times of refused requests are spaced by.
const MIN_RETRIES_PER_S: f64 = 0.1;

/// State of one service on an instance.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) service: Name,
    router: Mutex<Router>,
    budget: Mutex<SharedBudget>,
    /// Time to the first part of a response, in milliseconds.
    pub(crate) times: Mutex<Times>,
    /// Time of a stage of the service, as recently reported by the instance that batches for it.
    stage_time: Mutex<RecentTime>,
    /// Schedule of retry times of requests refused because of its targets' rate limits.
    returns: Mutex<RetryTimes>,
    /// Time until which the instance that places prompts for the service refuses them because its targets' rate
    /// limits are used up, in milliseconds.
    refused_until: AtomicU64,
    /// Number of changes of its targets.
    revision: AtomicU64,
    policy: Policy,
}

/// The targets of one service.
#[derive(Debug, Default)]
struct Targets {
    members: BTreeMap<TargetId, Member>,
    /// Cold targets, with the time until which they are cold, in milliseconds.
    cold: HashMap<TargetId, Millis>,
}

impl Targets {
    fn set_in(&self, now: Millis, router: &mut Router) {
        let members: Vec<Member> = self.members.values().cloned().collect();
        router.set_members(&members);
        self.cold.iter().for_each(|(id, until)| router.set_cold(now, id, *until));
    }

    fn put(&mut self, now: Millis, member: Member, cold_until: Millis) {
        self.cold.remove(&member.address);
        if now < cold_until {
            self.cold.insert(member.address.clone(), cold_until);
        }
        self.members.insert(member.address.clone(), member);
    }
}

/// Converts a target to a member of a routing pool.
fn member(target: &TargetInstance, is_evacuated: bool) -> Member {
    Member {
        address: target.id.clone(),
        domain: target.domain.clone(),
        is_draining: target.is_draining,
        is_evacuated,
    }
}

/// The pools of all services in use.
#[derive(Debug)]
pub(crate) struct Pools {
    pools: RwLock<HashMap<Name, Arc<Pool>>>,
    members: Mutex<HashMap<Name, Targets>>,
    /// Calls per second that a cold target can handle, by service.
    cold_rates: Mutex<HashMap<Name, f64>>,
    salt: String,
    domain: String,
    topology: Topology,
    ratio: f64,
    window_ms: Millis,
    slack: f64,
    instances: AtomicUsize,
}

impl Pools {
    /// Creates an empty set.
    pub(crate) fn new(settings: &IngressSettings) -> Pools {
        Pools {
            pools: RwLock::default(),
            members: Mutex::default(),
            cold_rates: Mutex::default(),
            salt: settings.instance.clone(),
            domain: settings.domain.clone(),
            topology: Topology::new(&settings.region, settings.regions.clone()),
            ratio: settings.retries.ratio,
            window_ms: (settings.retries.window_s * 1000.0) as Millis,
            slack: settings.retries.slack,
            instances: AtomicUsize::new(1),
        }
    }

    /// Sets the number of instances that share the retry budget.
    pub(crate) fn set_instances(&self, instances: usize) {
        self.instances.store(instances.max(1), Ordering::Release);
    }

    /// Terms of the retry budget.
    pub(crate) fn terms(&self) -> Terms {
        let instances = self.instances.load(Ordering::Acquire);
        Terms { ratio: self.ratio, window_ms: self.window_ms, slack: self.slack, instances }
    }

    /// Applies the rates of cold targets from the configuration.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        let services = configuration.services.values();
        let rates = services.filter_map(|it| Some((it.name.clone(), it.cold?.per_s))).collect();
        for (name, pool) in self.pools.read().iter() {
            pool.router.lock().set_cold_rate(cold_rate(&rates, name));
        }
        *self.cold_rates.lock() = rates;
    }

    /// Replaces the targets of all services.
    pub(crate) fn set_targets(
        &self,
        now: Millis,
        directory: &Directory,
        evacuations: &Evacuations,
    ) {
        let mut targets: HashMap<Name, Targets> = HashMap::new();
        for it in directory.all() {
            let of_service = targets.entry(it.service.clone()).or_default();
            let member = member(it, evacuations.is_evacuated(&it.domain));
            of_service.put(now, member, directory.cold_until(&it.id));
        }
        let none = Targets::default();
        for (name, pool) in self.pools.read().iter() {
            targets.get(name).unwrap_or(&none).set_in(now, &mut pool.router.lock());
            pool.record_change();
        }
        *self.members.lock() = targets;
    }

    /// Adds, updates or removes one target, given whether its failure domain is evacuated and until when it is
    /// cold, in milliseconds.
    pub(crate) fn put_target(
        &self,
        now: Millis,
        id: &str,
        found: Option<&TargetInstance>,
        (is_evacuated, cold_until): (bool, Millis),
    ) {
        self.remove_if(id, |service| found.is_none_or(|it| it.service != service));
        let Some(it) = found else { return };
        let member = member(it, is_evacuated);
        let mut all = self.members.lock();
        all.entry(it.service.clone()).or_default().put(now, member.clone(), cold_until);
        if let Some(pool) = self.pools.read().get(&it.service) {
            let mut router = pool.router.lock();
            router.put_member(member);
            router.set_cold(now, id, cold_until);
            pool.record_change();
        }
    }

    /// Removes a target and all that was learned about it.
    pub(crate) fn remove_target(&self, id: &str) {
        self.remove_if(id, |_| true);
    }

    fn remove_if(&self, id: &str, is_match: impl Fn(&str) -> bool) {
        let mut all = self.members.lock();
        for (service, targets) in all.iter_mut().filter(|it| is_match(it.0)) {
            targets.cold.remove(id);
            if targets.members.remove(id).is_none() {
                continue;
            }
            if let Some(pool) = self.pools.read().get(service) {
                pool.router.lock().remove_member(id);
                pool.record_change();
            }
        }
    }

    /// Share of a cold target's rate that a decision of this instance may use; `decides` is whether it places
    /// all prompts of the service.
    pub(crate) fn cold_share(&self, decides: bool) -> Share {
        if decides { Share::Whole } else { Share::OneOf(self.instances.load(Ordering::Acquire)) }
    }

    /// Returns the pool of a service, creating it if there is none.
    pub(crate) fn of(&self, now: Millis, service: &str) -> Arc<Pool> {
        if let Some(it) = self.pools.read().get(service) {
            return it.clone();
        }
        let pool = Pool::new(service, (&self.salt, &self.domain), &self.topology);
        if let Some(it) = self.members.lock().get(service) {
            it.set_in(now, &mut pool.router.lock());
        }
        pool.router.lock().set_cold_rate(cold_rate(&self.cold_rates.lock(), service));
        self.pools.write().entry(service.to_owned()).or_insert_with(|| Arc::new(pool)).clone()
    }
}

fn cold_rate(rates: &HashMap<Name, f64>, service: &str) -> f64 {
    rates.get(service).copied().unwrap_or(0.0)
}

impl Pool {
    fn new(service: &str, (salt, domain): (&str, &str), topology: &Topology) -> Pool {
        let policy = Policy {
            route: Route::Affinity,
            subset: u32::MAX,
            choices: 4,
            report_trust_ms: REPORT_HALF_LIFE_MS,
            eject_failures: EJECT_FAILURES,
            eject_ms: EJECT_MS,
            eject_floor: EJECT_FLOOR,
            retry_percent: 0,
        };
        let router = Router::new(salt, domain, policy.clone())
            .with_topology(topology.clone(), REGION_RTT_MS as f64);
        Pool {
            service: service.to_owned(),
            router: Mutex::new(router),
            budget: Mutex::default(),
            times: Mutex::default(),
            stage_time: Mutex::default(),
            returns: Mutex::default(),
            refused_until: AtomicU64::new(0),
            revision: AtomicU64::new(0),
            policy,
        }
    }

    /// Chooses a target, in `region` if that has any. `policy` is that of a trial's arm if the request is
    /// assigned to one. The call may still go to another target.
    pub(crate) fn choose(
        &self,
        now: Millis,
        policy: Option<&Policy>,
        call: &Call<'_>,
        region: Option<&str>,
        shared: &IngressShared,
    ) -> Result<Choice, NoTarget> {
        let mut router = self.router.lock();
        shared.limits.allowances(shared, &self.service, |it| {
            router.limit_until(it.target, it.closed_until);
        });
        for (id, until) in shared.backoffs.lock().of_service(now, &self.service) {
            router.back_off_until(id, until);
        }
        router.choose_in(now, policy.unwrap_or(&self.policy), call, region, &mut rand::rng())
    }

    /// Counts a call as placed at a target. Prompts of other instances are counted too.
    pub(crate) fn record_placed(&self, now: Millis, target: &str, call: &Call<'_>) {
        let mut router = self.router.lock();
        router.record_placed(now, target, call);
        router.spend_cold(now, target, call.share);
    }

    /// Retry-After of a refused request, in milliseconds: its targets accept `per_s` requests per second and
    /// the next one in `soonest` milliseconds, and refused requests are spread accordingly.
    pub(crate) fn return_ms(&self, now: Millis, soonest: Millis, per_s: f64) -> Millis {
        self.returns.lock().next_delay_ms(now, soonest, 1000.0 / per_s.max(MIN_RETRIES_PER_S))
    }

    /// Records that the instance that places prompts for the service refuses them for `ms` milliseconds.
    pub(crate) fn refuse_for(&self, now: Millis, ms: Millis) {
        self.refused_until.store(now + ms, Ordering::Release);
    }

    /// Remaining time of that refusal, in milliseconds.
    pub(crate) fn refused_ms(&self, now: Millis) -> Millis {
        self.refused_until.load(Ordering::Acquire).saturating_sub(now)
    }

    fn record_change(&self) {
        self.revision.fetch_add(1, Ordering::Release);
    }

    /// Number of changes of its targets so far.
    pub(crate) fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// Number of targets that are routed to.
    pub(crate) fn len(&self) -> usize {
        self.router.lock().len()
    }

    /// Targets that this instance has ejected.
    pub(crate) fn ejected(&self, now: Millis) -> Vec<TargetId> {
        self.router.lock().ejected(now)
    }

    /// Counts a call as sent.
    pub(crate) fn record_sent(&self, now: Millis, target: &str, call: &Call<'_>) {
        self.router.lock().sent(now, target, call);
    }

    /// Counts a call as ended.
    pub(crate) fn record_end(&self, now: Millis, target: &str, work: f64, end: CallOutcome) {
        self.router.lock().ended(now, target, work, end);
    }

    /// Counts a call that goes on as a failure of its target.
    pub(crate) fn record_late(&self, now: Millis, target: &str) {
        self.router.lock().late(now, target);
    }

    /// Takes back a call that was counted as late.
    pub(crate) fn record_resumed(&self, target: &str) {
        self.router.lock().resumed(target);
    }

    /// Records a load that a target reported.
    pub(crate) fn record_load(&self, now: Millis, target: &str, load: Load) {
        self.router.lock().apply_report(now, target, load);
    }

    /// Whether a target has reported work so slow that a missing response does not count as its failure.
    pub(crate) fn is_slow(&self, now: Millis, target: &str) -> bool {
        self.router.lock().is_slow(now, target)
    }

    /// Whether calls were queued at a target at its last load report.
    pub(crate) fn has_queue(&self, target: &str) -> bool {
        self.router.lock().has_queue(target)
    }

    /// Records the time of a stage as reported by the instance that batches for it, in milliseconds.
    pub(crate) fn record_stage_time(&self, now: Millis, ms: Millis) {
        self.stage_time.lock().record(now, ms);
    }

    /// Whether an instance has recently reported that it batches for the service.
    pub(crate) fn has_owner_report(&self, now: Millis) -> bool {
        self.stage_time.lock().age(now).is_some_and(|it| it < MAX_REPORT_AGE_MS)
    }

    /// Expected time of a stage in milliseconds, given the time `stated` for it without a queue.
    pub(crate) fn stage_ms(&self, now: Millis, stated: Millis) -> Millis {
        self.stage_time.lock().get(now, stated)
    }

    /// Counts a request for the service.
    pub(crate) fn request(&self, now: Millis, terms: &Terms) {
        self.budget.lock().request(now, terms);
    }

    /// Reserves a resend of the retry budget, if it allows one.
    pub(crate) fn reserve(self: &Arc<Pool>, now: Millis, terms: &Terms) -> Option<RetryShare> {
        let is_spent = self.budget.lock().spend(now, terms);
        is_spent.then(|| RetryShare { pool: self.clone(), is_used: false })
    }

    /// Whether the retry budget allows a resend.
    pub(crate) fn can_spend(&self, now: Millis, terms: &Terms) -> bool {
        self.budget.lock().can_spend(now, terms)
    }

    /// Returns the last resend to the retry budget.
    pub(crate) fn refund(&self) {
        self.budget.lock().refund();
    }
}

/// A resend that is reserved in the retry budget of a pool, and returned to it when dropped unused.
pub(crate) struct RetryShare {
    pool: Arc<Pool>,
    is_used: bool,
}

impl RetryShare {
    /// Records that the resend is made.
    pub(crate) fn spend(mut self) {
        self.is_used = true;
    }
}

impl Drop for RetryShare {
    fn drop(&mut self) {
        if !self.is_used {
            self.pool.refund();
        }
    }
}
