//! The control thread. It owns the control state; every change to it arrives as an [`Input`], and inputs
//! are handled one at a time.

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
        placement::{PlacementState, Planners},
        watchers::Watchers,
    },
    events::{self, emit},
    peers::PeerUnavailable,
    shared::Shared,
};

pub(crate) use crate::control::{
    changes::wait_limit as change_wait_limit,
    watchers::{WatchEvent, WatchStart},
};

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of queued inputs; senders wait while the queue is full.
pub(crate) const MAX_INPUTS: usize = 4096;

/// A resource for operators: name, version and specification.
pub(crate) type Listed = (Name, Offset, serde_json::Map<String, serde_json::Value>);

/// Inputs of the control thread.
pub(crate) enum Input {
    Adopt {
        state: Box<State>,
        from_peer: bool,
        asked_at: Millis,
    },
    Records {
        batch: Batch,
        asked_at: Millis,
    },
    LogSilent,
    Listing(Listing),
    SameListing,
    ListSilent,
    Heartbeat {
        digest: Digest,
        reply: oneshot::Sender<Digest>,
    },
    HeartbeatEnded {
        peer: String,
        asked_at: Millis,
        result: Result<Option<Digest>, PeerUnavailable>,
    },
    Appended {
        offset: Offset,
    },
    Change {
        change: Change,
        reply: oneshot::Sender<ChangeStatus>,
    },
    ChangeStatus {
        change: String,
        reply: oneshot::Sender<ChangeStatus>,
    },
    Resources {
        kind: String,
        name: Option<Name>,
        reply: oneshot::Sender<Vec<Listed>>,
    },
    Watch {
        kind: String,
        from: Offset,
        reply: oneshot::Sender<WatchStart>,
    },
    TargetDraining(LeavingTarget),
    Claim {
        ask: ClaimAsk,
        reply: oneshot::Sender<ClaimReply>,
    },
    Settle {
        settle: Settle,
        reply: oneshot::Sender<bool>,
    },
    ClaimRecords {
        stream: u32,
        batch: Batch,
    },
    ClaimsAppended {
        stream: u32,
        offset: Offset,
    },
    RoundEnded {
        planners: Planners,
    },
    SnapshotPartAppended,
    Snapshot {
        reply: oneshot::Sender<Option<Snapshot>>,
    },
    Stop,
    Drained,
}

/// State of the control thread.
pub(crate) struct Control {
    shared: Arc<Shared>,
    state: State,
    catalog: Catalog,
    lifecycle: Lifecycle,
    view: View,
    listing: Option<Listing>,
    exchange: Exchange,
    changes: Changes,
    claims: Claims,
    watchers: Watchers,
    placement: PlacementState,
    /// Time of the log at its last answer.
    log_now: Millis,
    head_confirmed: Option<Millis>,
    is_log_silent: bool,
    is_list_silent: bool,
    /// Parts of a snapshot that are still to be appended.
    snapshots: VecDeque<Snapshot>,
    /// Record for the control stream that follows the last part; `None` if no snapshot is being appended.
    snapshot_mark: Option<Snapshot>,
    snapshot_offset: Offset,
    snapshot_at: Millis,
    /// Whether the published state is out of date.
    is_dirty: bool,
    logged_phases: BTreeMap<String, Phase>,
    logged_version: u64,
}

