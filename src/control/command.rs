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
    /// A VM enters the roster. Proposed by the VM itself until it is applied.
    JoinVm {
        /// The VM.
        vm: VmName,
        /// Its data centre.
        data_centre: DataCentre,
        /// When it was proposed.
        at: UnixMs,
    },
    /// A VM of the roster has seen `revision` and follows its roster.
    AcknowledgeRoster {
        /// The VM.
        vm: VmName,
        /// Revision that the VM has applied.
        revision: u64,
        /// When it was proposed.
        at: UnixMs,
    },
    /// A key that was withdrawn locally while the log was out of reach.
    WithdrawGossiped {
        /// Hash of the key.
        key_hash: KeyHash,
        /// When it was proposed.
        at: UnixMs,
    },
    /// A caller's order.
    Order(OrderCommand),
    /// A patient job.
    Job(JobCommand),
    /// The process of `vm` with this or an earlier incarnation has ended.
    OwnerLost {
        /// The VM.
        vm: VmName,
        /// Highest incarnation that has ended.
        incarnation: u64,
    },
    /// No data centre uses limits from before the entry at `index` any more.
    SettleLimits {
        /// Settled index, see [`crate::limits::Settlement`].
        index: u64,
    },
    /// The wall clock of the log's leader; expires orders and jobs.
    Tick {
        /// Wall clock of the proposer.
        now: UnixMs,
    },
    /// A change of the fleet's shared state.
    Fleet(FleetCommand),
}

/// An administrative change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Chosen by the client; a resend repeats it.
    pub change_id: ChangeId,
    /// Revision that the client saw.
    pub base_revision: u64,
    /// When it was proposed.
    pub at: UnixMs,
    /// Operator that asked for it.
    pub operator: Arc<str>,
    /// What to change.
    pub action: Action,
}

/// What an administrative change does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// Creates or replaces a template. Accounts made from it follow.
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
        /// Template to follow.
        template: TemplateName,
        /// Deviations from the template.
        overrides: Overrides,
    },
    /// Replaces the template and all overrides of an existing account.
    SetAccount {
        /// Name of the account.
        name: AccountName,
        /// Template to follow.
        template: TemplateName,
        /// Deviations from the template.
        overrides: Overrides,
    },
    /// Grants a key to an account.
    GrantKey {
        /// Name of the account.
        account: AccountName,
        /// Hash of the key.
        key_hash: KeyHash,
    },
    /// Withdraws a key. Takes effect whatever the base revision is.
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
        /// Parts per million of rate and burst.
        shares_ppm: BTreeMap<DataCentre, u32>,
    },
    /// Removes a VM from the roster.
    RemoveVm {
        /// The VM.
        vm: VmName,
        /// Skips the acknowledgements of the old roster. Safe only if the VMs that cannot
        /// acknowledge have stopped for good.
        force: bool,
    },
}

impl Action {
    /// Whether the action takes effect whatever the base revision is. A withdrawal only adds to a
    /// grow-only set, so it cannot undo a change that the operator did not see.
    pub fn ignores_base_revision(&self) -> bool {
        matches!(self, Self::WithdrawKey { .. })
    }
}

/// A value that was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[snafu(display("{field} is {value:?}; allowed: {allowed}"))]
pub struct FieldError {
    /// Name of the field.
    pub field: String,
    /// Value that was found. Never a key.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl FieldError {
    /// Names the field, the value found and what is allowed.
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

/// What a command did.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The change is part of the state.
    Applied {
        /// Revision that holds the change.
        revision: u64,
        /// Object that was changed, such as `account/acme` or `key/k-0123456789abcdef`.
        object: String,
    },
    /// Another change had the same base revision and came first.
    Conflict {
        /// Revision of the state.
        current_revision: u64,
        /// The change that followed the base revision, if the history still holds it.
        winner_change_id: Option<ChangeId>,
    },
    /// The change was refused because of a value.
    Invalid(FieldError),
    /// Reply to an order command.
    Order(OrderReply),
    /// Reply to a job command.
    Job(JobReply),
    /// What the loss of an owner changed.
    OwnerLost {
        /// Orders whose outcome is unknown now.
        orders_unknown: usize,
        /// Jobs that may be claimed again.
        jobs_requeued: usize,
        /// Jobs whose outcome is unknown now.
        jobs_unknown: usize,
    },
    /// The command was taken note of.
    Noted,
    /// The entry's index is not above the last one that was applied.
    AlreadyApplied,
    /// Reply to a fleet command.
    Fleet(FleetReply),
}
