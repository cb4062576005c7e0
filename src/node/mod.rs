//! One VM: connects the modules, runs their tasks and shuts them down.

mod admin_port;
mod control_feed;
mod coordinator;
mod duties;
mod handler;
mod health;
mod jobs;
mod links;
mod machine;
mod member_feed;
mod parts;
mod proposer;
mod replicated_log;
mod self_entry;
mod server_names;
mod suspects;
mod tables;
mod tasks;
mod topology;
mod views;
mod vm;

pub use machine::Machine as ControlMachine;
pub use machine::SharedState as SharedControl;
pub use vm::Draining;
pub use vm::Open;
pub use vm::OpenError;
pub use vm::Vm;
