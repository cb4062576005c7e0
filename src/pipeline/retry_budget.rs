//! Retry budget: bounds retries, so that the loss of an engine causes no retry storm.

use std::sync::Mutex;

/// Retries that each admitted request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Largest number of retries in the budget.
const MAX_RETRIES: f64 = 64.0;

/// Retries that the VM may still make.
#[derive(Debug)]
pub struct RetryBudget {
    per_request: f64,
    max: f64,
    retries: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RETRIES_PER_REQUEST, MAX_RETRIES)
    }
}

impl RetryBudget {
    /// A full budget to which each request adds `per_request`, up to `max`.
    pub fn new(per_request: f64, max: f64) -> Self {
        Self {
            per_request,
            max,
            retries: Mutex::new(max),
        }
    }

    /// Adds the retries of one admitted request.
    pub fn add_request(&self) {
        let mut retries = self.retries.lock().expect("no holder panics");
        *retries = (*retries + self.per_request).min(self.max);
    }

    /// Takes one retry from the budget; false if less than one is left.
    pub fn take(&self) -> bool {
        let mut retries = self.retries.lock().expect("no holder panics");
        if *retries < 1.0 {
            return false;
        }
        *retries -= 1.0;
        true
    }
}
