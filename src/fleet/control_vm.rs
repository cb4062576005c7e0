//! A controller: runs the replicated log, stores the operator's documents, receives heartbeats of
//! backend servers, and informs the entry VMs.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;
use tokio::time::sleep;
use tokio::time::timeout;

use super::buckets;
use super::control_core::Core;
use super::control_links::ControlHandler;
use super::control_links::Links;
use super::control_links::LogTransport;
use super::crash_reports::CrashReports;
use super::document_changes;
use super::document_changes::DocumentChanges;
use super::document_changes::DocumentOutcome;
use super::entry_vms::EntryVms;
use super::failover_server::FailoverServer;
use super::fencing::Fencing;
use super::leader_tasks;
use super::link_refusals::LinkRefusals;
use super::log_line::InvalidHeartbeat;
use super::log_line::Lifecycle;
use super::log_watch::LogWatch;
use super::order_executor::OrderExecutor;
use super::server_limits::ServerLimits;
use super::stream_reports::StreamReports;
use crate::configs::connections::ProcessLimits;
use crate::consensus;
use crate::consensus::Handle;
use crate::consensus::VoterConfig;
use crate::control::Document;
use crate::control::FleetCommand;
use crate::events::EventLog;
use crate::gateway::Dialect;
use crate::gateway::EngineDialect;
use crate::gateway::fleet_share;
use crate::limits;
use crate::limits::RetryLimit;
use crate::link::Dialer;
use crate::link::Frame;
use crate::link::Handler;
use crate::link::Hello;
use crate::link::Listener;
use crate::link::PendingWrites;
use crate::mechanisms::Mechanisms;
use crate::node::SharedControlState;
use crate::registry::Announcement;
use crate::registry::ServerState;
use crate::types::Clock;
use crate::types::ServerName;
use crate::types::UnixMs;
use crate::types::VmName;

/// Interval of the periodic tasks.
const TICK_MS: u64 = 100;
/// Ticks between two status messages if the status does not change.
const STATUS_TICKS: u64 = 5;
/// Ticks between two messages about servers with unchanged heartbeats.
const ALIVE_TICKS: u64 = 10;
/// Delay between two runs of the planner of orders.
const PLAN_DELAY_MS: u64 = 10;
/// Greatest age of the last contact with a quorum at which the leader grants tokens.
pub(super) const LEADER_CONTACT_MAX_AGE_MS: u64 = 700;
/// Applied entries after which the log is compacted. Low because documents may be large.
const SNAPSHOT_EVERY_ENTRIES: u64 = 96;
/// Timeout of a proposal to the log.
const PROPOSE_TIMEOUT_MS: u64 = 900;
/// Timeout of the shutdown of the log: leadership goes to another VM, which may demote this one.
const SHUTDOWN_TIMEOUT_MS: u64 = 3_300;
/// Longest time for which the acknowledgement of a server that leaves waits for the links. Servers give up on
/// it after a second.
const LEAVING_NEWS_TIMEOUT_MS: u64 = 400;

/// Settings of a controller.
pub struct ControlConfig {
    /// First message on its links. The controller's name is its IP address.
    pub hello: Hello,
    /// Clock of the process.
    pub clock: Clock,
    /// Address at which links are accepted.
    pub link_address: SocketAddr,
    /// Port at which every controller accepts links.
    pub link_port: u16,
    /// Address of the API for the operator and backend servers; the port is the same on every
    /// controller.
    pub operator_address: SocketAddr,
    /// Controllers that the settings name, which may change. Those of the start are the founders.
    pub contacts: watch::Receiver<BTreeSet<VmName>>,
    /// Whether the founders may bootstrap the log.
    pub may_bootstrap: bool,
    /// Limits of the VM on the process.
    pub process_limits: ProcessLimits,
    /// Number of controllers whose disks may be lost at once; as many as the founders can bear if `None`.
    pub disk_losses: Option<usize>,
    /// Folder that persists across restarts of the process.
    pub data_folder: PathBuf,
    /// Retries for a service that the operator allows, over all VMs.
    pub retry_limit: RetryLimit,
    /// How orders of a former holder are kept apart from those of its successor.
    pub fencing: Fencing,
    /// Decodes configurations.
    pub dialect: Arc<dyn Dialect>,
    /// Encodes requests to engines and decodes their responses.
    pub engines: Arc<dyn EngineDialect>,
    /// Which mechanisms are enabled.
    pub mechanisms: Mechanisms,
    /// Structured log.
    pub events: EventLog,
}

