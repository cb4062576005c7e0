//! Plans the adapter slots of one data centre's engines, on the only VM that may order them.
//!
//! Unlike [`super::placement`], this planner is for engines that refuse a request whose adapter is
//! not present and finish the running requests of an adapter before they unload it. A stale view
//! then costs only a refused request, so no lease on residency is needed and a load can be ordered
//! as soon as a request waits for it.
//!
//! An engine reloads an adapter that it held recently much faster, so such an adapter returns to
//! that engine. Any other adapter goes to an engine with few requests; ties are broken by
//! rendezvous hash.

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
mod version_loads;

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
