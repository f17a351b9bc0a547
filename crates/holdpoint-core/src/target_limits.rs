//! Limits that targets name: how many requests a second a target takes from all instances together.
//!
//! One instance keeps the account of a target, and all others ask it before they send. Shares of the limit
//! that each instance spent by itself would leave most of a small one unused: with one request a second and
//! eight instances each could send every eighth second only, whoever the requests come to. The account is the
//! time of the last request that it let through; the next one follows after the time that the limit states. An
//! instance that begins to keep one knows nothing of what the one before let through, and waits.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    directory::TargetId,
    ids::{Millis, Name},
};

/// Least requests a second that are sent to a target: one that takes none is still asked now and then, since
/// only its answers tell that its limit has ended.
const LEAST_PER_S: f64 = 0.1;
/// How much of the time that was not used requests may catch up on, in milliseconds: they come in clumps.
const BURST_MS: f64 = 100.0;
/// How long an instance that begins to keep an account lets nothing through at least, in milliseconds: as long
/// as instances may differ in who keeps it.
const TAKE_OVER_MS: Millis = 1000;
/// How long it is remembered that a limit has ended, or what was told of a target that is not known, in
/// milliseconds: longer than news of either travel.
const HEARD_KEPT_MS: Millis = 60_000;
/// Age from which on an asker's word of a limit counts as out of date where whoever keeps the accounts knows of
/// none, in milliseconds: the asker has missed that it ended.
const STALE_MS: Millis = 10_000;
/// Longest time that news of a limit take from one instance to another, in milliseconds.
const ON_THE_WAY_MS: Millis = 100;
/// Largest part of a limit that is let through while another instance may keep the account too, as on the
/// other side of a cut.
const UNSURE_PART: f64 = 0.5;

/// What an answer of a target says of its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// It names none.
    #[default]
    Nothing,
    /// So many requests a second.
    PerSecond(f64),
    /// Something that cannot be read: what was known before holds.
    Invalid,
}

/// What news of a limit changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Nothing.
    Nothing,
    /// The target has named a limit.
    Began,
    /// It has named another one than before.
    Altered {
        /// The one before, in requests a second.
        before: f64,
    },
    /// It names none any more.
    Ended,
}

/// How surely this instance is the only one that keeps accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keeping {
    /// All that could keep them in its place answer.
    Sure,
    /// Some of them are silent, and may keep them for others.
    Unsure {
        /// Those that answer, this instance included.
        reached: usize,
        /// All of them.
        of: usize,
    },
}

impl Keeping {
    fn part(self) -> f64 {
        match self {
            Keeping::Sure => 1.0,
            // The parts of all sides of a cut are no more than the whole.
            Keeping::Unsure { reached, of } => {
                (reached.max(1) as f64 / of.max(1) as f64).min(UNSURE_PART)
            }
        }
    }
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Slot {
    /// At any time: the target names no limit.
    Free,
    /// Now, and that counts against the limit.
    Taken,
    /// Not for so many milliseconds.
    Refused(Millis),
}

/// What a target still takes, as far as an instance knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance<'a> {
    /// The target.
    pub target: &'a str,
    /// Requests a second that it gets; any where it names no limit.
    pub per_s: Option<f64>,
    /// Until when nothing more is let through, in milliseconds.
    pub closed_until: Millis,
}

/// When an answer was made: after its request was sent, and before it came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSpan {
    /// When its request was sent.
    pub sent: Millis,
    /// When it came.
    pub received: Millis,
}

/// What instances tell each other of a target's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The target.
    pub target: TargetId,
    /// Its service.
    pub service: Name,
    /// Requests a second; absent where it names no limit any more.
    pub per_s: Option<f64>,
    /// How long ago the request was sent whose answer told that, in milliseconds.
    pub sent_ms: Millis,
    /// How long ago that answer came, in milliseconds.
    pub age_ms: Millis,
}

impl LimitNews {
    /// When the answer was made, for an instance that is told at a time. News take a while, for which it seems
    /// to be made later than it was.
    pub fn made(&self, now: Millis) -> AnswerSpan {
        let sent = now.saturating_sub(self.sent_ms + ON_THE_WAY_MS);
        AnswerSpan { sent, received: now.saturating_sub(self.age_ms) }
    }
}

