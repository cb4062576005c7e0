//! Templates and the client accounts based on them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::control::FieldError;
use crate::types::AccountName;
use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::Patience;
use crate::types::TemplateName;
use crate::types::Tokens;

/// Maximum number of live keys of one account.
pub const MAX_KEYS_PER_ACCOUNT: u32 = 1_000;
/// Maximum number of adapter patterns of one account. Every request is matched against all of them.
pub const MAX_ADAPTER_PATTERNS: usize = 64;
/// Maximum weight in the fair queue.
pub const MAX_WEIGHT: u32 = 1_000;
/// Maximum rate and burst, chosen so that products with parts per million fit into 64 bits.
pub const MAX_RATE_TOKENS: Tokens = 1_000_000_000_000;
/// Sum of the shares of a whole, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// A set of adapters of one base model, written `base:adapter` or `base:prefix*`; `base` may be
/// `*`. A pattern covers every version of the adapters it names.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AdapterPattern(Arc<str>);

impl AdapterPattern {
    /// Creates a pattern without validation; [`Parameters::check`] reports a malformed pattern.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The pattern as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the pattern matches `adapter`.
    pub fn matches(&self, adapter: &AdapterRef) -> bool {
        let Some((base, name)) = self.0.split_once(':') else {
            return false;
        };
        if base != "*" && base != adapter.base() {
            return false;
        }
        match name.strip_suffix('*') {
            Some(prefix) => adapter.adapter().starts_with(prefix),
            None => name == adapter.adapter(),
        }
    }

    fn is_well_formed(&self) -> bool {
        let Some((base, name)) = self.0.split_once(':') else {
            return false;
        };
        let stem = name.strip_suffix('*').unwrap_or(name);
        !base.is_empty()
            && !name.is_empty()
            && (base == "*" || !base.contains('*'))
            && !stem.contains(['*', '@'])
            && self.0.len() <= 256
    }
}

/// How a VM handles an account's requests while its data centre cannot reach the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CutOffPolicy {
    /// Serve them by the last known state, within the share of the data centre.
    Serve,
    /// Refuse them as not run.
    Refuse,
}

/// Parameters of an account, set by its template and overridden individually.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Parameters {
    /// Maximum number of live keys. Lowering it withdraws no keys; it only prevents further grants.
    pub max_keys: u32,
    /// Tokens per second over all VMs.
    pub rate_tokens_per_s: Tokens,
    /// Tokens that may be used above the rate in any time window.
    pub burst_tokens: Tokens,
    /// Weight in the fair queue, at least 1.
    pub weight: u32,
    /// Adapters that the account may use.
    pub adapter_sets: Vec<AdapterPattern>,
    /// Patience classes that the account may use.
    pub patience: BTreeSet<Patience>,
    /// Handling of requests while the data centre cannot reach the log.
    pub when_cut_off: CutOffPolicy,
}

impl Parameters {
    /// Whether the account may use `adapter`.
    pub fn allows_adapter(&self, adapter: &AdapterRef) -> bool {
        self.adapter_sets.iter().any(|set| set.matches(adapter))
    }

    /// Checks all values.
    ///
    /// # Errors
    ///
    /// Returns an error for the first value that is not allowed.
    pub fn check(&self) -> Result<(), FieldError> {
        check_range(
            "max_keys",
            u64::from(self.max_keys),
            1,
            u64::from(MAX_KEYS_PER_ACCOUNT),
        )?;
        check_range(
            "rate_tokens_per_s",
            self.rate_tokens_per_s,
            1,
            MAX_RATE_TOKENS,
        )?;
        check_range("burst_tokens", self.burst_tokens, 1, MAX_RATE_TOKENS)?;
        check_range("weight", u64::from(self.weight), 1, u64::from(MAX_WEIGHT))?;
        check_patterns(&self.adapter_sets)?;
        if self.patience.is_empty() {
            return Err(FieldError::new("patience", "", "urgent, patient or both"));
        }
        Ok(())
    }
}

fn check_range(field: &str, value: u64, low: u64, high: u64) -> Result<(), FieldError> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    let allowed = format!("a whole number from {low} to {high}");
    Err(FieldError::new(field, value.to_string(), allowed))
}

fn check_patterns(sets: &[AdapterPattern]) -> Result<(), FieldError> {
    if sets.len() > MAX_ADAPTER_PATTERNS {
        let allowed = format!("at most {MAX_ADAPTER_PATTERNS} patterns");
        let found = format!("{} patterns", sets.len());
        return Err(FieldError::new("adapter_sets", found, allowed));
    }
    match sets.iter().find(|set| !set.is_well_formed()) {
        Some(set) => Err(FieldError::new(
            "adapter_sets",
            set.as_str(),
            "base:adapter or base:prefix* without a version; base may be *",
        )),
        None => Ok(()),
    }
}

/// Overrides of one account; `None` uses the value of the template.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Overrides {
    /// Replaces [`Parameters::max_keys`].
    pub max_keys: Option<u32>,
    /// Replaces [`Parameters::rate_tokens_per_s`].
    pub rate_tokens_per_s: Option<Tokens>,
    /// Replaces [`Parameters::burst_tokens`].
    pub burst_tokens: Option<Tokens>,
    /// Replaces [`Parameters::weight`].
    pub weight: Option<u32>,
    /// Replaces [`Parameters::adapter_sets`] as a whole.
    pub adapter_sets: Option<Vec<AdapterPattern>>,
    /// Replaces [`Parameters::patience`] as a whole.
    pub patience: Option<BTreeSet<Patience>>,
    /// Replaces [`Parameters::when_cut_off`].
    pub when_cut_off: Option<CutOffPolicy>,
}

impl Overrides {
    /// The template's parameters with these overrides.
    pub fn effective(&self, template: &Parameters) -> Parameters {
        Parameters {
            max_keys: self.max_keys.unwrap_or(template.max_keys),
            rate_tokens_per_s: self.rate_tokens_per_s.unwrap_or(template.rate_tokens_per_s),
            burst_tokens: self.burst_tokens.unwrap_or(template.burst_tokens),
            weight: self.weight.unwrap_or(template.weight),
            adapter_sets: self
                .adapter_sets
                .clone()
                .unwrap_or_else(|| template.adapter_sets.clone()),
            patience: self
                .patience
                .clone()
                .unwrap_or_else(|| template.patience.clone()),
            when_cut_off: self.when_cut_off.unwrap_or(template.when_cut_off),
        }
    }
}

/// A client account as an operator set it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountRecord {
    /// Template of the account.
    pub template: TemplateName,
    /// Overrides of the template's parameters.
    pub overrides: Overrides,
    /// Shares of rate and burst per data centre, in parts per million. An empty map divides them
    /// equally among the data centres of the roster; otherwise a data centre that is not listed has
    /// no share.
    pub shares_ppm: BTreeMap<DataCentre, u32>,
}

/// A client account with its effective parameters, as the request path reads it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// The account as an operator set it.
    pub record: AccountRecord,
    /// The template's parameters with the account's overrides.
    pub parameters: Arc<Parameters>,
}
