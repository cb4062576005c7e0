//! Bodies of requests to the administration API.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a change and the revision that it is based on.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRef {
    /// Identifier chosen by the client; the same in every resend of the change.
    pub change_id: String,
    /// Revision that the change is based on. Defaults to the current revision.
    #[serde(default)]
    pub base_revision: Option<u64>,
}

/// A patience class.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PatienceName {
    /// Interactive: the client waits for the response.
    Urgent,
    /// The result is due by a deadline.
    Patient,
}

/// Handling of an account's requests in a data centre that is cut off from the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CutOffName {
    /// Serve requests based on the last known state.
    Serve,
    /// Refuse requests without running them.
    Refuse,
}

/// Access control of a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteAccess {
    /// Any caller.
    Open,
    /// Callers with a valid key.
    Keyed,
}

/// Parameters of a template, or the effective parameters of an account.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ParametersBody {
    /// Maximum number of valid keys.
    pub max_keys: u32,
    /// Rate limit in tokens per second, summed over all VMs.
    pub rate_tokens_per_s: u64,
    /// Tokens allowed above the rate in any window.
    pub burst_tokens: u64,
    /// Weight in the fair queue.
    pub weight: u32,
    /// Patterns of allowed adapters, such as `base:frames-*`.
    pub adapter_sets: Vec<String>,
    /// Allowed patience classes.
    pub patience: BTreeSet<PatienceName>,
    /// Handling of requests while a data centre is cut off from the log.
    pub when_cut_off: CutOffName,
}

/// Overrides of template parameters for an account. Omitted fields follow the template.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverridesBody {
    /// Maximum number of valid keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_keys: Option<u32>,
    /// Rate limit in tokens per second, summed over all VMs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_tokens_per_s: Option<u64>,
    /// Tokens allowed above the rate in any window.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst_tokens: Option<u64>,
    /// Weight in the fair queue.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Patterns of allowed adapters, such as `base:frames-*`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter_sets: Option<Vec<String>>,
    /// Allowed patience classes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub patience: Option<BTreeSet<PatienceName>>,
    /// Handling of requests while a data centre is cut off from the log.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub when_cut_off: Option<CutOffName>,
}

/// Sets a template.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TemplateBody {
    /// The change.
    pub change: ChangeRef,
    /// All parameters.
    pub parameters: ParametersBody,
}

/// Creates an account.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NewAccountBody {
    /// The change.
    pub change: ChangeRef,
    /// Name of the account.
    pub name: String,
    /// Template to follow.
    pub template: String,
    /// Overrides of template parameters.
    #[serde(default)]
    pub overrides: OverridesBody,
}

/// Replaces template and overrides of an account.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountBody {
    /// The change.
    pub change: ChangeRef,
    /// Template to follow.
    pub template: String,
    /// Overrides of template parameters.
    #[serde(default)]
    pub overrides: OverridesBody,
}

/// Sets the shares of an account.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SharesBody {
    /// The change.
    pub change: ChangeRef,
    /// Shares in parts per million by data centre. An empty map restores equal shares.
    pub shares_ppm: BTreeMap<String, u32>,
}

/// Grants a key.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GrantBody {
    /// The change.
    pub change: ChangeRef,
    /// The key, 32 to 256 printable characters. If omitted, the server generates a key and returns
    /// it in the first response; responses to resends do not contain it.
    #[serde(default)]
    pub key: Option<String>,
}

/// Withdraws a key, identified by exactly one of the fields.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawalBody {
    /// The change. Its base revision is not checked.
    pub change: ChangeRef,
    /// Public id of the key.
    #[serde(default)]
    pub key_id: Option<String>,
    /// SHA-256 of the key in hexadecimal digits.
    #[serde(default)]
    pub key_sha256: Option<String>,
    /// The key.
    #[serde(default)]
    pub key: Option<String>,
}

/// Values of a route.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteFields {
    /// Service that handles the requests.
    pub service: String,
    /// Path prefix within the service.
    pub path_prefix: String,
    /// HTTP methods in upper case.
    pub methods: BTreeSet<String>,
    /// Access control of the route.
    pub access: RouteAccess,
    /// Whether a call may be retried after a failure.
    pub repeatable: bool,
}

/// Sets a route.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteBody {
    /// The change.
    pub change: ChangeRef,
    /// All values.
    pub route: RouteFields,
}

/// Removes an object.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RemovalBody {
    /// The change.
    pub change: ChangeRef,
}

/// Removes a VM from the roster.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmRemovalBody {
    /// The change.
    pub change: ChangeRef,
    /// Skips the acknowledgements of the old roster. Safe only if the VMs that cannot acknowledge
    /// have stopped permanently.
    #[serde(default)]
    pub force: bool,
}
