//! Parses and validates completion requests: adapter, prompt, limits, patience class and deadline.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use super::authenticate::Caller;
use super::request_id::RequestId;
use crate::types::AdapterRef;
use crate::types::Feature;
use crate::types::Patience;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::RequestFeatures;
use crate::types::Tokens;
use crate::types::UnixMs;

/// Result of this stage.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Output limit of a request that names none.
const DEFAULT_OUTPUT_TOKENS: Tokens = 256;
/// Largest output limit that a request may name.
const MAX_OUTPUT_TOKENS: Tokens = 32_768;
/// Lines of a prompt that are compared with those of requests that crash engines.
const MAX_SHARED_LINES: usize = 32;
/// Bytes of prompt text estimated as one token until the engine reports its own count.
const BYTES_PER_TOKEN: u64 = 3;
/// Time to the deadline of an urgent request that names none.
const URGENT_DEADLINE_MS: u64 = 30_000;
/// Time to the deadline of a patient request that names none.
const PATIENT_DEADLINE_MS: u64 = 12 * 60 * 60 * 1_000;
/// Latest accepted deadline, counted from now.
const MAX_TIME_TO_DEADLINE_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// Endpoint that received a completion request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// Parameters of a completion request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// Endpoint.
    pub format: Format,
    /// Adapter and version to run on.
    pub adapter: AdapterRef,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Maximum number of output tokens.
    pub max_tokens: Tokens,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
}

impl Completion {
    /// Tokens reserved before dispatch: the estimated prompt plus the output limit.
    pub fn reserved_tokens(&self) -> Tokens {
        let prompt_bytes = u64::try_from(self.prompt.len()).unwrap_or(u64::MAX);
        prompt_bytes.div_ceil(BYTES_PER_TOKEN).max(1) + self.max_tokens
    }

    /// Features of the request with the digest `fingerprint`. Requests share lines of their prompts, such
    /// as messages of a chat; the last line is the request's own.
    pub fn features(&self, fingerprint: &[u8; 32]) -> RequestFeatures {
        let mut lines: Vec<&str> = self.prompt.lines().take(MAX_SHARED_LINES + 1).collect();
        lines.pop();
        let shared = lines.into_iter().filter(|line| !line.is_empty());
        RequestFeatures {
            request: Feature::of_request(&[fingerprint]),
            parts: shared
                .map(|line| Feature::of_part(line.as_bytes()))
                .collect(),
        }
    }
}

/// A parsed and validated completion request.
#[derive(Clone, Debug)]
pub struct ClassifiedRequest {
    /// The authenticated caller.
    pub caller: Caller,
    /// Id of the request.
    pub request_id: RequestId,
    /// Parameters of the completion.
    pub completion: Completion,
    /// Patience class.
    pub patience: Patience,
    /// Deadline for the whole answer.
    pub deadline: UnixMs,
    /// Digest of account, adapter and body, by which the quarantine recognises a request that
    /// crashes engines.
    pub fingerprint: [u8; 32],
    /// What it has in common with other requests, by which it is recognised that this crashes
    /// engines.
    pub features: RequestFeatures,
}

/// Request body of both completion endpoints.
#[derive(Debug, Deserialize)]
struct Body {
    model: Option<String>,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    stream: Option<bool>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Parses headers and `body` into a request of `caller` and checks that the account may make it.
///
/// # Errors
/// A `not_run` refusal that names the invalid field and its value.
pub fn classify(
    caller: Caller,
    headers: &HeaderMap,
    format: Format,
    body: &Bytes,
    now: UnixMs,
) -> Result<ClassifiedRequest> {
    let request_id = RequestId::from_header(text_header(headers, "x-request-id")?)?;
    let completion = read_completion(format, body)?;
    let patience = read_patience(headers, &caller)?;
    let deadline = read_deadline(headers, patience, now)?;
    check_permissions(&caller, &completion, patience)?;
    let fingerprint = fingerprint(&caller, &completion);
    let features = completion.features(&fingerprint);
    Ok(ClassifiedRequest {
        caller,
        request_id,
        completion,
        patience,
        deadline,
        fingerprint,
        features,
    })
}

/// The value of the header `name`, or a refusal if it is not plain text.
pub(super) fn text_header<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| bad_request(name, "(not text)", "the header is not plain text"))?;
    Ok(Some(text))
}

