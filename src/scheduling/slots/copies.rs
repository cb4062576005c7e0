//! Decides which adapters are copied to a further engine because the engines that hold them are
//! crowded.
//!
//! A few adapters receive a large part of the requests. An engine that holds one of them fills up
//! while others stay idle, and its requests queue although other engines have free run slots. Each
//! entry VM sees only its own requests, so the decision is made here, where all of them are
//! counted.

use std::cmp::Reverse;

use super::engine::Engine;
use super::engine::Phase;
use super::planner::Planner;
use super::types::EngineWork;
use super::types::SlotAction;
use crate::mechanisms::Mechanism;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Occupancy of run slots above which an engine counts as crowded, in percent.
const CROWDED_OCCUPANCY_PERCENT: u32 = 60;
/// Maximum occupancy of run slots at which an engine takes a copy, in percent.
const COPY_MAX_OCCUPANCY_PERCENT: u32 = 40;
/// Occupancy of run slots above which an engine's load is reported to the entry VMs, in percent.
const REPORTED_OCCUPANCY_PERCENT: u32 = 50;
/// Prompt backlog above which an engine counts as crowded, in percent of the latency objective.
const CROWDED_BACKLOG_PERCENT: u64 = 25;
/// Maximum prompt backlog at which an engine takes a copy, in percent of the latency objective.
const COPY_MAX_BACKLOG_PERCENT: u64 = 8;
/// Granularity at which prompt backlogs are compared, in percent of the latency objective.
const BACKLOG_STEP_PERCENT: u64 = 10;
/// Minimum number of requests in flight for an adapter on a crowded engine to justify a copy.
const MIN_IN_FLIGHT: u32 = 2;
/// Interval between copies of one engine's adapters; a copy takes requests only after its load.
const COPY_INTERVAL_MS: u64 = 400;

impl Engine {
    /// Whether the engine should receive further adapters only if no other engine can take them.
    pub(super) fn is_crowded(&self) -> bool {
        self.info.is_limited
            || self.occupancy_exceeds(CROWDED_OCCUPANCY_PERCENT)
            || self.backlog_exceeds(CROWDED_BACKLOG_PERCENT)
    }

    /// Whether the engine has capacity for the requests of a further adapter.
    fn has_room(&self) -> bool {
        !self.info.is_limited
            && !self.occupancy_exceeds(COPY_MAX_OCCUPANCY_PERCENT)
            && !self.backlog_exceeds(COPY_MAX_BACKLOG_PERCENT)
    }

    /// Prompt backlog in steps of [`BACKLOG_STEP_PERCENT`]. Engines that differ by less than one
    /// step are equally suitable for a load.
    pub(super) fn backlog_steps(&self) -> u64 {
        let step_ms = self.info.target_latency_ms * BACKLOG_STEP_PERCENT / 100;
        self.backlog_ms() / step_ms.max(1)
    }

    /// Occupied quarters of the run slots. Engines that differ by less are equally suitable for a
    /// load.
    pub(super) fn occupancy_quarters(&self) -> u32 {
        self.occupied() * 4 / self.info.run_slots.max(1)
    }

    /// Adapters with at least [`MIN_IN_FLIGHT`] requests in flight, the most used first.
    fn busiest(&self) -> Vec<ModelName> {
        let slots = self.slots.iter();
        let mut used: Vec<(Reverse<u32>, &ModelName)> = slots
            .filter(|(_, slot)| slot.in_flight() >= MIN_IN_FLIGHT)
            .map(|(model, slot)| (Reverse(slot.in_flight()), model))
            .collect();
        used.sort();
        used.into_iter().map(|(_, model)| model.clone()).collect()
    }
}

impl Planner {
    /// Load of the engines with many requests or a prompt backlog. Engines that are not listed have
    /// free capacity.
    pub fn work(&self) -> Vec<EngineWork> {
        let counts = |engine: &Engine| {
            engine.occupancy_exceeds(REPORTED_OCCUPANCY_PERCENT) || engine.backlog_ms() > 0
        };
        let engines = self.engines.iter().filter(|(_, engine)| counts(engine));
        engines
            .map(|(server, engine)| engine.work(server))
            .collect()
    }

    /// Orders copies of the most used adapters of crowded engines, one per engine at a time.
    pub(super) fn plan_copies(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        let may_copy = self
            .config
            .mechanisms
            .is_enabled(Mechanism::CrowdedEngineCopies);
        if !may_copy || self.lacks_slots() {
            return;
        }
        let is_due = |engine: &Engine| {
            engine.is_crowded() && now.since(engine.last_copied) >= COPY_INTERVAL_MS
        };
        let crowded: Vec<ServerName> = self
            .engines
            .iter()
            .filter(|(_, engine)| is_due(engine))
            .map(|(server, _)| server.clone())
            .collect();
        for server in crowded {
            let models = self.engines[&server].busiest();
            let model = models.into_iter().find(|model| self.needs_copy(model, now));
            let Some(action) = model.and_then(|model| self.copy(&model, now)) else {
                continue;
            };
            let is_load = matches!(&action, SlotAction::Order(order) if order.load);
            if let Some(engine) = self.engines.get_mut(&server).filter(|_| is_load) {
                engine.last_copied = now;
            }
            actions.push(action);
        }
    }

    /// Whether adapters that no engine holds wait for a slot, which a copy would occupy.
    pub(super) fn lacks_slots(&self) -> bool {
        let is_scarce = self
            .pending_loads
            .values()
            .any(|pending| !pending.is_copy());
        is_scarce
            && self
                .config
                .mechanisms
                .is_enabled(Mechanism::CopySuppression)
    }

    /// Whether all engines that hold `model` are crowded and none is loading it.
    pub(super) fn needs_copy(&self, model: &ModelName, now: MonoMs) -> bool {
        self.engines.values().all(|engine| {
            let slot = engine.slots.get(model);
            slot.is_none_or(|slot| match slot.phase {
                Phase::Ready => engine.is_crowded(),
                Phase::Loading { ready } => ready <= now && engine.is_crowded(),
                Phase::Retiring | Phase::Unloading => true,
            })
        })
    }

    /// Plans the next order towards a copy of `model` on the engine with the smallest load.
    fn copy(&mut self, model: &ModelName, now: MonoMs) -> Option<SlotAction> {
        let mut candidates: Vec<(u64, u32, ServerName)> = self
            .engines
            .iter()
            .filter(|(server, engine)| self.is_candidate(server, model) && engine.has_room())
            .map(|(server, engine)| (engine.backlog_ms(), engine.occupied(), server.clone()))
            .collect();
        candidates.sort();
        let names: Vec<ServerName> = candidates.into_iter().map(|(.., server)| server).collect();
        self.plan_load_on(&names, model, now)
    }
}
