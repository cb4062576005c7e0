//! Messages between voters and between followers and their sources.

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
    /// Cluster of the sender, 0 while it has none. Keeps the messages of a cluster that was founded
    /// and lost apart from those of its successor.
    pub cluster_id: u64,
    /// Sender.
    pub from: VoterId,
    /// Recipient; a recipient with another disk drops the message, unless the id is `ANY_DISK`.
    pub to: VoterId,
    /// Term of the sender.
    pub term: u64,
    /// Content.
    pub message: Message,
}

/// Content of an envelope.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks whether an election in the next term could succeed.
    PreVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Response to `PreVote`.
    PreVoteReply {
        /// The term that the pre-vote would have opened.
        next_term: u64,
        /// Whether the sender would vote.
        granted: bool,
    },
    /// Asks for a vote in the envelope's term.
    Vote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Set when the leader itself asked for the election.
        transfer: bool,
    },
    /// Response to `Vote`.
    VoteReply {
        /// Whether the sender voted for the candidate.
        granted: bool,
    },
    /// Entries or a heartbeat from the leader.
    Append {
        /// Index before the first entry.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Consecutive entries from `prev_index + 1`.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit_index: u64,
        /// Leader's clock when it sent the message.
        sent_ms: u64,
    },
    /// Response to `Append`, sent once the entries are synced.
    AppendReply {
        /// Whether the entry at `prev_index` matched.
        accepted: bool,
        /// Last index known to match if accepted, else the `prev_index` that did not match.
        index: u64,
        /// Last index of the sender, from where a rejected leader may retry.
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
        /// Leader's clock when it sent the message.
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
    /// Asks the recipient to start an election at once.
    TimeoutNow,
    /// Sent by an identity that belongs to no cluster, to found one or to join one.
    Probe {
        /// Whether the sender has an empty log.
        blank: bool,
    },
    /// Response to `Probe`.
    ProbeReply {
        /// Whether the sender has an empty log.
        blank: bool,
        /// Leader that the sender knows.
        leader: Option<VoterId>,
        /// Whether the probing identity is retired or of another cluster, and may not join.
        retired: bool,
    },
}

/// Asks a voter or follower for applied entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FollowRequest {
    /// `FORMAT_VERSION` of the sender.
    pub version: u16,
    /// Cluster that the sender follows, 0 if it has not followed any.
    pub cluster_id: u64,
    /// First index that the sender lacks.
    pub next_index: u64,
    /// Where to continue a snapshot that is being transferred.
    pub snapshot: Option<SnapshotPosition>,
    /// Longest time to wait for new entries. The source caps it at 1,000 ms.
    pub wait_ms: u64,
}

/// Position in a snapshot transfer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotPosition {
    /// Index of the snapshot.
    pub index: u64,
    /// First byte that is needed.
    pub offset: u64,
}

/// Response to `FollowRequest`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FollowReply {
    /// `FORMAT_VERSION` of the sender.
    pub version: u16,
    /// Cluster of the sender, 0 while it has none.
    pub cluster_id: u64,
    /// Highest term the sender knows.
    pub term: u64,
    /// Last known leader.
    pub leader: Option<VmName>,
    /// Voters that the sender knows.
    pub voters: Vec<VoterId>,
    /// Last index that the sender knows to be committed.
    pub commit_index: u64,
    /// Time since the sender's state was last confirmed by a quorum, through all relays.
    pub quorum_contact_age_ms: u64,
    /// Time the request waited at the sender.
    pub waited_ms: u64,
    /// Entries or a part of a snapshot.
    pub content: FollowContent,
}

/// Content of a `FollowReply`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FollowContent {
    /// Consecutive applied entries from `next_index`; empty if none came in time.
    Entries(Vec<Entry>),
    /// The entry at `next_index` is compacted; one chunk of a newer snapshot.
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