/// Runs the loop of the control thread until the instance has stopped.
pub(crate) async fn run(shared: Arc<Shared>, peers: String, mut inputs: mpsc::Receiver<Input>) {
    let mut control = Control::new(shared.clone(), peers);
    let tail = tokio::spawn(tail::follow_control(shared.clone()));
    let list = tokio::spawn(poll_list(shared.clone()));
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while control.lifecycle.phase() != Phase::Stopped {
        tokio::select! {
            biased;
            // The tick goes first: after a pause of the process it must detect the jump of the clock before an
            // input queued during the pause can confirm the head.
            _ = ticks.tick() => control.tick(),
            () = control.wait_for_claims() => control.claims_tick(),
            input = inputs.recv() => match input {
                Some(it) => control.handle(it),
                None => break,
            },
        }
        control.publish_if_dirty();
    }
    control.publish();
    control.exchange.notify_stopped(&control.view, &shared).await;
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
            lifecycle: Lifecycle::new(shared.settings.timing.confirm_ms),
            view: View::new(me, now),
            listing: None,
            exchange: Exchange::new(),
            changes: Changes::new(shared.clone()),
            claims: Claims::new(shared.clone()),
            watchers: Watchers::new(),
            placement: PlacementState::default(),
            log_now: 0,
            head_confirmed: None,
            is_log_silent: false,
            is_list_silent: false,
            snapshots: VecDeque::new(),
            snapshot_mark: None,
            snapshot_offset: 0,
            snapshot_at: now,
            is_dirty: true,
            logged_phases: BTreeMap::new(),
            logged_version: 0,
            shared,
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Adopt { state, from_peer, asked_at } => self.adopt(*state, from_peer, asked_at),
            Input::Records { batch, asked_at } => self.apply_records(&batch, asked_at),
            Input::LogSilent => self.set_log_silent(true),
            Input::Listing(it) => self.set_listing(it),
            Input::SameListing => self.set_list_silent(false),
            Input::ListSilent => self.set_list_silent(true),
            Input::Heartbeat { digest, reply } => {
                self.merge(&digest);
                drop(reply.send(self.digest_for(Some(&digest.from))));
            }
            Input::HeartbeatEnded { peer, asked_at, result } => {
                self.heartbeat_ended(&peer, asked_at, result);
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
            Input::TargetDraining(it) => self.set_target_draining(&it),
            Input::Claim { ask, reply } => self.claims.ask(ask, reply, &self.view),
            Input::Settle { settle, reply } => self.claims.settle(&settle, reply),
            Input::ClaimRecords { stream, batch } => {
                self.claims.records(stream, &batch, &self.view);
            }
            Input::ClaimsAppended { stream, offset } => {
                self.claims.appended(stream, offset, &self.view);
            }
            Input::RoundEnded { planners } => self.round_ended(planners),
            Input::SnapshotPartAppended => self.append_snapshot_part(),
            Input::Snapshot { reply } => {
                let is_known = self.state.offset() != 0 || self.lifecycle.confirmed().is_some();
                let whole = || snapshot::take(&self.state, usize::MAX).pop();
                drop(reply.send(is_known.then(whole).flatten()));
            }
            Input::Stop => {
                emit(events::STOPPING, &self.shared.settings.instance, "");
                self.handle_lifecycle(lifecycle::Event::Stop);
            }
            Input::Drained => self.handle_lifecycle(lifecycle::Event::Drained),
        }
    }

    /// Waits until the next group commit of claims may start. Ticks are too infrequent for this.
    fn wait_for_claims(&self) -> impl Future<Output = ()> + use<> {
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
        self.handle_lifecycle(lifecycle::Event::Tick { now });
        let applied = self.state.offset();
        self.view.set_me(self.lifecycle.phase(), applied, now);
        let age = self.head_age(now);
        self.exchange.send_due(&mut self.view, &self.shared, age, applied, self.is_log_silent);
        self.confirm_if_alone(now);
        self.changes.tick(now, &self.state, &self.view);
        self.claims.tick(now, &self.view);
        self.snapshot_if_due(now);
        self.tick_placement(now);
        self.log_member_changes();
    }

    fn handle_lifecycle(&mut self, event: lifecycle::Event) {
        let before = self.lifecycle.phase();
        self.lifecycle.handle(event);
        let after = self.lifecycle.phase();
        if before != after {
            emit(events::PHASE, &self.shared.settings.instance, &format!("{before} to {after}"));
            self.view.set_me(after, self.state.offset(), self.shared.clock.now());
            self.is_dirty = true;
        }
    }

    fn adopt(&mut self, state: State, from_peer: bool, asked_at: Millis) {
        if state.offset() < self.state.offset() {
            return;
        }
        let event = if from_peer { events::ADOPTED } else { events::RESTORED };
        let detail = format!("offset {}", state.offset());
        emit(event, &self.shared.settings.instance, &detail);
        self.state = state;
        self.catalog = Catalog::new(&self.state);
        self.watchers.reset(self.state.offset());
        self.snapshot_offset = self.state.offset();
        self.is_dirty = true;
        if from_peer {
            self.head_confirmed(asked_at);
        }
    }

    fn apply_records(&mut self, batch: &Batch, asked_at: Millis) {
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
                    self.handle_effect(read.offset, effect);
                }
                None => {
                    let detail = format!("offset {}", read.offset);
                    emit(events::BAD_RECORD, &self.shared.settings.instance, &detail);
                    self.state.skip(read.offset);
                }
            }
        }
        if batch.next <= self.state.offset() + 1 {
            self.head_confirmed(asked_at);
        }
        if batch.records.is_empty() {
            return;
        }
        // Publish before acknowledging: changes must be active here first.
        self.publish();
        let now = self.shared.clock.now();
        self.view.set_me(self.lifecycle.phase(), self.state.offset(), now);
        self.changes.tick(now, &self.state, &self.view);
    }

    fn handle_effect(&mut self, offset: Offset, effect: Effect) {
        self.record_lease(&effect);
        let instance = &self.shared.settings.instance;
        match effect {
            Effect::Changed { kind, name, entry } => {
                self.catalog.set(&kind, &name, entry.as_ref());
                emit(events::CHANGED, instance, &format!("{kind}/{name} at {offset}"));
                self.watchers.record_change(offset, &kind, &name, entry);
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

    fn set_log_silent(&mut self, is_silent: bool) {
        if self.is_log_silent != is_silent {
            let event = if is_silent { events::LOG_SILENT } else { events::LOG_BACK };
            emit(event, &self.shared.settings.instance, "");
        }
        self.is_log_silent = is_silent;
    }

    fn set_list_silent(&mut self, is_silent: bool) {
        if is_silent && !self.is_list_silent {
            emit(events::LIST_SILENT, &self.shared.settings.instance, "");
        }
        self.is_list_silent = is_silent;
    }

    fn set_listing(&mut self, listing: Listing) {
        self.set_list_silent(false);
        let live = listing.instances.iter().filter(|it| it.state == ListState::Live);
        self.view.set_listed(live.map(|it| (it.name.clone(), it.peers.clone())).collect());
        let now = self.shared.clock.now();
        for target in listing.targets.iter().filter(|it| it.state == ListState::Leaving) {
            self.view.set_draining(&target.address, &target.incarnation, now);
        }
        self.is_dirty |= self.listing.as_ref() != Some(&listing);
        self.listing = Some(listing);
    }

    fn set_target_draining(&mut self, target: &LeavingTarget) {
        if self.view.is_draining(&target.address, &target.incarnation) {
            return;
        }
        emit(events::TARGET_DRAINING, &self.shared.settings.instance, &target.address);
        self.view.set_draining(&target.address, &target.incarnation, self.shared.clock.now());
        self.is_dirty = true;
    }

    fn snapshot_if_due(&mut self, now: Millis) {
        if self.lifecycle.phase() != Phase::Ready || self.is_log_silent {
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
        self.append_snapshot_part();
    }

    /// Appends the next part of a snapshot to the snapshot stream, or the mark to the control stream after the
    /// last part.
    fn append_snapshot_part(&mut self) {
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
            drop(shared.control.send(Input::SnapshotPartAppended).await);
        });
    }

    fn log_member_changes(&mut self) {
        if self.logged_version == self.view.version() {
            return;
        }
        self.logged_version = self.view.version();
        for member in self.view.members() {
            let seen = self.logged_phases.insert(member.incarnation.clone(), member.phase);
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
