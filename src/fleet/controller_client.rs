//! Client of an entry VM for the controllers: applies their updates to the gateway, and sends them the
//! demand for adapters and the use of adapters.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;

use indexmap::IndexMap;
use tokio::sync::watch;

use super::borrow_client::BorrowClient;
use super::controller_state::Link;
use super::controller_state::State;
use super::link_refusals::LinkRefusals;
use super::log_line::DocumentChange;
use super::log_line::LinkChange;
use super::log_line::ServerChange;
use super::log_line::UnconfirmedService;
use super::stream_lookup::StreamLookups;
use crate::events::EventLog;
use crate::gateway::ControllerRequests;
use crate::gateway::Dialect;
use crate::gateway::Gateway;
use crate::link::AdapterDemand;
use crate::link::AdapterUse;
use crate::link::ControlStatus;
use crate::link::DocumentUpdate;
use crate::link::Frame;
use crate::link::Handler;
use crate::link::Hello;
use crate::link::LoadUpdate;
use crate::link::ResidencyUpdate;
use crate::link::ServerLimit;
use crate::link::ServerUpdate;
use crate::link::Session;
use crate::registry::Change;
use crate::scheduling::slots::EngineWork;
use crate::scheduling::stream_origins::StreamBegin;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Time without an update after which a backend server is removed.
const SERVER_TIMEOUT_MS: u64 = 7_000;

/// Connection state and updates from all controllers.
pub(super) struct ControllerClient {
    pub(super) own: Hello,
    pub(super) clock: Clock,
    events: EventLog,
    dialect: Arc<dyn Dialect>,
    gateway: OnceLock<Arc<Gateway>>,
    borrow_client: BorrowClient,
    targets: watch::Sender<BTreeSet<SocketAddr>>,
    state: Mutex<State>,
    pub(super) lookups: StreamLookups,
    refusals: LinkRefusals,
}

impl ControllerClient {
    pub(super) fn new(
        own: Hello,
        clock: Clock,
        events: EventLog,
        dialect: Arc<dyn Dialect>,
        borrow_client: BorrowClient,
    ) -> Self {
        Self {
            own,
            clock,
            events,
            dialect,
            gateway: OnceLock::new(),
            borrow_client,
            targets: watch::Sender::default(),
            state: Mutex::default(),
            lookups: StreamLookups::default(),
            refusals: LinkRefusals::default(),
        }
    }

    /// Sets the gateway to which updates are applied.
    pub(super) fn set_gateway(&self, gateway: Arc<Gateway>) {
        let _ = self.gateway.set(gateway);
    }

    /// Addresses to which links are kept open.
    pub(super) fn targets(&self) -> watch::Receiver<BTreeSet<SocketAddr>> {
        self.targets.subscribe()
    }

    /// Whether a link to any controller is open.
    pub(super) fn is_linked(&self) -> bool {
        !self.lock().links.is_empty()
    }

    /// Whether any backend server is known.
    pub(super) fn knows_servers(&self) -> bool {
        self.lock().servers.servers().next().is_some()
    }

