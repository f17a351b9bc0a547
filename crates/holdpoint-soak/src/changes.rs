//! Series of configuration changes in quick succession.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::{
    Millis,
    plan::{Fault, FaultKind},
};

/// Random stream for changes, kept apart so that the other faults of a seed do not depend on them.
const CHANGES_STREAM: u64 = 10;
/// Number of series in a soak.
const SERIES_COUNT: usize = 2;
/// Longest pause between two changes of a series.
const MAX_PAUSE_MS: Millis = 200;
/// Idle limits of callers' connections.
const IDLE_LIMITS_MS: [Millis; 5] = [50, 300, 1000, 4000, 15_000];
/// Timeouts of all routes; at least the deadline of the requests.
const TIMEOUTS_MS: [Millis; 3] = [2600, 3000, 8000];
/// Largest number of routes and of API keys that a change adds.
const MAX_ADDED: usize = 200;

/// What a configuration has beside the usual one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another idle limit of callers' connections.
    IdleLimit(Millis),
    /// Another timeout of all routes.
    Timeout(Millis),
    /// This many more routes.
    Routes(usize),
    /// This many more API keys.
    Keys(usize),
}

impl Change {
    fn draw(rng: &mut impl Rng) -> Change {
        match rng.random_range(0..4) {
            0 => Change::IdleLimit(IDLE_LIMITS_MS[rng.random_range(0..IDLE_LIMITS_MS.len())]),
            1 => Change::Timeout(TIMEOUTS_MS[rng.random_range(0..TIMEOUTS_MS.len())]),
            2 => Change::Routes(rng.random_range(1..=MAX_ADDED)),
            _ => Change::Keys(rng.random_range(1..=MAX_ADDED)),
        }
    }

    /// Applies it to a configuration.
    pub(crate) fn apply(self, configuration: &mut Value) {
        match self {
            Change::IdleLimit(ms) => configuration["limits"]["idle-timeout-ms"] = json!(ms),
            Change::Timeout(ms) => {
                for route in array(&mut configuration["routes"]) {
                    route["timeout-ms"] = json!(ms);
                }
            }
            Change::Routes(count) => add_routes(array(&mut configuration["routes"]), count),
            Change::Keys(count) => {
                let keys = array(&mut configuration["tenants"][0]["api-keys"]);
                keys.extend((0..count).map(|it| json!(format!("added-key-{it}"))));
            }
        }
    }
}

fn array(value: &mut Value) -> &mut Vec<Value> {
    value.as_array_mut().expect("the sample configuration has this list")
}

fn add_routes(routes: &mut Vec<Value>, count: usize) {
    let added = (0..count).map(|index| {
        let mut route = routes[0].clone();
        holdpoint_adapter_standin::rename_route(&mut route, &format!("added-{index}"));
        route
    });
    let added: Vec<Value> = added.collect();
    routes.extend(added);
}

/// Draws the series of a soak.
pub(crate) fn draw(seed: u64, end: Millis) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(CHANGES_STREAM);
    let mut faults = Vec::new();
    for _ in 0..SERIES_COUNT {
        let mut at = rng.random_range(0..end.max(1));
        for _ in 0..rng.random_range(3..=8) {
            faults.push(Fault { at, duration: 0, kind: FaultKind::Change(Change::draw(&mut rng)) });
            at += rng.random_range(5..MAX_PAUSE_MS);
        }
    }
    faults
}
