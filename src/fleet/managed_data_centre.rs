//! A data centre whose orders are assigned to this VM: its planner, its engines, and the updates that
//! are sent to entry VMs.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::gateway::deployment::Deployment;
use crate::gateway::deployment::EngineSpec;
use crate::link::EngineLoad;
use crate::link::LoadUpdate;
use crate::link::Residency;
use crate::link::ResidencyUpdate;
use crate::registry::ServerState;
use crate::registry::Table;
use crate::scheduling::slots::EngineInfo;
use crate::scheduling::slots::Planner;
use crate::scheduling::slots::SlotAction;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Lower bound of the rate of base model loads.
const MIN_BASE_LOADS_PER_S: f64 = 0.05;

/// Interval between two load updates.
const LOADS_INTERVAL_MS: u64 = 100;

/// A data centre whose orders are assigned to this VM.
pub(super) struct ManagedDataCentre {
    pub(super) fence: u64,
    /// Time from which orders may be sent.
    pub(super) orders_from: MonoMs,
    pub(super) planner: Planner,
    /// Whether an engine has received a higher fence.
    pub(super) is_fenced_off: bool,
    /// Whether the complete residency has been sent to the entry VMs.
    pub(super) is_announced: bool,
    pub(super) addresses: HashMap<ServerName, SocketAddr>,
    /// The last load update that was sent to the entry VMs, and when.
    pub(super) last_loads: Option<(LoadUpdate, MonoMs)>,
}

impl ManagedDataCentre {
    pub(super) fn set_engines(
        &mut self,
        centre: &DataCentre,
        deployment: Option<&Deployment>,
        servers: &Table,
        limited: &BTreeSet<ServerName>,
        data_centres: usize,
    ) {
        let Some(deployment) = deployment else {
            return;
        };
        let mut present = BTreeSet::new();
        for record in servers.servers() {
            let server = &record.announcement;
            let service = deployment.services.get(&server.service);
            let spec = service.and_then(|service| service.engine.as_ref());
            let Some(spec) = spec.filter(|_| server.data_centre == *centre) else {
                continue;
            };
            if server.state == ServerState::Leaving {
                continue;
            }
            let loadable = spec.loadable();
            let bases = match server.models.is_empty() {
                true => &loadable,
                false => &server.models,
            };
            let info = EngineInfo {
                started_unix_ms: server.started_unix_ms,
                software: server.software.clone(),
                adapter_slots: spec.adapter_capacity(bases),
                run_slots: server.slots,
                target_latency_ms: deployment.shortest_target_ms(&server.service),
                bases: server.models.clone(),
                loadable,
                is_limited: limited.contains(&server.server),
            };
            self.planner
                .set_base_interval(base_interval_ms(spec, data_centres));
            self.planner.set_engine(&server.server, info);
            self.addresses.insert(server.server.clone(), server.address);
            present.insert(server.server.clone());
        }
        let gone: Vec<ServerName> = self
            .planner
            .engines()
            .filter(|server| !present.contains(*server))
            .cloned()
            .collect();
        for server in gone {
            self.planner.remove_engine(&server);
            self.addresses.remove(&server);
        }
    }

    /// The loads of the engines, if an update to the entry VMs is due. Loads decay there, so updates
    /// are repeated while there is any load.
    pub(super) fn load_update(&mut self, centre: &DataCentre, now: MonoMs) -> Option<LoadUpdate> {
        let last = self.last_loads.as_ref();
        if last.is_some_and(|(_, at)| now.since(*at) < LOADS_INTERVAL_MS) {
            return None;
        }
        let engines = self.planner.work().into_iter().map(|work| EngineLoad {
            server: work.server,
            occupied: work.occupied,
            prompt_tokens: u32::try_from(work.prompt_tokens).unwrap_or(u32::MAX),
        });
        let update = LoadUpdate {
            data_centre: centre.clone(),
            place_wait_ms: self.planner.slot_wait_ms(now),
            engines: engines.collect(),
        };
        let is_idle = update.engines.is_empty() && update.place_wait_ms == 0;
        if is_idle && last.is_none_or(|(last, _)| *last == update) {
            return None;
        }
        self.last_loads = Some((update.clone(), now));
        Some(update)
    }

    pub(super) fn address(&self, action: &SlotAction) -> Option<SocketAddr> {
        let server = match action {
            SlotAction::Order(order) => &order.server,
            SlotAction::Report(server) => server,
        };
        self.addresses.get(server).copied()
    }

    pub(super) fn residency_update(
        &self,
        centre: &DataCentre,
        items: Vec<(ServerName, ModelName, u64, Option<MonoMs>)>,
        full: bool,
        now: MonoMs,
    ) -> ResidencyUpdate {
        let items = items.into_iter().map(|(server, model, version, ready)| {
            let ready_in_ms = ready.map(|ready| ready.since(now));
            Residency {
                server,
                model,
                version,
                ready_in_ms: ready_in_ms.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX)),
            }
        });
        ResidencyUpdate {
            data_centre: centre.clone(),
            fence: self.fence,
            full,
            items: items.collect(),
        }
    }
}

/// Interval between two loads of base models in one of `data_centres`, so that all data centres
/// together stay within the rate limit of the model store.
fn base_interval_ms(spec: &EngineSpec, data_centres: usize) -> u64 {
    let share_per_s = spec.loads_per_s / data_centres.max(1) as f64;
    (1_000.0 / share_per_s.max(MIN_BASE_LOADS_PER_S)) as u64
}
