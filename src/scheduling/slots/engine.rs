//! State of one engine's adapter slots.

use std::collections::HashMap;

use indexmap::IndexSet;

use super::load_limiter::LoadLimiter;
use super::types::EngineWork;
use super::types::SlotOrder;
use super::types::Use;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::SoftwareVersion;
use crate::types::VmName;

/// Time constant of the decay of the use score, in milliseconds.
const USE_TIME_CONSTANT_MS: f64 = 20_000.0;
/// Age of the state that a report shows, in milliseconds.
const REPORT_LAG_MS: u64 = 120;
/// Maximum number of adapters kept in the list of recently loaded ones.
const MAX_RECENT: usize = 180;

/// Engine properties from its announcement and the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineInfo {
    /// Start time of the engine process, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Version of the engine's software.
    pub software: SoftwareVersion,
    /// Number of adapters that the engine can hold at once.
    pub adapter_slots: usize,
    /// Number of requests that the engine can run at once.
    pub run_slots: u32,
    /// Shortest latency objective of the engine's requests, in milliseconds.
    pub target_latency_ms: u64,
    /// Base models that the engine holds.
    pub bases: Vec<ModelName>,
    /// Base models that the engine can load.
    pub loadable: Vec<ModelName>,
    /// Whether the engine limits its requests, so that other engines should take them.
    pub is_limited: bool,
}

/// State that an engine reports about itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Number of orders accepted since the process started.
    pub sequence: u64,
    /// Base models that the engine holds.
    pub bases: Vec<ModelName>,
    /// Adapters that the engine holds, with their versions.
    pub adapters: Vec<(ModelName, u64)>,
    /// Adapters that are being loaded, with their versions.
    pub loading: Vec<(ModelName, u64)>,
}

/// Lifecycle state of an adapter in a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The load is ordered; requests may use the adapter from `ready` on.
    Loading {
        /// Expected end of the load.
        ready: MonoMs,
    },
    /// Requests may use the adapter.
    Ready,
    /// Receives no new requests, so that a newer version can replace it.
    Retiring,
    /// The unload is ordered; the engine finishes the running requests first.
    Unloading,
}

impl Phase {
    /// Whether new requests may use the adapter, now or after its load.
    pub(super) fn is_usable(self) -> bool {
        matches!(self, Self::Loading { .. } | Self::Ready)
    }
}

/// Requests in flight from one VM to one adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    requests: u32,
    /// Prompt tokens of the requests that have no response yet.
    prompt_tokens: u64,
}

/// One occupied adapter slot.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) phase: Phase,
    pub(super) version: u64,
    /// Whether a report or a response has shown that the engine holds the adapter. Before that, an
    /// unload order could overtake the load.
    pub(super) is_confirmed: bool,
    /// When the load was ordered.
    pub(super) ordered: MonoMs,
    /// Whether the engine accepted the load order. Without acceptance the load may start much
    /// later, so its duration is not a measurement of the weight store.
    pub(super) is_accepted: bool,
    /// Whether the load in progress replaces an older version, which stays if the order fails.
    pub(super) is_replaced: bool,
    /// Whether the adapter is loaded from the weight store.
    pub(super) is_from_store: bool,
    /// Whether the engine refused a request for the adapter although it should be present.
    pub(super) is_suspect: bool,
    pub(super) last_used: MonoMs,
    /// When new requests were stopped.
    pub(super) retired: MonoMs,
    pub(super) in_flight: HashMap<VmName, InFlight>,
    use_score: f64,
    scored: MonoMs,
}

impl Slot {
    pub(super) fn new(phase: Phase, version: u64, now: MonoMs) -> Self {
        Self {
            phase,
            version,
            is_confirmed: false,
            ordered: now,
            is_accepted: false,
            is_replaced: false,
            is_from_store: false,
            is_suspect: false,
            last_used: now,
            retired: now,
            in_flight: HashMap::new(),
            use_score: 0.0,
            scored: now,
        }
    }

    pub(super) fn note_use(&mut self, vm: &VmName, used: &Use, now: MonoMs) {
        if used.in_flight == 0 {
            self.in_flight.remove(vm);
        } else {
            let in_flight = InFlight {
                requests: used.in_flight,
                prompt_tokens: used.prompt_tokens,
            };
            self.in_flight.insert(vm.clone(), in_flight);
        }
        if used.sent > 0 || used.in_flight > 0 {
            self.last_used = now;
        }
        self.use_score = self.score(now) + f64::from(used.sent);
        self.scored = now;
    }

