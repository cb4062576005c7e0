//! Carries out the orders to the engines of the data centres that this VM holds.

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
use super::engine_call::EngineCalls;
use super::engine_call::LostAnswer;
use super::held::Held;
use super::holding::Fencing;
use super::holding::Standing;
use super::log_line::AnswerLost;
use super::log_line::HoldChange;
use super::log_line::OrderDone;
use super::log_line::SlotState;
use crate::control::OrderHolder;
use crate::events::EventLog;
use crate::gateway::EngineDialect;
use crate::gateway::deployment::Deployment;
use crate::link::AdapterUse;
use crate::link::Frame;
use crate::link::ResidencyNews;
use crate::link::Role;
use crate::link::Session;
use crate::link::Want;
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

/// The data centres that this VM holds.
pub(super) struct OrderDesk {
    vm: VmName,
    fencing: Fencing,
    engines: Arc<dyn EngineDialect>,
    mechanisms: Mechanisms,
    events: EventLog,
    state: Mutex<State>,
    calls: EngineCalls,
}

#[derive(Default)]
struct State {
    held: BTreeMap<DataCentre, Held>,
    /// The last holder seen of each data centre.
    holders: BTreeMap<DataCentre, OrderHolder>,
    versions: Vec<(ModelName, u64)>,
    /// Whether a quorum has been heard since the start of the process.
    has_heard_quorum: bool,
    /// Data centres whose engines knew a later holder.
    outranked: BTreeSet<DataCentre>,
    is_stopped: bool,
}

