//! What the parts of a controller share: its view of the fleet and what it tells the other VMs.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexSet;
use tokio::sync::Notify;

use super::buckets;
use super::control_links::Links;
use super::control_links::link_address;
use super::control_vm::ControlConfig;
use super::control_vm::LEADER_FRESH_MS;
use super::control_vm::Put;
use super::control_vm::lock;
use super::log_line::DocumentChange;
use super::log_line::ServerChange;
use super::order_desk::OrderDesk;
use super::stand_in;
use super::stand_in::StandIn;
use crate::consensus;
use crate::consensus::Handle;
use crate::control::Command;
use crate::control::FleetCommand;
use crate::events::EventLog;
use crate::gateway::account_limit_history;
use crate::gateway::deployment::Deployment;
use crate::limits;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::link::ControlStatus;
use crate::link::DocumentNews;
use crate::link::Frame;
use crate::link::Role;
use crate::link::ServerNews;
use crate::link::Session;
use crate::mechanisms::Mechanism;
use crate::node::ControlMachine;
use crate::node::SharedControl;
use crate::registry::Announcement;
use crate::registry::Change;
use crate::registry::Table;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Silence after which a controller forgets a backend server.
const SERVER_SILENT_MS: u64 = 5_000;
/// Age of a quorum's confirmation up to which this VM may act for the log.
pub(super) const QUORUM_FRESH_MS: u64 = 900;

/// Heartbeats that this controller received.
#[derive(Default)]
pub(super) struct Heard {
    table: Table,
    alive: IndexSet<ServerName>,
}

/// What the parts of a controller share.
pub(super) struct Core {
    pub(super) config: ControlConfig,
    pub(super) log: Handle,
    pub(super) state: SharedControl,
    pub(super) links: Arc<Links>,
    pub(super) desk: OrderDesk,
    /// Wakes the task that plans the orders.
    pub(super) plan_due: Notify,
    pub(super) quota: limits::Server,
    pub(super) stand_in: StandIn,
    pub(super) heard: Mutex<Heard>,
    /// Backend servers of all controllers.
    pub(super) merged: Mutex<Table>,
    pub(super) deployment: Mutex<Option<Arc<Deployment>>>,
    pub(super) told: Mutex<Option<ControlStatus>>,
}

impl Core {
    pub(super) fn now(&self) -> MonoMs {
        self.config.clock.mono()
    }

    pub(super) fn events(&self) -> &EventLog {
        &self.config.events
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ControlMachine> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn deployment(&self) -> Option<Arc<Deployment>> {
        lock(&self.deployment).clone()
    }

    pub(super) fn merged(&self) -> MutexGuard<'_, Table> {
        lock(&self.merged)
    }

    /// Proposes a change if this VM leads the log.
    pub(super) async fn change(&self, command: FleetCommand) -> Put {
        let bytes = Command::Fleet(command).to_bytes();
        match self.log.propose(bytes).await {
            Ok(_) => Put::Done,
            Err(consensus::ProposeError::NotLeader { leader }) => {
                let other = leader.filter(|leader| *leader != self.config.hello.vm);
                let port = self.config.operator_address.port();
                Put::Elsewhere(other.and_then(|leader| link_address(&leader, port)))
            }
            Err(consensus::ProposeError::Unavailable) => Put::Elsewhere(None),
            Err(consensus::ProposeError::Unknown) => Put::Unknown,
        }
    }

    pub(super) fn announce(&self, announcement: Announcement) {
        let now = self.now();
        let server = announcement.server.clone();
        let started = announcement.started_unix_ms;
        let mut heard = lock(&self.heard);
        let change = heard.table.observe(announcement.clone(), now);
        if change == Change::Alive {
            heard.alive.insert(server.clone());
        }
        drop(heard);
        self.merge(announcement.clone());
        if change == Change::Changed {
            self.tell_servers(ServerNews {
                changed: vec![announcement],
                gone: Vec::new(),
                alive: Vec::new(),
            });
            self.log_server(&server, started, "announced");
        }
    }

    pub(super) fn leave(&self, server: &ServerName, started_unix_ms: Option<u64>) {
        let now = self.now();
        let known = self
            .merged()
            .get(server.as_str())
            .map(|record| record.announcement.started_unix_ms);
        let started = started_unix_ms.or(known).unwrap_or(0);
        lock(&self.heard).table.leave(server, started, now);
        self.merged().leave(server, started, now);
        self.tell_servers(ServerNews {
            changed: Vec::new(),
            gone: vec![(server.clone(), started)],
            alive: Vec::new(),
        });
        self.log_server(server, started, "left");
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
        self.merged().observe(announcement, now);
    }

    pub(super) fn tell_servers(&self, news: ServerNews) {
        let frame = Frame::Servers(news).encode();
        self.links.broadcast(&frame, |_| true);
    }

    pub(super) fn tell_alive(&self) {
        let now = self.now();
        let oldest = MonoMs(now.0.saturating_sub(SERVER_SILENT_MS));
        let mut heard = lock(&self.heard);
        heard.table.expire(oldest);
        let alive = std::mem::take(&mut heard.alive);
        drop(heard);
        let silent = self.merged().expire(oldest);
        for server in silent {
            self.log_server(&server, 0, "silent");
        }
        if !alive.is_empty() {
            self.tell_servers(ServerNews {
                changed: Vec::new(),
                gone: Vec::new(),
                alive: alive.into_iter().collect(),
            });
        }
    }

