//! How long an adapter waits for a place while all places are in use.

use super::planner::Planner;
use crate::types::MonoMs;

/// Weight of one interval in the average.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Longest interval between two loads that is counted.
const MAX_INTERVAL_MS: u64 = 2_000;

/// Interval between the loads that waiting adapters get.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotWaitEstimate {
    interval_ms: f64,
    /// When the last adapter got a place, or none waited.
    since: MonoMs,
}

impl SlotWaitEstimate {
    /// Notes that no adapter waits.
    pub(super) fn note_no_demand(&mut self, now: MonoMs) {
        self.since = now;
    }

    /// Notes that a waiting adapter got a place.
    pub(super) fn note_load(&mut self, now: MonoMs) {
        let interval_ms = now.since(self.since).min(MAX_INTERVAL_MS) as f64;
        self.interval_ms += AVERAGE_WEIGHT * (interval_ms - self.interval_ms);
        self.since = now;
    }

    /// Time until `waiting` adapters have got a place.
    pub(super) fn wait_ms(&self, waiting: usize, now: MonoMs) -> u64 {
        let stalled_ms = now.since(self.since).min(MAX_INTERVAL_MS) as f64;
        (self.interval_ms.max(stalled_ms) * waiting as f64) as u64
    }
}

impl Planner {
    /// Time until an adapter that is asked for now gets a place, if those that wait come first.
    pub fn slot_wait_ms(&self, now: MonoMs) -> u32 {
        let waiting = self
            .pending_loads
            .values()
            .filter(|pending| !pending.is_copy())
            .count();
        let wait_ms = self.slot_wait.wait_ms(waiting, now);
        u32::try_from(wait_ms).unwrap_or(u32::MAX)
    }
}
