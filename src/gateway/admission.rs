//! Decides whether a request is sent although the server it would go to is busy.
//!
//! A server that has more work than places makes all of it wait: beyond some wait no answer is in
//! time, callers leave before the first event, and the work is done in vain. Requests that would wait
//! so long are refused at once, with the time after which a place is likely to be free. Less urgent
//! ones are refused earlier, so that they do not take the places of urgent ones.

/// Part of the objective that an urgent request may wait for its server, in percent.
const URGENT_PERCENT: u64 = 100;
/// Reduction of that part for each rank below the most urgent one.
const RANK_PERCENT: u64 = 20;
/// Least part.
const LEAST_PERCENT: u64 = 40;
/// Least time to come back.
const MIN_RETRY_MS: u64 = 200;
/// Part of a server's places from which its answers are not hurried, in percent.
const BUSY_PERCENT: f64 = 80.0;

/// Time after which a request that is refused should come back; `None` if it is sent.
pub fn retry_after_ms(delay_ms: u64, target_ms: u64, priority: u8) -> Option<u64> {
    let reduction = RANK_PERCENT * u64::from(priority);
    let percent = URGENT_PERCENT.saturating_sub(reduction).max(LEAST_PERCENT);
    let allowed_ms = target_ms * percent / 100;
    (delay_ms > allowed_ms).then(|| (delay_ms - allowed_ms).max(MIN_RETRY_MS))
}

/// Whether a server with `occupied` of its `slots` taken is so busy that a slow answer is no sign of
/// a fault. Sending the request to another server would then only double the work.
pub fn is_busy(occupied: f64, slots: u32) -> bool {
    occupied * 100.0 >= f64::from(slots) * BUSY_PERCENT
}
