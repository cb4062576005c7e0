//! Commands of the replicated log and their outcomes.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::control::FleetCommand;
use crate::control::FleetReply;
use crate::control::JobCommand;
use crate::control::JobReply;
use crate::control::KeyHash;
use crate::control::OrderCommand;
use crate::control::OrderReply;
use crate::control::Overrides;
use crate::control::Parameters;
use crate::control::Route;
use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::TemplateName;
use crate::types::UnixMs;
use crate::types::VmName;

/// Id that a client chooses for an administrative change and repeats when it resends the change.
pub type ChangeId = Arc<str>;

/// One entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// An administrative change.
    Change(Change),
    /// Adds a VM to the roster. The VM itself proposes it until it is applied.
    JoinVm {
        /// The VM.
        vm: VmName,
        /// Its data centre.
        data_centre: DataCentre,
        /// Time of the proposal.
        at: UnixMs,
    },
    /// A VM of the roster has applied `revision` and uses its roster.
    AcknowledgeRoster {
        /// The VM.
        vm: VmName,
        /// Revision that the VM has applied.
        revision: u64,
        /// Time of the proposal.
        at: UnixMs,
    },
    /// Withdraws a key that was withdrawn locally while the log was unreachable.
    WithdrawGossiped {
        /// Hash of the key.
        key_hash: KeyHash,
        /// Time of the proposal.
        at: UnixMs,
    },
    /// A command about a caller's order.
    Order(OrderCommand),
    /// A command about a patient job.
    Job(JobCommand),
    /// The processes of `vm` up to this incarnation have ended.
    OwnerLost {
        /// The VM.
        vm: VmName,
        /// Highest incarnation that has ended.
        incarnation: u64,
    },
    /// No data centre uses limits from before the entry at `index` any longer.
    SettleLimits {
        /// Settled index; see [`crate::limits::Settlement`].
        index: u64,
    },
    /// Wall clock time of the log's leader, by which orders and jobs expire.
    Tick {
        /// Wall clock time of the proposer.
        now: UnixMs,
    },
    /// A change of the state that the controllers share.
    Fleet(FleetCommand),
}

/// An administrative change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Chosen by the client; a resend repeats it.
    pub change_id: ChangeId,
    /// Revision that the client saw.
    pub base_revision: u64,
    /// Time of the proposal.
    pub at: UnixMs,
    /// Operator that requested it.
    pub operator: Arc<str>,
    /// The action to apply.
    pub action: Action,
}

/// The action of an administrative change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// Creates or replaces a template. Accounts that use it are updated.
    SetTemplate {
        /// Name of the template.
        name: TemplateName,
        /// All its parameters.
        parameters: Parameters,
    },
    /// Creates an account; fails if it exists.
    CreateAccount {
        /// Name of the account.
        name: AccountName,
        /// Template of the account.
        template: TemplateName,
        /// Overrides of the template's parameters.
        overrides: Overrides,
    },
    /// Replaces the template and all overrides of an existing account.
    SetAccount {
        /// Name of the account.
        name: AccountName,
        /// Template of the account.
        template: TemplateName,
        /// Overrides of the template's parameters.
        overrides: Overrides,
    },
    /// Grants a key to an account.
    GrantKey {
        /// Name of the account.
        account: AccountName,
        /// Hash of the key.
        key_hash: KeyHash,
    },
    /// Withdraws a key. Takes effect regardless of the base revision.
    WithdrawKey {
        /// Hash of the key.
        key_hash: KeyHash,
    },
    /// Creates or replaces a route.
    SetRoute {
        /// Name of the route.
        name: Arc<str>,
        /// All its values.
        route: Route,
    },
    /// Removes a route.
    RemoveRoute {
        /// Name of the route.
        name: Arc<str>,
    },
    /// Sets the shares of an account per data centre; an empty map restores equal shares.
    SetShares {
        /// Name of the account.
        account: AccountName,
        /// Shares of rate and burst, in parts per million.
        shares_ppm: BTreeMap<DataCentre, u32>,
    },
    /// Removes a VM from the roster.
    RemoveVm {
        /// The VM.
        vm: VmName,
        /// Whether to skip the acknowledgements of the old roster. This is safe only if the VMs
        /// that cannot acknowledge have stopped permanently.
        force: bool,
    },
}

impl Action {
    /// Whether the action takes effect regardless of the base revision. A withdrawal only adds to a
    /// grow-only set, so it cannot undo a change that the operator did not see.
    pub fn ignores_base_revision(&self) -> bool {
        matches!(self, Self::WithdrawKey { .. })
    }
}

/// A refused value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[snafu(display("{field} is {value:?}; allowed: {allowed}"))]
pub struct FieldError {
    /// Name of the field.
    pub field: String,
    /// The refused value. Never contains a key.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl FieldError {
    /// An error for the given field, refused value and description of the allowed values.
    pub fn new(
        field: impl Into<String>,
        value: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            value: value.into(),
            allowed: allowed.into(),
        }
    }
}

/// Outcome of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The change is part of the state.
    Applied {
        /// Revision that contains the change.
        revision: u64,
        /// The changed object, such as `account/acme` or `key/k-0123456789abcdef`.
        object: String,
    },
    /// Another change had the same base revision and came first.
    Conflict {
        /// Current revision of the state.
        current_revision: u64,
        /// The change that followed the base revision, if the history still contains it.
        winner_change_id: Option<ChangeId>,
    },
    /// The change was refused because of a value.
    Invalid(FieldError),
    /// Reply to an order command.
    Order(OrderReply),
    /// Reply to a job command.
    Job(JobReply),
    /// Effects of the end of an owner's process.
    OwnerLost {
        /// Number of orders whose outcome became unknown.
        orders_unknown: usize,
        /// Number of jobs that may be claimed again.
        jobs_requeued: usize,
        /// Number of jobs whose outcome became unknown.
        jobs_unknown: usize,
    },
    /// The command was applied and has no reply.
    Noted,
    /// The entry's index is not above the last applied index.
    AlreadyApplied,
    /// Reply to a fleet command.
    Fleet(FleetReply),
}
