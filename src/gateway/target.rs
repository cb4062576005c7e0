//! What the configuration says about a request: its route and its account.

use std::sync::Arc;

use http::StatusCode;
use http::Version;
use http::header;
use http::request::Parts;
use tokio::time::Instant;

use super::answer::Refusal;
use super::context::Gateway;
use super::deployment::Account;
use super::deployment::Deployment;
use super::deployment::Route;
use super::dialect::CallerHead;
use super::record::RequestRecord;

/// Retry delay returned while the VM has no configuration.
const UNCONFIGURED_RETRY_MS: u64 = 300;
/// A head of this size is accepted whatever the configuration says, in bytes.
const LEAST_HEADER_LIMIT: usize = 8 * 1024;
/// End of a line in a head, in bytes.
const LINE_END_BYTES: usize = 2;
/// Spaces, HTTP version and end of a request's first line, in bytes.
const REQUEST_LINE_EXTRA_BYTES: usize = 12;
/// Colon, space and end of a header's line, in bytes.
const HEADER_EXTRA_BYTES: usize = 4;

/// What the configuration says about a request.
pub(super) struct Target {
    pub(super) deployment: Arc<Deployment>,
    pub(super) route: Arc<Route>,
    pub(super) account: Option<Arc<Account>>,
}

impl Target {
    /// Whether another VM may take the request to any of its services.
    fn goes_through_peers(&self, gateway: &Gateway) -> bool {
        let mut targets = self.route.targets.iter();
        targets.any(|(service, _)| gateway.draw_peer(service, &[]).is_some())
    }
}

/// Whether another VM has handled a request of this VM's callers by a newer configuration.
pub(super) fn is_outdated(gateway: &Gateway, deployment: &Deployment) -> bool {
    deployment.version < gateway.version_handled_elsewhere()
}

/// Finds the route and the account, and notes how the VM stands with the controllers if there are none.
pub(super) async fn find_target(
    gateway: &Gateway,
    parts: &Parts,
    caller: &CallerHead,
    deadline: Instant,
    record: &mut RequestRecord,
) -> Result<Target, Refusal> {
    let found = find_confirmed_target(gateway, parts, caller, deadline, record).await;
    if found.is_err() {
        note_contact(gateway, record);
    }
    found
}

/// Notes how the VM stands with the controllers.
pub(super) fn note_contact(gateway: &Gateway, record: &mut RequestRecord) {
    let contact = gateway.controller_contact();
    record.controller_links = Some(contact.links);
    record.confirmed_age_ms = contact.confirmed_age_ms;
}

/// Finds the route and the account. A refusal by a configuration that is not confirmed waits for the
/// confirmed one. A configuration that is older than what the caller has seen through another VM, or than that of
/// the VM which sent the request, handles none: another VM takes the request, or it waits for the newer one.
async fn find_confirmed_target(
    gateway: &Gateway,
    parts: &Parts,
    caller: &CallerHead,
    deadline: Instant,
    record: &mut RequestRecord,
) -> Result<Target, Refusal> {
    let known = gateway.first_configuration(deadline).await;
    let mut known = known.ok_or_else(|| unconfigured("no_configuration"))?;
    let least = gateway.version_handled_elsewhere();
    let least = least.max(record.asked_version.unwrap_or(0));
    if known.deployment.version < least {
        let found = target_in(Arc::clone(&known.deployment), parts, caller, record);
        if let Ok(target) = found
            && record.relayed_for.is_none()
            && target.goes_through_peers(gateway)
        {
            return Ok(target);
        }
        let newer = gateway.configuration_from(least, deadline).await;
        known = newer.ok_or_else(|| unconfigured("older_configuration"))?;
    }
    match target_in(known.deployment, parts, caller, record) {
        Err(_) if !known.is_confirmed => {
            let confirmed = gateway.confirmed_configuration(deadline).await;
            let confirmed = confirmed.ok_or_else(|| unconfigured("unconfirmed_configuration"))?;
            target_in(confirmed.deployment, parts, caller, record)
        }
        found => found,
    }
}

/// Refusal for want of a configuration that may be the reason of one.
pub(super) fn unconfigured(reason: &'static str) -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        reason,
        UNCONFIGURED_RETRY_MS,
    )
}

fn target_in(
    deployment: Arc<Deployment>,
    parts: &Parts,
    caller: &CallerHead,
    record: &mut RequestRecord,
) -> Result<Target, Refusal> {
    record.deployment_version = deployment.version;
    if record.relayed_for.is_none() {
        check_head_size(&deployment, parts)?;
    }
    let route = find_route(&deployment, parts)?;
    record.route = Some(route.name.clone());
    record.target_ms = route.target_latency_ms;
    check_http_version(&route, parts)?;
    let account = find_account(&deployment, &route, caller)?;
    record.account = account.as_ref().map(|account| account.name.clone());
    Ok(Target {
        deployment,
        route,
        account,
    })
}

fn find_route(deployment: &Deployment, parts: &Parts) -> Result<Arc<Route>, Refusal> {
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = deployment.route(host, parts.uri.path()).cloned();
    route.ok_or_else(|| Refusal::new(StatusCode::NOT_FOUND, "no_route"))
}

/// Refuses a head over the limit of the configuration.
fn check_head_size(deployment: &Deployment, parts: &Parts) -> Result<(), Refusal> {
    if head_bytes(parts) <= deployment.limits.header_bytes.max(LEAST_HEADER_LIMIT) {
        return Ok(());
    }
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Err(Refusal::new(status, "head_too_large"))
}

/// Bytes of a request's head.
fn head_bytes(parts: &Parts) -> usize {
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let request_line = parts.method.as_str().len() + path.len() + REQUEST_LINE_EXTRA_BYTES;
    let headers = parts.headers.iter();
    let header_bytes = headers
        .map(|(name, value)| name.as_str().len() + value.as_bytes().len() + HEADER_EXTRA_BYTES);
    request_line + header_bytes.sum::<usize>() + LINE_END_BYTES
}

/// Refuses a stream over HTTP/1.0, in which one that breaks off ends like a complete one.
fn check_http_version(route: &Route, parts: &Parts) -> Result<(), Refusal> {
    if !route.repeat.is_stream() || parts.version != Version::HTTP_10 {
        return Ok(());
    }
    let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
    Err(Refusal::new(status, "stream_over_http_1_0"))
}

fn find_account(
    deployment: &Deployment,
    route: &Route,
    caller: &CallerHead,
) -> Result<Option<Arc<Account>>, Refusal> {
    if route.is_public || deployment.accounts.is_empty() {
        return Ok(None);
    }
    let key = caller.key.as_deref().unwrap_or_default();
    match deployment.authenticate(key) {
        Some(account) => Ok(Some(Arc::clone(account))),
        None => Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown_key")),
    }
}
