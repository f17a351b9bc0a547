//! Roll-outs on the users' platform: listed with their status, started and withdrawn.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use clap::ArgMatches;
use holdpoint_adapter::{
    instances,
    rollouts::{key, order_bytes, parse_order, parse_status, service_of},
    store::{OPERATORS_TOPIC, STATUS_TOPIC, TARGETS_TOPIC},
};
use holdpoint_core::rollout::{OrderRecord, State};
use serde::Serialize;

use crate::{
    failure::Failure,
    output::{Form, print},
    store::{append, newest},
};

/// Longest name of a service, in bytes; the store's keys have 255.
const LONGEST_NAME: usize = 200;
/// Shortest and longest time for a roll-out, in seconds. Under the shortest no version can be judged.
const SECONDS: std::ops::RangeInclusive<f64> = 5.0..=86_400.0;
/// How often the status is read while it is waited for.
const POLL: Duration = Duration::from_millis(250);
/// How long after its deadline a roll-out's status is waited for.
const PATIENCE: Duration = Duration::from_secs(5);

/// A roll-out as the store knows it.
#[derive(Clone, Debug, Default, Serialize)]
struct Row {
    /// Offset of the order in force.
    order: Option<u64>,
    /// Version that it names.
    version: Option<String>,
    /// Time that it states, in seconds.
    within_s: Option<f64>,
    /// Status, and the version that it names.
    state: Option<&'static str>,
    status_version: Option<String>,
    /// Targets that are not leaving, by version.
    targets: BTreeMap<String, usize>,
}

/// Lists, starts or withdraws roll-outs.
pub(crate) async fn run(matches: &ArgMatches, form: Form) -> Result<(), Failure> {
    let store: &String = matches.get_one("store").expect("the argument is required");
    match matches.subcommand() {
        Some(("start", it)) => start(store, it).await,
        Some(("abort", it)) => abort(store, it).await,
        _ => list(store, form).await,
    }
}

async fn start(store: &str, matches: &ArgMatches) -> Result<(), Failure> {
    let service = checked(matches, "service")?;
    let version = checked(matches, "version")?;
    let within: &String = matches.get_one("within").expect("the argument has a default");
    let seconds = seconds(within)?;
    let rows = rows(store).await?;
    let targets = rows.get(service).map(|it| it.targets.clone()).unwrap_or_default();
    if targets.is_empty() {
        return Err(Failure::File(format!("service: {service} has no targets")));
    }
    if !targets.contains_key(version) {
        eprintln!("no target of {service} has version {version} yet");
    }
    append(store, OPERATORS_TOPIC, &key(service), &order_bytes(service, version, seconds)).await?;
    println!("{service}: {version} ordered within {seconds} s");
    if !matches.get_flag("wait") {
        return Ok(());
    }
    match wait(store, service, version, Duration::from_secs_f64(seconds)).await? {
        State::Completed => {
            println!("{service}: {version} completed");
            Ok(())
        }
        _ => Err(Failure::NotMet(format!("{service}: {version} was rolled back"))),
    }
}

async fn abort(store: &str, matches: &ArgMatches) -> Result<(), Failure> {
    let service = checked(matches, "service")?;
    let rows = rows(store).await?;
    let Some(version) = rows.get(service).and_then(|it| it.version.clone()) else {
        return Err(Failure::File(format!("service: {service} has no order")));
    };
    append(store, OPERATORS_TOPIC, &key(service), &[]).await?;
    println!("{service}: order of {version} withdrawn");
    if !matches.get_flag("wait") {
        return Ok(());
    }
    match wait(store, service, &version, Duration::ZERO).await? {
        State::RolledBack => {
            println!("{service}: {version} rolled back");
            Ok(())
        }
        _ => Err(Failure::NotMet(format!("{service}: {version} was completed before"))),
    }
}

