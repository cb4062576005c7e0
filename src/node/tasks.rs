//! Background tasks of a VM.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::components::Components;
use super::control_sync::ControlSync;
use super::control_sync::RevisionIndex;
use super::leader_tasks::LeaderTasks;
use super::membership_sync::MembershipSync;
use super::table_puller::TablePuller;
use super::topology::Topology;
use crate::configs::vm::VmSettings;

/// Handles of background tasks, which are aborted on drop.
#[derive(Default)]
pub(super) struct Tasks(Vec<JoinHandle<()>>);

impl Tasks {
    /// Spawns `task`, which runs until the handles are dropped.
    pub(super) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.0.push(tokio::spawn(task));
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

/// Spawns the tasks that keep the components up to date.
pub(super) fn spawn_tasks(
    tasks: &mut Tasks,
    settings: &VmSettings,
    components: &Components,
    revisions: Arc<RevisionIndex>,
    effective_index: watch::Sender<u64>,
) {
    tasks.spawn(control_sync(settings, components, revisions, effective_index).run());
    tasks.spawn(membership_sync(settings, components).run());
    tasks.spawn(leader_tasks(components).run());
    tasks.spawn(topology(settings, components).run());
}

fn control_sync(
    settings: &VmSettings,
    components: &Components,
    revisions: Arc<RevisionIndex>,
    effective_index: watch::Sender<u64>,
) -> ControlSync {
    ControlSync {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        clock: components.clock,
        state: components.state.clone(),
        log: components.log.clone(),
        proposer: components.proposer.clone(),
        lease: components.lease.clone(),
        limits: components.limits.clone(),
        token_server: components.token_server.clone(),
        health: components.health.clone(),
        revisions,
        effective_index,
    }
}

fn membership_sync(settings: &VmSettings, components: &Components) -> MembershipSync {
    MembershipSync {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        clock: components.clock,
        members: components.members.clone(),
        state: components.state.clone(),
        lease: components.lease.clone(),
        dispatcher: components.dispatcher.clone(),
        coordinator: components.coordinator.clone(),
        peer_addresses: components.peer_addresses.clone(),
        store: settings.store.clone(),
        token_server: components.token_server.clone(),
    }
}

fn leader_tasks(components: &Components) -> LeaderTasks {
    LeaderTasks {
        clock: components.clock,
        state: components.state.clone(),
        log: components.log.clone(),
        proposer: components.proposer.clone(),
        members: components.members.clone(),
    }
}

fn topology(settings: &VmSettings, components: &Components) -> Topology {
    Topology {
        settings: settings.clone(),
        state: components.state.clone(),
        members: components.members.clone(),
        log: components.log.clone(),
        sources: components.sources.clone(),
        clock: components.clock,
        retry_budget: components.retry_budget.clone(),
        puller: TablePuller {
            vm: settings.vm.clone(),
            clock: components.clock,
            lease: components.lease.clone(),
            coordinator: components.coordinator.clone(),
            dispatcher: components.dispatcher.clone(),
            peers: components.peers.clone(),
        },
    }
}
