//! Client of plain HTTP services.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;

use super::BackendError;
use super::HttpClient;
use super::NamedLimits;
use super::Result;
use super::via;
use crate::event_stream;
use crate::types::VmName;
use crate::types::is_final;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Header with the id of an order.
const ORDER_ID: HeaderName = HeaderName::from_static("x-order-id");
/// Request headers that are forwarded. This is an allow list, so that no credential is forwarded.
const FORWARDED_HEADERS: [HeaderName; 3] = [
    http::header::ACCEPT,
    http::header::ACCEPT_LANGUAGE,
    http::header::CONTENT_TYPE,
];

/// One call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// The caller's headers; only `FORWARDED_HEADERS` are sent.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Id of a call that must run at most once.
    pub order_id: Option<Arc<str>>,
    /// VM that sends the call.
    pub vm: VmName,
}

/// A complete answer of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type, if the service sent one.
    pub content_type: Option<String>,
    /// Complete body.
    pub body: Bytes,
}

/// Sends `call` and reads the complete answer. A limit that the service names is recorded in `limits`.
///
/// # Errors
/// `NotStarted` if the call is invalid or no connection was made, `Lost` for every later failure.
pub async fn call_service(
    client: &HttpClient,
    limits: &NamedLimits,
    to: SocketAddr,
    call: ServiceCall,
) -> Result<ServiceReply> {
    let request = build(to, call)?;
    let sent = limits.now();
    let response = client.request(request).await.map_err(|error| {
        let message = error.to_string();
        if error.is_connect() {
            BackendError::NotStarted { message }
        } else {
            BackendError::Lost { message }
        }
    })?;
    if !is_final(response.status()) {
        return Err(BackendError::Lost {
            message: format!("the status {} is no final one", response.status()),
        });
    }
    limits.on_answer(to, &response, sent);
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| BackendError::Lost {
            message: error.to_string(),
        })?
        .to_bytes();
    if event_stream::is_broken_off(&head.headers, &body) {
        return Err(BackendError::Lost {
            message: "the stream ends inside an event".to_owned(),
        });
    }
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Ok(ServiceReply {
        status: head.status,
        content_type: content_type.map(str::to_owned),
        body,
    })
}

fn build(to: SocketAddr, call: ServiceCall) -> Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method)
        .uri(format!("http://{to}{}", call.path))
        .header(http::header::VIA, via(&call.vm));
    for name in FORWARDED_HEADERS {
        if let Some(value) = call.headers.get(&name) {
            builder = builder.header(name, value);
        }
    }
    if let Some(order_id) = call.order_id {
        builder = builder.header(ORDER_ID, &*order_id);
    }
    builder
        .body(Full::new(call.body))
        .map_err(|error| BackendError::NotStarted {
            message: error.to_string(),
        })
}