/// Outcome of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change, or one of a higher version, is committed.
    Done,
    /// Another controller is the leader; its address is `None` if it is not known.
    NotLeader(Option<SocketAddr>),
    /// The change may or may not be committed.
    Unknown,
}

/// Outcome of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The newest document; `None` before the first.
    Newest(Option<Document>),
    /// Another controller is the leader; its address is `None` if it is not known.
    NotLeader(Option<SocketAddr>),
    /// This VM cannot prove which document is the newest.
    Unknown,
}

/// A running controller.
pub struct ControlVm {
    core: Arc<Core>,
    _listener: Listener,
    _dialer: Dialer,
    periodic: JoinHandle<()>,
    leader_tasks: JoinHandle<()>,
    planning: JoinHandle<()>,
}

impl ControlVm {
    /// Opens the data folder and joins or bootstraps the log. Must be called in a tokio runtime.
    ///
    /// # Errors
    /// The folder cannot be opened or the address cannot be bound.
    pub async fn open(config: ControlConfig) -> io::Result<Self> {
        let links = Arc::new(Links::default());
        let state = SharedControlState::default();
        let log = open_log(&config, &state, &links)?;
        let quota = open_quota(&config, &log);
        let failover = FailoverServer::spawn(config.hello.vm.clone(), config.clock, &log);
        let orders = OrderExecutor::new(&config);
        let handler = Arc::new(ControlHandler {
            links: Arc::clone(&links),
            core: OnceLock::new(),
            refusals: LinkRefusals::default(),
        });
        let hello = config.hello.clone();
        let link_address = config.link_address;
        let events = config.events.clone();
        let max_links = config.process_limits.link_connections();
        let core = Arc::new(Core {
            config,
            log,
            state,
            links,
            orders,
            plan_due: Notify::new(),
            quota,
            failover,
            server_limits: ServerLimits::default(),
            crashes: CrashReports::default(),
            entry_vms: EntryVms::default(),
            streams: StreamReports::default(),
            heartbeats: Mutex::default(),
            servers: Mutex::default(),
            deployment: Mutex::default(),
            document_changes: DocumentChanges::default(),
            applies_confirmed: AtomicBool::default(),
            last_status: Mutex::default(),
        });
        let _ = handler.core.set(Arc::clone(&core));
        core.update_targets();
        let shared: Arc<dyn Handler> = handler;
        let handler = Arc::clone(&shared);
        let listener = Listener::bind(link_address, hello.clone(), handler, max_links).await?;
        let dialer = Dialer::spawn(hello, core.links.targets(), shared);
        events.emit(&Lifecycle {
            phase: "started",
            detail: "control".into(),
        });
        Ok(Self {
            periodic: tokio::spawn(run_periodic_tasks(Arc::clone(&core))),
            leader_tasks: tokio::spawn(leader_tasks::run(Arc::clone(&core))),
            planning: tokio::spawn(plan_when_due(Arc::clone(&core))),
            core,
            _listener: listener,
            _dialer: dialer,
        })
    }

    /// Stores a document if it is valid and its version is the highest. A change that outlasts the wait for
    /// its outcome goes on, and a repeat of it waits for the same outcome.
    pub async fn put_document(&self, body: Bytes) -> DocumentOutcome {
        let started = Instant::now();
        let outcome = document_changes::put(&self.core, body).await;
        self.core.log_put(&outcome, started);
        outcome
    }

    /// Sets the version of an adapter.
    pub async fn set_adapter_version(
        &self,
        adapter: crate::types::ModelName,
        version: u64,
    ) -> ChangeOutcome {
        let command = FleetCommand::SetAdapterVersion { adapter, version };
        self.core.change(command).await
    }

    /// Reads the newest document. A committed barrier entry proves that no newer document was
    /// acknowledged.
    pub async fn read_document(&self) -> ReadOutcome {
        let started = Instant::now();
        let outcome = self.read_newest().await;
        self.core.log_read(&outcome, started);
        outcome
    }

    async fn read_newest(&self) -> ReadOutcome {
        match self.core.change(FleetCommand::Barrier).await {
            ChangeOutcome::Done => {
                let state = self.core.state();
                ReadOutcome::Newest(state.state().fleet().document().cloned())
            }
            ChangeOutcome::NotLeader(address) => ReadOutcome::NotLeader(address),
            ChangeOutcome::Unknown => ReadOutcome::Unknown,
        }
    }

    /// Time of day.
    pub fn unix_time(&self) -> UnixMs {
        self.core.config.clock.unix()
    }

