//! Queues an admitted request, dispatches it to an engine and waits for the first token.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use log::debug;
use log::info;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::admit::AdmittedRequest;
use super::admit::ReservedTokens;
use super::admit::check_quarantine;
use super::assignment::Assignment;
use super::authenticate::check_still_live;
use super::classify::ClassifiedRequest;
use super::context::Context;
use super::dispatcher::DispatchRequest;
use super::in_flight::InFlight;
use super::in_flight::after_ms;
use crate::backend::BackendError;
use crate::backend::EngineCall;
use crate::backend::StreamIdentity;
use crate::backend::TokenFrame;
use crate::backend::TokenStream;
use crate::membership::Fingerprint;
use crate::membership::Verdict;
use crate::metrics::Timing;
use crate::scheduling::crash_evidence::Progress;
use crate::types::MonoMs;
use crate::types::Patience;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::RunState;

/// Result of this stage.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Maximum number of dispatches of one request, retries included.
const MAX_ATTEMPTS: u32 = 8;
/// Wait before a request is queued again whose adapter was not resident on the engine.
const NOT_RESIDENT_RETRY_MS: u64 = 20;
/// Interval at which a server whose connection was lost is probed for the request.
const PROBE_INTERVAL_MS: u64 = 50;
/// Longest time for which the server is probed. The request must not run elsewhere before a crash
/// has been reported, or it could crash one engine after another.
const PROBE_TIMEOUT_MS: u64 = 1_500;
/// Wait before a request that crashed a server runs again, and before another suspect runs on the server:
/// one gossip round, so that the crash reports of other VMs arrive first.
const CRASH_REPORT_WAIT_MS: u64 = 500;
/// Wait before a suspect tries again to reserve an engine.
const SUSPECT_RETRY_MS: u64 = 100;
/// Engine priority of urgent requests; lower runs first.
const URGENT_PRIORITY: u8 = 0;
/// Engine priority of patient requests.
const PATIENT_PRIORITY: u8 = 1;
/// Bytes of prompt text in one prefix block.
const PREFIX_BLOCK_BYTES: usize = 48;
/// Maximum number of prefix blocks that are hashed and compared.
const MAX_PREFIX_BLOCKS: usize = 64;

/// A running request whose first token has arrived.
pub struct RunningRequest {
    /// The request.
    pub request: ClassifiedRequest,
    /// The dispatch, with the reserved server and tokens.
    pub in_flight: InFlight,
    /// Number of the dispatch, from 1.
    pub attempt: u32,
    /// First token.
    pub first: TokenFrame,
    /// The following tokens.
    pub rest: TokenStream,
    /// When the request was accepted.
    pub accepted: MonoMs,
}

impl RunningRequest {
    /// Request id returned to the caller.
    pub fn public_id(&self) -> String {
        let server = self.in_flight.server();
        let format = self.request.completion.format;
        self.request
            .request_id
            .on_server(format, self.attempt, server)
    }
}

/// A dispatch that ended before its first token.
struct FailedDispatch {
    error: BackendError,
    tokens: ReservedTokens,
    /// Whether the server crashed while it ran the request.
    crashed: bool,
}

/// Runs `admitted` until its first token, and retries on another engine after a failure. `attempt`
/// is the number of earlier dispatches.
///
/// # Errors
/// A refusal as soon as the request can no longer succeed: `unknown` once an engine may have run
/// it, otherwise `not_run`.
pub async fn dispatch(
    cx: &Context,
    admitted: AdmittedRequest,
    accepted: MonoMs,
    mut attempt: u32,
) -> Result<RunningRequest> {
    let AdmittedRequest {
        request,
        mut tokens,
    } = admitted;
    let mut run = RunState::NotRun;
    loop {
        attempt += 1;
        check_before_dispatch(cx, &request, run)?;
        debug!("dispatch: request {} queued", request.request_id.as_str());
        let failure = match try_dispatch(cx, &request, tokens, accepted, attempt, run).await? {
            Ok(running) => return Ok(running),
            Err(failure) => failure,
        };
        tokens = failure.tokens;
        if !failure.error.is_not_run() {
            run = RunState::Unknown;
        }
        let may_retry = attempt < MAX_ATTEMPTS && cx.retry_budget.take();
        if !may_retry || cx.clock.unix() >= request.deadline {
            return Err(backend_failed(&failure.error, run));
        }
        if failure.crashed {
            sleep(Duration::from_millis(CRASH_REPORT_WAIT_MS)).await;
        }
        if failure.error == BackendError::NotResident {
            sleep(Duration::from_millis(NOT_RESIDENT_RETRY_MS)).await;
        }
    }
}

fn check_before_dispatch(cx: &Context, request: &ClassifiedRequest, run: RunState) -> Result<()> {
    let with_run = |refusal: Refusal| Refusal { run, ..refusal };
    check_still_live(&*cx.keys, &request.caller).map_err(with_run)?;
    check_quarantine(cx, request).map_err(with_run)
}

