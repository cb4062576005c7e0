//! One controller: the replicated log, the operator's documents, heartbeats of backend servers, and
//! what entry VMs are told.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;
use tokio::time::timeout;

use super::control_links::ControlHandler;
use super::control_links::Links;
use super::control_links::LogTransport;
use super::control_links::link_address;
use super::duties;
use super::log_line::DocumentChange;
use super::log_line::Lifecycle;
use super::log_line::ServerChange;
use super::order_desk::OrderDesk;
use crate::consensus;
use crate::consensus::Handle;
use crate::consensus::VoterConfig;
use crate::control::Command;
use crate::control::Document;
use crate::control::FleetCommand;
use crate::events::EventLog;
use crate::gateway::Dialect;
use crate::gateway::EngineDialect;
use crate::gateway::deployment::Deployment;
use crate::gateway::fleet_share;
use crate::gateway::history_of;
use crate::lease::Held;
use crate::limits;
use crate::link::ControlStatus;
use crate::link::Dialer;
use crate::link::DocumentNews;
use crate::link::Frame;
use crate::link::Handler;
use crate::link::Hello;
use crate::link::Listener;
use crate::link::Role;
use crate::link::ServerNews;
use crate::link::Session;
use crate::node::ControlMachine;
use crate::node::SharedControl;
use crate::registry::Announcement;
use crate::registry::Change;
use crate::registry::Table;
use crate::types::Clock;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Interval of looks at the log's state.
const TICK_MS: u64 = 100;
/// Ticks between two status messages when nothing changes.
const STATUS_TICKS: u64 = 5;
/// Ticks between two messages about servers that said nothing new.
const ALIVE_TICKS: u64 = 10;
/// Silence after which a controller forgets a backend server.
const SERVER_SILENT_MS: u64 = 5_000;
/// Age of a quorum's confirmation up to which this VM may act for the log.
pub(super) const QUORUM_FRESH_MS: u64 = 900;
/// Age of a quorum's confirmation up to which the leader hands out tokens.
const LEADER_FRESH_MS: u64 = 700;
/// Applied entries after which the log is compacted; documents may be large.
const SNAPSHOT_EVERY_ENTRIES: u64 = 96;
/// Longest wait for a commit.
const PROPOSE_MS: u64 = 900;
/// Longest wait for another VM to take over the log.
const SHUTDOWN_MS: u64 = 1_800;

/// Settings of a controller.
pub struct ControlConfig {
    /// How it greets other VMs. Its name is its IP address.
    pub hello: Hello,
    /// Clock of the process.
    pub clock: Clock,
    /// Where links are listened for, on every controller at this port.
    pub link_address: SocketAddr,
    /// Where the operator and backend servers reach it, on every controller at this port.
    pub operator_address: SocketAddr,
    /// Controllers that are known at the start.
    pub contacts: BTreeSet<VmName>,
    /// Whether the contacts may found the log.
    pub may_found: bool,
    /// Folder that outlives the process.
    pub data_folder: PathBuf,
    /// Time between the orders of two holders to one engine.
    pub order_lease_ms: u64,
    /// Reads configurations.
    pub dialect: Arc<dyn Dialect>,
    /// Speaks with engines.
    pub engines: Arc<dyn EngineDialect>,
    /// Structured log.
    pub events: EventLog,
}

/// Result of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Put {
    /// It holds, or a higher version does.
    Done,
    /// Another controller leads; `None` if it is not known.
    Elsewhere(Option<SocketAddr>),
    /// It may or may not hold.
    Unknown,
}

/// Result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Read {
    /// The newest document; `None` before the first.
    Newest(Option<Document>),
    /// Another controller leads; `None` if it is not known.
    Elsewhere(Option<SocketAddr>),
    /// This VM cannot be sure which document is the newest.
    Unsure,
}

/// Heartbeats that this controller received.
#[derive(Default)]
struct Heard {
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
    quota: limits::Server,
    heard: Mutex<Heard>,
    /// Backend servers of all controllers.
    merged: Mutex<Table>,
    deployment: Mutex<Option<Arc<Deployment>>>,
    told: Mutex<Option<ControlStatus>>,
}

/// A running controller.
pub struct ControlVm {
    core: Arc<Core>,
    _listener: Listener,
    _dialer: Dialer,
    regular: JoinHandle<()>,
    duties: JoinHandle<()>,
}

