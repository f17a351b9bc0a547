//! The control thread: it owns control state, and everything that changes it comes as an
//! [`Input`], one at a time.

mod changes;
mod claim_stream;
mod claims;
mod exchange;
mod placement;
mod publish;
mod tail;
mod watchers;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use holdpoint_core::{
    catalog::Catalog,
    fold::{Effect, State},
    ids::{Millis, Name, Offset},
    lifecycle::{self, Lifecycle},
    membership::View,
    snapshot,
};
use holdpoint_platform::{ListClient, log::Batch};
use holdpoint_schema::{
    caller::ChangeStatus,
    peer::{ClaimAsk, ClaimReply, Digest, LeavingTarget, Member, Phase, Settle},
    platform::{ListState, Listing},
    records::{Body, Change, Snapshot},
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    control::{
        changes::Changes,
        claims::Claims,
        exchange::Exchange,
        placement::{Placing, Planners},
        watchers::Watchers,
    },
    events::{self, emit},
    peers::PeerSilent,
    shared::Shared,
};

pub(crate) use crate::control::{
    changes::wait_limit as change_wait_limit,
    watchers::{WatchEvent, WatchStart},
};

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(50);
/// Most inputs that wait for the control thread; senders wait beyond that.
pub(crate) const INPUTS: usize = 4096;

/// A resource as operators see it: name, version and specification.
pub(crate) type Listed = (Name, Offset, serde_json::Map<String, serde_json::Value>);

/// Everything that the control thread reacts to.
pub(crate) enum Input {
    Adopt { state: Box<State>, from_peer: bool, asked: Millis },
    Records { batch: Batch, asked: Millis },
    LogSilent,
    Listing(Listing),
    SameListing,
    ListSilent,
    Heartbeat { digest: Digest, reply: oneshot::Sender<Digest> },
    HeartbeatEnded { peer: String, asked: Millis, result: Result<Option<Digest>, PeerSilent> },
    Appended { offset: Offset },
    Change { change: Change, reply: oneshot::Sender<ChangeStatus> },
    ChangeStatus { change: String, reply: oneshot::Sender<ChangeStatus> },
    Resources { kind: String, name: Option<Name>, reply: oneshot::Sender<Vec<Listed>> },
    Watch { kind: String, from: Offset, reply: oneshot::Sender<WatchStart> },
    TargetLeaving(LeavingTarget),
    Claim { ask: ClaimAsk, reply: oneshot::Sender<ClaimReply> },
    Settle { settle: Settle, reply: oneshot::Sender<bool> },
    ClaimRecords { stream: u32, batch: Batch },
    ClaimLanded { stream: u32, offset: Offset },
    RoundEnded { planners: Planners },
    PartLanded,
    Snapshot { reply: oneshot::Sender<Option<Snapshot>> },
    Stop,
    Drained,
}

/// State of the control thread.
pub(crate) struct Control {
    shared: Arc<Shared>,
    state: State,
    catalog: Catalog,
    life: Lifecycle,
    view: View,
    listing: Option<Listing>,
    exchange: Exchange,
    changes: Changes,
    claims: Claims,
    watchers: Watchers,
    placing: Placing,
    /// The log's own time, as of its last answer.
    log_now: Millis,
    head_confirmed: Option<Millis>,
    log_silent: bool,
    list_silent: bool,
    /// Parts of a snapshot that are still to be appended, and its mark.
    snapshots: VecDeque<Snapshot>,
    snapshot_mark: Option<Snapshot>,
    snapshot_offset: Offset,
    snapshot_at: Millis,
    /// Whether what the traffic threads see is out of date.
    is_dirty: bool,
    members_seen: BTreeMap<String, Phase>,
    noted_version: u64,
}

