//! Limits on the records that the replicated state holds, in total and per account.

use std::collections::HashMap;

use crate::control::FieldError;
use crate::types::AccountName;

/// Divisor of the total limit that gives the limit of one account, so that one account cannot use
/// up the capacity of all others.
const ACCOUNT_LIMIT_DIVISOR: usize = 2;

/// Number of records and bytes, used or allowed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Usage {
    pub(super) records: usize,
    pub(super) bytes: usize,
}

/// Usage in total and per account. It is derived from the records, so snapshots do not contain it.
#[derive(Clone, Debug, Default)]
pub(super) struct Quota {
    total: Usage,
    by_account: HashMap<AccountName, Usage>,
}

impl Quota {
    /// Refuses `added` if the total would exceed `max` or the account would exceed its limit.
    pub(super) fn check(
        &self,
        account: &AccountName,
        added: Usage,
        max: Usage,
        resource: &str,
    ) -> Result<(), FieldError> {
        let used = self.by_account.get(account).copied().unwrap_or_default();
        let account_max = Usage {
            records: max.records / ACCOUNT_LIMIT_DIVISOR,
            bytes: max.bytes / ACCOUNT_LIMIT_DIVISOR,
        };
        check_usage(resource, "all accounts", self.total, added, max)?;
        check_usage(resource, account.as_str(), used, added, account_max)
    }

    pub(super) fn add(&mut self, account: &AccountName, added: Usage) {
        self.total.records += added.records;
        self.total.bytes += added.bytes;
        let used = self.by_account.entry(account.clone()).or_default();
        used.records += added.records;
        used.bytes += added.bytes;
    }

    pub(super) fn subtract(&mut self, account: &AccountName, freed: Usage) {
        self.total.records -= freed.records;
        self.total.bytes -= freed.bytes;
        if let Some(used) = self.by_account.get_mut(account) {
            used.records -= freed.records;
            used.bytes -= freed.bytes;
            if *used == Usage::default() {
                self.by_account.remove(account);
            }
        }
    }
}

fn check_usage(
    resource: &str,
    holder: &str,
    used: Usage,
    added: Usage,
    max: Usage,
) -> Result<(), FieldError> {
    if used.records + added.records > max.records {
        let value = format!("{} held by {holder}", used.records);
        return Err(FieldError::new(
            resource,
            value,
            format!("at most {}", max.records),
        ));
    }
    if used.bytes + added.bytes > max.bytes {
        let value = format!(
            "{} bytes held by {holder}, {} asked",
            used.bytes, added.bytes
        );
        return Err(FieldError::new(
            resource,
            value,
            format!("at most {} bytes", max.bytes),
        ));
    }
    Ok(())
}
