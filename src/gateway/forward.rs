//! Sends one request to one backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::context::Gateway;
use super::crashes;
use super::dialect::AnswerHead;
use super::dialect::ForwardMetadata;
use super::leaving_servers;
use super::meter::Meter;
use super::pool;
use super::server_limits;
use super::server_rests;
use super::server_table::Distance;
use crate::registry::Announcement;
use crate::scheduling::crash_evidence::Progress;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::RequestFeatures;
use crate::types::ServerName;
use crate::types::SoftwareVersion;
use crate::types::is_final;

/// Connection timeout within the region.
const CONNECT_NEAR_MS: u64 = 300;
/// Connection timeout to another region.
const CONNECT_FAR_MS: u64 = 700;
/// Time for which a server that cannot be connected to gets no new requests.
const UNREACHABLE_AVOID_MS: u64 = 1_000;
/// Time for which a server gets no new requests after another one answered at its address.
const REPLACED_AVOID_MS: u64 = 10_000;
/// Time for which a full server gets no new requests.
const FULL_AVOID_MS: u64 = 100;

/// Reason of a request that was not sent because its server rests.
pub(super) const RESTING: &str = "server_resting";
/// Reason of a request that was not sent because its server is about to leave.
pub(super) const LEAVING: &str = "server_leaving";

/// Parts of a request that are the same for every attempt.
#[derive(Clone, Debug)]
pub(super) struct Template {
    pub(super) request_id: Option<Arc<str>>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) model: Option<ModelName>,
    /// Tokens of the prompt as stated by the caller.
    pub(super) prompt_tokens: u64,
    pub(super) may_repeat: bool,
    pub(super) features: Arc<RequestFeatures>,
}

/// Answer of a server whose body has not been read.
pub(super) struct Reply {
    pub(super) response: Response<Incoming>,
    pub(super) connection: AnswerConnection,
}

/// Connection of an answer whose body has not been read, and the count of the request at its
/// server.
pub(super) struct AnswerConnection {
    head: AnswerHead,
    connection: pool::Connection,
    guard: InFlight,
}

impl AnswerConnection {
    /// Counts bytes of the body.
    pub(super) fn meter(&self) -> Meter {
        self.connection.meter.clone()
    }

    /// Whether the answer states that its server is about to leave.
    pub(super) fn states_leaving(&self) -> bool {
        self.head.is_leaving
    }

    /// Version of the server's software.
    pub(super) fn software(&self) -> &SoftwareVersion {
        &self.guard.target.software
    }

    /// Records the first bytes of a stream.
    pub(super) fn record_first_event(&mut self) {
        self.guard.record_first_event();
    }

    /// Records that the answer is complete, or has a complete event.
    pub(super) fn record_begun(&mut self) {
        self.guard.record_begun();
    }

    /// Records that the connection broke within the answer.
    pub(super) fn record_broken(&self) {
        self.guard.record_broken(Progress::Answering);
    }

    /// Returns the connection to the pool after the body has been read, unless the server closes
    /// it.
    pub(super) fn finish(self, gateway: &Gateway) {
        if !self.head.closes {
            let address = self.guard.target.address;
            gateway
                .pool()
                .put(address, self.connection, self.head.keep_idle);
        }
    }
}

