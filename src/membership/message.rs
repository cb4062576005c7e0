//! Messages of the gossip protocol.

use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use super::crash_records::ClearedCause;
use super::crash_records::CrashCauses;
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
pub const GOSSIP_FORMAT: u8 = 2;

/// A gossip request: updates for the peer, and hashes by which the peer determines which entries
/// the sender lacks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// [`GOSSIP_FORMAT`] of the sender.
    pub format: u8,
    /// Name of the sender.
    pub from: VmName,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// True until the sender has received its first reply. The reply to a joining VM may be large.
    pub joining: bool,
    /// Hashes of some buckets of the sender's table.
    #[serde(rename = "marks")]
    pub bucket_hashes: BucketHashes,
    /// Changes that the sender still has to propagate.
    #[serde(rename = "news")]
    pub updates: Updates,
}

impl Digest {
    /// A message that carries one record and nothing else.
    pub fn alert(from: VmName, data_centre: DataCentre, record: BroadcastRecord) -> Self {
        Self {
            format: GOSSIP_FORMAT,
            from,
            data_centre,
            joining: false,
            bucket_hashes: BucketHashes::default(),
            updates: Updates {
                records: vec![record],
                ..Updates::default()
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
    /// Hashes of the same buckets of the sender's table.
    #[serde(rename = "marks")]
    pub bucket_hashes: BucketHashes,
    /// Changes that the sender still has to propagate.
    #[serde(rename = "news")]
    pub updates: Updates,
    /// Entries and records of buckets whose hashes differ. The receiver does not relay them,
    /// because other VMs are likely to have them already.
    pub missing: Updates,
}

/// Hashes of consecutive buckets of the table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketHashes {
    /// Index of the first bucket.
    pub first: u8,
    /// One hash per bucket.
    pub hashes: Vec<u32>,
}

/// Entries, heartbeats and broadcast records.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Updates {
    /// Entries of VMs.
    pub vms: Vec<Entry<VmName, VmPayload>>,
    /// Entries of backend servers.
    pub servers: Vec<Entry<ServerName, ServerPayload>>,
    /// Heartbeats of VMs whose entries the receiver is expected to have.
    #[serde(rename = "vm_beats")]
    pub vm_heartbeats: Vec<Heartbeat<VmPayload>>,
    /// Heartbeats of backend servers whose entries the receiver is expected to have.
    #[serde(rename = "server_beats")]
    pub server_heartbeats: Vec<Heartbeat<ServerPayload>>,
    /// Broadcast records.
    #[serde(rename = "facts")]
    pub records: Vec<BroadcastRecord>,
}

/// A complete entry of a member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(bound(
    serialize = "N: Serialize",
    deserialize = "N: serde::de::DeserializeOwned"
))]
pub struct Entry<N, P: Member> {
    /// Name of the member.
    pub name: N,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Sequence number of the last change of the payload.
    pub version: u64,
    /// Sequence number of the last heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Part that rarely changes.
    pub payload: P,
    /// Part that the last heartbeat carried.
    pub status: P::Status,
}

/// A heartbeat without the entry. It carries hashes of the name and of the incarnation instead of
/// their values, which keeps its encoding to about a dozen bytes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(bound = "")]
pub struct Heartbeat<P: Member> {
    /// Hash of the name.
    pub name_hash: u32,
    /// Hash of the incarnation.
    pub incarnation_hash: u8,
    /// Sequence number.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Part that each heartbeat carries.
    pub status: P::Status,
}

/// A record that is sent to every VM and expires. Records are added and expire, but never change.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum BroadcastRecord {
    /// A request may have crashed a backend server.
    Crash(CrashReport),
    /// An operator lifted a quarantine.
    Lift(Lift),
    /// A key was withdrawn by a VM that could not reach the replicated log.
    Withdrawal(Withdrawal),
    /// What may have caused the crash of a backend server.
    Causes(CrashCauses),
    /// What did not cause crashes.
    Cleared(ClearedCause),
}

/// A key withdrawn outside the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Withdrawal {
    /// SHA-256 of the key.
    pub key_hash: [u8; 32],
    /// Expiry. After it the withdrawal counts only if the log holds it; otherwise an operator must
    /// repeat it.
    pub expires: UnixMs,
}

/// A gossip request that got no reply.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("no gossip reply from VM {vm}: {reason}"))]
pub struct GossipError {
    /// The VM that the request was sent to.
    pub vm: VmName,
    /// Cause of the failure, for the log.
    pub reason: String,
}

/// Sends gossip to other VMs.
pub trait GossipTransport: Send + Sync {
    /// Sends `digest` to the VM `to`. `address` is its peer address from its entry or the settings.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not reply or does not know the gossip format.
    fn gossip(
        &self,
        to: VmName,
        address: String,
        digest: Digest,
    ) -> BoxFuture<'static, Result<Delta, GossipError>>;
}
