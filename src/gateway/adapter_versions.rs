//! Announced versions of adapters, and from when on an older one must not answer.

use std::collections::HashMap;

use crate::types::ModelName;
use crate::types::MonoMs;

/// Most versions of an adapter that are kept, the newest ones. A version is kept only until a later one is due.
const MAX_VERSIONS: usize = 64;

/// Versions of each adapter with the times at which this VM heard of them, in order. Each becomes due by
/// itself, whatever is announced after it.
#[derive(Debug, Default)]
pub struct AdapterVersions {
    announced: HashMap<ModelName, Vec<(u64, MonoMs)>>,
}

impl AdapterVersions {
    /// Records that `version` was announced, unless it or a newer one is known. A version is due `grace_ms`
    /// after it was announced.
    pub fn announce(&mut self, model: &ModelName, version: u64, now: MonoMs, grace_ms: u64) {
        let known = self.announced.entry(model.clone()).or_default();
        if known.last().is_some_and(|(newest, _)| *newest >= version) {
            return;
        }
        let due = known.iter().rposition(|(_, at)| now.since(*at) >= grace_ms);
        known.drain(..due.unwrap_or(0));
        if known.len() >= MAX_VERSIONS {
            known.remove(0);
        }
        known.push((version, now));
    }

    /// Oldest version that may answer: the newest one that is due.
    pub fn required(&self, model: &ModelName, now: MonoMs, grace_ms: u64) -> Option<u64> {
        let known = self.announced.get(model)?;
        let mut newest_first = known.iter().rev();
        let due = newest_first.find(|(_, at)| now.since(*at) >= grace_ms);
        due.map(|(version, _)| *version)
    }
}
