//! Settings of the engine stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::types::AdapterRef;

use super::Reader;

/// Largest allowed time in all settings of stand-ins.
pub(super) const MAX_TIME_MS: u64 = 600_000;

/// Allowed limits on the requests of a stand-in.
pub(super) const REQUEST_LIMITS_PER_S: RangeInclusive<f64> = 0.0..=1_000_000.0;

/// Settings of one engine stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Name under which the engine announces itself.
    pub name: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Data centre of the engine.
    pub data_centre: String,
    /// Name of the base model.
    pub base: String,
    /// Addresses of the VMs that accept announcements; the next one is tried when one fails.
    pub vms: Vec<SocketAddr>,
    /// Time between announcements in milliseconds.
    pub announce_ms: u64,
    /// Age of the reported load in an announcement, in milliseconds.
    pub report_lag_ms: u64,
    /// Address of the weight store. Without one a load succeeds at once.
    pub store: Option<SocketAddr>,
    /// Number of adapters that fit into memory.
    pub adapter_slots: u64,
    /// Maximum batch size in sequences.
    pub batch_positions: u64,
    /// Requests that may wait for a batch position.
    pub queue_limit: u64,
    /// Time per output token at batch size 1, in microseconds.
    pub token_us: u64,
    /// Relative increase of the time per token from batch size 1 to a full batch.
    pub batch_slowdown: f64,
    /// Time per uncached prompt token, in microseconds.
    pub prefill_us_per_token: u64,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Capacity of the prefix cache in tokens.
    pub prefix_cache_tokens: u64,
    /// Delay of published cache events, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Share of cache events that are never published.
    pub cache_event_gap_ratio: f64,
    /// Whether orders with an outdated fencing token are refused.
    pub check_fence: bool,
    /// Share of adapter loads that fail.
    pub load_failure_ratio: f64,
    /// Requests per second that answers name as the engine's limit; 0 for none.
    pub request_limit_per_s: f64,
    /// A prompt that contains this text crashes the engine.
    pub crash_marker: Option<String>,
    /// Time from a crash to the restart, in milliseconds.
    pub restart_ms: u64,
    /// Longest time that a leaving engine waits for its requests to finish, in milliseconds.
    pub leave_ms: u64,
    /// Time that a finished request stays resumable, in milliseconds.
    pub retain_ms: u64,
    /// Adapters that are resident at the first start, as `base:adapter@version`.
    pub resident: Vec<String>,
    /// Seed of the random failures and gaps.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            data_centre: "dc1".to_owned(),
            base: "base".to_owned(),
            vms: Vec::new(),
            announce_ms: 500,
            report_lag_ms: 250,
            store: None,
            adapter_slots: 8,
            batch_positions: 16,
            queue_limit: 1_024,
            token_us: 10_000,
            batch_slowdown: 0.25,
            prefill_us_per_token: 200,
            kv_tokens: 65_536,
            prefix_cache_tokens: 32_768,
            cache_event_lag_ms: 500,
            cache_event_gap_ratio: 0.02,
            check_fence: true,
            load_failure_ratio: 0.0,
            request_limit_per_s: 0.0,
            crash_marker: None,
            restart_ms: 1_000,
            leave_ms: 30_000,
            retain_ms: 60_000,
            resident: Vec::new(),
            seed: 1,
        }
    }
}

impl EngineSettings {
    /// Reads the settings from `reader`.
    pub fn read(reader: &mut Reader<'_>) -> Self {
        let default = Self::default();
        let identity = Self {
            name: reader.required_text("name"),
            address: reader.required_address("address"),
            data_centre: reader.required_text("data_centre"),
            base: reader.required_text("base"),
            vms: reader.addresses("vms"),
            announce_ms: reader.u64("announce_ms", default.announce_ms, 10..=MAX_TIME_MS),
            report_lag_ms: reader.u64("report_lag_ms", default.report_lag_ms, 0..=MAX_TIME_MS),
            store: reader.optional_address("store"),
            resident: reader.texts("resident"),
            seed: reader.u64("seed", default.seed, 0..=u64::MAX),
            ..default
        };
        let settings = identity.read_capacity(reader).read_faults(reader);
        settings.check_resident(reader);
        settings
    }

    fn check_resident(&self, reader: &mut Reader<'_>) {
        let slots = self.adapter_slots;
        if u64::try_from(self.resident.len()).unwrap_or(u64::MAX) > slots {
            let allowed = format!("at most adapter_slots ({slots}) adapters");
            reader.reject("resident", self.resident.len(), allowed);
        }
        let has_same_base = |adapter: &AdapterRef| adapter.base() == self.base;
        for (index, name) in self.resident.iter().enumerate() {
            if !name.parse().is_ok_and(|adapter| has_same_base(&adapter)) {
                let allowed = format!("an adapter of the base model, {}:NAME@VERSION", self.base);
                reader.reject(&format!("resident[{index}]"), name, allowed);
            }
        }
    }

    fn read_capacity(self, reader: &mut Reader<'_>) -> Self {
        let prefill_us = self.prefill_us_per_token;
        Self {
            adapter_slots: reader.u64("adapter_slots", self.adapter_slots, 1..=4_096),
            batch_positions: reader.u64("batch_positions", self.batch_positions, 1..=4_096),
            queue_limit: reader.u64("queue_limit", self.queue_limit, 0..=1_000_000),
            token_us: reader.u64("token_us", self.token_us, 100..=10_000_000),
            batch_slowdown: reader.f64("batch_slowdown", self.batch_slowdown, 0.0..=10.0),
            prefill_us_per_token: reader.u64("prefill_us_per_token", prefill_us, 0..=1_000_000),
            kv_tokens: reader.u64("kv_tokens", self.kv_tokens, 16..=1_000_000_000),
            prefix_cache_tokens: reader.u64(
                "prefix_cache_tokens",
                self.prefix_cache_tokens,
                0..=1_000_000_000,
            ),
            ..self
        }
    }

    fn read_faults(self, reader: &mut Reader<'_>) -> Self {
        let lag_ms = self.cache_event_lag_ms;
        let fence_choices = [("check", true), ("ignore", false)];
        Self {
            cache_event_lag_ms: reader.u64("cache_event_lag_ms", lag_ms, 0..=MAX_TIME_MS),
            cache_event_gap_ratio: reader
                .ratio("cache_event_gap_ratio", self.cache_event_gap_ratio),
            check_fence: reader.choice("fence", self.check_fence, &fence_choices),
            load_failure_ratio: reader.ratio("load_failure_ratio", self.load_failure_ratio),
            request_limit_per_s: reader.f64("request_limit_per_s", 0.0, REQUEST_LIMITS_PER_S),
            crash_marker: reader.optional_text("crash_marker"),
            restart_ms: reader.u64("restart_ms", self.restart_ms, 0..=MAX_TIME_MS),
            leave_ms: reader.u64("leave_ms", self.leave_ms, 0..=MAX_TIME_MS),
            retain_ms: reader.u64("retain_ms", self.retain_ms, 0..=MAX_TIME_MS),
            ..self
        }
    }
}
