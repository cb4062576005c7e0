//! Share of the weight store's limits assigned to a data centre.

use crate::types::AdapterRef;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Share of the limits assigned to a data centre. All shares add up to the limits of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreShare {
    /// Loads per second.
    pub loads_per_s: f64,
    /// Maximum burst of loads after idle time. Must be at least 1, otherwise no load can start.
    pub burst_loads: f64,
    /// Maximum number of loads in flight.
    pub in_flight: u32,
}

/// Rate limit (token bucket) and concurrency limit for loads.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    share: StoreShare,
    loads: f64,
    refilled_at: MonoMs,
    /// Loads in flight. May list the same load twice after a restart of the engine.
    running: Vec<(MonoMs, ServerName, AdapterRef)>,
}

impl StoreBudget {
    /// Creates a budget with an empty bucket, because the previous coordinator may have used the
    /// share up to `now`.
    pub fn new(share: StoreShare, now: MonoMs) -> Self {
        Self {
            share,
            loads: 0.0,
            refilled_at: now,
            running: Vec::new(),
        }
    }

    /// Changes the share. Accumulated loads are capped at the new burst.
    pub fn set_share(&mut self, share: StoreShare, now: MonoMs) {
        self.refill(now);
        self.share = share;
        self.loads = self.loads.min(share.burst_loads);
    }

    /// Loads that may start at `now` while `reserved` loads stay in the bucket.
    pub fn available(&mut self, reserved: f64, now: MonoMs) -> u32 {
        self.refill(now);
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let free = self.share.in_flight.saturating_sub(running);
        // The bucket never holds more than its burst, so a larger reserve would block all loads.
        let reserved = reserved.min(self.share.burst_loads - 1.0).max(0.0);
        free.min((self.loads - reserved).max(0.0) as u32)
    }

    /// Records the start of a load. Returns false if the limits do not allow it.
    pub fn start(&mut self, server: &ServerName, adapter: &AdapterRef, now: MonoMs) -> bool {
        if self.available(0.0, now) == 0 {
            return false;
        }
        self.loads -= 1.0;
        self.running.push((now, server.clone(), adapter.clone()));
        true
    }

    /// Records the end of the oldest load of `adapter` on `server`.
    pub fn end(&mut self, server: &ServerName, adapter: &AdapterRef) {
        let mut running = self.running.iter();
        let at = running.position(|(_, on, of)| (on, of) == (server, adapter));
        if let Some(at) = at {
            self.running.remove(at);
        }
    }

    /// Loads in flight for at least `timeout_ms`.
    pub fn overdue(&self, timeout_ms: u64, now: MonoMs) -> Vec<(ServerName, AdapterRef)> {
        let running = self.running.iter();
        let overdue = running.filter(|(started, _, _)| now.since(*started) >= timeout_ms);
        overdue
            .map(|(_, server, adapter)| (server.clone(), adapter.clone()))
            .collect()
    }

    /// Number of loads in flight.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    fn refill(&mut self, now: MonoMs) {
        let elapsed_s = now.since(self.refilled_at) as f64 / 1_000.0;
        self.loads = (self.loads + elapsed_s * self.share.loads_per_s).min(self.share.burst_loads);
        self.refilled_at = self.refilled_at.max(now);
    }
}
