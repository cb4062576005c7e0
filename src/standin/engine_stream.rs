//! Completion responses of the simulated engine: in one body, streamed and resumed.

use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use futures::stream;
use http::Response;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use super::answer;
use super::engine_state::FinishReason;
use super::engine_state::Progress;
use super::engine_state::Sequence;
use super::server::Body;
use super::server::events;
use super::server::json;

/// Last event of a stream that ended without a crash.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Waits for the end of the request and returns a response in one body; `None` after a crash.
pub async fn whole_response(sequence: Arc<Sequence>) -> Option<Response<Body>> {
    let mut progress = sequence.progress.subscribe();
    let end = progress.wait_for(|progress| progress.end.is_some()).await;
    let Progress { tokens, end } = *end.ok()?;
    if end == Some(FinishReason::Crashed) {
        return None;
    }
    let text = answer::text(&sequence.digest, tokens);
    let body = completion_object(&sequence, &text, finish_reason(end), Some(tokens));
    Some(json(StatusCode::OK, &body))
}

/// Streams the output tokens from index `from`.
pub fn stream_response(sequence: Arc<Sequence>, from: u64) -> Response<Body> {
    events(frames(sequence, from))
}

struct StreamCursor {
    progress: watch::Receiver<Progress>,
    sequence: Arc<Sequence>,
    next: u64,
    ended: bool,
}

fn frames(sequence: Arc<Sequence>, from: u64) -> impl Stream<Item = Bytes> + Send {
    let cursor = StreamCursor {
        progress: sequence.progress.subscribe(),
        sequence,
        next: from,
        ended: false,
    };
    stream::unfold(cursor, |mut cursor| async move {
        let bytes = cursor.next_frames().await?;
        Some((bytes, cursor))
    })
}

impl StreamCursor {
    /// The frames that have become available; `None` after the end.
    async fn next_frames(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let next = self.next;
        let ready = |progress: &Progress| progress.tokens > next || progress.end.is_some();
        let progress = *self.progress.wait_for(ready).await.ok()?;
        if progress.end == Some(FinishReason::Crashed) {
            return None;
        }
        let mut text = String::new();
        while self.next < progress.tokens {
            let last = self.next + 1 == progress.tokens;
            let end = if last { progress.end } else { None };
            text.push_str(&self.token_frame(self.next, end));
            self.next += 1;
        }
        let mut bytes = text.into_bytes();
        if let Some(end) = progress.end {
            if end == FinishReason::Cancelled {
                bytes.extend(self.cancelled_frame(progress.tokens).into_bytes());
            }
            bytes.extend_from_slice(DONE);
            self.ended = true;
        }
        Some(Bytes::from(bytes))
    }

    fn token_frame(&self, index: u64, end: Option<FinishReason>) -> String {
        let finished = end == Some(FinishReason::Finished);
        let text = answer::token(&self.sequence.digest, index);
        let reason = if finished {
            Value::from("length")
        } else {
            Value::Null
        };
        let usage = finished.then_some(index + 1);
        let chunk = completion_object(&self.sequence, &text, reason, usage);
        format!("id: {index}\ndata: {chunk}\n\n")
    }

    fn cancelled_frame(&self, tokens: u64) -> String {
        let reason = Value::from("cancelled");
        let chunk = completion_object(&self.sequence, "", reason, Some(tokens));
        format!("data: {chunk}\n\n")
    }
}

fn finish_reason(end: Option<FinishReason>) -> Value {
    match end {
        Some(FinishReason::Cancelled) => Value::from("cancelled"),
        Some(FinishReason::Finished) => Value::from("length"),
        Some(FinishReason::Crashed) | None => Value::Null,
    }
}

/// JSON of a completion or a stream chunk. `usage` is the number of output tokens of an ended
/// request.
fn completion_object(sequence: &Sequence, text: &str, reason: Value, usage: Option<u64>) -> Value {
    let mut body = json!({
        "id": sequence.request_id,
        "object": "text_completion",
        "request_id": sequence.request_id,
        "model": sequence.model,
        "incarnation": sequence.incarnation,
        "resident_since_unix_ms": sequence.resident_since_unix_ms,
        "choices": [{ "index": 0, "text": text, "finish_reason": reason }],
    });
    if let Some(tokens) = usage {
        body["usage"] = json!({
            "prompt_tokens": sequence.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": sequence.prompt_tokens + tokens,
        });
    }
    body
}
