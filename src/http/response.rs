//! HTTP responses of the caller API.

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde::Serialize;
use serde_json::json;

use super::server::Body;
use crate::control::RecordedResult;
use crate::pipeline::status_of;
use crate::types::Refusal;

/// Header with the request id, set on every response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Media type of complete responses.
const JSON: &str = "application/json";
/// Media type of streamed responses.
const EVENT_STREAM: &str = "text/event-stream";

/// Builds a JSON response.
pub fn json_response(
    status: StatusCode,
    request_id: &str,
    body: &impl Serialize,
) -> Response<Body> {
    let text = serde_json::to_string(body).expect("response bodies serialize to JSON");
    with_body(status, request_id, JSON, full(text))
}

/// Builds a streamed response.
pub fn stream_response(request_id: &str, body: Body) -> Response<Body> {
    with_body(StatusCode::OK, request_id, EVENT_STREAM, body)
}

/// Builds the response of a plain service call or a job from its recorded result.
pub fn recorded_response(request_id: &str, result: &RecordedResult) -> Response<Body> {
    let Some(body) = &result.body else {
        let refusal = Refusal::unknown(
            crate::types::RefusalCode::TooLarge,
            "the call ran; its answer was too long to be recorded",
        );
        return refusal_response(request_id, &refusal);
    };
    let media_type = result.content_type.as_deref().unwrap_or(JSON);
    let status = status_of(result);
    with_body(status, request_id, media_type, full(body.clone()))
}

/// Builds an error response, with `Retry-After` if the refusal has a retry delay.
pub fn refusal_response(request_id: &str, refusal: &Refusal) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, request_id, &json!({"error": refusal}));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into()).boxed_unsync()
}

fn with_body(status: StatusCode, request_id: &str, media_type: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let invalid = HeaderValue::from_static("invalid");
    let id = HeaderValue::from_str(request_id).unwrap_or(invalid);
    headers.insert(REQUEST_ID, id);
    if let Ok(media_type) = HeaderValue::from_str(media_type) {
        headers.insert(CONTENT_TYPE, media_type);
    }
    response
}
