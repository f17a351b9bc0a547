//! The two users' workloads, from their sizes.

use rand::{Rng, RngExt};

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Relative frequency.
    pub weight: u32,
    /// Prompt, in tokens.
    pub prompt: u32,
    /// Generated, in tokens.
    pub output: u32,
    /// Patience, in milliseconds.
    pub patience_ms: u64,
}

/// A user.
#[derive(Debug)]
pub struct User {
    /// Name.
    pub name: &'static str,
    /// Engines.
    pub engines: usize,
    /// One way between failure domains, in microseconds.
    pub domain_us: u64,
    /// Time of the stage before generation, in microseconds.
    pub before_us: u64,
    /// Classes of requests.
    pub classes: &'static [Class],
    /// Relative sizes of the organisations.
    pub organisations: [u32; 5],
}

/// Prairie Cellars: mostly short counter pairings, few long prompts.
pub const PRAIRIE: User = User {
    name: "prairie-cellars",
    engines: 12,
    domain_us: 500,
    before_us: 15_000,
    classes: &[
        Class { weight: 70, prompt: 120, output: 16, patience_ms: 2000 },
        Class { weight: 20, prompt: 300, output: 48, patience_ms: 4000 },
        Class { weight: 10, prompt: 900, output: 96, patience_ms: 8000 },
    ],
    organisations: [50, 20, 10, 10, 10],
};

/// Armor: live answers and, for a part, long planning histories.
pub const ARMOR: User = User {
    name: "armor",
    engines: 18,
    domain_us: 1000,
    before_us: 20_000,
    classes: &[
        Class { weight: 50, prompt: 150, output: 16, patience_ms: 2000 },
        Class { weight: 25, prompt: 400, output: 48, patience_ms: 4000 },
        Class { weight: 25, prompt: 4000, output: 96, patience_ms: 8000 },
    ],
    organisations: [40, 30, 15, 10, 5],
};

/// Prefixes that prompts share.
const PREFIXES: u64 = 60;
/// A burst comes every so many microseconds.
const BURST_EVERY_US: u64 = 4_000_000;
/// Length of a burst, in microseconds.
const BURST_US: u64 = 600_000;
/// Arrivals in a burst against the others.
const BURST_FACTOR: f64 = 2.0;

/// One request as it arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// When, in microseconds.
    pub at_us: u64,
    /// Class.
    pub class: Class,
    /// Index of the class.
    pub kind: usize,
    /// Organisation.
    pub organisation: usize,
    /// Prefix of the prompt.
    pub prefix: u64,
    /// Instance that the balancer sends it to.
    pub instance: usize,
}

/// Arrivals of a user at a mean rate a second, in order.
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
        let in_burst = (at as u64) % BURST_EVERY_US < BURST_US;
        let now = if in_burst { calm * BURST_FACTOR } else { calm };
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
            // Few prefixes are common and many are rare.
            prefix: (PREFIXES as f64 * rng.random::<f64>().powi(3)) as u64,
            instance: rng.random_range(0..instances),
        });
    }
}

fn pick(weights: &[u32], rng: &mut impl Rng) -> usize {
    let total: u32 = weights.iter().sum();
    let mut place = rng.random_range(0..total);
    weights
        .iter()
        .position(|it| {
            let here = place < *it;
            place = place.saturating_sub(*it);
            here
        })
        .unwrap_or(0)
}