/// Waits until a roll-out of a version has ended.
async fn wait(
    store: &str,
    service: &str,
    version: &str,
    within: Duration,
) -> Result<State, Failure> {
    let until = Instant::now() + within + PATIENCE;
    // An earlier roll-out of the same version may have left its end; the new one says first that it runs.
    let mut was_running = false;
    loop {
        let found = newest(store, STATUS_TOPIC).await?;
        let status = found.iter().find(|it| it.key == key(service));
        let status = status.and_then(|it| parse_status(it.value.as_ref()?).ok());
        let status = status.filter(|it| it.version == version);
        if let Some(it) = status {
            was_running |= it.state == State::Running || within.is_zero();
            if it.state != State::Running && was_running {
                return Ok(it.state);
            }
        }
        if until < Instant::now() {
            let text = format!("{service}: {version} has no final status");
            return Err(Failure::NotInForce(text));
        }
        tokio::time::sleep(POLL).await;
    }
}

/// A name that was given, if it can be one.
fn checked<'a>(matches: &'a ArgMatches, argument: &str) -> Result<&'a str, Failure> {
    let name: &String = matches.get_one(argument).expect("the argument is required");
    if name.is_empty() || LONGEST_NAME < name.len() || name.chars().any(char::is_control) {
        let text =
            format!("{argument}: {name:?} has 1 to {LONGEST_NAME} bytes and no control characters");
        return Err(Failure::File(text));
    }
    Ok(name)
}

/// Reads a time such as `30s`, `5m` or `30`.
fn seconds(text: &str) -> Result<f64, Failure> {
    let (number, factor) = match text.strip_suffix('m') {
        Some(it) => (it, 60.0),
        None => (text.strip_suffix('s').unwrap_or(text), 1.0),
    };
    let seconds = number.parse::<f64>().map(|it| it * factor).ok();
    seconds.filter(|it| SECONDS.contains(it)).ok_or_else(|| {
        Failure::File(format!("within: {text:?} is no time of 5 seconds to a day, as 30s or 5m"))
    })
}

async fn rows(store: &str) -> Result<BTreeMap<String, Row>, Failure> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for record in newest(store, TARGETS_TOPIC).await? {
        // What the instances cannot read either is no target.
        if let Ok(Some(it)) = instances::parse(&record)
            && !it.is_leaving
        {
            *rows.entry(it.service).or_default().targets.entry(it.version).or_default() += 1;
        }
    }
    for record in newest(store, OPERATORS_TOPIC).await? {
        // Nor is what they cannot read an order.
        if let Some(Ok(OrderRecord::Ordered { offset, service, version, duration_ms })) =
            parse_order(&record)
        {
            let row = rows.entry(service).or_default();
            row.order = Some(offset);
            row.version = Some(version);
            row.within_s = Some(duration_ms as f64 / 1000.0);
        }
    }
    for record in newest(store, STATUS_TOPIC).await? {
        let Some(service) = service_of(&record.key) else { continue };
        let Some(Ok(status)) = record.value.as_ref().map(|it| parse_status(it)) else { continue };
        let row = rows.entry(service.to_owned()).or_default();
        row.state = Some(match status.state {
            State::Running => "running",
            State::Completed => "completed",
            State::RolledBack => "rolled back",
        });
        row.status_version = Some(status.version);
    }
    Ok(rows)
}

async fn list(store: &str, form: Form) -> Result<(), Failure> {
    let mut rows = rows(store).await?;
    rows.retain(|_, it| it.order.is_some() || it.state.is_some());
    let text = |it: Option<&str>| it.unwrap_or("-").to_owned();
    let row = |(service, it): (&String, &Row)| {
        let version = it.version.as_deref().or(it.status_version.as_deref());
        let within = it.within_s.map_or("-".to_owned(), |it| it.to_string());
        let targets: Vec<String> =
            it.targets.iter().map(|(version, count)| format!("{version}: {count}")).collect();
        vec![service.clone(), text(version), text(it.state), within, targets.join(", ")]
    };
    let header = ["SERVICE", "VERSION", "STATE", "WITHIN, S", "TARGETS"];
    print(form, &rows, &header, rows.iter().map(row).collect());
    Ok(())
}
