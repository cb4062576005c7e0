//! Calls of plain HTTP services, by the routes of the control state.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use tokio::time::timeout;

use super::authenticate::authenticate;
use super::classify::bad_request;
use super::classify::read_deadline;
use super::classify::text_header;
use super::context::Context;
use super::dispatcher::RETRY_AFTER_MS;
use super::order::Order;
use super::order::run_order;
use crate::backend::BackendError;
use crate::backend::HttpClient;
use crate::backend::ServiceCall;
use crate::backend::ServiceReply;
use crate::backend::call_service;
use crate::control::Access;
use crate::control::CutOffPolicy;
use crate::control::OrderKey;
use crate::control::RecordedResult;
use crate::control::Route;
use crate::control::Sha256Hash;
use crate::types::AccountName;
use crate::types::MonoMs;
use crate::types::Patience;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::RunState;
use crate::types::ServerName;
use crate::types::UnixMs;

/// Result of a call.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Account under which orders on open routes are recorded. No client account has this name.
const OPEN_ACCOUNT: &str = "(open)";
/// Maximum number of attempts of a repeatable call.
const MAX_ATTEMPTS: u32 = 3;
/// Time for which the record of an order is kept after its deadline.
const RECORD_RETENTION_MS: u64 = 12 * 60 * 60 * 1_000;
/// Part of a call's time that is left, at least, when it is sent to a server. A call that has waited longer
/// would run in vain.
const LEAST_TIME_DIVISOR: u64 = 10;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A call of a plain service as received from the caller.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Service name.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path below the service, starting with `/`, without the query.
    pub path: String,
    /// Query without `?`.
    pub query: Option<String>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Result of the checks of a call.
struct CheckedCall {
    account: Option<AccountName>,
    route: Route,
    deadline: UnixMs,
}

/// Runs `request`; at most once if its route is not repeatable.
///
/// # Errors
/// `NotFound` without a route, `Unauthorized` on keyed routes, `BadRequest` without an idempotency
/// key on routes that are not repeatable, and the failures of the call itself.
pub async fn run_service(cx: &Context, request: ServiceRequest) -> Result<RecordedResult> {
    let checked = check(cx, &request)?;
    if checked.route.repeatable {
        return run_repeatable(cx, request, &checked).await;
    }
    let order = read_order(&request, &checked)?;
    // The order runs in its own task, so that it continues if the caller disconnects: it may have
    // been sent already.
    let cx = cx.clone();
    let task = tokio::spawn(async move { run_at_most_once(&cx, request, checked, order).await });
    task.await.unwrap_or_else(|_| {
        let message = "the order's task failed; its outcome is not known";
        Err(Refusal::unknown(RefusalCode::Internal, message))
    })
}

fn check(cx: &Context, request: &ServiceRequest) -> Result<CheckedCall> {
    cx.health.check_open(true)?;
    let route = find_route(cx, request)?;
    let (account, serves_when_cut_off) = match route.access {
        Access::Open => (None, true),
        Access::Keyed => {
            let caller = authenticate(&*cx.keys, &request.headers)?;
            let policy = caller.parameters().when_cut_off;
            (
                Some(caller.account().clone()),
                policy == CutOffPolicy::Serve,
            )
        }
    };
    cx.health.check_open(serves_when_cut_off)?;
    let deadline = read_deadline(&request.headers, Patience::Urgent, cx.clock.unix())?;
    Ok(CheckedCall {
        account,
        route,
        deadline,
    })
}

fn find_route(cx: &Context, request: &ServiceRequest) -> Result<Route> {
    let method = request.method.as_str();
    cx.replicated_log
        .route(&request.service, method, &request.path)
        .ok_or_else(|| {
            let message = "no route covers this service, method and path";
            let call = format!("{method} {}{}", request.service, request.path);
            Refusal::not_run(RefusalCode::NotFound, message).with_field("path", call)
        })
}

fn read_order(request: &ServiceRequest, checked: &CheckedCall) -> Result<Order> {
    let name = "Idempotency-Key";
    let key = text_header(&request.headers, "idempotency-key")?.unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message =
            format!("this route may not be repeated and needs a key of 1 to {MAX_KEY_BYTES} bytes");
        let shown = if key.is_empty() {
            "missing"
        } else {
            "too long"
        };
        return Err(bad_request(name, shown, message));
    }
    let account = checked.account.clone();
    let mut body = Vec::new();
    for part in [
        request.method.as_str(),
        &request.service,
        &request.path,
        request.query.as_deref().unwrap_or_default(),
    ] {
        body.extend_from_slice(part.as_bytes());
        body.push(0);
    }
    body.extend_from_slice(&request.body);
    Ok(Order {
        key: OrderKey {
            account: account.unwrap_or_else(|| AccountName::from(OPEN_ACCOUNT)),
            key_hash: Sha256Hash::of(key.as_bytes()),
        },
        body_hash: Sha256Hash::of(&body),
        expires: checked.deadline.plus(RECORD_RETENTION_MS),
    })
}

async fn run_at_most_once(
    cx: &Context,
    request: ServiceRequest,
    checked: CheckedCall,
    order: Order,
) -> Result<RecordedResult> {
    let order_id = hex::encode(
        Sha256Hash::of(
            format!("{}\0{}", order.key.account, order.key.key_hash.to_hex()).as_bytes(),
        )
        .0,
    );
    let sender = cx.clone();
    let send = move || {
        async move {
            let call = service_call(&sender, &request, Some(order_id.into()));
            let client = sender.single_use_client.clone();
            attempt_call(&sender, &client, &checked, call).await
        }
        .boxed()
    };
    run_order(cx, order, Box::new(send)).await
}

