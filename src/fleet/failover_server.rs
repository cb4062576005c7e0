//! The token bucket server of a controller for the time without a log leader.

use std::sync::Arc;
use std::sync::Mutex;

use super::buckets;
use super::control_core::QUORUM_CONTACT_MAX_AGE_MS;
use super::control_vm::lock;
use super::quota_failover;
use crate::consensus::Handle;
use crate::consensus::Status;
use crate::gateway::deployment::Deployment;
use crate::limits;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::limits::History;
use crate::limits::server_bucket;
use crate::limits::server_limit_version;
use crate::types::Clock;
use crate::types::RequestRate;
use crate::types::ServerName;
use crate::types::VmName;

/// Grants this controller's share of every rate while it has no contact with a quorum.
pub(super) struct FailoverServer {
    log: Handle,
    server: limits::Server,
    applied: Mutex<Applied>,
}

/// The state from which the shares were last computed.
#[derive(Default)]
struct Applied {
    deployment: Option<Arc<Deployment>>,
    controllers: usize,
}

impl FailoverServer {
    /// Starts without accounts. Must be called in a tokio runtime.
    pub(super) fn spawn(vm: VmName, clock: Clock, log: &Handle) -> Self {
        let lease = buckets::lease(clock, log, move |status, since| {
            is_without_leader(status).then(|| quota_failover::failover_term(&vm, since.0))
        });
        Self {
            log: log.clone(),
            server: limits::Server::spawn(quota_failover::failover_share(), clock, lease),
            applied: Mutex::default(),
        }
    }

    /// Answers the token request of an entry VM.
    pub(super) fn receive(&self, request: &BorrowRequest) -> BorrowReply {
        self.server.receive(request)
    }

    /// Sets this controller's share of the limit that a backend server named, or removes it.
    pub(super) fn set_server_limit(&self, server: &ServerName, rate: Option<RequestRate>) {
        let bucket = server_bucket(server);
        let Some(rate) = rate else {
            self.server.remove(&bucket);
            return;
        };
        let controllers = quota_failover::share_count(&self.log.status());
        let share = quota_failover::failover_share();
        let limits = server_limit_version(rate, share, controllers);
        self.server.set_history(bucket, History::new(limits));
    }

    /// Recomputes the shares if the deployment or the number of controllers has changed.
    pub(super) fn update(&self, deployment: Option<Arc<Deployment>>) {
        let Some(new) = deployment else {
            return;
        };
        let controllers = quota_failover::share_count(&self.log.status());
        let mut applied = lock(&self.applied);
        let old = applied.deployment.as_deref();
        let is_same_version = old.is_some_and(|old| old.version == new.version);
        if is_same_version && applied.controllers == controllers {
            return;
        }
        buckets::set_accounts(&self.server, &new, old, |account| {
            History::new(quota_failover::failover_limits(
                account,
                new.version,
                controllers,
            ))
        });
        *applied = Applied {
            deployment: Some(new),
            controllers,
        };
    }
}

/// Whether a controller grants its share: it neither leads nor has had recent contact with a leader.
pub(super) fn is_without_leader(status: &Status) -> bool {
    status.quorum_contact_age_ms > QUORUM_CONTACT_MAX_AGE_MS
}
