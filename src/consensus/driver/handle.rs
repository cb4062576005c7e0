//! The interface of the replicated log.

use std::path::PathBuf;
use std::sync::Arc;

use snafu::Snafu;
use tokio::sync::watch;

use super::machine::FollowSource;
use super::machine::SharedMachine;
use super::machine::StateMachine;
use super::machine::Transport;
use crate::consensus::message::Envelope;
use crate::consensus::message::FollowReply;
use crate::consensus::message::FollowRequest;
use crate::consensus::types::Timeouts;
use crate::consensus::types::VoterId;
use crate::types::VmName;

/// Result of opening a voter.
pub type Result<T> = std::result::Result<T, OpenError>;

/// Settings of a voter.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Name of this VM.
    pub vm: VmName,
    /// Folder that only this module writes to.
    pub data_folder: PathBuf,
    /// The VMs that found the cluster, and the contacts of a voter that joins later.
    pub founders: Vec<VmName>,
    /// Periods of the protocol.
    pub timeouts: Timeouts,
    /// Applied entries after which a snapshot is taken and the log compacted.
    pub snapshot_every_entries: u64,
    /// Longest wait of a proposal for its commit.
    pub propose_timeout_ms: u64,
}

impl VoterConfig {
    /// Settings with default periods.
    pub fn new(vm: VmName, data_folder: impl Into<PathBuf>, founders: Vec<VmName>) -> Self {
        Self {
            vm,
            data_folder: data_folder.into(),
            founders,
            timeouts: Timeouts::default(),
            snapshot_every_entries: 8_192,
            propose_timeout_ms: 3_000,
        }
    }
}

/// Settings of a follower without a disk.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// Name of this VM.
    pub vm: VmName,
    /// VMs to pull from in order of preference, own data centre first. May be replaced while the
    /// follower runs.
    pub sources: watch::Receiver<Vec<VmName>>,
}

/// A command that was committed and applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Applied {
    /// Position in the log.
    pub index: u64,
    /// Answer of the state machine.
    pub answer: Vec<u8>,
}

/// Why a proposal was not acknowledged.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ProposeError {
    /// This VM does not lead the log. The command was not and will not be applied.
    #[snafu(display("this VM does not lead the log; leader: {leader:?}"))]
    NotLeader {
        /// Last known leader.
        leader: Option<VmName>,
    },
    /// The log accepts no proposals now. The command was not and will not be applied.
    #[snafu(display("the log accepts no proposals now"))]
    Unavailable,
    /// The command may or may not be applied, now or later.
    #[snafu(display("the outcome of the proposal is not known"))]
    Unknown,
}

/// State of the log as this VM sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Last known leader.
    pub leader: Option<VmName>,
    /// Highest term seen.
    pub term: u64,
    /// Last index known to be committed.
    pub commit_index: u64,
    /// Last index applied to the machine.
    pub applied_index: u64,
    /// Members whose votes count.
    pub voters: Vec<VoterId>,
    /// Members that receive the log and do not vote.
    pub learners: Vec<VoterId>,
    /// Whether this VM leads the log.
    pub is_leader: bool,
    /// Time since this VM's state was last confirmed by a quorum; `u64::MAX` if it never was.
    pub quorum_contact_age_ms: u64,
}

/// The data folder cannot be used.
#[derive(Debug, Snafu)]
#[snafu(display("data folder cannot be opened: {reason}"))]
pub struct OpenError {
    /// What went wrong.
    pub reason: String,
}

/// A running voter or follower. Clones share it.
#[derive(Clone)]
pub struct Handle {}

impl Handle {
    /// Opens the data folder and runs a voter on threads of its own.
    pub fn open_voter<M: StateMachine>(
        config: VoterConfig,
        machine: SharedMachine<M>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self> {
        let _ = (config, machine, transport);
        todo!()
    }

    /// Runs a follower without a disk. Must be called within a tokio runtime.
    pub fn spawn_follower<M: StateMachine>(
        config: FollowerConfig,
        machine: SharedMachine<M>,
        source: Arc<dyn FollowSource>,
    ) -> Self {
        let _ = (config, machine, source);
        todo!()
    }

    /// Takes a message from another VM.
    pub fn receive(&self, envelope: Envelope) {
        let _ = envelope;
    }

    /// Proposes a command and waits until it is applied here.
    pub async fn propose(&self, command: Vec<u8>) -> std::result::Result<Applied, ProposeError> {
        let _ = command;
        todo!()
    }

    /// Serves a follower: waits for entries from `next_index` for at most 1,000 ms.
    pub async fn follow(&self, request: FollowRequest) -> FollowReply {
        let _ = request;
        todo!()
    }

    /// Removes the voter on `vm` for good; only the leader can. Meant for a VM that is gone.
    pub async fn remove_voter(&self, vm: VmName) -> std::result::Result<(), ProposeError> {
        let _ = vm;
        todo!()
    }

    /// The state of the log.
    pub fn status(&self) -> Status {
        todo!()
    }

    /// Reports each change of the applied index.
    pub fn subscribe_applied(&self) -> watch::Receiver<u64> {
        todo!()
    }

    /// Hands leadership over, syncs and stops. Pending proposals end as `Unknown`.
    pub async fn shutdown(&self) {
        todo!()
    }
}
