//! Decides which adapter to load on which engine and what makes way for it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

use indexmap::IndexMap;
use serde::Serialize;

use super::engine::Engine;
use super::engine::EngineInfo;
use super::engine::EngineReport;
use super::engine::Phase;
use super::engine::Place;
use super::pace::Pace;
use super::rank::ranked;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Figures of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotsConfig {
    /// Adapters that may be on their way to one engine.
    pub loads_per_engine: usize,
    /// Expected time of a load from the store before the first one was seen.
    pub load_ms: u64,
    /// Expected time of a load of an adapter that the engine held recently.
    pub reload_ms: u64,
    /// Time without use after which an adapter may make way.
    pub victim_idle_ms: u64,
    /// Time after which nobody waits any more for an adapter that was asked for.
    pub want_ms: u64,
    /// Age up to which a wish comes before older ones: its requests may still be answered in time.
    pub prompt_ms: u64,
    /// Time between two reports of a quiet engine.
    pub report_every_ms: u64,
    /// Time between two reports of an engine whose loads have not been seen to end.
    pub confirm_every_ms: u64,
    /// Time without orders after an engine met one with a conflict.
    pub conflict_pause_ms: u64,
    /// Age of the state that a report shows.
    pub report_lag_ms: u64,
    /// Time after which all VMs know that an adapter gets no new requests, and have told its use.
    pub retire_ms: u64,
}

