//! One engine's adapter slots.

use std::collections::HashMap;

use indexmap::IndexSet;

use super::load_limiter::LoadLimiter;
use super::types::EngineWork;
use super::types::SlotOrder;
use super::types::Use;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Time constant of the average of uses, in milliseconds.
const USE_TIME_CONSTANT_MS: f64 = 20_000.0;
/// Age of the state that a report shows.
const REPORT_LAG_MS: u64 = 120;
/// Adapters remembered as recently held.
const MAX_RECENT: usize = 180;

/// What is known of an engine from its announcement and the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineInfo {
    /// Wall clock of its process's start.
    pub started_unix_ms: u64,
    /// Adapters that it can hold at once.
    pub adapter_slots: usize,
    /// Requests that it can run at once.
    pub run_slots: u32,
    /// Shortest objective of its requests.
    pub target_latency_ms: u64,
    /// Base models that it holds.
    pub bases: Vec<ModelName>,
    /// Base models that fit into it.
    pub loadable: Vec<ModelName>,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Orders that it has accepted since its start.
    pub sequence: u64,
    /// Base models that it holds.
    pub bases: Vec<ModelName>,
    /// Adapters that it holds, with their versions.
    pub adapters: Vec<(ModelName, u64)>,
    /// Adapters that are being loaded, with their versions.
    pub loading: Vec<(ModelName, u64)>,
}

/// ResidencyEntry of an adapter on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Ordered; usable from this time on.
    Loading {
        /// Expected end of the load.
        ready: MonoMs,
    },
    /// Usable.
    Ready,
    /// Gets no new requests, so that it can be replaced by a newer version.
    Retiring,
    /// Ordered to be dropped, which waits for its runs.
    Unloading,
}

impl Phase {
    /// Whether new requests may use it, now or after its load.
    pub(super) fn is_usable(self) -> bool {
        matches!(self, Self::Loading { .. } | Self::Ready)
    }
}

/// Requests of one VM for an adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    requests: u32,
    /// Prompt tokens of those that have no answer yet.
    prompt_tokens: u64,
}

/// One used slot.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) phase: Phase,
    pub(super) version: u64,
    /// Whether the engine has been seen to hold it. Until then an order to drop it could overtake
    /// the load.
    pub(super) is_confirmed: bool,
    /// When its load was ordered.
    pub(super) ordered: MonoMs,
    /// Whether the engine said that it carries the order out. Without that the load may begin much
    /// later, and its time tells nothing of the store.
    pub(super) is_accepted: bool,
    /// Whether the load under way replaces an older version, which stays if the order fails.
    pub(super) is_replaced: bool,
    /// Whether its load came from the weight store.
    pub(super) is_from_store: bool,
    /// Whether the engine refused a request for it although it should be there.
    pub(super) is_suspect: bool,
    pub(super) last_used: MonoMs,
    /// When it got no new requests any more.
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

    /// Whether the time of its load is that of a load from the store.
    pub(super) fn measures_store_load(&self) -> bool {
        self.is_from_store && self.is_accepted
    }

    /// Time from which requests may use it, if they may.
    pub(super) fn ready(&self) -> Option<MonoMs> {
        match self.phase {
            Phase::Loading { ready } => Some(ready),
            Phase::Ready => Some(MonoMs(0)),
            Phase::Retiring | Phase::Unloading => None,
        }
    }

    /// Requests that use it now.
    pub(super) fn in_flight(&self) -> u32 {
        let of_vms = self.in_flight.values();
        of_vms.map(|in_flight| in_flight.requests).sum()
    }

    /// Prompt tokens of requests for it that have no answer yet.
    fn prompt_tokens(&self) -> u64 {
        let of_vms = self.in_flight.values();
        of_vms.map(|in_flight| in_flight.prompt_tokens).sum()
    }

    pub(super) fn is_used(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Recent uses, older ones counting less.
    pub(super) fn score(&self, now: MonoMs) -> f64 {
        let elapsed_ms = now.since(self.scored) as f64;
        self.use_score * (-elapsed_ms / USE_TIME_CONSTANT_MS).exp()
    }
}

