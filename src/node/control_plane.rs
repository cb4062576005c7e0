//! Access of the administration API to the replicated log, the control state and the membership.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::Instant;

use super::control_sync::RevisionIndex;
use super::proposer::ProposeError as ProposerError;
use super::proposer::Proposer;
use super::state_machine::SharedControlState;
use super::state_machine::lock;
use crate::control::Command;
use crate::control::KeyHash;
use crate::control::Outcome;
use crate::control::State;
use crate::http::admin::ControlPlane;
use crate::http::admin::ProposeError;
use crate::http::admin::QuarantineEntry;
use crate::http::admin::VmRevision;
use crate::membership;
use crate::membership::Fingerprint;
use crate::membership::Liveness;
use crate::metrics::Metrics;
use crate::metrics::TimingRow;
use crate::types::Clock;

/// Maximum wait for an operator's change to be committed.
const COMMIT_TIMEOUT_MS: u64 = 3_000;

/// Control plane access on one VM.
pub struct VmControlPlane {
    /// Proposer of changes to the replicated log.
    pub proposer: Proposer,
    /// Control state that this VM has applied.
    pub state: SharedControlState,
    /// Cluster membership.
    pub members: membership::Handle,
    /// Index that maps log indexes to revisions.
    pub revisions: Arc<RevisionIndex>,
    /// Metrics of this VM.
    pub metrics: Arc<Metrics>,
    /// Clock of this VM.
    pub clock: Clock,
}

impl VmControlPlane {
    fn roster_revisions(&self) -> Vec<VmRevision> {
        let snapshot = self.members.snapshot();
        let now = self.clock.mono();
        let control = lock(&self.state);
        let vms = control.state().roster().iter();
        vms.map(|(vm, entry)| {
            let view = snapshot.vms.get(vm);
            let alive = view.filter(|view| view.liveness(now) != Liveness::Dead);
            VmRevision {
                vm: vm.clone(),
                data_centre: entry.data_centre.clone(),
                revision: alive
                    .map(|view| self.revisions.revision_at(view.status.applied_index))
                    .map(|revision| revision.unwrap_or(0)),
            }
        })
        .collect()
    }
}

impl ControlPlane for VmControlPlane {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<Outcome, ProposeError>> {
        async move {
            let deadline = Instant::now() + Duration::from_millis(COMMIT_TIMEOUT_MS);
            match self.proposer.propose(&command, deadline).await {
                Ok(proposed) => Ok(proposed.outcome),
                Err(ProposerError::Unavailable) => Err(ProposeError::NoQuorum),
                Err(ProposerError::Unknown) => Err(ProposeError::Uncertain),
            }
        }
        .boxed()
    }

    fn with_state(&self, read: &mut dyn FnMut(&State)) {
        read(lock(&self.state).state());
    }

    fn vm_revisions(&self) -> BoxFuture<'_, Vec<VmRevision>> {
        async move { self.roster_revisions() }.boxed()
    }

    fn withdraw_locally(&self, key_hash: KeyHash) -> BoxFuture<'_, ()> {
        // The leader of the log proposes the withdrawal once gossip has delivered it there.
        self.members.withdraw_key(key_hash.0);
        async {}.boxed()
    }

    fn lift_quarantine(&self, fingerprint: [u8; 32]) {
        self.members.lift_quarantine(Fingerprint(fingerprint));
    }

    fn timings(&self) -> Vec<TimingRow> {
        self.metrics.timings()
    }

    fn quarantine(&self) -> BoxFuture<'_, Vec<QuarantineEntry>> {
        let snapshot = self.members.snapshot();
        let quarantined = snapshot.quarantine.quarantined(self.clock.unix());
        let entries = quarantined
            .into_iter()
            .map(|(fingerprint, until)| QuarantineEntry {
                fingerprint: hex::encode(fingerprint.0),
                crashes: u32::try_from(membership::QUARANTINE_CRASHES).unwrap_or(u32::MAX),
                until_unix_ms: Some(until.0),
            })
            .collect();
        async move { entries }.boxed()
    }
}
