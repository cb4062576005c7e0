//! What is known of the engines of a data centre, and the order of the steps of a plan.

use std::collections::BTreeMap;
use std::collections::HashMap;

use indexmap::IndexMap;

use super::engine::Engine;
use super::engine::EngineInfo;
use super::engine::Phase;
use super::pace::Pace;
use super::turnover::Turnover;
use super::types::Presence;
use super::types::SlotAction;
use super::types::SlotOrder;
use super::types::SlotsConfig;
use super::types::Summary;
use super::types::Use;
use super::wishes::Want;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Time that a load is expected to last that an engine says has not ended yet.
const LOAD_AGAIN_MS: u64 = 40;

/// The planner of one data centre's engines.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(super) config: SlotsConfig,
    pub(super) engines: IndexMap<ServerName, Engine>,
    pub(super) wants: IndexMap<ModelName, Want>,
    pub(super) versions: BTreeMap<ModelName, (u64, MonoMs)>,
    /// When other data centres last began to load an adapter.
    pub(super) elsewhere: HashMap<ModelName, MonoMs>,
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
                if let Phase::Loading { ready } = place.phase
                    && ready <= now
                {
                    place.phase = Phase::Ready;
                    // The requests that wait for it are on their way.
                    place.last_used = place.last_used.max(ready);
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
}
