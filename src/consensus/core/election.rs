//! Leader election: pre-vote, vote and term changes.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use rand::RngExt;

use super::Core;
use super::Deferred;
use super::OwnVote;
use super::Role;
use super::report::Candidacy;
use super::report::CandidacyOutcome;
use crate::consensus::message::Message;
use crate::consensus::types::VoterId;

/// Bounds of the time between two requests for pre-votes before the first election timeout.
const STARTUP_PRE_VOTE_MS: RangeInclusive<u64> = 100..=300;

impl Core {
    /// Whether no election timeout has passed since the start and no leader was heard. A member that has
    /// just started has forgotten when it last heard a leader, which may still act. Only if all voters grant
    /// a pre-vote by then, there is none: after a restart of all of them.
    fn is_starting(&self) -> bool {
        self.now_ms < self.startup_ends_ms && self.leader_contact_ms.is_none()
    }

    /// Sets the time of the next request for pre-votes.
    pub(super) fn reset_pre_vote_deadline(&mut self) {
        if !self.is_starting() || self.has_empty_log() {
            return self.reset_election_deadline();
        }
        let early_ms = self.now_ms + self.rng.random_range(STARTUP_PRE_VOTE_MS);
        self.election_deadline_ms = early_ms.min(self.startup_ends_ms);
    }

    pub(super) fn election_timeout(&mut self) {
        let needs_all = self.is_starting();
        self.reset_pre_vote_deadline();
        if !self.is_voter() || self.has_unsynced_vote() {
            return;
        }
        self.request_outstanding_votes();
        self.leader = None;
        self.role = Role::PreCandidate {
            granted: BTreeSet::new(),
            needs_all,
        };
        let message = Message::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for peer in self.other_voters() {
            self.send(&peer, message.clone());
        }
        self.count_pre_vote(self.config.id.clone());
    }

    pub(super) fn pre_vote(&mut self, from: &VoterId, term: u64, last_index: u64, last_term: u64) {
        let next_term = term + 1;
        let granted = next_term > self.meta.term
            && self.is_up_to_date(last_index, last_term)
            && !self.has_live_leader()
            && !self.has_recent_vote();
        let reply = Message::PreVoteReply { next_term, granted };
        self.send(from, reply);
        let is_rival = matches!(self.role, Role::PreCandidate { .. });
        if granted && is_rival && self.precedes_own(from, last_index, last_term) {
            self.role = Role::Follower;
            self.reset_pre_vote_deadline();
        }
    }

    /// Whether another pre-candidate goes first. Without an order, two that grant each other a pre-vote
    /// become candidates in the same term, and neither gets the other's vote.
    fn precedes_own(&self, other: &VoterId, last_index: u64, last_term: u64) -> bool {
        let own = (self.log.last_term(), self.log.last_index(), &self.config.id);
        (last_term, last_index, other) > own
    }

    pub(super) fn pre_vote_granted(&mut self, from: VoterId, next_term: u64) {
        if next_term == self.meta.term + 1 {
            self.count_pre_vote(from);
        }
    }

    fn count_pre_vote(&mut self, from: VoterId) {
        let Role::PreCandidate { granted, needs_all } = &mut self.role else {
            return;
        };
        granted.insert(from);
        let (granted, needs_all) = (granted.clone(), *needs_all);
        let is_granted = match needs_all {
            true => self.configuration().voters.is_subset(&granted),
            false => self.is_quorum(&granted),
        };
        if is_granted {
            self.campaign(false);
        }
    }

    /// Starts an election in the next term and requests votes.
    pub(super) fn campaign(&mut self, transfer: bool) {
        self.reset_election_deadline();
        self.end_candidacy(CandidacyOutcome::AskedAgain);
        self.meta.term += 1;
        self.meta.vote = Some(self.config.id.clone());
        self.save_meta();
        self.leader = None;
        self.role = Role::Candidate;
        self.candidacy = Some(Candidacy::new(self.meta.term, self.now_ms));
        let message = self.vote_request(transfer);
        for peer in self.other_voters() {
            self.send_durable(&peer, message.clone());
        }
        self.note_vote();
    }