impl ControlVm {
    /// Opens the data folder and joins or founds the log. Must be called in a tokio runtime.
    ///
    /// # Errors
    /// The folder cannot be opened or the address cannot be bound.
    pub async fn open(config: ControlConfig) -> io::Result<Self> {
        let links = Arc::new(Links::default());
        let state = SharedControl::default();
        let log = open_log(&config, &state, &links)?;
        let quota = open_quota(&config, &log);
        let desk = OrderDesk::new(&config);
        let handler = Arc::new(ControlHandler {
            links: Arc::clone(&links),
            core: OnceLock::new(),
        });
        let hello = config.hello.clone();
        let link_address = config.link_address;
        let events = config.events.clone();
        let core = Arc::new(Core {
            config,
            log,
            state,
            links,
            desk,
            quota,
            heard: Mutex::default(),
            merged: Mutex::default(),
            deployment: Mutex::default(),
            told: Mutex::default(),
        });
        let _ = handler.core.set(Arc::clone(&core));
        core.update_targets();
        let shared: Arc<dyn Handler> = handler;
        let listener = Listener::bind(link_address, hello.clone(), Arc::clone(&shared)).await?;
        let dialer = Dialer::spawn(hello, core.links.targets(), shared);
        events.emit(&Lifecycle {
            phase: "started",
            detail: "control".into(),
        });
        Ok(Self {
            regular: tokio::spawn(work_regularly(Arc::clone(&core))),
            duties: tokio::spawn(duties::run(Arc::clone(&core))),
            core,
            _listener: listener,
            _dialer: dialer,
        })
    }

    /// Stores a checked document if its version is the highest.
    pub async fn put_document(&self, version: u64, body: &[u8]) -> Put {
        let document = Document {
            version,
            body: body.into(),
        };
        self.core.change(FleetCommand::PutDocument(document)).await
    }

    /// Names a version of an adapter.
    pub async fn set_adapter_version(&self, adapter: crate::types::ModelName, version: u64) -> Put {
        let command = FleetCommand::SetAdapterVersion { adapter, version };
        self.core.change(command).await
    }

    /// Reads the newest document. A committed entry proves that no newer one was acknowledged.
    pub async fn read_document(&self) -> Read {
        match self.core.change(FleetCommand::Barrier).await {
            Put::Done => {
                let state = self.core.state();
                Read::Newest(state.state().fleet().document().cloned())
            }
            Put::Elsewhere(address) => Read::Elsewhere(address),
            Put::Unknown => Read::Unsure,
        }
    }

    /// Takes a heartbeat.
    pub fn announce(&self, announcement: Announcement) {
        self.core.announce(announcement);
    }

    /// Takes a server's notice that it leaves now. `started_unix_ms` is that of its process, if it
    /// told it.
    pub fn leave(&self, server: &ServerName, started_unix_ms: Option<u64>) {
        self.core.leave(server, started_unix_ms);
    }

    /// State of the replicated log.
    pub fn log_status(&self) -> consensus::Status {
        self.core.log.status()
    }

    /// Whether all parts run. If not, the process should end and be started again.
    pub fn is_running(&self) -> bool {
        self.core.log.is_running()
    }

    /// Hands the log over and stops.
    pub async fn shutdown(&self) {
        self.duties.abort();
        self.core.desk.stop();
        self.core.tell_status(true);
        let leaving = Frame::Leaving.encode();
        self.core.links.broadcast(&leaving, |_| true);
        let handing_over = self.core.log.shutdown();
        let _ = timeout(Duration::from_millis(SHUTDOWN_MS), handing_over).await;
        self.regular.abort();
        let events = &self.core.config.events;
        events.emit(&Lifecycle {
            phase: "stopped",
            detail: "control".into(),
        });
        events.flush(Duration::from_millis(TICK_MS));
    }
}

fn open_log(
    config: &ControlConfig,
    state: &SharedControl,
    links: &Arc<Links>,
) -> io::Result<Handle> {
    let contacts = config.contacts.iter().cloned().collect();
    let mut voter = VoterConfig::new(config.hello.vm.clone(), &config.data_folder, contacts);
    voter.may_found = config.may_found;
    voter.snapshot_every_entries = SNAPSHOT_EVERY_ENTRIES;
    voter.propose_timeout_ms = PROPOSE_MS;
    let transport = Arc::new(LogTransport(Arc::clone(links)));
    Handle::open_voter(voter, Arc::clone(state), transport).map_err(io::Error::other)
}

