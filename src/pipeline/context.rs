//! Dependencies that the pipeline stages of one VM share.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;

use super::authenticate::KeyDirectory;
use super::dispatcher::Dispatcher;
use super::replicated_log::ReplicatedLog;
use super::retry_budget::RetryBudget;
use super::server_permits::ServerPermits;
use crate::backend::Engine;
use crate::backend::HttpClient;
use crate::limits;
use crate::membership::Fingerprint;
use crate::membership::Verdict;
use crate::metrics::Metrics;
use crate::scheduling::crash_evidence::Progress;
use crate::types::Clock;
use crate::types::Refusal;
use crate::types::RequestFeatures;
use crate::types::ServerName;
use crate::types::UnixMs;

/// Whether the VM may accept requests.
pub trait Health: Send + Sync {
    /// Refuses requests that the VM must not accept now. `serve_when_cut_off` tells whether the
    /// account may be served while the VM is cut off from the other VMs.
    ///
    /// # Errors
    /// `Draining` during a shutdown, `Isolated` while the VM is cut off and either the account or
    /// the VM must not be served in that state.
    fn check_open(&self, serve_when_cut_off: bool) -> Result<(), Refusal>;

    /// Refuses while the load balancer must not send requests to the VM.
    ///
    /// # Errors
    /// The reason why the VM is not ready.
    fn check_ready(&self) -> Result<(), Refusal>;
}

/// Looks up backend servers.
pub trait ServerDirectory: Send + Sync {
    /// Address and incarnation of a live server; `None` if it is unknown or dead.
    fn locate(&self, server: &ServerName) -> Option<(SocketAddr, u64)>;
}

/// Crash reports on requests, and the quarantine that follows from them.
pub trait Quarantine: Send + Sync {
    /// Whether a request may run, must run as a suspect, or is quarantined.
    fn verdict(&self, fingerprint: &Fingerprint) -> Verdict;

    /// Reports that a request was running on a server that crashed.
    fn report(&self, fingerprint: Fingerprint, server: &ServerName, incarnation: u64);

    /// End of the time for which requests with everything that `features` and requests that crashed
    /// servers have in common are refused.
    fn refused_until(&self, features: &RequestFeatures) -> Option<UnixMs>;

    /// Reports what may have caused the crash of a server: a request whose answer had not begun.
    fn report_causes(
        &self,
        features: &RequestFeatures,
        progress: Progress,
        server: &ServerName,
        incarnation: u64,
    );

    /// Records that the answer to a request has begun, so that it does not crash servers.
    fn record_begun(&self, features: &RequestFeatures);
}

/// Reserves engines for suspects: requests that were running when an engine crashed.
pub trait SuspectEngineReserver: Send + Sync {
    /// Reserves `server` for one suspect; `None` while another suspect runs there, or the same
    /// suspect runs elsewhere.
    fn reserve(
        &self,
        server: &ServerName,
        fingerprint: Fingerprint,
    ) -> BoxFuture<'static, Option<SuspectReservation>>;
}

/// Reservation of an engine for one suspect, released on drop.
pub struct SuspectReservation {
    release: Option<Box<dyn FnOnce() + Send + Sync>>,
}

impl SuspectReservation {
    /// Creates a reservation that calls `release` on drop.
    pub fn new(release: impl FnOnce() + Send + Sync + 'static) -> Self {
        Self {
            release: Some(Box::new(release)),
        }
    }
}

impl Drop for SuspectReservation {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release();
        }
    }
}

/// Dependencies of the pipeline stages. Clones share them.
#[derive(Clone)]
pub struct Context {
    /// Wall and monotonic clock.
    pub clock: Clock,
    /// Lookup of accounts by key.
    pub keys: Arc<dyn KeyDirectory>,
    /// Whether the VM may accept requests.
    pub health: Arc<dyn Health>,
    /// Token limits.
    pub limits: limits::Client,
    /// Queue and routing.
    pub dispatcher: Arc<Dispatcher>,
    /// Replicated log with the records of orders and jobs.
    pub replicated_log: Arc<dyn ReplicatedLog>,
    /// HTTP client for service calls that may be repeated.
    pub pooled_client: HttpClient,
    /// HTTP client for service calls that must not be repeated.
    pub single_use_client: HttpClient,
    /// Client of the inference engines.
    pub engine: Arc<dyn Engine>,
    /// Permits for requests to servers that named a limit.
    pub server_permits: Arc<ServerPermits>,
    /// Lookup of backend servers.
    pub servers: Arc<dyn ServerDirectory>,
    /// Quarantine of requests that crash engines.
    pub quarantine: Arc<dyn Quarantine>,
    /// Reservations of engines for suspects.
    pub suspects: Arc<dyn SuspectEngineReserver>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Retry budget of the VM.
    pub retry_budget: Arc<RetryBudget>,
    /// Longest time from dispatch to the end of a request, in milliseconds.
    pub longest_request_ms: u64,
}
