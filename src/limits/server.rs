//! Runs a VM's [`Desk`] against the clock and the coordinator lease.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::dispenser::Desk;
use super::message::BorrowReply;
use super::message::BorrowRequest;
use super::version::History;
use crate::lease::HeldLease;
use crate::types::AccountName;
use crate::types::Clock;
use crate::types::DataCentre;

/// Time between looks at the lease. A new coordinator's buckets fill from the first look on.
const TICK_MS: u64 = 50;

/// Reads the coordinator lease, usually [`crate::lease::Handle::current`].
pub type LeaseView = Arc<dyn Fn() -> Option<HeldLease> + Send + Sync>;

/// A VM's readiness to hand out tokens. Clones share it; the task ends with the last clone.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    lease: LeaseView,
    desk: Mutex<Desk>,
}

impl Server {
    /// Starts a server without accounts. Must be called in a tokio runtime.
    pub fn spawn(data_centre: DataCentre, clock: Clock, lease: LeaseView) -> Self {
        let shared = Arc::new(Shared {
            clock,
            lease,
            desk: Mutex::new(Desk::new(data_centre)),
        });
        tokio::spawn(run(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Sets the versions of an account's limits. Must be called before the VM reports the control
    /// entry as applied, since that report allows other data centres to raise their shares.
    pub fn set_history(&self, account: AccountName, history: History) {
        let mut desk = self.shared.desk();
        desk.set_history(self.shared.clock.mono(), account, history);
    }

    /// Forgets an account.
    pub fn remove(&self, account: &AccountName) {
        self.shared.desk().remove(account);
    }

    /// Tells the index of the last control entry whose limits were set here.
    pub fn set_applied(&self, applied_index: u64) {
        self.shared.desk().set_applied(applied_index);
    }

    /// Tells the settled control index, see [`super::Settlement`].
    pub fn settle(&self, settled_index: u64) {
        let mut desk = self.shared.desk();
        desk.settle(self.shared.clock.mono(), settled_index);
    }

    /// Answers a VM's request.
    pub fn receive(&self, request: &BorrowRequest) -> BorrowReply {
        let mut desk = self.shared.desk();
        let held = (self.shared.lease)();
        desk.receive(self.shared.clock.mono(), held, request)
    }
}

async fn run(shared: Weak<Shared>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let mut desk = shared.desk();
        let held = (shared.lease)();
        desk.tick(shared.clock.mono(), held);
    }
}

impl Shared {
    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
