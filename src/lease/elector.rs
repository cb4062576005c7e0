//! Election state of one VM: its vote, its candidacy and its lease.

use std::collections::BTreeMap;

use super::candidate::Candidate;
use super::candidate::Holder;
use super::candidate::Timing;
use super::grantor::Grantor;
use super::message::Identity;
use super::message::LEASE_FORMAT;
use super::message::LeaseAnswer;
use super::message::LeaseReply;
use super::message::LeaseRequest;
use super::message::LeaseRequestKind;
use super::roster::Roster;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::VmName;

/// Time a candidate waits for a majority before it releases its grants.
const CANDIDACY_TIMEOUT_MS: u64 = 150;

/// Delay between the candidacies of VMs with consecutive ranks, a few round trips.
const STAGGER_MS: u64 = 40;

/// Rank above which the delay does not increase, so that many failed VMs with lower ranks do not
/// delay the election.
const MAX_STAGGER_RANK: u64 = 6;

/// Time without contact to a majority after which a VM sends probes, and interval between probes.
const PROBE_MS: u64 = 1_000;

/// Settings of an [`Elector`].
#[derive(Clone, Debug)]
pub struct ElectorConfig {
    /// Identity of this process.
    pub identity: Identity,
    /// Data centre of this process.
    pub data_centre: DataCentre,
    /// Durations of the lease.
    pub timing: Timing,
}

/// A valid lease held by this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Term, also used as the fencing token of orders to backend servers.
    pub term: u64,
    /// Start of the uninterrupted possession of the lease. Unlike the term, it changes with each
    /// acquisition and stays the same over renewals.
    pub since: MonoMs,
    /// The lease must not be used at or after this time.
    pub deadline: MonoMs,
    /// Control index that must be applied before tokens are issued.
    pub required_index: u64,
    /// Control index that this holder and a majority of its grantors have applied. All later
    /// holders of this data centre are required to have applied it.
    pub settled_index: u64,
}

/// A request to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Recipient.
    pub to: VmName,
    /// Message.
    pub request: LeaseRequest,
}

#[derive(Debug, Default)]
enum Role {
    #[default]
    Follower,
    Candidate(Candidate),
    Holder(Holder),
}

/// One round of requests: when it was sent, and for which term.
#[derive(Clone, Copy, Debug)]
struct Round {
    sent: MonoMs,
    term: u64,
}

/// Election state of one VM.
#[derive(Debug)]
pub struct Elector {
    config: ElectorConfig,
    roster: Roster,
    grantor: Grantor,
    role: Role,
    eligible: bool,
    started: MonoMs,
    sequence: u64,
    rounds: BTreeMap<u64, Round>,
    known_term: u64,
    min_term: u64,
    earliest_candidacy: MonoMs,
    next_renewal: MonoMs,
    next_probe: MonoMs,
    reply_contacts: BTreeMap<VmName, MonoMs>,
    holder_contact: Option<MonoMs>,
}

impl Elector {
    /// A VM that starts at `now`. It neither votes nor requests the lease before it has a roster
    /// and has caught up with the replicated log.
    pub fn new(config: ElectorConfig, now: MonoMs) -> Self {
        let grantor = Grantor::new(
            config.identity.vm.clone(),
            config.data_centre.clone(),
            now,
            config.timing.lease_ms,
        );
        Self {
            config,
            roster: Roster::default(),
            grantor,
            role: Role::default(),
            eligible: true,
            started: now,
            sequence: 0,
            rounds: BTreeMap::new(),
            known_term: 0,
            min_term: 0,
            earliest_candidacy: now,
            next_renewal: now,
            next_probe: now.plus(PROBE_MS),
            reply_contacts: BTreeMap::new(),
            holder_contact: None,
        }
    }

    /// Replaces the roster, unless `roster` has a lower revision.
    pub fn set_roster(&mut self, roster: Roster) {
        if roster.revision() >= self.roster.revision() {
            self.grantor.set_roster_revision(roster.revision());
            self.roster = roster;
        }
    }

    /// See [`Grantor::set_applied`].
    pub fn set_applied(&mut self, applied_index: Option<u64>) {
        self.grantor.set_applied(applied_index);
    }

    /// Sets whether the VM may request the lease. An ineligible VM, for example one that drains,
    /// still votes.
    pub fn set_eligible(&mut self, eligible: bool) {
        self.eligible = eligible;
    }

    /// Makes the holder renew with a term above `term`, which a backend server has reported.
    pub fn require_term_above(&mut self, term: u64) {
        self.min_term = self.min_term.max(term + 1);
        self.next_renewal = MonoMs(0);
    }

