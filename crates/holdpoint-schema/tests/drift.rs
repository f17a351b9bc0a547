//! Generates the Rust types from the schemas and compares them with the committed files.
//!
//! `HOLDPOINT_WRITE_SCHEMA=1 cargo test -p holdpoint-schema --test drift` rewrites them.

use std::{fs, path::Path};

use serde::Deserialize;
use serde_json::{Map, Value};
use typify::{TypeSpace, TypeSpaceSettings};

const SCHEMAS: [&str; 7] =
    ["settings", "resources", "records", "peer", "caller", "platform", "ingress"];

/// Keywords left to the validator; the generator would turn the types that have them into wrappers.
const VALIDATION_KEYWORDS: [&str; 7] =
    ["minimum", "maximum", "pattern", "minLength", "maxLength", "minItems", "maxItems"];

fn without_checks(value: &mut Value) {
    match value {
        Value::Object(map) => {
            let is_schema = map.contains_key("type");
            if is_schema {
                VALIDATION_KEYWORDS.iter().for_each(|it| drop(map.remove(*it)));
                if map.get("format").is_some_and(|it| it == "socket-address") {
                    map.remove("format");
                }
            }
            map.values_mut().for_each(without_checks);
        }
        Value::Array(items) => items.iter_mut().for_each(without_checks),
        _ => (),
    }
}

/// Expands `"default": {}` to the defaults of all members; the generator treats an empty object as
/// zeros.
fn with_full_defaults(root: &mut Value) {
    let definitions = root["definitions"].clone();
    for property in root["properties"].as_object_mut().into_iter().flat_map(|it| it.values_mut()) {
        let name = property["allOf"][0]["$ref"].as_str().unwrap_or_default();
        let Some(name) = name.strip_prefix("#/definitions/") else { continue };
        let members = definitions[name]["properties"].as_object().cloned().unwrap_or_default();
        if property["default"] == Value::Object(Map::new()) {
            let defaults = members.into_iter().map(|(name, it)| (name, it["default"].clone()));
            property["default"] = Value::Object(defaults.collect());
        }
    }
}

fn generated(name: &str) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(dir.join(format!("schemas/{name}.json"))).unwrap();
    let mut value: Value = serde_json::from_str(&text).unwrap();
    without_checks(&mut value);
    with_full_defaults(&mut value);
    let schema: schemars::schema::RootSchema = serde_json::from_value(value).unwrap();
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    settings.with_map_type("::std::collections::BTreeMap");
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema).unwrap();
    let file = syn::parse2::<syn::File>(space.to_stream()).unwrap();
    format!(
        "// Generated from schemas/{name}.json; see tests/drift.rs.\n\n{}",
        prettyplease::unparse(&file)
    )
}

#[test]
fn absent_settings_have_the_defaults_of_the_schema() {
    let settings = holdpoint_schema::settings::Settings::deserialize(serde_json::json!({
        "instance": "a", "domain": "d", "operators": [], "resume_keys": [],
        "listen": { "callers": "", "operators": "", "peers": "" },
        "platform": { "log": "", "list": "" },
    }))
    .unwrap();
    assert_eq!(settings.runtime.traffic_threads, 2);
    assert_eq!(settings.timing.confirm_ms, 4000);
}

#[test]
fn committed_types_match_the_schemas() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    for name in SCHEMAS {
        let path = dir.join(format!("{name}.rs"));
        let wanted = generated(name);
        if std::env::var_os("HOLDPOINT_WRITE_SCHEMA").is_some() {
            fs::write(&path, &wanted).unwrap();
        }
        let found = fs::read_to_string(&path).unwrap_or_default();
        assert!(found == wanted, "{name}.rs differs from schemas/{name}.json");
    }
}
