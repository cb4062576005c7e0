//! Planner state of a data centre's engines and the sequence of planning steps.

use std::collections::BTreeMap;
use std::collections::HashMap;

use indexmap::IndexMap;

use super::engine::Engine;
use super::engine::EngineInfo;
use super::engine::Phase;
use super::load_limiter::LoadLimiter;
use super::pending_loads::PendingLoad;
use super::slot_wait::SlotWaitEstimate;
use super::types::ResidencyEntry;
use super::types::SlotAction;
use super::types::SlotOrder;
use super::types::SlotsConfig;
use super::types::Summary;
use super::types::Use;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::SoftwareVersion;
use crate::types::VmName;

/// Expected remaining time of a load that an engine refused a request for because it has not ended,
/// in milliseconds.
const EXTENDED_LOAD_MS: u64 = 40;

/// Plans the adapter slots of one data centre's engines.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(super) config: SlotsConfig,
    pub(super) engines: IndexMap<ServerName, Engine>,
    pub(super) pending_loads: IndexMap<ModelName, PendingLoad>,
    /// Loads on engines of a given software version, with the time of the last request.
    pub(super) version_loads: IndexMap<(ModelName, SoftwareVersion), MonoMs>,
    pub(super) versions: BTreeMap<ModelName, (u64, MonoMs)>,
    /// When another data centre last started to load an adapter.
    pub(super) remote_loads: HashMap<ModelName, MonoMs>,
    pub(super) load_limiter: LoadLimiter,
    /// When the last load of a base model was ordered.
    pub(super) base_ordered: Option<MonoMs>,
    pub(super) updates: Vec<ResidencyEntry>,
    pub(super) slot_wait: SlotWaitEstimate,
}

impl Planner {
    /// Creates a planner without engines.
    pub fn new(config: SlotsConfig) -> Self {
        Self {
            config,
            engines: IndexMap::new(),
            pending_loads: IndexMap::new(),
            version_loads: IndexMap::new(),
            versions: BTreeMap::new(),
            remote_loads: HashMap::new(),
            load_limiter: LoadLimiter::new(config.load_ms),
            base_ordered: None,
            updates: Vec::new(),
            slot_wait: SlotWaitEstimate::default(),
        }
    }

    /// Adds or updates an engine. A restarted engine process starts with empty slots.
    pub fn set_engine(&mut self, server: &ServerName, info: EngineInfo) {
        match self.engines.get_mut(server) {
            Some(engine) if engine.info.started_unix_ms == info.started_unix_ms => {
                engine.info = info;
            }
            Some(_) => {
                self.remove_engine(server);
                self.engines.insert(server.clone(), Engine::new(info));
            }
            None => {
                self.engines.insert(server.clone(), Engine::new(info));
            }
        }
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, server: &ServerName) {
        if let Some(engine) = self.engines.shift_remove(server) {
            let gone = engine.slots.into_keys();
            self.updates
                .extend(gone.map(|model| (server.clone(), model, 0, None)));
        }
    }

    /// Names of all engines.
    pub fn engines(&self) -> impl Iterator<Item = &ServerName> {
        self.engines.keys()
    }

    /// Sets the configured adapter versions. Older versions than the known ones are ignored.
    pub fn set_versions<'a>(
        &mut self,
        versions: impl Iterator<Item = (&'a ModelName, u64)>,
        now: MonoMs,
    ) {
        for (model, version) in versions {
            let known = self.versions.get(model).map_or(0, |(known, _)| *known);
            if version > known {
                self.versions.insert(model.clone(), (version, now));
            }
        }
    }

