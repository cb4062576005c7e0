//! How many loads from the weight store may be under way at once, and how long one takes.
//!
//! Beyond some number of loads at once the store serves each more slowly, so that more of them only
//! delay each other. That number is not told. The limit starts in proportion to the engines, falls
//! while loads take much longer than the shortest time seen, and rises while loads wait and do not.

use crate::types::MonoMs;

/// Loads at once for each engine at the start. More of them than the store serves at full speed bring
/// no adapter sooner, and requests come before theirs.
const INITIAL_LOADS_PER_ENGINE: f64 = 0.5;
/// Smallest and largest change of that number.
const FACTOR_RANGE: (f64, f64) = (0.5, 8.0);
/// Smallest limit.
const MIN_LIMIT: f64 = 2.0;
/// Weight of a measured load in the expected time.
const MEASURED_WEIGHT: f64 = 0.5;
/// Part by which the expected time is longer than a load that was seen under way. A request that
/// comes before the end of the load costs a retry, one that comes a little after it only a wait.
const MARGIN_PART: f64 = 0.08;
/// Least correction downwards after a load that ended in time, as a part of the expected time. An
/// end is seen late, so without it the expected time would stay too long.
const MIN_DECREASE_PART: f64 = 0.002;
/// Expected time, in shortest ones, from which the store counts as crowded.
const CONGESTED_RATIO: f64 = 2.0;
/// Expected time, in shortest ones, up to which the store counts as free.
const UNCONGESTED_RATIO: f64 = 1.3;
/// Largest change of the limit in one step while the store is crowded.
const MIN_DECREASE_FACTOR: f64 = 0.7;
/// Change of the limit while loads wait and the store is free.
const INCREASE_FACTOR: f64 = 1.1;
/// Interval of changes of the limit.
const ADJUST_INTERVAL_MS: u64 = 1_000;
/// Rise of the shortest time at each step, so that it follows a store that has become slower.
const SHORTEST_RISE: f64 = 1.005;
/// Range of the expected time, in milliseconds.
const LOAD_MS_RANGE: (f64, f64) = (20.0, 4_000.0);

/// LoadLimiter of loads from the store.
#[derive(Clone, Debug)]
pub(super) struct LoadLimiter {
    factor: f64,
    load_ms: f64,
    shortest_ms: f64,
    adjusted: MonoMs,
}

impl LoadLimiter {
    /// Begins with the expected time `load_ms`.
    pub(super) fn new(load_ms: u64) -> Self {
        Self {
            factor: 1.0,
            load_ms: load_ms as f64,
            shortest_ms: load_ms as f64,
            adjusted: MonoMs(0),
        }
    }

    /// Loads that may be under way at once on `engines` engines.
    pub(super) fn limit(&self, engines: usize) -> usize {
        let limit = engines as f64 * INITIAL_LOADS_PER_ENGINE * self.factor;
        limit.max(MIN_LIMIT).round() as usize
    }

    /// Expected time of a load.
    pub(super) fn load_ms(&self) -> u64 {
        self.load_ms as u64
    }

    /// A load took at least `ms`: it was seen under way that long after its order.
    pub(super) fn observe_min(&mut self, ms: u64) {
        let target_ms = ms as f64 * (1.0 + MARGIN_PART);
        if target_ms > self.load_ms {
            self.set(self.load_ms + MEASURED_WEIGHT * (target_ms - self.load_ms));
        }
    }

    /// A load took at most `ms`: it was seen to have ended that long after its order.
    pub(super) fn observe_max(&mut self, ms: u64) {
        let excess_ms = MEASURED_WEIGHT * (ms as f64 - self.load_ms);
        self.set(self.load_ms + excess_ms.min(-MIN_DECREASE_PART * self.load_ms));
        self.shortest_ms = self.shortest_ms.min(self.load_ms);
    }

    fn set(&mut self, load_ms: f64) {
        let (least, most) = LOAD_MS_RANGE;
        self.load_ms = load_ms.clamp(least, most);
    }

    /// Adapts the limit; `has_pending_loads` tells whether loads wait for it.
    pub(super) fn adjust(&mut self, has_pending_loads: bool, now: MonoMs) {
        if now.since(self.adjusted) < ADJUST_INTERVAL_MS {
            return;
        }
        self.adjusted = now;
        self.shortest_ms *= SHORTEST_RISE;
        let (least, most) = FACTOR_RANGE;
        if self.load_ms > self.shortest_ms * CONGESTED_RATIO {
            let excess = self.load_ms / (self.shortest_ms * UNCONGESTED_RATIO);
            self.factor = (self.factor * MIN_DECREASE_FACTOR.max(1.0 / excess)).max(least);
        } else if has_pending_loads && self.load_ms < self.shortest_ms * UNCONGESTED_RATIO {
            self.factor = (self.factor * INCREASE_FACTOR).min(most);
        }
    }
}