impl Default for SlotsConfig {
    fn default() -> Self {
        Self {
            loads_per_engine: 4,
            load_ms: 250,
            reload_ms: 25,
            victim_idle_ms: 300,
            want_ms: 800,
            prompt_ms: 350,
            report_every_ms: 4_000,
            confirm_every_ms: 250,
            conflict_pause_ms: 60,
            report_lag_ms: 600,
            retire_ms: 400,
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotOrder {
    /// The engine.
    pub server: ServerName,
    /// Start of the engine's process that the order is for.
    pub started_unix_ms: u64,
    /// The adapter.
    pub model: ModelName,
    /// Whether it is loaded or dropped.
    pub load: bool,
    /// Version to load; 0 for the newest.
    pub version: u64,
    /// Orders that the engine must have accepted so far.
    pub expected_sequence: u64,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotAction {
    /// Give an order.
    Order(SlotOrder),
    /// Ask an engine for its report.
    Report(ServerName),
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// The engine's state is already as ordered.
    Holds,
    /// Another order is in progress, or the sequence differs.
    Conflict,
    /// The engine knows a higher fence, or is another process.
    Refused,
    /// No answer; the order may be carried out now, later or never.
    Unknown,
}

/// An adapter that requests wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// Requests that wait.
    pub waiting: u32,
    /// Rank of the most urgent one, 0 first.
    pub priority: u8,
    /// Whether the engines that hold it are full.
    pub copy: bool,
}

/// Use of an adapter as a VM reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Use {
    /// Requests in flight now.
    pub in_flight: u32,
    /// Requests sent since the last report.
    pub sent: u32,
    /// Whether one of them came before the adapter was there.
    pub is_early: bool,
}

/// Time that a load is expected to last that should have ended or was begun by another holder.
const LOAD_LEFT_MS: u64 = 80;
/// Conflicts in a row after which an engine's sequence is read from its report.
const CONFLICTS_OUT_OF_STEP: u32 = 4;

/// A change of residency: engine, adapter, version and the time from which it can be used.
pub type Presence = (ServerName, ModelName, u64, Option<MonoMs>);

/// Figures for logs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Summary {
    /// Engines.
    pub engines: usize,
    /// Engines whose state is not known yet.
    pub unknown: usize,
    /// Adapters that engines hold or load.
    pub adapters: usize,
    /// Loads from the store that are under way.
    pub store_loads: usize,
    /// Loads from the store that may be under way.
    pub store_limit: usize,
    /// Expected time of a load from the store.
    pub load_ms: u64,
    /// Adapters that requests wait for.
    pub wanted: usize,
}

#[derive(Clone, Debug)]
struct Want {
    wanted: Wanted,
    /// Waiting requests by VM.
    waiting: HashMap<VmName, u32>,
    since: MonoMs,
    asked: MonoMs,
}

/// The planner of one data centre's engines.
#[derive(Debug)]
pub struct Planner {
    config: SlotsConfig,
    engines: IndexMap<ServerName, Engine>,
    wants: IndexMap<ModelName, Want>,
    versions: BTreeMap<ModelName, (u64, MonoMs)>,
    pace: Pace,
    news: Vec<Presence>,
}

impl Planner {
    /// A planner that knows no engines.
    pub fn new(config: SlotsConfig) -> Self {
        Self {
            config,
            engines: IndexMap::new(),
            wants: IndexMap::new(),
            versions: BTreeMap::new(),
            pace: Pace::new(config.load_ms),
            news: Vec::new(),
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

    /// Counts the use of an adapter by one VM.
    pub fn note_use(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        vm: &VmName,
        used: Use,
        now: MonoMs,
    ) {
        let place = self
            .engines
            .get_mut(server)
            .and_then(|engine| engine.places.get_mut(model));
        let Some(place) = place else {
            return;
        };
        place.note_use(vm, used.in_flight, used.sent, now);
        if !used.is_early
            && used.in_flight > 0
            && !place.is_confirmed
            && place.phase == Phase::Ready
        {
            place.is_confirmed = true;
            if place.is_from_store {
                self.pace.at_most(now.since(place.ordered));
            }
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
        self.renew_versions(now, &mut actions);
        self.serve_wants(now, &mut actions);
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
        let mut wants: Vec<(ModelName, Want)> = self
            .wants
            .iter()
            .map(|(model, want)| (model.clone(), want.clone()))
            .collect();
        wants.sort_by_key(|(_, want)| self.urgency(want, now));
        self.pace.step(!wants.is_empty(), now);
        for (model, want) in wants {
            let holders = self.holders(&model);
            if holders > 0 && !want.wanted.copy {
                self.wants.shift_remove(&model);
                continue;
            }
            if let Some(action) = self.make_room(&model, now) {
                if matches!(&action, SlotAction::Order(order) if order.load) {
                    self.wants.shift_remove(&model);
                }
                actions.push(action);
            }
        }
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
        (priority, copy, Reverse(waiting), is_late, order)
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
        candidates.sort_by_key(|name| !self.engines[name].recent.contains(model));
        let store_is_busy = self.store_loads(now) >= self.pace.limit(self.engines.len());
        for server in &candidates {
            let engine = &self.engines[server];
            let is_reload = engine.recent.contains(model);
            if store_is_busy && !is_reload || engine.loading(now) >= self.config.loads_per_engine {
                continue;
            }
            if engine.pause_until > now {
                continue;
            }
            if engine.has_open_order {
                // A round trip is shorter than a load somewhere else.
                return None;
            }
            if engine.unresolved.is_some() {
                continue;
            }
            if engine.free_slots() > 0 {
                return self.order_load(server, model, now);
            }
            if let Some((victim, _)) = engine.victim(self.config.victim_idle_ms, now) {
                return self.order_unload(server, &victim, now);
            }
        }
        None
    }

    fn is_candidate(&self, server: &ServerName, model: &ModelName) -> bool {
        let engine = &self.engines[server];
        engine.holds_base_of(model)
            && engine.sequence.is_some()
            && engine.info.adapter_slots > 0
            && !engine.places.contains_key(model)
    }

    fn order_load(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        now: MonoMs,
    ) -> Option<SlotAction> {
        let version = self.versions.get(model).map_or(0, |(version, _)| *version);
        let ready = now.plus(self.load_time_ms(server, model));
        let engine = self.engines.get_mut(server)?;
        let expected_sequence = engine.sequence?;
        let phase = Phase::Loading { ready };
        let is_from_store = !engine.recent.contains(model);
        let place = engine
            .places
            .entry(model.clone())
            .or_insert_with(|| Place::new(phase, version, now));
        place.phase = phase;
        place.version = version;
        place.is_confirmed = false;
        place.is_from_store = is_from_store;
        place.ordered = now;
        place.is_doubted = false;
        engine.has_open_order = true;
        engine.last_order = now;
        Some(SlotAction::Order(SlotOrder {
            server: server.clone(),
            started_unix_ms: engine.info.started_unix_ms,
            model: model.clone(),
            load: true,
            version,
            expected_sequence,
        }))
    }

    fn load_time_ms(&self, server: &ServerName, model: &ModelName) -> u64 {
        let engine = self.engines.get(server);
        let is_reload = engine.is_some_and(|engine| engine.recent.contains(model));
        match is_reload {
            true => self.config.reload_ms,
            false => self.pace.load_ms(),
        }
    }

    fn order_unload(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        now: MonoMs,
    ) -> Option<SlotAction> {
        let engine = self.engines.get_mut(server)?;
        let expected_sequence = engine.sequence?;
        let place = engine.places.get_mut(model)?;
        place.phase = Phase::Unloading;
        engine.has_open_order = true;
        engine.last_order = now;
        self.news
            .push((server.clone(), model.clone(), place.version, None));
        Some(SlotAction::Order(SlotOrder {
            server: server.clone(),
            started_unix_ms: engine.info.started_unix_ms,
            model: model.clone(),
            load: false,
            version: 0,
            expected_sequence,
        }))
    }

    /// Takes an engine's answer to an order.
    pub fn on_order(&mut self, order: &SlotOrder, outcome: OrderOutcome, now: MonoMs) {
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        if engine.info.started_unix_ms != order.started_unix_ms {
            return;
        }
        engine.has_open_order = false;
        let was_unresolved = engine.unresolved.take().is_some();
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Holds => {
                engine.conflicts = 0;
                self.carried_out(order, outcome, now);
            }
            OrderOutcome::Conflict if was_unresolved => {
                // An earlier copy was carried out, or the engine is busy with another order.
                engine.unresolved = Some(order.clone());
                engine.pause_until = now.plus(self.config.report_lag_ms * 2);
                engine.needs_report = true;
            }
            OrderOutcome::Conflict => {
                engine.conflicts += 1;
                let is_out_of_step = engine.conflicts >= CONFLICTS_OUT_OF_STEP;
                let pause_ms = match is_out_of_step {
                    true => self.config.report_lag_ms * 2,
                    false => self.config.conflict_pause_ms,
                };
                engine.pause_until = now.plus(pause_ms);
                engine.needs_report |= is_out_of_step;
                self.undo(order);
            }
            OrderOutcome::Refused => {
                engine.sequence = None;
                engine.needs_report = true;
                self.undo(order);
            }
            OrderOutcome::Unknown => {
                engine.unresolved = Some(order.clone());
                engine.pause_until = now.plus(self.config.conflict_pause_ms);
                self.announce_load(order, now);
            }
        }
    }

    /// Tells the VMs of a load that may be under way; a request that comes too early is refused.
    fn announce_load(&mut self, order: &SlotOrder, now: MonoMs) {
        if order.load {
            let ready = now.plus(self.load_time_ms(&order.server, &order.model));
            self.news.push((
                order.server.clone(),
                order.model.clone(),
                order.version,
                Some(ready),
            ));
        }
    }

    /// An engine refused a request because the adapter is not there.
    pub fn note_missing(&mut self, server: &ServerName, model: &ModelName) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let place = engine.places.get_mut(model);
        if let Some(place) = place.filter(|place| place.phase == Phase::Ready) {
            place.is_doubted = true;
            engine.needs_report = true;
        }
    }

    fn carried_out(&mut self, order: &SlotOrder, outcome: OrderOutcome, now: MonoMs) {
        let load_ms = self.load_time_ms(&order.server, &order.model);
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        let is_counted = outcome == OrderOutcome::Accepted || !order.load;
        if is_counted {
            engine.sequence = Some(order.expected_sequence + 1);
        }
        if !order.load {
            if outcome == OrderOutcome::Holds {
                engine.places.remove(&order.model);
            } else {
                engine.needs_report = true;
            }
            return;
        }
        let ready = match outcome {
            OrderOutcome::Accepted => now.plus(load_ms),
            _ => now,
        };
        engine.remember(&order.model);
        if let Some(place) = engine.places.get_mut(&order.model) {
            place.phase = Phase::Loading { ready };
            // An order that had to be repeated counts from its acceptance.
            place.ordered = now;
            let version = place.version;
            self.news.push((
                order.server.clone(),
                order.model.clone(),
                version,
                Some(ready),
            ));
        }
    }

    /// The order was not and will not be carried out. The next report tells what holds.
    fn undo(&mut self, order: &SlotOrder) {
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        let Some(place) = engine.places.get_mut(&order.model) else {
            return;
        };
        if order.load {
            engine.places.remove(&order.model);
            self.news
                .push((order.server.clone(), order.model.clone(), 0, None));
        } else {
            place.phase = Phase::Ready;
            let version = place.version;
            let now_ready = Some(MonoMs(0));
            self.news.push((
                order.server.clone(),
                order.model.clone(),
                version,
                now_ready,
            ));
        }
    }

    fn ask_reports(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        for (server, engine) in &mut self.engines {
            let age_ms = engine.report_asked.map(|asked| now.since(asked));
            let wait_ms = if engine.sequence.is_none() {
                self.config.report_lag_ms / 4
            } else if engine.needs_report {
                self.config.report_lag_ms
            } else if engine.has_unconfirmed() {
                self.config.confirm_every_ms
            } else {
                self.config.report_every_ms
            };
            if age_ms.is_none_or(|age_ms| age_ms >= wait_ms) {
                engine.report_asked = Some(now);
                actions.push(SlotAction::Report(server.clone()));
            }
        }
    }

    /// Takes an engine's report that was asked for at `asked`.
    pub fn on_report(
        &mut self,
        server: &ServerName,
        report: &EngineReport,
        asked: MonoMs,
        now: MonoMs,
    ) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.confirm(report, asked, &mut self.pace);
        // The report shows one moment: a list that comes with the expected sequence lacks no order.
        let is_current = engine
            .sequence
            .is_none_or(|sequence| sequence == report.sequence);
        let is_quiet = asked.since(engine.last_order) >= self.config.report_lag_ms;
        if engine.has_open_order || !is_current && !is_quiet {
            return;
        }
        engine.needs_report = false;
        engine.conflicts = 0;
        let unresolved = engine.unresolved.as_ref();
        if unresolved.is_some_and(|order| report.sequence > order.expected_sequence) {
            engine.unresolved = None;
        }
        engine.sequence = Some(report.sequence);
        self.adopt(server, report, now);
    }

