//! Policies and trials that operators declare for the ingress: which policy a request is routed by.
//!
//! A resource has the key `policies/NAME` or `trials/NAME`. A trial divides the requests of one
//! route between its arms; the same request falls to the same arm wherever it is asked. An arm whose
//! policy is not known routes by the built-in one, which counts as the arm's all the same.

use std::{collections::BTreeMap, sync::Arc};

use holdpoint_schema::{
    Part, faults,
    resources::{Policy, Trial},
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{ids::Name, trial::arm_of};

/// Start of the keys of policies.
const POLICIES: &str = "policies/";
/// Start of the keys of trials.
const TRIALS: &str = "trials/";

/// Why a resource changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadResource {
    /// Its key names no kind that the ingress knows.
    Kind,
    /// Its value is no JSON, or has this fault.
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

/// The arm of a trial that a request falls to.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenArm {
    /// Trial.
    pub trial: Name,
    /// Arm.
    pub arm: Name,
    /// Its policy's name.
    pub policy: Name,
}

/// All policies and trials in force.
#[derive(Clone, Debug, Default)]
pub struct Experiments {
    policies: BTreeMap<Name, Arc<Policy>>,
    trials: BTreeMap<Name, Trial>,
}

impl Experiments {
    /// Takes in a resource, or that it was dropped.
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

    /// A policy by its name.
    pub fn policy(&self, name: &str) -> Option<Arc<Policy>> {
        self.policies.get(name).cloned()
    }

    /// The arm that a request on a route falls to, by the first trial of that route.
    pub fn arm_for(&self, route: &str, request: &str) -> Option<ChosenArm> {
        let (name, trial) = self.trials.iter().find(|it| it.1.pipeline == route)?;
        let arm = arm_of(name, trial, request)?;
        Some(ChosenArm { trial: name.clone(), arm: arm.name.clone(), policy: arm.policy.clone() })
    }
}

fn put<T>(all: &mut BTreeMap<Name, T>, name: &str, found: Option<T>) {
    match found {
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
