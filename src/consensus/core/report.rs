//! Reports on candidacies and leaderships that ended, for logs and metrics.

use std::collections::BTreeSet;

use super::Core;
use super::Output;
use super::Role;
use super::leader::Leadership;
use crate::consensus::types::VoterId;

/// A candidacy or leadership of this member ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// A candidacy.
    Candidacy(CandidacyEnd),
    /// A leadership.
    Leadership(LeadershipEnd),
}

/// How a candidacy ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CandidacyEnd {
    /// Term of the candidacy.
    pub term: u64,
    /// Time since its begin.
    pub lasted_ms: u64,
    /// Time until the own vote was synced and votes were requested; `None` if it is not yet.
    pub own_sync_ms: Option<u64>,
    /// Voters that granted their vote, this member among them.
    pub granted: Vec<VoterId>,
    /// Voters that refused it.
    pub refused: Vec<VoterId>,
    /// Voters that did not answer.
    pub outstanding: Vec<VoterId>,
    /// Why it ended.
    pub outcome: CandidacyOutcome,
}

/// Why a candidacy ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CandidacyOutcome {
    /// A quorum voted for this member.
    Elected,
    /// Another member leads in the term.
    AnotherLeads,
    /// Another member is in a later term.
    LaterTerm,
    /// This member asked for votes in a later term.
    AskedAgain,
}

/// How a leadership ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeadershipEnd {
    /// Term of the leadership.
    pub term: u64,
    /// Time since its begin.
    pub lasted_ms: u64,
    /// Whether another member is in a later term. Otherwise no quorum was in contact.
    pub is_replaced: bool,
    /// The other voters.
    pub voters: Vec<VoterContact>,
}

/// What a leader knew of another voter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterContact {
    /// The voter.
    pub id: VoterId,
    /// Time since the latest message that it replied to was sent, or since it was tracked.
    pub silent_ms: u64,
    /// Time since it had synced all entries sent to it, or a further one; `None` if it has in no moment of the term.
    pub sync_age_ms: Option<u64>,
}

/// A candidacy of this member.
#[derive(Debug)]
pub(super) struct Candidacy {
    pub(super) term: u64,
    pub(super) started_ms: u64,
    /// Time at which the own vote was synced.
    pub(super) synced_ms: Option<u64>,
    pub(super) granted: BTreeSet<VoterId>,
    pub(super) refused: BTreeSet<VoterId>,
}

impl Candidacy {
    pub(super) fn new(term: u64, now_ms: u64) -> Self {
        Self {
            term,
            started_ms: now_ms,
            synced_ms: None,
            granted: BTreeSet::new(),
            refused: BTreeSet::new(),
        }
    }
}

impl Core {
    /// Ends the candidacy in progress, if there is one, and reports how.
    pub(super) fn end_candidacy(&mut self, outcome: CandidacyOutcome) {
        let Some(candidacy) = self.candidacy.take() else {
            return;
        };
        let has_answered =
            |id: &&VoterId| candidacy.granted.contains(*id) || candidacy.refused.contains(*id);
        let voters = self.configuration().voters.iter();
        let outstanding = voters.filter(|id| !has_answered(id)).cloned().collect();
        let synced_ms = candidacy.synced_ms;
        let end = CandidacyEnd {
            term: candidacy.term,
            lasted_ms: self.now_ms - candidacy.started_ms,
            own_sync_ms: synced_ms.map(|at| at - candidacy.started_ms),
            outstanding,
            granted: candidacy.granted.into_iter().collect(),
            refused: candidacy.refused.into_iter().collect(),
            outcome,
        };
        self.outputs.push(Output::Report(Report::Candidacy(end)));
    }

    /// Reports that this member stops to lead.
    pub(super) fn report_leadership_end(&mut self, is_replaced: bool) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let end = LeadershipEnd {
            term: self.meta.term,
            lasted_ms: self.now_ms - leadership.since_ms,
            is_replaced,
            voters: self.voter_contacts(leadership),
        };
        self.outputs.push(Output::Report(Report::Leadership(end)));
    }

    fn voter_contacts(&self, leadership: &Leadership) -> Vec<VoterContact> {
        let others = self.other_voters().into_iter();
        let contact = |id: VoterId| {
            let synced_ms = leadership.progress.get(&id)?.synced_ms;
            Some(VoterContact {
                silent_ms: self.silence_ms(&id),
                sync_age_ms: synced_ms.map(|at| self.now_ms.saturating_sub(at)),
                id,
            })
        };
        others.filter_map(contact).collect()
    }
}
