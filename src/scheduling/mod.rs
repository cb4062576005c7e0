//! Decides which work runs next, where it runs and which adapters are loaded.
//!
//! All decisions are pure: time is an argument and nothing is read from or written to the network.

pub mod fair_queue;
pub mod placement;
pub mod popularity;
pub mod residency;
pub mod routing;
pub mod slots;
pub mod suspects;
