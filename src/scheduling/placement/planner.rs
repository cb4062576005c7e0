//! Placement planner of one data centre.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::scheduling::placement::AdapterDemand;
use crate::scheduling::placement::Demand;
use crate::scheduling::placement::EngineOrder;
use crate::scheduling::placement::OrderResult;
use crate::scheduling::placement::PlannerConfig;
use crate::scheduling::placement::StoreBudget;
use crate::scheduling::placement::StoreShare;
use crate::scheduling::placement::eviction::PlacementContext;
use crate::scheduling::placement::eviction::Victim;
use crate::scheduling::placement::eviction::count_copies;
use crate::scheduling::placement::eviction::has_copy;
use crate::scheduling::placement::load_backoff::LoadBackoff;
use crate::scheduling::placement::load_candidates::LoadCandidate;
use crate::scheduling::placement::load_candidates::LoadReason;
use crate::scheduling::popularity::FleetPopularity;
use crate::scheduling::residency::EngineSnapshot;
use crate::scheduling::residency::PullError;
use crate::scheduling::residency::Residency;
use crate::scheduling::residency::ResidencyTable;
use crate::scheduling::residency::ResidencyView;
use crate::scheduling::residency::Table;
use crate::scheduling::residency::TablePull;
use crate::scheduling::routing::Policy;
use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Popularity below which an adapter's counters are dropped, in decayed tokens.
const MIN_POPULARITY_TOKENS: f32 = 1.0;
/// Interval at which stale popularity counters and back-offs are dropped, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 10_000;
/// Interval at which all adapters are ranked by popularity, in milliseconds.
const RANKING_INTERVAL_MS: u64 = 1_000;
/// Waiting time of an urgent request after which an adapter in use may be drained for it, in
/// milliseconds.
const EVICT_IN_USE_AFTER_MS: u64 = 500;

/// Decides on loads and evictions in one data centre.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(super) config: PlannerConfig,
    policy: Policy,
    pub(super) table: ResidencyTable,
    popularity: FleetPopularity,
    demand: Demand,
    pub(super) store: StoreBudget,
    pub(super) load_backoff: LoadBackoff,
    eviction_retry_at: HashMap<(ServerName, AdapterRef), MonoMs>,
    /// Engines that did not answer an order and have not announced themselves since.
    unresponsive: HashSet<ServerName>,
    pruned_at: MonoMs,
    /// The most popular adapters, as of `ranked_at`.
    top: Vec<(AdapterRef, f32)>,
    ranked_at: MonoMs,
    loads_by_reason: BTreeMap<LoadReason, u64>,
}

impl Planner {
    /// Creates the planner of a coordinator whose term begins at `now`. Loads and evictions ordered by
    /// the previous coordinator must have ended by then.
    pub fn new(
        config: PlannerConfig,
        policy: Policy,
        data_centre: DataCentre,
        term: u64,
        roster: &[VmName],
        share: StoreShare,
        now: MonoMs,
    ) -> Self {
        let residency = config.residency;
        Self {
            config,
            policy,
            table: ResidencyTable::new(residency, data_centre.clone(), term, roster, now),
            popularity: FleetPopularity::new(config.popularity, data_centre),
            demand: Demand::default(),
            store: StoreBudget::new(share, now),
            load_backoff: LoadBackoff::default(),
            eviction_retry_at: HashMap::new(),
            unresponsive: HashSet::new(),
            pruned_at: now,
            top: Vec::new(),
            ranked_at: now,
            loads_by_reason: BTreeMap::new(),
        }
    }

    /// Residency table of the data centre.
    pub fn table(&self) -> &ResidencyTable {
        &self.table
    }

    /// Number of loads started by this planner, by reason. Loads of baseline policies are not counted.
    pub fn loads_started(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.loads_by_reason
            .iter()
            .map(|(reason, loads)| (reason.as_str(), *loads))
    }

