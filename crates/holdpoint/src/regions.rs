//! The `regions` command: lists regions of the platform with their instances, targets and the requests sent
//! between them.

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
    output::{Format, print},
    store::{get, newest},
};

/// Metric that counts requests that would be late in their own region.
const SPILLS_METRIC: &str = "holdpoint_spills_total{";
/// Metric that counts bytes sent to other regions.
const BYTES_METRIC: &str = "holdpoint_region_bytes_total{";
/// Row for failure domains that the settings assign to no region.
const UNKNOWN_REGION: &str = "unknown";

/// The part of an instance's settings that maps failure domains to regions.
#[derive(Debug, Deserialize)]
struct Settings {
    #[serde(default)]
    regions: BTreeMap<String, String>,
}

/// State of a region from the store, and traffic counts from the metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct Region {
    instances: usize,
    /// Targets that accept new requests.
    targets: usize,
    /// Total number of requests that these targets process concurrently.
    slots: u64,
    /// Targets that are draining or evacuated.
    held: usize,
    /// Requests that other regions sent here, from the metrics read.
    sent: u64,
    /// Requests that were not sent here although they would be late in their own region.
    kept: u64,
}

/// Lists the regions.
pub(crate) async fn run(matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let store: &String = matches.get_one("store").expect("the argument is required");
    let path: &String = matches.get_one("settings").expect("the argument is required");
    let text = std::fs::read(path).map_err(|it| Failure::Input(format!("{path}: {it}")))?;
    let settings: Settings =
        serde_json::from_slice(&text).map_err(|it| Failure::Input(format!("{path}: {it}")))?;
    let region_of = |domain: &str| {
        let region = settings.regions.get(domain);
        region.cloned().unwrap_or_else(|| UNKNOWN_REGION.to_owned())
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
        // Skips records that cannot be parsed; instances ignore them too.
        let Ok(Some(target)) = instances::parse(&record) else { continue };
        let region = regions.entry(region_of(&target.domain)).or_default();
        if target.is_draining || is_evacuated(&target.domain) {
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
    print(format, &regions, &header, regions.iter().map(row).collect());
    if bytes != 0 {
        eprintln!("bytes of requests sent between regions: {bytes}");
    }
    Ok(())
}

/// Adds the counters from one instance's metrics page; returns the bytes it sent to other regions.
fn add_metrics(regions: &mut BTreeMap<String, Region>, page: &str) -> u64 {
    let mut bytes = 0;
    for line in page.lines() {
        let Some(value) = line.rsplit(' ').next().and_then(|it| it.parse::<f64>().ok()) else {
            continue;
        };
        if line.starts_with(BYTES_METRIC) {
            bytes += value as u64;
        } else if let Some(labels) = line.strip_prefix(SPILLS_METRIC) {
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

/// Returns the value of a label in a metrics line.
fn label<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let start = labels.find(&format!("{name}=\""))? + name.len() + 2;
    labels[start..].split('"').next()
}
