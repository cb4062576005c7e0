//! HTTP protocol of inference engines.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyDataStream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use sse_stream::SseByteStream;
use tokio::time::timeout;

use super::AdaptersInUse;
use super::BackendError;
use super::Engine;
use super::EngineCall;
use super::EngineCommand;
use super::EngineCommandOutcome;
use super::HttpClient;
use super::NamedLimits;
use super::Result;
use super::StreamIdentity;
use super::TokenStream;
use super::frame::Event;
use super::frame::read_event;
use super::pooled_client;
use super::via;
use crate::event_stream::EventBuffer;
use crate::event_stream::MAX_EVENT_BYTES;

/// Timeout of a load or eviction. A load takes 250 ms while the weight store is idle.
pub(super) const ENGINE_COMMAND_TIMEOUT_MS: u64 = 3_000;
/// Timeout of a cancellation.
const CANCEL_TIMEOUT_MS: u64 = 1_000;
/// Timeout of the query for the adapters in use.
const IN_USE_TIMEOUT_MS: u64 = 1_000;
/// Maximum size of its response, in bytes.
const MAX_IN_USE_BYTES: usize = 1024 * 1024;
/// Timeout for the end of a body after its last token.
const BODY_END_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of bytes that are read of an error response.
const MAX_ERROR_BYTES: usize = 16 * 1024;

/// Client of engines that speak HTTP with server-sent events.
#[derive(Clone)]
pub struct HttpEngine {
    client: HttpClient,
    limits: Arc<NamedLimits>,
}

/// Body of the response to a refused call or command.
#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: Option<serde_json::Value>,
    #[serde(default)]
    code: Option<String>,
    #[serde(default)]
    request_id: Option<String>,
    #[serde(default)]
    highest_fence: Option<u64>,
}

impl HttpEngine {
    /// Creates a client with its own connection pool. Limits that engines name are recorded in
    /// `limits`.
    pub fn new(limits: Arc<NamedLimits>) -> Self {
        Self {
            client: pooled_client(),
            limits,
        }
    }
}

impl Engine for HttpEngine {
    fn start(&self, to: SocketAddr, call: EngineCall) -> BoxFuture<'static, Result<TokenStream>> {
        let body = json!({
            "model": call.adapter.to_string(),
            "request_id": &*call.request_id,
            "prompt": &*call.prompt,
            "max_tokens": call.max_tokens,
            "priority": call.priority,
            "stream": true,
        });
        let mut request = post(to, "/v1/completions", &body);
        if let Ok(via) = HeaderValue::from_str(&via(&call.vm)) {
            request.headers_mut().insert(header::VIA, via);
        }
        let identity = StreamIdentity::of_call(&call);
        let opened = open_stream(self.clone(), to, request, identity, Answers::Call);
        opened.boxed()
    }

    fn resume(
        &self,
        to: SocketAddr,
        identity: StreamIdentity,
        from: u64,
    ) -> BoxFuture<'static, Result<TokenStream>> {
        let path = format!("/v1/streams/{}?from={from}", identity.request_id);
        let request = bodyless(Method::GET, to, &path);
        let opened = open_stream(
            self.clone(),
            to,
            request,
            identity,
            Answers::Resume { from },
        );
        opened.boxed()
    }

    fn cancel(&self, to: SocketAddr, request_id: Arc<str>) -> BoxFuture<'static, bool> {
        let request = bodyless(Method::DELETE, to, &format!("/v1/requests/{request_id}"));
        let call = self.client.request(request);
        async move {
            let answer = timeout(Duration::from_millis(CANCEL_TIMEOUT_MS), call).await;
            // An engine that does not know the request does not run it.
            matches!(answer, Ok(Ok(response)) if response.status().is_success()
                || response.status() == StatusCode::NOT_FOUND)
        }
        .boxed()
    }

    fn in_use(&self, to: SocketAddr) -> BoxFuture<'static, Option<AdaptersInUse>> {
        let call = self.client.request(bodyless(Method::GET, to, "/v1/in_use"));
        async move {
            let answer = timeout(Duration::from_millis(IN_USE_TIMEOUT_MS), call).await;
            let response = answer.ok()?.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            let limited = Limited::new(response.into_body(), MAX_IN_USE_BYTES);
            let body = limited.collect().await.ok()?.to_bytes();
            serde_json::from_slice(&body).ok()
        }
        .boxed()
    }

    fn execute(
        &self,
        to: SocketAddr,
        command: EngineCommand,
    ) -> BoxFuture<'static, EngineCommandOutcome> {
        let request = post(to, "/v1/orders", &json!(command));
        let call = self.client.request(request);
        async move {
            match timeout(Duration::from_millis(ENGINE_COMMAND_TIMEOUT_MS), call).await {
                Ok(Ok(response)) => command_outcome(response).await,
                _ => EngineCommandOutcome::Failed,
            }
        }
        .boxed()
    }
}

