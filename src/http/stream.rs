//! Bodies of streamed responses.

use std::convert::Infallible;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use tokio::sync::mpsc;

use super::completion::CompletionMetadata;
use super::completion::done_event;
use super::completion::error_event;
use super::completion::token_event;
use super::server::Body;
use crate::backend::TokenFrame;
use crate::backend::TokenStream;
use crate::pipeline::Relay;
use crate::types::Refusal;
use crate::types::RefusalCode;

/// Number of events buffered for a slow caller. If the buffer is full, the engine's stream is not
/// read until the caller has read an event.
const BUFFERED_EVENTS: usize = 64;

/// Streams a response in progress. The relay is dropped when the caller disconnects.
pub fn relay_body(metadata: CompletionMetadata, first: TokenFrame, relay: Relay) -> Body {
    let (events, body) = channel_body();
    tokio::spawn(send_relay(metadata, first, relay, events));
    body
}

/// Streams the rest of a response that the caller resumes at token `from`.
pub fn resumed_body(metadata: CompletionMetadata, frames: TokenStream, from: u64) -> Body {
    let (events, body) = channel_body();
    tokio::spawn(send_resumed(metadata, frames, from, events));
    body
}

fn channel_body() -> (mpsc::Sender<Bytes>, Body) {
    let (sender, receiver) = mpsc::channel(BUFFERED_EVENTS);
    let frames = stream::unfold(receiver, |mut receiver| async move {
        let event: Bytes = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(event)), receiver))
    });
    (sender, StreamBody::new(frames).boxed_unsync())
}

async fn send_relay(
    metadata: CompletionMetadata,
    first: TokenFrame,
    mut relay: Relay,
    events: mpsc::Sender<Bytes>,
) {
    let mut frame = first;
    loop {
        let finished = frame.finish_reason.is_some();
        if events.send(token_event(&metadata, &frame)).await.is_err() {
            return;
        }
        if finished {
            relay.complete(frame.usage.unwrap_or_default());
            let _ = events.send(done_event()).await;
            return;
        }
        frame = match relay.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(refusal)) => return send_error(&events, &refusal).await,
            None => return send_error(&events, &truncated()).await,
        };
    }
}

async fn send_resumed(
    metadata: CompletionMetadata,
    mut frames: TokenStream,
    from: u64,
    events: mpsc::Sender<Bytes>,
) {
    let mut next = from;
    loop {
        let frame = match frames.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                let message = format!("the rest of the answer is lost: {error}");
                let refusal = Refusal::unknown(RefusalCode::BackendFailed, message);
                return send_error(&events, &refusal).await;
            }
            // The engine closes the stream at once if the caller already has the last token.
            None if next == from && from > 0 => {
                let _ = events.send(done_event()).await;
                return;
            }
            None => return send_error(&events, &truncated()).await,
        };
        next = frame.index + 1;
        let finished = frame.finish_reason.is_some();
        if events.send(token_event(&metadata, &frame)).await.is_err() {
            return;
        }
        if finished {
            let _ = events.send(done_event()).await;
            return;
        }
    }
}

async fn send_error(events: &mpsc::Sender<Bytes>, refusal: &Refusal) {
    let _ = events.send(error_event(refusal)).await;
}

fn truncated() -> Refusal {
    Refusal::unknown(
        RefusalCode::BackendFailed,
        "the answer ended before its last token",
    )
}
