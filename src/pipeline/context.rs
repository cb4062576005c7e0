//! What the stages share on one VM.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;

use super::authenticate::KeyDirectory;
use super::dispatcher::Dispatcher;
use super::replicated_log::ReplicatedLog;
use super::retry_budget::RetryBudget;
use crate::backend::Engine;
use crate::backend::HttpClient;
use crate::limits;
use crate::membership::Fingerprint;
use crate::membership::Verdict;
use crate::metrics::Metrics;
use crate::types::Clock;
use crate::types::Refusal;
use crate::types::ServerName;

/// State of the VM as the stages see it.
pub trait Health: Send + Sync {
    /// Refuses work that the VM must not accept now.
    ///
    /// # Errors
    /// `Draining` during a shutdown, `Isolated` while the VM is cut off and the account or the VM
    /// must not serve on its own.
    fn check_open(&self, serve_when_cut_off: bool) -> Result<(), Refusal>;

    /// Refuses while the load balancer must not send work to the VM.
    ///
    /// # Errors
    /// The reason why the VM is not ready.
    fn check_ready(&self) -> Result<(), Refusal>;
}

/// Backend servers as the stages see them.
pub trait ServerDirectory: Send + Sync {
    /// Address and incarnation of a live server.
    fn locate(&self, server: &ServerName) -> Option<(SocketAddr, u64)>;
}

/// Requests that crash engines.
pub trait Quarantine: Send + Sync {
    /// How a request must be treated now.
    fn verdict(&self, fingerprint: &Fingerprint) -> Verdict;

    /// Reports that a request was running on a server that crashed.
    fn report(&self, fingerprint: Fingerprint, server: &ServerName, incarnation: u64);
}

/// Engines that run suspects of the crash quarantine.
pub trait SuspectEngineReserver: Send + Sync {
    /// Holds `server` for one suspect; `None` while another suspect runs there, or the same suspect
    /// elsewhere.
    fn reserve(
        &self,
        server: &ServerName,
        fingerprint: Fingerprint,
    ) -> BoxFuture<'static, Option<SuspectReservation>>;
}

/// An engine held for one suspect, given back when this is dropped.
pub struct SuspectReservation {
    release: Option<Box<dyn FnOnce() + Send + Sync>>,
}

impl SuspectReservation {
    /// A hold that `release` ends.
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

/// The shared parts of a VM that the stages use. Clones share them.
#[derive(Clone)]
pub struct Context {
    /// Time.
    pub clock: Clock,
    /// Accounts behind keys.
    pub keys: Arc<dyn KeyDirectory>,
    /// Whether the VM may accept work.
    pub health: Arc<dyn Health>,
    /// Token limits.
    pub limits: limits::Client,
    /// Queue and routing.
    pub dispatcher: Arc<Dispatcher>,
    /// Records of orders and jobs.
    pub replicated_log: Arc<dyn ReplicatedLog>,
    /// Client for service calls that may be repeated.
    pub pooled_client: HttpClient,
    /// Client for service calls that must not be repeated.
    pub single_use_client: HttpClient,
    /// Engine dialect.
    pub engine: Arc<dyn Engine>,
    /// Backend servers.
    pub servers: Arc<dyn ServerDirectory>,
    /// Requests that crash engines.
    pub quarantine: Arc<dyn Quarantine>,
    /// Engines that run suspects.
    pub suspects: Arc<dyn SuspectEngineReserver>,
    /// Measurements.
    pub metrics: Arc<Metrics>,
    /// Retries that the VM may still make.
    pub retry_budget: Arc<RetryBudget>,
    /// Longest time from dispatch to the end of a request, in milliseconds.
    pub longest_request_ms: u64,
}
