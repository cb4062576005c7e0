//! Estimates how long an adapter waits for a slot while all slots are in use.

use super::planner::Planner;
use crate::types::MonoMs;

/// Weight of one interval in the moving average.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Upper bound of an interval between two loads, in milliseconds.
const MAX_INTERVAL_MS: u64 = 2_000;

/// Moving average of the interval between loads of waiting adapters.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotWaitEstimate {
    interval_ms: f64,
    /// When an adapter was last loaded, or none waited.
    since: MonoMs,
}

impl SlotWaitEstimate {
    /// Records that no adapter waits.
    pub(super) fn note_no_demand(&mut self, now: MonoMs) {
        self.since = now;
    }

    /// Records that a waiting adapter is loaded.
    pub(super) fn note_load(&mut self, now: MonoMs) {
        let interval_ms = now.since(self.since).min(MAX_INTERVAL_MS) as f64;
        self.interval_ms += AVERAGE_WEIGHT * (interval_ms - self.interval_ms);
        self.since = now;
    }

    /// Expected time until `waiting` adapters are loaded, in milliseconds.
    pub(super) fn wait_ms(&self, waiting: usize, now: MonoMs) -> u64 {
        let stalled_ms = now.since(self.since).min(MAX_INTERVAL_MS) as f64;
        (self.interval_ms.max(stalled_ms) * waiting as f64) as u64
    }
}

impl Planner {
    /// Expected time until an adapter that is requested now gets a slot after those already
    /// waiting, in milliseconds.
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
