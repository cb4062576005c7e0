//! First steps of a request: route, account, body and tokens.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use rand::RngExt;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::answer::Refusal;
use super::attempt::AttemptHistory;
use super::context::Gateway;
use super::deployment::Account;
use super::deployment::Route;
use super::dialect::CallerHead;
use super::exchange::BUSY_RETRY_MS;
use super::exchange::Exchange;
use super::exchange::LEAVING_RETRY_MS;
use super::exchange::elapsed_ms;
use super::forward::Template;
use super::grace_period;
use super::memory::read_body;
use super::quota::TokenGrant;
use super::record::RequestRecord;
use super::server_table::is_adapter;
use super::target::Target;
use super::target::find_target;
use super::target::is_outdated;
use crate::connections::activity::Activity;
use crate::limits::Shortage;
use crate::mechanisms::Mechanism;
use crate::scheduling::stream_origins::StreamOrigin;
use crate::types::Feature;
use crate::types::RequestFeatures;
use crate::types::ServiceName;

/// Retry delay returned while the VM does not know the limits of an account.
const UNKNOWN_LIMITS_RETRY_MS: u64 = 100;

/// Looks up the route and the account, reads the body and takes the tokens.
pub(super) async fn begin(
    gateway: &Arc<Gateway>,
    parts: &Parts,
    body: Incoming,
    caller: CallerHead,
    started: Instant,
    record: &mut RequestRecord,
) -> Result<Exchange, Refusal> {
    check_admitting(gateway)?;
    let relay_permit = match record.relayed_for {
        Some(_) => Some(relay_permit(gateway)?),
        None => None,
    };
    let grace_deadline = match gateway.is_enabled(Mechanism::GracePeriod) {
        true => grace_period::deadline(started, caller.wait_ms),
        false => started,
    };
    let Target {
        deployment,
        route,
        account,
    } = find_target(gateway, parts, &caller, grace_deadline, record).await?;
    let wait_ms = caller.wait_ms.unwrap_or(route.timeout_ms);
    let deadline = started + Duration::from_millis(wait_ms.min(route.timeout_ms));
    let body = read_body(gateway, &deployment, body, deadline, record).await?;
    // The body may have taken until the VM takes no new requests any more.
    check_admitting(gateway)?;
    let service = route.target(rand::rng().random()).clone();
    let is_relayed = relay_permit.is_none()
        && (gateway.is_cut_from(&service) || is_outdated(gateway, &deployment));
    let admitted = match is_relayed {
        true => Admitted::elsewhere(service),
        false => {
            let account = account.as_deref();
            admit(gateway, &route, account, &caller, service, grace_deadline).await?
        }
    };
    record.waited_ms = elapsed_ms(started);
    let features = Arc::new(features(parts, &body, &caller, account.as_deref()));
    let template = template(parts, body, &caller, &route, features);
    Ok(Exchange {
        history: AttemptHistory::of(&route),
        gateway: Arc::clone(gateway),
        is_engine: deployment.is_engine(&admitted.service),
        is_popular: admitted.is_popular,
        version: deployment.version,
        route,
        account,
        caller,
        service: admitted.service,
        origin: admitted.origin,
        template,
        started,
        deadline,
        tried: Vec::new(),
        taken: admitted.taken,
        is_relayed,
        relay_permit,
        connection: parts.extensions.get::<Arc<Activity>>().cloned(),
    })
}

/// Refuses a request once the VM is about to stop.
fn check_admitting(gateway: &Gateway) -> Result<(), Refusal> {
    if !gateway.is_leaving() {
        return Ok(());
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Err(Refusal::not_run(status, "vm_leaves", LEAVING_RETRY_MS))
}

/// Permit for a request of another entry VM.
fn relay_permit(gateway: &Gateway) -> Result<OwnedSemaphorePermit, Refusal> {
    gateway.relay_permit().ok_or_else(|| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Refusal::not_run(status, "too_many_relayed", BUSY_RETRY_MS)
    })
}

/// What a request that this VM sends to servers itself has taken and is bound to.
struct Admitted {
    service: ServiceName,
    origin: Option<StreamOrigin>,
    taken: Option<TokenGrant>,
    is_popular: bool,
}

