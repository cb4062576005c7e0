//! Decides which adapters the engines of a data centre load and evict.
//!
//! The coordinator of the data centre feeds a [`Planner`] with pulls, announcements and results of
//! orders, and carries out the orders that [`Planner::plan`] returns.

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

/// Figures of placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    /// Figures of the residency lease.
    pub residency: ResidencyConfig,
    /// Figures of the popularity counters.
    pub popularity: PopularityConfig,
    /// Tokens per second that one copy of an adapter is planned to serve.
    pub copy_tokens_per_s: f32,
    /// Part of `copy_tokens_per_s` from which a data centre wants a copy of its own although
    /// another data centre has one, in percent.
    pub local_copy_percent: f32,
    /// Time for which an urgent request must wait for a full engine before another copy is loaded,
    /// in milliseconds.
    pub busy_wait_ms: u64,
    /// Patient requests per copy that must wait for full engines before another copy is loaded on
    /// an engine with free batch positions.
    pub patient_items_per_copy: u32,
    /// Expected tokens per second below which a resident adapter gives way to another copy for
    /// patient work.
    pub max_idle_score: f32,
    /// Time for which a loaded adapter is not evicted, in milliseconds.
    pub min_resident_ms: u64,
    /// Factor by which an adapter must be worth more than the one it replaces when no urgent
    /// request waits for it.
    pub hysteresis: f32,
    /// Part of the value of a resident adapter that remains when another copy serves instead, in
    /// percent.
    pub copy_value_percent: f32,
    /// Loads kept in the store's budget for urgent work when patient work or prefetch wants one.
    pub reserved_loads: f64,
    /// Expected tokens per second from which an adapter is prefetched.
    pub prefetch_score: f32,
    /// Adapters that are considered for prefetch.
    pub prefetch_candidates: usize,
    /// Drained slots kept ready for the next load.
    pub spare_slots: u32,
    /// First wait after a failed load, in milliseconds; it doubles with each failure.
    pub retry_ms: u64,
    /// Longest wait after a failed load, in milliseconds.
    pub max_retry_ms: u64,
    /// Time after which an order without a result counts as failed, in milliseconds.
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

/// Time within which waiting work is expected to be served when its adapter is loaded, in seconds.
const WAITING_HORIZON_S: f32 = 20.0;

/// Tokens per second of waiting work, to compare it with popularity.
fn waiting_score(tokens: Tokens) -> f32 {
    tokens as f32 / WAITING_HORIZON_S
}
