//! Simulated plain service that counts how often each order ran.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::configs::standin_service::ServiceSettings;
use crate::types::Clock;

use super::announcer::Announce;
use super::announcer::Announcement;
use super::announcer::announce;
use super::answer;
use super::asked_rest::AskedRest;
use super::request_limit::RequestLimit;
use super::request_limit::sender;
use super::server;
use super::server::Body;
use super::server::Connections;
use super::server::Handler;
use super::server::Server;

/// Time within which VMs must stop sending calls to a draining server.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Interval between checks for open calls of a draining server.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Header with the id of the order that a call belongs to.
pub const ORDER_HEADER: &str = "x-order-id";

/// Counters of the service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCounts {
    /// Calls that ran.
    pub calls: u64,
    /// Runs by order id.
    pub runs_by_order: IndexMap<String, u64>,
    /// Runs by digest of the body, for calls with an order id. Detects an order that ran under two
    /// ids.
    pub runs_by_body: IndexMap<String, u64>,
    /// Runs of orders beyond the first run of each.
    pub doubled_orders: u64,
    /// Calls that ran and were answered with status 500.
    pub failed_after_run: u64,
    /// Calls that ran and were not answered.
    pub dropped_after_run: u64,
    /// Calls received more than 2 s after the server announced that it was draining.
    pub late_after_leaving: u64,
    /// Calls with a caller's API key.
    pub requests_with_key: u64,
    /// Calls beyond the limit that answers named, with its tolerance.
    #[serde(default)]
    pub over_limit: u64,
}

#[derive(Debug)]
struct State {
    counts: ServiceCounts,
    in_flight: u64,
    draining_since: Option<Instant>,
    rng: StdRng,
}

#[derive(Debug)]
struct Service {
    settings: ServiceSettings,
    incarnation: u64,
    request_limit: RequestLimit,
    asked_rest: AskedRest,
    address: OnceLock<SocketAddr>,
    state: Mutex<State>,
}

/// A running service. Dropping it stops it immediately, like a killed process.
#[derive(Debug)]
pub struct RunningService {
    service: Arc<Service>,
    server: Server,
    announcer: JoinHandle<()>,
}

impl RunningService {
    /// Starts a service. For port 0 in the settings the operating system assigns the port.
    pub async fn bind(settings: ServiceSettings) -> io::Result<Self> {
        let address = settings.address;
        let vms = settings.vms.clone();
        let announce_ms = settings.announce_ms;
        let state = State {
            counts: ServiceCounts::default(),
            in_flight: 0,
            draining_since: None,
            rng: StdRng::seed_from_u64(settings.seed),
        };
        let service = Arc::new(Service {
            request_limit: RequestLimit::new(settings.request_limit_per_s),
            asked_rest: AskedRest::default(),
            settings,
            incarnation: Clock::start().unix().0,
            address: OnceLock::new(),
            state: Mutex::new(state),
        });
        let server = Server::bind(address, service.clone(), Connections::new()).await?;
        service.address.get_or_init(|| server.address());
        let announcer = tokio::spawn(announce(service.clone(), vms, announce_ms));
        Ok(Self {
            service,
            server,
            announcer,
        })
    }

    /// Address of the service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Current counters.
    pub fn counts(&self) -> ServiceCounts {
        self.service.lock().counts.clone()
    }

    /// Turns all calls away and asks for `rest`; zero ends that.
    pub fn set_asked_rest(&self, rest: Duration) {
        self.service.asked_rest.set(rest);
    }

    /// Largest number of calls of one VM within a rest that it had been asked for.
    pub fn most_in_rest(&self) -> usize {
        self.service.asked_rest.most_in_rest()
    }

    /// Sets the requests per second that answers name as the service's limit; 0 for none.
    pub fn set_request_limit(&self, per_s: f64) {
        self.service.request_limit.set(per_s);
    }