/// The account of what was let through to a target.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Since when this instance keeps it.
    since: Option<Millis>,
    /// When the last request was let through, or would have been had it come at once.
    last: f64,
}

/// What is known of a target's limit.
#[derive(Clone, Debug)]
struct Limit {
    service: Name,
    /// Requests a second; none once the target names no limit any more.
    per_s: Option<f64>,
    /// When the answer was made that told that.
    made: AnswerSpan,
    /// Whether this instance has had such an answer by itself.
    is_observed: bool,
    account: Account,
    /// Until when whoever keeps the account said that nothing more is let through.
    refused_until: Millis,
}

impl Limit {
    /// Requests a second that are sent; any where there is no limit.
    fn sent_per_s(&self) -> Option<f64> {
        self.per_s.map(|it| it.max(LEAST_PER_S))
    }

    /// Time from one request to the next, in milliseconds; none where there is no limit.
    fn gap_ms(&self, keeping: Keeping) -> Option<f64> {
        Some(1000.0 / (self.sent_per_s()? * keeping.part()))
    }

    /// When the next request may be sent, as the account says; before now where time was not used.
    fn next(&self, now: Millis, gap: f64) -> f64 {
        let since = self.account.since.unwrap_or(now);
        // The one before may have let a request through just now.
        let begin = since as f64 + gap.max(TAKE_OVER_MS as f64);
        (self.account.last + gap).max(begin).max(now as f64 - BURST_MS)
    }

    /// Until when nothing more is let through, as far as that is known.
    fn closed_until(&self, now: Millis, keeping: Keeping) -> Millis {
        let Some(gap) = self.gap_ms(keeping) else { return 0 };
        match self.account.since {
            Some(_) => self.next(now, gap).ceil() as Millis,
            None => self.refused_until,
        }
    }
}

/// Limits of targets, as an instance knows them.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    limits: HashMap<TargetId, Limit>,
}

impl TargetLimits {
    /// Takes in what an answer says.
    pub fn observe(
        &mut self,
        made: AnswerSpan,
        (id, service): (&str, &str),
        named: NamedLimit,
    ) -> Change {
        let change = match named {
            NamedLimit::PerSecond(it) => self.learn(made, (id, service), Some(it)),
            NamedLimit::Nothing if self.limits.contains_key(id) => {
                self.learn(made, (id, service), None)
            }
            NamedLimit::Nothing | NamedLimit::Invalid => return Change::Nothing,
        };
        if let Some(it) = self.limits.get_mut(id) {
            it.is_observed = true;
        }
        change
    }

    /// Takes in a limit in requests a second, or that there is none, from an answer of the target. Answers
    /// overtake each other: unless its request was sent after the last one had come, it is not known which
    /// was made later, and the lower limit holds.
    pub fn learn(
        &mut self,
        made: AnswerSpan,
        (id, service): (&str, &str),
        per_s: Option<f64>,
    ) -> Change {
        let Some(limit) = self.limits.get_mut(id) else {
            let (service, account) = (service.to_owned(), Account::default());
            let limit =
                Limit { service, per_s, made, is_observed: false, account, refused_until: 0 };
            self.limits.insert(id.to_owned(), limit);
            return if per_s.is_some() { Change::Began } else { Change::Nothing };
        };
        let most = |it: Option<f64>| it.unwrap_or(f64::INFINITY);
        let known = limit.made;
        let is_earlier = made.received < known.sent;
        let is_later = known.received <= made.sent;
        if is_earlier || (!is_later && most(limit.per_s) < most(per_s)) {
            return Change::Nothing;
        }
        limit.made = AnswerSpan {
            sent: known.sent.max(made.sent),
            received: known.received.max(made.received),
        };
        match (std::mem::replace(&mut limit.per_s, per_s), per_s) {
            (Some(before), Some(now)) if before != now => Change::Altered { before },
            (None, Some(_)) => Change::Began,
            (Some(_), None) => Change::Ended,
            _ => Change::Nothing,
        }
    }

