//! Trials: requests divided between policies, with the attainment and cost of each arm.

use std::collections::BTreeMap;

use holdpoint_schema::resources::{Arm, Trial};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Name;

/// Quantile of the normal distribution for a 95% confidence interval.
const Z95: f64 = 1.959_964;

/// Statistics of one arm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmStats {
    /// Requests that ended.
    pub requests: u64,
    /// Requests answered once, completely and in time.
    pub attained: u64,
    /// Engine time by stage, in milliseconds.
    pub cost: BTreeMap<Name, u64>,
    /// Engine time spent on requests that missed their objective, by stage, in milliseconds.
    pub wasted: BTreeMap<Name, u64>,
}

/// Attainment with its 95% confidence interval, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    /// Lower bound.
    pub low: f64,
    /// Fraction of requests that attained their objective.
    pub mid: f64,
    /// Upper bound.
    pub high: f64,
}

/// Result of a trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// An arm has too few requests.
    NotEnoughData,
    /// The confidence intervals of the best arms' scores overlap.
    NoDifference,
    /// The lower bound of this arm's score is above the upper bounds of all others.
    Better(Name),
}

impl ArmStats {
    /// Adds one request.
    pub fn add(&mut self, attained: bool, costs: &BTreeMap<Name, u64>) {
        self.requests += 1;
        self.attained += u64::from(attained);
        for (stage, ms) in costs {
            *self.cost.entry(stage.clone()).or_default() += ms;
            if !attained {
                *self.wasted.entry(stage.clone()).or_default() += ms;
            }
        }
    }

    /// Adds another instance's statistics of the same arm.
    pub fn merge(&mut self, other: &ArmStats) {
        self.requests += other.requests;
        self.attained += other.attained;
        for (mine, theirs) in [(&mut self.cost, &other.cost), (&mut self.wasted, &other.wasted)] {
            for (stage, ms) in theirs {
                *mine.entry(stage.clone()).or_default() += ms;
            }
        }
    }

    /// Mean engine time per request, in milliseconds.
    pub fn mean_cost(&self) -> f64 {
        self.cost.values().sum::<u64>() as f64 / self.requests.max(1) as f64
    }

    /// Attainment with its 95% confidence interval.
    pub fn attainment(&self) -> Interval {
        wilson(self.attained, self.requests)
    }
}

/// Wilson score interval for `hits` of `n` at 95% confidence.
pub fn wilson(hits: u64, n: u64) -> Interval {
    if n == 0 {
        return Interval { low: 0.0, mid: 0.0, high: 1.0 };
    }
    let (n, z2) = (n as f64, Z95 * Z95);
    let mid = hits as f64 / n;
    let centre = (mid + z2 / (2.0 * n)) / (1.0 + z2 / n);
    let half = Z95 / (1.0 + z2 / n) * (mid * (1.0 - mid) / n + z2 / (4.0 * n * n)).sqrt();
    Interval { low: (centre - half).max(0.0), mid, high: (centre + half).min(1.0) }
}

/// Assigns a request to an arm by hash: every instance assigns the same request to the same arm. `None` if
/// the weights add up to zero.
pub fn arm_of<'a>(name: &str, trial: &'a Trial, request: &str) -> Option<&'a Arm> {
    let total: u64 = trial.arms.iter().map(|it| u64::from(it.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut position = xxh3_64(format!("{name}\n{request}").as_bytes()) % total;
    trial.arms.iter().find(|arm| {
        let weight = u64::from(arm.weight);
        let is_chosen = position < weight;
        position = position.saturating_sub(weight);
        is_chosen
    })
}

/// Compares the arms of a trial by attainment and cost, weighted as the trial specifies.
pub fn judge(trial: &Trial, arms: &BTreeMap<Name, ArmStats>) -> Verdict {
    let is_short =
        |arm: &Arm| arms.get(&arm.name).is_none_or(|it| it.requests < trial.min_requests);
    if trial.arms.len() < 2 || trial.arms.iter().any(is_short) {
        return Verdict::NotEnoughData;
    }
    let max_cost = arms.values().map(ArmStats::mean_cost).fold(f64::MIN_POSITIVE, f64::max);
    let weight = trial.attainment_weight;
    let score = |share: f64, cost: f64| weight * share + (1.0 - weight) * (1.0 - cost / max_cost);
    let mut scored: Vec<(&Name, f64, f64)> = arms
        .iter()
        .map(|(name, it)| {
            let (share, cost) = (it.attainment(), it.mean_cost());
            (name, score(share.low, cost), score(share.high, cost))
        })
        .collect();
    scored.sort_by(|a, b| b.1.total_cmp(&a.1));
    let best = scored[0];
    let is_apart = scored[1..].iter().all(|it| it.2 < best.1);
    if is_apart { Verdict::Better(best.0.clone()) } else { Verdict::NoDifference }
}
