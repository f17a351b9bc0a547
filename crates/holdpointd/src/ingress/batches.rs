//! Runs the work items of stages in calls to targets that carry items of many requests.
//!
//! Each service has a queue on the instance that batches for it. Calls start as soon as a target has capacity;
//! the results go back to the requesting instances.

mod admit;
mod calls;
mod inputs;
mod refusals;
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
    admitted_work::{AdmittedWork, StageLoad},
    batcher::{Batcher, PredictionSample},
    directory::{Directory, TargetId, TargetInstance},
    evacuation::Evacuations,
    ids::{Millis, Name},
    ingress::Service,
    items::{Call, CallEnd, CallProfile, QueuedItem, Ticket},
    rollout::Lane,
    route::Load,
    stage_graph::{NoResult, WorkItem},
    topology::Topology,
};
use holdpoint_platform::Instant;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    events::{self, emit},
    ingress::{
        attempts::{NONE_LEFT_RETRY_MS, no_path_retry_ms},
        backoff, confinement,
        item_request::{ItemRequest, ItemResult},
        limits::{self, Permit},
        regions::own_batcher_of,
        shared::IngressShared,
    },
};

use self::{
    admit::{admit, queue_entry},
    calls::run,
    inputs::GroupInputs,
    refusals::{EVACUATED_RETRY_MS, refuse_unplaceable},
    targets::{KnownTarget, Targets},
};

struct Pending {
    work: WorkItem,
    /// Route of its request.
    route: Name,
    deadline: Instant,
    offered: Instant,
    /// Number of times that it was put back into the queue.
    requeues: u32,
    inputs: Arc<GroupInputs>,
    /// Whether the target of its call is assumed to have fetched the inputs.
    is_fetched: AtomicBool,
    reply: oneshot::Sender<ItemResult>,
}

/// The queue of one service on this instance: its batcher, and the items that wait for a call.
struct ServiceQueue {
    batcher: Batcher,
    pending: HashMap<Ticket, Pending>,
    /// Whether this instance batched for the service at the last check.
    is_owner: bool,
    /// Whether all its targets that are not draining are in evacuated failure domains.
    is_evacuated: bool,
    /// Whether all its targets are draining.
    all_draining: bool,
    /// Whether this instance was draining at the last check.
    was_draining: bool,
    /// Restriction of calls to some versions of the targets during a roll-out.
    lane: Option<Lane>,
}

impl ServiceQueue {
    fn new(sizes: CallProfile) -> ServiceQueue {
        ServiceQueue {
            batcher: Batcher::new(sizes),
            pending: HashMap::new(),
            is_owner: false,
            is_evacuated: false,
            all_draining: false,
            was_draining: false,
            lane: None,
        }
    }

    /// Restricts calls to the targets of a lane during a roll-out.
    fn set_lane(&mut self, lane: Option<Lane>, closed: &[TargetId], targets: &Targets) {
        self.lane = lane;
        let known = targets
            .known
            .iter()
            .map(|(id, it)| (id.as_str(), it.domain.as_str(), it.is_closed || closed.contains(id)));
        self.batcher.set_targets(known);
    }

    /// Replaces the service's targets. If none can take calls, waiting items are refused at once.
    fn set_targets(&mut self, targets: &Targets) {
        self.set_lane(None, &[], targets);
        self.batcher.set_fallback(targets.far.iter().map(String::as_str));
        self.update_open(targets);
    }

    /// Adds, updates or removes one target.
    fn put_target(&mut self, id: &str, known: Option<&KnownTarget>, targets: &Targets) {
        if self.lane.is_some() {
            return self.set_targets(targets);
        }
        match known {
            Some(it) => self.batcher.put_target(id, &it.domain, it.is_closed),
            None => self.batcher.remove_target(id),
        }
        self.update_open(targets);
    }

    /// Applies the backoffs that targets have requested from this instance.
    fn apply_backoffs(&mut self, shared: &IngressShared, now: Millis, service: &str) {
        for (id, until) in shared.backoffs.lock().of_service(now, service) {
            self.batcher.back_off_until(id, until);
        }
    }

