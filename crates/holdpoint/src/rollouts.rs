//! The `rollouts` command: lists roll-outs on the platform with their status, starts and aborts them.

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
    output::{Format, print},
    store::{append, newest},
};

/// Maximum length of a service's or version's name; the store limits keys to 255 bytes.
const MAX_NAME_BYTES: usize = 200;
/// Permitted duration of a roll-out. A shorter one leaves too little time to evaluate the version.
const DURATION_RANGE_S: std::ops::RangeInclusive<f64> = 5.0..=86_400.0;
/// Interval between reads of the status while waiting for it.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a roll-out's deadline during which its final status may still arrive.
const STATUS_GRACE: Duration = Duration::from_secs(5);

/// State of a service's roll-out, from the store.
#[derive(Clone, Debug, Default, Serialize)]
struct Row {
    /// Offset of the active order.
    order: Option<u64>,
    /// Version in the order.
    version: Option<String>,
    /// Duration in the order, in seconds.
    within_s: Option<f64>,
    /// Latest reported state.
    state: Option<&'static str>,
    /// Version that the reported state refers to.
    status_version: Option<String>,
    /// Number of targets that are not draining, by version.
    targets: BTreeMap<String, usize>,
}

/// Lists, starts or aborts roll-outs.
pub(crate) async fn run(matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let store: &String = matches.get_one("store").expect("the argument is required");
    match matches.subcommand() {
        Some(("start", it)) => start(store, it).await,
        Some(("abort", it)) => abort(store, it).await,
        _ => list(store, format).await,
    }
}

async fn start(store: &str, matches: &ArgMatches) -> Result<(), Failure> {
    let service = name_argument(matches, "service")?;
    let version = name_argument(matches, "version")?;
    let within: &String = matches.get_one("within").expect("the argument has a default");
    let seconds = parse_seconds(within)?;
    let rows = rows(store).await?;
    let targets = rows.get(service).map(|it| it.targets.clone()).unwrap_or_default();
    if targets.is_empty() {
        return Err(Failure::Input(format!("service: {service} has no targets")));
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
        _ => Err(Failure::Unmet(format!("{service}: {version} was rolled back"))),
    }
}

async fn abort(store: &str, matches: &ArgMatches) -> Result<(), Failure> {
    let service = name_argument(matches, "service")?;
    let rows = rows(store).await?;
    let Some(version) = rows.get(service).and_then(|it| it.version.clone()) else {
        return Err(Failure::Input(format!("service: {service} has no order")));
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
        _ => Err(Failure::Unmet(format!("{service}: {version} had already completed"))),
    }
}

/// Waits until a roll-out of a version has ended.
async fn wait(
    store: &str,
    service: &str,
    version: &str,
    within: Duration,
) -> Result<State, Failure> {
    let until = Instant::now() + within + STATUS_GRACE;
    // The store may still hold the final status of an earlier roll-out of this version, so a final
    // status counts only after `Running` was seen. An abort, which waits with `within` zero, accepts any.
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
            return Err(Failure::NotApplied(text));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns an argument that must be a valid name.
fn name_argument<'a>(matches: &'a ArgMatches, argument: &str) -> Result<&'a str, Failure> {
    let name: &String = matches.get_one(argument).expect("the argument is required");
    if name.is_empty() || MAX_NAME_BYTES < name.len() || name.chars().any(char::is_control) {
        let text = format!(
            "{argument}: {name:?} must have 1 to {MAX_NAME_BYTES} bytes and no control characters"
        );
        return Err(Failure::Input(text));
    }
    Ok(name)
}

/// Parses a duration such as `30s`, `5m` or `30` into seconds.
fn parse_seconds(text: &str) -> Result<f64, Failure> {
    let (number, factor) = match text.strip_suffix('m') {
        Some(it) => (it, 60.0),
        None => (text.strip_suffix('s').unwrap_or(text), 1.0),
    };
    let seconds = number.parse::<f64>().map(|it| it * factor).ok();
    seconds.filter(|it| DURATION_RANGE_S.contains(it)).ok_or_else(|| {
        Failure::Input(format!(
            "within: {text:?} must be a duration between 5 seconds and a day, such as 30s or 5m"
        ))
    })
}

async fn rows(store: &str) -> Result<BTreeMap<String, Row>, Failure> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for record in newest(store, TARGETS_TOPIC).await? {
        // Skips records that cannot be parsed; instances ignore them too.
        if let Ok(Some(it)) = instances::parse(&record)
            && !it.is_draining
        {
            *rows.entry(it.service).or_default().targets.entry(it.version).or_default() += 1;
        }
    }
    for record in newest(store, OPERATORS_TOPIC).await? {
        // Skips orders that cannot be parsed; instances ignore them too.
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

async fn list(store: &str, format: Format) -> Result<(), Failure> {
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
    print(format, &rows, &header, rows.iter().map(row).collect());
    Ok(())
}
