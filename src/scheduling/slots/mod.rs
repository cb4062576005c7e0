//! Adapter slots of the engines of one data centre, under the one VM that may order them.
//!
//! Unlike [`super::placement`], this planner is for engines that refuse a request whose adapter is
//! not present and finish the runs of an adapter before they drop it. A wrong view then costs a
//! refused send, so no lease on residency is needed and an order can follow a request at once.
//!
//! Each adapter has a home: its first choice among the engines by rendezvous hash. An engine loads
//! what it held a short time ago much faster, so an adapter that returns goes home.

mod engine;
mod pace;
mod planner;
mod rank;

pub use engine::EngineInfo;
pub use engine::EngineReport;
pub use planner::OrderOutcome;
pub use planner::Planner;
pub use planner::SlotAction;
pub use planner::SlotOrder;
pub use planner::SlotsConfig;
pub use planner::Summary;
pub use planner::Use;
pub use planner::Wanted;
pub use rank::ranked;
