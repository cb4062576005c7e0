//! Request rate of each adapter on this VM.

use std::collections::HashMap;

use crate::types::ModelName;
use crate::types::MonoMs;

/// Time constant of the average, in milliseconds.
const AVERAGE_MS: f64 = 10_000.0;
/// Number of adapters from which those with low counts are dropped.
const MAX_ADAPTERS: usize = 8_192;
/// Count below which an adapter is dropped.
const MIN_COUNT: f64 = 0.2;

/// Recent requests, over all entry VMs of a data centre, from which an adapter is loaded there:
/// transferring their data between regions costs more than loading a copy.
const LOCAL_COPY_REQUESTS: f64 = 24.0;
/// Minimum number of requests on one VM that shows repeated use of an adapter.
const MIN_REQUESTS: f64 = 1.5;

/// Threshold for a local copy as seen by one of `entry_vms` VMs in `data_centres` data centres.
pub fn local_copy_threshold(entry_vms: u32, data_centres: usize) -> f64 {
    let vms_in_each = f64::from(entry_vms) / data_centres.max(1) as f64;
    (LOCAL_COPY_REQUESTS / vms_in_each.max(1.0)).max(MIN_REQUESTS)
}

/// Exponentially decaying request counts by adapter.
#[derive(Debug, Default)]
pub struct Demand {
    counts: HashMap<ModelName, (f64, MonoMs)>,
}

impl Demand {
    /// Counts a request and returns the decayed count, including this request.
    pub fn count(&mut self, model: &ModelName, now: MonoMs) -> f64 {
        if self.counts.len() >= MAX_ADAPTERS {
            self.counts
                .retain(|_, count| decayed(*count, now) >= MIN_COUNT);
        }
        let count = self.counts.entry(model.clone()).or_insert((0.0, now));
        *count = (decayed(*count, now) + 1.0, now);
        count.0
    }

    /// Decayed count of recent requests.
    pub fn recent(&self, model: &ModelName, now: MonoMs) -> f64 {
        let count = self.counts.get(model).copied();
        count.map_or(0.0, |count| decayed(count, now))
    }
}

fn decayed((count, at): (f64, MonoMs), now: MonoMs) -> f64 {
    count * (-(now.since(at) as f64) / AVERAGE_MS).exp()
}
