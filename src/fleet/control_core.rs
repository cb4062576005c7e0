//! State that the parts of a controller share: its view of the fleet and its messages to other VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use indexmap::IndexSet;
use tokio::sync::Notify;

use super::buckets;
use super::control_links::Links;
use super::control_links::link_address;
use super::control_vm::ChangeOutcome;
use super::control_vm::ControlConfig;
use super::control_vm::LEADER_CONTACT_MAX_AGE_MS;
use super::control_vm::lock;
use super::crash_reports::CrashReports;
use super::document_changes::DocumentChanges;
use super::entry_vms::EntryVms;
use super::failover_server::FailoverServer;
use super::log_line::DocumentChange;
use super::log_line::ServerChange;
use super::order_executor::OrderExecutor;
use super::publication::Publication;
use super::server_limits::ServerLimits;
use super::stream_reports::StreamReports;
use crate::consensus;
use crate::consensus::Handle;
use crate::control::Command;
use crate::control::Document;
use crate::control::FleetCommand;
use crate::events::EventLog;
use crate::gateway::account_limit_history;
use crate::gateway::deployment::Deployment;
use crate::limits;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::link::ControlStatus;
use crate::link::DocumentUpdate;
use crate::link::Frame;
use crate::link::PendingWrites;
use crate::link::Role;
use crate::link::ServerUpdate;
use crate::link::Session;
use crate::mechanisms::Mechanism;
use crate::node::ControlStateMachine;
use crate::node::SharedControlState;
use crate::registry::Announcement;
use crate::registry::Change;
use crate::registry::Table;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::VmName;

/// Time without a heartbeat after which a controller removes a backend server.
const SERVER_TIMEOUT_MS: u64 = 5_000;
/// Greatest age of the last contact with a quorum at which this VM may act on the log's state.
pub(super) const QUORUM_CONTACT_MAX_AGE_MS: u64 = 900;

/// Heartbeats that this controller received itself, as opposed to those reported by others.
#[derive(Default)]
pub(super) struct Heartbeats {
    table: Table,
    alive: IndexSet<ServerName>,
}

/// State that the parts of a controller share.
pub(super) struct Core {
    pub(super) config: ControlConfig,
    pub(super) log: Handle,
    pub(super) state: SharedControlState,
    pub(super) links: Arc<Links>,
    pub(super) orders: OrderExecutor,
    /// Wakes the task that plans the orders to engines.
    pub(super) plan_due: Notify,
    pub(super) quota: limits::Server,
    pub(super) failover: FailoverServer,
    /// Limits of backend servers on their requests.
    pub(super) server_limits: ServerLimits,
    /// Crashes of backend servers.
    pub(super) crashes: CrashReports,
    /// Linked entry VMs.
    pub(super) entry_vms: EntryVms,
    /// Streams that began lately.
    pub(super) streams: StreamReports,
    pub(super) heartbeats: Mutex<Heartbeats>,
    /// Backend servers known to any controller.
    pub(super) servers: Mutex<Table>,
    pub(super) deployment: Mutex<Option<Arc<Deployment>>>,
    pub(super) document_changes: DocumentChanges,
    /// Whether the state was confirmed when the deployment was applied.
    pub(super) applies_confirmed: AtomicBool,
    pub(super) last_status: Mutex<Option<ControlStatus>>,
}

impl Core {
    pub(super) fn now(&self) -> MonoMs {
        self.config.clock.mono()
    }

    pub(super) fn events(&self) -> &EventLog {
        &self.config.events
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ControlStateMachine> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn deployment(&self) -> Option<Arc<Deployment>> {
        lock(&self.deployment).clone()
    }

    pub(super) fn servers(&self) -> MutexGuard<'_, Table> {
        lock(&self.servers)
    }

    /// Proposes a change to the replicated log if this VM leads it.
    pub(super) async fn change(&self, command: FleetCommand) -> ChangeOutcome {
        let bytes = Command::Fleet(command).to_bytes();
        match self.log.propose(bytes).await {
            Ok(_) => ChangeOutcome::Done,
            Err(consensus::ProposeError::NotLeader { leader }) => {
                ChangeOutcome::NotLeader(self.operator_address(leader))
            }
            Err(consensus::ProposeError::Unavailable) => ChangeOutcome::NotLeader(None),
            Err(consensus::ProposeError::Unknown) => ChangeOutcome::Unknown,
        }
    }

