//! This VM's own entry in the membership.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use super::health::VmHealth;
use crate::configs::vm::VmSettings;
use crate::lease;
use crate::membership;
use crate::membership::VmPayload;
use crate::membership::VmStatus;
use crate::pipeline::Health;

/// Interval at which the entry is published when nothing changes.
const RENEW_INTERVAL_MS: u64 = 50;
/// Time for gossip to spread the last entry before the process ends.
const LEAVE_SPREAD_MS: u64 = 300;

/// Publishes the entry of this VM.
#[derive(Clone)]
pub struct SelfEntry {
    settings: VmSettings,
    members: membership::Handle,
    lease: lease::Handle,
    effective_index: watch::Receiver<u64>,
    draining: Arc<AtomicBool>,
}

impl SelfEntry {
    /// Creates an entry that reports the index in `effective_index` and the state of the lease.
    pub fn new(
        settings: &VmSettings,
        members: &membership::Handle,
        lease: &lease::Handle,
        effective_index: watch::Receiver<u64>,
    ) -> Self {
        Self {
            settings: settings.clone(),
            members: members.clone(),
            lease: lease.clone(),
            effective_index,
            draining: Arc::default(),
        }
    }

    /// Publishes the entry until the sender of the index is dropped.
    pub async fn run(mut self, health: Arc<VmHealth>) {
        loop {
            let ready = health.check_ready().is_ok();
            self.publish(ready);
            let changed = self.effective_index.changed();
            if let Ok(Err(_)) = timeout(Duration::from_millis(RENEW_INTERVAL_MS), changed).await {
                return;
            }
        }
    }

    /// Marks the VM as draining in the entries that follow.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Publishes that the VM is not ready and no longer holds the lease, and waits until gossip has
    /// spread the entry.
    pub async fn leave(&self) {
        self.publish(false);
        sleep(Duration::from_millis(LEAVE_SPREAD_MS)).await;
    }

    fn publish(&self, ready: bool) {
        let draining = self.draining.load(Ordering::SeqCst);
        let held = self.lease.current();
        let status = VmStatus {
            applied_index: *self.effective_index.borrow(),
            coordinator_term: held.as_ref().map_or(0, |held| held.term),
            settled_index: held.as_ref().map_or(0, |held| held.settled_index),
        };
        self.members
            .set_self(payload(&self.settings, ready, draining), status);
    }
}

/// Payload of the entry, which rarely changes.
pub(super) fn payload(settings: &VmSettings, ready: bool, draining: bool) -> VmPayload {
    VmPayload {
        data_centre: settings.data_centre.clone(),
        peer_address: settings.peer_address.to_string(),
        caller_address: settings.caller_address.to_string(),
        admin_address: settings.admin_address.to_string(),
        ready,
        draining,
    }
}
