//! Returns of unused tokens to the coordinators.

use std::collections::BTreeMap;

use super::allowance::HeldGrant;
use super::message::GrantId;
use super::message::Return;
use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::Tokens;

/// Number of times that a batch is sent before it is dropped. Its tokens are then unavailable to
/// the account until the bucket refills.
const MAX_ATTEMPTS: u32 = 5;

/// Pending returns to all data centres.
#[derive(Debug, Default)]
pub struct Returns {
    by_data_centre: BTreeMap<DataCentre, Pending>,
}

/// Pending returns to one data centre. At most one batch is in flight, so batches arrive in order.
#[derive(Debug, Default)]
struct Pending {
    queued: BTreeMap<(AccountName, GrantId), Tokens>,
    batch: Vec<Return>,
    sequence: u64,
    attempts: u32,
    in_flight: bool,
}

impl Returns {
    /// Queues `grants` of `account`. They must have been removed from the allowance permanently.
    pub fn queue(&mut self, account: &AccountName, grants: impl IntoIterator<Item = HeldGrant>) {
        for grant in grants.into_iter().filter(|grant| grant.tokens > 0) {
            let pending = self.by_data_centre.entry(grant.source).or_default();
            let key = (account.clone(), grant.grant);
            *pending.queued.entry(key).or_default() += grant.tokens;
        }
    }

    /// Data centres to which a batch can be sent now.
    pub fn ready(&self) -> Vec<DataCentre> {
        let is_ready = |pending: &Pending| {
            let empty = pending.batch.is_empty() && pending.queued.is_empty();
            !pending.in_flight && !empty
        };
        self.by_data_centre
            .iter()
            .filter(|(_, pending)| is_ready(pending))
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }

    /// Starts sending a batch to `data_centre` and returns its sequence number and entries. A
    /// failed batch is resent unchanged, since the coordinator may have credited it.
    pub fn start_batch(&mut self, data_centre: &DataCentre) -> (u64, Vec<Return>) {
        let pending = self.by_data_centre.entry(data_centre.clone()).or_default();
        if pending.batch.is_empty() {
            let queued = std::mem::take(&mut pending.queued);
            let entries = queued.into_iter();
            pending.batch = entries
                .map(|((account, grant), tokens)| Return {
                    account,
                    grant,
                    tokens,
                })
                .collect();
            pending.sequence += 1;
            pending.attempts = 0;
        }
        pending.attempts += 1;
        pending.in_flight = true;
        (pending.sequence, pending.batch.clone())
    }

    /// Records whether the batch in flight to `data_centre` was credited.
    pub fn finish_batch(&mut self, data_centre: &DataCentre, counted: bool) {
        let Some(pending) = self.by_data_centre.get_mut(data_centre) else {
            return;
        };
        pending.in_flight = false;
        if counted || pending.attempts >= MAX_ATTEMPTS {
            pending.batch.clear();
        }
    }
}