/// The token buckets; tokens are handed out while this VM leads the log.
fn open_quota(config: &ControlConfig, log: &Handle) -> limits::Server {
    let clock = config.clock;
    let log = log.clone();
    let since: Mutex<Option<(u64, MonoMs)>> = Mutex::new(None);
    let lease = move || {
        let status = log.status();
        let mut since = lock(&since);
        if !status.is_leader || status.quorum_contact_age_ms > LEADER_FRESH_MS {
            *since = None;
            return None;
        }
        let now = clock.mono();
        let (_, began) = *since.get_or_insert((status.term, now));
        Some(Held {
            term: status.term,
            since: began,
            deadline: now.plus(TICK_MS),
            required_index: 0,
            settled_index: 0,
        })
    };
    limits::Server::spawn(fleet_share(), clock, Arc::new(lease))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn work_regularly(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        ticks.tick().await;
        count += 1;
        core.update_deployment();
        core.update_targets();
        core.tell_status(count.is_multiple_of(STATUS_TICKS));
        core.update_desk();
        if count.is_multiple_of(ALIVE_TICKS) {
            core.tell_alive();
            core.desk.log_state(core.now());
        }
    }
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

    fn announce(&self, announcement: Announcement) {
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

    fn leave(&self, server: &ServerName, started_unix_ms: Option<u64>) {
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

    fn log_server(&self, server: &ServerName, started_unix_ms: u64, what: &'static str) {
        self.events().emit(&ServerChange {
            server: server.clone(),
            started_unix_ms,
            what,
        });
    }

    fn merge(&self, announcement: Announcement) {
        let now = self.now();
        self.merged().observe(announcement, now);
    }

    fn tell_servers(&self, news: ServerNews) {
        let frame = Frame::Servers(news).encode();
        self.links.broadcast(&frame, |_| true);
    }

    fn tell_alive(&self) {
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

    fn adapter_versions(&self) -> Vec<(crate::types::ModelName, u64)> {
        let state = self.state();
        let versions = state.state().fleet().adapter_versions().iter();
        versions
            .map(|(model, version)| (model.clone(), *version))
            .collect()
    }

    fn status(&self) -> ControlStatus {
        let log = self.log.status();
        let is_fresh = log.quorum_contact_age_ms <= QUORUM_FRESH_MS;
        let port = self.config.link_address.port();
        let members = log.voters.iter().chain(&log.learners);
        let holds = self.desk.active(self.now());
        let state = self.state();
        let fleet = state.state().fleet();
        ControlStatus {
            leads: log.is_leader && log.quorum_contact_age_ms <= LEADER_FRESH_MS,
            term: log.term,
            leader_address: log
                .leader
                .as_ref()
                .and_then(|leader| link_address(leader, self.config.operator_address.port())),
            document_version: fleet.document().map_or(0, |document| document.version),
            applied_index: log.applied_index,
            holds: if is_fresh { holds } else { Vec::new() },
            controllers: members
                .filter_map(|id| link_address(&id.vm, port))
                .collect(),
            entry_vms: self.links.entry_vms(),
        }
    }

    fn tell_status(&self, is_due: bool) {
        let status = self.status();
        let mut told = lock(&self.told);
        let is_new = told.as_ref().is_none_or(|told| {
            told.leads != status.leads
                || told.document_version != status.document_version
                || told.holds != status.holds
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
    fn update_targets(&self) {
        let log = self.log.status();
        let members = log.voters.into_iter().chain(log.learners).map(|id| id.vm);
        let all = members.chain(self.config.contacts.iter().cloned());
        let port = self.config.link_address.port();
        let others = all.filter(|vm| *vm != self.config.hello.vm);
        let targets = others.filter_map(|vm| link_address(&vm, port)).collect();
        self.links.set_targets(targets);
    }

    /// Takes a new document and new adapter versions into use.
    fn update_deployment(&self) {
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

    fn use_deployment(&self, deployment: Deployment) {
        let old = lock(&self.deployment).replace(Arc::new(deployment));
        let new = self.deployment();
        let Some(new) = new else { return };
        for account in new.accounts.values() {
            let history = history_of(account, new.version);
            self.quota.set_history(account.name.clone(), history);
        }
        let gone = old.iter().flat_map(|old| old.accounts.keys());
        for name in gone.filter(|name| !new.accounts.contains_key(*name)) {
            self.quota.remove(name);
        }
    }

    fn update_versions(&self) {
        let versions = self.adapter_versions();
        if self.desk.set_versions(&versions, self.now()) {
            let frame = Frame::AdapterVersions(versions).encode();
            self.links.broadcast(&frame, |_| true);
        }
    }

    /// Tells the order desk which data centres this VM orders, and their engines.
    fn update_desk(self: &Arc<Self>) {
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
    }

    pub(super) fn received(self: &Arc<Self>, session: &Session, frame: Frame) {
        match frame {
            Frame::Raft(envelope) => self.log.receive(envelope),
            Frame::PullDocument => self.send_document(session),
            Frame::Servers(news) => self.on_servers(news),
            Frame::Wants(data_centre, wants) => {
                self.desk.wanted(session, &data_centre, &wants, self.now());
                self.desk.work(self);
            }
            Frame::Leaving => self.links.left(&session.peer().vm),
            Frame::Uses(uses) => self.desk.used(&session.peer().vm, &uses, self.now()),
            Frame::Borrow(number, request) => {
                let reply = self.quota.receive(&request);
                session.send(&Frame::Borrowed(number, reply));
            }
            _ => {}
        }
    }

    pub(super) fn lost(&self, session: &Session) {
        self.desk.forget_vm(&session.peer().vm);
    }

    fn send_document(&self, session: &Session) {
        let document = self.state().state().fleet().document().cloned();
        if let Some(document) = document {
            session.send(&Frame::Document(DocumentNews {
                version: document.version,
                body: document.body,
            }));
        }
    }

    fn on_servers(&self, news: ServerNews) {
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
