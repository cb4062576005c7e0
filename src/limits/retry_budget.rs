//! Retry budget: bounds the retries of all VMs together, so that the loss of backend servers causes
//! no retry storm.
//!
//! A VM begins with nothing, saves up with each request that it admits, and its savings never exceed
//! its part of the fleet's reserve. A restart therefore gives nothing away, whatever number of VMs
//! restart together. Another part of the reserve is in one token bucket of the fleet, from which
//! VMs without savings take single retries.

use std::collections::BTreeMap;

use super::version::LimitVersion;
use super::version::WHOLE_PPM;
use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::ServiceName;

/// Share of the reserve that the VMs may save. It is divided among the known VMs.
const SAVED_SHARE: f64 = 0.4;
/// Share of the reserve that the fleet's bucket grants within one window.
const BUCKET_SHARE: f64 = 0.4;
/// Share of the allowed retries per request that is used.
const PER_REQUEST_SHARE: f64 = 0.9;
/// Prefix of the names of the buckets. No client account has a name with this character.
const NAME_PREFIX: &str = "\u{1f}retries/";

/// Retries that all VMs together may make on behalf of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per admitted request.
    pub per_request: f64,
    /// Retries in addition to those within one window.
    pub reserve: f64,
    /// Length of a window.
    pub window_ms: u64,
}

impl RetryLimit {
    /// Part of the reserve that one of `vms` VMs may save.
    pub fn part(&self, vms: u32) -> f64 {
        self.reserve * SAVED_SHARE / f64::from(vms.max(1))
    }

    /// Limits of the fleet's bucket, as those of `share`. Half of what it grants within one window
    /// is its burst, the other half its refill. Rates are whole tokens per second, so the fraction is
    /// expressed by the size of the share.
    pub fn bucket_limits(&self, share: DataCentre) -> LimitVersion {
        let burst = self.reserve * BUCKET_SHARE / 2.0;
        let per_s = burst * 1_000.0 / self.window_ms.max(1) as f64;
        let rate_tokens_per_s = per_s.ceil().max(1.0);
        let part = per_s / rate_tokens_per_s;
        let ppm = (part * f64::from(WHOLE_PPM)) as u32;
        LimitVersion {
            revision: 1,
            rate_tokens_per_s: rate_tokens_per_s as u64,
            burst_tokens: (burst / part.max(f64::MIN_POSITIVE)) as u64,
            shares_ppm: BTreeMap::from([(share, ppm)]),
        }
    }
}

/// Name of the fleet's bucket of retries for a service.
pub fn retry_bucket(service: &ServiceName) -> AccountName {
    AccountName::from(format!("{NAME_PREFIX}{service}"))
}

/// Retries that one VM has saved.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// A budget that begins with the VM's whole part. A restart gives it again.
    pub fn full() -> Self {
        Self { saved: f64::MAX }
    }

    /// Saves the share of one admitted request. The reserve is divided among `vms` VMs.
    pub fn add_request(&mut self, limit: &RetryLimit, vms: u32) {
        let share = limit.per_request * PER_REQUEST_SHARE;
        self.saved = (self.saved + share).min(limit.part(vms));
    }

    /// Spends one retry; false if it is not covered. Where the part of one VM is below one retry,
    /// savings are spent as the probability of a retry: `chance` is a random number from 0 to 1.
    pub fn take(&mut self, limit: &RetryLimit, vms: u32, chance: f64) -> bool {
        let part = limit.part(vms);
        self.saved = self.saved.min(part);
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return true;
        }
        if part >= 1.0 {
            return false;
        }
        let probability = std::mem::take(&mut self.saved);
        chance < probability
    }
}
