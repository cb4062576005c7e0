//! `medlarlift losses` and `medlarlift explain`: analyze the structured logs of several processes.

use std::fs::File;
use std::io;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::losses::AdapterHistories;
use crate::losses::LogLines;
use crate::losses::RequestLine;
use crate::losses::read;
use crate::losses::tables;

/// Time before the arrival of a request from which orders for its adapter are shown.
const HISTORY_WINDOW_MS: u64 = 5_000;

/// The command that counts lost and late requests.
pub fn losses_command() -> Command {
    Command::new("losses")
        .about("Count lost and late requests by reason, adapter, route, account and second")
        .arg(logs_argument())
}

/// The command that shows the outcome of one request and the orders for its adapter.
pub fn explain_command() -> Command {
    let request = Arg::new("request")
        .long("request")
        .value_name("ID")
        .help("Id that the caller gave")
        .required(true);
    Command::new("explain")
        .about("Show what became of a request and of its adapter")
        .arg(request)
        .arg(logs_argument())
}

fn logs_argument() -> Arg {
    Arg::new("logs")
        .value_name("LOG")
        .help("Structured logs, one or more files")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
}

/// Prints the tables. Exits with 1 if a log cannot be read.
pub fn losses(arguments: &ArgMatches) -> ExitCode {
    with_log_lines(arguments, |lines| {
        for table in tables(lines) {
            println!("{table}");
        }
        println!(
            "{} requests, {} orders, {} other lines; {} damaged, {} left out by the processes",
            lines.requests.len(),
            lines.orders.len(),
            lines.other,
            lines.malformed,
            lines.left_out
        );
        ExitCode::SUCCESS
    })
}

/// Prints the request and the orders for its adapter. Exits with 1 if there is no such request.
pub fn explain(arguments: &ArgMatches) -> ExitCode {
    let id = arguments.get_one::<String>("request");
    let id = id.map_or("", String::as_str);
    with_log_lines(arguments, |lines| {
        let has_id = |request: &&RequestLine| request.request_id.as_deref() == Some(id);
        let found: Vec<&RequestLine> = lines.requests.iter().filter(has_id).collect();
        if found.is_empty() {
            eprintln!("explain: request: no line of {id:?} in these logs");
            return ExitCode::FAILURE;
        }
        let histories = AdapterHistories::new(&lines.orders);
        for request in found {
            print_request(request, &histories);
        }
        ExitCode::SUCCESS
    })
}

fn print_request(request: &RequestLine, histories: &AdapterHistories<'_>) {
    let arrived = request.arrived_unix_ms();
    let model = request.model.as_ref();
    let state = histories.state(model, arrived, request.at_unix_ms);
    println!(
        "arrived at {arrived}, status {}, reason {}, waited {} ms, first byte after {} ms of {} ms, \
         ended after {} ms; adapter: {}",
        request.status,
        request.reason.as_deref().unwrap_or("none"),
        request.waited_ms,
        request.first_ms,
        request.target_ms,
        request.total_ms,
        state.name()
    );
    let history = model.map_or(&[][..], |model| histories.history(model));
    let nearby_orders = history.iter().filter(|order| {
        let from = arrived.saturating_sub(HISTORY_WINDOW_MS);
        (from..=request.at_unix_ms).contains(&order.at_unix_ms)
    });
    for order in nearby_orders {
        let after_ms = order.at_unix_ms as i64 - arrived as i64;
        let action = if order.load { "load" } else { "drop" };
        println!(
            "  {after_ms:+} ms: {action} on {} {}",
            order.server, order.outcome
        );
    }
}

fn with_log_lines(arguments: &ArgMatches, show: impl Fn(&LogLines) -> ExitCode) -> ExitCode {
    let mut lines = LogLines::default();
    for path in arguments.get_many::<PathBuf>("logs").into_iter().flatten() {
        if let Err(error) = add(path, &mut lines) {
            eprintln!("log: {}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    show(&lines)
}

fn add(path: &PathBuf, lines: &mut LogLines) -> io::Result<()> {
    read(BufReader::new(File::open(path)?), lines)
}