    /// Processes a heartbeat that this controller received. Returns the messages about it to other VMs.
    pub(super) fn announce(&self, announcement: Announcement) -> PendingWrites {
        let now = self.now();
        let server = announcement.server.clone();
        let started = announcement.started_unix_ms;
        let mut heartbeats = lock(&self.heartbeats);
        let change = heartbeats.table.observe(announcement.clone(), now);
        if change == Change::Unchanged {
            heartbeats.alive.insert(server.clone());
        }
        drop(heartbeats);
        self.merge(announcement.clone());
        if change != Change::Changed {
            return PendingWrites::default();
        }
        let writes = self.broadcast_servers(ServerUpdate {
            changed: vec![announcement],
            gone: Vec::new(),
            alive: Vec::new(),
        });
        self.log_server(&server, started, "announced");
        writes
    }

    /// Processes a server's notice that it leaves now. Returns the messages about it to other VMs.
    pub(super) fn leave(&self, server: &ServerName, started_unix_ms: Option<u64>) -> PendingWrites {
        let now = self.now();
        let known = self
            .servers()
            .get(server.as_str())
            .map(|record| record.announcement.started_unix_ms);
        let started = started_unix_ms.or(known).unwrap_or(0);
        lock(&self.heartbeats).table.leave(server, started, now);
        self.servers().leave(server, started, now);
        let writes = self.broadcast_servers(ServerUpdate {
            changed: Vec::new(),
            gone: vec![(server.clone(), started)],
            alive: Vec::new(),
        });
        self.log_server(server, started, "left");
        writes
    }

    pub(super) fn log_server(&self, server: &ServerName, started_unix_ms: u64, what: &'static str) {
        self.events().emit(&ServerChange {
            server: server.clone(),
            started_unix_ms,
            what,
        });
    }

    pub(super) fn merge(&self, announcement: Announcement) {
        let now = self.now();
        self.servers().observe(announcement, now);
    }

    /// Sends an update on all links. Returns the messages, for those who wait until they are written.
    pub(super) fn broadcast_servers(&self, update: ServerUpdate) -> PendingWrites {
        let writes = PendingWrites::default();
        let frame = Frame::Servers(update).encode();
        self.links.broadcast_tracked(&frame, &writes);
        writes
    }

    pub(super) fn broadcast_alive(&self) {
        let now = self.now();
        let oldest = MonoMs(now.0.saturating_sub(SERVER_TIMEOUT_MS));
        let mut heartbeats = lock(&self.heartbeats);
        heartbeats.table.expire(oldest);
        let alive = std::mem::take(&mut heartbeats.alive);
        drop(heartbeats);
        let silent = self.servers().expire(oldest);
        for server in silent {
            self.log_server(&server, 0, "silent");
        }
        if !alive.is_empty() {
            self.broadcast_servers(ServerUpdate {
                changed: Vec::new(),
                gone: Vec::new(),
                alive: alive.into_iter().collect(),
            });
        }
    }

    /// Sends the complete state to a VM whose link has just opened.
    pub(super) fn send_initial_state(&self, session: &Session) {
        session.send(&Frame::Status(self.status()));
        let heartbeats = lock(&self.heartbeats);
        let update = ServerUpdate {
            changed: heartbeats
                .table
                .servers()
                .map(|record| record.announcement.clone())
                .collect(),
            gone: heartbeats
                .table
                .tombstones()
                .map(|(server, started)| (server.clone(), started))
                .collect(),
            alive: Vec::new(),
        };
        drop(heartbeats);
        session.send(&Frame::Servers(update));
        session.send(&Frame::AdapterVersions(self.adapter_versions()));
        session.send(&Frame::Crashes(self.crash_reports()));
        if session.peer().role == Role::Entry {
            self.orders.send_residency(session, self.now());
            session.send(&Frame::ServerLimits(
                self.server_limits.in_force(self.now()),
            ));
            self.list_entry_vm(session);
        }
    }

    pub(super) fn adapter_versions(&self) -> Vec<(crate::types::ModelName, u64)> {
        let state = self.state();
        let versions = state.state().fleet().adapter_versions().iter();
        versions
            .map(|(model, version)| (model.clone(), *version))
            .collect()
    }

