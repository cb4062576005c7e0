//! One VM of the system: opens its parts, connects them and shuts them down.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use log::info;
use log::warn;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::admin_port::AdminPort;
use super::control_feed::ControlFeed;
use super::control_feed::RevisionIndex;
use super::coordinator::Coordinator;
use super::coordinator::CoordinatorConfig;
use super::duties::Duties;
use super::handler::VmHandler;
use super::health::Phase;
use super::health::VmHealth;
use super::jobs::JobRunner;
use super::ledger::LogLedger;
use super::links::BorrowLink;
use super::links::FollowLink;
use super::links::GossipLink;
use super::links::LeaseLink;
use super::links::LogLink;
use super::machine::Machine;
use super::machine::SharedState;
use super::member_feed::MemberFeed;
use super::proposer::Proposer;
use super::self_entry::SelfEntry;
use super::tables::TablePuller;
use super::topology::Topology;
use super::views::MemberQuarantine;
use super::views::MemberServers;
use super::views::StateKeys;
use crate::backend::HttpEngine;
use crate::backend::pooled_client;
use crate::backend::single_use_client;
use crate::configs::vm::VmSettings;
use crate::consensus;
use crate::consensus::FollowerConfig;
use crate::consensus::VoterConfig;
use crate::control::Owner;
use crate::control::Sha256Hash;
use crate::http::admin::AdminServer;
use crate::http::admin::AdminSettings;
use crate::http::admin::Operator;
use crate::http::caller::CallerContext;
use crate::http::caller::CallerServer;
use crate::lease;
use crate::limits;
use crate::membership;
use crate::metrics::Metrics;
use crate::peer::AddressBook;
use crate::peer::PeerClients;
use crate::peer::PeerServer;
use crate::pipeline::Context;
use crate::pipeline::Dispatcher;
use crate::pipeline::DispatcherConfig;
use crate::pipeline::RetryBudget;
use crate::scheduling::fair_queue::FairQueueConfig;
use crate::scheduling::placement::PlannerConfig;
use crate::scheduling::residency::ResidencyConfig;
use crate::types::Clock;
use crate::types::VmName;

/// Result of opening a VM.
pub type Result<T, E = OpenError> = std::result::Result<T, E>;

/// Name under which the operators' token appears in the history.
const OPERATOR: &str = "operator";
/// Interval at which a shutdown looks for work that is still running.
const DRAIN_POLL_MS: u64 = 50;

/// Why a VM could not be opened.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// The data folder cannot be used.
    #[snafu(display("{source}"))]
    Log {
        /// Cause.
        source: consensus::OpenError,
    },
    /// The peer address cannot be bound.
    #[snafu(display("peer_address: {source}"))]
    Peer {
        /// Cause.
        source: std::io::Error,
    },
    /// The caller address cannot be bound.
    #[snafu(display("caller_address: {source}"))]
    Caller {
        /// Cause.
        source: crate::http::caller::StartError,
    },
    /// The administration address cannot be bound.
    #[snafu(display("admin_address: {source}"))]
    Admin {
        /// Cause.
        source: crate::http::admin::StartError,
    },
    /// The metrics socket cannot be opened.
    #[snafu(display("metrics_address: {source}"))]
    Metrics {
        /// Cause.
        source: std::io::Error,
    },
}

/// A VM that accepts work.
pub struct Open(());

/// A VM that finishes the work it has.
pub struct Draining(());

/// A running VM in life cycle state `S`.
pub struct Vm<S> {
    settings: VmSettings,
    health: Arc<VmHealth>,
    log: consensus::Handle,
    lease: lease::Handle,
    dispatcher: Arc<Dispatcher>,
    jobs: JobRunner,
    self_entry: SelfEntry,
    servers: Servers,
    tasks: Tasks,
    _state: S,
}

/// Listening servers.
struct Servers {
    peer: PeerServer,
    caller: CallerServer,
    admin: AdminServer,
}

/// Background tasks; they end when this is dropped.
#[derive(Default)]
struct Tasks(Vec<JoinHandle<()>>);