    /// Replaces the view of an engine by its report.
    fn adopt(&mut self, server: &ServerName, report: &EngineReport, now: MonoMs) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let reported = |model: &ModelName| {
            let mut all = report.adapters.iter().chain(&report.loading);
            all.any(|(other, _)| other == model)
        };
        let is_awaited = |model: &ModelName| {
            let unresolved = engine.unresolved.as_ref();
            unresolved.is_some_and(|order| order.load && order.model == *model)
        };
        let missing: Vec<ModelName> = engine
            .places
            .keys()
            .filter(|model| !reported(model) && !is_awaited(model))
            .cloned()
            .collect();
        for model in missing {
            engine.places.remove(&model);
            self.news.push((server.clone(), model, 0, None));
        }
        let loading_ready = now.plus(LOAD_LEFT_MS);
        let held = report.adapters.iter().map(|item| (item, MonoMs(0)));
        let loading = report.loading.iter().map(|item| (item, loading_ready));
        for ((model, version), ready) in held.chain(loading) {
            engine.remember(model);
            let phase = if ready == MonoMs(0) {
                Phase::Ready
            } else {
                Phase::Loading { ready }
            };
            match engine.places.get_mut(model) {
                Some(place) if place.phase == phase && place.version == *version => {}
                Some(place) if place.phase == Phase::Retiring && place.version == *version => {}
                Some(place) if phase != Phase::Ready && place.is_loading(now) => {}
                Some(place) if phase != Phase::Ready && place.phase == Phase::Unloading => {}
                Some(place) => {
                    place.phase = phase;
                    place.version = *version;
                    self.news
                        .push((server.clone(), model.clone(), *version, Some(ready)));
                }
                None => {
                    let mut place = Place::new(phase, *version, now);
                    place.is_confirmed = phase == Phase::Ready;
                    engine.places.insert(model.clone(), place);
                    self.news
                        .push((server.clone(), model.clone(), *version, Some(ready)));
                }
            }
        }
    }
}
