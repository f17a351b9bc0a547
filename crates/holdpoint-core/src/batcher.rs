//! Batches the pieces of a stage, from all requests, into calls at the targets of one service.
//!
//! A call costs a fixed time plus a little for each piece, and a target works on few calls at
//! once. So a target is given as many calls as it works on and no more: while one runs, pieces
//! gather here, where they can still be ordered: the nearest due time goes first. A piece that cannot
//! be in time any more has a later due time instead; so it lets those go first that can be in time, and
//! is made before its request ends. Pieces that will not be made by then even at the stated pace are
//! dropped at once. A request is admitted only where it is expected to be in time with all its stages, or
//! late although all that is offered meanwhile goes first. A large result is made in
//! the failure domain where it is needed, as long as its due time leaves room to wait for a target
//! there. The room that results take at each target is kept account of, from the call that makes
//! them until they are given up or their time is over.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::{
    deadline::RecentRate,
    directory::TargetId,
    ids::Millis,
    near::{NearPiece, NearQueues},
    pieces::{Call, CallEnd, Sizes, Ticket, Waiting},
};

/// How long a target that failed gets no calls, in milliseconds; doubled with each failure.
const SUSPECT_MS: Millis = 500;
/// Longest time that a target is suspect, in milliseconds.
const LONGEST_SUSPECT_MS: Millis = 4000;
/// How long a target that was full, or had no room, gets no calls, in milliseconds.
const FULL_MS: Millis = 80;
/// Weight of the newest measurement of a target's slowness.
const NEWEST: f64 = 0.3;
/// A target that is so many times slower than the fastest gets work only while there is a
/// backlog. Not measured by itself.
const SLOW: f64 = 2.0;
/// How many times longer than it was waited for a call is taken to last that was not answered.
const SILENT_SLOWNESS: f64 = 1.5;
/// Slowness above which a target counts as gone rather than slow; the users' targets slow down by up
/// to five times.
const MOST_SLOWNESS: f64 = 8.0;
/// How long a slow target rests before a call is tried there again, in milliseconds.
const SLOW_REST_MS: Millis = 2000;
/// Moved bytes below which it does not matter where a piece is made.
const NEAR_BYTES: u64 = 200_000;
/// How long a target counts as full that had no room although the account said so, in
/// milliseconds.
const UNKNOWN_ROOM_MS: Millis = 300;
/// How long a target counts as called by other instances too, after a sign of it, in milliseconds:
/// views of who batches a service differ for about as long as a silent peer is passed over.
const SHARED_MS: Millis = 2000;
/// Part of what the targets' next calls take, above which a service has a backlog: calls wait to be
/// worth their time, and slow targets are used too.
const BACKLOG: f64 = 0.33;
/// A call of less than one in so many of its most pieces is small.
const SMALL_CALL: usize = 2;
/// How long a target of a service with a backlog waits for room for more than a small call, in
/// milliseconds. At 0, 85.3 in place of 85.0 % of the requests of 15 plays were in time, which is within
/// the noise.
const GATHER_MS: Millis = 80;
/// Bounds of how much longer pieces wait than predicted.
const LAG_BOUNDS: (f64, f64) = (1.0, 6.0);
/// Weight of the newest measurement of that.
const NEWEST_LAG: f64 = 0.1;
/// Least part of the targets' time that is taken to be left for late pieces.
const LEAST_SPARE: f64 = 0.05;

#[derive(Clone, Debug, Default)]
struct Target {
    domain: String,
    is_leaving: bool,
    calls: u32,
    failures: u32,
    suspect_until: Millis,
    /// How much longer its calls take than stated; 1 until measured.
    slowness: f64,
    /// Room reserved by calls and taken by results, in bytes.
    used_bytes: u64,
    /// When its last call ended.
    idle_since: Millis,
    /// When the call that began last is expected to end.
    busy_until: Millis,
    /// Until when it counts as called by other instances too.
    shared_until: Millis,
}

