//! Exponentially decayed token counts per adapter.
//!
//! Each VM counts the tokens that it admits and sends a bounded summary to every coordinator. A
//! coordinator keeps the newest summary of each VM, so a repeated or lost summary does not change
//! the sum.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Tokens;
use crate::types::VmName;

/// Configuration of the popularity counters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PopularityConfig {
    /// Half-life of the short counter, which tracks a conversation in progress, in milliseconds.
    pub short_half_life_ms: u64,
    /// Half-life of the long counter, which tracks use over a working day, in milliseconds.
    pub long_half_life_ms: u64,
    /// Weight of the short counter when every use is followed by another one soon.
    pub short_weight: f32,
    /// Time within which a second use of an adapter counts as a reuse, in milliseconds.
    pub reuse_window_ms: u64,
    /// Maximum number of adapters in one summary.
    pub summary_adapters: usize,
    /// Maximum number of adapters that one VM counts. The less popular half is dropped above it.
    pub max_adapters: usize,
}

impl Default for PopularityConfig {
    fn default() -> Self {
        Self {
            short_half_life_ms: 15_000,
            long_half_life_ms: 600_000,
            short_weight: 2.0,
            reuse_window_ms: 30_000,
            summary_adapters: 128,
            max_adapters: 32_768,
        }
    }
}

/// Exponentially decayed token counts of one adapter.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DecayedTokens {
    /// Tokens, decayed with the short half-life.
    pub short_tokens: f32,
    /// Tokens, decayed with the long half-life.
    pub long_tokens: f32,
}

impl DecayedTokens {
    fn after(self, elapsed_ms: u64, config: &PopularityConfig) -> Self {
        Self {
            short_tokens: self.short_tokens * decay(elapsed_ms, config.short_half_life_ms),
            long_tokens: self.long_tokens * decay(elapsed_ms, config.long_half_life_ms),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            short_tokens: self.short_tokens + other.short_tokens,
            long_tokens: self.long_tokens + other.long_tokens,
        }
    }

    /// Expected tokens per second in the near future. `burst` is the fraction of uses that are
    /// followed by another use soon, beyond what the long counter predicts.
    pub fn score(self, burst: f32, config: &PopularityConfig) -> f32 {
        let short = per_second(self.short_tokens, config.short_half_life_ms);
        let long = per_second(self.long_tokens, config.long_half_life_ms);
        long + burst * config.short_weight * short
    }
}

/// Constant rate, in tokens per second, whose decayed count is `tokens`.
fn per_second(tokens: f32, half_life_ms: u64) -> f32 {
    tokens * std::f32::consts::LN_2 * 1_000.0 / half_life_ms.max(1) as f32
}

fn decay(elapsed_ms: u64, half_life_ms: u64) -> f32 {
    let half_lives = elapsed_ms as f64 / half_life_ms.max(1) as f64;
    (-half_lives).exp2() as f32
}

/// The most popular adapters of one VM and the total of all its adapters.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PopularitySummary {
    /// Decayed tokens of all adapters.
    pub total: DecayedTokens,
    /// Fraction of uses that are followed by another use soon, beyond what the long counters
    /// predict.
    pub burst: f32,
    /// The most popular adapters, most popular first.
    pub top: Vec<(AdapterRef, DecayedTokens)>,
}

/// Decayed token counts of one VM.
#[derive(Clone, Debug)]
pub struct Popularity {
    config: PopularityConfig,
    total: (MonoMs, DecayedTokens),
    reuse: ReuseRate,
    adapters: HashMap<AdapterRef, (MonoMs, DecayedTokens)>,
}

/// Weight of one use in the moving averages of [`ReuseRate`].
const REUSE_WEIGHT: f32 = 0.005;

/// Observed rate of reuse, and the rate that the long counters predict. With independent requests
/// the two agree; in conversations the observed rate is higher.
#[derive(Clone, Copy, Debug, Default)]
struct ReuseRate {
    observed: f32,
    expected: f32,
}

