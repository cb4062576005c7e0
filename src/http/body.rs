//! Reads request bodies with a limit in bytes and in time.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use dropshot::StreamingBody;
use futures::StreamExt;
use tokio::time::timeout;

use crate::types::Refusal;
use crate::types::RefusalCode;

/// Longest time in which a caller must have sent the whole body.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Reads a whole body.
///
/// # Errors
/// `TooLarge` over `max_bytes`, `BadRequest` if the caller sends too slowly or stops.
pub async fn read_body(body: StreamingBody, max_bytes: usize) -> Result<Bytes, Refusal> {
    let read = read_all(body, max_bytes);
    timeout(Duration::from_millis(BODY_TIMEOUT_MS), read)
        .await
        .unwrap_or_else(|_| {
            let message = format!("the body was not received within {BODY_TIMEOUT_MS} ms");
            Err(Refusal::not_run(RefusalCode::BadRequest, message))
        })
}

async fn read_all(body: StreamingBody, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut chunks = pin!(body.into_stream());
    let mut whole = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| {
            let message = format!("the body could not be read: {}", error.external_message);
            Refusal::not_run(RefusalCode::BadRequest, message)
        })?;
        if whole.len() + chunk.len() > max_bytes {
            let message = format!("the body is larger than {max_bytes} bytes");
            return Err(Refusal::not_run(RefusalCode::TooLarge, message));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}
