//! The two programs of a deployment without a static list of VMs: controllers, which run the
//! replicated log and track the backend servers, and entry VMs, which serve callers.

pub mod document_pull;
pub mod fencing;
pub mod publication;
pub mod quota_failover;

mod borrow_client;
mod buckets;
mod control_core;
mod control_links;
mod control_vm;
mod controller_client;
mod controller_requests;
mod controller_search;
mod controller_state;
mod crash_reports;
mod document_changes;
mod engine_client;
mod entry_vm;
mod entry_vms;
mod failover_server;
mod leader_tasks;
mod link_refusals;
mod log_line;
mod log_watch;
mod managed_data_centre;
mod operator_calls;
mod order_executor;
mod server_limits;
mod state_questions;
mod stream_lookup;
mod stream_reports;

pub use control_vm::ChangeOutcome;
pub use control_vm::ControlConfig;
pub use control_vm::ControlVm;
pub use control_vm::ReadOutcome;
pub use document_changes::DocumentOutcome;
pub use entry_vm::EntryConfig;
pub use entry_vm::EntryVm;
