//! When a process stood still, it reads messages that queued up meanwhile and may be outdated.

/// Time without an observation after which a process stood still. It makes one more often.
pub const PAUSE_MS: u64 = 400;
/// Time in which a process that stood still reads the messages that queued up meanwhile.
pub const QUEUE_DRAIN_MS: u64 = 300;

/// Time from which messages are known not to have queued up, if the process stood still between the observation
/// before and that at `now_ms`.
pub fn fresh_from_ms(observed_ms: u64, now_ms: u64) -> Option<u64> {
    let stood_still = now_ms > observed_ms + PAUSE_MS;
    stood_still.then_some(now_ms + QUEUE_DRAIN_MS)
}
