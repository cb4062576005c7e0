//! Versions of the accounts' limits that some data centre may still use.
//!
//! They are part of the replicated state, so that a VM that restarts from a snapshot knows by which
//! older version an isolated data centre may still issue tokens.

use std::collections::BTreeMap;

use crate::control::State;
use crate::limits::History;
use crate::limits::LimitVersion;
use crate::types::AccountName;
use crate::types::DataCentre;

/// Limit versions of each account.
pub(super) type LimitHistories = BTreeMap<AccountName, History>;

impl State {
    /// The versions of an account's limits that some data centre may still use.
    pub fn limit_history(&self, account: &str) -> Option<&History> {
        self.limits.get(account)
    }

    /// Lowest log index whose settlement removes a version; `None` if there is none to remove.
    pub fn oldest_unsettled_limit(&self) -> Option<u64> {
        let histories = self.limits.values();
        histories.filter_map(History::next_settled_revision).min()
    }

    /// Adds a version for each account whose rate, burst or shares changed with the entry at
    /// `index`.
    pub(super) fn record_limits(&mut self, index: u64) {
        let data_centres: Vec<DataCentre> =
            self.roster.data_centres().into_iter().cloned().collect();
        for account in self.accounts.values() {
            let explicit = &account.record.shares_ppm;
            let version = LimitVersion {
                revision: index,
                rate_tokens_per_s: account.parameters.rate_tokens_per_s,
                burst_tokens: account.parameters.burst_tokens,
                shares_ppm: if explicit.is_empty() {
                    LimitVersion::equal_shares(&data_centres)
                } else {
                    explicit.clone()
                },
            };
            match self.limits.get_mut(&account.name) {
                None => {
                    let history = History::new(version);
                    self.limits.insert(account.name.clone(), history);
                }
                Some(history) => push_if_changed(history, version),
            }
        }
    }

    pub(super) fn settle_limits(&mut self, settled_index: u64) {
        for history in self.limits.values_mut() {
            history.settle(settled_index);
        }
    }
}

fn push_if_changed(history: &mut History, version: LimitVersion) {
    let same = history.latest().is_some_and(|latest| {
        latest.rate_tokens_per_s == version.rate_tokens_per_s
            && latest.burst_tokens == version.burst_tokens
            && latest.shares_ppm == version.shares_ppm
    });
    if !same {
        history.push(version);
    }
}
