//! Tests of queueing, routing and placement decisions, in virtual time and against simple reference
//! models.

#[path = "load/fair_queue.rs"]
mod fair_queue;
#[path = "load/placement.rs"]
mod placement;
#[path = "load/residency.rs"]
mod residency;
#[path = "load/routing.rs"]
mod routing;
#[path = "load/suspects.rs"]
mod suspects;

use medlarlift::types::AdapterRef;

/// Version 1 of adapter `name` of the base model `base`.
fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new("base", name, 1)
}