    /// Processes a lease request of another VM.
    pub fn receive(&mut self, now: MonoMs, request: &LeaseRequest) -> LeaseReply {
        let reply = self.grantor.receive(now, request);
        let renewed = request.kind == LeaseRequestKind::Renew;
        if renewed && reply.answer == LeaseAnswer::Granted {
            self.holder_contact = Some(now);
        }
        reply
    }

    /// The lease, if this process holds it at `now`.
    pub fn current(&self, now: MonoMs) -> Option<HeldLease> {
        let Role::Holder(holder) = &self.role else {
            return None;
        };
        let deadline = holder.deadline(&self.roster, &self.config.timing);
        (now < deadline).then_some(HeldLease {
            term: holder.term(),
            since: holder.since(),
            deadline,
            required_index: holder.required_index(),
            settled_index: holder
                .settled_index(&self.roster)
                .min(self.grantor.applied_index()),
        })
    }

    /// The coordinator of this data centre, if known to this VM.
    pub fn coordinator(&self, now: MonoMs) -> Option<VmName> {
        if self.current(now).is_some() {
            return Some(self.config.identity.vm.clone());
        }
        let vote = self.grantor.vote(now).filter(|vote| vote.elected)?;
        let stale = vote.holder == self.config.identity;
        (!stale).then(|| vote.holder.vm.clone())
    }

    /// Time since the last known contact to a majority of this data centre.
    pub fn majority_contact_age_ms(&self, now: MonoMs) -> u64 {
        let own_vm = &self.config.identity.vm;
        let reached = self.roster.reached_by_majority(|vm| {
            if vm == own_vm {
                Some(now)
            } else {
                self.reply_contacts.get(vm).copied()
            }
        });
        let contact = reached.max(self.holder_contact).unwrap_or(self.started);
        now.since(contact)
    }

    /// Runs the timers due at `now` and returns the requests to send.
    pub fn tick(&mut self, now: MonoMs) -> Vec<Outgoing> {
        let lease_ms = self.config.timing.lease_ms;
        self.rounds
            .retain(|_, round| now.since(round.sent) < lease_ms);
        match std::mem::take(&mut self.role) {
            Role::Follower => self.tick_follower(now),
            Role::Candidate(candidate) => self.tick_candidate(now, candidate),
            Role::Holder(holder) => self.tick_holder(now, holder),
        }
    }

    /// Releases the lease, preferably to `successor`. Does nothing if this process does not hold
    /// it.
    pub fn release(&mut self, now: MonoMs, successor: Option<VmName>) -> Vec<Outgoing> {
        match std::mem::take(&mut self.role) {
            Role::Holder(holder) => {
                self.earliest_candidacy = now.plus(self.config.timing.renew_ms);
                self.start_round(now, holder.term(), LeaseRequestKind::Release { successor })
            }
            other => {
                self.role = other;
                Vec::new()
            }
        }
    }

    /// Processes a reply received at `now`.
    pub fn reply(&mut self, now: MonoMs, reply: &LeaseReply) {
        let Some(round) = self.rounds.get(&reply.sequence).copied() else {
            return;
        };
        if reply.format != LEASE_FORMAT {
            return;
        }
        let last_reply = self
            .reply_contacts
            .entry(reply.from.clone())
            .or_insert(round.sent);
        *last_reply = round.sent.max(*last_reply);
        match &reply.answer {
            LeaseAnswer::Granted => self.count_grant(now, reply, round),
            LeaseAnswer::Held {
                term,
                elected,
                remaining_ms,
                ..
            } => self.on_refusal(now, *term, if *elected { *remaining_ms } else { 0 }),
            LeaseAnswer::LowTerm { term } => self.on_refusal(now, *term, 0),
            LeaseAnswer::Restarted { .. }
            | LeaseAnswer::CatchingUp
            | LeaseAnswer::Noted
            | LeaseAnswer::Rejected
            | LeaseAnswer::StaleRoster { .. } => {}
        }
    }

    fn count_grant(&mut self, now: MonoMs, reply: &LeaseReply, round: Round) {
        self.role = match std::mem::take(&mut self.role) {
            Role::Candidate(mut candidate) if candidate.term() == round.term => {
                candidate.record_grant(&reply.from, round.sent, reply.applied_index);
                match candidate.try_into_holder(now, &self.roster, &self.config.timing) {
                    Ok(holder) => {
                        self.next_renewal = now;
                        Role::Holder(holder)
                    }
                    Err(candidate) => Role::Candidate(candidate),
                }
            }
            Role::Holder(mut holder) if round.term >= holder.term() => {
                let index = reply.applied_index;
                holder.record_renewal(&reply.from, round.sent, round.term, index, &self.roster);
                Role::Holder(holder)
            }
            other => other,
        };
    }

