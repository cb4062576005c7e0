//! What the stages share on one VM.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;

use super::authenticate::Keys;
use super::dispatcher::Dispatcher;
use super::ledger::Ledger;
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
pub trait Servers: Send + Sync {
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
pub trait Suspects: Send + Sync {
    /// Holds `server` for one suspect; `None` while another suspect runs there, or the same suspect
    /// elsewhere.
    fn hold(
        &self,
        server: &ServerName,
        fingerprint: Fingerprint,
    ) -> BoxFuture<'static, Option<SuspectHold>>;
}

/// An engine held for one suspect, given back when this is dropped.
pub struct SuspectHold {
    give_back: Option<Box<dyn FnOnce() + Send + Sync>>,
}

impl SuspectHold {
    /// A hold that `give_back` ends.
    pub fn new(give_back: impl FnOnce() + Send + Sync + 'static) -> Self {
        Self {
            give_back: Some(Box::new(give_back)),
        }
    }
}

impl Drop for SuspectHold {
    fn drop(&mut self) {
        if let Some(give_back) = self.give_back.take() {
            give_back();
        }
    }
}

/// The shared parts of a VM that the stages use. Clones share them.
#[derive(Clone)]
pub struct Context {
    /// Time.
    pub clock: Clock,
    /// Accounts behind keys.
    pub keys: Arc<dyn Keys>,
    /// Whether the VM may accept work.
    pub health: Arc<dyn Health>,
    /// Token limits.
    pub limits: limits::Client,
    /// Queue and routing.
    pub dispatcher: Arc<Dispatcher>,
    /// Records of orders and jobs.
    pub ledger: Arc<dyn Ledger>,
    /// Client for service calls that may be repeated.
    pub pooled: HttpClient,
    /// Client for service calls that must not be repeated.
    pub single_use: HttpClient,
    /// Engine dialect.
    pub engine: Arc<dyn Engine>,
    /// Backend servers.
    pub servers: Arc<dyn Servers>,
    /// Requests that crash engines.
    pub quarantine: Arc<dyn Quarantine>,
    /// Engines that run suspects.
    pub suspects: Arc<dyn Suspects>,
    /// Measurements.
    pub metrics: Arc<Metrics>,
    /// Retries that the VM may still make.
    pub retries: Arc<RetryBudget>,
    /// Longest time from dispatch to the end of a request, in milliseconds.
    pub longest_request_ms: u64,
}
