//! A controller's own token buckets for the time without a leader.

use std::sync::Arc;
use std::sync::Mutex;

use super::control_core::QUORUM_FRESH_MS;
use super::control_vm::lock;
use super::keeper;
use crate::consensus::Handle;
use crate::gateway::deployment::Deployment;
use crate::lease::Held;
use crate::limits;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::limits::History;
use crate::types::AccountName;
use crate::types::Clock;
use crate::types::MonoMs;
use crate::types::VmName;

/// Time for which one look at the log's state counts.
const LOOK_MS: u64 = 100;

/// Hands out this controller's part of every rate while it hears of no leader.
pub(super) struct StandIn {
    log: Handle,
    server: limits::Server,
    known: Mutex<Known>,
}

#[derive(Default)]
struct Known {
    deployment_version: u64,
    controllers: usize,
    accounts: Vec<AccountName>,
}

impl StandIn {
    /// Starts without accounts. Must be called in a tokio runtime.
    pub(super) fn spawn(vm: VmName, clock: Clock, log: &Handle) -> Self {
        let since: Mutex<Option<MonoMs>> = Mutex::new(None);
        let watched = log.clone();
        let lease = move || {
            let mut since = lock(&since);
            if !is_alone(&watched) {
                *since = None;
                return None;
            }
            let now = clock.mono();
            let since = *since.get_or_insert(now);
            Some(Held {
                term: keeper::stand_in_term(&vm, since.0),
                since,
                deadline: now.plus(LOOK_MS),
                required_index: 0,
                settled_index: 0,
            })
        };
        Self {
            log: log.clone(),
            server: limits::Server::spawn(keeper::own_part(), clock, Arc::new(lease)),
            known: Mutex::default(),
        }
    }

    /// Whether it hands out tokens now.
    pub(super) fn is_active(&self) -> bool {
        is_alone(&self.log)
    }

    /// Answers a VM's request.
    pub(super) fn receive(&self, request: &BorrowRequest) -> BorrowReply {
        self.server.receive(request)
    }

    /// Takes the accounts of `deployment` and the number of controllers, if either has changed.
    pub(super) fn update(&self, deployment: Option<&Deployment>) {
        let Some(deployment) = deployment else {
            return;
        };
        let controllers = self.log.status().voters.len();
        let mut known = lock(&self.known);
        if known.deployment_version == deployment.version && known.controllers == controllers {
            return;
        }
        let accounts: Vec<AccountName> = deployment.accounts.keys().cloned().collect();
        for name in &known.accounts {
            if !deployment.accounts.contains_key(name) {
                self.server.remove(name);
            }
        }
        for account in deployment.accounts.values() {
            let limits = keeper::stand_in_limits(account, deployment.version, controllers);
            self.server
                .set_history(account.name.clone(), History::new(limits));
        }
        *known = Known {
            deployment_version: deployment.version,
            controllers,
            accounts,
        };
    }
}

/// Whether neither this VM leads nor a leader has been heard for a while.
fn is_alone(log: &Handle) -> bool {
    log.status().quorum_contact_age_ms > QUORUM_FRESH_MS
}