    /// Sends everything to a VM whose link has just opened.
    pub(super) fn greet(&self, session: &Session) {
        session.send(&Frame::Status(self.status()));
        let heard = lock(&self.heard);
        let news = ServerNews {
            changed: heard
                .table
                .servers()
                .map(|record| record.announcement.clone())
                .collect(),
            gone: heard
                .table
                .gone()
                .map(|(server, started)| (server.clone(), started))
                .collect(),
            alive: Vec::new(),
        };
        drop(heard);
        session.send(&Frame::Servers(news));
        session.send(&Frame::AdapterVersions(self.adapter_versions()));
        if session.peer().role == Role::Entry {
            self.desk.greet(session, self.now());
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
        let holds = self.desk.active(self.now());
        let state = self.state();
        let fleet = state.state().fleet();
        ControlStatus {
            leads: log.is_leader && log.quorum_contact_age_ms <= LEADER_FRESH_MS,
            term: log.term,
            document_version: fleet.document().map_or(0, |document| document.version),
            holds,
            controllers: members
                .filter_map(|id| link_address(&id.vm, port))
                .collect(),
            stands_in: stand_in::is_alone(&log) && self.config.mechanisms.has(Mechanism::StandIn),
            entry_vms: self.links.entry_vms(),
        }
    }

    pub(super) fn tell_status(&self, is_due: bool) {
        let status = self.status();
        let mut told = lock(&self.told);
        let is_new = told.as_ref().is_none_or(|told| {
            told.leads != status.leads
                || told.document_version != status.document_version
                || told.holds != status.holds
                || told.stands_in != status.stands_in
                || told.controllers != status.controllers
        });
        if !is_new && !is_due {
            return;
        }
        *told = Some(status.clone());
        drop(told);
        let frame = Frame::Status(status).encode();
        self.links.broadcast(&frame, |_| true);
    }

    /// Links to all members and to the contacts.
    pub(super) fn update_targets(&self) {
        let log = self.log.status();
        let members = log.voters.into_iter().chain(log.learners).map(|id| id.vm);
        let all = members.chain(self.config.contacts.iter().cloned());
        let port = self.config.link_port;
        let others = all.filter(|vm| *vm != self.config.hello.vm);
        let targets = others.filter_map(|vm| link_address(&vm, port)).collect();
        self.links.set_targets(targets);
    }

    /// Takes a new document and new adapter versions into use.
    pub(super) fn update_deployment(&self) {
        let known = self.deployment().map_or(0, |deployment| deployment.version);
        let document = self.state().state().fleet().document().cloned();
        let Some(document) = document.filter(|document| document.version > known) else {
            self.update_versions();
            return;
        };
        let error = match self.config.dialect.decode(&document.body) {
            Ok(deployment) => {
                self.use_deployment(deployment);
                None
            }
            Err(error) => Some(error.to_string()),
        };
        self.events().emit(&DocumentChange {
            version: document.version,
            from: self.config.hello.vm.clone(),
            error,
        });
    }

    pub(super) fn use_deployment(&self, deployment: Deployment) {
        let old = lock(&self.deployment).replace(Arc::new(deployment));
        let new = self.deployment();
        let Some(new) = new else { return };
        buckets::set_accounts(&self.quota, &new, old.as_deref(), |account| {
            account_limit_history(account, new.version)
        });
    }

    pub(super) fn update_versions(&self) {
        let versions = self.adapter_versions();
        if self.desk.set_versions(&versions, self.now()) {
            let frame = Frame::AdapterVersions(versions).encode();
            self.links.broadcast(&frame, |_| true);
        }
    }

    /// Tells the order desk which data centres this VM orders, and their engines.
    pub(super) fn update_desk(self: &Arc<Self>) {
        let now = self.now();
        let is_fresh = self.log.status().quorum_contact_age_ms <= QUORUM_FRESH_MS;
        let state = self.state();
        let holders = state.state().fleet().holders().clone();
        drop(state);
        let deployment = self.deployment();
        let merged = self.merged();
        self.desk
            .update(&holders, is_fresh, deployment.as_deref(), &merged, now);
        drop(merged);
        self.desk.work(self);
        self.desk.tell_loads(&self.links, now);
    }

    pub(super) fn received(self: &Arc<Self>, session: &Session, frame: Frame) {
        match frame {
            Frame::Raft(envelope) => self.log.receive(envelope),
            Frame::PullDocument => self.send_document(session),
            Frame::Servers(news) => self.on_servers(news),
            Frame::Wants(data_centre, wants) => {
                self.desk.wanted(session, &data_centre, &wants, self.now());
                self.plan_due.notify_one();
            }
            Frame::Residency(news) => self.desk.loads_elsewhere(&news, self.now()),
            Frame::Leaving => self.links.left(&session.peer().vm),
            Frame::Uses(uses) => {
                self.desk.used(&session.peer().vm, &uses, self.now());
                self.plan_due.notify_one();
            }
            Frame::Borrow(number, request) => {
                session.send(&Frame::Borrowed(number, self.lend(&request)));
            }
            _ => {}
        }
    }

    fn lend(&self, request: &BorrowRequest) -> BorrowReply {
        let reply = self.quota.receive(request);
        match reply.coordinating {
            true => reply,
            false => self.stand_in.receive(request),
        }
    }

    pub(super) fn lost(&self, session: &Session) {
        self.desk.forget_vm(&session.peer().vm);
    }

    pub(super) fn send_document(&self, session: &Session) {
        let document = self.state().state().fleet().document().cloned();
        if let Some(document) = document {
            session.send(&Frame::Document(DocumentNews {
                version: document.version,
                body: document.body,
            }));
        }
    }

    pub(super) fn on_servers(&self, news: ServerNews) {
        let now = self.now();
        let mut merged = self.merged();
        for announcement in news.changed {
            merged.observe(announcement, now);
        }
        for (server, started) in news.gone {
            merged.leave(&server, started, now);
        }
        for server in news.alive {
            merged.alive(&server, now);
        }
    }
}
