//! Messages between VMs and coordinators about residency.

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

/// Work that waits on one VM for an adapter that it cannot dispatch to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingAdapter {
    /// The adapter.
    pub adapter: AdapterRef,
    /// Urgent requests, patient ones with little slack included.
    pub urgent: u32,
    /// Patient requests.
    pub patient: u32,
    /// Reserved tokens of all of them.
    pub tokens: u64,
    /// Milliseconds until the first of them must start to meet its deadline.
    pub slack_ms: u64,
    /// Milliseconds for which the first of them has waited.
    pub waited_ms: u64,
    /// Engine that the VM's routing policy asks for, if it names one.
    pub preferred: Option<ServerName>,
}

/// Request of a VM for the table of a data centre. Acknowledges the version it holds.
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
    /// Milliseconds since this incarnation started. Until requests of an earlier incarnation must
    /// have ended, the coordinator treats them as in use.
    pub up_ms: u64,
    /// Version that the VM holds and has put in force, if any.
    pub known: Option<TableVersion>,
    /// Requests in flight on this data centre's engines when the pull was made.
    pub in_use: Vec<InUse>,
    /// Adapters that the VM asks this data centre to load, in the fair order of its queue.
    pub waiting: Vec<WaitingAdapter>,
    /// Popularity summary, sent at longer intervals than the pull.
    pub popularity: Option<PopularitySummary>,
    /// The VM shuts down and dispatches nothing more.
    pub leaving: bool,
}

/// State of an adapter on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Residency {
    /// A load has been ordered and has not ended.
    Loading,
    /// Requests may be dispatched.
    Resident,
    /// Requests in flight may end; no new ones may be dispatched.
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
    /// Adapters that take a slot.
    pub adapters: Vec<(AdapterRef, Residency)>,
}

/// Reply to a [`TablePull`]: the rows that changed since the version the VM holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    /// [`FORMAT`].
    pub format: u16,
    /// Data centre of the engines.
    pub data_centre: DataCentre,
    /// Version after this reply is applied.
    pub version: TableVersion,
    /// Version that the reply builds on; `None` if `rows` is the whole table.
    pub since: Option<TableVersion>,
    /// Milliseconds of validity, counted from before the pull was sent.
    pub valid_ms: u64,
    /// Loads that wait for the store, so that VMs can ask another data centre.
    pub backlog_loads: u32,
    /// Rows that changed.
    pub rows: Vec<EngineRow>,
    /// Engines that are gone.
    pub removed: Vec<ServerName>,
}
