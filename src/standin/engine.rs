//! Simulated inference engine: adapter slots, continuous batching, prefix cache, commands and
//! crashes.

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
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::configs::standin_engine::EngineSettings;

use super::announcer::Announce;
use super::announcer::Announcement;
use super::announcer::announce;
use super::asked_rest::AskedRest;
use super::client::HttpClient;
use super::engine_commands;
use super::engine_commands::EngineCommand;
use super::engine_counts::EngineCounts;
use super::engine_state::NewRequest;
use super::engine_state::RejectReason;
use super::engine_state::State;
use super::engine_state::Step;
use super::engine_stream;
use super::request_limit::RequestLimit;
use super::request_limit::sender;
use super::server;
use super::server::Body;
use super::server::Connections;
use super::server::Handler;
use super::server::Server;

/// Interval between load samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which VMs must stop sending requests to a draining engine.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Interval between checks for open requests of a draining engine.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum output tokens of one request.
const MAX_OUTPUT_TOKENS: u64 = 4_096;

/// State shared by the tasks of one engine.
#[derive(Debug)]
pub struct Engine {
    state: Mutex<State>,
    work_available: Notify,
    crash_requested: Notify,
    connections: Connections,
    client: HttpClient,
    request_limit: RequestLimit,
    asked_rest: AskedRest,
    address: std::sync::OnceLock<SocketAddr>,
}

/// A running engine. Dropping it stops it immediately, like a killed process.
#[derive(Debug)]
pub struct RunningEngine {
    engine: Arc<Engine>,
    server: Server,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningEngine {
    /// Starts an engine. For port 0 in the settings the operating system assigns the port.
    pub async fn bind(settings: EngineSettings) -> io::Result<Self> {
        let address = settings.address;
        let vms = settings.vms.clone();
        let announce_ms = settings.announce_ms;
        let request_limit_per_s = settings.request_limit_per_s;
        let engine = Arc::new(Engine {
            state: Mutex::new(State::new(settings)),
            work_available: Notify::new(),
            crash_requested: Notify::new(),
            connections: Connections::new(),
            client: HttpClient::new(),
            request_limit: RequestLimit::new(request_limit_per_s),
            asked_rest: AskedRest::default(),
            address: std::sync::OnceLock::new(),
        });
        let connections = engine.connections.clone();
        let server = Server::bind(address, engine.clone(), connections).await?;
        engine.address.get_or_init(|| server.address());
        let tasks = vec![
            tokio::spawn(run_batch(engine.clone())),
            tokio::spawn(sample_load(engine.clone())),
            tokio::spawn(announce(engine.clone(), vms, announce_ms)),
        ];
        Ok(Self {
            engine,
            server,
            tasks,
        })
    }

    /// Address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counters of the engine.
    pub fn counts(&self) -> EngineCounts {
        self.engine.lock().counts.clone()
    }

    /// Turns all calls away and asks for `rest`; zero ends that.
    pub fn set_asked_rest(&self, rest: Duration) {
        self.engine.asked_rest.set(rest);
    }

    /// Largest number of calls of one VM within a rest that it had been asked for.
    pub fn most_in_rest(&self) -> usize {
        self.engine.asked_rest.most_in_rest()
    }

    /// Sets the requests per second that answers name as the engine's limit; 0 for none.
    pub fn set_request_limit(&self, per_s: f64) {
        self.engine.request_limit.set(per_s);
    }

    /// When completion requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.engine.request_limit.arrivals()
    }

    /// Current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.engine.lock().incarnation
    }

    /// Names of the resident adapters.
    pub fn resident(&self) -> Vec<String> {
        self.engine.lock().resident.keys().cloned().collect()
    }

    /// Crashes the engine. It restarts without adapters and requests after `restart_ms`.
    pub fn crash(&self) {
        self.engine.crash_requested.notify_one();
    }

    /// Announces that the engine is draining and waits until its requests have ended, at most for
    /// `leave_ms`.
    pub async fn drain(&self) {
        let since = Instant::now();
        let limit = {
            let mut state = self.engine.lock();
            state.draining_since = Some(since);
            Duration::from_millis(state.settings.leave_ms)
        };
        loop {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let idle = self.engine.lock().open_requests() == 0;
            let waited = since.elapsed();
            if waited >= limit || (idle && waited >= DRAIN_GRACE) {
                return;
            }
        }
    }
}

