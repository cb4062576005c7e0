//! Requesting side of the lease. A [`Candidate`] becomes a [`Holder`] once a majority has granted
//! it the lease. Only a holder has a lease deadline.

use std::collections::BTreeMap;

use super::roster::Roster;
use crate::types::MonoMs;
use crate::types::VmName;

/// Durations of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Duration of a lease.
    pub lease_ms: u64,
    /// Interval between renewals.
    pub renew_ms: u64,
    /// Time by which a holder ends its lease earlier than the grantors. Covers the clock drift
    /// between two monotonic clocks over one lease.
    pub margin_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 2_000,
            renew_ms: 500,
            margin_ms: 20,
        }
    }
}

/// Latest grant of one grantor.
#[derive(Clone, Copy, Debug)]
struct Grant {
    sent: MonoMs,
    term: u64,
    applied_index: u64,
}

/// Latest grants, by grantor.
#[derive(Clone, Debug, Default)]
struct GrantTally {
    grants: BTreeMap<VmName, Grant>,
    required_index: u64,
}

impl GrantTally {
    fn add(&mut self, from: &VmName, sent: MonoMs, term: u64, applied_index: u64) {
        self.required_index = self.required_index.max(applied_index);
        let grant = Grant {
            sent,
            term,
            applied_index,
        };
        let latest = self.grants.entry(from.clone()).or_insert(grant);
        latest.sent = latest.sent.max(sent);
        latest.term = latest.term.max(term);
        latest.applied_index = latest.applied_index.max(applied_index);
    }

    fn deadline(&self, roster: &Roster, timing: &Timing) -> Option<MonoMs> {
        let sent = roster.reached_by_majority(|vm| self.grants.get(vm).map(|grant| grant.sent))?;
        Some(sent.plus(timing.lease_ms.saturating_sub(timing.margin_ms)))
    }

    fn term(&self, roster: &Roster) -> Option<u64> {
        roster.reached_by_majority(|vm| self.grants.get(vm).map(|grant| grant.term))
    }
}

/// A process that requested the lease and counts grants.
#[derive(Debug)]
pub struct Candidate {
    term: u64,
    requested_at: MonoMs,
    tally: GrantTally,
}

/// A process that holds the lease until its deadline.
#[derive(Debug)]
pub struct Holder {
    term: u64,
    since: MonoMs,
    tally: GrantTally,
}

impl Candidate {
    /// Starts a candidacy for `term`, requested at `requested_at`.
    pub fn new(term: u64, requested_at: MonoMs) -> Self {
        Self {
            term,
            requested_at,
            tally: GrantTally::default(),
        }
    }

    /// Requested term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Time at which the grants were requested.
    pub fn requested_at(&self) -> MonoMs {
        self.requested_at
    }

    /// Records a grant by `from` of a request sent at `sent`.
    pub fn record_grant(&mut self, from: &VmName, sent: MonoMs, applied_index: u64) {
        self.tally.add(from, sent, self.term, applied_index);
    }

    /// Becomes a holder if a majority of `roster` has granted the lease and it has not expired yet.
    pub fn try_into_holder(
        self,
        now: MonoMs,
        roster: &Roster,
        timing: &Timing,
    ) -> Result<Holder, Self> {
        match self.tally.deadline(roster, timing) {
            Some(deadline) if now < deadline => Ok(Holder {
                term: self.term,
                since: now,
                tally: self.tally,
            }),
            _ => Err(self),
        }
    }
}

impl Holder {
    /// Current term. Increases when a majority has granted a renewal with a higher term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Time at which the lease was acquired.
    pub fn since(&self) -> MonoMs {
        self.since
    }

    /// Control index that must be applied before the holder issues tokens: the highest index that
    /// any of its grantors had applied.
    pub fn required_index(&self) -> u64 {
        self.tally.required_index
    }

    /// Control index that a majority of `roster` had applied when it granted the lease.
    pub fn settled_index(&self, roster: &Roster) -> u64 {
        let grants = &self.tally.grants;
        let applied = |vm: &VmName| grants.get(vm).map(|grant| grant.applied_index);
        roster.reached_by_majority(applied).unwrap_or(0)
    }

    /// Records a renewal with `term`, granted by `from` for a request sent at `sent`.
    pub fn record_renewal(
        &mut self,
        from: &VmName,
        sent: MonoMs,
        term: u64,
        applied_index: u64,
        roster: &Roster,
    ) {
        self.tally.add(from, sent, term, applied_index);
        let reached = self.tally.term(roster).unwrap_or(self.term);
        self.term = self.term.max(reached);
    }

    /// Time before which the lease may be used. Measured from the time at which the requests
    /// granted by a majority of `roster` were sent, not from the replies.
    pub fn deadline(&self, roster: &Roster, timing: &Timing) -> MonoMs {
        self.tally.deadline(roster, timing).unwrap_or_default()
    }
}