async fn try_dispatch(
    cx: &Context,
    request: &ClassifiedRequest,
    tokens: ReservedTokens,
    accepted: MonoMs,
    attempt: u32,
    run: RunState,
) -> Result<std::result::Result<RunningRequest, FailedDispatch>> {
    let assignment = assign(cx, request, run).await?;
    let Some((address, _)) = cx.servers.locate(assignment.server()) else {
        let message = "the server left before the dispatch".to_owned();
        let error = BackendError::NotStarted { message };
        return Ok(Err(failed_before_start(error, tokens)));
    };
    record_wait(cx, request, assignment.wait_ms(), assignment.load_stalled());
    debug!(
        "dispatch: request {} sent to {} as attempt {attempt}",
        request.request_id.as_str(),
        assignment.server()
    );
    let call = engine_call(cx, request, attempt);
    let identity = StreamIdentity::of_call(&call);
    let run_deadline = run_deadline(cx, request);
    let in_flight = InFlight::new(
        cx.engine.clone(),
        address,
        identity,
        run_deadline,
        assignment,
        tokens,
    );
    let started = cx.engine.start(address, call);
    match first_token(started, run_deadline).await {
        Ok((first, rest)) => {
            record_first_token(cx, request, accepted);
            Ok(Ok(RunningRequest {
                request: request.clone(),
                in_flight,
                attempt,
                first,
                rest,
                accepted,
            }))
        }
        Err((error, progress)) => {
            let failed = handle_failure(cx, request, in_flight, error, progress).await;
            Ok(Err(failed))
        }
    }
}

/// Waits for an engine. A suspect waits until the engine runs no other suspect. The quarantine is
/// checked again after the wait, because crash reports may arrive while the request is queued.
async fn assign(cx: &Context, request: &ClassifiedRequest, run: RunState) -> Result<Assignment> {
    loop {
        let queued = dispatch_request(cx, request);
        let suspect = queued.suspect;
        let assigned = cx.dispatcher.assign(queued).await;
        // The queue reports this dispatch as not run, but an earlier one may have run.
        let mut assignment = assigned.map_err(|refusal| Refusal { run, ..refusal })?;
        let located = cx.servers.locate(assignment.server());
        let server = assignment.server();
        if let Some((address, incarnation)) = located
            && !cx.server_permits.take(server, address, incarnation).await
        {
            assignment.set_used_tokens(0);
            continue;
        }
        let fingerprint = Fingerprint(request.fingerprint);
        let verdict = cx.quarantine.verdict(&fingerprint);
        if verdict == Verdict::Suspect && !suspect {
            continue;
        }
        if suspect {
            let Some(reservation) = cx.suspects.reserve(assignment.server(), fingerprint).await
            else {
                drop(assignment);
                sleep(Duration::from_millis(SUSPECT_RETRY_MS)).await;
                continue;
            };
            assignment.set_suspect_reservation(reservation);
        }
        check_before_dispatch(cx, request, run)?;
        return Ok(assignment);
    }
}

/// Waits for the first token. A failure tells whether the answer had begun.
async fn first_token(
    started: impl Future<Output = crate::backend::Result<TokenStream>>,
    run_deadline: Instant,
) -> std::result::Result<(TokenFrame, TokenStream), (BackendError, Progress)> {
    let started = timeout_at(run_deadline, started).await;
    let started = started.unwrap_or(Err(BackendError::TimedOut));
    let mut stream = started.map_err(|error| (error, Progress::Waiting))?;
    let error = match timeout_at(run_deadline, stream.next()).await {
        Ok(Some(Ok(frame))) => return Ok((frame, stream)),
        Ok(Some(Err(error))) => error,
        Ok(None) => BackendError::Lost {
            message: "the stream was empty".to_owned(),
        },
        Err(_) => BackendError::TimedOut,
    };
    Err((error, Progress::Answering))
}

/// Handles a failed dispatch: determines whether the server crashed, and if so reports the crash
/// for the request.
async fn handle_failure(
    cx: &Context,
    request: &ClassifiedRequest,
    in_flight: InFlight,
    error: BackendError,
    progress: Progress,
) -> FailedDispatch {
    if error.is_connection_failure() {
        mark_failed(cx, &in_flight);
    }
    if error.is_not_run() {
        return failed_before_start(error, in_flight.not_run());
    }
    info!(
        "dispatch: lost the connection or answer of a request on {}: {error}",
        in_flight.server()
    );
    // A wrong or late answer is no sign of a crash.
    let crashed = error.is_connection_failure() && has_lost_request(cx, &in_flight).await;
    let tokens = if crashed {
        report_crash(cx, request, &in_flight);
        let incarnation = in_flight.assignment().incarnation();
        cx.quarantine
            .report_causes(&request.features, progress, in_flight.server(), incarnation);
        in_flight.crashed(after_ms(CRASH_REPORT_WAIT_MS))
    } else {
        in_flight.lost()
    };
    FailedDispatch {
        error,
        tokens,
        crashed,
    }
}

