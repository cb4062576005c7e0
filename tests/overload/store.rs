//! Simulated engines and weight store. The store serves a limited number of loads at full speed and
//! slows down proportionally above it.

use std::collections::BTreeMap;

use medlarlift::scheduling::slots::EngineReport;
use medlarlift::scheduling::slots::OrderOutcome;
use medlarlift::scheduling::slots::SlotOrder;
use medlarlift::types::ModelName;
use medlarlift::types::ServerName;

/// Number of concurrent loads that the store serves at full speed for this part of the fleet.
const FULL_SPEED_LOADS: f64 = 8.0 / 3.0;
/// Duration of a load at full speed.
const LOAD_MS: f64 = 250.0;
/// Loads per second that the store delivers.
pub const LOADS_PER_S: f64 = FULL_SPEED_LOADS * 1_000.0 / LOAD_MS;
/// Duration of a load of an adapter that the engine held before.
const RELOAD_MS: f64 = 25.0;
/// Maximum number of concurrent loads on one engine.
const MAX_LOADING: usize = 4;

#[derive(Default)]
struct Engine {
    held: BTreeMap<ModelName, u32>,
    loading: BTreeMap<ModelName, (f64, bool)>,
    recent: Vec<ModelName>,
    sequence: u64,
}

/// The engines of one data centre.
pub struct Fleet {
    engines: BTreeMap<ServerName, Engine>,
    adapter_slots: usize,
    from_store: u32,
}

impl Fleet {
    /// Creates empty engines.
    pub fn new(servers: &[ServerName], adapter_slots: usize) -> Self {
        let engines = servers.iter().map(|name| (name.clone(), Engine::default()));
        Self {
            engines: engines.collect(),
            adapter_slots,
            from_store: 0,
        }
    }

    /// Number of loads from the store so far.
    pub fn store_loads(&self) -> u32 {
        self.from_store
    }

    /// Advances the loads in progress by `ms`.
    pub fn advance(&mut self, ms: u64) {
        let loads = self.engines.values().flat_map(|e| e.loading.values());
        let from_store = loads.filter(|(_, from_store)| *from_store).count() as f64;
        let speed = (FULL_SPEED_LOADS / from_store.max(1.0)).min(1.0);
        for engine in self.engines.values_mut() {
            for (left_ms, from_store) in engine.loading.values_mut() {
                *left_ms -= ms as f64 * if *from_store { speed } else { 1.0 };
            }
            let ended: Vec<ModelName> = engine
                .loading
                .iter()
                .filter(|(_, (left_ms, _))| *left_ms <= 0.0)
                .map(|(model, _)| model.clone())
                .collect();
            for model in ended {
                engine.loading.remove(&model);
                engine.held.insert(model.clone(), 0);
                engine.recent.push(model);
            }
        }
    }

    /// Executes an order.
    pub fn order(&mut self, order: &SlotOrder) -> OrderOutcome {
        let adapter_slots = self.adapter_slots;
        let engine = self.engines.get_mut(&order.server).unwrap();
        if order.expected_sequence != engine.sequence {
            return OrderOutcome::Conflict;
        }
        if !order.load {
            assert_eq!(
                engine.held.remove(&order.model),
                Some(0),
                "unloaded while in use"
            );
            engine.sequence += 1;
            return OrderOutcome::Holds;
        }
        if engine.held.contains_key(&order.model) {
            return OrderOutcome::Holds;
        }
        if engine.loading.len() >= MAX_LOADING {
            return OrderOutcome::Conflict;
        }
        if engine.held.len() + engine.loading.len() >= adapter_slots {
            return OrderOutcome::Refused;
        }
        let is_reload = engine.recent.contains(&order.model);
        let left_ms = if is_reload { RELOAD_MS } else { LOAD_MS };
        self.from_store += u32::from(!is_reload);
        engine
            .loading
            .insert(order.model.clone(), (left_ms, !is_reload));
        engine.sequence += 1;
        OrderOutcome::Accepted
    }

    /// Report of an engine.
    pub fn report(&self, server: &ServerName) -> EngineReport {
        let engine = &self.engines[server];
        let versioned = |model: &ModelName| (model.clone(), 1);
        EngineReport {
            sequence: engine.sequence,
            bases: vec![ModelName::from("base")],
            adapters: engine.held.keys().map(versioned).collect(),
            loading: engine.loading.keys().map(versioned).collect(),
        }
    }

    /// Starts a request on an engine that holds the adapter.
    pub fn begin(&mut self, model: &ModelName) -> Option<ServerName> {
        for (server, engine) in &mut self.engines {
            if let Some(runs) = engine.held.get_mut(model) {
                *runs += 1;
                return Some(server.clone());
            }
        }
        None
    }

    /// Ends a request.
    pub fn end(&mut self, server: &ServerName, model: &ModelName) {
        let engine = self.engines.get_mut(server).unwrap();
        if let Some(runs) = engine.held.get_mut(model) {
            *runs -= 1;
        }
    }

    /// Number of requests that use an adapter on an engine.
    pub fn in_use(&self, server: &ServerName, model: &ModelName) -> u32 {
        let engine = &self.engines[server];
        engine.held.get(model).copied().unwrap_or(0)
    }
}