async fn run_repeatable(
    cx: &Context,
    request: ServiceRequest,
    checked: &CheckedCall,
) -> Result<RecordedResult> {
    cx.retry_budget.add_request();
    let mut attempts = 0;
    let mut run = RunState::NotRun;
    loop {
        attempts += 1;
        let call = service_call(cx, &request, None);
        match attempt_call(cx, &cx.pooled_client, checked, call).await {
            Ok(reply) => return Ok(RecordedResult::from(reply)),
            Err(BackendError::NoCapacity {
                message,
                retry_after_ms,
            }) => {
                let refusal = Refusal::not_run(RefusalCode::Overloaded, message);
                let refusal = refusal.with_retry_after_ms(retry_after_ms);
                return Err(Refusal { run, ..refusal });
            }
            Err(error) => {
                if !error.is_not_run() {
                    run = RunState::Unknown;
                }
                let expired = cx.clock.unix() >= checked.deadline;
                if attempts >= MAX_ATTEMPTS || expired || !cx.retry_budget.take() {
                    let refusal = Refusal::not_run(RefusalCode::BackendFailed, error.to_string());
                    return Err(Refusal { run, ..refusal });
                }
            }
        }
    }
}

/// Sends `call` to a provider and waits until the deadline for the whole answer.
async fn attempt_call(
    cx: &Context,
    client: &HttpClient,
    checked: &CheckedCall,
    call: ServiceCall,
) -> std::result::Result<ServiceReply, BackendError> {
    let remaining_ms = checked.deadline.since(cx.clock.unix());
    let deadline = cx.clock.mono().plus(remaining_ms);
    let wait_ms = remaining_ms - remaining_ms / LEAST_TIME_DIVISOR;
    let send_deadline = cx.clock.mono().plus(wait_ms);
    let provider = ReservedProvider::reserve(cx, checked, send_deadline).await?;
    let Some((address, _)) = cx.servers.locate(&provider.server) else {
        return Err(not_started("the provider left before the call"));
    };
    let answer = call_service(client, cx.server_permits.named(), address, call);
    let remaining = Duration::from_millis(deadline.since(cx.clock.mono()));
    timeout(remaining, answer).await.unwrap_or_else(|_| {
        Err(BackendError::Lost {
            message: "no answer arrived in time".to_owned(),
        })
    })
}

/// A provider whose call counts towards its load until this is dropped.
struct ReservedProvider {
    cx: Context,
    server: ServerName,
}

impl ReservedProvider {
    /// Waits until `deadline` for a provider that can take the call, and for its permit.
    async fn reserve(
        cx: &Context,
        checked: &CheckedCall,
        deadline: MonoMs,
    ) -> std::result::Result<Self, BackendError> {
        let service = &checked.route.service;
        loop {
            let assigned = cx
                .dispatcher
                .assign_service(service, Patience::Urgent, deadline);
            let server = assigned.await.map_err(not_assigned)?;
            let provider = Self {
                cx: cx.clone(),
                server,
            };
            let address = cx.servers.locate(&provider.server);
            let has_permit = match address {
                Some((address, incarnation)) => {
                    let permits = &cx.server_permits;
                    permits.take(&provider.server, address, incarnation).await
                }
                None => true,
            };
            if cx.clock.mono() > deadline {
                return Err(permit_too_late());
            }
            if has_permit {
                return Ok(provider);
            }
        }
    }
}

impl Drop for ReservedProvider {
    fn drop(&mut self) {
        self.cx.dispatcher.finish_service(&self.server);
    }
}

fn not_assigned(refusal: Refusal) -> BackendError {
    match (refusal.code, refusal.retry_after_ms) {
        (RefusalCode::Overloaded, Some(retry_after_ms)) => BackendError::NoCapacity {
            message: refusal.message,
            retry_after_ms,
        },
        _ => not_started(&refusal.message),
    }
}

fn permit_too_late() -> BackendError {
    BackendError::NoCapacity {
        message: "the provider had no permit for the call in time".to_owned(),
        retry_after_ms: RETRY_AFTER_MS,
    }
}

fn not_started(message: &str) -> BackendError {
    BackendError::NotStarted {
        message: message.to_owned(),
    }
}

fn service_call(cx: &Context, request: &ServiceRequest, order_id: Option<Arc<str>>) -> ServiceCall {
    let path = match &request.query {
        Some(query) => format!("{}?{query}", request.path),
        None => request.path.clone(),
    };
    ServiceCall {
        method: request.method.clone(),
        path,
        headers: request.headers.clone(),
        body: request.body.clone(),
        order_id,
        vm: cx.replicated_log.owner().vm,
    }
}

impl From<ServiceReply> for RecordedResult {
    fn from(reply: ServiceReply) -> Self {
        Self {
            status: reply.status.as_u16(),
            content_type: reply.content_type,
            body: Some(reply.body),
        }
    }
}

/// HTTP status of the answer with a recorded result.
pub fn status_of(result: &RecordedResult) -> StatusCode {
    StatusCode::from_u16(result.status).unwrap_or(StatusCode::BAD_GATEWAY)
}
