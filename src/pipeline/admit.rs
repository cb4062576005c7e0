//! Admission control: checks the state of the VM, the quarantine and the account's token limit
//! before a request is queued.

use super::classify::ClassifiedRequest;
use super::context::Context;
use crate::control::CutOffPolicy;
use crate::limits;
use crate::limits::Reservation;
use crate::limits::Shortage;
use crate::membership::Fingerprint;
use crate::membership::Verdict;
use crate::types::AccountName;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::Tokens;

/// Result of this stage.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// A request that passed admission control and whose tokens are reserved.
pub struct AdmittedRequest {
    /// The request.
    pub request: ClassifiedRequest,
    /// Tokens reserved for it.
    pub tokens: ReservedTokens,
}

/// Tokens reserved for one request. If dropped without `settle`, they are returned to the account,
/// except after a dispatch, when all of them count as used.
pub struct ReservedTokens {
    limits: limits::Client,
    reservation: Option<Reservation>,
    dispatched: bool,
}

impl ReservedTokens {
    /// Marks the request as dispatched: a backend server may consume the tokens from now on.
    pub fn mark_dispatched(&mut self) {
        self.dispatched = true;
    }

    /// Marks the last dispatch as provably not run.
    pub fn mark_not_run(&mut self) {
        self.dispatched = false;
    }

    /// Charges the consumed tokens to the account and returns the rest.
    pub fn settle(mut self, used_tokens: Tokens) {
        if let Some(reservation) = self.reservation.take() {
            self.limits.settle(reservation, used_tokens);
        }
    }
}

impl Drop for ReservedTokens {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let used = if self.dispatched {
                reservation.tokens()
            } else {
                0
            };
            self.limits.settle(reservation, used);
        }
    }
}

/// Admits `request`, or refuses it immediately as not run.
///
/// # Errors
/// `Draining` or `Isolated` depending on the state of the VM, `Quarantined` after crash reports,
/// `RateLimited` with the time to retry if the account is over its limit.
pub async fn admit(cx: &Context, request: ClassifiedRequest) -> Result<AdmittedRequest> {
    check_health(cx, &request)?;
    check_quarantine(cx, &request)?;
    let account = request.caller.account();
    let requested = request.completion.reserved_tokens();
    let tokens = reserve(&cx.limits, account, requested).await?;
    Ok(AdmittedRequest { request, tokens })
}

/// Reserves `requested` tokens from the limit of `account`.
///
/// # Errors
/// `RateLimited` if the account is over its limit, `TooLarge` if the request exceeds the account's
/// burst.
pub async fn reserve(
    limits: &limits::Client,
    account: &AccountName,
    requested: Tokens,
) -> Result<ReservedTokens> {
    let reservation = limits
        .reserve(account, requested)
        .await
        .map_err(|shortage| refuse(shortage, requested))?;
    Ok(ReservedTokens {
        limits: limits.clone(),
        reservation: Some(reservation),
        dispatched: false,
    })
}

fn check_health(cx: &Context, request: &ClassifiedRequest) -> Result<()> {
    let policy = request.caller.parameters().when_cut_off;
    cx.health.check_open(policy == CutOffPolicy::Serve)
}

/// Refuses a quarantined request.
///
/// # Errors
/// `Quarantined` with the time until the quarantine ends.
pub(super) fn check_quarantine(cx: &Context, request: &ClassifiedRequest) -> Result<()> {
    let verdict = cx.quarantine.verdict(&Fingerprint(request.fingerprint));
    let until = match verdict {
        Verdict::Quarantined { until } => Some(until),
        Verdict::Clear | Verdict::Suspect => cx.quarantine.refused_until(&request.features),
    };
    let Some(until) = until else {
        return Ok(());
    };
    let retry_after_ms = until.since(cx.clock.unix());
    let message = "the request, or requests that share a part of its prompt, was running on backend \
                   servers that crashed and is quarantined";
    Err(Refusal::not_run(RefusalCode::Quarantined, message).with_retry_after_ms(retry_after_ms))
}

fn refuse(shortage: Shortage, requested: Tokens) -> Refusal {
    match shortage {
        Shortage::Later { retry_after_ms } => Refusal::not_run(
            RefusalCode::RateLimited,
            format!("the account is over its rate and burst; the request reserves {requested} tokens"),
        )
        .with_retry_after_ms(retry_after_ms),
        Shortage::TooLarge { largest_tokens } => Refusal::not_run(
            RefusalCode::TooLarge,
            format!(
                "the request reserves {requested} tokens, the account's burst allows {largest_tokens}"
            ),
        )
        .with_field("max_tokens", requested.to_string()),
        Shortage::UnknownAccount => Refusal::not_run(
            RefusalCode::RateLimited,
            "the account's limits are not known on this VM yet",
        )
        .with_retry_after_ms(1_000),
    }
}
