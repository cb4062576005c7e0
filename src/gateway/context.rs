//! State shared by all requests of an entry VM.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::adapter_usage::AdapterUsage;
use super::adapter_versions::AdapterVersions;
use super::adapter_waits::AdapterWaits;
use super::belief::Belief;
use super::belief::ControllerContact;
use super::configuration::Configuration;
use super::configuration::InForce;
use super::crashes::Crashes;
use super::demand;
use super::demand::Demand;
use super::deployment::Deployment;
use super::dialect::Dialect;
use super::grace_period;
use super::peers::PeerTable;
use super::pool;
use super::pool::Pool;
use super::quota::Quota;
use super::reach::ReachProbe;
use super::record::RequestRecord;
use super::retry_budgets::RetryBudgets;
use super::server_table::Distance;
use super::server_table::ServerTable;
use super::stream_origins::KnownStreams;
use super::stream_origins::LookupFuture;
use crate::configs::connections::ProcessLimits;
use crate::connections::budget::ByteBudget;
use crate::events::EventLog;
use crate::limits::RetryLimit;
use crate::link::AdapterDemand;
use crate::link::ServerLimit;
use crate::mechanisms::Mechanism;
use crate::mechanisms::Mechanisms;
use crate::metrics_page::Meters;
use crate::scheduling::crash_evidence::ClearedFeature;
use crate::scheduling::crash_evidence::CrashReport;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::SoftwareVersion;
use crate::types::StreamKey;
use crate::types::VmName;

/// Requests of other entry VMs that are in progress at once. Each holds its body, and its share of the
/// memory is that of a caller's.
const MAX_RELAYED: usize = 256;

/// Configuration of a gateway.
pub struct GatewayConfig {
    /// Name of this VM.
    pub vm: VmName,
    /// Local address of connections to other entry VMs, by which they know this VM.
    pub relay_source: Option<IpAddr>,
    /// Clock of the process.
    pub clock: Clock,
    /// Protocol of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Distances to the data centres.
    pub distances: HashMap<DataCentre, Distance>,
    /// Retries for a service that the operator allows, over all VMs.
    pub retry_limit: RetryLimit,
    /// Time after which an announced adapter version becomes mandatory.
    pub version_grace_ms: u64,
    /// Enabled mechanisms.
    pub mechanisms: Mechanisms,
    /// Limits of the VM on the process.
    pub process_limits: ProcessLimits,
    /// Structured log.
    pub events: EventLog,
    /// Counters and histograms.
    pub meters: Meters,
    /// IP address at which the ports of backend servers are dialled, if a forwarder is in between.
    pub server_dial_ip: Option<IpAddr>,
}

/// Shared state of the request path.
pub struct Gateway {
    pub(super) config: GatewayConfig,
    /// Token limits.
    pub quota: Quota,
    /// Requests that wait for adapters.
    pub adapter_waits: AdapterWaits,
    pub(super) configuration: watch::Sender<Configuration>,
    /// Memory that the bodies of requests share.
    pub(super) bodies: ByteBudget,
    /// Memory that answers share which callers have not read.
    pub(super) answers: ByteBudget,
    /// Limits the number of requests in a grace period.
    grace_permits: Semaphore,
    server_table: Mutex<ServerTable>,
    pool: Mutex<Pool>,
    adapter_usage: Mutex<AdapterUsage>,
    pub(super) retry_budgets: RetryBudgets,
    versions: Mutex<AdapterVersions>,
    demand: Mutex<Demand>,
    pub(super) crashes: Crashes,
    pub(super) known_streams: KnownStreams,
    pub(super) reach_probe: ReachProbe,
    peers: Mutex<PeerTable>,
    relay_permits: Arc<Semaphore>,
    pub(super) controllers: Arc<dyn ControllerRequests>,
    is_leaving: AtomicBool,
    /// Time from which requests that wait for a server are refused, set when the VM shuts down.
    wait_deadline: OnceLock<Instant>,
}

