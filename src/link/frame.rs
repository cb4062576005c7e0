//! Messages on a link.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::FrameError;
use super::Result;
use crate::consensus::Envelope;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::registry::Announcement;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::ServerName;
use crate::types::VmName;

/// Version of the messages; links between different versions are refused.
pub const LINK_FORMAT: u16 = 3;

/// Part that a VM plays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Keeps the replicated log.
    Control,
    /// Serves callers.
    Entry,
}

/// First message of both sides.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// [`LINK_FORMAT`] of the sender.
    pub format: u16,
    /// The sender.
    pub vm: VmName,
    /// Rises with each start of its process.
    pub incarnation: u64,
    /// Its part.
    pub role: Role,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// What a controller tells about itself, whenever it changes and at least twice a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlStatus {
    /// Whether it leads the replicated log and has heard a quorum just now.
    pub leads: bool,
    /// Its term of the log.
    pub term: u64,
    /// Version of the document that it has applied, 0 for none.
    pub document_version: u64,
    /// Data centres whose engines it gives orders to, with the fence.
    pub holds: Vec<(DataCentre, u64)>,
    /// Addresses of the controllers' links.
    pub controllers: Vec<SocketAddr>,
    /// Whether it hands out its own part of the token rates because it hears of no leader.
    pub stands_in: bool,
    /// Entry VMs that are connected to it.
    pub entry_vms: u32,
}

/// The configuration that a controller has applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentUpdate {
    /// Version of the document.
    pub version: u64,
    /// The operator's bytes.
    pub body: Arc<[u8]>,
}

/// Heartbeats that a controller received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerUpdate {
    /// Servers whose announcement changed.
    pub changed: Vec<Announcement>,
    /// Servers that are gone, with the start time of the process that left.
    pub gone: Vec<(ServerName, u64)>,
    /// Servers that announced themselves again without a change.
    pub alive: Vec<ServerName>,
}

/// Presence of one adapter on one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Residency {
    /// The engine.
    pub server: ServerName,
    /// The adapter.
    pub model: ModelName,
    /// Version that the engine holds or loads; 0 if that is not known.
    pub version: u64,
    /// Time until it can be used; `None` if it is not there any more.
    pub ready_in_ms: Option<u32>,
}

/// Changes of residency, from the VM that orders the engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResidencyUpdate {
    /// The data centre of the engines.
    pub data_centre: DataCentre,
    /// Fence of the sender.
    pub fence: u64,
    /// Whether this is the whole state.
    pub full: bool,
    /// The changes.
    pub items: Vec<Residency>,
}

/// An adapter that an entry VM's requests wait for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterDemand {
    /// The adapter.
    pub model: ModelName,
    /// Requests that wait; 0 if none does any more.
    pub waiting: u32,
    /// Rank of the most urgent one, 0 first.
    pub priority: u8,
    /// Whether the engines that hold it are full, so that one more copy is worth a place.
    pub copy: bool,
}

impl AdapterDemand {
    /// Tells that no request waits for `model` any more.
    pub fn withdrawn(model: ModelName) -> Self {
        Self {
            model,
            waiting: 0,
            priority: u8::MAX,
            copy: false,
        }
    }
}

/// Use of one adapter on one engine by one entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterUse {
    /// The engine.
    pub server: ServerName,
    /// The adapter.
    pub model: ModelName,
    /// Requests that run or wait there now.
    pub in_flight: u32,
    /// Prompt tokens of those that have no answer yet.
    pub prompt_tokens: u64,
    /// Time that the engine needs to read a token, as the VM has measured it.
    pub token_us: u32,
    /// Requests sent since the last report.
    pub sent: u32,
    /// Whether the engine refused a request because the adapter is not there.
    pub is_missing: bool,
    /// Age of the latest refusal of a request that came before the adapter was there.
    pub early_age_ms: Option<u32>,
    /// Whether the engine answered a request.
    pub is_answered: bool,
}

/// Work of one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The engine.
    pub server: ServerName,
    /// Requests that it runs or that wait there.
    pub occupied: u32,
    /// Prompt tokens of those that have no answer yet.
    pub prompt_tokens: u32,
}

/// Work of the engines of a data centre, from the VM that counts the requests of all entry VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadUpdate {
    /// The data centre of the engines.
    pub data_centre: DataCentre,
    /// Time until an adapter that is asked for now gets a place.
    pub place_wait_ms: u32,
    /// Engines with work that counts. The others have room.
    pub engines: Vec<EngineLoad>,
}

/// A message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
    /// First message.
    Hello(Hello),
    /// Keeps the link alive.
    Ping,
    /// The sender closes the link and will be back.
    Leaving,
    /// Message of the replicated log.
    Raft(Envelope),
    /// State of a controller.
    Status(ControlStatus),
    /// Asks for the document.
    PullDocument,
    /// The document.
    Document(DocumentUpdate),
    /// Versions of adapters: all of them.
    AdapterVersions(Vec<(ModelName, u64)>),
    /// Heartbeats.
    Servers(ServerUpdate),
    /// Residency of adapters.
    Residency(ResidencyUpdate),
    /// Work of the engines of a data centre.
    Loads(LoadUpdate),
    /// Adapters that requests wait for, on engines of a data centre.
    #[serde(rename = "Wants")]
    AdapterDemands(DataCentre, Vec<AdapterDemand>),
    /// Adapters in use.
    Uses(Vec<AdapterUse>),
    /// Asks for tokens.
    Borrow(u64, BorrowRequest),
    /// The answer to the request with this number.
    Borrowed(u64, BorrowReply),
}

impl Frame {
    /// Encodes the frame, without its length.
    pub fn encode(&self) -> Bytes {
        let bytes = bincode::serialize(self).expect("plain data is written to memory");
        Bytes::from(bytes)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// The bytes are not a frame of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        bincode::deserialize(bytes).map_err(|source| FrameError {
            bytes: bytes.len(),
            source,
        })
    }
}
