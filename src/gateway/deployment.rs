//! The operator's configuration: routes, services, client accounts and limits on callers.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;
use snafu::Snafu;

use crate::control::KeyHash;
use crate::control::Sha256Hash;
use crate::types::AccountName;
use crate::types::ModelName;
use crate::types::ServiceName;
use crate::types::Tokens;

/// Error for an invalid configuration.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{field} is {value:?}; allowed: {allowed}"))]
pub struct InvalidDeployment {
    /// Field of the configuration.
    pub field: String,
    /// Invalid value; never a key.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// Result of validating a configuration.
pub type Result<T> = std::result::Result<T, InvalidDeployment>;

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatPolicy {
    /// Requests are idempotent.
    Idempotent,
    /// Requests run at most once.
    Never,
    /// Answers are streams of events.
    Stream {
        /// Whether a stream may be resumed after its last event on another backend server.
        resumable: bool,
    },
}

impl RepeatPolicy {
    /// Whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream that may be resumed.
    pub fn is_resumable_stream(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host in the caller's request.
    pub host: Arc<str>,
    /// Path prefix, beginning and ending with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub repeat: RepeatPolicy,
    /// Longest time until the answer.
    pub timeout_ms: u64,
    /// Latency objective.
    pub target_latency_ms: u64,
    /// Priority, 0 first.
    pub priority: u8,
    /// Services with their weights.
    pub targets: Vec<(ServiceName, u32)>,
    /// Number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Objective for the longest pause between events of a stream.
    pub gap_target_ms: u64,
}

impl Route {
    /// Whether some of its requests go to `service`.
    pub(super) fn has_target(&self, service: &ServiceName) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|(target, weight)| target == service && *weight > 0)
    }

    /// Selects the service for a request by weight, with a random `draw` in 0..1.
    pub fn target(&self, draw: f64) -> &ServiceName {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut rest = draw * f64::from(total);
        for (service, weight) in &self.targets {
            rest -= f64::from(*weight);
            if rest < 0.0 {
                return service;
            }
        }
        let last = self.targets.iter().rfind(|(_, weight)| *weight > 0);
        &last.expect("a checked route has a weight above 0").0
    }
}

/// Base model with its adapters.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Size of its weights.
    pub weights_mb: f64,
    /// Size of one adapter.
    pub adapter_mb: f64,
}

/// Capacity of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit into the memory for prompts and answers.
    pub memory_tokens: Tokens,
    /// Memory for weights.
    pub weights_mb: f64,
    /// Adapters that can be loaded at once.
    pub adapter_slots: usize,
    /// Loads of base models per second that the weight store allows, over all engines.
    pub loads_per_s: f64,
    /// Base models.
    pub models: Vec<Model>,
}

impl EngineSpec {
    /// Base models that fit into an empty engine.
    pub fn loadable(&self) -> Vec<ModelName> {
        let models = self.models.iter();
        let fitting = models.filter(|model| model.weights_mb <= self.weights_mb);
        fitting.map(|model| model.name.clone()).collect()
    }

    /// Number of adapters that fit into an engine with the base models `bases`, by adapter slots
    /// and by memory.
    pub fn adapter_capacity(&self, bases: &[ModelName]) -> usize {
        let held = || {
            let models = self.models.iter();
            models.filter(|model| bases.contains(&model.name))
        };
        let weights_mb: f64 = held().map(|model| model.weights_mb).sum();
        let adapter_mb = held().map(|model| model.adapter_mb).fold(0.0, f64::max);
        if adapter_mb <= 0.0 {
            return self.adapter_slots;
        }
        let room_mb = (self.weights_mb - weights_mb).max(0.0);
        self.adapter_slots.min((room_mb / adapter_mb) as usize)
    }
}

/// Service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one backend server accepts from all VMs together.
    pub max_connections: u32,
    /// Capacity of its engines, if it runs on engines.
    pub engine: Option<EngineSpec>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time within which a request's head has to arrive.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Unit of an account's rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens.
    Tokens {
        /// Cost of a request that does not state its tokens.
        plain_tokens: Tokens,
    },
}

