//! A VM's estimates of the coordinators' buckets of one account.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::message::Granted;
use super::version::LimitVersion;
use super::version::NANO;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Tokens;

/// Age up to which an estimate is used instead of asking the coordinator again, so that a burst of
/// requests over the limit does not cause a burst of messages between regions.
const MAX_ESTIMATE_AGE_MS: u64 = 20;

/// Upper bound of a computed retry time.
const MAX_RETRY_MS: u64 = 24 * 3_600_000;

/// Last known state of one coordinator's bucket.
#[derive(Clone, Copy, Debug)]
struct BucketEstimate {
    at: MonoMs,
    level: u128,
    refill_per_ms: u128,
    capacity: u128,
}

impl BucketEstimate {
    fn tokens_at(&self, time: MonoMs) -> Tokens {
        let refill = u128::from(time.since(self.at)) * self.refill_per_ms;
        let level = (self.level + refill).min(self.capacity);
        Tokens::try_from(level / NANO).unwrap_or(Tokens::MAX)
    }
}

/// Estimated number of tokens in a data centre's bucket.
#[derive(Debug)]
struct Level {
    data_centre: DataCentre,
    tokens: Tokens,
    /// Whether the coordinator has reported recently enough that it is not asked again.
    fresh: bool,
}

/// Estimates of all coordinators' buckets of one account.
#[derive(Clone, Debug, Default)]
pub struct BucketEstimates {
    by_data_centre: BTreeMap<DataCentre, BucketEstimate>,
}

impl BucketEstimates {
    /// Records the bucket state in a reply from the coordinator of `data_centre`.
    pub fn note(&mut self, now: MonoMs, data_centre: DataCentre, granted: &Granted) {
        let estimate = BucketEstimate {
            at: now,
            level: u128::from(granted.left_tokens) * NANO,
            refill_per_ms: u128::from(granted.refill_per_ms),
            capacity: u128::from(granted.capacity_tokens) * NANO,
        };
        self.by_data_centre.insert(data_centre, estimate);
    }

    /// Distributes `missing` tokens over the data centres in `reachable`: those with the highest
    /// estimates, and all that were not asked since `started` if the estimates do not cover it.
    /// Empty if all were asked recently and have too few tokens together.
    pub fn plan(
        &self,
        now: MonoMs,
        started: MonoMs,
        limits: &LimitVersion,
        reachable: &[DataCentre],
        missing: Tokens,
    ) -> Vec<(DataCentre, Tokens)> {
        let level = |data_centre: &DataCentre| self.level(now, started, limits, data_centre);
        let mut levels: Vec<Level> = reachable.iter().map(level).collect();
        let estimated: Tokens = levels.iter().map(|level| level.tokens).sum();
        let unasked = levels.iter().filter(|level| !level.fresh).count() as u64;
        if estimated < missing && unasked == 0 {
            return Vec::new();
        }
        levels.sort_by_key(|level| Reverse(level.tokens));
        let extra = missing.saturating_sub(estimated).div_ceil(unasked.max(1));
        let mut rest = missing;
        let mut wanted = Vec::new();
        for level in levels {
            let part = level.tokens.min(rest);
            rest -= part;
            let part = if level.fresh { part } else { part + extra };
            if part > 0 {
                wanted.push((level.data_centre, part));
            }
        }
        wanted
    }

    fn level(
        &self,
        now: MonoMs,
        started: MonoMs,
        limits: &LimitVersion,
        data_centre: &DataCentre,
    ) -> Level {
        let (tokens, fresh) = match self.by_data_centre.get(data_centre) {
            Some(estimate) => {
                let fresh = estimate.at >= started || now.since(estimate.at) < MAX_ESTIMATE_AGE_MS;
                (estimate.tokens_at(now), fresh)
            }
            None => (limits.share(data_centre).capacity_tokens(), false),
        };
        Level {
            data_centre: data_centre.clone(),
            tokens,
            fresh,
        }
    }

    /// Time in milliseconds until the buckets of `reachable` hold `tokens`, given that `returned`
    /// is credited to them. `None` if they never will.
    pub fn covered_after_ms(
        &self,
        now: MonoMs,
        reachable: &[DataCentre],
        returned: &BTreeMap<DataCentre, Tokens>,
        tokens: Tokens,
    ) -> Option<u64> {
        let returned_to = |dc| returned.get(dc).copied().unwrap_or(0);
        let estimates: Vec<BucketEstimate> = reachable
            .iter()
            .filter_map(|dc| {
                let mut estimate = *self.by_data_centre.get(dc)?;
                estimate.level += u128::from(returned_to(dc)) * NANO;
                Some(estimate)
            })
            .collect();
        let covered = |after_ms: u64| {
            let time = now.plus(after_ms);
            let levels = estimates.iter().map(|estimate| estimate.tokens_at(time));
            levels.sum::<Tokens>() >= tokens
        };
        let (mut low, mut high) = (0, MAX_RETRY_MS);
        if !covered(high) {
            return None;
        }
        while low + 1 < high {
            let middle = (low + high) / 2;
            if covered(middle) {
                high = middle;
            } else {
                low = middle;
            }
        }
        Some(high)
    }
}
