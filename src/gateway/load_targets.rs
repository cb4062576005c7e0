//! Ranks the data centres that can be asked to load an adapter that no engine has.
//!
//! A rarely used adapter serves one or two requests before it is evicted. The network delay to a
//! far engine uses up a large part of their objective, so the adapter is loaded near its callers.
//! An engine that had the adapter before loads it in a tenth of the time and without the weight
//! store, which outweighs the network delay, so data centres of such engines come first. The wait
//! for an adapter slot is reported with each data centre but does not affect the order.

use indexmap::IndexMap;

use crate::mechanisms::Mechanism;
use crate::registry::ServerState;
use crate::scheduling::slots::ranked;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::SoftwareVersion;

use super::forecast::LoadEstimate;
use super::server_table::Distance;
use super::server_table::ServerTable;

/// Adapters whose engines are remembered.
const MAX_ADAPTERS: usize = 8_192;
/// Engines that are remembered for one adapter.
const MAX_ENGINES: usize = 4;

/// Engines that recently loaded each adapter, the most recent one last.
#[derive(Debug, Default)]
pub(super) struct RecentEngines {
    servers: IndexMap<ModelName, Vec<ServerName>>,
}

impl RecentEngines {
    /// Records that `server` loads or has `model`. Drops the oldest half of the entries when the
    /// table is full.
    pub(super) fn record(&mut self, model: &ModelName, server: &ServerName) {
        if self.servers.len() >= MAX_ADAPTERS && !self.servers.contains_key(model) {
            self.servers.drain(..MAX_ADAPTERS / 2);
        }
        let servers = self.servers.entry(model.clone()).or_default();
        servers.retain(|known| known != server);
        if servers.len() >= MAX_ENGINES {
            servers.remove(0);
        }
        servers.push(server.clone());
    }

    /// Engines that recently had `model`, the most recent one last.
    pub(super) fn get(&self, model: &ModelName) -> &[ServerName] {
        self.servers.get(model).map_or(&[], Vec::as_slice)
    }
}

/// Engine that accepts work.
pub(super) struct EngineCandidate<'a> {
    pub(super) server: &'a ServerName,
    pub(super) data_centre: &'a DataCentre,
    pub(super) distance: Distance,
    /// Expected wait for an adapter slot in the engine's data centre.
    pub(super) slot_wait_ms: u64,
}

/// Data centre that can be asked to load an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadTarget {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Expected time until the adapter can be used there.
    pub estimate: LoadEstimate,
}

/// Ranks the data centres of `engines` by the time until the adapter can be used there. Ties are
/// broken by a hash order that is the same on all VMs. `previous` lists the engines that recently
/// had the adapter.
pub(super) fn ranked_targets(
    model: &ModelName,
    engines: &[EngineCandidate<'_>],
    previous: &[ServerName],
) -> Vec<LoadTarget> {
    let candidates: IndexMap<&ServerName, &EngineCandidate<'_>> = engines
        .iter()
        .map(|candidate| (candidate.server, candidate))
        .collect();
    let mut order: Vec<&EngineCandidate<'_>> = ranked(model, candidates.keys().copied())
        .into_iter()
        .map(|server| candidates[server])
        .collect();
    order.sort_by_key(|candidate| estimate_load(candidate, previous).load_wait_ms());
    let mut targets: Vec<LoadTarget> = Vec::new();
    for candidate in order {
        if targets
            .iter()
            .all(|target| target.data_centre != *candidate.data_centre)
        {
            targets.push(LoadTarget {
                data_centre: candidate.data_centre.clone(),
                estimate: estimate_load(candidate, previous),
            });
        }
    }
    targets
}

fn estimate_load(candidate: &EngineCandidate<'_>, previous: &[ServerName]) -> LoadEstimate {
    LoadEstimate {
        slot_wait_ms: candidate.slot_wait_ms,
        delay_ms: candidate.distance.delay_ms() as u64,
        is_recent: previous.contains(candidate.server),
    }
}

impl ServerTable {
    /// Data centres with an engine that accepts work, in the order in which they should be asked to
    /// load `model`: the one that can serve it soonest comes first. With `local_first`, engines
    /// that had the adapter before get no preference.
    pub fn load_targets(
        &self,
        model: &ModelName,
        local_first: bool,
        now: MonoMs,
    ) -> Vec<LoadTarget> {
        self.version_load_targets(model, None, local_first, now)
    }

    /// The same for engines of the version `software` only, if there is one.
    pub fn version_load_targets(
        &self,
        model: &ModelName,
        software: Option<&SoftwareVersion>,
        local_first: bool,
        now: MonoMs,
    ) -> Vec<LoadTarget> {
        let engines = self.servers.iter().filter(|(_, view)| {
            let server = &view.announcement;
            server.state == ServerState::Ready
                && !server.models.is_empty()
                && software.is_none_or(|software| server.software == *software)
        });
        let candidates: Vec<EngineCandidate<'_>> = engines
            .map(|(server, view)| EngineCandidate {
                server,
                data_centre: &view.announcement.data_centre,
                distance: view.distance,
                slot_wait_ms: self.slot_wait_ms(&view.announcement.data_centre, now),
            })
            .collect();
        let prefers_previous = !local_first && self.mechanisms.is_enabled(Mechanism::LastEngine);
        let previous = match self.recent_engines.get(model) {
            [.., last]
                if prefers_previous && !self.mechanisms.is_enabled(Mechanism::LoadHistory) =>
            {
                std::slice::from_ref(last)
            }
            previous if prefers_previous => previous,
            _ => &[],
        };
        ranked_targets(model, &candidates, previous)
    }
}
