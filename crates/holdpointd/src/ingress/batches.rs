//! Makes pieces of stages in calls that carry the pieces of many requests.

mod admit;
mod calls;
mod hopeless;
mod inputs;
mod targets;

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use holdpoint_core::{
    batcher::{Batcher, Judgement},
    directory::{Directory, TargetId, TargetInstance},
    evacuation::Evacuations,
    ids::{Millis, Name},
    ingress::Service,
    pieces::{Call, CallEnd, Sizes, Ticket, Waiting},
    promises::{Promises, StageLoad},
    rollout::Lane,
    route::Load,
    stage_graph::{NoResult, PieceWork},
    topology::Topology,
};
use holdpoint_platform::Instant;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    events::{self, emit},
    ingress::{
        attempts::NONE_LEFT_RETURN_MS,
        backoff, confinement,
        limits::{self, Permit},
        piece_ask::{PieceAsk, PieceResult},
        regions::own_batcher_of,
        shared::IngressShared,
    },
};

use self::{
    admit::{admit, waiting},
    calls::run,
    hopeless::{EVACUATED_RETURN_MS, refuse_hopeless},
    inputs::GroupInputs,
    targets::{Known, Targets},
};

struct Pending {
    work: PieceWork,
    /// Route of its request.
    route: Name,
    deadline: Instant,
    offered: Instant,
    /// How often it went back to the queue.
    returns: u32,
    inputs: Arc<GroupInputs>,
    /// Whether the target of its call has fetched its inputs.
    is_fetched: AtomicBool,
    reply: oneshot::Sender<PieceResult>,
}

/// The batcher of one service on this instance.
struct ServiceBatches {
    batcher: Batcher,
    pending: HashMap<Ticket, Pending>,
    /// Whether this instance was the one that batches the service when last looked at.
    is_owner: bool,
    /// Whether all its targets stand in evacuated failure domains.
    is_evacuated: bool,
    /// Whether it has none but targets that leave.
    all_leave: bool,
    /// Whether this instance was about to stop when last looked at.
    was_leaving: bool,
    /// Targets that calls may go to, where a version is rolled out.
    lane: Option<Lane>,
}

impl ServiceBatches {
    fn new(sizes: Sizes) -> ServiceBatches {
        ServiceBatches {
            batcher: Batcher::new(sizes),
            pending: HashMap::new(),
            is_owner: false,
            is_evacuated: false,
            all_leave: false,
            was_leaving: false,
            lane: None,
        }
    }

    /// Takes in which targets calls may go to, where a version is rolled out.
    fn set_lane(&mut self, lane: Option<Lane>, closed: &[TargetId], targets: &Targets) {
        self.lane = lane;
        let known = targets
            .known
            .iter()
            .map(|(id, it)| (id.as_str(), it.domain.as_str(), it.is_closed || closed.contains(id)));
        self.batcher.set_targets(known);
    }

    /// Takes in the service's targets. Where none is left, what waits is refused at once.
    fn set_targets(&mut self, targets: &Targets) {
        self.set_lane(None, &[], targets);
        self.batcher.set_spare(targets.far.iter().map(String::as_str));
        self.note_open(targets);
    }

    /// Takes in one target that is new, has changed or is gone.
    fn put_target(&mut self, id: &str, known: Option<&Known>, targets: &Targets) {
        if self.lane.is_some() {
            return self.set_targets(targets);
        }
        match known {
            Some(it) => self.batcher.put_target(id, &it.domain, it.is_closed),
            None => self.batcher.remove_target(id),
        }
        self.note_open(targets);
    }

    /// Takes in which targets have asked this instance to back off.
    fn take_in_backoffs(&mut self, shared: &IngressShared, now: Millis, service: &str) {
        for (id, until) in shared.backoffs.lock().of_service(now, service) {
            self.batcher.back_off_until(id, until);
        }
    }

    /// Refuses what no target is left for.
    fn note_open(&mut self, targets: &Targets) {
        self.is_evacuated = targets.is_evacuated();
        if self.is_evacuated {
            let tickets = self.batcher.hand_over();
            self.answer(&tickets, NoResult::Overload(EVACUATED_RETURN_MS));
        }
        // Without any entry they have crashed and may be back at once, unless they were leaving.
        if !targets.known.is_empty() {
            self.all_leave = targets.all_leave();
        }
        if self.all_leave {
            let tickets = self.batcher.hand_over();
            self.answer(&tickets, NoResult::Overload(NONE_LEFT_RETURN_MS));
        }
        let stranded = self.batcher.take_stranded();
        self.answer(&stranded, NoResult::Overload(confinement::RETURN_MS));
    }

