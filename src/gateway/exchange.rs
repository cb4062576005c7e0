//! Handles one request from its head to the final answer.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::admission;
use super::answer::Body;
use super::answer::Refusal;
use super::answer::full;
use super::answer::strip_connection_headers;
use super::attempt;
use super::attempt::AttemptHistory;
use super::attempt::AttemptOutcome;
use super::attempt::NextStep;
use super::begin::begin;
use super::context::Gateway;
use super::deployment::Account;
use super::deployment::Route;
use super::dialect::CallerHead;
use super::dialect::ForwardMetadata;
use super::forward;
use super::forward::AnswerConnection;
use super::forward::Reply;
use super::forward::SendFailure;
use super::forward::Template;
use super::framing::Framing;
use super::quota::TokenGrant;
use super::record::RequestRecord;
use super::record_guard::RecordGuard;
use super::relay;
use super::select_server::Selected;
use super::server_table::is_adapter;
use crate::connections::activity::Activity;
use crate::connections::body::BodyError;
use crate::event_stream;
use crate::scheduling::stream_origins::StreamOrigin;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::SoftwareVersion;

/// Retry delay returned while this VM shuts down; the retry reaches another VM.
pub(super) const LEAVING_RETRY_MS: u64 = 20;
/// Retry delay returned when all servers are full.
pub(super) const BUSY_RETRY_MS: u64 = 400;
/// Shortest time after which a repeatable request is sent to another server.
const MIN_ANSWER_TIMEOUT_MS: u64 = 900;
/// Servers that one request may fail to connect to before it goes through another VM.
const MAX_UNREACHED: u32 = 2;
/// Engine priority levels for each priority level of a route.
const ENGINE_PRIORITY_STEP: u8 = 2;
/// Lowest priority at an engine.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// Answers a request. Errors are converted into responses. `relayed_for` is the entry VM that sent it, if
/// it did not come from its caller.
pub(super) async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    relayed_for: Option<IpAddr>,
) -> Response<Body> {
    let started = Instant::now();
    let (mut parts, body) = request.into_parts();
    let dialect = Arc::clone(&gateway.config.dialect);
    // Callers have no say in it.
    let named = dialect.take_configuration(&mut parts.headers);
    let asked_version = named.filter(|_| relayed_for.is_some());
    let caller = dialect.read(&parts);
    let mut record = RequestRecord {
        request_id: caller.request_id.clone(),
        model: caller.model.clone(),
        resumes: caller.resumes.clone(),
        last_event: caller.last_event,
        relayed_for,
        asked_version,
        ..RequestRecord::default()
    };
    let begun = begin(&gateway, &parts, body, caller, started, &mut record).await;
    let version = record.deployment_version;
    let mut response = match begun {
        Ok(exchange) => exchange.run(record).await,
        Err(refusal) => refuse(&gateway, refusal, record, started),
    };
    if asked_version.is_some() {
        dialect.name_configuration(response.headers_mut(), version);
    }
    response
}

fn refuse(
    gateway: &Gateway,
    refusal: Refusal,
    mut record: RequestRecord,
    started: Instant,
) -> Response<Body> {
    record.status = refusal.status.as_u16();
    record.reason = Some(refusal.reason);
    record.first_ms = elapsed_ms(started);
    record.total_ms = record.first_ms;
    gateway.log_request(&record);
    refusal.into_response()
}

/// Admitted request.
pub(super) struct Exchange {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Arc<Route>,
    pub(super) history: AttemptHistory,
    pub(super) started: Instant,
    pub(super) deadline: Instant,
    pub(super) account: Option<Arc<Account>>,
    pub(super) caller: CallerHead,
    pub(super) service: ServiceName,
    /// Version of the configuration that applies to the request.
    pub(super) version: u64,
    /// Who began the stream, once its caller has an event of it.
    pub(super) origin: Option<StreamOrigin>,
    pub(super) is_engine: bool,
    /// Whether the adapter is requested often enough to be loaded in the own data centre.
    pub(super) is_popular: bool,
    pub(super) template: Template,
    pub(super) tried: Vec<ServerName>,
    pub(super) taken: Option<TokenGrant>,
    /// Whether the request goes through another entry VM, which takes the tokens.
    pub(super) is_relayed: bool,
    /// Permit of a request that another entry VM sent. It is not relayed again.
    pub(super) relay_permit: Option<OwnedSemaphorePermit>,
    /// Connection of the caller.
    pub(super) connection: Option<Arc<Activity>>,
}