    /// Records the use of an adapter by one VM.
    pub fn note_use(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        vm: &VmName,
        used: Use,
        now: MonoMs,
    ) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.token_us = used.token_us;
        let Some(slot) = engine.slots.get_mut(model) else {
            return;
        };
        slot.note_use(vm, &used, now);
        if slot.is_confirmed || !slot.phase.is_usable() {
            return;
        }
        if used.is_answered {
            slot.is_confirmed = true;
            if slot.measures_store_load() {
                self.load_limiter.observe_max(now.since(slot.ordered));
            }
            return;
        }
        let Some(age_ms) = used.early_age_ms else {
            return;
        };
        let refused_after_ms = now.since(slot.ordered).saturating_sub(age_ms.into());
        if refused_after_ms == 0 {
            return;
        }
        if slot.measures_store_load() {
            self.load_limiter.observe_min(refused_after_ms);
        }
        if slot.phase == Phase::Ready {
            let ready = now.plus(EXTENDED_LOAD_MS);
            slot.phase = Phase::Loading { ready };
            let version = slot.version;
            self.updates
                .push((server.clone(), model.clone(), version, Some(ready)));
        }
    }

    /// Removes the requests in flight of a VM that has disconnected.
    pub fn forget_vm(&mut self, vm: &VmName) {
        for engine in self.engines.values_mut() {
            for slot in engine.slots.values_mut() {
                slot.in_flight.remove(vm);
            }
        }
    }

    /// Returns the changes of residency since the last call.
    pub fn take_updates(&mut self) -> Vec<ResidencyEntry> {
        std::mem::take(&mut self.updates)
    }

    /// Residency of all adapters on all engines.
    pub fn residency(&self) -> Vec<ResidencyEntry> {
        let mut all = Vec::new();
        for (server, engine) in &self.engines {
            for (model, slot) in &engine.slots {
                all.push((server.clone(), model.clone(), slot.version, slot.ready()));
            }
        }
        all
    }

    /// Plans the actions that are due at `now`.
    pub fn plan(&mut self, now: MonoMs) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        self.finish_loads(now);
        self.repeat_unresolved(now, &mut actions);
        actions.extend(self.load_base(now));
        self.renew_versions(now, &mut actions);
        self.plan_version_loads(now, &mut actions);
        self.plan_pending_loads(now, &mut actions);
        self.plan_copies(now, &mut actions);
        self.ask_reports(now, &mut actions);
        actions
    }

    /// Residency of `model` on the engines that hold or load it.
    pub fn residency_of(&self, model: &ModelName) -> Vec<ResidencyEntry> {
        let held = self.engines.iter().filter_map(|(server, engine)| {
            let slot = engine.slots.get(model).filter(|slot| !slot.is_suspect)?;
            let ready = slot.ready()?;
            Some((server.clone(), model.clone(), slot.version, Some(ready)))
        });
        held.collect()
    }

    /// Plans report requests only, for a holder that may not send orders yet.
    pub fn plan_reports(&mut self, now: MonoMs) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        self.ask_reports(now, &mut actions);
        actions
    }

    /// State summary for logs.
    pub fn summary(&self, now: MonoMs) -> Summary {
        let engines = self.engines.values();
        Summary {
            engines: self.engines.len(),
            unknown: engines
                .clone()
                .filter(|engine| engine.sequence.is_none())
                .count(),
            adapters: engines.map(|engine| engine.slots.len()).sum(),
            store_loads: self.store_loads(now),
            store_limit: self.load_limiter.limit(self.engines.len()),
            load_ms: self.load_limiter.load_ms(),
            wanted: self.pending_loads.len(),
        }
    }

    fn finish_loads(&mut self, now: MonoMs) {
        for engine in self.engines.values_mut() {
            for slot in engine.slots.values_mut() {
                if let Phase::Loading { ready } = slot.phase
                    && ready <= now
                {
                    slot.phase = Phase::Ready;
                    // The waiting requests are being sent and have not been reported yet.
                    slot.last_used = slot.last_used.max(ready);
                }
            }
        }
    }

    /// Resends orders without a response. All copies of an order expect the same sequence, so the
    /// engine executes at most one of them.
    fn repeat_unresolved(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        for engine in self.engines.values_mut() {
            if engine.has_open_order || engine.pause_until > now {
                continue;
            }
            if let Some(order) = &engine.unresolved {
                actions.push(SlotAction::Order(order.clone()));
                engine.has_open_order = true;
                engine.last_order = now;
            }
        }
    }

    /// Sets the interval between loads of base models, in milliseconds.
    pub fn set_base_interval(&mut self, base_interval_ms: u64) {
        self.config.base_interval_ms = base_interval_ms;
    }

    /// Orders a base model for an engine that holds none: the one with the most requests waiting
    /// for its adapters.
    fn load_base(&mut self, now: MonoMs) -> Option<SlotAction> {
        let last = self.base_ordered;
        if last.is_some_and(|last| now.since(last) < self.config.base_interval_ms) {
            return None;
        }
        let waiting = |base: &ModelName| -> u32 {
            let pending_loads = self.pending_loads.iter();
            let of_base = pending_loads
                .filter(|(model, _)| model.as_str().split('/').next() == Some(base.as_str()));
            of_base.map(|(_, pending)| pending.demand.waiting).sum()
        };
        let (server, model) = self.engines.iter().find_map(|(server, engine)| {
            let is_due = engine.is_empty() && engine.takes_orders(now);
            let loadable = engine.info.loadable.iter().rev().filter(|_| is_due);
            let model = loadable.max_by_key(|base| waiting(base))?;
            Some((server.clone(), model.clone()))
        })?;
        let engine = self.engines.get_mut(&server)?;
        let expected_sequence = engine.sequence?;
        engine.has_open_order = true;
        engine.last_order = now;
        self.base_ordered = Some(now);
        Some(SlotAction::Order(SlotOrder {
            started_unix_ms: engine.info.started_unix_ms,
            server,
            model,
            load: true,
            version: 0,
            expected_sequence,
        }))
    }

    /// Replaces adapters whose version is older than the configured one. New requests to an adapter
    /// in use are stopped first, since the order would block other orders to the engine until the
    /// running requests have ended.
    fn renew_versions(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        let mut due = Vec::new();
        for (server, engine) in &mut self.engines {
            for (model, slot) in &mut engine.slots {
                let named = self.versions.get(model);
                let is_old = named.is_some_and(|(version, _)| slot.version < *version);
                if is_old && slot.phase == Phase::Ready {
                    slot.phase = Phase::Retiring;
                    slot.retired = now;
                    let version = slot.version;
                    self.updates
                        .push((server.clone(), model.clone(), version, None));
                }
            }
            if !engine.takes_orders(now) {
                continue;
            }
            let delay_ms = self.config.retire_delay_ms;
            let idle = engine.slots.iter().find(|(_, slot)| {
                let is_delay_over = now.since(slot.retired) >= delay_ms;
                slot.phase == Phase::Retiring && !slot.is_used() && is_delay_over
            });
            if let Some((model, _)) = idle {
                due.push((server.clone(), model.clone()));
            }
        }
        for (server, model) in due {
            actions.extend(self.order_load(&server, &model, now));
        }
    }
}
