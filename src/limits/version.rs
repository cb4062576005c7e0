//! Versions of an account's limits and the share that a data centre may safely use.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::DataCentre;
use crate::types::Tokens;

/// One whole in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Billionths of a token per token. The share of a rate (tokens per second times parts per million)
/// is a whole number of these per millisecond, so no rounding error accumulates.
pub const NANO: u128 = 1_000_000_000;

/// Maximum lifetime of a grant.
pub const MAX_LIFETIME_MS: u64 = 1_000;

/// Lifetime below which a grant from another region may expire in transit.
const USEFUL_LIFETIME_MS: u64 = 150;

/// The refill of one lifetime is at most the burst divided by this, since it is deducted from the
/// bucket capacity.
const LIFETIME_BURST_DIVISOR: u64 = 20;

/// The same limit where [`LIFETIME_BURST_DIVISOR`] would make the lifetime shorter than
/// [`USEFUL_LIFETIME_MS`].
const MIN_LIFETIME_BURST_DIVISOR: u64 = 2;

/// One accepted version of an account's limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitVersion {
    /// Index of the control entry that set it.
    pub revision: u64,
    /// Rate in tokens per second, fleet-wide.
    pub rate_tokens_per_s: Tokens,
    /// Burst in tokens, fleet-wide.
    pub burst_tokens: Tokens,
    /// Share of each data centre in parts per million; the sum is at most [`WHOLE_PPM`].
    pub shares_ppm: BTreeMap<DataCentre, u32>,
}

/// The part of an account's limits that one data centre may issue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// Refill in billionths of a token per millisecond.
    pub refill_per_ms: u128,
    /// Share of the burst in billionths of a token.
    pub burst: u128,
    /// Lifetime of grants in milliseconds.
    pub lifetime_ms: u64,
}

impl LimitVersion {
    /// Equal shares for `data_centres`; the remainder of the division is not assigned.
    pub fn equal_shares(data_centres: &[DataCentre]) -> BTreeMap<DataCentre, u32> {
        let count = u32::try_from(data_centres.len()).unwrap_or(u32::MAX).max(1);
        let each = WHOLE_PPM / count;
        data_centres.iter().cloned().map(|dc| (dc, each)).collect()
    }

    /// The share of `data_centre`.
    pub fn share(&self, data_centre: &DataCentre) -> Share {
        let ppm = u128::from(self.shares_ppm.get(data_centre).copied().unwrap_or(0));
        Share {
            refill_per_ms: u128::from(self.rate_tokens_per_s) * ppm,
            burst: u128::from(self.burst_tokens) * ppm * (NANO / u128::from(WHOLE_PPM)),
            lifetime_ms: self.lifetime_ms(),
        }
    }

    /// Lifetime of grants in milliseconds: a twentieth of the time in which the rate fills the
    /// burst, at most 1,000 ms, and at least 150 ms unless that would take more than half of the
    /// burst.
    pub fn lifetime_ms(&self) -> u64 {
        if self.rate_tokens_per_s == 0 {
            return MAX_LIFETIME_MS;
        }
        let fill_ms = self.burst_tokens.saturating_mul(1_000) / self.rate_tokens_per_s;
        (fill_ms / LIFETIME_BURST_DIVISOR)
            .clamp(USEFUL_LIFETIME_MS, MAX_LIFETIME_MS)
            .min(fill_ms / MIN_LIFETIME_BURST_DIVISOR)
    }

    /// Largest request that full buckets in all data centres can cover together, in tokens.
    pub fn largest_tokens(&self) -> Tokens {
        self.shares_ppm
            .keys()
            .map(|dc| self.share(dc).capacity_tokens())
            .sum()
    }

    /// True if no data centre has a smaller share under `self` than under `other`.
    fn covers(&self, other: &Self) -> bool {
        other.shares_ppm.keys().all(|dc| {
            let new = self.share(dc);
            let old = other.share(dc);
            new.refill_per_ms >= old.refill_per_ms && new.burst >= old.burst
        })
    }
}

impl Share {
    /// Bucket capacity: granted tokens may be used up to one lifetime later, so the refill of one
    /// lifetime is deducted from the burst.
    pub fn capacity(&self) -> u128 {
        let reserved = self.refill_per_ms * u128::from(self.lifetime_ms);
        self.burst.saturating_sub(reserved)
    }

    /// Bucket capacity in whole tokens.
    pub fn capacity_tokens(&self) -> Tokens {
        Tokens::try_from(self.capacity() / NANO).unwrap_or(Tokens::MAX)
    }

    /// The minimum of each field.
    fn lower(self, other: Self) -> Self {
        Self {
            refill_per_ms: self.refill_per_ms.min(other.refill_per_ms),
            burst: self.burst.min(other.burst),
            lifetime_ms: self.lifetime_ms.min(other.lifetime_ms),
        }
    }
}

/// The versions of one account's limits that some data centre may still use, oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    versions: Vec<LimitVersion>,
}

impl History {
    /// Creates a history that starts with `first`. Only correct for a new account, or when every
    /// data centre is known to use `first` or a later version.
    pub fn new(first: LimitVersion) -> Self {
        Self {
            versions: vec![first],
        }
    }

    /// Adds a later version. Versions that it covers in every data centre are dropped, since a data
    /// centre that still uses them stays within the new version.
    pub fn push(&mut self, version: LimitVersion) {
        while self.versions.last().is_some_and(|old| version.covers(old)) {
            self.versions.pop();
        }
        self.versions.push(version);
    }

    /// Drops the versions that no data centre uses any longer, given that all have applied
    /// `settled_index`.
    pub fn settle(&mut self, settled_index: u64) {
        let in_force = self
            .versions
            .iter()
            .rposition(|version| version.revision <= settled_index);
        if let Some(index) = in_force {
            self.versions.drain(..index);
        }
    }

    /// Smallest control index at which [`History::settle`] drops a version; `None` if there is only
    /// one version.
    pub fn next_settled_revision(&self) -> Option<u64> {
        self.versions.get(1).map(|version| version.revision)
    }

    /// The newest version.
    pub fn latest(&self) -> Option<&LimitVersion> {
        self.versions.last()
    }

    /// Share of `data_centre`: the minimum over all versions in the history. All data centres'
    /// histories contain the oldest version in use, so the sum over data centres never exceeds that
    /// version's rate and burst.
    pub fn share(&self, data_centre: &DataCentre) -> Share {
        self.versions
            .iter()
            .map(|version| version.share(data_centre))
            .reduce(Share::lower)
            .unwrap_or_default()
    }
}
