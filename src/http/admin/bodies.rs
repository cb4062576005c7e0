//! Bodies of requests to the administration API.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Names a change and the revision that it is based on.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRef {
    /// Chosen by the client and repeated when it resends the change.
    pub change_id: String,
    /// Revision that the client saw; the current one if left out.
    #[serde(default)]
    pub base_revision: Option<u64>,
}

/// A patience class.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PatienceName {
    /// A person waits for the answer.
    Urgent,
    /// The answer is due by a deadline.
    Patient,
}

/// What a data centre that is cut off from the log does with an account's requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CutOffName {
    /// Serve on the last state.
    Serve,
    /// Refuse as not run.
    Refuse,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteAccess {
    /// Anybody.
    Open,
    /// Callers with a live key.
    Keyed,
}

/// Parameters of a template, or the effective parameters of an account.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ParametersBody {
    /// Most live keys.
    pub max_keys: u32,
    /// Tokens per second over all VMs.
    pub rate_tokens_per_s: u64,
    /// Tokens above the rate in any window.
    pub burst_tokens: u64,
    /// Weight in the fair queue.
    pub weight: u32,
    /// Patterns such as `base:frames-*`.
    pub adapter_sets: Vec<String>,
    /// Patience classes on offer.
    pub patience: BTreeSet<PatienceName>,
    /// Behaviour while cut off from the log.
    pub when_cut_off: CutOffName,
}

/// Deviations of an account from its template; what is left out follows the template.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverridesBody {
    /// Most live keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_keys: Option<u32>,
    /// Tokens per second over all VMs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_tokens_per_s: Option<u64>,
    /// Tokens above the rate in any window.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst_tokens: Option<u64>,
    /// Weight in the fair queue.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Patterns such as `base:frames-*`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter_sets: Option<Vec<String>>,
    /// Patience classes on offer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub patience: Option<BTreeSet<PatienceName>>,
    /// Behaviour while cut off from the log.
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
    /// Deviations from the template.
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
    /// Deviations from the template.
    #[serde(default)]
    pub overrides: OverridesBody,
}

/// Sets the shares of an account.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SharesBody {
    /// The change.
    pub change: ChangeRef,
    /// Parts per million per data centre; empty restores equal shares.
    pub shares_ppm: BTreeMap<String, u32>,
}

/// Grants a key.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GrantBody {
    /// The change.
    pub change: ChangeRef,
    /// The key, 32 to 256 printable characters. Drawn by the server if left out; the first answer
    /// shows it then, and an answer to a resend does not.
    #[serde(default)]
    pub key: Option<String>,
}

/// Withdraws a key, which exactly one of the fields names.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawalBody {
    /// The change. Its base revision is not compared.
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
    /// Service that answers.
    pub service: String,
    /// Path prefix below the service.
    pub path_prefix: String,
    /// Methods in capitals.
    pub methods: BTreeSet<String>,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Whether a call may be sent a second time after a failure.
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
    /// have stopped for good.
    #[serde(default)]
    pub force: bool,
}