    pub(super) fn status(&self) -> ControlStatus {
        let log = self.log.status();
        let port = self.config.link_port;
        let members = log.voters.iter().chain(&log.learners);
        let holds = self.orders.active(self.now());
        let software = self.software_versions();
        let publication = self.publication(&log);
        let document = self.document();
        let document = document.filter(|_| publication != Publication::Withheld);
        // Before its state is published, it knows no accounts whose tokens it could grant.
        let stands_in = publication == Publication::Unconfirmed
            && self.config.mechanisms.is_enabled(Mechanism::QuotaFailover);
        ControlStatus {
            leads: log.is_leader && log.confirmed_age_ms <= LEADER_CONTACT_MAX_AGE_MS,
            term: log.term,
            document_version: document.map_or(0, |document| document.version),
            holds,
            controllers: members
                .filter_map(|id| link_address(&id.vm, port))
                .collect(),
            stands_in,
            entry_vms: self.links.entry_vms(),
            recent_entry_vms: self.links.recent_entry_vms(self.now()),
            software,
        }
    }

    /// What other VMs may learn of the applied state.
    pub(super) fn publication(&self, log: &consensus::Status) -> Publication {
        Publication::of(log, self.now().0)
    }

    /// Address of the other VM that leads the log, as far as it is known; `None` if this VM leads.
    pub(super) fn other_leader(&self) -> Option<Option<SocketAddr>> {
        let log = self.log.status();
        (!log.is_leader).then(|| self.operator_address(log.leader))
    }

    fn operator_address(&self, leader: Option<VmName>) -> Option<SocketAddr> {
        let other = leader.filter(|leader| *leader != self.config.hello.vm);
        link_address(&other?, self.config.operator_address.port())
    }

    /// Whether this VM has applied a document of at least `version`.
    pub(super) fn has_document(&self, version: u64) -> bool {
        self.document()
            .is_some_and(|document| document.version >= version)
    }

    /// The newest document that this VM has applied.
    pub(super) fn document(&self) -> Option<Document> {
        self.state().state().fleet().document().cloned()
    }

    pub(super) fn broadcast_status(&self, is_due: bool) {
        let status = self.status();
        let mut last_status = lock(&self.last_status);
        let is_new = last_status.as_ref().is_none_or(|last_status| {
            last_status.leads != status.leads
                || last_status.document_version != status.document_version
                || last_status.holds != status.holds
                || last_status.stands_in != status.stands_in
                || last_status.controllers != status.controllers
                || last_status.recent_entry_vms != status.recent_entry_vms
                || last_status.software != status.software
        });
        if !is_new && !is_due {
            return;
        }
        *last_status = Some(status.clone());
        drop(last_status);
        let frame = Frame::Status(status).encode();
        self.links.broadcast(&frame, |_| true);
    }

    /// Sets the link targets: all members of the log and the contacts.
    pub(super) fn update_targets(&self) {
        let log = self.log.status();
        let members = log.voters.into_iter().chain(log.learners).map(|id| id.vm);
        let contacts = self.config.contacts.borrow().clone();
        let all = members.chain(contacts);
        let port = self.config.link_port;
        let others = all.filter(|vm| *vm != self.config.hello.vm);
        let targets = others.filter_map(|vm| link_address(&vm, port)).collect();
        self.links.set_targets(targets);
    }

    /// Applies a new document or new adapter versions.
    pub(super) fn update_deployment(&self) {
        let log = self.log.status();
        let publication = self.publication(&log);
        if publication == Publication::Withheld {
            return;
        }
        let known = self.deployment().map_or(0, |deployment| deployment.version);
        let document = self.document();
        let Some(document) = document.filter(|document| document.version > known) else {
            self.update_versions();
            return;
        };
        let error = match self.config.dialect.decode(&document.body) {
            Ok(deployment) => {
                self.apply_deployment(deployment, publication == Publication::Confirmed);
                None
            }
            Err(error) => Some(error.to_string()),
        };
        self.events().emit(&DocumentChange {
            version: document.version,
            from: self.config.hello.vm.clone(),
            confirmed: publication == Publication::Confirmed,
            confirmed_age_ms: Some(log.confirmed_age_ms).filter(|age_ms| *age_ms < u64::MAX),
            error,
        });
    }