async fn command_outcome(response: Response<Incoming>) -> EngineCommandOutcome {
    match response.status() {
        StatusCode::OK => EngineCommandOutcome::Done,
        StatusCode::LOCKED => EngineCommandOutcome::InUse,
        StatusCode::CONFLICT => EngineCommandOutcome::Fenced {
            highest_fence: error_body(response).await.highest_fence.unwrap_or(0),
        },
        _ => EngineCommandOutcome::Failed,
    }
}

/// What a stream answers.
#[derive(Clone, Copy, Debug)]
enum Answers {
    /// A call, whose refusal promises that it did not run.
    Call,
    /// A request for the rest of a stream, whose refusal promises nothing.
    Resume {
        /// First token that is requested.
        from: u64,
    },
}

/// A refusal, and the request that it names.
struct Refused {
    error: BackendError,
    request_id: Option<String>,
}

impl Refused {
    /// The error for the call `request_id`. A refusal that names another request or none may be an
    /// earlier one, which the engine wrote once more on a kept connection.
    fn checked(self, request_id: &str) -> BackendError {
        if self.request_id.as_deref() == Some(request_id) {
            return self.error;
        }
        let named = self.request_id.as_deref().unwrap_or("none");
        BackendError::Lost {
            message: format!("a refusal for request {named} in place of {request_id}"),
        }
    }
}

async fn open_stream(
    engine: HttpEngine,
    to: SocketAddr,
    request: Request<Full<Bytes>>,
    identity: StreamIdentity,
    answers: Answers,
) -> Result<TokenStream> {
    let from = match answers {
        Answers::Call => 0,
        Answers::Resume { from } => from,
    };
    let sent = engine.limits.now();
    let response = engine.client.request(request).await.map_err(call_error)?;
    engine.limits.on_answer(to, &response, sent);
    if response.status() != StatusCode::OK {
        let refused = refusal_error(response).await;
        return Err(match answers {
            Answers::Call => refused.checked(&identity.request_id),
            Answers::Resume { .. } => refused.error,
        });
    }
    Ok(token_stream(response, identity, from))
}

/// A failure to connect proves that the call was not sent. After any later failure the call may
/// have run.
fn call_error(error: hyper_util::client::legacy::Error) -> BackendError {
    let message = error.to_string();
    if error.is_connect() {
        BackendError::Unreachable { message }
    } else {
        BackendError::Lost { message }
    }
}

/// The error for a refused call. A 4xx status or 503 means that the call did not start.
async fn refusal_error(response: Response<Incoming>) -> Refused {
    let status = response.status();
    let body = error_body(response).await;
    let code = body
        .code
        .or_else(|| error_code(body.error.as_ref()))
        .unwrap_or_default();
    let message = format!("status {status} {code}");
    let error = if code == "not_resident" {
        BackendError::NotResident
    } else if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        BackendError::NotStarted { message }
    } else {
        BackendError::Lost { message }
    };
    Refused {
        error,
        request_id: body.request_id,
    }
}

fn error_code(error: Option<&serde_json::Value>) -> Option<String> {
    let error = error?;
    let code = error.as_str().or_else(|| error.get("code")?.as_str())?;
    Some(code.to_owned())
}

