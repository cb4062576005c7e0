//! The caller API: completions, streams, jobs, plain services, announcements and probes.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use http::Request as HttpRequest;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use snafu::Snafu;

use super::announcement::read_announcement;
use super::body::read_body;
use super::handlers;
use super::handlers::HandlerResult;
use super::handlers::Request;
use super::response::json_response;
use super::response::recorded_response;
use super::response::refusal_response;
use super::server::Body;
use super::server::Handler;
use super::server::HttpServer;
use crate::configs::connections::ProcessLimits;
use crate::connections::budget::ByteBudget;
use crate::membership;
use crate::pipeline::Context;
use crate::pipeline::Format;
use crate::pipeline::RequestId;
use crate::pipeline::cancel_job;
use crate::pipeline::job_result;
use crate::pipeline::job_status;
use crate::pipeline::submit_job;
use crate::types::Refusal;
use crate::types::RefusalCode;

/// Context shared by all handlers.
pub struct CallerContext {
    /// Context of the request pipeline.
    pub pipeline: Context,
    /// Membership, which receives announcements.
    pub members: membership::Handle,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Memory that the bodies of requests share.
    pub bodies: ByteBudget,
    /// Limits of the VM on the process.
    pub process_limits: ProcessLimits,
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
    server: HttpServer,
}

impl CallerServer {
    /// Starts to listen on `address`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr, context: Arc<CallerContext>) -> Result<Self, StartError> {
        let limits = context.process_limits;
        let handler = Arc::new(CallerApi { context });
        let server = HttpServer::bind(address, handler, limits).map_err(|error| StartError {
            address,
            message: error.to_string(),
        })?;
        log::info!("caller: listening on {}", server.local_address());
        Ok(Self { server })
    }

    /// Address that the server listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Stops accepting connections and waits for the requests in progress.
    pub async fn close(&self) {
        self.server.close().await;
    }
}

/// Routes each request to its handler.
struct CallerApi {
    context: Arc<CallerContext>,
}

impl Handler for CallerApi {
    fn handle(
        self: Arc<Self>,
        request: HttpRequest<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        let (parts, body) = request.into_parts();
        let request = Request {
            context: self.context.clone(),
            parts,
            id: RequestId::random().as_str().to_owned(),
        };
        async move {
            let outcome = route(&request, body).await;
            outcome.unwrap_or_else(|(id, refusal)| refusal_response(&id, &refusal))
        }
        .boxed()
    }
}

async fn route(request: &Request, body: Incoming) -> HandlerResult {
    let path = request.parts.uri.path();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (&request.parts.method, segments.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => {
            handlers::completion(request, Format::Chat, body).await
        }
        (&Method::POST, ["v1", "completions"]) => {
            handlers::completion(request, Format::Text, body).await
        }
        (&Method::GET, ["v1", "streams", id]) => handlers::resume(request, id).await,
        (&Method::DELETE, ["v1", "requests", id]) => handlers::cancel(request, id).await,
        (&Method::POST, ["v1", "jobs"]) => create_job(request, body).await,
        (&Method::GET, ["v1", "jobs", id]) => get_job(request, id),
        (&Method::GET, ["v1", "jobs", id, "result"]) => get_job_result(request, id),
        (&Method::DELETE, ["v1", "jobs", id]) => delete_job(request, id).await,
        (&Method::POST, ["v1", "announcements"]) => announce(request, body).await,
        (&Method::GET, ["healthz"]) => Ok(status(request, "running")),
        (&Method::GET, ["readyz"]) => readyz(request),
        (_, ["services", service, ..]) => {
            let prefix = "/services/".len() + service.len();
            handlers::service(request, service, &path[prefix..], body).await
        }
        (method, _) => Err((request.id.clone(), not_found(method, path))),
    }
}

/// Accepts a job. The submission continues if its caller disconnects, because its record may have
/// been committed.
async fn create_job(request: &Request, body: Incoming) -> HandlerResult {
    let refuse = |refusal| (request.id.clone(), refusal);
    let headers = request.headers().clone();
    let body = read_body(body, &request.context).await;
    let body = body.map_err(refuse)?;
    let pipeline = request.context.pipeline.clone();
    let task = tokio::spawn(async move { submit_job(&pipeline, &headers, &body).await });
    let accepted = task.await.unwrap_or_else(|_| Err(handlers::task_failed()));
    let view = accepted.map_err(refuse)?;
    Ok(json_response(StatusCode::ACCEPTED, &request.id, &view))
}

fn get_job(request: &Request, id: &str) -> HandlerResult {
    let view = job_status(&request.context.pipeline, request.headers(), id);
    let view = view.map_err(|refusal| (request.id.clone(), refusal))?;
    Ok(json_response(StatusCode::OK, &request.id, &view))
}

fn get_job_result(request: &Request, id: &str) -> HandlerResult {
    let result = job_result(&request.context.pipeline, request.headers(), id);
    let result = result.map_err(|refusal| (request.id.clone(), refusal))?;
    Ok(recorded_response(&request.id, &result))
}

async fn delete_job(request: &Request, id: &str) -> HandlerResult {
    let cancelled = cancel_job(&request.context.pipeline, request.headers(), id).await;
    let view = cancelled.map_err(|refusal| (request.id.clone(), refusal))?;
    Ok(json_response(StatusCode::OK, &request.id, &view))
}

/// Records an announcement of a backend server.
async fn announce(request: &Request, body: Incoming) -> HandlerResult {
    let refuse = |refusal| (request.id.clone(), refusal);
    let body = read_body(body, &request.context).await;
    let announcement = read_announcement(&body.map_err(refuse)?).map_err(refuse)?;
    request.context.members.announce(announcement);
    Ok(json_response(StatusCode::OK, &request.id, &json!({})))
}

fn readyz(request: &Request) -> HandlerResult {
    let ready = request.context.pipeline.health.check_ready();
    ready.map_err(|refusal| (request.id.clone(), refusal))?;
    Ok(status(request, "ready"))
}

fn status(request: &Request, status: &str) -> Response<Body> {
    json_response(StatusCode::OK, &request.id, &json!({"status": status}))
}

fn not_found(method: &Method, path: &str) -> Refusal {
    let truncated: String = path.chars().take(256).collect();
    Refusal::not_run(RefusalCode::NotFound, "no such method and path")
        .with_field("path", format!("{method} {truncated}"))
}
