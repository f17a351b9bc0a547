//! The `demo` command: runs a complete system in this process and can check its guarantees under load.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use holdpoint_emulator::{
    load::{self, Mix, Tally, Verdicts},
    world::{Plan, World},
};
use holdpoint_platform::operators::ChangeOptions;
use holdpointd::StopOutcome;
use serde_json::json;

use crate::{failure::Failure, output::table};

/// Number of concurrent callers in the check.
const CONCURRENT_CALLERS: usize = 24;

/// Runs the demonstration until Ctrl-C, or only the check if `--check` is given.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let plan = Plan::new(number("instances").max(1) as usize).with_seed(number("seed"));
    let world = World::start(&plan).await;
    if matches.get_flag("check") {
        return check(&world, number("requests") as usize, number("seed")).await;
    }
    print_usage(&world);
    drop(tokio::signal::ctrl_c().await);
    for index in 0..world.len() {
        world.stop(index).await;
    }
    Ok(())
}

fn print_usage(world: &World) {
    println!("log {}  list {}", world.log.address(), world.list.address());
    for index in 0..world.len() {
        println!(
            "instance {}: callers {}  operators {}",
            index + 1,
            world.callers(index),
            world.operators(index)
        );
    }
    println!("\nSend a streamed pairing request:");
    println!(
        "  curl -N http://{}/v1/pipelines/pairing/requests -H 'authorization: Bearer \
         demo-regina-shops' -H 'accept: text/event-stream' -H 'content-type: application/json' \
         -d '{{\"input\": {{\"marker\": \"me\", \"text\": \"duck\"}}}}'",
        world.callers(0)
    );
    println!("\nShow its status:");
    println!("  HOLDPOINT_TOKEN=demo-operator holdpoint --instance {} status", world.operators(0));
    println!("\nPress Ctrl-C to stop.");
}

async fn check(world: &World, requests: usize, seed: u64) -> Result<(), Failure> {
    let started = Instant::now();
    let mix = Mix::new(requests, CONCURRENT_CALLERS).with_seed(seed);
    let (tally, disruptions) = tokio::join!(load::run(world, &mix), disrupt(world));
    println!("{}", table(&HEADER, rows(&tally)));
    tally.details.iter().for_each(|it| println!("broken: {it}"));
    println!(
        "change of a policy in force on all instances after {} ms",
        disruptions.policy_change_ms
    );
    println!(
        "planned stop of instance 2: {:?} after {} ms",
        disruptions.ended, disruptions.stop_ms
    );
    println!("{:.1} s in all", started.elapsed().as_secs_f64());
    if disruptions.ended != Some(StopOutcome::Drained) {
        return Err(Failure::Unmet("the planned stop interrupted requests in flight".to_owned()));
    }
    match tally.broken() {
        0 => Ok(()),
        n => Err(Failure::Violated(n)),
    }
}

/// Results of the operations performed while the load ran.
struct Disruptions {
    policy_change_ms: u128,
    ended: Option<StopOutcome>,
    stop_ms: u128,
}

/// Changes a policy, shuts one instance down gracefully and starts another.
async fn disrupt(world: &World) -> Disruptions {
    tokio::time::sleep(Duration::from_millis(500)).await;
    let asked = Instant::now();
    let spec = json!({ "route": "predicted", "retry_percent": 20 });
    let change = world.put(0, "policies", "predicted", &spec, &ChangeOptions::default()).await;
    let policy_change_ms = asked.elapsed().as_millis();
    if let Err(it) = change {
        println!("the policy change failed: {it:?}");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let asked = Instant::now();
    let ended = if 1 < world.len() { world.stop(1).await } else { Some(StopOutcome::Drained) };
    let stop_ms = asked.elapsed().as_millis();
    world.start_instance("entry-replacement").await;
    Disruptions { policy_change_ms, ended, stop_ms }
}

const HEADER: [&str; 12] = [
    "PIPELINE",
    "REQUESTS",
    "WHOLE",
    "LATE",
    "NOT RUN",
    "UNKNOWN",
    "REPLAYED",
    "DOUBLED",
    "LOST",
    "CROSSED",
    "FALSE",
    "P50/P99 MS",
];

fn rows(tally: &Tally) -> Vec<Vec<String>> {
    let mut rows: Vec<Vec<String>> = tally
        .verdicts
        .iter()
        .map(|(pipeline, it)| {
            let times = tally.times.get(pipeline);
            let at = |q| times.map_or(0.0, |it| it.value_at_quantile(q) as f64 / 1000.0);
            row(pipeline, it, format!("{:.1}/{:.1}", at(0.5), at(0.99)))
        })
        .collect();
    rows.push(row("all", &tally.total(), String::new()));
    rows
}

fn row(name: &str, it: &Verdicts, times: String) -> Vec<String> {
    let numbers = [
        it.requests,
        it.attained + it.late,
        it.late,
        it.not_run,
        it.unknown,
        it.replayed,
        it.doubled,
        it.lost,
        it.crossed,
        it.false_not_run,
    ];
    let mut row = vec![name.to_owned()];
    row.extend(numbers.iter().map(u64::to_string));
    row.push(times);
    row
}