impl ReuseRate {
    fn record(&mut self, is_reuse: bool, expected: f32) {
        let observed = if is_reuse { 1.0 } else { 0.0 };
        self.observed += REUSE_WEIGHT * (observed - self.observed);
        self.expected += REUSE_WEIGHT * (expected - self.expected);
    }

    fn burst(self) -> f32 {
        let unexplained = (1.0 - self.expected).max(f32::EPSILON);
        ((self.observed - self.expected) / unexplained).clamp(0.0, 1.0)
    }
}

impl Popularity {
    /// Creates counters that are all zero.
    pub fn new(config: PopularityConfig) -> Self {
        Self {
            config,
            total: (MonoMs::default(), DecayedTokens::default()),
            reuse: ReuseRate::default(),
            adapters: HashMap::new(),
        }
    }

    /// Counts `tokens` of admitted work for `adapter`.
    pub fn record(&mut self, adapter: &AdapterRef, tokens: Tokens, now: MonoMs) {
        let tokens = tokens.max(1);
        add(&mut self.total, tokens, now, &self.config);
        if let Some(counter) = self.adapters.get_mut(adapter) {
            let idle_ms = now.since(counter.0);
            let long_tokens = counter.1.after(idle_ms, &self.config).long_tokens;
            let uses_per_s = per_second(long_tokens, self.config.long_half_life_ms) / tokens as f32;
            let expected = 1.0 - (-uses_per_s * self.config.reuse_window_ms as f32 / 1_000.0).exp();
            self.reuse
                .record(idle_ms < self.config.reuse_window_ms, expected);
            add(counter, tokens, now, &self.config);
            return;
        }
        self.reuse.record(false, 0.0);
        if self.adapters.len() >= self.config.max_adapters {
            self.drop_least_popular(now);
        }
        let mut counter = (now, DecayedTokens::default());
        add(&mut counter, tokens, now, &self.config);
        self.adapters.insert(adapter.clone(), counter);
    }

    /// Counts of `adapter` as of `now`.
    pub fn get(&self, adapter: &AdapterRef, now: MonoMs) -> DecayedTokens {
        self.adapters
            .get(adapter)
            .map(|(at, counts)| counts.after(now.since(*at), &self.config))
            .unwrap_or_default()
    }

    /// The bounded summary that is sent to the coordinators.
    pub fn summary(&self, now: MonoMs) -> PopularitySummary {
        let mut top: Vec<_> = self
            .adapters
            .iter()
            .map(|(adapter, (at, counts))| (adapter, counts.after(now.since(*at), &self.config)))
            .collect();
        let burst = self.reuse.burst();
        let keep = self.config.summary_adapters;
        if top.len() > keep {
            top.select_nth_unstable_by(keep, |a, b| by_score(burst, &self.config, a, b));
            top.truncate(keep);
        }
        top.sort_by(|a, b| by_score(burst, &self.config, a, b));
        PopularitySummary {
            total: self.total.1.after(now.since(self.total.0), &self.config),
            burst,
            top: top.into_iter().map(|(a, c)| (a.clone(), c)).collect(),
        }
    }

    fn drop_least_popular(&mut self, now: MonoMs) {
        let config = self.config;
        let burst = self.reuse.burst();
        let score = |entry: &(MonoMs, DecayedTokens)| {
            let counts = entry.1.after(now.since(entry.0), &config);
            counts.score(burst, &config)
        };
        let mut scores: Vec<f32> = self.adapters.values().map(score).collect();
        let middle = scores.len() / 2;
        let (_, median, _) = scores.select_nth_unstable_by(middle, f32::total_cmp);
        let median = *median;
        self.adapters.retain(|_, entry| score(entry) > median);
    }
}

fn add(
    counter: &mut (MonoMs, DecayedTokens),
    tokens: Tokens,
    now: MonoMs,
    config: &PopularityConfig,
) {
    let added = DecayedTokens {
        short_tokens: tokens as f32,
        long_tokens: tokens as f32,
    };
    counter.1 = counter.1.after(now.since(counter.0), config).plus(added);
    counter.0 = now.max(counter.0);
}

