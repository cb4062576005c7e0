//! Single-server membership changes.

use super::Core;
use super::Output;
use super::Role;
use super::leader::Leadership;
use super::leader::Progress;
use crate::consensus::types::Configuration;
use crate::consensus::types::Payload;
use crate::consensus::types::VoterId;
use crate::types::VmName;

/// Maximum number of voters and learners. At most 7 VMs are reserved for control.
const MAX_MEMBERS: usize = 14;

/// Time without contact after which a learner is removed. It probes to join again when it is back.
const LEARNER_TIMEOUT_MS: u64 = 10_000;

impl Core {
    /// Adds an identity that sent a probe as a learner, if this VM leads the log.
    pub(super) fn add_learner(&mut self, id: &VoterId) {
        let configuration = self.configuration();
        let is_member = configuration.contains(id);
        let members = configuration.voters.len() + configuration.learners.len();
        if is_member || members >= MAX_MEMBERS || !self.may_change_members() {
            return;
        }
        // A delayed probe of a former identity of the VM must not replace its active learner.
        let existing = configuration.learners.iter().find(|l| l.vm == id.vm);
        let mut next = configuration.clone();
        if let Some(existing) = existing.cloned() {
            if self.is_active(&existing) {
                return;
            }
            next.learners.remove(&existing);
        }
        next.learners.insert(id.clone());
        self.change_members(next);
    }

    /// Removes the voter on `vm`, unless that is this VM.
    pub(super) fn remove_voter(&mut self, vm: &VmName) {
        let found = self.configuration().voter_on(vm).cloned();
        let accepted = match found {
            Some(id) if id != self.config.id && self.may_change_members() => {
                let mut next = self.configuration().clone();
                next.voters.remove(&id);
                next.retired.insert(id);
                self.has_active_quorum(&next).then_some(next)
            }
            _ => None,
        };
        let is_leader = matches!(self.role, Role::Leader(_));
        match accepted {
            Some(next) => {
                let first_index = self.log.last_index() + 1;
                let term = self.meta.term;
                self.outputs.push(Output::Accepted { first_index, term });
                self.change_members(next);
            }
            None => self.outputs.push(Output::Rejected {
                leader: self.leader.as_ref().map(|id| id.vm.clone()),
                unavailable: is_leader,
            }),
        }
    }

    /// Proposes the next membership change of a repair, if one is due: promotes a learner that has
    /// caught up, after removing the former identity of its VM, or removes a learner without
    /// contact.
    ///
    /// The former identity is removed first. Promoting first would result in an even number of
    /// voters of which one is known to have failed, and a second loss of the same disk would then
    /// leave the log without a quorum.
    pub(super) fn reconcile_members(&mut self) {
        if !self.may_change_members() {
            return;
        }
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let next = self
            .configuration()
            .learners
            .iter()
            .find_map(|learner| self.next_configuration(leadership, learner));
        if let Some(next) = next {
            self.change_members(next);
        }
    }

    fn next_configuration(
        &self,
        leadership: &Leadership,
        learner: &VoterId,
    ) -> Option<Configuration> {
        let progress = leadership.progress.get(learner)?;
        let mut next = self.configuration().clone();
        if self.is_timed_out(progress) {
            next.learners.remove(learner);
            return Some(next);
        }
        let has_caught_up = progress.match_index >= progress.catch_up_index;
        if !has_caught_up || !self.is_active(learner) {
            return None;
        }
        let Some(replaced) = next.voter_on(&learner.vm).cloned() else {
            next.learners.remove(learner);
            next.voters.insert(learner.clone());
            return Some(next);
        };
        if self.is_active(&replaced) || replaced == self.config.id {
            return None;
        }
        next.voters.remove(&replaced);
        next.retired.insert(replaced);
        self.has_active_quorum(&next).then_some(next)
    }

    /// Whether this VM leads the log and may append a membership: the previous one is committed,
    /// and so is an entry of this term. Without the second condition, two leaders could each commit
    /// a change with majorities that do not overlap.
    fn may_change_members(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        leadership.noop_index <= self.commit_index
            && self.log.configuration().0 <= self.commit_index
    }

    fn change_members(&mut self, next: Configuration) {
        self.append_local(Payload::Configuration(next));
        self.track_members();
        self.replicate_all();
    }

    pub(super) fn is_active(&self, id: &VoterId) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let max_ms = self.config.timeouts.election_max_ms;
        let Some(progress) = leadership.progress.get(id) else {
            return *id == self.config.id;
        };
        let contact_ms = progress.contact_ms.unwrap_or(0);
        progress.contact_ms.is_some() && self.now_ms <= contact_ms + max_ms
    }

    fn is_timed_out(&self, progress: &Progress) -> bool {
        let last_ms = progress.contact_ms.unwrap_or(0).max(progress.since_ms);
        self.now_ms > last_ms + LEARNER_TIMEOUT_MS
    }

    fn has_active_quorum(&self, configuration: &Configuration) -> bool {
        let active = configuration.voters.iter().filter(|id| self.is_active(id));
        active.count() >= configuration.quorum()
    }
}
