//! Typed resources, parsed from the state of the control stream.
//!
//! A change replaces one entry and copies only the index of its kind, since parsing all resources again at
//! each change is too expensive with thousands of organisations.

use std::{collections::BTreeMap, sync::Arc};

use holdpoint_schema::{
    Fault, Part, faults,
    resources::{Kind, Organisation, Pipeline, Placement, Policy, Pool, Route, Trial},
};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use crate::{
    fold::{Entry, State},
    ids::{Name, Offset},
    pipeline::Graph,
};

/// A typed resource and its version.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// Offset of the record that set it.
    pub version: Offset,
    /// The resource.
    pub spec: T,
}

/// Resources of one kind by name.
pub type Index<T> = BTreeMap<Name, Arc<Versioned<T>>>;

/// SHA-256 of a caller key.
type KeyHash = [u8; 32];

/// Typed resources at one offset of the log.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Pipelines.
    pub pipelines: Arc<Index<Graph>>,
    /// Pools.
    pub pools: Arc<Index<Pool>>,
    /// Policies.
    pub policies: Arc<Index<Policy>>,
    /// Trials.
    pub trials: Arc<Index<Trial>>,
    /// Organisations.
    pub organisations: Arc<Index<Organisation>>,
    /// Placements.
    pub placements: Arc<Index<Placement>>,
    /// Organisation of each caller key's SHA-256.
    keys: Arc<BTreeMap<KeyHash, Name>>,
}

impl Catalog {
    /// Makes the catalog of a complete state.
    pub fn new(state: &State) -> Catalog {
        let mut catalog = Catalog::default();
        for kind in KINDS {
            for (name, entry) in state.resources(kind) {
                catalog.set(kind, name, Some(entry));
            }
        }
        catalog
    }

    /// Replaces or removes one resource. A specification that this program version cannot parse is
    /// left out, so that an old instance never applies part of a newer format.
    pub fn set(&mut self, kind: &str, name: &str, entry: Option<&Entry>) {
        match kind {
            "pipelines" => put(&mut self.pipelines, name, entry, |it| Graph::new(&read(it)?).ok()),
            "pools" => put(&mut self.pools, name, entry, read),
            "policies" => put(&mut self.policies, name, entry, read),
            "trials" => put(&mut self.trials, name, entry, read),
            "placements" => put(&mut self.placements, name, entry, read),
            "organisations" => {
                self.drop_keys(name);
                put(&mut self.organisations, name, entry, read);
                self.add_keys(name);
            }
            _ => (),
        }
    }

    /// Organisation whose caller key has this SHA-256, in hexadecimal.
    pub fn organisation_of(&self, key_sha256: &str) -> Option<(&Name, &Organisation)> {
        let name = self.keys.get(&parse_hash(key_sha256)?)?;
        Some((name, &self.organisations.get(name)?.spec))
    }

    /// Policy by name, or the built-in default.
    pub fn policy(&self, name: &str) -> Policy {
        self.policies.get(name).map_or_else(default_policy, |it| it.spec.clone())
    }

    fn drop_keys(&mut self, name: &str) {
        let Some(old) = self.organisations.get(name) else { return };
        let keys = Arc::make_mut(&mut self.keys);
        for key in old.spec.key_sha256.iter().filter_map(|it| parse_hash(it)) {
            if keys.get(&key).is_some_and(|it| it == name) {
                keys.remove(&key);
            }
        }
    }

    fn add_keys(&mut self, name: &str) {
        let Some(new) = self.organisations.get(name) else { return };
        let keys = Arc::make_mut(&mut self.keys);
        for key in new.spec.key_sha256.iter().filter_map(|it| parse_hash(it)) {
            keys.insert(key, name.to_owned());
        }
    }
}

/// Kinds in the order of their references: a kind refers only to earlier ones.
pub const KINDS: [&str; 6] =
    ["policies", "pools", "pipelines", "trials", "organisations", "placements"];

