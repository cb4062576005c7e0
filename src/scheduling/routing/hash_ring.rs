//! Consistent hashing of adapters to engines.

use std::collections::BTreeMap;

use crate::types::AdapterRef;
use crate::types::ServerName;

/// Points on the ring per engine. More points distribute the adapters more evenly.
const POINTS_PER_ENGINE: u64 = 64;

/// Ring of hash points, each owned by an engine.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    points: BTreeMap<u64, ServerName>,
}

impl HashRing {
    /// Adds the points of `server`.
    pub fn insert(&mut self, server: &ServerName) {
        for point in points_of(server) {
            self.points.insert(point, server.clone());
        }
    }

    /// Removes the points of `server`. Its adapters move to the next points on the ring.
    pub fn remove(&mut self, server: &ServerName) {
        for point in points_of(server) {
            if self.points.get(&point) == Some(server) {
                self.points.remove(&point);
            }
        }
    }

    /// The engine that owns `adapter`.
    pub fn owner(&self, adapter: &AdapterRef) -> Option<&ServerName> {
        let mut after = self.points.range(hash_adapter(adapter)..);
        let point = after.next().or_else(|| self.points.first_key_value())?;
        Some(point.1)
    }
}

fn points_of(server: &ServerName) -> impl Iterator<Item = u64> {
    let base = hash_text(server.as_str());
    (0..POINTS_PER_ENGINE).map(move |point| mix(base ^ mix(point)))
}

/// Hash of an adapter reference. Equal on all VMs, unlike the standard library's.
pub(super) fn hash_adapter(adapter: &AdapterRef) -> u64 {
    let name = hash_text(adapter.base()) ^ mix(hash_text(adapter.adapter()));
    mix(name ^ u64::from(adapter.version()))
}

/// FNV-1a hash of a text, finalised with [`mix`]. Equal on all VMs.
pub(super) fn hash_text(text: &str) -> u64 {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash)
}

/// Finaliser of SplitMix64: spreads differences over all bits.
pub(super) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
