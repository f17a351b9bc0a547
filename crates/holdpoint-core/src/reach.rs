//! Which targets an instance reaches itself, and which only its peers reach.
//!
//! A target whose path is lost gets its requests through a peer, until a probe finds the path open again and a
//! request that may be repeated has been answered over it. Only an answer through a peer proves that the path is
//! at fault and not the target. If that is proven for several targets of a service and none has answered since, the
//! instance is isolated from the service, and the paths to its other targets count as lost too.
//!
//! A path on which connections are made and answers are lost is open to every probe. Requests that try such paths are
//! therefore rare: their callers wait in vain, and a failure uses up a retry.

use std::collections::HashMap;

use crate::{
    directory::TargetId,
    ids::{Millis, Name},
};

/// Lost targets from which on an instance is isolated from a service.
const ISOLATION_COUNT: usize = 2;
/// Consecutive exchanges without an answer after which a path is lost although connections can be made.
const MAX_UNANSWERED: u32 = 2;
/// Interval from the loss of a path to its first probe. It doubles while the path stays lost.
const PROBE_INTERVAL_MS: Millis = 300;
/// Longest interval between two probes of a path.
const MAX_PROBE_INTERVAL_MS: Millis = 2_000;
/// How long a request that tries an open path keeps others from trying it too.
const TRIAL_MS: Millis = 1_000;
/// Time without an unanswered exchange after which a request tries a silent path although it could not be sent again.
const COSTLY_TRIAL_MS: Millis = 10_000;
/// Time after which a path that a probe has found open also carries requests that may run only once.
const PROVEN_MS: Millis = 1_500;
/// How long a path must stay open for its next loss to count as the first one.
const STABLE_MS: Millis = 5_000;
/// How long a service counts as unreached after the end of its isolation, so that a flapping link does not move
/// its ownership each time.
const HOLD_MS: Millis = 2_000;
/// How long the peers' report that they do not reach a target either stays valid.
const TARGET_LOST_MS: Millis = 1_000;

/// How a request gets to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// On a connection of this instance.
    Direct,
    /// Through a peer.
    Relayed,
}

/// What it costs if a request that tries an open path gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// The request may run only once, so that its outcome would be unknown.
    Forbidden,
    /// The request may be repeated, but would probably not be sent again.
    Costly,
    /// The request would be sent again.
    Affordable,
}

/// A path that is not known to be open.
#[derive(Clone, Debug)]
struct DoubtedPath {
    service: Name,
    /// Consecutive exchanges without an answer.
    unanswered: u32,
    /// Whether it is lost.
    is_lost: bool,
    /// When the target answered through a peer while the path was lost.
    proven: Option<Millis>,
    /// Whether connections could be made when it was lost, so that one that is made now proves nothing.
    is_silent: bool,
    /// When an exchange over it last ended without an answer.
    failed: Millis,
    /// When it last became usable again.
    regained: Millis,
    interval: Millis,
    probe_at: Millis,
    /// When a probe found it open.
    opened: Option<Millis>,
    trial_until: Millis,
    /// Until when peers count as not reaching the target either.
    target_lost_until: Millis,
}

impl DoubtedPath {
    /// Marks the path as lost and schedules its probe; returns whether it was not lost before.
    fn lose(&mut self, now: Millis) -> bool {
        let is_new = !self.is_lost;
        let is_repeated = !is_new || now < self.regained + STABLE_MS;
        self.interval = if is_repeated && self.interval != 0 {
            (2 * self.interval).min(MAX_PROBE_INTERVAL_MS)
        } else {
            PROBE_INTERVAL_MS
        };
        self.is_lost = true;
        self.probe_at = now + self.interval;
        self.opened = None;
        self.trial_until = 0;
        is_new
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// When a target of the service last answered over its own path.
    heard: Millis,
    /// Number of paths whose loss was proven since then.
    lost_since: usize,
    /// Until when the service counts as unreached.
    unreached_until: Millis,
    /// When an exchange over one of its silent paths last began or ended without an answer.
    unanswered: Millis,
    /// Interval between two trials of its silent paths while the instance is isolated. It doubles with each.
    trial_interval: Millis,
}

impl ServiceReach {
    /// Begins a trial of a silent path, if it is time for one.
    fn begin_trial(&mut self, now: Millis, trial: Trial) -> bool {
        let is_isolated = ISOLATION_COUNT <= self.lost_since;
        let interval = match trial {
            Trial::Forbidden => return false,
            Trial::Costly => COSTLY_TRIAL_MS,
            Trial::Affordable if is_isolated => self.trial_interval.max(PROBE_INTERVAL_MS),
            Trial::Affordable => 0,
        };
        if now < self.unanswered + interval {
            return false;
        }
        self.unanswered = now;
        if is_isolated {
            self.trial_interval = (2 * interval).min(MAX_PROBE_INTERVAL_MS);
        }
        true
    }
}

/// The paths of one instance to the targets.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    paths: HashMap<TargetId, DoubtedPath>,
    services: HashMap<Name, ServiceReach>,
}