    /// Takes in whether this instance keeps the account of a target.
    pub fn keep(&mut self, now: Millis, id: &str, is_keeper: bool) {
        let Some(limit) = self.limits.get_mut(id) else { return };
        match (limit.account.since, is_keeper) {
            (None, true) => limit.account = Account { since: Some(now), last: f64::NEG_INFINITY },
            (Some(_), false) => {
                limit.account.since = None;
                limit.refused_until = 0;
            }
            _ => (),
        }
    }

    /// Lets a request through to a target whose account this instance keeps, if it may be sent now.
    pub fn take(&mut self, now: Millis, id: &str, keeping: Keeping) -> Slot {
        self.keep(now, id, true);
        let Some(limit) = self.limits.get_mut(id) else { return Slot::Free };
        let Some(gap) = limit.gap_ms(keeping) else { return Slot::Free };
        let next = limit.next(now, gap);
        let wait = (next - now as f64).ceil();
        if 0.0 < wait {
            return Slot::Refused(wait as Millis);
        }
        limit.account.last = next;
        Slot::Taken
    }

    /// Whether an asker's word of a limit is out of date, as far as this instance can tell that keeps the accounts.
    pub fn is_stale(&self, news: &LimitNews) -> bool {
        !self.limits.contains_key(&news.target) && STALE_MS <= news.age_ms
    }

    /// Takes in that whoever keeps the account of a target lets nothing through for so long.
    pub fn refused(&mut self, now: Millis, id: &str, ms: Millis) {
        if let Some(it) = self.limits.get_mut(id) {
            it.refused_until = now + ms;
        }
    }

    /// What the targets of a service still take that name a limit or did so of late.
    pub fn allowances<'a>(
        &'a self,
        now: Millis,
        service: &'a str,
        keeping: Keeping,
    ) -> impl Iterator<Item = Allowance<'a>> {
        let its = self.limits.iter().filter(move |it| it.1.service == service);
        its.map(move |(target, it)| Allowance {
            target,
            per_s: it.sent_per_s(),
            closed_until: it.closed_until(now, keeping),
        })
    }

    /// Requests a second that the targets of a service which name a limit take together.
    pub fn total_per_s(&self, service: &str) -> f64 {
        let its = self.limits.values().filter(|it| it.service == service);
        its.filter_map(Limit::sent_per_s).sum()
    }

    /// Takes in that a target is gone or has started anew, which knows nothing of its former limit.
    pub fn remove(&mut self, id: &str) {
        self.limits.remove(id);
    }

    /// Forgets what was heard long ago of limits that have ended, and of targets that are not known.
    pub fn forget(&mut self, now: Millis, is_known: impl Fn(&str) -> bool) {
        let is_new = |it: &Limit| now < it.made.received + HEARD_KEPT_MS;
        self.limits.retain(|id, it| is_new(it) || (it.per_s.is_some() && is_known(id)));
    }

    /// Whether this instance keeps the account of a limit.
    pub fn keeps_any(&self) -> bool {
        self.limits.values().any(|it| it.account.since.is_some())
    }

    /// Whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Whether a target names a limit.
    pub fn is_limited(&self, id: &str) -> bool {
        self.per_s(id).is_some()
    }

    /// Whether this instance knows of a target's limit by an answer of its own.
    pub fn is_observed(&self, id: &str) -> bool {
        self.limits.get(id).is_some_and(|it| it.is_observed)
    }

    /// The limit of a target in requests a second, if it names one.
    pub fn per_s(&self, id: &str) -> Option<f64> {
        self.limits.get(id)?.per_s
    }

    /// All targets that name a limit or did so of late.
    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.limits.keys()
    }

    /// What others are told of a target's limit; none where nothing is known.
    pub fn news(&self, now: Millis, id: &str) -> Option<LimitNews> {
        let limit = self.limits.get(id)?;
        let ago = |at: Millis| now.saturating_sub(at);
        Some(LimitNews {
            target: id.to_owned(),
            service: limit.service.clone(),
            per_s: limit.per_s,
            sent_ms: ago(limit.made.sent),
            age_ms: ago(limit.made.received),
        })
    }
}
