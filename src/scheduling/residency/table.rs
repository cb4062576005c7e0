//! Residency table of a data centre, maintained by its coordinator.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use snafu::Snafu;

use crate::scheduling::residency::EngineSnapshot;
use crate::scheduling::residency::FORMAT;
use crate::scheduling::residency::Residency;
use crate::scheduling::residency::ResidencyConfig;
use crate::scheduling::residency::Slot;
use crate::scheduling::residency::Table;
use crate::scheduling::residency::TablePull;
use crate::scheduling::residency::TableVersion;
use crate::scheduling::residency::engine::Engine;
use crate::scheduling::residency::engine::Entry;
use crate::scheduling::residency::engine::merge_announcement;
use crate::scheduling::residency::engine::row;
use crate::scheduling::residency::holders::DrainingAdapter;
use crate::scheduling::residency::holders::Holders;
use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Error of a rejected pull.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PullError {
    /// The pull has another format version.
    #[snafu(display("format: {found} is not supported, only {FORMAT} is"))]
    Format {
        /// Format version of the pull.
        found: u16,
    },
    /// The VM has a table of a later term, so this coordinator has been replaced.
    #[snafu(display("known.term: {known} is later than this coordinator's term {term}"))]
    Deposed {
        /// Term of the table that the VM has applied.
        known: u64,
        /// Term of this coordinator.
        term: u64,
    },
}

/// Residency of all engines of a data centre.
#[derive(Clone, Debug)]
pub struct ResidencyTable {
    config: ResidencyConfig,
    data_centre: DataCentre,
    term: u64,
    change: u64,
    backlog_loads: u32,
    engines: BTreeMap<ServerName, Engine>,
    removed: VecDeque<(u64, ServerName)>,
    /// Highest change number that was pruned from `removed`. Deltas from earlier versions are not
    /// possible.
    pruned_change: u64,
    holders: Holders,
}

impl ResidencyTable {
    /// Creates an empty table for the coordinator with `term`. Every VM of `roster` may have cached a
    /// table of an earlier term and blocks evictions until it pulls or its time-out passes.
    pub fn new(
        config: ResidencyConfig,
        data_centre: DataCentre,
        term: u64,
        roster: &[VmName],
        now: MonoMs,
    ) -> Self {
        Self {
            config,
            data_centre,
            term,
            change: 0,
            backlog_loads: 0,
            engines: BTreeMap::new(),
            removed: VecDeque::new(),
            pruned_change: 0,
            holders: Holders::new(config, roster, now),
        }
    }

    /// Data centre of the engines.
    pub fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    /// Version of the table.
    pub fn version(&self) -> TableVersion {
        TableVersion {
            term: self.term,
            change: self.change,
        }
    }

    /// Sets the number of loads waiting for the weight store, which is sent in replies.
    pub fn set_backlog(&mut self, loads: u32) {
        self.backlog_loads = loads;
    }

    /// Records a pull and returns the reply.
    ///
    /// # Errors
    ///
    /// Fails if the format is not supported or the VM has a table of a later term.
    pub fn pull(&mut self, pull: &TablePull, now: MonoMs) -> Result<Table, PullError> {
        if pull.format != FORMAT {
            return FormatSnafu { found: pull.format }.fail();
        }
        if let Some(known) = pull.known.filter(|known| known.term > self.term) {
            let known = known.term;
            return DeposedSnafu {
                known,
                term: self.term,
            }
            .fail();
        }
        self.holders.record(pull, self.term, self.change, now);
        for entry in pull.in_use.iter().filter(|entry| entry.requests > 0) {
            if let Some(entry) = self.entry_mut(&entry.server, &entry.adapter) {
                entry.last_used = entry.last_used.max(now);
            }
        }
        Ok(self.reply(pull.known))
    }

    fn reply(&self, known: Option<TableVersion>) -> Table {
        let since = known.filter(|known| {
            known.term == self.term
                && known.change >= self.pruned_change
                && known.change <= self.change
        });
        let after = since.map_or(0, |since| since.change);
        let rows = self.engines.iter().filter(|(_, engine)| {
            engine.removed_at.is_none() && (since.is_none() || engine.changed > after)
        });
        let removed = self.removed.iter().filter(|(change, server)| {
            since.is_some() && *change > after && self.active_engine(server).is_none()
        });
        Table {
            format: FORMAT,
            data_centre: self.data_centre.clone(),
            version: self.version(),
            since,
            valid_ms: self.config.valid_ms,
            backlog_loads: self.backlog_loads,
            rows: rows.map(|(server, engine)| row(server, engine)).collect(),
            removed: removed.map(|(_, server)| server.clone()).collect(),
        }
    }

