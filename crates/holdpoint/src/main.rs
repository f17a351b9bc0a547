//! Command-line interface for operators: manages resources, prints reports, checks settings, and runs
//! the demonstration, the soak test and the benchmarks.

mod api;
mod bench;
mod cli;
mod demo;
mod domains;
mod experiments;
mod explain;
mod failure;
mod judge;
mod losses;
mod output;
mod regions;
mod rollouts;
mod soak;
mod store;

use std::{alloc::System, process::ExitCode};

use clap::ArgMatches;
use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use crate::failure::Failure;

/// Counts allocations, for `bench capacity`.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let level = matches.get_one("log-level").copied().unwrap_or(LevelFilter::Off);
    let config = ConfigBuilder::new().add_filter_allow_str("holdpoint").build();
    // Fails only if a logger is already installed, which cannot happen here.
    drop(TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Auto));
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let result = match runtime {
        Ok(it) => it.block_on(run(&matches)),
        Err(_) => Err(Failure::Runtime),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(it) => {
            eprintln!("holdpoint: {it}");
            it.exit_code()
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("check-settings", it)) => api::check_settings(it),
        Some(("completion", it)) => {
            cli::completion(it);
            Ok(())
        }
        Some(("declare", it)) => experiments::declare(it).await,
        Some(("domains", it)) => domains::run(it, api::output_format(matches)).await,
        Some(("regions", it)) => regions::run(it, api::output_format(matches)).await,
        Some(("rollouts", it)) => rollouts::run(it, api::output_format(matches)).await,
        Some(("explain", it)) => explain::run(it),
        Some(("demo", it)) => demo::run(it).await,
        Some(("soak", it)) => soak::run(it).await,
        Some(("bench", it)) => bench::run(it).await,
        Some((name, it)) => api::run(name, it, matches).await,
        None => Ok(()),
    }
}
