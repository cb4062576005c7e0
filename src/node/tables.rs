//! Pulls the placement tables of all data centres.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::coordinator::Coordinator;
use crate::lease;
use crate::peer::PeerClients;
use crate::pipeline::Dispatcher;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::VmName;

/// Interval between pulls of one table without waiting work.
const PULL_MS: u64 = 250;
/// Least interval between pulls of one table.
const LEAST_PULL_MS: u64 = 20;
/// Pulls between two popularity summaries.
const PULLS_PER_SUMMARY: u64 = 4;

/// What the pulls need.
#[derive(Clone)]
pub struct TablePuller {
    /// This VM.
    pub vm: VmName,
    /// Time.
    pub clock: Clock,
    /// Knows the coordinators.
    pub lease: lease::Handle,
    /// This VM's coordinator part.
    pub coordinator: Arc<Coordinator>,
    /// Holds the tables.
    pub dispatcher: Arc<Dispatcher>,
    /// Connections to other VMs.
    pub peers: PeerClients,
}

impl TablePuller {
    /// Pulls the table of `data_centre` until the task is dropped.
    pub async fn run(self, data_centre: DataCentre) {
        let mut pulls: u64 = 0;
        let mut load_wanted = self.dispatcher.subscribe_load_wanted();
        loop {
            let with_popularity = pulls.is_multiple_of(PULLS_PER_SUMMARY);
            self.pull(&data_centre, with_popularity).await;
            pulls += 1;
            tokio::time::sleep(Duration::from_millis(LEAST_PULL_MS)).await;
            let idle = Duration::from_millis(PULL_MS - LEAST_PULL_MS);
            let _ = timeout(idle, load_wanted.changed()).await;
        }
    }

    async fn pull(&self, data_centre: &DataCentre, with_popularity: bool) {
        let Some(coordinator) = self.lease.coordinator_of(data_centre) else {
            return;
        };
        let pull = self.dispatcher.pull(data_centre, with_popularity);
        let sent = self.clock.mono();
        let table = if coordinator == self.vm {
            self.coordinator.pull(&pull)
        } else {
            let reply = self.peers.placement(&coordinator, pull).await;
            reply.ok().flatten()
        };
        if let Some(table) = table {
            self.dispatcher.apply(table, sent);
        }
    }
}
