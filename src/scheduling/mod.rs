//! Queueing, routing and adapter placement decisions.
//!
//! The code here performs no I/O and reads no clock: the current time is an argument.

pub mod crash_evidence;
pub mod fair_queue;
pub mod placement;
pub mod popularity;
pub mod residency;
pub mod routing;
pub mod slots;
pub mod stream_origins;
pub mod suspects;
