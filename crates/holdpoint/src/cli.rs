//! The commands and their arguments.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};
use log::LevelFilter;

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("holdpoint")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates holdpoint: resources, reports, checks, demonstration and benches")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("instance")
                .long("instance")
                .global(true)
                .value_name("ADDRESS")
                .default_value("127.0.0.1:8101")
                .help("Operators' address of any instance"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .global(true)
                .value_name("TOKEN")
                .default_value("")
                .help("Operator's bearer token; HOLDPOINT_TOKEN where empty"),
        )
        .arg(
            Arg::new("output")
                .short('o')
                .long("output")
                .global(true)
                .value_parser(["table", "json"])
                .default_value("table")
                .help("Form of the output"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .global(true)
                .value_parser(value_parser!(LevelFilter))
                .default_value("off")
                .help("Log of instances in this process: off, error, warn, info, debug"),
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
        .about("Declare policies and trials for the platform's ingress, in the platform's store")
        .arg(store())
        .arg(
            Arg::new("file")
                .short('f')
                .long("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Resources of the kinds policies and trials"),
        )
        .arg(
            Arg::new("drop")
                .long("drop")
                .value_name("KIND/NAME")
                .conflicts_with("file")
                .help("Drop this resource instead; quarantine/FINGERPRINT releases a request"),
        )
}

fn domains() -> Command {
    let name = || Arg::new("name").required(true).value_name("NAME").help("Failure domain");
    Command::new("domains")
        .about(
            "List failure domains on the platform with their targets, or evacuate or restore one",
        )
        .arg(store())
        .subcommand(Command::new("evacuate").about("Give its targets no new work").arg(name()))
        .subcommand(Command::new("restore").about("Give its targets work again").arg(name()))
}

fn regions() -> Command {
    Command::new("regions")
        .about("List regions on the platform with their instances, targets and what is sent there")
        .arg(store())
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .value_name("FILE")
                .help("Settings of an instance, as JSON, which name the regions"),
        )
        .arg(
            Arg::new("metrics")
                .long("metrics")
                .num_args(1..)
                .value_name("ADDRESS")
                .help("Metrics' addresses of the instances, for what was sent between regions"),
        )
}

fn rollouts() -> Command {
    let service = || Arg::new("service").required(true).value_name("SERVICE").help("Service");
    let wait =
        || Arg::new("wait").long("wait").action(ArgAction::SetTrue).help("Wait until it has ended");
    let start = Command::new("start")
        .about("Move a service's traffic to targets of a version, unless it is worse")
        .arg(service())
        .arg(Arg::new("version").required(true).value_name("VERSION").help("Version"))
        .arg(
            Arg::new("within")
                .long("within")
                .value_name("TIME")
                .default_value("60s")
                .help("Time for it, as 30s or 5m"),
        )
        .arg(wait());
    let abort = Command::new("abort")
        .about("Withdraw the order for a service; its version gets nothing more")
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
        .about("Tells the story of one request from the logs of all instances")
        .arg(Arg::new("id").required(true).value_name("ID").help("Id of the request"))
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs; standard input where none is named"),
        )
}

fn soak() -> Command {
    Command::new("soak")
        .about("Strike real processes with random faults and check what callers and targets see")
        .arg(number("seed", "1", "First seed"))
        .arg(number("count", "1", "Seeds, one after the other"))
        .arg(number("seconds", "6", "How long faults are made for each seed"))
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("PROGRAM")
                .value_parser(value_parser!(PathBuf))
                .help("The daemon; holdpointd beside this program where absent"),
        )
        .arg(
            Arg::new("former")
                .long("former")
                .value_name("PROGRAM")
                .value_parser(value_parser!(PathBuf))
                .help("A former build of it, which half of the processes run; targets name no limits then"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Keeps there what each process writes"),
        )
        .arg(
            Arg::new("no-notices")
                .long("no-notices")
                .action(clap::ArgAction::SetTrue)
                .help("Has no target say that it leaves, or ask for a back-off, as in earlier soaks"),
        )
}

/// Writes the completion of a shell to standard output.
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
        .help("Also write a plot, as SVG")
}

fn get() -> Command {
    Command::new("get").about("Show resources of a kind, or one").arg(kind()).arg(Arg::new("name"))
}

fn apply() -> Command {
    Command::new("apply").about("Apply the resources of a file, in its order").arg(
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
                .help("Delete only this version"),
        )
}

fn watch() -> Command {
    Command::new("watch")
        .about("Follow the changes of a kind, one JSON event a line")
        .arg(kind())
        .arg(number("from", "0", "Version to go on from; 0 begins with all that exists"))
}

fn status() -> Command {
    Command::new("status").about("Show each instance, its phase and its offset")
}

fn change() -> Command {
    Command::new("change")
        .about("Show how far a change has come")
        .arg(Arg::new("id").required(true))
}

fn report() -> Command {
    Command::new("report")
        .about("Reports over all instances")
        .subcommand_required(true)
        .subcommand(Command::new("burn").about("Service-level burn by pipeline").arg(plot()))
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
                        .help("Metrics' addresses of the instances"),
                ),
        )
        .subcommand(
            Command::new("losses")
                .about("Where answers in time were lost, from the logs of a day")
                .arg(
                    Arg::new("files")
                        .required(true)
                        .value_name("LOG")
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf))
                        .help("Logs of all instances, with seconds at the start of each line"),
                )
                .arg(number("span", "4", "Seconds that are summed up together"))
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
    Command::new("check-settings").about("Check a settings file and name every mistake").arg(
        Arg::new("file").required(true).value_name("FILE").value_parser(value_parser!(PathBuf)),
    )
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run stand-ins and instances in this process, with the pipelines of both users")
        .arg(number("instances", "3", "Instances"))
        .arg(number("requests", "1500", "Requests of the check"))
        .arg(number("seed", "1", "Seed of the check"))
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Send a bounded load, compare answers with what ran, and exit"),
        )
}

fn bench() -> Command {
    Command::new("bench")
        .about("Measure")
        .subcommand_required(true)
        .subcommand(
            Command::new("overhead")
                .about("Calls through holdpoint against the same calls straight to the target")
                .arg(number("requests", "2000", "Requests a measurement")),
        )
        .subcommand(
            Command::new("capacity")
                .about("Slopes of state, time and bytes, for docs/CAPACITY.md")
                .arg(number("seconds", "5", "Seconds that idle instances are counted for"))
                .arg(
                    Arg::new("running")
                        .long("running")
                        .action(ArgAction::SetTrue)
                        .help("Running instances only, without the slopes of pure code"),
                ),
        )
        .subcommand(
            Command::new("policies")
                .about("Routes and admission against baselines and a bound, in manual time")
                .arg(number("seeds", "5", "Seeds, from 1"))
                .arg(number("seconds", "20", "Seconds of arrivals"))
                .arg(number("instances", "6", "Entry instances"))
                .arg(plot()),
        )
        .subcommand(
            Command::new("control")
                .about("Changes, leaving targets and claims on running instances")
                .arg(number("instances", "8", "Instances for changes"))
                .arg(number("changes", "100", "Changes"))
                .arg(number("seconds", "4", "Seconds for each rate of claims")),
        )
        .subcommand(
            Command::new("faults")
                .about("The fault matrix: each fault alone and in pairs, under load")
                .arg(number("requests", "250", "Requests a cell"))
                .arg(number("seed", "1", "Seed of load and faults"))
                .arg(Arg::new("only").long("only").help("Only cells with this fault")),
        )
}

fn completion_command() -> Command {
    Command::new("completion")
        .about("Write a shell's completion to standard output")
        .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)))
}
