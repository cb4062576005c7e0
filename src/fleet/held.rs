//! A data centre whose engines this VM orders.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::gateway::deployment::Deployment;
use crate::gateway::deployment::EngineSheet;
use crate::link::EngineLoad;
use crate::link::LoadNews;
use crate::link::Residency;
use crate::link::ResidencyNews;
use crate::registry::ServerState;
use crate::registry::Table;
use crate::scheduling::slots::EngineInfo;
use crate::scheduling::slots::Planner;
use crate::scheduling::slots::SlotAction;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Least loads of base models in a second.
const MIN_BASE_LOADS_PER_S: f64 = 0.05;

/// Time between two messages of the engines' work.
const LOADS_EVERY_MS: u64 = 100;

/// One data centre that this VM holds.
pub(super) struct Held {
    pub(super) fence: u64,
    /// Time from which orders may be given.
    pub(super) from: MonoMs,
    pub(super) planner: Planner,
    /// Whether an engine has seen a higher fence.
    pub(super) is_outranked: bool,
    /// Whether the entry VMs know that this VM holds the data centre.
    pub(super) is_told: bool,
    pub(super) addresses: HashMap<ServerName, SocketAddr>,
    /// What the entry VMs were last told of the engines' work, and when.
    pub(super) loads_told: Option<(LoadNews, MonoMs)>,
}

impl Held {
    pub(super) fn set_engines(
        &mut self,
        centre: &DataCentre,
        deployment: Option<&Deployment>,
        servers: &Table,
        data_centres: usize,
    ) {
        let Some(deployment) = deployment else {
            return;
        };
        let mut present = BTreeSet::new();
        for record in servers.servers() {
            let server = &record.announcement;
            let service = deployment.services.get(&server.service);
            let sheet = service.and_then(|service| service.engine.as_ref());
            let Some(sheet) = sheet.filter(|_| server.data_centre == *centre) else {
                continue;
            };
            if server.state == ServerState::Leaving {
                continue;
            }
            let loadable = sheet.loadable();
            let bases = match server.models.is_empty() {
                true => &loadable,
                false => &server.models,
            };
            let info = EngineInfo {
                started_unix_ms: server.started_unix_ms,
                adapter_slots: sheet.adapter_capacity(bases),
                run_slots: server.slots,
                target_latency_ms: deployment.shortest_target_ms(&server.service),
                bases: server.models.clone(),
                loadable,
            };
            self.planner
                .set_base_interval(base_interval_ms(sheet, data_centres));
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

    /// The work of the engines, if the entry VMs are to be told. Told loads fade there, so they are
    /// repeated unless there are none.
    pub(super) fn load_news(&mut self, centre: &DataCentre, now: MonoMs) -> Option<LoadNews> {
        let told = self.loads_told.as_ref();
        if told.is_some_and(|(_, at)| now.since(*at) < LOADS_EVERY_MS) {
            return None;
        }
        let engines = self.planner.work().into_iter().map(|work| EngineLoad {
            server: work.server,
            occupied: work.occupied,
            prompt_tokens: u32::try_from(work.prompt_tokens).unwrap_or(u32::MAX),
        });
        let news = LoadNews {
            data_centre: centre.clone(),
            place_wait_ms: self.planner.slot_wait_ms(now),
            engines: engines.collect(),
        };
        let is_idle = news.engines.is_empty() && news.place_wait_ms == 0;
        if is_idle && told.is_none_or(|(told, _)| *told == news) {
            return None;
        }
        self.loads_told = Some((news.clone(), now));
        Some(news)
    }

    pub(super) fn address(&self, action: &SlotAction) -> Option<SocketAddr> {
        let server = match action {
            SlotAction::Order(order) => &order.server,
            SlotAction::Report(server) => server,
        };
        self.addresses.get(server).copied()
    }

    pub(super) fn news(
        &self,
        centre: &DataCentre,
        items: Vec<(ServerName, ModelName, u64, Option<MonoMs>)>,
        full: bool,
        now: MonoMs,
    ) -> ResidencyNews {
        let items = items.into_iter().map(|(server, model, version, ready)| {
            let ready_in_ms = ready.map(|ready| ready.since(now));
            Residency {
                server,
                model,
                version,
                ready_in_ms: ready_in_ms.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX)),
            }
        });
        ResidencyNews {
            data_centre: centre.clone(),
            fence: self.fence,
            full,
            items: items.collect(),
        }
    }
}

/// Time between two loads of base models in one of `data_centres`, so that all together stay within
/// the store's rate.
fn base_interval_ms(sheet: &EngineSheet, data_centres: usize) -> u64 {
    let share_per_s = sheet.loads_per_s / data_centres.max(1) as f64;
    (1_000.0 / share_per_s.max(MIN_BASE_LOADS_PER_S)) as u64
}
