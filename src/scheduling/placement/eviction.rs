//! Selection of resident adapters to evict.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::scheduling::placement::AdapterDemand;
use crate::scheduling::placement::PlannerConfig;
use crate::scheduling::placement::waiting_score;
use crate::scheduling::popularity::FleetPopularity;
use crate::scheduling::residency::Residency;
use crate::scheduling::residency::ResidencyTable;
use crate::scheduling::residency::ResidencyView;
use crate::scheduling::routing::rank_homes;
use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Resident adapter that may be evicted, with the value of keeping it.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    pub(super) server: ServerName,
    pub(super) adapter: AdapterRef,
    pub(super) value: f32,
    /// Requests in flight. The slot is freed only after they have ended.
    pub(super) in_use: u32,
    pub(super) last_used: MonoMs,
}

/// Inputs for selecting adapters to load and evict.
pub(super) struct PlacementContext<'a> {
    pub(super) config: &'a PlannerConfig,
    pub(super) table: &'a ResidencyTable,
    pub(super) popularity: &'a FleetPopularity,
    pub(super) waiting: &'a BTreeMap<AdapterRef, AdapterDemand>,
    pub(super) remote: &'a ResidencyView,
    /// Copies of each adapter in the data centre.
    pub(super) copies: HashMap<&'a AdapterRef, Copies>,
    /// The most popular adapters with their scores.
    pub(super) top: &'a [(AdapterRef, f32)],
    pub(super) now: MonoMs,
}

/// Copies of one adapter in the data centre, excluding draining ones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Copies {
    pub(super) resident: u32,
    pub(super) loading: u32,
    /// Time at which the last copy became resident.
    pub(super) newest: MonoMs,
}

/// Counts the copies of all adapters.
pub(super) fn count_copies(table: &ResidencyTable) -> HashMap<&AdapterRef, Copies> {
    let mut copies: HashMap<&AdapterRef, Copies> = HashMap::new();
    for slot in table.servers().flat_map(|server| table.slots(server)) {
        let entry = copies.entry(slot.adapter).or_default();
        match slot.residency {
            Residency::Loading => entry.loading += 1,
            Residency::Resident => {
                entry.resident += 1;
                entry.newest = entry.newest.max(slot.since);
            }
            Residency::Draining => {}
        }
    }
    copies
}

impl PlacementContext<'_> {
    pub(super) fn copies_of(&self, adapter: &AdapterRef) -> Copies {
        self.copies.get(adapter).copied().unwrap_or_default()
    }

    /// Resident adapters that may be drained: idle ones before those in use, each by ascending value.
    pub(super) fn victims(&self) -> Vec<Victim> {
        let mut victims = Vec::new();
        for server in self.table.servers() {
            for slot in self.table.slots(server) {
                let settled = self.now.since(slot.since) >= self.config.min_resident_ms;
                if slot.residency == Residency::Resident && settled {
                    victims.push(Victim {
                        server: server.clone(),
                        adapter: slot.adapter.clone(),
                        value: self.value(slot.adapter),
                        in_use: self.table.in_use(server, slot.adapter),
                        last_used: slot.last_used,
                    });
                }
            }
        }
        victims.sort_by(|a, b| {
            let in_use = (a.in_use > 0).cmp(&(b.in_use > 0));
            let value = a.value.total_cmp(&b.value);
            let age = a.last_used.cmp(&b.last_used);
            in_use
                .then(value)
                .then(age)
                .then_with(|| a.server.cmp(&b.server))
        });
        victims
    }

    /// Value of keeping a copy: its expected use, reduced if another copy can serve instead.
    fn value(&self, adapter: &AdapterRef) -> f32 {
        let waiting = self.waiting.get(adapter);
        let waiting = waiting.map_or(0.0, |waiting| waiting_score(waiting.tokens));
        let score = self.popularity.score(adapter, self.now) + waiting;
        if self.copies_of(adapter).resident > 1 || self.has_remote_primary(adapter) {
            score * self.config.copy_value_percent / 100.0
        } else {
            score
        }
    }

    /// Whether another data centre has the adapter resident.
    pub(super) fn is_resident_remotely(&self, adapter: &AdapterRef) -> bool {
        self.remote_holders(adapter).next().is_some()
    }

    /// Whether the primary copy, which keeps its full value, is in another data centre. One of the
    /// data centres with a copy is the primary, so that two of them do not evict the last two copies
    /// at the same time.
    fn has_remote_primary(&self, adapter: &AdapterRef) -> bool {
        let own = self.table.data_centre();
        let holders = self.remote_holders(adapter).chain(std::iter::once(own));
        rank_homes(adapter, holders)
            .first()
            .is_some_and(|primary| *primary != own)
    }

    fn remote_holders(&self, adapter: &AdapterRef) -> impl Iterator<Item = &DataCentre> {
        let residents = self.remote.residents(adapter).iter();
        residents
            .map(|(_, data_centre)| data_centre)
            .filter(|data_centre| {
                *data_centre != self.table.data_centre()
                    && self.remote.is_current(data_centre, self.now)
            })
    }
}

/// Whether the adapter is resident or being loaded on the engine.
pub(super) fn has_copy(table: &ResidencyTable, server: &ServerName, adapter: &AdapterRef) -> bool {
    table
        .state(server, adapter)
        .is_some_and(|state| state != Residency::Draining)
}
