//! The caller API: completions, streams, jobs, plain services, announcements and probes.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::StreamingBody;
use dropshot::endpoint;
use http::Response;
use http::StatusCode;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::json;
use slog::Drain;
use snafu::Snafu;

use super::announcement::read_announcement;
use super::answer::json_answer;
use super::answer::recorded_answer;
use super::answer::refusal_answer;
use super::body::read_body;
use super::calls;
use super::calls::CallOutcome;
use crate::membership;
use crate::pipeline::Context;
use crate::pipeline::Format;
use crate::pipeline::cancel_job;
use crate::pipeline::job_result;
use crate::pipeline::job_status;
use crate::pipeline::submit_job;

/// Handler results. Refusals are answers, so handlers do not fail.
type HandlerResult = Result<Response<Body>, HttpError>;

/// Bytes by which the server's own limit exceeds the one of the settings, so that a body over the
/// limit of the settings gets an answer that says so. More than the server reads at a time, since
/// its own limit is applied first to each piece.
const BODY_MARGIN_BYTES: usize = 1024 * 1024;

/// What all handlers share.
pub struct CallerContext {
    /// Parts of the VM that the stages use.
    pub pipeline: Context,
    /// Takes announcements.
    pub members: membership::Handle,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

/// Why the caller API did not start.
#[derive(Debug, Snafu)]
#[snafu(display("caller API on {address}: {message}"))]
pub struct StartError {
    address: SocketAddr,
    message: String,
}

/// A running caller API.
pub struct CallerServer {
    server: HttpServer<Arc<CallerContext>>,
}

impl CallerServer {
    /// Listens at `address`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr, context: Arc<CallerContext>) -> Result<Self, StartError> {
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: context.max_body_bytes + BODY_MARGIN_BYTES,
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(slog::Discard.fuse(), slog::o!());
        let server = ServerBuilder::new(api(), context, log)
            .config(config)
            .start()
            .map_err(|error| StartError {
                address,
                message: error.to_string(),
            })?;
        log::info!("caller: listening on {}", server.local_addr());
        Ok(Self { server })
    }

    /// Address the server listens at.
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops accepting connections and waits for the requests in progress.
    pub async fn close(self) {
        if let Err(error) = self.server.close().await {
            log::warn!("caller: stopped with an error: {error}");
        }
    }
}

fn api() -> ApiDescription<Arc<CallerContext>> {
    let mut api = ApiDescription::new();
    register(&mut api).expect("paths and methods of the endpoints are distinct");
    api
}

fn register(
    api: &mut ApiDescription<Arc<CallerContext>>,
) -> Result<(), dropshot::ApiDescriptionRegisterError> {
    api.register(chat_completions)?;
    api.register(completions)?;
    api.register(resume_stream)?;
    api.register(cancel_request)?;
    api.register(create_job)?;
    api.register(get_job)?;
    api.register(get_job_result)?;
    api.register(delete_job)?;
    api.register(announce)?;
    api.register(healthz)?;
    api.register(readyz)?;
    api.register(service_get)?;
    api.register(service_post)?;
    api.register(service_put)?;
    api.register(service_delete)
}

#[derive(Deserialize, JsonSchema)]
struct IdPath {
    id: String,
}

#[derive(Deserialize, JsonSchema)]
struct ServicePath {
    service: String,
    path: Vec<String>,
}

type Request = RequestContext<Arc<CallerContext>>;

fn answer(outcome: CallOutcome) -> HandlerResult {
    Ok(outcome.unwrap_or_else(|(id, refusal)| refusal_answer(&id, &refusal)))
}

/// Runs a chat completion.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat_completions(request: Request, body: StreamingBody) -> HandlerResult {
    answer(calls::completion(&request, Format::Chat, body).await)
}

/// Runs a text completion.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn completions(request: Request, body: StreamingBody) -> HandlerResult {
    answer(calls::completion(&request, Format::Text, body).await)
}

/// Continues a stream after the token named by `Last-Event-ID`.
#[endpoint { method = GET, path = "/v1/streams/{id}" }]
async fn resume_stream(request: Request, path: Path<IdPath>) -> HandlerResult {
    let id = path.into_inner().id;
    answer(calls::resume(&request, &id).await)
}

/// Cancels a running request.
#[endpoint { method = DELETE, path = "/v1/requests/{id}" }]
async fn cancel_request(request: Request, path: Path<IdPath>) -> HandlerResult {
    let id = path.into_inner().id;
    answer(calls::cancel(&request, &id).await)
}

