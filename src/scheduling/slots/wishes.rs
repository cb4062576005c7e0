//! Adapters that requests wait for: which of them get a load, on which engine, and what makes way.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::engine::Engine;
use super::engine::IdleTime;
use super::planner::Planner;
use super::rank::ranked;
use super::types::SlotAction;
use super::types::Wanted;
use crate::mechanisms::Mechanism;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Time after which an engine that has not answered an order counts as one that may not: more than a
/// connection and a round trip to another region.
const ANSWER_DUE_MS: u64 = 150;
/// Time for which an adapter that another data centre began to load is not loaded here too. A VM that
/// still asks for it afterwards cannot use it there.
const ELSEWHERE_MS: u64 = 1_500;
/// Wishes that one plan looks at: several times the loads that may be under way in a data centre.
const MAX_PLANNED_WISHES: usize = 96;

#[derive(Clone, Debug)]
pub(super) struct Want {
    pub(super) wanted: Wanted,
    /// Waiting requests by VM.
    waiting: HashMap<VmName, u32>,
    since: MonoMs,
    asked: MonoMs,
}

impl Want {
    /// Whether only further copies are asked for.
    pub(super) fn is_copy(&self) -> bool {
        self.wanted.copy
    }
}

impl Planner {
    /// Notes that requests of a VM wait for `model`.
    pub fn want(&mut self, model: &ModelName, vm: &VmName, wanted: Wanted, now: MonoMs) {
        if wanted.waiting == 0 {
            return self.withdraw(model, vm);
        }
        let want = self.wants.entry(model.clone()).or_insert_with(|| Want {
            wanted,
            waiting: HashMap::new(),
            since: now,
            asked: now,
        });
        want.asked = now;
        want.waiting.insert(vm.clone(), wanted.waiting);
        want.wanted.waiting = want.waiting.values().sum();
        want.wanted.copy |= wanted.copy;
        want.wanted.priority = want.wanted.priority.min(wanted.priority);
    }

    /// Drops the wish of a VM, and the adapter's if no other VM has one.
    fn withdraw(&mut self, model: &ModelName, vm: &VmName) {
        let Some(want) = self.wants.get_mut(model) else {
            return;
        };
        want.waiting.remove(vm);
        want.wanted.waiting = want.waiting.values().sum();
        if want.waiting.is_empty() {
            self.wants.shift_remove(model);
        }
    }

    /// Notes that another data centre loads `model`. The VMs that wait for it learn the same.
    pub fn loads_elsewhere(&mut self, model: &ModelName, now: MonoMs) {
        if self.config.mechanisms.has(Mechanism::LoadsElsewhere) {
            self.elsewhere.insert(model.clone(), now);
        }
    }

    pub(super) fn serve_wants(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        let want_ms = self.config.want_ms;
        self.wants.retain(|_, want| now.since(want.asked) < want_ms);
        let wants = self.most_urgent(now);
        if self.config.mechanisms.has(Mechanism::StorePace) {
            self.pace.step(!wants.is_empty(), now);
        }
        if self.wants.is_empty() {
            self.turnover.idle(now);
        }
        self.elsewhere
            .retain(|_, began| now.since(*began) < ELSEWHERE_MS);
        let lacks_places = self.lacks_places();
        for (model, wanted) in wants {
            if wanted.copy && lacks_places {
                continue;
            }
            if !wanted.copy && self.elsewhere.contains_key(&model) {
                self.wants.shift_remove(&model);
                continue;
            }
            let holders = self.holders(&model);
            if holders > 0 && !(wanted.copy && self.needs_copy(&model, now)) {
                self.wants.shift_remove(&model);
                continue;
            }
            if let Some(action) = self.make_room(&model, now) {
                if matches!(&action, SlotAction::Order(order) if order.load) {
                    self.wants.shift_remove(&model);
                    self.turnover.loads(now);
                }
                actions.push(action);
            }
        }
    }

