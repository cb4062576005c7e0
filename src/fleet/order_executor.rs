//! Plans and sends the orders to engines of the data centres whose orders this VM holds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use super::control_core::Core;
use super::control_links::Links;
use super::control_vm::ControlConfig;
use super::engine_client::CallError;
use super::engine_client::EngineClient;
use super::fencing::AssignmentStatus;
use super::fencing::Fencing;
use super::log_line::AssignmentChange;
use super::log_line::EngineCallFailed;
use super::log_line::OrderCompleted;
use super::log_line::SlotState;
use super::managed_data_centre::ManagedDataCentre;
use crate::control::OrderHolder;
use crate::events::EventLog;
use crate::gateway::EngineDialect;
use crate::gateway::deployment::Deployment;
use crate::link::AdapterDemand;
use crate::link::AdapterUse;
use crate::link::Frame;
use crate::link::ResidencyUpdate;
use crate::link::Role;
use crate::link::Session;
use crate::mechanisms::Mechanism;
use crate::mechanisms::Mechanisms;
use crate::registry::Table;
use crate::scheduling::slots::LoadDemand;
use crate::scheduling::slots::OrderOutcome;
use crate::scheduling::slots::Planner;
use crate::scheduling::slots::SlotAction;
use crate::scheduling::slots::SlotOrder;
use crate::scheduling::slots::SlotsConfig;
use crate::scheduling::slots::Use;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Plans and sends the orders of all data centres that are assigned to this VM.
pub(super) struct OrderExecutor {
    vm: VmName,
    fencing: Fencing,
    engines: Arc<dyn EngineDialect>,
    mechanisms: Mechanisms,
    events: EventLog,
    state: Mutex<State>,
    engine_client: EngineClient,
}

#[derive(Default)]
struct State {
    managed: BTreeMap<DataCentre, ManagedDataCentre>,
    /// The last known holder of each data centre.
    holders: BTreeMap<DataCentre, OrderHolder>,
    versions: Vec<(ModelName, u64)>,
    /// Whether there was contact with a quorum since the start of the process.
    has_heard_quorum: bool,
    /// Data centres whose engines have received a higher fence than this VM's.
    fenced_off: BTreeSet<DataCentre>,
    is_stopped: bool,
}

