//! Whether a request waits for an adapter that no engine has yet.
//!
//! The VM that orders a data centre's engines tells how long an adapter that is asked for now waits for
//! a place. A request whose adapter would come too late is refused at once, with the time after which
//! places come free, instead of after a wait that its caller paid for nothing.

/// Time that an engine takes to load an adapter, as far as an entry VM knows.
const LOAD_MS: u64 = 250;
/// Time that an engine takes to load an adapter that it had a short time ago.
const RELOAD_MS: u64 = 25;
/// Expected wait, as a part of the allowed one, from which a request is refused. The wait is that of the
/// last in the queue, and requests that many others share come earlier.
const REFUSE_PERCENT: u64 = 150;
/// Least and largest time to come back.
const RETRY_MS: (u64, u64) = (200, 3_000);

/// What a data centre needs until an adapter can be used there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadEstimate {
    /// Time until it gets a place.
    pub place_wait_ms: u64,
    /// Delay of a send to the data centre.
    pub delay_ms: u64,
    /// Whether an engine there had it last.
    pub is_recent: bool,
}

impl LoadEstimate {
    /// Time until the adapter can be used there once it has a place.
    pub fn load_wait_ms(self) -> u64 {
        let load_ms = if self.is_recent { RELOAD_MS } else { LOAD_MS };
        self.delay_ms + load_ms
    }

    /// Time until the adapter can be used there.
    pub fn wait_ms(self) -> u64 {
        self.place_wait_ms + self.load_wait_ms()
    }
}

/// Time after which a request is to come back whose adapter is there in about `wait_ms`; `None` if it
/// may be there within `allowed_ms`, so that the request waits.
pub fn retry_after_ms(wait_ms: u64, allowed_ms: u64) -> Option<u64> {
    let (least_ms, most_ms) = RETRY_MS;
    let is_too_late = wait_ms * 100 > allowed_ms * REFUSE_PERCENT;
    is_too_late.then(|| wait_ms.clamp(least_ms, most_ms))
}
