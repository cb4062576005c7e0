//! Authenticates callers by bearer key.

use std::sync::Arc;

use http::HeaderMap;

use super::classify::text_header;
use super::context::Context;
use crate::control::KeyHash;
use crate::control::Parameters;
use crate::control::Sha256Hash;
use crate::types::AccountName;
use crate::types::AdapterRef;
use crate::types::Patience;
use crate::types::Refusal;
use crate::types::RefusalCode;

/// Result of this stage.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Looks up accounts by key.
pub trait KeyDirectory: Send + Sync {
    /// The account of a valid key and its parameters; `None` for a key that is unknown or was
    /// withdrawn, through the replicated log or locally.
    fn account_of(&self, key_hash: &KeyHash) -> Option<(AccountName, Arc<Parameters>)>;
}

/// An authenticated caller. Holds the hash of the key, never the key itself.
#[derive(Clone, Debug)]
pub struct Caller {
    account: AccountName,
    /// `None` for accepted jobs, which belong to the account and stay valid after the key.
    key_hash: Option<KeyHash>,
    parameters: Arc<Parameters>,
}

impl Caller {
    /// The caller for a job that was accepted earlier.
    pub fn of_job(account: AccountName, parameters: Arc<Parameters>) -> Self {
        Self {
            account,
            key_hash: None,
            parameters,
        }
    }

    /// The client account that the request is charged to.
    pub fn account(&self) -> &AccountName {
        &self.account
    }

    /// Effective parameters of the account at the time of authentication.
    pub fn parameters(&self) -> &Arc<Parameters> {
        &self.parameters
    }

    /// Whether the account's adapter sets include `adapter`.
    pub fn may_use_adapter(&self, adapter: &AdapterRef) -> bool {
        self.parameters.allows_adapter(adapter)
    }

    /// Whether the account may use the class `patience`.
    pub fn may_use_patience(&self, patience: Patience) -> bool {
        self.parameters.patience.contains(&patience)
    }

    /// The class of a request that names none: the most urgent one that the account may use.
    pub fn default_patience(&self) -> Patience {
        let first = self.parameters.patience.iter().next();
        first.copied().unwrap_or(Patience::Urgent)
    }
}

/// Checks that the VM may serve, then authenticates the bearer key in `headers`. The order matters:
/// a VM that is cut off from the control state must not report a valid key as unknown.
///
/// # Errors
/// The reason why the VM accepts no requests; `unauthorized` if the key is missing, unknown or
/// withdrawn.
pub fn identify(cx: &Context, headers: &HeaderMap) -> Result<Caller> {
    cx.health.check_open(true)?;
    authenticate(&*cx.keys, headers)
}

/// Authenticates the bearer key in `headers`.
///
/// # Errors
/// `unauthorized` if the key is missing, unknown or withdrawn.
pub fn authenticate(keys: &dyn KeyDirectory, headers: &HeaderMap) -> Result<Caller> {
    let key = bearer_key(headers)?;
    let key_hash = Sha256Hash::of(key.as_bytes());
    let (account, parameters) = keys.account_of(&key_hash).ok_or_else(|| {
        Refusal::not_run(
            RefusalCode::Unauthorized,
            "the key is unknown or was withdrawn",
        )
    })?;
    Ok(Caller {
        account,
        key_hash: Some(key_hash),
        parameters,
    })
}

/// Checks that the key of `caller` is still valid.
///
/// # Errors
/// `unauthorized` if the key was withdrawn since authentication.
pub fn check_still_live(keys: &dyn KeyDirectory, caller: &Caller) -> Result<()> {
    let Some(key_hash) = &caller.key_hash else {
        return Ok(());
    };
    match keys.account_of(key_hash) {
        Some((account, _)) if account == caller.account => Ok(()),
        _ => Err(Refusal::not_run(
            RefusalCode::Unauthorized,
            "the key was withdrawn",
        )),
    }
}

fn bearer_key(headers: &HeaderMap) -> Result<&str> {
    let missing = || {
        Refusal::not_run(
            RefusalCode::Unauthorized,
            "the header Authorization must be of the form Bearer KEY",
        )
    };
    let value = text_header(headers, "authorization").map_err(|_| missing())?;
    let (scheme, key) = value.and_then(|v| v.split_once(' ')).ok_or_else(missing)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(missing());
    }
    Ok(key)
}
