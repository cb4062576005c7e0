//! Load, evict and role orders of the engine stand-in.

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
use super::engine_state::Resident;
use super::engine_state::State;

/// Longest time that an engine waits for the store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 60_000;

/// Time between looks at a load that another order started.
const LOAD_POLL: Duration = Duration::from_millis(5);

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// What to do.
    pub order: OrderKind,
    /// Adapter to load or evict.
    #[serde(default)]
    pub adapter: String,
    /// Role to take.
    #[serde(default)]
    pub role: String,
    /// Fencing number of the coordinator.
    pub fence: u64,
}

/// Kinds of orders.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Make an adapter resident.
    Load,
    /// Free the slot of an adapter.
    Evict,
    /// Change the role of the engine.
    Role,
}

/// Status and body of the response to an order.
pub type Outcome = (StatusCode, Value);

fn done(changed: bool) -> Outcome {
    (StatusCode::OK, json!({ "changed": changed }))
}

fn refused(status: StatusCode, code: &str) -> Outcome {
    (status, json!({ "error": { "code": code } }))
}

/// Carries out one order.
pub async fn execute(engine: &Engine, client: &HttpClient, order: Order) -> Outcome {
    if let Some(refusal) = check_fence(&mut engine.lock(), order.fence) {
        return refusal;
    }
    match order.order {
        OrderKind::Load => load(engine, client, &order.adapter).await,
        OrderKind::Evict => evict(&mut engine.lock(), &order.adapter),
        OrderKind::Role => {
            engine.lock().role = order.role;
            done(true)
        }
    }
}

fn check_fence(state: &mut State, fence: u64) -> Option<Outcome> {
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

fn evict(state: &mut State, adapter: &str) -> Outcome {
    match state.resident.get(adapter) {
        None => done(false),
        Some(resident) if resident.in_use > 0 => {
            state.counts.evict_refusals += 1;
            refused(StatusCode::LOCKED, "in_use")
        }
        Some(_) => {
            state.resident.shift_remove(adapter);
            state.counts.evictions += 1;
            done(true)
        }
    }
}

/// How a load order begins.
enum Begin {
    Resident,
    Joined,
    Refused(Outcome),
    Started(u64),
}

async fn load(engine: &Engine, client: &HttpClient, adapter: &str) -> Outcome {
    let begin = begin_load(&mut engine.lock(), adapter);
    let incarnation = match begin {
        Begin::Resident => return done(false),
        Begin::Refused(outcome) => return outcome,
        Begin::Joined => return join_load(engine, adapter).await,
        Begin::Started(incarnation) => incarnation,
    };
    let store = engine.lock().settings.store;
    let fetched = match store {
        Some(store) => fetch(client, store, adapter).await,
        None => true,
    };
    end_load(&mut engine.lock(), adapter, incarnation, fetched)
}

fn begin_load(state: &mut State, adapter: &str) -> Begin {
    let prefix = format!("{}:", state.settings.base);
    if !adapter.starts_with(&prefix) {
        return Begin::Refused(refused(StatusCode::BAD_REQUEST, "wrong_base"));
    }
    if state.resident.contains_key(adapter) {
        return Begin::Resident;
    }
    if state.loading.iter().any(|name| name == adapter) {
        return Begin::Joined;
    }
    let used = state.resident.len() + state.loading.len();
    if u64::try_from(used).unwrap_or(u64::MAX) >= state.settings.adapter_slots {
        state.counts.slot_refusals += 1;
        return Begin::Refused(refused(StatusCode::SERVICE_UNAVAILABLE, "no_free_slot"));
    }
    state.loading.push(adapter.to_owned());
    Begin::Started(state.incarnation)
}

/// Waits for a load that another order started.
async fn join_load(engine: &Engine, adapter: &str) -> Outcome {
    loop {
        tokio::time::sleep(LOAD_POLL).await;
        let state = engine.lock();
        if state.resident.contains_key(adapter) {
            return done(false);
        }
        if !state.loading.iter().any(|name| name == adapter) {
            return refused(StatusCode::SERVICE_UNAVAILABLE, "load_failed");
        }
    }
}

async fn fetch(client: &HttpClient, store: SocketAddr, adapter: &str) -> bool {
    let body = json!({ "adapter": adapter });
    let call = Call::new(store, Method::POST, "/v1/loads").json(&body);
    let reply = client.send_within(call, STORE_TIMEOUT_MS).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

fn end_load(state: &mut State, adapter: &str, incarnation: u64, fetched: bool) -> Outcome {
    if state.incarnation != incarnation || state.down {
        return refused(StatusCode::SERVICE_UNAVAILABLE, "restarted");
    }
    state.loading.retain(|name| name != adapter);
    let fails = state.settings.load_failure_ratio;
    if !fetched || state.rng.random_bool(fails) {
        state.counts.load_failures += 1;
        return refused(StatusCode::SERVICE_UNAVAILABLE, "load_failed");
    }
    let resident = Resident {
        in_use: 0,
        since_unix_ms: state.unix_ms(),
    };
    state.resident.insert(adapter.to_owned(), resident);
    state.counts.loads += 1;
    done(true)
}