    /// Updates whether any target can take calls, and refuses the waiting items that none can process.
    fn update_open(&mut self, targets: &Targets) {
        self.is_evacuated = targets.is_evacuated();
        if self.is_evacuated {
            let tickets = self.batcher.take_all();
            self.answer(&tickets, NoResult::Overload(EVACUATED_RETRY_MS));
        }
        // An empty list means that the targets crashed and may restart soon, unless they were draining.
        if !targets.known.is_empty() {
            self.all_draining = targets.all_draining();
        }
        if self.all_draining {
            let tickets = self.batcher.take_all();
            self.answer(&tickets, NoResult::Overload(NONE_LEFT_RETRY_MS));
        }
        let stranded = self.batcher.take_unplaceable();
        self.answer(&stranded, NoResult::Overload(confinement::RETRY_AFTER_MS));
    }

    /// Fails items that are no longer queued. Their requests may have ended already.
    fn answer(&mut self, tickets: &[Ticket], why: NoResult) {
        for it in tickets.iter().filter_map(|it| self.pending.remove(it)) {
            drop(it.reply.send(Err(why)));
        }
    }
}

/// A call to send.
struct NextCall {
    call: Call,
    /// Permit for the call, if this instance is the owner of the target's rate limit.
    permit: Option<Permit>,
    items: Vec<Pending>,
    /// Timeout of the call in milliseconds.
    timeout_ms: Millis,
}

/// Times and load that an instance reports for the services it batches for.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageLoads {
    /// Expected time of a stage by service, in milliseconds.
    pub(crate) times: Vec<(Name, Millis)>,
    /// Load by service.
    pub(crate) loads: Vec<(Name, StageLoad)>,
}

/// The queues of all services on this instance.
#[derive(Default)]
pub(crate) struct Batches {
    services: Mutex<HashMap<Name, ServiceQueue>>,
    /// Targets by service, as last received from the directory.
    targets: Mutex<HashMap<Name, Targets>>,
    loads: Mutex<StageLoads>,
    /// Work that requests admitted here will bring to later stages.
    promises: Mutex<AdmittedWork>,
    next_ticket: AtomicU64,
}

impl Batches {
    /// Applies the call profiles of the active configuration.
    pub(crate) fn configure(&self, shared: &IngressShared) {
        let configuration = shared.configuration();
        let mut services = self.services.lock();
        for (name, queue) in services.iter_mut() {
            if let Some(sizes) = configuration.services.get(name).and_then(|it| sizes(it)) {
                queue.batcher.set_sizes(sizes);
            }
        }
    }

    /// Replaces the targets of all services. Targets of other regions are closed to calls from this instance
    /// while its own region has open ones.
    pub(crate) fn set_targets(
        &self,
        directory: &Directory,
        evacuations: &Evacuations,
        topology: &Topology,
    ) {
        let mut targets: HashMap<Name, Targets> = HashMap::new();
        let is_open =
            |it: &TargetInstance| !it.is_draining && !evacuations.is_evacuated(&it.domain);
        let near = directory.all().filter(|it| is_open(it) && topology.is_near(&it.domain));
        let near: HashSet<&str> = near.map(|it| it.service.as_str()).collect();
        for it in directory.all() {
            let of_service = targets.entry(it.service.clone()).or_default();
            let is_far = !topology.is_near(&it.domain) && near.contains(it.service.as_str());
            if is_far && is_open(it) {
                of_service.far.push(it.id.clone());
            }
            let is_evacuated = evacuations.is_evacuated(&it.domain);
            of_service.put(&it.id, KnownTarget::new(it, is_evacuated, is_far));
        }
        let none = Targets::default();
        let mut services = self.services.lock();
        for (name, queue) in services.iter_mut() {
            queue.set_targets(targets.get(name).unwrap_or(&none));
        }
        *self.targets.lock() = targets;
    }

    /// Adds, updates or removes one target, in a system of a single region, given whether its failure domain is
    /// evacuated.
    pub(crate) fn put_target(&self, id: &str, found: Option<&TargetInstance>, is_evacuated: bool) {
        self.remove_if(id, |service| found.is_none_or(|it| it.service != service));
        let Some(it) = found else { return };
        let known = KnownTarget::new(it, is_evacuated, false);
        let mut services = self.services.lock();
        let mut all = self.targets.lock();
        let targets = all.entry(it.service.clone()).or_default();
        targets.put(id, known.clone());
        if let Some(queue) = services.get_mut(&it.service) {
            queue.put_target(id, Some(&known), targets);
        }
    }

