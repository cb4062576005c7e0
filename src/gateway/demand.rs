//! How often each adapter is asked for at this VM.

use std::collections::HashMap;

use crate::types::ModelName;
use crate::types::MonoMs;

/// Time constant of the average, in milliseconds.
const AVERAGE_MS: f64 = 10_000.0;
/// Adapters that are counted before the least asked-for ones are dropped.
const MAX_COUNTED: usize = 8_192;
/// Count below which an adapter is dropped.
const FORGET_BELOW: f64 = 0.2;

/// Recent requests by adapter, older ones counting less.
#[derive(Debug, Default)]
pub struct Demand {
    counts: HashMap<ModelName, (f64, MonoMs)>,
}

impl Demand {
    /// Counts a request; returns the requests of recent time, this one included.
    pub fn count(&mut self, model: &ModelName, now: MonoMs) -> f64 {
        if self.counts.len() >= MAX_COUNTED {
            self.counts
                .retain(|_, count| decayed(*count, now) >= FORGET_BELOW);
        }
        let count = self.counts.entry(model.clone()).or_insert((0.0, now));
        *count = (decayed(*count, now) + 1.0, now);
        count.0
    }

    /// Requests of recent time.
    pub fn recent(&self, model: &ModelName, now: MonoMs) -> f64 {
        let count = self.counts.get(model).copied();
        count.map_or(0.0, |count| decayed(count, now))
    }
}

fn decayed((count, at): (f64, MonoMs), now: MonoMs) -> f64 {
    count * (-(now.since(at) as f64) / AVERAGE_MS).exp()
}
