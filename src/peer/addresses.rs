//! Addresses of the peer services of other VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::RwLock;

use crate::types::VmName;

/// Addresses of the peer services: initially from the settings, replaced by announced addresses as
/// they become known. Clones share the addresses.
#[derive(Clone, Debug, Default)]
pub struct PeerAddresses {
    addresses: Arc<RwLock<HashMap<VmName, SocketAddr>>>,
}

impl PeerAddresses {
    /// Creates the map with the addresses in the settings.
    pub fn new(known: impl IntoIterator<Item = (VmName, SocketAddr)>) -> Self {
        Self {
            addresses: Arc::new(RwLock::new(known.into_iter().collect())),
        }
    }

    /// Sets the address of `vm`.
    pub fn set(&self, vm: VmName, address: SocketAddr) {
        let mut addresses = self.addresses.write().expect("no holder panics");
        addresses.insert(vm, address);
    }

    /// The address of `vm`, if known.
    pub fn get(&self, vm: &VmName) -> Option<SocketAddr> {
        let addresses = self.addresses.read().expect("no holder panics");
        addresses.get(vm).copied()
    }
}
