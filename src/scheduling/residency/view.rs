//! Residency tables cached on one VM, and the adapters that the VM has in use.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::scheduling::popularity::PopularitySummary;
use crate::scheduling::residency::EngineRow;
use crate::scheduling::residency::FORMAT;
use crate::scheduling::residency::InUse;
use crate::scheduling::residency::Residency;
use crate::scheduling::residency::Table;
use crate::scheduling::residency::TablePull;
use crate::scheduling::residency::TableVersion;
use crate::scheduling::residency::WaitingAdapter;
use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Permission for one dispatch, counted as a use of the adapter. Return it with
/// [`ResidencyView::finish`] when the request has ended.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a permit that is not returned blocks the eviction of its adapter"]
pub struct DispatchPermit {
    /// The engine.
    pub server: ServerName,
    /// Incarnation of the engine at dispatch.
    pub incarnation: u64,
    /// The adapter with its version.
    pub adapter: AdapterRef,
    data_centre: DataCentre,
}

#[derive(Clone, Debug)]
struct CachedTable {
    version: TableVersion,
    valid_until: MonoMs,
    backlog_loads: u32,
    rows: HashMap<ServerName, EngineRow>,
}

/// Tables of all data centres, cached on one VM.
#[derive(Clone, Debug)]
pub struct ResidencyView {
    vm: VmName,
    vm_data_centre: DataCentre,
    incarnation: u64,
    started: MonoMs,
    tables: BTreeMap<DataCentre, CachedTable>,
    resident: HashMap<AdapterRef, Vec<(ServerName, DataCentre)>>,
    in_use: BTreeMap<DataCentre, BTreeMap<(ServerName, AdapterRef), u32>>,
    leaving: bool,
}

