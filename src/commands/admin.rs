//! `medlarlift admin`: changes and reads the control state over the administration API.

mod args;
mod client;
mod render;
mod requests;

use std::process::ExitCode;

use clap::ArgMatches;
use serde_json::Value;

pub use args::command;

use crate::commands::admin::client::Client;
use crate::commands::admin::client::Failure;

/// The change is in force or the answer was read.
pub const EXIT_OK: u8 = 0;
/// The server refused the request.
pub const EXIT_REFUSED: u8 = 1;
/// The command line is wrong.
pub const EXIT_USAGE: u8 = 2;
/// Another change came first.
pub const EXIT_CONFLICT: u8 = 3;
/// No server answered, or none reaches the log's quorum.
pub const EXIT_UNREACHABLE: u8 = 4;
/// The change is part of the log, or a withdrawal of the reachable VMs, but not in force everywhere.
pub const EXIT_PENDING: u8 = 5;

/// What a run prints and the exit code that it ends with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Exit code.
    pub code: u8,
    /// Text for standard output.
    pub output: String,
    /// Text for standard error.
    pub error: String,
}

/// Runs the command, prints its report and gives its exit code.
pub async fn run(matches: &ArgMatches) -> ExitCode {
    let report = execute(matches).await;
    if !report.output.is_empty() {
        println!("{}", report.output.trim_end());
    }
    if !report.error.is_empty() {
        eprintln!("{}", report.error.trim_end());
    }
    ExitCode::from(report.code)
}

/// Runs the command and gives its report.
pub async fn execute(matches: &ArgMatches) -> Report {
    let answer = match Client::from_matches(matches) {
        Ok(client) => requests::send(&client, matches).await,
        Err(failure) => Err(failure),
    };
    let as_json = matches.get_flag(args::JSON);
    match answer {
        Ok(value) => success(&value, as_json),
        Err(failure) => failed(&failure, as_json),
    }
}

fn success(value: &Value, as_json: bool) -> Report {
    let output = match as_json {
        true => format!("{value:#}"),
        false => render::text(value),
    };
    let code = match value.get("status").and_then(Value::as_str) {
        Some("committed" | "local") => EXIT_PENDING,
        _ => EXIT_OK,
    };
    Report {
        code,
        output,
        error: String::new(),
    }
}

fn failed(failure: &Failure, as_json: bool) -> Report {
    let error = match failure {
        Failure::Refused(body) | Failure::Conflict(body) if as_json => format!("{body:#}"),
        Failure::Refused(body) | Failure::Conflict(body) => render::error(body),
        Failure::Usage(message) | Failure::Unreachable(message) => message.clone(),
    };
    Report {
        code: failure.exit_code(),
        output: String::new(),
        error,
    }
}
