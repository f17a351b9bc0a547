//! Definitions of the subcommands and their arguments.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};
use log::LevelFilter;

/// Builds the complete command-line definition.
pub(crate) fn command() -> Command {
    Command::new("holdpoint")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates holdpoint: resources, reports, checks, demonstration and benchmarks")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("instance")
                .long("instance")
                .global(true)
                .value_name("ADDRESS")
                .default_value("127.0.0.1:8101")
                .help("Address of the operator API of any instance"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .global(true)
                .value_name("TOKEN")
                .default_value("")
                .help("Operator's bearer token; taken from HOLDPOINT_TOKEN if empty"),
        )
        .arg(
            Arg::new("output")
                .short('o')
                .long("output")
                .global(true)
                .value_parser(["table", "json"])
                .default_value("table")
                .help("Output format"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .global(true)
                .value_parser(value_parser!(LevelFilter))
                .default_value("off")
                .help("Log level of instances that run in this process: off, error, warn, info, debug"),
        )
        .subcommands([get(), apply(), delete(), watch(), status(), change(), report()])
        .subcommands([
            check_settings(),
            declare(),
            domains(),
            regions(),
            rollouts(),
            explain(),
            demo(),
            soak(),
            bench(),
            completion_command(),
        ])
}

fn store() -> Arg {
    Arg::new("store")
        .long("store")
        .required(true)
        .value_name("ADDRESS")
        .help("Address of the platform's store")
}

fn declare() -> Command {
    Command::new("declare")
        .about("Write policies and trials for the platform's ingress to the platform's store")
        .arg(store())
        .arg(
            Arg::new("file")
                .short('f')
                .long("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with resources of the kinds policies and trials"),
        )
        .arg(
            Arg::new("drop")
                .long("drop")
                .value_name("KIND/NAME")
                .conflicts_with("file")
                .help("Resource to delete; quarantine/FINGERPRINT releases a quarantined request"),
        )
}

fn domains() -> Command {
    let name = || Arg::new("name").required(true).value_name("NAME").help("Failure domain");
    Command::new("domains")
        .about(
            "List failure domains on the platform with their targets, or evacuate or restore one",
        )
        .arg(store())
        .subcommand(
            Command::new("evacuate").about("Stop sending new requests to its targets").arg(name()),
        )
        .subcommand(
            Command::new("restore").about("Resume sending requests to its targets").arg(name()),
        )
}

fn regions() -> Command {
    Command::new("regions")
        .about("List regions on the platform with their instances, targets and spilled requests")
        .arg(store())
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .value_name("FILE")
                .help("JSON settings file of an instance that maps failure domains to regions"),
        )
        .arg(
            Arg::new("metrics")
                .long("metrics")
                .num_args(1..)
                .value_name("ADDRESS")
                .help("Metrics addresses of the instances, to count requests sent between regions"),
        )
}

fn rollouts() -> Command {
    let service = || Arg::new("service").required(true).value_name("SERVICE").help("Service");
    let wait = || {
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Wait until the roll-out has ended")
    };
    let start = Command::new("start")
        .about("Shift a service's traffic to a version; roll back if it performs worse")
        .arg(service())
        .arg(Arg::new("version").required(true).value_name("VERSION").help("Version"))
        .arg(
            Arg::new("within")
                .long("within")
                .value_name("TIME")
                .default_value("60s")
                .help("Time in which to complete the roll-out, such as 30s or 5m"),
        )
        .arg(wait());
    let abort = Command::new("abort")
        .about("Withdraw the order for a service; its version gets no further requests")
        .arg(service())
        .arg(wait());
    Command::new("rollouts")
        .about("List roll-outs on the platform with their states, or start or abort one")
        .arg(store())
        .subcommand(start)
        .subcommand(abort)
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show the log events of one request across all instances, with explanations")
        .arg(Arg::new("id").required(true).value_name("ID").help("Id of the request"))
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files; standard input if none is given"),
        )
}

fn soak() -> Command {
    Command::new("soak")
        .about("Inject random faults into real processes and check what callers and targets see")
        .arg(number("seed", "1", "First seed"))
        .arg(number("count", "1", "Number of consecutive seeds to run"))
        .arg(number("seconds", "6", "Seconds of fault injection for each seed"))
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("PROGRAM")
                .value_parser(value_parser!(PathBuf))
                .help("Path of the daemon; by default holdpointd in the folder of this program"),
        )
        .arg(
            Arg::new("former")
                .long("former")
                .value_name("PROGRAM")
                .value_parser(value_parser!(PathBuf))
                .help("Earlier build for half of the processes; targets then report no limits"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Folder in which to keep the output of each process"),
        )
        .arg(Arg::new("crowds").long("crowds").action(ArgAction::SetTrue).help(
            "Only crowds: most new connections go to one process, small or with a narrow link",
        ))
        .arg(Arg::new("planned").long("planned").action(ArgAction::SetTrue).conflicts_with("crowds").help(
            "Only restarts, reloads and configurations, beside crowds and small shares of processors",
        ))
        .arg(Arg::new("paused").long("paused").action(ArgAction::SetTrue).conflicts_with_all(["crowds", "planned"]).help(
            "Only pauses of sound targets and targets that decline, beside restarts, reloads and configurations",
        ))
        .arg(Arg::new("late-stops").long("late-stops").action(ArgAction::SetTrue).conflicts_with_all(["crowds", "planned", "paused"]).help(
            "Only stops of processes that are suspended while they end, with callers that connect before they send",
        ))
        .arg(
            Arg::new("no-notices")
                .long("no-notices")
                .action(clap::ArgAction::SetTrue)
                .help("Targets send no drain notices and no backoff requests"),
        )
}

