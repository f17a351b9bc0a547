//! Regions of the users' platform: listed with their instances, targets and what is sent between them.

use std::collections::BTreeMap;

use clap::ArgMatches;
use holdpoint_adapter::{
    instances,
    store::{INSTANCES_TOPIC, OPERATORS_TOPIC, TARGETS_TOPIC, evacuated_domain},
};
use holdpointd::ingress::domain_of_entry;
use serde::{Deserialize, Serialize};

use crate::{
    failure::Failure,
    output::{Form, print},
    store::{get, newest},
};

/// Counter of requests that would be late in their region, as the metrics show it.
const SPILLS: &str = "holdpoint_spills_total{";
/// Counter of bytes sent to other regions.
const BYTES: &str = "holdpoint_region_bytes_total{";
/// Row of what stands in a failure domain whose region is not stated.
const UNKNOWN: &str = "unknown";

/// The part of an instance's settings that names the regions.
#[derive(Debug, Deserialize)]
struct Settings {
    #[serde(default)]
    regions: BTreeMap<String, String>,
}

/// A region as the store knows it, and what instances have sent to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct Region {
    instances: usize,
    /// Targets that get new work.
    targets: usize,
    /// Requests that they work on at once.
    slots: u64,
    /// Targets that are leaving or evacuated.
    held: usize,
    /// Requests that other regions sent here, as far as metrics were read.
    sent: u64,
    /// Requests that stayed in other regions although they would be late there.
    kept: u64,
}

/// Lists the regions.
pub(crate) async fn run(matches: &ArgMatches, form: Form) -> Result<(), Failure> {
    let store: &String = matches.get_one("store").expect("the argument is required");
    let path: &String = matches.get_one("settings").expect("the argument is required");
    let text = std::fs::read(path).map_err(|it| Failure::File(format!("{path}: {it}")))?;
    let settings: Settings =
        serde_json::from_slice(&text).map_err(|it| Failure::File(format!("{path}: {it}")))?;
    let region_of = |domain: &str| {
        let region = settings.regions.get(domain);
        region.cloned().unwrap_or_else(|| UNKNOWN.to_owned())
    };
    let stated = settings.regions.values().map(|it| (it.clone(), Region::default()));
    let mut regions: BTreeMap<String, Region> = stated.collect();
    let orders = newest(store, OPERATORS_TOPIC).await?;
    let is_evacuated =
        |domain: &str| orders.iter().any(|it| evacuated_domain(&it.key) == Some(domain));
    for record in newest(store, INSTANCES_TOPIC).await? {
        if let Some(domain) = record.value.as_deref().and_then(domain_of_entry) {
            regions.entry(region_of(&domain)).or_default().instances += 1;
        }
    }
    for record in newest(store, TARGETS_TOPIC).await? {
        // What the instances cannot read either is no target.
        let Ok(Some(target)) = instances::parse(&record) else { continue };
        let region = regions.entry(region_of(&target.domain)).or_default();
        if target.is_leaving || is_evacuated(&target.domain) {
            region.held += 1;
        } else {
            region.targets += 1;
            region.slots += u64::from(target.slots);
        }
    }
    let mut bytes = 0;
    for address in matches.get_many::<String>("metrics").into_iter().flatten() {
        let page = get(address, "/metrics").await?;
        bytes += add_metrics(&mut regions, &String::from_utf8_lossy(&page));
    }
    let row = |(name, it): (&String, &Region)| {
        let numbers = [it.instances as u64, it.targets as u64, it.slots, it.held as u64];
        let numbers = numbers.into_iter().chain([it.sent, it.kept]);
        std::iter::once(name.clone()).chain(numbers.map(|it| it.to_string())).collect()
    };
    let header = ["REGION", "INSTANCES", "TARGETS", "SLOTS", "HELD", "SENT HERE", "KEPT AWAY"];
    print(form, &regions, &header, regions.iter().map(row).collect());
    if bytes != 0 {
        eprintln!("bytes of requests sent between regions: {bytes}");
    }
    Ok(())
}

/// Adds the counters of one instance's metrics; returns the bytes that it sent to other regions.
fn add_metrics(regions: &mut BTreeMap<String, Region>, page: &str) -> u64 {
    let mut bytes = 0;
    for line in page.lines() {
        let Some(value) = line.rsplit(' ').next().and_then(|it| it.parse::<f64>().ok()) else {
            continue;
        };
        if line.starts_with(BYTES) {
            bytes += value as u64;
        } else if let Some(labels) = line.strip_prefix(SPILLS) {
            let Some(name) = label(labels, "region") else { continue };
            let region = regions.entry(name.to_owned()).or_default();
            match label(labels, "outcome") {
                Some("sent") => region.sent += value as u64,
                _ => region.kept += value as u64,
            }
        }
    }
    bytes
}

/// Value of a label in a line of the metrics.
fn label<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let start = labels.find(&format!("{name}=\""))? + name.len() + 2;
    labels[start..].split('"').next()
}
