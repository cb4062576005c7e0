//! How long a request may wait for what its VM lacks only for a moment: the configuration after a
//! start, and the fleet's token buckets while no controller keeps them.
//!
//! After a restart of the whole fleet all callers come back at once, each with its last retry. The VM
//! has the configuration a fraction of a second later, so refusing them would lose nearly all of them.

use std::time::Duration;

use tokio::time::Instant;

/// Part of the caller's time that may be spent on waiting, in percent.
const WAIT_PERCENT: u64 = 20;
/// Longest wait. Callers leave a stream without its first event after about two seconds.
const MAX_WAIT_MS: u64 = 1_200;
/// Time for which a caller that does not tell it is expected to wait.
const DEFAULT_CALLER_WAIT_MS: u64 = 2_000;
/// Shortest and longest time between two tries to take tokens.
const RETRY_MS: (u64, u64) = (50, 200);
/// Requests of one VM that may wait at once.
pub(super) const MAX_WAITING: usize = 512;
/// Uptime up to which a VM may not have heard of all servers yet.
pub(super) const STARTUP_MS: u64 = 4_000;

/// Until when a request that came in at `started` may wait, for a caller that waits `wait_ms`.
pub fn deadline(started: Instant, wait_ms: Option<u64>) -> Instant {
    let allowed_ms = wait_ms.unwrap_or(DEFAULT_CALLER_WAIT_MS) * WAIT_PERCENT / 100;
    started + Duration::from_millis(allowed_ms.min(MAX_WAIT_MS))
}

/// When to try again to take tokens that may be there after `retry_after_ms`; `None` if the request
/// has to be refused instead.
pub fn next_try(now: Instant, deadline: Instant, retry_after_ms: u64) -> Option<Instant> {
    let (least_ms, most_ms) = RETRY_MS;
    let next = now + Duration::from_millis(retry_after_ms.clamp(least_ms, most_ms));
    (next <= deadline).then_some(next)
}
