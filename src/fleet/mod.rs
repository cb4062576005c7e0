//! The two programs of a deployment without a list of VMs: controllers, which keep the replicated
//! log and learn of the backend servers, and entry VMs, which serve callers.

pub mod holding;
pub mod keeper;

mod borrow;
mod buckets;
mod control_core;
mod control_links;
mod control_vm;
mod duties;
mod engine_call;
mod entry_feed;
mod entry_vm;
mod held;
mod log_line;
mod order_desk;
mod stand_in;

pub use control_vm::ControlConfig;
pub use control_vm::ControlVm;
pub use control_vm::Put;
pub use control_vm::Read;
pub use entry_vm::EntryConfig;
pub use entry_vm::EntryVm;
