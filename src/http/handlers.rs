//! Handlers of the caller API that run completions and service calls.

use std::sync::Arc;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use hyper::body::Incoming;
use serde_json::json;

use super::body::read_body;
use super::caller::CallerContext;
use super::completion::CompletionMetadata;
use super::completion::completion_object;
use super::response::json_response;
use super::response::recorded_response;
use super::response::stream_response;
use super::server::Body;
use super::stream::relay_body;
use super::stream::resumed_body;
use crate::backend::StreamIdentity;
use crate::pipeline::ClassifiedRequest;
use crate::pipeline::Context;
use crate::pipeline::Format;
use crate::pipeline::RequestId;
use crate::pipeline::ServiceRequest;
use crate::pipeline::classify;
use crate::pipeline::identify;
use crate::pipeline::run_service;
use crate::pipeline::run_streamed;
use crate::pipeline::run_whole;
use crate::types::Refusal;
use crate::types::RefusalCode;

/// Response, or a refusal with the id of the request.
pub type HandlerResult = Result<Response<Body>, (String, Refusal)>;

/// Request without its body.
pub struct Request {
    /// Context shared by all handlers.
    pub context: Arc<CallerContext>,
    /// Method, URI and headers.
    pub parts: Parts,
    /// Id for responses to requests that name no id themselves.
    pub id: String,
}

impl Request {
    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.parts.headers
    }
}

/// Runs a completion.
pub async fn completion(request: &Request, format: Format, body: Incoming) -> HandlerResult {
    let cx = &request.context;
    let with_id = |refusal| (request.id.clone(), refusal);
    let headers = request.headers();
    // Authenticates before reading the body, so that unauthenticated callers cannot make the VM
    // buffer it.
    let caller = identify(&cx.pipeline, headers).map_err(with_id)?;
    let body = read_body(body, cx).await.map_err(with_id)?;
    let now = cx.pipeline.clock.unix();
    let classified = classify(caller, headers, format, &body, now).map_err(with_id)?;
    let id = classified.request_id.as_str().to_owned();
    log::debug!("caller: accepted request {id}");
    let answer = if classified.completion.stream {
        respond_streamed(&cx.pipeline, classified).await
    } else {
        respond_whole(&cx.pipeline, classified).await
    };
    match &answer {
        Ok(_) => log::debug!("caller: answered request {id}"),
        Err(refusal) => log::debug!("caller: refused request {id}: {}", refusal.message),
    }
    answer.map_err(|refusal| (id, refusal))
}

async fn respond_streamed(
    cx: &Context,
    request: ClassifiedRequest,
) -> Result<Response<Body>, Refusal> {
    let completion = request.completion.clone();
    let answer = run_streamed(cx, request).await?;
    let metadata = CompletionMetadata::new(answer.public_id, &completion, created_s(cx));
    let id = metadata.id.clone();
    let body = relay_body(metadata, answer.first, answer.relay);
    Ok(stream_response(&id, body))
}

async fn respond_whole(
    cx: &Context,
    request: ClassifiedRequest,
) -> Result<Response<Body>, Refusal> {
    let completion = request.completion.clone();
    let answer = run_whole(cx, request).await?;
    let metadata = CompletionMetadata::new(answer.public_id.clone(), &completion, created_s(cx));
    let body = completion_object(&metadata, &answer);
    Ok(json_response(StatusCode::OK, &metadata.id, &body))
}

fn created_s(cx: &Context) -> u64 {
    cx.clock.unix().0 / 1_000
}

/// Resumes a stream from the server that the id names. Any VM can resume it.
pub async fn resume(request: &Request, id: &str) -> HandlerResult {
    let with_id = |refusal| (id.to_owned(), refusal);
    let cx = &request.context.pipeline;
    let headers = request.headers();
    let caller = identify(cx, headers).map_err(with_id)?;
    let running = RequestId::parse_on_server(id).map_err(with_id)?;
    let from = next_index(request).map_err(with_id)?;
    let (address, _) = cx
        .servers
        .locate(&running.server)
        .ok_or_else(|| with_id(not_found(id)))?;
    let identity = StreamIdentity {
        request_id: running.id.for_backend(caller.account(), running.attempt),
        model: None,
    };
    let tokens = cx.engine.resume(address, identity, from).await;
    let tokens = tokens.map_err(|_| with_id(not_found(id)))?;
    let metadata = CompletionMetadata {
        id: id.to_owned(),
        model: None,
        format: running.format,
        created_s: created_s(cx),
    };
    Ok(stream_response(id, resumed_body(metadata, tokens, from)))
}

/// Index of the token after the last one that the caller received.
fn next_index(request: &Request) -> Result<u64, Refusal> {
    let name = "last-event-id";
    let Some(value) = request.headers().get(name) else {
        return Ok(0);
    };
    let text = value.to_str().unwrap_or("(not text)");
    text.parse::<u64>().map(|last| last + 1).map_err(|_| {
        let message = "Last-Event-ID must be the id of the last event received";
        Refusal::not_run(RefusalCode::BadRequest, message).with_field("Last-Event-ID", text)
    })
}

/// Cancels a running request of the caller.
pub async fn cancel(request: &Request, id: &str) -> HandlerResult {
    let with_id = |refusal| (id.to_owned(), refusal);
    let cx = &request.context.pipeline;
    let caller = identify(cx, request.headers()).map_err(with_id)?;
    let running = RequestId::parse_on_server(id).map_err(with_id)?;
    let (address, _) = cx
        .servers
        .locate(&running.server)
        .ok_or_else(|| with_id(not_found(id)))?;
    let backend_id = running.id.for_backend(caller.account(), running.attempt);
    let confirmed = cx.engine.cancel(address, backend_id).await;
    let body = json!({"id": id, "cancelled": confirmed});
    Ok(json_response(StatusCode::OK, id, &body))
}

/// Calls a plain service.
pub async fn service(
    request: &Request,
    service: &str,
    path: &str,
    body: Incoming,
) -> HandlerResult {
    let cx = &request.context;
    let id = request.id.clone();
    let body = match read_body(body, cx).await {
        Ok(body) => body,
        Err(refusal) => return Err((id, refusal)),
    };
    let call = ServiceRequest {
        service: service.to_owned(),
        method: request.parts.method.clone(),
        path: path.to_owned(),
        query: request.parts.uri.query().map(str::to_owned),
        headers: request.headers().clone(),
        body,
    };
    match run_service(&cx.pipeline, call).await {
        Ok(result) => Ok(recorded_response(&id, &result)),
        Err(refusal) => Err((id, refusal)),
    }
}

/// Refusal of a call whose task panicked or was cancelled.
pub fn task_failed() -> Refusal {
    Refusal::unknown(RefusalCode::Internal, "the task of the call failed")
}

fn not_found(id: &str) -> Refusal {
    let message = "no running request of the account has this id";
    Refusal::not_run(RefusalCode::NotFound, message).with_field("id", id)
}
