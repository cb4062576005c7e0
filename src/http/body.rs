//! Reads request bodies with a size limit and a timeout, within the memory of the process.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::caller::CallerContext;
use crate::connections::body::BodyError;
use crate::connections::body::BodyReader;
use crate::connections::body::WholeBody;
use crate::types::Refusal;
use crate::types::RefusalCode;

/// Timeout for receiving the complete body.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Time after which there may be memory for a body again.
const MEMORY_RETRY_MS: u64 = 400;

/// Reads a complete body.
///
/// # Errors
/// `TooLarge` if the body exceeds the limit, `Overloaded` if there is no memory for it in time, `BadRequest` if
/// it is not received within the timeout or the connection fails.
pub async fn read_body(body: Incoming, context: &CallerContext) -> Result<Bytes, Refusal> {
    let reader = BodyReader {
        budget: &context.bodies,
        limit_bytes: context.max_body_bytes,
        deadline: Instant::now() + Duration::from_millis(BODY_TIMEOUT_MS),
        may_evict: true,
    };
    let read = reader.read(body).await.map(WholeBody::into_bytes);
    read.map_err(|error| refusal(error, context.max_body_bytes))
}

fn refusal(error: BodyError, max_bytes: usize) -> Refusal {
    let (code, message) = match error {
        BodyError::TooLarge => (
            RefusalCode::TooLarge,
            format!("the body is larger than {max_bytes} bytes"),
        ),
        BodyError::Broken => (RefusalCode::BadRequest, error.to_string()),
        BodyError::TooSlow => (
            RefusalCode::BadRequest,
            format!("the body was not received within {BODY_TIMEOUT_MS} ms"),
        ),
        BodyError::NoMemory => {
            let refusal = Refusal::not_run(RefusalCode::Overloaded, error.to_string());
            return refusal.with_retry_after_ms(MEMORY_RETRY_MS);
        }
    };
    Refusal::not_run(code, message)
}
