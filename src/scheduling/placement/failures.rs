//! Back-off after failed loads.

use std::collections::HashMap;

use crate::types::AdapterRef;
use crate::types::MonoMs;
use crate::types::ServerName;

#[derive(Clone, Copy, Debug)]
struct Failed {
    count: u32,
    retry: MonoMs,
}

/// Loads that failed, by engine and by adapter. The first failure keeps the adapter away from that
/// engine only; when two engines have failed, the adapter itself backs off as well.
#[derive(Clone, Debug, Default)]
pub(super) struct Failures {
    pairs: HashMap<(ServerName, AdapterRef), Failed>,
    adapters: HashMap<AdapterRef, Failed>,
}

impl Failures {
    pub(super) fn failed(
        &mut self,
        server: &ServerName,
        adapter: &AdapterRef,
        retry_ms: u64,
        max_retry_ms: u64,
        now: MonoMs,
    ) {
        let pair = self.pairs.entry((server.clone(), adapter.clone()));
        note(pair.or_insert(Failed::NONE), retry_ms, max_retry_ms, now);
        let whole = self.adapters.entry(adapter.clone()).or_insert(Failed::NONE);
        note(whole, retry_ms, max_retry_ms, now);
        if whole.count < 2 {
            whole.retry = now;
        }
    }

    pub(super) fn succeeded(&mut self, server: &ServerName, adapter: &AdapterRef) {
        self.pairs.remove(&(server.clone(), adapter.clone()));
        self.adapters.remove(adapter);
    }

    /// Whether the adapter may be loaded somewhere.
    pub(super) fn may_load(&self, adapter: &AdapterRef, now: MonoMs) -> bool {
        self.adapters
            .get(adapter)
            .is_none_or(|failed| now >= failed.retry)
    }

    /// Whether the adapter may be loaded on this engine.
    pub(super) fn may_load_on(
        &self,
        server: &ServerName,
        adapter: &AdapterRef,
        now: MonoMs,
    ) -> bool {
        let failed = self.pairs.get(&(server.clone(), adapter.clone()));
        failed.is_none_or(|failed| now >= failed.retry)
    }

    /// Forgets failures whose wait ended `keep_ms` ago.
    pub(super) fn prune(&mut self, keep_ms: u64, now: MonoMs) {
        self.pairs
            .retain(|_, failed| now.since(failed.retry) < keep_ms);
        self.adapters
            .retain(|_, failed| now.since(failed.retry) < keep_ms);
    }
}

impl Failed {
    const NONE: Self = Self {
        count: 0,
        retry: MonoMs(0),
    };
}

fn note(failed: &mut Failed, retry_ms: u64, max_retry_ms: u64, now: MonoMs) {
    let doubled = retry_ms.saturating_mul(1 << failed.count.min(16));
    failed.count += 1;
    failed.retry = now.plus(doubled.min(max_retry_ms));
}
