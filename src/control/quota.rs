//! Bounds on the records that the log keeps, in total and per account.

use std::collections::HashMap;

use crate::control::FieldError;
use crate::types::AccountName;

/// One account may hold at most this part of a table, so that it cannot lock out the others.
const ACCOUNT_PART: usize = 2;

/// Records and bytes in use or allowed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Usage {
    pub(super) records: usize,
    pub(super) bytes: usize,
}

/// Usage in total and per account. Derived from the records, so snapshots do not hold it.
#[derive(Clone, Debug, Default)]
pub(super) struct Quota {
    total: Usage,
    by_account: HashMap<AccountName, Usage>,
}

impl Quota {
    /// Refuses `more` if the total or the account's part would exceed `max`.
    pub(super) fn check(
        &self,
        account: &AccountName,
        more: Usage,
        max: Usage,
        what: &str,
    ) -> Result<(), FieldError> {
        let held = self.by_account.get(account).copied().unwrap_or_default();
        let part = Usage {
            records: max.records / ACCOUNT_PART,
            bytes: max.bytes / ACCOUNT_PART,
        };
        check_one(what, "all accounts", self.total, more, max)?;
        check_one(what, account.as_str(), held, more, part)
    }

    pub(super) fn add(&mut self, account: &AccountName, more: Usage) {
        self.total.records += more.records;
        self.total.bytes += more.bytes;
        let held = self.by_account.entry(account.clone()).or_default();
        held.records += more.records;
        held.bytes += more.bytes;
    }

    pub(super) fn subtract(&mut self, account: &AccountName, less: Usage) {
        self.total.records -= less.records;
        self.total.bytes -= less.bytes;
        if let Some(held) = self.by_account.get_mut(account) {
            held.records -= less.records;
            held.bytes -= less.bytes;
            if *held == Usage::default() {
                self.by_account.remove(account);
            }
        }
    }
}

fn check_one(
    what: &str,
    holder: &str,
    held: Usage,
    more: Usage,
    max: Usage,
) -> Result<(), FieldError> {
    if held.records + more.records > max.records {
        let value = format!("{} held by {holder}", held.records);
        return Err(FieldError::new(
            what,
            value,
            format!("at most {}", max.records),
        ));
    }
    if held.bytes + more.bytes > max.bytes {
        let value = format!(
            "{} bytes held by {holder}, {} asked",
            held.bytes, more.bytes
        );
        return Err(FieldError::new(
            what,
            value,
            format!("at most {} bytes", max.bytes),
        ));
    }
    Ok(())
}
