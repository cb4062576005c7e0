//! Decides in which order data centres are asked to load an adapter that no engine has.
//!
//! A rarely used adapter serves its callers once or twice before it makes way. The way to a far engine
//! takes a large part of their objective, so it is loaded near them. An engine that had it before loads
//! it in a tenth of the time without the weight store, which outweighs the way, so the data centre of
//! engines that have had it are asked first, those of them with a free place before all others.

use indexmap::IndexMap;

use crate::scheduling::slots::ranked;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::ServerName;

use super::board::Distance;
use super::forecast::Coming;

/// Adapters whose engines are remembered.
const MAX_REMEMBERED: usize = 8_192;
/// Engines that are remembered for one adapter.
const MAX_ENGINES: usize = 4;

/// The engines that each adapter was lately loaded on, the last one at the end.
#[derive(Debug, Default)]
pub(super) struct LastHeld {
    servers: IndexMap<ModelName, Vec<ServerName>>,
}

impl LastHeld {
    /// Notes that `server` loads or has `model`. Forgets those noted first when there are too many.
    pub(super) fn note(&mut self, model: &ModelName, server: &ServerName) {
        if self.servers.len() >= MAX_REMEMBERED && !self.servers.contains_key(model) {
            self.servers.drain(..MAX_REMEMBERED / 2);
        }
        let servers = self.servers.entry(model.clone()).or_default();
        servers.retain(|known| known != server);
        if servers.len() >= MAX_ENGINES {
            servers.remove(0);
        }
        servers.push(server.clone());
    }

    /// The engines that had `model`, the last one at the end.
    pub(super) fn get(&self, model: &ModelName) -> &[ServerName] {
        self.servers.get(model).map_or(&[], Vec::as_slice)
    }
}

/// An engine that takes work.
pub(super) struct EngineSite<'a> {
    pub(super) server: &'a ServerName,
    pub(super) data_centre: &'a DataCentre,
    pub(super) distance: Distance,
    /// Time until an adapter that is asked for gets a place there.
    pub(super) place_wait_ms: u64,
}

/// A data centre that can be asked for an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Home {
    /// Its name.
    pub data_centre: DataCentre,
    /// What it needs until the adapter can be used.
    pub coming: Coming,
}

/// The data centres of `engines`: where the adapter can be used soonest comes first. Equal ones follow in
/// an order that all VMs agree on. `had` are the engines that have had it.
pub(super) fn in_order(
    model: &ModelName,
    engines: &[EngineSite<'_>],
    had: &[ServerName],
) -> Vec<Home> {
    let sites: IndexMap<&ServerName, &EngineSite<'_>> =
        engines.iter().map(|site| (site.server, site)).collect();
    let mut order: Vec<&EngineSite<'_>> = ranked(model, sites.keys().copied())
        .into_iter()
        .map(|server| sites[server])
        .collect();
    order.sort_by_key(|site| coming(site, had).load_wait_ms());
    let mut homes: Vec<Home> = Vec::new();
    for site in order {
        if homes
            .iter()
            .all(|home| home.data_centre != *site.data_centre)
        {
            homes.push(Home {
                data_centre: site.data_centre.clone(),
                coming: coming(site, had),
            });
        }
    }
    homes
}

fn coming(site: &EngineSite<'_>, had: &[ServerName]) -> Coming {
    Coming {
        place_wait_ms: site.place_wait_ms,
        delay_ms: site.distance.delay_ms() as u64,
        is_recent: had.contains(site.server),
    }
}
