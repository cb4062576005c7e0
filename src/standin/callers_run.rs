//! One caller of the load tool: sends a request, resends it where that is safe, checks the answer.

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
use super::callers_plan::Class;
use super::callers_plan::Planned;
use super::client::Call;
use super::client::HttpClient;
use super::client::Reply;
use super::client::read_reply;
use super::events::EventReader;

/// Wait after every VM failed in turn.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time between looks at a job.
const JOB_POLL: Duration = Duration::from_millis(200);

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// A whole answer that is the request's own.
    Answered,
    /// An error that says that nothing ran.
    Refused {
        /// Error code.
        code: String,
    },
    /// An error that leaves open whether the request ran.
    Unknown {
        /// Error code.
        code: String,
    },
    /// No final response.
    Lost,
    /// An answer that is not the request's own, not whole, or not the recorded one.
    Mismatched {
        /// What is wrong.
        reason: String,
    },
}

/// What happened to one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// Time to the first token in milliseconds, or to the response of a plain service.
    pub first_token_ms: Option<u64>,
    /// Time to the end in milliseconds.
    pub total_ms: u64,
    /// Whether the adapter became resident only after the request was sent.
    pub stalled: bool,
    /// Attempts beyond the first.
    pub resends: u64,
    /// Whether the deliberate resend of an answered order was refused.
    pub resend_refused: bool,
    /// Connections that broke off before the whole answer had arrived.
    pub cuts: u64,
    /// The id under which the services count an order.
    pub order_id: Option<String>,
}

/// What all callers share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: CallerSettings,
    /// Connections.
    pub client: HttpClient,
    /// Clock.
    pub clock: Clock,
    /// Sets the idempotency keys of this run apart from those of earlier runs.
    pub run_id: u64,
}

/// One request on its way.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) shared: Arc<Shared>,
    pub(super) planned: Planned,
    start: Instant,
    sent_unix_ms: u64,
    pub(super) first_token_ms: Option<u64>,
    stalled: bool,
    pub(super) resends: u64,
    pub(super) resend_refused: bool,
    pub(super) cuts: u64,
}

/// Sends `planned` and follows it to its end.
pub async fn run(shared: Arc<Shared>, planned: Planned) -> Outcome {
    let give_up_ms = match planned.class {
        Class::Patient => shared.settings.patient_deadline_ms + shared.settings.give_up_ms,
        _ => shared.settings.give_up_ms,
    };
    let mut attempt = Attempt {
        start: Instant::now(),
        sent_unix_ms: shared.clock.unix().0,
        shared,
        planned,
        first_token_ms: None,
        stalled: false,
        resends: 0,
        resend_refused: false,
        cuts: 0,
    };
    let limit = Duration::from_millis(give_up_ms);
    let ending = tokio::time::timeout(limit, attempt.run()).await;
    if ending.is_err() {
        log::warn!(
            "callers: {} request {} for {} got no final answer within {give_up_ms} ms; last VM {}, {} resends",
            attempt.planned.class.as_str(),
            attempt.planned.index,
            attempt.planned.model,
            attempt.vm(),
            attempt.resends
        );
    }
    Outcome {
        ending: ending.unwrap_or(Ending::Lost),
        first_token_ms: attempt.first_token_ms,
        total_ms: attempt.elapsed_ms(),
        stalled: attempt.stalled,
        resends: attempt.resends,
        resend_refused: attempt.resend_refused,
        cuts: attempt.cuts,
        order_id: (attempt.planned.class == Class::Order).then(|| attempt.order_id()),
    }
}

pub(super) fn mismatched(reason: impl ToString) -> Ending {
    Ending::Mismatched {
        reason: reason.to_string(),
    }
}

pub(super) fn failed(error: ApiError) -> Ending {
    if error.run == "not_run" {
        Ending::Refused { code: error.code }
    } else {
        Ending::Unknown { code: error.code }
    }
}

/// Tokens of a stream received so far.
#[derive(Default)]
struct Received {
    text: String,
    tokens: u64,
    done: bool,
}

impl Attempt {
    pub(super) fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    async fn run(&mut self) -> Ending {
        match self.planned.class {
            Class::Live => self.live().await,
            Class::Streamed => self.streamed().await,
            Class::Patient => self.patient().await,
            Class::Order => self.order().await,
            Class::Lookup => self.lookup().await,
        }
    }

    /// The VM of the current attempt; each resend goes to the next one.
    pub(super) fn vm(&self) -> SocketAddr {
        let vms = &self.shared.settings.vms;
        let resends = usize::try_from(self.resends).unwrap_or(0);
        vms[(self.planned.vm + resends) % vms.len()]
    }

    pub(super) fn key(&self) -> &str {
        &self.shared.settings.accounts[self.planned.account].key
    }

