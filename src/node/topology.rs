//! Follows the set of data centres and VMs, to choose the sources of placement tables and log
//! entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::state_machine::SharedControlState;
use super::state_machine::lock;
use super::table_puller::TablePuller;
use crate::configs::vm::VmSettings;
use crate::consensus;
use crate::membership;
use crate::pipeline::RetryBudget;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::VmName;

/// Interval at which the topology is checked.
const POLL_INTERVAL_MS: u64 = 500;

/// Task that pulls the table of one data centre, aborted on drop.
struct PullTask(JoinHandle<()>);

impl Drop for PullTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Task that follows the topology, with the components that it reads and updates.
pub struct Topology {
    /// Settings of this VM.
    pub settings: VmSettings,
    /// Control state that this VM has applied.
    pub state: SharedControlState,
    /// Cluster membership.
    pub members: membership::Handle,
    /// Replicated log, which knows the voters.
    pub log: consensus::Handle,
    /// Channel for the VMs to follow the log from.
    pub sources: watch::Sender<Vec<VmName>>,
    /// Clock of the process.
    pub clock: Clock,
    /// Retry budget, which is divided among the VMs.
    pub retry_budget: Arc<RetryBudget>,
    /// Template of the table pullers.
    pub puller: TablePuller,
}

impl Topology {
    /// Follows the topology until the task is dropped.
    pub async fn run(self) {
        let mut pulls: BTreeMap<DataCentre, PullTask> = BTreeMap::new();
        loop {
            for data_centre in self.data_centres() {
                pulls.entry(data_centre).or_insert_with_key(|data_centre| {
                    let puller = self.puller.clone();
                    PullTask(tokio::spawn(puller.run(data_centre.clone())))
                });
            }
            self.update_sources();
            self.update_retry_budget();
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// The roster names VMs that are cut off as well, and gossip those that join.
    fn update_retry_budget(&self) {
        let announced = self.members.snapshot().vms.len();
        let known = announced.max(lock(&self.state).state().roster().len());
        let vms = u32::try_from(known).unwrap_or(u32::MAX);
        self.retry_budget.observe_fleet_size(vms, self.clock.mono());
    }

    fn data_centres(&self) -> Vec<DataCentre> {
        let snapshot = self.members.snapshot();
        let announced = snapshot
            .vms
            .values()
            .map(|view| view.payload.data_centre.clone());
        let control = lock(&self.state);
        let roster = control.state().roster().data_centres();
        let mut all: Vec<DataCentre> = announced.chain(roster.into_iter().cloned()).collect();
        all.sort();
        all.dedup();
        all
    }

    /// Updates the order of log sources: voters of the own data centre, other voters, other VMs of
    /// the own data centre, then all other VMs.
    fn update_sources(&self) {
        let snapshot = self.members.snapshot();
        let status = self.log.status();
        let voters = status.voters.iter().map(|voter| voter.vm.clone());
        let voters: Vec<VmName> = voters.chain(self.settings.founders.clone()).collect();
        let mut ranked: Vec<(u8, VmName)> = snapshot
            .vms
            .iter()
            .filter(|(vm, _)| **vm != self.settings.vm)
            .map(|(vm, view)| {
                let is_local = view.payload.data_centre == self.settings.data_centre;
                let rank = match (is_local, voters.contains(vm)) {
                    (true, true) => 0,
                    (false, true) => 1,
                    (true, false) => 2,
                    (false, false) => 3,
                };
                (rank, vm.clone())
            })
            .collect();
        if ranked.is_empty() {
            return;
        }
        ranked.sort();
        let sources: Vec<VmName> = ranked.into_iter().map(|(_, vm)| vm).collect();
        self.sources.send_if_modified(|known| {
            let changed = *known != sources;
            *known = sources;
            changed
        });
    }
}
