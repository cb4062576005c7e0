//! Completion answers in the OpenAI formats.

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use sse_stream::Sse;

use crate::backend::TokenFrame;
use crate::backend::Usage;
use crate::pipeline::Completion;
use crate::pipeline::Format;
use crate::pipeline::WholeAnswer;
use crate::types::Refusal;

/// Data of the event that closes a stream.
const DONE: &str = "[DONE]";
/// Name of the event that ends a stream without its last token.
const ERROR_EVENT: &str = "error";

/// What every part of an answer repeats.
#[derive(Clone, Debug)]
pub struct CompletionMetadata {
    /// Request id told to the caller.
    pub id: String,
    /// Model named by the request, `base:adapter@version`; absent on a resumed stream.
    pub model: Option<String>,
    /// Format of the answer.
    pub format: Format,
    /// Seconds since the Unix epoch.
    pub created_s: u64,
}

impl CompletionMetadata {
    /// Metadata of the answer to `completion`.
    pub fn new(id: String, completion: &Completion, created_s: u64) -> Self {
        Self {
            id,
            model: Some(completion.adapter.to_string()),
            format: completion.format,
            created_s,
        }
    }
}

/// The event of one token.
pub fn token_event(metadata: &CompletionMetadata, frame: &TokenFrame) -> Bytes {
    let choice = match metadata.format {
        Format::Chat => json!({
            "index": 0,
            "delta": {"content": frame.text},
            "finish_reason": frame.finish_reason,
        }),
        Format::Text => json!({
            "index": 0,
            "text": frame.text,
            "finish_reason": frame.finish_reason,
        }),
    };
    let object = match metadata.format {
        Format::Chat => "chat.completion.chunk",
        Format::Text => "text_completion",
    };
    let mut chunk = envelope(metadata, object, choice);
    if let Some(usage) = frame.usage {
        chunk["usage"] = usage_json(usage);
    }
    if let Some(since) = frame.resident_since {
        chunk["resident_since_unix_ms"] = json!(since);
    }
    let event = Sse::default()
        .id(frame.index.to_string())
        .data(chunk.to_string());
    encode(event)
}

/// The event that closes a complete stream.
pub fn done_event() -> Bytes {
    encode(Sse::default().data(DONE))
}

/// The event that ends a stream whose remaining tokens are lost.
pub fn error_event(refusal: &Refusal) -> Bytes {
    let data = json!({"error": refusal}).to_string();
    encode(Sse::default().event(ERROR_EVENT).data(data))
}

/// A whole answer in one object.
pub fn completion_object(metadata: &CompletionMetadata, whole: &WholeAnswer) -> Value {
    let WholeAnswer {
        text,
        finish_reason,
        ..
    } = whole;
    let (object, choice) = match metadata.format {
        Format::Chat => (
            "chat.completion",
            json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish_reason,
            }),
        ),
        Format::Text => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": finish_reason}),
        ),
    };
    let mut answer = envelope(metadata, object, choice);
    answer["usage"] = usage_json(whole.usage);
    if let Some(since) = whole.resident_since {
        answer["resident_since_unix_ms"] = json!(since);
    }
    answer
}

fn envelope(metadata: &CompletionMetadata, object: &str, choice: Value) -> Value {
    json!({
        "id": metadata.id,
        "object": object,
        "created": metadata.created_s,
        "model": metadata.model,
        "choices": [choice],
    })
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.total_tokens(),
    })
}

fn encode(event: Sse) -> Bytes {
    event
        .encode()
        .expect("ids, names and JSON have no line breaks")
}
