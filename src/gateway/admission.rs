//! Decides whether a request is sent although its server is busy.
//!
//! A server with more requests than batch slots delays all of them. Beyond some wait no answer
//! meets its objective, callers disconnect before the first event, and the work is wasted. Requests
//! that would wait that long are refused at once, with the time after which a slot is likely to be
//! free. Requests of lower priority are refused earlier so that they do not take slots from urgent
//! ones.

/// Share of the latency objective that a request of priority 0 may wait for its server, in percent.
const URGENT_PERCENT: u64 = 100;
/// Reduction of that share for each priority level below the highest.
const RANK_PERCENT: u64 = 20;
/// Lower bound of the share.
const LEAST_PERCENT: u64 = 40;
/// Shortest retry delay.
const MIN_RETRY_MS: u64 = 200;
/// Share of occupied slots from which a server counts as busy, in percent.
const BUSY_PERCENT: f64 = 80.0;

/// Retry delay of a request that is refused, or `None` if it may be sent.
pub fn retry_after_ms(delay_ms: u64, target_ms: u64, priority: u8) -> Option<u64> {
    let reduction = RANK_PERCENT * u64::from(priority);
    let percent = URGENT_PERCENT.saturating_sub(reduction).max(LEAST_PERCENT);
    let allowed_ms = target_ms * percent / 100;
    (delay_ms > allowed_ms).then(|| (delay_ms - allowed_ms).max(MIN_RETRY_MS))
}

/// Whether a server with `occupied` of its `slots` in use is so busy that a slow answer does not
/// indicate a fault. Sending the request to another server would then only double the work.
pub fn is_busy(occupied: f64, slots: u32) -> bool {
    occupied * 100.0 >= f64::from(slots) * BUSY_PERCENT
}
