//! Pulls placement tables from the coordinators of all data centres.

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

/// Interval between pulls of one table while no request waits for a load.
const PULL_INTERVAL_MS: u64 = 250;
/// Interval between pulls of one table while requests of this VM wait for a load in that data
/// centre.
const WAITING_PULL_INTERVAL_MS: u64 = 50;
/// Minimum interval between pulls of one table.
const MIN_PULL_INTERVAL_MS: u64 = 20;
/// Number of pulls from one popularity summary to the next.
const PULLS_PER_SUMMARY: u64 = 4;

/// Pulls the placement table of one data centre.
#[derive(Clone)]
pub struct TablePuller {
    /// Name of this VM.
    pub vm: VmName,
    /// Clock of this VM.
    pub clock: Clock,
    /// Lease handle, which knows the coordinators.
    pub lease: lease::Handle,
    /// Coordinator on this VM.
    pub coordinator: Arc<Coordinator>,
    /// Dispatcher, which receives the tables.
    pub dispatcher: Arc<Dispatcher>,
    /// Connections to other VMs.
    pub peers: PeerClients,
}

impl TablePuller {
    /// Pulls the table of `data_centre` until the task is dropped.
    pub async fn run(self, data_centre: DataCentre) {
        let mut pulls: u64 = 0;
        let mut load_requests = self.dispatcher.subscribe_load_requests();
        loop {
            let with_popularity = pulls.is_multiple_of(PULLS_PER_SUMMARY);
            let is_waiting = self.pull(&data_centre, with_popularity).await;
            pulls += 1;
            tokio::time::sleep(Duration::from_millis(MIN_PULL_INTERVAL_MS)).await;
            let interval_ms = if is_waiting {
                WAITING_PULL_INTERVAL_MS
            } else {
                PULL_INTERVAL_MS
            };
            let idle = Duration::from_millis(interval_ms - MIN_PULL_INTERVAL_MS);
            let _ = timeout(idle, load_requests.changed()).await;
        }
    }

    /// Pulls the table once and returns whether requests of this VM wait for a load in that data
    /// centre.
    async fn pull(&self, data_centre: &DataCentre, with_popularity: bool) -> bool {
        let Some(coordinator) = self.lease.coordinator_of(data_centre) else {
            return false;
        };
        let pull = self.dispatcher.pull(data_centre, with_popularity);
        let is_waiting = !pull.waiting.is_empty();
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
        is_waiting
    }
}
