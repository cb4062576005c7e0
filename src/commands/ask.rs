//! `medlarlift ask`: sends a caller's request from the command line.

use std::fs;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use http::StatusCode;
use rand::RngExt;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;

use crate::standin::caller_api;
use crate::standin::caller_api::ApiError;
use crate::standin::caller_api::Completion;
use crate::standin::client::Call;
use crate::standin::client::ClientError;
use crate::standin::client::HttpClient;
use crate::standin::client::read_reply;
use crate::standin::events::EventReader;
use crate::types::Clock;

/// Exit code if the request was refused and did not run.
pub const EXIT_NOT_RUN: u8 = 3;

/// Exit code if the request failed and may have run.
pub const EXIT_UNKNOWN: u8 = 4;

/// Exit code if no complete response was received.
pub const EXIT_NO_RESPONSE: u8 = 5;

/// Exit code if the request ran and failed.
pub const EXIT_RAN: u8 = 6;

/// Number of attempts to resume an interrupted stream.
const STREAM_RESUMES: u32 = 3;

/// Why a request has no complete answer.
#[derive(Debug, Snafu)]
enum AskError {
    #[snafu(display("cannot read key file {}: {source}", path.display()))]
    KeyFile { path: PathBuf, source: io::Error },
    #[snafu(display("{source}"))]
    NoResponse { source: ClientError },
    #[snafu(display("stream broke off after {tokens} tokens"))]
    BrokenStream { tokens: u64 },
    #[snafu(display("{}", describe(error)))]
    Api { error: ApiError },
    #[snafu(display("cannot write the answer: {source}"))]
    Output { source: io::Error },
}

type Result<T, E = AskError> = std::result::Result<T, E>;

fn describe(error: &ApiError) -> String {
    let outcome = match error.run.as_str() {
        "not_run" => "refused, the request did not run",
        "ran" => "failed, the request ran",
        _ => "failed, it is not known whether the request ran",
    };
    let retry = match error.retry_after_ms {
        Some(retry_after_ms) => format!("; retry after {retry_after_ms} ms"),
        None => String::new(),
    };
    format!("{outcome}: {} ({}){retry}", error.message, error.code)
}

impl AskError {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::KeyFile { .. } | Self::Output { .. } => ExitCode::FAILURE,
            Self::NoResponse { .. } | Self::BrokenStream { .. } => EXIT_NO_RESPONSE.into(),
            Self::Api { error } => match error.run.as_str() {
                "not_run" => EXIT_NOT_RUN.into(),
                "ran" => EXIT_RAN.into(),
                _ => EXIT_UNKNOWN.into(),
            },
        }
    }
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).required(true)
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn completion(name: &'static str, about: &'static str, deadline_ms: &'static str) -> Command {
    let deadline = number(
        "deadline-ms",
        "Time until the deadline in milliseconds",
        deadline_ms,
    );
    Command::new(name)
        .about(about)
        .arg(text("model", "Model, as base:adapter@version"))
        .arg(text("prompt", "Prompt"))
        .arg(number("max-tokens", "Most output tokens", "64"))
        .arg(deadline)
}

fn job(name: &'static str, about: &'static str) -> Command {
    let id = Arg::new("job").value_name("JOB").help("Id of the job");
    Command::new(name).about(about).arg(id.required(true))
}

/// The command with its arguments.
pub fn command() -> Command {
    let server = Arg::new("server")
        .long("server")
        .value_name("IP:PORT")
        .help("Caller address of a VM")
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    let key_file = Arg::new("key-file")
        .long("key-file")
        .value_name("FILE")
        .help("File that holds the key; without one no key is sent")
        .value_parser(value_parser!(PathBuf));
    let retry_key = text("idempotency-key", "Same for every attempt at this request");
    let patient = Command::new("patient")
        .about("Patient work")
        .subcommand_required(true)
        .subcommand(
            completion("submit", "Submit a job", "3600000").arg(retry_key.clone().required(false)),
        )
        .subcommand(job("status", "Print the status of a job"))
        .subcommand(job("result", "Print the result of a job"))
        .subcommand(job("cancel", "Cancel a job"));
    let order = Command::new("order")
        .about("Call a plain service at most once")
        .arg(text("path", "Path, such as /services/records/orders"))
        .arg(text("body", "JSON body").value_parser(parse_json))
        .arg(retry_key);
    Command::new("ask")
        .about("Send a request as a caller")
        .after_help(
            "Exit codes: 0 answered, 3 refused and not run, 4 unknown whether it ran, 5 no whole \
             response, 6 ran and failed",
        )
        .arg(server)
        .arg(key_file)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(completion(
            "live",
            "Urgent request, answered as a whole",
            "30000",
        ))
        .subcommand(completion(
            "streamed",
            "Urgent request, answered as a stream",
            "30000",
        ))
        .subcommand(patient)
        .subcommand(order)
}

fn parse_json(text: &str) -> std::result::Result<Value, String> {
    serde_json::from_str(text).map_err(|error| format!("body must be JSON: {error}"))
}

