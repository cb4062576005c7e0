//! Other entry VMs, as the controllers list them, and which of them can reach a service's servers. Those that
//! were listed before are remembered: they may know controllers when this VM is linked to none.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;

use super::server_table::Distance;
use crate::link::EntryVmInfo;
use crate::link::EntryVmUpdate;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServiceName;
use crate::types::VmName;

/// Other VMs drawn at random, of which the nearest is used. More than one, so that work stays near; few, so
/// that it spreads.
const DRAWN: usize = 2;
/// Most VMs that are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// Entry VMs as listed by each linked controller.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// By link to a controller.
    lists: HashMap<u64, IndexMap<VmName, EntryVmInfo>>,
    /// VMs that could not be connected to, and until when they are not used.
    avoided: HashMap<VmName, MonoMs>,
    /// Relay addresses of VMs that are or were listed, the latest ones last.
    remembered: IndexMap<VmName, SocketAddr>,
}

impl PeerTable {
    /// Applies an update received on a link.
    pub fn apply(&mut self, link: u64, update: EntryVmUpdate) {
        let list = self.lists.entry(link).or_default();
        if update.full {
            list.clear();
        }
        for gone in &update.gone {
            list.shift_remove(gone);
        }
        for info in update.changed {
            self.remembered.shift_remove(&info.vm);
            self.remembered.insert(info.vm.clone(), info.relay_address);
            list.insert(info.vm.clone(), info);
        }
        let excess = self.remembered.len().saturating_sub(MAX_REMEMBERED);
        self.remembered.drain(..excess);
    }

    /// Forgets the list of a link that was closed.
    pub fn forget_link(&mut self, link: u64) {
        self.lists.remove(&link);
    }

    /// Does not use a VM until `until`.
    pub fn avoid(&mut self, vm: &VmName, until: MonoMs) {
        self.avoided.insert(vm.clone(), until);
    }

    /// Whether an entry VM with this address is listed.
    pub fn knows(&self, ip: IpAddr) -> bool {
        let mut listed = self.lists.values().flat_map(|list| list.values());
        listed.any(|info| info.relay_address.ip() == ip)
    }

    /// Whether an entry VM with this address is or was listed.
    pub fn remembers(&self, ip: IpAddr) -> bool {
        self.remembered.values().any(|address| address.ip() == ip)
    }

    /// Draws relay addresses of at most `count` VMs other than `own` that are or were listed.
    pub fn draw_remembered(
        &self,
        own: &VmName,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let others = self.remembered.iter().filter(|(vm, _)| *vm != own);
        others.map(|(_, address)| *address).sample(rng, count)
    }

    /// VMs other than `own` that are not cut off from `service` in any list.
    fn usable(&self, own: &VmName, service: &ServiceName, now: MonoMs) -> Vec<&EntryVmInfo> {
        let mut usable: IndexMap<&VmName, &EntryVmInfo> = IndexMap::new();
        let listed = || self.lists.values().flat_map(|list| list.values());
        for info in listed() {
            usable.insert(&info.vm, info);
        }
        for info in listed().filter(|info| info.cut_services.contains(service)) {
            usable.shift_remove(&info.vm);
        }
        let is_avoided = |vm: &VmName| self.avoided.get(vm).is_some_and(|until| *until > now);
        usable.retain(|vm, _| *vm != own && !is_avoided(vm));
        usable.into_values().collect()
    }

    /// Draws a VM that can reach the servers of `service`, not one of `tried`.
    pub fn draw(
        &self,
        own: &VmName,
        service: &ServiceName,
        tried: &[VmName],
        distance: impl Fn(&DataCentre) -> Distance,
        now: MonoMs,
        rng: &mut impl Rng,
    ) -> Option<EntryVmInfo> {
        let mut usable = self.usable(own, service, now);
        usable.retain(|info| !tried.contains(&info.vm));
        let drawn = usable.sample(rng, DRAWN);
        let nearest = drawn.min_by(|a, b| {
            let delays = [a, b].map(|info| distance(&info.data_centre).delay_ms());
            delays[0].total_cmp(&delays[1])
        });
        nearest.map(|info| (*info).clone())
    }
}
