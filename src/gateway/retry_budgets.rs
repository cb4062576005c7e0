//! Retry budgets of the services, as one entry VM keeps them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::RngExt;
use serde::Serialize;
use tokio::time::timeout;

use super::context::Gateway;
use crate::events::Event;
use crate::events::Severity;
use crate::limits::FleetSize;
use crate::limits::RetryBudget;
use crate::types::MonoMs;
use crate::types::ServiceName;

/// Time within which the fleet's bucket has to grant a retry.
const GRANT_TIMEOUT_MS: u64 = 200;
/// Time for which the fleet's bucket is not asked again after it granted nothing.
const BUCKET_PAUSE_MS: u64 = 250;

/// Log line: the part of the fleet's retry reserve that this VM may save for each service changed.
#[derive(Clone, Debug, Serialize)]
struct RetryPartChange {
    /// VMs among which the reserve is divided.
    vms: u32,
    /// Retries that this VM may save.
    part: f64,
}

impl Event for RetryPartChange {
    const KIND: &'static str = "retry_budget";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Retry budgets by service.
#[derive(Debug, Default)]
pub(super) struct RetryBudgets {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fleet: FleetSize,
    by_service: HashMap<ServiceName, ServiceBudget>,
}

#[derive(Debug, Default)]
struct ServiceBudget {
    own: RetryBudget,
    /// Time from which the fleet's bucket is asked again.
    ask_from: MonoMs,
}

impl RetryBudgets {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Adds a request's share to the retry budget of its service.
    pub(super) fn count_request(&self, service: &ServiceName) {
        let mut state = self.retry_budgets.lock();
        let vms = state.fleet.largest();
        let budget = state.by_service.entry(service.clone()).or_default();
        budget.own.add_request(&self.config.retry_limit, vms);
    }

    /// Takes a retry for a service from what this VM has saved, or else from the fleet's bucket. False
    /// if neither covers it.
    pub(super) async fn take_retry(&self, service: &ServiceName) -> bool {
        match self.take_saved_retry(service) {
            Ok(()) => return true,
            Err(ask_from) if self.now() < ask_from => return false,
            Err(_) => {}
        }
        let granting = self.quota.take_retry(service);
        let granted = timeout(Duration::from_millis(GRANT_TIMEOUT_MS), granting).await;
        let is_granted = granted.unwrap_or(false);
        if !is_granted {
            let mut state = self.retry_budgets.lock();
            let budget = state.by_service.entry(service.clone()).or_default();
            budget.ask_from = self.now().plus(BUCKET_PAUSE_MS);
        }
        is_granted
    }

    /// Takes a retry that this VM has saved. The error is the time from which the fleet's bucket may
    /// be asked.
    fn take_saved_retry(&self, service: &ServiceName) -> Result<(), MonoMs> {
        let mut state = self.retry_budgets.lock();
        let vms = state.fleet.largest();
        let budget = state.by_service.entry(service.clone()).or_default();
        let chance = rand::rng().random();
        if budget.own.take(&self.config.retry_limit, vms, chance) {
            return Ok(());
        }
        Err(budget.ask_from)
    }

    /// Counts the entry VMs that a controller saw lately, among which the retry reserve is divided.
    pub fn observe_fleet_size(&self, vms: u32) {
        let now = self.now();
        let mut state = self.retry_budgets.lock();
        let before = state.fleet.largest();
        state.fleet.observe(vms, now);
        let vms = state.fleet.largest();
        drop(state);
        if vms != before {
            let part = self.config.retry_limit.part(vms);
            self.events().emit(&RetryPartChange { vms, part });
        }
    }
}
