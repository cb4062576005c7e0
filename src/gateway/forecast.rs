//! Decides whether a request waits for an adapter that no engine has yet.
//!
//! The VM in charge of a data centre's engines reports how long a newly requested adapter waits for
//! an adapter slot. A request whose adapter would be loaded too late is refused at once, with the
//! time after which slots become free, so that its caller does not wait in vain.

/// Assumed time to load an adapter from the weight store.
const LOAD_MS: u64 = 250;
/// Assumed time to load an adapter that the engine recently had.
const RELOAD_MS: u64 = 25;
/// Expected wait, in percent of the allowed wait, above which a request is refused. It is more than
/// 100 because the expected wait is that of the last adapter in the queue, and adapters requested
/// by many callers are loaded earlier.
const REFUSE_PERCENT: u64 = 150;
/// Bounds of the retry delay.
const RETRY_MS: (u64, u64) = (200, 3_000);

/// Expected time until an adapter can be used in a data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadEstimate {
    /// Wait for an adapter slot.
    pub slot_wait_ms: u64,
    /// Network delay to the data centre.
    pub delay_ms: u64,
    /// Whether an engine there recently had the adapter.
    pub is_recent: bool,
}

impl LoadEstimate {
    /// Network delay and load time, without the wait for a slot.
    pub fn load_wait_ms(self) -> u64 {
        let load_ms = if self.is_recent { RELOAD_MS } else { LOAD_MS };
        self.delay_ms + load_ms
    }

    /// Time until the adapter can be used there.
    pub fn wait_ms(self) -> u64 {
        self.slot_wait_ms + self.load_wait_ms()
    }
}

/// Retry delay for a request whose adapter is expected in `wait_ms`, or `None` if it may be ready
/// within `allowed_ms` and the request should wait.
pub fn retry_after_ms(wait_ms: u64, allowed_ms: u64) -> Option<u64> {
    let (least_ms, most_ms) = RETRY_MS;
    let is_too_late = wait_ms * 100 > allowed_ms * REFUSE_PERCENT;
    is_too_late.then(|| wait_ms.clamp(least_ms, most_ms))
}
