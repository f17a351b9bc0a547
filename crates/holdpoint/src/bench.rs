//! The `bench` command: runs benchmarks and prints their results as tables.

use clap::ArgMatches;
use futures::{StreamExt, stream};
use holdpoint_emulator::{
    capacity::{self, Slope},
    control,
    faults::{self, Cell, Fault},
    overhead::{self, Row},
    running,
    world::{Plan, World},
};

use crate::{failure::Failure, output::table};

/// Maximum number of fault matrix cells that run concurrently, each on its own system.
const MAX_CONCURRENT_CELLS: usize = 4;

/// Runs the selected benchmark.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("overhead", it)) => overhead(it).await,
        Some(("capacity", it)) => capacity(it).await,
        Some(("control", it)) => control(it).await,
        Some(("policies", it)) => crate::judge::policies(it),
        Some(("faults", it)) => fault_matrix(it).await,
        _ => Ok(()),
    }
}

/// Returns a numeric argument, or 1 if it is absent.
pub(crate) fn number(matches: &ArgMatches, name: &str) -> usize {
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
    let chunk_us = overhead::chunk_cpu_us(&world, 200).await;
    println!("processor time a streamed chunk, its request included: {chunk_us:.0} µs");
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

async fn fault_matrix(matches: &ArgMatches) -> Result<(), Failure> {
    let seed = number(matches, "seed") as u64;
    let requests = number(matches, "requests");
    let only = matches.get_one::<String>("only");
    let is_wanted = |it: &Vec<Fault>| only.is_none_or(|only| cell_name(it).contains(only.as_str()));
    let cells: Vec<Cell> = stream::iter(faults::cells().into_iter().filter(is_wanted))
        .map(|it| async move { faults::run(&it, requests, seed).await })
        .buffered(MAX_CONCURRENT_CELLS)
        .collect()
        .await;
    let violations: u64 = cells.iter().map(|it| it.verdicts.broken()).sum();
    let stuck = cells.iter().filter(|it| it.recovery_ms.is_none()).count();
    let rows: Vec<_> = cells.iter().map(|it| cell_row(&cell_name(&it.faults), it)).collect();
    let header = [
        "FAULTS",
        "REQUESTS",
        "ATTAINED",
        "LATE",
        "NOT RUN",
        "UNKNOWN",
        "FALSE",
        "DOUBLED",
        "LOST",
        "CROSSED",
        "RECOVERY MS",
        "PROBLEMS",
    ];
    cells.iter().flat_map(|it| &it.details).for_each(|it| println!("broken: {it}"));
    println!("{} cells, seed {seed}", rows.len());
    println!("{}", table(&header, rows));
    if 0 < stuck {
        return Err(Failure::Unmet(format!("{stuck} cells did not recover")));
    }
    match violations {
        0 => Ok(()),
        n => Err(Failure::Violated(n)),
    }
}

fn cell_name(faults: &[Fault]) -> String {
    let names = faults
        .iter()
        .map(|it| serde_json::to_value(it).ok().and_then(|it| it.as_str().map(str::to_owned)));
    names.flatten().collect::<Vec<_>>().join(" + ")
}

fn cell_row(name: &str, cell: &Cell) -> Vec<String> {
    let it = &cell.verdicts;
    let numbers = [
        it.requests,
        it.attained,
        it.late,
        it.not_run,
        it.unknown,
        it.false_not_run,
        it.doubled,
        it.lost,
        it.crossed,
    ];
    let mut row = vec![name.to_owned()];
    row.extend(numbers.iter().map(u64::to_string));
    row.push(cell.recovery_ms.map_or("none".to_owned(), |it| it.to_string()));
    let problems = it.problems.iter().map(|(kind, n)| format!("{kind} {n}"));
    row.push(problems.collect::<Vec<_>>().join(", "));
    row
}

async fn control(matches: &ArgMatches) -> Result<(), Failure> {
    let it = control::changes(number(matches, "instances"), number(matches, "changes")).await;
    let header = [
        "INSTANCES",
        "CHANGES",
        "IN FORCE MEDIAN MS",
        "WORST",
        "TOLD MEDIAN MS",
        "WORST",
        "TOLD EARLY",
    ];
    let row = vec![
        it.instances.to_string(),
        it.changes.to_string(),
        format!("{:.1}", it.median_ms),
        format!("{:.1}", it.worst_ms),
        format!("{:.1}", it.reply_median_ms),
        format!("{:.1}", it.reply_max_ms),
        it.early_replies.to_string(),
    ];
    println!("{}", table(&header, vec![row]));
    let rows = control::draining().await;
    let row = |it: &control::DrainTimes| {
        vec![it.source.to_owned(), it.last_ms.to_string(), it.calls.to_string()]
    };
    let header = ["SIGN", "LAST NEW CALL AFTER MS", "NEW CALLS AFTER"];
    println!("{}", table(&header, rows.iter().map(row).collect()));
    let seconds = number(matches, "seconds") as u32;
    let mut rows = Vec::new();
    for batch in [1, 512] {
        for offered in [1, 10, 100, 1000] {
            rows.push(claim_row(&control::claims(offered, batch, seconds).await));
        }
    }
    let header = [
        "CALLS/S",
        "BATCH",
        "WHOLE",
        "NOT RUN",
        "OTHER",
        "P50 MS",
        "P99 MS",
        "APPENDS/S",
        "LIMITED",
    ];
    println!("{}", table(&header, rows));
    Ok(())
}

fn claim_row(it: &control::ClaimTimes) -> Vec<String> {
    vec![
        it.offered.to_string(),
        it.batch.to_string(),
        it.whole.to_string(),
        it.not_run.to_string(),
        it.other.to_string(),
        format!("{:.1}", it.p50_ms),
        format!("{:.1}", it.p99_ms),
        format!("{:.0}", it.appends),
        it.limited.to_string(),
    ]
}

/// Bytes currently allocated by this process.
fn allocated() -> usize {
    let stats = crate::ALLOCATOR.stats();
    // Both counters include reallocations: growth in the first, shrinkage in the second.
    let grown = stats.bytes_allocated as isize - stats.bytes_deallocated as isize;
    usize::try_from(grown).unwrap_or(0)
}

async fn capacity(matches: &ArgMatches) -> Result<(), Failure> {
    if !matches.get_flag("running") {
        let slopes = capacity::slopes(allocated);
        let header = ["WHAT", "BY", "SLOPE", "LOWEST", "HIGHEST", "AT 0", "AT THE LARGEST"];
        println!("{}", table(&header, slopes.iter().map(slope_row).collect()));
    }
    let mut rows = Vec::new();
    for n in [8, 32, 128, 350] {
        let (bytes, rounds) = capacity::ack_cost(n);
        rows.push(vec![n.to_string(), format!("{bytes:.0}"), rounds.to_string()]);
    }
    let header = ["INSTANCES", "BYTES AN INSTANCE FOR ONE CHANGE", "ROUNDS"];
    println!("{}", table(&header, rows));
    let mut rows = Vec::new();
    for n in [4, 8, 16, 32, 64] {
        let it = running::idle(n, number(matches, "seconds") as u64).await;
        rows.push(vec![
            n.to_string(),
            format!("{:.2}", it.control_percent),
            format!("{:.0}", it.peer_bytes),
            format!("{:.1}", it.heartbeats),
            format!("{:.1}", it.log_reads),
            format!("{:.1}", it.memory / 1e6),
            format!("{:.1}", it.active_ms.0),
            format!("{:.1}", it.active_ms.1),
        ]);
    }
    let header = [
        "INSTANCES",
        "CONTROL % OF A CORE",
        "PEER BYTES/S",
        "HEARTBEATS/S",
        "LOG READS/S",
        "MEMORY MB",
        "IN FORCE MEDIAN MS",
        "WORST",
    ];
    println!("{}", table(&header, rows));
    let mut rows = Vec::new();
    for n in [10, 100, 1000, 10_000] {
        rows.push(vec![n.to_string(), format!("{:.0}", running::start_ms(n).await)]);
    }
    println!("{}", table(&["RECORDS IN THE LOG", "START MS"], rows));
    Ok(())
}

fn slope_row(it: &Slope) -> Vec<String> {
    let largest = it.points.last().copied().unwrap_or_default();
    vec![
        it.what.to_owned(),
        it.by.to_owned(),
        format!("{:.4}", it.slope),
        format!("{:.4}", it.spread.0),
        format!("{:.4}", it.spread.1),
        format!("{:.1}", it.base),
        format!("{:.1} at {}", largest.1, largest.0),
    ]
}
