//! Adapter placement by the coordinator of a data centre: serves the placement table, plans loads
//! and evictions, and sends them to the engines while the lease is held.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::backend::ENGINE_COMMAND_TIMEOUT_MS;
use crate::backend::Engine;
use crate::backend::EngineCommand;
use crate::backend::EngineCommandKind;
use crate::backend::EngineCommandOutcome;
use crate::lease;
use crate::pipeline::Dispatcher;
use crate::scheduling::placement::EngineOrder;
use crate::scheduling::placement::OrderResult;
use crate::scheduling::placement::Planner;
use crate::scheduling::placement::PlannerConfig;
use crate::scheduling::placement::StoreShare;
use crate::scheduling::residency::EngineSnapshot;
use crate::scheduling::residency::Table;
use crate::scheduling::residency::TablePull;
use crate::scheduling::routing::Policy;
use crate::scheduling::suspects::SuspectRequest;
use crate::scheduling::suspects::SuspectReservations;
use crate::types::AdapterRef;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Maximum interval between two planning rounds.
const MAX_PLAN_INTERVAL_MS: u64 = 100;
/// Time for which an eviction is blocked before its engine is asked which adapters are in use.
const BLOCKED_EVICTION_MS: u64 = 300;
/// Minimum interval between two rounds of usage queries.
const USAGE_QUERY_INTERVAL_MS: u64 = 300;
/// Wait at the start of a term until commands of the previous coordinator have ended. Needed for
/// engines that do not check fencing tokens.
const UNFENCED_WAIT_MS: u64 = ENGINE_COMMAND_TIMEOUT_MS;

/// An engine as its announcements describe it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// Identity, adapter slots and resident adapters.
    pub snapshot: EngineSnapshot,
    /// Address for commands.
    pub address: SocketAddr,
    /// Whether the engine refuses commands with an outdated fencing token.
    pub checks_fence: bool,
    /// Highest fencing token that the engine has seen.
    pub highest_fence: u64,
}

/// Inputs of placement from the membership and the control state.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorInputs {
    /// Live engines of this data centre that are not leaving.
    pub engines: HashMap<ServerName, EngineState>,
    /// VMs that may use a placement table.
    pub roster: Vec<VmName>,
    /// Share of this data centre in the limits of the weight store.
    pub store: Option<StoreShare>,
}

/// Settings of the coordinator.
pub struct CoordinatorConfig {
    /// Data centre of the coordinator.
    pub data_centre: DataCentre,
    /// Placement policy.
    pub policy: Policy,
    /// Settings of the placement planner.
    pub planner: PlannerConfig,
}

/// State of one coordinator term.
struct Term {
    number: u64,
    /// Earliest time at which commands may be sent.
    orders_allowed_from: MonoMs,
    planner: Planner,
    suspects: SuspectReservations,
}

/// Coordinator of a data centre; idle while this VM does not hold the lease.
pub struct Coordinator {
    config: CoordinatorConfig,
    clock: Clock,
    lease: lease::Handle,
    engine: Arc<dyn Engine>,
    dispatcher: Arc<Dispatcher>,
    term: Mutex<Option<Term>>,
    inputs: Mutex<CoordinatorInputs>,
    changed: Notify,
}

impl Coordinator {
    /// Starts the planning task.
    pub fn spawn(
        config: CoordinatorConfig,
        clock: Clock,
        lease: lease::Handle,
        engine: Arc<dyn Engine>,
        dispatcher: Arc<Dispatcher>,
    ) -> Arc<Self> {
        let coordinator = Arc::new(Self {
            config,
            clock,
            lease,
            engine,
            dispatcher,
            term: Mutex::new(None),
            inputs: Mutex::default(),
            changed: Notify::new(),
        });
        tokio::spawn(run_planner(coordinator.clone()));
        coordinator
    }

