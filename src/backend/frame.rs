//! Events of a streamed completion.

use serde::Deserialize;
use serde::Serialize;
use sse_stream::Sse;

use super::BackendError;
use super::Result;
use super::StreamIdentity;
use crate::types::UnixMs;

/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// Tokens consumed by a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

impl Usage {
    /// Sum of prompt and generated tokens.
    pub fn total_tokens(&self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}

/// One generated token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenFrame {
    /// Position in the answer, from 0.
    pub index: u64,
    /// Text of the token.
    pub text: String,
    /// Why the generation ended, on the last frame only.
    pub finish_reason: Option<String>,
    /// Tokens consumed, on the last frame only.
    pub usage: Option<Usage>,
    /// When the adapter became resident on the engine, if the engine reports it.
    pub resident_since: Option<UnixMs>,
}

/// The JSON object of a completion chunk.
#[derive(Debug, Deserialize)]
struct Chunk {
    request_id: String,
    model: String,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    resident_since_unix_ms: Option<UnixMs>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// One event of the stream.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Event {
    /// The stream is complete.
    Done,
    /// A token.
    Token(TokenFrame),
    /// An event without data, such as a comment.
    Empty,
}

/// Parses one event and checks that it belongs to the request `identity` and has the position
/// `expected_index`.
pub(super) fn read_event(
    sse: &Sse,
    identity: &StreamIdentity,
    expected_index: u64,
) -> Result<Event> {
    let Some(data) = sse.data.as_deref() else {
        return Ok(Event::Empty);
    };
    if data.trim() == DONE {
        return Ok(Event::Done);
    }
    let chunk: Chunk = serde_json::from_str(data).map_err(|error| BackendError::Mismatch {
        message: format!("chunk is not a completion: {error}"),
    })?;
    check_identity(&chunk, identity)?;
    let index = event_index(sse, expected_index)?;
    Ok(Event::Token(token_frame(chunk, index)))
}

fn check_identity(chunk: &Chunk, identity: &StreamIdentity) -> Result<()> {
    if chunk.request_id != *identity.request_id {
        return mismatch("request id", &identity.request_id, &chunk.request_id);
    }
    match &identity.model {
        Some(model) if chunk.model != **model => mismatch("model", model, &chunk.model),
        _ => Ok(()),
    }
}

fn event_index(sse: &Sse, expected: u64) -> Result<u64> {
    let Some(id) = sse.id.as_deref() else {
        return Ok(expected);
    };
    match id.parse::<u64>() {
        Ok(index) if index == expected => Ok(index),
        _ => mismatch("token index", &expected.to_string(), id),
    }
}

fn token_frame(chunk: Chunk, index: u64) -> TokenFrame {
    let choice = chunk.choices.into_iter().next();
    let (text, finish_reason) = choice
        .map(|choice| (choice.text, choice.finish_reason))
        .unwrap_or_default();
    TokenFrame {
        index,
        text,
        finish_reason,
        usage: chunk.usage,
        resident_since: chunk.resident_since_unix_ms,
    }
}

fn mismatch<T>(field: &str, expected: &str, found: &str) -> Result<T> {
    Err(BackendError::Mismatch {
        message: format!("{field} is {found:?}, expected {expected:?}"),
    })
}
