//! Conversion between the bodies of the administration API and the control state.

use std::collections::BTreeMap;

use crate::control::Access;
use crate::control::Account;
use crate::control::AdapterPattern;
use crate::control::CutOffPolicy;
use crate::control::FieldError;
use crate::control::Overrides;
use crate::control::Parameters;
use crate::control::Route;
use crate::control::State;
use crate::http::admin::AccountView;
use crate::http::admin::CutOffName;
use crate::http::admin::OverridesBody;
use crate::http::admin::ParametersBody;
use crate::http::admin::PatienceName;
use crate::http::admin::RouteAccess;
use crate::http::admin::RouteFields;
use crate::types::Patience;

impl From<PatienceName> for Patience {
    fn from(name: PatienceName) -> Self {
        match name {
            PatienceName::Urgent => Self::Urgent,
            PatienceName::Patient => Self::Patient,
        }
    }
}

impl From<Patience> for PatienceName {
    fn from(patience: Patience) -> Self {
        match patience {
            Patience::Urgent => Self::Urgent,
            Patience::Patient => Self::Patient,
        }
    }
}

impl From<CutOffName> for CutOffPolicy {
    fn from(name: CutOffName) -> Self {
        match name {
            CutOffName::Serve => Self::Serve,
            CutOffName::Refuse => Self::Refuse,
        }
    }
}

impl From<CutOffPolicy> for CutOffName {
    fn from(policy: CutOffPolicy) -> Self {
        match policy {
            CutOffPolicy::Serve => Self::Serve,
            CutOffPolicy::Refuse => Self::Refuse,
        }
    }
}

impl From<ParametersBody> for Parameters {
    fn from(body: ParametersBody) -> Self {
        Self {
            max_keys: body.max_keys,
            rate_tokens_per_s: body.rate_tokens_per_s,
            burst_tokens: body.burst_tokens,
            weight: body.weight,
            adapter_sets: patterns(body.adapter_sets),
            patience: body.patience.into_iter().map(Patience::from).collect(),
            when_cut_off: body.when_cut_off.into(),
        }
    }
}

impl From<&Parameters> for ParametersBody {
    fn from(parameters: &Parameters) -> Self {
        Self {
            max_keys: parameters.max_keys,
            rate_tokens_per_s: parameters.rate_tokens_per_s,
            burst_tokens: parameters.burst_tokens,
            weight: parameters.weight,
            adapter_sets: texts(&parameters.adapter_sets),
            patience: parameters.patience.iter().map(|p| (*p).into()).collect(),
            when_cut_off: parameters.when_cut_off.into(),
        }
    }
}

impl From<OverridesBody> for Overrides {
    fn from(body: OverridesBody) -> Self {
        Self {
            max_keys: body.max_keys,
            rate_tokens_per_s: body.rate_tokens_per_s,
            burst_tokens: body.burst_tokens,
            weight: body.weight,
            adapter_sets: body.adapter_sets.map(patterns),
            patience: body
                .patience
                .map(|classes| classes.into_iter().map(Patience::from).collect()),
            when_cut_off: body.when_cut_off.map(CutOffPolicy::from),
        }
    }
}

impl From<&Overrides> for OverridesBody {
    fn from(overrides: &Overrides) -> Self {
        Self {
            max_keys: overrides.max_keys,
            rate_tokens_per_s: overrides.rate_tokens_per_s,
            burst_tokens: overrides.burst_tokens,
            weight: overrides.weight,
            adapter_sets: overrides.adapter_sets.as_deref().map(texts),
            patience: overrides
                .patience
                .as_ref()
                .map(|classes| classes.iter().map(|p| (*p).into()).collect()),
            when_cut_off: overrides.when_cut_off.map(CutOffName::from),
        }
    }
}

impl From<RouteFields> for Route {
    fn from(fields: RouteFields) -> Self {
        Self {
            service: fields.service.into(),
            path_prefix: fields.path_prefix,
            methods: fields.methods,
            access: match fields.access {
                RouteAccess::Open => Access::Open,
                RouteAccess::Keyed => Access::Keyed,
            },
            repeatable: fields.repeatable,
        }
    }
}

impl From<&Route> for RouteFields {
    fn from(route: &Route) -> Self {
        Self {
            service: route.service.to_string(),
            path_prefix: route.path_prefix.clone(),
            methods: route.methods.clone(),
            access: match route.access {
                Access::Open => RouteAccess::Open,
                Access::Keyed => RouteAccess::Keyed,
            },
            repeatable: route.repeatable,
        }
    }
}

pub(super) fn account_view(state: &State, account: &Account) -> AccountView {
    let name = account.name.as_str();
    let shares_ppm: BTreeMap<String, u32> = state
        .data_centres()
        .into_iter()
        .map(|d| (d.to_string(), state.share_ppm(name, d.as_str())))
        .collect();
    AccountView {
        revision: state.revision(),
        name: name.to_owned(),
        template: account.record.template.to_string(),
        overrides: (&account.record.overrides).into(),
        parameters: (&*account.parameters).into(),
        shares_ppm,
        equal_shares: account.record.shares_ppm.is_empty(),
    }
}

/// Checks a key that an operator chose. The error does not show the key.
pub(super) fn check_key(key: &str) -> Result<(), FieldError> {
    let is_printable = key.chars().all(|c| c.is_ascii_graphic());
    if is_printable && (32..=256).contains(&key.len()) {
        return Ok(());
    }
    let value = format!("{} characters", key.chars().count());
    let allowed = "32 to 256 printable ASCII characters without spaces";
    Err(FieldError::new("key", value, allowed))
}

fn patterns(texts: Vec<String>) -> Vec<AdapterPattern> {
    texts.into_iter().map(AdapterPattern::new).collect()
}

fn texts(patterns: &[AdapterPattern]) -> Vec<String> {
    patterns.iter().map(|p| p.as_str().to_owned()).collect()
}
