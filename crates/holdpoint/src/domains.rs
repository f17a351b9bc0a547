//! The `domains` command: lists failure domains of the platform, evacuates and restores them.

use std::collections::BTreeMap;

use clap::ArgMatches;
use holdpoint_adapter::{
    instances,
    store::{EVACUATE_VALUE, OPERATORS_TOPIC, TARGETS_TOPIC, evacuated_domain, evacuation_key},
};
use serde::Serialize;

use crate::{
    failure::Failure,
    output::{Format, print},
    store::{append, newest},
};

/// Maximum length of a failure domain's name; the store limits keys to 255 bytes.
const MAX_NAME_BYTES: usize = 200;

/// State of a failure domain, from the store.
#[derive(Clone, Debug, Default, Serialize)]
struct Domain {
    /// Offset of the active evacuation order.
    evacuated_by: Option<u64>,
    /// Number of targets that are not draining.
    targets: usize,
    /// Total number of requests that these targets process concurrently.
    slots: u64,
}

/// Lists, evacuates or restores failure domains.
pub(crate) async fn run(matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let store: &String = matches.get_one("store").expect("the argument is required");
    let name_argument = |it: &ArgMatches| {
        let name: &String = it.get_one("name").expect("the argument is required");
        validate_name(name).map(str::to_owned)
    };
    match matches.subcommand() {
        Some(("evacuate", it)) => {
            write_order(store, &name_argument(it)?, EVACUATE_VALUE, "evacuated").await
        }
        Some(("restore", it)) => write_order(store, &name_argument(it)?, &[], "restored").await,
        _ => list(store, format).await,
    }
}

/// Validates the name of a failure domain.
fn validate_name(name: &str) -> Result<&str, Failure> {
    if name.is_empty() || MAX_NAME_BYTES < name.len() || name.chars().any(char::is_control) {
        let text = format!(
            "name: {name:?} must have 1 to {MAX_NAME_BYTES} bytes and no control characters"
        );
        return Err(Failure::Input(text));
    }
    Ok(name)
}

async fn write_order(store: &str, domain: &str, value: &[u8], done: &str) -> Result<(), Failure> {
    append(store, OPERATORS_TOPIC, &evacuation_key(domain), value).await?;
    println!("{domain}: {done}");
    Ok(())
}

async fn list(store: &str, format: Format) -> Result<(), Failure> {
    let mut domains: BTreeMap<String, Domain> = BTreeMap::new();
    for record in newest(store, OPERATORS_TOPIC).await? {
        if let Some(it) = evacuated_domain(&record.key) {
            domains.entry(it.to_owned()).or_default().evacuated_by = Some(record.offset);
        }
    }
    for record in newest(store, TARGETS_TOPIC).await? {
        // Skips records that cannot be parsed; instances ignore them too.
        if let Ok(Some(target)) = instances::parse(&record) {
            let domain = domains.entry(target.domain).or_default();
            domain.targets += usize::from(!target.is_draining);
            domain.slots += if target.is_draining { 0 } else { u64::from(target.slots) };
        }
    }
    let all_slots: u64 = domains.values().map(|it| it.slots).sum();
    let row = |(name, it): (&String, &Domain)| {
        let part = 100.0 * it.slots as f64 / all_slots.max(1) as f64;
        let state = if it.evacuated_by.is_some() { "evacuated" } else { "open" };
        let order = it.evacuated_by.map_or("-".to_owned(), |it| it.to_string());
        let (targets, slots) = (it.targets.to_string(), it.slots.to_string());
        vec![name.clone(), state.to_owned(), order, targets, slots, format!("{part:.0}")]
    };
    let header = ["DOMAIN", "STATE", "ORDER", "TARGETS", "SLOTS", "% OF SLOTS"];
    print(format, &domains, &header, domains.iter().map(row).collect());
    Ok(())
}
