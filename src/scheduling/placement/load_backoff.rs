//! Back-off after failed loads.

use std::collections::HashMap;

use crate::types::AdapterRef;
use crate::types::MonoMs;
use crate::types::ServerName;

#[derive(Clone, Copy, Debug)]
struct Backoff {
    count: u32,
    retry_at: MonoMs,
}

/// Back-off state by pair of engine and adapter, and by adapter. The first failure delays loads of
/// the adapter on that engine only; from the second on, loads on all engines are delayed.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadBackoff {
    pairs: HashMap<(ServerName, AdapterRef), Backoff>,
    adapters: HashMap<AdapterRef, Backoff>,
}

impl LoadBackoff {
    pub(super) fn record_failure(
        &mut self,
        server: &ServerName,
        adapter: &AdapterRef,
        retry_ms: u64,
        max_retry_ms: u64,
        now: MonoMs,
    ) {
        let pair = self.pairs.entry((server.clone(), adapter.clone()));
        extend_backoff(pair.or_insert(Backoff::NONE), retry_ms, max_retry_ms, now);
        let adapter_backoff = self
            .adapters
            .entry(adapter.clone())
            .or_insert(Backoff::NONE);
        extend_backoff(adapter_backoff, retry_ms, max_retry_ms, now);
        if adapter_backoff.count < 2 {
            adapter_backoff.retry_at = now;
        }
    }

    pub(super) fn record_success(&mut self, server: &ServerName, adapter: &AdapterRef) {
        self.pairs.remove(&(server.clone(), adapter.clone()));
        self.adapters.remove(adapter);
    }

    /// Whether the adapter may be loaded at all.
    pub(super) fn may_load(&self, adapter: &AdapterRef, now: MonoMs) -> bool {
        self.adapters
            .get(adapter)
            .is_none_or(|failed| now >= failed.retry_at)
    }

    /// Whether the adapter may be loaded on this engine.
    pub(super) fn may_load_on(
        &self,
        server: &ServerName,
        adapter: &AdapterRef,
        now: MonoMs,
    ) -> bool {
        let failed = self.pairs.get(&(server.clone(), adapter.clone()));
        failed.is_none_or(|failed| now >= failed.retry_at)
    }

    /// Removes entries whose back-off ended at least `keep_ms` ago.
    pub(super) fn prune(&mut self, keep_ms: u64, now: MonoMs) {
        self.pairs
            .retain(|_, failed| now.since(failed.retry_at) < keep_ms);
        self.adapters
            .retain(|_, failed| now.since(failed.retry_at) < keep_ms);
    }
}

impl Backoff {
    const NONE: Self = Self {
        count: 0,
        retry_at: MonoMs(0),
    };
}

fn extend_backoff(failed: &mut Backoff, retry_ms: u64, max_retry_ms: u64, now: MonoMs) {
    let doubled = retry_ms.saturating_mul(1 << failed.count.min(16));
    failed.count += 1;
    failed.retry_at = now.plus(doubled.min(max_retry_ms));
}