/// Runs the control thread's loop until the instance is stopped.
pub(crate) async fn run(shared: Arc<Shared>, peers: String, mut inputs: mpsc::Receiver<Input>) {
    let mut control = Control::new(shared.clone(), peers);
    let tail = tokio::spawn(tail::control(shared.clone()));
    let list = tokio::spawn(poll_list(shared.clone()));
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while control.life.phase() != Phase::Stopped {
        tokio::select! {
            biased;
            // The tick goes first: after a pause it must see the clock's jump before any input
            // that waited through the pause can confirm the head.
            _ = ticks.tick() => control.tick(),
            () = control.claims_due() => control.claims_tick(),
            input = inputs.recv() => match input {
                Some(it) => control.handle(it),
                None => break,
            },
        }
        control.publish_if_dirty();
    }
    control.publish();
    control.exchange.farewell(&control.view, &shared).await;
    tail.abort();
    list.abort();
}

impl Control {
    fn new(shared: Arc<Shared>, peers: String) -> Control {
        let now = shared.clock.now();
        let me = Member {
            name: shared.settings.instance.clone(),
            incarnation: shared.incarnation.clone(),
            seq: 1,
            phase: Phase::Starting,
            applied: 0,
            peers,
            domain: shared.settings.domain.clone(),
        };
        Control {
            state: State::default(),
            catalog: Catalog::default(),
            life: Lifecycle::new(shared.settings.timing.confirm_ms),
            view: View::new(me, now),
            listing: None,
            exchange: Exchange::new(),
            changes: Changes::new(shared.clone()),
            claims: Claims::new(shared.clone()),
            watchers: Watchers::new(),
            placing: Placing::default(),
            log_now: 0,
            head_confirmed: None,
            log_silent: false,
            list_silent: false,
            snapshots: VecDeque::new(),
            snapshot_mark: None,
            snapshot_offset: 0,
            snapshot_at: now,
            is_dirty: true,
            members_seen: BTreeMap::new(),
            noted_version: 0,
            shared,
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Adopt { state, from_peer, asked } => self.adopt(*state, from_peer, asked),
            Input::Records { batch, asked } => self.records(&batch, asked),
            Input::LogSilent => self.set_log_silent(true),
            Input::Listing(it) => self.set_listing(it),
            Input::SameListing => self.set_list_silent(false),
            Input::ListSilent => self.set_list_silent(true),
            Input::Heartbeat { digest, reply } => {
                self.merge(&digest);
                drop(reply.send(self.digest_for(Some(&digest.from))));
            }
            Input::HeartbeatEnded { peer, asked, result } => {
                self.heartbeat_ended(&peer, asked, result);
            }
            Input::Appended { offset } => self.changes.appended(offset),
            Input::Change { change, reply } => {
                self.changes.submit(change, reply, &self.state, &self.view);
            }
            Input::ChangeStatus { change, reply } => {
                drop(reply.send(changes::status(&change, &self.state, &self.view)));
            }
            Input::Resources { kind, name, reply } => {
                drop(reply.send(self.resources(&kind, name.as_deref())));
            }
            Input::Watch { kind, from, reply } => {
                drop(reply.send(self.watchers.start(&kind, from, &self.state)));
            }
            Input::TargetLeaving(it) => self.target_leaving(&it),
            Input::Claim { ask, reply } => self.claims.ask(ask, reply, &self.view),
            Input::Settle { settle, reply } => self.claims.settle(&settle, reply),
            Input::ClaimRecords { stream, batch } => {
                self.claims.records(stream, &batch, &self.view);
            }
            Input::ClaimLanded { stream, offset } => {
                self.claims.landed(stream, offset, &self.view);
            }
            Input::RoundEnded { planners } => self.round_ended(planners),
            Input::PartLanded => self.append_part(),
            Input::Snapshot { reply } => {
                let is_known = self.state.offset() != 0 || self.life.confirmed().is_some();
                let whole = || snapshot::take(&self.state, usize::MAX).pop();
                drop(reply.send(is_known.then(whole).flatten()));
            }
            Input::Stop => {
                emit(events::STOPPING, &self.shared.settings.instance, "");
                self.life_event(lifecycle::Event::Stop);
            }
            Input::Drained => self.life_event(lifecycle::Event::Drained),
        }
    }

