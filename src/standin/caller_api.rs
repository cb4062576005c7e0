//! Client side of the caller API, shared by the load tool and the command line.

use std::net::SocketAddr;

use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::client::Call;
use super::client::Reply;

/// Error fields of an unsuccessful response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ApiError {
    /// Stable error code, or `status_` and the HTTP status if the body has no code.
    pub code: String,
    /// Human-readable message.
    pub message: String,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    pub run: String,
    /// Delay before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl ApiError {
    /// Parses the error of a response body.
    pub fn read(status: StatusCode, body: &Value) -> Self {
        let error = &body["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        let code = match error["code"].as_str() {
            Some(code) => code.to_owned(),
            None => format!("status_{}", status.as_u16()),
        };
        Self {
            code,
            message: text("message"),
            run: text("run"),
            retry_after_ms: error["retry_after_ms"].as_u64(),
        }
    }

    /// Whether the request did not run because this VM is draining or isolated, so that another VM
    /// may accept it.
    pub fn is_local_to_vm(&self) -> bool {
        self.run == "not_run" && matches!(self.code.as_str(), "draining" | "isolated")
    }
}

/// Parameters of a completion.
#[derive(Clone, Debug)]
pub struct Completion<'a> {
    /// Model, as `base:adapter@version`.
    pub model: &'a str,
    /// Prompt.
    pub prompt: &'a str,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Deadline as wall clock time, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
}

impl Completion<'_> {
    fn body(&self) -> Value {
        json!({
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        })
    }

    /// The call for an urgent completion.
    pub fn urgent(&self, vm: SocketAddr, key: &str, request_id: &str) -> Call {
        let call = Call::new(vm, Method::POST, "/v1/completions").json(&self.body());
        authorized(call, key)
            .header("x-request-id", request_id)
            .header("x-patience", "urgent")
            .header("x-deadline-unix-ms", &self.deadline_unix_ms.to_string())
    }

    /// The call that submits a patient job. The idempotency key prevents a resend from creating a
    /// second job.
    pub fn job(&self, vm: SocketAddr, key: &str, idempotency_key: &str) -> Call {
        let call = Call::new(vm, Method::POST, "/v1/jobs").json(&self.body());
        authorized(call, key)
            .header("idempotency-key", idempotency_key)
            .header("x-patience", "patient")
            .header("x-deadline-unix-ms", &self.deadline_unix_ms.to_string())
    }
}

/// Adds the API key. An empty key adds no header, as for routes that need no key.
pub fn authorized(call: Call, key: &str) -> Call {
    if key.is_empty() {
        return call;
    }
    call.header("authorization", &format!("Bearer {key}"))
}

/// The call that resumes a stream after the event `last_event_id`, or from its start for `None`.
pub fn resume(vm: SocketAddr, key: &str, request_id: &str, last_event_id: Option<u64>) -> Call {
    let call = Call::new(vm, Method::GET, format!("/v1/streams/{request_id}"));
    let call = authorized(call, key);
    match last_event_id {
        Some(id) => call.header("last-event-id", &id.to_string()),
        None => call,
    }
}

/// The call for the status of a job.
pub fn job_status(vm: SocketAddr, key: &str, job: &str) -> Call {
    authorized(Call::new(vm, Method::GET, format!("/v1/jobs/{job}")), key)
}

/// The call for the result of a job.
pub fn job_result(vm: SocketAddr, key: &str, job: &str) -> Call {
    let path = format!("/v1/jobs/{job}/result");
    authorized(Call::new(vm, Method::GET, path), key)
}

/// The call that cancels a job.
pub fn job_cancel(vm: SocketAddr, key: &str, job: &str) -> Call {
    authorized(
        Call::new(vm, Method::DELETE, format!("/v1/jobs/{job}")),
        key,
    )
}

/// A call of a plain service that must run at most once.
pub fn order(vm: SocketAddr, key: &str, path: &str, idempotency_key: &str, body: &Value) -> Call {
    let call = Call::new(vm, Method::POST, path).json(body);
    authorized(call, key).header("idempotency-key", idempotency_key)
}

/// A call of a plain service that is safe to repeat.
pub fn lookup(vm: SocketAddr, key: &str, path: &str) -> Call {
    authorized(Call::new(vm, Method::GET, path), key)
}

/// The job id in the response to a submission.
pub fn job_id(body: &Value) -> Option<String> {
    let id = body["id"].as_str().or(body["job_id"].as_str());
    id.map(str::to_owned)
}

/// Whether a job status is not final.
pub fn job_is_open(body: &Value) -> bool {
    let status = body["status"].as_str().or(body["state"].as_str());
    let open = [
        "accepted",
        "queued",
        "pending",
        "claimed",
        "running",
        "in_progress",
    ];
    status.is_some_and(|status| open.contains(&status))
}

/// The text of a completion or of a stream chunk.
pub fn completion_text(body: &Value) -> Option<&str> {
    let choice = &body["choices"][0];
    choice["text"]
        .as_str()
        .or(choice["message"]["content"].as_str())
}

/// The error of an unsuccessful reply; `None` for a success.
pub fn error_of(reply: &Reply) -> Option<ApiError> {
    let failed = !reply.status.is_success();
    failed.then(|| ApiError::read(reply.status, &reply.value()))
}
