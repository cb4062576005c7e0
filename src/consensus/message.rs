//! Messages between voters and learners, and between diskless followers and their sources.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::types::Configuration;
use super::types::Entry;
use super::types::VoterId;
use crate::types::VmName;

/// Version of the message and record formats.
pub const FORMAT_VERSION: u16 = 1;

/// A message between voters or learners.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// `FORMAT_VERSION` of the sender.
    pub version: u16,
    /// Cluster of the sender, 0 while it has none. Separates the messages of a cluster that was
    /// bootstrapped and lost from those of its successor.
    pub cluster_id: u64,
    /// Sender.
    pub from: VoterId,
    /// Recipient. A recipient with another disk drops the message, unless the id is `ANY_DISK`.
    pub to: VoterId,
    /// Term of the sender.
    pub term: u64,
    /// Content.
    pub message: Message,
    /// Readings of the members' clocks. They are no part of the encoded envelope: a transport that carries them
    /// adds them to it.
    #[serde(skip)]
    pub stamps: ClockStamps,
}

/// Readings of the clocks of two members, from which the recipient of a message knows its greatest age. What
/// they count from is known only to the member that they come from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClockStamps {
    /// The sender's clock when it sent the message; `None` if its build or transport has no stamps.
    pub sent_ms: Option<u64>,
    /// `sent_ms` of the latest reply of the recipient that the sender had read; `None` from a sender that does not
    /// lead the log, or has read none in its term.
    pub echoed_ms: Option<u64>,
}

/// Content of an envelope.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Requests a pre-vote: whether the recipient would vote for the sender in the next term.
    PreVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Response to `PreVote`.
    PreVoteReply {
        /// The term for which the pre-vote was requested.
        next_term: u64,
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote in the envelope's term.
    Vote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Set when the leader itself requested the election.
        transfer: bool,
    },
    /// Response to `Vote`.
    VoteReply {
        /// Whether the sender voted for the candidate.
        granted: bool,
    },
    /// Entries or a heartbeat from the leader.
    Append {
        /// Index of the entry before the first one in `entries`.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Consecutive entries from `prev_index + 1`.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit_index: u64,
        /// Time on the leader's clock at which it sent the message.
        sent_ms: u64,
    },
    /// Response to `Append`, sent once the entries are synced.
    AppendReply {
        /// Whether the entry at `prev_index` matched.
        accepted: bool,
        /// Last index known to match if accepted, otherwise the `prev_index` that did not match.
        index: u64,
        /// Last index of the sender; after a rejection, the index from which the leader retries.
        last_index: u64,
        /// `sent_ms` of the `Append`.
        sent_ms: u64,
    },
    /// One chunk of a snapshot.
    Snapshot {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        term: u64,
        /// Membership after that entry.
        configuration: Configuration,
        /// Position of `data` in the snapshot.
        offset: u64,
        /// Bytes of the whole snapshot.
        total_bytes: u64,
        /// Content of the chunk.
        data: Bytes,
        /// Time on the leader's clock at which it sent the message.
        sent_ms: u64,
    },
    /// Response to `Snapshot`.
    SnapshotReply {
        /// Index of the snapshot.
        index: u64,
        /// Position of the next chunk that the sender needs.
        next_offset: u64,
        /// `sent_ms` of the chunk.
        sent_ms: u64,
    },
    /// Asks the recipient to start an election immediately, for a leadership transfer.
    TimeoutNow,
    /// Sent by a member without contact to a leader, to bootstrap a cluster or to join one.
    Probe {
        /// Whether the sender has an empty log.
        blank: bool,
    },
    /// Response to `Probe`.
    ProbeReply {
        /// Whether the sender has an empty log.
        blank: bool,
        /// Last known leader.
        leader: Option<VoterId>,
        /// Whether the probing identity is retired or belongs to another cluster, and may not join.
        retired: bool,
    },
}

/// Requests applied entries from a voter or follower.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FollowRequest {
    /// `FORMAT_VERSION` of the sender.
    pub version: u16,
    /// Cluster that the sender follows, 0 if it has not followed any.
    pub cluster_id: u64,
    /// Index of the first entry that the sender needs.
    pub next_index: u64,
    /// Position from which to continue a snapshot transfer in progress.
    pub snapshot: Option<SnapshotPosition>,
    /// Maximum time to wait for new entries. The source limits it to 1,000 ms.
    pub wait_ms: u64,
}

/// Position in a snapshot transfer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotPosition {
    /// Index of the snapshot.
    pub index: u64,
    /// Offset of the first byte that is needed.
    pub offset: u64,
}

/// Response to `FollowRequest`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FollowReply {
    /// `FORMAT_VERSION` of the sender.
    pub version: u16,
    /// Cluster of the sender, 0 while it has none.
    pub cluster_id: u64,
    /// Highest term known to the sender.
    pub term: u64,
    /// Last known leader.
    pub leader: Option<VmName>,
    /// Voters known to the sender.
    pub voters: Vec<VoterId>,
    /// Last index known to the sender to be committed.
    pub commit_index: u64,
    /// Time since the sender's state was known to hold everything that was committed, including the age
    /// added by relays.
    pub confirmed_age_ms: u64,
    /// Time for which the request waited at the sender.
    pub waited_ms: u64,
    /// Entries or a snapshot chunk.
    pub content: FollowContent,
}

/// Content of a `FollowReply`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FollowContent {
    /// Consecutive applied entries from `next_index`; empty if there were none within the wait
    /// time.
    Entries(Vec<Entry>),
    /// One chunk of a newer snapshot, because the entry at `next_index` is compacted.
    Snapshot {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        term: u64,
        /// Membership after that entry.
        configuration: Configuration,
        /// Position of `data` in the snapshot.
        offset: u64,
        /// Bytes of the whole snapshot.
        total_bytes: u64,
        /// Content of the chunk.
        data: Bytes,
    },
}