#[derive(Clone, Debug)]
struct Kept {
    target: TargetId,
    bytes: u64,
    until: Millis,
}

/// Batches for one service.
#[derive(Clone, Debug)]
pub struct Batcher {
    sizes: Sizes,
    waiting: Vec<Waiting>,
    targets: BTreeMap<TargetId, Target>,
    /// Results that take room, by handle.
    kept: HashMap<String, Kept>,
    /// How many times longer pieces wait than predicted.
    lag: f64,
    /// Time from the offer of a piece in time to its due time, in milliseconds.
    usual_slack: f64,
    /// Pieces that are offered.
    offered: RecentRate,
    /// From when on the next refused request may come back.
    next_return: Millis,
}

impl Batcher {
    /// Makes a batcher with no targets yet.
    pub fn new(sizes: Sizes) -> Batcher {
        Batcher {
            sizes,
            waiting: Vec::new(),
            targets: BTreeMap::new(),
            kept: HashMap::new(),
            lag: 1.0,
            usual_slack: 0.0,
            offered: RecentRate::default(),
            next_return: 0,
        }
    }

    /// Sizes in force.
    pub fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    /// Puts other sizes in force.
    pub fn set_sizes(&mut self, sizes: Sizes) {
        self.sizes = sizes;
    }

    /// Takes in the service's targets: id, failure domain and whether it is leaving.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = (&'a str, &'a str, bool)>) {
        let mut old = std::mem::take(&mut self.targets);
        for (id, domain, is_leaving) in targets {
            let mut target =
                old.remove(id).unwrap_or_else(|| Target { slowness: 1.0, ..Target::default() });
            target.domain = domain.to_owned();
            target.is_leaving = is_leaving;
            self.targets.insert(id.to_owned(), target);
        }
    }

    /// Offers a piece.
    pub fn offer(&mut self, now: Millis, piece: Waiting) {
        // Pieces of one group are offered one after the other, and wait for the same time.
        let same = self.waiting.last().filter(|it| it.group == piece.group && it.offered == now);
        let predicted_wait =
            same.map_or_else(|| self.predicted_wait(now, piece.due), |it| it.predicted_wait);
        if !self.sizes.is_late(now, &piece) {
            self.usual_slack += NEWEST_LAG * ((piece.due - now) as f64 - self.usual_slack);
        }
        self.offered.count(now);
        let turn = self.turn(now, &piece);
        self.waiting.push(Waiting { offered: now, predicted_wait, turn, ..piece });
    }

    /// Takes back all pieces that wait, for another instance to make.
    pub fn hand_over(&mut self) -> Vec<Ticket> {
        self.waiting.drain(..).map(|it| it.ticket).collect()
    }

    /// Takes back the pieces that are no longer wanted.
    pub fn retain(&mut self, is_wanted: impl Fn(Ticket) -> bool) {
        self.waiting.retain(|it| is_wanted(it.ticket));
    }

    /// Pieces that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Targets that may be called now or soon.
    pub fn usable(&self) -> usize {
        self.targets.values().filter(|it| !it.is_leaving).count()
    }

    /// Time in which so many more pieces would be made that are due at a time, in milliseconds:
    /// after the call that ends next, after those that are due before them, in a call of their own.
    pub fn expected_ms(&self, now: Millis, due: Millis, pieces: usize) -> Millis {
        let own_call = self.sizes.stated_ms(pieces.min(self.sizes.most()));
        (self.lag * self.predicted_wait(now, due) + own_call) as Millis
    }

    /// Time in which a piece would be made that has as much time as is usual here, in milliseconds.
    pub fn usual_ms(&self, now: Millis) -> Millis {
        self.expected_ms(now, now + self.usual_slack as Millis, 1)
    }

    /// Whether so many more pieces can be made by their due time, or by their late one although all that
    /// is offered meanwhile goes first. An error is the time in which they would be made.
    pub fn admit(
        &self,
        now: Millis,
        due: Millis,
        late_due: Millis,
        pieces: usize,
    ) -> Result<(), Millis> {
        let expected = self.expected_ms(now, due, pieces);
        if now + expected <= due {
            return Ok(());
        }
        let spare = 1.0 - self.offered.at(now) * self.piece_gap(now);
        let late = self.expected_ms(now, late_due, pieces) as f64 / spare.max(LEAST_SPARE);
        if now + late as Millis <= late_due { Ok(()) } else { Err(expected) }
    }

    /// When a request that was refused may come back, in milliseconds: once there is room for its
    /// pieces, and after those that were refused before it.
    pub fn return_ms(&mut self, now: Millis, due: Millis, pieces: usize) -> Millis {
        let excess = (now + self.expected_ms(now, due, pieces)).saturating_sub(due.max(now));
        let at = self.next_return.max(now + excess);
        self.next_return = at + (pieces as f64 * self.piece_gap(now)) as Millis;
        at - now
    }

    /// Time in which the targets make one piece where calls are full, in milliseconds.
    fn piece_gap(&self, now: Millis) -> f64 {
        let usable = |it: &&Target| !it.is_leaving && it.suspect_until <= now;
        let targets = self.targets.values().filter(usable).count().max(1) as f64;
        let most = self.sizes.most();
        self.sizes.stated_ms(most) / most as f64 / targets
    }

    /// Time that decides when a piece has its turn: its due time, as long as it can be in time, then
    /// its late one; earlier where its inputs expire before.
    fn turn(&self, now: Millis, piece: &Waiting) -> Millis {
        let due = if self.sizes.is_late(now, piece) { piece.late_due } else { piece.due };
        let call_ms = self.sizes.stated_ms(1) as Millis;
        piece.inputs_until.map_or(due, |it| due.min(it + call_ms))
    }

    /// Wait of one more piece, as far as the targets' stated times explain it, in milliseconds.
    fn predicted_wait(&self, now: Millis, due: Millis) -> f64 {
        let usable = |it: &&Target| !it.is_leaving && it.suspect_until <= now;
        let is_free = self.targets.values().filter(usable).any(|it| it.calls < self.sizes.calls);
        if is_free && self.waiting.is_empty() {
            return 0.0;
        }
        let ahead = self.waiting.iter().filter(|it| it.turn <= due).count();
        (self.sizes.most() + ahead) as f64 * self.piece_gap(now)
    }

    /// Learns how much longer pieces wait than predicted, from those of a call.
    fn learn_lag(&mut self, now: Millis, pieces: &[Waiting]) {
        // What is late has stood aside for others; its wait says nothing of theirs.
        for piece in pieces.iter().filter(|it| !self.sizes.is_late(now, it)) {
            let waited = now.saturating_sub(piece.offered) as f64;
            let seen = (waited / piece.predicted_wait.max(20.0)).clamp(LAG_BOUNDS.0, LAG_BOUNDS.1);
            self.lag += NEWEST_LAG * (seen - self.lag);
        }
    }

    /// Removes and returns the pieces that will not be made by their deadline, with all that wait of
    /// their groups: even if the targets make all that goes before them at the stated pace.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket> {
        self.order(now);
        let own_call = self.sizes.stated_ms(1);
        let gap = self.piece_gap(now);
        let mut over = HashSet::new();
        let mut ahead = 0;
        for piece in &self.waiting {
            let made = now + (ahead as f64 * gap + own_call) as Millis;
            if piece.deadline < made {
                over.insert(piece.group);
            } else if !over.contains(&piece.group) {
                ahead += 1;
            }
        }
        if over.is_empty() {
            return Vec::new();
        }
        let (over, kept) = self.waiting.drain(..).partition(|it| over.contains(&it.group));
        self.waiting = kept;
        over.into_iter().map(|it: Waiting| it.ticket).collect()
    }

    /// Returns a call to make now, if there is one. [`Batcher::ended`] must follow.
    pub fn next(&mut self, now: Millis) -> Option<Call> {
        self.forget_kept(now);
        if self.waiting.is_empty() {
            return None;
        }
        let free = self.free_targets(now);
        if free.is_empty() {
            return None;
        }
        self.order(now);
        let queues = self.near_queues(now);
        let packed = free.into_iter().map(|it| (self.pack(now, &it, &queues), it));
        let (indices, target) = packed.max_by_key(|it| self.score(&it.0, &it.1))?;
        if indices.is_empty() {
            return None;
        }
        let pieces = self.take(&indices);
        self.learn_lag(now, &pieces);
        let chosen = self.targets.get_mut(&target)?;
        chosen.calls += 1;
        chosen.used_bytes += pieces.iter().map(|it| it.bytes).sum::<u64>();
        let call_ms = self.sizes.stated_ms(pieces.len()) * chosen.slowness.max(1.0);
        chosen.busy_until = now + call_ms as Millis;
        let used_bytes = chosen.used_bytes;
        let is_shared = now < chosen.shared_until;
        let (left, sizes) = (self.waiting.len(), self.sizes);
        Some(Call { target, pieces, left, used_bytes, sizes, is_shared })
    }

    /// Takes the pieces at some indices, which rise, in one pass over those that wait.
    fn take(&mut self, indices: &[usize]) -> Vec<Waiting> {
        let mut next = indices.iter().copied().peekable();
        let mut index = 0;
        let taken = self.waiting.extract_if(.., |_| {
            let is_taken = next.next_if_eq(&index).is_some();
            index += 1;
            is_taken
        });
        taken.collect()
    }

    /// Ends a call. `results` has the handle of each piece's result, in their order; those of a
    /// call that did not answer are all absent.
    pub fn ended(&mut self, now: Millis, call: &Call, end: CallEnd, results: &[Option<&str>]) {
        let stated = self.sizes.stated_ms(call.pieces.len());
        let mut freed = 0;
        for (index, piece) in call.pieces.iter().enumerate() {
            match results.get(index).copied().flatten() {
                Some(handle) => {
                    let until = now + self.sizes.keep_ms;
                    let kept = Kept { target: call.target.clone(), bytes: piece.bytes, until };
                    self.kept.insert(handle.to_owned(), kept);
                }
                None => freed += piece.bytes,
            }
        }
        let Some(target) = self.targets.get_mut(&call.target) else { return };
        target.calls = target.calls.saturating_sub(1);
        target.idle_since = now;
        target.used_bytes = target.used_bytes.saturating_sub(freed);
        match end {
            CallEnd::Answered(ms) => {
                let seen = ms as f64 / stated.max(1.0);
                target.slowness += NEWEST * (seen - target.slowness);
                target.failures = 0;
            }
            CallEnd::Full => target.suspect_until = now + FULL_MS,
            CallEnd::Failed | CallEnd::Silent(_) => {
                if let CallEnd::Silent(ms) = end {
                    // It may be slow and not gone: the next call gets the time that it needs.
                    let least = SILENT_SLOWNESS * ms as f64 / stated.max(1.0);
                    target.slowness = target.slowness.max(least).min(MOST_SLOWNESS);
                }
                let span = SUSPECT_MS << target.failures.min(4);
                target.suspect_until = now + span.min(LONGEST_SUSPECT_MS);
                target.failures += 1;
            }
        }
    }

    /// Takes in the calls that a target worked on or had in its queue as it answered a call of this
    /// instance, that one left out. More than are known here are another instance's. Inputs that are gone
    /// are no sign of one: they go with a target that crashed, and counted as a sign they had inputs kept
    /// until the ends of calls, which filled the makers' room: 4,491 in place of 5,041 of 6,480 requests of a
    /// class were in time, counted in one play of 48 s each at 86 instances, same seed.
    pub fn told_load(&mut self, now: Millis, target: &str, calls: u32) {
        let Some(found) = self.targets.get_mut(target) else { return };
        if found.calls.saturating_sub(1) < calls {
            found.shared_until = now + SHARED_MS;
        }
    }

    /// Takes in that a target had no room for a piece, although it should have had.
    pub fn no_room(&mut self, now: Millis, target: &str) {
        let Some(found) = self.targets.get_mut(target) else { return };
        found.suspect_until = found.suspect_until.max(now + FULL_MS);
        // Results that another instance had made there are unknown here; they go with time.
        let unknown = self.sizes.room_bytes.saturating_sub(found.used_bytes);
        found.used_bytes += unknown;
        let until = now + UNKNOWN_ROOM_MS;
        let kept = Kept { target: target.to_owned(), bytes: unknown, until };
        self.kept.insert(format!("unknown:{target}:{now}"), kept);
    }

    /// Takes in that a result was given up at its maker.
    pub fn released(&mut self, handle: &str) {
        let Some(kept) = self.kept.remove(handle) else { return };
        if let Some(target) = self.targets.get_mut(&kept.target) {
            target.used_bytes = target.used_bytes.saturating_sub(kept.bytes);
        }
    }

    /// Longest time that a call of so many pieces at a target is waited for, in milliseconds.
    pub fn patience_ms(&self, target: &str, pieces: usize) -> Millis {
        let stated = self.sizes.stated_ms(pieces);
        let slowness = self.targets.get(target).map_or(1.0, |it| it.slowness.max(1.0));
        (stated * (1.0 + slowness) + 300.0) as Millis
    }

    fn forget_kept(&mut self, now: Millis) {
        let over: Vec<String> =
            self.kept.iter().filter(|it| it.1.until < now).map(|it| it.0.clone()).collect();
        over.iter().for_each(|it| self.released(it));
    }

    /// Orders what waits: the nearest turn first.
    fn order(&mut self, now: Millis) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.iter_mut().for_each(|it| it.turn = self.turn(now, it));
        let key = |it: &Waiting| (it.turn, it.rank, it.group, it.ticket);
        // Little changes from one call to the next.
        if !waiting.is_sorted_by_key(key) {
            waiting.sort_by_key(key);
        }
        self.waiting = waiting;
    }

    /// Whether more waits than a part of what the targets' next calls take.
    fn has_backlog(&self, part: f64) -> bool {
        part * f64::from(self.sizes.pieces) * (self.usable() as f64) < self.waiting.len() as f64
    }

    /// Indices of the pieces that a call at a target would take: whole groups, as far as they fit.
    fn pack(&self, now: Millis, id: &str, queues: &NearQueues<'_>) -> Vec<usize> {
        let Some(target) = self.targets.get(id) else { return Vec::new() };
        let room = match self.sizes.room_bytes {
            0 => u64::MAX,
            it => it.saturating_sub(target.used_bytes),
        };
        let indices = self.pack_into(now, target, room, queues);
        let is_small = indices.len() * SMALL_CALL < self.sizes.pieces as usize;
        let has_waited = target.idle_since + GATHER_MS <= now;
        if is_small && self.has_backlog(BACKLOG) && !has_waited {
            // Room comes back within the time of a small call, and then more fits in.
            return Vec::new();
        }
        indices
    }

    fn pack_into(
        &self,
        now: Millis,
        target: &Target,
        mut room: u64,
        queues: &NearQueues<'_>,
    ) -> Vec<usize> {
        let most = self.sizes.most();
        let mut indices = Vec::new();
        // Pieces passed so far, by the failure domain of their inputs.
        let mut passed: BTreeMap<&str, usize> = BTreeMap::new();
        let mut from = 0;
        while from < self.waiting.len() && indices.len() < most {
            let group = self.waiting[from].group;
            let same = self.waiting[from..].iter().take_while(|it| it.group == group).count();
            let pieces = &self.waiting[from..from + same];
            let bytes: u64 = pieces.iter().map(|it| it.bytes).sum();
            let mut may_go = self.may_go(now, &pieces[0], target);
            if let Some(domain) = near_domain(&pieces[0]) {
                let ahead = passed.entry(domain).or_default();
                let piece = NearPiece { domain, due: pieces[0].turn, ahead: *ahead };
                *ahead += same;
                may_go &= domain == target.domain || queues.may_move(piece, &target.domain);
            }
            if may_go && bytes <= room && indices.len() + same <= most {
                room -= bytes;
                indices.extend(from..from + same);
            } else if may_go && indices.is_empty() && self.must_split(same, bytes) {
                for (index, piece) in pieces.iter().enumerate().take(most) {
                    if room < piece.bytes {
                        break;
                    }
                    room -= piece.bytes;
                    indices.push(from + index);
                }
            }
            from += same;
        }
        indices
    }

    /// Whether a group fits into no call as a whole.
    fn must_split(&self, pieces: usize, bytes: u64) -> bool {
        let is_large = self.sizes.room_bytes != 0 && self.sizes.room_bytes < 2 * bytes;
        self.sizes.pieces as usize <= 2 * pieces || is_large
    }

    /// Whether a piece may be made at a target as slow as this one.
    fn may_go(&self, now: Millis, piece: &Waiting, target: &Target) -> bool {
        // Only what will be in time at a slow one, or nowhere.
        let slow_ms = (self.sizes.stated_ms(1) * target.slowness) as Millis;
        target.slowness < SLOW || self.sizes.is_late(now, piece) || now + slow_ms <= piece.due
    }

    /// What waits in each failure domain.
    fn near_queues(&self, now: Millis) -> NearQueues<'_> {
        let usable = self.targets.values().filter(|it| !it.is_leaving && it.suspect_until <= now);
        let targets = usable.map(|it| (it.domain.as_str(), self.free_at(now, it)));
        NearQueues::new(now, &self.sizes, targets, self.waiting.iter().filter_map(near_domain))
    }

    /// When a target is expected to take its next call. One that is overdue is expected to take as long
    /// again as it is overdue.
    fn free_at(&self, now: Millis, target: &Target) -> Millis {
        if target.calls < self.sizes.calls.max(1) {
            return now;
        }
        let overdue = now.saturating_sub(target.busy_until);
        target.busy_until.max(now) + overdue
    }

    /// How good a call would be: the most pieces, then the most large ones in their failure
    /// domain, then the fastest target.
    fn score(&self, indices: &[usize], id: &str) -> (usize, u64, i64) {
        let Some(target) = self.targets.get(id) else { return (0, 0, 0) };
        let is_near = |it: &&Waiting| NEAR_BYTES <= it.near_bytes && it.domain == target.domain;
        let pieces = indices.iter().map(|it| &self.waiting[*it]);
        let near_bytes = pieces.filter(is_near).map(|it| it.near_bytes).sum();
        (indices.len(), near_bytes, -(target.slowness * 10.0) as i64)
    }

    /// Targets that may take a call now. One much slower than the fastest is left out while the
    /// others keep up.
    fn free_targets(&self, now: Millis) -> Vec<TargetId> {
        let calls = self.sizes.calls.max(1);
        let staying = || self.targets.iter().filter(|it| !it.1.is_leaving);
        let fastest = staying()
            .filter(|it| it.1.suspect_until <= now)
            .map(|it| it.1.slowness)
            .fold(f64::INFINITY, f64::min);
        let has_backlog = self.has_backlog(BACKLOG);
        staying()
            .filter(|it| it.1.suspect_until <= now && it.1.calls < calls)
            .filter(|it| {
                let is_slow = SLOW * fastest.max(1.0) <= it.1.slowness;
                has_backlog || !is_slow || it.1.idle_since + SLOW_REST_MS <= now
            })
            .map(|it| it.0.clone())
            .collect()
    }
}

/// Failure domain where a piece is best made; none where that does not matter.
fn near_domain(piece: &Waiting) -> Option<&str> {
    (NEAR_BYTES <= piece.near_bytes && !piece.domain.is_empty()).then_some(piece.domain.as_str())
}