    /// Answers pieces that wait no longer; a request may have ended meanwhile.
    fn answer(&mut self, tickets: &[Ticket], why: NoResult) {
        for it in tickets.iter().filter_map(|it| self.pending.remove(it)) {
            drop(it.reply.send(Err(why)));
        }
    }
}

/// A call to make.
struct NextCall {
    call: Call,
    /// The right to make it, where this instance gives it.
    permit: Option<Permit>,
    pieces: Vec<Pending>,
    /// How long it is waited for, in milliseconds.
    patience: Millis,
}

/// What an instance tells of the services that it batches.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageLoads {
    /// Time that a stage takes there, in milliseconds.
    pub(crate) times: Vec<(Name, Millis)>,
    /// Their load.
    pub(crate) loads: Vec<(Name, StageLoad)>,
}

/// The batchers of all services on this instance.
#[derive(Default)]
pub(crate) struct Batches {
    services: Mutex<HashMap<Name, ServiceBatches>>,
    /// Targets by service, as last told.
    targets: Mutex<HashMap<Name, Targets>>,
    loads: Mutex<StageLoads>,
    /// What later stages are promised by requests admitted here.
    promises: Mutex<Promises>,
    next_ticket: AtomicU64,
}

impl Batches {
    /// Takes in the services' sizes from the configuration in force.
    pub(crate) fn configure(&self, shared: &IngressShared) {
        let configuration = shared.configuration();
        let mut services = self.services.lock();
        for (name, of_service) in services.iter_mut() {
            if let Some(sizes) = configuration.services.get(name).and_then(|it| sizes(it)) {
                of_service.batcher.set_sizes(sizes);
            }
        }
    }

    /// Takes in the targets of all services. Those of other regions get no calls of this instance as
    /// long as its own region has some that do.
    pub(crate) fn set_targets(
        &self,
        directory: &Directory,
        evacuations: &Evacuations,
        topology: &Topology,
    ) {
        let mut targets: HashMap<Name, Targets> = HashMap::new();
        let is_open = |it: &TargetInstance| !it.is_leaving && !evacuations.is_evacuated(&it.domain);
        let near = directory.all().filter(|it| is_open(it) && topology.is_near(&it.domain));
        let near: HashSet<&str> = near.map(|it| it.service.as_str()).collect();
        for it in directory.all() {
            let of_service = targets.entry(it.service.clone()).or_default();
            let is_far = !topology.is_near(&it.domain) && near.contains(it.service.as_str());
            if is_far && is_open(it) {
                of_service.far.push(it.id.clone());
            }
            let is_evacuated = evacuations.is_evacuated(&it.domain);
            of_service.put(&it.id, Known::new(it, is_evacuated, is_far));
        }
        let none = Targets::default();
        let mut services = self.services.lock();
        for (name, of_service) in services.iter_mut() {
            of_service.set_targets(targets.get(name).unwrap_or(&none));
        }
        *self.targets.lock() = targets;
    }

    /// Takes in one target that is new, has changed or is gone, where all are in one region, and whether its
    /// failure domain is evacuated.
    pub(crate) fn put_target(&self, id: &str, found: Option<&TargetInstance>, is_evacuated: bool) {
        self.remove_if(id, |service| found.is_none_or(|it| it.service != service));
        let Some(it) = found else { return };
        let known = Known::new(it, is_evacuated, false);
        let mut services = self.services.lock();
        let mut all = self.targets.lock();
        let targets = all.entry(it.service.clone()).or_default();
        targets.put(id, known.clone());
        if let Some(of_service) = services.get_mut(&it.service) {
            of_service.put_target(id, Some(&known), targets);
        }
    }

    /// Takes in that a target is gone, with its results.
    pub(crate) fn remove_target(&self, id: &str) {
        self.remove_if(id, |_| true);
    }

