//! Asynchronous jobs: requests of the patient class that are accepted now and whose results are
//! fetched later.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::authenticate::Caller;
use super::authenticate::identify;
use super::classify::ClassifiedRequest;
use super::classify::Completion;
use super::classify::Format;
use super::classify::bad_request;
use super::classify::classify;
use super::classify::text_header;
use super::context::Context;
use super::replicated_log::ProposalError;
use super::request_id::RequestId;
use crate::control::Command;
use crate::control::CutOffPolicy;
use crate::control::Job;
use crate::control::JobAccept;
use crate::control::JobCommand;
use crate::control::JobId;
use crate::control::JobPhase;
use crate::control::JobReply;
use crate::control::JobStatus;
use crate::control::MAX_JOB_RESULT_BYTES;
use crate::control::Outcome;
use crate::control::RecordedResult;
use crate::control::Sha256Hash;
use crate::types::Patience;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::UnixMs;

/// Result of a job operation.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Longest wait for the commit of a job's record.
const COMMIT_TIMEOUT_MS: u64 = 3_000;
/// Time for which a result can be fetched after the job's deadline.
const RESULT_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Bytes reserved for the result per output token. A longer result is lost, and 16 bytes are too
/// few for tokens of names, numbers and escaped text.
const RESULT_BYTES_PER_TOKEN: u64 = 32;
/// Bytes reserved for the other fields of the result.
const RESULT_BASE_BYTES: u64 = 1_024;
/// Length of a job id in bytes, before hex encoding.
const JOB_ID_BYTES: usize = 16;
/// Retry time in refusals.
const RETRY_AFTER_MS: u64 = 2_000;

/// Fields of a submission that determine its format. Answers to malformed submissions contain the
/// name of this struct.
#[derive(Deserialize)]
struct Shape {
    messages: Option<serde::de::IgnoredAny>,
}

/// Request of a job as stored in its record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRequest {
    /// Parameters of the completion.
    pub completion: Completion,
    /// Digest by which the quarantine recognises a request that crashes engines.
    pub fingerprint: [u8; 32],
}

impl JobRequest {
    /// Converts the stored request into one that the pipeline runs for `caller`.
    pub fn classified(self, job: &Job, caller: Caller) -> ClassifiedRequest {
        ClassifiedRequest {
            caller,
            features: self.completion.features(&self.fingerprint),
            request_id: RequestId::random(),
            completion: self.completion,
            patience: Patience::Patient,
            deadline: job.accept.deadline_unix_ms,
            fingerprint: self.fingerprint,
        }
    }
}

/// Status of a job as returned to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// Id of the job.
    pub id: String,
    /// Current status.
    pub status: JobStatus,
    /// Deadline of the job.
    pub deadline_unix_ms: UnixMs,
    /// Number of attempts to run it so far.
    pub attempt: u32,
}

impl JobView {
    fn of(job: &Job) -> Self {
        Self {
            id: job.accept.job.to_string(),
            status: job.status(),
            deadline_unix_ms: job.accept.deadline_unix_ms,
            attempt: job.attempt,
        }
    }
}

/// Accepts a job. Its record is committed before the caller gets the answer.
///
/// # Errors
/// The errors of a completion request; `Isolated` if the record was not committed, `OutcomeUnknown`
/// if it may still be.
pub async fn submit_job(cx: &Context, headers: &HeaderMap, body: &Bytes) -> Result<JobView> {
    let caller = identify(cx, headers)?;
    let policy = caller.parameters().when_cut_off;
    cx.health.check_open(policy == CutOffPolicy::Serve)?;
    let format = read_format(body)?;
    let now = cx.clock.unix();
    let mut headers = headers.clone();
    headers.insert("x-patience", http::HeaderValue::from_static("patient"));
    let request = classify(caller, &headers, format, body, now)?;
    let key = text_header(&headers, "idempotency-key")?;
    let job_accept = job_accept(request, key, now);
    let view = JobView {
        id: job_accept.job.to_string(),
        status: JobStatus::Queued,
        deadline_unix_ms: job_accept.deadline_unix_ms,
        attempt: 0,
    };
    let reply = propose(cx, JobCommand::Accept(job_accept)).await;
    match reply.map_err(not_accepted)? {
        JobReply::Accepted => Ok(view),
        JobReply::Refused(error) => {
            let refusal = Refusal::not_run(RefusalCode::Overloaded, error.to_string());
            Err(refusal
                .with_field(error.field, error.value)
                .with_retry_after_ms(RETRY_AFTER_MS))
        }
        JobReply::Conflict => Err(Refusal::not_run(
            RefusalCode::IdempotencyConflict,
            "the idempotency key was used with another request",
        )
        .with_field("Idempotency-Key", "(used)")),
        JobReply::Expired => Err(Refusal::not_run(
            RefusalCode::DeadlineUnreachable,
            "the deadline has already passed",
        )),
        other => Err(Refusal::not_run(
            RefusalCode::Internal,
            format!("the job was not accepted: {other:?}"),
        )),
    }
}

/// A submission with messages is a chat completion, any other a text completion.
fn read_format(body: &Bytes) -> Result<Format> {
    let shape: Shape = serde_json::from_slice(body).map_err(|error| {
        bad_request(
            "body",
            "(body)",
            format!("the body cannot be read: {error}"),
        )
    })?;
    Ok(match shape.messages {
        Some(_) => Format::Chat,
        None => Format::Text,
    })
}

