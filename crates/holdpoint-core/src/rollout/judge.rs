//! Whether the answers of a new version are as good as those of the old one at the same time.
//!
//! For each route, and for failures over all routes, two sequential likelihood-ratio tests run side by
//! side on the same answers. Both compare a rate of bad answers that the old version's recent answers
//! allow with a rate a fifth higher. Wald's test from the first answer on has to reach its lower limit
//! before the version counts as good. A cumulative sum of the same ratio, which never falls below zero,
//! finds a version that is bad or turns bad later as fast, whatever good answers it gave before.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Millis, Name};

/// Buckets of answer times; each is half an octave wide, from 1 ms to 65 s.
const BUCKETS: usize = 32;
/// Buckets above the median of the old version from which on an answer is slow: a factor of 2.4 to 3.4.
const SLOW_BUCKETS: usize = 3;
/// Least time above that median from which on an answer is slow, in milliseconds: what a machine with a
/// part of a core loses now and then to its neighbours, whichever version answers.
const SLOW_MS: Millis = 30;
/// Most that slow answers of one span may add to their sum, and that span in milliseconds: a pause of one
/// machine makes several answers slow at once, and says no more than one of them.
const MOST_GAIN: f64 = 6.0;
const GAIN_MS: Millis = 300;
/// Most routes that are told apart.
const MOST_ROUTES: usize = 32;
/// Time in which the old version's answers lose half their weight, in milliseconds.
const OLD_HALF_MS: f64 = 2000.0;
/// Answers of the old version without which it is no measure of time.
const LEAST_OLD: f64 = 10.0;
/// Sum at which a version is bad. At the rate that is allowed, a false alarm comes every exp(10) =
/// 22,000 answers on average at the most; at 30 of 100 bad answers, it comes after 12.
const BAD: f64 = 10.0;
/// Ratio at which a version is good: one that has the higher rate passes in 1 of 100 cases.
const GOOD: f64 = -4.6;
/// The same for each route: 1 of 10, as the test over all routes has to pass too.
const ROUTE_GOOD: f64 = -2.3;
/// Least part of the old version's answers that a route has for a verdict to wait for it.
const LEAST_ROUTE: f64 = 0.02;
/// Factor and part by which the allowed rate of bad answers is above that of the old version: of ten
/// answers in 500 an old version shows none by chance.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_PART: f64 = 0.02;
/// The same part for refusals, since a few new targets are full sooner than many old ones.
const ALLOWED_REFUSED: f64 = 0.15;
/// Part of the rest by which the rate that is looked for is above the allowed one.
const WORSE_PART: f64 = 0.2;
/// Bad answers beside the allowed rate with which a version may still be promoted.
const SPARE: f64 = 1.5;

/// How a target answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Well, after so many milliseconds; `None` where its time says nothing, since it was cold.
    Good(Option<Millis>),
    /// With a failure, or not to its end.
    Failed,
    /// It had not answered when it was given up on.
    Silent,
    /// Refused, not run.
    Refused,
}

/// Answers of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Failures.
    pub failed: u64,
    /// Refusals.
    pub refused: u64,
    /// Good answers without a time.
    pub untimed: u64,
    /// Good answers by bucket of their time; those given up on are in the last one.
    times: Vec<u64>,
}

/// Answers of both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Those of the versions that were there before.
    pub old: Counts,
    /// Those of the version that is rolled out.
    pub new: Counts,
}

/// Answers by route since an instance saw an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    routes: BTreeMap<Name, RouteCounts>,
}

/// What the judge says.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too few answers as yet.
    Open,
    /// As good as the old version.
    Good,
    /// Worse than the old version.
    Bad(Fault),
}

/// What decided that a version is bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Route; empty where it is over all routes.
    pub route: Name,
    /// `failures`, `refusals` or `slow`.
    pub kind: &'static str,
    /// Answers of the new version so far, and the bad ones among them.
    pub answers: u64,
    /// Bad ones.
    pub bad: u64,
    /// Rate that the old version's answers allow.
    pub allowed: f64,
}

impl Counts {
    fn add(&mut self, answer: Answer) {
        let bucket = match answer {
            Answer::Good(Some(ms)) => bucket(ms),
            Answer::Silent => BUCKETS - 1,
            Answer::Good(None) => return self.untimed += 1,
            Answer::Failed => return self.failed += 1,
            Answer::Refused => return self.refused += 1,
        };
        if self.times.len() <= bucket {
            self.times.resize(bucket + 1, 0);
        }
        self.times[bucket] += 1;
    }