    fn remove_if(&self, id: &str, is_its: impl Fn(&str) -> bool) {
        let mut services = self.services.lock();
        let mut all = self.targets.lock();
        for (service, targets) in all.iter_mut().filter(|it| is_its(it.0)) {
            if targets.remove(id)
                && let Some(of_service) = services.get_mut(service)
            {
                of_service.put_target(id, None, targets);
            }
        }
    }

    /// Makes pieces on this instance; the results come in the order of the pieces.
    pub(crate) async fn make(
        &self,
        shared: &Arc<IngressShared>,
        service: &str,
        asks: Vec<PieceAsk>,
    ) -> Vec<PieceResult> {
        let count = asks.len();
        let replies = match self.offer(shared, service, asks) {
            Ok(it) => it,
            Err(it) => return vec![Err(it); count],
        };
        pump(shared, service);
        gather(replies).await
    }

    fn offer(
        &self,
        shared: &IngressShared,
        service: &str,
        mut asks: Vec<PieceAsk>,
    ) -> Result<Vec<oneshot::Receiver<PieceResult>>, NoResult> {
        let configuration = shared.configuration();
        let sizes = configuration.services.get(service).and_then(|it| sizes(it));
        let sizes = sizes.ok_or(NoResult::Unreachable)?;
        let mut services = self.services.lock();
        let of_service = self.of_service(&mut services, service, sizes);
        let now = shared.clock.now();
        of_service.take_in_backoffs(shared, now, service);
        let within = refuse_hopeless(shared, of_service, service, now, &asks)?;
        let mut promises = self.promises.lock();
        admit(shared, service, &mut of_service.batcher, &mut promises, now, &asks)?;
        drop(promises);
        let offered = Instant::now();
        let group = self.ticket();
        let inputs = Arc::new(GroupInputs::new(&mut asks, within));
        let is_alone = shared.quarantines.runs_alone(inputs.fingerprint);
        let mut replies = Vec::with_capacity(asks.len());
        for ask in asks {
            let ticket = self.ticket();
            let (reply, answer) = oneshot::channel();
            replies.push(answer);
            let within = inputs.within.clone();
            let piece = Waiting { within, is_alone, ..waiting(&ask, ticket, group, now) };
            of_service.batcher.offer(now, piece);
            let deadline = offered + Duration::from_millis(ask.left_ms);
            let inputs = inputs.clone();
            let pending = Pending {
                work: ask.work,
                route: ask.route,
                deadline,
                offered,
                returns: 0,
                inputs,
                is_fetched: AtomicBool::new(false),
                reply,
            };
            of_service.pending.insert(ticket, pending);
        }
        Ok(replies)
    }

    fn ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// How long stages take at the services that this instance batches, and their load.
    pub(crate) fn stage_loads(&self) -> StageLoads {
        self.loads.lock().clone()
    }

    /// Takes in the load of services that other instances or this one batch.
    pub(crate) fn told(&self, shared: &IngressShared, now: Millis, loads: Vec<(Name, StageLoad)>) {
        let mut promises = self.promises.lock();
        for (service, load) in loads {
            let detail = format!("service={service} load={load:?}");
            if !promises.told(now, &service, load) {
                emit(events::LOAD_NOT_USED, &shared.settings.instance, &detail);
            }
        }
    }

    /// Pieces of a service that could be made within a time beside those of this instance's region, and
    /// how long its stage usually takes; `None` where it has no stage.
    pub(crate) fn lendable(
        &self,
        shared: &IngressShared,
        service: &str,
        ms: Millis,
    ) -> Option<(u32, Millis)> {
        let configuration = shared.configuration();
        let sizes = configuration.services.get(service).and_then(|it| sizes(it))?;
        let mut services = self.services.lock();
        let batcher = &self.of_service(&mut services, service, sizes).batcher;
        let now = shared.clock.now();
        Some((batcher.lendable(now, ms), batcher.usual_ms(now)))
    }