/// Time without use after which an adapter may make way. One that was used once is hardly asked for
/// again, one that is used often may be at any moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleTime {
    /// For an adapter that was used once.
    pub(super) min_ms: u64,
    /// For one that is used all the time.
    pub(super) max_ms: u64,
}

impl IdleTime {
    /// The time for an adapter with this number of recent uses.
    pub(super) fn for_uses(&self, uses: f64) -> u64 {
        let in_proportion_ms = (self.min_ms as f64 * uses) as u64;
        in_proportion_ms.clamp(self.min_ms, self.max_ms)
    }
}

/// State of one engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) info: EngineInfo,
    pub(super) slots: HashMap<ModelName, Slot>,
    /// Adapters that loaded once in this process, the latest last.
    pub(super) recent: IndexSet<ModelName>,
    /// Number of accepted orders; `None` until the engine has reported.
    pub(super) sequence: Option<u64>,
    pub(super) has_open_order: bool,
    pub(super) last_order: MonoMs,
    /// An order without an answer, which may still be carried out.
    pub(super) unresolved: Option<SlotOrder>,
    /// Orders in a row that met a conflict.
    pub(super) conflicts: u32,
    /// Time before which no order is given.
    pub(super) pause_until: MonoMs,
    /// When a report was asked for last.
    pub(super) report_asked: Option<MonoMs>,
    pub(super) needs_report: bool,
    /// Base models that its last report showed.
    pub(super) reported_bases: Vec<ModelName>,
    /// When one of its adapters last got another engine.
    pub(super) last_copied: MonoMs,
    /// Time that it needs to read a token of a prompt.
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

    /// Requests for adapters that it runs or that wait there.
    pub(super) fn occupied(&self) -> u32 {
        let slots = self.slots.values();
        slots.map(Slot::in_flight).sum()
    }

    /// Prompt tokens of requests that have no answer yet.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.slots.values().map(Slot::prompt_tokens).sum()
    }

    /// Time until the prompts that wait there have been read.
    pub(super) fn backlog_ms(&self) -> u64 {
        self.prompt_tokens() * u64::from(self.token_us) / 1_000
    }

    /// Whether reading the prompts that wait there takes more than `percent` of the objective.
    pub(super) fn backlog_exceeds(&self, percent: u64) -> bool {
        self.backlog_ms() * 100 > self.info.target_latency_ms * percent
    }

    /// Its work as `server`, for the VMs that choose an engine.
    pub(super) fn work(&self, server: &ServerName) -> EngineWork {
        EngineWork {
            server: server.clone(),
            occupied: self.occupied(),
            prompt_tokens: self.prompt_tokens(),
        }
    }

    /// Whether more requests than `percent` of its slots are taken.
    pub(super) fn occupancy_exceeds(&self, percent: u32) -> bool {
        self.occupied() * 100 > self.info.run_slots * percent
    }

    pub(super) fn free_slots(&self) -> usize {
        self.info.adapter_slots.saturating_sub(self.slots.len())
    }

    /// Whether an order can be given now.
    pub(super) fn takes_orders(&self, now: MonoMs) -> bool {
        let is_free = !self.has_open_order && self.unresolved.is_none();
        is_free && self.sequence.is_some() && self.pause_until <= now
    }

    /// Whether an adapter's load has not been seen to end.
    pub(super) fn has_unconfirmed(&self) -> bool {
        self.slots.values().any(|slot| !slot.is_confirmed)
    }

    pub(super) fn loading(&self, now: MonoMs) -> usize {
        let loading = |slot: &&Slot| matches!(slot.phase, Phase::Loading { ready } if now < ready);
        self.slots.values().filter(loading).count()
    }

    /// Whether it holds no base model, as after a restart.
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

    /// Loads from the store that are under way.
    pub(super) fn store_loads(&self, now: MonoMs) -> usize {
        let slots = self.slots.values().filter(|slot| slot.is_from_store);
        let loading = slots.filter(|slot| slot.is_loading(now));
        loading.count()
    }

    /// Notes the adapters that a report, asked for at `asked`, shows as held or on their way.
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

    /// The least valuable adapter that no request uses and none has used for its idle time.
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