    fn timed(&self) -> u64 {
        self.times.iter().sum()
    }

    /// Answers that ran.
    pub fn ran(&self) -> u64 {
        self.failed + self.untimed + self.timed()
    }

    fn since(&self, before: &Counts) -> Counts {
        let time = |it: usize| {
            let was = before.times.get(it).copied().unwrap_or(0);
            self.times[it].saturating_sub(was)
        };
        Counts {
            failed: self.failed.saturating_sub(before.failed),
            refused: self.refused.saturating_sub(before.refused),
            untimed: self.untimed.saturating_sub(before.untimed),
            times: (0..self.times.len().min(BUCKETS)).map(time).collect(),
        }
    }
}

fn bucket(ms: Millis) -> usize {
    ((2.0 * (ms.max(1) as f64).log2()) as usize).min(BUCKETS - 1)
}

/// Shortest time of a bucket, in milliseconds.
fn start_of(bucket: usize) -> Millis {
    2.0_f64.powf(bucket as f64 / 2.0) as Millis
}

impl Observations {
    /// Takes in an answer of the new version, or of an old one.
    pub fn add(&mut self, route: &str, is_new: bool, answer: Answer) {
        let is_known = self.routes.contains_key(route) || self.routes.len() < MOST_ROUTES;
        let name = if is_known { route } else { "others" };
        let counts = self.routes.entry(name.to_owned()).or_default();
        if is_new { counts.new.add(answer) } else { counts.old.add(answer) }
    }

    /// What was added since an earlier state of the same.
    pub fn since(&self, before: &Observations) -> Observations {
        let none = RouteCounts::default();
        let added = self.routes.iter().map(|(route, it)| {
            let was = before.routes.get(route).unwrap_or(&none);
            let added = RouteCounts { old: it.old.since(&was.old), new: it.new.since(&was.new) };
            (route.clone(), added)
        });
        Observations { routes: added.collect() }
    }

    /// Answers of the new version on a route.
    pub fn new_on(&self, route: &str) -> u64 {
        self.routes.get(route).map_or(0, |it| it.new.ran())
    }
}

/// Answers of the old version, the older the less.
#[derive(Clone, Debug, Default)]
struct Recent {
    ran: f64,
    failed: f64,
    refused: f64,
    times: [f64; BUCKETS],
}

impl Recent {
    fn fade(&mut self, part: f64) {
        [&mut self.ran, &mut self.failed, &mut self.refused].into_iter().for_each(|it| *it *= part);
        self.times.iter_mut().for_each(|it| *it *= part);
    }

    fn take(&mut self, counts: &Counts) {
        self.ran += counts.ran() as f64;
        self.failed += counts.failed as f64;
        self.refused += counts.refused as f64;
        for (sum, it) in self.times.iter_mut().zip(&counts.times) {
            *sum += *it as f64;
        }
    }

    /// First bucket of slow answers, and the part of the old version's answers there.
    fn slow(&self) -> Option<(usize, f64)> {
        let all: f64 = self.times.iter().sum();
        if all < LEAST_OLD {
            return None;
        }
        let mut below = 0.0;
        let is_median = |it: &f64| {
            below += it;
            all <= 2.0 * below
        };
        let median = self.times.iter().position(is_median)?;
        let from = (median + SLOW_BUCKETS).max(bucket(start_of(median) + SLOW_MS));
        Some((from, self.times.iter().skip(from).sum::<f64>() / all))
    }
}

/// Two tests of one rate.
#[derive(Clone, Debug, Default)]
struct Test {
    /// Cumulative sum that never falls below zero.
    sum: f64,
    /// Ratio from the first answer on.
    ratio: f64,
    answers: u64,
    bad: u64,
    allowed: f64,
    /// Bad answers that the allowed rates came to.
    expected: f64,
    /// When a span began in which the sum may rise by a limit, and how far it has risen.
    span: (Millis, f64),
}

impl Test {
    fn take(&mut self, (answers, bad): (u64, u64), old_rate: f64, part: f64) {
        let allowed = (ALLOWED_FACTOR * old_rate + part).min(0.8);
        self.allowed = allowed;
        if answers == 0 {
            return;
        }
        let worse = allowed + WORSE_PART * (1.0 - allowed);
        let (for_bad, for_good) = ((worse / allowed).ln(), ((1.0 - worse) / (1.0 - allowed)).ln());
        let gained = bad as f64 * for_bad + (answers - bad) as f64 * for_good;
        self.sum = (self.sum + gained).max(0.0);
        self.ratio += gained;
        self.answers += answers;
        self.bad += bad;
        self.expected += allowed * answers as f64;
    }