/// Parses the body of a completion request.
///
/// # Errors
/// A `not_run` refusal that names the invalid field.
pub fn read_completion(format: Format, body: &Bytes) -> Result<Completion> {
    let body: Body = serde_json::from_slice(body).map_err(|error| {
        bad_request(
            "body",
            "(body)",
            format!("the body cannot be read: {error}"),
        )
    })?;
    let adapter = read_model(body.model.as_deref())?;
    let max_tokens = read_max_tokens(body.max_completion_tokens.or(body.max_tokens))?;
    let prompt = match format {
        Format::Chat => chat_prompt(body.messages)?,
        Format::Text => body
            .prompt
            .ok_or_else(|| bad_request("prompt", "missing", "a prompt is required"))?,
    };
    Ok(Completion {
        format,
        adapter,
        prompt: prompt.into(),
        max_tokens,
        stream: body.stream.unwrap_or(false),
    })
}

fn read_model(model: Option<&str>) -> Result<AdapterRef> {
    let model = model.ok_or_else(|| bad_request("model", "missing", "a model is required"))?;
    model
        .parse::<AdapterRef>()
        .map_err(|error| bad_request("model", model, error.to_string()))
}

fn read_max_tokens(requested: Option<u64>) -> Result<Tokens> {
    let max_tokens = requested.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    if (1..=MAX_OUTPUT_TOKENS).contains(&max_tokens) {
        return Ok(max_tokens);
    }
    let message = format!("max_tokens must be from 1 to {MAX_OUTPUT_TOKENS}");
    Err(bad_request("max_tokens", max_tokens.to_string(), message))
}

fn chat_prompt(messages: Option<Vec<Message>>) -> Result<String> {
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages = messages
        .ok_or_else(|| bad_request("messages", "missing", "at least one message is required"))?;
    let lines: Vec<String> = messages
        .iter()
        .map(|message| format!("{}: {}", message.role, message.content))
        .collect();
    Ok(lines.join("\n"))
}

fn read_patience(headers: &HeaderMap, caller: &Caller) -> Result<Patience> {
    match text_header(headers, "x-patience")? {
        Some(text) => Patience::parse(text)
            .ok_or_else(|| bad_request("x-patience", text, "the class must be urgent or patient")),
        None => Ok(caller.default_patience()),
    }
}

/// Parses the deadline header, or applies the default of the patience class.
pub(super) fn read_deadline(
    headers: &HeaderMap,
    patience: Patience,
    now: UnixMs,
) -> Result<UnixMs> {
    let Some(text) = text_header(headers, "x-deadline-unix-ms")? else {
        return Ok(default_deadline(patience, now));
    };
    let message = "the deadline must be in milliseconds since the Unix epoch";
    let deadline = text
        .parse::<u64>()
        .map(UnixMs)
        .map_err(|_| bad_request("x-deadline-unix-ms", text, message))?;
    if deadline > now.plus(MAX_TIME_TO_DEADLINE_MS) {
        let message = "the deadline must be at most seven days ahead";
        return Err(bad_request("x-deadline-unix-ms", text, message));
    }
    if deadline <= now {
        let refusal = Refusal::not_run(
            RefusalCode::DeadlineUnreachable,
            "the deadline has already passed",
        );
        return Err(refusal.with_field("x-deadline-unix-ms", text));
    }
    Ok(deadline)
}

fn default_deadline(patience: Patience, now: UnixMs) -> UnixMs {
    match patience {
        Patience::Urgent => now.plus(URGENT_DEADLINE_MS),
        Patience::Patient => now.plus(PATIENT_DEADLINE_MS),
    }
}

fn check_permissions(caller: &Caller, completion: &Completion, patience: Patience) -> Result<()> {
    if !caller.may_use_adapter(&completion.adapter) {
        let message = "the account's adapter set does not include this model";
        return Err(Refusal::not_run(RefusalCode::Forbidden, message)
            .with_field("model", completion.adapter.to_string()));
    }
    if !caller.may_use_patience(patience) {
        let message = "the account is not offered this patience class";
        return Err(Refusal::not_run(RefusalCode::Forbidden, message)
            .with_field("x-patience", patience.as_str()));
    }
    Ok(())
}

fn fingerprint(caller: &Caller, completion: &Completion) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(caller.account().as_str().as_bytes());
    hasher.update([0]);
    hasher.update(completion.adapter.to_string().as_bytes());
    hasher.update([0]);
    hasher.update(completion.prompt.as_bytes());
    hasher.update(completion.max_tokens.to_be_bytes());
    hasher.finalize().into()
}

/// A refusal for invalid input in `field`.
pub(super) fn bad_request(
    field: impl Into<String>,
    value: impl Into<String>,
    message: impl Into<String>,
) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message).with_field(field, value)
}