    /// Replaces the inputs of placement.
    pub fn set_inputs(&self, inputs: CoordinatorInputs) {
        let highest = inputs.engines.values().map(|e| e.highest_fence).max();
        // Fencing tokens are terms, so the term must be above every token that an engine has seen.
        let own = self.lease.current().map(|held| held.term);
        if let Some(highest) = highest
            && own.is_none_or(|own| highest > own)
        {
            self.lease.require_term_above(highest);
        }
        *self.inputs() = inputs;
    }

    /// Answers a pull of the placement table; `None` if this VM is not the coordinator.
    pub fn pull(&self, pull: &TablePull) -> Option<Table> {
        let held = self.lease.current()?;
        let now = self.clock.mono();
        let mut term = self.term();
        let term = term.as_mut().filter(|term| term.number == held.term)?;
        let wants_loads = !pull.waiting.is_empty();
        let table = match term.planner.on_pull(pull, now) {
            Ok(table) => table,
            Err(error) => {
                warn!(
                    "coordinator: refused placement table pull of VM {}: {error}",
                    pull.vm
                );
                return None;
            }
        };
        if wants_loads {
            self.changed.notify_one();
        }
        Some(table)
    }

    /// Decides whether a suspect request may run on an engine; `None` if this VM is not the
    /// coordinator.
    pub fn suspect(&self, request: &SuspectRequest) -> Option<bool> {
        let held = self.lease.current()?;
        let now = self.clock.mono();
        let mut term = self.term();
        let term = term.as_mut().filter(|term| term.number == held.term)?;
        Some(term.suspects.decide(request, now))
    }

    /// Runs one planning round and returns its orders with their term.
    fn plan(&self) -> Option<(u64, Vec<EngineOrder>)> {
        let held = self.lease.current();
        let now = self.clock.mono();
        let inputs = self.inputs().clone();
        let mut current_term = self.term();
        let Some(held) = held else {
            if current_term.take().is_some() {
                info!("coordinator: lease of {} ended", self.config.data_centre);
            }
            return None;
        };
        if current_term
            .as_ref()
            .is_none_or(|term| term.number != held.term)
        {
            *current_term = Some(self.new_term(held.term, &inputs, now));
        }
        let term = current_term.as_mut()?;
        observe(&mut term.planner, &inputs, now);
        if now < term.orders_allowed_from {
            return None;
        }
        let orders = self
            .dispatcher
            .with_residency(|residency| term.planner.plan(now, residency));
        Some((term.number, orders))
    }

    fn new_term(&self, number: u64, inputs: &CoordinatorInputs, now: MonoMs) -> Term {
        info!(
            "coordinator: coordinating {} in term {number}",
            self.config.data_centre
        );
        let unfenced = inputs.engines.values().any(|e| !e.checks_fence);
        let wait_ms = if unfenced { UNFENCED_WAIT_MS } else { 0 };
        let share = inputs.store.unwrap_or(StoreShare {
            loads_per_s: 0.0,
            burst_loads: 1.0,
            in_flight: 1,
        });
        let planner = Planner::new(
            self.config.planner,
            self.config.policy,
            self.config.data_centre.clone(),
            number,
            &inputs.roster,
            share,
            now,
        );
        Term {
            number,
            orders_allowed_from: now.plus(wait_ms),
            planner,
            suspects: SuspectReservations::default(),
        }
    }

    /// Asks engines with blocked evictions which adapters their running requests use.
    async fn query_blocked_engines(self: Arc<Self>, term: u64) {
        let now = self.clock.mono();
        let blocked = match self.term().as_ref() {
            Some(current) if current.number == term => current
                .planner
                .table()
                .blocked_engines(BLOCKED_EVICTION_MS, now),
            _ => return,
        };
        for server in blocked {
            let engine = self.inputs().engines.get(&server).cloned();
            let Some(engine) = engine else { continue };
            let sampled = self.clock.mono();
            let Some(usage) = self.engine.in_use(engine.address).await else {
                continue;
            };
            if let Some(current) = self.term().as_mut()
                && current.number == term
                && current.planner.table().incarnation(&server) == Some(usage.incarnation)
            {
                let adapters = usage.adapters.into_iter().collect();
                current.planner.on_engine_usage(&server, adapters, sampled);
            }
        }
        self.changed.notify_one();
    }

