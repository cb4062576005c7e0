//! Counters of the simulated engine, published at `GET /_counts`.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Counters since the start of the process; crashes do not reset them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Adapter loads that succeeded.
    pub loads: u64,
    /// Adapter loads that failed.
    pub load_failures: u64,
    /// Adapter loads refused because no slot was free.
    pub slot_refusals: u64,
    /// Evictions done.
    pub evictions: u64,
    /// Evictions refused because the adapter was in use.
    pub evict_refusals: u64,
    /// Completion requests received.
    pub requests: u64,
    /// Completion requests that were accepted, by adapter.
    pub requests_by_adapter: IndexMap<String, u64>,
    /// Completion requests refused because the adapter was not resident.
    pub not_resident: u64,
    /// Completion requests refused because the queue was full.
    pub overloaded: u64,
    /// Completion requests received more than 2 s after the engine announced that it was draining.
    pub late_after_leaving: u64,
    /// Completion requests whose id was already in use.
    pub doubled_request_ids: u64,
    /// Requests that produced all their tokens.
    pub finished: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Requests lost in a crash.
    pub lost_in_crash: u64,
    /// Crashes.
    pub crashes: u64,
    /// Commands whose fencing token was below the highest seen.
    pub stale_fence_orders: u64,
    /// Commands with a stale fencing token that were executed because the engine ignores the token.
    pub stale_fence_executed: u64,
    /// Requests of any kind with a caller's API key.
    pub requests_with_key: u64,
    /// Completion requests beyond the limit that answers named, with its tolerance.
    #[serde(default)]
    pub over_limit: u64,
    /// Prompt tokens received.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Output tokens produced.
    pub output_tokens: u64,
    /// Batch positions multiplied by microseconds in which any request ran.
    pub position_us: u64,
    /// Filled batch positions multiplied by microseconds in which any request ran.
    pub filled_us: u64,
    /// As `position_us`, but only for steps that began with requests queued in the engine.
    pub waiting_position_us: u64,
    /// As `filled_us`, but only for steps that began with requests queued in the engine.
    pub waiting_filled_us: u64,
}

impl EngineCounts {
    /// Records one batch step of length `elapsed` with `running` of `positions` filled; `waiting`
    /// tells whether requests were queued when it began.
    pub fn record_step(&mut self, elapsed: Duration, running: u64, positions: u64, waiting: bool) {
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.position_us += positions * us;
        self.filled_us += running * us;
        if waiting {
            self.waiting_position_us += positions * us;
            self.waiting_filled_us += running * us;
        }
    }
}
