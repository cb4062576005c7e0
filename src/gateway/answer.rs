//! Responses that the gateway generates itself.

use std::io;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Reason why a request gets no backend server's response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Status of the response.
    pub status: StatusCode,
    /// Stable name of the reason, for logs and callers.
    pub reason: &'static str,
    /// Delay after which a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a final refusal.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of a request that has not run and never will. The caller may retry after
    /// `retry_after_ms`.
    pub fn not_run(status: StatusCode, reason: &'static str, retry_after_ms: u64) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Converts the refusal into a response.
    pub fn into_response(self) -> Response<Body> {
        let text = format!("{{\"error\":\"{}\"}}\n", self.reason);
        let mut response = Response::new(full(Bytes::from(text)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Body with known content.
pub(super) fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Removes the headers that apply only to the connection to the server.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "trailer",
    ] {
        headers.remove(name);
    }
}
