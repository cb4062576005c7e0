//! Jobs, the commands about them and the replies.

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
    /// Bytes reserved for the result; a longer one is recorded without its body.
    pub result_bytes: u32,
    /// Whether another process may run the job after its owner ended.
    pub repeatable: bool,
    /// When the job was submitted.
    pub at: UnixMs,
    /// When the job must be done.
    pub deadline_unix_ms: UnixMs,
    /// When the record is dropped, at most [`crate::control::MAX_JOB_LIFETIME_MS`] after `at`.
    pub keep_until_unix_ms: UnixMs,
}

/// The one who claims a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claimant {
    /// Process that would run the job.
    pub owner: Owner,
    /// Random number of this claim. Only the task that drew it may act on `Claimed`.
    pub claim_id: u64,
    /// One more than the last attempt.
    pub attempt: u32,
}

/// A command about a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobCommand {
    /// Committed before the caller is told that the job is accepted.
    Accept(JobAccept),
    /// Committed before the job is dispatched.
    Claim {
        /// Id of the job.
        job: JobId,
        /// Who claims it.
        claimant: Claimant,
    },
    /// Committed before the result is shown to the caller.
    Finish {
        /// Id of the job.
        job: JobId,
        /// Who ran it.
        claimant: Claimant,
        /// The response.
        result: RecordedResult,
    },
    /// The owner gives the job back. Allowed only if it was not dispatched or may be repeated.
    Release {
        /// Id of the job.
        job: JobId,
        /// Who gives it back.
        claimant: Claimant,
    },
    /// The caller does not want the job any more.
    Cancel {
        /// Id of the job.
        job: JobId,
        /// Account of the caller; jobs of other accounts are not found.
        account: AccountName,
    },
}

/// Reply to a [`JobCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobReply {
    /// The job is recorded, now or by an earlier proposal of the same job.
    Accepted,
    /// The job id was used with another request.
    Conflict,
    /// The claimant, and no other, may run the job as this attempt.
    Claimed {
        /// Number of the attempt.
        attempt: u32,
    },
    /// The job cannot be claimed as this attempt.
    NotClaimable {
        /// How far the job has come.
        status: JobStatus,
        /// Last attempt.
        attempt: u32,
    },
    /// The result is recorded.
    Finished,
    /// The job is free for the next claimant.
    Released,
    /// The job is cancelled. A running attempt should be stopped.
    Cancelled,
    /// The job had ended before, perhaps by an earlier proposal of the same command.
    Ended(JobStatus),
    /// The claimant does not have the job; its result is ignored.
    Stale {
        /// Last attempt.
        attempt: u32,
    },
    /// No such job of this account, or dropped.
    NotFound,
    /// The process that claims is known to have ended; it must not run the job.
    OwnerGone,
    /// The deadline is over; the job is not accepted.
    Expired,
    /// The job is not accepted and not run.
    Refused(FieldError),
}

/// Name of a [`JobPhase`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// Waits for a claim.
    Queued,
    /// Claimed.
    Running,
    /// Has a result.
    Done,
    /// Cancelled by the caller.
    Cancelled,
    /// The deadline passed before an attempt ended.
    Missed,
    /// The owner ended and the job may not be repeated.
    Unknown,
}

/// How far a job has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// Waits for a claim.
    Queued,
    /// Claimed by this claimant.
    Running(Claimant),
    /// Has a result.
    Done(RecordedResult),
    /// Cancelled by the caller.
    Cancelled,
    /// The deadline passed before an attempt ended.
    Missed,
    /// This claimant's process ended and the job may not be repeated.
    Unknown(Claimant),
}

/// The record of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The job as submitted. The request is empty once the job has ended.
    pub accept: JobAccept,
    /// Hash of the request.
    pub request_hash: Sha256Hash,
    /// Last attempt; 0 before the first claim.
    pub attempt: u32,
    /// How far the job has come.
    pub phase: JobPhase,
}

impl Job {
    /// How far the job has come, without details.
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

    pub(super) fn is_held_by(&self, claimant: &Claimant) -> bool {
        match &self.phase {
            JobPhase::Running(holder) | JobPhase::Unknown(holder) => holder == claimant,
            _ => false,
        }
    }
}
