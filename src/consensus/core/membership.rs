//! Single-server membership changes.

use super::Core;
use super::Output;
use super::Role;
use crate::consensus::types::Configuration;
use crate::consensus::types::Payload;
use crate::consensus::types::VoterId;
use crate::types::VmName;

/// Maximum number of voters and learners. At most 7 VMs are reserved for control.
const MAX_MEMBERS: usize = 14;

/// Largest number of controllers of a fleet. More vote only while some of them are replaced.
const MAX_LASTING_VOTERS: usize = 6;

/// Time without contact after which a learner is removed. It probes to join again when it is back.
const LEARNER_TIMEOUT_MS: u64 = 10_000;

/// Silence after which a voter has failed. Longer than the longest election timeout, so that a leader without
/// a quorum steps down first.
const VOTER_SILENCE_MS: u64 = 1_500;

/// Time without a sync, while entries wait for one, after which the disk of a member in contact has failed. Longer than
/// a slow disk takes for a write that waits for another one.
const STALLED_DISK_MS: u64 = 5_000;

/// Time for which a member that announced its shutdown is not promoted.
const LEAVING_MS: u64 = 1_000;

impl Core {
    /// Adds an identity that sent a probe as a learner, if this VM leads the log.
    pub(super) fn add_learner(&mut self, id: &VoterId) {
        let configuration = self.configuration();
        if configuration.contains(id) || !self.may_change_members() {
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
        if next.voters.len() + next.learners.len() >= MAX_MEMBERS {
            let Some(lost) = self.longest_silent_learner(&next) else {
                return;
            };
            next.learners.remove(&lost);
        }
        next.learners.insert(id.clone());
        self.change_members(next);
    }

    /// The learner whose place a new one may take.
    fn longest_silent_learner(&self, configuration: &Configuration) -> Option<VoterId> {
        let learners = configuration.learners.iter();
        let silent = learners.filter(|id| !self.is_active(id));
        silent.max_by_key(|id| self.silence_ms(id)).cloned()
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

    /// Proposes the next membership change, if one is due.
    pub(super) fn reconcile_members(&mut self) {
        if !self.may_change_members() {
            return;
        }
        let learners = &self.configuration().learners;
        let next = learners
            .iter()
            .find_map(|learner| self.without_lost_learner(learner))
            .or_else(|| learners.iter().find_map(|id| self.without_lost_disk(id)))
            .or_else(|| self.with_failed_voter_demoted())
            .or_else(|| self.with_successor_first())
            .or_else(|| learners.iter().find_map(|id| self.with_promoted(id)));
        if let Some(next) = next {
            self.change_members(next);
        }
    }

    /// Records that the process on `vm` shuts down now, so that it need not vote.
    pub(super) fn member_leaves(&mut self, vm: VmName) {
        let until_ms = self.now_ms + LEAVING_MS;
        let now_ms = self.now_ms;
        if let Role::Leader(leadership) = &mut self.role {
            leadership.leaving.retain(|_, until_ms| now_ms < *until_ms);
            leadership.leaving.insert(vm, until_ms);
        }
        self.reconcile_members();
    }

    fn without_lost_learner(&self, learner: &VoterId) -> Option<Configuration> {
        if self.silence_ms(learner) <= LEARNER_TIMEOUT_MS {
            return None;
        }
        let mut next = self.configuration().clone();
        next.learners.remove(learner);
        Some(next)
    }

    /// Removes the former identity of a VM that lost its disk, once the new one has caught up.
    ///
    /// The former identity is removed first. Promoting first would result in an even number of
    /// voters of which one is known to have failed, and a second loss of the same disk would then
    /// leave the log without a quorum.
    fn without_lost_disk(&self, learner: &VoterId) -> Option<Configuration> {
        let mut next = self.configuration().clone();
        let replaced = next.voter_on(&learner.vm).cloned()?;
        let is_lost = !self.is_active(&replaced) && replaced != self.config.id;
        if !is_lost || !self.has_caught_up(learner) {
            return None;
        }
        next.voters.remove(&replaced);
        next.retired.insert(replaced);
        self.has_active_quorum(&next).then_some(next)
    }

    /// Makes a learner of a voter that is silent or shuts down. With its disk intact it is promoted again when
    /// it is back. One that stays away is removed like any learner.
    ///
    /// Of an odd number of voters only one whose place a learner takes next is demoted, which leaves the size
    /// of the quorum as it is. One of an even number is demoted if no learner can make the number odd: the
    /// others then bear one more failure. Without the first condition, failures one after the other would
    /// leave every entry on too few disks. In no case are there fewer voters than the disks that may be lost
    /// call for, since the disk of the demoted voter may be needed.
    fn with_failed_voter_demoted(&self) -> Option<Configuration> {
        let configuration = self.configuration();
        let failed = self.failed_voter()?;
        let mut waiting = configuration.learners.iter();
        let has_successor = waiting.any(|id| self.is_ready_to_vote(id));
        let count = configuration.voters.len();
        let is_even = count.is_multiple_of(2);
        let may_shrink = match has_successor {
            true => !is_even,
            false => (is_even && count > 2) || count > MAX_LASTING_VOTERS,
        };
        if !may_shrink || count <= self.fewest_voters() {
            return None;
        }
        let mut next = configuration.clone();
        next.voters.remove(failed);
        next.learners.insert(failed.clone());
        self.has_active_quorum(&next).then_some(next)
    }

    /// Promotes the successor of a failed voter that cannot be demoted before, because too few would vote. The
    /// failed one is demoted next.
    fn with_successor_first(&self) -> Option<Configuration> {
        self.failed_voter()?;
        let configuration = self.configuration();
        if configuration.voters.len() > self.fewest_voters() {
            return None;
        }
        let mut learners = configuration.learners.iter();
        let successor = learners.find(|id| self.is_ready_to_vote(id))?;
        let next = with_voter(configuration, successor);
        self.has_active_quorum(&next).then_some(next)
    }

    /// The voter that is silent for the longest time, shuts down or syncs nothing, if there is one.
    fn failed_voter(&self) -> Option<&VoterId> {
        let voters = self.configuration().voters.iter();
        voters
            .filter(|id| **id != self.config.id)
            .filter(|id| {
                let is_silent = self.silence_ms(id) >= VOTER_SILENCE_MS;
                is_silent || self.is_leaving(id) || self.has_stalled_disk(id)
            })
            .max_by_key(|id| self.silence_ms(id))
    }

    /// Number of voters of which a quorum with every committed entry is left once as many disks are lost as may
    /// be lost at once. One fewer while a voter of three is replaced: if the successor came first and failed at
    /// that moment, the failure of a single member would leave no quorum.
    ///
    /// Of more lost disks than the members can bear, only as many count as they can: voters that are gone would
    /// otherwise stay voters for good.
    fn fewest_voters(&self) -> usize {
        let configuration = self.configuration();
        let members = configuration.voters.len() + configuration.learners.len();
        let bearable = members.min(MAX_LASTING_VOTERS).saturating_sub(1) / 2;
        match self.config.disk_losses.min(bearable) {
            1 => 2,
            losses => 2 * losses + 1,
        }
    }

    /// Promotes `learner`. If that makes the number of voters even, a voter that has just become silent must
    /// give up its place first: together with a failure of the new voter it would cost the quorum.
    fn with_promoted(&self, learner: &VoterId) -> Option<Configuration> {
        let configuration = self.configuration();
        let wait_ms = self.config.timeouts.election_min_ms;
        let is_in_contact = |id: &VoterId| self.is_in_contact(id, wait_ms);
        let makes_odd = configuration.voters.len().is_multiple_of(2);
        // A learner may have come right after the failure of a voter.
        let since_ms = self.progress_of(learner)?.since_ms;
        let may_grow = makes_odd
            || (self.now_ms >= since_ms + wait_ms
                && configuration.voters.iter().all(is_in_contact));
        if !may_grow || !self.is_ready_to_vote(learner) {
            return None;
        }
        Some(with_voter(configuration, learner))
    }

    /// Whether `learner` has caught up and may take a place among the voters.
    fn is_ready_to_vote(&self, learner: &VoterId) -> bool {
        let has_voter = self.configuration().voter_on(&learner.vm).is_some();
        !has_voter && !self.is_leaving(learner) && self.has_caught_up(learner)
    }

    fn has_caught_up(&self, learner: &VoterId) -> bool {
        let progress = self.progress_of(learner);
        let is_complete = progress.is_some_and(|to| to.match_index >= to.catch_up_index);
        is_complete && self.is_active(learner)
    }

    fn is_leaving(&self, id: &VoterId) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let until_ms = leadership.leaving.get(&id.vm);
        until_ms.is_some_and(|until_ms| self.now_ms < *until_ms)
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
        self.is_in_contact(id, self.config.timeouts.election_max_ms)
    }

    /// Whether `id` was in contact with this leader within `max_ms`.
    fn is_in_contact(&self, id: &VoterId, max_ms: u64) -> bool {
        if !matches!(self.role, Role::Leader(_)) {
            return false;
        }
        let Some(progress) = self.progress_of(id) else {
            return *id == self.config.id;
        };
        let contact_ms = progress.contact_ms;
        contact_ms.is_some_and(|contact_ms| self.now_ms <= contact_ms + max_ms)
    }

    /// Time since the last contact of `id` with this leader, or since this leader tracks it.
    pub(super) fn silence_ms(&self, id: &VoterId) -> u64 {
        let Some(progress) = self.progress_of(id) else {
            return 0;
        };
        let last_ms = progress.contact_ms.unwrap_or(0).max(progress.since_ms);
        self.now_ms.saturating_sub(last_ms)
    }

    /// Whether `id` has synced nothing for [`STALLED_DISK_MS`], though entries were sent to it.
    fn has_stalled_disk(&self, id: &VoterId) -> bool {
        let progress = self.progress_of(id);
        progress.is_some_and(|progress| {
            let last_ms = progress.synced_ms.unwrap_or(progress.since_ms);
            self.now_ms >= last_ms + STALLED_DISK_MS
        })
    }

    /// Whether enough of the voters are in contact and sync what they get.
    fn has_active_quorum(&self, configuration: &Configuration) -> bool {
        let voters = configuration.voters.iter();
        let active = voters.filter(|id| self.is_active(id) && !self.has_stalled_disk(id));
        active.count() >= configuration.quorum()
    }
}

fn with_voter(configuration: &Configuration, learner: &VoterId) -> Configuration {
    let mut next = configuration.clone();
    next.learners.remove(learner);
    next.voters.insert(learner.clone());
    next
}
