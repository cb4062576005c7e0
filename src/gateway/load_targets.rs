//! Decides in which order data centres are asked to load an adapter that no engine has.
//!
//! A rarely used adapter serves its callers once or twice before it makes way. The way to a far engine
//! takes a large part of their objective, so it is loaded near them. An engine that previous it before loads
//! it in a tenth of the time without the weight store, which outweighs the way, so the data centre of
//! engines that have previous it are asked first, those of them with a free place before all others.

use indexmap::IndexMap;

use crate::scheduling::slots::ranked;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::ServerName;

use super::forecast::LoadEstimate;
use super::server_table::Distance;

/// Adapters whose engines are remembered.
const MAX_ADAPTERS: usize = 8_192;
/// Engines that are remembered for one adapter.
const MAX_ENGINES: usize = 4;

/// The engines that each adapter was lately loaded on, the last one at the end.
#[derive(Debug, Default)]
pub(super) struct RecentEngines {
    servers: IndexMap<ModelName, Vec<ServerName>>,
}

impl RecentEngines {
    /// Notes that `server` loads or has `model`. Forgets those noted first when there are too many.
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

    /// The engines that previous `model`, the last one at the end.
    pub(super) fn get(&self, model: &ModelName) -> &[ServerName] {
        self.servers.get(model).map_or(&[], Vec::as_slice)
    }
}

/// An engine that takes work.
pub(super) struct EngineCandidate<'a> {
    pub(super) server: &'a ServerName,
    pub(super) data_centre: &'a DataCentre,
    pub(super) distance: Distance,
    /// Time until an adapter that is asked for gets a place there.
    pub(super) place_wait_ms: u64,
}

/// A data centre that can be asked for an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadTarget {
    /// Its name.
    pub data_centre: DataCentre,
    /// What it needs until the adapter can be used.
    pub estimate: LoadEstimate,
}

/// The data centres of `engines`: where the adapter can be used soonest comes first. Equal ones follow in
/// an order that all VMs agree on. `previous` are the engines that have previous it.
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
        place_wait_ms: candidate.place_wait_ms,
        delay_ms: candidate.distance.delay_ms() as u64,
        is_recent: previous.contains(candidate.server),
    }
}
