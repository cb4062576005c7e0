//! Relays the tokens of a running request, and resumes the stream after a loss of the connection to
//! the engine.

use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use log::debug;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::authenticate::check_still_live;
use super::classify::ClassifiedRequest;
use super::context::Context;
use super::dispatch::RunningRequest;
use super::dispatch::mark_failed;
use super::dispatch::report_crash;
use super::in_flight::InFlight;
use crate::backend::BackendError;
use crate::backend::TokenFrame;
use crate::backend::TokenStream;
use crate::backend::Usage;
use crate::metrics::RequestOutcome;
use crate::metrics::Timing;
use crate::types::MonoMs;
use crate::types::Refusal;
use crate::types::RefusalCode;

/// Result of this stage.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Maximum number of consecutive resumes without a new token, after which the rest counts as lost.
const MAX_RESUMES: u32 = 3;
/// Attempts to resume a stream after the loss of the connection to the engine.
const RESUME_ATTEMPTS: u32 = 3;
/// Interval between these attempts.
const RESUME_RETRY_MS: u64 = 50;
/// Interval at which the key of a running stream is checked.
const KEY_CHECK_INTERVAL_MS: u64 = 250;

/// Token stream of one running request.
pub struct Relay {
    cx: Context,
    request: ClassifiedRequest,
    in_flight: Option<InFlight>,
    rest: Option<TokenStream>,
    next_index: u64,
    /// Number of resumes since the last token.
    resumes: u32,
    accepted: MonoMs,
    key_checked: MonoMs,
    continue_when_dropped: bool,
}

impl Relay {
    /// Creates the relay for the tokens after the first one, which is returned with it. With
    /// `continue_when_dropped`, the engine continues after the caller has disconnected, so that the
    /// caller can resume the stream.
    pub fn new(
        cx: Context,
        running: RunningRequest,
        continue_when_dropped: bool,
    ) -> (TokenFrame, Self) {
        let relay = Self {
            key_checked: cx.clock.mono(),
            cx,
            request: running.request,
            in_flight: Some(running.in_flight),
            rest: Some(running.rest),
            next_index: running.first.index + 1,
            resumes: 0,
            accepted: running.accepted,
            continue_when_dropped,
        };
        (running.first, relay)
    }

    /// Returns the next token, or `None` after the last one.
    ///
    /// # Errors
    /// A refusal that ends the answer: the remaining tokens are lost.
    pub async fn next(&mut self) -> Option<Result<TokenFrame>> {
        self.in_flight.as_ref()?;
        if let Err(refusal) = self.check_key() {
            return Some(Err(self.fail(refusal)));
        }
        loop {
            match self.read().await {
                Ok(Some(frame)) => {
                    self.next_index = frame.index + 1;
                    self.resumes = 0;
                    return Some(Ok(frame));
                }
                Ok(None) => return None,
                Err(error) => {
                    if let Err(refusal) = self.resume(error).await {
                        return Some(Err(self.fail(refusal)));
                    }
                }
            }
        }
    }

    /// Settles the request after its last token was relayed.
    pub fn complete(&mut self, usage: Usage) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        in_flight.complete(usage);
        let account = self.request.caller.account();
        let patience = self.request.patience;
        let total_ms = self.cx.clock.mono().since(self.accepted);
        let metrics = &self.cx.metrics;
        metrics.record_timing(account, patience, Timing::Total, total_ms);
        metrics.count_outcome(account, patience, RequestOutcome::Answered);
    }

    async fn read(&mut self) -> crate::backend::Result<Option<TokenFrame>> {
        let run_deadline = self.in_flight.as_ref().map(InFlight::run_deadline);
        let (Some(run_deadline), Some(rest)) = (run_deadline, self.rest.as_mut()) else {
            return Ok(None);
        };
        match timeout_at(run_deadline, rest.next()).await {
            Ok(frame) => frame.transpose(),
            Err(_) => Err(BackendError::Mismatch {
                message: "the answer did not end in time".to_owned(),
            }),
        }
    }

    /// Reopens the stream at the next token. A server that does not know the request any more has
    /// crashed.
    async fn resume(&mut self, error: BackendError) -> Result<()> {
        self.resumes += 1;
        if matches!(error, BackendError::Mismatch { .. }) || self.resumes > MAX_RESUMES {
            return Err(lost(&error));
        }
        if let Some(in_flight) = &self.in_flight {
            debug!(
                "relay: resuming the stream from {} at token {}: {error}",
                in_flight.server(),
                self.next_index
            );
        }
        for _ in 0..RESUME_ATTEMPTS {
            let Some(in_flight) = &self.in_flight else {
                return Err(lost(&error));
            };
            let identity = in_flight.identity().clone();
            let reopened = self
                .cx
                .engine
                .resume(in_flight.address(), identity, self.next_index);
            match reopened.await {
                Ok(stream) => {
                    self.rest = Some(stream);
                    return Ok(());
                }
                Err(failure) if failure.is_not_run() => {
                    mark_failed(&self.cx, in_flight);
                    report_crash(&self.cx, &self.request, in_flight);
                    return Err(lost(&failure));
                }
                Err(_) => sleep(Duration::from_millis(RESUME_RETRY_MS)).await,
            }
        }
        // A server that answers none of the attempts may have crashed.
        if let Some(in_flight) = &self.in_flight {
            mark_failed(&self.cx, in_flight);
            report_crash(&self.cx, &self.request, in_flight);
        }
        Err(lost(&error))
    }

    /// Checks the key at intervals. A stream whose key was withdrawn is ended, because the account
    /// does not pay for it any more.
    fn check_key(&mut self) -> Result<()> {
        let now = self.cx.clock.mono();
        if now.since(self.key_checked) < KEY_CHECK_INTERVAL_MS {
            return Ok(());
        }
        self.key_checked = now;
        check_still_live(&*self.cx.keys, &self.request.caller).map_err(|refusal| Refusal {
            run: crate::types::RunState::Unknown,
            ..refusal
        })
    }

    fn fail(&mut self, refusal: Refusal) -> Refusal {
        self.continue_when_dropped = false;
        self.in_flight = None;
        let account = self.request.caller.account();
        self.cx
            .metrics
            .count_outcome(account, self.request.patience, RequestOutcome::Failed);
        refusal
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        let account = self.request.caller.account();
        self.cx.metrics.count_outcome(
            account,
            self.request.patience,
            RequestOutcome::CallerDisconnected,
        );
        if self.continue_when_dropped {
            let rest = self.rest.take().unwrap_or_else(|| stream::empty().boxed());
            in_flight.drain_in_background(rest);
        }
    }
}

fn lost(error: &BackendError) -> Refusal {
    let message = format!("the rest of the answer is lost: {error}");
    Refusal::unknown(RefusalCode::BackendFailed, message)
}
