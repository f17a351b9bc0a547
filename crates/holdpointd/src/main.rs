//! The daemon's command line: loads the settings and runs one instance until a signal requests a planned
//! stop.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgAction, Command, value_parser};
use holdpointd::{
    Instance, StopOutcome,
    events::{self, emit},
    ingress::Ingress,
    settings,
};
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use tokio::signal::unix::{SignalKind, signal};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;
/// Maximum number of buffered log lines; further lines are dropped.
const MAX_LOG_LINES: usize = 4096;
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
            Arg::new("ingress").long("ingress").action(ArgAction::SetTrue).help(
                "Serve the platform's ingress: the settings are those of an ingress instance",
            ),
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
    let _log = start_log(level);
    let path: &PathBuf = matches.get_one("settings").expect("the argument is required");
    if matches.get_flag("ingress") {
        return run_ingress(path, matches.get_flag("check"));
    }
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
        Some(StopOutcome::Drained) => codes.drained,
        Some(StopOutcome::Cut) => codes.cut,
        None => i32::from(CANNOT_START),
    };
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}

/// Runs an ingress instance on one thread until a signal requests a planned stop.
fn run_ingress(path: &Path, is_check: bool) -> ExitCode {
    let settings = match settings::load_ingress(path) {
        Ok(it) => it,
        Err(it) => {
            eprintln!("{}: {}", path.display(), it.current_context());
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if is_check {
        return ExitCode::SUCCESS;
    }
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return ExitCode::from(CANNOT_START);
    };
    let ended = runtime.block_on(async {
        let name = settings.instance.clone();
        let instance = match Ingress::start(settings) {
            Ok(it) => it,
            Err(it) => {
                emit(events::BAD_ADDRESS, "holdpointd", &format!("{it:?}"));
                return None;
            }
        };
        let mut terminate = signal(SignalKind::terminate()).ok()?;
        let mut interrupt = signal(SignalKind::interrupt()).ok()?;
        let mut reload = signal(SignalKind::hangup()).ok()?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => {
                    let outcome = settings::load_ingress(path).map(drop);
                    let text = outcome.map_or_else(|it| it.current_context().to_string(), |()| "valid".to_owned());
                    emit(events::RELOADED, &name, &text);
                }
            }
        }
        Some(instance.stop().await)
    });
    runtime.shutdown_background();
    match ended {
        Some(StopOutcome::Drained | StopOutcome::Cut) => ExitCode::SUCCESS,
        None => ExitCode::from(CANNOT_START),
    }
}

/// Runs until a signal requests a planned stop.
fn run(instance: Instance) -> Option<StopOutcome> {
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

/// Starts the log. A separate thread writes lines to standard error; when its buffer is full, lines are
/// dropped so that logging never blocks traffic. The guard flushes buffered lines when it is dropped.
fn start_log(level: LevelFilter) -> WorkerGuard {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("holdpoint")
        .build();
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_LOG_LINES)
        .finish(std::io::stderr());
    // Fails only if the process already has a logger.
    drop(WriteLogger::init(level, config, writer));
    guard
}
