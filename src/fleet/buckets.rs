//! Code shared by the two token bucket servers of a controller: that of the log leader and the
//! failover server.

use std::sync::Arc;
use std::sync::Mutex;

use super::control_vm::lock;
use crate::consensus::Handle;
use crate::consensus::Status;
use crate::gateway::deployment::Account;
use crate::gateway::deployment::Deployment;
use crate::gateway::fleet_share;
use crate::lease::HeldLease;
use crate::limits::History;
use crate::limits::LeaseView;
use crate::limits::RetryLimit;
use crate::limits::Server;
use crate::limits::retry_bucket;
use crate::types::Clock;
use crate::types::MonoMs;
use crate::types::ServiceName;

/// Time for which a reading of the log's status is valid.
const STATUS_MAX_AGE_MS: u64 = 100;

/// Lease under which tokens may be granted: valid while `term` returns a term for the log's status.
/// `term` also receives the time at which the current lease began.
pub(super) fn lease(
    clock: Clock,
    log: &Handle,
    term: impl Fn(&Status, MonoMs) -> Option<u64> + Send + Sync + 'static,
) -> LeaseView {
    let log = log.clone();
    let since: Mutex<Option<MonoMs>> = Mutex::new(None);
    Arc::new(move || {
        let status = log.status();
        let mut since = lock(&since);
        let now = clock.mono();
        let began = since.unwrap_or(now);
        let term = term(&status, began);
        *since = term.map(|_| began);
        Some(HeldLease {
            term: term?,
            since: began,
            deadline: now.plus(STATUS_MAX_AGE_MS),
            required_index: 0,
            settled_index: 0,
        })
    })
}

/// Adds the retry buckets of services. Those of services that are `new` to the fleet are full. Buckets
/// stay when a service is removed, since one that comes back would be full again.
pub(super) fn add_services<'a>(
    server: &Server,
    services: impl Iterator<Item = &'a ServiceName>,
    are_new: bool,
    limit: &RetryLimit,
) {
    for service in services {
        let history = History::new(limit.bucket_limits(fleet_share()));
        match are_new {
            true => server.add_new(retry_bucket(service), history),
            false => server.set_history(retry_bucket(service), history),
        }
    }
}

/// Replaces the accounts of `old` on `server` by those of `new`.
pub(super) fn set_accounts(
    server: &Server,
    new: &Deployment,
    old: Option<&Deployment>,
    history: impl Fn(&Account) -> History,
) {
    for account in new.accounts.values() {
        server.set_history(account.name.clone(), history(account));
    }
    let gone = old.into_iter().flat_map(|old| old.accounts.keys());
    for name in gone.filter(|name| !new.accounts.contains_key(*name)) {
        server.remove(name);
    }
}
