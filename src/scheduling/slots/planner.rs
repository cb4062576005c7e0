//! Decides which adapter to load on which engine and what makes way for it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

use indexmap::IndexMap;

use super::engine::Engine;
use super::engine::EngineInfo;
use super::engine::IdleTime;
use super::engine::Phase;
use super::pace::Pace;
use super::rank::ranked;
use super::turnover::Turnover;
use super::types::Presence;
use super::types::SlotAction;
use super::types::SlotOrder;
use super::types::SlotsConfig;
use super::types::Summary;
use super::types::Use;
use super::types::Wanted;
use crate::mechanisms::Mechanism;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Time that a load is expected to last that an engine says has not ended yet.
const LOAD_AGAIN_MS: u64 = 40;

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
    wanted: Wanted,
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

/// The planner of one data centre's engines.
#[derive(Debug)]
pub struct Planner {
    pub(super) config: SlotsConfig,
    pub(super) engines: IndexMap<ServerName, Engine>,
    pub(super) wants: IndexMap<ModelName, Want>,
    pub(super) versions: BTreeMap<ModelName, (u64, MonoMs)>,
    /// When other data centres last began to load an adapter.
    elsewhere: HashMap<ModelName, MonoMs>,
    pub(super) pace: Pace,
    /// When the last load of a base model was ordered.
    pub(super) base_ordered: Option<MonoMs>,
    pub(super) news: Vec<Presence>,
    pub(super) turnover: Turnover,
}

impl Planner {
    /// A planner that knows no engines.
    pub fn new(config: SlotsConfig) -> Self {
        Self {
            config,
            engines: IndexMap::new(),
            wants: IndexMap::new(),
            versions: BTreeMap::new(),
            elsewhere: HashMap::new(),
            pace: Pace::new(config.load_ms),
            base_ordered: None,
            news: Vec::new(),
            turnover: Turnover::default(),
        }
    }

    /// Adds or updates an engine. A later process of it starts empty.
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

    /// Forgets an engine.
    pub fn remove_engine(&mut self, server: &ServerName) {
        if let Some(engine) = self.engines.shift_remove(server) {
            let gone = engine.places.into_keys();
            self.news
                .extend(gone.map(|model| (server.clone(), model, 0, None)));
        }
    }

    /// Names of all engines.
    pub fn engines(&self) -> impl Iterator<Item = &ServerName> {
        self.engines.keys()
    }

    /// Sets the versions that were named.
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

    /// Notes that requests of a VM wait for `model`.
    pub fn want(&mut self, model: &ModelName, vm: &VmName, wanted: Wanted, now: MonoMs) {
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

    /// Notes that another data centre loads `model`. The VMs that wait for it learn the same.
    pub fn loads_elsewhere(&mut self, model: &ModelName, now: MonoMs) {
        if self.config.mechanisms.has(Mechanism::LoadsElsewhere) {
            self.elsewhere.insert(model.clone(), now);
        }
    }

    /// Counts the use of an adapter by one VM.
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
        let Some(place) = engine.places.get_mut(model) else {
            return;
        };
        place.note_use(vm, &used, now);
        if place.is_confirmed || !place.phase.is_usable() {
            return;
        }
        if used.is_answered {
            place.is_confirmed = true;
            if place.tells_store_time() {
                self.pace.at_most(now.since(place.ordered));
            }
            return;
        }
        let Some(age_ms) = used.early_age_ms else {
            return;
        };
        let refused_after_ms = now.since(place.ordered).saturating_sub(age_ms.into());
        if refused_after_ms == 0 {
            return;
        }
        if place.tells_store_time() {
            self.pace.at_least(refused_after_ms);
        }
        if place.phase == Phase::Ready {
            let ready = now.plus(LOAD_AGAIN_MS);
            place.phase = Phase::Loading { ready };
            let version = place.version;
            self.news
                .push((server.clone(), model.clone(), version, Some(ready)));
        }
    }

    /// Forgets the requests in flight of a VM that is gone.
    pub fn forget_vm(&mut self, vm: &VmName) {
        for engine in self.engines.values_mut() {
            for place in engine.places.values_mut() {
                place.in_flight.remove(vm);
            }
        }
    }

    /// Changes of residency since the last call.
    pub fn take_news(&mut self) -> Vec<Presence> {
        std::mem::take(&mut self.news)
    }

