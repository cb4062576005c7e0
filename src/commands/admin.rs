//! `medlarlift admin`: reads and changes the control state through the administration API.

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

/// The change is in force, or the requested state was read.
pub const EXIT_OK: u8 = 0;
/// The server refused the request.
pub const EXIT_REFUSED: u8 = 1;
/// The command line is invalid.
pub const EXIT_USAGE: u8 = 2;
/// Another change was committed first.
pub const EXIT_CONFLICT: u8 = 3;
/// No server answered, or none has contact with a quorum of the log.
pub const EXIT_UNREACHABLE: u8 = 4;
/// The change is committed, or a withdrawal has reached the reachable VMs, but it is not in force
/// on all VMs.
pub const EXIT_PENDING: u8 = 5;

/// Output and exit code of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Exit code.
    pub code: u8,
    /// Text for standard output.
    pub output: String,
    /// Text for standard error.
    pub error: String,
}

/// Runs the command, prints its report and returns its exit code.
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

/// Runs the command and returns its report.
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
