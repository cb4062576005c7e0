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

/// Interval at which the entry is renewed without a change.
const RENEW_INTERVAL_MS: u64 = 50;
/// Time for which the last entry spreads before the process ends.
const LEAVE_SPREAD_MS: u64 = 300;

/// Keeps the entry up to date.
#[derive(Clone)]
pub struct SelfEntry {
    settings: VmSettings,
    members: membership::Handle,
    lease: lease::Handle,
    effective_index: watch::Receiver<u64>,
    draining: Arc<AtomicBool>,
}

impl SelfEntry {
    /// An entry that reports the log index in `effective_index` and the lease.
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

    /// Renews the entry until the task is dropped.
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

    /// Announces that the VM shuts down.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Announces the end of the lease and lets the news spread.
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

/// The rarely changing part of the entry.
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