impl Tasks {
    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.0.push(tokio::spawn(task));
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

/// The parts that the request stages and the background tasks share.
struct Parts {
    clock: Clock,
    incarnation: u64,
    state: SharedState,
    book: AddressBook,
    peers: PeerClients,
    log: consensus::Handle,
    sources: watch::Sender<Vec<VmName>>,
    proposer: Proposer,
    members: membership::Handle,
    lease: lease::Handle,
    dispenser: limits::Server,
    limits: limits::Client,
    dispatcher: Arc<Dispatcher>,
    coordinator: Arc<Coordinator>,
    health: Arc<VmHealth>,
}

impl Vm<Open> {
    /// Opens the data folder, joins the other VMs and listens.
    ///
    /// # Errors
    /// The data folder or an address cannot be used.
    pub async fn open(settings: VmSettings) -> Result<Self> {
        let metrics = Metrics::open(settings.metrics_address).context(MetricsSnafu)?;
        let parts = open_parts(&settings)?;
        let pipeline = pipeline(&settings, &parts, Arc::new(metrics));
        let revisions = Arc::new(RevisionIndex::default());
        let (in_force, in_force_seen) = watch::channel(0);
        let servers = bind_servers(&settings, &parts, &pipeline, &revisions).await?;
        let jobs = JobRunner::new(pipeline, parts.state.clone(), parts.health.clone());
        let self_entry = SelfEntry::new(&settings, &parts.members, &parts.lease, in_force_seen);
        let mut tasks = Tasks::default();
        spawn_tasks(&mut tasks, &settings, &parts, revisions, in_force);
        tasks.spawn(jobs.clone().run());
        tasks.spawn(self_entry.clone().run(parts.health.clone()));
        info!("vm: {} is open in {}", settings.vm, settings.data_centre);
        Ok(Self {
            settings,
            health: parts.health,
            log: parts.log,
            lease: parts.lease,
            dispatcher: parts.dispatcher,
            jobs,
            self_entry,
            servers,
            tasks,
            _state: Open(()),
        })
    }

    /// Address of the caller API.
    pub fn caller_address(&self) -> std::net::SocketAddr {
        self.servers.caller.local_address()
    }

    /// Address of the peer service.
    pub fn peer_address(&self) -> std::net::SocketAddr {
        self.servers.peer.local_address()
    }

    /// Fails readiness, waits for the load balancer to notice, and refuses new work after that.
    pub async fn drain(self) -> Vm<Draining> {
        info!("vm: shutting down; readiness fails from now on");
        self.health.enter(Phase::Unready);
        self.self_entry.drain();
        sleep(Duration::from_millis(self.settings.ready_lag_ms)).await;
        self.health.enter(Phase::Closed);
        self.lease.retire(None);
        info!("vm: new work is refused from now on");
        Vm {
            settings: self.settings,
            health: self.health,
            log: self.log,
            lease: self.lease,
            dispatcher: self.dispatcher,
            jobs: self.jobs,
            self_entry: self.self_entry,
            servers: self.servers,
            tasks: self.tasks,
            _state: Draining(()),
        }
    }
}

impl Vm<Draining> {
    /// Waits for the work in progress, at most for the drain time of the settings, then hands over
    /// the log and stops. Returns whether all work ended in time.
    pub async fn close(self) -> bool {
        let deadline = Instant::now() + Duration::from_millis(self.settings.drain_ms);
        let idle = self.wait_idle(deadline).await;
        let left = deadline.saturating_duration_since(Instant::now());
        let closed = timeout(left, self.servers.caller.close()).await.is_ok();
        if !(idle && closed) {
            warn!("vm: work was still in progress at the end of drain_ms");
        }
        self.dispatcher.leave();
        self.self_entry.leave().await;
        self.log.shutdown().await;
        drop(self.tasks);
        drop(self.servers.peer);
        let _ = timeout(
            Duration::from_millis(DRAIN_POLL_MS),
            self.servers.admin.close(),
        )
        .await;
        info!("vm: stopped");
        idle && closed
    }

