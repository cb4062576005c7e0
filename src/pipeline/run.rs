//! Runs the pipeline stages for complete and for streamed answers.

use super::RunningRequest;
use super::admit::admit;
use super::classify::ClassifiedRequest;
use super::context::Context;
use super::dispatch::dispatch;
use super::relay::Relay;
use crate::backend::TokenFrame;
use crate::backend::Usage;
use crate::metrics::RequestOutcome;
use crate::types::Refusal;
use crate::types::RunState;
use crate::types::UnixMs;

/// Result of a run.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Maximum number of runs of a request with a complete answer, the first one included.
const MAX_RUNS: u32 = 3;

/// A complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WholeAnswer {
    /// Request id returned to the caller.
    pub public_id: String,
    /// Whole generated text.
    pub text: String,
    /// Why generation ended.
    pub finish_reason: String,
    /// Tokens consumed.
    pub usage: Usage,
    /// When the adapter became resident on the engine, if the engine reports it.
    pub resident_since: Option<UnixMs>,
}

/// A streamed answer whose first token has arrived.
pub struct StreamedAnswer {
    /// Request id returned to the caller, by which the stream can be resumed.
    pub public_id: String,
    /// First token.
    pub first: TokenFrame,
    /// The following tokens.
    pub relay: Relay,
}

/// Runs `request` and returns its first token and the rest as a stream.
///
/// # Errors
/// A refusal of any stage up to the first token.
pub async fn run_streamed(cx: &Context, request: ClassifiedRequest) -> Result<StreamedAnswer> {
    let running = start(cx, request, 0).await?;
    let public_id = running.public_id();
    let (first, relay) = Relay::new(cx.clone(), running, true);
    Ok(StreamedAnswer {
        public_id,
        first,
        relay,
    })
}

/// Runs `request` to its end. If the answer breaks off, the request is run again, since the caller
/// has received no part of it.
///
/// # Errors
/// A refusal of any stage.
pub async fn run_whole(cx: &Context, request: ClassifiedRequest) -> Result<WholeAnswer> {
    let mut runs = 0;
    let mut attempt = 0;
    loop {
        runs += 1;
        let running = start(cx, request.clone(), attempt).await.map_err(|r| {
            // An earlier run may have consumed tokens, so the request as a whole is not "not run".
            let run = if runs > 1 { RunState::Unknown } else { r.run };
            Refusal { run, ..r }
        })?;
        attempt = running.attempt;
        match collect(cx, running).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) if runs >= MAX_RUNS || !cx.retry_budget.take() => return Err(refusal),
            Err(_) => {}
        }
    }
}

async fn start(cx: &Context, request: ClassifiedRequest, attempt: u32) -> Result<RunningRequest> {
    let accepted = cx.clock.mono();
    if attempt == 0 {
        cx.retry_budget.add_request();
    }
    let account = request.caller.account().clone();
    let patience = request.patience;
    let started = match admit(cx, request).await {
        Ok(admitted) => dispatch(cx, admitted, accepted, attempt).await,
        Err(refusal) => Err(refusal),
    };
    if let Err(refusal) = &started {
        let outcome = match refusal.run {
            RunState::NotRun => RequestOutcome::Refused,
            RunState::Ran | RunState::Unknown => RequestOutcome::Failed,
        };
        cx.metrics.count_outcome(&account, patience, outcome);
    }
    started
}

async fn collect(cx: &Context, running: RunningRequest) -> Result<WholeAnswer> {
    let public_id = running.public_id();
    let (first, mut relay) = Relay::new(cx.clone(), running, false);
    let mut text = String::new();
    let mut frame = first;
    loop {
        text.push_str(&frame.text);
        if let Some(finish_reason) = frame.finish_reason {
            let usage = frame.usage.unwrap_or_default();
            relay.complete(usage);
            return Ok(WholeAnswer {
                public_id,
                text,
                finish_reason,
                usage,
                resident_since: frame.resident_since,
            });
        }
        frame = relay.next().await.unwrap_or_else(|| Err(ended_early()))?;
    }
}

fn ended_early() -> Refusal {
    let message = "the answer ended without a finish reason";
    Refusal::unknown(crate::types::RefusalCode::BackendFailed, message)
}
