//! How much of an account's rate a VM hands out by itself while nobody keeps the fleet's bucket.
//!
//! Each VM goes on at the rate at which it was granted tokens before, so that all together stay where
//! the account was; a VM that was granted less, as after a start, has a small equal share unless the
//! account was at its limit. A VM's share is often less than a request in some seconds; it begins
//! with a share of a request by chance, so that the VMs' requests add up to their parts, and with some
//! time in advance unless the account was at its limit.

use crate::types::MonoMs;
use crate::types::Tokens;

/// Time constant of the average of granted tokens, in milliseconds.
const AVERAGE_MS: f64 = 8_000.0;
/// Part of the rate that all VMs together hand out in equal parts.
const EQUAL_SHARE: f64 = 0.4;
/// Part of the average that is handed out while no bucket is kept anywhere.
const UNAVAILABLE_SHARE: f64 = 0.9;
/// Part that is handed out while other VMs may still reach the bucket, or it is filling.
const PARTITIONED_SHARE: f64 = 0.4;
/// Longest time for which the share is handed out in advance, in milliseconds. It is no longer than
/// the share takes to reach one request.
const ADVANCE_MS: f64 = 3_000.0;
/// Time for which unused tokens are kept.
const MAX_ACCRUAL_MS: f64 = 4_000.0;
/// Time after a refusal in which an account counts as at its limit.
const AT_LIMIT_MS: u64 = 8_000;

/// Whether bucket_state may hand out tokens of the same account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BucketState {
    /// The bucket is not kept anywhere since this time, as far as this VM can tell.
    Unavailable(MonoMs),
    /// It may be kept.
    PossiblyAvailable,
}

/// One account's tokens at one VM.
#[derive(Clone, Debug)]
pub struct OutageAllowance {
    rate_tokens_per_s: u64,
    granted_per_ms: f64,
    averaged_at: MonoMs,
    /// When the bucket last refused tokens.
    refused_at: Option<MonoMs>,
    local: Option<LocalBucket>,
}

/// Tokens that the VM hands out by itself.
#[derive(Clone, Copy, Debug)]
struct LocalBucket {
    tokens: f64,
    at: MonoMs,
}

impl OutageAllowance {
    /// No tokens were granted so far.
    pub fn new(rate_tokens_per_s: u64, now: MonoMs) -> Self {
        Self {
            rate_tokens_per_s,
            granted_per_ms: 0.0,
            averaged_at: now,
            refused_at: None,
            local: None,
        }
    }

    /// Takes a new rate of the account. A lower one lowers the VM's share.
    pub fn set_rate(&mut self, rate_tokens_per_s: u64) {
        let old = self.rate_tokens_per_s.max(1) as f64;
        self.granted_per_ms *= (rate_tokens_per_s as f64 / old).min(1.0);
        self.rate_tokens_per_s = rate_tokens_per_s;
    }

    /// Notes tokens that the bucket granted.
    pub fn granted(&mut self, tokens: Tokens, now: MonoMs) {
        self.granted_per_ms = self.average(now) + tokens as f64 / AVERAGE_MS;
        self.averaged_at = now;
        self.local = None;
    }

    /// Notes that the bucket had no tokens left.
    pub fn refused(&mut self, now: MonoMs) {
        self.refused_at = Some(now);
    }

    /// Takes `tokens` of the share of one of `vms`. `chance` is a random number from 0 to 1.
    ///
    /// # Errors
    /// They are not there yet; the time until they are.
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
        if self.local.is_none() {
            // The average stands still from then on.
            self.granted_per_ms = self.average(since);
            self.averaged_at = since;
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
        });
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
