//! Command line of the `medlarlift` binary.

use std::process::ExitCode;

use clap::Command;
use medlarlift::commands;
use simplelog::ColorChoice;
use simplelog::ConfigBuilder;
use simplelog::LevelFilter;
use simplelog::TermLogger;
use simplelog::TerminalMode;

fn cli() -> Command {
    Command::new("medlarlift")
        .about("A serving layer for very many LoRA adapters")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(commands::admin::command())
        .subcommand(commands::ask::command())
        .subcommand(commands::check::command())
        .subcommand(commands::losses::explain_command())
        .subcommand(commands::losses::losses_command())
        .subcommand(commands::serve::command())
        .subcommand(commands::standin::command())
}

fn init_logger() {
    // Other crates are filtered out: they log each call at the levels at which this crate logs
    // changes.
    let config = ConfigBuilder::new()
        .add_filter_allow_str("medlarlift")
        .build();
    let choice = ColorChoice::Never;
    // Initialization fails only if a logger is set already, which is harmless.
    let _ = TermLogger::init(LevelFilter::Trace, config, TerminalMode::Stderr, choice);
    log::set_max_level(log::LevelFilter::Info);
}

#[tokio::main]
async fn main() -> ExitCode {
    init_logger();
    let matches = cli().get_matches();
    match matches.subcommand() {
        Some(("ask", arguments)) => commands::ask::run(arguments).await,
        Some(("admin", arguments)) => commands::admin::run(arguments).await,
        Some(("serve", arguments)) => commands::serve::run(arguments).await,
        Some(("check", arguments)) => commands::check::run(arguments),
        Some(("explain", arguments)) => commands::losses::explain(arguments),
        Some(("losses", arguments)) => commands::losses::losses(arguments),
        Some(("standin", arguments)) => commands::standin::run(arguments).await,
        _ => ExitCode::FAILURE,
    }
}
