//! The two users: their resources and the targets that stand before them.

use std::time::Duration;

use holdpoint_schema::resources::{Resource, ResourceFile};
use holdpoint_standin::target::TargetForm;
use holdpointd::settings::parse_jsonc;

const WINE: &str = include_str!("../../../examples/prairie-cellars-resources.jsonc");
const LAMP: &str = include_str!("../../../examples/armor-resources.jsonc");

/// Places of Prairie Cellars: its failure domains.
pub const WINE_PLACES: [&str; 4] = ["winnipeg", "regina", "saskatoon", "calgary"];
/// Places of Armor: its failure domains.
pub const LAMP_PLACES: [&str; 4] = ["rennes", "brest", "vannes", "saint-brieuc"];

/// Time of one step of an engine.
const STEP: Duration = Duration::from_millis(6);

/// A pool of stand-ins.
#[derive(Clone, Debug)]
pub struct PoolForm {
    /// Name.
    pub name: &'static str,
    /// Number of targets.
    pub targets: usize,
    /// Time of one call or step.
    pub step: Duration,
    /// Calls that one target runs at once.
    pub slots: usize,
    /// Whether its targets run a call with a known idempotency key only once.
    pub checks_keys: bool,
    /// Whether its engines refuse orders with a token below the highest they have seen.
    pub checks_tokens: bool,
}

/// Resources of both users, in an order in which each names only earlier ones.
pub fn resources() -> Vec<Resource> {
    [WINE, LAMP].into_iter().flat_map(parsed).collect()
}

/// Pools of both users, at the sizes of today.
pub fn pools() -> Vec<PoolForm> {
    let pool = |name, targets, step_ms, slots, checks_keys| PoolForm {
        name,
        targets,
        step: Duration::from_millis(step_ms),
        slots,
        checks_keys,
        checks_tokens: true,
    };
    let engine = |name, targets| PoolForm { step: STEP, ..pool(name, targets, 0, 16, false) };
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

/// Form of the target at `index` of a pool.
pub fn target_form(pool: &PoolForm, index: usize) -> TargetForm {
    let is_wine = WINE.contains(&format!("\"name\": \"{}\"", pool.name));
    let places = if is_wine { WINE_PLACES } else { LAMP_PLACES };
    TargetForm {
        pool: pool.name.to_owned(),
        domain: places[index % places.len()].to_owned(),
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