/// Attempt that ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SendFailure {
    /// The server did not receive the request.
    NotSent(&'static str),
    /// The server states that it did not run the request.
    NotRun(&'static str),
    /// The request was sent and may have run.
    Lost(&'static str),
    /// The same, as the connection broke: the server may have crashed.
    Broken(&'static str),
}

impl SendFailure {
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::NotSent(reason)
            | Self::NotRun(reason)
            | Self::Lost(reason)
            | Self::Broken(reason) => reason,
        }
    }
}

/// Counts a request at a server until it is dropped.
pub(super) struct InFlight {
    gateway: Arc<Gateway>,
    pub(super) target: Announcement,
    model: Option<ModelName>,
    features: Arc<RequestFeatures>,
    has_begun: bool,
    /// Prompt tokens that have not been processed.
    prompt_tokens: u64,
    sent_at: Instant,
    /// The same on the clock of the server table.
    pub(super) sent_mono: MonoMs,
    /// Prompt tokens that were waiting at the server when the request was sent, including its own.
    ahead_tokens: f64,
}

impl InFlight {
    fn start(gateway: &Arc<Gateway>, target: Announcement, template: &Template) -> Self {
        let prompt_tokens = template.prompt_tokens;
        let now = gateway.now();
        let mut table = gateway.server_table();
        table.record_dispatch(&target.server, prompt_tokens);
        let ahead_tokens = table.waiting_tokens(&target.server, now);
        drop(table);
        let model = template.model.as_ref();
        let model = model.filter(|model| super::server_table::is_adapter(model));
        if let Some(model) = model {
            gateway
                .adapter_usage()
                .record_dispatch(&target.server, model, prompt_tokens);
        }
        Self {
            gateway: Arc::clone(gateway),
            model: model.cloned(),
            features: Arc::clone(&template.features),
            has_begun: false,
            target,
            prompt_tokens,
            sent_at: Instant::now(),
            sent_mono: now,
            ahead_tokens,
        }
    }

    /// Records the first event of the answer, which shows that the prompt has been processed.
    fn record_first_event(&mut self) {
        let took_ms = self.sent_at.elapsed().as_millis() as u64;
        let service = &self.target.service;
        let mut table = self.gateway.server_table();
        table.record_first_event(service, took_ms, self.ahead_tokens);
        drop(table);
        self.prompt_done();
    }

    /// Removes the prompt from the server's backlog.
    fn prompt_done(&mut self) {
        let tokens = std::mem::take(&mut self.prompt_tokens);
        let server = &self.target.server;
        let mut table = self.gateway.server_table();
        table.record_prompt_done(server, self.target.started_unix_ms, tokens);
        drop(table);
        if let Some(model) = self.model.as_ref().filter(|_| tokens > 0) {
            self.gateway
                .adapter_usage()
                .record_prompt_done(server, model, tokens);
        }
    }

    fn record_begun(&mut self) {
        if !self.has_begun {
            self.has_begun = true;
            self.gateway.record_begun(&self.features);
        }
    }

    /// Records that the connection broke. Once its answer has begun, a request is not the cause.
    fn record_broken(&self, progress: Progress) {
        if !self.has_begun {
            crashes::on_broken(&self.gateway, &self.target, &self.features, progress);
        }
    }

    fn answered(&self) {
        if let Some(model) = &self.model {
            self.gateway
                .adapter_usage()
                .record_answered(&self.target.server, model);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prompt_done();
        let server = &self.target.server;
        let mut table = self.gateway.server_table();
        table.record_completion(server, self.target.started_unix_ms);
        drop(table);
        if let Some(model) = &self.model {
            self.gateway
                .adapter_usage()
                .record_completion(server, model);
        }
    }
}

/// Sends `template` to `server` and waits for the head of the answer until `answer_deadline`.
pub(super) async fn send(
    gateway: &Arc<Gateway>,
    template: &Template,
    server: &ServerName,
    metadata: &ForwardMetadata,
    answer_deadline: Instant,
) -> Result<Reply, SendFailure> {
    let target = gateway
        .server_table()
        .get(server)
        .map(|view| (view.announcement.clone(), view.distance));
    let Some((target, distance)) = target else {
        return Err(SendFailure::NotSent("server_gone"));
    };
    let mut connection = connection(gateway, template, &target, distance).await?;
    if let Some(reason) = reason_not_to_send(gateway, server) {
        // The server stated it while a permit or the connection was awaited.
        gateway.pool().put(target.address, connection, None);
        return Err(SendFailure::NotSent(reason));
    }
    let request = build(gateway, template, metadata);
    let guard = InFlight::start(gateway, target, template);
    let answered = timeout_at(answer_deadline, connection.sender.send_request(request)).await;
    let response = match answered {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(connection_failure(gateway, &guard, &error)),
        Err(_) => {
            record_outcome(gateway, &guard, true);
            return Err(SendFailure::Lost("no_answer_in_time"));
        }
    };
    gateway.server_table().record_heard(server, gateway.now());
    let (parts, body) = response.into_parts();
    let head = gateway.config.dialect.read_answer(&parts);
    let response = Response::from_parts(parts, body);
    if let Some(load) = head.load {
        let now = gateway.now();
        gateway.server_table().set_reported_load(server, load, now);
    }
    let checked = check(gateway, template, &guard, response.status(), &head);
    server_limits::on_answer(gateway, &guard, &head, checked.is_ok());
    server_rests::on_answer(gateway, &guard, &head);
    if head.request_id == template.request_id {
        leaving_servers::on_answer(gateway, &guard, &head);
    }
    checked?;
    guard.answered();
    Ok(Reply {
        response,
        connection: AnswerConnection {
            head,
            connection,
            guard,
        },
    })
}

fn reason_not_to_send(gateway: &Gateway, server: &ServerName) -> Option<&'static str> {
    let table = gateway.server_table();
    if table.is_leaving(server) {
        return Some(LEAVING);
    }
    table.is_resting(server, gateway.now()).then_some(RESTING)
}

/// Time within which a connection has to be open.
pub(super) fn connect_timeout(distance: Distance) -> Duration {
    Duration::from_millis(match distance {
        Distance::Far => CONNECT_FAR_MS,
        Distance::Near | Distance::SameRegion => CONNECT_NEAR_MS,
    })
}

async fn connection(
    gateway: &Arc<Gateway>,
    template: &Template,
    target: &Announcement,
    distance: Distance,
) -> Result<pool::Connection, SendFailure> {
    let kept = gateway.pool().take(target.address, template.may_repeat);
    if let Some(connection) = kept {
        return Ok(connection);
    }
    let connected = gateway
        .connect(target.address, connect_timeout(distance))
        .await;
    gateway.on_connect(target, connected.is_ok());
    connected.map_err(|_| {
        let now = gateway.now();
        let mut table = gateway.server_table();
        table.avoid(&target.server, now.plus(UNREACHABLE_AVOID_MS));
        table.record_outcome(&target.server, true, now);
        SendFailure::NotSent("connect_failed")
    })
}

fn build(
    gateway: &Gateway,
    template: &Template,
    metadata: &ForwardMetadata,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(template.body.clone()));
    *request.method_mut() = template.method.clone();
    *request.uri_mut() = template.uri.clone();
    let mut headers = template.headers.clone();
    gateway.config.dialect.prepare(&mut headers, metadata);
    *request.headers_mut() = headers;
    request
}