/// Sends messages of the gateway to the controllers.
pub trait ControllerRequests: Send + Sync {
    /// Sends an adapter request to the VM in charge of the engines if it can be reached. `earlier_requests` is the number of
    /// previous requests on behalf of the same waiting callers.
    fn request_adapter(&self, demand: AdapterDemand, earlier_requests: u32);

    /// Tells all controllers which services this VM is cut off from.
    fn report_cut_off(&self, services: Vec<ServiceName>);

    /// Reports to all controllers what a server stated about its limit.
    fn report_server_limit(&self, limit: ServerLimit);

    /// Reports crashes to all controllers.
    fn report_crashes(&self, reports: Vec<CrashReport>);

    /// Reports to all controllers what did not cause crashes.
    fn report_cleared(&self, cleared: Vec<ClearedFeature>);

    /// Asks the controllers where a stream began.
    fn find_stream(&self, stream: StreamKey) -> LookupFuture;

    /// Controllers to which links are open.
    fn linked_controllers(&self) -> BTreeSet<VmName>;
}

impl Gateway {
    /// Creates a gateway without a configuration and servers.
    pub fn new(
        config: GatewayConfig,
        quota: Quota,
        controllers: Arc<dyn ControllerRequests>,
    ) -> Self {
        Self {
            server_table: Mutex::new(
                ServerTable::new(config.distances.clone()).with(config.mechanisms),
            ),
            bodies: ByteBudget::new(config.process_limits.entry_bodies_bytes()),
            answers: ByteBudget::new(config.process_limits.entry_answers_bytes()),
            pool: Mutex::new(Pool::new(config.process_limits.idle_server_connections())),
            config,
            quota,
            adapter_waits: AdapterWaits::default(),
            configuration: watch::Sender::default(),
            grace_permits: Semaphore::new(grace_period::MAX_WAITING),
            adapter_usage: Mutex::default(),
            retry_budgets: RetryBudgets::default(),
            versions: Mutex::default(),
            demand: Mutex::default(),
            crashes: Crashes::default(),
            known_streams: KnownStreams::default(),
            reach_probe: ReachProbe::default(),
            peers: Mutex::default(),
            relay_permits: Arc::new(Semaphore::new(MAX_RELAYED)),
            controllers,
            is_leaving: AtomicBool::new(false),
            wait_deadline: OnceLock::new(),
        }
    }

    /// Structured log.
    pub fn events(&self) -> &EventLog {
        &self.config.events
    }

    /// Logs and counts a request that has ended.
    pub(super) fn log_request(&self, record: &RequestRecord) {
        self.config.events.emit(record);
        let route = record.route.as_deref().unwrap_or_default();
        let outcome = record.reason.unwrap_or(match record.status {
            200..=299 => "served",
            _ => "failed_by_server",
        });
        self.config
            .meters
            .record_request(route, outcome, record.first_ms, record.waited_ms);
    }

    /// Refuses new requests from now on.
    pub fn stop_admitting(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Sets the time from which requests that wait for a server are refused.
    pub fn set_wait_deadline(&self, time: Instant) {
        // Only the first call takes effect; a VM shuts down once.
        let _ = self.wait_deadline.set(time);
    }

    /// Whether requests that wait for a server have to be refused now.
    pub(super) fn is_past_wait_deadline(&self) -> bool {
        let wait_deadline = self.wait_deadline.get();
        wait_deadline.is_some_and(|time| Instant::now() >= *time)
    }

    /// Whether new requests are refused because the VM shuts down.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.config.mechanisms.is_enabled(mechanism)
    }

    /// Current time.
    pub fn now(&self) -> MonoMs {
        self.config.clock.mono()
    }

    /// Configuration in force.
    pub fn deployment(&self) -> Option<Arc<Deployment>> {
        self.configuration.borrow().deployment().cloned()
    }

    /// Version of the newest configuration that has arrived, in force or not; 0 for none.
    pub fn received_version(&self) -> u64 {
        let configuration = self.configuration.borrow();
        configuration.newest().map_or(0, |newest| newest.version)
    }

    /// Whether requests may be refused because the configuration in force does not allow them.
    pub fn is_confirmed(&self) -> bool {
        self.configuration.borrow().is_confirmed(self.now())
    }

