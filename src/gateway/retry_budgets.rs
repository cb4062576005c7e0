//! Retry budgets of the services, as one entry VM keeps them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Serialize;

use super::context::Gateway;
use crate::events::Event;
use crate::events::Severity;
use crate::pipeline::RetryBudget;
use crate::types::ServiceName;

/// Share of the fleet's retry reserve that is divided among the known VMs. The rest is kept for VMs
/// that are not counted.
const RETRY_RESERVE_SHARE: f64 = 0.7;
/// Share of the allowed retries per request that is used.
const RETRIES_SHARE: f64 = 0.9;

/// Log line: the budget of a service was opened.
#[derive(Clone, Debug, Serialize)]
struct RetryBudgetOpened {
    service: ServiceName,
    /// VMs among which the fleet's reserve is divided.
    vms: u32,
    /// Retries in the budget.
    saved: f64,
}

impl Event for RetryBudgetOpened {
    const KIND: &'static str = "retry_budget";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Retry budgets by service.
#[derive(Debug, Default)]
pub(super) struct RetryBudgets {
    by_service: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, RetryBudget>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Adds a request's share to the retry budget of its service.
    pub(super) fn count_request(&self, service: &ServiceName) {
        let mut budgets = self.retry_budgets.lock();
        self.budget(&mut budgets, service).add_request();
    }

    /// Takes a retry from the budget of a service; false if it is used up.
    pub(super) fn take_retry(&self, service: &ServiceName) -> bool {
        let mut budgets = self.retry_budgets.lock();
        self.budget(&mut budgets, service).take()
    }

    fn budget<'a>(
        &self,
        budgets: &'a mut HashMap<ServiceName, RetryBudget>,
        service: &ServiceName,
    ) -> &'a RetryBudget {
        budgets.entry(service.clone()).or_insert_with(|| {
            let vms = self.quota.entry_vms();
            let saved = self.config.retry_reserve * RETRY_RESERVE_SHARE / f64::from(vms);
            self.events().emit(&RetryBudgetOpened {
                service: service.clone(),
                vms,
                saved,
            });
            RetryBudget::new(self.config.retries_per_request * RETRIES_SHARE, saved)
        })
    }
}
