//! Log lines about the replicated log of the controllers: who leads it, and who its members are.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::consensus::Status;
use crate::consensus::VoterId;
use crate::events::Event;
use crate::events::EventLog;
use crate::events::Severity;
use crate::types::VmName;

/// Another VM leads the log, or none is known to.
#[derive(Clone, Debug, Serialize)]
struct LeaderChange {
    leader: Option<VmName>,
    former_leader: Option<VmName>,
    term: u64,
    /// Time since the last contact with a quorum or its leader; `None` if there was none.
    contact_age_ms: Option<u64>,
}

impl Event for LeaderChange {
    const KIND: &'static str = "leader";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// The members of the log changed. Each is named with the id of its disk.
#[derive(Clone, Debug, Serialize)]
struct MemberChange {
    term: u64,
    voters: Vec<String>,
    learners: Vec<String>,
    /// Voters that were no members before.
    added: Vec<String>,
    /// Learners that vote now.
    promoted: Vec<String>,
    /// Members that are none any more.
    removed: Vec<String>,
}

impl Event for MemberChange {
    const KIND: &'static str = "members";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Logs changes between successive states of the log.
#[derive(Debug, Default)]
pub(super) struct LogWatch {
    leader: Option<VmName>,
    voters: BTreeSet<VoterId>,
    learners: BTreeSet<VoterId>,
}

impl LogWatch {
    /// Logs what has changed since the last call.
    pub(super) fn observe(&mut self, status: &Status, events: &EventLog) {
        if self.leader != status.leader {
            let contact_age_ms = status.quorum_contact_age_ms;
            events.emit(&LeaderChange {
                leader: status.leader.clone(),
                former_leader: std::mem::replace(&mut self.leader, status.leader.clone()),
                term: status.term,
                contact_age_ms: (contact_age_ms < u64::MAX).then_some(contact_age_ms),
            });
        }
        let voters: BTreeSet<VoterId> = status.voters.iter().cloned().collect();
        let learners: BTreeSet<VoterId> = status.learners.iter().cloned().collect();
        if self.voters == voters && self.learners == learners {
            return;
        }
        let new_voters = || voters.difference(&self.voters);
        let members: BTreeSet<&VoterId> = voters.union(&learners).collect();
        let former = self.voters.union(&self.learners);
        events.emit(&MemberChange {
            term: status.term,
            voters: names(&voters),
            learners: names(&learners),
            added: names(new_voters().filter(|id| !self.learners.contains(id))),
            promoted: names(new_voters().filter(|id| self.learners.contains(id))),
            removed: names(former.filter(|id| !members.contains(id))),
        });
        (self.voters, self.learners) = (voters, learners);
    }
}

fn names<'a>(ids: impl IntoIterator<Item = &'a VoterId>) -> Vec<String> {
    ids.into_iter().map(VoterId::to_string).collect()
}