/// Answer, read as far as needed to decide about another attempt.
pub(super) enum Answer {
    /// Complete answer.
    Complete(Response<Bytes>),
    /// Stream with its first bytes.
    Stream(Box<Reply>, Bytes),
    /// Stream that another entry VM passes on.
    RelayedStream(Response<Incoming>),
}

impl Exchange {
    async fn run(mut self, mut record: RequestRecord) -> Response<Body> {
        let deadline = self.deadline;
        let mut open = RecordGuard::new(&self.gateway, self.started, std::mem::take(&mut record));
        let outcome = match timeout_at(deadline, self.obtain_answer(None, &mut open.record)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(self.timeout_refusal()),
        };
        record = open.close();
        record.first_ms = elapsed_ms(self.started);
        match outcome {
            Ok(Answer::Complete(response)) => {
                record.status = response.status().as_u16();
                record.total_ms = record.first_ms;
                self.gateway.log_request(&record);
                let (parts, body) = response.into_parts();
                Response::from_parts(parts, full(body))
            }
            Ok(Answer::Stream(reply, first)) => relay::start(self, *reply, first, record),
            Ok(Answer::RelayedStream(response)) => relay::start_relayed(self, response, record),
            Err(refusal) => {
                let started = self.started;
                refuse(&self.gateway, refusal, record, started)
            }
        }
    }