/// Sends the request and prints its outcome.
pub async fn run(arguments: &ArgMatches) -> ExitCode {
    match ask(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

/// A caller's key and the VM that its requests are sent to.
struct Caller {
    client: HttpClient,
    vm: SocketAddr,
    key: String,
}

async fn ask(arguments: &ArgMatches) -> Result<()> {
    let Some(vm) = arguments.get_one::<SocketAddr>("server").copied() else {
        return Ok(());
    };
    let key = match arguments.get_one::<PathBuf>("key-file") {
        Some(path) => fs::read_to_string(path).context(KeyFileSnafu { path })?,
        None => String::new(),
    };
    let caller = Caller {
        client: HttpClient::new(),
        vm,
        key: key.trim().to_owned(),
    };
    match arguments.subcommand() {
        Some(("live", arguments)) => caller.live(arguments).await,
        Some(("streamed", arguments)) => caller.streamed(arguments).await,
        Some(("patient", arguments)) => caller.patient(arguments).await,
        Some(("order", arguments)) => caller.order(arguments).await,
        _ => Ok(()),
    }
}

fn string<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map_or("", String::as_str)
}

fn completion_of(arguments: &ArgMatches, stream: bool) -> Completion<'_> {
    let number = |name| arguments.get_one::<u64>(name).copied().unwrap_or_default();
    Completion {
        model: string(arguments, "model"),
        prompt: string(arguments, "prompt"),
        max_tokens: number("max-tokens"),
        stream,
        deadline_unix_ms: Clock::start().unix().plus(number("deadline-ms")).0,
    }
}

fn new_id() -> String {
    format!("ask-{:016x}", rand::rng().random::<u64>())
}

fn print_json(value: &Value) -> Result<()> {
    let line = serde_json::to_string_pretty(value).unwrap_or_default();
    writeln!(io::stdout(), "{line}").context(OutputSnafu)
}

impl Caller {
    async fn send(&self, call: Call) -> Result<Value> {
        let reply = self.client.send(call).await.context(NoResponseSnafu)?;
        match caller_api::error_of(&reply) {
            Some(error) => ApiSnafu { error }.fail(),
            None => Ok(reply.value()),
        }
    }

    async fn live(&self, arguments: &ArgMatches) -> Result<()> {
        let request_id = new_id();
        eprintln!("request {request_id}");
        let completion = completion_of(arguments, false);
        let call = completion.urgent(self.vm, &self.key, &request_id);
        let answer = self.send(call).await?;
        match caller_api::completion_text(&answer) {
            Some(text) => writeln!(io::stdout(), "{text}").context(OutputSnafu),
            None => print_json(&answer),
        }
    }

    /// Prints a stream while it is received, and resumes it up to [`STREAM_RESUMES`] times.
    async fn streamed(&self, arguments: &ArgMatches) -> Result<()> {
        let request_id = new_id();
        eprintln!("request {request_id}");
        let completion = completion_of(arguments, true);
        let call = completion.urgent(self.vm, &self.key, &request_id);
        let mut received = 0;
        let mut done = self.print_stream(call, &mut received).await?;
        for _ in 0..STREAM_RESUMES {
            if done {
                break;
            }
            let last_event_id = received.checked_sub(1);
            let call = caller_api::resume(self.vm, &self.key, &request_id, last_event_id);
            // A refused resumption does not tell whether the request itself ran.
            done = self
                .print_stream(call, &mut received)
                .await
                .unwrap_or(false);
        }
        if done {
            writeln!(io::stdout()).context(OutputSnafu)
        } else {
            BrokenStreamSnafu { tokens: received }.fail()
        }
    }

    /// Prints the events of one response. Returns whether the stream is complete.
    async fn print_stream(&self, call: Call, received: &mut u64) -> Result<bool> {
        let response = self.client.open(call).await.context(NoResponseSnafu)?;
        if !response.status().is_success() {
            let reply = read_reply(response).await.context(NoResponseSnafu)?;
            let error = ApiError::read(reply.status, &reply.value());
            return ApiSnafu { error }.fail();
        }
        let mut events = EventReader::new(response.into_body());
        while let Some(event) = events.next().await {
            if event.data == "[DONE]" {
                return Ok(true);
            }
            let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
            if chunk.get("error").is_some() {
                let error = ApiError::read(StatusCode::OK, &chunk);
                return ApiSnafu { error }.fail();
            }
            if let Some(text) = caller_api::completion_text(&chunk) {
                *received += u64::from(!text.is_empty());
                let mut output = io::stdout();
                write!(output, "{text}").context(OutputSnafu)?;
                output.flush().context(OutputSnafu)?;
            }
        }
        Ok(false)
    }

    async fn patient(&self, arguments: &ArgMatches) -> Result<()> {
        let Some((action, arguments)) = arguments.subcommand() else {
            return Ok(());
        };
        if action == "submit" {
            return self.submit(arguments).await;
        }
        let job = string(arguments, "job");
        let call = match action {
            "status" => caller_api::job_status(self.vm, &self.key, job),
            "result" => caller_api::job_result(self.vm, &self.key, job),
            _ => caller_api::job_cancel(self.vm, &self.key, job),
        };
        print_json(&self.send(call).await?)
    }

    async fn submit(&self, arguments: &ArgMatches) -> Result<()> {
        let given = arguments.get_one::<String>("idempotency-key").cloned();
        let idempotency_key = given.unwrap_or_else(new_id);
        let completion = completion_of(arguments, false);
        let call = completion.job(self.vm, &self.key, &idempotency_key);
        print_json(&self.send(call).await?)
    }

    async fn order(&self, arguments: &ArgMatches) -> Result<()> {
        let path = string(arguments, "path");
        let idempotency_key = string(arguments, "idempotency-key");
        let body = arguments.get_one::<Value>("body");
        let body = body.cloned().unwrap_or_default();
        let call = caller_api::order(self.vm, &self.key, path, idempotency_key, &body);
        print_json(&self.send(call).await?)
    }
}
