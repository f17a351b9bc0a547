//! Checks JSON values against the schemas.

use std::{net::SocketAddr, sync::OnceLock};

use jsonschema::{Draft, Validator};
use serde_json::{Value, json};

const SETTINGS: &str = include_str!("../schemas/settings.json");
const RESOURCES: &str = include_str!("../schemas/resources.json");
const INGRESS: &str = include_str!("../schemas/ingress.json");
const CALLER: &str = include_str!("../schemas/caller.json");

/// One fault in a checked value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// JSON pointer of the value at fault; empty for the whole document.
    pub path: String,
    /// What is wrong, in one line.
    pub text: String,
}

/// A part of the schemas that a value can be checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Settings of a daemon.
    Settings,
    /// A file of resources.
    ResourceFile,
    /// Specification of a pipeline.
    Pipeline,
    /// Specification of a pool.
    Pool,
    /// Specification of a policy.
    Policy,
    /// Specification of a trial.
    Trial,
    /// Specification of an organisation.
    Organisation,
    /// Specification of a placement.
    Placement,
    /// A caller's request body.
    Call,
    /// Settings of a daemon that serves the platform's ingress.
    Ingress,
}

/// Number of parts; the last one is named here so that a further one is not forgotten.
const PARTS: usize = Part::Ingress as usize + 1;

/// Returns every fault of `value` against one part of the schemas; none means that it is valid.
pub fn faults(part: Part, value: &Value) -> Vec<Fault> {
    validator(part)
        .iter_errors(value)
        .map(|it| Fault { path: it.instance_path().to_string(), text: it.to_string() })
        .collect()
}

fn validator(part: Part) -> &'static Validator {
    // Each part is compiled when first asked for: a daemon uses one or two of them.
    static VALIDATORS: [OnceLock<Validator>; PARTS] = [const { OnceLock::new() }; PARTS];
    VALIDATORS[part as usize].get_or_init(|| compiled(part))
}

fn compiled(part: Part) -> Validator {
    let (text, name) = match part {
        Part::Settings => (SETTINGS, ""),
        Part::ResourceFile => (RESOURCES, ""),
        Part::Pipeline => (RESOURCES, "Pipeline"),
        Part::Pool => (RESOURCES, "Pool"),
        Part::Policy => (RESOURCES, "Policy"),
        Part::Trial => (RESOURCES, "Trial"),
        Part::Organisation => (RESOURCES, "Organisation"),
        Part::Placement => (RESOURCES, "Placement"),
        Part::Call => (CALLER, ""),
        Part::Ingress => (INGRESS, ""),
    };
    let mut schema: Value = serde_json::from_str(text).expect("schemas are checked in and parse");
    if !name.is_empty() {
        let definitions = schema["definitions"].take();
        schema = json!({ "$ref": format!("#/definitions/{name}"), "definitions": definitions });
    }
    jsonschema::options()
        .with_draft(Draft::Draft7)
        .should_validate_formats(true)
        .with_format("socket-address", |it: &str| it.parse::<SocketAddr>().is_ok())
        .build(&schema)
        .expect("schemas are checked in and compile")
}
