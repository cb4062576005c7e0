//! Loads of adapters on engines of a given software version, for streams that may go on only there.

use super::engine::Engine;
use super::planner::Planner;
use super::rendezvous::ranked;
use super::types::SlotAction;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::SoftwareVersion;

/// Most loads that are planned at once.
const MAX_LOADS: usize = 64;

impl Planner {
    /// Records that a stream waits for `model` on an engine of the version `software`.
    pub fn request_version_load(
        &mut self,
        model: &ModelName,
        software: &SoftwareVersion,
        now: MonoMs,
    ) {
        let load = (model.clone(), software.clone());
        if self.version_loads.len() < MAX_LOADS || self.version_loads.contains_key(&load) {
            self.version_loads.insert(load, now);
        }
    }

    /// Plans the requested loads. They come before all others, since their streams have begun.
    pub(super) fn plan_version_loads(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        let ttl_ms = self.config.request_ttl_ms;
        self.version_loads
            .retain(|_, requested| now.since(*requested) < ttl_ms);
        let loads: Vec<(ModelName, SoftwareVersion)> = self.version_loads.keys().cloned().collect();
        for (model, software) in loads {
            let is_of_version = |engine: &Engine| engine.info.software == software;
            let is_held = self.engines.values().any(|engine| {
                let slot = engine.slots.get(&model).filter(|_| is_of_version(engine));
                slot.is_some_and(|slot| slot.phase.is_usable())
            });
            if is_held {
                self.version_loads.shift_remove(&(model, software));
                continue;
            }
            let candidates = self.version_candidates(&model, &software);
            if let Some(action) = self.plan_load_on(&candidates, &model, now) {
                if matches!(&action, SlotAction::Order(order) if order.load) {
                    self.version_loads.shift_remove(&(model, software));
                }
                actions.push(action);
            }
        }
    }

    /// Engines of a version that can load `model`, the least occupied first.
    fn version_candidates(&self, model: &ModelName, software: &SoftwareVersion) -> Vec<ServerName> {
        let names = ranked(model, self.engines.keys()).into_iter();
        let mut candidates: Vec<ServerName> = names
            .filter(|name| self.engines[*name].info.software == *software)
            .filter(|name| self.is_candidate(name, model))
            .cloned()
            .collect();
        candidates.sort_by_key(|name| {
            let engine = &self.engines[name];
            let is_new = !engine.recent.contains(model);
            (is_new, engine.occupancy_quarters())
        });
        candidates
    }
}