    /// Logs that a heartbeat was ignored because of `error`.
    pub fn log_invalid_heartbeat(&self, server: &str, error: &str) {
        self.core
            .events()
            .emit(&InvalidHeartbeat::new(server, error));
    }

    /// Processes a heartbeat of a backend server, which may be acknowledged then.
    pub async fn announce(&self, announcement: Announcement) {
        let server = announcement.server.clone();
        let is_leaving = announcement.state == ServerState::Leaving;
        let writes = self.core.announce(announcement);
        if is_leaving {
            self.wait_until_told(&server, writes).await;
        }
    }

    /// Processes a server's notice that it leaves now, which may be acknowledged then. `started_unix_ms` is
    /// the start time of its process, if the notice contains it.
    pub async fn leave(&self, server: &ServerName, started_unix_ms: Option<u64>) {
        let writes = self.core.leave(server, started_unix_ms);
        self.wait_until_told(server, writes).await;
    }

    /// Waits until the other VMs have been sent the news that `server` leaves. The server does not repeat
    /// what was acknowledged, so that the news would be lost with this process.
    async fn wait_until_told(&self, server: &ServerName, writes: PendingWrites) {
        let limit = Duration::from_millis(LEAVING_NEWS_TIMEOUT_MS);
        if !writes.wait(limit).await {
            self.core.log_server(server, 0, "leaves, not all VMs told");
        }
    }

    /// State of the replicated log.
    pub fn log_status(&self) -> consensus::Status {
        self.core.log.status()
    }

    /// Whether all parts run. If not, the process should exit and be restarted.
    pub fn is_running(&self) -> bool {
        self.core.log.is_running()
    }

    /// Transfers leadership of the log and stops.
    pub async fn shutdown(&self) {
        self.leader_tasks.abort();
        self.core.orders.stop();
        self.core.broadcast_status(true);
        let leaving = Frame::Leaving.encode();
        self.core.links.broadcast(&leaving, |_| true);
        let handing_over = self.core.log.shutdown_announced();
        let _ = timeout(Duration::from_millis(SHUTDOWN_TIMEOUT_MS), handing_over).await;
        self.periodic.abort();
        self.planning.abort();
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
    state: &SharedControlState,
    links: &Arc<Links>,
) -> io::Result<Handle> {
    let founders = config.contacts.borrow().iter().cloned().collect();
    let mut voter = VoterConfig::new(config.hello.vm.clone(), &config.data_folder, founders);
    voter.may_bootstrap = config.may_bootstrap;
    voter.disk_losses = config.disk_losses.unwrap_or(voter.disk_losses);
    voter.snapshot_every_entries = SNAPSHOT_EVERY_ENTRIES;
    voter.propose_timeout_ms = PROPOSE_TIMEOUT_MS;
    let transport = Arc::new(LogTransport(Arc::clone(links)));
    Handle::open_voter(voter, Arc::clone(state), transport).map_err(io::Error::other)
}

/// Starts the token bucket server of the fleet, which grants tokens while this VM leads the log.
fn open_quota(config: &ControlConfig, log: &Handle) -> limits::Server {
    let lease = buckets::lease(config.clock, log, |status, _| {
        let leads = status.is_leader && status.confirmed_age_ms <= LEADER_CONTACT_MAX_AGE_MS;
        leads.then_some(status.term)
    });
    limits::Server::spawn(fleet_share(), config.clock, lease)
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plans orders after each change. The delay batches further changes: after an outage, entry VMs send
/// adapter demands by the thousand.
async fn plan_when_due(core: Arc<Core>) {
    loop {
        core.plan_due.notified().await;
        core.orders.run_planner(&core);
        sleep(Duration::from_millis(PLAN_DELAY_MS)).await;
    }
}

async fn run_periodic_tasks(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    let mut log_watch = LogWatch::default();
    let mut contacts = core.config.contacts.clone();
    loop {
        ticks.tick().await;
        count += 1;
        if contacts.has_changed().unwrap_or(false) {
            let named = contacts.borrow_and_update().iter().cloned().collect();
            core.log.set_contacts(named);
        }
        log_watch.observe(&core.log.status(), core.events());
        core.update_deployment();
        core.failover.update(core.deployment());
        core.expire_server_limits();
        core.update_targets();
        core.broadcast_status(count.is_multiple_of(STATUS_TICKS));
        core.update_orders();
        if count.is_multiple_of(ALIVE_TICKS) {
            core.broadcast_alive();
            core.orders.log_state(core.now());
        }
    }
}
