//! Figures, orders and answers of the planner.

use serde::Serialize;

use crate::mechanisms::Mechanisms;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Figures of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotsConfig {
    /// Adapters that may be on their way to one engine.
    pub loads_per_engine: usize,
    /// Expected time of a load from the store before the first one was seen.
    pub load_ms: u64,
    /// Expected time of a load of an adapter that the engine held recently.
    pub reload_ms: u64,
    /// Time without use after which an adapter may make way that is used often.
    pub frequent_idle_ms: u64,
    /// The same for an adapter that was used once: longer than a use takes to be told.
    pub single_use_idle_ms: u64,
    /// Time after which nobody waits any more for an adapter that was asked for.
    pub request_ttl_ms: u64,
    /// Age up to which a wish waits for a place on an engine that had the adapter lately.
    pub reload_wait_ms: u64,
    /// Age up to which a wish comes before older ones: its requests may still be answered in time.
    pub timely_ms: u64,
    /// Time between two reports of a quiet engine.
    pub report_interval_ms: u64,
    /// Time between two reports of an engine whose loads have not been seen to end.
    pub confirm_interval_ms: u64,
    /// Time without orders after an engine met one with a conflict.
    pub conflict_pause_ms: u64,
    /// Age of the state that a report shows.
    pub report_lag_ms: u64,
    /// Time between two loads of base models, which the store allows only at a low rate.
    pub base_interval_ms: u64,
    /// Time between two reports of an engine without a base model.
    pub empty_interval_ms: u64,
    /// Time after which all VMs know that an adapter gets no new requests, and have told its use.
    pub retire_delay_ms: u64,
    /// Which decisions are at work.
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

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotOrder {
    /// The engine.
    pub server: ServerName,
    /// Start of the engine's process that the order is for.
    pub started_unix_ms: u64,
    /// The adapter.
    pub model: ModelName,
    /// Whether it is loaded or dropped.
    pub load: bool,
    /// Version to load; 0 for the newest.
    pub version: u64,
    /// Orders that the engine must have accepted so far.
    pub expected_sequence: u64,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotAction {
    /// Give an order.
    Order(SlotOrder),
    /// Ask an engine for its report.
    Report(ServerName),
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// The engine's state is already as ordered.
    Holds,
    /// Another order is in progress, or the sequence differs.
    Conflict,
    /// The engine is another process, or the order does not exist there.
    Refused,
    /// The engine knows a higher fence.
    Outranked,
    /// No answer; the order may be carried out now, later or never.
    Unknown,
}

/// An adapter that requests wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadDemand {
    /// Requests that wait; 0 if none does any more.
    pub waiting: u32,
    /// Rank of the most urgent one, 0 first.
    pub priority: u8,
    /// Whether the engines that hold it are full.
    pub copy: bool,
}

/// Use of an adapter as a VM reports it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Use {
    /// Requests in flight now.
    pub in_flight: u32,
    /// Prompt tokens of those that have no answer yet.
    pub prompt_tokens: u64,
    /// Time that the engine needs to read a token.
    pub token_us: u32,
    /// Requests sent since the last report.
    pub sent: u32,
    /// Age of the latest refusal of one that came before the adapter was there.
    pub early_age_ms: Option<u32>,
    /// Whether the engine answered one since the last report.
    pub is_answered: bool,
}

/// Work of an engine, for the VMs that choose one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineWork {
    /// The engine.
    pub server: ServerName,
    /// Requests that it runs or that wait there.
    pub occupied: u32,
    /// Prompt tokens of those that have no answer yet.
    pub prompt_tokens: u64,
}

/// A change of residency: engine, adapter, version and the time from which it can be used.
pub type ResidencyEntry = (ServerName, ModelName, u64, Option<MonoMs>);

/// Figures for logs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Summary {
    /// Engines.
    pub engines: usize,
    /// Engines whose state is not known yet.
    pub unknown: usize,
    /// Adapters that engines hold or load.
    pub adapters: usize,
    /// Loads from the store that are under way.
    pub store_loads: usize,
    /// Loads from the store that may be under way.
    pub store_limit: usize,
    /// Expected time of a load from the store.
    pub load_ms: u64,
    /// Adapters that requests wait for.
    pub wanted: usize,
}
