//! How many loads from the weight store may be under way at once, and how long one takes.
//!
//! Beyond some number of loads at once the store serves each more slowly, so that more of them only
//! delay each other. That number is not told. It is found by watching whether loads end when they
//! are expected to: the expected time follows what is seen, and the limit falls while the expected
//! time is well above the shortest one seen.

use crate::types::MonoMs;

/// Loads at once at the start.
const FIRST_LIMIT: f64 = 3.0;
/// Change of the expected time after a load that was late.
const LATE_FACTOR: f64 = 1.12;
/// Change of the expected time after a load that ended in time.
const IN_TIME_FACTOR: f64 = 0.985;
/// Expected time above the shortest one from which the store counts as crowded.
const CROWDED_FACTOR: f64 = 1.35;
/// Change of the limit while the store is crowded.
const CROWDED_LIMIT_FACTOR: f64 = 0.85;
/// Change of the limit while loads wait and the store is not crowded.
const LIMIT_STEP: f64 = 0.25;
/// Interval of changes of the limit.
const STEP_MS: u64 = 400;
/// Rise of the shortest time at each step, so that it follows a store that has become slower.
const FLOOR_RISE: f64 = 1.002;
/// Shortest expected time.
const MIN_LOAD_MS: f64 = 20.0;
/// Longest expected time.
const MAX_LOAD_MS: f64 = 4_000.0;

/// Pace of loads from the store.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    limit: f64,
    load_ms: f64,
    floor_ms: f64,
    stepped: MonoMs,
}

impl Pace {
    /// Begins with the expected time `load_ms`.
    pub(super) fn new(load_ms: u64) -> Self {
        Self {
            limit: FIRST_LIMIT,
            load_ms: load_ms as f64,
            floor_ms: load_ms as f64,
            stepped: MonoMs(0),
        }
    }

    /// Loads that may be under way at once.
    pub(super) fn limit(&self) -> usize {
        self.limit.max(1.0) as usize
    }

    /// Expected time of a load.
    pub(super) fn load_ms(&self) -> u64 {
        self.load_ms as u64
    }

    /// A load had not ended when it was expected to.
    pub(super) fn late(&mut self) {
        self.load_ms = (self.load_ms * LATE_FACTOR).min(MAX_LOAD_MS);
    }

    /// A load had ended when it was expected to.
    pub(super) fn in_time(&mut self) {
        self.load_ms = (self.load_ms * IN_TIME_FACTOR).max(MIN_LOAD_MS);
        self.floor_ms = self.floor_ms.min(self.load_ms);
    }

    /// Adapts the limit; `is_waited_for` tells whether loads wait for it.
    pub(super) fn step(&mut self, is_waited_for: bool, now: MonoMs) {
        if now.since(self.stepped) < STEP_MS {
            return;
        }
        self.stepped = now;
        self.floor_ms *= FLOOR_RISE;
        if self.load_ms > self.floor_ms * CROWDED_FACTOR {
            self.limit = (self.limit * CROWDED_LIMIT_FACTOR).max(1.0);
        } else if is_waited_for {
            self.limit += LIMIT_STEP;
        }
    }
}
