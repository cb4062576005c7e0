//! Pending adapter loads: which are ordered, on which engine, and which adapter is evicted for
//! them.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::engine::Engine;
use super::engine::IdleTime;
use super::planner::Planner;
use super::rendezvous::ranked;
use super::types::LoadDemand;
use super::types::SlotAction;
use crate::mechanisms::Mechanism;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Time without a response to an order after which loads are planned on other engines: longer than
/// connection setup and one round trip to another region.
const ANSWER_TIMEOUT_MS: u64 = 150;
/// Time for which an adapter that another data centre started to load is not loaded here as well. A
/// VM that still requests it afterwards cannot use it there.
const REMOTE_LOAD_MS: u64 = 1_500;
/// Maximum number of pending loads considered by one plan: several times the number of concurrent
/// loads in a data centre.
const MAX_PLANNED_LOADS: usize = 96;

#[derive(Clone, Debug)]
pub(super) struct PendingLoad {
    pub(super) demand: LoadDemand,
    /// Number of waiting requests by VM.
    waiting: HashMap<VmName, u32>,
    first_requested: MonoMs,
    last_requested: MonoMs,
}

impl PendingLoad {
    /// Whether a further copy of a resident adapter is requested.
    pub(super) fn is_copy(&self) -> bool {
        self.demand.copy
    }
}

impl Planner {
    /// Records that requests of a VM wait for `model`, or withdraws the VM's load request if none
    /// does.
    pub fn request_load(
        &mut self,
        model: &ModelName,
        vm: &VmName,
        demand: LoadDemand,
        now: MonoMs,
    ) {
        if demand.waiting == 0 {
            return self.withdraw_request(model, vm);
        }
        let pending = self
            .pending_loads
            .entry(model.clone())
            .or_insert_with(|| PendingLoad {
                demand,
                waiting: HashMap::new(),
                first_requested: now,
                last_requested: now,
            });
        pending.last_requested = now;
        pending.waiting.insert(vm.clone(), demand.waiting);
        pending.demand.waiting = pending.waiting.values().sum();
        pending.demand.copy |= demand.copy;
        pending.demand.priority = pending.demand.priority.min(demand.priority);
    }

    /// Withdraws a VM's load request, and drops the pending load if no other VM requests it.
    fn withdraw_request(&mut self, model: &ModelName, vm: &VmName) {
        let Some(pending) = self.pending_loads.get_mut(model) else {
            return;
        };
        pending.waiting.remove(vm);
        pending.demand.waiting = pending.waiting.values().sum();
        if pending.waiting.is_empty() {
            self.pending_loads.shift_remove(model);
        }
    }

    /// Records that another data centre loads `model`. The VMs that wait for it are notified as
    /// well.
    pub fn note_remote_load(&mut self, model: &ModelName, now: MonoMs) {
        if self.config.mechanisms.is_enabled(Mechanism::RemoteLoads) {
            self.remote_loads.insert(model.clone(), now);
        }
    }

    pub(super) fn plan_pending_loads(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        let request_ttl_ms = self.config.request_ttl_ms;
        self.pending_loads
            .retain(|_, pending| now.since(pending.last_requested) < request_ttl_ms);
        let pending_loads = self.most_urgent(now);
        if self
            .config
            .mechanisms
            .is_enabled(Mechanism::AdaptiveLoadLimit)
        {
            self.load_limiter.adjust(!pending_loads.is_empty(), now);
        }
        if self.pending_loads.is_empty() {
            self.slot_wait.note_no_demand(now);
        }
        self.remote_loads
            .retain(|_, began| now.since(*began) < REMOTE_LOAD_MS);
        let lacks_slots = self.lacks_slots();
        for (model, demand) in pending_loads {
            if demand.copy && lacks_slots {
                continue;
            }
            if !demand.copy && self.remote_loads.contains_key(&model) {
                self.pending_loads.shift_remove(&model);
                continue;
            }
            let holders = self.holders(&model);
            if holders > 0 && !(demand.copy && self.needs_copy(&model, now)) {
                self.pending_loads.shift_remove(&model);
                continue;
            }
            if let Some(action) = self.plan_load(&model, now) {
                if matches!(&action, SlotAction::Order(order) if order.load) {
                    self.pending_loads.shift_remove(&model);
                    self.slot_wait.note_load(now);
                }
                actions.push(action);
            }
        }
    }

    /// The most urgent pending loads. Further ones would find no capacity.
    fn most_urgent(&self, now: MonoMs) -> Vec<(ModelName, LoadDemand)> {
        let mut ranked: Vec<_> = self
            .pending_loads
            .iter()
            .map(|(model, pending)| (self.urgency(pending, now), model, pending.demand))
            .collect();
        if ranked.len() > MAX_PLANNED_LOADS {
            ranked.select_nth_unstable_by_key(MAX_PLANNED_LOADS, |(urgency, ..)| *urgency);
            ranked.truncate(MAX_PLANNED_LOADS);
        }
        ranked.sort_by_key(|(urgency, ..)| *urgency);
        ranked
            .into_iter()
            .map(|(_, model, demand)| (model.clone(), demand))
            .collect()
    }

