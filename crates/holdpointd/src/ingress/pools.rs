//! What an instance knows of each service: its targets, its retry budget, its times.

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
    returns::Returns,
    route::{Call, Choice, End, Load, Member, NoTarget, Router},
    topology::Topology,
};
use holdpoint_schema::{
    ingress::IngressSettings,
    resources::{Policy, Route},
};
use parking_lot::{Mutex, RwLock};

use crate::ingress::{regions::FAR_REGION_MS, shared::IngressShared};

/// Failures in a row that take a target out for a while.
const EJECT_FAILURES: u32 = 2;
/// How long that is at first, in milliseconds.
const EJECT_MS: u64 = 1500;
/// Part of a pool that is never taken out.
const EJECT_FLOOR: f64 = 0.3;
/// Age up to which an instance's word that it batches a service counts, in milliseconds: it is told
/// every 250 ms.
const TOLD_MS: Millis = 600;
/// Age at which a load report has lost half its weight, in milliseconds.
const REPORT_TRUST_MS: u64 = 400;

/// Least returns a second that are told.
const LEAST_RETURNS: f64 = 0.1;

/// One service as an instance sees it.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) service: Name,
    router: Mutex<Router>,
    budget: Mutex<SharedBudget>,
    /// Time to the first part of an answer, in milliseconds.
    pub(crate) times: Mutex<Times>,
    /// Time of a stage here, as the instance that batches it has told of late.
    stage_time: Mutex<RecentTime>,
    /// When requests may come back that were refused for its targets' limits.
    returns: Mutex<Returns>,
    /// Until when whoever places prompts of the service refuses them, since its targets have got what they
    /// take.
    refused_until: AtomicU64,
    policy: Policy,
}

/// The targets of one service.
#[derive(Debug, Default)]
struct Targets {
    members: BTreeMap<TargetId, Member>,
    /// Those that are cold, and until when in milliseconds.
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

/// A target as routing knows it.
fn member(target: &TargetInstance, is_held: bool) -> Member {
    Member {
        address: target.id.clone(),
        domain: target.domain.clone(),
        leaving: target.is_leaving,
        held: is_held,
    }
}

/// All services that were asked for.
#[derive(Debug)]
pub(crate) struct Pools {
    pools: RwLock<HashMap<Name, Arc<Pool>>>,
    members: Mutex<HashMap<Name, Targets>>,
    /// Calls a second that a cold target carries, by service.
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
    /// Makes an empty set.
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

    /// Takes in how many instances share the retry budget.
    pub(crate) fn set_instances(&self, instances: usize) {
        self.instances.store(instances.max(1), Ordering::Release);
    }

    /// Terms of the retry budget.
    pub(crate) fn terms(&self) -> Terms {
        let instances = self.instances.load(Ordering::Acquire);
        Terms { ratio: self.ratio, window_ms: self.window_ms, slack: self.slack, instances }
    }

    /// Takes in what the targets of each service carry as long as they are cold.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        let services = configuration.services.values();
        let rates = services.filter_map(|it| Some((it.name.clone(), it.cold?.per_s))).collect();
        for (name, pool) in self.pools.read().iter() {
            pool.router.lock().set_cold_rate(rate_of(&rates, name));
        }
        *self.cold_rates.lock() = rates;
    }

    /// Takes in the targets of all services.
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
        }
        *self.members.lock() = targets;
    }

    /// Takes in one target that is new, has changed or is gone, whether its failure domain is evacuated, and
    /// until when it is cold.
    pub(crate) fn put_target(
        &self,
        now: Millis,
        id: &str,
        found: Option<&TargetInstance>,
        (is_held, cold_until): (bool, Millis),
    ) {
        self.remove_if(id, |service| found.is_none_or(|it| it.service != service));
        let Some(it) = found else { return };
        let member = member(it, is_held);
        let mut all = self.members.lock();
        all.entry(it.service.clone()).or_default().put(now, member.clone(), cold_until);
        if let Some(pool) = self.pools.read().get(&it.service) {
            let mut router = pool.router.lock();
            router.put_member(member);
            router.set_cold(now, id, cold_until);
        }
    }

    /// Takes in that a target is gone, with all that was learned of it.
    pub(crate) fn remove_target(&self, id: &str) {
        self.remove_if(id, |_| true);
    }

    fn remove_if(&self, id: &str, is_its: impl Fn(&str) -> bool) {
        let mut all = self.members.lock();
        for (service, targets) in all.iter_mut().filter(|it| is_its(it.0)) {
            targets.cold.remove(id);
            if targets.members.remove(id).is_none() {
                continue;
            }
            if let Some(pool) = self.pools.read().get(service) {
                pool.router.lock().remove_member(id);
            }
        }
    }

    /// The part of a cold target's rate that a decision of this instance may draw on, where `decides` says
    /// whether it places all prompts of the service.
    pub(crate) fn share(&self, decides: bool) -> Share {
        if decides { Share::Whole } else { Share::Of(self.instances.load(Ordering::Acquire)) }
    }

    /// The pool of a service.
    pub(crate) fn of(&self, now: Millis, service: &str) -> Arc<Pool> {
        if let Some(it) = self.pools.read().get(service) {
            return it.clone();
        }
        let pool = Pool::new(service, (&self.salt, &self.domain), &self.topology);
        if let Some(it) = self.members.lock().get(service) {
            it.set_in(now, &mut pool.router.lock());
        }
        pool.router.lock().set_cold_rate(rate_of(&self.cold_rates.lock(), service));
        self.pools.write().entry(service.to_owned()).or_insert_with(|| Arc::new(pool)).clone()
    }
}

