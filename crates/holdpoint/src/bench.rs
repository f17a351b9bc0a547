//! Measurements.

use clap::ArgMatches;
use holdpoint_emulator::{
    overhead::{self, Row},
    world::{Plan, World},
};

use crate::{failure::Failure, output::table};

/// Runs a measurement.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("overhead", it)) => overhead(it).await,
        _ => Ok(()),
    }
}

fn number(matches: &ArgMatches, name: &str) -> usize {
    matches.get_one::<u64>(name).map_or(1, |it| *it as usize)
}

async fn overhead(matches: &ArgMatches) -> Result<(), Failure> {
    let world = World::start(&Plan::new(1)).await;
    let rows = overhead::run(&world, number(matches, "requests")).await;
    let header = [
        "CALLERS",
        "DIRECT P50 MS",
        "THROUGH P50 MS",
        "RATIO",
        "DIRECT P99 MS",
        "THROUGH P99 MS",
        "DIRECT REQ/S",
        "THROUGH REQ/S",
        "RATIO",
        "DIRECT BYTES",
        "THROUGH BYTES",
        "CPU µS A REQUEST",
        "FAILED",
    ];
    println!("{}", table(&header, rows.iter().map(overhead_row).collect()));
    Ok(())
}

fn overhead_row(it: &Row) -> Vec<String> {
    vec![
        it.callers.to_string(),
        format!("{:.2}", it.direct.p50_ms),
        format!("{:.2}", it.through.p50_ms),
        format!("{:.2}", it.through.p50_ms / it.direct.p50_ms),
        format!("{:.2}", it.direct.p99_ms),
        format!("{:.2}", it.through.p99_ms),
        format!("{:.0}", it.direct.rate),
        format!("{:.0}", it.through.rate),
        format!("{:.2}", it.through.rate / it.direct.rate),
        format!("{:.0}", it.direct.bytes),
        format!("{:.0}", it.through.bytes),
        format!("{:.0}", it.cpu_us),
        (it.direct.failed + it.through.failed).to_string(),
    ]
}
