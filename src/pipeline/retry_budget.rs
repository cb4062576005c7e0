//! Retry budget of a VM on the own request path.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rand::RngExt;

use crate::limits;
use crate::limits::FleetSize;
use crate::limits::RetryLimit;
use crate::types::MonoMs;

/// Retries of all VMs together. Of the reserve, the VMs save 64.
const RETRY_LIMIT: RetryLimit = RetryLimit {
    per_request: 0.2,
    reserve: 160.0,
    window_ms: 10_000,
};

/// Retries that the VM may still make.
#[derive(Debug, Default)]
pub struct RetryBudget {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    fleet: FleetSize,
    budget: limits::RetryBudget,
}

impl Default for State {
    fn default() -> Self {
        Self {
            fleet: FleetSize::default(),
            // No bucket grants retries on this path, so a VM needs its part at once.
            budget: limits::RetryBudget::full(),
        }
    }
}

impl RetryBudget {
    /// Counts the VMs that are known at `now`, among which the reserve is divided.
    pub fn observe_fleet_size(&self, vms: u32, now: MonoMs) {
        self.lock().fleet.observe(vms, now);
    }

    /// Adds the retries of one admitted request.
    pub fn add_request(&self) {
        let mut state = self.lock();
        let vms = state.fleet.largest();
        state.budget.add_request(&RETRY_LIMIT, vms);
    }

    /// Takes one retry from the budget; false if less than one is left.
    pub fn take(&self) -> bool {
        let mut state = self.lock();
        let vms = state.fleet.largest();
        state.budget.take(&RETRY_LIMIT, vms, rand::rng().random())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