/// Writes the completion script for a shell to standard output.
pub(crate) fn completion(matches: &ArgMatches) {
    let shell: Shell = *matches.get_one("shell").expect("the argument is required");
    generate(shell, &mut command(), "holdpoint", &mut std::io::stdout());
}

fn kind() -> Arg {
    Arg::new("kind").required(true).value_parser([
        "pipelines",
        "pools",
        "policies",
        "trials",
        "organisations",
        "placements",
    ])
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn plot() -> Arg {
    Arg::new("plot")
        .long("plot")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Also write an SVG plot to this file")
}

fn get() -> Command {
    Command::new("get")
        .about("Show all resources of a kind, or one of them")
        .arg(kind())
        .arg(Arg::new("name"))
}

fn apply() -> Command {
    Command::new("apply").about("Apply the resources of a file in the order listed").arg(
        Arg::new("file")
            .short('f')
            .long("file")
            .required(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf)),
    )
}

fn delete() -> Command {
    Command::new("delete")
        .about("Delete a resource")
        .arg(kind())
        .arg(Arg::new("name").required(true))
        .arg(
            Arg::new("version")
                .long("version")
                .value_parser(value_parser!(u64))
                .help("Delete only if the resource has this version"),
        )
}

fn watch() -> Command {
    Command::new("watch")
        .about("Follow the changes of a kind, one JSON event per line")
        .arg(kind())
        .arg(number("from", "0", "Version to resume after; 0 starts with all existing resources"))
}

fn status() -> Command {
    Command::new("status").about("Show each instance, its phase and its offset")
}

fn change() -> Command {
    Command::new("change").about("Show the progress of a change").arg(Arg::new("id").required(true))
}

fn report() -> Command {
    Command::new("report")
        .about("Reports over all instances")
        .subcommand_required(true)
        .subcommand(Command::new("burn").about("Error budget burn by pipeline").arg(plot()))
        .subcommand(
            Command::new("arms")
                .about("Attainment and cost of a trial's arms on the platform's ingress")
                .arg(Arg::new("name").required(true))
                .arg(store())
                .arg(
                    Arg::new("metrics")
                        .long("metrics")
                        .required(true)
                        .num_args(1..)
                        .value_name("ADDRESS")
                        .help("Metrics addresses of the instances"),
                ),
        )
        .subcommand(
            Command::new("losses")
                .about("Requests not answered in time, by reason, from logs")
                .arg(
                    Arg::new("files")
                        .required(true)
                        .value_name("LOG")
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf))
                        .help("Logs of all instances; each line starts with a time in seconds"),
                )
                .arg(number("span", "4", "Length of an aggregation interval in seconds"))
                .arg(plot()),
        )
        .subcommand(
            Command::new("trial")
                .about("Attainment and cost of a trial's arms")
                .arg(Arg::new("name").required(true))
                .arg(plot()),
        )
}

fn check_settings() -> Command {
    Command::new("check-settings").about("Check a settings file and list every error").arg(
        Arg::new("file").required(true).value_name("FILE").value_parser(value_parser!(PathBuf)),
    )
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run simulated back ends and instances in this process, with the pipelines of both users")
        .arg(number("instances", "3", "Number of instances"))
        .arg(number("requests", "1500", "Number of requests to send with --check"))
        .arg(number("seed", "1", "Random seed"))
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Send a fixed number of requests, verify the answers, and exit"),
        )
}

fn bench() -> Command {
    Command::new("bench")
        .about("Run a benchmark")
        .subcommand_required(true)
        .subcommand(
            Command::new("overhead")
                .about("Compare calls through holdpoint with the same calls directly to the target")
                .arg(number("requests", "2000", "Requests per measurement")),
        )
        .subcommand(
            Command::new("capacity")
                .about("Measure growth of state, time and bytes with load, for docs/CAPACITY.md")
                .arg(number("seconds", "5", "Seconds to observe idle instances"))
                .arg(
                    Arg::new("running")
                        .long("running")
                        .action(ArgAction::SetTrue)
                        .help("Measure running instances only; skip the in-memory measurements"),
                ),
        )
        .subcommand(
            Command::new("policies")
                .about(
                    "Compare routing and admission with baselines and a bound, in simulated time",
                )
                .arg(number("seeds", "5", "Number of seeds, starting at 1"))
                .arg(number("seconds", "20", "Seconds during which requests arrive"))
                .arg(number("instances", "6", "Number of entry instances"))
                .arg(plot()),
        )
        .subcommand(
            Command::new("control")
                .about("Measure changes, draining targets and claims on running instances")
                .arg(number("instances", "8", "Number of instances for the changes"))
                .arg(number("changes", "100", "Number of changes"))
                .arg(number("seconds", "4", "Seconds per rate of claims")),
        )
        .subcommand(
            Command::new("faults")
                .about("Run the fault matrix: each fault alone and in pairs, under load")
                .arg(number("requests", "250", "Requests per cell"))
                .arg(number("seed", "1", "Random seed of load and faults"))
                .arg(
                    Arg::new("only")
                        .long("only")
                        .help("Run only cells whose name contains this text"),
                ),
        )
}

fn completion_command() -> Command {
    Command::new("completion")
        .about("Write a shell completion script to standard output")
        .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)))
}
