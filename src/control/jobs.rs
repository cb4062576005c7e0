//! Records of patient jobs. A job is accepted once, run by one owner at a time, and its result is
//! kept until the record expires.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;

use crate::control::FieldError;
use crate::control::Job;
use crate::control::JobAccept;
use crate::control::JobClaim;
use crate::control::JobCommand;
use crate::control::JobId;
use crate::control::JobPhase;
use crate::control::JobReply;
use crate::control::JobStatus;
use crate::control::LostOwners;
use crate::control::RecordedResult;
use crate::control::Sha256Hash;
use crate::control::names;
use crate::control::quota::Quota;
use crate::control::quota::Usage;
use crate::types::AccountName;
use crate::types::UnixMs;

/// Maximum number of jobs, including ended ones.
pub const MAX_JOBS: usize = 20_000;
/// Maximum size of all requests and results, reserved or recorded.
pub const MAX_JOB_BYTES: usize = 32 * 1024 * 1024;
/// Maximum size of one request.
pub const MAX_JOB_REQUEST_BYTES: usize = 64 * 1024;
/// Maximum size of one result.
pub const MAX_JOB_RESULT_BYTES: usize = 256 * 1024;
/// Maximum time from acceptance to the removal of the record.
pub const MAX_JOB_LIFETIME_MS: u64 = 7 * 24 * 3_600_000;

/// All job records.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    records: BTreeMap<JobId, Job>,
    /// Jobs that wait for a claim, ordered by deadline.
    queued: BTreeSet<(UnixMs, JobId)>,
    /// All jobs, ordered by the time of their removal.
    removals: BTreeSet<(UnixMs, JobId)>,
    quota: Quota,
}

