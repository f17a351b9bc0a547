//! Compares the answers of a new version with those of the old version over the same period.
//!
//! For each route, and for failures over all routes, two sequential tests run on the same log-likelihood
//! ratio. It compares the rate of bad answers that the old version's recent answers allow with a higher
//! rate. Wald's sequential probability ratio test decides that a version is good. A cumulative sum (CUSUM)
//! that never falls below zero decides that it is bad, however many good answers came before.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Millis, Name};

/// Number of buckets of the histogram of answer times; each is half an octave wide, from 1 ms to 65 s.
const BUCKETS: usize = 32;
/// Number of buckets above the old version's median at which an answer counts as slow: a factor of 2.4
/// to 3.4.
const SLOW_BUCKETS: usize = 3;
/// Minimum time above that median at which an answer counts as slow, in milliseconds. Shorter delays come
/// from machines that share a core, whichever version answers.
const SLOW_MS: Millis = 30;
/// Maximum that slow answers within one span may add to their sum. One pause of a machine makes several
/// answers slow at once.
const MAX_SPAN_GAIN: f64 = 6.0;
/// Length of that span, in milliseconds.
const GAIN_SPAN_MS: Millis = 300;
/// Maximum number of routes that are counted separately; the rest are counted as one.
const MAX_ROUTES: usize = 32;
/// Half-life of the weight of the old version's answers, in milliseconds.
const OLD_HALF_LIFE_MS: f64 = 2000.0;
/// Minimum weight of the old version's answers for their times to serve as a baseline.
const MIN_OLD_ANSWERS: f64 = 10.0;
/// Cumulative sum at which a version is bad. At the allowed rate, a false alarm comes at most every
/// exp(10) = 22,000 answers on average. With 30 of 100 answers bad, it is reached after 12.
const BAD_SUM: f64 = 10.0;
/// Log-likelihood ratio at which a version is good: a version with the higher rate passes in 1% of cases.
const GOOD_RATIO: f64 = -4.6;
/// The same for a single route, where such a version passes in 10% of cases, since the test over all routes has
/// to pass too.
const ROUTE_GOOD_RATIO: f64 = -2.3;
/// Minimum fraction of the old version's answers that a route has for a verdict to wait for it.
const MIN_ROUTE_SHARE: f64 = 0.02;
/// Factor from the old version's rate of bad answers to the allowed rate.
const ALLOWED_FACTOR: f64 = 1.5;
/// Rate added to the allowed rate, since an old version with rare failures may show none by chance.
const ALLOWED_MARGIN: f64 = 0.02;
/// Rate added to the allowed rate of refusals, since a few new targets fill up sooner than many old ones.
const REFUSED_MARGIN: f64 = 0.15;
/// Fraction of the remainder up to 1 by which the tested rate exceeds the allowed one.
const WORSE_SHARE: f64 = 0.2;
/// Number of bad answers above the expected number with which a version may still be promoted.
const BAD_TOLERANCE: f64 = 1.5;

/// The outcome of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A good answer and its time in milliseconds; `None` if the target was cold, so that the time is not
    /// representative.
    Good(Option<Millis>),
    /// A failure, or an incomplete answer.
    Failed,
    /// No answer before the request timed out.
    TimedOut,
    /// Refused without being run.
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
    /// Good answers by bucket of their time; timed-out requests are in the last bucket.
    times: Vec<u64>,
}

/// Answers of both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Answers of the old versions.
    pub old: Counts,
    /// Answers of the version that is being rolled out.
    pub new: Counts,
}

/// Answers by route since an instance saw an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    routes: BTreeMap<Name, RouteCounts>,
}

/// The judge's verdict on a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too few answers to decide.
    Open,
    /// As good as the old version.
    Good,
    /// Worse than the old version.
    Bad(Fault),
}

/// The test by which a version was found bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Route; empty for the test over all routes.
    pub route: Name,
    /// `failures`, `refusals` or `slow`.
    pub kind: &'static str,
    /// Answers of the new version so far.
    pub answers: u64,
    /// Bad answers among them.
    pub bad: u64,
    /// Rate of bad answers that the old version's answers allow.
    pub allowed: f64,
}

