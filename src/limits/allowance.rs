//! Granted tokens that a VM holds, with deadlines on its local clock.

use super::message::GrantId;
use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Tokens;

/// Time constant of the moving average of recent use, in milliseconds.
const USE_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Time since the last request after which no tokens are prefetched, so that idle VMs hold none.
const IDLE_MS: u64 = 500;

/// Maximum duration of recent use that is prefetched.
const MAX_PREFETCH_MS: u64 = 250;

/// Tokens that a VM holds from one grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldGrant {
    /// Data centre whose coordinator granted them.
    pub source: DataCentre,
    /// The grant.
    pub grant: GrantId,
    /// Number of tokens.
    pub tokens: Tokens,
    /// Time before which they may be reserved, on the local clock.
    pub deadline: MonoMs,
    /// Time from which unused tokens are returned instead of kept.
    pub keep_until: MonoMs,
}

/// Tokens reserved for one request. It must be settled; the tokens of a dropped reservation count
/// as used.
#[derive(Debug)]
#[must_use = "a reservation must be settled"]
pub struct Reservation {
    pub(super) account: AccountName,
    pub(super) grants: Vec<HeldGrant>,
}

impl Reservation {
    /// The account.
    pub fn account(&self) -> &AccountName {
        &self.account
    }

    /// Number of reserved tokens.
    pub fn tokens(&self) -> Tokens {
        self.grants.iter().map(|grant| grant.tokens).sum()
    }

    /// Time before which the request should be dispatched. Rate and burst hold exactly for the
    /// times of reservation, and for the times of dispatch if each is before this deadline. A
    /// request that is still waiting at the deadline should settle with 0 tokens and reserve again.
    pub fn dispatch_before(&self) -> MonoMs {
        let deadlines = self.grants.iter().map(|grant| grant.deadline);
        deadlines.min().unwrap_or(MonoMs(u64::MAX))
    }
}

/// One account's unreserved tokens at one VM.
#[derive(Debug, Default)]
pub struct Allowance {
    grants: Vec<HeldGrant>,
    use_per_ms: f64,
    use_at: MonoMs,
    last_use: MonoMs,
}

impl Allowance {
    /// Adds tokens.
    pub fn add(&mut self, grant: HeldGrant) {
        if grant.tokens > 0 {
            self.grants.push(grant);
        }
    }

    /// Number of tokens that may be reserved at `now`.
    pub fn available(&self, now: MonoMs) -> Tokens {
        let live = self.grants.iter().filter(|grant| now < grant.deadline);
        live.map(|grant| grant.tokens).sum()
    }

    /// Removes up to `tokens`, earliest deadlines first.
    pub fn take(&mut self, now: MonoMs, tokens: Tokens) -> Vec<HeldGrant> {
        self.grants.sort_by_key(|grant| grant.deadline);
        let mut missing = tokens;
        let mut taken = Vec::new();
        for grant in self.grants.iter_mut().filter(|grant| now < grant.deadline) {
            let part = grant.tokens.min(missing);
            if part == 0 {
                break;
            }
            missing -= part;
            grant.tokens -= part;
            taken.push(HeldGrant {
                tokens: part,
                ..grant.clone()
            });
        }
        self.grants.retain(|grant| grant.tokens > 0);
        taken
    }

    /// Removes the tokens that should be returned to their coordinators. Removed tokens can never
    /// be used, so they may be returned even after their deadline.
    pub fn remove_unneeded(&mut self, now: MonoMs) -> Vec<HeldGrant> {
        let keeps = |grant: &HeldGrant| now < grant.keep_until;
        let unneeded = self.grants.iter().filter(|grant| !keeps(grant));
        let removed = unneeded.cloned().collect();
        self.grants.retain(keeps);
        removed
    }

    /// Records that a request asked for `tokens`.
    pub fn note_use(&mut self, now: MonoMs, tokens: Tokens) {
        self.decay(now);
        self.use_per_ms += tokens as f64 / USE_TIME_CONSTANT_MS;
        self.last_use = now;
    }

    /// Number of tokens to hold for requests that are expected soon.
    pub fn prefetch_target(&mut self, now: MonoMs, lifetime_ms: u64) -> Tokens {
        self.decay(now);
        if now.since(self.last_use) >= IDLE_MS {
            return 0;
        }
        let ahead_ms = MAX_PREFETCH_MS.min(lifetime_ms / 2);
        (self.use_per_ms * ahead_ms as f64) as Tokens
    }

    fn decay(&mut self, now: MonoMs) {
        let elapsed_ms = now.since(self.use_at) as f64;
        self.use_per_ms *= (-elapsed_ms / USE_TIME_CONSTANT_MS).exp();
        self.use_at = self.use_at.max(now);
    }
}