impl OrderExecutor {
    pub(super) fn new(config: &ControlConfig) -> Self {
        Self {
            vm: config.hello.vm.clone(),
            fencing: config.fencing,
            engines: Arc::clone(&config.engines),
            mechanisms: config.mechanisms,
            events: config.events.clone(),
            state: Mutex::default(),
            engine_client: EngineClient::new(config.clock, config.process_limits),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the current assignments and the current engines.
    pub(super) fn update(
        &self,
        holders: &BTreeMap<DataCentre, OrderHolder>,
        has_recent_quorum: bool,
        deployment: Option<&Deployment>,
        servers: &Table,
        limited: &BTreeSet<ServerName>,
        now: MonoMs,
    ) {
        let mut state = self.lock();
        if state.is_stopped {
            return;
        }
        state.has_heard_quorum |= has_recent_quorum;
        let own_assignment = |centre: &DataCentre| {
            let holder = holders.get(centre);
            holder.filter(|holder| holder.vm == self.vm)
        };
        let State {
            managed,
            fenced_off,
            ..
        } = &mut *state;
        managed.retain(|centre, managed| {
            if managed.is_fenced_off {
                fenced_off.insert(centre.clone());
            }
            let is_assigned =
                own_assignment(centre).is_some_and(|holder| holder.fence == managed.fence);
            let may_continue = self.fencing.may_continue(AssignmentStatus {
                is_assigned,
                has_recent_quorum,
                needs_leader: self.needs_leader(),
                is_fenced_off: managed.is_fenced_off,
            });
            if !may_continue {
                self.log_assignment(centre, managed.fence, false);
            }
            may_continue
        });
        for (centre, holder) in holders {
            let is_fenced_off = state.fenced_off.contains(centre);
            let may_resume = !self.needs_leader()
                && self
                    .fencing
                    .may_resume(!state.has_heard_quorum, is_fenced_off);
            let may_start = has_recent_quorum || may_resume;
            if may_start && own_assignment(centre).is_some() && !state.managed.contains_key(centre)
            {
                let before = state.holders.get(centre);
                let is_takeover = self.is_takeover(before, holder, now);
                let managed = self.start_managing(holder, is_takeover, &state.versions, now);
                state.managed.insert(centre.clone(), managed);
                self.log_assignment(centre, holder.fence, true);
            }
        }
        state.holders = holders.clone();
        for (centre, managed) in &mut state.managed {
            managed.set_engines(centre, deployment, servers, limited, holders.len());
        }
    }

    /// Whether another VM may have sent orders to the engines of `holder` shortly before.
    fn is_takeover(&self, before: Option<&OrderHolder>, holder: &OrderHolder, now: MonoMs) -> bool {
        match before {
            Some(before) => before.vm != self.vm,
            None => now.0 < self.fencing.restart_window_ms() && holder.fence > 0,
        }
    }

    fn needs_leader(&self) -> bool {
        !self.mechanisms.is_enabled(Mechanism::OrdersWithoutLeader)
    }

    fn start_managing(
        &self,
        holder: &OrderHolder,
        is_takeover: bool,
        versions: &[(ModelName, u64)],
        now: MonoMs,
    ) -> ManagedDataCentre {
        let wait_ms = match is_takeover {
            true => self.fencing.takeover_delay_ms(),
            false => 0,
        };
        let mut planner = Planner::new(SlotsConfig {
            mechanisms: self.mechanisms,
            ..SlotsConfig::default()
        });
        let versions = versions.iter().map(|(model, version)| (model, *version));
        planner.set_versions(versions, now);
        ManagedDataCentre {
            fence: holder.fence,
            orders_from: now.plus(wait_ms),
            planner,
            is_announced: false,
            is_fenced_off: false,
            addresses: HashMap::new(),
            last_loads: None,
        }
    }

    /// Data centres in which this VM may send orders now, with the fence.
    pub(super) fn active(&self, now: MonoMs) -> Vec<(DataCentre, u64)> {
        let state = self.lock();
        let active = state
            .managed
            .iter()
            .filter(|(_, managed)| managed.orders_from <= now);
        active
            .map(|(centre, managed)| (centre.clone(), managed.fence))
            .collect()
    }

    /// Stops sending orders for good.
    pub(super) fn stop(&self) {
        let mut state = self.lock();
        state.is_stopped = true;
        state.managed.clear();
    }

    fn log_assignment(&self, data_centre: &DataCentre, fence: u64, holds: bool) {
        self.events.emit(&AssignmentChange {
            data_centre: data_centre.clone(),
            fence,
            holds,
        });
    }

    /// Sets the versions of adapters; true if they changed.
    pub(super) fn set_versions(&self, versions: &[(ModelName, u64)], now: MonoMs) -> bool {
        let mut state = self.lock();
        if state.versions == versions {
            return false;
        }
        state.versions = versions.to_vec();
        for managed in state.managed.values_mut() {
            let versions = versions.iter().map(|(model, version)| (model, *version));
            managed.planner.set_versions(versions, now);
        }
        true
    }

    /// Records for which adapters the requests of an entry VM wait. A VM that demands a resident
    /// adapter has an outdated view, so its residency is sent again.
    pub(super) fn on_demands(
        &self,
        session: &Session,
        centre: &DataCentre,
        demands: &[AdapterDemand],
        now: MonoMs,
    ) {
        let mut state = self.lock();
        let Some(managed) = state.managed.get_mut(centre) else {
            return;
        };
        let present: Vec<_> = demands
            .iter()
            .filter(|demand| !demand.copy && demand.waiting > 0)
            .flat_map(|demand| managed.planner.residency_of(&demand.model))
            .collect();
        if !present.is_empty() {
            session.send(&Frame::Residency(
                managed.residency_update(centre, present, false, now),
            ));
        }
        for demand in demands {
            if let Some(software) = &demand.software {
                managed
                    .planner
                    .request_version_load(&demand.model, software, now);
                continue;
            }
            let wanted = LoadDemand {
                waiting: demand.waiting,
                priority: demand.priority,
                copy: demand.copy,
            };
            managed
                .planner
                .request_load(&demand.model, &session.peer().vm, wanted, now);
        }
    }

    /// Records the use of adapters by an entry VM.
    pub(super) fn on_uses(&self, vm: &VmName, uses: &[AdapterUse], now: MonoMs) {
        let mut state = self.lock();
        for managed in state.managed.values_mut() {
            for used in uses {
                let count = Use {
                    in_flight: used.in_flight,
                    prompt_tokens: used.prompt_tokens,
                    token_us: used.token_us,
                    sent: used.sent,
                    early_age_ms: used.early_age_ms,
                    is_answered: used.is_answered,
                };
                managed
                    .planner
                    .note_use(&used.server, &used.model, vm, count, now);
                if used.is_missing {
                    managed.planner.note_missing(&used.server, &used.model);
                }
            }
        }
    }

    /// Records loads in other data centres, from the residency updates of their holders.
    pub(super) fn on_remote_residency(&self, update: &ResidencyUpdate, now: MonoMs) {
        if update.full {
            return;
        }
        let mut state = self.lock();
        let others = state
            .managed
            .iter_mut()
            .filter(|(centre, _)| **centre != update.data_centre);
        for (_, managed) in others {
            for item in update
                .items
                .iter()
                .filter(|item| item.ready_in_ms.is_some())
            {
                managed.planner.note_remote_load(&item.model, now);
            }
        }
    }

    /// Removes the requests of a VM from the use of all adapters.
    pub(super) fn forget_vm(&self, vm: &VmName) {
        for managed in self.lock().managed.values_mut() {
            managed.planner.forget_vm(vm);
        }
    }

    /// Logs the state of the adapter slots.
    pub(super) fn log_state(&self, now: MonoMs) {
        for (centre, managed) in &self.lock().managed {
            self.events.emit(&SlotState {
                data_centre: centre.clone(),
                summary: managed.planner.summary(now),
            });
        }
    }

    /// Sends the complete residency on a new link.
    pub(super) fn send_residency(&self, session: &Session, now: MonoMs) {
        for (centre, managed) in &self.lock().managed {
            let all = managed.planner.residency();
            session.send(&Frame::Residency(
                managed.residency_update(centre, all, true, now),
            ));
        }
    }

    /// Starts the orders and report requests that are due, and broadcasts changes of residency.
    pub(super) fn run_planner(&self, core: &Arc<Core>) {
        let now = core.now();
        let mut due = Vec::new();
        let mut updates = Vec::new();
        for (centre, managed) in &mut self.lock().managed {
            let actions = match managed.orders_from <= now {
                true => managed.planner.plan(now),
                false => managed.planner.plan_reports(now),
            };
            due.extend(actions.into_iter().filter_map(|action| {
                let address = managed.address(&action)?;
                Some((centre.clone(), managed.fence, address, action))
            }));
            let changes = managed.planner.take_updates();
            if !managed.is_announced {
                managed.is_announced = true;
                updates.push(managed.residency_update(
                    centre,
                    managed.planner.residency(),
                    true,
                    now,
                ));
            } else if !changes.is_empty() {
                updates.push(managed.residency_update(centre, changes, false, now));
            }
        }
        for update in updates {
            self.on_remote_residency(&update, now);
            let frame = Frame::Residency(update).encode();
            core.links.broadcast(&frame, |_| true);
        }
        for (centre, fence, address, action) in due {
            let core = Arc::clone(core);
            tokio::spawn(async move {
                match action {
                    SlotAction::Order(order) => {
                        core.orders
                            .execute(&core, &centre, fence, address, order)
                            .await;
                    }
                    SlotAction::Report(server) => {
                        core.orders
                            .fetch_report(&core, &centre, address, server)
                            .await;
                    }
                }
                core.plan_due.notify_one();
            });
        }
    }

    /// Sends the loads of the engines to the entry VMs.
    pub(super) fn broadcast_loads(&self, links: &Links, now: MonoMs) {
        for (centre, managed) in &mut self.lock().managed {
            if let Some(update) = managed.load_update(centre, now) {
                let frame = Frame::Loads(update).encode();
                links.broadcast(&frame, |session| session.peer().role == Role::Entry);
            }
        }
    }

    async fn execute(
        &self,
        core: &Arc<Core>,
        centre: &DataCentre,
        fence: u64,
        address: SocketAddr,
        order: SlotOrder,
    ) {
        let started = core.now();
        let request = self.engines.order(&order, &self.vm, fence);
        let outcome = match self
            .engine_client
            .send(&order.server, address, request)
            .await
        {
            Ok((status, _)) => self.engines.read_order(&order, status),
            Err(error) => {
                self.log_call_failure(&order.server, "order", error);
                OrderOutcome::Unknown
            }
        };
        let now = core.now();
        self.events.emit(&OrderCompleted {
            server: order.server.clone(),
            model: order.model.clone(),
            load: order.load,
            version: order.version,
            expected_sequence: order.expected_sequence,
            fence,
            outcome: outcome_name(outcome),
            took_ms: now.since(started),
        });
        if let Some(managed) = self.lock().managed.get_mut(centre)
            && managed.fence == fence
        {
            managed.is_fenced_off |= outcome == OrderOutcome::Outranked;
            managed.planner.on_order(&order, outcome, now);
        }
    }

    async fn fetch_report(
        &self,
        core: &Arc<Core>,
        centre: &DataCentre,
        address: SocketAddr,
        server: ServerName,
    ) {
        let requested_at = core.now();
        let report = match self
            .engine_client
            .send(&server, address, self.engines.report())
            .await
        {
            Ok((status, body)) if status.is_success() => {
                self.engines.read_report(&body).ok_or(CallError::Unreadable)
            }
            Ok(_) => Err(CallError::Refused),
            Err(error) => Err(error),
        };
        let report = match report {
            Ok(report) => report,
            Err(error) => return self.log_call_failure(&server, "report", error),
        };
        let now = core.now();
        if let Some(managed) = self.lock().managed.get_mut(centre) {
            managed
                .planner
                .on_report(&server, &report, requested_at, now);
        }
    }

    fn log_call_failure(&self, server: &ServerName, asked: &'static str, error: CallError) {
        self.events.emit(&EngineCallFailed {
            server: server.clone(),
            asked,
            reason: error.name(),
        });
    }
}

fn outcome_name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::Holds => "holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Outranked => "outranked",
        OrderOutcome::Unknown => "unknown",
    }
}