    pub(super) fn is_loading(&self, now: MonoMs) -> bool {
        matches!(self.phase, Phase::Loading { ready } if now < ready)
    }

    /// Whether the duration of the load is a measurement of the weight store.
    pub(super) fn measures_store_load(&self) -> bool {
        self.is_from_store && self.is_accepted
    }

    /// Time from which requests may use the adapter, or `None` if they may not.
    pub(super) fn ready(&self) -> Option<MonoMs> {
        match self.phase {
            Phase::Loading { ready } => Some(ready),
            Phase::Ready => Some(MonoMs(0)),
            Phase::Retiring | Phase::Unloading => None,
        }
    }

    /// Number of requests in flight.
    pub(super) fn in_flight(&self) -> u32 {
        let of_vms = self.in_flight.values();
        of_vms.map(|in_flight| in_flight.requests).sum()
    }

    /// Prompt tokens of the requests that have no response yet.
    fn prompt_tokens(&self) -> u64 {
        let of_vms = self.in_flight.values();
        of_vms.map(|in_flight| in_flight.prompt_tokens).sum()
    }

    pub(super) fn is_used(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Exponentially decayed number of uses.
    pub(super) fn score(&self, now: MonoMs) -> f64 {
        let elapsed_ms = now.since(self.scored) as f64;
        self.use_score * (-elapsed_ms / USE_TIME_CONSTANT_MS).exp()
    }
}

/// Idle time after which an adapter may be evicted. An adapter that was used once is rarely
/// requested again; one that is used often may be requested at any moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleTime {
    /// For an adapter that was used once, in milliseconds.
    pub(super) min_ms: u64,
    /// For an adapter that is used constantly, in milliseconds.
    pub(super) max_ms: u64,
}

impl IdleTime {
    /// Idle time of an adapter with `uses` recent uses, in milliseconds.
    pub(super) fn for_uses(&self, uses: f64) -> u64 {
        let proportional_ms = (self.min_ms as f64 * uses) as u64;
        proportional_ms.clamp(self.min_ms, self.max_ms)
    }
}

/// Planner's view of one engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) info: EngineInfo,
    pub(super) slots: HashMap<ModelName, Slot>,
    /// Adapters that this process has loaded, most recent last.
    pub(super) recent: IndexSet<ModelName>,
    /// Number of accepted orders; `None` until the engine has reported.
    pub(super) sequence: Option<u64>,
    pub(super) has_open_order: bool,
    pub(super) last_order: MonoMs,
    /// An order without a response, which the engine may still execute.
    pub(super) unresolved: Option<SlotOrder>,
    /// Number of consecutive conflicts.
    pub(super) conflicts: u32,
    /// Time before which no order is sent.
    pub(super) pause_until: MonoMs,
    /// When a report was last requested.
    pub(super) report_asked: Option<MonoMs>,
    pub(super) needs_report: bool,
    /// Base models in the last report.
    pub(super) reported_bases: Vec<ModelName>,
    /// When a copy of one of its adapters was last ordered on another engine.
    pub(super) last_copied: MonoMs,
    /// Prefill time per prompt token, in microseconds.
    pub(super) token_us: u32,
}

impl Engine {
    pub(super) fn new(info: EngineInfo) -> Self {
        Self {
            info,
            slots: HashMap::new(),
            recent: IndexSet::new(),
            sequence: None,
            has_open_order: false,
            last_order: MonoMs(0),
            unresolved: None,
            conflicts: 0,
            pause_until: MonoMs(0),
            report_asked: None,
            needs_report: true,
            reported_bases: Vec::new(),
            last_copied: MonoMs(0),
            token_us: 0,
        }
    }

    /// Number of requests for adapters that run or wait at the engine.
    pub(super) fn occupied(&self) -> u32 {
        let slots = self.slots.values();
        slots.map(Slot::in_flight).sum()
    }