    fn completion(&self, deadline_ms: u64) -> Completion<'_> {
        Completion {
            model: &self.planned.model,
            prompt: &self.planned.prompt,
            max_tokens: self.planned.output_tokens,
            stream: self.planned.class == Class::Streamed,
            deadline_unix_ms: self.sent_unix_ms + deadline_ms,
        }
    }

    fn request_id(&self) -> String {
        let seed = self.shared.settings.seed;
        format!("c{seed}-{}-{}", self.planned.index, self.resends)
    }

    pub(super) fn idempotency_key(&self) -> String {
        format!("i{}-{}", self.shared.run_id, self.planned.index)
    }

    /// Turns to the next VM, with a pause after each round.
    pub(super) async fn next_vm(&mut self) {
        self.resends += 1;
        let vms = self.shared.settings.vms.len() as u64;
        if self.resends.is_multiple_of(vms) {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sends one call. `None` if the connection failed; the next call goes to the next VM then.
    pub(super) async fn send_once(&mut self, call: Call) -> Option<Reply> {
        match self.shared.client.send(call).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                self.cuts += u64::from(!error.is_connect());
                self.next_vm().await;
                None
            }
        }
    }

    /// Sends calls made by `build` to one VM after the other until one gives a final reply.
    async fn send(&mut self, build: impl Fn(&Self) -> Call) -> Result<Reply, Ending> {
        loop {
            let Some(reply) = self.send_once(build(self)).await else {
                continue;
            };
            match caller_api::error_of(&reply) {
                None => return Ok(reply),
                Some(error) if error.is_local_to_vm() => self.next_vm().await,
                Some(error) => return Err(failed(error)),
            }
        }
    }

    fn urgent_call(&self) -> Call {
        let completion = self.completion(self.shared.settings.urgent_deadline_ms);
        completion.urgent(self.vm(), self.key(), &self.request_id())
    }

    async fn live(&mut self) -> Ending {
        match self.send(Self::urgent_call).await {
            Err(ending) => ending,
            Ok(reply) => {
                self.first_token_ms = Some(self.elapsed_ms());
                self.check_completion(&reply.value())
            }
        }
    }

    fn check_completion(&mut self, body: &Value) -> Ending {
        self.note_residency(body);
        if body["model"] != self.planned.model.as_str() {
            return mismatched(format!("model {}", body["model"]));
        }
        match caller_api::completion_text(body) {
            None => mismatched("no text"),
            Some(text) => self.check_text(text),
        }
    }

    fn check_text(&self, text: &str) -> Ending {
        let planned = &self.planned;
        let tokens = planned.output_tokens;
        match answer::check(text, &planned.model, &planned.prompt, tokens) {
            Ok(()) => Ending::Answered,
            Err(error) => mismatched(error),
        }
    }

    fn note_residency(&mut self, chunk: &Value) {
        let since = chunk["resident_since_unix_ms"].as_u64();
        self.stalled |= since.is_some_and(|since| since > self.sent_unix_ms);
    }

    /// Reads a stream; resumes it at another VM when it breaks off, or else asks anew.
    async fn streamed(&mut self) -> Ending {
        loop {
            let request_id = self.request_id();
            let mut received = Received::default();
            let opened = self.shared.client.open(self.urgent_call()).await;
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
                return failed(error);
            }
            let mut ending = self
                .read_stream(EventReader::new(response.into_body()), &mut received)
                .await;
            if ending.is_none() && !received.done {
                self.cuts += 1;
                self.next_vm().await;
                ending = self.resume(&request_id, &mut received).await;
            }
            match ending {
                Some(ending) => return ending,
                None if received.done => return self.check_text(&received.text),
                None => {}
            }
        }
    }

    /// Asks the next VM for the rest of a broken stream.
    async fn resume(&mut self, request_id: &str, received: &mut Received) -> Option<Ending> {
        let last_event_id = received.tokens.checked_sub(1);
        let call = caller_api::resume(self.vm(), self.key(), request_id, last_event_id);
        let response = self.shared.client.open(call).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let events = EventReader::new(response.into_body());
        self.read_stream(events, received).await
    }

    /// Reads events until the stream ends or breaks off. A wrong event or an error ends it.
    async fn read_stream(
        &mut self,
        mut events: EventReader,
        received: &mut Received,
    ) -> Option<Ending> {
        while let Some(event) = events.next().await {
            if event.data == "[DONE]" {
                received.done = true;
                return None;
            }
            let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
            if chunk.get("error").is_some() {
                let error = ApiError::read(http::StatusCode::OK, &chunk);
                return Some(failed(error));
            }
            self.note_residency(&chunk);
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

    async fn patient(&mut self) -> Ending {
        let deadline_ms = self.shared.settings.patient_deadline_ms;
        let idempotency_key = self.idempotency_key();
        let submit = |this: &Self| {
            let completion = this.completion(deadline_ms);
            completion.job(this.vm(), this.key(), &idempotency_key)
        };
        let submitted = match self.send(submit).await {
            Ok(reply) => reply.value(),
            Err(ending) => return ending,
        };
        let Some(job) = caller_api::job_id(&submitted) else {
            return mismatched("job without an id");
        };
        loop {
            tokio::time::sleep(JOB_POLL).await;
            let status = |this: &Self| caller_api::job_status(this.vm(), this.key(), &job);
            match self.send(status).await {
                Ok(reply) if caller_api::job_is_open(&reply.value()) => {}
                Ok(_) => break,
                // The entry VM may know of the job a little later than the one that accepted it.
                Err(Ending::Refused { code }) if code == "not_found" => {}
                Err(ending) => return ending,
            }
        }
        let result = |this: &Self| caller_api::job_result(this.vm(), this.key(), &job);
        match self.send(result).await {
            Ok(reply) => {
                self.first_token_ms = Some(self.elapsed_ms());
                self.check_completion(&reply.value())
            }
            Err(ending) => ending,
        }
    }

    pub(super) fn check_digest(&self, body: &Value, digest: &str) -> Ending {
        if body["body_digest"] == digest {
            Ending::Answered
        } else {
            mismatched(format!("body digest {}", body["body_digest"]))
        }
    }

    async fn lookup(&mut self) -> Ending {
        let path = &self.shared.settings.lookup_path;
        let path = format!("{path}?n={}", self.planned.index);
        let build = |this: &Self| caller_api::lookup(this.vm(), this.key(), &path);
        match self.send(build).await {
            Ok(reply) => {
                self.first_token_ms = Some(self.elapsed_ms());
                self.check_digest(&reply.value(), &answer::digest_bytes(b""))
            }
            Err(ending) => ending,
        }
    }
}
