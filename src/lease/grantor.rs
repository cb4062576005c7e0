//! Granting side of the lease: each VM has one vote, granted to one process at a time.

use std::collections::BTreeMap;

use super::message::Identity;
use super::message::LEASE_FORMAT;
use super::message::LeaseAnswer;
use super::message::LeaseReply;
use super::message::LeaseRequest;
use super::message::LeaseRequestKind;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::VmName;

/// Time for which a released vote is reserved for the successor named by the former holder.
pub const SUCCESSOR_RESERVATION_MS: u64 = 300;

/// Vote of one VM.
#[derive(Debug)]
pub struct Grantor {
    vm: VmName,
    data_centre: DataCentre,
    may_grant_from: MonoMs,
    lease_ms: u64,
    applied_index: Option<u64>,
    roster_revision: u64,
    vote: Option<Vote>,
    highest_term: u64,
    reserved_for: Option<(VmName, MonoMs)>,
    /// Incarnation and sequence of the latest request of each VM. Delayed older requests are
    /// rejected.
    latest: BTreeMap<VmName, (u64, u64)>,
}

/// A granted vote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vote {
    /// Process that the vote was granted to.
    pub holder: Identity,
    /// Term of the holder.
    pub term: u64,
    /// The vote is not granted to another process before this time.
    pub until: MonoMs,
    /// Whether the holder has renewed the lease, which only a holder with a majority does.
    pub elected: bool,
}

impl Grantor {
    /// A grantor that does not grant its vote before `started + lease_ms`, because an earlier
    /// process of the VM may have granted it.
    pub fn new(vm: VmName, data_centre: DataCentre, started: MonoMs, lease_ms: u64) -> Self {
        Self {
            vm,
            data_centre,
            may_grant_from: started.plus(lease_ms),
            lease_ms,
            applied_index: None,
            roster_revision: 0,
            vote: None,
            highest_term: 0,
            reserved_for: None,
            latest: BTreeMap::new(),
        }
    }

    /// Sets the index up to which the VM has applied the replicated log. `None` until the VM has
    /// applied, after its start, an index confirmed by a quorum of the log. A restarted VM may lack
    /// a roster or a reduced share that it acknowledged before, so it does not vote until then.
    pub fn set_applied(&mut self, applied_index: Option<u64>) {
        self.applied_index = applied_index;
    }

    /// Sets the revision of the VM's roster. The revision never decreases.
    pub fn set_roster_revision(&mut self, revision: u64) {
        self.roster_revision = self.roster_revision.max(revision);
    }

    /// Index of the last control entry applied by the VM, 0 before it has caught up.
    pub fn applied_index(&self) -> u64 {
        self.applied_index.unwrap_or(0)
    }

    /// Whether the VM has caught up with the replicated log.
    pub fn has_caught_up(&self) -> bool {
        self.applied_index.is_some()
    }

    /// The vote that is valid at `now`.
    pub fn vote(&self, now: MonoMs) -> Option<&Vote> {
        self.vote.as_ref().filter(|vote| now < vote.until)
    }

    /// Highest term for which the vote was granted.
    pub fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Earliest time at which `vm` may get this grantor's vote.
    pub fn free_from(&self, vm: &VmName, now: MonoMs) -> MonoMs {
        let reserved_until = match &self.reserved_for {
            Some((successor, until)) if successor != vm => *until,
            _ => MonoMs(0),
        };
        let voted_until = self.vote(now).map_or(MonoMs(0), |vote| vote.until);
        self.may_grant_from.max(reserved_until).max(voted_until)
    }

    /// Whether a former holder named `vm` as its successor and the reservation has not expired.
    pub fn is_reserved_for(&self, vm: &VmName, now: MonoMs) -> bool {
        matches!(&self.reserved_for, Some((successor, until)) if successor == vm && now < *until)
    }

    /// Processes `request` and returns the reply.
    pub fn receive(&mut self, now: MonoMs, request: &LeaseRequest) -> LeaseReply {
        let answer = self.decide(now, request);
        LeaseReply {
            format: LEASE_FORMAT,
            from: self.vm.clone(),
            sequence: request.sequence,
            applied_index: self.applied_index(),
            answer,
        }
    }

    fn decide(&mut self, now: MonoMs, request: &LeaseRequest) -> LeaseAnswer {
        if request.format != LEASE_FORMAT || request.data_centre != self.data_centre {
            return LeaseAnswer::Rejected;
        }
        if request.kind == LeaseRequestKind::Probe {
            return LeaseAnswer::Noted;
        }
        if !self.is_latest(request) {
            return LeaseAnswer::Rejected;
        }
        match &request.kind {
            LeaseRequestKind::Ask => self.grant_or_refuse(now, request, false),
            LeaseRequestKind::Renew => self.grant_or_refuse(now, request, true),
            LeaseRequestKind::Release { successor } => self.release(now, request, successor),
            LeaseRequestKind::Probe => LeaseAnswer::Noted,
        }
    }

    fn is_latest(&mut self, request: &LeaseRequest) -> bool {
        let order = (request.from.incarnation, request.sequence);
        let latest = self.latest.entry(request.from.vm.clone()).or_default();
        if order <= *latest {
            return false;
        }
        *latest = order;
        true
    }

    fn grant_or_refuse(
        &mut self,
        now: MonoMs,
        request: &LeaseRequest,
        elected: bool,
    ) -> LeaseAnswer {
        if let Some(refusal) = self.refusal(now, request) {
            return refusal;
        }
        self.reserved_for = None;
        self.highest_term = request.term;
        self.vote = Some(Vote {
            holder: request.from.clone(),
            term: request.term,
            until: now.plus(self.lease_ms),
            elected,
        });
        LeaseAnswer::Granted
    }

    fn refusal(&self, now: MonoMs, request: &LeaseRequest) -> Option<LeaseAnswer> {
        if now < self.may_grant_from {
            let remaining_ms = self.may_grant_from.since(now);
            return Some(LeaseAnswer::Restarted { remaining_ms });
        }
        if self.applied_index.is_none() {
            return Some(LeaseAnswer::CatchingUp);
        }
        if request.roster_revision < self.roster_revision {
            let revision = self.roster_revision;
            return Some(LeaseAnswer::StaleRoster { revision });
        }
        if let Some(vote) = self.vote(now)
            && vote.holder != request.from
        {
            return Some(LeaseAnswer::Held {
                holder: vote.holder.vm.clone(),
                term: vote.term,
                elected: vote.elected,
                remaining_ms: vote.until.since(now),
            });
        }
        if let Some((successor, until)) = &self.reserved_for
            && *successor != request.from.vm
            && now < *until
        {
            return Some(LeaseAnswer::Held {
                holder: successor.clone(),
                term: self.highest_term,
                elected: true,
                remaining_ms: until.since(now),
            });
        }
        let renews = self
            .vote
            .as_ref()
            .is_some_and(|vote| vote.holder == request.from);
        let lowest = if renews {
            self.highest_term
        } else {
            self.highest_term + 1
        };
        let term = self.highest_term;
        (request.term < lowest).then_some(LeaseAnswer::LowTerm { term })
    }

    fn release(
        &mut self,
        now: MonoMs,
        request: &LeaseRequest,
        successor: &Option<VmName>,
    ) -> LeaseAnswer {
        let matches = |vote: &Vote| vote.holder == request.from;
        if self.vote.as_ref().is_some_and(matches) {
            self.vote = None;
            self.reserved_for = successor
                .clone()
                .map(|successor| (successor, now.plus(SUCCESSOR_RESERVATION_MS)));
        }
        LeaseAnswer::Noted
    }
}