    /// Configuration in force, or the first one before `deadline`.
    pub(super) async fn first_configuration(&self, deadline: Instant) -> Option<InForce> {
        self.configuration_when(deadline, |_| true).await
    }

    /// Highest version by which another entry VM handled a request of this VM's callers; 0 for none.
    pub(super) fn version_handled_elsewhere(&self) -> u64 {
        self.configuration.borrow().belief().handled_elsewhere()
    }

    /// Configuration in force once its version is at least `version`, if that happens before `deadline`.
    pub(super) async fn configuration_from(
        &self,
        version: u64,
        deadline: Instant,
    ) -> Option<InForce> {
        let is_wanted = |known: &InForce| known.deployment.version >= version;
        self.configuration_when(deadline, is_wanted).await
    }

    /// Configuration in force once it is confirmed, if that happens before `deadline`.
    pub(super) async fn confirmed_configuration(&self, deadline: Instant) -> Option<InForce> {
        self.configuration_when(deadline, |known| known.is_confirmed)
            .await
    }

    async fn configuration_when(
        &self,
        deadline: Instant,
        is_wanted: impl Fn(&InForce) -> bool,
    ) -> Option<InForce> {
        let find = |known: &Configuration| known.in_force(self.now()).filter(&is_wanted);
        let known = find(&self.configuration.borrow());
        if known.is_some() {
            return known;
        }
        let _permit = self.grace_permit()?;
        let mut changes = self.configuration.subscribe();
        let coming = changes.wait_for(|known| find(known).is_some());
        let come = timeout_at(deadline, coming).await.ok()?.ok()?;
        find(&come)
    }