fn failed_before_start(error: BackendError, tokens: ReservedTokens) -> FailedDispatch {
    FailedDispatch {
        error,
        tokens,
        crashed: false,
    }
}

/// Probes a server whose connection was lost. True if the server cannot be reached or does not know
/// the request any more; a server that closes the connection is probed again.
async fn has_lost_request(cx: &Context, in_flight: &InFlight) -> bool {
    let until = after_ms(PROBE_TIMEOUT_MS).min(in_flight.run_deadline());
    loop {
        let identity = in_flight.identity().clone();
        let probe = cx.engine.resume(in_flight.address(), identity, 0);
        match timeout_at(until, probe).await {
            Ok(Err(error)) if error.is_not_run() => return true,
            Ok(Err(_)) if Instant::now() < until => {}
            _ => return false,
        }
        sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
    }
}

/// Excludes a server whose connection failed from new dispatches until it reports again.
pub(super) fn mark_failed(cx: &Context, in_flight: &InFlight) {
    let incarnation = in_flight.assignment().incarnation();
    cx.dispatcher.mark_failed(in_flight.server(), incarnation);
}

/// Reports that the server crashed while it ran the request.
pub(super) fn report_crash(cx: &Context, request: &ClassifiedRequest, in_flight: &InFlight) {
    let fingerprint = Fingerprint(request.fingerprint);
    let incarnation = in_flight.assignment().incarnation();
    cx.quarantine
        .report(fingerprint, in_flight.server(), incarnation);
}

fn dispatch_request(cx: &Context, request: &ClassifiedRequest) -> DispatchRequest {
    let completion = &request.completion;
    let tokens = completion.reserved_tokens();
    let verdict = cx.quarantine.verdict(&Fingerprint(request.fingerprint));
    DispatchRequest {
        account: request.caller.account().clone(),
        weight: request.caller.parameters().weight,
        patience: request.patience,
        tokens,
        prompt_tokens: tokens - completion.max_tokens,
        deadline: deadline(cx, request),
        adapter: completion.adapter.clone(),
        prefix: prefix_blocks(request),
        suspect: matches!(verdict, Verdict::Suspect),
    }
}

fn engine_call(cx: &Context, request: &ClassifiedRequest, attempt: u32) -> EngineCall {
    let completion = &request.completion;
    EngineCall {
        request_id: request
            .request_id
            .for_backend(request.caller.account(), attempt),
        adapter: completion.adapter.clone(),
        prompt: Arc::clone(&completion.prompt),
        max_tokens: completion.max_tokens,
        priority: match request.patience {
            Patience::Urgent => URGENT_PRIORITY,
            Patience::Patient => PATIENT_PRIORITY,
        },
        vm: cx.replicated_log.owner().vm,
    }
}

/// Deadline of the request on the monotonic clock.
fn deadline(cx: &Context, request: &ClassifiedRequest) -> MonoMs {
    let remaining_ms = request.deadline.since(cx.clock.unix());
    cx.clock.mono().plus(remaining_ms)
}

fn run_deadline(cx: &Context, request: &ClassifiedRequest) -> Instant {
    let remaining_ms = request.deadline.since(cx.clock.unix());
    after_ms(remaining_ms.min(cx.longest_request_ms))
}

/// Hashes of the prompt's prefix blocks, each over the adapter and the prompt up to the end of the
/// block.
fn prefix_blocks(request: &ClassifiedRequest) -> Vec<u64> {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(request.completion.adapter.to_string().as_bytes());
    let blocks = request.completion.prompt.as_bytes();
    blocks
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .zip(1_u64..)
        .map(|(block, position)| {
            hasher.update(block);
            (position << 32) | u64::from(hasher.clone().finalize())
        })
        .collect()
}

fn record_wait(cx: &Context, request: &ClassifiedRequest, wait_ms: u64, load_stalled: bool) {
    let account = request.caller.account();
    cx.metrics
        .record_timing(account, request.patience, Timing::Wait, wait_ms);
    if load_stalled {
        cx.metrics
            .record_timing(account, request.patience, Timing::LoadStall, wait_ms);
    }
}

fn record_first_token(cx: &Context, request: &ClassifiedRequest, accepted: MonoMs) {
    cx.quarantine.record_begun(&request.features);
    let elapsed_ms = cx.clock.mono().since(accepted);
    let account = request.caller.account();
    cx.metrics
        .record_timing(account, request.patience, Timing::FirstToken, elapsed_ms);
}

fn backend_failed(error: &BackendError, run: RunState) -> Refusal {
    let refusal = Refusal::not_run(RefusalCode::BackendFailed, error.to_string());
    Refusal { run, ..refusal }
}
