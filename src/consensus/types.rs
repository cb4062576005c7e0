//! Types of the replicated log.

use std::collections::BTreeSet;
use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::types::VmName;

/// Disk id in an address that matches any current disk of the VM.
pub const ANY_DISK: u64 = 0;

/// Identity of a voter or learner. A VM that lost its disk gets another `disk_id`, because its
/// former identity may have acknowledged entries that the new disk does not have.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VoterId {
    /// Name of the VM.
    pub vm: VmName,
    /// Random id written when the data folder was first opened.
    pub disk_id: u64,
}

impl VoterId {
    /// The identity of `vm` with the disk `disk_id`.
    pub fn new(vm: impl Into<VmName>, disk_id: u64) -> Self {
        Self {
            vm: vm.into(),
            disk_id,
        }
    }
}

impl fmt::Display for VoterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.vm, self.disk_id)
    }
}

/// Membership of the log. Takes effect when it is appended, committed or not.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Identities whose votes and acknowledgements count.
    pub voters: BTreeSet<VoterId>,
    /// Identities that receive the log but do not vote.
    pub learners: BTreeSet<VoterId>,
    /// Identities that were voters and may not join again.
    pub retired: BTreeSet<VoterId>,
}

impl Configuration {
    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The voter on `vm`, if it has one.
    pub fn voter_on(&self, vm: &VmName) -> Option<&VoterId> {
        self.voters.iter().find(|id| id.vm == *vm)
    }

    /// Whether `id` receives the log.
    pub fn contains(&self, id: &VoterId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Appended by a new leader, so that it can commit entries of earlier terms.
    Noop,
    /// A command of the state machine.
    Command(Bytes),
    /// A new membership.
    Configuration(Configuration),
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in bytes, for limits on messages and memory.
    pub fn size_bytes(&self) -> usize {
        match &self.payload {
            Payload::Noop => 32,
            Payload::Command(command) => 32 + command.len(),
            Payload::Configuration(configuration) => {
                let members = configuration.voters.len()
                    + configuration.learners.len()
                    + configuration.retired.len();
                32 + 64 * members
            }
        }
    }
}

/// State of the state machine after the entry at `index`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers; 0 for the empty state.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership after that entry.
    pub configuration: Configuration,
    /// Encoded state.
    pub data: Bytes,
}

/// Timeouts of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Heartbeat interval.
    pub heartbeat_ms: u64,
    /// Minimum election timeout.
    pub election_min_ms: u64,
    /// Maximum election timeout.
    pub election_max_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            election_min_ms: 500,
            election_max_ms: 1_000,
        }
    }
}
