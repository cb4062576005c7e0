//! Load, evict and role commands of the simulated engine.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use rand::RngExt;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::client::Call;
use super::client::HttpClient;
use super::engine::Engine;
use super::engine_state::ResidentAdapter;
use super::engine_state::State;

/// Timeout of a load from the weight store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 60_000;

/// Interval between checks of a load that another command started.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Order")] // Answers to malformed bodies contain this text.
pub struct EngineCommand {
    /// Kind of the command.
    #[serde(rename = "order")]
    pub kind: EngineCommandKind,
    /// Adapter to load or evict.
    #[serde(default)]
    pub adapter: String,
    /// Role to change to.
    #[serde(default)]
    pub role: String,
    /// Fencing token of the coordinator.
    pub fence: u64,
}

/// Kinds of commands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum EngineCommandKind {
    /// Load an adapter into a slot.
    Load,
    /// Evict an adapter from its slot.
    Evict,
    /// Change the role of the engine.
    Role,
}

/// Status and body of the response to a command.
pub type CommandResponse = (StatusCode, Value);

fn succeeded(changed: bool) -> CommandResponse {
    (StatusCode::OK, json!({ "changed": changed }))
}

fn failed(status: StatusCode, code: &str) -> CommandResponse {
    (status, json!({ "error": { "code": code } }))
}

/// Executes one command.
pub async fn execute(
    engine: &Engine,
    client: &HttpClient,
    command: EngineCommand,
) -> CommandResponse {
    if let Some(refusal) = check_fence(&mut engine.lock(), command.fence) {
        return refusal;
    }
    match command.kind {
        EngineCommandKind::Load => load(engine, client, &command.adapter).await,
        EngineCommandKind::Evict => evict(&mut engine.lock(), &command.adapter),
        EngineCommandKind::Role => {
            engine.lock().role = command.role;
            succeeded(true)
        }
    }
}

fn check_fence(state: &mut State, fence: u64) -> Option<CommandResponse> {
    let highest = state.highest_fence;
    state.highest_fence = highest.max(fence);
    if fence >= highest {
        return None;
    }
    state.counts.stale_fence_orders += 1;
    if !state.settings.check_fence {
        state.counts.stale_fence_executed += 1;
        return None;
    }
    let body = json!({ "error": { "code": "stale_fence" }, "highest_fence": highest });
    Some((StatusCode::CONFLICT, body))
}

fn evict(state: &mut State, adapter: &str) -> CommandResponse {
    match state.resident.get(adapter) {
        None => succeeded(false),
        Some(resident) if resident.in_use > 0 => {
            state.counts.evict_refusals += 1;
            failed(StatusCode::LOCKED, "in_use")
        }
        Some(_) => {
            state.resident.shift_remove(adapter);
            state.counts.evictions += 1;
            succeeded(true)
        }
    }
}

/// First step of a load command.
enum LoadStart {
    AlreadyResident,
    Joined,
    Refused(CommandResponse),
    Started(u64),
}

async fn load(engine: &Engine, client: &HttpClient, adapter: &str) -> CommandResponse {
    let load_start = start_load(&mut engine.lock(), adapter);
    let incarnation = match load_start {
        LoadStart::AlreadyResident => return succeeded(false),
        LoadStart::Refused(outcome) => return outcome,
        LoadStart::Joined => return join_load(engine, adapter).await,
        LoadStart::Started(incarnation) => incarnation,
    };
    let store = engine.lock().settings.store;
    let fetched = match store {
        Some(store) => fetch(client, store, adapter).await,
        None => true,
    };
    finish_load(&mut engine.lock(), adapter, incarnation, fetched)
}

fn start_load(state: &mut State, adapter: &str) -> LoadStart {
    let prefix = format!("{}:", state.settings.base);
    if !adapter.starts_with(&prefix) {
        return LoadStart::Refused(failed(StatusCode::BAD_REQUEST, "wrong_base"));
    }
    if state.resident.contains_key(adapter) {
        return LoadStart::AlreadyResident;
    }
    if state.loading.iter().any(|name| name == adapter) {
        return LoadStart::Joined;
    }
    let used = state.resident.len() + state.loading.len();
    if u64::try_from(used).unwrap_or(u64::MAX) >= state.settings.adapter_slots {
        state.counts.slot_refusals += 1;
        return LoadStart::Refused(failed(StatusCode::SERVICE_UNAVAILABLE, "no_free_slot"));
    }
    state.loading.push(adapter.to_owned());
    LoadStart::Started(state.incarnation)
}

/// Waits for a load that another command started.
async fn join_load(engine: &Engine, adapter: &str) -> CommandResponse {
    loop {
        tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        let state = engine.lock();
        if state.resident.contains_key(adapter) {
            return succeeded(false);
        }
        if !state.loading.iter().any(|name| name == adapter) {
            return failed(StatusCode::SERVICE_UNAVAILABLE, "load_failed");
        }
    }
}

async fn fetch(client: &HttpClient, store: SocketAddr, adapter: &str) -> bool {
    let body = json!({ "adapter": adapter });
    let call = Call::new(store, Method::POST, "/v1/loads").json(&body);
    let reply = client.send_within(call, STORE_TIMEOUT_MS).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

fn finish_load(
    state: &mut State,
    adapter: &str,
    incarnation: u64,
    fetched: bool,
) -> CommandResponse {
    if state.incarnation != incarnation || state.down {
        return failed(StatusCode::SERVICE_UNAVAILABLE, "restarted");
    }
    state.loading.retain(|name| name != adapter);
    let fails = state.settings.load_failure_ratio;
    if !fetched || state.rng.random_bool(fails) {
        state.counts.load_failures += 1;
        return failed(StatusCode::SERVICE_UNAVAILABLE, "load_failed");
    }
    let resident = ResidentAdapter {
        in_use: 0,
        since_unix_ms: state.unix_ms(),
    };
    state.resident.insert(adapter.to_owned(), resident);
    state.counts.loads += 1;
    succeeded(true)
}
