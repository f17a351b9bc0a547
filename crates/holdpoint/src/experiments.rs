//! Policies and trials on the platform's ingress: writes them to the platform's store and evaluates trials
//! from the metrics of all instances.

use std::{collections::BTreeMap, path::PathBuf};

use clap::ArgMatches;
use holdpoint_adapter::store::RESOURCES_TOPIC;
use holdpoint_core::{
    experiments::Experiments,
    quarantine::KEY_PREFIX,
    trial::{ArmStats, judge},
};
use holdpoint_platform::operators::ApiError;
use holdpoint_schema::resources::{ResourceFile, Trial};
use serde_json::{Value, json};

use crate::{
    api::read_resources,
    failure::Failure,
    output::{Format, print},
    store::{append, get, newest},
};

/// Metric that counts the requests of a trial.
const REQUESTS_METRIC: &str = "holdpoint_trial_requests_total";
/// Metric that sums the cost of a trial's requests.
const COST_METRIC: &str = "holdpoint_trial_cost_ms_total";

/// Writes the policies and trials of a file to the store, or deletes one resource: a policy, a trial or a
/// quarantined request.
pub(crate) async fn declare(matches: &ArgMatches) -> Result<(), Failure> {
    let store: &String = matches.get_one("store").expect("the argument is required");
    if let Some(key) = matches.get_one::<String>("drop") {
        // Quarantine keys need no validation; deleting one releases the request.
        if !key.starts_with(KEY_PREFIX) {
            Experiments::default().set(key, None).map_err(|it| Failure::Input(it.to_string()))?;
        }
        append(store, RESOURCES_TOPIC, key, &[]).await?;
        println!("{key}: dropped");
        return Ok(());
    }
    let Some(path) = matches.get_one::<PathBuf>("file") else {
        return Err(Failure::Input("either --file or --drop is required".to_owned()));
    };
    let ResourceFile { resources, .. } = read_resources(path)?;
    let records: Vec<(String, Vec<u8>)> = resources
        .into_iter()
        .map(|it| (format!("{}/{}", it.kind, it.name), json!(it.spec).to_string().into_bytes()))
        .collect();
    // Validates all resources before writing any, so that an invalid file changes nothing.
    for (key, value) in &records {
        let checked = Experiments::default().set(key, Some(value));
        checked.map_err(|it| Failure::Input(format!("{key}: {it}")))?;
    }
    for (key, value) in &records {
        append(store, RESOURCES_TOPIC, key, value).await?;
        println!("{key}: declared");
    }
    Ok(())
}

/// Prints attainment and cost of a trial's arms, summed over instances, and the verdict.
pub(crate) async fn arms(matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let name: &String = matches.get_one("name").expect("the argument is required");
    let store: &String = matches.get_one("store").expect("the argument is required");
    let trial = read_trial(store, name).await?;
    let mut arms: BTreeMap<String, ArmStats> =
        trial.arms.iter().map(|it| (it.name.clone(), ArmStats::default())).collect();
    for address in matches.get_many::<String>("metrics").into_iter().flatten() {
        let page = get(address, "/metrics").await?;
        add_metrics(&mut arms, name, &String::from_utf8_lossy(&page));
    }
    let verdict = judge(&trial, &arms);
    let row = |(arm, it): (&String, &ArmStats)| {
        let share = it.attainment();
        vec![
            arm.clone(),
            it.requests.to_string(),
            format!("{:.4} ({:.4} to {:.4})", share.mid, share.low, share.high),
            format!("{:.1}", it.mean_cost()),
        ]
    };
    let rows = arms.iter().map(row).collect();
    let report = json!({ "trial": name, "arms": arms, "verdict": verdict });
    print(format, &report, &["ARM", "REQUESTS", "ATTAINED", "MS A REQUEST"], rows);
    if format == Format::Table {
        println!("verdict: {}", report["verdict"]);
    }
    Ok(())
}

async fn read_trial(store: &str, name: &str) -> Result<Trial, Failure> {
    let wanted = format!("trials/{name}");
    let records = newest(store, RESOURCES_TOPIC).await?;
    let found = records.into_iter().find(|it| it.key == wanted).and_then(|it| it.value);
    let found = found.ok_or(Failure::Api(ApiError::Refused(404, Value::Null)))?;
    serde_json::from_slice(&found).map_err(|it| Failure::Input(it.to_string()))
}

/// Adds the counters from one instance's metrics page to the arms of a trial.
fn add_metrics(arms: &mut BTreeMap<String, ArmStats>, trial: &str, page: &str) {
    for counter in page.lines().filter_map(Counter::parse) {
        let Some(arm) = counter.label("arm").filter(|_| counter.label("trial") == Some(trial))
        else {
            continue;
        };
        let Some(stats) = arms.get_mut(arm) else { continue };
        match counter.name {
            REQUESTS_METRIC => {
                let is_attained = counter.label("attained") == Some("true");
                stats.requests += counter.value;
                stats.attained += if is_attained { counter.value } else { 0 };
            }
            COST_METRIC => {
                let stage = counter.label("stage").unwrap_or_default().to_owned();
                *stats.cost.entry(stage).or_default() += counter.value;
            }
            _ => (),
        }
    }
}

/// One sample in the Prometheus text format.
struct Counter<'a> {
    name: &'a str,
    labels: Vec<(&'a str, &'a str)>,
    value: u64,
}

impl<'a> Counter<'a> {
    fn parse(line: &'a str) -> Option<Counter<'a>> {
        let (name, rest) = line.split_once('{')?;
        let (labels, value) = rest.rsplit_once("} ")?;
        let label = |it: &'a str| {
            let (name, value) = it.split_once("=\"")?;
            Some((name, value.strip_suffix('"')?))
        };
        let labels = labels.split(',').filter_map(label).collect();
        Some(Counter { name, labels, value: value.trim().parse::<f64>().ok()? as u64 })
    }

    fn label(&self, name: &str) -> Option<&'a str> {
        self.labels.iter().find(|it| it.0 == name).map(|it| it.1)
    }
}