    /// Removes a target that is gone or has restarted, together with its results.
    pub(crate) fn remove_target(&self, id: &str) {
        self.remove_if(id, |_| true);
    }

    fn remove_if(&self, id: &str, is_match: impl Fn(&str) -> bool) {
        let mut services = self.services.lock();
        let mut all = self.targets.lock();
        for (service, targets) in all.iter_mut().filter(|it| is_match(it.0)) {
            if targets.remove(id)
                && let Some(queue) = services.get_mut(service)
            {
                queue.put_target(id, None, targets);
            }
        }
    }

    /// Queues items on this instance and waits for their results, which are in the order of the items.
    pub(crate) async fn process(
        &self,
        shared: &Arc<IngressShared>,
        service: &str,
        requests: Vec<ItemRequest>,
    ) -> Vec<ItemResult> {
        let count = requests.len();
        let replies = match self.offer(shared, service, requests) {
            Ok(it) => it,
            Err(it) => return vec![Err(it); count],
        };
        start_calls(shared, service);
        gather(replies).await
    }

    fn offer(
        &self,
        shared: &IngressShared,
        service: &str,
        mut requests: Vec<ItemRequest>,
    ) -> Result<Vec<oneshot::Receiver<ItemResult>>, NoResult> {
        let configuration = shared.configuration();
        let sizes = configuration.services.get(service).and_then(|it| sizes(it));
        let sizes = sizes.ok_or(NoResult::Unreachable)?;
        if shared.paths.is_unreachable(shared.clock.now(), service) {
            return Err(NoResult::Overload(no_path_retry_ms()));
        }
        let mut services = self.services.lock();
        let queue = self.queue_of(&mut services, service, sizes);
        let now = shared.clock.now();
        queue.apply_backoffs(shared, now, service);
        let within = refuse_unplaceable(shared, queue, service, now, &requests)?;
        let mut promises = self.promises.lock();
        admit(shared, service, &mut queue.batcher, &mut promises, now, &requests)?;
        drop(promises);
        let offered = Instant::now();
        let group = self.ticket();
        let inputs = Arc::new(GroupInputs::new(&mut requests, within));
        let is_isolated = shared.quarantines.runs_alone(inputs.fingerprint);
        let mut replies = Vec::with_capacity(requests.len());
        for request in requests {
            let ticket = self.ticket();
            let (reply, answer) = oneshot::channel();
            replies.push(answer);
            let within = inputs.within.clone();
            let item =
                QueuedItem { within, is_isolated, ..queue_entry(&request, ticket, group, now) };
            queue.batcher.offer(now, item);
            let deadline = offered + Duration::from_millis(request.left_ms);
            let inputs = inputs.clone();
            let pending = Pending {
                work: request.work,
                route: request.route,
                deadline,
                offered,
                requeues: 0,
                inputs,
                is_fetched: AtomicBool::new(false),
                reply,
            };
            queue.pending.insert(ticket, pending);
        }
        Ok(replies)
    }

    fn ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Times and load of the services that this instance batches for.
    pub(crate) fn stage_loads(&self) -> StageLoads {
        self.loads.lock().clone()
    }

    /// Applies load reports of services that this or other instances batch for.
    pub(crate) fn apply_loads(
        &self,
        shared: &IngressShared,
        now: Millis,
        loads: Vec<(Name, StageLoad)>,
    ) {
        let mut promises = self.promises.lock();
        for (service, load) in loads {
            let detail = format!("service={service} load={load:?}");
            if !promises.apply_report(now, &service, load) {
                emit(events::REPORTED_LOAD_IGNORED, &shared.settings.instance, &detail);
            }
        }
    }

    /// Number of other regions' items that the service's targets can process within `ms` milliseconds beside
    /// those of the own region, and the expected time of the stage in milliseconds; `None` if the service runs
    /// no stage.
    pub(crate) fn lendable(
        &self,
        shared: &IngressShared,
        service: &str,
        ms: Millis,
    ) -> Option<(u32, Millis)> {
        let configuration = shared.configuration();
        let sizes = configuration.services.get(service).and_then(|it| sizes(it))?;
        let mut services = self.services.lock();
        let batcher = &self.queue_of(&mut services, service, sizes).batcher;
        let now = shared.clock.now();
        Some((batcher.lendable(now, ms), batcher.usual_ms(now)))
    }