/// The policy of a pool that names none.
pub fn default_policy() -> Policy {
    let value = json!({ "route": Route::Predicted });
    serde_json::from_value(value).expect("the other fields have defaults")
}

/// Part of the schemas that describes a kind's specification.
pub fn part_of(kind: Kind) -> Part {
    match kind {
        Kind::Pipelines => Part::Pipeline,
        Kind::Pools => Part::Pool,
        Kind::Policies => Part::Policy,
        Kind::Trials => Part::Trial,
        Kind::Organisations => Part::Organisation,
        Kind::Placements => Part::Placement,
    }
}

/// Returns every fault of a specification: in its form, its graph and its references to resources.
pub fn check(catalog: &Catalog, kind: Kind, spec: &Map<String, Value>) -> Vec<Fault> {
    let found = faults(part_of(kind), &Value::Object(spec.clone()));
    if !found.is_empty() {
        return found;
    }
    match kind {
        Kind::Pipelines => check_pipeline(catalog, spec),
        Kind::Pools => read::<Pool>(spec).map_or_else(Vec::new, |it| {
            let policy = it.policy;
            unknown_reference(
                policy.is_empty() || catalog.policies.contains_key(&policy),
                "/policy",
                &policy,
            )
        }),
        Kind::Trials => check_trial(catalog, spec),
        Kind::Placements => read::<Placement>(spec).map_or_else(Vec::new, |it| {
            unknown_reference(catalog.pools.contains_key(&it.pool), "/pool", &it.pool)
        }),
        Kind::Policies | Kind::Organisations => Vec::new(),
    }
}

fn check_pipeline(catalog: &Catalog, spec: &Map<String, Value>) -> Vec<Fault> {
    let Some(pipeline) = read::<Pipeline>(spec) else { return Vec::new() };
    let mut found = Graph::new(&pipeline).err().unwrap_or_default();
    for (index, stage) in pipeline.stages.iter().enumerate() {
        let is_known = catalog.pools.contains_key(&stage.pool);
        found.extend(unknown_reference(is_known, &format!("/stages/{index}/pool"), &stage.pool));
    }
    found
}

fn check_trial(catalog: &Catalog, spec: &Map<String, Value>) -> Vec<Fault> {
    let Some(trial) = read::<Trial>(spec) else { return Vec::new() };
    let is_known = catalog.pipelines.contains_key(&trial.pipeline);
    let mut found = unknown_reference(is_known, "/pipeline", &trial.pipeline);
    for (index, arm) in trial.arms.iter().enumerate() {
        let is_known = catalog.policies.contains_key(&arm.policy);
        found.extend(unknown_reference(is_known, &format!("/arms/{index}/policy"), &arm.policy));
    }
    found
}

fn unknown_reference(is_known: bool, path: &str, name: &str) -> Vec<Fault> {
    if is_known {
        return Vec::new();
    }
    vec![Fault { path: path.to_owned(), text: format!("{name:?} does not exist") }]
}

fn read<T: DeserializeOwned>(spec: &Map<String, Value>) -> Option<T> {
    serde_json::from_value(Value::Object(spec.clone())).ok()
}

fn put<T: Clone>(
    index: &mut Arc<Index<T>>,
    name: &str,
    entry: Option<&Entry>,
    parse: impl Fn(&Map<String, Value>) -> Option<T>,
) {
    let parsed =
        entry.and_then(|it| Some(Versioned { version: it.version, spec: parse(&it.parsed())? }));
    let index = Arc::make_mut(index);
    match parsed {
        Some(it) => drop(index.insert(name.to_owned(), Arc::new(it))),
        None => drop(index.remove(name)),
    }
}

/// Parses a SHA-256 in hexadecimal.
fn parse_hash(text: &str) -> Option<KeyHash> {
    let mut hash = [0; 32];
    if text.len() != 2 * hash.len() || !text.is_ascii() {
        return None;
    }
    for (byte, digits) in hash.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let digits = std::str::from_utf8(digits).ok()?;
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(hash)
}
