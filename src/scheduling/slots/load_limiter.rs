//! Limits concurrent loads from the weight store and estimates how long a load takes.
//!
//! Above some concurrency the store serves each load more slowly, so that further loads only delay
//! each other. The store does not publish that number. The limit starts in proportion to the number
//! of engines, falls while loads take much longer than the shortest estimate, and rises while loads
//! are pending and do not.

use crate::types::MonoMs;

/// Initial number of concurrent loads per engine. More loads than the store serves at full speed
/// make no adapter available sooner, and requests arrive before their adapter is loaded.
const INITIAL_LOADS_PER_ENGINE: f64 = 0.5;
/// Range of the factor applied to the initial limit.
const FACTOR_RANGE: (f64, f64) = (0.5, 8.0);
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 2.0;
/// Weight of one measurement in the expected load time.
const MEASURED_WEIGHT: f64 = 0.5;
/// Margin added to the age of a load that is still in progress, as a fraction. A request that
/// arrives before the end of the load costs a retry; one that arrives shortly after it only waits.
const MARGIN_PART: f64 = 0.08;
/// Minimum decrease after a load that ended in time, as a fraction of the expected time. The end of
/// a load is observed late, so the expected time would otherwise stay too long.
const MIN_DECREASE_PART: f64 = 0.002;
/// Ratio of expected to shortest load time above which the store counts as congested.
const CONGESTED_RATIO: f64 = 2.0;
/// Ratio of expected to shortest load time below which the store counts as uncongested.
const UNCONGESTED_RATIO: f64 = 1.3;
/// Lower bound of the factor applied to the limit in one step while the store is congested.
const MIN_DECREASE_FACTOR: f64 = 0.7;
/// Factor applied to the limit in one step while loads are pending and the store is uncongested.
const INCREASE_FACTOR: f64 = 1.1;
/// Interval between adjustments of the limit.
const ADJUST_INTERVAL_MS: u64 = 1_000;
/// Growth of the shortest load time per step, so that it follows a store that has become slower.
const SHORTEST_RISE: f64 = 1.005;
/// Range of the expected load time, in milliseconds.
const LOAD_MS_RANGE: (f64, f64) = (20.0, 4_000.0);

/// Adaptive concurrency limit for loads from the weight store.
#[derive(Clone, Debug)]
pub(super) struct LoadLimiter {
    factor: f64,
    load_ms: f64,
    shortest_ms: f64,
    adjusted: MonoMs,
}

impl LoadLimiter {
    /// Creates a limiter with an initial expected load time of `load_ms`.
    pub(super) fn new(load_ms: u64) -> Self {
        Self {
            factor: 1.0,
            load_ms: load_ms as f64,
            shortest_ms: load_ms as f64,
            adjusted: MonoMs(0),
        }
    }

    /// Number of loads that may be in progress at once on `engines` engines.
    pub(super) fn limit(&self, engines: usize) -> usize {
        let limit = engines as f64 * INITIAL_LOADS_PER_ENGINE * self.factor;
        limit.max(MIN_LIMIT).round() as usize
    }

    /// Expected load time, in milliseconds.
    pub(super) fn load_ms(&self) -> u64 {
        self.load_ms as u64
    }

    /// Records that a load was still in progress `ms` after its order.
    pub(super) fn observe_min(&mut self, ms: u64) {
        let target_ms = ms as f64 * (1.0 + MARGIN_PART);
        if target_ms > self.load_ms {
            self.set(self.load_ms + MEASURED_WEIGHT * (target_ms - self.load_ms));
        }
    }

    /// Records that a load had ended `ms` after its order.
    pub(super) fn observe_max(&mut self, ms: u64) {
        let excess_ms = MEASURED_WEIGHT * (ms as f64 - self.load_ms);
        self.set(self.load_ms + excess_ms.min(-MIN_DECREASE_PART * self.load_ms));
        self.shortest_ms = self.shortest_ms.min(self.load_ms);
    }

    fn set(&mut self, load_ms: f64) {
        let (min, max) = LOAD_MS_RANGE;
        self.load_ms = load_ms.clamp(min, max);
    }

    /// Adjusts the limit. It only rises if `has_pending_loads`.
    pub(super) fn adjust(&mut self, has_pending_loads: bool, now: MonoMs) {
        if now.since(self.adjusted) < ADJUST_INTERVAL_MS {
            return;
        }
        self.adjusted = now;
        self.shortest_ms *= SHORTEST_RISE;
        let (min, max) = FACTOR_RANGE;
        if self.load_ms > self.shortest_ms * CONGESTED_RATIO {
            let excess = self.load_ms / (self.shortest_ms * UNCONGESTED_RATIO);
            self.factor = (self.factor * MIN_DECREASE_FACTOR.max(1.0 / excess)).max(min);
        } else if has_pending_loads && self.load_ms < self.shortest_ms * UNCONGESTED_RATIO {
            self.factor = (self.factor * INCREASE_FACTOR).min(max);
        }
    }
}