    /// Prompt tokens of the requests that have no response yet.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.slots.values().map(Slot::prompt_tokens).sum()
    }

    /// Time to process the waiting prompts, in milliseconds.
    pub(super) fn backlog_ms(&self) -> u64 {
        self.prompt_tokens() * u64::from(self.token_us) / 1_000
    }

    /// Whether processing the waiting prompts takes more than `percent` of the latency objective.
    pub(super) fn backlog_exceeds(&self, percent: u64) -> bool {
        self.backlog_ms() * 100 > self.info.target_latency_ms * percent
    }

    /// Load of the engine, named `server`, for the VMs that choose an engine.
    pub(super) fn work(&self, server: &ServerName) -> EngineWork {
        EngineWork {
            server: server.clone(),
            occupied: self.occupied(),
            prompt_tokens: self.prompt_tokens(),
        }
    }

    /// Whether more than `percent` of the run slots are occupied.
    pub(super) fn occupancy_exceeds(&self, percent: u32) -> bool {
        self.occupied() * 100 > self.info.run_slots * percent
    }

    pub(super) fn free_slots(&self) -> usize {
        self.info.adapter_slots.saturating_sub(self.slots.len())
    }

    /// Whether an order can be sent now.
    pub(super) fn takes_orders(&self, now: MonoMs) -> bool {
        let is_free = !self.has_open_order && self.unresolved.is_none();
        is_free && self.sequence.is_some() && self.pause_until <= now
    }

    /// Whether any load is not yet confirmed.
    pub(super) fn has_unconfirmed(&self) -> bool {
        self.slots.values().any(|slot| !slot.is_confirmed)
    }

    pub(super) fn loading(&self, now: MonoMs) -> usize {
        let loading = |slot: &&Slot| matches!(slot.phase, Phase::Loading { ready } if now < ready);
        self.slots.values().filter(loading).count()
    }

    /// Whether the engine holds no base model, as after a restart.
    pub(super) fn is_empty(&self) -> bool {
        self.info.bases.is_empty() && self.reported_bases.is_empty()
    }

    pub(super) fn holds_base_of(&self, model: &ModelName) -> bool {
        let base = model.as_str().split('/').next().unwrap_or_default();
        let mut held = self.info.bases.iter().chain(&self.reported_bases);
        held.any(|held| held.as_str() == base)
    }

    pub(super) fn remember(&mut self, model: &ModelName) {
        self.recent.shift_remove(model);
        self.recent.insert(model.clone());
        if self.recent.len() > MAX_RECENT {
            self.recent.shift_remove_index(0);
        }
    }

    /// Number of loads from the weight store in progress.
    pub(super) fn store_loads(&self, now: MonoMs) -> usize {
        let slots = self.slots.values().filter(|slot| slot.is_from_store);
        let loading = slots.filter(|slot| slot.is_loading(now));
        loading.count()
    }

    /// Confirms the adapters that a report, requested at `asked`, lists as held, and measures the
    /// loads in progress.
    pub(super) fn confirm(
        &mut self,
        report: &EngineReport,
        asked: MonoMs,
        load_limiter: &mut LoadLimiter,
    ) {
        for (model, version) in &report.adapters {
            let Some(slot) = self.slots.get_mut(model) else {
                continue;
            };
            if *version >= slot.version && !slot.is_confirmed {
                slot.is_confirmed = true;
                if slot.measures_store_load() {
                    load_limiter.observe_max(asked.since(slot.ordered));
                }
            }
            slot.is_suspect = false;
        }
        let shown = MonoMs(asked.0.saturating_sub(REPORT_LAG_MS));
        for (model, _) in &report.loading {
            let slot = self.slots.get(model);
            if let Some(slot) = slot.filter(|slot| slot.measures_store_load()) {
                load_limiter.observe_min(shown.since(slot.ordered));
            }
        }
    }

    /// The adapter with the lowest use score among those that no request uses and whose idle time
    /// has passed.
    pub(super) fn victim(&self, idle: &IdleTime, now: MonoMs) -> Option<(ModelName, f64)> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.phase == Phase::Ready && slot.is_confirmed)
            .filter(|(_, slot)| !slot.is_used())
            .filter(|(_, slot)| now.since(slot.last_used) >= idle.for_uses(slot.score(now)))
            .map(|(model, slot)| (model, slot.score(now), slot.last_used))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)).then(a.0.cmp(b.0)))
            .map(|(model, score, _)| (model.clone(), score))
    }
}
