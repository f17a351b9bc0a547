//! The daemon: one instance, from its settings until a planned stop.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, Command, value_parser};
use holdpointd::{
    Ended, Instance,
    events::{self, emit},
    settings,
};
use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;
/// Exit code for an instance that cannot start.
const CANNOT_START: u8 = 4;

fn command() -> Command {
    Command::new("holdpointd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves multi-stage model pipelines: one instance")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings, JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .default_value("info")
                .value_parser(value_parser!(LevelFilter))
                .help("off, error, warn, info, debug or trace"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let level = matches.get_one("log-level").copied().unwrap_or(LevelFilter::Info);
    start_log(level);
    let path: &PathBuf = matches.get_one("settings").expect("the argument is required");
    let settings = match settings::load(path) {
        Ok(it) => it,
        Err(it) => {
            eprintln!("{}: {}", path.display(), it.current_context());
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    let codes = settings.exit_codes.clone();
    let instance = match Instance::start(settings) {
        Ok(it) => it,
        Err(it) => {
            emit(events::BAD_ADDRESS, "holdpointd", &format!("{it:?}"));
            return ExitCode::from(CANNOT_START);
        }
    };
    let code = match run(instance) {
        Some(Ended::Drained) => codes.drained,
        Some(Ended::Cut) => codes.cut,
        None => i32::from(CANNOT_START),
    };
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}

/// Runs until a signal asks for a planned stop.
fn run(instance: Instance) -> Option<Ended> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().ok()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).ok()?;
        let mut interrupt = signal(SignalKind::interrupt()).ok()?;
        tokio::select! {
            _ = terminate.recv() => (),
            _ = interrupt.recv() => (),
        }
        Some(instance.stop().await)
    })
}

fn start_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("holdpoint")
        .build();
    // Only a second logger in the same process fails here.
    drop(TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Auto));
}
