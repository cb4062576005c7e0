//! Decides in which order data centres are asked to load an adapter that no engine has.
//!
//! A rarely used adapter serves its callers once or twice before it makes way. The way to a far engine
//! takes a large part of their objective, so it is loaded near them. An engine that had it before loads
//! it in a tenth of the time without the weight store, which outweighs the way, so the data centre of
//! that engine is asked first.

use indexmap::IndexMap;

use crate::scheduling::slots::ranked;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::ServerName;

use super::board::Distance;

/// Adapters whose last engine is remembered.
const MAX_REMEMBERED: usize = 8_192;

/// The engine that each adapter was last loaded on.
#[derive(Debug, Default)]
pub(super) struct LastHeld {
    servers: IndexMap<ModelName, ServerName>,
}

impl LastHeld {
    /// Notes that `server` loads or has `model`. Forgets those noted first when there are too many.
    pub(super) fn note(&mut self, model: &ModelName, server: &ServerName) {
        if self.servers.len() >= MAX_REMEMBERED && !self.servers.contains_key(model) {
            self.servers.drain(..MAX_REMEMBERED / 2);
        }
        self.servers.insert(model.clone(), server.clone());
    }

    /// The engine that had `model` last.
    pub(super) fn get(&self, model: &ModelName) -> Option<&ServerName> {
        self.servers.get(model)
    }
}

/// An engine that takes work.
pub(super) struct EngineSite<'a> {
    pub(super) server: &'a ServerName,
    pub(super) data_centre: &'a DataCentre,
    pub(super) distance: Distance,
}

/// The data centres of `engines`: that of `last`, the engine that had the adapter, then the nearest
/// first. Equally near ones follow in an order that all VMs agree on.
pub(super) fn in_order(
    model: &ModelName,
    engines: &[EngineSite<'_>],
    last: Option<&ServerName>,
) -> Vec<DataCentre> {
    let sites: IndexMap<&ServerName, &EngineSite<'_>> =
        engines.iter().map(|site| (site.server, site)).collect();
    let mut order: Vec<&EngineSite<'_>> = ranked(model, sites.keys().copied())
        .into_iter()
        .map(|server| sites[server])
        .collect();
    order.sort_by(|a, b| a.distance.delay_ms().total_cmp(&b.distance.delay_ms()));
    order.sort_by_key(|site| Some(site.server) != last);
    let mut homes: Vec<DataCentre> = Vec::new();
    for site in order {
        if !homes.contains(site.data_centre) {
            homes.push(site.data_centre.clone());
        }
    }
    homes
}
