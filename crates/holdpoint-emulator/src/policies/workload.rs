//! Workloads of the two example users.

use rand::{Rng, RngExt};

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Relative frequency.
    pub weight: u32,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Output length, in tokens.
    pub output: u32,
    /// Time in which the caller expects the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// A user's workload.
#[derive(Debug)]
pub struct User {
    /// Name.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// One-way network delay between failure domains, in microseconds.
    pub cross_domain_us: u64,
    /// Duration of the stage before generation, in microseconds.
    pub pre_stage_us: u64,
    /// Classes of requests.
    pub classes: &'static [Class],
    /// Relative sizes of the organisations.
    pub organisations: [u32; 5],
}

/// Prairie Cellars: mostly short counter pairings, few long prompts.
pub const PRAIRIE: User = User {
    name: "prairie-cellars",
    engines: 12,
    cross_domain_us: 500,
    pre_stage_us: 15_000,
    classes: &[
        Class { weight: 70, prompt: 120, output: 16, timeout_ms: 2000 },
        Class { weight: 20, prompt: 300, output: 48, timeout_ms: 4000 },
        Class { weight: 10, prompt: 900, output: 96, timeout_ms: 8000 },
    ],
    organisations: [50, 20, 10, 10, 10],
};

/// Armor: interactive answers and a share of long planning prompts.
pub const ARMOR: User = User {
    name: "armor",
    engines: 18,
    cross_domain_us: 1000,
    pre_stage_us: 20_000,
    classes: &[
        Class { weight: 50, prompt: 150, output: 16, timeout_ms: 2000 },
        Class { weight: 25, prompt: 400, output: 48, timeout_ms: 4000 },
        Class { weight: 25, prompt: 4000, output: 96, timeout_ms: 8000 },
    ],
    organisations: [40, 30, 15, 10, 5],
};

/// Number of distinct prompt prefixes.
const PREFIXES: u64 = 60;
/// Interval between the starts of bursts.
const BURST_EVERY_US: u64 = 4_000_000;
/// Duration of a burst.
const BURST_US: u64 = 600_000;
/// Ratio of the arrival rate in a burst to the rate outside of it.
const BURST_FACTOR: f64 = 2.0;

/// One request as it arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Arrival time, in microseconds.
    pub at_us: u64,
    /// Class.
    pub class: Class,
    /// Index of the class.
    pub kind: usize,
    /// Organisation.
    pub organisation: usize,
    /// Prefix of the prompt.
    pub prefix: u64,
    /// Index of the instance that receives it.
    pub instance: usize,
}

/// Draws the arrivals of a user in order of time, at a mean `rate` per second.
pub(crate) fn arrivals(
    user: &User,
    rate: f64,
    seconds: u64,
    instances: usize,
    rng: &mut impl Rng,
) -> Vec<Arrival> {
    let burst = BURST_US as f64 / BURST_EVERY_US as f64;
    let calm = rate / (1.0 - burst + burst * BURST_FACTOR);
    let mut all = Vec::new();
    let mut at = 0.0;
    loop {
        let is_burst = (at as u64) % BURST_EVERY_US < BURST_US;
        let now = if is_burst { calm * BURST_FACTOR } else { calm };
        at += -(1.0 - rng.random::<f64>()).ln() * 1e6 / now;
        if seconds * 1_000_000 <= at as u64 {
            return all;
        }
        let weights: Vec<u32> = user.classes.iter().map(|it| it.weight).collect();
        let kind = pick(&weights, rng);
        all.push(Arrival {
            at_us: at as u64,
            class: user.classes[kind],
            kind,
            organisation: pick(&user.organisations, rng),
            // Skewed: a few prefixes are common, most are rare.
            prefix: (PREFIXES as f64 * rng.random::<f64>().powi(3)) as u64,
            instance: rng.random_range(0..instances),
        });
    }
}

fn pick(weights: &[u32], rng: &mut impl Rng) -> usize {
    let total: u32 = weights.iter().sum();
    let mut offset = rng.random_range(0..total);
    weights
        .iter()
        .position(|it| {
            let is_hit = offset < *it;
            offset = offset.saturating_sub(*it);
            is_hit
        })
        .unwrap_or(0)
}