    fn apply_deployment(&self, deployment: Deployment, is_confirmed: bool) {
        let was_confirmed = self.applies_confirmed.swap(is_confirmed, Ordering::Relaxed);
        let old = lock(&self.deployment).replace(Arc::new(deployment));
        let new = self.deployment();
        let Some(new) = new else { return };
        buckets::set_accounts(&self.quota, &new, old.as_deref(), |account| {
            account_limit_history(account, new.version)
        });
        // What a disk held may lack services for which other leaders have granted, and so may the first
        // configuration after a restart.
        let are_known_new = match &old {
            Some(_) => was_confirmed,
            None => self.config.may_bootstrap,
        };
        let are_new = are_known_new && is_confirmed;
        let is_added = |name: &&ServiceName| {
            !old.as_ref()
                .is_some_and(|old| old.services.contains_key(*name))
        };
        let added = new.services.keys().filter(is_added);
        buckets::add_services(&self.quota, added, are_new, &self.config.retry_limit);
    }

    pub(super) fn update_versions(&self) {
        let versions = self.adapter_versions();
        if self.orders.set_versions(&versions, self.now()) {
            let frame = Frame::AdapterVersions(versions).encode();
            self.links.broadcast(&frame, |_| true);
        }
    }

    /// Updates the assignments and engines of the order executor, then sends the orders that are due
    /// and the loads of the engines.
    pub(super) fn update_orders(self: &Arc<Self>) {
        let now = self.now();
        let has_recent_quorum = self.log.status().confirmed_age_ms <= QUORUM_CONTACT_MAX_AGE_MS;
        let state = self.state();
        let holders = state.state().fleet().holders().clone();
        drop(state);
        let deployment = self.deployment();
        let servers = self.servers();
        self.orders.update(
            &holders,
            has_recent_quorum,
            deployment.as_deref(),
            &servers,
            &self.server_limits.limited(),
            now,
        );
        drop(servers);
        self.orders.run_planner(self);
        self.orders.broadcast_loads(&self.links, now);
    }

    pub(super) fn received(self: &Arc<Self>, session: &Session, frame: Frame) {
        match frame {
            Frame::Raft(envelope) => self.log.receive(envelope),
            Frame::PullDocument => self.send_document(session),
            Frame::AskState(question) => self.on_state_question(session, question),
            Frame::Servers(update) => self.on_server_update(update),
            Frame::AdapterDemands(data_centre, demands) => {
                self.orders
                    .on_demands(session, &data_centre, &demands, self.now());
                self.plan_due.notify_one();
            }
            Frame::Residency(update) => self.orders.on_remote_residency(&update, self.now()),
            Frame::ServerLimits(limits) => self.on_server_limits(session, limits),
            Frame::Crashes(reports) => self.on_crash_reports(session, reports),
            Frame::CrashCleared(cleared) => self.on_crash_cleared(session, cleared),
            Frame::StreamsBegun(begun) => self.on_streams_begun(&begun),
            Frame::FindStream(number, stream) => self.on_find_stream(session, number, stream),
            Frame::CutOff(services) => self.on_cut_off(session, services),
            Frame::Leaving => self.links.mark_leaving(&session.peer().vm),
            Frame::Uses(uses) => {
                self.orders.on_uses(&session.peer().vm, &uses, self.now());
                self.plan_due.notify_one();
            }
            Frame::Borrow(number, request) => {
                session.send(&Frame::Borrowed(number, self.grant_tokens(&request)));
            }
            _ => {}
        }
    }

    fn grant_tokens(&self, request: &BorrowRequest) -> BorrowReply {
        let reply = self.quota.receive(request);
        match reply.coordinating {
            true => reply,
            false => self.failover.receive(request),
        }
    }

    pub(super) fn on_link_lost(&self, session: &Session) {
        self.orders.forget_vm(&session.peer().vm);
        self.forget_entry_vm(session);
    }

    pub(super) fn send_document(&self, session: &Session) {
        let is_published = self.publication(&self.log.status()) != Publication::Withheld;
        if let Some(document) = self.document().filter(|_| is_published) {
            session.send(&Frame::Document(DocumentUpdate {
                version: document.version,
                body: document.body,
            }));
        }
    }

    pub(super) fn on_server_update(&self, update: ServerUpdate) {
        let now = self.now();
        let mut servers = self.servers();
        for announcement in update.changed {
            servers.observe(announcement, now);
        }
        for (server, started) in update.gone {
            servers.leave(&server, started, now);
        }
        for server in update.alive {
            servers.refresh(&server, now);
        }
    }
}
