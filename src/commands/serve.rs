//! `medlarlift serve`: runs one VM of the system.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use clap::Command;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::settings_argument;
use crate::configs::read_file;
use crate::configs::vm::VmSettings;
use crate::node::Vm;

/// The command with its arguments.
pub fn command() -> Command {
    Command::new("serve")
        .about("Run one VM of the system")
        .arg(settings_argument())
}

/// Runs the VM until SIGTERM or SIGINT. The first signal drains the VM; the second one ends the
/// process immediately.
pub async fn run(arguments: &ArgMatches) -> ExitCode {
    let path: &PathBuf = arguments
        .get_one("settings")
        .expect("clap requires the argument");
    let settings = match read_file(path, VmSettings::read) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(2);
        }
    };
    log::set_max_level(settings.log_level);
    let vm = match Vm::open(settings).await {
        Ok(vm) => vm,
        Err(error) => {
            eprintln!("medlarlift serve: {error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::select! {
        () = stop_signal() => {}
        () = vm.failed() => {
            log::error!("vm: the replicated log failed; stopping");
            return ExitCode::FAILURE;
        }
    }
    tokio::select! {
        finished = async { vm.drain().await.close().await } => {
            if finished { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        () = stop_signal() => {
            log::warn!("vm: second stop signal received; exiting before the drain is complete");
            ExitCode::FAILURE
        }
    }
}

async fn stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("a signal handler can be set");
    let mut interrupt = signal(SignalKind::interrupt()).expect("a signal handler can be set");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
