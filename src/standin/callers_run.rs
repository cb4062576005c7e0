//! One request of the load tool: sends it, resends it where that is safe and checks the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::configs::standin_callers::CallerSettings;
use crate::types::Clock;

use super::answer;
use super::caller_api;
use super::caller_api::ApiError;
use super::caller_api::Completion;
use super::callers_plan::PlannedRequest;
use super::callers_plan::RequestClass;
use super::client::Call;
use super::client::HttpClient;
use super::client::Reply;
use super::client::read_reply;
use super::events::EventReader;

/// Pause after a full round of failed VMs.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Interval between status queries of a job.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Final outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// A complete answer that belongs to the request.
    Answered,
    /// An error which reports that the request did not run.
    Refused {
        /// Error code.
        code: String,
    },
    /// An error that does not tell whether the request ran.
    Unknown {
        /// Error code.
        code: String,
    },
    /// No final response.
    Lost,
    /// An answer that belongs to another request, is incomplete or differs from the recorded
    /// answer.
    Mismatched {
        /// Difference from the expected answer.
        reason: String,
    },
}

/// Outcome and measurements of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRecord {
    /// Final outcome.
    pub outcome: RequestOutcome,
    /// Time to the first token in milliseconds, or to the response of a plain service.
    pub first_token_ms: Option<u64>,
    /// Time to the end of the request in milliseconds.
    pub total_ms: u64,
    /// Whether the request waited for an adapter load: the adapter became resident after the
    /// request was sent.
    pub stalled: bool,
    /// Attempts beyond the first.
    pub resends: u64,
    /// Whether the deliberate resend of an answered order was refused.
    pub resend_refused: bool,
    /// Connections that broke before the complete answer arrived.
    pub broken_connections: u64,
    /// The id under which services count an order; `None` for other classes.
    pub order_id: Option<String>,
}

/// State shared by all requests of a run.
#[derive(Debug)]
pub struct CallerContext {
    /// Settings.
    pub settings: CallerSettings,
    /// HTTP client.
    pub client: HttpClient,
    /// Clock.
    pub clock: Clock,
    /// Makes the idempotency keys of this run differ from those of earlier runs.
    pub run_id: u64,
}

/// One request with its attempts so far.
#[derive(Clone)]
pub(super) struct InFlightRequest {
    pub(super) context: Arc<CallerContext>,
    pub(super) planned: PlannedRequest,
    start: Instant,
    sent_unix_ms: u64,
    pub(super) first_token_ms: Option<u64>,
    stalled: bool,
    pub(super) resends: u64,
    pub(super) resend_refused: bool,
    pub(super) broken_connections: u64,
}

/// Sends `planned` and returns its record when it has ended or timed out.
pub async fn run(context: Arc<CallerContext>, planned: PlannedRequest) -> RequestRecord {
    let give_up_ms = match planned.class {
        RequestClass::Patient => context.settings.patient_deadline_ms + context.settings.give_up_ms,
        _ => context.settings.give_up_ms,
    };
    let mut request = InFlightRequest {
        start: Instant::now(),
        sent_unix_ms: context.clock.unix().0,
        context,
        planned,
        first_token_ms: None,
        stalled: false,
        resends: 0,
        resend_refused: false,
        broken_connections: 0,
    };
    let limit = Duration::from_millis(give_up_ms);
    let outcome = tokio::time::timeout(limit, request.run()).await;
    if outcome.is_err() {
        log::warn!(
            "callers: {} request {} for {} got no final response within {give_up_ms} ms; \
             last VM {}, {} resends",
            request.planned.class.as_str(),
            request.planned.index,
            request.planned.model,
            request.vm(),
            request.resends
        );
    }
    RequestRecord {
        outcome: outcome.unwrap_or(RequestOutcome::Lost),
        first_token_ms: request.first_token_ms,
        total_ms: request.elapsed_ms(),
        stalled: request.stalled,
        resends: request.resends,
        resend_refused: request.resend_refused,
        broken_connections: request.broken_connections,
        order_id: (request.planned.class == RequestClass::Order).then(|| request.order_id()),
    }
}

pub(super) fn mismatched(reason: impl ToString) -> RequestOutcome {
    RequestOutcome::Mismatched {
        reason: reason.to_string(),
    }
}

pub(super) fn outcome_of_error(error: ApiError) -> RequestOutcome {
    if error.run == "not_run" {
        RequestOutcome::Refused { code: error.code }
    } else {
        RequestOutcome::Unknown { code: error.code }
    }
}

