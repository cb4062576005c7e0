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
use crate::scheduling::crash_evidence::ClearedFeature;
use crate::scheduling::crash_evidence::CrashReport;
use crate::scheduling::stream_origins::SoftwareVersions;
use crate::scheduling::stream_origins::StreamBegin;
use crate::scheduling::stream_origins::StreamOrigin;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::RequestRate;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::SoftwareVersion;
use crate::types::StreamKey;
use crate::types::UnixMs;
use crate::types::VmName;
use crate::types::shared_bytes;

/// Size of the number of a frame's kind, which precedes its content.
pub(super) const KIND_BYTES: usize = 4;
/// Why encoding does not fail.
const INFALLIBLE: &str = "serialization to memory cannot fail";

/// Role of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Controller: runs the replicated log.
    Control,
    /// Entry VM: serves callers.
    Entry,
}

/// Handshake: the first message of both sides.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// [`LINK_FORMAT`](super::LINK_FORMAT) of the sender, or the older format that it offers.
    pub format: u16,
    /// Name of the sender.
    pub vm: VmName,
    /// Rises with each start of the sender's process.
    pub incarnation: u64,
    /// Role of the sender.
    pub role: Role,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Address at which an entry VM takes requests from other entry VMs.
    pub relay_address: Option<SocketAddr>,
}

/// An entry VM, as a controller lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryVmInfo {
    /// Name of the VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address at which it takes requests from other entry VMs.
    pub relay_address: SocketAddr,
    /// Services none of whose servers it can connect to.
    pub cut_services: Vec<ServiceName>,
}

/// Changes of the entry VMs that are linked to a controller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryVmUpdate {
    /// Whether this is the complete list instead of changes.
    pub full: bool,
    /// VMs that were linked or changed.
    pub changed: Vec<EntryVmInfo>,
    /// VMs that are not linked any more.
    pub gone: Vec<VmName>,
}

/// Status of a controller, sent whenever it changes and at least twice a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlStatus {
    /// Whether it leads the replicated log and had recent contact with a quorum.
    pub leads: bool,
    /// Its term in the replicated log.
    pub term: u64,
    /// Version of the document that it publishes; 0 for none, or while its state may be older than the
    /// one in force.
    pub document_version: u64,
    /// Data centres whose orders it holds, with the fence.
    pub holds: Vec<(DataCentre, u64)>,
    /// Link addresses of all controllers.
    pub controllers: Vec<SocketAddr>,
    /// Whether it grants its own share of the token rates because it has no contact with a leader.
    pub stands_in: bool,
    /// Number of entry VMs that are linked to it.
    pub entry_vms: u32,
    /// Number of entry VMs that were linked to it lately, those linked now too.
    pub recent_entry_vms: u32,
    /// Software versions of backend servers whose streams may be resumed.
    pub software: SoftwareVersions,
}

impl ControlStatus {
    /// Whether the sender's state was the newest one a moment ago. Without a leader, it may be outdated.
    pub fn is_confirmed(&self) -> bool {
        self.document_version > 0 && !self.stands_in
    }
}

/// The configuration that a controller has applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentUpdate {
    /// Version of the document.
    pub version: u64,
    /// Document as submitted by the operator.
    #[serde(with = "shared_bytes")]
    pub body: Arc<[u8]>,
}

/// Changes of backend servers, from the heartbeats that a controller received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerUpdate {
    /// Servers whose announcement changed.
    pub changed: Vec<Announcement>,
    /// Servers that have left, with the start time of the process that left.
    pub gone: Vec<(ServerName, u64)>,
    /// Servers with an unchanged heartbeat.
    pub alive: Vec<ServerName>,
}

/// Presence of one adapter on one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Residency {
    /// The engine.
    pub server: ServerName,
    /// The adapter.
    pub model: ModelName,
    /// Version that is resident or loading; 0 if it is not known.
    pub version: u64,
    /// Time until the adapter can be used; `None` if it is no longer resident.
    pub ready_in_ms: Option<u32>,
}

/// Changes of residency, from the VM that holds the orders of the data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResidencyUpdate {
    /// The data centre of the engines.
    pub data_centre: DataCentre,
    /// Fence of the sender.
    pub fence: u64,
    /// Whether this is the complete state instead of changes.
    pub full: bool,
    /// The changes, or the complete state.
    pub items: Vec<Residency>,
}

/// Demand of an entry VM for an adapter that its requests wait for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterDemand {
    /// The adapter.
    pub model: ModelName,
    /// Number of waiting requests; 0 withdraws the demand.
    pub waiting: u32,
    /// Priority of the most urgent request; 0 is the highest.
    pub priority: u8,
    /// Whether the engines with the adapter are full, so that another copy is worth a slot.
    pub copy: bool,
    /// Version of the software of the engine, for a stream that may go on only there.
    pub software: Option<SoftwareVersion>,
}

