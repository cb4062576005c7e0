//! Orders: service calls that run at most once. The intent is committed before the call is sent,
//! and the outcome before the caller gets it.

use std::time::Duration;

use futures::future::BoxFuture;
use log::warn;
use rand::RngExt;
use tokio::time::Instant;
use tokio::time::sleep;

use super::context::Context;
use super::replicated_log::ProposalError;
use super::replicated_log::ReplicatedLog;
use crate::backend::BackendError;
use crate::backend::ServiceReply;
use crate::control::Command;
use crate::control::OrderCommand;
use crate::control::OrderIntent;
use crate::control::OrderKey;
use crate::control::OrderReply;
use crate::control::Outcome;
use crate::control::RecordedResult;
use crate::control::Sha256Hash;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::RunState;
use crate::types::UnixMs;

/// Result of an order.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Longest wait for the commit of the intent.
const INTENT_TIMEOUT_MS: u64 = 3_000;
/// Longest wait for the commit of the outcome, after which the caller is told that it is not
/// recorded.
const OUTCOME_TIMEOUT_MS: u64 = 5_000;
/// Longest time for which an outcome or a release is proposed in the background.
const BACKGROUND_TIMEOUT_MS: u64 = 10 * 60 * 1_000;
/// Longest wait for an order that another VM or request is running.
const IN_PROGRESS_TIMEOUT_MS: u64 = 2_000;
/// Interval at which the record of such an order is polled.
const IN_PROGRESS_POLL_MS: u64 = 100;
/// Retry time in refusals of orders without a known outcome.
const RETRY_AFTER_MS: u64 = 2_000;

/// A call that must run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Account and idempotency key.
    pub key: OrderKey,
    /// Hash of method, path and body.
    pub body_hash: Sha256Hash,
    /// When the record of the order expires.
    pub expires: UnixMs,
}

/// Sends a granted order to its backend server. Called at most once.
pub type SendOrder =
    Box<dyn FnOnce() -> BoxFuture<'static, std::result::Result<ServiceReply, BackendError>> + Send>;

/// Runs `order` at most once across all VMs and returns its recorded outcome.
///
/// # Errors
/// `not_run` if the order was not sent, `unknown` while its outcome is not known, `ran` if the
/// outcome could not be recorded yet.
pub async fn run_order(cx: &Context, order: Order, send: SendOrder) -> Result<RecordedResult> {
    let intent = intent(cx, &order);
    match claim(cx, &intent).await? {
        Claim::Granted => dispatch(cx, intent, send).await,
        Claim::Recorded(result) => Ok(result),
    }
}

enum Claim {
    Granted,
    Recorded(RecordedResult),
}

fn intent(cx: &Context, order: &Order) -> OrderIntent {
    OrderIntent {
        key: order.key.clone(),
        body_hash: order.body_hash,
        owner: cx.replicated_log.owner(),
        dispatch_id: rand::rng().random(),
        at: cx.clock.unix(),
        expires_unix_ms: order.expires,
    }
}

/// Commits the intent. If the order is already running elsewhere, polls for its outcome for a
/// limited time.
async fn claim(cx: &Context, intent: &OrderIntent) -> Result<Claim> {
    let deadline = Instant::now() + Duration::from_millis(IN_PROGRESS_TIMEOUT_MS);
    loop {
        let command = Command::Order(OrderCommand::Intent(intent.clone()));
        let reply = propose(&*cx.replicated_log, command, INTENT_TIMEOUT_MS).await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                release_in_background(cx, intent);
                return Err(not_committed(error));
            }
        };
        match reply {
            OrderReply::Granted => return Ok(Claim::Granted),
            OrderReply::Recorded(result) => return Ok(Claim::Recorded(result)),
            OrderReply::InProgress { .. } if Instant::now() < deadline => {
                sleep(Duration::from_millis(IN_PROGRESS_POLL_MS)).await;
            }
            other => return Err(refuse(other)),
        }
    }
}

