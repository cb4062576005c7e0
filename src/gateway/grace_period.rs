//! Bounds the wait of a request for state that its VM lacks temporarily: the configuration after a
//! start, and the fleet's token buckets while no controller holds them.
//!
//! After a restart of the whole fleet all callers reconnect at once, each with its last retry. The
//! VM has its configuration a fraction of a second later, so refusing these requests would lose
//! nearly all of them.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the caller's timeout that may be spent on waiting, in percent.
const WAIT_PERCENT: u64 = 20;
/// Longest wait. Callers abandon a stream without a first event after about two seconds.
const MAX_WAIT_MS: u64 = 1_200;
/// Assumed timeout of a caller that does not send one.
const DEFAULT_CALLER_WAIT_MS: u64 = 2_000;
/// Shortest and longest delay between two attempts to take tokens.
const RETRY_MS: (u64, u64) = (50, 200);
/// Requests that may wait at once on one VM.
pub(super) const MAX_WAITING: usize = 512;
/// Uptime below which a VM does not serve by a configuration that no controller has confirmed, and time without a
/// leader below which a controller that has just started publishes none. Longer than an election that follows a
/// restart of all controllers.
pub const UNCONFIRMED_MS: u64 = 3_000;
/// Uptime below which a VM may not know all servers yet.
pub(super) const STARTUP_MS: u64 = 4_000;

/// Latest time until which a request that arrived at `started` may wait, for a caller with a
/// timeout of `wait_ms`.
pub fn deadline(started: Instant, wait_ms: Option<u64>) -> Instant {
    let allowed_ms = wait_ms.unwrap_or(DEFAULT_CALLER_WAIT_MS) * WAIT_PERCENT / 100;
    started + Duration::from_millis(allowed_ms.min(MAX_WAIT_MS))
}

/// Time of the next attempt to take tokens that may be available after `retry_after_ms`, or `None`
/// if the request has to be refused instead.
pub fn next_attempt(now: Instant, deadline: Instant, retry_after_ms: u64) -> Option<Instant> {
    let (least_ms, most_ms) = RETRY_MS;
    let next = now + Duration::from_millis(retry_after_ms.clamp(least_ms, most_ms));
    (next <= deadline).then_some(next)
}