    /// Merges an announcement. Returns whether the engine is new or has restarted.
    pub fn observe(&mut self, snapshot: &EngineSnapshot, now: MonoMs) -> bool {
        let known = self.engines.get(&snapshot.server).map(|e| e.incarnation);
        if known.is_some_and(|known| snapshot.incarnation < known) {
            return false;
        }
        let is_new = known != Some(snapshot.incarnation);
        if is_new {
            let engine = Engine {
                incarnation: snapshot.incarnation,
                slots: snapshot.slots,
                positions: snapshot.positions,
                changed: 0,
                removed_at: None,
                adapters: BTreeMap::new(),
                evicted: HashMap::new(),
            };
            self.engines.insert(snapshot.server.clone(), engine);
        }
        let lag_ms = self.config.announcement_lag_ms;
        let change = self.change + 1;
        let changed = match self.engines.get_mut(&snapshot.server) {
            Some(engine) => {
                let returned = engine.removed_at.take().is_some();
                merge_announcement(engine, snapshot, lag_ms, change, now) || returned
            }
            None => false,
        };
        if is_new || changed {
            self.mark_changed(&snapshot.server);
        }
        is_new
    }

    /// Removes an engine that is dead or has left.
    pub fn remove_engine(&mut self, server: &ServerName, now: MonoMs) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        if engine.removed_at.is_some() {
            return;
        }
        engine.removed_at = Some(now);
        self.holders.forget_engine(server);
        self.change += 1;
        self.removed.push_back((self.change, server.clone()));
        while self.removed.len() > self.config.max_removed_engines {
            if let Some((change, _)) = self.removed.pop_front() {
                self.pruned_change = change;
            }
        }
        let keep_ms = self.config.silent_vm_timeout_ms();
        self.engines
            .retain(|_, engine| engine.removed_at.is_none_or(|at| now.since(at) < keep_ms));
    }

    /// Records the adapters in use as reported by an engine that was queried at `sampled`. The report
    /// ends the wait for VMs that can no longer dispatch.
    pub fn record_engine_usage(
        &mut self,
        server: &ServerName,
        adapters: HashSet<AdapterRef>,
        sampled: MonoMs,
    ) {
        self.holders.record_engine_usage(server, adapters, sampled);
    }

    /// Engines with a draining adapter whose eviction has been blocked by a VM for at least
    /// `blocked_ms`.
    pub fn blocked_engines(&self, blocked_ms: u64, now: MonoMs) -> Vec<ServerName> {
        let waits = |engine: &Engine| {
            engine.adapters.values().any(|entry| {
                entry.residency == Residency::Draining
                    && !entry.evicting
                    && now.since(entry.since) >= blocked_ms
            })
        };
        let engines = self.engines.iter();
        engines
            .filter(|(_, engine)| waits(engine))
            .map(|(server, _)| server.clone())
            .collect()
    }

    /// Reserves a slot for a load. Returns false if no slot is free or the adapter occupies one.
    pub fn begin_load(&mut self, server: &ServerName, adapter: &AdapterRef, now: MonoMs) -> bool {
        if self.free_slots(server) == 0 || self.active_engine(server).is_none() {
            return false;
        }
        let Some(engine) = self.engines.get_mut(server) else {
            return false;
        };
        if engine.adapters.contains_key(adapter) {
            return false;
        }
        let entry = Entry::new(Residency::Loading, 0, now);
        engine.adapters.insert(adapter.clone(), entry);
        self.mark_changed(server);
        true
    }

    /// Records that a load has succeeded on `incarnation` of the engine.
    pub fn loaded(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        adapter: &AdapterRef,
        now: MonoMs,
    ) {
        let resident_change = self.change + 1;
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        if engine.incarnation != incarnation {
            return;
        }
        let entry = Entry::new(Residency::Resident, resident_change, now);
        engine.adapters.insert(adapter.clone(), entry);
        self.mark_changed(server);
    }

    /// Records that a load has failed, which frees its slot.
    pub fn load_failed(&mut self, server: &ServerName, adapter: &AdapterRef) {
        self.remove_if(server, adapter, |entry| {
            entry.residency == Residency::Loading
        });
    }

    /// Marks a resident adapter as draining. Returns false if it is not resident.
    pub fn drain(&mut self, server: &ServerName, adapter: &AdapterRef, now: MonoMs) -> bool {
        let drain_change = self.change + 1;
        let Some(entry) = self.entry_mut(server, adapter) else {
            return false;
        };
        if entry.residency != Residency::Resident {
            return false;
        }
        entry.residency = Residency::Draining;
        entry.since = now;
        entry.drain_change = drain_change;
        self.mark_changed(server);
        true
    }

    /// Removes a drain mark. Returns false if there is none or the eviction has been ordered.
    pub fn cancel_drain(&mut self, server: &ServerName, adapter: &AdapterRef, now: MonoMs) -> bool {
        let Some(entry) = self.entry_mut(server, adapter) else {
            return false;
        };
        if entry.residency != Residency::Draining || entry.evicting || entry.eviction_unconfirmed {
            return false;
        }
        entry.residency = Residency::Resident;
        entry.since = now;
        self.mark_changed(server);
        true
    }

    /// Draining adapters that no VM can have in use and whose eviction is not in progress.
    pub fn evictable(&mut self, now: MonoMs) -> Vec<(ServerName, AdapterRef)> {
        self.holders.expire(now);
        let mut clear = Vec::new();
        for (server, engine) in &self.engines {
            for (adapter, entry) in &engine.adapters {
                let draining = entry.residency == Residency::Draining && !entry.evicting;
                if draining && self.is_safe_to_evict(server, adapter, entry, now) {
                    clear.push((server.clone(), adapter.clone()));
                }
            }
        }
        clear
    }

    /// Records that an eviction is ordered. Returns false if it is not safe and must not be ordered.
    pub fn begin_eviction(
        &mut self,
        server: &ServerName,
        adapter: &AdapterRef,
        now: MonoMs,
    ) -> bool {
        let entry = self
            .engines
            .get(server)
            .and_then(|engine| engine.adapters.get(adapter));
        let may_evict = entry.is_some_and(|entry| {
            let draining = entry.residency == Residency::Draining && !entry.evicting;
            draining && self.is_safe_to_evict(server, adapter, entry, now)
        });
        if let Some(entry) = self.entry_mut(server, adapter) {
            entry.evicting |= may_evict;
        }
        may_evict
    }

    fn is_safe_to_evict(
        &self,
        server: &ServerName,
        adapter: &AdapterRef,
        entry: &Entry,
        now: MonoMs,
    ) -> bool {
        let drain = DrainingAdapter {
            server,
            adapter,
            drain_change: entry.drain_change,
            resident_change: entry.resident_change,
        };
        self.holders.is_safe_to_evict(&drain, now)
    }

    /// Records that an eviction has succeeded, which frees the slot.
    pub fn evicted(&mut self, server: &ServerName, adapter: &AdapterRef, now: MonoMs) {
        self.remove_if(server, adapter, |entry| entry.evicting);
        if let Some(engine) = self.engines.get_mut(server) {
            engine.evicted.insert(adapter.clone(), now);
        }
    }

    /// Records that an eviction has failed. The adapter keeps draining. If the engine did not answer,
    /// the eviction may still be carried out, so the drain mark can no longer be removed.
    pub fn eviction_failed(
        &mut self,
        server: &ServerName,
        adapter: &AdapterRef,
        answered: bool,
        now: MonoMs,
    ) {
        if let Some(entry) = self.entry_mut(server, adapter) {
            entry.evicting = false;
            entry.eviction_unconfirmed |= !answered;
            entry.since = now;
        }
    }

    /// Engines in name order.
    pub fn servers(&self) -> impl Iterator<Item = &ServerName> {
        let present = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.removed_at.is_none());
        present.map(|(server, _)| server)
    }

    /// Incarnation of an engine.
    pub fn incarnation(&self, server: &ServerName) -> Option<u64> {
        self.engines.get(server).map(|engine| engine.incarnation)
    }

    /// Slots of an engine that are neither occupied nor reserved for a load.
    pub fn free_slots(&self, server: &ServerName) -> u32 {
        self.engines.get(server).map_or(0, |engine| {
            let taken = u32::try_from(engine.adapters.len()).unwrap_or(u32::MAX);
            engine.slots.saturating_sub(taken)
        })
    }

    /// Free batch positions of an engine, as of the last pulls of all VMs.
    pub fn free_positions(&self, server: &ServerName) -> u32 {
        self.engines.get(server).map_or(0, |engine| {
            let running = self.holders.running_on(server);
            engine.positions.saturating_sub(running)
        })
    }

    /// Adapters on an engine in name order.
    pub fn slots(&self, server: &ServerName) -> impl Iterator<Item = Slot<'_>> {
        let engine = self.engines.get(server);
        let entries = engine.into_iter().flat_map(|engine| &engine.adapters);
        entries.map(|(adapter, entry)| Slot {
            adapter,
            residency: entry.residency,
            since: entry.since,
            last_used: entry.last_used,
            evicting: entry.evicting,
        })
    }

    /// State of `adapter` on `server`.
    pub fn state(&self, server: &ServerName, adapter: &AdapterRef) -> Option<Residency> {
        let entry = self.engines.get(server)?.adapters.get(adapter)?;
        Some(entry.residency)
    }

    /// Requests in flight on `adapter` of `server`, as of the last pulls of all VMs.
    pub fn in_use(&self, server: &ServerName, adapter: &AdapterRef) -> u32 {
        self.holders.in_use(server, adapter)
    }

    fn active_engine(&self, server: &ServerName) -> Option<&Engine> {
        self.engines
            .get(server)
            .filter(|engine| engine.removed_at.is_none())
    }

    fn entry_mut(&mut self, server: &ServerName, adapter: &AdapterRef) -> Option<&mut Entry> {
        self.engines.get_mut(server)?.adapters.get_mut(adapter)
    }

    fn mark_changed(&mut self, server: &ServerName) {
        self.change += 1;
        if let Some(engine) = self.engines.get_mut(server) {
            engine.changed = self.change;
        }
    }

    fn remove_if(
        &mut self,
        server: &ServerName,
        adapter: &AdapterRef,
        condition: impl Fn(&Entry) -> bool,
    ) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        if engine.adapters.get(adapter).is_some_and(condition) {
            engine.adapters.remove(adapter);
            self.mark_changed(server);
        }
    }
}