    /// Waits until a group commit of claims may start: a tick would be too late for most.
    fn claims_due(&self) -> impl Future<Output = ()> + use<> {
        let now = self.shared.clock.now();
        let wait = self.claims.due().map(|it| Duration::from_millis(it.saturating_sub(now)));
        async move {
            match wait {
                Some(it) => tokio::time::sleep(it).await,
                None => std::future::pending().await,
            }
        }
    }

    fn claims_tick(&mut self) {
        self.claims.tick(self.shared.clock.now(), &self.view);
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.life_event(lifecycle::Event::Tick { now });
        let applied = self.state.offset();
        self.view.set_me(self.life.phase(), applied, now);
        let age = self.head_age(now);
        self.exchange.beat(&mut self.view, &self.shared, age, applied, self.log_silent);
        self.confirm_alone(now);
        self.changes.tick(now, &self.state, &self.view);
        self.claims.tick(now, &self.view);
        self.snapshot_if_due(now);
        self.place(now);
        self.note_members();
    }

    fn life_event(&mut self, event: lifecycle::Event) {
        let before = self.life.phase();
        self.life.handle(event);
        let after = self.life.phase();
        if before != after {
            emit(events::PHASE, &self.shared.settings.instance, &format!("{before} to {after}"));
            self.view.set_me(after, self.state.offset(), self.shared.clock.now());
            self.is_dirty = true;
        }
    }

    fn adopt(&mut self, state: State, from_peer: bool, asked: Millis) {
        if state.offset() < self.state.offset() {
            return;
        }
        let event = if from_peer { events::ADOPTED } else { events::RESTORED };
        let detail = format!("offset {}", state.offset());
        emit(event, &self.shared.settings.instance, &detail);
        self.state = state;
        self.catalog = Catalog::new(&self.state);
        self.watchers.restart(self.state.offset());
        self.snapshot_offset = self.state.offset();
        self.is_dirty = true;
        if from_peer {
            self.head_confirmed(asked);
        }
    }

    fn records(&mut self, batch: &Batch, asked: Millis) {
        self.set_log_silent(false);
        self.log_now = self.log_now.max(batch.now);
        for read in &batch.records {
            if read.offset <= self.state.offset() {
                continue;
            }
            match &read.record {
                Some(it) => {
                    let effect = self.state.apply(read.offset, read.at, it);
                    if let Body::Snapshot(it) = &it.body {
                        self.snapshot_offset = self.snapshot_offset.max(it.offset);
                        self.snapshot_at = self.shared.clock.now();
                    }
                    self.effect(read.offset, effect);
                }
                None => {
                    let detail = format!("offset {}", read.offset);
                    emit(events::BAD_RECORD, &self.shared.settings.instance, &detail);
                    self.state.skip(read.offset);
                }
            }
        }
        if batch.next <= self.state.offset() + 1 {
            self.head_confirmed(asked);
        }
        if batch.records.is_empty() {
            return;
        }
        // In force here first, then acknowledged.
        self.publish();
        let now = self.shared.clock.now();
        self.view.set_me(self.life.phase(), self.state.offset(), now);
        self.changes.tick(now, &self.state, &self.view);
    }

    fn effect(&mut self, offset: Offset, effect: Effect) {
        self.leased(&effect);
        let instance = &self.shared.settings.instance;
        match effect {
            Effect::Changed { kind, name, entry } => {
                self.catalog.set(&kind, &name, entry.as_ref());
                emit(events::CHANGED, instance, &format!("{kind}/{name} at {offset}"));
                self.watchers.changed(offset, &kind, &name, entry);
            }
            Effect::Conflict => emit(events::CONFLICT, instance, &format!("at {offset}")),
            Effect::Duplicate | Effect::Leased | Effect::LeaseHeld | Effect::Ignored => (),
        }
    }

    fn resources(&self, kind: &str, name: Option<&str>) -> Vec<Listed> {
        self.state
            .resources(kind)
            .filter(|it| name.is_none_or(|name| it.0 == name))
            .map(|(name, it)| (name.clone(), it.version, it.parsed()))
            .collect()
    }

