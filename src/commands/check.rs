//! `medlarlift check`: validates a settings file and reports all invalid settings.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;

use super::settings_argument;
use crate::configs::SettingsError;
use crate::configs::read_file;
use crate::configs::standin_callers::CallerSettings;
use crate::configs::standin_engine::EngineSettings;
use crate::configs::standin_service::ServiceSettings;
use crate::configs::standin_store::StoreSettings;
use crate::configs::vm::VmSettings;

/// Validates one kind of settings file.
type Check = fn(&Path) -> Result<(), SettingsError>;

/// The kinds of settings files with their checks.
const KINDS: &[(&str, Check)] = &[
    ("vm", |path| read_file(path, VmSettings::read).map(drop)),
    ("engine", |path| {
        read_file(path, EngineSettings::read).map(drop)
    }),
    ("service", |path| {
        read_file(path, ServiceSettings::read).map(drop)
    }),
    ("store", |path| {
        read_file(path, StoreSettings::read).map(drop)
    }),
    ("callers", |path| {
        read_file(path, CallerSettings::read).map(drop)
    }),
];

/// The command with its arguments.
pub fn command() -> Command {
    let kinds: Vec<&'static str> = KINDS.iter().map(|(name, _)| *name).collect();
    Command::new("check")
        .about("Report every mistake in a settings file")
        .arg(
            Arg::new("kind")
                .long("kind")
                .help("Kind of settings file")
                .value_parser(PossibleValuesParser::new(kinds))
                .default_value("vm"),
        )
        .arg(settings_argument())
}

/// Checks the file. Exits with 1 if it has invalid settings.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let kind = arguments.get_one::<String>("kind").map(String::as_str);
    let path = arguments.get_one::<PathBuf>("settings");
    let found = KINDS.iter().find(|(name, _)| Some(*name) == kind);
    let (Some((_, check)), Some(path)) = (found, path) else {
        return ExitCode::FAILURE;
    };
    match check(path) {
        Ok(()) => {
            println!("{}: settings are valid", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}
