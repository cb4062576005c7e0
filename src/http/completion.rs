//! Completion responses in the OpenAI formats.

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

/// Data of the event at the end of a complete stream.
const DONE: &str = "[DONE]";
/// Name of the event at the end of an incomplete stream.
const ERROR_EVENT: &str = "error";

/// Fields that every chunk of a response repeats.
#[derive(Clone, Debug)]
pub struct CompletionMetadata {
    /// Public request id.
    pub id: String,
    /// Model of the request as `base:adapter@version`; absent on a resumed stream.
    pub model: Option<String>,
    /// Format of the response.
    pub format: Format,
    /// Creation time in seconds since the Unix epoch.
    pub created_s: u64,
}

impl CompletionMetadata {
    /// Creates the metadata of the response to `completion`.
    pub fn new(id: String, completion: &Completion, created_s: u64) -> Self {
        Self {
            id,
            model: Some(completion.adapter.to_string()),
            format: completion.format,
            created_s,
        }
    }
}

/// Encodes the event of one token.
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

/// Encodes the event at the end of a complete stream.
pub fn done_event() -> Bytes {
    encode(Sse::default().data(DONE))
}

/// Encodes the event at the end of a stream whose remaining tokens are lost.
pub fn error_event(refusal: &Refusal) -> Bytes {
    let data = json!({"error": refusal}).to_string();
    encode(Sse::default().event(ERROR_EVENT).data(data))
}

/// Builds the JSON object of a complete response.
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
    let mut object = envelope(metadata, object, choice);
    object["usage"] = usage_json(whole.usage);
    if let Some(since) = whole.resident_since {
        object["resident_since_unix_ms"] = json!(since);
    }
    object
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
