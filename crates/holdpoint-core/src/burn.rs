//! Burn rates of service-level objectives: how fast the error budget is spent, and by which causes.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::{Millis, Name};

/// Length of one bucket, in milliseconds.
const BUCKET_MS: Millis = 10_000;

/// Windows of the report, in milliseconds: five minutes, one hour, six hours.
pub const WINDOWS: [Millis; 3] = [300_000, 3_600_000, 21_600_000];

/// Why a request missed its objective.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cause {
    /// Stage that caused it; empty if none did.
    pub stage: Name,
    /// Target that caused it; empty if none did.
    pub target: String,
    /// Kind of refusal or failure.
    pub kind: String,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    start: Millis,
    good: u64,
    bad: u64,
    causes: BTreeMap<Cause, u64>,
}

/// Request counts of one pipeline or organisation over the longest window.
#[derive(Clone, Debug, Default)]
pub struct Burn {
    buckets: VecDeque<Bucket>,
}

/// One window of a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Length, in milliseconds.
    pub window_ms: Millis,
    /// Requests that ended in it.
    pub requests: u64,
    /// Requests answered once, completely and in time.
    pub attained: u64,
    /// Burn rate: at 1, the error budget is used up exactly at the end of the window.
    pub rate: f64,
    /// Fraction of the window's error budget left; negative once overspent.
    pub left: f64,
    /// Causes with their number of requests, the largest first.
    pub causes: Vec<(Cause, u64)>,
}

impl Burn {
    /// Counts a request that met its objective.
    pub fn good(&mut self, now: Millis) {
        self.bucket(now).good += 1;
    }

    /// Counts a request that missed its objective.
    pub fn bad(&mut self, now: Millis, cause: Cause) {
        let bucket = self.bucket(now);
        bucket.bad += 1;
        *bucket.causes.entry(cause).or_default() += 1;
    }

    /// Returns the report of every window of [`WINDOWS`] for an objective from 0 to 1.
    pub fn report(&self, now: Millis, objective: f64) -> Vec<Window> {
        WINDOWS.iter().map(|it| self.window(now, *it, objective)).collect()
    }

    fn window(&self, now: Millis, window_ms: Millis, objective: f64) -> Window {
        let from = now.saturating_sub(window_ms);
        let mut causes: BTreeMap<&Cause, u64> = BTreeMap::new();
        let (mut good, mut bad) = (0, 0);
        for bucket in self.buckets.iter().filter(|it| from <= it.start) {
            good += bucket.good;
            bad += bucket.bad;
            for (cause, n) in &bucket.causes {
                *causes.entry(cause).or_default() += n;
            }
        }
        let causes = causes.into_iter().map(|(cause, n)| (cause.clone(), n)).collect();
        Window::new(window_ms, good + bad, good, causes, objective)
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let start = now - now % BUCKET_MS;
        let longest = WINDOWS[WINDOWS.len() - 1];
        while self.buckets.front().is_some_and(|it| it.start + longest < now) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|it| it.start < start) {
            self.buckets.push_back(Bucket { start, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}

impl Window {
    fn new(
        window_ms: Millis,
        requests: u64,
        attained: u64,
        mut causes: Vec<(Cause, u64)>,
        objective: f64,
    ) -> Window {
        let allowed = (1.0 - objective).max(1e-9);
        let failed = (requests - attained) as f64 / requests.max(1) as f64;
        let rate = failed / allowed;
        causes.sort_by_key(|it| std::cmp::Reverse(it.1));
        Window { window_ms, requests, attained, rate, left: 1.0 - rate, causes }
    }

    /// Adds another instance's figures for the same window.
    pub fn merge(&mut self, other: &Window, objective: f64) {
        let mut causes: BTreeMap<Cause, u64> =
            std::mem::take(&mut self.causes).into_iter().collect();
        for (cause, n) in &other.causes {
            *causes.entry(cause.clone()).or_default() += n;
        }
        let requests = self.requests + other.requests;
        let attained = self.attained + other.attained;
        *self = Window::new(
            self.window_ms,
            requests,
            attained,
            causes.into_iter().collect(),
            objective,
        );
    }
}