impl Reach {
    /// Records that a target answered over its own path; returns whether the path was lost.
    pub fn record_answer(&mut self, now: Millis, target: &str, service: &str) -> bool {
        let of_service = self.service_mut(service);
        of_service.heard = now;
        of_service.lost_since = 0;
        of_service.trial_interval = 0;
        let Some(path) = self.paths.get_mut(target) else { return false };
        path.unanswered = 0;
        path.proven = None;
        let was_lost = std::mem::take(&mut path.is_lost);
        if was_lost {
            path.regained = now;
        }
        was_lost
    }

    /// Records an exchange over a target's own path that ended without an answer; returns whether the path was
    /// lost by it.
    pub fn record_unanswered(&mut self, now: Millis, target: &str, service: &str) -> bool {
        let path = self.path_mut(target, service);
        path.unanswered += 1;
        path.failed = now;
        let has_failed_trial = path.is_lost && path.opened.is_some();
        if path.unanswered < MAX_UNANSWERED && !has_failed_trial {
            return false;
        }
        path.is_silent = true;
        let is_new = path.lose(now);
        self.service_mut(service).unanswered = now;
        is_new
    }

    /// Records that no connection to a target can be made; returns whether the path was lost by it.
    pub fn record_loss(&mut self, now: Millis, target: &str, service: &str) -> bool {
        let path = self.path_mut(target, service);
        path.is_silent = false;
        path.lose(now)
    }

    /// Records that a target answered a request through a peer. If its own path is lost, that proves that the path is
    /// at fault. Returns whether the path is lost.
    pub fn record_relayed(&mut self, now: Millis, target: &str, service: &str) -> bool {
        let heard = self.service_mut(service).heard;
        let Some(path) = self.paths.get_mut(target).filter(|it| it.is_lost) else { return false };
        path.target_lost_until = 0;
        // An answer of another target since the proof shows that the instance was not isolated then.
        if path.proven.is_none_or(|it| it < heard) {
            path.proven = Some(now);
            self.service_mut(service).lost_since += 1;
        }
        true
    }

    /// Records that peers do not reach a lost target either.
    pub fn record_target_lost(&mut self, now: Millis, target: &str) {
        if let Some(it) = self.paths.get_mut(target) {
            it.target_lost_until = now + TARGET_LOST_MS;
        }
    }

    /// Removes a target that is gone or has restarted.
    pub fn remove(&mut self, target: &str) {
        let Some(path) = self.paths.remove(target) else { return };
        let of_service = self.service_mut(&path.service);
        if path.proven.is_some_and(|it| of_service.heard <= it) {
            of_service.lost_since = of_service.lost_since.saturating_sub(1);
        }
    }

    /// The path of a request to a target. Over a path that a probe has found open, one request that may be repeated
    /// goes first.
    pub fn path(&mut self, now: Millis, target: &str, service: &str, trial: Trial) -> Path {
        let is_isolated = self.is_isolated(service);
        let of_service = self.services.get_mut(service);
        let Some(path) = self.paths.get_mut(target).filter(|it| it.is_lost) else {
            return if is_isolated { Path::Relayed } else { Path::Direct };
        };
        match path.opened {
            Some(it) if it + PROVEN_MS <= now && !path.is_silent => Path::Direct,
            Some(_) if trial != Trial::Forbidden && path.trial_until <= now => {
                let is_due =
                    !path.is_silent || of_service.is_none_or(|it| it.begin_trial(now, trial));
                if !is_due {
                    return Path::Relayed;
                }
                path.trial_until = now + TRIAL_MS;
                Path::Direct
            }
            None if now < path.target_lost_until && !is_isolated => Path::Direct,
            _ => Path::Relayed,
        }
    }

