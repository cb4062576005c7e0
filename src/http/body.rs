//! Reads request bodies with a size limit and a timeout.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::types::Refusal;
use crate::types::RefusalCode;

/// Timeout for receiving the complete body.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Reads a complete body.
///
/// # Errors
/// `TooLarge` if the body exceeds `max_bytes`, `BadRequest` if it is not received within the
/// timeout or the connection fails.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    let read = read_all(body, max_bytes);
    timeout(Duration::from_millis(BODY_TIMEOUT_MS), read)
        .await
        .unwrap_or_else(|_| {
            let message = format!("the body was not received within {BODY_TIMEOUT_MS} ms");
            Err(Refusal::not_run(RefusalCode::BadRequest, message))
        })
}

async fn read_all(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the body could not be read: {error}");
            Refusal::not_run(RefusalCode::BadRequest, message)
        })?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if whole.len() + chunk.len() > max_bytes {
            let message = format!("the body is larger than {max_bytes} bytes");
            return Err(Refusal::not_run(RefusalCode::TooLarge, message));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}
