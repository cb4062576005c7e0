//! Settings, results and errors of the replicated log driver.

use std::path::PathBuf;

use snafu::Snafu;
use tokio::sync::watch;

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
    /// Data folder. No other module may write to it.
    pub data_folder: PathBuf,
    /// The VMs that bootstrap the cluster. A voter that joins later contacts them.
    pub founders: Vec<VmName>,
    /// Whether the founders may bootstrap a cluster. False if this VM has to join an existing one.
    pub may_bootstrap: bool,
    /// Number of voters whose disks may be lost at once.
    pub disk_losses: usize,
    /// Timeouts of the protocol.
    pub timeouts: Timeouts,
    /// Number of applied entries after which a snapshot is taken and the log is compacted, unless their
    /// size calls for it earlier. Each voter increases it by up to a quarter.
    pub snapshot_every_entries: u64,
    /// Maximum time a proposal waits to be committed and applied.
    pub propose_timeout_ms: u64,
}

impl VoterConfig {
    /// Settings with default timeouts. As many disks may be lost at once as the founders can bear.
    pub fn new(vm: VmName, data_folder: impl Into<PathBuf>, founders: Vec<VmName>) -> Self {
        Self {
            vm,
            data_folder: data_folder.into(),
            disk_losses: founders.len().saturating_sub(1) / 2,
            founders,
            may_bootstrap: true,
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
    /// VMs to pull from in order of preference, those of the own data centre first. May be replaced
    /// while the follower runs.
    pub sources: watch::Receiver<Vec<VmName>>,
}

/// A command that was committed and applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Applied {
    /// Position in the log.
    pub index: u64,
    /// Response of the state machine.
    pub answer: Vec<u8>,
}

/// Why a proposal was not acknowledged.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ProposeError {
    /// This VM does not lead the log. The command has not been and will not be applied.
    #[snafu(display("this VM does not lead the log; leader: {leader:?}"))]
    NotLeader {
        /// Last known leader.
        leader: Option<VmName>,
    },
    /// The log accepts no proposals now. The command has not been and will not be applied.
    #[snafu(display("the log accepts no proposals now"))]
    Unavailable,
    /// The command may or may not be applied, now or later.
    #[snafu(display("the outcome of the proposal is not known"))]
    Unknown,
}

/// Status of the log as known to this VM.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Last known leader.
    pub leader: Option<VmName>,
    /// Highest term seen.
    pub term: u64,
    /// Last index known to be committed.
    pub commit_index: u64,
    /// Last index applied to the state machine.
    pub applied_index: u64,
    /// Members that vote.
    pub voters: Vec<VoterId>,
    /// Members that receive the log and do not vote.
    pub learners: Vec<VoterId>,
    /// Whether this VM leads the log.
    pub is_leader: bool,
    /// Time since the last contact with a quorum, or with its leader; `u64::MAX` if there was none.
    pub quorum_contact_age_ms: u64,
    /// Time since the applied state was known to hold everything that was committed; `u64::MAX` if it was not
    /// since the start. What is on the disk at the start may be older than what was acknowledged.
    pub confirmed_age_ms: u64,
}

/// The data folder cannot be opened.
#[derive(Debug, Snafu)]
#[snafu(display("data folder cannot be opened: {reason}"))]
pub struct OpenError {
    /// Cause of the failure.
    pub reason: String,
}