/// Accepts a job.
#[endpoint { method = POST, path = "/v1/jobs" }]
async fn create_job(request: Request, body: StreamingBody) -> HandlerResult {
    let cx = request.context();
    let id = request.request_id.clone();
    let headers = request.request.headers().clone();
    let body = match read_body(body, cx.max_body_bytes).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal_answer(&id, &refusal)),
    };
    // The submission goes on if its caller leaves, since it may have been committed already.
    let pipeline = cx.pipeline.clone();
    let task = tokio::spawn(async move { submit_job(&pipeline, &headers, &body).await });
    let accepted = task.await.unwrap_or_else(|_| Err(calls::task_failed()));
    Ok(match accepted {
        Ok(view) => json_answer(StatusCode::ACCEPTED, &id, &view),
        Err(refusal) => refusal_answer(&id, &refusal),
    })
}

/// Tells how far a job has come.
#[endpoint { method = GET, path = "/v1/jobs/{id}" }]
async fn get_job(request: Request, path: Path<IdPath>) -> HandlerResult {
    let headers = request.request.headers();
    let id = &request.request_id;
    let job = job_status(&request.context().pipeline, headers, &path.into_inner().id);
    Ok(match job {
        Ok(view) => json_answer(StatusCode::OK, id, &view),
        Err(refusal) => refusal_answer(id, &refusal),
    })
}

/// Gives the result of a job.
#[endpoint { method = GET, path = "/v1/jobs/{id}/result" }]
async fn get_job_result(request: Request, path: Path<IdPath>) -> HandlerResult {
    let headers = request.request.headers();
    let id = &request.request_id;
    let result = job_result(&request.context().pipeline, headers, &path.into_inner().id);
    Ok(match result {
        Ok(result) => recorded_answer(id, &result),
        Err(refusal) => refusal_answer(id, &refusal),
    })
}

/// Cancels a job.
#[endpoint { method = DELETE, path = "/v1/jobs/{id}" }]
async fn delete_job(request: Request, path: Path<IdPath>) -> HandlerResult {
    let headers = request.request.headers();
    let id = &request.request_id;
    let job = path.into_inner().id;
    let cancelled = cancel_job(&request.context().pipeline, headers, &job).await;
    Ok(match cancelled {
        Ok(view) => json_answer(StatusCode::OK, id, &view),
        Err(refusal) => refusal_answer(id, &refusal),
    })
}

/// Takes an announcement of a backend server.
#[endpoint { method = POST, path = "/v1/announcements" }]
async fn announce(request: Request, body: StreamingBody) -> HandlerResult {
    let cx = request.context();
    let id = &request.request_id;
    let body = match read_body(body, cx.max_body_bytes).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal_answer(id, &refusal)),
    };
    Ok(match read_announcement(&body) {
        Ok(announcement) => {
            cx.members.announce(announcement);
            json_answer(StatusCode::OK, id, &json!({}))
        }
        Err(refusal) => refusal_answer(id, &refusal),
    })
}

/// Answers while the process runs.
#[endpoint { method = GET, path = "/healthz" }]
async fn healthz(request: Request) -> HandlerResult {
    Ok(json_answer(
        StatusCode::OK,
        &request.request_id,
        &json!({"status": "running"}),
    ))
}

/// Answers with success while the VM accepts work.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(request: Request) -> HandlerResult {
    let id = &request.request_id;
    Ok(match request.context().pipeline.health.check_ready() {
        Ok(()) => json_answer(StatusCode::OK, id, &json!({"status": "ready"})),
        Err(refusal) => refusal_answer(id, &refusal),
    })
}

/// Calls a plain service.
#[endpoint { method = GET, path = "/services/{service}/{path:.*}", unpublished = true }]
async fn service_get(
    request: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> HandlerResult {
    call_service(request, path, body).await
}

/// Calls a plain service.
#[endpoint { method = POST, path = "/services/{service}/{path:.*}", unpublished = true }]
async fn service_post(
    request: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> HandlerResult {
    call_service(request, path, body).await
}

/// Calls a plain service.
#[endpoint { method = PUT, path = "/services/{service}/{path:.*}", unpublished = true }]
async fn service_put(
    request: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> HandlerResult {
    call_service(request, path, body).await
}

/// Calls a plain service.
#[endpoint { method = DELETE, path = "/services/{service}/{path:.*}", unpublished = true }]
async fn service_delete(
    request: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> HandlerResult {
    call_service(request, path, body).await
}

async fn call_service(
    request: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> HandlerResult {
    let path = path.into_inner();
    answer(calls::service(&request, path.service, &path.path, body).await)
}
