//! Runner of accepted jobs: claims them in the replicated log, runs them and records the results.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use log::warn;
use rand::RngExt;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use super::health::VmHealth;
use super::state_machine::SharedControlState;
use super::state_machine::lock;
use crate::control::Command;
use crate::control::Job;
use crate::control::JobClaim;
use crate::control::JobCommand;
use crate::control::JobId;
use crate::control::JobPhase;
use crate::control::JobReply;
use crate::control::Outcome;
use crate::control::RecordedResult;
use crate::http::CompletionMetadata;
use crate::http::completion_object;
use crate::pipeline::Caller;
use crate::pipeline::Context;
use crate::pipeline::JobRequest;
use crate::pipeline::run_whole;
use crate::types::Refusal;
use crate::types::RefusalCode;

/// Interval at which queued jobs are polled.
const POLL_INTERVAL_MS: u64 = 100;
/// Maximum number of jobs that one VM runs concurrently.
const MAX_RUNNING: usize = 64;
/// Time for which only the VM that a job's id hashes to claims the job. Distributes jobs without
/// coordination between VMs; other VMs take over if that VM does not claim the job.
const PREFERRED_VM_MS: u64 = 1_000;
/// Timeout of one attempt to commit a claim or a result.
const COMMIT_TIMEOUT_MS: u64 = 5_000;
/// Initial backoff before a job that could not run is retried.
const RETRY_MS: u64 = 500;
/// Maximum backoff between retries of a job.
const MAX_RETRY_MS: u64 = 10_000;

/// Runs queued jobs on this VM.
#[derive(Clone)]
pub struct JobRunner {
    /// Request pipeline that runs the jobs.
    pub pipeline: Context,
    /// Control state that this VM has applied.
    pub state: SharedControlState,
    /// Health of the VM; decides whether jobs are claimed.
    pub health: Arc<VmHealth>,
    /// Ids of the jobs that run on this VM.
    pub running: Arc<Mutex<HashSet<JobId>>>,
}

impl JobRunner {
    /// Creates a runner without jobs.
    pub fn new(pipeline: Context, state: SharedControlState, health: Arc<VmHealth>) -> Self {
        Self {
            pipeline,
            state,
            health,
            running: Arc::default(),
        }
    }

    /// Claims and runs queued jobs until the task is dropped.
    pub async fn run(self) {
        loop {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            if self.health.is_closed() || self.health.is_cut_off() {
                continue;
            }
            for job in self.claimable() {
                tokio::spawn(self.clone().run_job(job));
            }
        }
    }

    /// Number of jobs that run on this VM.
    pub fn running_count(&self) -> usize {
        self.running.lock().expect("no holder panics").len()
    }

    /// Returns queued jobs that this VM may claim now, and counts them as running.
    fn claimable(&self) -> Vec<Job> {
        let mut running = self.running.lock().expect("no holder panics");
        let now = self.pipeline.clock.unix();
        let control = lock(&self.state);
        let state = control.state();
        let vms: Vec<_> = state.roster().iter().map(|(vm, _)| vm.clone()).collect();
        let own = self.pipeline.replicated_log.owner().vm;
        let queued = state.jobs().queued();
        queued
            .filter(|job| {
                let id = &job.accept.job;
                let hash = crc32fast::hash(id.as_bytes()) as usize;
                let preferred = vms.get(hash % vms.len().max(1)) == Some(&own);
                preferred || now.since(job.accept.at) >= PREFERRED_VM_MS
            })
            .filter(|job| running.len() < MAX_RUNNING && running.insert(job.accept.job.clone()))
            .cloned()
            .collect()
    }

    async fn run_job(self, job: Job) {
        let id = job.accept.job.clone();
        if let Some(claim) = self.claim(&job).await {
            let result = self.run_until_done(&job, &claim).await;
            if let Some(result) = result {
                self.finish(&job, claim, result).await;
            }
        }
        let mut running = self.running.lock().expect("no holder panics");
        running.remove(&id);
    }

    async fn claim(&self, job: &Job) -> Option<JobClaim> {
        let claim = JobClaim {
            owner: self.pipeline.replicated_log.owner(),
            claim_id: rand::rng().random(),
            attempt: job.attempt + 1,
        };
        let command = JobCommand::Claim {
            job: job.accept.job.clone(),
            claim: claim.clone(),
        };
        match self.propose(command).await {
            Some(JobReply::Claimed { .. }) => Some(claim),
            Some(_) => None,
            None => {
                // The claim may still be committed; its release lets another VM run the job.
                let release = JobCommand::Release {
                    job: job.accept.job.clone(),
                    claim,
                };
                self.propose(release).await;
                None
            }
        }
    }

