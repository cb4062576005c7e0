//! The asking side of the lease. A [`Candidate`] turns into a [`Holder`] once a majority has granted
//! it the lease; only a holder has a deadline to act by.

use std::collections::BTreeMap;

use super::roster::Roster;
use crate::types::MonoMs;
use crate::types::VmName;

/// Durations of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Length of a lease.
    pub lease_ms: u64,
    /// Time between renewals.
    pub renew_ms: u64,
    /// How much earlier than the grantors a holder regards its lease as ended. Covers the
    /// difference between the speeds of two monotonic clocks over one lease.
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

/// One grantor's latest grant.
#[derive(Clone, Copy, Debug)]
struct Grant {
    sent: MonoMs,
    term: u64,
    applied_index: u64,
}

/// Grants by grantor.
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

/// A process that asked for the lease and counts grants.
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
    /// Begins to count the grants of `term`, asked for at `asked`.
    pub fn new(term: u64, requested_at: MonoMs) -> Self {
        Self {
            term,
            requested_at,
            tally: GrantTally::default(),
        }
    }

    /// Term that is asked for.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// When the grants were asked for.
    pub fn requested_at(&self) -> MonoMs {
        self.requested_at
    }

    /// Counts a grant by `from` of a request sent at `sent`.
    pub fn record_grant(&mut self, from: &VmName, sent: MonoMs, applied_index: u64) {
        self.tally.add(from, sent, self.term, applied_index);
    }

    /// Turns into a holder if a majority of `roster` has granted and the lease has not ended yet.
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
    /// Current term. It rises when a majority has renewed a higher one.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// When the lease was won.
    pub fn since(&self) -> MonoMs {
        self.since
    }

    /// Control index that must be applied before the holder hands out tokens: the highest that any
    /// of its grantors had applied.
    pub fn required_index(&self) -> u64 {
        self.tally.required_index
    }

    /// Control index that a majority of `roster` had applied when it granted.
    pub fn settled_index(&self, roster: &Roster) -> u64 {
        let grants = &self.tally.grants;
        let applied = |vm: &VmName| grants.get(vm).map(|grant| grant.applied_index);
        roster.reached_by_majority(applied).unwrap_or(0)
    }

    /// Counts a renewal of `term` by `from` of a request sent at `sent`.
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

    /// Time before which the lease may be used, measured from before the requests were sent that a
    /// majority of `roster` granted.
    pub fn deadline(&self, roster: &Roster, timing: &Timing) -> MonoMs {
        self.tally.deadline(roster, timing).unwrap_or_default()
    }
}