    fn set_log_silent(&mut self, silent: bool) {
        if self.log_silent != silent {
            let event = if silent { events::LOG_SILENT } else { events::LOG_BACK };
            emit(event, &self.shared.settings.instance, "");
        }
        self.log_silent = silent;
    }

    fn set_list_silent(&mut self, silent: bool) {
        if silent && !self.list_silent {
            emit(events::LIST_SILENT, &self.shared.settings.instance, "");
        }
        self.list_silent = silent;
    }

    fn set_listing(&mut self, listing: Listing) {
        self.set_list_silent(false);
        let live = listing.instances.iter().filter(|it| it.state == ListState::Live);
        self.view.set_listed(live.map(|it| (it.name.clone(), it.peers.clone())).collect());
        let now = self.shared.clock.now();
        for target in listing.targets.iter().filter(|it| it.state == ListState::Leaving) {
            self.view.set_leaving(&target.address, &target.incarnation, now);
        }
        self.is_dirty |= self.listing.as_ref() != Some(&listing);
        self.listing = Some(listing);
    }

    fn target_leaving(&mut self, sign: &LeavingTarget) {
        if self.view.is_leaving(&sign.address, &sign.incarnation) {
            return;
        }
        emit(events::TARGET_LEAVING, &self.shared.settings.instance, &sign.address);
        self.view.set_leaving(&sign.address, &sign.incarnation, self.shared.clock.now());
        self.is_dirty = true;
    }

    fn snapshot_if_due(&mut self, now: Millis) {
        if self.life.phase() != Phase::Ready || self.log_silent {
            return;
        }
        let me = self.view.me().name.clone();
        let rank = self.view.live().filter(|it| it.name < me).count();
        let since = self.state.offset().saturating_sub(self.snapshot_offset);
        let age = now.saturating_sub(self.snapshot_at);
        let retention = self.shared.settings.timing.retention_ms;
        if self.snapshot_mark.is_some() || !snapshot::is_due(since, age, retention, rank) {
            return;
        }
        self.snapshot_at = now;
        self.snapshot_offset = self.state.offset();
        let detail = format!("offset {}", self.state.offset());
        emit(events::SNAPSHOT, &self.shared.settings.instance, &detail);
        let parts = snapshot::take(&self.state, snapshot::PART_BYTES);
        let mark = snapshot::mark(&parts[0]);
        self.snapshots.extend(parts);
        self.snapshot_mark = Some(mark);
        self.append_part();
    }

    /// Appends the next part of a snapshot to its stream, and after the last one the mark.
    fn append_part(&mut self) {
        let Some(part) = self.snapshots.pop_front() else {
            if let Some(mark) = self.snapshot_mark.take() {
                self.changes.append(Body::Snapshot(mark));
            }
            return;
        };
        let record = tail::record(&self.shared, u64::from(part.part), Body::Snapshot(part));
        let shared = self.shared.clone();
        tokio::spawn(async move {
            tail::append(&shared, tail::SNAPSHOTS, &record).await;
            drop(shared.control.send(Input::PartLanded).await);
        });
    }

    fn note_members(&mut self) {
        if self.noted_version == self.view.version() {
            return;
        }
        self.noted_version = self.view.version();
        for member in self.view.members() {
            let seen = self.members_seen.insert(member.incarnation.clone(), member.phase);
            if seen != Some(member.phase) {
                let detail = format!("{} is {}", member.name, member.phase);
                emit(events::MEMBER, &self.shared.settings.instance, &detail);
                self.is_dirty = true;
            }
        }
    }
}

async fn poll_list(shared: Arc<Shared>) {
    let address = &shared.settings.platform.list;
    let timeout = Duration::from_millis(shared.settings.timing.log_timeout_ms);
    let mut client = ListClient::new(shared.http.clone(), address, timeout);
    loop {
        let input = match client.read().await {
            Ok(Some(it)) => Input::Listing(it),
            Ok(None) => Input::SameListing,
            Err(_) => Input::ListSilent,
        };
        if shared.control.send(input).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(shared.settings.timing.list_poll_ms)).await;
    }
}