impl Admitted {
    /// A request that another VM admits.
    fn elsewhere(service: ServiceName) -> Self {
        Self {
            service,
            origin: None,
            taken: None,
            is_popular: false,
        }
    }
}

/// Finds the origin of a stream that is resumed, takes the tokens and counts the request. `service` is that
/// of a request that resumes none.
async fn admit(
    gateway: &Gateway,
    route: &Route,
    account: Option<&Account>,
    caller: &CallerHead,
    service: ServiceName,
    grace_deadline: Instant,
) -> Result<Admitted, Refusal> {
    let resumed = gateway.resumed_origin(route, caller, grace_deadline);
    let origin = resumed.await?;
    let taken = take_tokens(gateway, account, caller, grace_deadline).await?;
    let service = match &origin {
        Some(origin) => origin.service.clone(),
        None => service,
    };
    gateway.count_request(&service);
    let adapter = caller.model.as_ref().filter(|model| is_adapter(model));
    let is_popular = adapter.is_some_and(|model| gateway.record_demand(model));
    Ok(Admitted {
        service,
        origin,
        taken: Some(taken),
        is_popular,
    })
}

fn template(
    parts: &Parts,
    body: Bytes,
    caller: &CallerHead,
    route: &Route,
    features: Arc<RequestFeatures>,
) -> Template {
    Template {
        request_id: caller.request_id.clone(),
        method: parts.method.clone(),
        uri: parts.uri.clone(),
        headers: end_to_end(&parts.headers),
        body,
        model: caller.model.clone(),
        prompt_tokens: caller.prompt_tokens.unwrap_or(0),
        may_repeat: route.repeat.may_run_again(),
        features,
    }
}

/// Features that may be the cause if a server crashes. A caller's repeats have their own ids.
fn features(
    parts: &Parts,
    body: &Bytes,
    caller: &CallerHead,
    account: Option<&Account>,
) -> RequestFeatures {
    let path = parts.uri.path_and_query();
    let path = path.map_or("", |path| path.as_str());
    let account = account.map_or("", |account| account.name.as_str());
    let method = parts.method.as_str();
    RequestFeatures {
        request: Feature::of_request(&[
            method.as_bytes(),
            path.as_bytes(),
            account.as_bytes(),
            body,
        ]),
        parts: caller.shared_parts.clone(),
    }
}

/// Takes the tokens of a request. While the fleet's buckets cannot be reached, it retries until
/// `grace_deadline`: most requests are within their account's rate, and the buckets are soon
/// reachable again.
async fn take_tokens(
    gateway: &Gateway,
    account: Option<&Account>,
    caller: &CallerHead,
    grace_deadline: Instant,
) -> Result<TokenGrant, Refusal> {
    let Some(account) = account else {
        return Ok(TokenGrant::Unlimited);
    };
    let tokens = account.cost(caller.tokens());
    let mut permit = None;
    loop {
        let shortage = match gateway.quota.take(account, tokens).await {
            Ok(taken) => return Ok(taken),
            Err(shortage) => shortage,
        };
        if permit.is_none() {
            permit = gateway.grace_permit();
        }
        match next_attempt(gateway, shortage, grace_deadline) {
            Some(next) if permit.is_some() => sleep_until(next).await,
            _ => return Err(over_limit(shortage)),
        }
    }
}

fn next_attempt(gateway: &Gateway, shortage: Shortage, grace_deadline: Instant) -> Option<Instant> {
    match shortage {
        Shortage::Later { retry_after_ms } if !gateway.quota.is_reached() => {
            grace_period::next_attempt(Instant::now(), grace_deadline, retry_after_ms)
        }
        _ => None,
    }
}

fn over_limit(shortage: Shortage) -> Refusal {
    let status = StatusCode::TOO_MANY_REQUESTS;
    match shortage {
        Shortage::Later { retry_after_ms } => {
            Refusal::not_run(status, "over_rate", retry_after_ms.max(1))
        }
        Shortage::TooLarge { .. } => Refusal::new(status, "over_burst"),
        Shortage::UnknownAccount => {
            Refusal::not_run(status, "limits_unknown", UNKNOWN_LIMITS_RETRY_MS)
        }
    }
}

/// Removes the headers that apply only to the caller's connection.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        kept.remove(name.as_str());
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    ] {
        kept.remove(name);
    }
    kept
}