async fn dispatch(cx: &Context, intent: OrderIntent, send: SendOrder) -> Result<RecordedResult> {
    match send().await {
        Ok(reply) => record(cx, intent, RecordedResult::from(reply)).await,
        Err(error) if error.is_not_run() => {
            release_in_background(cx, &intent);
            Err(
                Refusal::not_run(RefusalCode::BackendFailed, error.to_string())
                    .with_retry_after_ms(RETRY_AFTER_MS),
            )
        }
        Err(error) => Err(Refusal::unknown(
            RefusalCode::OutcomeUnknown,
            format!("the order was sent and its outcome is not known: {error}"),
        )),
    }
}

/// Commits the outcome. The caller does not get the outcome earlier, since a resend could get a
/// different one.
async fn record(
    cx: &Context,
    intent: OrderIntent,
    result: RecordedResult,
) -> Result<RecordedResult> {
    let command = Command::Order(OrderCommand::Outcome {
        key: intent.key,
        dispatch_id: intent.dispatch_id,
        result: result.clone(),
    });
    match propose(&*cx.replicated_log, command.clone(), OUTCOME_TIMEOUT_MS).await {
        Ok(_) => Ok(result),
        Err(error) => {
            warn!("order: outcome not committed, retrying in the background: {error}");
            propose_in_background(cx, command);
            let message = "the order ran; its outcome is not recorded yet, ask again";
            let refusal = Refusal::not_run(RefusalCode::OutcomeUnknown, message)
                .with_retry_after_ms(RETRY_AFTER_MS);
            Err(Refusal {
                run: RunState::Ran,
                ..refusal
            })
        }
    }
}

/// Releases an order that was not sent, so that a resend may run it.
fn release_in_background(cx: &Context, intent: &OrderIntent) {
    let release = OrderCommand::Release(intent.clone());
    propose_in_background(cx, Command::Order(release));
}

fn propose_in_background(cx: &Context, command: Command) {
    let replicated_log = cx.replicated_log.clone();
    tokio::spawn(async move {
        if let Err(error) = propose(&*replicated_log, command, BACKGROUND_TIMEOUT_MS).await {
            warn!("order: record not committed: {error}");
        }
    });
}

async fn propose(
    replicated_log: &dyn ReplicatedLog,
    command: Command,
    wait_ms: u64,
) -> std::result::Result<OrderReply, ProposalError> {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    match replicated_log.propose(command, deadline).await? {
        Outcome::Order(reply) => Ok(reply),
        _ => Err(ProposalError::Unknown),
    }
}

/// The refusal for an order whose intent was not known to be committed: it was not sent and never
/// will be.
fn not_committed(error: ProposalError) -> Refusal {
    Refusal::not_run(
        RefusalCode::Isolated,
        format!("the order could not be recorded and was not sent: {error}"),
    )
    .with_retry_after_ms(RETRY_AFTER_MS)
}

fn refuse(reply: OrderReply) -> Refusal {
    let unknown = |message: &str| {
        Refusal::unknown(RefusalCode::OutcomeUnknown, message).with_retry_after_ms(RETRY_AFTER_MS)
    };
    match reply {
        OrderReply::InProgress { owner } => {
            unknown(&format!("VM {} is still running the order", owner.vm))
        }
        OrderReply::Unknown => {
            unknown("the VM that ran the order failed; its outcome is not known")
        }
        OrderReply::BodyConflict => Refusal::not_run(
            RefusalCode::IdempotencyConflict,
            "the idempotency key was used with another request",
        )
        .with_field("Idempotency-Key", "(used)"),
        OrderReply::Expired => Refusal::unknown(
            RefusalCode::OutcomeUnknown,
            "the order has expired; it is not run again",
        ),
        OrderReply::Refused(error) => Refusal::not_run(RefusalCode::BadRequest, error.to_string())
            .with_field(error.field, error.value),
        OrderReply::OwnerGone => Refusal::not_run(
            RefusalCode::Draining,
            "the other VMs consider this VM failed; the order was not sent",
        )
        .with_retry_after_ms(RETRY_AFTER_MS),
        OrderReply::Granted
        | OrderReply::Recorded(_)
        | OrderReply::Released
        | OrderReply::Stale => unknown("the order's record changed meanwhile"),
    }
}
