//! HTTP client of the administration API that tries the VMs one after the other.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::timeout;

use crate::commands::admin::EXIT_CONFLICT;
use crate::commands::admin::EXIT_REFUSED;
use crate::commands::admin::EXIT_UNREACHABLE;
use crate::commands::admin::EXIT_USAGE;
use crate::commands::admin::args;

/// Environment variable that holds the operator's token.
const TOKEN_VARIABLE: &str = "MEDLARLIFT_ADMIN_TOKEN";

/// Why a request failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// The command line is invalid.
    Usage(String),
    /// The server refused the request with this error body.
    Refused(Value),
    /// Another change was committed first; the error body of the server.
    Conflict(Value),
    /// No server answered, or none has contact with a quorum of the log.
    Unreachable(String),
}

impl Failure {
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::Refused(_) => EXIT_REFUSED,
            Self::Conflict(_) => EXIT_CONFLICT,
            Self::Unreachable(_) => EXIT_UNREACHABLE,
        }
    }
}

/// The servers to try and the operator's token.
pub(super) struct Client {
    servers: Vec<SocketAddr>,
    token: String,
    timeout: Duration,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(super) fn from_matches(matches: &ArgMatches) -> Result<Self, Failure> {
        let servers = matches.get_many::<SocketAddr>(args::SERVER);
        let servers: Vec<_> = servers.unwrap_or_default().copied().collect();
        if servers.is_empty() {
            let message = "--server is missing; allowed: IP:PORT of the administration API of a VM";
            return Err(Failure::Usage(message.to_owned()));
        }
        let timeout_ms = matches.get_one::<u64>(args::TIMEOUT_MS).copied();
        Ok(Self {
            servers,
            token: token(matches)?,
            timeout: Duration::from_millis(timeout_ms.unwrap_or(5_000)),
            http: legacy::Client::builder(TokioExecutor::new()).build_http(),
        })
    }

    /// Reads `path`.
    pub(super) async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.send(Method::GET, path, None).await
    }

    /// Sends a request to one server after the other until one answers. A server without contact
    /// with the log counts as one that does not answer. Resending is safe because `body` carries
    /// the change id.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        for server in &self.servers {
            let request = self.request(*server, &method, path, body)?;
            let problem = match timeout(self.timeout, self.exchange(request)).await {
                Ok(Ok((status, answer))) if is_final(status) => return classify(status, answer),
                Ok(Ok((_, answer))) => answer["error"]["message"].as_str().unwrap_or("").to_owned(),
                Ok(Err(problem)) => problem,
                Err(_) => format!("no answer within {} ms", self.timeout.as_millis()),
            };
            problems.push(format!("{server}: {problem}"));
        }
        let mut message = problems.join("\n");
        if let Some(id) = body.and_then(|body| body["change"]["change_id"].as_str()) {
            message.push_str(&format!("\nto resend the change, add --change-id {id}"));
        }
        Err(Failure::Unreachable(message))
    }

    fn request(
        &self,
        server: SocketAddr,
        method: &Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let bytes = body
            .map(|body| Bytes::from(body.to_string()))
            .unwrap_or_default();
        Request::builder()
            .method(method)
            .uri(format!("http://{server}{path}"))
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.token),
            )
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(bytes))
            .map_err(|_| {
                Failure::Usage(format!("path {path:?} or the token is not allowed in HTTP"))
            })
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Value), String> {
        let response = self.http.request(request).await.map_err(describe)?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(describe)?;
        let value = serde_json::from_slice(&body.to_bytes());
        Ok((
            status,
            value.map_err(|error| format!("not an answer in JSON: {error}"))?,
        ))
    }
}

/// Whether the answer is final: other servers are tried only after a server error.
fn is_final(status: StatusCode) -> bool {
    !status.is_server_error()
}

fn classify(status: StatusCode, answer: Value) -> Result<Value, Failure> {
    match status {
        StatusCode::CONFLICT => Err(Failure::Conflict(answer)),
        status if status.is_success() => Ok(answer),
        _ => Err(Failure::Refused(answer)),
    }
}

/// Text of an error and its causes.
fn describe(error: impl std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(&format!(": {inner}"));
        cause = inner.source();
    }
    text
}

fn token(matches: &ArgMatches) -> Result<String, Failure> {
    match matches.get_one::<PathBuf>(args::TOKEN_FILE) {
        Some(path) => read_secret(path),
        None => std::env::var(TOKEN_VARIABLE).map_err(|_| {
            let message = format!("no token; allowed: --token-file PATH or {TOKEN_VARIABLE}");
            Failure::Usage(message)
        }),
    }
}

/// Reads a secret from the first line of a file.
pub(super) fn read_secret(path: &PathBuf) -> Result<String, Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Failure::Usage(format!("{}: {error}", path.display())))?;
    let secret = text.lines().next().unwrap_or("").trim().to_owned();
    match secret.is_empty() {
        true => Err(Failure::Usage(format!(
            "{} holds no secret",
            path.display()
        ))),
        false => Ok(secret),
    }
}