    /// Changes the data centre's share of the store's limits.
    pub fn set_share(&mut self, share: StoreShare, now: MonoMs) {
        self.store.set_share(share, now);
    }

    /// Records a pull and returns the reply.
    ///
    /// # Errors
    ///
    /// Fails if the format is not supported or the VM has a table of a later term.
    pub fn on_pull(&mut self, pull: &TablePull, now: MonoMs) -> Result<Table, PullError> {
        let table = self.table.pull(pull, now)?;
        self.demand.update(&pull.vm, &pull.waiting, now);
        if let Some(summary) = &pull.popularity {
            self.popularity
                .merge(&pull.vm, &pull.vm_data_centre, summary, now);
        }
        Ok(table)
    }

    /// Merges an engine's announcement.
    pub fn on_announcement(&mut self, snapshot: &EngineSnapshot, now: MonoMs) {
        self.unresponsive.remove(&snapshot.server);
        self.table.observe(snapshot, now);
    }

    /// Records the adapters in use as reported by an engine that was queried at `sampled`.
    pub fn on_engine_usage(
        &mut self,
        server: &ServerName,
        adapters: HashSet<AdapterRef>,
        sampled: MonoMs,
    ) {
        self.table.record_engine_usage(server, adapters, sampled);
    }

    /// Removes an engine that is dead or has left.
    pub fn remove_engine(&mut self, server: &ServerName, now: MonoMs) {
        self.unresponsive.remove(server);
        self.table.remove_engine(server, now);
    }

    /// Records the result of an order.
    pub fn on_result(&mut self, result: &OrderResult, now: MonoMs) {
        if result.incarnation.is_none() {
            let (EngineOrder::Load { server, .. } | EngineOrder::Evict { server, .. }) =
                &result.order;
            self.unresponsive.insert(server.clone());
        }
        match &result.order {
            EngineOrder::Load { server, adapter } => {
                self.store.end(server, adapter);
                match result.incarnation.filter(|_| result.done) {
                    Some(incarnation) => {
                        self.load_backoff.record_success(server, adapter);
                        self.table.loaded(server, incarnation, adapter, now);
                    }
                    None => self.load_failed(server, adapter, now),
                }
            }
            EngineOrder::Evict { server, adapter } if result.done => {
                self.eviction_retry_at
                    .remove(&(server.clone(), adapter.clone()));
                self.table.evicted(server, adapter, now);
            }
            EngineOrder::Evict { server, adapter } => {
                let retry_at = now.plus(self.config.retry_ms);
                self.eviction_retry_at
                    .insert((server.clone(), adapter.clone()), retry_at);
                let answered = result.incarnation.is_some();
                self.table.eviction_failed(server, adapter, answered, now);
            }
        }
    }

    fn load_failed(&mut self, server: &ServerName, adapter: &AdapterRef, now: MonoMs) {
        let (retry_ms, max_retry_ms) = (self.config.retry_ms, self.config.max_retry_ms);
        self.load_backoff
            .record_failure(server, adapter, retry_ms, max_retry_ms, now);
        self.table.load_failed(server, adapter);
    }

    /// Returns the orders to carry out at `now`. `remote` is the residency view of the coordinator's
    /// own VM. Must be called after each pull and result, and at least every 250 ms.
    pub fn plan(&mut self, now: MonoMs, remote: &ResidencyView) -> Vec<EngineOrder> {
        self.prune_state(now);
        let mut orders = self.evictions(now);
        let waiting = self.demand.merged();
        match self.policy {
            Policy::Estimate => self.plan_by_value(&waiting, remote, now, &mut orders),
            Policy::LeastLoaded | Policy::HashAffinity => {
                self.plan_on_demand(&waiting, now, &mut orders);
            }
        }
        orders
    }

