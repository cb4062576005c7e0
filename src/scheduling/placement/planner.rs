//! The planner of one data centre.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::scheduling::placement::Demand;
use crate::scheduling::placement::EngineOrder;
use crate::scheduling::placement::OrderResult;
use crate::scheduling::placement::PlannerConfig;
use crate::scheduling::placement::StoreBudget;
use crate::scheduling::placement::StoreShare;
use crate::scheduling::placement::WaitingLoad;
use crate::scheduling::placement::failures::Failures;
use crate::scheduling::placement::needs::Need;
use crate::scheduling::placement::needs::Reason;
use crate::scheduling::placement::victims::Keeping;
use crate::scheduling::placement::victims::Victim;
use crate::scheduling::placement::victims::count_copies;
use crate::scheduling::placement::victims::has_copy;
use crate::scheduling::popularity::FleetPopularity;
use crate::scheduling::residency::EngineSeen;
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

/// Popularity below which an adapter is forgotten, in decayed tokens.
const POPULARITY_FLOOR_TOKENS: f32 = 1.0;
/// Time between two rounds of forgetting, in milliseconds.
const PRUNE_MS: u64 = 10_000;
/// Time between two rankings of all adapters by popularity, in milliseconds.
const RANK_MS: u64 = 1_000;
/// Time after which an urgent request may claim a slot whose adapter is in use, in milliseconds.
const CLAIM_IN_USE_MS: u64 = 500;

/// Decides loads and evictions in one data centre.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(super) config: PlannerConfig,
    policy: Policy,
    pub(super) table: ResidencyTable,
    popularity: FleetPopularity,
    demand: Demand,
    pub(super) store: StoreBudget,
    pub(super) failures: Failures,
    evict_again: HashMap<(ServerName, AdapterRef), MonoMs>,
    /// Engines that left an order unanswered and have not announced themselves since.
    unanswered: HashSet<ServerName>,
    pruned: MonoMs,
    /// The most popular adapters, as of `ranked`.
    top: Vec<(AdapterRef, f32)>,
    ranked: MonoMs,
    started: BTreeMap<Reason, u64>,
}

