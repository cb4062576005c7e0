//! Gossip messages.

use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use super::entry::Member;
use super::entry::ServerPayload;
use super::entry::VmPayload;
use super::quarantine::CrashReport;
use super::quarantine::Lift;
use crate::types::DataCentre;
use crate::types::ServerName;
use crate::types::UnixMs;
use crate::types::VmName;

/// Format version of [`Digest`] and [`Delta`].
pub const GOSSIP_FORMAT: u8 = 1;

/// A gossip request: news for the peer, and hashes by which the peer finds what is missing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// [`GOSSIP_FORMAT`] of the sender.
    pub format: u8,
    /// The sender.
    pub from: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// True until the sender got its first reply; the reply may then be large.
    pub joining: bool,
    /// Hashes of some parts of the sender's table.
    pub marks: Marks,
    /// News.
    pub news: News,
}

impl Digest {
    /// A message that brings one fact and nothing else.
    pub fn alert(from: VmName, data_centre: DataCentre, fact: Fact) -> Self {
        Self {
            format: GOSSIP_FORMAT,
            from,
            data_centre,
            joining: false,
            marks: Marks::default(),
            news: News {
                facts: vec![fact],
                ..News::default()
            },
        }
    }
}

/// The reply to a [`Digest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// [`GOSSIP_FORMAT`] of the sender.
    pub format: u8,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Hashes of the same parts of the sender's table.
    pub marks: Marks,
    /// News.
    pub news: News,
    /// Entries and facts of parts whose hashes differ. The receiver does not pass them on, since
    /// others are likely to have them.
    pub missing: News,
}

/// Hashes of consecutive parts of the table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Marks {
    /// Index of the first part.
    pub first: u8,
    /// One hash for each part.
    pub hashes: Vec<u32>,
}

/// Entries, heartbeats and facts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct News {
    /// Entries of VMs.
    pub vms: Vec<Entry<VmName, VmPayload>>,
    /// Entries of backend servers.
    pub servers: Vec<Entry<ServerName, ServerPayload>>,
    /// Heartbeats of VMs whose entries the receiver is expected to have.
    pub vm_beats: Vec<Beat<VmPayload>>,
    /// Heartbeats of backend servers whose entries the receiver is expected to have.
    pub server_beats: Vec<Beat<ServerPayload>>,
    /// Facts that only ever get added and expire.
    pub facts: Vec<Fact>,
}

/// A whole entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(bound(
    serialize = "N: Serialize",
    deserialize = "N: serde::de::DeserializeOwned"
))]
pub struct Entry<N, P: Member> {
    /// Name of the member.
    pub name: N,
    /// Rises with each start of the process.
    pub incarnation: u64,
    /// Sequence of the last change of the payload.
    pub version: u64,
    /// Sequence of the last heartbeat.
    pub beat: u64,
    /// Rarely changing part.
    pub payload: P,
    /// Part of the last heartbeat.
    pub status: P::Status,
}

/// A heartbeat without the entry. The hash of the name and of the incarnation stand for both, so
/// that a heartbeat takes about a dozen bytes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(bound = "")]
pub struct Beat<P: Member> {
    /// Hash of the name.
    pub name_hash: u32,
    /// Hash of the incarnation.
    pub incarnation_hash: u8,
    /// Sequence.
    pub beat: u64,
    /// Part that travels with each heartbeat.
    pub status: P::Status,
}

/// A fact that spreads to every VM and expires.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Fact {
    /// A request may have crashed a backend server.
    Crash(CrashReport),
    /// An operator ended a quarantine.
    Lift(Lift),
    /// A key was withdrawn by a VM that could not reach the replicated log.
    Withdrawal(Withdrawal),
}

/// A key withdrawn outside the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Withdrawal {
    /// SHA-256 of the key.
    pub key_hash: [u8; 32],
    /// Time after which the log is certain to hold the withdrawal or an operator must repeat it.
    pub expires: UnixMs,
}

/// Why a peer gave no reply.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("VM {vm} gave no gossip reply: {reason}"))]
pub struct NoGossip {
    /// The VM that was asked.
    pub vm: VmName,
    /// What went wrong, for the log.
    pub reason: String,
}

/// Sends gossip to other VMs.
pub trait GossipPeers: Send + Sync {
    /// Sends `digest` to `to` at `address`, the peer address from its entry or the settings.
    fn gossip(
        &self,
        to: VmName,
        address: String,
        digest: Digest,
    ) -> BoxFuture<'static, Result<Delta, NoGossip>>;
}