fn job_accept(request: ClassifiedRequest, key: Option<&str>, now: UnixMs) -> JobAccept {
    let id = job_id(&request, key);
    let max_tokens = request.completion.max_tokens;
    let result_bytes = RESULT_BASE_BYTES + max_tokens * RESULT_BYTES_PER_TOKEN;
    let recorded = JobRequest {
        completion: request.completion,
        fingerprint: request.fingerprint,
    };
    let request_bytes = serde_json::to_vec(&recorded).expect("requests are plain data");
    JobAccept {
        job: id,
        account: request.caller.account().clone(),
        request: request_bytes.into(),
        result_bytes: u32::try_from(result_bytes.min(MAX_JOB_RESULT_BYTES as u64))
            .unwrap_or(u32::MAX),
        repeatable: true,
        at: now,
        deadline_unix_ms: request.deadline,
        keep_until_unix_ms: request.deadline.plus(RESULT_RETENTION_MS),
    }
}

/// The id of a job. It is derived from the idempotency key, if any, so that a resent submission
/// gets the same job.
fn job_id(request: &ClassifiedRequest, key: Option<&str>) -> JobId {
    let id = match key {
        None => rand::rng().random::<u128>().to_be_bytes().to_vec(),
        Some(key) => {
            let account = request.caller.account();
            let digest = Sha256Hash::of(format!("{account}\0{key}").as_bytes());
            digest.0[..JOB_ID_BYTES].to_vec()
        }
    };
    format!("job-{}", hex::encode(id)).into()
}

/// The status of a job of the caller.
///
/// # Errors
/// `NotFound` if the caller's account has no such job.
pub fn job_status(cx: &Context, headers: &HeaderMap, id: &str) -> Result<JobView> {
    find(cx, headers, id).map(|job| JobView::of(&job))
}

/// The recorded result of a job of the caller.
///
/// # Errors
/// `NotFound` if the account has no such job, it was cancelled or has no result yet;
/// `DeadlineUnreachable` if it missed its deadline, `OutcomeUnknown` if its VM failed while it ran.
pub fn job_result(cx: &Context, headers: &HeaderMap, id: &str) -> Result<RecordedResult> {
    let job = find(cx, headers, id)?;
    match &job.phase {
        JobPhase::Done(result) => Ok(result.clone()),
        JobPhase::Queued | JobPhase::Running(_) => Err(Refusal::not_run(
            RefusalCode::NotFound,
            "the job has no result yet",
        )
        .with_retry_after_ms(RETRY_AFTER_MS)),
        JobPhase::Cancelled => Err(Refusal::unknown(
            RefusalCode::NotFound,
            "the job was cancelled",
        )),
        JobPhase::Missed => Err(Refusal::unknown(
            RefusalCode::DeadlineUnreachable,
            "the job missed its deadline",
        )),
        JobPhase::Unknown(_) => Err(Refusal::unknown(
            RefusalCode::OutcomeUnknown,
            "the VM that ran the job failed and the job may not be repeated",
        )),
    }
}

/// Cancels a job of the caller.
///
/// # Errors
/// `NotFound` if the account has no such job, `Isolated` if the replicated log cannot be reached,
/// `OutcomeUnknown` if the cancellation may still be committed.
pub async fn cancel_job(cx: &Context, headers: &HeaderMap, id: &str) -> Result<JobView> {
    let caller = identify(cx, headers)?;
    let cancel = JobCommand::Cancel {
        job: Arc::from(id),
        account: caller.account().clone(),
    };
    match propose(cx, cancel).await.map_err(not_accepted)? {
        JobReply::Cancelled => Ok(JobView {
            id: id.to_owned(),
            status: JobStatus::Cancelled,
            deadline_unix_ms: UnixMs::default(),
            attempt: 0,
        }),
        JobReply::Ended(status) => Ok(JobView {
            id: id.to_owned(),
            status,
            deadline_unix_ms: UnixMs::default(),
            attempt: 0,
        }),
        _ => Err(not_found(id)),
    }
}

fn find(cx: &Context, headers: &HeaderMap, id: &str) -> Result<Job> {
    let caller = identify(cx, headers)?;
    let job = cx.replicated_log.job(id);
    job.filter(|job| job.accept.account == *caller.account())
        .ok_or_else(|| not_found(id))
}

async fn propose(cx: &Context, command: JobCommand) -> Result<JobReply, ProposalError> {
    let deadline = Instant::now() + Duration::from_millis(COMMIT_TIMEOUT_MS);
    match cx
        .replicated_log
        .propose(Command::Job(command), deadline)
        .await?
    {
        Outcome::Job(reply) => Ok(reply),
        _ => Err(ProposalError::Unknown),
    }
}

/// The refusal for a failed proposal. If the proposal may still be committed, the outcome is
/// reported as unknown, since the job may run.
fn not_accepted(error: ProposalError) -> Refusal {
    let message = format!("the job's record could not be committed: {error}");
    let refusal = match error {
        ProposalError::Unavailable => Refusal::not_run(RefusalCode::Isolated, message),
        ProposalError::Unknown => Refusal::unknown(RefusalCode::OutcomeUnknown, message),
    };
    refusal.with_retry_after_ms(RETRY_AFTER_MS)
}

fn not_found(id: &str) -> Refusal {
    Refusal::not_run(RefusalCode::NotFound, "the account has no such job").with_field("id", id)
}
