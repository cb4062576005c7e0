//! Prefix cache of the simulated engine and the events that it publishes.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use rand::Rng;
use rand::RngExt;
use serde::Serialize;

use super::answer::BLOCK_TOKENS;

/// Number of events retained for readers.
const KEPT_EVENTS: usize = 4_096;

/// Change of one block.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted.
    Removed,
}

/// One published cache event.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    /// Increases by one per event; a missing number is a lost event.
    pub sequence: u64,
    /// Kind of the event.
    pub kind: CacheEventKind,
    /// Key of the block.
    pub block: String,
    #[serde(skip)]
    at: Instant,
}

/// LRU cache of prefix blocks.
#[derive(Debug)]
pub struct PrefixCache {
    /// Least recently used first.
    blocks: IndexSet<String>,
    capacity: usize,
    events: VecDeque<CacheEvent>,
    sequence: u64,
    gap_ratio: f64,
}

impl PrefixCache {
    /// An empty cache of `capacity_tokens` that drops the fraction `gap_ratio` of its events.
    pub fn new(capacity_tokens: u64, gap_ratio: f64) -> Self {
        let tokens = usize::try_from(capacity_tokens).unwrap_or(usize::MAX);
        Self {
            blocks: IndexSet::new(),
            capacity: tokens / BLOCK_TOKENS,
            events: VecDeque::new(),
            sequence: 0,
            gap_ratio,
        }
    }

    /// Tokens of the longest cached prefix among `keys`, which are ordered by length.
    pub fn cached_tokens(&self, keys: &[String]) -> u64 {
        let blocks = keys.iter().rposition(|key| self.blocks.contains(key));
        let tokens = blocks.map_or(0, |index| (index + 1) * BLOCK_TOKENS);
        u64::try_from(tokens).unwrap_or(u64::MAX)
    }

    /// Whether the block `key` is cached.
    pub fn contains(&self, key: &str) -> bool {
        self.blocks.contains(key)
    }

    /// Adds `keys` to the cache and evicts the least recently used blocks above the capacity.
    pub fn store(&mut self, keys: &[String], now: Instant, rng: &mut impl Rng) {
        for key in keys {
            let known = self.blocks.shift_remove(key);
            self.blocks.insert(key.clone());
            if !known {
                self.publish(CacheEventKind::Stored, key.clone(), now, rng);
            }
        }
        while self.blocks.len() > self.capacity {
            if let Some(key) = self.blocks.shift_remove_index(0) {
                self.publish(CacheEventKind::Removed, key, now, rng);
            }
        }
    }

    /// The events with sequence numbers above `after` that are at least `lag` old.
    pub fn events_after(&self, after: u64, now: Instant, lag: Duration) -> Vec<CacheEvent> {
        let visible = |event: &&CacheEvent| now.saturating_duration_since(event.at) >= lag;
        let newer = self.events.iter().filter(|event| event.sequence > after);
        newer.take_while(visible).cloned().collect()
    }

    fn publish(&mut self, kind: CacheEventKind, block: String, at: Instant, rng: &mut impl Rng) {
        self.sequence += 1;
        if rng.random_bool(self.gap_ratio) {
            return;
        }
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            kind,
            block,
            at,
        });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