    /// The whole residency.
    pub fn residency(&self) -> Vec<Presence> {
        let mut all = Vec::new();
        for (server, engine) in &self.engines {
            for (model, place) in &engine.places {
                all.push((server.clone(), model.clone(), place.version, place.ready()));
            }
        }
        all
    }

    /// What is to be done now.
    pub fn plan(&mut self, now: MonoMs) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        self.finish_loads(now);
        self.repeat_unresolved(now, &mut actions);
        actions.extend(self.load_base(now));
        self.renew_versions(now, &mut actions);
        self.serve_wants(now, &mut actions);
        self.relieve(now, &mut actions);
        self.ask_reports(now, &mut actions);
        actions
    }

    /// Engines that hold or load `model`.
    pub fn presence(&self, model: &ModelName) -> Vec<Presence> {
        let held = self.engines.iter().filter_map(|(server, engine)| {
            let place = engine.places.get(model).filter(|place| !place.is_doubted)?;
            let ready = place.ready()?;
            Some((server.clone(), model.clone(), place.version, Some(ready)))
        });
        held.collect()
    }

    /// Reports that are to be asked for while no orders may be given yet.
    pub fn plan_reports(&mut self, now: MonoMs) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        self.ask_reports(now, &mut actions);
        actions
    }

    /// Figures for logs.
    pub fn summary(&self, now: MonoMs) -> Summary {
        let engines = self.engines.values();
        Summary {
            engines: self.engines.len(),
            unknown: engines
                .clone()
                .filter(|engine| engine.sequence.is_none())
                .count(),
            adapters: engines.map(|engine| engine.places.len()).sum(),
            store_loads: self.store_loads(now),
            store_limit: self.pace.limit(self.engines.len()),
            load_ms: self.pace.load_ms(),
            wanted: self.wants.len(),
        }
    }

    fn finish_loads(&mut self, now: MonoMs) {
        for engine in self.engines.values_mut() {
            for place in engine.places.values_mut() {
                if matches!(place.phase, Phase::Loading { ready } if ready <= now) {
                    place.phase = Phase::Ready;
                    // The requests that wait for it are on their way.
                    place.last_used = now;
                }
            }
        }
    }

    /// Gives orders without an answer again. All copies of an order expect the same sequence, so at
    /// most one of them is carried out.
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

    /// Sets the time between two loads of base models.
    pub fn set_base_interval(&mut self, base_every_ms: u64) {
        self.config.base_every_ms = base_every_ms;
    }

    /// Loads a base model on an engine that holds none: the one whose adapters are waited for most.
    fn load_base(&mut self, now: MonoMs) -> Option<SlotAction> {
        let last = self.base_ordered;
        if last.is_some_and(|last| now.since(last) < self.config.base_every_ms) {
            return None;
        }
        let waiting = |base: &ModelName| -> u32 {
            let wants = self.wants.iter();
            let of_base =
                wants.filter(|(model, _)| model.as_str().split('/').next() == Some(base.as_str()));
            of_base.map(|(_, want)| want.wanted.waiting).sum()
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

    /// Replaces adapters whose version is older than the one named. One in use gets no new requests
    /// first: an order would keep the engine from others until its runs have ended.
    fn renew_versions(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        let mut due = Vec::new();
        for (server, engine) in &mut self.engines {
            for (model, place) in &mut engine.places {
                let named = self.versions.get(model);
                let is_old = named.is_some_and(|(version, _)| place.version < *version);
                if is_old && place.phase == Phase::Ready {
                    place.phase = Phase::Retiring;
                    place.retired = now;
                    let version = place.version;
                    self.news
                        .push((server.clone(), model.clone(), version, None));
                }
            }
            if !engine.takes_orders(now) {
                continue;
            }
            let rest_ms = self.config.retire_ms;
            let idle = engine.places.iter().find(|(_, place)| {
                let has_rested = now.since(place.retired) >= rest_ms;
                place.phase == Phase::Retiring && !place.is_used() && has_rested
            });
            if let Some((model, _)) = idle {
                due.push((server.clone(), model.clone()));
            }
        }
        for (server, model) in due {
            actions.extend(self.order_load(&server, &model, now));
        }
    }

    fn serve_wants(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
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
    fn store_loads(&self, now: MonoMs) -> usize {
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