fn by_score(
    burst: f32,
    config: &PopularityConfig,
    a: &(&AdapterRef, DecayedTokens),
    b: &(&AdapterRef, DecayedTokens),
) -> std::cmp::Ordering {
    let (left, right) = (a.1.score(burst, config), b.1.score(burst, config));
    right.total_cmp(&left).then_with(|| a.0.cmp(b.0))
}

/// One VM's counts of one adapter.
#[derive(Clone, Debug)]
struct VmCounts {
    vm: VmName,
    /// Whether the VM is in the coordinator's data centre.
    local: bool,
    at: MonoMs,
    counts: DecayedTokens,
}

/// Sum of the newest summaries of all VMs, maintained by a coordinator.
#[derive(Clone, Debug)]
pub struct FleetPopularity {
    config: PopularityConfig,
    data_centre: DataCentre,
    /// Burst fraction in each VM's newest summary.
    bursts: HashMap<VmName, f32>,
    adapters: HashMap<AdapterRef, Vec<VmCounts>>,
}

impl FleetPopularity {
    /// Creates empty counters for a coordinator in `data_centre`.
    pub fn new(config: PopularityConfig, data_centre: DataCentre) -> Self {
        Self {
            config,
            data_centre,
            bursts: HashMap::new(),
            adapters: HashMap::new(),
        }
    }

    /// Replaces the counts of `vm`. Counts of adapters that are no longer in its summary keep
    /// decaying.
    pub fn merge(
        &mut self,
        vm: &VmName,
        vm_data_centre: &DataCentre,
        summary: &PopularitySummary,
        now: MonoMs,
    ) {
        let local = *vm_data_centre == self.data_centre;
        self.bursts.insert(vm.clone(), summary.burst);
        for (adapter, counts) in &summary.top {
            let entries = self.adapters.entry(adapter.clone()).or_default();
            entries.retain(|entry| entry.vm != *vm);
            entries.push(VmCounts {
                vm: vm.clone(),
                local,
                at: now,
                counts: *counts,
            });
        }
    }

    /// Counts of `adapter` over all VMs as of `now`.
    pub fn get(&self, adapter: &AdapterRef, now: MonoMs) -> DecayedTokens {
        self.sum(adapter, now, |_| true)
    }

    /// Rate of tokens per second at which the VMs of the coordinator's data centre use `adapter`.
    pub fn local_tokens_per_s(&self, adapter: &AdapterRef, now: MonoMs) -> f32 {
        let counts = self.sum(adapter, now, |entry| entry.local);
        per_second(counts.long_tokens, self.config.long_half_life_ms)
    }

    fn sum(
        &self,
        adapter: &AdapterRef,
        now: MonoMs,
        of: impl Fn(&VmCounts) -> bool,
    ) -> DecayedTokens {
        let entries = self.adapters.get(adapter).map_or(&[][..], Vec::as_slice);
        let entries = entries.iter().filter(|entry| of(entry));
        entries.fold(DecayedTokens::default(), |sum, entry| {
            sum.plus(entry.counts.after(now.since(entry.at), &self.config))
        })
    }

    /// Expected tokens per second of `adapter` in the near future.
    pub fn score(&self, adapter: &AdapterRef, now: MonoMs) -> f32 {
        let vms = self.bursts.len().max(1) as f32;
        let burst = self.bursts.values().sum::<f32>() / vms;
        self.get(adapter, now).score(burst, &self.config)
    }

    /// The `count` most popular adapters with their scores, most popular first.
    pub fn top(&self, count: usize, now: MonoMs) -> Vec<(AdapterRef, f32)> {
        let mut scored: Vec<_> = self
            .adapters
            .keys()
            .map(|adapter| (adapter, self.score(adapter, now)))
            .collect();
        scored.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        scored.truncate(count);
        scored.into_iter().map(|(a, s)| (a.clone(), s)).collect()
    }

    /// Removes entries that have decayed below `min_tokens`.
    pub fn prune(&mut self, min_tokens: f32, now: MonoMs) {
        let config = self.config;
        self.adapters.retain(|_, entries| {
            entries.retain(|entry| {
                let counts = entry.counts.after(now.since(entry.at), &config);
                counts.long_tokens >= min_tokens
            });
            !entries.is_empty()
        });
    }
}
