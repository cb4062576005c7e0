//! Simulated weight store whose loads slow down when too many are in flight.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::configs::standin_store::StoreSettings;

use super::server;
use super::server::Body;
use super::server::Connections;
use super::server::Handler;
use super::server::Server;

/// Window of the load rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Counters of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCounts {
    /// Loads started.
    pub loads: u64,
    /// Loads started, by adapter.
    pub loads_by_adapter: IndexMap<String, u64>,
    /// Loads in flight.
    pub in_flight: u64,
    /// Maximum number of concurrent loads.
    pub max_in_flight: u64,
    /// Maximum number of loads started within one second.
    pub max_loads_in_1_s: u64,
    /// Loads started above the allowed rate with a burst of one second.
    pub loads_over_rate: u64,
    /// Requests with a caller's API key.
    pub requests_with_key: u64,
}

#[derive(Debug)]
struct State {
    counts: StoreCounts,
    recent_loads: VecDeque<Instant>,
    /// Token bucket of the allowed rate, in loads.
    available_loads: f64,
    refilled_at: Instant,
}

#[derive(Debug)]
struct Store {
    settings: StoreSettings,
    state: Mutex<State>,
}

/// A running store. Dropping it stops the store.
#[derive(Debug)]
pub struct RunningStore {
    store: Arc<Store>,
    server: Server,
}

impl RunningStore {
    /// Starts a store. For port 0 in the settings the operating system assigns the port.
    pub async fn bind(settings: StoreSettings) -> io::Result<Self> {
        let address = settings.address;
        let state = State {
            counts: StoreCounts::default(),
            recent_loads: VecDeque::new(),
            available_loads: settings.loads_per_s.max(1.0),
            refilled_at: Instant::now(),
        };
        let state = Mutex::new(state);
        let store = Arc::new(Store { settings, state });
        let server = Server::bind(address, store.clone(), Connections::new()).await?;
        Ok(Self { store, server })
    }

    /// Address of the store.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Current counters.
    pub fn counts(&self) -> StoreCounts {
        self.store.lock().counts.clone()
    }
}

/// Guard that counts a load as in flight until it is dropped, also when its connection closes.
struct InFlight(Arc<Store>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.lock().counts.in_flight -= 1;
    }
}

#[derive(Debug, Deserialize)]
struct LoadBody {
    adapter: String,
}

impl Handler for Store {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        if server::has_caller_key(&request) {
            self.lock().counts.requests_with_key += 1;
        }
        let method = request.method().clone();
        match (&method, request.uri().path()) {
            (&Method::POST, "/v1/loads") => Some(self.load(request).await),
            (&Method::GET, "/_counts") => {
                let counts = serde_json::to_value(&self.lock().counts).unwrap_or_default();
                Some(server::json(StatusCode::OK, &counts))
            }
            _ => {
                let body = json!({ "error": { "code": "no_such_path" } });
                Some(server::json(StatusCode::NOT_FOUND, &body))
            }
        }
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn load(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let body: LoadBody = match server::read_json(request).await {
            Ok(body) => body,
            Err(error) => {
                let body = json!({ "error": { "code": "bad_request", "message": error } });
                return server::json(StatusCode::BAD_REQUEST, &body);
            }
        };
        let duration = self.begin(&body.adapter, Instant::now());
        let in_flight = InFlight(self.clone());
        tokio::time::sleep(duration).await;
        drop(in_flight);
        let load_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let body = json!({ "adapter": body.adapter, "load_ms": load_ms });
        server::json(StatusCode::OK, &body)
    }

    /// Counts a load and returns its duration.
    fn begin(&self, adapter: &str, now: Instant) -> Duration {
        let state = &mut *self.lock();
        state.record_rate(now, self.settings.loads_per_s);
        let counts = &mut state.counts;
        counts.loads += 1;
        let by_adapter = &mut counts.loads_by_adapter;
        *by_adapter.entry(adapter.to_owned()).or_default() += 1;
        counts.in_flight += 1;
        counts.max_in_flight = counts.max_in_flight.max(counts.in_flight);
        let full_speed = self.settings.full_speed_loads;
        let slowdown = (counts.in_flight as f64 / full_speed as f64).max(1.0);
        Duration::from_millis(self.settings.load_ms).mul_f64(slowdown)
    }
}

impl State {
    fn record_rate(&mut self, now: Instant, loads_per_s: f64) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let burst = loads_per_s.max(1.0);
        self.available_loads = (self.available_loads + elapsed * loads_per_s).min(burst);
        self.refilled_at = now;
        if self.available_loads >= 1.0 {
            self.available_loads -= 1.0;
        } else {
            self.counts.loads_over_rate += 1;
        }
        self.recent_loads.push_back(now);
        let old = |at: &Instant| now.saturating_duration_since(*at) >= RATE_WINDOW;
        while self.recent_loads.front().is_some_and(old) {
            self.recent_loads.pop_front();
        }
        let recent = u64::try_from(self.recent_loads.len()).unwrap_or(u64::MAX);
        self.counts.max_loads_in_1_s = self.counts.max_loads_in_1_s.max(recent);
    }
}
