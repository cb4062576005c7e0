//! How often each adapter is asked for at this VM.

use std::collections::HashMap;

use crate::types::ModelName;
use crate::types::MonoMs;

/// Time constant of the average, in milliseconds.
const AVERAGE_MS: f64 = 10_000.0;
/// Adapters that are counted before the least asked-for ones are dropped.
const MAX_ADAPTERS: usize = 8_192;
/// Count below which an adapter is dropped.
const MIN_COUNT: f64 = 0.2;

/// Requests in recent time, at all entry VMs of a data centre, from which an adapter is worth a place
/// there. Their bytes between regions cost more than the load of a copy.
const LOCAL_COPY_REQUESTS: f64 = 24.0;
/// Least requests at one VM that show that an adapter is asked for again.
const MIN_REQUESTS: f64 = 1.5;

/// The part of these requests that one of `entry_vms` in `data_centres` sees.
pub fn local_copy_threshold(entry_vms: u32, data_centres: usize) -> f64 {
    let vms_in_each = f64::from(entry_vms) / data_centres.max(1) as f64;
    (LOCAL_COPY_REQUESTS / vms_in_each.max(1.0)).max(MIN_REQUESTS)
}

/// Recent requests by adapter, older ones counting less.
#[derive(Debug, Default)]
pub struct Demand {
    counts: HashMap<ModelName, (f64, MonoMs)>,
}

impl Demand {
    /// Counts a request; returns the requests of recent time, this one included.
    pub fn count(&mut self, model: &ModelName, now: MonoMs) -> f64 {
        if self.counts.len() >= MAX_ADAPTERS {
            self.counts
                .retain(|_, count| decayed(*count, now) >= MIN_COUNT);
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