    /// The wishes that come first. The others would find no room behind them.
    fn most_urgent(&self, now: MonoMs) -> Vec<(ModelName, Wanted)> {
        let mut ranked: Vec<_> = self
            .wants
            .iter()
            .map(|(model, want)| (self.urgency(want, now), model, want.wanted))
            .collect();
        if ranked.len() > MAX_PLANNED_WISHES {
            ranked.select_nth_unstable_by_key(MAX_PLANNED_WISHES, |(urgency, ..)| *urgency);
            ranked.truncate(MAX_PLANNED_WISHES);
        }
        ranked.sort_by_key(|(urgency, ..)| *urgency);
        let wishes = ranked.into_iter();
        wishes
            .map(|(_, model, wanted)| (model.clone(), wanted))
            .collect()
    }

    /// Order in which wishes are served: by rank, then by the number of requests that one load
    /// serves, then those that may still be in time, the oldest first, and at last the others, the
    /// newest first.
    fn urgency(&self, want: &Want, now: MonoMs) -> (u8, bool, Reverse<u32>, bool, i64) {
        let age_ms = now.since(want.since);
        let is_late = age_ms > self.config.prompt_ms;
        let age_ms = age_ms.cast_signed();
        let order = if is_late { age_ms } else { -age_ms };
        let Wanted {
            waiting,
            priority,
            copy,
        } = want.wanted;
        let waiting = match self.config.mechanisms.has(Mechanism::ManyFirst) {
            true => waiting,
            false => 0,
        };
        (priority, copy, Reverse(waiting), is_late, order)
    }

    fn idle_time(&self) -> IdleTime {
        let most_ms = self.config.victim_idle_ms;
        let least_ms = match self.config.mechanisms.has(Mechanism::EarlyRelease) {
            true => self.config.once_idle_ms,
            false => most_ms,
        };
        IdleTime { least_ms, most_ms }
    }

    /// Loads from the store that are under way.
    pub(super) fn store_loads(&self, now: MonoMs) -> usize {
        let loads = self.engines.values().map(|engine| engine.store_loads(now));
        loads.sum()
    }

    /// Engines that hold or load `model`.
    fn holders(&self, model: &ModelName) -> usize {
        let holds = |engine: &&Engine| {
            let place = engine.places.get(model);
            place.is_some_and(|place| place.phase.is_usable())
        };
        self.engines.values().filter(holds).count()
    }

    /// The next order towards having `model` on one more engine.
    fn make_room(&mut self, model: &ModelName, now: MonoMs) -> Option<SlotAction> {
        let names = ranked(model, self.engines.keys());
        let mut candidates: Vec<ServerName> = names
            .into_iter()
            .filter(|name| self.is_candidate(name, model))
            .cloned()
            .collect();
        if self.waits_to_return(model, now) {
            candidates.retain(|name| self.had_lately(name, model));
        }
        candidates.sort_by_key(|name| {
            let engine = &self.engines[name];
            let is_new = !engine.recent.contains(model);
            let steps_behind = engine.steps_behind();
            (
                engine.is_crowded(),
                is_new,
                steps_behind,
                engine.quarters_taken(),
            )
        });
        self.make_room_on(&candidates, model, now)
    }

    fn had_lately(&self, server: &ServerName, model: &ModelName) -> bool {
        let engine = &self.engines[server];
        engine.recent.contains(model)
    }

    /// Whether `model` waits for a place on an engine that had it lately: a load there is so much faster
    /// that a short wait pays.
    fn waits_to_return(&self, model: &ModelName, now: MonoMs) -> bool {
        let is_young = self
            .wants
            .get(model)
            .is_some_and(|want| now.since(want.since) < self.config.return_ms);
        let mut candidates = self.engines.keys();
        is_young
            && self.config.mechanisms.has(Mechanism::LoadMemory)
            && candidates.any(|name| self.is_candidate(name, model) && self.had_lately(name, model))
    }

    /// The next order towards having `model` on the first of `candidates` that can take it.
    pub(super) fn make_room_on(
        &mut self,
        candidates: &[ServerName],
        model: &ModelName,
        now: MonoMs,
    ) -> Option<SlotAction> {
        let store_is_busy = self.store_loads(now) >= self.pace.limit(self.engines.len());
        for server in candidates {
            let engine = &self.engines[server];
            let is_reload = engine.recent.contains(model);
            if store_is_busy && !is_reload || engine.loading(now) >= self.config.loads_per_engine {
                continue;
            }
            if engine.pause_until > now {
                continue;
            }
            if engine.has_open_order && now.since(engine.last_order) < ANSWER_DUE_MS {
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