impl OrderDesk {
    pub(super) fn new(config: &ControlConfig) -> Self {
        Self {
            vm: config.hello.vm.clone(),
            fencing: config.fencing,
            engines: Arc::clone(&config.engines),
            mechanisms: config.mechanisms,
            events: config.events.clone(),
            state: Mutex::default(),
            calls: EngineCalls::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the assignments and the engines as they are now.
    pub(super) fn update(
        &self,
        holders: &BTreeMap<DataCentre, OrderHolder>,
        is_fresh: bool,
        deployment: Option<&Deployment>,
        servers: &Table,
        now: MonoMs,
    ) {
        let mut state = self.lock();
        if state.is_stopped {
            return;
        }
        state.has_heard_quorum |= is_fresh;
        let mine = |centre: &DataCentre| {
            let holder = holders.get(centre);
            holder.filter(|holder| holder.vm == self.vm)
        };
        let State {
            held, outranked, ..
        } = &mut *state;
        held.retain(|centre, held| {
            if held.is_outranked {
                outranked.insert(centre.clone());
            }
            let is_assigned = mine(centre).is_some_and(|holder| holder.fence == held.fence);
            let keeps = self.fencing.keeps(Standing {
                is_assigned,
                is_fresh,
                needs_leader: self.needs_leader(),
                is_outranked: held.is_outranked,
            });
            if !keeps {
                self.log_hold(centre, held.fence, false);
            }
            keeps
        });
        for (centre, holder) in holders {
            let is_outranked = state.outranked.contains(centre);
            let resumes =
                !self.needs_leader() && self.fencing.resumes(!state.has_heard_quorum, is_outranked);
            let may_begin = is_fresh || resumes;
            if may_begin && mine(centre).is_some() && !state.held.contains_key(centre) {
                let before = state.holders.get(centre);
                let took_over = before.is_some_and(|before| before.vm != self.vm)
                    || before.is_none() && now.0 < self.fencing.restart_ms() && holder.fence > 0;
                let held = self.begin(holder, took_over, &state.versions, now);
                state.held.insert(centre.clone(), held);
                self.log_hold(centre, holder.fence, true);
            }
        }
        state.holders = holders.clone();
        for (centre, held) in &mut state.held {
            held.set_engines(centre, deployment, servers, holders.len());
        }
    }

    fn needs_leader(&self) -> bool {
        !self.mechanisms.has(Mechanism::HoldWithoutLeader)
    }

    fn begin(
        &self,
        holder: &OrderHolder,
        took_over: bool,
        versions: &[(ModelName, u64)],
        now: MonoMs,
    ) -> Held {
        let wait_ms = match took_over {
            true => self.fencing.takeover_ms(),
            false => 0,
        };
        let mut planner = Planner::new(SlotsConfig {
            mechanisms: self.mechanisms,
            ..SlotsConfig::default()
        });
        let named = versions.iter().map(|(model, version)| (model, *version));
        planner.set_versions(named, now);
        Held {
            fence: holder.fence,
            from: now.plus(wait_ms),
            planner,
            is_told: false,
            is_outranked: false,
            addresses: HashMap::new(),
            loads_told: None,
        }
    }

    /// Data centres in which this VM gives orders now, with the fence.
    pub(super) fn active(&self, now: MonoMs) -> Vec<(DataCentre, u64)> {
        let state = self.lock();
        let active = state.held.iter().filter(|(_, held)| held.from <= now);
        active
            .map(|(centre, held)| (centre.clone(), held.fence))
            .collect()
    }

    /// Gives no orders any more.
    pub(super) fn stop(&self) {
        let mut state = self.lock();
        state.is_stopped = true;
        state.held.clear();
    }

    fn log_hold(&self, data_centre: &DataCentre, fence: u64, holds: bool) {
        self.events.emit(&HoldChange {
            data_centre: data_centre.clone(),
            fence,
            holds,
        });
    }

    /// Sets the versions that were named; true if they changed.
    pub(super) fn set_versions(&self, versions: &[(ModelName, u64)], now: MonoMs) -> bool {
        let mut state = self.lock();
        if state.versions == versions {
            return false;
        }
        state.versions = versions.to_vec();
        for held in state.held.values_mut() {
            let named = versions.iter().map(|(model, version)| (model, *version));
            held.planner.set_versions(named, now);
        }
        true
    }

    /// Notes what the requests of an entry VM wait for. A VM that asks for what is there has a wrong
    /// view and is told again.
    pub(super) fn wanted(
        &self,
        session: &Session,
        centre: &DataCentre,
        wants: &[Want],
        now: MonoMs,
    ) {
        let mut state = self.lock();
        let Some(held) = state.held.get_mut(centre) else {
            return;
        };
        let present: Vec<_> = wants
            .iter()
            .filter(|want| !want.copy && want.waiting > 0)
            .flat_map(|want| held.planner.residency_of(&want.model))
            .collect();
        if !present.is_empty() {
            session.send(&Frame::Residency(held.news(centre, present, false, now)));
        }
        for want in wants {
            let wanted = LoadDemand {
                waiting: want.waiting,
                priority: want.priority,
                copy: want.copy,
            };
            held.planner
                .request_load(&want.model, &session.peer().vm, wanted, now);
        }
    }

    /// Notes what an entry VM uses.
    pub(super) fn used(&self, vm: &VmName, uses: &[AdapterUse], now: MonoMs) {
        let mut state = self.lock();
        for held in state.held.values_mut() {
            for used in uses {
                let count = Use {
                    in_flight: used.in_flight,
                    prompt_tokens: used.prompt_tokens,
                    token_us: used.token_us,
                    sent: used.sent,
                    early_age_ms: used.early_age_ms,
                    is_answered: used.is_answered,
                };
                held.planner
                    .note_use(&used.server, &used.model, vm, count, now);
                if used.is_missing {
                    held.planner.note_missing(&used.server, &used.model);
                }
            }
        }
    }

    /// Takes what another VM told of the engines that it orders.
    pub(super) fn loads_elsewhere(&self, news: &ResidencyNews, now: MonoMs) {
        if news.full {
            return;
        }
        let mut state = self.lock();
        let others = state
            .held
            .iter_mut()
            .filter(|(centre, _)| **centre != news.data_centre);
        for (_, held) in others {
            for item in news.items.iter().filter(|item| item.ready_in_ms.is_some()) {
                held.planner.note_remote_load(&item.model, now);
            }
        }
    }

    /// Forgets what a VM used.
    pub(super) fn forget_vm(&self, vm: &VmName) {
        for held in self.lock().held.values_mut() {
            held.planner.forget_vm(vm);
        }
    }

    /// Logs the state of the slots.
    pub(super) fn log_state(&self, now: MonoMs) {
        for (centre, held) in &self.lock().held {
            self.events.emit(&SlotState {
                data_centre: centre.clone(),
                summary: held.planner.summary(now),
            });
        }
    }

    /// Sends the whole residency on a new link.
    pub(super) fn greet(&self, session: &Session, now: MonoMs) {
        for (centre, held) in &self.lock().held {
            let all = held.planner.residency();
            session.send(&Frame::Residency(held.news(centre, all, true, now)));
        }
    }

    /// Starts what is due and tells the entry VMs what has changed.
    pub(super) fn work(&self, core: &Arc<Core>) {
        let now = core.now();
        let mut due = Vec::new();
        let mut news = Vec::new();
        for (centre, held) in &mut self.lock().held {
            let actions = match held.from <= now {
                true => held.planner.plan(now),
                false => held.planner.plan_reports(now),
            };
            due.extend(actions.into_iter().filter_map(|action| {
                let address = held.address(&action)?;
                Some((centre.clone(), held.fence, address, action))
            }));
            let changes = held.planner.take_updates();
            if !held.is_told {
                held.is_told = true;
                news.push(held.news(centre, held.planner.residency(), true, now));
            } else if !changes.is_empty() {
                news.push(held.news(centre, changes, false, now));
            }
        }
        for item in news {
            self.loads_elsewhere(&item, now);
            let frame = Frame::Residency(item).encode();
            core.links.broadcast(&frame, |_| true);
        }
        for (centre, fence, address, action) in due {
            let core = Arc::clone(core);
            tokio::spawn(async move {
                match action {
                    SlotAction::Order(order) => {
                        core.desk
                            .carry_out(&core, &centre, fence, address, order)
                            .await;
                    }
                    SlotAction::Report(server) => {
                        core.desk.ask_report(&core, &centre, address, server).await;
                    }
                }
                core.plan_due.notify_one();
            });
        }
    }

    /// Tells the entry VMs the work of the engines.
    pub(super) fn tell_loads(&self, links: &Links, now: MonoMs) {
        for (centre, held) in &mut self.lock().held {
            if let Some(news) = held.load_news(centre, now) {
                let frame = Frame::Loads(news).encode();
                links.broadcast(&frame, |session| session.peer().role == Role::Entry);
            }
        }
    }

    async fn carry_out(
        &self,
        core: &Arc<Core>,
        centre: &DataCentre,
        fence: u64,
        address: SocketAddr,
        order: SlotOrder,
    ) {
        let began = core.now();
        let request = self.engines.order(&order, &self.vm, fence);
        let outcome = match self.calls.ask(address, request).await {
            Ok((status, _)) => self.engines.read_order(&order, status),
            Err(lost) => {
                self.log_lost(&order.server, "order", lost);
                OrderOutcome::Unknown
            }
        };
        let now = core.now();
        self.events.emit(&OrderDone {
            server: order.server.clone(),
            model: order.model.clone(),
            load: order.load,
            version: order.version,
            expected_sequence: order.expected_sequence,
            fence,
            outcome: name(outcome),
            took_ms: now.since(began),
        });
        if let Some(held) = self.lock().held.get_mut(centre)
            && held.fence == fence
        {
            held.is_outranked |= outcome == OrderOutcome::Outranked;
            held.planner.on_order(&order, outcome, now);
        }
    }

    async fn ask_report(
        &self,
        core: &Arc<Core>,
        centre: &DataCentre,
        address: SocketAddr,
        server: ServerName,
    ) {
        let asked = core.now();
        let report = match self.calls.ask(address, self.engines.report()).await {
            Ok((status, body)) if status.is_success() => self
                .engines
                .read_report(&body)
                .ok_or(LostAnswer::Unreadable),
            Ok(_) => Err(LostAnswer::Refused),
            Err(lost) => Err(lost),
        };
        let report = match report {
            Ok(report) => report,
            Err(lost) => return self.log_lost(&server, "report", lost),
        };
        let now = core.now();
        if let Some(held) = self.lock().held.get_mut(centre) {
            held.planner.on_report(&server, &report, asked, now);
        }
    }

    fn log_lost(&self, server: &ServerName, asked: &'static str, lost: LostAnswer) {
        self.events.emit(&AnswerLost {
            server: server.clone(),
            asked,
            reason: lost.name(),
        });
    }
}

fn name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::Holds => "holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Outranked => "outranked",
        OrderOutcome::Unknown => "unknown",
    }
}