impl Jobs {
    /// The job with the given id.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.records.get(id)
    }

    /// Jobs with ids above `id`, ordered by id.
    pub fn after<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Job> + 'a {
        let start = std::ops::Bound::Excluded(id);
        self.records
            .range::<str, _>((start, std::ops::Bound::Unbounded))
            .map(|(_, job)| job)
    }

    /// Jobs that wait for a claim, earliest deadline first.
    pub fn queued(&self) -> impl Iterator<Item = &Job> {
        self.queued
            .iter()
            .filter_map(|(_, id)| self.records.get(id))
    }

    /// Claimed jobs with their claims.
    pub fn running(&self) -> impl Iterator<Item = (&Job, &JobClaim)> {
        self.records.values().filter_map(|job| match &job.phase {
            JobPhase::Running(claim) => Some((job, claim)),
            _ => None,
        })
    }

    /// Number of jobs, including ended ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn apply(
        &mut self,
        command: &JobCommand,
        lost: &LostOwners,
        now: UnixMs,
    ) -> JobReply {
        match command {
            JobCommand::Accept(accept) => self.accept(accept, now),
            JobCommand::Claim { job, claim } => self.claim(job, claim, lost, now),
            JobCommand::Finish { job, claim, result } => self.finish(job, claim, result),
            JobCommand::Release { job, claim } => self.release(job, claim, now),
            JobCommand::Cancel { job, account } => self.cancel(job, account),
        }
    }

    fn accept(&mut self, accept: &JobAccept, now: UnixMs) -> JobReply {
        let request_hash = Sha256Hash::of(&accept.request);
        if let Some(job) = self.records.get(&accept.job) {
            let is_same = job.accept.account == accept.account && job.request_hash == request_hash;
            return match is_same {
                true => JobReply::Accepted,
                false => JobReply::Conflict,
            };
        }
        if accept.deadline_unix_ms <= now {
            return JobReply::Expired;
        }
        let job = Job {
            accept: accept.clone(),
            request_hash,
            attempt: 0,
            phase: JobPhase::Queued,
        };
        if let Err(error) = self.check_new(&job) {
            return JobReply::Refused(error);
        }
        self.index(&job);
        self.records.insert(accept.job.clone(), job);
        JobReply::Accepted
    }

    fn check_new(&self, job: &Job) -> Result<(), FieldError> {
        let accept = &job.accept;
        names::check_id("job", &accept.job)?;
        check_size("request", accept.request.len(), MAX_JOB_REQUEST_BYTES)?;
        check_size(
            "result_bytes",
            accept.result_bytes as usize,
            MAX_JOB_RESULT_BYTES,
        )?;
        let keep = accept.keep_until_unix_ms;
        let is_too_long = keep.since(accept.at) > MAX_JOB_LIFETIME_MS;
        if keep < accept.deadline_unix_ms || is_too_long {
            let allowed = format!(
                "from the deadline {} to {MAX_JOB_LIFETIME_MS} ms after {}",
                accept.deadline_unix_ms.0, accept.at.0
            );
            return Err(FieldError::new(
                "keep_until_unix_ms",
                keep.0.to_string(),
                allowed,
            ));
        }
        let max = Usage {
            records: MAX_JOBS,
            bytes: MAX_JOB_BYTES,
        };
        self.quota.check(&accept.account, job.usage(), max, "jobs")
    }

    fn claim(&mut self, id: &JobId, claim: &JobClaim, lost: &LostOwners, now: UnixMs) -> JobReply {
        let Some(job) = self.records.get(id) else {
            return JobReply::NotFound;
        };
        let attempt = job.attempt;
        if matches!(&job.phase, JobPhase::Running(current) if current == claim) {
            return JobReply::Claimed { attempt };
        }
        if lost.contains(&claim.owner) {
            return JobReply::OwnerGone;
        }
        let status = job.status();
        let is_next = Some(claim.attempt) == attempt.checked_add(1);
        if status != JobStatus::Queued || !is_next || job.accept.deadline_unix_ms <= now {
            return JobReply::NotClaimable { status, attempt };
        }
        self.update(id, |job| {
            job.attempt = claim.attempt;
            job.phase = JobPhase::Running(claim.clone());
        });
        JobReply::Claimed {
            attempt: claim.attempt,
        }
    }

    fn finish(&mut self, id: &JobId, claim: &JobClaim, result: &RecordedResult) -> JobReply {
        let Some(job) = self.records.get(id) else {
            return JobReply::NotFound;
        };
        if !job.has_claim(claim) {
            return match job.status() {
                JobStatus::Queued | JobStatus::Running => JobReply::Stale {
                    attempt: job.attempt,
                },
                status => JobReply::Ended(status),
            };
        }
        let result = result.bounded(job.accept.result_bytes as usize);
        self.update(id, |job| job.phase = JobPhase::Done(result));
        JobReply::Finished
    }

    fn release(&mut self, id: &JobId, claim: &JobClaim, now: UnixMs) -> JobReply {
        let Some(job) = self.records.get(id) else {
            return JobReply::NotFound;
        };
        if !matches!(&job.phase, JobPhase::Running(current) if current == claim) {
            return JobReply::Stale {
                attempt: job.attempt,
            };
        }
        self.requeue(id, now);
        JobReply::Released
    }

    fn cancel(&mut self, id: &JobId, account: &AccountName) -> JobReply {
        let job = match self.records.get(id) {
            Some(job) if job.accept.account == *account => job,
            _ => return JobReply::NotFound,
        };
        match job.status() {
            JobStatus::Queued | JobStatus::Running => {
                self.update(id, |job| job.phase = JobPhase::Cancelled);
                JobReply::Cancelled
            }
            JobStatus::Cancelled => JobReply::Cancelled,
            status => JobReply::Ended(status),
        }
    }

    /// Revokes the claims of ended processes. Returns the number of jobs that may be claimed again
    /// and the number of jobs whose outcome is unknown.
    pub(super) fn owner_lost(&mut self, lost: &LostOwners, now: UnixMs) -> (usize, usize) {
        let (mut requeued, mut unknown) = (0, 0);
        for (id, claim, repeatable) in self.running_on_lost_owners(lost) {
            if repeatable {
                self.requeue(&id, now);
                requeued += 1;
            } else {
                self.update(&id, |job| job.phase = JobPhase::Unknown(claim));
                unknown += 1;
            }
        }
        (requeued, unknown)
    }

    fn running_on_lost_owners(&self, lost: &LostOwners) -> Vec<(JobId, JobClaim, bool)> {
        self.running()
            .filter(|(_, claim)| lost.contains(&claim.owner))
            .map(|(job, claim)| {
                let accept = &job.accept;
                (accept.job.clone(), claim.clone(), accept.repeatable)
            })
            .collect()
    }

    pub(super) fn expire(&mut self, now: UnixMs) {
        while let Some((_, id)) = self.queued.first().filter(|(at, _)| *at <= now).cloned() {
            self.update(&id, |job| job.phase = JobPhase::Missed);
        }
        while let Some((_, id)) = self.removals.first().filter(|(at, _)| *at <= now).cloned() {
            if let Some(job) = self.records.remove(&id) {
                self.unindex(&job);
            }
        }
    }

    fn requeue(&mut self, id: &JobId, now: UnixMs) {
        self.update(id, |job| {
            let is_late = job.accept.deadline_unix_ms <= now;
            job.phase = if is_late {
                JobPhase::Missed
            } else {
                JobPhase::Queued
            };
        });
    }

    fn update(&mut self, id: &JobId, change: impl FnOnce(&mut Job)) {
        let Some(mut job) = self.records.remove(id) else {
            return;
        };
        self.unindex(&job);
        change(&mut job);
        if job.has_ended() {
            job.accept.request = Bytes::new();
        }
        self.index(&job);
        self.records.insert(id.clone(), job);
    }

    fn index(&mut self, job: &Job) {
        let accept = &job.accept;
        if job.status() == JobStatus::Queued {
            self.queued
                .insert((accept.deadline_unix_ms, accept.job.clone()));
        }
        self.removals
            .insert((accept.keep_until_unix_ms, accept.job.clone()));
        self.quota.add(&accept.account, job.usage());
    }

    fn unindex(&mut self, job: &Job) {
        let accept = &job.accept;
        self.queued
            .remove(&(accept.deadline_unix_ms, accept.job.clone()));
        self.removals
            .remove(&(accept.keep_until_unix_ms, accept.job.clone()));
        self.quota.subtract(&accept.account, job.usage());
    }

    pub(super) fn parts(&self) -> &BTreeMap<JobId, Job> {
        &self.records
    }

    pub(super) fn from_parts(records: BTreeMap<JobId, Job>) -> Self {
        let mut jobs = Self::default();
        for job in records.values() {
            jobs.index(job);
        }
        jobs.records = records;
        jobs
    }
}

fn check_size(field: &str, found: usize, max: usize) -> Result<(), FieldError> {
    if found <= max {
        return Ok(());
    }
    Err(FieldError::new(
        field,
        found.to_string(),
        format!("at most {max} bytes"),
    ))
}
