//! Runs the core on threads of its own and offers the log to async code.

mod applied;
mod applier;
mod config;
mod follower;
mod handle;
mod machine;
mod shared;
mod voter;
mod writer;

pub use config::Applied;
pub use config::FollowerConfig;
pub use config::OpenError;
pub use config::ProposeError;
pub use config::Status;
pub use config::VoterConfig;
pub use handle::Handle;
pub use machine::FollowError;
pub use machine::FollowSource;
pub use machine::RestoreError;
pub use machine::SharedMachine;
pub use machine::StateMachine;
pub use machine::Transport;