    async fn wait_idle(&self, deadline: Instant) -> bool {
        loop {
            let in_use = self.dispatcher.with_residency(|view| view.total_in_use());
            if self.dispatcher.queued() == 0 && in_use == 0 && self.jobs.running_count() == 0 {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }
}

fn open_parts(settings: &VmSettings) -> Result<Parts> {
    let clock = Clock::start();
    // Rises with each start as long as the wall clock does.
    let incarnation = clock.unix().0;
    let state: SharedState = Arc::new(Mutex::new(Machine::default()));
    let known = settings.peers.iter();
    let book = AddressBook::new(known.map(|peer| (peer.vm.clone(), peer.peer_address)));
    let peers = PeerClients::new(book.clone());
    let (sources, sources_seen) = watch::channel(follow_sources(settings));
    let log = open_log(settings, &state, &peers, sources_seen)?;
    let members = spawn_members(settings, clock, incarnation, &peers, &book);
    let lease = spawn_lease(settings, clock, incarnation, &peers);
    let dispenser = spawn_dispenser(settings, clock, &lease);
    let limits = spawn_limits(settings, clock, incarnation, &peers, &lease, &dispenser);
    let dispatcher = spawn_dispatcher(settings, clock, incarnation);
    let coordinator = spawn_coordinator(settings, clock, &lease, &dispatcher);
    let health = Arc::new(VmHealth::new(log.clone(), lease.clone()));
    let proposer = Proposer::new(settings.vm.clone(), log.clone(), peers.clone());
    Ok(Parts {
        clock,
        incarnation,
        state,
        book,
        peers,
        log,
        sources,
        proposer,
        members,
        lease,
        dispenser,
        limits,
        dispatcher,
        coordinator,
        health,
    })
}

/// VMs to follow the log from: own data centre first.
fn follow_sources(settings: &VmSettings) -> Vec<VmName> {
    let own = settings
        .peers
        .iter()
        .filter(|peer| peer.data_centre == settings.data_centre);
    let others = settings
        .peers
        .iter()
        .filter(|peer| peer.data_centre != settings.data_centre);
    own.chain(others)
        .filter(|peer| peer.vm != settings.vm)
        .map(|peer| peer.vm.clone())
        .collect()
}

fn open_log(
    settings: &VmSettings,
    state: &SharedState,
    peers: &PeerClients,
    sources: watch::Receiver<Vec<VmName>>,
) -> Result<consensus::Handle> {
    let vm = settings.vm.clone();
    match &settings.data_folder {
        Some(folder) => {
            let config = VoterConfig::new(vm, folder.clone(), settings.founders.clone());
            let transport = Arc::new(LogLink::new(peers.clone()));
            consensus::Handle::open_voter(config, state.clone(), transport).context(LogSnafu)
        }
        None => {
            let config = FollowerConfig { vm, sources };
            let source = Arc::new(FollowLink::new(peers.clone()));
            Ok(consensus::Handle::spawn_follower(
                config,
                state.clone(),
                source,
            ))
        }
    }
}

fn spawn_members(
    settings: &VmSettings,
    clock: Clock,
    incarnation: u64,
    peers: &PeerClients,
    book: &AddressBook,
) -> membership::Handle {
    let contacts = settings.peers.iter().filter(|peer| peer.vm != settings.vm);
    let config = membership::Config {
        table: membership::TableConfig {
            me: settings.vm.clone(),
            incarnation,
            payload: super::self_entry::payload(settings, false, false),
            seed: incarnation,
        },
        contacts: contacts
            .map(|peer| membership::Contact {
                vm: peer.vm.clone(),
                data_centre: peer.data_centre.clone(),
                address: peer.peer_address.to_string(),
            })
            .collect(),
        clock,
    };
    let link = GossipLink::new(peers.clone(), book.clone());
    membership::spawn(config, Arc::new(link))
}

fn spawn_lease(
    settings: &VmSettings,
    clock: Clock,
    incarnation: u64,
    peers: &PeerClients,
) -> lease::Handle {
    let config = lease::Config {
        me: lease::Identity {
            vm: settings.vm.clone(),
            incarnation,
        },
        data_centre: settings.data_centre.clone(),
        timing: lease::Timing::default(),
        clock,
    };
    lease::spawn(config, Arc::new(LeaseLink::new(peers.clone())))
}

fn spawn_dispenser(settings: &VmSettings, clock: Clock, lease: &lease::Handle) -> limits::Server {
    let lease = lease.clone();
    let held = Arc::new(move || lease.current());
    limits::Server::spawn(settings.data_centre.clone(), clock, held)
}

fn spawn_limits(
    settings: &VmSettings,
    clock: Clock,
    incarnation: u64,
    peers: &PeerClients,
    lease: &lease::Handle,
    dispenser: &limits::Server,
) -> limits::Client {
    let lease = lease.clone();
    let dispenser = dispenser.clone();
    let link = BorrowLink {
        vm: settings.vm.clone(),
        peers: peers.clone(),
        coordinator_of: Arc::new(move |data_centre| lease.coordinator_of(data_centre)),
        local: Arc::new(move |request| dispenser.receive(&request)),
    };
    let config = limits::ClientConfig {
        vm: settings.vm.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        clock,
    };
    limits::Client::spawn(config, Arc::new(link))
}

fn spawn_dispatcher(settings: &VmSettings, clock: Clock, incarnation: u64) -> Arc<Dispatcher> {
    let config = DispatcherConfig {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        policy: settings.policy,
        queue: FairQueueConfig {
            max_items: usize::try_from(settings.queue_items).unwrap_or(usize::MAX),
            ..FairQueueConfig::default()
        },
    };
    let dispatcher = Dispatcher::spawn(config, clock);
    for link in &settings.links {
        dispatcher.set_link(link.data_centre.clone(), link.round_trip_ms, link.paid);
    }
    dispatcher
}

fn spawn_coordinator(
    settings: &VmSettings,
    clock: Clock,
    lease: &lease::Handle,
    dispatcher: &Arc<Dispatcher>,
) -> Arc<Coordinator> {
    let config = CoordinatorConfig {
        data_centre: settings.data_centre.clone(),
        policy: settings.policy,
        planner: PlannerConfig {
            residency: ResidencyConfig {
                longest_request_ms: settings.longest_request_ms,
                ..ResidencyConfig::default()
            },
            ..PlannerConfig::default()
        },
    };
    let engine = Arc::new(HttpEngine::new());
    Coordinator::spawn(config, clock, lease.clone(), engine, dispatcher.clone())
}

fn pipeline(settings: &VmSettings, parts: &Parts, metrics: Arc<Metrics>) -> Context {
    let ledger = LogLedger {
        proposer: parts.proposer.clone(),
        state: parts.state.clone(),
        owner: Owner {
            vm: settings.vm.clone(),
            incarnation: parts.incarnation,
        },
    };
    Context {
        clock: parts.clock,
        keys: Arc::new(StateKeys {
            state: parts.state.clone(),
            members: parts.members.clone(),
        }),
        health: parts.health.clone(),
        limits: parts.limits.clone(),
        dispatcher: parts.dispatcher.clone(),
        ledger: Arc::new(ledger),
        pooled: pooled_client(),
        single_use: single_use_client(),
        engine: Arc::new(HttpEngine::new()),
        servers: Arc::new(MemberServers {
            members: parts.members.clone(),
            clock: parts.clock,
        }),
        quarantine: Arc::new(MemberQuarantine {
            members: parts.members.clone(),
            clock: parts.clock,
        }),
        metrics,
        retries: Arc::new(RetryBudget::default()),
        longest_request_ms: settings.longest_request_ms,
    }
}

async fn bind_servers(
    settings: &VmSettings,
    parts: &Parts,
    pipeline: &Context,
    revisions: &Arc<RevisionIndex>,
) -> Result<Servers> {
    let handler = VmHandler {
        log: parts.log.clone(),
        members: parts.members.clone(),
        lease: parts.lease.clone(),
        dispenser: parts.dispenser.clone(),
        coordinator: parts.coordinator.clone(),
    };
    let peer = PeerServer::bind(settings.peer_address, Arc::new(handler))
        .await
        .context(PeerSnafu)?;
    let context = CallerContext {
        pipeline: pipeline.clone(),
        members: parts.members.clone(),
        max_body_bytes: usize::try_from(settings.max_body_bytes).unwrap_or(usize::MAX),
    };
    let caller =
        CallerServer::bind(settings.caller_address, Arc::new(context)).context(CallerSnafu)?;
    let port = AdminPort {
        proposer: parts.proposer.clone(),
        state: parts.state.clone(),
        members: parts.members.clone(),
        revisions: revisions.clone(),
        clock: parts.clock,
    };
    let admin = AdminSettings {
        bind_address: settings.admin_address,
        operators: vec![Operator {
            name: OPERATOR.to_owned(),
            token_sha256: Sha256Hash(settings.operator_token_sha256),
        }],
    };
    let admin = AdminServer::bind(admin, Arc::new(port), parts.clock).context(AdminSnafu)?;
    Ok(Servers {
        peer,
        caller,
        admin,
    })
}

fn spawn_tasks(
    tasks: &mut Tasks,
    settings: &VmSettings,
    parts: &Parts,
    revisions: Arc<RevisionIndex>,
    in_force: watch::Sender<u64>,
) {
    let control = ControlFeed {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        clock: parts.clock,
        state: parts.state.clone(),
        log: parts.log.clone(),
        proposer: parts.proposer.clone(),
        lease: parts.lease.clone(),
        limits: parts.limits.clone(),
        dispenser: parts.dispenser.clone(),
        health: parts.health.clone(),
        revisions,
        in_force,
    };
    tasks.spawn(control.run());
    let members = MemberFeed {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        clock: parts.clock,
        members: parts.members.clone(),
        state: parts.state.clone(),
        lease: parts.lease.clone(),
        dispatcher: parts.dispatcher.clone(),
        coordinator: parts.coordinator.clone(),
        book: parts.book.clone(),
        store: settings.store.clone(),
    };
    tasks.spawn(members.run());
    let duties = Duties {
        clock: parts.clock,
        state: parts.state.clone(),
        log: parts.log.clone(),
        proposer: parts.proposer.clone(),
        members: parts.members.clone(),
        lease_ms: lease::Timing::default().lease_ms,
    };
    tasks.spawn(duties.run());
    let puller = TablePuller {
        vm: settings.vm.clone(),
        clock: parts.clock,
        lease: parts.lease.clone(),
        coordinator: parts.coordinator.clone(),
        dispatcher: parts.dispatcher.clone(),
        peers: parts.peers.clone(),
    };
    let topology = Topology {
        settings: settings.clone(),
        state: parts.state.clone(),
        members: parts.members.clone(),
        log: parts.log.clone(),
        sources: parts.sources.clone(),
        puller,
    };
    tasks.spawn(topology.run());
}
