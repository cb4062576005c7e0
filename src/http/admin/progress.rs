//! Progress of changes on the VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::http::admin::ACCEPT_WAIT;
use crate::http::admin::ChangeStatus;
use crate::http::admin::ControlPlane;
use crate::http::admin::VmProgress;
use crate::http::admin::VmProgressState;
use crate::http::admin::VmRevision;

/// Interval at which the progress of a change is polled before the response is sent.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `revision` is accepted, at most `ACCEPT_WAIT`. Returns its status and progress at
/// that time.
pub(super) async fn wait(
    control_plane: &dyn ControlPlane,
    revision: u64,
) -> (ChangeStatus, Vec<VmProgress>) {
    let deadline = Instant::now() + ACCEPT_WAIT;
    loop {
        let vm_revisions = control_plane.vm_revisions().await;
        if is_accepted(&vm_revisions, revision) {
            return (ChangeStatus::Accepted, views(&vm_revisions, Some(revision)));
        }
        if Instant::now() >= deadline {
            return (
                ChangeStatus::Committed,
                views(&vm_revisions, Some(revision)),
            );
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the progress of every VM towards `revision`. All are pending if `revision` is `None`.
pub(super) fn views(vm_revisions: &[VmRevision], revision: Option<u64>) -> Vec<VmProgress> {
    vm_revisions
        .iter()
        .map(|vm| VmProgress {
            vm: vm.vm.to_string(),
            data_centre: vm.data_centre.to_string(),
            state: match revision.is_some_and(|wanted| has_applied(vm, wanted)) {
                true => VmProgressState::InForce,
                false => VmProgressState::Pending,
            },
            revision: vm.revision,
        })
        .collect()
}

/// Whether every data centre that may still serve has applied `revision`, which means a majority of
/// its VMs and every reachable VM. A single unreachable VM does not block acceptance, because a VM
/// that is cut off from both the log and the majority of its data centre refuses keyed work. A data
/// centre that is unreachable as a whole does, because it continues to serve.
fn is_accepted(vm_revisions: &[VmRevision], revision: u64) -> bool {
    let mut data_centres: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for vm in vm_revisions {
        let is_behind = vm.revision.is_some() && !has_applied(vm, revision);
        if is_behind {
            return false;
        }
        let counts = data_centres.entry(vm.data_centre.as_str()).or_default();
        counts.0 += usize::from(has_applied(vm, revision));
        counts.1 += 1;
    }
    let has_majority = |(in_force, all): &(usize, usize)| in_force * 2 > *all;
    !data_centres.is_empty() && data_centres.values().all(has_majority)
}

fn has_applied(vm: &VmRevision, revision: u64) -> bool {
    vm.revision.is_some_and(|applied| applied >= revision)
}
