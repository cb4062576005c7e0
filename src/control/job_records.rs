//! Jobs, commands about jobs, and replies.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::control::FieldError;
use crate::control::Owner;
use crate::control::RecordedResult;
use crate::control::Sha256Hash;
use crate::control::quota::Usage;
use crate::types::AccountName;
use crate::types::UnixMs;

/// Id of a job.
pub type JobId = Arc<str>;

/// A job as its caller submitted it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobAccept {
    /// Id of the job.
    pub job: JobId,
    /// Account that submitted it.
    pub account: AccountName,
    /// The request, opaque to the log.
    pub request: Bytes,
    /// Bytes reserved for the result. A longer result is recorded without its body.
    pub result_bytes: u32,
    /// Whether another process may run the job after its owner has ended.
    pub repeatable: bool,
    /// Time of the submission.
    pub at: UnixMs,
    /// Deadline of the job.
    pub deadline_unix_ms: UnixMs,
    /// Time of the record's removal, at most [`crate::control::MAX_JOB_LIFETIME_MS`] after `at`.
    pub keep_until_unix_ms: UnixMs,
}

/// A process's claim to run one attempt of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobClaim {
    /// Process that will run the job.
    pub owner: Owner,
    /// Random id of this claim. Only the task that generated it may act on `Claimed`.
    pub claim_id: u64,
    /// Number of the attempt, one more than that of the last attempt.
    pub attempt: u32,
}

/// A command about a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobCommand {
    /// Accepts a job. Committed before the caller gets the confirmation.
    Accept(JobAccept),
    /// Claims a job. Committed before the job is dispatched.
    Claim {
        /// Id of the job.
        job: JobId,
        /// The claim.
        #[serde(rename = "claimant")]
        claim: JobClaim,
    },
    /// Records the result of a job. Committed before the caller can see the result.
    Finish {
        /// Id of the job.
        job: JobId,
        /// The claim under which the job ran.
        #[serde(rename = "claimant")]
        claim: JobClaim,
        /// The response.
        result: RecordedResult,
    },
    /// Returns a job to the queue. Allowed only if it was not dispatched or may be repeated.
    Release {
        /// Id of the job.
        job: JobId,
        /// The claim to release.
        #[serde(rename = "claimant")]
        claim: JobClaim,
    },
    /// Cancels a job on behalf of its caller.
    Cancel {
        /// Id of the job.
        job: JobId,
        /// Account of the caller. Jobs of other accounts are not found.
        account: AccountName,
    },
}

/// Reply to a [`JobCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobReply {
    /// The job is recorded by this or an earlier proposal of the same job.
    Accepted,
    /// The job id was used with another request.
    Conflict,
    /// The task that generated the claim, and no other, may run the job as this attempt.
    Claimed {
        /// Number of the attempt.
        attempt: u32,
    },
    /// The job cannot be claimed as this attempt.
    NotClaimable {
        /// Status of the job.
        status: JobStatus,
        /// Number of the last attempt.
        attempt: u32,
    },
    /// The result is recorded.
    Finished,
    /// The job is released and can be claimed again.
    Released,
    /// The job is cancelled. A running attempt should be stopped.
    Cancelled,
    /// The job had already ended, possibly by an earlier proposal of the same command.
    Ended(JobStatus),
    /// The claim is not the current one; its result is ignored.
    Stale {
        /// Number of the last attempt.
        attempt: u32,
    },
    /// The account has no such job, or its record was removed.
    NotFound,
    /// The claiming process is known to have ended; it must not run the job.
    OwnerGone,
    /// The deadline has passed; the job is not accepted.
    Expired,
    /// The job is not accepted and does not run.
    Refused(FieldError),
}

/// A [`JobPhase`] without its details.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// Queued for a claim.
    Queued,
    /// Claimed by a process.
    Running,
    /// Finished, with a result.
    Done,
    /// Cancelled by the caller.
    Cancelled,
    /// The deadline passed before an attempt ended.
    Missed,
    /// The owner has ended and the job may not be repeated.
    Unknown,
}

/// Phase of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// Queued for a claim.
    Queued,
    /// Claimed, with the current claim.
    Running(JobClaim),
    /// Finished, with a result.
    Done(RecordedResult),
    /// Cancelled by the caller.
    Cancelled,
    /// The deadline passed before an attempt ended.
    Missed,
    /// The process of the claim has ended and the job may not be repeated.
    Unknown(JobClaim),
}

/// The record of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The job as submitted. The request is empty once the job has ended.
    pub accept: JobAccept,
    /// Hash of the request.
    pub request_hash: Sha256Hash,
    /// Number of the last attempt; 0 before the first claim.
    pub attempt: u32,
    /// Phase of the job.
    pub phase: JobPhase,
}

impl Job {
    /// The phase of the job without its details.
    pub fn status(&self) -> JobStatus {
        match self.phase {
            JobPhase::Queued => JobStatus::Queued,
            JobPhase::Running(_) => JobStatus::Running,
            JobPhase::Done(_) => JobStatus::Done,
            JobPhase::Cancelled => JobStatus::Cancelled,
            JobPhase::Missed => JobStatus::Missed,
            JobPhase::Unknown(_) => JobStatus::Unknown,
        }
    }

    pub(super) fn has_ended(&self) -> bool {
        !matches!(self.status(), JobStatus::Queued | JobStatus::Running)
    }

    pub(super) fn usage(&self) -> Usage {
        let result = match &self.phase {
            JobPhase::Done(result) => result.body_len(),
            _ if self.has_ended() => 0,
            _ => self.accept.result_bytes as usize,
        };
        Usage {
            records: 1,
            bytes: self.accept.request.len() + result,
        }
    }

    pub(super) fn has_claim(&self, claim: &JobClaim) -> bool {
        match &self.phase {
            JobPhase::Running(current) | JobPhase::Unknown(current) => current == claim,
            _ => false,
        }
    }
}
