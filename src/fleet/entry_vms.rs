//! Entry VMs that are linked to a controller, and which services they are cut off from. The controller
//! lists them to each other.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use super::control_core::Core;
use crate::link::EntryVmInfo;
use crate::link::EntryVmUpdate;
use crate::link::Frame;
use crate::link::Role;
use crate::link::Session;
use crate::types::ServiceName;

/// Entry VMs by link.
#[derive(Debug, Default)]
pub(super) struct EntryVms {
    linked: Mutex<IndexMap<u64, EntryVmInfo>>,
}

impl EntryVms {
    fn lock(&self) -> MutexGuard<'_, IndexMap<u64, EntryVmInfo>> {
        self.linked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Core {
    /// Lists a VM that has opened a link to the others, and all VMs to it.
    pub(super) fn list_entry_vm(&self, session: &Session) {
        let peer = session.peer();
        let Some(relay_address) = peer.relay_address.filter(|_| peer.role == Role::Entry) else {
            return;
        };
        let info = EntryVmInfo {
            vm: peer.vm.clone(),
            data_centre: peer.data_centre.clone(),
            relay_address,
            cut_services: Vec::new(),
        };
        let mut linked = self.entry_vms.lock();
        linked.insert(session.id(), info.clone());
        let all = linked.values().cloned().collect();
        drop(linked);
        session.send(&Frame::EntryVms(EntryVmUpdate {
            full: true,
            changed: all,
            gone: Vec::new(),
        }));
        self.broadcast_entry_vm(info);
    }

    /// Applies which services a VM is cut off from.
    pub(super) fn on_cut_off(&self, session: &Session, services: Vec<ServiceName>) {
        let mut linked = self.entry_vms.lock();
        let info = linked.get_mut(&session.id());
        let Some(info) = info.filter(|info| info.cut_services != services) else {
            return;
        };
        info.cut_services = services;
        let info = info.clone();
        drop(linked);
        self.broadcast_entry_vm(info);
    }

    /// Removes a VM whose link was closed, unless it has another one.
    pub(super) fn forget_entry_vm(&self, session: &Session) {
        let mut linked = self.entry_vms.lock();
        linked.shift_remove(&session.id());
        let vm = &session.peer().vm;
        let is_gone = linked.values().all(|info| info.vm != *vm);
        drop(linked);
        if is_gone && session.peer().role == Role::Entry {
            self.send_to_entry_vms(EntryVmUpdate {
                full: false,
                changed: Vec::new(),
                gone: vec![vm.clone()],
            });
        }
    }

    fn broadcast_entry_vm(&self, info: EntryVmInfo) {
        self.send_to_entry_vms(EntryVmUpdate {
            full: false,
            changed: vec![info],
            gone: Vec::new(),
        });
    }

    fn send_to_entry_vms(&self, update: EntryVmUpdate) {
        let frame = Frame::EntryVms(update).encode();
        self.links
            .broadcast(&frame, |session| session.peer().role == Role::Entry);
    }
}
