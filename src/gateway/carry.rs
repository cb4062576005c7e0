//! How much of an account's rate a VM hands out by itself while nobody keeps the fleet's bucket.
//!
//! Each VM goes on at the rate at which it was granted tokens before, so that all together stay where
//! the account was; a VM that was granted less, as after a start, has a small equal part unless the
//! account was at its limit. A VM's part is often less than a request in some seconds; it begins
//! with a part of a request by chance, so that the VMs' requests add up to their parts, and with some
//! time in advance unless the account was at its limit.

use crate::types::MonoMs;
use crate::types::Tokens;

/// Time constant of the average of granted tokens, in milliseconds.
const AVERAGE_MS: f64 = 8_000.0;
/// Part of the rate that all VMs together hand out in equal parts.
const EQUAL_PART: f64 = 0.4;
/// Part of the average that is handed out while no bucket is kept anywhere.
const ALONE_PART: f64 = 0.9;
/// Part that is handed out while other VMs may still reach the bucket, or it is filling.
const BESIDE_PART: f64 = 0.4;
/// Longest time for which the part is handed out in advance, in milliseconds. It is no longer than
/// the part takes to reach one request.
const ADVANCE_MS: f64 = 3_000.0;
/// Time for which unused tokens are kept.
const KEEP_MS: f64 = 4_000.0;
/// Time after a refusal in which an account counts as at its limit.
const PRESSED_MS: u64 = 8_000;

/// Whether others may hand out tokens of the same account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Others {
    /// The bucket is not kept anywhere since this time, as far as this VM can tell.
    Alone(MonoMs),
    /// It may be kept.
    Beside,
}

/// One account's tokens at one VM.
#[derive(Clone, Debug)]
pub struct Carry {
    rate_tokens_per_s: u64,
    per_ms: f64,
    noted: MonoMs,
    /// When the bucket last refused tokens.
    refused: Option<MonoMs>,
    own: Option<Own>,
}

/// Tokens that the VM hands out by itself.
#[derive(Clone, Copy, Debug)]
struct Own {
    tokens: f64,
    at: MonoMs,
}

impl Carry {
    /// No tokens were granted so far.
    pub fn new(rate_tokens_per_s: u64, now: MonoMs) -> Self {
        Self {
            rate_tokens_per_s,
            per_ms: 0.0,
            noted: now,
            refused: None,
            own: None,
        }
    }

    /// Takes a new rate of the account. A lower one lowers the VM's part.
    pub fn set_rate(&mut self, rate_tokens_per_s: u64) {
        let old = self.rate_tokens_per_s.max(1) as f64;
        self.per_ms *= (rate_tokens_per_s as f64 / old).min(1.0);
        self.rate_tokens_per_s = rate_tokens_per_s;
    }

    /// Notes tokens that the bucket granted.
    pub fn granted(&mut self, tokens: Tokens, now: MonoMs) {
        self.per_ms = self.average(now) + tokens as f64 / AVERAGE_MS;
        self.noted = now;
        self.own = None;
    }

    /// Notes that the bucket had no tokens left.
    pub fn refused(&mut self, now: MonoMs) {
        self.refused = Some(now);
    }

    /// Takes `tokens` of the part of one of `vms`. `chance` is a random number from 0 to 1.
    ///
    /// # Errors
    /// They are not there yet; the time until they are.
    pub fn take(
        &mut self,
        tokens: Tokens,
        others: Others,
        vms: u32,
        chance: f64,
        now: MonoMs,
    ) -> Result<(), u64> {
        let need = tokens as f64;
        let (part, since) = match others {
            Others::Alone(since) => (ALONE_PART, since),
            Others::Beside => (BESIDE_PART, now),
        };
        if self.own.is_none() {
            // The average stands still from then on.
            self.per_ms = self.average(since);
            self.noted = since;
        }
        let is_pressed = self
            .refused
            .is_some_and(|refused| now.since(refused) < PRESSED_MS);
        let equal_per_ms = EQUAL_PART * self.rate_tokens_per_s as f64 / 1_000.0 / f64::from(vms);
        let (per_ms, most_advance) = match is_pressed {
            true => (self.per_ms * part, 0.0),
            false => ((self.per_ms * part).max(equal_per_ms), need),
        };
        let advance = (per_ms * ADVANCE_MS).min(most_advance);
        let own = self.own.get_or_insert(Own {
            tokens: need * chance + advance,
            at: since,
        });
        let most = need + per_ms * KEEP_MS;
        let earned = now.since(own.at) as f64 * per_ms;
        own.tokens = (own.tokens + earned).min(most);
        own.at = now;
        if own.tokens >= need {
            own.tokens -= need;
            return Ok(());
        }
        Err(((need - own.tokens) / per_ms.max(f64::MIN_POSITIVE)).min(AVERAGE_MS) as u64)
    }

    fn average(&self, now: MonoMs) -> f64 {
        let age_ms = now.since(self.noted) as f64;
        self.per_ms * (-age_ms / AVERAGE_MS).exp()
    }
}
