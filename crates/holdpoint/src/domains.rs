//! Failure domains on the users' platform: listed with their targets, evacuated and restored.

use std::collections::BTreeMap;

use clap::ArgMatches;
use holdpoint_adapter::{
    instances,
    store::{EVACUATE_VALUE, OPERATORS_TOPIC, TARGETS_TOPIC, evacuated_domain, evacuation_key},
};
use serde::Serialize;

use crate::{
    failure::Failure,
    output::{Form, print},
    store::{append, newest},
};

/// Longest name of a failure domain, in bytes; the store's keys have 255.
const LONGEST_NAME: usize = 200;

/// A failure domain as the store knows it.
#[derive(Clone, Debug, Default, Serialize)]
struct Domain {
    /// Offset of the order by which it is evacuated.
    evacuated_by: Option<u64>,
    /// Targets that are not leaving.
    targets: usize,
    /// Requests that they work on at once.
    slots: u64,
}

/// Lists, evacuates or restores failure domains.
pub(crate) async fn run(matches: &ArgMatches, form: Form) -> Result<(), Failure> {
    let store: &String = matches.get_one("store").expect("the argument is required");
    let named = |it: &ArgMatches| {
        let name: &String = it.get_one("name").expect("the argument is required");
        checked(name).map(str::to_owned)
    };
    match matches.subcommand() {
        Some(("evacuate", it)) => order(store, &named(it)?, EVACUATE_VALUE, "evacuated").await,
        Some(("restore", it)) => order(store, &named(it)?, &[], "restored").await,
        _ => list(store, form).await,
    }
}

/// A failure domain's name, if it can be one.
fn checked(name: &str) -> Result<&str, Failure> {
    if name.is_empty() || LONGEST_NAME < name.len() || name.chars().any(char::is_control) {
        let text =
            format!("name: {name:?} has 1 to {LONGEST_NAME} bytes and no control characters");
        return Err(Failure::File(text));
    }
    Ok(name)
}

async fn order(store: &str, domain: &str, value: &[u8], done: &str) -> Result<(), Failure> {
    append(store, OPERATORS_TOPIC, &evacuation_key(domain), value).await?;
    println!("{domain}: {done}");
    Ok(())
}

async fn list(store: &str, form: Form) -> Result<(), Failure> {
    let mut domains: BTreeMap<String, Domain> = BTreeMap::new();
    for record in newest(store, OPERATORS_TOPIC).await? {
        if let Some(it) = evacuated_domain(&record.key) {
            domains.entry(it.to_owned()).or_default().evacuated_by = Some(record.offset);
        }
    }
    for record in newest(store, TARGETS_TOPIC).await? {
        // What the instances cannot read either is no target.
        if let Ok(Some(target)) = instances::parse(&record) {
            let domain = domains.entry(target.domain).or_default();
            domain.targets += usize::from(!target.is_leaving);
            domain.slots += if target.is_leaving { 0 } else { u64::from(target.slots) };
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
    print(form, &domains, &header, domains.iter().map(row).collect());
    Ok(())
}