    /// Returns the queue of a service, creating it if there is none.
    fn queue_of<'a>(
        &self,
        services: &'a mut HashMap<Name, ServiceQueue>,
        service: &str,
        sizes: CallProfile,
    ) -> &'a mut ServiceQueue {
        services.entry(service.to_owned()).or_insert_with(|| {
            let mut queue = ServiceQueue::new(sizes);
            if let Some(targets) = self.targets.lock().get(service) {
                queue.set_targets(targets);
            }
            queue
        })
    }

    /// Records that results were released at the targets that stored them.
    pub(crate) fn record_released(&self, service: &str, handles: &[String]) {
        if let Some(it) = self.services.lock().get_mut(service) {
            handles.iter().for_each(|handle| it.batcher.record_released(handle));
        }
    }

    /// Fails the items of a service that cannot be processed within their requests' deadlines.
    fn expire(&self, shared: &IngressShared, service: &str) {
        let now = shared.clock.now();
        let mut services = self.services.lock();
        let Some(queue) = services.get_mut(service) else { return };
        queue.apply_backoffs(shared, now, service);
        let tickets = queue.batcher.expire(now);
        if !tickets.is_empty() {
            let backoff_ms = queue.batcher.backoff_ms(now);
            let later = backoff_ms.map(|it| NoResult::Overload(backoff::retry_after_ms(it)));
            queue.answer(&tickets, later.unwrap_or(NoResult::Late));
        }
    }

    /// Drops the items whose requests have ended, and measures the load. Both scan all waiting items, which is
    /// too costly to do with each call under high load.
    fn prune_and_measure(&self, now: Millis) {
        let mut services = self.services.lock();
        let mut measured = StageLoads::default();
        for (name, ServiceQueue { batcher, pending, is_owner, .. }) in services.iter_mut() {
            pending.retain(|_, it| !it.reply.is_closed());
            batcher.retain(|it| pending.contains_key(&it));
            if *is_owner {
                measured.times.push((name.clone(), batcher.usual_ms(now)));
                measured.loads.push((name.clone(), batcher.load(now)));
            }
        }
        *self.loads.lock() = measured;
    }

    /// Removes the next call of a service from its queue, with its items.
    fn next_call(&self, shared: &IngressShared, service: &str) -> Option<NextCall> {
        let now = shared.clock.now();
        let mut services = self.services.lock();
        let queue = services.get_mut(service)?;
        let items = u64::from(queue.batcher.sizes().max_items);
        let lane = shared.rollouts.item_lane(now, service, items);
        if lane != queue.lane {
            let closed = shared.rollouts.excluded_targets(now, service, lane.unwrap_or(Lane::Any));
            let targets = self.targets.lock().get(service).cloned().unwrap_or_default();
            queue.set_lane(lane, &closed, &targets);
        }
        queue.apply_backoffs(shared, now, service);
        let ServiceQueue { batcher, pending, .. } = queue;
        shared.limits.allowances(shared, service, |it| {
            batcher.set_limit(it.target, it.per_s, it.closed_until);
        });
        let call = batcher.next(now)?;
        // The permit is taken before the next call is chosen, so that this one counts against the target's
        // limit.
        let permit = shared
            .target(&call.target)
            .and_then(|it| limits::acquire_local(shared, &it))
            .and_then(Result::ok);
        shared.rollouts.items_sent(service, &call.target, call.items.len() as u64);
        let items: Vec<Pending> =
            call.items.iter().filter_map(|it| pending.remove(&it.ticket)).collect();
        let timeout_ms = batcher.timeout_ms(now, &call.target, call.items.len());
        Some(NextCall { call, permit, items, timeout_ms })
    }

    fn record_end(
        &self,
        shared: &IngressShared,
        service: &str,
        call: &Call,
        end: CallEnd,
        results: &[ItemResult],
    ) -> Option<PredictionSample> {
        let now = shared.clock.now();
        let handles: Vec<Option<&str>> =
            results.iter().map(|it| it.as_ref().ok().map(String::as_str)).collect();
        let mut services = self.services.lock();
        let it = services.get_mut(service)?;
        let judgement = match end {
            CallEnd::Answered(ms) => it.batcher.record_duration(now, call, ms),
            _ => None,
        };
        it.batcher.record_end(now, call, end, &handles);
        if results.contains(&Err(NoResult::NoRoom)) {
            it.batcher.record_no_room(now, &call.target);
        }
        judgement
    }

    /// Records the load that a target reported with a response that ended `answered` calls.
    pub(crate) fn record_load(
        &self,
        now: Millis,
        target: &TargetInstance,
        load: Load,
        answered: u32,
    ) {
        if let Some(it) = self.services.lock().get_mut(&target.service) {
            it.batcher.record_load(now, &target.id, load, answered);
        }
    }

    /// Puts an item that was not processed back into the queue.
    fn requeue(&self, now: Millis, service: &str, waiting: QueuedItem, pending: Pending) {
        let mut services = self.services.lock();
        let Some(queue) = services.get_mut(service) else { return };
        if pending.is_fetched.swap(false, Ordering::AcqRel) {
            pending.inputs.unfetched.fetch_add(1, Ordering::AcqRel);
        }
        queue.pending.insert(waiting.ticket, pending);
        queue.batcher.offer(now, waiting);
    }

    /// Hands waiting items over if another instance batches for a service: at once if this instance did so
    /// until now, else as soon as the other one reports that it does.
    fn hand_over(&self, shared: &IngressShared) {
        let mut services = self.services.lock();
        for (name, queue) in services.iter_mut() {
            let is_owner = own_batcher_of(shared, name).is_none();
            let was_owner = std::mem::replace(&mut queue.is_owner, is_owner);
            let has_report =
                || shared.pools.of(shared.clock.now(), name).has_owner_report(shared.clock.now());
            let is_draining = shared.peers.is_draining();
            let was_draining = std::mem::replace(&mut queue.was_draining, is_draining);
            if queue.batcher.waiting() == 0 {
                continue;
            }
            let is_moving = !is_owner && (was_owner || has_report());
            // Confined items may be owned by any allowed instance, so they move only when this one starts
            // draining.
            let is_draining_now = is_draining && !was_draining;
            let tickets = queue
                .batcher
                .take_if(|it| if it.within.is_some() { is_draining_now } else { is_moving });
            if tickets.is_empty() {
                continue;
            }
            let detail = format!("service={name} pieces={}", tickets.len());
            emit(events::ITEMS_HANDED_OVER, &shared.settings.instance, &detail);
            queue.answer(&tickets, NoResult::Moved);
        }
    }

    /// Whether this instance needs reports from the owners of services without sending them requests: because
    /// it is an owner, and owners exchange their load, or because items wait here that another instance may
    /// take over.
    pub(crate) fn relies_on_owners(&self) -> bool {
        let has_work = || self.services.lock().values().any(|it| it.batcher.waiting() != 0);
        !self.loads.lock().times.is_empty() || has_work()
    }

    fn services_with_work(&self) -> Vec<Name> {
        let services = self.services.lock();
        services.iter().filter(|it| it.1.batcher.waiting() != 0).map(|it| it.0.clone()).collect()
    }
}