    fn vote_request(&self, transfer: bool) -> Message {
        Message::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    /// Requests the votes of the candidacy that are outstanding once more. The requests or the replies may be lost.
    fn request_outstanding_votes(&mut self) {
        let Some(candidacy) = &self.candidacy else {
            return;
        };
        let has_answered =
            |id: &VoterId| candidacy.granted.contains(id) || candidacy.refused.contains(id);
        let mut outstanding = self.other_voters();
        outstanding.retain(|id| !has_answered(id));
        let message = self.vote_request(false);
        for peer in outstanding {
            self.send(&peer, message.clone());
        }
    }

    /// Notes that this member has voted in the current term, and when the vote is synced.
    fn note_vote(&mut self) {
        let term = self.meta.term;
        self.own_vote = Some(OwnVote {
            term,
            synced_ms: None,
        });
        self.step_deferred.push(Deferred::Vote { term });
    }

    /// The vote in `term` is synced. That for itself counts from here on. Otherwise this VM could crash and then vote for
    /// another candidate in the same term.
    pub(super) fn vote_synced(&mut self, term: u64) {
        if term != self.meta.term {
            return;
        }
        let synced_ms = Some(self.now_ms);
        self.own_vote = Some(OwnVote { term, synced_ms });
        self.reset_election_deadline();
        if let Some(candidacy) = &mut self.candidacy {
            candidacy.synced_ms = synced_ms;
            self.count_vote(self.config.id.clone());
        }
    }

    /// Whether the vote in the current term is not synced yet.
    fn has_unsynced_vote(&self) -> bool {
        let vote = self.own_vote.filter(|vote| vote.term == self.meta.term);
        vote.is_some_and(|vote| vote.synced_ms.is_none())
    }

    /// Whether the vote in the current term is being synced, or was within the minimum election timeout. The election
    /// may still succeed, and a candidate of the next term would make its votes worthless.
    fn has_recent_vote(&self) -> bool {
        let vote = self.own_vote.filter(|vote| vote.term == self.meta.term);
        let wait_ms = self.config.timeouts.election_min_ms;
        vote.is_some_and(|vote| vote.synced_ms.is_none_or(|at| self.now_ms < at + wait_ms))
    }

    pub(super) fn vote(&mut self, from: &VoterId, term: u64, last: (u64, u64), transfer: bool) {
        if !transfer && self.has_live_leader() {
            return;
        }
        if term > self.meta.term {
            self.become_follower(term, None);
        }
        let may_vote = self.meta.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = term == self.meta.term && may_vote && self.is_up_to_date(last.0, last.1);
        if granted && self.meta.vote.is_none() {
            self.meta.vote = Some(from.clone());
            self.save_meta();
            self.reset_election_deadline();
            self.note_vote();
        }
        self.send_durable(from, Message::VoteReply { granted });
    }

    pub(super) fn vote_reply(&mut self, from: VoterId, granted: bool) {
        match granted {
            true => self.count_vote(from),
            false => self.note_refusal(from),
        }
    }

    pub(super) fn count_vote(&mut self, from: VoterId) {
        let Some(candidacy) = &mut self.candidacy else {
            return;
        };
        candidacy.granted.insert(from);
        let granted = candidacy.granted.clone();
        if self.is_quorum(&granted) {
            self.become_leader();
        }
    }

    fn note_refusal(&mut self, from: VoterId) {
        if let Some(candidacy) = &mut self.candidacy {
            candidacy.refused.insert(from);
        }
    }

    /// Becomes a follower in `term`, which is the current or a later one.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<VoterId>) {
        self.report_leadership_end(term > self.meta.term);
        if term > self.meta.term {
            self.end_candidacy(CandidacyOutcome::LaterTerm);
            self.meta.term = term;
            self.meta.vote = None;
            self.save_meta();
        }
        if !matches!(self.role, Role::Follower) {
            self.confirmed = self.leader_confirmation().or(self.confirmed);
            self.role = Role::Follower;
            self.reset_election_deadline();
        }
        if leader.is_some() {
            self.end_candidacy(CandidacyOutcome::AnotherLeads);
        }
        self.leader = leader;
    }

    /// Whether a leader was in contact within the minimum election timeout, so that an election
    /// would disrupt it.
    fn has_live_leader(&self) -> bool {
        let contact_ms = match &self.role {
            Role::Leader(leadership) => self.quorum_contact_ms(leadership),
            _ => self.leader_contact_ms,
        };
        contact_ms.is_some_and(|at| self.now_ms < at + self.config.timeouts.election_min_ms)
    }

    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn is_quorum(&self, members: &BTreeSet<VoterId>) -> bool {
        let configuration = self.configuration();
        configuration.voters.intersection(members).count() >= configuration.quorum()
    }

    pub(super) fn other_voters(&self) -> Vec<VoterId> {
        let voters = self.configuration().voters.iter();
        voters
            .filter(|id| **id != self.config.id)
            .cloned()
            .collect()
    }
}