fn rate_of(rates: &HashMap<Name, f64>, service: &str) -> f64 {
    rates.get(service).copied().unwrap_or(0.0)
}

impl Pool {
    fn new(service: &str, (salt, domain): (&str, &str), topology: &Topology) -> Pool {
        let policy = Policy {
            route: Route::Affinity,
            subset: u32::MAX,
            choices: 4,
            report_trust_ms: REPORT_TRUST_MS,
            eject_failures: EJECT_FAILURES,
            eject_ms: EJECT_MS,
            eject_floor: EJECT_FLOOR,
            retry_percent: 0,
        };
        let router = Router::new(salt, domain, policy.clone())
            .with_topology(topology.clone(), FAR_REGION_MS as f64);
        Pool {
            service: service.to_owned(),
            router: Mutex::new(router),
            budget: Mutex::default(),
            times: Mutex::default(),
            stage_time: Mutex::default(),
            returns: Mutex::default(),
            refused_until: AtomicU64::new(0),
            policy,
        }
    }

    /// Chooses a target, one of `region` as long as that has any. `policy` is that of a trial's arm, if the
    /// request falls to one. It may still be another target once the call is made.
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
            router.close_until(it.target, it.closed_until);
        });
        for (id, until) in shared.backoffs.lock().of_service(now, &self.service) {
            router.back_off_until(id, until);
        }
        router.choose_in(now, policy.unwrap_or(&self.policy), call, region, &mut rand::rng())
    }

    /// Counts a call, of any instance where it is a prompt, as placed at a target.
    pub(crate) fn placed(&self, now: Millis, target: &str, call: &Call<'_>) {
        let mut router = self.router.lock();
        router.placed(now, target, call);
        router.spend_cold(now, target, call.share);
    }

    /// When a request may come back that is refused, in milliseconds, where its targets take `per_s` requests a
    /// second and one more in `soonest` milliseconds: one after the other.
    pub(crate) fn return_ms(&self, now: Millis, soonest: Millis, per_s: f64) -> Millis {
        self.returns.lock().take(now, soonest, 1000.0 / per_s.max(LEAST_RETURNS))
    }

    /// Takes in that whoever places prompts of the service refuses them for so long.
    pub(crate) fn refuse_for(&self, now: Millis, ms: Millis) {
        self.refused_until.store(now + ms, Ordering::Release);
    }

    /// For how much longer that is so, in milliseconds.
    pub(crate) fn refused_ms(&self, now: Millis) -> Millis {
        self.refused_until.load(Ordering::Acquire).saturating_sub(now)
    }

    /// Targets that get no calls of this instance for a while.
    pub(crate) fn ejected(&self, now: Millis) -> Vec<TargetId> {
        self.router.lock().ejected(now)
    }

    /// Counts a call as sent.
    pub(crate) fn sent(&self, now: Millis, target: &str, call: &Call<'_>) {
        self.router.lock().sent(now, target, call);
    }

    /// Counts a call as ended.
    pub(crate) fn ended(&self, now: Millis, target: &str, work: f64, end: End) {
        self.router.lock().ended(now, target, work, end);
    }

    /// Takes in a load that a target told.
    pub(crate) fn report(&self, now: Millis, target: &str, load: Load) {
        self.router.lock().report(now, target, load);
    }

    /// Whether a target has told that work takes so long there that a silence is no failure of it.
    pub(crate) fn is_slow(&self, now: Millis, target: &str) -> bool {
        self.router.lock().is_slow(now, target)
    }

    /// Whether calls waited at a target when it last told its load.
    pub(crate) fn has_queue(&self, target: &str) -> bool {
        self.router.lock().has_queue(target)
    }

    /// Takes in how long a stage takes, as the instance that batches it expects.
    pub(crate) fn stage_takes(&self, now: Millis, ms: Millis) {
        self.stage_time.lock().record(now, ms);
    }

    /// Whether an instance has told of late that it batches the service.
    pub(crate) fn has_told(&self, now: Millis) -> bool {
        self.stage_time.lock().age(now).is_some_and(|it| it < TOLD_MS)
    }

    /// How long a stage takes, in milliseconds, where it is `stated` without a queue.
    pub(crate) fn stage_ms(&self, now: Millis, stated: Millis) -> Millis {
        self.stage_time.lock().get(now, stated)
    }

    /// Counts a request for the service.
    pub(crate) fn request(&self, now: Millis, terms: &Terms) {
        self.budget.lock().request(now, terms);
    }

    /// Spends a second send where the budget has it.
    pub(crate) fn spend(&self, now: Millis, terms: &Terms) -> bool {
        self.budget.lock().spend(now, terms)
    }

    /// Takes back the second send that was spent last.
    pub(crate) fn take_back(&self) {
        self.budget.lock().take_back();
    }
}