impl ResidencyView {
    /// Creates a view without tables for the incarnation of `vm` that started at `started`.
    pub fn new(vm: VmName, vm_data_centre: DataCentre, incarnation: u64, started: MonoMs) -> Self {
        Self {
            vm,
            vm_data_centre,
            incarnation,
            started,
            tables: BTreeMap::new(),
            resident: HashMap::new(),
            in_use: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Stops dispatching. The next pulls inform the coordinators.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Creates the pull for the coordinator of `data_centre`. Keep the time from before it is sent:
    /// [`ResidencyView::apply`] needs it.
    pub fn pull(
        &self,
        data_centre: &DataCentre,
        waiting: Vec<WaitingAdapter>,
        popularity: Option<PopularitySummary>,
        now: MonoMs,
    ) -> TablePull {
        TablePull {
            format: FORMAT,
            vm: self.vm.clone(),
            vm_data_centre: self.vm_data_centre.clone(),
            incarnation: self.incarnation,
            up_ms: now.since(self.started),
            known: self.tables.get(data_centre).map(|table| table.version),
            in_use: self.reported_uses(data_centre),
            waiting,
            popularity,
            leaving: self.leaving,
        }
    }

    fn reported_uses(&self, data_centre: &DataCentre) -> Vec<InUse> {
        let Some(uses) = self.in_use.get(data_centre) else {
            return Vec::new();
        };
        uses.iter()
            .map(|((server, adapter), requests)| InUse {
                server: server.clone(),
                adapter: adapter.clone(),
                requests: *requests,
            })
            .collect()
    }

    /// Applies a reply and returns whether it was usable. Replies older than the cached version and
    /// deltas to another version are ignored.
    pub fn apply(&mut self, table: Table, pull_sent: MonoMs) -> bool {
        if table.format != FORMAT {
            return false;
        }
        let cached = self.tables.get(&table.data_centre);
        let held_version = cached.map(|cached| cached.version);
        if held_version.is_some_and(|cached| table.version < cached) {
            return false;
        }
        if table.since.is_some() && table.since != held_version {
            return false;
        }
        let valid_until = pull_sent.plus(table.valid_ms);
        let is_delta = table.since.is_some();
        let mut cached = match self.tables.remove(&table.data_centre) {
            Some(cached) => cached,
            None => CachedTable {
                version: table.version,
                valid_until,
                backlog_loads: 0,
                rows: HashMap::new(),
            },
        };
        if cached.version.term != table.version.term {
            cached.valid_until = valid_until;
        }
        cached.version = table.version;
        cached.valid_until = cached.valid_until.max(valid_until);
        cached.backlog_loads = table.backlog_loads;
        self.replace_rows(&mut cached, &table, is_delta);
        self.tables.insert(table.data_centre, cached);
        true
    }

    fn replace_rows(&mut self, cached: &mut CachedTable, table: &Table, is_delta: bool) {
        if !is_delta {
            for (_, row) in cached.rows.drain() {
                self.unindex(&row);
            }
        }
        for server in &table.removed {
            if let Some(row) = cached.rows.remove(server) {
                self.unindex(&row);
            }
        }
        for row in &table.rows {
            if let Some(old) = cached.rows.insert(row.server.clone(), row.clone()) {
                self.unindex(&old);
            }
            self.index(row, &table.data_centre);
        }
    }

    fn index(&mut self, row: &EngineRow, data_centre: &DataCentre) {
        for (adapter, residency) in &row.adapters {
            if *residency == Residency::Resident {
                let servers = self.resident.entry(adapter.clone()).or_default();
                servers.push((row.server.clone(), data_centre.clone()));
            }
        }
    }

    fn unindex(&mut self, row: &EngineRow) {
        for (adapter, _) in &row.adapters {
            if let Some(servers) = self.resident.get_mut(adapter) {
                servers.retain(|(server, _)| *server != row.server);
                if servers.is_empty() {
                    self.resident.remove(adapter);
                }
            }
        }
    }

    /// Whether a request for `adapter` may be dispatched to `server` at `now`.
    pub fn may_dispatch(&self, server: &ServerName, adapter: &AdapterRef, now: MonoMs) -> bool {
        !self.leaving && self.listing_data_centre(server, adapter, now).is_some()
    }

    fn listing_data_centre(
        &self,
        server: &ServerName,
        adapter: &AdapterRef,
        now: MonoMs,
    ) -> Option<&DataCentre> {
        let servers = self.resident.get(adapter)?;
        let (_, data_centre) = servers.iter().find(|(name, _)| name == server)?;
        let table = self.tables.get(data_centre)?;
        (now < table.valid_until).then_some(data_centre)
    }

    /// Checks and counts a dispatch in one step. Returns `None` if it is not allowed.
    pub fn begin(
        &mut self,
        server: &ServerName,
        adapter: &AdapterRef,
        now: MonoMs,
    ) -> Option<DispatchPermit> {
        if self.leaving {
            return None;
        }
        let data_centre = self.listing_data_centre(server, adapter, now)?.clone();
        let incarnation = self.tables[&data_centre].rows[server].incarnation;
        let uses = self.in_use.entry(data_centre.clone()).or_default();
        *uses.entry((server.clone(), adapter.clone())).or_default() += 1;
        Some(DispatchPermit {
            server: server.clone(),
            incarnation,
            adapter: adapter.clone(),
            data_centre,
        })
    }

    /// Returns the permit of a request that has ended.
    pub fn finish(&mut self, permit: DispatchPermit) {
        let Some(uses) = self.in_use.get_mut(&permit.data_centre) else {
            return;
        };
        let key = (permit.server, permit.adapter);
        if let Some(requests) = uses.get_mut(&key) {
            *requests -= 1;
            if *requests == 0 {
                uses.remove(&key);
            }
        }
    }

    /// Requests in flight from this VM on `adapter` of `server`.
    pub fn in_use(&self, server: &ServerName, adapter: &AdapterRef) -> u32 {
        let key = (server.clone(), adapter.clone());
        self.in_use.values().filter_map(|uses| uses.get(&key)).sum()
    }

    /// Requests in flight from this VM on all engines.
    pub fn total_in_use(&self) -> u32 {
        self.in_use.values().flat_map(|uses| uses.values()).sum()
    }

    /// Engines on which `adapter` is resident. Does not check whether the tables have expired.
    pub fn residents(&self, adapter: &AdapterRef) -> &[(ServerName, DataCentre)] {
        self.resident.get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Whether the table of `data_centre` is cached and has not expired.
    pub fn is_current(&self, data_centre: &DataCentre, now: MonoMs) -> bool {
        let table = self.tables.get(data_centre);
        table.is_some_and(|table| now < table.valid_until)
    }

    /// Loads waiting for the weight store in `data_centre`, as of its last table.
    pub fn backlog_loads(&self, data_centre: &DataCentre) -> u32 {
        self.tables
            .get(data_centre)
            .map_or(0, |table| table.backlog_loads)
    }

    /// Data centres with a cached table, in name order.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.tables.keys()
    }

    /// State of `adapter` on `server` in the cached table.
    pub fn state(&self, server: &ServerName, adapter: &AdapterRef) -> Option<Residency> {
        let row = self
            .tables
            .values()
            .find_map(|table| table.rows.get(server))?;
        let (_, residency) = row.adapters.iter().find(|(name, _)| name == adapter)?;
        Some(*residency)
    }
}