/// Client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// Priority that overrides the route's, 0 first.
    pub priority: Option<u8>,
    /// Unit of its rate.
    pub unit: QuotaUnit,
    /// Rate over all VMs together; 0 for no limit.
    pub rate_per_s: u64,
    /// Burst over all VMs together.
    pub burst: u64,
}

impl Account {
    /// Cost of a request in the account's unit.
    pub fn cost(&self, tokens: Option<Tokens>) -> Tokens {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain_tokens } => tokens.unwrap_or(plain_tokens),
        }
    }
}

/// Validated configuration.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Client accounts by name.
    pub accounts: IndexMap<AccountName, Arc<Account>>,
    /// Routes by host, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<KeyHash, Arc<Account>>,
}

impl Deployment {
    /// Creates an empty configuration.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Shortest latency objective of the routes to a service; 0 if there are none.
    pub fn shortest_target_ms(&self, service: &ServiceName) -> u64 {
        let routes = self.routes.values().flatten();
        let to_service = routes.filter(|route| route.has_target(service));
        let targets = to_service.map(|route| route.target_latency_ms);
        targets.min().unwrap_or(0)
    }

    /// Whether the servers of a service are inference engines.
    pub fn is_engine(&self, service: &ServiceName) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|service| service.engine.is_some())
    }

    /// Adds a service.
    pub fn add_service(&mut self, name: ServiceName, service: Service) {
        self.services.insert(name, service);
    }

    /// Adds a route. Its services must have been added before.
    ///
    /// # Errors
    /// A service is unknown, all weights are 0, the timeout is 0, the prefix is not enclosed in
    /// slashes, or another route has the same host and prefix.
    pub fn add_route(&mut self, route: Route) -> Result<()> {
        let name = &route.name;
        for (service, _) in &route.targets {
            if !self.services.contains_key(service) {
                let allowed = "a service of this configuration";
                return Err(invalid("service", name, service.as_str(), allowed));
            }
        }
        if route.targets.iter().all(|(_, weight)| *weight == 0) {
            return Err(invalid("weights", name, "0", "a sum above 0"));
        }
        if route.timeout_ms == 0 {
            return Err(invalid("timeout_ms", name, "0", "at least 1"));
        }
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let allowed = "a path that begins and ends with a slash";
            return Err(invalid("path_prefix", name, prefix, allowed));
        }
        let siblings = self.routes.entry(route.host.clone()).or_default();
        let found = siblings.binary_search_by(|other| longest_first(&other.path_prefix, prefix));
        let Err(at) = found else {
            let allowed = "a place that no other route has";
            return Err(invalid("path_prefix", name, prefix, allowed));
        };
        siblings.insert(at, Arc::new(route));
        Ok(())
    }

    /// Adds a client account with its keys.
    ///
    /// # Errors
    /// Another account has one of the keys, or the same name.
    pub fn add_account<'a>(
        &mut self,
        account: Account,
        keys: impl Iterator<Item = &'a str>,
    ) -> Result<()> {
        let name = account.name.clone();
        let account = Arc::new(account);
        for key in keys {
            let other = self.keys.insert(hash_key(key), Arc::clone(&account));
            if other.is_some_and(|other| other.name != name) {
                let allowed = "a key that no other account has";
                return Err(invalid("key", name.as_str(), "(hidden)", allowed));
            }
        }
        let other = self.accounts.insert(name.clone(), account);
        if other.is_some() {
            let allowed = "a name that no other account has";
            return Err(invalid("account", name.as_str(), name.as_str(), allowed));
        }
        Ok(())
    }

    /// Route with the longest prefix that matches a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Account that holds `key`.
    pub fn authenticate(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(&hash_key(key))
    }
}

/// Order of prefixes in which the first one that matches a path is the longest.
fn longest_first(prefix: &str, other: &str) -> Ordering {
    let by_length = other.len().cmp(&prefix.len());
    by_length.then_with(|| prefix.cmp(other))
}

fn hash_key(key: &str) -> KeyHash {
    Sha256Hash::of(key.as_bytes())
}

fn invalid(field: &str, of: &str, value: &str, allowed: &str) -> InvalidDeployment {
    InvalidDeployment {
        field: format!("{field} of {of}"),
        value: value.to_owned(),
        allowed: allowed.to_owned(),
    }
}
