//! `medlarlift standin`: runs one stand-in process.

use std::fs;
use std::io;
use std::io::Write;
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

use super::settings_argument;
use crate::configs::SettingsError;
use crate::configs::read_file;
use crate::configs::standin_callers::CallerSettings;
use crate::configs::standin_engine::EngineSettings;
use crate::configs::standin_service::ServiceSettings;
use crate::configs::standin_store::StoreSettings;
use crate::standin::callers;
use crate::standin::callers_plan;
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
    #[snafu(display("cannot write report {}: {source}", path.display()))]
    Report { path: PathBuf, source: io::Error },
    #[snafu(display("cannot write the output: {source}"))]
    Output { source: io::Error },
    #[snafu(display("cannot handle signals: {source}"))]
    Signals { source: io::Error },
}

type Result<T, E = StandinError> = std::result::Result<T, E>;

/// The command with its arguments.
pub fn command() -> Command {
    let settings = settings_argument();
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
        .subcommand(with_caller_options(kind(
            "callers",
            "Send a seeded load and report how it was served",
        )))
}

fn with_caller_options(command: Command) -> Command {
    let flag = |name: &'static str, help: &'static str| {
        let flag = Arg::new(name).long(name).help(help);
        flag.action(ArgAction::SetTrue)
    };
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .help("Use this seed instead of the one in the settings")
        .value_parser(value_parser!(u64));
    let report = Arg::new("report")
        .long("report")
        .value_name("FILE")
        .help("Also write the report to this file as JSON")
        .value_parser(value_parser!(PathBuf));
    command
        .arg(flag("json", "Print the report as JSON"))
        .arg(flag(
            "plan",
            "Print the planned requests as JSON lines and send nothing",
        ))
        .arg(seed)
        .arg(report)
}

/// Runs the stand-in until it finishes or receives SIGTERM or SIGINT.
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
    engine.drain().await;
    print_line(&engine.counts())
}

async fn run_service(path: &Path) -> Result<()> {
    let settings = read_file(path, ServiceSettings::read).context(SettingsSnafu)?;
    let mut stop = StopSignals::new()?;
    let service = RunningService::bind(settings).await.context(BindSnafu)?;
    log::info!("service: listening on {}", service.address());
    stop.wait().await;
    service.drain().await;
    print_line(&service.counts())
}

async fn run_store(path: &Path) -> Result<()> {
    let settings = read_file(path, StoreSettings::read).context(SettingsSnafu)?;
    let mut stop = StopSignals::new()?;
    let store = RunningStore::bind(settings).await.context(BindSnafu)?;
    log::info!("store: listening on {}", store.address());
    stop.wait().await;
    print_line(&store.counts())
}

/// Runs the load tool until it finishes.
async fn run_callers(path: &Path, arguments: &ArgMatches) -> Result<()> {
    let mut settings = read_file(path, CallerSettings::read).context(SettingsSnafu)?;
    if let Some(seed) = arguments.get_one::<u64>("seed") {
        settings.seed = *seed;
    }
    if arguments.get_flag("plan") {
        return callers_plan::plan(&settings)
            .iter()
            .try_for_each(print_line);
    }
    let report = callers::run(settings).await;
    if let Some(path) = arguments.get_one::<PathBuf>("report") {
        let text = serde_json::to_string(&report).unwrap_or_default();
        fs::write(path, text).context(ReportSnafu { path })?;
    }
    if arguments.get_flag("json") {
        print_line(&report)
    } else {
        write!(io::stdout(), "{}", report.table()).context(OutputSnafu)
    }
}

/// Prints one line of JSON.
fn print_line(value: &impl Serialize) -> Result<()> {
    let line = serde_json::to_string(value).unwrap_or_default();
    writeln!(io::stdout(), "{line}").context(OutputSnafu)
}

/// Signals that stop a stand-in.
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