    /// Sends one order to its engine if the lease still has the order's term, and records the
    /// result.
    async fn execute_order(self: Arc<Self>, term: u64, order: EngineOrder) {
        let engine = self.engine_state(&order);
        let outcome = match &engine {
            Some(engine) => self.send(term, &order, engine).await,
            None => EngineCommandOutcome::Failed,
        };
        if let EngineCommandOutcome::Fenced { highest_fence } = outcome {
            warn!("coordinator: command was fenced by token {highest_fence}");
            self.lease.require_term_above(highest_fence);
        }
        let result = OrderResult {
            order,
            incarnation: engine.map(|engine| engine.snapshot.incarnation),
            done: outcome == EngineCommandOutcome::Done,
        };
        let now = self.clock.mono();
        if let Some(current) = self.term().as_mut()
            && current.number == term
        {
            current.planner.on_result(&result, now);
        }
        self.changed.notify_one();
    }

    fn engine_state(&self, order: &EngineOrder) -> Option<EngineState> {
        let (server, _) = target(order);
        self.inputs().engines.get(server).cloned()
    }

    async fn send(
        &self,
        term: u64,
        order: &EngineOrder,
        engine: &EngineState,
    ) -> EngineCommandOutcome {
        if self.lease.current().is_none_or(|held| held.term != term) {
            return EngineCommandOutcome::Failed;
        }
        let (server, adapter) = target(order);
        let kind = match order {
            EngineOrder::Load { .. } => EngineCommandKind::Load,
            EngineOrder::Evict { .. } => EngineCommandKind::Evict,
        };
        let command = EngineCommand {
            kind,
            adapter: adapter.clone(),
            fence: term,
        };
        let outcome = self.engine.execute(engine.address, command).await;
        if outcome != EngineCommandOutcome::Done {
            warn!("coordinator: {kind:?} of {adapter} on {server} failed: {outcome:?}");
        }
        outcome
    }

    fn term(&self) -> MutexGuard<'_, Option<Term>> {
        self.term.lock().expect("no holder panics")
    }

    fn inputs(&self) -> MutexGuard<'_, CoordinatorInputs> {
        self.inputs.lock().expect("no holder panics")
    }
}

fn target(order: &EngineOrder) -> (&ServerName, &AdapterRef) {
    match order {
        EngineOrder::Load { server, adapter } | EngineOrder::Evict { server, adapter } => {
            (server, adapter)
        }
    }
}

fn observe(planner: &mut Planner, inputs: &CoordinatorInputs, now: MonoMs) {
    let known: Vec<ServerName> = planner.table().servers().cloned().collect();
    for server in known {
        if !inputs.engines.contains_key(&server) {
            planner.remove_engine(&server, now);
        }
    }
    for engine in inputs.engines.values() {
        planner.on_announcement(&engine.snapshot, now);
    }
    if let Some(share) = inputs.store {
        planner.set_share(share, now);
    }
}

async fn run_planner(coordinator: Arc<Coordinator>) {
    let mut last_query = MonoMs::default();
    loop {
        let changed = coordinator.changed.notified();
        let _ = timeout(Duration::from_millis(MAX_PLAN_INTERVAL_MS), changed).await;
        let Some((term, orders)) = coordinator.plan() else {
            continue;
        };
        for order in orders {
            tokio::spawn(coordinator.clone().execute_order(term, order));
        }
        let now = coordinator.clock.mono();
        if now.since(last_query) >= USAGE_QUERY_INTERVAL_MS {
            last_query = now;
            tokio::spawn(coordinator.clone().query_blocked_engines(term));
        }
    }
}
