//! State of one engine in the coordinator's residency table.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::scheduling::residency::EngineRow;
use crate::scheduling::residency::Residency;
use crate::types::AdapterRef;
use crate::types::MonoMs;
use crate::types::ServerName;

/// State of an engine according to its last announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineSnapshot {
    /// The engine.
    pub server: ServerName,
    /// Incarnation. A higher one starts without adapters.
    pub incarnation: u64,
    /// Adapter slots.
    pub slots: u32,
    /// Batch positions: requests that the engine runs concurrently.
    pub positions: u32,
    /// Adapters that the engine lists as resident.
    pub resident: Vec<AdapterRef>,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) residency: Residency,
    /// Time of the last change of `residency`.
    pub(super) since: MonoMs,
    pub(super) last_used: MonoMs,
    /// Change number at which the adapter became resident.
    pub(super) resident_change: u64,
    /// Change number of the drain mark.
    pub(super) drain_change: u64,
    pub(super) evicting: bool,
    /// An eviction order was not answered and may still be carried out.
    pub(super) eviction_unconfirmed: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) incarnation: u64,
    pub(super) slots: u32,
    pub(super) positions: u32,
    pub(super) changed: u64,
    /// Time at which the engine was removed. Its entries are kept, because orders may still be in
    /// flight if the same incarnation comes back.
    pub(super) removed_at: Option<MonoMs>,
    pub(super) adapters: BTreeMap<AdapterRef, Entry>,
    /// Recently evicted adapters. Announcements in flight may still list them.
    pub(super) evicted: HashMap<AdapterRef, MonoMs>,
}

/// Occupied adapter slot, as seen by placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slot<'a> {
    /// The adapter.
    pub adapter: &'a AdapterRef,
    /// Its state.
    pub residency: Residency,
    /// Time of the last change of state.
    pub since: MonoMs,
    /// Last time at which a VM reported the adapter in use, or the time of its load.
    pub last_used: MonoMs,
    /// An eviction was ordered and has not finished.
    pub evicting: bool,
}

impl Entry {
    pub(super) fn new(residency: Residency, resident_change: u64, now: MonoMs) -> Self {
        Self {
            residency,
            since: now,
            last_used: now,
            resident_change,
            drain_change: 0,
            evicting: false,
            eviction_unconfirmed: false,
        }
    }
}

pub(super) fn row(server: &ServerName, engine: &Engine) -> EngineRow {
    let adapters = engine.adapters.iter();
    EngineRow {
        server: server.clone(),
        incarnation: engine.incarnation,
        slots: engine.slots,
        adapters: adapters
            .map(|(a, entry)| (a.clone(), entry.residency))
            .collect(),
    }
}

/// Adds the adapters that the engine announces and removes those that it no longer announces.
/// Returns whether anything changed.
///
/// Differences younger than `lag_ms` are ignored, because announcements lag behind the results of
/// orders. `change` is the change number under which additions are published.
pub(super) fn merge_announcement(
    engine: &mut Engine,
    snapshot: &EngineSnapshot,
    lag_ms: u64,
    change: u64,
    now: MonoMs,
) -> bool {
    let mut changed = engine.slots != snapshot.slots;
    engine.slots = snapshot.slots;
    engine.positions = snapshot.positions;
    engine.evicted.retain(|_, at| now.since(*at) < lag_ms);
    for adapter in &snapshot.resident {
        if !engine.adapters.contains_key(adapter) && !engine.evicted.contains_key(adapter) {
            let entry = Entry::new(Residency::Resident, change, now);
            engine.adapters.insert(adapter.clone(), entry);
            changed = true;
        }
    }
    let before = engine.adapters.len();
    engine.adapters.retain(|adapter, entry| {
        let unsettled = entry.residency == Residency::Loading || now.since(entry.since) < lag_ms;
        unsettled || entry.evicting || snapshot.resident.contains(adapter)
    });
    changed || engine.adapters.len() != before
}