    fn timeout_refusal(&self) -> Refusal {
        if self.history.runs == 0 {
            Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "not_served_in_time",
                BUSY_RETRY_MS,
            )
        } else {
            Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no_answer_in_time")
        }
    }

    /// Sends the request until there is an answer to pass on. `last_event` is the last event of a
    /// stream that is resumed.
    pub(super) async fn obtain_answer(
        &mut self,
        last_event: Option<u64>,
        record: &mut RequestRecord,
    ) -> Result<Answer, Refusal> {
        let mut failure: Option<Response<Bytes>> = None;
        let mut unreached = 0;
        loop {
            let selected = match self.is_relayed || self.gives_up_connecting(unreached) {
                true => Ok(Selected::OtherVm),
                false => self.select_server(record).await,
            };
            let server = match selected {
                Ok(Selected::Server(server)) => server,
                Ok(Selected::OtherVm) => {
                    let answer = self.answer_through_peers(last_event, record).await;
                    return answer.or_else(|refusal| self.fallback_answer(failure, refusal));
                }
                Err(refusal) => return self.fallback_answer(failure, refusal),
            };
            record.servers.push(server.clone());
            record.software.extend(self.software_of(&server));
            let sent = self.send_once(&server, last_event, record).await;
            let ended = match sent {
                Ok(Answer::Complete(response)) if response.status().is_server_error() => {
                    record.sends.push("server_error");
                    failure = Some(response);
                    AttemptOutcome::Answered { failed: true }
                }
                Ok(read) => {
                    record.sends.push("answered");
                    return Ok(read);
                }
                Err(send_failure) => {
                    record.sends.push(send_failure.reason());
                    match send_failure {
                        SendFailure::Lost(_) => AttemptOutcome::Lost,
                        SendFailure::Broken(_) => {
                            record.broken = Some(Arc::clone(&self.template.features));
                            AttemptOutcome::Lost
                        }
                        SendFailure::NotSent(_) | SendFailure::NotRun(_) => AttemptOutcome::NotRun,
                    }
                }
            };
            if ended != AttemptOutcome::NotRun || is_unreachable(record) {
                self.tried.push(server);
            }
            let skips_budget = is_unreachable(record);
            unreached += u32::from(skips_budget);
            match attempt::next(&self.history, ended) {
                NextStep::Retry if skips_budget || self.take_retry().await => {}
                NextStep::Retry => return self.fallback_answer(failure, self.budget_refusal()),
                NextStep::PassOn => return self.fallback_answer(failure, self.answer_lost()),
                NextStep::Refuse => return Err(self.all_refused()),
                NextStep::Fail => return self.fallback_answer(failure, self.answer_lost()),
            }
        }
    }

    /// Whether the request goes through another VM after `unreached` servers could not be connected to.
    fn gives_up_connecting(&self, unreached: u32) -> bool {
        unreached >= MAX_UNREACHED
            && self.relay_permit.is_none()
            && self.gateway.draw_peer(&self.service, &[]).is_some()
    }

    fn software_of(&self, server: &ServerName) -> Option<SoftwareVersion> {
        let table = self.gateway.server_table();
        let view = table.get(server)?;
        Some(view.announcement.software.clone())
    }

    /// Takes a retry from the service's budget.
    pub(super) async fn take_retry(&self) -> bool {
        self.gateway.take_retry(&self.service).await
    }

    /// Records the duration of a complete stream.
    pub(super) fn record_stream_duration(&self) {
        let took_ms = elapsed_ms(self.started);
        self.gateway
            .server_table()
            .record_duration(&self.service, took_ms);
    }

    /// Server error to pass on, if there is one; otherwise the refusal.
    fn fallback_answer(
        &self,
        failure: Option<Response<Bytes>>,
        refusal: Refusal,
    ) -> Result<Answer, Refusal> {
        match failure {
            Some(response) => Ok(Answer::Complete(response)),
            None if self.history.runs > 0 => Err(self.answer_lost()),
            None => Err(refusal),
        }
    }

    fn answer_lost(&self) -> Refusal {
        Refusal::new(StatusCode::BAD_GATEWAY, "answer_lost")
    }

    fn all_refused(&self) -> Refusal {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Refusal::not_run(status, "refused_by_servers", BUSY_RETRY_MS)
    }

    fn budget_refusal(&self) -> Refusal {
        match attempt::final_step(&self.history) {
            NextStep::Refuse => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Refusal::not_run(status, "retry_budget_used_up", BUSY_RETRY_MS)
            }
            _ => self.answer_lost(),
        }
    }

    pub(super) fn priority(&self) -> u8 {
        let account = self.account.as_ref();
        let of_account = account.and_then(|account| account.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Makes one attempt and reads the answer as far as needed to decide about another attempt.
    async fn send_once(
        &mut self,
        server: &ServerName,
        last_event: Option<u64>,
        record: &mut RequestRecord,
    ) -> Result<Answer, SendFailure> {
        let metadata = self.metadata(server, last_event);
        let answer_deadline = self.answer_deadline(server);
        self.history.runs += 1;
        let sent = Instant::now();
        let gateway = Arc::clone(&self.gateway);
        let answered =
            forward::send(&gateway, &self.template, server, &metadata, answer_deadline).await;
        let mut reply = match answered {
            Ok(reply) => reply,
            Err(send_failure) => return Err(self.count_send_failure(send_failure)),
        };
        if self.relay_permit.is_some() && reply.connection.states_leaving() {
            // The other VM sends this server no requests either.
            let headers = reply.response.headers_mut();
            gateway.config.dialect.name_server(headers, server);
        }
        record.framing = Some(Framing::of(reply.response.headers()));
        if let Some(taken) = self.taken.take() {
            self.gateway.quota.settle(taken);
        }
        let is_stream = self.route.repeat.is_stream() && reply.response.status().is_success();
        if is_stream {
            return read_first(reply, answer_deadline).await;
        }
        let read = self.read_complete(reply).await;
        if read.is_ok() {
            let took_ms = elapsed_ms(sent);
            self.gateway
                .server_table()
                .record_duration(&self.service, took_ms);
        }
        read
    }

    fn count_send_failure(&mut self, send_failure: SendFailure) -> SendFailure {
        match send_failure {
            SendFailure::NotSent(_) | SendFailure::NotRun(_) => {
                self.history.runs -= 1;
                self.history.refusals += 1;
            }
            SendFailure::Lost(_) | SendFailure::Broken(_) => {
                if let Some(taken) = self.taken.take() {
                    self.gateway.quota.settle(taken);
                }
            }
        }
        send_failure
    }

    fn metadata(&self, server: &ServerName, last_event: Option<u64>) -> ForwardMetadata {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let adapter = self.caller.model.as_ref().filter(|model| is_adapter(model));
        let priority = self.priority().saturating_mul(ENGINE_PRIORITY_STEP);
        ForwardMetadata {
            server: server.clone(),
            wait_ms: left.as_millis() as u64,
            account: self.account.as_ref().map(|account| account.name.clone()),
            version: adapter.and_then(|model| self.gateway.expected_version(model, server)),
            priority: self.is_engine.then(|| priority.min(MAX_ENGINE_PRIORITY)),
            last_event: last_event.or(self.caller.last_event),
        }
    }

    /// Time until which a server may answer before another one is tried. It is the deadline of the
    /// request for streams, for requests that must not be repeated and at busy servers, as an
    /// engine may take long while it is at work.
    fn answer_deadline(&self, server: &ServerName) -> Instant {
        let may_repeat = self.route.repeat.may_run_again();
        let now = self.gateway.now();
        let table = self.gateway.server_table();
        let is_busy = table
            .get(server)
            .is_some_and(|view| admission::is_busy(view.occupied(now), view.announcement.slots));
        drop(table);
        let waits_until_deadline = !may_repeat || self.route.repeat.is_stream() || is_busy;
        if waits_until_deadline || self.history.runs + 1 >= self.history.max_runs {
            return self.deadline;
        }
        let timeout_ms = (self.route.target_latency_ms * 2).max(MIN_ANSWER_TIMEOUT_MS);
        let answer_deadline = Instant::now() + Duration::from_millis(timeout_ms);
        answer_deadline.min(self.deadline)
    }

    async fn read_complete(&self, reply: Reply) -> Result<Answer, SendFailure> {
        let (parts, body) = reply.response.into_parts();
        let mut connection = reply.connection;
        let meter = connection.meter();
        let counted = body.inspect_frame(move |frame| {
            meter.delivered(frame.data_ref().map_or(0, Bytes::len));
        });
        let lost = |error| match error {
            BodyError::TooLarge => SendFailure::Lost("answer_too_large"),
            BodyError::NoMemory => SendFailure::Lost("no_memory_for_answer"),
            BodyError::Broken | BodyError::TooSlow => broken_off(&connection, "answer_cut_off"),
        };
        let bytes = self.read_answer(counted).await.map_err(lost)?;
        if event_stream::is_broken_off(&parts.headers, &bytes) {
            return Err(broken_off(&connection, "stream_ends_in_event"));
        }
        connection.record_begun();
        connection.finish(&self.gateway);
        let mut answer = Response::from_parts(parts, bytes);
        strip_connection_headers(answer.headers_mut());
        Ok(Answer::Complete(answer))
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(taken) = self.taken.take() {
            if self.history.runs == 0 {
                self.gateway.quota.refund(taken);
            } else {
                self.gateway.quota.settle(taken);
            }
        }
    }
}

/// Whether the last attempt ended before anything was sent.
fn is_unreachable(record: &RequestRecord) -> bool {
    matches!(
        record.sends.last(),
        Some(&("connect_failed" | "server_gone" | forward::LEAVING | forward::RESTING))
    )
}

fn broken_off(connection: &AnswerConnection, reason: &'static str) -> SendFailure {
    connection.record_broken();
    SendFailure::Broken(reason)
}

/// Waits for the first bytes of a stream.
async fn read_first(mut reply: Reply, answer_deadline: Instant) -> Result<Answer, SendFailure> {
    loop {
        let frame = timeout_at(answer_deadline, reply.response.body_mut().frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                if let Ok(first) = frame.into_data()
                    && !first.is_empty()
                {
                    reply.connection.meter().delivered(first.len());
                    reply.connection.record_first_event();
                    return Ok(Answer::Stream(Box::new(reply), first));
                }
            }
            Ok(Some(Err(_))) => return Err(broken_off(&reply.connection, "stream_cut_off")),
            Ok(None) => return Err(broken_off(&reply.connection, "stream_empty")),
            Err(_) => return Err(SendFailure::Lost("no_event_in_time")),
        }
    }
}

/// Time since `started`, in milliseconds.
pub(super) fn elapsed_ms(started: Instant) -> u64 {
    started.elapsed().as_millis() as u64
}
