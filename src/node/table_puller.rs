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
const PULL_INTERVAL_MS: u64 = 250;
/// Interval between pulls of one table while this VM waits for a load of that data centre.
const WAITING_PULL_INTERVAL_MS: u64 = 50;
/// Least interval between pulls of one table.
const MIN_PULL_INTERVAL_MS: u64 = 20;
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

    /// Pulls once and returns whether this VM waits for a load of that data centre.
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
