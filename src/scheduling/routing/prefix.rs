//! Index of the prefix blocks cached by engines, maintained from their cache events.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crate::types::ServerName;

/// Maximum number of blocks tracked per engine.
const MAX_BLOCKS: usize = 65_536;
/// Factor applied to the confidence in an engine's blocks for each missed event.
const CONFIDENCE_PER_MISSED_EVENT: f32 = 0.9;

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Consecutive number within the engine's incarnation.
    pub sequence: u64,
    /// Hashes of blocks that were stored.
    pub stored: Vec<u64>,
    /// Hashes of blocks that were dropped.
    pub dropped: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Cache {
    incarnation: u64,
    last: Option<u64>,
    confidence: f32,
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Cache {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            last: None,
            confidence: 1.0,
            blocks: HashSet::new(),
            order: VecDeque::new(),
        }
    }

    fn store(&mut self, block: u64) {
        if !self.blocks.insert(block) {
            return;
        }
        self.order.push_back(block);
        while self.order.len() > MAX_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }
}

/// Prefix blocks of all engines.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    caches: HashMap<ServerName, Cache>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an event. Missed events lower the confidence until [`PrefixIndex::resync`]; repeated
    /// events are ignored. A new incarnation starts with an empty cache.
    pub fn event(&mut self, server: &ServerName, incarnation: u64, event: &CacheEvent) {
        let cache = self.cache(server, incarnation);
        if cache.incarnation != incarnation {
            return;
        }
        let expected = cache.last.map_or(event.sequence, |last| last + 1);
        if event.sequence < expected {
            return;
        }
        let missed = i32::try_from(event.sequence - expected).unwrap_or(i32::MAX);
        cache.confidence *= CONFIDENCE_PER_MISSED_EVENT.powi(missed);
        cache.last = Some(event.sequence);
        for block in &event.dropped {
            cache.blocks.remove(block);
        }
        for block in &event.stored {
            cache.store(*block);
        }
    }

    /// Replaces the blocks of an engine with its complete list as of `sequence`.
    pub fn resync(&mut self, server: &ServerName, incarnation: u64, sequence: u64, blocks: &[u64]) {
        let mut cache = Cache::new(incarnation);
        cache.last = Some(sequence);
        blocks.iter().for_each(|block| cache.store(*block));
        self.caches.insert(server.clone(), cache);
    }

    /// Adds the blocks of a dispatched request, whose cache event arrives later.
    pub fn record_dispatch(&mut self, server: &ServerName, incarnation: u64, prefix: &[u64]) {
        let cache = self.cache(server, incarnation);
        prefix.iter().for_each(|block| cache.store(*block));
    }

    /// Removes an engine.
    pub fn remove(&mut self, server: &ServerName) {
        self.caches.remove(server);
    }

    /// Confidence in the blocks of an engine, from 0 to 1.
    pub fn confidence(&self, server: &ServerName) -> f32 {
        self.caches
            .get(server)
            .map_or(0.0, |cache| cache.confidence)
    }

    /// Expected number of leading blocks of `prefix` that the engine has cached.
    pub fn expected_hits(&self, server: &ServerName, prefix: &[u64]) -> f32 {
        if prefix.is_empty() {
            return 0.0;
        }
        let Some(cache) = self.caches.get(server) else {
            return 0.0;
        };
        // Each hash covers all preceding blocks, so the cached blocks form a leading part.
        let hits = prefix.partition_point(|block| cache.blocks.contains(block));
        hits as f32 * cache.confidence
    }

    fn cache(&mut self, server: &ServerName, incarnation: u64) -> &mut Cache {
        let cache = self
            .caches
            .entry(server.clone())
            .or_insert_with(|| Cache::new(incarnation));
        if cache.incarnation < incarnation {
            *cache = Cache::new(incarnation);
        }
        cache
    }
}