impl Drop for RunningEngine {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn run_batch(engine: Arc<Engine>) {
    loop {
        let step = engine.lock().plan_step(Instant::now());
        let crashed = match step {
            Step::Crash => true,
            Step::Idle => tokio::select! {
                () = engine.work_available.notified() => false,
                () = engine.crash_requested.notified() => true,
            },
            Step::Run(duration) => run_step(&engine, duration).await,
        };
        if crashed {
            restart(&engine).await;
        }
    }
}

/// Runs one batch step and returns whether the engine crashed during it.
async fn run_step(engine: &Engine, duration: Duration) -> bool {
    let start = Instant::now();
    tokio::select! {
        () = tokio::time::sleep(duration) => {
            let now = Instant::now();
            engine.lock().finish_step(now - start, now);
            false
        }
        () = engine.crash_requested.notified() => true,
    }
}

async fn restart(engine: &Engine) {
    let restart_ms = {
        let mut state = engine.lock();
        state.crash();
        log::warn!("engine {} crashed", state.settings.name);
        state.settings.restart_ms
    };
    engine.connections.close_all();
    tokio::time::sleep(Duration::from_millis(restart_ms)).await;
    engine.lock().restart();
}

async fn sample_load(engine: Arc<Engine>) {
    let mut timer = tokio::time::interval(SAMPLE_INTERVAL);
    loop {
        timer.tick().await;
        engine.lock().sample_load(Instant::now());
    }
}

impl Announce for Engine {
    fn announcement(&self) -> Option<Announcement> {
        let address = self.address.get()?;
        let state = self.lock();
        if state.down {
            return None;
        }
        let load = state.reported_load(Instant::now());
        let settings = &state.settings;
        Some(Announcement {
            name: settings.name.clone(),
            kind: "engine".to_owned(),
            address: address.to_string(),
            data_centre: settings.data_centre.clone(),
            incarnation: state.incarnation,
            sequence: 0,
            base: settings.base.clone(),
            services: Vec::new(),
            adapter_slots: settings.adapter_slots,
            batch_positions: settings.batch_positions,
            resident: state.resident.keys().cloned().collect(),
            running: load.running,
            queued: load.queued,
            free_kv_tokens: load.free_kv_tokens,
            checks_fence: settings.check_fence,
            highest_fence: state.highest_fence,
            leaving: state.draining_since.is_some(),
        })
    }
}

/// Body of `POST /v1/completions`.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    request_id: String,
    model: String,
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    priority: u64,
    #[serde(default)]
    stream: bool,
}

impl Handler for Engine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let vm = sender(&request);
        let answer = Arc::clone(&self).answer(request).await?;
        Some(self.request_limit.name_in(answer, &vm))
    }

    fn is_down(&self) -> bool {
        self.lock().down
    }
}

