//! What a member reports of itself.

use super::Core;
use super::Role;
use crate::consensus::types::Configuration;
use crate::consensus::types::VoterId;

/// Proof that no entry after `index` was committed at some time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// Index of the newest entry that was committed then.
    pub index: u64,
    /// That time on the core's clock. A leader that was replaced without noticing may be wrong by up to
    /// the maximum election timeout.
    pub at_ms: u64,
}

/// Status of the core.
#[derive(Clone, Debug)]
pub struct CoreStatus {
    /// Last known leader.
    pub leader: Option<VoterId>,
    /// Highest term seen.
    pub term: u64,
    /// Cluster, 0 while there is none.
    pub cluster_id: u64,
    /// Last index known to be committed.
    pub commit_index: u64,
    /// Index of the last entry, committed or not.
    pub last_index: u64,
    /// Latest membership.
    pub configuration: Configuration,
    /// Whether this VM leads.
    pub is_leader: bool,
    /// Time on the core's clock of the last contact with a quorum, or with its leader.
    pub quorum_contact_ms: Option<u64>,
    /// Latest proof of which entries are committed; `None` if there was none since the start.
    pub confirmed: Option<Confirmation>,
}

impl Core {
    /// The status reported to callers.
    pub fn status(&self) -> CoreStatus {
        let quorum_contact_ms = match &self.role {
            Role::Leader(leadership) => self.quorum_contact_ms(leadership),
            _ => self.leader_contact_ms,
        };
        CoreStatus {
            leader: self.leader.clone(),
            term: self.meta.term,
            cluster_id: self.meta.cluster_id,
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            configuration: self.log.configuration().1.clone(),
            is_leader: matches!(self.role, Role::Leader(_)),
            quorum_contact_ms,
            confirmed: self.leader_confirmation().or(self.confirmed),
        }
    }

    /// What this VM confirms itself as the leader. Entries of earlier terms may be committed without its
    /// knowledge until it has committed one of its own term.
    pub(super) fn leader_confirmation(&self) -> Option<Confirmation> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let at_ms = self.quorum_contact_ms(leadership)?;
        let index = self.commit_index;
        (leadership.noop_index <= index).then_some(Confirmation { index, at_ms })
    }
}