    /// Permit for a request to wait in its grace period, unless too many do.
    pub(super) fn grace_permit(&self) -> Option<SemaphorePermit<'_>> {
        self.grace_permits.try_acquire().ok()
    }

    /// Whether the VM started so recently that it may not know all servers.
    pub(super) fn is_starting_up(&self) -> bool {
        self.now().0 < grace_period::STARTUP_MS
    }

    /// Takes over a configuration unless it is older than the known one.
    pub fn set_deployment(&self, deployment: Deployment) -> bool {
        let now = self.now();
        self.configuration.send_if_modified(|current| {
            let old = current.newest().cloned();
            let new = Arc::new(deployment);
            if !current.receive(Arc::clone(&new), now) {
                return false;
            }
            self.quota.set_deployment(&new, old.as_deref());
            let retry_limit = &self.config.retry_limit;
            self.quota
                .set_retry_limits(&new, old.as_deref(), retry_limit);
            self.config.meters.set_deployment_version(new.version);
            true
        })
    }

    /// Notes that a status on `link` has confirmed `version` of the configuration. Returns whether that counts, as
    /// [`Belief::confirm`] does.
    pub fn confirm_version(&self, link: u64, version: u64) -> bool {
        let now = self.now();
        let mut counts = false;
        // Requests that wait for a confirmation look again, as an earlier one may have expired meanwhile.
        self.configuration
            .send_modify(|current| counts = current.confirm(link, version, now));
        counts
    }

    /// Notes that the process runs. Called often, so that the VM can tell when it stood still.
    pub fn observe_time(&self) {
        let now = self.now();
        self.update_belief(|belief| belief.observe(now));
    }

    /// Time from which messages are known not to have queued up while the process stood still.
    pub fn fresh_from(&self) -> MonoMs {
        self.observe_time();
        self.configuration.borrow().belief().fresh_from()
    }

    /// Changes what is known from the links to controllers.
    pub fn update_belief(&self, update: impl FnOnce(&mut Belief)) {
        self.configuration.send_if_modified(|current| {
            update(current.belief_mut());
            false
        });
    }

    /// How this VM stands with the controllers.
    pub fn controller_contact(&self) -> ControllerContact {
        self.configuration.borrow().belief().contact(self.now())
    }

    /// Updates the metrics of the contact with controllers.
    pub fn update_contact_metrics(&self) {
        let contact = self.controller_contact();
        let age_ms = contact.confirmed_age_ms.unwrap_or(self.now().0);
        let meters = &self.config.meters;
        meters.set_controller_contact(contact.links, age_ms);
    }

    /// Serves by an unconfirmed configuration if none was confirmed for too long. Returns whether that
    /// begins now.
    pub fn serve_unconfirmed_if_due(&self) -> bool {
        let now = self.now();
        if now.0 < grace_period::UNCONFIRMED_MS {
            return false;
        }
        self.configuration
            .send_if_modified(|current| current.serve_unconfirmed(now))
    }

    /// Backend servers as known to this VM.
    pub fn server_table(&self) -> MutexGuard<'_, ServerTable> {
        lock(&self.server_table)
    }

    /// Other entry VMs.
    pub fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    /// Permit for a request of another VM, unless too many are in progress.
    pub(super) fn relay_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.relay_permits).try_acquire_owned().ok()
    }

    /// Adapter usage.
    pub fn adapter_usage(&self) -> MutexGuard<'_, AdapterUsage> {
        lock(&self.adapter_usage)
    }

    /// Connections to backend servers.
    pub(super) fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    /// Opens a connection to a backend server that announced `address`.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        wait: Duration,
    ) -> pool::Result<pool::Connection> {
        let ip = self.config.server_dial_ip.unwrap_or(address.ip());
        pool::connect(SocketAddr::new(ip, address.port()), wait).await
    }

    /// Closes connections that have been idle for too long.
    pub fn prune_pool(&self) {
        self.pool().prune();
    }

    /// Stores announced adapter versions.
    pub fn set_versions(&self, versions: &[(ModelName, u64)]) {
        let now = self.now();
        let mut known = lock(&self.versions);
        for (model, version) in versions {
            known.announce(model, *version, now, self.config.version_grace_ms);
        }
    }

    /// Oldest version of `model` that may answer, if one was announced long enough ago.
    pub(super) fn required_version(&self, model: &ModelName) -> Option<u64> {
        let grace_ms = self.config.version_grace_ms;
        lock(&self.versions).required(model, self.now(), grace_ms)
    }

    /// Version of `model` with which `server` has to answer: the one that is resident there, unless an older
    /// one or none at all is known to be.
    pub(super) fn expected_version(&self, model: &ModelName, server: &ServerName) -> Option<u64> {
        let required = self.required_version(model)?;
        let table = self.server_table();
        let resident = table.get(server).and_then(|view| view.residency.get(model));
        Some(resident.map_or(required, |present| present.version.max(required)))
    }

    /// Whether an adapter is requested often enough to be loaded in the own data centre.
    pub fn is_popular(&self, model: &ModelName) -> bool {
        let requests = lock(&self.demand).recent(model, self.now());
        self.exceeds_copy_threshold(requests)
    }

    /// Counts a request for an adapter and returns whether the adapter is popular.
    pub(super) fn record_demand(&self, model: &ModelName) -> bool {
        let requests = lock(&self.demand).count(model, self.now());
        self.exceeds_copy_threshold(requests)
    }

    fn exceeds_copy_threshold(&self, requests: f64) -> bool {
        let data_centres = self.config.distances.len();
        let least = demand::local_copy_threshold(self.quota.entry_vms(), data_centres);
        requests >= least && self.is_enabled(Mechanism::NearCopies)
    }

    /// Sends a request for an adapter, or for one more copy of it, at once.
    pub(super) fn request_adapter_now(&self, model: &ModelName, priority: u8, copy: bool) {
        let demand = AdapterDemand {
            model: model.clone(),
            waiting: 1,
            priority,
            copy,
            software: None,
        };
        self.controllers.request_adapter(demand, 0);
    }

    /// Sends a request for an adapter on an engine of the version `software`. `earlier_requests` is the
    /// number of previous ones on behalf of the same stream.
    pub(super) fn request_version_load(
        &self,
        model: &ModelName,
        software: &SoftwareVersion,
        earlier_requests: u32,
    ) {
        let demand = AdapterDemand {
            model: model.clone(),
            waiting: 1,
            priority: 0,
            copy: false,
            software: Some(software.clone()),
        };
        self.controllers.request_adapter(demand, earlier_requests);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
