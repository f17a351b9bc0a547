//! Validates JSON values against the schemas.

use std::{net::SocketAddr, sync::OnceLock};

use jsonschema::{Draft, Validator};
use serde_json::{Value, json};

const SETTINGS: &str = include_str!("../schemas/settings.json");
const RESOURCES: &str = include_str!("../schemas/resources.json");
const INGRESS: &str = include_str!("../schemas/ingress.json");
const CALLER: &str = include_str!("../schemas/caller.json");

/// One validation error of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// JSON pointer of the invalid value; empty for the whole document.
    pub path: String,
    /// Description, in one line.
    pub text: String,
}

/// A part of the schemas that a value can be validated against.
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

/// Number of parts. Must name the last variant of [`Part`].
const PART_COUNT: usize = Part::Ingress as usize + 1;

/// Returns all validation errors of `value` against one part of the schemas; none if it is valid.
pub fn faults(part: Part, value: &Value) -> Vec<Fault> {
    validator(part)
        .iter_errors(value)
        .map(|it| Fault { path: it.instance_path().to_string(), text: it.to_string() })
        .collect()
}

fn validator(part: Part) -> &'static Validator {
    // Compiled on first use, since a daemon needs only one or two of the parts.
    static VALIDATORS: [OnceLock<Validator>; PART_COUNT] = [const { OnceLock::new() }; PART_COUNT];
    VALIDATORS[part as usize].get_or_init(|| compile(part))
}

fn compile(part: Part) -> Validator {
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
