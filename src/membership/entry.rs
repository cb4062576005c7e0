//! What the table knows about VMs and backend servers.

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

/// The rarely changing part of a VM's entry.
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
    /// True once a graceful shutdown began.
    pub draining: bool,
}

/// The part of a VM's entry that travels with each heartbeat.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmStatus {
    /// Index of the last control entry the VM has applied.
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
    /// Runs models with adapters.
    Engine,
    /// Serves plain HTTP.
    Service,
}

/// The rarely changing part of a backend server's entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerPayload {
    /// Address, `host:port`.
    pub address: String,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Kind of the server.
    pub kind: ServerKind,
    /// Services it provides; empty for engines.
    pub services: Vec<ServiceName>,
    /// Base model it runs, for engines.
    pub base_model: Option<Arc<str>>,
    /// Number of adapters it can hold.
    pub adapter_slots: u32,
    /// Number of requests it can run at the same time.
    pub batch_positions: u32,
    /// Adapters it holds. Known only to VMs of the server's own data centre.
    pub resident_adapters: Vec<AdapterRef>,
    /// True if it checks the fencing number of orders.
    pub checks_fence: bool,
    /// True once it asked for no new work.
    pub leaving: bool,
}

/// The part of a backend server's entry that travels with each load report.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the server.
    pub queued: u32,
    /// Free space of the KV cache in tokens.
    pub free_kv_tokens: Tokens,
    /// Highest fencing number the server has seen.
    pub highest_fence: u64,
}

/// A backend server's announcement of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the server.
    pub name: ServerName,
    /// Rises with each start of the server.
    pub incarnation: u64,
    /// Rises with each announcement of one incarnation.
    pub sequence: u64,
    /// Rarely changing part.
    pub payload: ServerPayload,
    /// Load.
    pub load: ServerLoad,
}

/// Links the two parts of an entry.
pub trait Member: Clone + Debug + DeserializeOwned + PartialEq + Serialize {
    /// The part that travels with each heartbeat.
    type Status: Copy + Debug + Default + DeserializeOwned + PartialEq + Serialize;

    /// Data centre of the member.
    fn data_centre(&self) -> &DataCentre;

    /// The payload as it is sent to VMs of another data centre.
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

/// Liveness of an entry as judged by the local monotonic clock.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Liveness {
    /// There was news lately.
    Alive,
    /// No news for a while; avoid if there is a choice.
    Suspect,
    /// No news for long; treat as gone.
    Dead,
}

/// One entry as readers see it.
#[derive(Clone, Debug)]
pub struct View<P: Member> {
    /// Rises with each start of the process.
    pub incarnation: u64,
    /// Sequence of the last change of the payload.
    pub version: u64,
    /// Sequence of the last heartbeat.
    pub beat: u64,
    /// Rarely changing part.
    pub payload: Arc<P>,
    /// Part of the last heartbeat.
    pub status: P::Status,
    /// Local time of the last news.
    pub heard: MonoMs,
    /// Time without news after which the entry is suspect.
    pub suspect_after_ms: u64,
    /// Time without news after which the entry is dead.
    pub dead_after_ms: u64,
}

impl<P: Member> View<P> {
    /// Liveness at `now`.
    pub fn liveness(&self, now: MonoMs) -> Liveness {
        let silent_ms = now.since(self.heard);
        if silent_ms >= self.dead_after_ms {
            Liveness::Dead
        } else if silent_ms >= self.suspect_after_ms {
            Liveness::Suspect
        } else {
            Liveness::Alive
        }
    }
}
