//! One VM: connects the modules, runs their tasks and shuts them down.

mod components;
mod control_plane;
mod control_sync;
mod coordinator;
mod directories;
mod handler;
mod health;
mod jobs;
mod leader_tasks;
mod membership_sync;
mod proposer;
mod quarantine;
mod replicated_log;
mod self_entry;
mod server_names;
mod state_machine;
mod suspect_reserver;
mod table_puller;
mod tasks;
mod topology;
mod transports;
mod vm;

pub use state_machine::ControlStateMachine;
pub use state_machine::SharedControlState;
pub use vm::Draining;
pub use vm::Open;
pub use vm::OpenError;
pub use vm::Vm;
