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

use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;
use tokio::time::sleep;
use tokio::time::timeout;

use super::buckets;
use super::control_core::Core;
use super::control_links::ControlHandler;
use super::control_links::Links;
use super::control_links::LogTransport;
use super::failover_server::FailoverServer;
use super::fencing::Fencing;
use super::leader_tasks;
use super::log_line::Lifecycle;
use super::order_executor::OrderExecutor;
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
use crate::link::Dialer;
use crate::link::Frame;
use crate::link::Handler;
use crate::link::Hello;
use crate::link::Listener;
use crate::mechanisms::Mechanisms;
use crate::node::SharedControl;
use crate::registry::Announcement;
use crate::types::Clock;
use crate::types::ServerName;
use crate::types::VmName;

/// Interval of looks at the log's state.
const TICK_MS: u64 = 100;
/// Ticks between two status messages when nothing changes.
const STATUS_TICKS: u64 = 5;
/// Ticks between two messages about servers that said nothing new.
const ALIVE_TICKS: u64 = 10;
/// Pause between two plans of orders.
const PLAN_DELAY_MS: u64 = 10;
/// Age of a quorum's confirmation up to which the leader hands out tokens.
pub(super) const LEADER_CONTACT_MAX_AGE_MS: u64 = 700;
/// Applied entries after which the log is compacted; documents may be large.
const SNAPSHOT_EVERY_ENTRIES: u64 = 96;
/// Longest wait for a commit.
const PROPOSE_TIMEOUT_MS: u64 = 900;
/// Longest wait for another VM to take over the log.
const SHUTDOWN_TIMEOUT_MS: u64 = 1_800;

/// Settings of a controller.
pub struct ControlConfig {
    /// How it greets other VMs. Its name is its IP address.
    pub hello: Hello,
    /// Clock of the process.
    pub clock: Clock,
    /// Where links are listened for.
    pub link_address: SocketAddr,
    /// Port at which the links of every controller are reached.
    pub link_port: u16,
    /// Where the operator and backend servers reach it, on every controller at this port.
    pub operator_address: SocketAddr,
    /// Controllers that are known at the start.
    pub contacts: BTreeSet<VmName>,
    /// Whether the contacts may found the log.
    pub may_found: bool,
    /// Folder that outlives the process.
    pub data_folder: PathBuf,
    /// How engines tell the orders of two holders apart.
    pub fencing: Fencing,
    /// Reads configurations.
    pub dialect: Arc<dyn Dialect>,
    /// Speaks with engines.
    pub engines: Arc<dyn EngineDialect>,
    /// Which decisions are at work.
    pub mechanisms: Mechanisms,
    /// Structured log.
    pub events: EventLog,
}

/// Result of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// It holds, or a higher version does.
    Done,
    /// Another controller leads; `None` if it is not known.
    NotLeader(Option<SocketAddr>),
    /// It may or may not hold.
    Unknown,
}

/// Result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The newest document; `None` before the first.
    Newest(Option<Document>),
    /// Another controller leads; `None` if it is not known.
    NotLeader(Option<SocketAddr>),
    /// This VM cannot be sure which document is the newest.
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
    /// Opens the data folder and joins or founds the log. Must be called in a tokio runtime.
    ///
    /// # Errors
    /// The folder cannot be opened or the address cannot be bound.
    pub async fn open(config: ControlConfig) -> io::Result<Self> {
        let links = Arc::new(Links::default());
        let state = SharedControl::default();
        let log = open_log(&config, &state, &links)?;
        let quota = open_quota(&config, &log);
        let failover = FailoverServer::spawn(config.hello.vm.clone(), config.clock, &log);
        let orders = OrderExecutor::new(&config);
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
            orders,
            plan_due: Notify::new(),
            quota,
            failover,
            heartbeats: Mutex::default(),
            servers: Mutex::default(),
            deployment: Mutex::default(),
            last_status: Mutex::default(),
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
            periodic: tokio::spawn(run_periodic_tasks(Arc::clone(&core))),
            leader_tasks: tokio::spawn(leader_tasks::run(Arc::clone(&core))),
            planning: tokio::spawn(plan_when_due(Arc::clone(&core))),
            core,
            _listener: listener,
            _dialer: dialer,
        })
    }

    /// Stores a checked document if its version is the highest.
    pub async fn put_document(&self, version: u64, body: &[u8]) -> ChangeOutcome {
        let document = Document {
            version,
            body: body.into(),
        };
        self.core.change(FleetCommand::PutDocument(document)).await
    }

    /// Names a version of an adapter.
    pub async fn set_adapter_version(
        &self,
        adapter: crate::types::ModelName,
        version: u64,
    ) -> ChangeOutcome {
        let command = FleetCommand::SetAdapterVersion { adapter, version };
        self.core.change(command).await
    }

    /// Reads the newest document. A committed entry proves that no newer one was acknowledged.
    pub async fn read_document(&self) -> ReadOutcome {
        match self.core.change(FleetCommand::Barrier).await {
            ChangeOutcome::Done => {
                let state = self.core.state();
                ReadOutcome::Newest(state.state().fleet().document().cloned())
            }
            ChangeOutcome::NotLeader(address) => ReadOutcome::NotLeader(address),
            ChangeOutcome::Unknown => ReadOutcome::Unknown,
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
        self.leader_tasks.abort();
        self.core.orders.stop();
        self.core.broadcast_status(true);
        let leaving = Frame::Leaving.encode();
        self.core.links.broadcast(&leaving, |_| true);
        let handing_over = self.core.log.shutdown();
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
    state: &SharedControl,
    links: &Arc<Links>,
) -> io::Result<Handle> {
    let contacts = config.contacts.iter().cloned().collect();
    let mut voter = VoterConfig::new(config.hello.vm.clone(), &config.data_folder, contacts);
    voter.may_found = config.may_found;
    voter.snapshot_every_entries = SNAPSHOT_EVERY_ENTRIES;
    voter.propose_timeout_ms = PROPOSE_TIMEOUT_MS;
    let transport = Arc::new(LogTransport(Arc::clone(links)));
    Handle::open_voter(voter, Arc::clone(state), transport).map_err(io::Error::other)
}

/// The token buckets; tokens are handed out while this VM leads the log.
fn open_quota(config: &ControlConfig, log: &Handle) -> limits::Server {
    let lease = buckets::lease(config.clock, log, |status, _| {
        let leads = status.is_leader && status.quorum_contact_age_ms <= LEADER_CONTACT_MAX_AGE_MS;
        leads.then_some(status.term)
    });
    limits::Server::spawn(fleet_share(), config.clock, lease)
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plans orders as soon as something has changed, with a pause in which further changes gather: after an
/// outage wishes come by the thousand.
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
    loop {
        ticks.tick().await;
        count += 1;
        core.update_deployment();
        core.failover.update(core.deployment());
        core.update_targets();
        core.broadcast_status(count.is_multiple_of(STATUS_TICKS));
        core.update_orders();
        if count.is_multiple_of(ALIVE_TICKS) {
            core.broadcast_alive();
            core.orders.log_state(core.now());
        }
    }
}