    /// When calls arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.service.request_limit.arrivals()
    }

    /// Announces that the server is draining and waits until its calls have ended, at most for
    /// `leave_ms`.
    pub async fn drain(&self) {
        let since = Instant::now();
        self.service.lock().draining_since = Some(since);
        let limit = Duration::from_millis(self.service.settings.leave_ms);
        loop {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let idle = self.service.lock().in_flight == 0;
            let waited = since.elapsed();
            if waited >= limit || (idle && waited >= DRAIN_GRACE) {
                return;
            }
        }
    }
}

impl Drop for RunningService {
    fn drop(&mut self) {
        self.announcer.abort();
    }
}

impl Announce for Service {
    fn announcement(&self) -> Option<Announcement> {
        let address = self.address.get()?;
        let state = self.lock();
        Some(Announcement {
            name: self.settings.name.clone(),
            kind: "service".to_owned(),
            address: address.to_string(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.incarnation,
            services: self.settings.services.clone(),
            batch_positions: self.settings.positions,
            running: state.in_flight,
            leaving: state.draining_since.is_some(),
            ..Announcement::default()
        })
    }
}

/// Result of a call after it ran.
enum CallOutcome {
    Answer,
    Fail,
    Drop,
}

/// Guard that counts a call as in flight until it is dropped.
struct InFlightCall(Arc<Service>);

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        if request.uri().path() == "/_counts" {
            let counts = serde_json::to_value(&self.lock().counts).unwrap_or_default();
            return Some(server::json(StatusCode::OK, &counts));
        }
        if server::has_caller_key(&request) {
            self.lock().counts.requests_with_key += 1;
        }
        let vm = sender(&request);
        if self.request_limit.record_arrival(&vm) {
            self.lock().counts.over_limit += 1;
        }
        if self.asked_rest.turns_away(&vm) {
            let body = json!({ "error": { "code": "overloaded", "run": "not_run" } });
            let refused = server::json(StatusCode::SERVICE_UNAVAILABLE, &body);
            return Some(self.asked_rest.ask_in(refused));
        }
        let answer = Arc::clone(&self).run(request).await?;
        Some(self.request_limit.name_in(answer, &vm))
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let header = request.headers().get(ORDER_HEADER);
        let order = header
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let method = request.method().to_string();
        let path = request.uri().path().to_owned();
        let body = server::read_body(request).await?;
        let digest = answer::digest_bytes(&body);
        let run = self.record_run(order.as_deref(), &digest);
        let in_flight_call = InFlightCall(self.clone());
        tokio::time::sleep(Duration::from_millis(self.settings.delay_ms)).await;
        drop(in_flight_call);
        let status = match self.draw_outcome() {
            CallOutcome::Answer => StatusCode::OK,
            CallOutcome::Fail => StatusCode::INTERNAL_SERVER_ERROR,
            CallOutcome::Drop => return None,
        };
        let body = json!({
            "server": self.settings.name,
            "incarnation": self.incarnation,
            "method": method,
            "path": path,
            "order_id": order,
            "run": run,
            "body_digest": digest,
        });
        Some(server::json(status, &body))
    }

    /// Counts a call when it starts to run and returns how often its order has run.
    fn record_run(&self, order: Option<&str>, digest: &str) -> u64 {
        let state = &mut *self.lock();
        state.in_flight += 1;
        let counts = &mut state.counts;
        counts.calls += 1;
        let draining_since = state.draining_since;
        if draining_since.is_some_and(|since| since.elapsed() > DRAIN_GRACE) {
            counts.late_after_leaving += 1;
        }
        let Some(order) = order else {
            return 1;
        };
        *counts.runs_by_body.entry(digest.to_owned()).or_default() += 1;
        let runs = counts.runs_by_order.entry(order.to_owned()).or_default();
        *runs += 1;
        if *runs > 1 {
            counts.doubled_orders += 1;
        }
        *runs
    }

    fn draw_outcome(&self) -> CallOutcome {
        let state = &mut *self.lock();
        if state.rng.random_bool(self.settings.drop_after_run_ratio) {
            state.counts.dropped_after_run += 1;
            CallOutcome::Drop
        } else if state.rng.random_bool(self.settings.fail_after_run_ratio) {
            state.counts.failed_after_run += 1;
            CallOutcome::Fail
        } else {
            CallOutcome::Answer
        }
    }
}
