//! Decides which adapters the engines of a data centre load and evict.
//!
//! The coordinator of the data centre passes pulls, announcements and order results to a [`Planner`]
//! and carries out the orders that [`Planner::plan`] returns.

mod baseline;
mod demand;
mod eviction;
mod load_backoff;
mod load_candidates;
mod planner;
mod store;

use crate::scheduling::popularity::PopularityConfig;
use crate::scheduling::residency::ResidencyConfig;
use crate::types::AdapterRef;
use crate::types::ServerName;
use crate::types::Tokens;

pub use demand::AdapterDemand;
pub use demand::Demand;
pub use planner::Planner;
pub use store::StoreBudget;
pub use store::StoreShare;

/// Configuration of placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    /// Configuration of the residency lease.
    pub residency: ResidencyConfig,
    /// Configuration of the popularity counters.
    pub popularity: PopularityConfig,
    /// Tokens per second that one copy of an adapter is planned to serve.
    pub copy_tokens_per_s: f32,
    /// Local demand from which a data centre loads its own copy although another data centre has one,
    /// in percent of `copy_tokens_per_s`.
    pub local_copy_percent: f32,
    /// Time for which requests must wait for full engines before another copy is loaded, in
    /// milliseconds.
    pub busy_wait_ms: u64,
    /// Patient requests per copy that must wait for full engines before another copy is loaded on an
    /// engine with free batch positions.
    pub patient_items_per_copy: u32,
    /// Expected tokens per second below which a resident adapter may be evicted for another copy that
    /// serves patient requests.
    pub max_idle_score: f32,
    /// Minimum time between a load and the eviction of the adapter, in milliseconds.
    pub min_resident_ms: u64,
    /// Factor by which an adapter that no urgent request waits for must be more valuable than the one
    /// that it replaces.
    pub hysteresis: f32,
    /// Value of a resident adapter of which another copy exists, in percent of its full value.
    pub copy_value_percent: f32,
    /// Loads in the store budget that are reserved for urgent requests.
    pub reserved_loads: f64,
    /// Expected tokens per second from which an adapter is prefetched.
    pub prefetch_score: f32,
    /// Number of most popular adapters considered for prefetch.
    pub prefetch_candidates: usize,
    /// Free or draining slots kept available for upcoming loads.
    pub spare_slots: u32,
    /// Back-off after the first failed load, in milliseconds. Doubles with each failure.
    pub retry_ms: u64,
    /// Maximum back-off after failed loads, in milliseconds.
    pub max_retry_ms: u64,
    /// Time after which a load without a result counts as failed, in milliseconds.
    pub order_timeout_ms: u64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            residency: ResidencyConfig::default(),
            popularity: PopularityConfig::default(),
            copy_tokens_per_s: 500.0,
            local_copy_percent: 50.0,
            busy_wait_ms: 200,
            patient_items_per_copy: 16,
            max_idle_score: 1.0,
            min_resident_ms: 2_000,
            hysteresis: 2.0,
            copy_value_percent: 10.0,
            reserved_loads: 1.0,
            prefetch_score: 4.0,
            prefetch_candidates: 256,
            spare_slots: 0,
            retry_ms: 1_000,
            max_retry_ms: 60_000,
            order_timeout_ms: 10_000,
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EngineOrder {
    /// Load the adapter into a free slot.
    Load {
        /// The engine.
        server: ServerName,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// Evict the adapter; no VM has it in use.
    Evict {
        /// The engine.
        server: ServerName,
        /// The adapter.
        adapter: AdapterRef,
    },
}

/// Result of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderResult {
    /// The order.
    pub order: EngineOrder,
    /// Incarnation of the engine that answered; `None` if there was no answer.
    pub incarnation: Option<u64>,
    /// Whether the order was carried out.
    pub done: bool,
}

/// Time in which queued requests are expected to be served once their adapter is loaded, in seconds.
const WAITING_HORIZON_S: f32 = 20.0;

/// Converts queued tokens to tokens per second, comparable with popularity scores.
fn waiting_score(tokens: Tokens) -> f32 {
    tokens as f32 / WAITING_HORIZON_S
}