    fn prune_state(&mut self, now: MonoMs) {
        for (server, adapter) in self.store.overdue(self.config.order_timeout_ms, now) {
            self.store.end(&server, &adapter);
            self.load_failed(&server, &adapter, now);
        }
        self.demand.expire(self.config.residency.valid_ms, now);
        if now.since(self.ranked_at) >= RANKING_INTERVAL_MS {
            self.ranked_at = now;
            self.top = self.popularity.top(self.config.prefetch_candidates, now);
        }
        if now.since(self.pruned_at) >= PRUNE_INTERVAL_MS {
            self.pruned_at = now;
            self.popularity.prune(MIN_POPULARITY_TOKENS, now);
            self.load_backoff.prune(self.config.max_retry_ms, now);
            self.eviction_retry_at.retain(|_, retry_at| now < *retry_at);
        }
    }

    fn evictions(&mut self, now: MonoMs) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        for (server, adapter) in self.table.evictable(now) {
            let key = (server.clone(), adapter.clone());
            let is_delayed = self
                .eviction_retry_at
                .get(&key)
                .is_some_and(|retry_at| now < *retry_at);
            if !is_delayed && self.table.begin_eviction(&server, &adapter, now) {
                orders.push(EngineOrder::Evict { server, adapter });
            }
        }
        orders
    }

    fn plan_by_value(
        &mut self,
        waiting: &BTreeMap<AdapterRef, AdapterDemand>,
        remote: &ResidencyView,
        now: MonoMs,
        orders: &mut Vec<EngineOrder>,
    ) {
        self.cancel_wanted_drains(waiting, now);
        let candidates = self
            .placement_context(waiting, remote, now)
            .load_candidates();
        let urgent = candidates
            .iter()
            .filter(|candidate| candidate.reason <= LoadReason::Busy);
        self.table
            .set_backlog(u32::try_from(urgent.count()).unwrap_or(u32::MAX));
        let mut unmet = Vec::new();
        for candidate in candidates {
            // Loads for other reasons are held back while urgent requests wait.
            let urgent_waits = unmet
                .iter()
                .any(|candidate: &LoadCandidate| candidate.reason <= LoadReason::Busy);
            let may_load = candidate.reason <= LoadReason::Busy || !urgent_waits;
            match self.load(&candidate, now).filter(|_| may_load) {
                Some(order) => orders.push(order),
                None => unmet.push(candidate),
            }
        }
        self.drain_for_unmet(&unmet, waiting, remote, now);
    }

    /// Cancels the drain of adapters for which requests wait again.
    fn cancel_wanted_drains(&mut self, waiting: &BTreeMap<AdapterRef, AdapterDemand>, now: MonoMs) {
        for (server, adapter) in self.draining() {
            if waiting.contains_key(&adapter) {
                self.table.cancel_drain(&server, &adapter, now);
            }
        }
    }

    fn draining(&self) -> Vec<(ServerName, AdapterRef)> {
        let mut draining = Vec::new();
        for server in self.table.servers() {
            for slot in self.table.slots(server) {
                if slot.residency == Residency::Draining {
                    draining.push((server.clone(), slot.adapter.clone()));
                }
            }
        }
        draining
    }

    fn placement_context<'a>(
        &'a self,
        waiting: &'a BTreeMap<AdapterRef, AdapterDemand>,
        remote: &'a ResidencyView,
        now: MonoMs,
    ) -> PlacementContext<'a> {
        PlacementContext {
            config: &self.config,
            table: &self.table,
            popularity: &self.popularity,
            waiting,
            remote,
            copies: count_copies(&self.table),
            top: &self.top,
            now,
        }
    }

    /// Starts the load of `candidate` if the store budget allows it and an engine has a free slot.
    fn load(&mut self, candidate: &LoadCandidate, now: MonoMs) -> Option<EngineOrder> {
        let reserved = match candidate.reason {
            LoadReason::Stalled | LoadReason::Busy => 0.0,
            _ => self.config.reserved_loads,
        };
        if self.store.available(reserved, now) == 0
            || !self.load_backoff.may_load(&candidate.adapter, now)
        {
            return None;
        }
        let server = self.free_engine(candidate, now)?;
        let order = self.start_load(&server, &candidate.adapter, now)?;
        *self.loads_by_reason.entry(candidate.reason).or_default() += 1;
        Some(order)
    }

    pub(super) fn start_load(
        &mut self,
        server: &ServerName,
        adapter: &AdapterRef,
        now: MonoMs,
    ) -> Option<EngineOrder> {
        if !self.table.begin_load(server, adapter, now) {
            return None;
        }
        if !self.store.start(server, adapter, now) {
            self.table.load_failed(server, adapter);
            return None;
        }
        Some(EngineOrder::Load {
            server: server.clone(),
            adapter: adapter.clone(),
        })
    }

    /// Engine with the most free batch positions among those with a free slot.
    fn free_engine(&self, candidate: &LoadCandidate, now: MonoMs) -> Option<ServerName> {
        let usable = self.table.servers().filter(|server| {
            self.table.free_slots(server) > 0
                && !self.unresponsive.contains(*server)
                && self.table.state(server, &candidate.adapter).is_none()
                && self
                    .load_backoff
                    .may_load_on(server, &candidate.adapter, now)
        });
        let free = |server: &&ServerName| {
            (
                self.table.free_positions(server),
                self.table.free_slots(server),
            )
        };
        let best = usable.max_by_key(free)?;
        let helps =
            candidate.reason != LoadReason::BusyPatient || self.table.free_positions(best) > 0;
        helps.then(|| best.clone())
    }

    /// Drains the least valuable adapters to free slots for the candidates in `unmet`.
    fn drain_for_unmet(
        &mut self,
        unmet: &[LoadCandidate],
        waiting: &BTreeMap<AdapterRef, AdapterDemand>,
        remote: &ResidencyView,
        now: MonoMs,
    ) {
        let free: u32 = self.table.servers().map(|s| self.table.free_slots(s)).sum();
        let mut available_slots = free as usize + self.draining().len();
        let max_loads = self.store.available(0.0, now).max(1) as usize;
        let mut victims = self.placement_context(waiting, remote, now).victims();
        let mut chosen = Vec::new();
        let mut reserved_slots = 0;
        for candidate in unmet.iter().take(max_loads) {
            if available_slots == reserved_slots {
                let at = victims
                    .iter()
                    .position(|victim| self.may_replace(victim, candidate));
                let Some(at) = at else { continue };
                chosen.push(victims.remove(at));
                available_slots += 1;
            }
            reserved_slots += 1;
        }
        let mut victims = victims.into_iter();
        let spare = self.config.spare_slots as usize;
        while available_slots < reserved_slots + spare {
            match victims.next() {
                Some(victim) if victim.in_use == 0 => chosen.push(victim),
                _ => break,
            }
            available_slots += 1;
        }
        for victim in chosen {
            self.table.drain(&victim.server, &victim.adapter, now);
        }
    }

    fn may_replace(&self, victim: &Victim, candidate: &LoadCandidate) -> bool {
        let silent = self.unresponsive.contains(&victim.server);
        if silent || has_copy(&self.table, &victim.server, &candidate.adapter) {
            return false;
        }
        let idle = victim.in_use == 0;
        let has_room = self.table.free_positions(&victim.server) > 0;
        match candidate.reason {
            LoadReason::Stalled | LoadReason::Busy => {
                idle || candidate.waited_ms >= EVICT_IN_USE_AFTER_MS
            }
            LoadReason::Patient | LoadReason::Hot => {
                idle && has_room && victim.value * self.config.hysteresis < candidate.score
            }
            LoadReason::BusyPatient => {
                idle && has_room && victim.value < self.config.max_idle_score
            }
            // Adapters evicted for a prefetch were loaded again so often that the prefetch did not pay
            // for its load.
            LoadReason::Prefetch => false,
        }
    }
}