impl Counts {
    fn add(&mut self, answer: Answer) {
        let bucket = match answer {
            Answer::Good(Some(ms)) => bucket(ms),
            Answer::TimedOut => BUCKETS - 1,
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

    /// The number of requests that ran; refused ones did not.
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

/// Returns the lower bound of a bucket, in milliseconds.
fn bucket_start(bucket: usize) -> Millis {
    2.0_f64.powf(bucket as f64 / 2.0) as Millis
}

impl Observations {
    /// Counts an answer of the new version or of an old one.
    pub fn add(&mut self, route: &str, is_new: bool, answer: Answer) {
        let is_known = self.routes.contains_key(route) || self.routes.len() < MAX_ROUTES;
        let name = if is_known { route } else { "others" };
        let counts = self.routes.entry(name.to_owned()).or_default();
        if is_new { counts.new.add(answer) } else { counts.old.add(answer) }
    }

    /// Returns the counts added since an earlier state of the same observations.
    pub fn since(&self, before: &Observations) -> Observations {
        let none = RouteCounts::default();
        let added = self.routes.iter().map(|(route, it)| {
            let was = before.routes.get(route).unwrap_or(&none);
            let added = RouteCounts { old: it.old.since(&was.old), new: it.new.since(&was.new) };
            (route.clone(), added)
        });
        Observations { routes: added.collect() }
    }

    /// The number of answers of the new version on a route.
    pub fn new_on(&self, route: &str) -> u64 {
        self.routes.get(route).map_or(0, |it| it.new.ran())
    }
}

/// Answers of the old version, weighted by exponential decay.
#[derive(Clone, Debug, Default)]
struct Recent {
    ran: f64,
    failed: f64,
    refused: f64,
    times: [f64; BUCKETS],
}

impl Recent {
    fn decay(&mut self, factor: f64) {
        [&mut self.ran, &mut self.failed, &mut self.refused]
            .into_iter()
            .for_each(|it| *it *= factor);
        self.times.iter_mut().for_each(|it| *it *= factor);
    }

    fn add(&mut self, counts: &Counts) {
        self.ran += counts.ran() as f64;
        self.failed += counts.failed as f64;
        self.refused += counts.refused as f64;
        for (sum, it) in self.times.iter_mut().zip(&counts.times) {
            *sum += *it as f64;
        }
    }

    /// Returns the first bucket of slow answers and the fraction of the old version's answers from there on.
    fn slow(&self) -> Option<(usize, f64)> {
        let all: f64 = self.times.iter().sum();
        if all < MIN_OLD_ANSWERS {
            return None;
        }
        let mut below = 0.0;
        let is_median = |it: &f64| {
            below += it;
            all <= 2.0 * below
        };
        let median = self.times.iter().position(is_median)?;
        let from = (median + SLOW_BUCKETS).max(bucket(bucket_start(median) + SLOW_MS));
        Some((from, self.times.iter().skip(from).sum::<f64>() / all))
    }
}

/// Both tests of one rate of bad answers.
#[derive(Clone, Debug, Default)]
struct RateTest {
    /// Cumulative sum that never falls below zero.
    sum: f64,
    /// Log-likelihood ratio since the first answer.
    ratio: f64,
    answers: u64,
    bad: u64,
    allowed: f64,
    /// Number of bad answers expected at the allowed rates.
    expected: f64,
    /// Start of the current span, and how far the sum has risen in it.
    span: (Millis, f64),
}

impl RateTest {
    fn add(&mut self, (answers, bad): (u64, u64), old_rate: f64, margin: f64) {
        let allowed = (ALLOWED_FACTOR * old_rate + margin).min(0.8);
        self.allowed = allowed;
        if answers == 0 {
            return;
        }
        let worse = allowed + WORSE_SHARE * (1.0 - allowed);
        let (for_bad, for_good) = ((worse / allowed).ln(), ((1.0 - worse) / (1.0 - allowed)).ln());
        let gain = bad as f64 * for_bad + (answers - bad) as f64 * for_good;
        self.sum = (self.sum + gain).max(0.0);
        self.ratio += gain;
        self.answers += answers;
        self.bad += bad;
        self.expected += allowed * answers as f64;
    }

    /// Like `add`, but the sum rises by at most [`MAX_SPAN_GAIN`] in each span.
    fn add_capped(&mut self, now: Millis, counts: (u64, u64), old_rate: f64, margin: f64) {
        if self.span.0 + GAIN_SPAN_MS <= now {
            self.span = (now, 0.0);
        }
        let before = self.sum;
        self.add(counts, old_rate, margin);
        let rise = (self.sum - before).min(MAX_SPAN_GAIN - self.span.1);
        self.sum = before + rise;
        self.span.1 += rise.max(0.0);
    }

    fn is_bad(&self) -> bool {
        BAD_SUM <= self.sum
    }

    fn is_good(&self, limit: f64) -> bool {
        self.ratio <= limit && self.bad as f64 <= self.expected + BAD_TOLERANCE
    }

    fn fault(&self, route: &str, kind: &'static str) -> Fault {
        let RateTest { answers, bad, allowed, .. } = *self;
        Fault { route: route.to_owned(), kind, answers, bad, allowed }
    }
}

#[derive(Clone, Debug, Default)]
struct RouteTests {
    old: Recent,
    old_answers: u64,
    failures: RateTest,
    refusals: RateTest,
    slow: RateTest,
}

impl RouteTests {
    fn add(&mut self, now: Millis, counts: &RouteCounts) {
        self.old.add(&counts.old);
        self.old_answers += counts.old.ran();
        let new = &counts.new;
        let rate = |bad: f64, of: f64| bad / of.max(1.0);
        let failed = rate(self.old.failed, self.old.ran);
        self.failures.add((new.ran(), new.failed), failed, ALLOWED_MARGIN);
        let offered = self.old.ran + self.old.refused;
        let refused = rate(self.old.refused, offered);
        self.refusals.add((new.ran() + new.refused, new.refused), refused, REFUSED_MARGIN);
        if let Some((from, share)) = self.old.slow() {
            let slow = new.times.iter().skip(from).sum();
            self.slow.add_capped(now, (new.timed(), slow), share, ALLOWED_MARGIN);
        }
    }

    fn tests(&self) -> [(&'static str, &RateTest); 3] {
        [("failures", &self.failures), ("refusals", &self.refusals), ("slow", &self.slow)]
    }

    fn is_good(&self) -> bool {
        self.failures.is_good(ROUTE_GOOD_RATIO) && self.slow.is_good(ROUTE_GOOD_RATIO)
    }
}

/// Judges a version by the answers reported by all instances.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    updated_at: Millis,
    routes: BTreeMap<Name, RouteTests>,
    all_old: Recent,
    all: RateTest,
}

impl Judge {
    /// Adds answers that were not added before.
    pub fn add(&mut self, now: Millis, added: &Observations) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.updated_at, now)) as f64;
        let factor = 0.5_f64.powf(elapsed / OLD_HALF_LIFE_MS);
        self.all_old.decay(factor);
        self.routes.values_mut().for_each(|it| it.old.decay(factor));
        // Old answers of the same report are added first, so that the baseline includes them.
        added.routes.values().for_each(|it| self.all_old.add(&it.old));
        let old_rate = self.all_old.failed / self.all_old.ran.max(1.0);
        for (route, counts) in &added.routes {
            self.routes.entry(route.clone()).or_default().add(now, counts);
            let new = (counts.new.ran(), counts.new.failed);
            self.all.add(new, old_rate, ALLOWED_MARGIN);
        }
    }

    /// The verdict on the answers so far.
    pub fn verdict(&self) -> Verdict {
        if self.all.is_bad() {
            return Verdict::Bad(self.all.fault("", "failures"));
        }
        for (route, tests) in &self.routes {
            if let Some((kind, it)) = tests.tests().into_iter().find(|it| it.1.is_bad()) {
                return Verdict::Bad(it.fault(route, kind));
            }
        }
        let is_good = self.all.is_good(GOOD_RATIO) && self.needed_routes().is_empty();
        if is_good { Verdict::Good } else { Verdict::Open }
    }

    /// Routes on which the version is not yet known to be good, without those that have hardly any requests.
    pub fn needed_routes(&self) -> Vec<Name> {
        let old_answers: u64 = self.routes.values().map(|it| it.old_answers).sum();
        let least = MIN_ROUTE_SHARE * old_answers as f64;
        let counted = self.routes.iter().filter(|it| least <= it.1.old_answers as f64);
        counted.filter(|it| !it.1.is_good()).map(|it| it.0.clone()).collect()
    }

    /// The number of the new version's answers to requests that ran, and of failures among them.
    pub fn answers(&self) -> (u64, u64) {
        (self.all.answers, self.all.bad)
    }
}
