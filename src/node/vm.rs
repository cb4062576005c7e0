//! Lifecycle of a VM: opens its components, connects them and shuts them down.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::components::Components;
use super::components::open_components;
use super::control_plane::VmControlPlane;
use super::control_sync::RevisionIndex;
use super::directories::ControlKeyDirectory;
use super::directories::MembershipServerDirectory;
use super::handler::VmHandler;
use super::health::Phase;
use super::health::VmHealth;
use super::jobs::JobRunner;
use super::quarantine::MembershipQuarantine;
use super::replicated_log::NodeLog;
use super::self_entry::SelfEntry;
use super::suspect_reserver::CoordinatorSuspectReserver;
use super::tasks::Tasks;
use super::tasks::spawn_tasks;
use crate::backend::HttpEngine;
use crate::backend::NamedLimits;
use crate::backend::pooled_client;
use crate::backend::single_use_client;
use crate::configs::vm::VmSettings;
use crate::connections::budget::ByteBudget;
use crate::consensus;
use crate::control::Owner;
use crate::control::Sha256Hash;
use crate::http::admin::AdminServer;
use crate::http::admin::AdminSettings;
use crate::http::admin::Operator;
use crate::http::caller::CallerContext;
use crate::http::caller::CallerServer;
use crate::lease;
use crate::metrics::Metrics;
use crate::peer::PeerServer;
use crate::pipeline::Context;
use crate::pipeline::Dispatcher;
use crate::pipeline::ServerPermits;

/// Result of opening a VM.
pub type Result<T, E = OpenError> = std::result::Result<T, E>;

/// Operator name in the change history for the operators' token of the settings.
const OPERATOR: &str = "operator";
/// Interval at which the replicated log is checked for a failure.
const FAILURE_POLL_INTERVAL_MS: u64 = 200;
/// Interval at which a shutdown checks for work in progress.
const DRAIN_POLL_INTERVAL_MS: u64 = 50;

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

/// A VM that refuses new work and finishes the work in progress.
pub struct Draining(());

/// A running VM in lifecycle state `S`.
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

/// Servers that listen on the addresses of the VM.
struct Servers {
    peer: PeerServer,
    caller: CallerServer,
    admin: AdminServer,
}