    /// Sort key of pending loads: by priority, copies after first loads, then by the number of
    /// requests that the load serves, then those that may still be in time, oldest first, and
    /// finally the others, newest first.
    fn urgency(&self, pending: &PendingLoad, now: MonoMs) -> (u8, bool, Reverse<u32>, bool, i64) {
        let age_ms = now.since(pending.first_requested);
        let is_late = age_ms > self.config.timely_ms;
        let age_ms = age_ms.cast_signed();
        let order = if is_late { age_ms } else { -age_ms };
        let LoadDemand {
            waiting,
            priority,
            copy,
        } = pending.demand;
        let waiting = match self.config.mechanisms.is_enabled(Mechanism::DemandOrder) {
            true => waiting,
            false => 0,
        };
        (priority, copy, Reverse(waiting), is_late, order)
    }

    fn idle_time(&self) -> IdleTime {
        let max_ms = self.config.frequent_idle_ms;
        let min_ms = match self.config.mechanisms.is_enabled(Mechanism::EarlyRelease) {
            true => self.config.single_use_idle_ms,
            false => max_ms,
        };
        IdleTime { min_ms, max_ms }
    }

    /// Number of loads from the weight store in progress.
    pub(super) fn store_loads(&self, now: MonoMs) -> usize {
        let loads = self.engines.values().map(|engine| engine.store_loads(now));
        loads.sum()
    }

    /// Number of engines that hold or load `model`.
    fn holders(&self, model: &ModelName) -> usize {
        let holds = |engine: &&Engine| {
            let slot = engine.slots.get(model);
            slot.is_some_and(|slot| slot.phase.is_usable())
        };
        self.engines.values().filter(holds).count()
    }

    /// Plans the next order towards loading `model` on a further engine: a load, or an unload that
    /// frees a slot.
    fn plan_load(&mut self, model: &ModelName, now: MonoMs) -> Option<SlotAction> {
        let names = ranked(model, self.engines.keys());
        let mut candidates: Vec<ServerName> = names
            .into_iter()
            .filter(|name| self.is_candidate(name, model))
            .cloned()
            .collect();
        if self.waits_for_reload(model, now) {
            candidates.retain(|name| self.held_recently(name, model));
        }
        candidates.sort_by_key(|name| {
            let engine = &self.engines[name];
            let is_new = !engine.recent.contains(model);
            let backlog_steps = engine.backlog_steps();
            (
                engine.is_crowded(),
                is_new,
                backlog_steps,
                engine.occupancy_quarters(),
            )
        });
        self.plan_load_on(&candidates, model, now)
    }

    fn held_recently(&self, server: &ServerName, model: &ModelName) -> bool {
        let engine = &self.engines[server];
        engine.recent.contains(model)
    }

    /// Whether `model` waits for a slot on an engine that held it recently. A reload there is so
    /// much faster that a short wait is worthwhile.
    fn waits_for_reload(&self, model: &ModelName, now: MonoMs) -> bool {
        let is_young = self
            .pending_loads
            .get(model)
            .is_some_and(|pending| now.since(pending.first_requested) < self.config.reload_wait_ms);
        let mut candidates = self.engines.keys();
        is_young
            && self.config.mechanisms.is_enabled(Mechanism::LoadHistory)
            && candidates
                .any(|name| self.is_candidate(name, model) && self.held_recently(name, model))
    }

    /// Plans the next order towards loading `model` on the first of `candidates` that can take it.
    pub(super) fn plan_load_on(
        &mut self,
        candidates: &[ServerName],
        model: &ModelName,
        now: MonoMs,
    ) -> Option<SlotAction> {
        let store_is_busy = self.store_loads(now) >= self.load_limiter.limit(self.engines.len());
        for server in candidates {
            let engine = &self.engines[server];
            let is_reload = engine.recent.contains(model);
            if store_is_busy && !is_reload || engine.loading(now) >= self.config.loads_per_engine {
                continue;
            }
            if engine.pause_until > now {
                continue;
            }
            if engine.has_open_order && now.since(engine.last_order) < ANSWER_TIMEOUT_MS {
                // Waiting for the response is shorter than a load on another engine.
                return None;
            }
            if engine.has_open_order || engine.unresolved.is_some() {
                continue;
            }
            if engine.free_slots() > 0 {
                return self.order_load(server, model, now);
            }
            if let Some((victim, _)) = engine.victim(&self.idle_time(), now) {
                return self.order_unload(server, &victim, now);
            }
        }
        None
    }
}
