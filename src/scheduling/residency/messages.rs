//! Residency messages between VMs and coordinators.

use serde::Deserialize;
use serde::Serialize;

use crate::scheduling::popularity::PopularitySummary;
use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::ServerName;
use crate::types::VmName;

/// Format version of [`TablePull`] and [`Table`].
pub const FORMAT: u16 = 1;

/// Version of a table. A new coordinator has a higher term.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TableVersion {
    /// Term of the coordinator lease.
    pub term: u64,
    /// Number of changes in this term.
    pub change: u64,
}

/// Requests in flight from one VM on one adapter of one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InUse {
    /// The engine.
    pub server: ServerName,
    /// The adapter.
    pub adapter: AdapterRef,
    /// Requests in flight.
    pub requests: u32,
}

/// Requests queued on one VM for an adapter that cannot be dispatched to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingAdapter {
    /// The adapter.
    pub adapter: AdapterRef,
    /// Urgent requests, including patient ones with little slack.
    pub urgent: u32,
    /// Patient requests.
    pub patient: u32,
    /// Reserved tokens of all these requests.
    pub tokens: u64,
    /// Milliseconds until the most pressing request must start to meet its deadline.
    pub slack_ms: u64,
    /// Milliseconds for which the oldest request has waited.
    pub waited_ms: u64,
    /// Engine preferred by the VM's routing policy, if any.
    pub preferred: Option<ServerName>,
}

/// Request of a VM for the table of a data centre. Acknowledges the version that it has cached.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TablePull {
    /// [`FORMAT`].
    pub format: u16,
    /// The VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub vm_data_centre: DataCentre,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Milliseconds since this incarnation started. The coordinator treats adapters used by an
    /// earlier incarnation as in use until its requests must have ended.
    pub up_ms: u64,
    /// Version that the VM has applied, if any.
    pub known: Option<TableVersion>,
    /// Requests in flight on the engines of this data centre when the pull was created.
    pub in_use: Vec<InUse>,
    /// Adapters that the VM asks this data centre to load, in the order of its fair queue.
    pub waiting: Vec<WaitingAdapter>,
    /// Popularity summary. Sent less often than pulls.
    pub popularity: Option<PopularitySummary>,
    /// The VM is shutting down and dispatches no more requests.
    pub leaving: bool,
}

/// State of an adapter on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Residency {
    /// A load was ordered and has not finished.
    Loading,
    /// Requests may be dispatched.
    Resident,
    /// Requests in flight may finish; new ones must not be dispatched.
    Draining,
}

/// Adapters of one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineRow {
    /// The engine.
    pub server: ServerName,
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Adapter slots of the engine.
    pub slots: u32,
    /// Adapters that occupy a slot.
    pub adapters: Vec<(AdapterRef, Residency)>,
}

/// Reply to a [`TablePull`]: the rows that changed since the version that the VM has applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    /// [`FORMAT`].
    pub format: u16,
    /// Data centre of the engines.
    pub data_centre: DataCentre,
    /// Version after this reply is applied.
    pub version: TableVersion,
    /// Base version of this delta; `None` if `rows` is the whole table.
    pub since: Option<TableVersion>,
    /// Validity in milliseconds, counted from before the pull was sent.
    pub valid_ms: u64,
    /// Loads waiting for the weight store. VMs use it to choose another data centre.
    pub backlog_loads: u32,
    /// Changed rows.
    pub rows: Vec<EngineRow>,
    /// Removed engines.
    pub removed: Vec<ServerName>,
}
