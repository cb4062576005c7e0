//! Driver: runs the core on dedicated threads and provides an async interface to the log.

mod applied_log;
mod applier;
mod config;
mod follower;
mod handle;
mod shared;
mod traits;
mod voter;
mod writer;

pub use config::Applied;
pub use config::FollowerConfig;
pub use config::OpenError;
pub use config::ProposeError;
pub use config::Status;
pub use config::VoterConfig;
pub use handle::Handle;
pub use traits::FollowError;
pub use traits::FollowSource;
pub use traits::RestoreError;
pub use traits::SharedMachine;
pub use traits::StateMachine;
pub use traits::Transport;
