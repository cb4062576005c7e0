//! Background tasks of a VM.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::control_feed::ControlFeed;
use super::control_feed::RevisionIndex;
use super::duties::Duties;
use super::member_feed::MemberFeed;
use super::parts::Parts;
use super::tables::TablePuller;
use super::topology::Topology;
use crate::configs::vm::VmSettings;

/// Background tasks; they end when this is dropped.
#[derive(Default)]
pub(super) struct Tasks(Vec<JoinHandle<()>>);

impl Tasks {
    /// Runs `task` until this is dropped.
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

/// Starts the tasks that keep the parts up to date.
pub(super) fn spawn_tasks(
    tasks: &mut Tasks,
    settings: &VmSettings,
    parts: &Parts,
    revisions: Arc<RevisionIndex>,
    in_force: watch::Sender<u64>,
) {
    tasks.spawn(control_feed(settings, parts, revisions, in_force).run());
    tasks.spawn(member_feed(settings, parts).run());
    tasks.spawn(duties(parts).run());
    tasks.spawn(topology(settings, parts).run());
}

fn control_feed(
    settings: &VmSettings,
    parts: &Parts,
    revisions: Arc<RevisionIndex>,
    in_force: watch::Sender<u64>,
) -> ControlFeed {
    ControlFeed {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        clock: parts.clock,
        state: parts.state.clone(),
        log: parts.log.clone(),
        proposer: parts.proposer.clone(),
        lease: parts.lease.clone(),
        limits: parts.limits.clone(),
        token_server: parts.token_server.clone(),
        health: parts.health.clone(),
        revisions,
        in_force,
    }
}

fn member_feed(settings: &VmSettings, parts: &Parts) -> MemberFeed {
    MemberFeed {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        clock: parts.clock,
        members: parts.members.clone(),
        state: parts.state.clone(),
        lease: parts.lease.clone(),
        dispatcher: parts.dispatcher.clone(),
        coordinator: parts.coordinator.clone(),
        peer_addresses: parts.peer_addresses.clone(),
        store: settings.store.clone(),
        token_server: parts.token_server.clone(),
    }
}

fn duties(parts: &Parts) -> Duties {
    Duties {
        clock: parts.clock,
        state: parts.state.clone(),
        log: parts.log.clone(),
        proposer: parts.proposer.clone(),
        members: parts.members.clone(),
    }
}

fn topology(settings: &VmSettings, parts: &Parts) -> Topology {
    Topology {
        settings: settings.clone(),
        state: parts.state.clone(),
        members: parts.members.clone(),
        log: parts.log.clone(),
        sources: parts.sources.clone(),
        puller: TablePuller {
            vm: settings.vm.clone(),
            clock: parts.clock,
            lease: parts.lease.clone(),
            coordinator: parts.coordinator.clone(),
            dispatcher: parts.dispatcher.clone(),
            peers: parts.peers.clone(),
        },
    }
}