    /// The batcher of a service, made where there is none yet.
    fn of_service<'a>(
        &self,
        services: &'a mut HashMap<Name, ServiceBatches>,
        service: &str,
        sizes: Sizes,
    ) -> &'a mut ServiceBatches {
        services.entry(service.to_owned()).or_insert_with(|| {
            let mut of_service = ServiceBatches::new(sizes);
            if let Some(its) = self.targets.lock().get(service) {
                of_service.set_targets(its);
            }
            of_service
        })
    }

    /// Takes in that results were given up at their makers.
    pub(crate) fn released(&self, service: &str, handles: &[String]) {
        if let Some(it) = self.services.lock().get_mut(service) {
            handles.iter().for_each(|handle| it.batcher.released(handle));
        }
    }

    /// Drops the pieces of a service that will not be made in time for their requests.
    fn expire(&self, shared: &IngressShared, service: &str) {
        let now = shared.clock.now();
        let mut services = self.services.lock();
        let Some(of_service) = services.get_mut(service) else { return };
        of_service.take_in_backoffs(shared, now, service);
        let tickets = of_service.batcher.expire(now);
        if !tickets.is_empty() {
            let backoff_ms = of_service.batcher.backoff_ms(now);
            let later = backoff_ms.map(|it| NoResult::Overload(backoff::return_ms(it)));
            of_service.answer(&tickets, later.unwrap_or(NoResult::Late));
        }
    }

    /// Forgets the pieces that nobody waits for any more, and measures how long stages take. Both look
    /// at all that waits: done with each call, they take most of a processor in a surge.
    fn review(&self, now: Millis) {
        let mut services = self.services.lock();
        let mut told = StageLoads::default();
        for (name, ServiceBatches { batcher, pending, is_owner, .. }) in services.iter_mut() {
            pending.retain(|_, it| !it.reply.is_closed());
            batcher.retain(|it| pending.contains_key(&it));
            if *is_owner {
                told.times.push((name.clone(), batcher.usual_ms(now)));
                told.loads.push((name.clone(), batcher.load(now)));
            }
        }
        *self.loads.lock() = told;
    }

    /// Takes the next call of a service, with its pieces.
    fn next(&self, shared: &IngressShared, service: &str) -> Option<NextCall> {
        let now = shared.clock.now();
        let mut services = self.services.lock();
        let of_service = services.get_mut(service)?;
        let pieces = u64::from(of_service.batcher.sizes().pieces);
        let lane = shared.rollouts.piece_lane(now, service, pieces);
        if lane != of_service.lane {
            let closed = shared.rollouts.closed(now, service, lane.unwrap_or(Lane::Any));
            let targets = self.targets.lock().get(service).cloned().unwrap_or_default();
            of_service.set_lane(lane, &closed, &targets);
        }
        of_service.take_in_backoffs(shared, now, service);
        let ServiceBatches { batcher, pending, .. } = of_service;
        shared.limits.allowances(shared, service, |it| {
            batcher.set_limit(it.target, it.per_s, it.closed_until);
        });
        let call = batcher.next(now)?;
        // Before the next call is chosen, which is not to go to the same target.
        let permit = shared
            .target(&call.target)
            .and_then(|it| limits::ask_here(shared, &it))
            .and_then(Result::ok);
        shared.rollouts.pieces_sent(service, &call.target, call.pieces.len() as u64);
        let pieces: Vec<Pending> =
            call.pieces.iter().filter_map(|it| pending.remove(&it.ticket)).collect();
        let patience = batcher.patience_ms(now, &call.target, call.pieces.len());
        Some(NextCall { call, permit, pieces, patience })
    }

    fn ended(
        &self,
        shared: &IngressShared,
        service: &str,
        call: &Call,
        end: CallEnd,
        results: &[PieceResult],
    ) -> Option<Judgement> {
        let now = shared.clock.now();
        let handles: Vec<Option<&str>> =
            results.iter().map(|it| it.as_ref().ok().map(String::as_str)).collect();
        let mut services = self.services.lock();
        let it = services.get_mut(service)?;
        let judgement = match end {
            CallEnd::Answered(ms) => it.batcher.judge(now, call, ms),
            _ => None,
        };
        it.batcher.ended(now, call, end, &handles);
        if results.contains(&Err(NoResult::NoRoom)) {
            it.batcher.no_room(now, &call.target);
        }
        judgement
    }

    /// Takes in the load that a target told with an answer, with which so many calls have ended.
    pub(crate) fn report(&self, now: Millis, target: &TargetInstance, load: Load, answered: u32) {
        if let Some(it) = self.services.lock().get_mut(&target.service) {
            it.batcher.told_load(now, &target.id, load, answered);
        }
    }

    /// Gives a piece back to the queue that was not made.
    fn again(&self, now: Millis, service: &str, waiting: Waiting, pending: Pending) {
        let mut services = self.services.lock();
        let Some(of_service) = services.get_mut(service) else { return };
        if pending.is_fetched.swap(false, Ordering::AcqRel) {
            pending.inputs.unfetched.fetch_add(1, Ordering::AcqRel);
        }
        of_service.pending.insert(waiting.ticket, pending);
        of_service.batcher.offer(now, waiting);
    }

    /// Hands what waits over where another instance is the one that batches a service: at once where
    /// that was this one until now, else as soon as the other one tells that it does.
    fn hand_over(&self, shared: &IngressShared) {
        let mut services = self.services.lock();
        for (name, of_service) in services.iter_mut() {
            let is_owner = own_batcher_of(shared, name).is_none();
            let was_owner = std::mem::replace(&mut of_service.is_owner, is_owner);
            let is_told = || shared.pools.of(shared.clock.now(), name).has_told(shared.clock.now());
            let is_leaving = shared.peers.is_leaving();
            let was_leaving = std::mem::replace(&mut of_service.was_leaving, is_leaving);
            if of_service.batcher.waiting() == 0 {
                continue;
            }
            let moves = !is_owner && (was_owner || is_told());
            // Confined pieces have an owner of their own, which may be any allowed instance.
            let confined_move = is_leaving && !was_leaving;
            let tickets = of_service
                .batcher
                .take_back(|it| if it.within.is_some() { confined_move } else { moves });
            if tickets.is_empty() {
                continue;
            }
            let detail = format!("service={name} pieces={}", tickets.len());
            emit(events::HANDED_PIECES_OVER, &shared.settings.instance, &detail);
            of_service.answer(&tickets, NoResult::Moved);
        }
    }

    /// Whether this instance needs to hear from the owners of services without asking them for anything: as
    /// one of them, which tell each other their load, or since pieces wait here that another one may make.
    pub(crate) fn relies_on_owners(&self) -> bool {
        let has_work = || self.services.lock().values().any(|it| it.batcher.waiting() != 0);
        !self.loads.lock().times.is_empty() || has_work()
    }

    fn services_with_work(&self) -> Vec<Name> {
        let services = self.services.lock();
        services.iter().filter(|it| it.1.batcher.waiting() != 0).map(|it| it.0.clone()).collect()
    }
}

