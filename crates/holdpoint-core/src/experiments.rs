//! Policies and trials that operators declare for the ingress: which policy a request is routed by.
//!
//! A resource has the key `policies/NAME` or `trials/NAME`. A trial divides the requests of one
//! route between its arms; every instance assigns the same request to the same arm. An arm with an
//! unknown policy routes by the built-in one, and its requests still count for the arm.

use std::{collections::BTreeMap, sync::Arc};

use holdpoint_schema::{
    Part, faults,
    resources::{Policy, Trial},
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{ids::Name, trial::arm_of};

/// Prefix of the keys of policies.
const POLICIES: &str = "policies/";
/// Prefix of the keys of trials.
const TRIALS: &str = "trials/";

/// Why a resource is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadResource {
    /// The key has an unknown prefix.
    Kind,
    /// The value is not valid JSON or does not match the schema; holds the reason.
    Value(String),
}

impl std::fmt::Display for BadResource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BadResource::Kind => f.write_str("the key is neither policies/NAME nor trials/NAME"),
            BadResource::Value(it) => f.write_str(it),
        }
    }
}

impl std::error::Error for BadResource {}

/// The arm of a trial that a request is assigned to.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenArm {
    /// Name of the trial.
    pub trial: Name,
    /// Name of the arm.
    pub arm: Name,
    /// Name of the arm's policy.
    pub policy: Name,
}

/// All active policies and trials.
#[derive(Clone, Debug, Default)]
pub struct Experiments {
    policies: BTreeMap<Name, Arc<Policy>>,
    trials: BTreeMap<Name, Trial>,
}

impl Experiments {
    /// Sets a resource, or removes it if `value` is `None`.
    ///
    /// # Errors
    ///
    /// Fails if the key or the value is invalid; nothing changes then.
    pub fn set(&mut self, key: &str, value: Option<&[u8]>) -> Result<(), BadResource> {
        if let Some(name) = key.strip_prefix(POLICIES) {
            put(&mut self.policies, name, read(Part::Policy, value)?.map(Arc::new));
        } else if let Some(name) = key.strip_prefix(TRIALS) {
            put(&mut self.trials, name, read(Part::Trial, value)?);
        } else {
            return Err(BadResource::Kind);
        }
        Ok(())
    }

    /// Returns a policy by name.
    pub fn policy(&self, name: &str) -> Option<Arc<Policy>> {
        self.policies.get(name).cloned()
    }

    /// Returns the arm that a request on a route is assigned to by the first trial of that route.
    pub fn arm_for(&self, route: &str, request: &str) -> Option<ChosenArm> {
        let (name, trial) = self.trials.iter().find(|it| it.1.pipeline == route)?;
        let arm = arm_of(name, trial, request)?;
        Some(ChosenArm { trial: name.clone(), arm: arm.name.clone(), policy: arm.policy.clone() })
    }
}

fn put<T>(all: &mut BTreeMap<Name, T>, name: &str, value: Option<T>) {
    match value {
        Some(it) => drop(all.insert(name.to_owned(), it)),
        None => drop(all.remove(name)),
    }
}

fn read<T: DeserializeOwned>(part: Part, value: Option<&[u8]>) -> Result<Option<T>, BadResource> {
    let Some(value) = value else { return Ok(None) };
    let bad = |it: serde_json::Error| BadResource::Value(it.to_string());
    let value: Value = serde_json::from_slice(value).map_err(bad)?;
    if let Some(it) = faults(part, &value).first() {
        return Err(BadResource::Value(format!("{}: {}", it.path, it.text)));
    }
    serde_json::from_value(value).map(Some).map_err(bad)
}
