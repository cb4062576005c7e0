//! Adapter slots of the engines of one data centre, under the one VM that may order them.
//!
//! Unlike [`super::placement`], this planner is for engines that refuse a request whose adapter is
//! not present and finish the runs of an adapter before they drop it. A wrong view then costs a
//! refused send, so no lease on residency is needed and an order can follow a request at once.
//!
//! An engine loads what it held a short time ago much faster, so an adapter that returns goes back
//! there. Any other goes to an engine with few requests; equal ones are ordered by rendezvous hash.

mod copies;
mod engine;
mod load_limiter;
mod orders;
mod pending_loads;
mod planner;
mod rendezvous;
mod reports;
mod slot_wait;
mod types;

pub use engine::EngineInfo;
pub use engine::EngineReport;
pub use planner::Planner;
pub use rendezvous::ranked;
pub use rendezvous::weight;
pub use types::EngineWork;
pub use types::LoadDemand;
pub use types::OrderOutcome;
pub use types::SlotAction;
pub use types::SlotOrder;
pub use types::SlotsConfig;
pub use types::Summary;
pub use types::Use;