/// Tokens of a stream received so far.
#[derive(Default)]
struct ReceivedStream {
    text: String,
    tokens: u64,
    done: bool,
}

impl InFlightRequest {
    pub(super) fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    async fn run(&mut self) -> RequestOutcome {
        match self.planned.class {
            RequestClass::Live => self.run_live().await,
            RequestClass::Streamed => self.run_streamed().await,
            RequestClass::Patient => self.run_job().await,
            RequestClass::Order => self.run_order().await,
            RequestClass::Lookup => self.run_lookup().await,
        }
    }

    /// The VM of the current attempt; each resend goes to the next one.
    pub(super) fn vm(&self) -> SocketAddr {
        let vms = &self.context.settings.vms;
        let resends = usize::try_from(self.resends).unwrap_or(0);
        vms[(self.planned.vm + resends) % vms.len()]
    }

    pub(super) fn key(&self) -> &str {
        &self.context.settings.accounts[self.planned.account].key
    }

    fn completion(&self, deadline_ms: u64) -> Completion<'_> {
        Completion {
            model: &self.planned.model,
            prompt: &self.planned.prompt,
            max_tokens: self.planned.output_tokens,
            stream: self.planned.class == RequestClass::Streamed,
            deadline_unix_ms: self.sent_unix_ms + deadline_ms,
        }
    }

    fn request_id(&self) -> String {
        let seed = self.context.settings.seed;
        format!("c{seed}-{}-{}", self.planned.index, self.resends)
    }

    pub(super) fn idempotency_key(&self) -> String {
        format!("i{}-{}", self.context.run_id, self.planned.index)
    }

    /// Selects the next VM, with a pause after each round of all VMs.
    pub(super) async fn next_vm(&mut self) {
        self.resends += 1;
        let vms = self.context.settings.vms.len() as u64;
        if self.resends.is_multiple_of(vms) {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sends one call. Returns `None` and selects the next VM if the connection failed.
    pub(super) async fn send_once(&mut self, call: Call) -> Option<Reply> {
        match self.context.client.send(call).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                self.broken_connections += u64::from(!error.is_connect());
                self.next_vm().await;
                None
            }
        }
    }

    /// Sends calls made by `build` to one VM after another until one gives a final reply.
    async fn send(&mut self, build: impl Fn(&Self) -> Call) -> Result<Reply, RequestOutcome> {
        loop {
            let Some(reply) = self.send_once(build(self)).await else {
                continue;
            };
            match caller_api::error_of(&reply) {
                None => return Ok(reply),
                Some(error) if error.is_local_to_vm() => self.next_vm().await,
                Some(error) => return Err(outcome_of_error(error)),
            }
        }
    }

    fn urgent_call(&self) -> Call {
        let completion = self.completion(self.context.settings.urgent_deadline_ms);
        completion.urgent(self.vm(), self.key(), &self.request_id())
    }

    async fn run_live(&mut self) -> RequestOutcome {
        match self.send(Self::urgent_call).await {
            Err(outcome) => outcome,
            Ok(reply) => {
                self.first_token_ms = Some(self.elapsed_ms());
                self.check_completion(&reply.value())
            }
        }
    }

    fn check_completion(&mut self, body: &Value) -> RequestOutcome {
        self.record_residency(body);
        if body["model"] != self.planned.model.as_str() {
            return mismatched(format!("model {}", body["model"]));
        }
        match caller_api::completion_text(body) {
            None => mismatched("no text"),
            Some(text) => self.check_text(text),
        }
    }

    fn check_text(&self, text: &str) -> RequestOutcome {
        let planned = &self.planned;
        let tokens = planned.output_tokens;
        match answer::check(text, &planned.model, &planned.prompt, tokens) {
            Ok(()) => RequestOutcome::Answered,
            Err(error) => mismatched(error),
        }
    }

    fn record_residency(&mut self, chunk: &Value) {
        let since = chunk["resident_since_unix_ms"].as_u64();
        self.stalled |= since.is_some_and(|since| since > self.sent_unix_ms);
    }

    /// Reads a stream. If the connection breaks, resumes the stream at another VM; if that fails,
    /// sends a new request.
    async fn run_streamed(&mut self) -> RequestOutcome {
        loop {
            let request_id = self.request_id();
            let mut received = ReceivedStream::default();
            let opened = self.context.client.open(self.urgent_call()).await;
            let Ok(response) = opened else {
                self.next_vm().await;
                continue;
            };
            if !response.status().is_success() {
                let Ok(reply) = read_reply(response).await else {
                    self.next_vm().await;
                    continue;
                };
                let error = ApiError::read(reply.status, &reply.value());
                if error.is_local_to_vm() {
                    self.next_vm().await;
                    continue;
                }
                return outcome_of_error(error);
            }
            let mut outcome = self
                .read_stream(EventReader::new(response.into_body()), &mut received)
                .await;
            if outcome.is_none() && !received.done {
                self.broken_connections += 1;
                self.next_vm().await;
                outcome = self.resume(&request_id, &mut received).await;
            }
            match outcome {
                Some(outcome) => return outcome,
                None if received.done => return self.check_text(&received.text),
                None => {}
            }
        }
    }

    /// Requests the rest of a broken stream from the current VM.
    async fn resume(
        &mut self,
        request_id: &str,
        received: &mut ReceivedStream,
    ) -> Option<RequestOutcome> {
        let last_event_id = received.tokens.checked_sub(1);
        let call = caller_api::resume(self.vm(), self.key(), request_id, last_event_id);
        let response = self.context.client.open(call).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let events = EventReader::new(response.into_body());
        self.read_stream(events, received).await
    }

    /// Reads events until the stream ends or the connection breaks. Returns an outcome for a wrong
    /// event or an error.
    async fn read_stream(
        &mut self,
        mut events: EventReader,
        received: &mut ReceivedStream,
    ) -> Option<RequestOutcome> {
        while let Some(event) = events.next().await {
            if event.data == "[DONE]" {
                received.done = true;
                return None;
            }
            let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
            if chunk.get("error").is_some() {
                let error = ApiError::read(http::StatusCode::OK, &chunk);
                return Some(outcome_of_error(error));
            }
            self.record_residency(&chunk);
            let text = caller_api::completion_text(&chunk).unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            self.first_token_ms.get_or_insert(self.elapsed_ms());
            if event.id.as_deref() != Some(received.tokens.to_string().as_str()) {
                let expected = received.tokens;
                return Some(mismatched(format!("event {:?}, not {expected}", event.id)));
            }
            received.tokens += 1;
            received.text.push_str(text);
        }
        None
    }

    async fn run_job(&mut self) -> RequestOutcome {
        let deadline_ms = self.context.settings.patient_deadline_ms;
        let idempotency_key = self.idempotency_key();
        let submit = |this: &Self| {
            let completion = this.completion(deadline_ms);
            completion.job(this.vm(), this.key(), &idempotency_key)
        };
        let submitted = match self.send(submit).await {
            Ok(reply) => reply.value(),
            Err(outcome) => return outcome,
        };
        let Some(job) = caller_api::job_id(&submitted) else {
            return mismatched("job without an id");
        };
        loop {
            tokio::time::sleep(JOB_POLL_INTERVAL).await;
            let status = |this: &Self| caller_api::job_status(this.vm(), this.key(), &job);
            match self.send(status).await {
                Ok(reply) if caller_api::job_is_open(&reply.value()) => {}
                Ok(_) => break,
                // Replication lag: this VM may learn of the job later than the VM that accepted it.
                Err(RequestOutcome::Refused { code }) if code == "not_found" => {}
                Err(outcome) => return outcome,
            }
        }
        let result = |this: &Self| caller_api::job_result(this.vm(), this.key(), &job);
        match self.send(result).await {
            Ok(reply) => {
                self.first_token_ms = Some(self.elapsed_ms());
                self.check_completion(&reply.value())
            }
            Err(outcome) => outcome,
        }
    }

    pub(super) fn check_digest(&self, body: &Value, digest: &str) -> RequestOutcome {
        if body["body_digest"] == digest {
            RequestOutcome::Answered
        } else {
            mismatched(format!("body digest {}", body["body_digest"]))
        }
    }

    async fn run_lookup(&mut self) -> RequestOutcome {
        let path = &self.context.settings.lookup_path;
        let path = format!("{path}?n={}", self.planned.index);
        let build = |this: &Self| caller_api::lookup(this.vm(), this.key(), &path);
        match self.send(build).await {
            Ok(reply) => {
                self.first_token_ms = Some(self.elapsed_ms());
                self.check_digest(&reply.value(), &answer::digest_bytes(b""))
            }
            Err(outcome) => outcome,
        }
    }
}
