//! The two example users: their resources and their pools of targets.

use std::time::Duration;

use holdpoint_schema::resources::{Resource, ResourceFile};
use holdpoint_standin::target::TargetConfig;
use holdpointd::settings::parse_jsonc;

const WINE: &str = include_str!("../../../examples/prairie-cellars-resources.jsonc");
const LAMP: &str = include_str!("../../../examples/armor-resources.jsonc");

/// Failure domains of Prairie Cellars.
pub const WINE_DOMAINS: [&str; 4] = ["winnipeg", "regina", "saskatoon", "calgary"];
/// Failure domains of Armor.
pub const LAMP_DOMAINS: [&str; 4] = ["rennes", "brest", "vannes", "saint-brieuc"];

/// Duration of one engine step.
const STEP: Duration = Duration::from_millis(6);

/// A pool of stand-in targets.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// Name.
    pub name: &'static str,
    /// Number of targets.
    pub targets: usize,
    /// Duration of one call, or of one step of an engine.
    pub step: Duration,
    /// Calls that one target runs concurrently.
    pub slots: usize,
    /// Whether its targets run a call with a known idempotency key only once.
    pub checks_keys: bool,
    /// Whether its engines refuse orders with a fencing token below the highest they have seen.
    pub checks_tokens: bool,
}

/// Resources of both users, ordered so that each refers only to earlier ones.
pub fn resources() -> Vec<Resource> {
    [WINE, LAMP].into_iter().flat_map(parsed).collect()
}

/// Pools of both users.
pub fn pools() -> Vec<PoolSpec> {
    let pool = |name, targets, step_ms, slots, checks_keys| PoolSpec {
        name,
        targets,
        step: Duration::from_millis(step_ms),
        slots,
        checks_keys,
        checks_tokens: true,
    };
    let engine = |name, targets| PoolSpec { step: STEP, ..pool(name, targets, 0, 16, false) };
    vec![
        engine("wine-models", 12),
        pool("wine-encoders", 3, 3, 8, false),
        pool("wine-retrievers", 3, 4, 8, false),
        pool("wine-rerankers", 2, 5, 8, false),
        pool("till-stock", 4, 2, 16, false),
        pool("buyer-desk", 6, 3, 16, false),
        pool("cellar-club", 6, 2, 16, false),
        pool("transfers", 6, 3, 16, true),
        engine("lamp-models", 18),
        pool("lamp-encoders", 3, 4, 8, false),
        pool("lamp-retrievers", 3, 4, 8, false),
        pool("lamp-rerankers", 2, 5, 8, false),
        pool("dispatch", 4, 3, 16, false),
        pool("spare-parts", 7, 3, 16, true),
        pool("commune-portal", 6, 3, 16, false),
        pool("invoicing", 6, 4, 16, true),
    ]
}

/// Configuration of the stand-in target at `index` of a pool.
pub fn target_config(pool: &PoolSpec, index: usize) -> TargetConfig {
    let is_wine = WINE.contains(&format!("\"name\": \"{}\"", pool.name));
    let domains = if is_wine { WINE_DOMAINS } else { LAMP_DOMAINS };
    TargetConfig {
        pool: pool.name.to_owned(),
        domain: domains[index % domains.len()].to_owned(),
        step: pool.step,
        slots: pool.slots,
        checks_keys: pool.checks_keys,
        checks_tokens: pool.checks_tokens,
    }
}

fn parsed(text: &str) -> Vec<Resource> {
    let value = parse_jsonc(text).expect("the examples parse");
    let file: ResourceFile = serde_json::from_value(value).expect("the examples are valid");
    file.resources
}