    /// Runs the job and retries after refusals. Returns `None` if the claim is lost or released.
    async fn run_until_done(&self, job: &Job, claim: &JobClaim) -> Option<RecordedResult> {
        let mut wait_ms = RETRY_MS;
        loop {
            let refusal = match self.run_once(job).await {
                Ok(result) => return Some(result),
                Err(refusal) => refusal,
            };
            if !self.is_still_claimed(job, claim) {
                return None;
            }
            let next = self.pipeline.clock.unix().plus(wait_ms);
            if !may_retry(&refusal) || next >= job.accept.deadline_unix_ms {
                return Some(refused(&refusal));
            }
            if self.health.is_closed() {
                self.release(job, claim.clone()).await;
                return None;
            }
            sleep(Duration::from_millis(
                refusal.retry_after_ms.unwrap_or(wait_ms).min(MAX_RETRY_MS),
            ))
            .await;
            wait_ms = (wait_ms * 2).min(MAX_RETRY_MS);
        }
    }

    async fn run_once(&self, job: &Job) -> Result<RecordedResult, Refusal> {
        let request: JobRequest = serde_json::from_slice(&job.accept.request)
            .map_err(|error| failed(format!("the recorded request cannot be read: {error}")))?;
        let account = {
            let control = lock(&self.state);
            let account = control.state().account(job.accept.account.as_str());
            account.cloned()
        };
        let account = account.ok_or_else(|| failed("the account is gone".to_owned()))?;
        let caller = Caller::of_job(account.name, account.parameters);
        let completion = request.completion.clone();
        let answer = run_whole(&self.pipeline, request.classified(job, caller)).await?;
        let created_s = self.pipeline.clock.unix().0 / 1_000;
        let metadata = CompletionMetadata::new(answer.public_id.clone(), &completion, created_s);
        let body = completion_object(&metadata, &answer);
        Ok(RecordedResult {
            status: 200,
            content_type: Some("application/json".to_owned()),
            body: Some(body.to_string().into()),
        })
    }

    fn is_still_claimed(&self, job: &Job, claim: &JobClaim) -> bool {
        let control = lock(&self.state);
        let current = control.state().jobs().get(&job.accept.job);
        match current.map(|job| &job.phase) {
            Some(JobPhase::Running(running)) => running == claim,
            // The claim may be committed but not yet applied on this VM.
            Some(JobPhase::Queued) => true,
            _ => false,
        }
    }

    async fn finish(&self, job: &Job, claim: JobClaim, result: RecordedResult) {
        let finish = JobCommand::Finish {
            job: job.accept.job.clone(),
            claim,
            result,
        };
        // Retries as long as callers may fetch the result.
        while self.pipeline.clock.unix() < job.accept.keep_until_unix_ms {
            match self.propose(finish.clone()).await {
                Some(JobReply::Finished) => return,
                Some(other) => {
                    warn!(
                        "jobs: failed to record the result of {}: {other:?}",
                        job.accept.job
                    );
                    return;
                }
                None => sleep(Duration::from_millis(RETRY_MS)).await,
            }
        }
    }

    async fn release(&self, job: &Job, claim: JobClaim) {
        let job = job.accept.job.clone();
        self.propose(JobCommand::Release { job, claim }).await;
    }

    async fn propose(&self, command: JobCommand) -> Option<JobReply> {
        let deadline = Instant::now() + Duration::from_millis(COMMIT_TIMEOUT_MS);
        let command = Command::Job(command);
        match self
            .pipeline
            .replicated_log
            .propose(command, deadline)
            .await
        {
            Ok(Outcome::Job(reply)) => Some(reply),
            _ => None,
        }
    }
}

/// Whether a retry can succeed; refusals of the request itself are final.
fn may_retry(refusal: &Refusal) -> bool {
    !matches!(
        refusal.code,
        RefusalCode::BadRequest
            | RefusalCode::DeadlineUnreachable
            | RefusalCode::Forbidden
            | RefusalCode::Quarantined
            | RefusalCode::TooLarge
            | RefusalCode::Unauthorized
    )
}

fn refused(refusal: &Refusal) -> RecordedResult {
    RecordedResult {
        status: refusal.code.http_status(),
        content_type: Some("application/json".to_owned()),
        body: Some(json!({"error": refusal}).to_string().into()),
    }
}

fn failed(message: String) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}
