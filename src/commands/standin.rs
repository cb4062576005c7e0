//! `medlarlift standin`: runs one stand-in process.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::configs::SettingsError;
use crate::configs::read_file;
use crate::configs::standin_callers::CallerSettings;
use crate::configs::standin_engine::EngineSettings;
use crate::configs::standin_service::ServiceSettings;
use crate::configs::standin_store::StoreSettings;
use crate::standin::callers;
use crate::standin::engine::RunningEngine;
use crate::standin::service::RunningService;
use crate::standin::store::RunningStore;

/// Why a stand-in cannot run.
#[derive(Debug, Snafu)]
enum StandinError {
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    #[snafu(display("cannot listen on the address in the settings: {source}"))]
    Bind { source: io::Error },
    #[snafu(display("cannot handle signals: {source}"))]
    Signals { source: io::Error },
}

type Result<T, E = StandinError> = std::result::Result<T, E>;

/// The command with its arguments.
pub fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings file (YAML)")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let kind = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(settings.clone())
    };
    Command::new("standin")
        .about("Run a stand-in for a system around Medlarlift")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(kind("engine", "Run an inference engine stand-in"))
        .subcommand(kind("service", "Run a plain service stand-in"))
        .subcommand(kind("store", "Run a weight store stand-in"))
        .subcommand(
            kind("callers", "Send a seeded load and report how it was served")
                .arg(
                    Arg::new("json")
                        .long("json")
                        .help("Print the report as JSON")
                        .action(ArgAction::SetTrue),
                )
                .arg(
                    Arg::new("seed")
                        .long("seed")
                        .value_name("N")
                        .help("Use this seed instead of the one in the settings")
                        .value_parser(value_parser!(u64)),
                ),
        )
}

/// Runs the stand-in until it ends or gets SIGTERM or SIGINT.
pub async fn run(arguments: &ArgMatches) -> ExitCode {
    let Some((kind, arguments)) = arguments.subcommand() else {
        return ExitCode::FAILURE;
    };
    let Some(path) = arguments.get_one::<PathBuf>("settings") else {
        return ExitCode::FAILURE;
    };
    let result = match kind {
        "engine" => run_engine(path).await,
        "service" => run_service(path).await,
        "store" => run_store(path).await,
        "callers" => run_callers(path, arguments).await,
        _ => return ExitCode::FAILURE,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

async fn run_engine(path: &Path) -> Result<()> {
    let settings = read_file(path, EngineSettings::read).context(SettingsSnafu)?;
    let mut stop = StopSignals::new()?;
    let engine = RunningEngine::bind(settings).await.context(BindSnafu)?;
    log::info!("engine: listening on {}", engine.address());
    stop.wait().await;
    engine.leave().await;
    print_counts(&engine.counts());
    Ok(())
}

async fn run_service(path: &Path) -> Result<()> {
    let settings = read_file(path, ServiceSettings::read).context(SettingsSnafu)?;
    let mut stop = StopSignals::new()?;
    let service = RunningService::bind(settings).await.context(BindSnafu)?;
    log::info!("service: listening on {}", service.address());
    stop.wait().await;
    service.leave().await;
    print_counts(&service.counts());
    Ok(())
}

async fn run_store(path: &Path) -> Result<()> {
    let settings = read_file(path, StoreSettings::read).context(SettingsSnafu)?;
    let mut stop = StopSignals::new()?;
    let store = RunningStore::bind(settings).await.context(BindSnafu)?;
    log::info!("store: listening on {}", store.address());
    stop.wait().await;
    print_counts(&store.counts());
    Ok(())
}

/// Runs the load tool to its end, or until a signal stops the process.
async fn run_callers(path: &Path, arguments: &ArgMatches) -> Result<()> {
    let mut settings = read_file(path, CallerSettings::read).context(SettingsSnafu)?;
    if let Some(seed) = arguments.get_one::<u64>("seed") {
        settings.seed = *seed;
    }
    let report = callers::run(settings).await;
    if arguments.get_flag("json") {
        print_counts(&report);
    } else {
        print!("{}", report.table());
    }
    Ok(())
}

/// Prints counters as one line of JSON.
fn print_counts(counts: &impl Serialize) {
    if let Ok(line) = serde_json::to_string(counts) {
        println!("{line}");
    }
}

/// Signals that ask a process to stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context(SignalsSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(SignalsSnafu)?,
        })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