impl Engine {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        if server::has_caller_key(&request) {
            self.lock().counts.requests_with_key += 1;
        }
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&method, parts.as_slice()) {
            (&Method::POST, ["v1", "completions"]) => self.complete(request).await,
            (&Method::GET, ["v1", "streams", id]) => Some(self.resume(id, &request)),
            (&Method::DELETE, ["v1", "requests", id]) => Some(self.cancel(id)),
            (&Method::POST, ["v1", "orders"]) => Some(self.execute_command(request).await),
            (&Method::GET, ["v1", "kv", key]) => Some(self.export_kv(key)),
            (&Method::PUT, ["v1", "kv", key]) => Some(self.import_kv(key)),
            (&Method::GET, ["v1", "cache_events"]) => Some(self.cache_events(&request)),
            (&Method::GET, ["v1", "in_use"]) => Some(self.in_use()),
            (&Method::GET, ["_counts"]) => {
                let counts = serde_json::to_value(&self.lock().counts).unwrap_or_default();
                Some(server::json(StatusCode::OK, &counts))
            }
            _ => Some(self.error(StatusCode::NOT_FOUND, "no_such_path", &path)),
        }
    }

    /// The state of the engine.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn error(&self, status: StatusCode, code: &str, message: &str) -> Response<Body> {
        let body = json!({ "error": { "code": code, "message": message, "run": "not_run" } });
        self.with_incarnation(status, body)
    }

    /// Adds the incarnation to a response.
    fn with_incarnation(&self, status: StatusCode, mut body: Value) -> Response<Body> {
        body["incarnation"] = json!(self.lock().incarnation);
        server::json(status, &body)
    }

    async fn complete(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let vm = sender(&request);
        if self.request_limit.record_arrival(&vm) {
            self.lock().counts.over_limit += 1;
        }
        let body: CompletionBody = match server::read_json(request).await {
            Ok(body) => body,
            Err(error) => return Some(self.error(StatusCode::BAD_REQUEST, "bad_request", &error)),
        };
        if !(1..=MAX_OUTPUT_TOKENS).contains(&body.max_tokens) {
            let message = format!("max_tokens must be from 1 to {MAX_OUTPUT_TOKENS}");
            let error = json!({
                "error": { "code": "bad_request", "message": message, "run": "not_run" },
                "request_id": body.request_id,
            });
            return Some(self.with_incarnation(StatusCode::BAD_REQUEST, error));
        }
        if self.asked_rest.turns_away(&vm) {
            let refused = self.rejection(RejectReason::Overloaded, &body.request_id, &body.model);
            return Some(self.asked_rest.ask_in(refused));
        }
        let streamed = body.stream;
        let (request_id, model) = (body.request_id.clone(), body.model.clone());
        let submitted = self.submit(body);
        self.work_available.notify_one();
        match submitted {
            Err(reason) => Some(self.rejection(reason, &request_id, &model)),
            Ok(sequence) if streamed => Some(engine_stream::stream_response(sequence, 0)),
            Ok(sequence) => engine_stream::whole_response(sequence).await,
        }
    }

    fn submit(
        &self,
        body: CompletionBody,
    ) -> Result<Arc<super::engine_state::Sequence>, RejectReason> {
        let mut state = self.lock();
        let draining_since = state.draining_since;
        if draining_since.is_some_and(|since| since.elapsed() > DRAIN_GRACE) {
            state.counts.late_after_leaving += 1;
        }
        state.submit(NewRequest {
            request_id: body.request_id,
            model: body.model,
            prompt: body.prompt,
            max_tokens: body.max_tokens,
            priority: body.priority,
        })
    }

    fn rejection(&self, reason: RejectReason, request_id: &str, model: &str) -> Response<Body> {
        let (status, code) = match reason {
            RejectReason::NotResident => (StatusCode::CONFLICT, "not_resident"),
            RejectReason::DuplicateRequest => (StatusCode::CONFLICT, "duplicate_request"),
            RejectReason::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        };
        let body = json!({
            "error": { "code": code, "run": "not_run" },
            "request_id": request_id,
            "model": model,
        });
        self.with_incarnation(status, body)
    }

    fn resume(&self, request_id: &str, request: &Request<Incoming>) -> Response<Body> {
        let from = server::query_u64(request, "from").unwrap_or(0);
        let sequence = self.lock().find(request_id);
        match sequence {
            None => self.error(StatusCode::NOT_FOUND, "no_such_request", request_id),
            Some(sequence) => {
                self.lock().counts.resumed += 1;
                engine_stream::stream_response(sequence, from)
            }
        }
    }

    fn cancel(&self, request_id: &str) -> Response<Body> {
        let cancelled = self.lock().cancel(request_id, Instant::now());
        match cancelled {
            None => self.error(StatusCode::NOT_FOUND, "no_such_request", request_id),
            Some((cancelled, tokens)) => {
                let body = json!({
                    "request_id": request_id,
                    "cancelled": cancelled,
                    "completion_tokens": tokens,
                });
                self.with_incarnation(StatusCode::OK, body)
            }
        }
    }

    async fn execute_command(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let command: EngineCommand = match server::read_json(request).await {
            Ok(command) => command,
            Err(error) => return self.error(StatusCode::BAD_REQUEST, "bad_request", &error),
        };
        let engine = self.clone();
        // A separate task, so that a load continues when the coordinator closes its connection.
        let task = tokio::spawn(async move {
            engine_commands::execute(&engine, &engine.client, command).await
        });
        match task.await {
            Ok((status, body)) => self.with_incarnation(status, body),
            Err(error) => {
                let message = error.to_string();
                self.error(StatusCode::INTERNAL_SERVER_ERROR, "internal", &message)
            }
        }
    }

    fn export_kv(&self, key: &str) -> Response<Body> {
        if self.lock().cache.contains(key) {
            let body = json!({ "key": key, "tokens": super::answer::BLOCK_TOKENS });
            self.with_incarnation(StatusCode::OK, body)
        } else {
            self.error(StatusCode::NOT_FOUND, "no_such_block", key)
        }
    }

    fn import_kv(&self, key: &str) -> Response<Body> {
        let state = &mut *self.lock();
        let keys = [key.to_owned()];
        state.cache.store(&keys, Instant::now(), &mut state.rng);
        let body = json!({ "key": key, "incarnation": state.incarnation });
        server::json(StatusCode::OK, &body)
    }

    /// Adapters with running or queued requests.
    fn in_use(&self) -> Response<Body> {
        let state = self.lock();
        let resident = state.resident.iter();
        let used = resident.filter(|(_, resident)| resident.in_use > 0);
        let adapters: Vec<&String> = used.map(|(adapter, _)| adapter).collect();
        let body = json!({"incarnation": state.incarnation, "adapters": adapters});
        server::json(StatusCode::OK, &body)
    }

    fn cache_events(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = server::query_u64(request, "after").unwrap_or(0);
        let events = {
            let state = self.lock();
            let lag = Duration::from_millis(state.settings.cache_event_lag_ms);
            state.cache.events_after(after, Instant::now(), lag)
        };
        self.with_incarnation(StatusCode::OK, json!({ "events": events }))
    }
}
