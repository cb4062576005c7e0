//! Tokens of an account that a VM grants by itself while the fleet's token bucket is unavailable.
//!
//! Each VM continues at the rate at which the bucket granted it tokens before, so that the fleet's
//! total stays the same. A VM with a lower rate, such as one that has just started, gets a small
//! equal share unless the account was at its limit. A VM's share over some seconds is often smaller
//! than one request. The local bucket therefore starts with a random fraction of a request, so that
//! the sum over all VMs matches the shares, and with an advance unless the account was at its
//! limit. A bucket that moves grants some requests while it fills: that ends the outage for no
//! VM, so that its local bucket goes on as it was.

use crate::types::MonoMs;
use crate::types::Tokens;

/// Time constant of the moving average of granted tokens, in milliseconds.
const AVERAGE_MS: f64 = 8_000.0;
/// Share of the account's rate that is divided equally among the VMs.
const EQUAL_SHARE: f64 = 0.4;
/// Share of the average that is granted while the bucket is unavailable to all VMs.
const UNAVAILABLE_SHARE: f64 = 0.9;
/// Share that is granted while other VMs may still reach the bucket or the bucket is filling.
const PARTITIONED_SHARE: f64 = 0.4;
/// Longest period for which tokens are granted in advance, in milliseconds. The advance is at most
/// one request.
const ADVANCE_MS: f64 = 3_000.0;
/// Shortest time between two advances. Operators measure the limit over such a period.
const ADVANCE_INTERVAL_MS: u64 = 8_000;
/// Period over which unused tokens accumulate, in milliseconds.
const MAX_ACCRUAL_MS: f64 = 4_000.0;
/// Time after a refusal for which an account counts as being at its limit.
const AT_LIMIT_MS: u64 = 8_000;

/// Whether other VMs may be granted tokens of the same account from the bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BucketState {
    /// Unavailable to all VMs since this time, as far as this VM can tell.
    Unavailable(MonoMs),
    /// Possibly available to other VMs.
    PossiblyAvailable,
}

/// Token allowance of one account on one VM.
#[derive(Clone, Debug)]
pub struct OutageAllowance {
    rate_tokens_per_s: u64,
    granted_per_ms: f64,
    averaged_at: MonoMs,
    /// Time at which the bucket last refused tokens.
    refused_at: Option<MonoMs>,
    local: Option<LocalBucket>,
}

/// Tokens that the VM grants by itself.
#[derive(Clone, Copy, Debug)]
struct LocalBucket {
    tokens: f64,
    /// Time up to which it has been filled.
    at: MonoMs,
    /// Time at which it was created, with a random fraction and an advance.
    advanced: MonoMs,
    /// Whether the fleet's bucket has granted tokens since it was last used.
    is_suspended: bool,
}

impl LocalBucket {
    /// Whether an outage that begins now is another one than that for which it was created.
    fn is_outdated(&self, now: MonoMs) -> bool {
        self.is_suspended && now.since(self.advanced) >= ADVANCE_INTERVAL_MS
    }
}

impl OutageAllowance {
    /// Creates the allowance of an account that has been granted no tokens yet.
    pub fn new(rate_tokens_per_s: u64, now: MonoMs) -> Self {
        Self {
            rate_tokens_per_s,
            granted_per_ms: 0.0,
            averaged_at: now,
            refused_at: None,
            local: None,
        }
    }

    /// Sets the account's rate. A lower rate lowers the average in proportion.
    pub fn set_rate(&mut self, rate_tokens_per_s: u64) {
        let old = self.rate_tokens_per_s.max(1) as f64;
        self.granted_per_ms *= (rate_tokens_per_s as f64 / old).min(1.0);
        self.rate_tokens_per_s = rate_tokens_per_s;
    }

    /// Records tokens granted by the bucket. The local allowance does not fill until it is used again.
    pub fn granted(&mut self, tokens: Tokens, now: MonoMs) {
        self.granted_per_ms = self.average(now) + tokens as f64 / AVERAGE_MS;
        self.averaged_at = now;
        if let Some(local) = &mut self.local {
            local.is_suspended = true;
        }
    }

    /// Records that the bucket refused tokens.
    pub fn refused(&mut self, now: MonoMs) {
        self.refused_at = Some(now);
    }

    /// Takes `tokens` from the share of one of `vms` VMs. `chance` is a random number from 0 to 1.
    ///
    /// # Errors
    /// There are not enough tokens yet; returns the milliseconds until there are.
    pub fn take(
        &mut self,
        tokens: Tokens,
        bucket_state: BucketState,
        vms: u32,
        chance: f64,
        now: MonoMs,
    ) -> Result<(), u64> {
        let needed = tokens as f64;
        let (share, since) = match bucket_state {
            BucketState::Unavailable(since) => (UNAVAILABLE_SHARE, since),
            BucketState::PossiblyAvailable => (PARTITIONED_SHARE, now),
        };
        self.local = self.local.filter(|local| !local.is_outdated(now));
        if self.local.is_none_or(|local| local.is_suspended) {
            // The average does not decay any further while the VM grants tokens by itself.
            self.granted_per_ms = self.average(since);
            self.averaged_at = self.averaged_at.max(since);
        }
        let is_at_limit = self
            .refused_at
            .is_some_and(|refused_at| now.since(refused_at) < AT_LIMIT_MS);
        let equal_per_ms = EQUAL_SHARE * self.rate_tokens_per_s as f64 / 1_000.0 / f64::from(vms);
        let (per_ms, most_advance) = match is_at_limit {
            true => (self.granted_per_ms * share, 0.0),
            false => ((self.granted_per_ms * share).max(equal_per_ms), needed),
        };
        let advance = (per_ms * ADVANCE_MS).min(most_advance);
        let local = self.local.get_or_insert(LocalBucket {
            tokens: needed * chance + advance,
            at: since,
            advanced: now,
            is_suspended: false,
        });
        if local.is_suspended {
            local.is_suspended = false;
            local.at = now;
        }
        let most = needed + per_ms * MAX_ACCRUAL_MS;
        let earned = now.since(local.at) as f64 * per_ms;
        local.tokens = (local.tokens + earned).min(most);
        local.at = now;
        if local.tokens >= needed {
            local.tokens -= needed;
            return Ok(());
        }
        Err(((needed - local.tokens) / per_ms.max(f64::MIN_POSITIVE)).min(AVERAGE_MS) as u64)
    }

    fn average(&self, now: MonoMs) -> f64 {
        let age_ms = now.since(self.averaged_at) as f64;
        self.granted_per_ms * (-age_ms / AVERAGE_MS).exp()
    }
}
