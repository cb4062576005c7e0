//! Token bucket that accepts returns of granted tokens that were not used.

use std::collections::VecDeque;

use super::version::NANO;
use super::version::Share;
use crate::types::MonoMs;
use crate::types::Tokens;

/// Maximum number of stored headroom minima; older ones are merged, which can only reduce later
/// credits.
const MAX_HEADROOM_MINIMA: usize = 256;

/// A token bucket that starts empty.
///
/// A return is treated as if its tokens had never been granted. If they had stayed in the bucket,
/// it might have been full earlier and lost refill. The credit is therefore limited by the smallest
/// headroom (capacity minus level) since the grant. Without this limit, a full bucket whose tokens
/// are granted, refilled and returned would issue more than rate and burst allow.
#[derive(Debug)]
pub struct TokenBucket {
    share: Share,
    level: u128,
    at: MonoMs,
    returnable_from: MonoMs,
    /// Times and headrooms just before grants; each headroom is the smallest since its time. Both
    /// increase from front to back.
    headroom_minima: VecDeque<(MonoMs, u128)>,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(share: Share, now: MonoMs) -> Self {
        Self {
            share,
            level: 0,
            at: now,
            returnable_from: now,
            headroom_minima: VecDeque::new(),
        }
    }

    /// Creates a full bucket, for limits that may be exceeded by one burst after a start.
    pub fn full(share: Share, now: MonoMs) -> Self {
        Self {
            level: share.capacity(),
            ..Self::new(share, now)
        }
    }

    /// Share of the account's limits that the bucket enforces.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Time of the last change. Earlier timestamps are treated as equal to it.
    pub fn at(&self) -> MonoMs {
        self.at
    }

    /// Changes the share. Tokens granted before the change can no longer be returned.
    pub fn set_share(&mut self, now: MonoMs, share: Share) {
        if share == self.share {
            return;
        }
        self.refill(now);
        self.share = share;
        self.level = self.level.min(share.capacity());
        self.returnable_from = self.at;
        self.headroom_minima.clear();
    }

    /// Number of whole tokens in the bucket.
    pub fn tokens(&mut self, now: MonoMs) -> Tokens {
        self.refill(now);
        whole(self.level)
    }

    /// Takes up to `need` tokens, and up to `ahead` more while the bucket stays half full.
    pub fn take(&mut self, now: MonoMs, need: Tokens, ahead: Tokens) -> Tokens {
        let level = self.tokens(now);
        let needed = need.min(level);
        let half = whole(self.share.capacity()) / 2;
        let spare = (level - needed).saturating_sub(half);
        let taken = needed + ahead.min(spare);
        if taken > 0 {
            self.record_headroom();
            self.level -= u128::from(taken) * NANO;
        }
        taken
    }

    /// Credits the return of `tokens` from the grants made at `granted`.
    pub fn credit_return(&mut self, now: MonoMs, granted: MonoMs, tokens: Tokens) {
        self.refill(now);
        if granted < self.returnable_from || granted > self.at {
            return;
        }
        let first = self
            .headroom_minima
            .partition_point(|(at, _)| *at <= granted);
        let headroom = self.share.capacity().saturating_sub(self.level);
        let lowest = self
            .headroom_minima
            .get(first)
            .map_or(headroom, |(_, low)| headroom.min(*low));
        let credit = lowest.min(u128::from(tokens) * NANO);
        self.level += credit;
        for (_, low) in self.headroom_minima.iter_mut().skip(first) {
            *low -= credit;
        }
        if let Some((_, low)) = self.headroom_minima.get(first).copied() {
            let earlier = self.headroom_minima.iter().take(first);
            let kept = earlier.take_while(|(_, other)| *other < low).count();
            self.headroom_minima.drain(kept..first);
        }
    }

    fn refill(&mut self, now: MonoMs) {
        let elapsed_ms = u128::from(now.since(self.at));
        self.at = self.at.max(now);
        let refilled = self.level + elapsed_ms * self.share.refill_per_ms;
        self.level = refilled.min(self.share.capacity());
    }

    fn record_headroom(&mut self) {
        let headroom = self.share.capacity() - self.level;
        while self
            .headroom_minima
            .back()
            .is_some_and(|(_, low)| *low >= headroom)
        {
            self.headroom_minima.pop_back();
        }
        self.headroom_minima.push_back((self.at, headroom));
        if self.headroom_minima.len() > MAX_HEADROOM_MINIMA
            && let Some((_, low)) = self.headroom_minima.pop_front()
            && let Some(next) = self.headroom_minima.front_mut()
        {
            next.1 = low;
        }
    }
}

fn whole(nano: u128) -> Tokens {
    Tokens::try_from(nano / NANO).unwrap_or(Tokens::MAX)
}
