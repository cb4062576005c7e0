//! Configuration, orders and results of the planner.

use serde::Serialize;

use crate::mechanisms::Mechanisms;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Planner configuration. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotsConfig {
    /// Maximum number of concurrent loads on one engine.
    pub loads_per_engine: usize,
    /// Initial expected time of a load from the weight store.
    pub load_ms: u64,
    /// Expected load time of an adapter that the engine held recently.
    pub reload_ms: u64,
    /// Idle time after which a frequently used adapter may be evicted.
    pub frequent_idle_ms: u64,
    /// Idle time after which an adapter that was used once may be evicted. Longer than the
    /// reporting delay of a use.
    pub single_use_idle_ms: u64,
    /// Time after which a load request expires unless it is repeated.
    pub request_ttl_ms: u64,
    /// Age up to which a load request waits for a slot on an engine that held the adapter recently.
    pub reload_wait_ms: u64,
    /// Age up to which a load request precedes older ones, since its requests may still be answered
    /// in time.
    pub timely_ms: u64,
    /// Interval between reports of an engine without recent changes.
    pub report_interval_ms: u64,
    /// Interval between reports of an engine with unconfirmed loads.
    pub confirm_interval_ms: u64,
    /// Pause between orders to an engine after a conflict.
    pub conflict_pause_ms: u64,
    /// Age of the state that a report shows.
    pub report_lag_ms: u64,
    /// Interval between loads of base models, which the weight store allows only at a low rate.
    pub base_interval_ms: u64,
    /// Interval between reports of an engine without a base model.
    pub empty_interval_ms: u64,
    /// Time after which all VMs have stopped sending requests to a retiring adapter and have
    /// reported its use.
    pub retire_delay_ms: u64,
    /// Enabled mechanisms.
    pub mechanisms: Mechanisms,
}

impl Default for SlotsConfig {
    fn default() -> Self {
        Self {
            loads_per_engine: 4,
            load_ms: 250,
            reload_ms: 25,
            frequent_idle_ms: 300,
            single_use_idle_ms: 60,
            request_ttl_ms: 800,
            reload_wait_ms: 300,
            timely_ms: 350,
            report_interval_ms: 4_000,
            confirm_interval_ms: 250,
            conflict_pause_ms: 60,
            report_lag_ms: 600,
            base_interval_ms: 1_000,
            empty_interval_ms: 300,
            retire_delay_ms: 400,
            mechanisms: Mechanisms::default(),
        }
    }
}

/// An order to an engine to load or unload an adapter or a base model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotOrder {
    /// The engine.
    pub server: ServerName,
    /// Start time of the engine process that the order is for, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// The adapter or base model.
    pub model: ModelName,
    /// `true` to load, `false` to unload.
    pub load: bool,
    /// Version to load; 0 for the newest.
    pub version: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_sequence: u64,
}

/// An action for the caller of the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotAction {
    /// Send an order.
    Order(SlotOrder),
    /// Request a report from an engine.
    Report(ServerName),
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order is being executed.
    Accepted,
    /// The engine is already in the ordered state.
    Holds,
    /// Another order is in progress, or the sequence differs.
    Conflict,
    /// The order is for another engine process or not applicable there.
    Refused,
    /// The engine has seen a higher fencing token.
    Outranked,
    /// No response; the order may be executed now, later or never.
    Unknown,
}

/// Demand of waiting requests for an adapter load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadDemand {
    /// Number of waiting requests; 0 withdraws the demand.
    pub waiting: u32,
    /// Priority of the most urgent request; 0 is the highest.
    pub priority: u8,
    /// Whether a further copy is requested because the engines that hold the adapter are full.
    pub copy: bool,
}

/// Use of an adapter on one engine, as reported by a VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Use {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Prompt tokens of the requests that have no response yet.
    pub prompt_tokens: u64,
    /// Prefill time per prompt token, in microseconds.
    pub token_us: u32,
    /// Number of requests sent since the last report.
    pub sent: u32,
    /// Age of the latest refusal of a request that arrived before the adapter was loaded, in
    /// milliseconds.
    pub early_age_ms: Option<u32>,
    /// Whether the engine answered a request since the last report.
    pub is_answered: bool,
}

/// Load of an engine, for the VMs that choose an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineWork {
    /// The engine.
    pub server: ServerName,
    /// Number of requests that run or wait at the engine.
    pub occupied: u32,
    /// Prompt tokens of the requests that have no response yet.
    pub prompt_tokens: u64,
}

/// Residency of an adapter: engine, adapter, version and the time from which requests may use it,
/// or `None` if they may not.
pub type ResidencyEntry = (ServerName, ModelName, u64, Option<MonoMs>);

/// State summary for logs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Summary {
    /// Number of engines.
    pub engines: usize,
    /// Number of engines that have not reported yet.
    pub unknown: usize,
    /// Number of adapters that engines hold or load.
    pub adapters: usize,
    /// Number of loads from the weight store in progress.
    pub store_loads: usize,
    /// Maximum number of concurrent loads from the weight store.
    pub store_limit: usize,
    /// Expected time of a load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Number of adapters with pending load requests.
    pub wanted: usize,
}