async fn error_body(response: Response<Incoming>) -> ErrorBody {
    let limited = Limited::new(response.into_body(), MAX_ERROR_BYTES);
    match limited.collect().await {
        Ok(body) => serde_json::from_slice(&body.to_bytes()).unwrap_or_default(),
        Err(_) => ErrorBody::default(),
    }
}

/// Bytes of a stream of events.
type EventBytes = BoxStream<'static, io::Result<Bytes>>;

/// Bytes of a body, which end with an error in an event that is larger than [`MAX_EVENT_BYTES`]. The decoder
/// keeps an event until it is complete.
fn bounded_events(body: Incoming) -> EventBytes {
    let mut events = EventBuffer::default();
    let chunks = BodyDataStream::new(body).map(move |chunk| {
        let chunk = chunk.map_err(io::Error::other)?;
        events.push(&chunk);
        match events.partial_bytes() <= MAX_EVENT_BYTES {
            true => Ok(chunk),
            false => Err(io::Error::other("an event of the stream is too large")),
        }
    });
    chunks.boxed()
}

/// State of a token stream that is being read.
struct StreamReader {
    /// `None` only while the reader is dropped.
    events: Option<SseByteStream<EventBytes>>,
    identity: StreamIdentity,
    next_index: u64,
    /// Whether the stream was resumed and no token was read since.
    resumed: bool,
    finished: bool,
    ended: bool,
}

fn token_stream(response: Response<Incoming>, identity: StreamIdentity, from: u64) -> TokenStream {
    let reader = StreamReader {
        events: Some(SseByteStream::new(bounded_events(response.into_body()))),
        identity,
        next_index: from,
        resumed: from > 0,
        finished: false,
        ended: false,
    };
    futures::stream::unfold(reader, next_frame).boxed()
}

async fn next_frame(mut reader: StreamReader) -> Option<(Result<super::TokenFrame>, StreamReader)> {
    if reader.ended {
        return None;
    }
    loop {
        match read_next(&mut reader).await {
            Ok(Event::Empty) => {}
            Ok(Event::Done) => return None,
            Ok(Event::Token(frame)) => {
                reader.next_index += 1;
                reader.resumed = false;
                reader.finished = frame.finish_reason.is_some();
                return Some((Ok(frame), reader));
            }
            Err(error) => {
                reader.ended = true;
                return Some((Err(error), reader));
            }
        }
    }
}

impl Drop for StreamReader {
    /// Reads a finished answer to the end of its body. Otherwise its connection could not be
    /// reused, and each request would open a new one.
    fn drop(&mut self) {
        let Some(mut events) = self.events.take().filter(|_| self.finished) else {
            return;
        };
        tokio::spawn(async move {
            let rest = async { while events.next().await.is_some() {} };
            let _ = timeout(Duration::from_millis(BODY_END_TIMEOUT_MS), rest).await;
        });
    }
}

/// Reads one event. A stream that closes without a finish reason is incomplete and counts as lost.
async fn read_next(reader: &mut StreamReader) -> Result<Event> {
    let events = reader.events.as_mut();
    let events = events.expect("events are taken only on drop");
    let sse = match events.next().await {
        Some(Ok(sse)) => sse,
        Some(Err(error)) => {
            return Err(BackendError::Lost {
                message: error.to_string(),
            });
        }
        None if reader.finished => return Ok(Event::Done),
        None => {
            return Err(BackendError::Lost {
                message: "the stream closed before its last token".to_owned(),
            });
        }
    };
    match read_event(&sse, &reader.identity, reader.next_index)? {
        // The caller of a resumed stream may have received the last token before.
        Event::Done if !reader.finished && !reader.resumed => Err(BackendError::Lost {
            message: "the stream was closed without a finish reason".to_owned(),
        }),
        event => Ok(event),
    }
}

fn post(to: SocketAddr, path: &str, body: &serde_json::Value) -> Request<Full<Bytes>> {
    request_builder(Method::POST, to, path)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("method, address and path are valid")
}

fn bodyless(method: Method, to: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    request_builder(method, to, path)
        .body(Full::default())
        .expect("method, address and path are valid")
}

fn request_builder(method: Method, to: SocketAddr, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
}