fn record_outcome(gateway: &Gateway, guard: &InFlight, failed: bool) {
    let now = gateway.now();
    gateway
        .server_table()
        .record_outcome(&guard.target.server, failed, now);
}

fn connection_failure(
    gateway: &Arc<Gateway>,
    guard: &InFlight,
    error: &hyper::Error,
) -> SendFailure {
    gateway.pool().close_idle(guard.target.address);
    if error.is_canceled() {
        // The connection was closed before the request was written to it.
        return SendFailure::NotSent("connection_closed");
    }
    record_outcome(gateway, guard, true);
    gateway.probe_others(&guard.target.server);
    guard.record_broken(Progress::Waiting);
    SendFailure::Broken("connection_broken")
}

/// Rejects answers that are not a verified answer of the server to this request.
fn check(
    gateway: &Gateway,
    template: &Template,
    guard: &InFlight,
    status: StatusCode,
    head: &AnswerHead,
) -> Result<(), SendFailure> {
    if !is_final(status) {
        gateway.pool().close_idle(guard.target.address);
        record_outcome(gateway, guard, true);
        return Err(SendFailure::Lost("invalid_status"));
    }
    let answers_other_request = head
        .request_id
        .as_ref()
        .is_some_and(|id| Some(id) != template.request_id.as_ref());
    if answers_other_request {
        gateway.pool().close_idle(guard.target.address);
        return Err(SendFailure::Lost("answer_of_another_request"));
    }
    if head.request_id.is_none() && template.request_id.is_some() {
        // Servers name the request. The bytes may belong to an earlier one, or to none.
        gateway.pool().close_idle(guard.target.address);
        record_outcome(gateway, guard, true);
        return Err(SendFailure::Lost("unidentified_answer"));
    }
    if head.is_misdirected {
        on_misdirected(gateway, template, guard, head);
        return Err(SendFailure::NotRun("misdirected"));
    }
    if head.is_not_run {
        on_not_run(gateway, template, guard, head);
        return Err(SendFailure::NotRun("refused_by_server"));
    }
    let is_unverified = head.request_id.is_none() || !head.is_signed || head.is_encoded;
    if status.is_success() && is_unverified {
        record_outcome(gateway, guard, true);
        return Err(SendFailure::Lost("unproved_answer"));
    }
    if implies_not_run(status) {
        // The status promises that the request did not run, but the server has not stated that
        // itself.
        record_outcome(gateway, guard, true);
        return Err(SendFailure::Lost("unproved_refusal"));
    }
    record_outcome(gateway, guard, status.is_server_error());
    Ok(())
}

/// Whether callers take the status as a promise that the request has not run.
pub(super) fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn on_misdirected(gateway: &Gateway, template: &Template, guard: &InFlight, head: &AnswerHead) {
    let now = gateway.now();
    let server = &guard.target.server;
    if head
        .reached
        .as_ref()
        .is_some_and(|reached| reached != server)
    {
        gateway
            .server_table()
            .avoid(server, now.plus(REPLACED_AVOID_MS));
        gateway.pool().close_idle(guard.target.address);
        return;
    }
    if let Some(model) = &template.model {
        record_missing_adapter(gateway, server, model, now);
    }
}

fn on_not_run(gateway: &Gateway, template: &Template, guard: &InFlight, head: &AnswerHead) {
    let now = gateway.now();
    let server = &guard.target.server;
    let is_full = head
        .load
        .is_some_and(|load| load.waiting > 0 || load.running >= load.slots);
    let adapter = template
        .model
        .as_ref()
        .filter(|model| super::server_table::is_adapter(model));
    match adapter {
        Some(model) if !is_full => record_missing_adapter(gateway, server, model, now),
        _ => gateway
            .server_table()
            .avoid(server, now.plus(FULL_AVOID_MS)),
    }
}

fn record_missing_adapter(gateway: &Gateway, server: &ServerName, model: &ModelName, now: MonoMs) {
    let is_overdue = gateway
        .server_table()
        .on_adapter_missing(server, model, now);
    let mut usage = gateway.adapter_usage();
    if is_overdue {
        usage.set_missing(server, model);
    } else {
        usage.set_not_loaded_yet(server, model, now);
    }
}
