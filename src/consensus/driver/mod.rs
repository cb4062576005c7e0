//! Runs the core on threads of its own and offers the log to async code.

mod handle;
mod machine;

pub use handle::Applied;
pub use handle::FollowerConfig;
pub use handle::Handle;
pub use handle::OpenError;
pub use handle::ProposeError;
pub use handle::Status;
pub use handle::VoterConfig;
pub use machine::FollowError;
pub use machine::FollowSource;
pub use machine::RestoreError;
pub use machine::SharedMachine;
pub use machine::StateMachine;
pub use machine::Transport;