/// Gathers the results of pieces that were asked for together. Once one of them is too late, none of
/// the others is of use, and they are not waited for.
async fn gather(replies: Vec<oneshot::Receiver<PieceResult>>) -> Vec<PieceResult> {
    let mut results = vec![Err(NoResult::Late); replies.len()];
    let indexed = replies.into_iter().enumerate();
    let mut waiting: FuturesUnordered<_> =
        indexed.map(|(index, reply)| async move { (index, reply.await) }).collect();
    while let Some((index, reply)) = waiting.next().await {
        results[index] = reply.unwrap_or(Err(NoResult::Failed));
        if results[index] == Err(NoResult::Late) {
            break;
        }
    }
    results
}

/// Starts calls for all that waits where a target has become free with time.
pub(crate) fn pump_all(shared: &Arc<IngressShared>) {
    shared.batches.hand_over(shared);
    shared.batches.review(shared.clock.now());
    shared.take_stage_loads(shared.batches.stage_loads());
    for service in shared.batches.services_with_work() {
        pump(shared, &service);
    }
}

/// Starts as many calls of a service as its targets take.
pub(crate) fn pump(shared: &Arc<IngressShared>, service: &str) {
    shared.batches.expire(shared, service);
    while let Some(it) = shared.batches.next(shared, service) {
        let call = (it.call, it.permit);
        tokio::spawn(run(shared.clone(), service.to_owned(), call, it.pieces, it.patience));
    }
}

fn sizes(service: &Service) -> Option<Sizes> {
    let limits = service.batches.as_ref()?;
    Some(Sizes {
        calls: limits.calls,
        pieces: limits.pieces,
        call_ms: limits.call_ms,
        piece_ms: limits.piece_ms,
        room_bytes: limits.room_bytes,
        keep_ms: limits.keep_ms,
    })
}