    /// The same, where the sum rises by no more than a limit in each span of time.
    fn take_slowly(&mut self, now: Millis, counts: (u64, u64), old_rate: f64, part: f64) {
        if self.span.0 + GAIN_MS <= now {
            self.span = (now, 0.0);
        }
        let before = self.sum;
        self.take(counts, old_rate, part);
        let rise = (self.sum - before).min(MOST_GAIN - self.span.1);
        self.sum = before + rise;
        self.span.1 += rise.max(0.0);
    }

    fn is_bad(&self) -> bool {
        BAD <= self.sum
    }

    fn is_good(&self, limit: f64) -> bool {
        self.ratio <= limit && self.bad as f64 <= self.expected + SPARE
    }

    fn fault(&self, route: &str, kind: &'static str) -> Fault {
        let Test { answers, bad, allowed, .. } = *self;
        Fault { route: route.to_owned(), kind, answers, bad, allowed }
    }
}

#[derive(Clone, Debug, Default)]
struct RouteTests {
    old: Recent,
    old_answers: u64,
    failures: Test,
    refusals: Test,
    slow: Test,
}

impl RouteTests {
    fn take(&mut self, now: Millis, counts: &RouteCounts) {
        self.old.take(&counts.old);
        self.old_answers += counts.old.ran();
        let new = &counts.new;
        let rate = |bad: f64, of: f64| bad / of.max(1.0);
        let failed = rate(self.old.failed, self.old.ran);
        self.failures.take((new.ran(), new.failed), failed, ALLOWED_PART);
        let offered = self.old.ran + self.old.refused;
        let refused = rate(self.old.refused, offered);
        self.refusals.take((new.ran() + new.refused, new.refused), refused, ALLOWED_REFUSED);
        if let Some((from, part)) = self.old.slow() {
            let slow = new.times.iter().skip(from).sum();
            self.slow.take_slowly(now, (new.timed(), slow), part, ALLOWED_PART);
        }
    }

    fn tests(&self) -> [(&'static str, &Test); 3] {
        [("failures", &self.failures), ("refusals", &self.refusals), ("slow", &self.slow)]
    }

    fn is_good(&self) -> bool {
        self.failures.is_good(ROUTE_GOOD) && self.slow.is_good(ROUTE_GOOD)
    }
}

/// Judges a version by the answers of all instances.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    at: Millis,
    routes: BTreeMap<Name, RouteTests>,
    all_old: Recent,
    all: Test,
}

impl Judge {
    /// Takes in answers that were not taken in before.
    pub fn take(&mut self, now: Millis, added: &Observations) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.at, now)) as f64;
        let part = 0.5_f64.powf(elapsed / OLD_HALF_MS);
        self.all_old.fade(part);
        self.routes.values_mut().for_each(|it| it.old.fade(part));
        // The old version's answers of the same moment count before the new one's.
        added.routes.values().for_each(|it| self.all_old.take(&it.old));
        let old_rate = self.all_old.failed / self.all_old.ran.max(1.0);
        for (route, counts) in &added.routes {
            self.routes.entry(route.clone()).or_default().take(now, counts);
            let new = (counts.new.ran(), counts.new.failed);
            self.all.take(new, old_rate, ALLOWED_PART);
        }
    }

    /// What the answers so far say.
    pub fn verdict(&self) -> Verdict {
        if self.all.is_bad() {
            return Verdict::Bad(self.all.fault("", "failures"));
        }
        for (route, tests) in &self.routes {
            if let Some((kind, it)) = tests.tests().into_iter().find(|it| it.1.is_bad()) {
                return Verdict::Bad(it.fault(route, kind));
            }
        }
        let is_good = self.all.is_good(GOOD) && self.wanted().is_empty();
        if is_good { Verdict::Good } else { Verdict::Open }
    }

    /// Routes on which the version is not known to be good, those left out that hardly have requests.
    pub fn wanted(&self) -> Vec<Name> {
        let old_answers: u64 = self.routes.values().map(|it| it.old_answers).sum();
        let least = LEAST_ROUTE * old_answers as f64;
        let counted = self.routes.iter().filter(|it| least <= it.1.old_answers as f64);
        counted.filter(|it| !it.1.is_good()).map(|it| it.0.clone()).collect()
    }

    /// Answers of the new version that ran, and the failures among them.
    pub fn answers(&self) -> (u64, u64) {
        (self.all.answers, self.all.bad)
    }
}