impl Vm<Open> {
    /// Opens the data folder, joins the other VMs and starts to listen.
    ///
    /// # Errors
    /// The data folder or an address cannot be used.
    pub async fn open(settings: VmSettings) -> Result<Self> {
        let metrics = Metrics::open(settings.metrics_address).context(MetricsSnafu)?;
        let components = open_components(&settings).context(LogSnafu)?;
        let pipeline = pipeline(&settings, &components, Arc::new(metrics));
        let revisions = Arc::new(RevisionIndex::default());
        let (effective_index, effective_index_receiver) = watch::channel(0);
        let servers = bind_servers(&settings, &components, &pipeline, &revisions).await?;
        let jobs = JobRunner::new(
            pipeline,
            components.state.clone(),
            components.health.clone(),
        );
        let self_entry = SelfEntry::new(
            &settings,
            &components.members,
            &components.lease,
            effective_index_receiver,
        );
        let mut tasks = Tasks::default();
        spawn_tasks(
            &mut tasks,
            &settings,
            &components,
            revisions,
            effective_index,
        );
        tasks.spawn(jobs.clone().run());
        tasks.spawn(self_entry.clone().run(components.health.clone()));
        info!("vm: {} is open in {}", settings.vm, settings.data_centre);
        Ok(Self {
            settings,
            health: components.health,
            log: components.log,
            lease: components.lease,
            dispatcher: components.dispatcher,
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

    /// Waits until the replicated log has stopped because its disk or state machine failed.
    pub async fn failed(&self) {
        while self.log.is_running() {
            sleep(Duration::from_millis(FAILURE_POLL_INTERVAL_MS)).await;
        }
    }

    /// Fails readiness, waits `ready_lag_ms` for the load balancer to notice, then refuses new
    /// work.
    pub async fn drain(self) -> Vm<Draining> {
        info!("vm: shutting down; readiness checks fail from now on");
        self.health.enter(Phase::Unready);
        self.self_entry.drain();
        sleep(Duration::from_millis(self.settings.ready_lag_ms)).await;
        self.health.enter(Phase::Closed);
        self.lease.step_down(None);
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
    /// Waits up to `drain_ms` for the work in progress, then hands over the leadership of the log
    /// and stops. Returns whether all work ended in time.
    pub async fn close(self) -> bool {
        let deadline = Instant::now() + Duration::from_millis(self.settings.drain_ms);
        let idle = self.wait_idle(deadline).await;
        let left = deadline.saturating_duration_since(Instant::now());
        let closed = timeout(left, self.servers.caller.close()).await.is_ok();
        if !(idle && closed) {
            warn!("vm: drain timed out after drain_ms with work still in progress");
        }
        self.dispatcher.leave();
        self.self_entry.leave().await;
        self.log.shutdown().await;
        drop(self.tasks);
        drop(self.servers.peer);
        let _ = timeout(
            Duration::from_millis(DRAIN_POLL_INTERVAL_MS),
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
            sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
    }
}

fn pipeline(settings: &VmSettings, components: &Components, metrics: Arc<Metrics>) -> Context {
    let replicated_log = NodeLog {
        proposer: components.proposer.clone(),
        state: components.state.clone(),
        owner: Owner {
            vm: settings.vm.clone(),
            incarnation: components.incarnation,
        },
    };
    let named_limits = Arc::new(NamedLimits::new(components.clock));
    Context {
        clock: components.clock,
        keys: Arc::new(ControlKeyDirectory {
            state: components.state.clone(),
            members: components.members.clone(),
        }),
        health: components.health.clone(),
        limits: components.limits.clone(),
        dispatcher: components.dispatcher.clone(),
        replicated_log: Arc::new(replicated_log),
        pooled_client: pooled_client(),
        single_use_client: single_use_client(),
        engine: Arc::new(HttpEngine::new(named_limits.clone())),
        server_permits: Arc::new(ServerPermits::new(
            named_limits,
            components.limits.clone(),
            components.dispatcher.clone(),
        )),
        servers: Arc::new(MembershipServerDirectory {
            members: components.members.clone(),
            clock: components.clock,
        }),
        quarantine: Arc::new(MembershipQuarantine::new(
            components.members.clone(),
            components.clock,
        )),
        suspects: Arc::new(CoordinatorSuspectReserver {
            vm: settings.vm.clone(),
            lease: components.lease.clone(),
            members: components.members.clone(),
            coordinator: components.coordinator.clone(),
            peers: components.peers.clone(),
        }),
        metrics,
        retry_budget: components.retry_budget.clone(),
        longest_request_ms: settings.longest_request_ms,
    }
}

async fn bind_servers(
    settings: &VmSettings,
    components: &Components,
    pipeline: &Context,
    revisions: &Arc<RevisionIndex>,
) -> Result<Servers> {
    let handler = VmHandler {
        log: components.log.clone(),
        members: components.members.clone(),
        lease: components.lease.clone(),
        token_server: components.token_server.clone(),
        coordinator: components.coordinator.clone(),
    };
    let peer = PeerServer::bind(settings.peer_address, Arc::new(handler))
        .await
        .context(PeerSnafu)?;
    let limits = settings.process_limits;
    let context = CallerContext {
        pipeline: pipeline.clone(),
        members: components.members.clone(),
        bodies: ByteBudget::new(limits.entry_bodies_bytes()),
        process_limits: limits,
        max_body_bytes: usize::try_from(settings.max_body_bytes).unwrap_or(usize::MAX),
    };
    let caller =
        CallerServer::bind(settings.caller_address, Arc::new(context)).context(CallerSnafu)?;
    let control_plane = VmControlPlane {
        proposer: components.proposer.clone(),
        state: components.state.clone(),
        members: components.members.clone(),
        revisions: revisions.clone(),
        metrics: pipeline.metrics.clone(),
        clock: components.clock,
    };
    let admin = AdminSettings {
        bind_address: settings.admin_address,
        operators: vec![Operator {
            name: OPERATOR.to_owned(),
            token_sha256: Sha256Hash(settings.operator_token_sha256),
        }],
    };
    let admin =
        AdminServer::bind(admin, Arc::new(control_plane), components.clock).context(AdminSnafu)?;
    Ok(Servers {
        peer,
        caller,
        admin,
    })
}