impl Planner {
    /// The planner of a coordinator whose term has just begun. Wait before that until loads and
    /// evictions ordered by the predecessor have ended.
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
            failures: Failures::default(),
            evict_again: HashMap::new(),
            unanswered: HashSet::new(),
            pruned: now,
            top: Vec::new(),
            ranked: now,
            started: BTreeMap::new(),
        }
    }

    /// The residency table.
    pub fn table(&self) -> &ResidencyTable {
        &self.table
    }

    /// Loads started since the start, by reason. Baseline policies do not count.
    pub fn loads_started(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.started
            .iter()
            .map(|(reason, loads)| (reason.as_str(), *loads))
    }

    /// Changes the data centre's part of the store's limits.
    pub fn set_share(&mut self, share: StoreShare, now: MonoMs) {
        self.store.set_share(share, now);
    }

    /// Records a pull and answers it.
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
    pub fn on_engine(&mut self, seen: &EngineSeen, now: MonoMs) {
        self.unanswered.remove(&seen.server);
        self.table.observe(seen, now);
    }

    /// Records an engine's own list of adapters in use, asked for at `sampled`.
    pub fn on_engine_use(
        &mut self,
        server: &ServerName,
        adapters: HashSet<AdapterRef>,
        sampled: MonoMs,
    ) {
        self.table.record_engine_use(server, adapters, sampled);
    }

    /// Forgets an engine that is dead or has left.
    pub fn remove_engine(&mut self, server: &ServerName, now: MonoMs) {
        self.unanswered.remove(server);
        self.table.remove_engine(server, now);
    }

    /// Records the result of an order.
    pub fn on_result(&mut self, result: &OrderResult, now: MonoMs) {
        if result.incarnation.is_none() {
            let (EngineOrder::Load { server, .. } | EngineOrder::Evict { server, .. }) =
                &result.order;
            self.unanswered.insert(server.clone());
        }
        match &result.order {
            EngineOrder::Load { server, adapter } => {
                self.store.end(server, adapter);
                match result.incarnation.filter(|_| result.done) {
                    Some(incarnation) => {
                        self.failures.succeeded(server, adapter);
                        self.table.loaded(server, incarnation, adapter, now);
                    }
                    None => self.load_failed(server, adapter, now),
                }
            }
            EngineOrder::Evict { server, adapter } if result.done => {
                self.evict_again.remove(&(server.clone(), adapter.clone()));
                self.table.evicted(server, adapter, now);
            }
            EngineOrder::Evict { server, adapter } => {
                let again = now.plus(self.config.retry_ms);
                self.evict_again
                    .insert((server.clone(), adapter.clone()), again);
                let answered = result.incarnation.is_some();
                self.table.eviction_failed(server, adapter, answered, now);
            }
        }
    }

    fn load_failed(&mut self, server: &ServerName, adapter: &AdapterRef, now: MonoMs) {
        let (retry_ms, max_retry_ms) = (self.config.retry_ms, self.config.max_retry_ms);
        self.failures
            .failed(server, adapter, retry_ms, max_retry_ms, now);
        self.table.load_failed(server, adapter);
    }

    /// Orders to carry out now. `elsewhere` is the view of the coordinator's own VM. Call it after
    /// each pull and result, and at least every 250 ms.
    pub fn plan(&mut self, now: MonoMs, elsewhere: &ResidencyView) -> Vec<EngineOrder> {
        self.forget(now);
        let mut orders = self.evictions(now);
        let waiting = self.demand.merged();
        match self.policy {
            Policy::Estimate => self.plan_by_value(&waiting, elsewhere, now, &mut orders),
            Policy::LeastLoaded | Policy::HashAffinity => {
                self.plan_on_demand(&waiting, now, &mut orders);
            }
        }
        orders
    }

    fn forget(&mut self, now: MonoMs) {
        for (server, adapter) in self.store.overdue(self.config.order_timeout_ms, now) {
            self.store.end(&server, &adapter);
            self.load_failed(&server, &adapter, now);
        }
        self.demand.expire(self.config.residency.valid_ms, now);
        if now.since(self.ranked) >= RANK_MS {
            self.ranked = now;
            self.top = self.popularity.top(self.config.prefetch_candidates, now);
        }
        if now.since(self.pruned) >= PRUNE_MS {
            self.pruned = now;
            self.popularity.prune(POPULARITY_FLOOR_TOKENS, now);
            self.failures.prune(self.config.max_retry_ms, now);
            self.evict_again.retain(|_, again| now < *again);
        }
    }

    fn evictions(&mut self, now: MonoMs) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        for (server, adapter) in self.table.evictable(now) {
            let key = (server.clone(), adapter.clone());
            let waits = self.evict_again.get(&key).is_some_and(|again| now < *again);
            if !waits && self.table.begin_eviction(&server, &adapter, now) {
                orders.push(EngineOrder::Evict { server, adapter });
            }
        }
        orders
    }

    fn plan_by_value(
        &mut self,
        waiting: &BTreeMap<AdapterRef, WaitingLoad>,
        elsewhere: &ResidencyView,
        now: MonoMs,
        orders: &mut Vec<EngineOrder>,
    ) {
        self.keep_wanted(waiting, now);
        let needs = self.keeping(waiting, elsewhere, now).needs();
        let urgent = needs.iter().filter(|need| need.reason <= Reason::Busy);
        self.table
            .set_backlog(u32::try_from(urgent.count()).unwrap_or(u32::MAX));
        let mut unmet = Vec::new();
        for need in needs {
            // Other loads wait while urgent work does.
            let urgent_waits = unmet.iter().any(|need: &Need| need.reason <= Reason::Busy);
            let may_go = need.reason <= Reason::Busy || !urgent_waits;
            match self.load(&need, now).filter(|_| may_go) {
                Some(order) => orders.push(order),
                None => unmet.push(need),
            }
        }
        self.drain_for(&unmet, waiting, elsewhere, now);
    }

    /// Takes back drain marks from adapters that are waited for again.
    fn keep_wanted(&mut self, waiting: &BTreeMap<AdapterRef, WaitingLoad>, now: MonoMs) {
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

    fn keeping<'a>(
        &'a self,
        waiting: &'a BTreeMap<AdapterRef, WaitingLoad>,
        elsewhere: &'a ResidencyView,
        now: MonoMs,
    ) -> Keeping<'a> {
        Keeping {
            config: &self.config,
            table: &self.table,
            popularity: &self.popularity,
            waiting,
            elsewhere,
            copies: count_copies(&self.table),
            top: &self.top,
            now,
        }
    }

    /// Starts a load for `need`, if the store and a free slot allow it.
    fn load(&mut self, need: &Need, now: MonoMs) -> Option<EngineOrder> {
        let reserved = match need.reason {
            Reason::Stalled | Reason::Busy => 0.0,
            _ => self.config.reserved_loads,
        };
        if self.store.available(reserved, now) == 0 || !self.failures.may_load(&need.adapter, now) {
            return None;
        }
        let server = self.free_engine(need, now)?;
        let order = self.start_load(&server, &need.adapter, now)?;
        *self.started.entry(need.reason).or_default() += 1;
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

    /// The engine with the most free batch positions among those with a free slot.
    fn free_engine(&self, need: &Need, now: MonoMs) -> Option<ServerName> {
        let usable = self.table.servers().filter(|server| {
            self.table.free_slots(server) > 0
                && !self.unanswered.contains(*server)
                && self.table.state(server, &need.adapter).is_none()
                && self.failures.may_load_on(server, &need.adapter, now)
        });
        let free = |server: &&ServerName| {
            (
                self.table.free_positions(server),
                self.table.free_slots(server),
            )
        };
        let best = usable.max_by_key(free)?;
        let helps = need.reason != Reason::BusyPatient || self.table.free_positions(best) > 0;
        helps.then(|| best.clone())
    }

    /// Drains the least valuable adapters to make room for needs that found no free slot.
    fn drain_for(
        &mut self,
        unmet: &[Need],
        waiting: &BTreeMap<AdapterRef, WaitingLoad>,
        elsewhere: &ResidencyView,
        now: MonoMs,
    ) {
        let free: u32 = self.table.servers().map(|s| self.table.free_slots(s)).sum();
        let mut coming = free as usize + self.draining().len();
        let most = self.store.available(0.0, now).max(1) as usize;
        let mut victims = self.keeping(waiting, elsewhere, now).victims();
        let mut chosen = Vec::new();
        let mut claimed = 0;
        for need in unmet.iter().take(most) {
            if coming == claimed {
                let at = victims
                    .iter()
                    .position(|victim| self.may_replace(victim, need));
                let Some(at) = at else { continue };
                chosen.push(victims.remove(at));
                coming += 1;
            }
            claimed += 1;
        }
        let mut victims = victims.into_iter();
        let spare = self.config.spare_slots as usize;
        while coming < claimed + spare {
            match victims.next() {
                Some(victim) if victim.in_use == 0 => chosen.push(victim),
                _ => break,
            }
            coming += 1;
        }
        for victim in chosen {
            self.table.drain(&victim.server, &victim.adapter, now);
        }
    }

    fn may_replace(&self, victim: &Victim, need: &Need) -> bool {
        let silent = self.unanswered.contains(&victim.server);
        if silent || has_copy(&self.table, &victim.server, &need.adapter) {
            return false;
        }
        let idle = victim.in_use == 0;
        let has_room = self.table.free_positions(&victim.server) > 0;
        match need.reason {
            Reason::Stalled | Reason::Busy => idle || need.waited_ms >= CLAIM_IN_USE_MS,
            Reason::Patient | Reason::Hot => {
                idle && has_room && victim.value * self.config.hysteresis < need.score
            }
            Reason::BusyPatient => idle && has_room && victim.value < self.config.idle_score,
            // A prefetch that evicts was loaded back too often to pay for its load.
            Reason::Prefetch => false,
        }
    }
}
