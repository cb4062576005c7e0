//! Drives a VM's [`LeasedIssuer`] with the clock and the coordinator lease.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::issuer::LeasedIssuer;
use super::message::BorrowReply;
use super::message::BorrowRequest;
use super::version::History;
use crate::lease::HeldLease;
use crate::types::AccountName;
use crate::types::Clock;
use crate::types::DataCentre;

/// Interval between checks of the lease. A new coordinator's buckets start to fill at the first
/// check.
const LEASE_POLL_MS: u64 = 50;

/// Reads the coordinator lease, usually [`crate::lease::Handle::current`].
pub type LeaseView = Arc<dyn Fn() -> Option<HeldLease> + Send + Sync>;

/// Issues tokens to VMs while this VM is the coordinator. Clones share their state; the background
/// task ends when the last clone is dropped.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    lease: LeaseView,
    issuer: Mutex<LeasedIssuer>,
}

impl Server {
    /// Starts a server without accounts. Must be called in a tokio runtime.
    pub fn spawn(data_centre: DataCentre, clock: Clock, lease: LeaseView) -> Self {
        let shared = Arc::new(Shared {
            clock,
            lease,
            issuer: Mutex::new(LeasedIssuer::new(data_centre)),
        });
        tokio::spawn(run(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Sets the versions of an account's limits. Must be called before the VM reports the control
    /// entry as applied, since that report allows other data centres to raise their shares.
    pub fn set_history(&self, account: AccountName, history: History) {
        let mut issuer = self.shared.issuer();
        issuer.set_history(self.shared.clock.mono(), account, history);
    }

    /// Adds an account of which no VM has ever granted tokens.
    pub fn add_new(&self, account: AccountName, history: History) {
        let mut issuer = self.shared.issuer();
        issuer.add_new(self.shared.clock.mono(), account, history);
    }

    /// Removes an account.
    pub fn remove(&self, account: &AccountName) {
        self.shared.issuer().remove(account);
    }

    /// Sets the index of the last control entry whose limits are set here.
    pub fn set_applied(&self, applied_index: u64) {
        self.shared.issuer().set_applied(applied_index);
    }

    /// Sets the settled control index, see [`super::Settlement`].
    pub fn settle(&self, settled_index: u64) {
        let mut issuer = self.shared.issuer();
        issuer.settle(self.shared.clock.mono(), settled_index);
    }

    /// Handles a VM's request.
    pub fn receive(&self, request: &BorrowRequest) -> BorrowReply {
        let mut issuer = self.shared.issuer();
        let held = (self.shared.lease)();
        issuer.receive(self.shared.clock.mono(), held, request)
    }
}

async fn run(shared: Weak<Shared>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(LEASE_POLL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let mut issuer = shared.issuer();
        let held = (shared.lease)();
        issuer.tick(shared.clock.mono(), held);
    }
}

impl Shared {
    fn issuer(&self) -> MutexGuard<'_, LeasedIssuer> {
        self.issuer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