/// Collects the results of items that were requested together. Once one of them has missed its deadline, the
/// others are of no use and are not waited for.
async fn gather(replies: Vec<oneshot::Receiver<ItemResult>>) -> Vec<ItemResult> {
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

/// Hands over and prunes waiting items, then starts the calls that targets have capacity for.
pub(crate) fn start_all_calls(shared: &Arc<IngressShared>) {
    shared.batches.hand_over(shared);
    shared.batches.prune_and_measure(shared.clock.now());
    shared.apply_stage_loads(shared.batches.stage_loads());
    for service in shared.batches.services_with_work() {
        start_calls(shared, &service);
    }
}

/// Starts as many calls of a service as its targets have capacity for.
pub(crate) fn start_calls(shared: &Arc<IngressShared>, service: &str) {
    shared.batches.expire(shared, service);
    while let Some(it) = shared.batches.next_call(shared, service) {
        let call = (it.call, it.permit);
        tokio::spawn(run(shared.clone(), service.to_owned(), call, it.items, it.timeout_ms));
    }
}

fn sizes(service: &Service) -> Option<CallProfile> {
    let limits = service.batches.as_ref()?;
    Some(CallProfile {
        max_calls: limits.calls,
        max_items: limits.items,
        call_ms: limits.call_ms,
        item_ms: limits.item_ms,
        room_bytes: limits.room_bytes,
        keep_ms: limits.keep_ms,
    })
}