    pub(super) fn gateway(&self) -> &Arc<Gateway> {
        self.gateway.get().expect("set before links are opened")
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Periodic work: removes silent servers and sends the use of adapters and, if `with_demands`, the
    /// demand for adapters.
    pub(super) fn tick(&self, with_demands: bool) {
        self.expire_servers();
        self.send_uses();
        if with_demands {
            for (demand, asked_before) in self.gateway().adapter_waits.pending() {
                self.request_adapter(demand, asked_before);
            }
        }
    }

    /// Serves by a configuration that no controller has confirmed, once that has taken too long.
    pub(super) fn serve_unconfirmed_if_due(&self) {
        if self.gateway().serve_unconfirmed_if_due() {
            self.events.emit(&UnconfirmedService {
                version: self.gateway().received_version(),
            });
        }
    }

    fn expire_servers(&self) {
        let now = self.clock.mono();
        let fresh_from = self.gateway().fresh_from();
        let mut state = self.lock();
        let controllers = state.links.values().filter_map(|link| link.status.as_ref());
        let known = controllers.map(|status| status.controllers.len()).max();
        let established_links = state
            .links
            .values()
            .filter(|link| now.since(link.opened.max(fresh_from)) > SERVER_TIMEOUT_MS)
            .count();
        // Servers expire only while links to a majority of the controllers are old enough, and not for the
        // time for which the process stood still.
        if established_links * 2 <= known.unwrap_or(usize::MAX / 2) {
            return;
        }
        let oldest = MonoMs(now.0.saturating_sub(SERVER_TIMEOUT_MS));
        for server in state.servers.expire(oldest) {
            self.gateway().server_table().remove_server(&server);
            self.log_server(&server, 0, "silent");
        }
    }

    /// Reports to the holders which adapters came into use or went out of use.
    pub(super) fn send_uses(&self) {
        let uses = self.gateway().adapter_usage().take(self.clock.mono());
        if uses.is_empty() {
            return;
        }
        let mut by_centre: IndexMap<DataCentre, Vec<AdapterUse>> = IndexMap::new();
        let table = self.gateway().server_table();
        for mut used in uses {
            if let Some(view) = table.get(&used.server) {
                let data_centre = view.announcement.data_centre.clone();
                used.token_us = table.token_us(&view.announcement.service);
                by_centre.entry(data_centre).or_default().push(used);
            }
        }
        drop(table);
        let state = self.lock();
        for (data_centre, uses) in by_centre {
            if let Some(holder) = state.holder(&data_centre) {
                holder.send(&Frame::Uses(uses));
            }
        }
    }

    /// Withdraws the demand for adapters that no request waits for any more, from all holders.
    pub(super) fn withdraw_demands(&self) {
        let abandoned = self.gateway().adapter_waits.take_abandoned();
        if abandoned.is_empty() {
            return;
        }
        let demands: Vec<AdapterDemand> = abandoned
            .into_iter()
            .map(AdapterDemand::withdrawn)
            .collect();
        let state = self.lock();
        let statuses = state
            .links
            .values()
            .filter_map(|link| link.status.as_ref().map(|status| (&link.session, status)));
        for (session, status) in statuses {
            for (data_centre, _) in &status.holds {
                session.send(&Frame::AdapterDemands(data_centre.clone(), demands.clone()));
            }
        }
    }

    /// Sends limits of backend servers to all controllers.
    pub(super) fn send_server_limits(&self, limits: Vec<ServerLimit>) {
        if limits.is_empty() {
            return;
        }
        self.send_to_all(&Frame::ServerLimits(limits));
    }

    /// Reports streams that have begun to all controllers.
    pub(super) fn send_streams_begun(&self, begun: Vec<StreamBegin>) {
        if !begun.is_empty() {
            self.send_to_all(&Frame::StreamsBegun(begun));
        }
    }

    pub(super) fn send_to_all(&self, frame: &Frame) {
        let frame = frame.encode();
        for link in self.lock().links.values() {
            link.session.send_encoded(frame.clone());
        }
    }

    fn on_status(&self, session: &Session, status: ControlStatus) {
        let now = self.clock.mono();
        let mut state = self.lock();
        let link = state.links.get_mut(&session.id());
        let before = link.and_then(|link| link.status.replace(status.clone()));
        state.learn_controllers();
        self.update_targets(&state);
        self.update_quota_server(&state);
        let is_current = self.take_over_claim(session, &status);
        self.ask_after(session, before.as_ref(), &status);
        let version = self.gateway().received_version();
        let named = status.document_version;
        if state.pull.begin(session.id(), named, version, now) {
            session.send(&Frame::PullDocument);
        }
        drop(state);
        self.gateway().quota.set_entry_vms(status.entry_vms);
        self.gateway().observe_fleet_size(status.recent_entry_vms);
        self.gateway()
            .set_software_versions(&status.software, is_current);
    }

    /// Takes over what the controller at the other end of `link` says about the configuration in force. Returns
    /// whether its state was the newest one a moment ago, which the status alone tells only if the controller has no
    /// answers to questions.
    fn take_over_claim(&self, session: &Session, status: &ControlStatus) -> bool {
        let (gateway, link) = (self.gateway(), session.id());
        let version = status.document_version;
        if !status.is_confirmed() {
            gateway.update_belief(|belief| belief.withdraw(link));
            return false;
        }
        if !session.format().has_state_questions() {
            return gateway.confirm_version(link, version);
        }
        let now = self.clock.mono();
        gateway.update_belief(|belief| belief.hear(link, version, now));
        false
    }

    /// Sets the link addresses of the controllers that the settings name.
    pub(super) fn set_contacts(&self, contacts: BTreeSet<SocketAddr>) {
        let mut state = self.lock();
        state.contacts = contacts;
        self.update_targets(&state);
    }

    /// Dials the controllers that other entry VMs named, without a link until `until`.
    pub(super) fn hear(&self, addresses: BTreeSet<SocketAddr>, until: MonoMs) {
        let mut state = self.lock();
        state.hear(addresses, until);
        self.update_targets(&state);
    }

    /// Stops dialing the controllers that other entry VMs named, once no link has come of it in time.
    pub(super) fn forget_heard(&self, now: MonoMs) {
        let mut state = self.lock();
        state.forget_heard(now);
        self.update_targets(&state);
    }

    fn update_targets(&self, state: &State) {
        let targets = state.targets();
        self.targets.send_if_modified(|current| {
            let is_changed = *current != targets;
            *current = targets;
            is_changed
        });
    }

    fn update_quota_server(&self, state: &State) {
        let quota_server = state.quota_server(&self.own);
        if let Some(change) = self
            .borrow_client
            .set_quota_server(quota_server, self.clock.mono())
        {
            self.events.emit(&change);
        }
    }

    fn on_document(&self, session: &Session, update: &DocumentUpdate) {
        let error = match self.dialect.decode(&update.body) {
            Ok(deployment) => {
                self.gateway().set_deployment(deployment);
                None
            }
            Err(error) => Some(error.to_string()),
        };
        self.events.emit(&DocumentChange {
            version: update.version,
            from: session.peer().vm.clone(),
            confirmed: self.gateway().is_confirmed(),
            confirmed_age_ms: None,
            error,
        });
    }

    fn on_servers(&self, update: ServerUpdate) {
        let now = self.clock.mono();
        let mut state = self.lock();
        let mut table = self.gateway().server_table();
        for announcement in update.changed {
            let server = announcement.server.clone();
            let started = announcement.started_unix_ms;
            if state.servers.observe(announcement.clone(), now) == Change::Changed {
                table.set_server(announcement);
                self.log_server(&server, started, "announced");
            }
        }
        for (server, started) in update.gone {
            if state.servers.leave(&server, started, now) {
                table.remove_server(&server);
                self.log_server(&server, started, "left");
            }
        }
        for server in update.alive {
            state.servers.refresh(&server, now);
        }
    }

    fn on_residency(&self, session: &Session, update: &ResidencyUpdate) {
        let mut state = self.lock();
        let known = state.fences.get(&update.data_centre).copied();
        let source = (update.fence, session.id());
        let is_old = known.is_some_and(|(fence, _)| update.fence < fence);
        if is_old || !update.full && known != Some(source) {
            return;
        }
        state.fences.insert(update.data_centre.clone(), source);
        drop(state);
        let now = self.clock.mono();
        let gateway = self.gateway();
        let mut table = gateway.server_table();
        if update.full {
            table.clear_residency(&update.data_centre);
        }
        for item in &update.items {
            let ready = item.ready_in_ms.map(|ms| match ms {
                0 => MonoMs(0),
                ms => now.plus(u64::from(ms)),
            });
            table.set_residency(&item.server, &item.model, item.version, ready);
        }
        drop(table);
        for item in &update.items {
            gateway.adapter_waits.wake(&item.model);
        }
    }

    fn on_loads(&self, update: &LoadUpdate) {
        let loads = update.engines.iter().map(|load| EngineWork {
            server: load.server.clone(),
            occupied: load.occupied,
            prompt_tokens: load.prompt_tokens.into(),
        });
        let loads: Vec<EngineWork> = loads.collect();
        let now = self.clock.mono();
        let mut table = self.gateway().server_table();
        table.set_loads(&update.data_centre, &loads, now);
        table.set_slot_wait(&update.data_centre, update.place_wait_ms.into(), now);
    }

    fn log_server(&self, server: &ServerName, started_unix_ms: u64, what: &'static str) {
        self.events.emit(&ServerChange {
            server: server.clone(),
            started_unix_ms,
            what,
        });
    }
}

impl Handler for ControllerClient {
    fn opened(&self, session: &Session) {
        let now = self.clock.mono();
        let link = Link {
            session: session.clone(),
            opened: now,
            status: None,
        };
        let mut state = self.lock();
        state.links.insert(session.id(), link);
        drop(state);
        self.gateway()
            .update_belief(|belief| belief.open(session.id(), now));
        self.ask_state(session);
        session.send(&Frame::ServerLimits(self.gateway().server_limits()));
        session.send(&Frame::Crashes(self.gateway().crash_reports()));
        session.send(&Frame::StreamsBegun(self.gateway().stream_origins()));
        session.send(&Frame::CutOff(self.gateway().cut_services()));
        self.events.emit(&LinkChange {
            peer: session.peer().vm.clone(),
            format: session.format().number(),
            is_open: true,
            reason: String::new(),
        });
    }

