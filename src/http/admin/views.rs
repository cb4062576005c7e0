//! Bodies of responses of the administration API.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::http::admin::OverridesBody;
use crate::http::admin::ParametersBody;
use crate::http::admin::RouteFields;

/// Status of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeStatus {
    /// Every data centre that may still serve has applied the change.
    Accepted,
    /// Committed to the log, but not yet applied by some data centres.
    Committed,
    /// A withdrawal that reachable VMs have applied but that is not yet committed to the log.
    Local,
}

/// Whether a VM has applied a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmProgressState {
    /// The VM has applied the change.
    InForce,
    /// The VM is not known to have applied the change.
    Pending,
}

/// Progress of a change on one VM.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct VmProgress {
    /// The VM.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether the VM has applied the change.
    pub state: VmProgressState,
    /// Last revision that the VM reported; absent if the VM is unreachable.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// Result of a change.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct ChangeView {
    /// Id of the change.
    pub change_id: String,
    /// Status of the change.
    pub status: ChangeStatus,
    /// Revision that contains the change; absent while the status is `local`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Object that was changed, such as `account/acme`.
    pub object: String,
    /// Progress of every VM of the roster.
    pub vms: Vec<VmProgress>,
    /// Public id of a granted key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_id: Option<String>,
    /// The granted key, only in the first response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// One template.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct TemplateView {
    /// Revision of the state that was read.
    pub revision: u64,
    /// Name of the template.
    pub name: String,
    /// All parameters.
    pub parameters: ParametersBody,
}

/// All templates.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct TemplatesView {
    /// Revision of the state that was read.
    pub revision: u64,
    /// The templates.
    pub templates: Vec<TemplateView>,
}

/// One account.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct AccountView {
    /// Revision of the state that was read.
    pub revision: u64,
    /// Name of the account.
    pub name: String,
    /// Template that it follows.
    pub template: String,
    /// Overrides of template parameters.
    pub overrides: OverridesBody,
    /// Effective parameters.
    pub parameters: ParametersBody,
    /// Effective shares in parts per million by data centre.
    pub shares_ppm: BTreeMap<String, u32>,
    /// Whether the shares are the default.
    pub equal_shares: bool,
}

/// All accounts.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct AccountsView {
    /// Revision of the state that was read.
    pub revision: u64,
    /// The accounts.
    pub accounts: Vec<AccountView>,
}

/// One key of an account.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct KeyView {
    /// Public id.
    pub key_id: String,
    /// Whether the key is withdrawn.
    pub withdrawn: bool,
}

/// All keys of an account.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct KeysView {
    /// Revision of the state that was read.
    pub revision: u64,
    /// Name of the account.
    pub account: String,
    /// The keys.
    pub keys: Vec<KeyView>,
}

/// One route.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct RouteView {
    /// Name of the route.
    pub name: String,
    /// Its values.
    pub route: RouteFields,
}

/// All routes.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct RoutesView {
    /// Revision of the state that was read.
    pub revision: u64,
    /// The routes.
    pub routes: Vec<RouteView>,
}

/// One VM of the roster.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct RosterVmView {
    /// The VM.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether its removal waits for acknowledgements.
    pub leaving: bool,
}

/// A roster change that is pending until it is acknowledged.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct RosterPendingView {
    /// Data centre whose roster changes.
    pub data_centre: String,
    /// VM that joins or leaves.
    pub vm: String,
    /// Whether the VM leaves.
    pub is_removal: bool,
    /// VMs that have not acknowledged. A majority of the old roster is sufficient.
    pub missing: Vec<String>,
}

/// The roster.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct RosterView {
    /// Revision of the state that was read.
    pub revision: u64,
    /// The VMs.
    pub vms: Vec<RosterVmView>,
    /// Pending changes, at most one per data centre.
    pub pending: Vec<RosterPendingView>,
}

/// One change of the history.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct HistoryEntryView {
    /// Revision that the change created.
    pub revision: u64,
    /// Id of the change. Ids of automatic changes by VMs start with `auto:`.
    pub change_id: String,
    /// Time of the proposal in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Operator or VM that made the change.
    pub operator: String,
    /// Object that was changed.
    pub object: String,
}

/// Entries of the change history, oldest first.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct HistoryView {
    /// Revision of the state that was read.
    pub revision: u64,
    /// The changes.
    pub changes: Vec<HistoryEntryView>,
}

/// One field that differs.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct DiffLineView {
    /// The object.
    pub object: String,
    /// The field within it.
    pub field: String,
    /// Value at the earlier revision.
    pub before: Option<String>,
    /// Value at the later revision.
    pub after: Option<String>,
}

/// Differences between two revisions.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct DiffView {
    /// The earlier revision.
    pub from: u64,
    /// The later revision.
    pub to: u64,
    /// Fields that differ.
    pub lines: Vec<DiffLineView>,
}

/// One job.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct JobView {
    /// Id of the job.
    pub job: String,
    /// Account that submitted it.
    pub account: String,
    /// `queued`, `running`, `done`, `cancelled`, `missed` or `unknown`.
    pub status: String,
    /// Last attempt; 0 before the first.
    pub attempt: u32,
    /// Deadline of the job in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// Time until which the record is kept, in milliseconds since the Unix epoch.
    pub keep_until_unix_ms: u64,
}

/// A page of jobs, ordered by id.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct JobsView {
    /// Total number of recorded jobs.
    pub total: u64,
    /// The jobs.
    pub jobs: Vec<JobView>,
}

/// One quarantined or suspected request.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct QuarantineEntryView {
    /// Fingerprint of account, adapter and body.
    pub fingerprint: String,
    /// Number of reported crashes.
    pub crashes: u32,
    /// End of the quarantine in milliseconds since the Unix epoch; absent for a suspect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until_unix_ms: Option<u64>,
}

/// Quarantined and suspected requests.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct QuarantineView {
    /// The requests.
    pub entries: Vec<QuarantineEntryView>,
}

/// State of the VM that responds and progress of all VMs.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct StatusView {
    /// Revision that this VM has applied.
    pub revision: u64,
    /// Last log entry that this VM has applied.
    pub applied_index: u64,
    /// Time of the replicated state, which expiry is based on, in milliseconds since the Unix
    /// epoch.
    pub state_time_unix_ms: u64,
    /// Number of accounts.
    pub accounts: u64,
    /// Number of order records that have not expired.
    pub orders: u64,
    /// Number of expired order records.
    pub order_tombstones: u64,
    /// Number of jobs.
    pub jobs: u64,
    /// Progress of every VM of the roster towards the revision of this VM.
    pub vms: Vec<VmProgress>,
}