impl AdapterDemand {
    /// Withdraws the demand for `model`: no request waits for it any more.
    pub fn withdrawn(model: ModelName) -> Self {
        Self {
            model,
            waiting: 0,
            priority: u8::MAX,
            copy: false,
            software: None,
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
    /// Requests that run or wait on the engine now.
    pub in_flight: u32,
    /// Prompt tokens of the requests without a response so far.
    pub prompt_tokens: u64,
    /// Prefill time of the engine per prompt token, as measured by the entry VM.
    pub token_us: u32,
    /// Requests sent since the last report.
    pub sent: u32,
    /// Whether the engine refused a request because the adapter is not resident.
    pub is_missing: bool,
    /// Age of the latest refusal of a request that arrived before the adapter was resident.
    pub early_age_ms: Option<u32>,
    /// Whether the engine answered a request.
    pub is_answered: bool,
}

/// Load of one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The engine.
    pub server: ServerName,
    /// Requests that run or wait on the engine.
    pub occupied: u32,
    /// Prompt tokens of the requests without a response so far.
    pub prompt_tokens: u32,
}

/// Loads of the engines of a data centre, from the VM that counts the requests of all entry VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadUpdate {
    /// The data centre of the engines.
    pub data_centre: DataCentre,
    /// Time until an adapter that is requested now gets a slot.
    pub place_wait_ms: u32,
    /// Engines with significant load. The others have free capacity.
    pub engines: Vec<EngineLoad>,
}

/// What a backend server stated about the rate of requests that it takes from all VMs together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLimit {
    /// The server.
    pub server: ServerName,
    /// Start time of its process, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// The limit; `None` if there is none any more.
    pub rate: Option<RequestRate>,
    /// Time since the server stated it.
    pub age_ms: u32,
}

/// Question of an entry VM whether a controller has the state that is in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateQuestion {
    /// Of the process that asks.
    pub incarnation: u64,
    /// When it asks, by its own clocks, which say nothing to the controller.
    pub asked: MonoMs,
    /// The same by the wall clock.
    pub asked_unix: UnixMs,
}

/// Answer of a controller whose state was confirmed when it read the question. Others do not answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateConfirmation {
    /// The question, as it was received.
    pub question: StateQuestion,
    /// Version of the document in force.
    pub document_version: u64,
    /// Revision of the list of software versions in force.
    pub software_revision: u64,
}

/// A message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
    /// Handshake.
    Hello(Hello),
    /// Keeps the link alive.
    Ping,
    /// The sender shuts down and is expected to return.
    Leaving,
    /// Message of the replicated log.
    Raft(Envelope),
    /// Status of a controller.
    Status(ControlStatus),
    /// Requests the document.
    PullDocument,
    /// The document.
    Document(DocumentUpdate),
    /// Versions of all adapters.
    AdapterVersions(Vec<(ModelName, u64)>),
    /// Changes of backend servers.
    Servers(ServerUpdate),
    /// Residency of adapters.
    Residency(ResidencyUpdate),
    /// Loads of the engines of a data centre.
    Loads(LoadUpdate),
    /// Limits of backend servers.
    ServerLimits(Vec<ServerLimit>),
    /// Crashes of backend servers and what may have caused them.
    Crashes(Vec<CrashReport>),
    /// Features that did not cause crashes.
    CrashCleared(Vec<ClearedFeature>),
    /// Demand for adapters on the engines of a data centre.
    #[serde(rename = "Wants")]
    AdapterDemands(DataCentre, Vec<AdapterDemand>),
    /// Use of adapters.
    Uses(Vec<AdapterUse>),
    /// Requests tokens, with a request number.
    Borrow(u64, BorrowRequest),
    /// Reply to the token request with this number.
    Borrowed(u64, BorrowReply),
    /// Services none of whose servers the sender can connect to.
    CutOff(Vec<ServiceName>),
    /// Entry VMs that are linked to the sender.
    EntryVms(EntryVmUpdate),
    /// Streams that have begun, and where.
    StreamsBegun(Vec<StreamBegin>),
    /// Asks where a stream began, with a request number.
    FindStream(u64, StreamKey),
    /// Reply to the question with this number; `None` if the origin is not known.
    StreamFound(u64, Option<StreamOrigin>),
    /// Asks whether the receiver's state is in force.
    AskState(StateQuestion),
    /// Reply to this question: it is.
    StateConfirmed(StateConfirmation),
}

impl Frame {
    /// Encodes the frame without the length prefix.
    pub fn encode(&self) -> Bytes {
        let mut bytes = bincode::serialize(self).expect(INFALLIBLE);
        if let Self::Raft(envelope) = self {
            // Builds without stamps ignore what follows the envelope.
            bincode::serialize_into(&mut bytes, &envelope.stamps).expect(INFALLIBLE);
        }
        Bytes::from(bytes)
    }

    /// Decodes a frame without the length prefix.
    ///
    /// # Errors
    /// The bytes are not a frame of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes).map_err(|source| FrameError {
            bytes: bytes.len(),
            source,
        })
    }
}

fn decode(bytes: &[u8]) -> bincode::Result<Frame> {
    let mut frame = bincode::deserialize(bytes)?;
    if let Frame::Raft(envelope) = &mut frame {
        let envelope_bytes = bincode::serialized_size(&*envelope)? as usize;
        let stamps = bytes.get(KIND_BYTES + envelope_bytes..).unwrap_or_default();
        // A build without stamps ends the frame with the envelope.
        if !stamps.is_empty() {
            envelope.stamps = bincode::deserialize(stamps)?;
        }
    }
    Ok(frame)
}
