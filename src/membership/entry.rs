//! Entries of VMs and backend servers.

use std::fmt::Debug;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::Tokens;

/// The part of a VM's entry that rarely changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmPayload {
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address of the peer service, `host:port`.
    pub peer_address: String,
    /// Address of the caller API, `host:port`.
    pub caller_address: String,
    /// Address of the administration API, `host:port`.
    pub admin_address: String,
    /// True while the VM accepts callers.
    pub ready: bool,
    /// True once a graceful shutdown has begun.
    pub draining: bool,
}

/// The part of a VM's entry that each heartbeat carries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmStatus {
    /// Index of the last entry of the replicated log that the VM has applied.
    pub applied_index: u64,
    /// Term of the coordinator lease if the VM holds it, 0 otherwise.
    pub coordinator_term: u64,
    /// [`crate::lease::HeldLease::settled_index`] if the VM holds the coordinator lease, 0 otherwise.
    pub settled_index: u64,
}

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// Runs a base model with adapters.
    Engine,
    /// Serves plain HTTP.
    Service,
}

/// The part of a backend server's entry that rarely changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerPayload {
    /// Address, `host:port`.
    pub address: String,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Kind of the server.
    pub kind: ServerKind,
    /// Services that the server provides; empty for engines.
    pub services: Vec<ServiceName>,
    /// Base model of an engine.
    pub base_model: Option<Arc<str>>,
    /// Number of adapters that can be resident.
    pub adapter_slots: u32,
    /// Number of requests that can run concurrently.
    pub batch_positions: u32,
    /// Resident adapters. Known only to VMs of the server's data centre.
    pub resident_adapters: Vec<AdapterRef>,
    /// True if the server checks the fencing number of orders.
    pub checks_fence: bool,
    /// True once the server has requested to receive no new work.
    pub leaving: bool,
}

/// The part of a backend server's entry that each load report carries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the server.
    pub queued: u32,
    /// Free capacity of the KV cache in tokens.
    pub free_kv_tokens: Tokens,
    /// Highest fencing number that the server has seen.
    pub highest_fence: u64,
}

/// An announcement that a backend server sends about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the server.
    pub name: ServerName,
    /// Increases with each start of the server.
    pub incarnation: u64,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Part that rarely changes.
    pub payload: ServerPayload,
    /// Load report.
    pub load: ServerLoad,
}

/// Payload of an entry, linked to the part that each heartbeat carries.
pub trait Member: Clone + Debug + DeserializeOwned + PartialEq + Serialize {
    /// The part that each heartbeat carries.
    type Status: Copy + Debug + Default + DeserializeOwned + PartialEq + Serialize;

    /// Data centre of the member.
    fn data_centre(&self) -> &DataCentre;

    /// The payload to send to VMs of another data centre.
    fn for_remote(&self) -> Self;
}

impl Member for VmPayload {
    type Status = VmStatus;

    fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    fn for_remote(&self) -> Self {
        self.clone()
    }
}

impl Member for ServerPayload {
    type Status = ServerLoad;

    fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    fn for_remote(&self) -> Self {
        Self {
            resident_adapters: Vec::new(),
            ..self.clone()
        }
    }
}

/// Liveness of an entry by the local monotonic clock.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Liveness {
    /// Updated within the suspicion threshold.
    Alive,
    /// Not updated within the suspicion threshold; avoid it if there is an alternative.
    Suspect,
    /// Not updated within the failure threshold; treat it as failed.
    Dead,
}

/// A view of one entry for readers.
#[derive(Clone, Debug)]
pub struct View<P: Member> {
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Sequence number of the last change of the payload.
    pub version: u64,
    /// Sequence number of the last heartbeat.
    pub heartbeat: u64,
    /// Part that rarely changes.
    pub payload: Arc<P>,
    /// Part that the last heartbeat carried.
    pub status: P::Status,
    /// Local time of the last update.
    pub last_update: MonoMs,
    /// Time without updates after which the entry is suspect.
    pub suspect_after_ms: u64,
    /// Time without updates after which the entry is dead.
    pub dead_after_ms: u64,
}

impl<P: Member> View<P> {
    /// Liveness at `now`.
    pub fn liveness(&self, now: MonoMs) -> Liveness {
        let elapsed_ms = now.since(self.last_update);
        if elapsed_ms >= self.dead_after_ms {
            Liveness::Dead
        } else if elapsed_ms >= self.suspect_after_ms {
            Liveness::Suspect
        } else {
            Liveness::Alive
        }
    }
}
