//! Replicated log: a deterministic Raft core, durable storage, and a driver that connects the core
//! to the network, files and a state machine.
//!
//! Voters and learners take part in Raft. Outside the core, a *follower* is a read replica without
//! a disk: it pulls applied entries from voters or other followers and is not part of the
//! membership.

pub mod core;
mod driver;
mod message;
mod snapshot_schedule;
pub mod storage;
mod types;

pub use driver::Applied;
pub use driver::FollowError;
pub use driver::FollowSource;
pub use driver::FollowerConfig;
pub use driver::Handle;
pub use driver::OpenError;
pub use driver::ProposeError;
pub use driver::RestoreError;
pub use driver::SharedMachine;
pub use driver::StateMachine;
pub use driver::Status;
pub use driver::Transport;
pub use driver::VoterConfig;
pub use message::ClockStamps;
pub use message::Envelope;
pub use message::FORMAT_VERSION;
pub use message::FollowContent;
pub use message::FollowReply;
pub use message::FollowRequest;
pub use message::Message;
pub use message::SnapshotPosition;
pub use snapshot_schedule::SnapshotSchedule;
pub use types::ANY_DISK;
pub use types::Configuration;
pub use types::Entry;
pub use types::Payload;
pub use types::Snapshot;
pub use types::Timeouts;
pub use types::VoterId;
