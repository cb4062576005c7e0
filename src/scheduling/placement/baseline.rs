//! Baseline placement: loads an adapter on demand on the engine preferred by routing and evicts the
//! least recently used adapter there.

use std::collections::BTreeMap;

use crate::scheduling::placement::AdapterDemand;
use crate::scheduling::placement::EngineOrder;
use crate::scheduling::placement::Planner;
use crate::scheduling::residency::Residency;
use crate::types::AdapterRef;
use crate::types::MonoMs;
use crate::types::ServerName;

impl Planner {
    pub(super) fn plan_on_demand(
        &mut self,
        waiting: &BTreeMap<AdapterRef, AdapterDemand>,
        now: MonoMs,
        orders: &mut Vec<EngineOrder>,
    ) {
        let mut demands: Vec<_> = waiting.values().collect();
        demands.sort_by_key(|demand| (demand.urgent == 0, demand.since));
        let mut unmet: BTreeMap<ServerName, usize> = BTreeMap::new();
        for demand in demands {
            for server in &demand.preferred {
                let missing = self.table.state(server, &demand.adapter).is_none();
                if !missing || !self.load_backoff.may_load_on(server, &demand.adapter, now) {
                    continue;
                }
                match self.start_load(server, &demand.adapter, now) {
                    Some(order) => orders.push(order),
                    None => *unmet.entry(server.clone()).or_default() += 1,
                }
            }
        }
        for (server, loads) in unmet {
            self.drain_least_recent(&server, loads, waiting, now);
        }
    }

    fn drain_least_recent(
        &mut self,
        server: &ServerName,
        loads: usize,
        waiting: &BTreeMap<AdapterRef, AdapterDemand>,
        now: MonoMs,
    ) {
        let slots: Vec<_> = self.table.slots(server).collect();
        let draining = slots
            .iter()
            .filter(|slot| slot.residency == Residency::Draining);
        let available_slots = draining.count() + self.table.free_slots(server) as usize;
        let mut idle: Vec<_> = slots
            .iter()
            .filter(|slot| slot.residency == Residency::Resident)
            .filter(|slot| self.table.in_use(server, slot.adapter) == 0)
            .filter(|slot| !waiting.contains_key(slot.adapter))
            .collect();
        idle.sort_by_key(|slot| slot.last_used);
        let victims = idle
            .iter()
            .take(loads.min(slots.len() / 2).saturating_sub(available_slots));
        let victims: Vec<_> = victims.map(|slot| slot.adapter.clone()).collect();
        for adapter in victims {
            self.table.drain(server, &adapter, now);
        }
    }
}
