//! Adapters that requests wait for: which of them get a load, on which engine, and what makes way.

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

/// Time after which an engine that has not answered an order counts as one that may not: more than a
/// connection and a round trip to another region.
const ANSWER_TIMEOUT_MS: u64 = 150;
/// Time for which an adapter that another data centre began to load is not loaded here too. A VM that
/// still asks for it afterwards cannot use it there.
const REMOTE_LOAD_MS: u64 = 1_500;
/// Wishes that one plan looks at: several times the loads that may be under way in a data centre.
const MAX_PLANNED_LOADS: usize = 96;

#[derive(Clone, Debug)]
pub(super) struct PendingLoad {
    pub(super) wanted: LoadDemand,
    /// Waiting requests by VM.
    waiting: HashMap<VmName, u32>,
    since: MonoMs,
    asked: MonoMs,
}

impl PendingLoad {
    /// Whether only further copies are asked for.
    pub(super) fn is_copy(&self) -> bool {
        self.wanted.copy
    }
}

impl Planner {
    /// Notes that requests of a VM wait for `model`.
    pub fn request_load(
        &mut self,
        model: &ModelName,
        vm: &VmName,
        wanted: LoadDemand,
        now: MonoMs,
    ) {
        if wanted.waiting == 0 {
            return self.withdraw_request(model, vm);
        }
        let pending = self
            .pending_loads
            .entry(model.clone())
            .or_insert_with(|| PendingLoad {
                wanted,
                waiting: HashMap::new(),
                since: now,
                asked: now,
            });
        pending.asked = now;
        pending.waiting.insert(vm.clone(), wanted.waiting);
        pending.wanted.waiting = pending.waiting.values().sum();
        pending.wanted.copy |= wanted.copy;
        pending.wanted.priority = pending.wanted.priority.min(wanted.priority);
    }

    /// Drops the wish of a VM, and the adapter's if no other VM has one.
    fn withdraw_request(&mut self, model: &ModelName, vm: &VmName) {
        let Some(pending) = self.pending_loads.get_mut(model) else {
            return;
        };
        pending.waiting.remove(vm);
        pending.wanted.waiting = pending.waiting.values().sum();
        if pending.waiting.is_empty() {
            self.pending_loads.shift_remove(model);
        }
    }

    /// Notes that another data centre loads `model`. The VMs that wait for it learn the same.
    pub fn note_remote_load(&mut self, model: &ModelName, now: MonoMs) {
        if self.config.mechanisms.has(Mechanism::LoadsElsewhere) {
            self.remote_loads.insert(model.clone(), now);
        }
    }

    pub(super) fn plan_pending_loads(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        let request_ttl_ms = self.config.request_ttl_ms;
        self.pending_loads
            .retain(|_, pending| now.since(pending.asked) < request_ttl_ms);
        let pending_loads = self.most_urgent(now);
        if self.config.mechanisms.has(Mechanism::StorePace) {
            self.load_limiter.adjust(!pending_loads.is_empty(), now);
        }
        if self.pending_loads.is_empty() {
            self.slot_wait.note_no_demand(now);
        }
        self.remote_loads
            .retain(|_, began| now.since(*began) < REMOTE_LOAD_MS);
        let lacks_slots = self.lacks_slots();
        for (model, wanted) in pending_loads {
            if wanted.copy && lacks_slots {
                continue;
            }
            if !wanted.copy && self.remote_loads.contains_key(&model) {
                self.pending_loads.shift_remove(&model);
                continue;
            }
            let holders = self.holders(&model);
            if holders > 0 && !(wanted.copy && self.needs_copy(&model, now)) {
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

    /// The load_requests that come first. The others would find no room behind them.
    fn most_urgent(&self, now: MonoMs) -> Vec<(ModelName, LoadDemand)> {
        let mut ranked: Vec<_> = self
            .pending_loads
            .iter()
            .map(|(model, pending)| (self.urgency(pending, now), model, pending.wanted))
            .collect();
        if ranked.len() > MAX_PLANNED_LOADS {
            ranked.select_nth_unstable_by_key(MAX_PLANNED_LOADS, |(urgency, ..)| *urgency);
            ranked.truncate(MAX_PLANNED_LOADS);
        }
        ranked.sort_by_key(|(urgency, ..)| *urgency);
        let load_requests = ranked.into_iter();
        load_requests
            .map(|(_, model, wanted)| (model.clone(), wanted))
            .collect()
    }

    /// Order in which load_requests are served: by rank, then by the number of requests that one load
    /// serves, then those that may still be in time, the oldest first, and at last the others, the
    /// newest first.
    fn urgency(&self, pending: &PendingLoad, now: MonoMs) -> (u8, bool, Reverse<u32>, bool, i64) {
        let age_ms = now.since(pending.since);
        let is_late = age_ms > self.config.timely_ms;
        let age_ms = age_ms.cast_signed();
        let order = if is_late { age_ms } else { -age_ms };
        let LoadDemand {
            waiting,
            priority,
            copy,
        } = pending.wanted;
        let waiting = match self.config.mechanisms.has(Mechanism::ManyFirst) {
            true => waiting,
            false => 0,
        };
        (priority, copy, Reverse(waiting), is_late, order)
    }

    fn idle_time(&self) -> IdleTime {
        let max_ms = self.config.frequent_idle_ms;
        let min_ms = match self.config.mechanisms.has(Mechanism::EarlyRelease) {
            true => self.config.single_use_idle_ms,
            false => max_ms,
        };
        IdleTime { min_ms, max_ms }
    }

    /// Loads from the store that are under way.
    pub(super) fn store_loads(&self, now: MonoMs) -> usize {
        let loads = self.engines.values().map(|engine| engine.store_loads(now));
        loads.sum()
    }

    /// Engines that hold or load `model`.
    fn holders(&self, model: &ModelName) -> usize {
        let holds = |engine: &&Engine| {
            let slot = engine.slots.get(model);
            slot.is_some_and(|slot| slot.phase.is_usable())
        };
        self.engines.values().filter(holds).count()
    }

    /// The next order towards having `model` on one more engine.
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

    /// Whether `model` waits for a slot on an engine that had it lately: a load there is so much faster
    /// that a short wait pays.
    fn waits_for_reload(&self, model: &ModelName, now: MonoMs) -> bool {
        let is_young = self
            .pending_loads
            .get(model)
            .is_some_and(|pending| now.since(pending.since) < self.config.reload_wait_ms);
        let mut candidates = self.engines.keys();
        is_young
            && self.config.mechanisms.has(Mechanism::LoadMemory)
            && candidates
                .any(|name| self.is_candidate(name, model) && self.held_recently(name, model))
    }

    /// The next order towards having `model` on the first of `candidates` that can take it.
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
                // A round trip is shorter than a load somewhere else.
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