    fn received(&self, session: &Session, frame: Frame) {
        match frame {
            Frame::Status(status) => self.on_status(session, status),
            Frame::StateConfirmed(answer) => self.gateway().answer_state(session.id(), &answer),
            Frame::Document(update) => self.on_document(session, &update),
            Frame::AdapterVersions(versions) => self.gateway().set_versions(&versions),
            Frame::Servers(update) => self.on_servers(update),
            Frame::Residency(update) => self.on_residency(session, &update),
            Frame::Loads(update) => self.on_loads(&update),
            Frame::ServerLimits(limits) => {
                for limit in &limits {
                    self.gateway().set_server_limit(limit);
                }
            }
            Frame::EntryVms(update) => self.gateway().peers().apply(session.id(), update),
            Frame::Crashes(reports) => self.gateway().apply_crash_reports(&reports),
            Frame::CrashCleared(cleared) => self.gateway().apply_cleared(&cleared),
            Frame::StreamFound(number, origin) => self.lookups.on_answer(number, origin),
            Frame::Borrowed(number, reply) => self.borrow_client.on_reply(number, reply),
            _ => {}
        }
    }

    fn closed(&self, session: &Session, reason: &str) {
        let mut state = self.lock();
        state.links.shift_remove(&session.id());
        state.pull.close(session.id());
        self.update_quota_server(&state);
        drop(state);
        self.gateway()
            .update_belief(|belief| belief.close(session.id()));
        self.gateway().peers().forget_link(session.id());
        self.events.emit(&LinkChange {
            peer: session.peer().vm.clone(),
            format: session.format().number(),
            is_open: false,
            reason: reason.to_owned(),
        });
    }

    fn refused(&self, peer: &Hello) {
        self.refusals.record(peer, self.clock.mono(), &self.events);
    }
}
