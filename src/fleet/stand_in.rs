//! A controller's own token buckets for the time without a leader.

use std::sync::Arc;
use std::sync::Mutex;

use super::buckets;
use super::control_core::QUORUM_FRESH_MS;
use super::control_vm::lock;
use super::keeper;
use crate::consensus::Handle;
use crate::consensus::Status;
use crate::gateway::deployment::Deployment;
use crate::limits;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::limits::History;
use crate::types::Clock;
use crate::types::VmName;

/// Hands out this controller's part of every rate while it hears of no leader.
pub(super) struct StandIn {
    log: Handle,
    server: limits::Server,
    known: Mutex<Known>,
}

/// What the parts were last worked out from.
#[derive(Default)]
struct Known {
    deployment: Option<Arc<Deployment>>,
    controllers: usize,
}

impl StandIn {
    /// Starts without accounts. Must be called in a tokio runtime.
    pub(super) fn spawn(vm: VmName, clock: Clock, log: &Handle) -> Self {
        let lease = buckets::lease(clock, log, move |status, since| {
            is_alone(status).then(|| keeper::stand_in_term(&vm, since.0))
        });
        Self {
            log: log.clone(),
            server: limits::Server::spawn(keeper::own_part(), clock, lease),
            known: Mutex::default(),
        }
    }

    /// Answers a VM's request.
    pub(super) fn receive(&self, request: &BorrowRequest) -> BorrowReply {
        self.server.receive(request)
    }

    /// Takes the accounts of `deployment` and the number of controllers, if either has changed.
    pub(super) fn update(&self, deployment: Option<Arc<Deployment>>) {
        let Some(new) = deployment else {
            return;
        };
        let controllers = self.log.status().voters.len();
        let mut known = lock(&self.known);
        let old = known.deployment.as_deref();
        let is_known = old.is_some_and(|old| old.version == new.version);
        if is_known && known.controllers == controllers {
            return;
        }
        buckets::set_accounts(&self.server, &new, old, |account| {
            History::new(keeper::stand_in_limits(account, new.version, controllers))
        });
        *known = Known {
            deployment: Some(new),
            controllers,
        };
    }
}

/// Whether a controller hands out its part: neither does it lead nor has it heard a leader for a while.
pub(super) fn is_alone(status: &Status) -> bool {
    status.quorum_contact_age_ms > QUORUM_FRESH_MS
}
