//! The `bench policies` command: compares routing policies on simulated workloads.

use std::path::PathBuf;

use clap::ArgMatches;
use holdpoint_emulator::{
    plot::{Series, Texts, lines},
    policies::{ARMOR, ARMS, Outcome, PRAIRIE, Scenario, Setup, User, run_all},
};

use crate::{bench::number, failure::Failure, output::table};

/// Offered loads, as percentages of the engines' capacity.
const LOADS_PERCENT: [u32; 5] = [50, 80, 100, 130, 200];
/// Offered load in the scenarios with faults.
const TROUBLE_LOAD_PERCENT: u32 = 130;
const USERS: [&User; 2] = [&PRAIRIE, &ARMOR];

/// Runs all arms on both users' workloads and prints attainment and cost of each.
pub(crate) fn policies(matches: &ArgMatches) -> Result<(), Failure> {
    let seeds = number(matches, "seeds") as u64;
    let setup = |user, arm, load, scenario| Setup {
        user,
        arm,
        load,
        scenario,
        seed: 0,
        instances: number(matches, "instances"),
        seconds: number(matches, "seconds") as u64,
    };
    let mut setups = Vec::new();
    for user in USERS {
        for arm in ARMS {
            setups.extend(LOADS_PERCENT.iter().map(|it| setup(user, arm, *it, Scenario::None)));
        }
        for scenario in [Scenario::SlowStage, Scenario::FailingTenth, Scenario::SlowQuarter] {
            setups.extend(ARMS.iter().map(|it| setup(user, *it, TROUBLE_LOAD_PERCENT, scenario)));
        }
    }
    let outcomes = run_all(&setups, seeds);
    let all: Vec<(Setup, Outcome)> = setups.into_iter().zip(outcomes).collect();
    println!("{seeds} seeds from 1; attainment with its 95 % confidence interval\n");
    for user in USERS {
        print_user(user, &all);
    }
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        plot(path, &all)?;
    }
    let failed = failures(&all);
    if failed.is_empty() { Ok(()) } else { Err(Failure::Unmet(failed.join("; "))) }
}

fn is_case(it: &Setup, user: &User, load: u32, trouble: Scenario) -> bool {
    it.user.name == user.name && it.load == load && it.scenario == trouble
}

fn print_user(user: &User, all: &[(Setup, Outcome)]) {
    let troubles = [Scenario::SlowStage, Scenario::FailingTenth, Scenario::SlowQuarter];
    let cases = LOADS_PERCENT.iter().map(|it| (*it, Scenario::None));
    for (load, trouble) in cases.chain(troubles.map(|it| (TROUBLE_LOAD_PERCENT, it))) {
        println!("{} at {load} %, trouble: {trouble:?}", user.name);
        let rows = all.iter().filter(|it| is_case(&it.0, user, load, trouble)).map(row).collect();
        let header = [
            "ARM",
            "ATTAINED",
            "LOW",
            "HIGH",
            "GOODPUT/S",
            "REFUSED",
            "ENGINE MS AN ANSWER",
            "WASTED %",
            "RETRIES %",
        ];
        println!("{}\n", table(&header, rows));
    }
}

fn row((setup, it): &(Setup, Outcome)) -> Vec<String> {
    let interval = it.attainment();
    let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
    vec![
        setup.arm.name.to_owned(),
        format!("{:.4}", interval.mid),
        format!("{:.4}", interval.low),
        format!("{:.4}", interval.high),
        format!("{:.0}", it.goodput()),
        format!("{:.1} %", percent(it.refused, it.offered)),
        format!("{:.1}", it.cost()),
        format!("{:.1}", percent(it.wasted_ms, it.engine_ms)),
        format!("{:.2}", percent(it.retries, it.offered)),
    ]
}

/// Lists the expectations that the outcomes do not meet.
fn failures(all: &[(Setup, Outcome)]) -> Vec<String> {
    let mut failed = Vec::new();
    let outcome_of = |user: &User, arm: &str, load: u32, trouble: Scenario| {
        let found =
            all.iter().find(|it| is_case(&it.0, user, load, trouble) && it.0.arm.name == arm);
        found.map(|it| it.1).unwrap_or_default()
    };
    for user in USERS {
        let cases = [
            (130, Scenario::None),
            (TROUBLE_LOAD_PERCENT, Scenario::SlowStage),
            (TROUBLE_LOAD_PERCENT, Scenario::FailingTenth),
        ];
        for (load, trouble) in cases {
            let ours = outcome_of(user, ARMS[0].name, load, trouble).attainment();
            let baselines = ARMS[1..].iter().filter(|it| it.route.is_some());
            for arm in baselines {
                let theirs = outcome_of(user, arm.name, load, trouble).attainment();
                if ours.low <= theirs.high {
                    let case = format!("{} at {load} %, {trouble:?}", user.name);
                    failed.push(format!("{case}: not above {}", arm.name));
                }
            }
        }
        let goodput = |load| outcome_of(user, ARMS[0].name, load, Scenario::None).goodput();
        if goodput(200) < goodput(100) {
            failed.push(format!("{}: goodput falls from 100 to 200 %", user.name));
        }
    }
    failed
}

fn plot(path: &std::path::Path, all: &[(Setup, Outcome)]) -> Result<(), Failure> {
    let series = ARMS.iter().map(|arm| {
        let points = all
            .iter()
            .filter(|it| it.0.arm.name == arm.name && it.0.scenario == Scenario::None)
            .filter(|it| it.0.user.name == PRAIRIE.name)
            .map(|it| (f64::from(it.0.load), it.1.goodput()))
            .collect();
        Series { name: arm.name.to_owned(), points }
    });
    let series: Vec<Series> = series.collect();
    let texts = Texts {
        title: "Prairie Cellars: requests answered in time",
        x: "offered load, % of engine capacity",
        y: "answers per second",
    };
    lines(path, texts, &series).map_err(Failure::Plot)
}
