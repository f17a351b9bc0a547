//! The `soak` command: injects random faults into real processes.

use std::{path::PathBuf, time::Duration};

use clap::ArgMatches;
use holdpoint_soak::{Builds, Plan};

use crate::failure::Failure;

/// File name of the daemon's executable.
const DAEMON: &str = "holdpointd";

/// Runs each seed and prints its verdict; fails if a guarantee was violated for any of them.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("the argument has a default");
    let length = Duration::from_secs(number("seconds"));
    let daemon = matches.get_one::<PathBuf>("daemon").cloned();
    let former = matches.get_one::<PathBuf>("former").cloned();
    let has_former = former.is_some();
    let builds = Builds::new(daemon.unwrap_or_else(default_daemon)).with_former(former);
    let builds = builds.with_logs(matches.get_one::<PathBuf>("logs").cloned());
    let mut violations = 0;
    for seed in (number("seed")..).take(number("count") as usize) {
        let draw = match matches.get_flag("paused") {
            true => Plan::draw_paused,
            false if matches.get_flag("late-stops") => Plan::draw_late_stops,
            false if matches.get_flag("crowds") => Plan::draw_crowds,
            false if matches.get_flag("planned") => Plan::draw_planned,
            false => Plan::draw,
        };
        let plan = draw(seed, length);
        let plan = if matches.get_flag("no-notices") { plan.without_notices() } else { plan };
        let plan = if has_former { plan.without_limits() } else { plan };
        let verdict = holdpoint_soak::run(&plan, &builds).await.map_err(Failure::Soak)?;
        println!("{verdict}");
        violations += verdict.findings.len() as u64;
    }
    if violations == 0 { Ok(()) } else { Err(Failure::Violated(violations)) }
}

/// Path of the daemon in the folder of this program.
fn default_daemon() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name(DAEMON)
}