    /// Whether the path to a target is lost, unless peers do not reach the target either.
    pub fn is_lost(&self, now: Millis, target: &str) -> bool {
        let path = self.paths.get(target).filter(|it| it.is_lost);
        path.is_some_and(|it| it.target_lost_until <= now)
    }

    /// Whether the path to a target is lost although peers reach the target.
    pub fn is_cut(&self, target: &str) -> bool {
        self.paths.get(target).is_some_and(|it| it.is_lost && it.proven.is_some())
    }

    /// Number of targets of a service to which no connection can be made, as far as is known. A path on which
    /// connections are made and answers are missing does not count: its target may be silent for a while.
    pub fn closed_count(&self, service: &str) -> usize {
        let is_closed = |it: &&DoubtedPath| {
            it.is_lost && !it.is_silent && it.opened.is_none() && it.service == service
        };
        self.paths.values().filter(is_closed).count()
    }

    /// Whether this instance reaches no target of a service, as far as it has tried.
    pub fn is_isolated(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|it| ISOLATION_COUNT <= it.lost_since)
    }

    /// Services that this instance is isolated from.
    pub fn isolated(&self) -> impl Iterator<Item = &Name> {
        self.services.iter().filter(|it| ISOLATION_COUNT <= it.1.lost_since).map(|it| it.0)
    }

    /// Services that this instance should not own: it is isolated from them, or was until recently. Sorted.
    pub fn unreached(&mut self, now: Millis) -> Vec<Name> {
        for it in self.services.values_mut().filter(|it| ISOLATION_COUNT <= it.lost_since) {
            it.unreached_until = now + HOLD_MS;
        }
        let held = self.services.iter().filter(|it| now < it.1.unreached_until);
        let mut held: Vec<Name> = held.map(|it| it.0.clone()).collect();
        held.sort_unstable();
        held
    }

    /// Lost targets whose path is to be probed now, at most `most`, those that are overdue longest first. The next
    /// probe of each is scheduled.
    pub fn due_probes(&mut self, now: Millis, most: usize) -> Vec<TargetId> {
        let is_due = |it: &DoubtedPath| it.is_lost && it.opened.is_none() && it.probe_at <= now;
        let due = self.paths.iter().filter(|it| is_due(it.1));
        let mut due: Vec<(Millis, TargetId)> =
            due.map(|it| (it.1.probe_at, it.0.clone())).collect();
        due.sort_unstable();
        due.truncate(most);
        for (_, id) in &due {
            if let Some(it) = self.paths.get_mut(id) {
                it.interval = (2 * it.interval).min(MAX_PROBE_INTERVAL_MS);
                it.probe_at = now + it.interval;
            }
        }
        due.into_iter().map(|it| it.1).collect()
    }

    /// Records that a probe has found the path to a target open.
    pub fn record_open(&mut self, now: Millis, target: &str) {
        if let Some(it) = self.paths.get_mut(target) {
            it.opened.get_or_insert(now);
        }
    }

    /// Removes paths that have been open for long.
    pub fn remove_expired(&mut self, now: Millis) {
        self.paths.retain(|_, it| it.is_lost || now < it.failed.max(it.regained) + STABLE_MS);
    }

    /// Whether no path is lost or was recently.
    pub fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    /// Number of targets whose path is lost.
    pub fn lost_count(&self) -> usize {
        self.paths.values().filter(|it| it.is_lost).count()
    }

    fn path_mut(&mut self, target: &str, service: &str) -> &mut DoubtedPath {
        self.paths.entry(target.to_owned()).or_insert_with(|| DoubtedPath {
            service: service.to_owned(),
            unanswered: 0,
            is_lost: false,
            proven: None,
            is_silent: false,
            failed: 0,
            regained: 0,
            interval: 0,
            probe_at: 0,
            opened: None,
            trial_until: 0,
            target_lost_until: 0,
        })
    }

    fn service_mut(&mut self, service: &str) -> &mut ServiceReach {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceReach::default());
        }
        self.services.get_mut(service).expect("the entry exists")
    }
}