    fn on_refusal(&mut self, now: MonoMs, term: u64, remaining_ms: u64) {
        self.known_term = self.known_term.max(term);
        if matches!(self.role, Role::Candidate(_)) {
            self.earliest_candidacy = self.earliest_candidacy.max(now.plus(remaining_ms));
        }
    }

    fn tick_follower(&mut self, now: MonoMs) -> Vec<Outgoing> {
        if self.may_campaign(now) {
            let term = self.next_term();
            self.role = Role::Candidate(Candidate::new(term, now));
            return self.start_round(now, term, LeaseRequestKind::Ask);
        }
        let is_isolated = self.majority_contact_age_ms(now) >= PROBE_MS;
        if is_isolated && now >= self.next_probe {
            self.next_probe = now.plus(PROBE_MS);
            return self.start_round(now, 0, LeaseRequestKind::Probe);
        }
        Vec::new()
    }

    fn may_campaign(&self, now: MonoMs) -> bool {
        let own_vm = &self.config.identity.vm;
        let Some(rank) = self.roster.rank(own_vm) else {
            return false;
        };
        if !self.eligible || !self.grantor.has_caught_up() {
            return false;
        }
        if self.grantor.is_reserved_for(own_vm, now) {
            return true;
        }
        let free_from = self
            .grantor
            .free_from(own_vm, now)
            .max(self.earliest_candidacy);
        now >= free_from && now >= free_from.plus(self.stagger_ms(rank))
    }

    /// Delay of a candidacy. The order of the VMs changes with the term, so that a VM that can
    /// request the lease but never obtains a majority is not always first.
    fn stagger_ms(&self, rank: usize) -> u64 {
        let count = self.roster.vms().count().max(1) as u64;
        let position = (rank as u64 + self.next_term()) % count;
        position.min(MAX_STAGGER_RANK) * STAGGER_MS + rank as u64 % STAGGER_MS
    }

    /// Term to request. Incarnations are wall clock times of process starts, so the term is also
    /// above all earlier terms after a restart of all VMs of a data centre, which keep no terms.
    fn next_term(&self) -> u64 {
        let known = self.known_term.max(self.grantor.highest_term());
        let incarnation = self.config.identity.incarnation;
        (known + 1).max(self.min_term).max(incarnation)
    }

    fn tick_candidate(&mut self, now: MonoMs, candidate: Candidate) -> Vec<Outgoing> {
        if now.since(candidate.requested_at()) < CANDIDACY_TIMEOUT_MS {
            self.role = Role::Candidate(candidate);
            return Vec::new();
        }
        self.known_term = self.known_term.max(candidate.term());
        self.earliest_candidacy = self.earliest_candidacy.max(now);
        let successor = None;
        self.start_round(
            now,
            candidate.term(),
            LeaseRequestKind::Release { successor },
        )
    }

    fn tick_holder(&mut self, now: MonoMs, holder: Holder) -> Vec<Outgoing> {
        let deadline = holder.deadline(&self.roster, &self.config.timing);
        self.known_term = self.known_term.max(holder.term());
        if now >= deadline {
            self.earliest_candidacy = now;
            return Vec::new();
        }
        let term = holder.term().max(self.min_term);
        self.role = Role::Holder(holder);
        if !self.roster.contains(&self.config.identity.vm) {
            return self.release(now, None);
        }
        if now < self.next_renewal {
            return Vec::new();
        }
        self.next_renewal = now.plus(self.config.timing.renew_ms);
        self.start_round(now, term, LeaseRequestKind::Renew)
    }

    /// Starts a round of requests to all voters. The local grantor is called directly.
    fn start_round(&mut self, now: MonoMs, term: u64, kind: LeaseRequestKind) -> Vec<Outgoing> {
        self.sequence += 1;
        self.rounds.insert(self.sequence, Round { sent: now, term });
        let request = LeaseRequest {
            format: LEASE_FORMAT,
            data_centre: self.config.data_centre.clone(),
            from: self.config.identity.clone(),
            sequence: self.sequence,
            term,
            roster_revision: self.roster.revision(),
            kind,
        };
        let own_vm = self.config.identity.vm.clone();
        let others = self.roster.vms().filter(|vm| **vm != own_vm);
        let outgoing = others
            .map(|vm| Outgoing {
                to: vm.clone(),
                request: request.clone(),
            })
            .collect();
        if self.roster.contains(&own_vm) {
            let reply = self.grantor.receive(now, &request);
            self.reply(now, &reply);
        }
        outgoing
    }
}
